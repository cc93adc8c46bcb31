//! Several processes under limits of the whole fleet: keepers that die, stand still and are cut off, and
//! what is let in meanwhile, counted by what the clients were answered.

use std::collections::BTreeMap;
use std::process::Command;
use std::time::Duration;

use pintally_audit::{Answer, AuditEvent};
use pintally_scenario::{RunningNode, ScenarioResult};
use serde_json::Value;

use crate::by_hand::{until, Nodes, EXE};

const KEEPERS: &str = r#"(keepers (names "n0" "n1" "n2") (beat-ms 60) (election-ms 400) (doubt-ms 1500))"#;
const LIMITS: &str = r#"(shared-limits (lease-ms 2000) (every-ms 200) (reserve 0.2) (burst-ms 500)
    (limit "a" (tenant "a") (counts requests) (most 12)))"#;

fn keepers(fleet: &Nodes) -> Vec<Value> {
    (0..fleet.settings.len()).map(|n| fleet.status_document(n, "/pintally/keepers")).collect()
}

/// Who leads, if exactly one does and all that answer know it.
fn leader(fleet: &Nodes) -> Option<usize> {
    let document = keepers(fleet);
    let leading: Vec<usize> = (0..document.len()).filter(|n| document[*n]["standing"] == "leads").collect();
    match leading.as_slice() {
        [one] => Some(*one),
        _ => None,
    }
}

fn ordered(command: &[&str], fleet: &Nodes) -> (bool, String) {
    let links: Vec<String> =
        fleet.settings.iter().map(|s| s.membership.as_ref().unwrap().listen.to_string()).collect();
    let out = Command::new(EXE).args(command).args(&links).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout).to_string() + &String::from_utf8_lossy(&out.stderr);
    (out.status.success(), text)
}

#[test]
fn keepers_elect_are_asked_and_changed() {
    let mut fleet = Nodes::with(3, &format!("{KEEPERS}\n{LIMITS}"));
    fleet.start_all();
    until("one leads", 15, || leader(&fleet).is_some());
    let first = leader(&fleet).unwrap();
    // A limit is changed while the fleet runs, and every node that asks hears of it.
    until("the limit is changed", 10, || ordered(&["limits", "set", "a", "40"], &fleet).0);
    let (done, text) = ordered(&["limits", "set", "nobody", "40"], &fleet);
    assert!(!done && text.contains("no limit"), "{text}");
    fleet.kill(first);
    until("another leads", 15, || leader(&fleet).is_some_and(|l| l != first));
    // It comes back, asks, and follows.
    fleet.start(first);
    until("it follows", 15, || {
        let document = fleet.status_document(first, "/pintally/keepers");
        document["standing"] == "follows" && document["commit"].as_u64() > Some(0)
    });
    let at: Vec<String> = fleet.settings.iter().map(|s| s.listen.to_string()).collect();
    let out = Command::new(EXE).args(["keepers", "status"]).args(&at).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && text.contains("leads") && text.contains("follows"), "{text}");
    let out = Command::new(EXE).args(["limits", "show"]).args(&at).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && text.contains("hard a second"), "{text}");
    until("the change of the limit has outlived its leader", 10, || {
        let document = fleet.status_document(leader(&fleet).unwrap_or(0), "/pintally/keepers");
        document["values"] == 1
    });
    // One keeper fewer.
    until("one fewer", 20, || ordered(&["keepers", "change", "--to", "n0,n1"], &fleet).0);
    // Who leads may have made itself leave: then another is elected first.
    until("one fewer again", 20, || ordered(&["keepers", "change", "--to", "n0"], &fleet).0);
}

/// The leading keeper stands still for longer than its lease; awake again it neither leads nor lends.
#[test]
fn a_leader_that_stood_still_leads_no_more() {
    let mut fleet = Nodes::with(3, &format!("{KEEPERS}\n{LIMITS}"));
    fleet.start_all();
    until("one leads", 15, || leader(&fleet).is_some());
    let first = leader(&fleet).unwrap();
    let process = |fleet: &Nodes, on| fleet.running[first].as_ref().unwrap().pause(on);
    process(&fleet, true);
    let others: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    until("another leads", 15, || {
        others.iter().any(|n| fleet.status_document(*n, "/pintally/keepers")["standing"] == "leads")
    });
    process(&fleet, false);
    until("it follows", 10, || fleet.status_document(first, "/pintally/keepers")["standing"] == "follows");
    until("another leads all", 10, || leader(&fleet).is_some_and(|l| l != first));
}

/// All keepers are lost and one comes back: it tells that there is no majority, and nodes go on.
#[test]
fn one_of_three_keepers_is_no_majority_and_says_so() {
    let mut fleet = Nodes::with(3, &format!("{KEEPERS}\n{LIMITS}"));
    fleet.start_all();
    until("one leads", 15, || leader(&fleet).is_some());
    (0..3).for_each(|n| fleet.kill(n));
    fleet.start(1);
    std::thread::sleep(Duration::from_millis(2_500));
    let document = fleet.status_document(1, "/pintally/keepers");
    assert_eq!(document["standing"], "doubts", "{document}");
    assert!(document["why"].as_str().unwrap().contains("0 others"), "{document}");
    assert!(
        fleet.status_document(1, "/pintally/limits")["limits"].is_array(),
        "limits stand on their floors"
    );
    let (done, text) = ordered(&["limits", "set", "a", "5"], &fleet);
    assert!(!done && text.contains("no keeper leads"), "{text}");
    fleet.start(0);
    until("two are a majority", 30, || leader(&fleet).is_some());
}

/// The worst excess over a limit, in requests, of those that were let in: asked, and neither refused nor
/// unanswered, by the time at which they were asked.
fn excess(result: &ScenarioResult, most: f64) -> (f64, usize) {
    let mut asked: BTreeMap<&str, u64> = BTreeMap::new();
    let mut let_in = Vec::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, tenant: Some(tenant), .. } if tenant == "a" => {
                asked.insert(request, r.at);
            }
            AuditEvent::Answered { request, answer: Answer::Served | Answer::Cut } => {
                let_in.extend(asked.get(request.as_str()));
            }
            _ => {}
        }
    }
    let_in.sort_unstable();
    let (mut worst, mut over, mut before) = (0.0f64, 0.0f64, 0);
    for at in &let_in {
        over = (over - most * (at - before) as f64 / 1e6).max(0.0) + 1.0;
        (worst, before) = (worst.max(over), *at);
    }
    (worst, let_in.len())
}

/// A day under a limit of 12 requests a second for one tenant that sends about 20, spread over nodes.
fn limited(name: &str, seed: u64, faults: &str) -> (ScenarioResult, f64, usize) {
    let more = format!("(tenant \"a\") (tenant \"b\") {KEEPERS} {LIMITS} {faults}");
    let result = crate::play(name, 18, 4, seed, &more);
    let (worst, let_in) = excess(&result, 12.0);
    println!("{name}, seed {seed}: {let_in} let in, at worst {worst:.1} beyond the limit");
    // Unused parts of half a second, one for each node's part that is in use, and one for each lease
    // that ended; what the clock of a client is behind the node's counts as a few more.
    let bound = 12.0 * 0.5 + 4.0 + 4.0 + 4.0;
    assert!(worst <= bound, "{name}, seed {seed}: {worst:.1} beyond the limit, {bound:.1} at most");
    (result, worst, let_in)
}

#[test]
fn a_hard_limit_holds_while_links_fail() {
    let (_, _, calm) = limited("limit-calm", 31, "");
    // 12 a second over 18 s, less the first seconds in which nobody lends and all live on floors.
    assert!(calm > 90, "{calm} let in: the limit is hardly used");
    limited("limit-cut", 32, "(fault peer-cut (at 5) (for 7))");
    limited("limit-one-way", 33, "(fault peer-one-way (at 5) (for 7))");
    limited("limit-stall", 34, "(fault peer-stall (at 5) (for 6))");
}

#[test]
fn a_hard_limit_holds_through_a_power_loss_and_pauses() {
    limited("limit-power", 35, "(fault power (at 6) (for 2))");
    limited("limit-paused", 36, "(fault node-pause (at 5) (for 4)) (fault node-pause (at 11) (for 3))");
    limited(
        "limit-older",
        37,
        "(disk 0 \"older-image\") (disk 1 \"lost-syncs\") (fault power (at 7) (for 2))",
    );
}

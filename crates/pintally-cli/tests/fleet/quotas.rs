//! Several node processes under fleet-wide limits: replicas that die, pause and are cut off. The admitted requests are
//! counted by the responses of the clients.

use std::collections::BTreeMap;
use std::process::Command;
use std::time::Duration;

use pintally_audit::{Answer, AuditEvent};
use pintally_scenario::{RunningNode, ScenarioResult};
use serde_json::Value;

use crate::node_processes::{wait_until, NodeProcesses, EXE};

const KEEPERS: &str = r#"(keepers (names "n0" "n1" "n2") (beat-ms 60) (election-ms 400) (doubt-ms 1500))"#;
const LIMITS: &str = r#"(shared-limits (lease-ms 2000) (every-ms 200) (reserve 0.2) (burst-ms 500)
    (limit "a" (tenant "a") (counts requests) (most 12)))"#;

fn replica_documents(fleet: &NodeProcesses) -> Vec<Value> {
    (0..fleet.settings.len()).map(|n| fleet.status_document(n, "/pintally/keepers")).collect()
}

/// The leader, if exactly one node reports that it leads.
fn leader(fleet: &NodeProcesses) -> Option<usize> {
    let document = replica_documents(fleet);
    let leaders: Vec<usize> = (0..document.len()).filter(|n| document[*n]["standing"] == "leads").collect();
    match leaders.as_slice() {
        [one] => Some(*one),
        _ => None,
    }
}

fn run_command(command: &[&str], fleet: &NodeProcesses) -> (bool, String) {
    let peer_addresses: Vec<String> =
        fleet.settings.iter().map(|s| s.membership.as_ref().unwrap().listen.to_string()).collect();
    let out = Command::new(EXE).args(command).args(&peer_addresses).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout).to_string() + &String::from_utf8_lossy(&out.stderr);
    (out.status.success(), text)
}

#[test]
fn replicas_elect_leader_and_change_members() {
    let mut fleet = NodeProcesses::with(3, &format!("{KEEPERS}\n{LIMITS}"));
    fleet.start_all();
    wait_until("there is a leader", 15, || leader(&fleet).is_some());
    let first_leader = leader(&fleet).unwrap();
    // A limit is changed while the fleet runs.
    wait_until("the limit is changed", 10, || run_command(&["limits", "set", "a", "40"], &fleet).0);
    let (done, text) = run_command(&["limits", "set", "nobody", "40"], &fleet);
    assert!(!done && text.contains("no limit"), "{text}");
    fleet.kill(first_leader);
    wait_until("there is another leader", 15, || leader(&fleet).is_some_and(|l| l != first_leader));
    // The former leader returns as a follower.
    fleet.start(first_leader);
    wait_until("the former leader follows", 15, || {
        let document = fleet.status_document(first_leader, "/pintally/keepers");
        document["standing"] == "follows" && document["commit"].as_u64() > Some(0)
    });
    let client_addresses: Vec<String> = fleet.settings.iter().map(|s| s.listen.to_string()).collect();
    let out = Command::new(EXE).args(["keepers", "status"]).args(&client_addresses).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && text.contains("leads") && text.contains("follows"), "{text}");
    let out = Command::new(EXE).args(["limits", "show"]).args(&client_addresses).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && text.contains("hard a second"), "{text}");
    wait_until("the change of the limit survives its leader", 10, || {
        let document = fleet.status_document(leader(&fleet).unwrap_or(0), "/pintally/keepers");
        document["values"] == 1
    });
    // Remove one replica.
    wait_until("one replica is removed", 20, || {
        run_command(&["keepers", "change", "--to", "n0,n1"], &fleet).0
    });
    // The leader may have removed itself: then another leader is elected first.
    wait_until("another replica is removed", 20, || {
        run_command(&["keepers", "change", "--to", "n0"], &fleet).0
    });
}

/// The leader is paused for longer than its lease: when it continues it neither leads nor grants quota leases.
#[test]
fn paused_leader_loses_leadership() {
    let mut fleet = NodeProcesses::with(3, &format!("{KEEPERS}\n{LIMITS}"));
    fleet.start_all();
    wait_until("there is a leader", 15, || leader(&fleet).is_some());
    let first_leader = leader(&fleet).unwrap();
    let set_paused = |fleet: &NodeProcesses, on| fleet.running[first_leader].as_ref().unwrap().pause(on);
    set_paused(&fleet, true);
    let others: Vec<usize> = (0..3).filter(|n| *n != first_leader).collect();
    wait_until("there is another leader", 15, || {
        others.iter().any(|n| fleet.status_document(*n, "/pintally/keepers")["standing"] == "leads")
    });
    set_paused(&fleet, false);
    wait_until("the former leader follows", 10, || {
        fleet.status_document(first_leader, "/pintally/keepers")["standing"] == "follows"
    });
    wait_until("all nodes follow the new leader", 10, || leader(&fleet).is_some_and(|l| l != first_leader));
}

/// All replicas are lost and one returns: it reports that there is no majority, and nodes continue with their floors.
#[test]
fn one_of_three_replicas_reports_missing_majority() {
    let mut fleet = NodeProcesses::with(3, &format!("{KEEPERS}\n{LIMITS}"));
    fleet.start_all();
    wait_until("there is a leader", 15, || leader(&fleet).is_some());
    (0..3).for_each(|n| fleet.kill(n));
    fleet.start(1);
    std::thread::sleep(Duration::from_millis(2_500));
    let document = fleet.status_document(1, "/pintally/keepers");
    assert_eq!(document["standing"], "doubts", "{document}");
    assert!(document["why"].as_str().unwrap().contains("0 others"), "{document}");
    assert!(
        fleet.status_document(1, "/pintally/limits")["limits"].is_array(),
        "limits stay available with their floors"
    );
    let (done, text) = run_command(&["limits", "set", "a", "5"], &fleet);
    assert!(!done && text.contains("no keeper leads"), "{text}");
    fleet.start(0);
    wait_until("two replicas elect a leader", 30, || leader(&fleet).is_some());
}

/// The largest excess of admitted requests over a limit, in requests, and the number of admitted requests. Requests
/// that were served or cut count as admitted, at the time at which they were sent.
fn max_excess(result: &ScenarioResult, most: f64) -> (f64, usize) {
    let mut asked: BTreeMap<&str, u64> = BTreeMap::new();
    let mut admitted = Vec::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, tenant: Some(tenant), .. } if tenant == "a" => {
                asked.insert(request, r.at);
            }
            AuditEvent::Answered { request, answer: Answer::Served | Answer::Cut } => {
                admitted.extend(asked.get(request.as_str()));
            }
            _ => {}
        }
    }
    admitted.sort_unstable();
    let (mut max_excess_requests, mut over, mut before) = (0.0f64, 0.0f64, 0);
    for at in &admitted {
        over = (over - most * (at - before) as f64 / 1e6).max(0.0) + 1.0;
        (max_excess_requests, before) = (max_excess_requests.max(over), *at);
    }
    (max_excess_requests, admitted.len())
}

/// Runs a day with a limit of 12 requests per second for a tenant that sends about 20 per second, spread over nodes.
fn run_limited_day(name: &str, seed: u64, faults: &str) -> (ScenarioResult, f64, usize) {
    let more = format!("(tenant \"a\") (tenant \"b\") {KEEPERS} {LIMITS} {faults}");
    let result = crate::run_day(name, 18, 4, seed, &more);
    let (max_excess_requests, admitted) = max_excess(&result, 12.0);
    println!("{name}, seed {seed}: {admitted} admitted, at most {max_excess_requests:.1} beyond the limit");
    // Unused quota of half a second, one request for each node's allocation in use and one for each lease that
    // ended, and a few more for clocks of clients that are behind those of nodes.
    let bound = 12.0 * 0.5 + 4.0 + 4.0 + 4.0;
    assert!(
        max_excess_requests <= bound,
        "{name}, seed {seed}: {max_excess_requests:.1} beyond the limit, {bound:.1} at most"
    );
    (result, max_excess_requests, admitted)
}

#[test]
fn hard_limit_holds_with_link_faults() {
    let (_, _, calm) = run_limited_day("limit-calm", 31, "");
    // 12 per second over 18 s, less the first seconds, in which no quota is granted and nodes have only their floors.
    assert!(calm > 90, "{calm} admitted: the limit is hardly used");
    run_limited_day("limit-cut", 32, "(fault peer-cut (at 5) (for 7))");
    run_limited_day("limit-one-way", 33, "(fault peer-one-way (at 5) (for 7))");
    run_limited_day("limit-stall", 34, "(fault peer-stall (at 5) (for 6))");
}

#[test]
fn hard_limit_holds_with_power_loss_and_pauses() {
    run_limited_day("limit-power", 35, "(fault power (at 6) (for 2))");
    run_limited_day(
        "limit-paused",
        36,
        "(fault node-pause (at 5) (for 4)) (fault node-pause (at 11) (for 3))",
    );
    run_limited_day(
        "limit-older",
        37,
        "(disk 0 \"older-image\") (disk 1 \"lost-syncs\") (fault power (at 7) (for 2))",
    );
}

//! Several processes in three zones of two regions: a zone that goes dark, is lost whole, or is cut off,
//! and people's orders. Each day is audited against the five rules.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use pintally_audit::AuditEvent;
use pintally_scenario::{run_with, Scenario, ScenarioResult};

use crate::by_hand::{until, Nodes, EXE};

const KEEPERS: &str = r#"(keepers (names "n0" "n1" "n2") (beat-ms 60) (election-ms 400) (doubt-ms 1500))"#;
const REGIONS: &str = r#"(regions (zone "a" "north") (zone "b" "north") (zone "c" "south")
    (per-engine-per-s 5) (every-ms 300) (lasts-ms 2000) (grace-ms 1000) (hold-ms 2500) (hold-most-ms 10000)
    (step-ms 1000))"#;

/// Six nodes and their engines in three zones; `more` adds settings and faults.
fn text(seconds: u32, seed: u64, more: &str) -> String {
    crate::text(seconds, 6, seed, more)
        .replace("(zones \"a\" \"b\") (racks 2)", "(zones \"a\" \"b\" \"c\") (racks 3)")
        .replace("(engines \"prefill\" (count 4)", "(engines \"prefill\" (count 6)")
        .replace("(engines \"decode\" (count 5)", "(engines \"decode\" (count 6)")
}

fn play(name: &str, seed: u64, more: &str) -> ScenarioResult {
    let _turn = crate::TURNS.acquire();
    let day = Scenario::parse(name, &text(22, seed, more)).expect("a sound day");
    let result = run_with(&day, seed, Path::new(EXE)).expect("the day is played");
    let r = &result.report;
    println!("{name}, seed {seed}: {} requests, {} served, {} refused", r.requests, r.served, r.refused);
    for (rule, found) in r.rules.each() {
        assert!(found.is_empty(), "{name}, seed {seed}: {rule}: {found:?}");
    }
    result
}

/// The part of attempts, by the second, that went to an engine of another zone than the node's.
fn far(result: &ScenarioResult) -> BTreeMap<u64, (u64, u64)> {
    let AuditEvent::Parameters(figures) = &result.record[0].event else { panic!("figures come first") };
    let zones: BTreeMap<&str, &str> =
        figures.engines.iter().map(|e| (e.engine.as_str(), e.zone.as_str())).collect();
    let home = |node: &str| ["a", "b", "c"][node[1..].parse::<usize>().unwrap_or(0) % 3];
    let asked = |r: &&pintally_audit::Record| matches!(r.event, AuditEvent::RequestSent { .. });
    let first = result.record.iter().filter(asked).map(|r| r.at).min().unwrap_or(0);
    let mut seconds: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for r in &result.record {
        if let AuditEvent::AttemptArrived { engine, node, .. } = &r.event {
            let count = seconds.entry(r.at.saturating_sub(first) / 1_000_000).or_default();
            count.0 += 1;
            count.1 += u64::from(zones.get(engine.as_str()).is_some_and(|z| *z != home(node)));
        }
    }
    seconds
}

#[test]
fn a_zone_that_goes_dark_is_served_by_others_and_comes_back() {
    let more = format!("{KEEPERS} {REGIONS} (fault zone-dark (at 7) (for 6) (zone \"a\"))");
    let result = play("zone-dark", 51, &more);
    let seconds = far(&result);
    println!("attempts and those that went far, by second: {seconds:?}");
    let part = |from: u64, to: u64| {
        let (all, far) = seconds.range(from..to).fold((0, 0), |s, (_, c)| (s.0 + c.0, s.1 + c.1));
        far as f64 / all.max(1) as f64
    };
    assert!(part(2, 6) < 0.01, "near had room, yet {:.3} went far", part(2, 6));
    assert!(part(10, 13) > 0.1, "while it is dark its work goes elsewhere: {:.3}", part(10, 13));
    let end = crate::served_at_the_end(&result, 19.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

#[test]
fn a_zone_that_is_lost_whole_and_a_cut_between_peers() {
    let more = format!("{KEEPERS} {REGIONS} (fault zone-power (at 7) (for 5) (zone \"b\"))");
    let result = play("zone-power", 52, &more);
    let end = crate::served_at_the_end(&result, 19.0);
    assert!(end > 0.85, "{end:.2} served at the end");
    // Halves of the fleet do not hear each other; the smaller one serves what is near and orders nothing.
    let more = format!("{KEEPERS} {REGIONS} (fault peer-cut (at 6) (for 8))");
    let result = play("zones-cut", 53, &more);
    let seconds = far(&result);
    let (all, far) = seconds.values().fold((0, 0), |s, c| (s.0 + c.0, s.1 + c.1));
    assert!(far * 50 < all, "no engine is lost, yet {far} of {all} attempts went far");
    let end = crate::served_at_the_end(&result, 18.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

/// The leader dies while a zone is dark: the next one goes on from its plan.
#[test]
fn the_leader_dies_while_a_zone_is_dark() {
    let more = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 6) (for 8) (zone \"c\")) (fault node-kill (at 9) (for 2) (part 0.5))"
    );
    let result = play("zone-leader", 54, &more);
    let end = crate::served_at_the_end(&result, 19.5);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// The second zone goes dark while the first one's work has just found room in it.
#[test]
fn two_zones_go_dark_three_seconds_apart() {
    let more = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 4) (for 6) (zone \"a\")) (fault zone-dark (at 7) (for 3) (zone \"b\"))"
    );
    let result = play("two-zones", 55, &more);
    let end = crate::served_at_the_end(&result, 19.5);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// A zone that comes and goes: held back for longer each time, it draws no herd, and all is well at the end.
#[test]
fn a_zone_that_flaps_is_held_back() {
    let flaps: String =
        (0..4).map(|n| format!(" (fault zone-dark (at {}) (for 1) (zone \"c\"))", 4 + 2 * n)).collect();
    let result = play("zone-flaps", 56, &format!("{KEEPERS} {REGIONS}{flaps}"));
    let end = crate::served_at_the_end(&result, 19.5);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// Half of the nodes hear the others and are not heard by them, while a zone is dark and all links lose packets.
#[test]
fn links_fail_one_way_while_a_zone_is_dark() {
    let more = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 7) (for 5) (zone \"a\")) (fault peer-one-way (at 5) (for 8)) \
         (fault peer-loss (at 5) (for 10) (size 0.1))"
    );
    let result = play("one-way-dark", 57, &more);
    let end = crate::served_at_the_end(&result, 19.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// A third of the nodes stands still for longer than orders last, wakes with those of before, and meets a plan
/// that has moved on.
#[test]
fn nodes_that_stood_still_wake_with_old_orders() {
    let more = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 6) (for 4) (zone \"b\")) (fault node-pause (at 7) (for 6) (part 0.34))"
    );
    let result = play("old-orders", 58, &more);
    let end = crate::served_at_the_end(&result, 19.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

#[test]
fn people_order_hold_release_and_rehearse() {
    let mut fleet = Nodes::with(3, &format!("{KEEPERS} {}", REGIONS.replace("(zone \"c\" \"south\")", "")));
    fleet.start_all();
    let zone = |fleet: &Nodes, name: &str| -> Option<f64> {
        (0..3).find_map(|n| {
            let document = fleet.status_document(n, "/pintally/regions");
            let zones = document["leads"]["zones"].as_array()?.clone();
            zones.iter().find(|z| z["zone"] == name)?["open"].as_f64()
        })
    };
    until("somebody plans", 15, || zone(&fleet, "a") == Some(1.0));
    let links: Vec<String> =
        fleet.settings.iter().map(|s| s.membership.as_ref().unwrap().listen.to_string()).collect();
    let order = |command: &str, name: &str| {
        let out = Command::new(EXE).args(["regions", command, name]).args(&links).output().unwrap();
        let text = String::from_utf8_lossy(&out.stdout).to_string() + &String::from_utf8_lossy(&out.stderr);
        (out.status.success(), text)
    };
    until("a rehearsal is answered", 10, || {
        let (done, text) = order("plan", "a");
        done && text.contains("evacuated by an operator")
    });
    assert_eq!(zone(&fleet, "a"), Some(1.0), "a rehearsal changes nothing");
    until("the order is taken", 10, || order("order", "a").0);
    until("it is given up", 10, || zone(&fleet, "a") == Some(0.0));
    let (done, text) = order("order", "nowhere");
    assert!(!done && text.contains("no zone"), "{text}");
    // The order outlives the leader.
    let leads = |fleet: &Nodes| {
        (0..3).find(|n| fleet.status_document(*n, "/pintally/keepers")["standing"] == "leads")
    };
    until("one leads", 10, || leads(&fleet).is_some());
    let leader = leads(&fleet).expect("one leads");
    fleet.kill(leader);
    until("another plans, and holds to the order", 15, || {
        leads(&fleet).is_some_and(|l| l != leader) && zone(&fleet, "a") == Some(0.0)
    });
    until("the release is taken", 10, || order("release", "a").0);
    until("it is back in steps", 20, || zone(&fleet, "a") == Some(1.0));
    let at: Vec<String> =
        (0..3).filter(|n| *n != leader).map(|n| fleet.settings[n].listen.to_string()).collect();
    let out = Command::new(EXE).args(["regions", "status"]).args(&at).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && text.contains("alive") | text.contains("unknown"), "{text}");
}

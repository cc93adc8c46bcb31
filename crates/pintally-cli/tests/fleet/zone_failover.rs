//! Several node processes in three zones of two regions: zones whose engines vanish, zones that lose power, cuts
//! between nodes, and operator commands. Each day is audited against the five rules.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use pintally_audit::AuditEvent;
use pintally_scenario::{run_with, Scenario, ScenarioResult};

use crate::node_processes::{wait_until, NodeProcesses, EXE};

const KEEPERS: &str = r#"(keepers (names "n0" "n1" "n2") (beat-ms 60) (election-ms 400) (doubt-ms 1500))"#;
const REGIONS: &str = r#"(regions (zone "a" "north") (zone "b" "north") (zone "c" "south")
    (per-engine-per-s 5) (every-ms 300) (lasts-ms 2000) (grace-ms 1000) (hold-ms 2500) (hold-most-ms 10000)
    (step-ms 1000))"#;

/// The file of a day with six nodes and their engines in three zones; `extra_forms` adds settings and faults.
fn day_text(seconds: u32, seed: u64, extra_forms: &str) -> String {
    crate::day_text(seconds, 6, seed, extra_forms)
        .replace("(zones \"a\" \"b\") (racks 2)", "(zones \"a\" \"b\" \"c\") (racks 3)")
        .replace("(engines \"prefill\" (count 4)", "(engines \"prefill\" (count 6)")
        .replace("(engines \"decode\" (count 5)", "(engines \"decode\" (count 6)")
}

fn run_day(name: &str, seed: u64, extra_forms: &str) -> ScenarioResult {
    let _slot = crate::RUN_SLOTS.acquire();
    let day = Scenario::parse(name, &day_text(22, seed, extra_forms)).expect("a valid day");
    let result = run_with(&day, seed, Path::new(EXE)).expect("the day runs");
    let r = &result.report;
    println!("{name}, seed {seed}: {} requests, {} served, {} refused", r.requests, r.served, r.refused);
    for (rule, found) in r.rules.each() {
        assert!(found.is_empty(), "{name}, seed {seed}: {rule}: {found:?}");
    }
    result
}

/// For each second the number of attempts and of those to an engine outside the node's zone.
fn remote_attempts(result: &ScenarioResult) -> BTreeMap<u64, (u64, u64)> {
    let AuditEvent::Parameters(figures) = &result.record[0].event else { panic!("figures come first") };
    let zones: BTreeMap<&str, &str> =
        figures.engines.iter().map(|e| (e.engine.as_str(), e.zone.as_str())).collect();
    let zone_of_node = |node: &str| ["a", "b", "c"][node[1..].parse::<usize>().unwrap_or(0) % 3];
    let asked = |r: &&pintally_audit::Record| matches!(r.event, AuditEvent::RequestSent { .. });
    let first = result.record.iter().filter(asked).map(|r| r.at).min().unwrap_or(0);
    let mut seconds: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for r in &result.record {
        if let AuditEvent::AttemptArrived { engine, node, .. } = &r.event {
            let count = seconds.entry(r.at.saturating_sub(first) / 1_000_000).or_default();
            count.0 += 1;
            count.1 += u64::from(zones.get(engine.as_str()).is_some_and(|z| *z != zone_of_node(node)));
        }
    }
    seconds
}

#[test]
fn dark_zone_fails_over_and_recovers() {
    let extra_forms = format!("{KEEPERS} {REGIONS} (fault zone-dark (at 7) (for 6) (zone \"a\"))");
    let result = run_day("zone-dark", 51, &extra_forms);
    let seconds = remote_attempts(&result);
    println!("attempts and those to other zones, by second: {seconds:?}");
    let remote_share = |from: u64, to: u64| {
        let (all, far) = seconds.range(from..to).fold((0, 0), |s, (_, c)| (s.0 + c.0, s.1 + c.1));
        far as f64 / all.max(1) as f64
    };
    assert!(
        remote_share(2, 6) < 0.01,
        "the own zone had room, but {:.3} went to other zones",
        remote_share(2, 6)
    );
    assert!(
        remote_share(10, 13) > 0.1,
        "while the zone is dark its requests go to other zones: {:.3}",
        remote_share(10, 13)
    );
    let end = crate::served_share_after(&result, 19.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

#[test]
fn survives_zone_power_loss_and_peer_cut() {
    let extra_forms = format!("{KEEPERS} {REGIONS} (fault zone-power (at 7) (for 5) (zone \"b\"))");
    let result = run_day("zone-power", 52, &extra_forms);
    let end = crate::served_share_after(&result, 19.0);
    assert!(end > 0.85, "{end:.2} served at the end");
    // The halves of the fleet cannot communicate; the smaller one prefers its own zones and changes no plan.
    let extra_forms = format!("{KEEPERS} {REGIONS} (fault peer-cut (at 6) (for 8))");
    let result = run_day("zones-cut", 53, &extra_forms);
    let seconds = remote_attempts(&result);
    let (all, far) = seconds.values().fold((0, 0), |s, c| (s.0 + c.0, s.1 + c.1));
    assert!(far * 50 < all, "no engine is lost, but {far} of {all} attempts went to other zones");
    let end = crate::served_share_after(&result, 18.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

/// The leader dies while a zone is dark: the next leader continues from its plan.
#[test]
fn survives_leader_failure_while_zone_is_dark() {
    let extra_forms = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 6) (for 8) (zone \"c\")) (fault node-kill (at 9) (for 2) (part 0.5))"
    );
    let result = run_day("zone-leader", 54, &extra_forms);
    let end = crate::served_share_after(&result, 19.5);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// The second zone goes dark just after the requests of the first have moved to it.
#[test]
fn survives_second_dark_zone_after_three_seconds() {
    let extra_forms = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 4) (for 6) (zone \"a\")) (fault zone-dark (at 7) (for 3) (zone \"b\"))"
    );
    let result = run_day("two-zones", 55, &extra_forms);
    let end = crate::served_share_after(&result, 19.5);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// A zone that fails and returns repeatedly is held back for longer each time and attracts no burst of requests;
/// requests are served at the end.
#[test]
fn survives_flapping_zone() {
    let flaps: String =
        (0..4).map(|n| format!(" (fault zone-dark (at {}) (for 1) (zone \"c\"))", 4 + 2 * n)).collect();
    let result = run_day("zone-flaps", 56, &format!("{KEEPERS} {REGIONS}{flaps}"));
    let end = crate::served_share_after(&result, 19.5);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// Half of the nodes receive from the others but cannot send to them, while a zone is dark and all links lose packets.
#[test]
fn survives_one_way_links_while_zone_is_dark() {
    let extra_forms = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 7) (for 5) (zone \"a\")) (fault peer-one-way (at 5) (for 8)) \
         (fault peer-loss (at 5) (for 10) (size 0.1))"
    );
    let result = run_day("one-way-dark", 57, &extra_forms);
    let end = crate::served_share_after(&result, 19.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

/// A third of the nodes is paused for longer than the lifetime of a plan and continues with its old plan, while the
/// fleet has a newer one.
#[test]
fn paused_nodes_resume_with_outdated_plans() {
    let extra_forms = format!(
        "{KEEPERS} {REGIONS} (fault zone-dark (at 6) (for 4) (zone \"b\")) (fault node-pause (at 7) (for 6) (part 0.34))"
    );
    let result = run_day("old-orders", 58, &extra_forms);
    let end = crate::served_share_after(&result, 19.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

#[test]
fn operator_evacuates_releases_and_dry_runs_zone() {
    let mut fleet =
        NodeProcesses::with(3, &format!("{KEEPERS} {}", REGIONS.replace("(zone \"c\" \"south\")", "")));
    fleet.start_all();
    let open_share = |fleet: &NodeProcesses, name: &str| -> Option<f64> {
        (0..3).find_map(|n| {
            let document = fleet.status_document(n, "/pintally/regions");
            let zones = document["leads"]["zones"].as_array()?.clone();
            zones.iter().find(|z| z["zone"] == name)?["open"].as_f64()
        })
    };
    wait_until("there is a plan", 15, || open_share(&fleet, "a") == Some(1.0));
    let peer_addresses: Vec<String> =
        fleet.settings.iter().map(|s| s.membership.as_ref().unwrap().listen.to_string()).collect();
    let run_command = |command: &str, name: &str| {
        let out = Command::new(EXE).args(["regions", command, name]).args(&peer_addresses).output().unwrap();
        let text = String::from_utf8_lossy(&out.stdout).to_string() + &String::from_utf8_lossy(&out.stderr);
        (out.status.success(), text)
    };
    wait_until("the dry run succeeds", 10, || {
        let (done, text) = run_command("plan", "a");
        done && text.contains("evacuated by an operator")
    });
    assert_eq!(open_share(&fleet, "a"), Some(1.0), "a dry run changes nothing");
    wait_until("the evacuation is accepted", 10, || run_command("order", "a").0);
    wait_until("the zone is evacuated", 10, || open_share(&fleet, "a") == Some(0.0));
    let (done, text) = run_command("order", "nowhere");
    assert!(!done && text.contains("no zone"), "{text}");
    // The evacuation survives the leader.
    let leader_of = |fleet: &NodeProcesses| {
        (0..3).find(|n| fleet.status_document(*n, "/pintally/keepers")["standing"] == "leads")
    };
    wait_until("there is a leader", 10, || leader_of(&fleet).is_some());
    let leader = leader_of(&fleet).expect("there is a leader");
    fleet.kill(leader);
    wait_until("the new leader keeps the evacuation", 15, || {
        leader_of(&fleet).is_some_and(|l| l != leader) && open_share(&fleet, "a") == Some(0.0)
    });
    wait_until("the release is accepted", 10, || run_command("release", "a").0);
    wait_until("the zone is fully open again", 20, || open_share(&fleet, "a") == Some(1.0));
    let client_addresses: Vec<String> =
        (0..3).filter(|n| *n != leader).map(|n| fleet.settings[n].listen.to_string()).collect();
    let out = Command::new(EXE).args(["regions", "status"]).args(&client_addresses).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success() && text.contains("alive") | text.contains("unknown"), "{text}");
}

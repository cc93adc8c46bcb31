//! Cells over sockets: tenant floods, tenant moves and engine losses, each audited at the end.

use std::collections::BTreeMap;

use pintally_audit::{Answer, AuditEvent};
use pintally_scenario::{run_steady, Scenario, ScenarioResult};

const BASE: &str = r#"
  (zones "a" "b") (racks 2) (slack-ms 800)
  (rules (warm-after-ms 2000) (tip-window-ms 500))
  (limits (held 300) (answer-margin-ms 500) (connect-ms 200) (errand-ms 200))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 3000) (worth 2))
  (class "keyed" (effect keyed (group all) (window-ms 9000)) (aim-ms 1500) (patience-ms 3000))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (patience-ms 3000) (worth 3))
  (tenant "north") (tenant "south") (tenant "east")
  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 24) (memory-tokens 60000))
  (engines "prefill" (cell "blue") (count 2) (queue 20) (read-per-s 10000))
  (engines "decode" (cell "blue") (count 3) (queue 12) (token-gap-ms 6))
  (engines "prefill" (cell "green") (count 2) (queue 20) (read-per-s 10000))
  (engines "decode" (cell "green") (count 3) (queue 12) (token-gap-ms 6))
  (traffic (per-second 45) (retries 1) (retry-wait-ms 100)
    (class "hint" (share 40)) (class "keyed" (share 30)) (class "graded-submit" (share 30))
    (tenant "north" (share 30)) (tenant "south" (share 30)) (tenant "east" (share 40)))"#;

const CELLS: &str = r#"(cells (version 1)
    (cell "blue" (readers 2) (writers 3) FALLBACK)
    (cell "green" (readers 2) (writers 3))
    (tenant "north" (cells "blue")) (tenant "south" (cells "blue")) (tenant "east" (cells "green")))"#;

fn run(name: &str, nodes: usize, fallback: &str, more: &str) -> ScenarioResult {
    let cells = CELLS.replace("FALLBACK", fallback);
    let text = format!(
        r#"(day (name "{name}") (seconds 8) (settle-seconds 10) (nodes {nodes} (notice-ms 150) (front-ms 300)) {BASE} {cells} {more})"#
    );
    let scenario = Scenario::parse(name, &text).unwrap();
    println!("day {name}, seed 5");
    let result = run_steady(&scenario, 5, None).unwrap();
    assert!(result.report.rules.kept(), "{:#?}", result.report.rules);
    assert!(result.report.requests > 200, "{:?}", result.report);
    result
}

/// Number of requests sent and served, by tenant.
fn served(result: &ScenarioResult) -> BTreeMap<String, (u64, u64)> {
    let mut tenant_of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut counts: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, tenant: Some(tenant), .. } => {
                tenant_of.insert(request, tenant);
                counts.entry(tenant.clone()).or_default().0 += 1;
            }
            AuditEvent::Answered { request, answer: Answer::Served } => {
                if let Some(tenant) = tenant_of.get(request.as_str()) {
                    counts.entry(tenant.to_string()).or_default().1 += 1;
                }
            }
            _ => {}
        }
    }
    counts
}

/// What the record holds of a tenant's requests that were not served, for the message of a failed check.
fn unserved(result: &ScenarioResult, tenant: &str) -> String {
    let tenant_of = tenants(result);
    let is_served = |request: &str| {
        result.record.iter().any(|r| {
            matches!(&r.event, AuditEvent::Answered { request: of, answer: Answer::Served } if of == request)
        })
    };
    let requests = tenant_of.iter().filter(|(_, of)| **of == tenant).map(|(request, _)| *request);
    let unserved: Vec<String> = requests.filter(|r| !is_served(r)).map(|r| format!("{r:?}")).collect();
    let concerns = |event: &str| unserved.iter().any(|request| event.contains(request));
    let lines = result.record.iter().map(|r| (r.at, format!("{:?}", r.event)));
    let chosen = lines.filter(|(_, event)| concerns(event) || event.starts_with("MachineLate"));
    chosen.map(|(at, event)| format!("\n{:9.3} s {event}", at as f64 / 1e6)).collect()
}

/// The tenant of each request.
fn tenants(result: &ScenarioResult) -> BTreeMap<&str, &str> {
    let tenant_of = result.record.iter().filter_map(|r| match &r.event {
        AuditEvent::RequestSent { request, tenant: Some(tenant), .. } => {
            Some((request.as_str(), tenant.as_str()))
        }
        _ => None,
    });
    tenant_of.collect()
}

/// Checks that every attempt runs on an engine that `allowed` permits for its tenant.
fn assert_confined(result: &ScenarioResult, allowed: impl Fn(&str, &str) -> bool) {
    let mut tenant_of: BTreeMap<&str, &str> = BTreeMap::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, tenant: Some(tenant), .. } => {
                tenant_of.insert(request, tenant);
            }
            AuditEvent::AttemptArrived { request, engine, .. } => {
                let tenant = tenant_of.get(request.as_str()).expect("an attempt of an unknown request");
                assert!(allowed(tenant, engine), "{tenant} was served by {engine}");
            }
            _ => {}
        }
    }
}

/// Checks that all attempts of a request run in the same cell.
fn assert_one_cell_per_request(result: &ScenarioResult) {
    let mut cells: BTreeMap<&str, &str> = BTreeMap::new();
    for r in &result.record {
        if let AuditEvent::AttemptArrived { request, engine, .. } = &r.event {
            let cell = if engine.contains("blue") { "blue" } else { "green" };
            let first = cells.entry(request).or_insert(cell);
            assert_eq!(*first, cell, "request {request} went from one cell to the other");
        }
    }
}

#[test]
fn tenant_flood_does_not_affect_the_other_cell() {
    let flood = r#"(fault tenant-flood (at 1) (for 6) (tenant "north") (size 10))"#;
    for nodes in [1, 3] {
        let result = run("flood", nodes, "", flood);
        assert_confined(&result, |tenant, engine| engine.contains("blue") != (tenant == "east"));
        let counts = served(&result);
        let (sent, served_count) = counts["east"];
        assert!(
            served_count * 100 >= sent * 98,
            "{nodes} nodes: east was served {served_count} of {sent}:{}",
            unserved(&result, "east")
        );
        assert!(counts["north"].0 > 2 * counts["south"].0, "there was no flood: {counts:?}");
    }
}

#[test]
fn tenant_move_survives_flood_and_node_restart() {
    let more = r#"(fault move-tenant (at 0.5) (for 5) (tenant "south") (cell "green"))
      (fault tenant-flood (at 1) (for 4) (tenant "south") (size 3))
      (fault node-kill (at 2) (for 1) (part 0.34))"#;
    let result = run("move", 3, "", more);
    assert_confined(&result, |tenant, engine| match tenant {
        "south" => true,
        "east" => engine.contains("green"),
        _ => engine.contains("blue"),
    });
    assert_one_cell_per_request(&result);
    let souths = |cell: &str| {
        let tenant_of = tenants(&result);
        let took = result.record.iter().filter(|r| match &r.event {
            AuditEvent::AttemptArrived { request, engine, .. } => {
                tenant_of[request.as_str()] == "south" && engine.contains(cell)
            }
            _ => false,
        });
        took.map(|r| r.at).collect::<Vec<_>>()
    };
    let (blue, green) = (souths("blue"), souths("green"));
    assert!(!blue.is_empty() && !green.is_empty(), "it never moved: {} and {}", blue.len(), green.len());
    assert!(blue.iter().min() < green.iter().min(), "it began in the receiving cell");
    // Only the first node is checked: by its last two seconds nearly all its sessions have moved. The last
    // node sees the move five seconds later and is still moving sessions.
    let tenant_of = tenants(&result);
    let last = green.iter().max().map_or(0, |at| at.saturating_sub(2_000_000));
    let at_first = |cell: &str| {
        let took = result.record.iter().filter(|r| match &r.event {
            AuditEvent::AttemptArrived { request, engine, node, .. } => {
                tenant_of[request.as_str()] == "south" && engine.contains(cell) && node == "n0" && r.at > last
            }
            _ => false,
        });
        took.count()
    };
    let (stayed, gone) = (at_first("blue"), at_first("green"));
    assert!(stayed * 3 < gone, "the move did not complete: {stayed} attempts stayed, {gone} moved");
}

#[test]
fn cell_with_few_engines_left_rejects_and_the_other_serves() {
    let loss = r#"(fault crash (at 2) (for 3) (cell "blue") (part 0.8))"#;
    let result = run("loss", 2, "", loss);
    let counts = served(&result);
    let (sent, served_count) = counts["east"];
    assert!(served_count * 100 >= sent * 98, "east was served {served_count} of {sent}");
    assert!(result.report.refused > 0, "nothing was refused: {:?}", result.report);
    assert_confined(&result, |tenant, engine| engine.contains("blue") != (tenant == "east"));
}

#[test]
fn spare_engines_are_lent_and_a_lost_cell_falls_back() {
    let spare = r#"(engines "prefill" (count 2) (queue 20) (read-per-s 10000))
      (engines "decode" (count 2) (queue 12) (token-gap-ms 6))
      (fault crash (at 1.5) (for 4) (cell "blue") (part 0.8))"#;
    let lent = run("loans", 2, "", spare);
    let by_spare = lent.record.iter().filter(|r| {
        matches!(&r.event, AuditEvent::AttemptArrived { engine, .. } if !engine.contains("blue") && !engine.contains("green"))
    });
    assert!(by_spare.count() > 0, "no spare engine was lent");

    let lost = r#"(fault crash (at 1.5) (for 4) (cell "blue") (part 1))"#;
    let fallen = run("fallback", 2, "(fallback \"green\")", lost);
    let mut fallback_attempts = 0;
    assert_confined(&fallen, |tenant, engine| tenant != "east" || engine.contains("green"));
    let tenant_of = tenants(&fallen);
    for r in &fallen.record {
        if let AuditEvent::AttemptArrived { request, engine, .. } = &r.event {
            fallback_attempts +=
                usize::from(tenant_of[request.as_str()] != "east" && engine.contains("green"));
        }
    }
    assert!(fallback_attempts > 0, "no request went to the fallback cell");
    let (sent, served_count) = served(&fallen)["east"];
    assert!(served_count * 100 >= sent * 95, "east was served {served_count} of {sent}");
}

#[test]
fn tenant_move_survives_loss_of_either_cell() {
    let both = r#"(fault move-tenant (at 0.5) (for 5) (tenant "south") (cell "green"))
      (fault crash (at 2) (for 3) (cell "blue") (part 0.8))"#;
    assert_one_cell_per_request(&run("both", 2, "", both));
    let dies = r#"(fault move-tenant (at 0.5) (for 4) (tenant "south") (cell "green"))
      (fault crash (at 2.5) (for 3) (cell "green") (part 1))"#;
    assert_one_cell_per_request(&run("receiver", 2, "", dies));
}

/// A bad software release: every engine of one cell fails each request after 300 ms.
#[test]
fn bad_release_sends_tenants_to_the_fallback_cell() {
    let bad = r#"(fault bad-release (at 1) (for 6.5) (cell "blue") (part 1) (size 300))"#;
    let result = run("release", 2, "(fallback \"green\")", bad);
    assert_confined(&result, |tenant, engine| tenant != "east" || engine.contains("green"));
    assert_one_cell_per_request(&result);
    let counts = served(&result);
    let (sent, served_count) = counts["east"];
    assert!(served_count * 100 >= sent * 95, "east was served {served_count} of {sent}");
    let tenant_of = tenants(&result);
    let begin =
        result.record.iter().find(|r| matches!(&r.event, AuditEvent::RequestSent { .. })).map_or(0, |r| r.at);
    let on_fallback = result.record.iter().filter(|r| match &r.event {
        AuditEvent::AttemptArrived { request, engine, .. } => {
            tenant_of[request.as_str()] != "east" && engine.contains("green")
        }
        _ => false,
    });
    assert!(on_fallback.count() > 10, "no request went to the fallback cell");
    // Once the cell counts as lost, hardly any attempts go to it.
    let tried = result.record.iter().filter(|r| match &r.event {
        AuditEvent::AttemptArrived { engine, .. } => {
            engine.contains("blue") && r.at > begin + 5_000_000 && r.at < begin + 7_000_000
        }
        _ => false,
    });
    let (tried, before) = (tried.count(), counts["north"].0 + counts["south"].0);
    assert!(tried * 10 < before as usize, "{tried} attempts went into a cell that fails");
}

/// The same without a fallback cell: requests of its tenants are mostly rejected, and the other tenants are not
/// affected.
#[test]
fn bad_release_without_fallback_affects_one_cell_only() {
    let bad = r#"(fault bad-release (at 1) (for 6.5) (cell "blue") (part 1) (size 300))
      (fault slow (at 1) (for 3) (cell "blue") (part 0.5) (size 8))"#;
    let result = run("release", 2, "", bad);
    let counts = served(&result);
    let (sent, served_count) = counts["east"];
    assert!(served_count * 100 >= sent * 98, "east was served {served_count} of {sent}");
    assert_confined(&result, |tenant, engine| engine.contains("blue") != (tenant == "east"));
    assert!(result.report.refused > result.report.failed, "{:?}", result.report);
}

/// A slow receiving cell delays a move; the rules hold meanwhile.
#[test]
fn tenant_move_into_a_slow_cell_keeps_the_rules() {
    let slow = r#"(fault move-tenant (at 0.5) (for 5) (tenant "south") (cell "green"))
      (fault slow (at 1.5) (for 3) (cell "green") (part 1) (size 20))"#;
    assert_one_cell_per_request(&run("held", 2, "", slow));
}

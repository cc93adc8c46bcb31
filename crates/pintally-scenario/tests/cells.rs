//! Cells over sockets: floods, moves and losses, each with the rules audited at the end.

use std::collections::BTreeMap;

use pintally_audit::{Answer, AuditEvent};
use pintally_scenario::{run_steady, Scenario, ScenarioResult};

const DAY: &str = r#"
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

fn play(name: &str, nodes: usize, fallback: &str, more: &str) -> ScenarioResult {
    let cells = CELLS.replace("FALLBACK", fallback);
    let text = format!(
        r#"(day (name "{name}") (seconds 8) (settle-seconds 10) (nodes {nodes} (notice-ms 150) (front-ms 300)) {DAY} {cells} {more})"#
    );
    let day = Scenario::parse(name, &text).unwrap();
    println!("day {name}, seed 5");
    let result = run_steady(&day, 5, None).unwrap();
    assert!(result.report.rules.kept(), "{:#?}", result.report.rules);
    assert!(result.report.requests > 200, "{:?}", result.report);
    result
}

/// Requests of each tenant that clients sent and that were served.
fn served(result: &ScenarioResult) -> BTreeMap<String, (u64, u64)> {
    let mut of: BTreeMap<&str, &str> = BTreeMap::new();
    let mut counts: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, tenant: Some(tenant), .. } => {
                of.insert(request, tenant);
                counts.entry(tenant.clone()).or_default().0 += 1;
            }
            AuditEvent::Answered { request, answer: Answer::Served } => {
                if let Some(tenant) = of.get(request.as_str()) {
                    counts.entry(tenant.to_string()).or_default().1 += 1;
                }
            }
            _ => {}
        }
    }
    counts
}

/// The tenant of each request.
fn tenants(result: &ScenarioResult) -> BTreeMap<&str, &str> {
    let of = result.record.iter().filter_map(|r| match &r.event {
        AuditEvent::RequestSent { request, tenant: Some(tenant), .. } => {
            Some((request.as_str(), tenant.as_str()))
        }
        _ => None,
    });
    of.collect()
}

/// Every attempt of a tenant stays in the cells that it may be in: `allowed` says which at what time.
fn confined(result: &ScenarioResult, allowed: impl Fn(&str, &str) -> bool) {
    let mut of: BTreeMap<&str, &str> = BTreeMap::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, tenant: Some(tenant), .. } => {
                of.insert(request, tenant);
            }
            AuditEvent::AttemptArrived { request, engine, .. } => {
                let tenant = of.get(request.as_str()).expect("work of nobody");
                assert!(allowed(tenant, engine), "{tenant} was served by {engine}");
            }
            _ => {}
        }
    }
}

/// No request is read or written in two cells: it ends where it began.
fn whole_in_one_cell(result: &ScenarioResult) {
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
fn a_flood_of_one_tenant_leaves_the_other_cell_alone() {
    let flood = r#"(fault tenant-flood (at 1) (for 6) (tenant "north") (size 10))"#;
    for nodes in [1, 3] {
        let result = play("flood", nodes, "", flood);
        confined(&result, |tenant, engine| engine.contains("blue") != (tenant == "east"));
        let counts = served(&result);
        let (asked, well) = counts["east"];
        assert!(well * 100 >= asked * 98, "{nodes} nodes: east was served {well} of {asked}");
        assert!(counts["north"].0 > 2 * counts["south"].0, "there was no flood: {counts:?}");
    }
}

#[test]
fn a_tenant_moved_in_its_busiest_minute_while_a_node_restarts_and_nodes_see_it_apart() {
    let more = r#"(fault move-tenant (at 0.5) (for 5) (tenant "south") (cell "green"))
      (fault tenant-flood (at 1) (for 4) (tenant "south") (size 3))
      (fault node-kill (at 2) (for 1) (part 0.34))"#;
    let result = play("move", 3, "", more);
    confined(&result, |tenant, engine| match tenant {
        "south" => true,
        "east" => engine.contains("green"),
        _ => engine.contains("blue"),
    });
    whole_in_one_cell(&result);
    let souths = |cell: &str| {
        let of = tenants(&result);
        let took = result.record.iter().filter(|r| match &r.event {
            AuditEvent::AttemptArrived { request, engine, .. } => {
                of[request.as_str()] == "south" && engine.contains(cell)
            }
            _ => false,
        });
        took.map(|r| r.at).collect::<Vec<_>>()
    };
    let (blue, green) = (souths("blue"), souths("green"));
    assert!(!blue.is_empty() && !green.is_empty(), "it never moved: {} and {}", blue.len(), green.len());
    assert!(blue.iter().min() < green.iter().min(), "it began where it was to go");
    // The first node to see it has let nearly all sessions go by its last two seconds; one that saw it
    // five seconds later is still at it.
    let of = tenants(&result);
    let last = green.iter().max().map_or(0, |at| at.saturating_sub(2_000_000));
    let at_first = |cell: &str| {
        let took = result.record.iter().filter(|r| match &r.event {
            AuditEvent::AttemptArrived { request, engine, node, .. } => {
                of[request.as_str()] == "south" && engine.contains(cell) && node == "n0" && r.at > last
            }
            _ => false,
        });
        took.count()
    };
    let (stayed, gone) = (at_first("blue"), at_first("green"));
    assert!(
        stayed * 3 < gone,
        "it never came to be where it was to go: {stayed} attempts stayed, {gone} went"
    );
}

#[test]
fn a_cell_that_loses_most_of_its_engines_refuses_promptly_and_the_other_serves_on() {
    let loss = r#"(fault crash (at 2) (for 3) (cell "blue") (part 0.8))"#;
    let result = play("loss", 2, "", loss);
    let counts = served(&result);
    let (asked, well) = counts["east"];
    assert!(well * 100 >= asked * 98, "east was served {well} of {asked}");
    assert!(result.report.refused > 0, "nothing was refused: {:?}", result.report);
    confined(&result, |tenant, engine| engine.contains("blue") != (tenant == "east"));
}

#[test]
fn spare_engines_stand_in_for_what_a_cell_has_lost_and_a_lost_cell_falls_back() {
    let spare = r#"(engines "prefill" (count 2) (queue 20) (read-per-s 10000))
      (engines "decode" (count 2) (queue 12) (token-gap-ms 6))
      (fault crash (at 1.5) (for 4) (cell "blue") (part 0.8))"#;
    let lent = play("loans", 2, "", spare);
    let by_spare = lent.record.iter().filter(|r| {
        matches!(&r.event, AuditEvent::AttemptArrived { engine, .. } if !engine.contains("blue") && !engine.contains("green"))
    });
    assert!(by_spare.count() > 0, "no spare engine was lent");

    let lost = r#"(fault crash (at 1.5) (for 4) (cell "blue") (part 1))"#;
    let fallen = play("fallback", 2, "(fallback \"green\")", lost);
    let mut strangers = 0;
    confined(&fallen, |tenant, engine| tenant != "east" || engine.contains("green"));
    let of = tenants(&fallen);
    for r in &fallen.record {
        if let AuditEvent::AttemptArrived { request, engine, .. } = &r.event {
            strangers += usize::from(of[request.as_str()] != "east" && engine.contains("green"));
        }
    }
    assert!(strangers > 0, "nobody went to the cell that stands in");
    let (asked, well) = served(&fallen)["east"];
    assert!(well * 100 >= asked * 95, "east was served {well} of {asked}");
}

#[test]
fn a_move_and_a_loss_at_once_and_a_plan_whose_receiving_cell_dies() {
    let both = r#"(fault move-tenant (at 0.5) (for 5) (tenant "south") (cell "green"))
      (fault crash (at 2) (for 3) (cell "blue") (part 0.8))"#;
    whole_in_one_cell(&play("both", 2, "", both));
    let dies = r#"(fault move-tenant (at 0.5) (for 4) (tenant "south") (cell "green"))
      (fault crash (at 2.5) (for 3) (cell "green") (part 1))"#;
    whole_in_one_cell(&play("receiver", 2, "", dies));
}

/// A bad release: every engine of one cell fails whatever it takes on, late.
#[test]
fn a_bad_release_that_fails_slowly_sends_its_tenants_to_the_cell_that_stands_in() {
    let bad = r#"(fault bad-release (at 1) (for 6.5) (cell "blue") (part 1) (size 300))"#;
    let result = play("release", 2, "(fallback \"green\")", bad);
    confined(&result, |tenant, engine| tenant != "east" || engine.contains("green"));
    whole_in_one_cell(&result);
    let counts = served(&result);
    let (asked, well) = counts["east"];
    assert!(well * 100 >= asked * 95, "east was served {well} of {asked}");
    let of = tenants(&result);
    let begin =
        result.record.iter().find(|r| matches!(&r.event, AuditEvent::RequestSent { .. })).map_or(0, |r| r.at);
    let stood_in = result.record.iter().filter(|r| match &r.event {
        AuditEvent::AttemptArrived { request, engine, .. } => {
            of[request.as_str()] != "east" && engine.contains("green")
        }
        _ => false,
    });
    assert!(stood_in.count() > 10, "nobody went to the cell that stands in");
    // Once the cell counts as lost, next to nothing goes into it any more.
    let tried = result.record.iter().filter(|r| match &r.event {
        AuditEvent::AttemptArrived { engine, .. } => {
            engine.contains("blue") && r.at > begin + 5_000_000 && r.at < begin + 7_000_000
        }
        _ => false,
    });
    let (tried, before) = (tried.count(), counts["north"].0 + counts["south"].0);
    assert!(tried * 10 < before as usize, "{tried} attempts went into a cell that fails");
}

/// The same without a cell that stands in: its tenants hear of it at once, the others notice nothing.
#[test]
fn a_bad_release_in_one_cell_harms_that_cell_only() {
    let bad = r#"(fault bad-release (at 1) (for 6.5) (cell "blue") (part 1) (size 300))
      (fault slow (at 1) (for 3) (cell "blue") (part 0.5) (size 8))"#;
    let result = play("release", 2, "", bad);
    let counts = served(&result);
    let (asked, well) = counts["east"];
    assert!(well * 100 >= asked * 98, "east was served {well} of {asked}");
    confined(&result, |tenant, engine| engine.contains("blue") != (tenant == "east"));
    assert!(result.report.refused > result.report.failed, "{:?}", result.report);
}

/// A new cell that is late holds a move back; the rules hold while it waits.
#[test]
fn a_move_into_a_cell_that_is_slow_loses_nothing() {
    let slow = r#"(fault move-tenant (at 0.5) (for 5) (tenant "south") (cell "green"))
      (fault slow (at 1.5) (for 3) (cell "green") (part 1) (size 20))"#;
    whole_in_one_cell(&play("held", 2, "", slow));
}

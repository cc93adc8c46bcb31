//! Several processes of the program, and what happens when parts of the fleet fail together: power
//! losses, links between nodes that are cut or stall, processes that stand still, disks that lie. Each
//! day is audited against the five rules over what crossed the sockets; its seed is printed.

mod by_hand;
mod golden;
mod limits;
mod regions;
mod verdicts;

use std::path::Path;

use pintally_scenario::{run_with, RunSlots, Scenario, ScenarioResult};

/// Days at once: each has a handful of processes and hundreds of clients.
static TURNS: RunSlots = RunSlots::new(3);

/// A day of some nodes and nine engines; `more` adds disks and faults.
fn text(seconds: u32, nodes: usize, seed: u64, more: &str) -> String {
    // Two tenants, where a day names them, of which the first sends most.
    let tenants = "(tenant \"a\" (share 70)) (tenant \"b\" (share 30))";
    let of = if more.contains("(tenant \"b\")") { tenants } else { "" };
    format!(
        r#"(day (name "fleet") (seed {seed}) (seconds {seconds}) (settle-seconds 15) (zones "a" "b") (racks 2)
  (nodes {nodes} (processes yes) (notice-ms 400) (front-ms 600))
  (drain-grace-ms 1000) (slack-ms 150)
  (peers (fleet "test") (listen "127.0.0.1:0") (period-ms 150) (answer-ms 50) (indirect 2) (repair-ms 600)
         (forget-ms 600000))
  (recovery (every-ms 50) (read-within-ms 300) (answer-within-ms 150) (rounds 2) (ask 3)
            (careful-most-ms 5000) (per-engine-per-s 6) (textless 0.8))
  (rules (attempts 6) (cold-from 0.3) (warm-after-ms 4000) (tip-multiple 2.5) (tip-window-ms 1000)
         (release-within-ms 500) (retry-after-most-ms 1500))
  (limits (connect-ms 250) (errand-ms 250) (answer-margin-ms 100) (stall-ms 8000) (stop-ms 4000))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 3000) (worth 2) (late-share 0.2))
  (class "mark" (effect unsafe) (aim-ms 1500) (patience-ms 4000) (worth 3) (late-share 0.3))
  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 48) (memory-tokens 90000))
  (engines "prefill" (count 4) (queue 40) (read-per-s 15000) (link-per-s 300000))
  (engines "decode" (count 5) (queue 24) (token-gap-ms 10))
  (traffic {of} (per-second 30) (retries 2) (retry-wait-ms 200) (heed 0.8) (streamed 0.8)
    (shared-texts 6) (shared-tokens 200 600)
    (class "hint" (share 70) (turns 1 3) (adds 60 200) (answer 10 30) (shared 0.8))
    (class "mark" (share 30) (turns 1 2) (adds 60 200) (answer 10 30) (shared 0.7)))
  {more})"#
    )
}

/// Plays a day with nodes as processes; rules must be kept and no cold engine may fall.
fn play(name: &str, seconds: u32, nodes: usize, seed: u64, more: &str) -> ScenarioResult {
    let _turn = TURNS.acquire();
    let day = Scenario::parse(name, &text(seconds, nodes, seed, more)).expect("a sound day");
    let result = run_with(&day, seed, Path::new(env!("CARGO_BIN_EXE_pintally"))).expect("the day is played");
    let r = &result.report;
    println!(
        "{name}, seed {seed}: {} requests, {} served, {} refused, {} failed",
        r.requests, r.served, r.refused, r.failed
    );
    for (rule, found) in r.rules.each() {
        assert!(found.is_empty(), "{name}, seed {seed}: {rule}: {found:?}");
    }
    assert_eq!(result.fell, 0, "{name}, seed {seed}: cold engines fell over");
    assert!(r.requests > 0);
    result
}

/// Requests served in the last seconds of a day, as a share of those that were asked anew: each client's
/// first try counts, and its later ones stand for it.
fn served_at_the_end(result: &ScenarioResult, from_s: f64) -> f64 {
    use pintally_audit::{Answer, AuditEvent};
    use std::collections::{BTreeMap, BTreeSet};
    let from = (from_s * 1e6) as u64;
    let first = result
        .record
        .iter()
        .filter(|r| matches!(r.event, AuditEvent::RequestSent { .. }))
        .map(|r| r.at)
        .min()
        .unwrap_or(0);
    let root = |id: &str| id.split('~').next().unwrap_or("").to_string();
    let mut asked: BTreeMap<String, u64> = BTreeMap::new();
    let mut served = BTreeSet::new();
    for r in &result.record {
        match &r.event {
            AuditEvent::RequestSent { request, .. } => {
                asked.entry(root(request)).or_insert(r.at);
            }
            AuditEvent::Answered { request, answer: Answer::Served } => {
                served.insert(root(request));
            }
            _ => {}
        }
    }
    let late: Vec<&String> = asked.iter().filter(|a| *a.1 >= first + from).map(|a| a.0).collect();
    assert!(late.len() > 20, "too few requests at the end: {}", late.len());
    late.iter().filter(|id| served.contains(**id)).count() as f64 / late.len() as f64
}

#[test]
fn the_power_fails_at_once_and_comes_back_in_pieces() {
    for seed in [1, 2] {
        let result = play("power", 20, 5, seed, "(fault power (at 7) (for 4))");
        let end = served_at_the_end(&result, 16.5);
        assert!(end > 0.9, "seed {seed}: {end:.2} served at the end");
    }
}

/// More nodes than a relay for each pair of them allowed (64), cut into halves, a third killed at once, and
/// packets lost and doubled all the while.
#[test]
fn seventy_two_processes_fail_together() {
    let troubles = "(fault peer-cut (at 3) (for 3)) (fault node-kill (at 5) (for 3) (part 0.33)) (fault peer-loss (at 4) (for 6))";
    let result = play("seventy-two", 14, 72, 21, troubles);
    let end = served_at_the_end(&result, 11.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

#[test]
fn a_second_loss_in_the_middle_of_the_recovery() {
    let result = play("second-loss", 22, 4, 3, "(fault power (at 6) (for 3)) (fault power (at 10) (for 3))");
    let end = served_at_the_end(&result, 19.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

#[test]
fn two_of_five_never_return() {
    let result = play("never-return", 20, 5, 4, "(fault power (at 6) (for 3) (size 2))");
    let end = served_at_the_end(&result, 16.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

#[test]
fn one_disk_of_each_lying_kind() {
    let lies = [
        "lost-syncs",
        "torn-write",
        "flipped-bit",
        "older-image",
        "full",
        "read-only",
        "slow",
        "read-errors",
    ];
    let disks: String = lies.iter().enumerate().map(|(n, lie)| format!("(disk {n} \"{lie}\") ")).collect();
    let more = format!("{disks} (fault power (at 6) (for 3)) (fault power (at 14) (for 2))");
    let result = play("lying-disks", 25, 8, 5, &more);
    let end = served_at_the_end(&result, 22.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

#[test]
fn all_disks_come_back_older() {
    let disks: String = (0..4).map(|n| format!("(disk {n} \"older-image\") ")).collect();
    let more = format!("{disks} (fault power (at 5) (for 2)) (fault power (at 12) (for 2))");
    let result = play("older-disks", 22, 4, 6, &more);
    let end = served_at_the_end(&result, 19.5);
    assert!(end > 0.9, "{end:.2} served at the end");
}

#[test]
fn peers_are_cut_into_halves_while_they_recover() {
    let result = play("halves", 20, 5, 7, "(fault power (at 6) (for 3)) (fault peer-cut (at 6) (for 9))");
    let end = served_at_the_end(&result, 17.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

#[test]
fn links_fail_one_way_and_a_side_of_a_triangle_is_missing() {
    play("one-way", 18, 4, 8, "(fault power (at 6) (for 3)) (fault peer-one-way (at 5) (for 9))");
    play("triangle", 18, 3, 9, "(fault power (at 6) (for 3)) (fault peer-side (at 5) (for 9))");
}

/// Guards against word of ten seconds ago that is taken for news: deaths, lists, answers to questions.
#[test]
fn links_stall_and_then_deliver_everything() {
    let result = play("stalls", 24, 4, 10, "(fault power (at 5) (for 3)) (fault peer-stall (at 6) (for 10))");
    let end = served_at_the_end(&result, 21.0);
    assert!(end > 0.9, "{end:.2} served at the end");
}

#[test]
fn packets_are_lost_and_doubled_while_the_fleet_recovers() {
    play("loss", 18, 5, 11, "(fault power (at 6) (for 3)) (fault peer-loss (at 0) (for 18) (size 0.2))");
}

/// Half of the engines are other ones when the power is back, while every list file is still the old one:
/// nodes that go by it meet dead addresses, and the new engines are cold without being listed so.
#[test]
fn engines_are_replaced_while_the_power_is_off() {
    let more = "(fault late-list (at 6) (for 6) (size 3000)) (fault power (at 6) (for 3))
      (fault replace (at 6.2) (for 0.1) (part 0.5) (batch 9) (size 500))";
    let result = play("replaced", 20, 4, 13, more);
    let end = served_at_the_end(&result, 17.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

#[test]
fn eighty_nodes_worth_of_clients_return_within_a_second() {
    let result =
        play("burst", 20, 4, 12, "(fault power (at 6) (for 3)) (fault burst (at 9) (for 1) (size 12))");
    let end = served_at_the_end(&result, 17.0);
    assert!(end > 0.85, "{end:.2} served at the end");
}

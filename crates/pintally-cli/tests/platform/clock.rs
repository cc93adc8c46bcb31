//! Nodes with a wrong wall clock: durations must still be measured correctly.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::harness::*;

const HOUR: i64 = 3_600;
/// The warm-up time of an engine in the harness's settings.
const WARM_AFTER_MS: u64 = 14_000;
/// Time that a test may take in addition.
const TEST_SLACK_MS: u64 = 3_000;

/// Errors of the node's clock, in seconds: also such that are less than the warm-up time, or a little more.
const CLOCK_SHIFTS: [i64; 12] = [0, 1, 3, 12, 13, 14, 20, HOUR, 10 * HOUR, -3, -13, -HOUR];

/// A list entry of an engine that started some time ago by the real clock.
fn member_started_ago(id: &str, address: SocketAddr, ago: Duration) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mut member = member(id, address, "up");
    member["up_since_ms"] = ((now - ago).as_millis() as u64).into();
    member
}

/// How long the node will still treat an engine as cold, once the engine is listed.
fn remaining_cold_ms(harness: &Harness, id: &str) -> u64 {
    let find = |page: &Value| {
        let all = page["engines"].as_array().expect("engines").clone();
        all.into_iter().find(|e| e["engine"] == id).and_then(|e| e["believed"]["cold_ms"].as_u64())
    };
    harness.wait_until_status("the engine is listed", |page| find(page).is_some());
    find(&harness.status()).expect("the engine stays listed")
}

/// Asserts that a node whose clock is wrong by `shift` seconds knows that an engine has just started, and that `w0` has
/// started long ago.
fn assert_warms_up(harness: &Harness, id: &str, shift: i64) {
    let cold = remaining_cold_ms(harness, id);
    println!("shift {shift} s: cold for another {cold} ms");
    assert!((WARM_AFTER_MS - TEST_SLACK_MS..=WARM_AFTER_MS).contains(&cold), "shift {shift} s: {cold} ms");
    assert_eq!(remaining_cold_ms(harness, "w0"), 0, "shift {shift} s: an engine that started long ago");
}

/// Writes a list to the configuration of a node, which reads it at its next reload or start.
fn write_last_known_list(harness: &Harness, revision: u64, members: &[Value]) {
    let mut config = harness.config.clone();
    config["known"] = serde_json::json!({"revision": revision, "complete": true, "members": members});
    std::fs::write(&harness.config_file, config.to_string()).unwrap();
}

/// Guards against a cold engine that is overloaded because a clock that is ahead makes it look warm, and against
/// engines that look cold for an hour because a clock is behind.
#[test]
fn engine_warm_up_ignores_wall_clock_shift() {
    let unused_port = pintally_mock_engine::Port::hold().unwrap();
    let address = unused_port.address().unwrap();
    for shift in CLOCK_SHIFTS {
        let harness = Harness::with_clock_shift(&[("r0", address), ("w0", address)], shift);
        harness.discovery.wait_for_watches(1);
        harness.discovery.change(member_started_ago("w1", address, Duration::from_millis(500)));
        assert_warms_up(&harness, "w1", shift);
    }
}

/// A node whose clock is behind does not treat engines that started before it as cold only because of its own clock.
#[test]
fn node_with_late_clock_ages_listed_engines() {
    let unused_port = pintally_mock_engine::Port::hold().unwrap();
    let address = unused_port.address().unwrap();
    let harness = Harness::with_clock_shift(&[("r0", address)], -HOUR);
    harness.discovery.wait_for_watches(1);
    let members = [
        member("r0", address, "up"),
        member_started_ago("w1", address, Duration::from_secs(60)),
        member_started_ago("w2", address, Duration::from_secs(2)),
    ];
    write_last_known_list(&harness, 5, &members);
    harness.signal("-HUP");
    let cold = [remaining_cold_ms(&harness, "w1"), remaining_cold_ms(&harness, "w2")];
    println!("cold for another {cold:?} ms");
    assert_eq!(cold[0], 0, "w1 started a minute before the newest engine");
    assert!(cold[1] <= WARM_AFTER_MS, "{cold:?}");
}

/// Guards against a cold engine in the first list of a process that is overloaded because a clock that is ahead makes it
/// look warm: the last known list does not contain it, or contains an earlier start of it.
#[test]
fn new_engine_of_the_first_list_warms_up() {
    let unused_port = pintally_mock_engine::Port::hold().unwrap();
    let address = unused_port.address().unwrap();
    for shift in CLOCK_SHIFTS {
        let mut harness = Harness::with_clock_shift(&[("r0", address), ("w0", address)], shift);
        let warm = member_started_ago("w1", address, Duration::from_secs(60));
        harness.discovery.change_unannounced(warm.clone());
        for last_known in [vec![], vec![member_started_ago("w2", address, Duration::from_secs(600))]] {
            let known =
                [vec![member("r0", address, "up"), member("w0", address, "up"), warm.clone()], last_known];
            write_last_known_list(&harness, 1, &known.concat());
            let new = member_started_ago("w2", address, Duration::from_millis(500));
            harness.discovery.change_unannounced(new);
            harness.kill_and_restart();
            assert_warms_up(&harness, "w2", shift);
            if shift >= 0 {
                assert_eq!(remaining_cold_ms(&harness, "w1"), 0, "shift {shift} s: an engine that is warm");
            }
        }
    }
}

/// With a right clock, engines that started before the node did are as old as they are, whether or not the node has a
/// list to compare with.
#[test]
fn right_clock_ages_engines_of_the_first_list() {
    let unused_port = pintally_mock_engine::Port::hold().unwrap();
    let address = unused_port.address().unwrap();
    let mut harness = Harness::with_clock_shift(&[("r0", address), ("w0", address)], 0);
    harness.discovery.change_unannounced(member_started_ago("w1", address, Duration::from_secs(60)));
    harness.discovery.change_unannounced(member_started_ago("w2", address, Duration::from_secs(7)));
    harness.kill_and_restart();
    let cold = [remaining_cold_ms(&harness, "w1"), remaining_cold_ms(&harness, "w2")];
    assert_eq!(cold[0], 0);
    assert!((WARM_AFTER_MS - 7_000 - TEST_SLACK_MS..=WARM_AFTER_MS - 7_000).contains(&cold[1]), "{cold:?}");
}

/// Guards against the same with an engine that the list of a reloaded configuration brings.
#[test]
fn new_engine_of_a_reload_warms_up() {
    let unused_port = pintally_mock_engine::Port::hold().unwrap();
    let address = unused_port.address().unwrap();
    for shift in CLOCK_SHIFTS {
        let harness = Harness::with_clock_shift(&[("r0", address), ("w0", address)], shift);
        harness.discovery.wait_for_watches(1);
        let new = member_started_ago("w1", address, Duration::from_millis(500));
        let members = [member("r0", address, "up"), member("w0", address, "up"), new];
        write_last_known_list(&harness, 5, &members);
        harness.signal("-HUP");
        assert_warms_up(&harness, "w1", shift);
    }
}

//! Nodes whose machine's wall clock is wrong: spans of time are real time all the same.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::stand::*;

const HOUR: i64 = 3_600;
/// What the settings of the stand-in give an engine to become warm.
const WARM_AFTER_MS: u64 = 14_000;
/// What a test may take beside.
const SLACK_MS: u64 = 3_000;

/// An entry of an engine that started so long ago by everyone's clock.
fn started(id: &str, address: SocketAddr, ago: Duration) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mut member = member(id, address, "up");
    member["up_since_ms"] = ((now - ago).as_millis() as u64).into();
    member
}

/// For how long the node holds an engine to be cold still, once it knows it.
fn cold_ms(stand: &Stand, id: &str) -> u64 {
    let find = |page: &Value| {
        let all = page["engines"].as_array().expect("engines").clone();
        all.into_iter().find(|e| e["engine"] == id).and_then(|e| e["believed"]["cold_ms"].as_u64())
    };
    stand.until_believed("the engine is known", |page| find(page).is_some());
    find(&stand.beliefs()).expect("it stays known")
}

/// Guards against a cold engine that is pushed over, as it counts as warm by a clock that is ahead, and against engines
/// that count as cold for an hour by one that is behind.
#[test]
fn an_engine_that_starts_is_cold_for_as_long_as_it_takes_whatever_the_wall_clock() {
    let nobody = pintally_mock_engine::Port::hold().unwrap();
    let address = nobody.address().unwrap();
    for shift in [0, HOUR, -HOUR] {
        let stand = Stand::with_clock_shifted(&[("r0", address), ("w0", address)], shift);
        stand.discovery.until_watched(1);
        stand.discovery.change(started("w1", address, Duration::from_millis(500)));
        let cold = cold_ms(&stand, "w1");
        println!("shift {shift} s: cold for {cold} ms still");
        assert!((WARM_AFTER_MS - SLACK_MS..=WARM_AFTER_MS).contains(&cold), "shift {shift} s: {cold} ms");
        assert_eq!(cold_ms(&stand, "w0"), 0, "shift {shift} s: an engine that started long ago");
    }
}

/// A node that starts behind the others' clock does not hold what started before it for cold by its own clock alone.
#[test]
fn a_node_that_starts_with_a_clock_behind_ages_what_has_started() {
    let nobody = pintally_mock_engine::Port::hold().unwrap();
    let address = nobody.address().unwrap();
    let stand = Stand::with_clock_shifted(&[("r0", address)], -HOUR);
    stand.discovery.until_watched(1);
    let mut whole = stand.config.clone();
    let members = [
        member("r0", address, "up"),
        started("w1", address, Duration::from_secs(60)),
        started("w2", address, Duration::from_secs(2)),
    ];
    whole["known"] = serde_json::json!({"revision": 5, "complete": true, "members": members});
    std::fs::write(&stand.file, whole.to_string()).unwrap();
    stand.signal("-HUP");
    let cold = [cold_ms(&stand, "w1"), cold_ms(&stand, "w2")];
    println!("cold for {cold:?} ms still");
    assert_eq!(cold[0], 0, "it started a minute before the newest one");
    assert!(cold[1] <= WARM_AFTER_MS, "{cold:?}");
}

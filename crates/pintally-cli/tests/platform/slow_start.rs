//! Engines that have just started and are smaller than the others.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;

use crate::discovery_service::Discovery;
use crate::harness::*;

/// The window of the harness's settings, over which the requests to an engine in slow start are counted.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn estimate(status: &Value, id: &str) -> Option<Value> {
    let engines = status["engines"].as_array().expect("engines");
    engines.iter().find(|engine| engine["engine"] == id).map(|engine| engine["believed"].clone())
}

/// Lists an engine with this size; `None` leaves it out.
fn list(harness: &Harness, id: &str, size: Option<f64>, up_since_ms: u64) {
    let mut entry = member(id, harness.engines[id], "up");
    entry.as_object_mut().expect("an entry").remove("size");
    if let Some(size) = size {
        entry["size"] = size.into();
    }
    entry["up_since_ms"] = up_since_ms.into();
    harness.discovery.change(entry);
}

fn serve(harness: &Harness, prefix: &str, requests: usize) {
    let mut client = Client::new(harness);
    for n in 0..requests {
        client.send_request("safe", &format!("{prefix}{n}"));
        assert_eq!(client.receive_response().0, 200, "{prefix}{n}");
    }
}

/// Two warm writers of size 2 and two that start, of sizes 2 and `size`. The capacity of the latter as the node takes
/// it, the writes that it got, and the most that its budget allows.
fn start_beside_larger_writers(weight_kind: &str, size: Option<f64>) -> (f64, usize, usize) {
    let (mock_engines, addresses) = serve_engines(&["r0", "w0", "w1", "w8", "w9"]);
    let mut harness = Harness::with_config(&addresses[..3], 256, Arc::new(Discovery::default()), |config| {
        config["settings"]["weight_kind"] = weight_kind.into();
    });
    harness.mock_engines = mock_engines;
    harness.engines.extend(addresses.iter().map(|(id, address)| (id.to_string(), *address)));
    harness.discovery.wait_for_watches(1);
    ["w0", "w1"].iter().for_each(|id| list(&harness, id, Some(2.0), 0));
    serve(&harness, "warm", 200);
    harness.wait_until_status("the answers are counted", |status| {
        estimate(status, "w0").is_some_and(|engine| engine["cold_budget"].as_f64() > Some(2.0))
    });
    let started = Instant::now();
    list(&harness, "w8", Some(2.0), unix_ms());
    list(&harness, "w9", size, unix_ms());
    harness.wait_until_status("both are listed", |status| estimate(status, "w9").is_some());
    let budget = |status: &Value| estimate(status, "w9").and_then(|engine| engine["cold_budget"].as_f64());
    let budget_before = budget(&harness.status()).expect("a budget");
    serve(&harness, "cold", 60);
    let windows = started.elapsed().as_millis() / OVERLOAD_WINDOW.as_millis() + 1;
    let status = harness.status();
    let [equal, new] = ["w8", "w9"].map(|id| estimate(&status, id).expect("it is listed"));
    println!("{weight_kind}, size {size:?}: {new}, beside an equal engine: {equal}");
    assert_eq!(equal["capacity_ratio"], 1.0, "{equal}");
    assert!(new["cold_ms"].as_u64() > Some(0), "{new}");
    let per_window = budget(&status).expect("a budget").max(budget_before).ceil() as usize;
    let received = harness.mock_engines.received();
    let writes = received.iter().filter(|call| call.0 == "w9" && call.1 == "POST").count();
    (new["capacity_ratio"].as_f64().expect("a ratio"), writes, per_window * windows as usize)
}

/// Guards against a new engine that is smaller than the others, gets the budget of a mean one and falls over.
#[test]
fn small_engine_gets_a_small_budget_when_it_starts() {
    for weight_kind in ["nominal", "rough", "live"] {
        let (ratio, writes, allowed) = start_beside_larger_writers(weight_kind, Some(0.25));
        assert!(ratio <= 0.125, "{weight_kind}: {ratio}");
        assert!(writes <= allowed, "{weight_kind}: {writes} writes, {allowed} allowed");
    }
}

/// Guards against an engine without a size that counts as one of size 1 among engines of any other unit.
#[test]
fn engine_without_a_size_gets_the_budget_of_a_mean_one() {
    for size in [None, Some(0.0), Some(1e15)] {
        let (ratio, writes, allowed) = start_beside_larger_writers("nominal", size);
        assert_eq!(ratio, 1.0, "size {size:?}");
        assert!(writes <= allowed, "size {size:?}: {writes} writes, {allowed} allowed");
    }
}

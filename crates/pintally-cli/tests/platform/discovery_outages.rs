//! Drains that discovery has while the node has no established watch: calls of an outage that stay silent, responses
//! that arrive late or in parts.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::*;

/// A change counts as notified to the node this long after discovery has it and can be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The drain grace in the settings: what discovery has when it returns counts as notified at once.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// A node with an open watch and two writers, of which `w1` will drain.
fn node_with_watch() -> Harness {
    let discovery = std::sync::Arc::new(Discovery::default());
    let engines = ["r0", "w0", "w1"].map(|id| (id, "127.0.0.1:9".parse().unwrap()));
    let harness = Harness::with_config(&engines, 256, discovery, |config| {
        config["settings"]["rules"]["stop_sending_within"] = json!(DRAIN_GRACE.as_secs_f64());
    });
    harness.discovery.wait_for_watches(1);
    harness
}

/// Changes `w1` to draining without a message to open watches.
fn drain_unannounced(harness: &Harness) {
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "draining"));
}

/// Waits until the node has applied the drain, and returns the time since `from`.
fn wait_for_drain(harness: &Harness, from: Instant) -> Duration {
    harness.wait_until_status("the drain", |status| is_listed(status, "w1", "Draining"));
    from.elapsed()
}

/// The time from the return of discovery after an outage until the node has applied a drain. The watches that are
/// opened during the outage are never answered, and later ones after the delay.
fn drain_delay_after_outage(outage: Duration, answer_delay: Duration) -> Duration {
    let harness = node_with_watch();
    harness.discovery.set_silent(true);
    harness.discovery.reset_watches();
    std::thread::sleep(outage);
    harness.discovery.delay_answers(answer_delay);
    drain_unannounced(&harness);
    harness.discovery.set_silent(false);
    let delay = wait_for_drain(&harness, Instant::now());
    println!("outage of {outage:?}, answers after {answer_delay:?}: the drain was applied {delay:?} after the return");
    delay
}

/// Guards against a node that waits for the response to a watch opened during an outage, with a timeout that grows with
/// the outage, while discovery is back and would answer a new watch.
#[test]
fn applies_drain_within_grace_after_outage_of_any_length() {
    let outages = [700, 3_400, 5_400, 8_000, 12_300].map(Duration::from_millis);
    let runs =
        outages.map(|outage| std::thread::spawn(move || drain_delay_after_outage(outage, Duration::ZERO)));
    for run in runs {
        let delay = run.join().expect("the drain is applied");
        assert!(delay < DRAIN_GRACE, "{delay:?}");
    }
}

/// Guards against the same when discovery is slow after its return: a watch must not be closed before a slow response
/// can arrive.
#[test]
fn applies_drain_of_slow_discovery_after_outage() {
    let outages = [3_400, 5_400, 8_000].map(Duration::from_millis);
    let slow = Duration::from_secs(2);
    let runs = outages.map(|outage| std::thread::spawn(move || drain_delay_after_outage(outage, slow)));
    for run in runs {
        let delay = run.join().expect("the drain is applied");
        assert!(delay < NOTIFIED_AFTER, "{delay:?}");
    }
}

/// Guards against a late response that is lost because the node has closed the watch in favour of a new one, whose
/// response is as late.
#[test]
fn applies_first_response_however_late() {
    let delays = [5_500, 11_000].map(Duration::from_millis);
    let runs = delays.map(|delay| {
        std::thread::spawn(move || {
            let harness = node_with_watch();
            harness.discovery.delay_answers(delay);
            drain_unannounced(&harness);
            let reset = Instant::now();
            harness.discovery.reset_watches();
            wait_for_drain(&harness, reset)
        })
    });
    for (run, delay) in runs.into_iter().zip(delays) {
        let applied_after = run.join().expect("the drain is applied");
        println!("answers after {delay:?}: the drain was applied after {applied_after:?}");
        assert!(applied_after < delay + DRAIN_GRACE, "{applied_after:?}");
    }
}

/// Guards against a list that never arrives because discovery sends the head of its response at once and the list
/// later than the node waits for a message on an established watch.
#[test]
fn applies_list_sent_long_after_response_head() {
    let harness = node_with_watch();
    harness.discovery.delay_lists(Duration::from_secs(5));
    drain_unannounced(&harness);
    let reset = Instant::now();
    harness.discovery.reset_watches();
    let applied_after = wait_for_drain(&harness, reset);
    println!("applied after {applied_after:?}");
    assert!(applied_after < NOTIFIED_AFTER, "{applied_after:?}");
}

/// Guards against a node that takes bytes for messages: an object on the watch arrives byte by byte and never ends, and
/// changes behind it would never be received.
#[test]
fn reopens_watch_whose_object_never_ends() {
    let harness = node_with_watch();
    harness.discovery.send_to_watches("{\"revision\":2,");
    let unfinished_since = Instant::now();
    drain_unannounced(&harness);
    while !is_listed(&harness.status(), "w1", "Draining") {
        assert!(unfinished_since.elapsed() < NOTIFIED_AFTER, "the drain was not applied");
        harness.discovery.send_to_watches(" ");
        std::thread::sleep(TRICKLE_EVERY);
    }
    println!("applied after {:?}", unfinished_since.elapsed());
}

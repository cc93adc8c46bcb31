//! Endpoint lists and watches: silent, reset, refused and slow watches, reloads that move discovery, and drains that
//! arrive together with requests.

use std::time::{Duration, Instant};

use pintally_http::response;
use serde_json::json;

use crate::harness::*;
use crate::{attempted_engines, requests_for};

/// A change counts as notified to the node this long after discovery has it.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Shorter than the time after which a silent watch is reopened.
const REOPEN_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a node that keeps waiting for a silent watch: the changes that it missed count as notified six
/// seconds after the watch fell silent.
#[test]
fn reopens_silent_watch_before_notification_deadline() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    let silent_since = Instant::now();
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "draining"));
    harness.wait_until_status("the drain", |b| is_listed(b, "w1", "Draining"));
    assert!(silent_since.elapsed() < NOTIFIED_AFTER, "{:?}", silent_since.elapsed());
}

/// Guards against the same after a reload and a restart, and while discovery does not respond for a while.
#[test]
fn reopens_watch_after_reload_restart_and_silence() {
    let mut harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    harness.discovery.set_silent(true);
    harness.move_discovery();
    harness.discovery.wait_for_unanswered_watches(1);
    // While discovery does not respond, requests are served with the list in force.
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    assert!(client.receive_response().2);
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "draining"));
    harness.discovery.set_silent(false);
    let discovery_back = Instant::now();
    harness.wait_until_status("the drain", |b| is_listed(b, "w1", "Draining"));
    assert!(discovery_back.elapsed() < NOTIFIED_AFTER, "{:?}", discovery_back.elapsed());
    // A new process opens a watch immediately.
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "up"));
    let restart = Instant::now();
    harness.kill_and_restart();
    harness.wait_until_status("w1 is up", |b| is_listed(b, "w1", "Serving"));
    assert!(restart.elapsed() < REOPEN_LIMIT, "{:?}", restart.elapsed());
}

#[test]
fn reopens_reset_watch_quickly() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    for (n, phase) in ["draining", "up", "draining"].into_iter().enumerate() {
        harness.discovery.wait_for_watches(n + 1);
        harness.discovery.change_unannounced(member("w1", harness.engines["w1"], phase));
        let reset = Instant::now();
        harness.discovery.reset_watches();
        let listing = if phase == "up" { "Serving" } else { "Draining" };
        harness.wait_until_status(phase, |b| is_listed(b, "w1", listing));
        assert!(reset.elapsed() < REOPEN_LIMIT, "{:?}", reset.elapsed());
    }
}

/// Guards against a drain that is received too late because the watch is reopened with growing delays: the changes that
/// discovery has when it returns count as notified immediately, and sends have to stop within the grace period of the
/// settings (`stop_sending_within`) after that.
#[test]
fn reopens_refused_watch_soon_after_discovery_returns() {
    const GRACE_MS: u64 = 250;
    let discovery = std::sync::Arc::new(Discovery::default());
    let harness = Harness::with_config(&[], 256, discovery.clone(), |config| {
        config["settings"]["rules"]["stop_sending_within"] = json!(GRACE_MS as f64 / 1e3);
        config["known"] = json!({"revision": 1, "complete": true,
            "members": [member("r0", "127.0.0.1:9".parse().unwrap(), "up")]});
    });
    harness.discovery.wait_for_watches(1);
    // At the new address of discovery there is no listener for a while.
    let unused_port = pintally_mock_engine::Port::hold().unwrap();
    let address = unused_port.address().unwrap();
    let mut config = harness.config.clone();
    config["discovery"] = json!(address);
    std::fs::write(&harness.config_file, config.to_string()).unwrap();
    harness.signal("-HUP");
    let mut latest = Duration::ZERO;
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(2_300));
        let listener = std::net::TcpListener::bind(address).unwrap();
        let discovery_back = Instant::now();
        drop(listener.accept().unwrap());
        latest = latest.max(discovery_back.elapsed());
        drop(listener);
    }
    println!("the slowest watch was opened {latest:?} after discovery returned");
    assert!(latest < Duration::from_millis(GRACE_MS), "{latest:?}");
}

/// Guards against a node that never receives the list because discovery takes longer to answer a watch than the node
/// waits for data on an open one.
#[test]
fn applies_list_of_slowly_answered_watch() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    harness.discovery.delay_answers(Duration::from_secs(4));
    harness.discovery.reset_watches();
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "draining"));
    let since = Instant::now();
    harness.wait_until_status("the drain", |b| is_listed(b, "w1", "Draining"));
    println!("applied after {:?}", since.elapsed());
}

/// Guards against the end of a watch that is taken for the end of a client: event sources are identified by number, and
/// those of the listener, the signals and the watch resemble those of a node's first connections.
#[test]
fn watch_reset_keeps_client_connections() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    harness.discovery.wait_for_watches(1);
    let mut first_clients = harness.restart_with_first_clients(4);
    harness.discovery.wait_for_watches(2);
    harness.wait_until_status("all clients are connected", |b| b["clients"] == 5);
    harness.discovery.reset_watches();
    harness.discovery.wait_for_watches(3);
    for (n, client) in first_clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("a{n}"));
        assert!(client.receive_response().2, "client {n}");
    }
}

/// A complete list, received in single bytes, that does not contain an engine: the engine counts as gone and gets no
/// more requests.
#[test]
fn engine_missing_from_complete_list_gets_no_requests() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    harness.discovery.write_byte_by_byte();
    harness.discovery.remove_unannounced("w1");
    harness.discovery.reset_watches();
    harness.wait_until_status("w1 is gone", |b| is_listed(b, "w1", "Gone"));
    let mut client = Client::new(&harness);
    for n in 0..8 {
        client.send_request("safe", &format!("a{n}"));
        assert!(client.receive_response().2);
        assert!(!attempted_engines(&harness, &format!("a{n}")).contains(&"w1".to_string()));
    }
}

/// Guards against a fleet without engines because discovery has lost its data: a complete list without an engine is
/// ignored, and its revision does not hide the next list.
#[test]
fn empty_complete_list_is_ignored() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    harness.discovery.send_to_watches("{\"revision\":1000,\"complete\":true,\"members\":[]}");
    harness.discovery.change(member("w1", harness.engines["w1"], "draining"));
    harness.wait_until_status("the list after it is applied", |b| is_listed(b, "w1", "Draining"));
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    assert!(client.receive_response().2);
    assert_eq!(attempted_engines(&harness, "a"), ["r0", "w0"]);
}

/// A drain that is notified in the same iteration in which requests arrive: attempts that the node sends afterwards go
/// to other engines.
#[test]
fn drain_in_same_iteration_applies_to_later_sends() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&harness)).collect();
    harness.pause_process();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("a{n}"));
    }
    harness.discovery.change(member("w1", harness.engines["w1"], "draining"));
    harness.resume_process();
    // The reads end after the list was applied, so all fetches start after it.
    clients.iter_mut().for_each(|client| assert!(client.receive_response().2));
    let received = harness.mock_engines.received();
    assert!(received.iter().all(|c| c.0 != "w1"), "{received:?}");
}

/// Guards against a new configuration that is lost because it cannot be read at the moment of the signal: the file is
/// missing or partially written, and complete a little later.
#[test]
fn retries_reload_of_unreadable_configuration() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.discovery.wait_for_watches(1);
    let old = std::fs::read_to_string(&harness.config_file).unwrap();
    for content in [None, Some(&old[..old.len() / 2])] {
        match content {
            None => std::fs::remove_file(&harness.config_file).unwrap(),
            Some(partial) => std::fs::write(&harness.config_file, partial).unwrap(),
        }
        harness.signal("-HUP");
        std::thread::sleep(Duration::from_millis(300));
        let moved_to = std::sync::Arc::new(Discovery::default());
        let mut config = harness.config.clone();
        config["discovery"] = json!(moved_to.serve());
        std::fs::write(&harness.config_file, config.to_string()).unwrap();
        moved_to.wait_for_watches(1);
    }
}

#[test]
fn reload_keeps_pending_release_and_watch() {
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    harness.discovery.wait_for_watches(1);
    harness.mock_engines.script("w0", &[EngineAction::Hang]);
    harness.mock_engines.script("w1", &[EngineAction::Hang]);
    for engine in ["r0", "w0", "w1"] {
        harness.mock_engines.script(
            &format!("{engine} releases"),
            &[EngineAction::Hang, EngineAction::Respond(response(204, &[], b""))],
        );
    }
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    harness
        .mock_engines
        .wait_until("the write", |received| requests_for(received, "a").iter().any(|c| c.0.starts_with('w')));
    drop(client);
    harness
        .mock_engines
        .wait_until("a release", |received| requests_for(received, "a").iter().any(|c| c.1 == "DELETE"));
    harness.discovery.set_silent(true);
    harness.move_discovery();
    harness.discovery.wait_for_unanswered_watches(1);
    harness.mock_engines.wait_until("more release calls", |received| {
        requests_for(received, "a").iter().filter(|c| c.1 == "DELETE").count() >= 2
    });
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "draining"));
    harness.discovery.set_silent(false);
    harness.wait_until_status("the drain", |b| is_listed(b, "w1", "Draining") && b["held"] == 0);
}

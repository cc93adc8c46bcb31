//! Clients that disconnect at every stage of a request: no further attempt is started for them.
//!
//! Where events must reach the node in the same iteration of its event loop, the test pauses the process: when it
//! resumes, all events of the pause are present in the order in which they happened.

use std::net::Shutdown;

use crate::harness::*;
use crate::{attempted_engines, requests_for};

/// Sends a request and waits until it is served, after which the node has handled all earlier events.
fn serve_another(harness: &Harness, id: &str) {
    let mut client = Client::new(harness);
    client.send_request("safe", id);
    assert!(client.receive_response().2, "{id} is served");
}

/// A node with an idle connection to each engine, so that its next request to an engine is written immediately.
fn harness_with_idle_connections() -> Harness {
    let harness = Harness::new(&["r0", "w0"], 256);
    serve_another(&harness, "first");
    std::thread::sleep(crate::CONNECTION_REUSE_DELAY);
    harness
}

/// Guards against an attempt for a client whose end of stream is still unread behind its request. A client that shuts
/// down its sending side counts as disconnected, whether or not it still reads: see `docs/platform.md`.
#[test]
fn drops_requests_read_with_client_disconnect() {
    let harness = harness_with_idle_connections();
    let mut clients: Vec<Client> = (0..3).map(|_| Client::new(&harness)).collect();
    harness.pause_process();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(
            &[request_bytes("safe", &format!("a{n}")), request_bytes("safe", &format!("b{n}"))].concat(),
        );
    }
    clients[0].stream.shutdown(Shutdown::Write).unwrap();
    let mut last = clients.pop().unwrap();
    drop(clients.pop());
    harness.resume_process();
    // The last client stays connected, and both of its requests are served.
    assert!(last.receive_response().2 && last.receive_response().2);
    assert!(clients[0].wait_for_close());
    serve_another(&harness, "c");
    for id in ["a0", "b0", "a1", "b1"] {
        assert_eq!(attempted_engines(&harness, id), Vec::<String>::new(), "{id}");
    }
    harness.wait_until_status("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
}

/// Guards against a write that starts because the response to the read is handled before the disconnect of the client
/// that arrived in the same iteration.
#[test]
fn disconnect_between_read_and_write_prevents_write() {
    let harness = harness_with_idle_connections();
    harness.mock_engines.script(
        "r0",
        &[EngineAction::RespondInTwoParts(Vec::new(), read_response()), EngineAction::read_response()],
    );
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    harness
        .mock_engines
        .wait_until("the read", |received| requests_for(received, "a").contains(&("r0", "POST")));
    harness.pause_process();
    harness.mock_engines.resume_and_wait();
    drop(client);
    harness.resume_process();
    harness
        .mock_engines
        .wait_until("the release", |received| requests_for(received, "a").iter().any(|c| c.1 == "DELETE"));
    serve_another(&harness, "b");
    assert_eq!(attempted_engines(&harness, "a"), ["r0"]);
    harness.wait_until_status("nothing is held", |b| b["held"] == 0);
}

#[test]
fn disconnect_of_waiting_request_prevents_attempt() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.discovery.wait_for_watches(1);
    let set_phase = |phase: &str, listing: &str| {
        harness.discovery.change(member("r0", harness.engines["r0"], phase));
        harness.wait_until_status(phase, |b| is_listed(b, "r0", listing));
    };
    // No reader is available, so requests wait for one.
    set_phase("draining", "Draining");
    let (mut leaving, mut staying) = (Client::new(&harness), Client::new(&harness));
    leaving.send_request("safe", "a");
    staying.send_request("safe", "b");
    harness.wait_until_status("both requests wait", |b| b["held"] == 2);
    harness.pause_process();
    drop(leaving);
    harness.discovery.change(member("r0", harness.engines["r0"], "up"));
    harness.resume_process();
    assert!(staying.receive_response().2);
    assert_eq!((attempted_engines(&harness, "a"), attempted_engines(&harness, "b").len()), (vec![], 2));
}

#[test]
fn disconnect_during_first_event_ends_stream() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script(
        "w0",
        &[
            EngineAction::RespondInTwoParts(Vec::new(), open_stream(&[TOKEN])),
            EngineAction::stream_response(),
        ],
    );
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    harness
        .mock_engines
        .wait_until("the write", |received| requests_for(received, "a").contains(&("w0", "POST")));
    harness.pause_process();
    harness.mock_engines.resume_and_wait();
    drop(client);
    harness.resume_process();
    harness.wait_until_status("nothing is held", |b| {
        let engines = b["engines"].as_array().expect("engines");
        b["held"] == 0 && engines.iter().all(|e| e["sockets"]["out"] == 0 && e["believed"]["streams"] == 0)
    });
    serve_another(&harness, "b");
    assert_eq!(attempted_engines(&harness, "a"), ["r0", "w0"]);
}

/// Guards against attempts that start for the last of many clients that disconnect in the same iteration.
#[test]
fn many_disconnects_in_one_iteration_prevent_writes() {
    const CLIENTS: usize = 12;
    let harness = harness_with_idle_connections();
    let script: Vec<EngineAction> =
        (0..CLIENTS).map(|_| EngineAction::RespondInTwoParts(Vec::new(), read_response())).collect();
    harness.mock_engines.script("r0", &[script, vec![EngineAction::read_response()]].concat());
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::new(&harness)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("a{n}"));
    }
    let read_count = |received: &[ReceivedRequest]| {
        received.iter().filter(|c| c.0 == "r0" && c.1 == "POST" && c.3 != "first").count()
    };
    harness.mock_engines.wait_until("reads", |received| read_count(received) == CLIENTS);
    harness.pause_process();
    (0..CLIENTS).for_each(|_| harness.mock_engines.resume_and_wait());
    drop(clients);
    harness.resume_process();
    harness.wait_until_status("nothing is held", |b| b["held"] == 0);
    serve_another(&harness, "b");
    let received = harness.mock_engines.received();
    let writes = received.iter().filter(|c| c.0 == "w0" && c.1 == "POST" && c.3.starts_with('a')).count();
    assert_eq!((writes, read_count(&received)), (0, CLIENTS + 1));
}

/// Hundreds of pipelined requests on one connection that then ends: only the first one was started.
#[test]
fn disconnect_drops_all_pipelined_requests() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("r0", &[EngineAction::Hang, EngineAction::read_response()]);
    let mut flood = Client::new(&harness);
    flood.send(&(0..300).flat_map(|n| request_bytes("safe", &format!("f{n}"))).collect::<Vec<u8>>());
    harness.mock_engines.wait_until("the first read", |received| !requests_for(received, "f0").is_empty());
    drop(flood);
    harness.wait_until_status("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
    serve_another(&harness, "b");
    let received = harness.mock_engines.received();
    let forwarded: std::collections::BTreeSet<&str> =
        received.iter().filter(|c| c.3.starts_with('f')).map(|c| c.3.as_str()).collect();
    assert_eq!(forwarded.into_iter().collect::<Vec<_>>(), ["f0"]);
}

/// Guards against an effect that happens twice: the client of a request that must not be repeated leaves while a writer
/// has it, and the same id comes again.
#[test]
fn id_of_a_client_that_left_does_not_run_again() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("w0", &[EngineAction::Hang, EngineAction::stream_response()]);
    for (id, class, runs) in [("a", "once", 1), ("b", "safe", 2)] {
        let mut client = Client::new(&harness);
        client.send_request(class, id);
        let is_written = |received: &[ReceivedRequest]| requests_for(received, id).contains(&("w0", "POST"));
        harness.mock_engines.wait_until("the write", is_written);
        drop(client);
        harness.wait_until_status("nothing is held", |b| b["held"] == 0);
        let mut again = Client::new(&harness);
        again.send_request(class, id);
        assert_eq!(again.receive_response().0, if runs == 1 { 502 } else { 200 }, "{id}");
        let received = harness.mock_engines.received();
        let writes = requests_for(&received, id).into_iter().filter(|call| *call == ("w0", "POST")).count();
        assert_eq!(writes, runs, "{id}");
        harness.mock_engines.script("w0", &[EngineAction::Hang, EngineAction::stream_response()]);
    }
}

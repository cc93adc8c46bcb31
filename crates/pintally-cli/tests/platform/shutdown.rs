//! Shutdown and kills while requests, releases or watches are in progress, idle clients that use up the descriptors, and
//! pipelined requests.

use std::time::{Duration, Instant};

use pintally_http::response;
use serde_json::{json, Value};

use crate::harness::*;
use crate::{attempted_engines, requests_for};

/// A change counts as notified to the node this long after discovery has it.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

// ---- SIGTERM ----

#[test]
fn sigterm_between_read_and_write_serves_request() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("r0", &[EngineAction::RespondInTwoParts(Vec::new(), read_response())]);
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    harness.mock_engines.wait_until("the read", |received| !requests_for(received, "a").is_empty());
    // The signal and the response to the read arrive in the same iteration.
    harness.pause_process();
    harness.signal("-TERM");
    harness.mock_engines.resume_and_wait();
    harness.resume_process();
    assert_eq!(client.receive_response(), (200, [TOKEN, TOKEN, DONE].concat(), true));
    assert!(client.wait_for_close());
    assert!(harness.wait_for_exit().success());
}

/// A client whose request `a` has received its first event; the writer sends the rest when the test resumes it.
fn client_with_open_stream(harness: &Harness) -> Client {
    let rest = complete_stream(&[TOKEN, DONE])[open_stream(&[TOKEN]).len()..].to_vec();
    harness.mock_engines.script("w0", &[EngineAction::RespondInTwoParts(open_stream(&[TOKEN]), rest)]);
    let mut client = Client::new(harness);
    client.send_request("safe", "a");
    client.wait_for_bytes(TOKEN);
    client
}

#[test]
fn sigterm_forwards_open_stream_to_its_end() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let mut client = client_with_open_stream(&harness);
    harness.request_shutdown("b");
    harness.mock_engines.resume_and_wait();
    assert_eq!(client.receive_response(), (200, [TOKEN, DONE].concat(), true));
    assert!(harness.wait_for_exit().success());
    assert!(attempted_engines(&harness, "b").is_empty());
}

#[test]
fn sigterm_rejects_partially_received_request() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let mut client = Client::new(&harness);
    let whole = request_bytes("once", "a");
    client.send(&whole[..whole.len() / 2]);
    let clients = |harness: &Harness| harness.status()["clients"].as_u64();
    assert_eq!(clients(&harness), Some(2));
    harness.request_shutdown("b");
    client.send(&whole[whole.len() / 2..]);
    assert_eq!(client.receive_response().0, 503);
    assert!(client.wait_for_close());
    assert!(harness.wait_for_exit().success());
    assert!(attempted_engines(&harness, "a").is_empty());
}

/// Requests that were read behind a stream before SIGTERM are each rejected, not dropped.
#[test]
fn sigterm_rejects_requests_pipelined_behind_stream() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let rest = complete_stream(&[TOKEN, DONE])[open_stream(&[TOKEN]).len()..].to_vec();
    harness.mock_engines.script("w0", &[EngineAction::RespondInTwoParts(open_stream(&[TOKEN]), rest)]);
    let mut client = Client::new(&harness);
    client
        .send(&[request_bytes("safe", "a"), request_bytes("safe", "b"), request_bytes("once", "c")].concat());
    client.wait_for_bytes(TOKEN);
    harness.request_shutdown("d");
    harness.mock_engines.resume_and_wait();
    assert!(client.receive_response().2);
    assert_eq!((client.receive_response().0, client.receive_response().0), (503, 503));
    assert!(client.wait_for_close());
    assert!(harness.wait_for_exit().success());
    assert!(attempted_engines(&harness, "b").is_empty() && attempted_engines(&harness, "c").is_empty());
}

/// A request that arrives after the last response on a connection, when the node has shut down its sending side, is
/// dropped: its client retries it elsewhere.
#[test]
fn request_after_node_shutdown_of_connection_is_dropped() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let rest = complete_stream(&[TOKEN, DONE])[open_stream(&[TOKEN]).len()..].to_vec();
    harness.mock_engines.script(
        "w0",
        &[EngineAction::RespondInTwoParts(open_stream(&[TOKEN]), rest), EngineAction::stream_response()],
    );
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    client.wait_for_bytes(TOKEN);
    harness.request_shutdown("b");
    // The end of the stream and the next request arrive in the same iteration, and one more after the shutdown.
    harness.pause_process();
    harness.mock_engines.resume_and_wait();
    client.send_request("once", "c");
    harness.resume_process();
    assert!(client.receive_response().2);
    let _ = std::io::Write::write_all(&mut client.stream, &request_bytes("once", "d"));
    assert!(client.wait_for_close());
    assert!(harness.wait_for_exit().success());
    assert!(attempted_engines(&harness, "c").is_empty() && attempted_engines(&harness, "d").is_empty());
}

/// Guards against a request that is read and dropped after a stream whose head announced a keep-alive connection: its
/// client cannot know that it has to retry. The request is rejected, or the connection is closed without reading it,
/// and then the system resets the connection as soon as data arrives.
#[test]
fn request_behind_keep_alive_stream_is_rejected_or_unread() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let mut client = client_with_open_stream(&harness);
    harness.request_shutdown("b");
    harness.mock_engines.resume_and_wait();
    assert!(client.receive_response().2);
    let first = std::io::Write::write_all(&mut client.stream, &request_bytes("once", "c"));
    let (status, _, whole) = client.receive_response();
    if !whole {
        // If the node had read and dropped the request, its close would reset nothing. The reset follows the close, so
        // that the client may see the end of the connection first.
        assert!(first.is_err() || client.wait_for_reset(), "the request was read but not answered");
    } else {
        assert_eq!(status, 503);
    }
    assert!(harness.wait_for_exit().success());
    assert!(attempted_engines(&harness, "c").is_empty());
}

/// A request on an idle connection at the moment when the node closes it: either it is answered, or the connection
/// ends and no engine receives the request.
#[test]
fn request_racing_idle_close_is_answered_or_not_forwarded() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let mut idle_clients: Vec<Client> = (0..20).map(|_| Client::new(&harness)).collect();
    for (n, client) in idle_clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("before-{n}"));
        assert!(client.receive_response().2);
    }
    harness.signal("-TERM");
    // The node closes idle connections half a second later; requests arrive before, during and after.
    let mut crossed = 0;
    for (n, client) in idle_clients.iter_mut().enumerate() {
        std::thread::sleep(Duration::from_millis(35));
        let id = format!("a{n}");
        if std::io::Write::write_all(&mut client.stream, &request_bytes("once", &id)).is_err() {
            crossed += 1;
            continue;
        }
        let (status, _, whole) = client.receive_response();
        if whole {
            assert_eq!(status, 503);
        } else {
            crossed += 1;
        }
        assert!(attempted_engines(&harness, &id).is_empty(), "{id}");
    }
    println!("{crossed} of 20 requests raced with the close");
    assert!(harness.wait_for_exit().success());
}

#[test]
fn sigterm_retries_release_until_acknowledged() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("w0", &[EngineAction::Hang]);
    for engine in ["r0", "w0"] {
        let late_reply = EngineAction::RespondInTwoParts(Vec::new(), response(204, &[], b""));
        harness.mock_engines.script(
            &format!("{engine} releases"),
            &[late_reply, EngineAction::Respond(response(204, &[], b""))],
        );
    }
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    harness
        .mock_engines
        .wait_until("the write", |received| requests_for(received, "a").contains(&("w0", "POST")));
    drop(client);
    harness
        .mock_engines
        .wait_until("a release", |received| requests_for(received, "a").iter().any(|c| c.1 == "DELETE"));
    harness.signal("-TERM");
    // The first release calls get no response; the node repeats them before it exits.
    assert!(harness.wait_for_exit().success());
    let received = harness.mock_engines.received();
    assert!(requests_for(&received, "a").iter().filter(|c| c.1 == "DELETE").count() >= 2);
}

// ---- SIGKILL ----

#[test]
fn node_killed_with_held_states_restarts_quickly() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("w0", &[EngineAction::Hang, EngineAction::stream_response()]);
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    harness
        .mock_engines
        .wait_until("the write", |received| requests_for(received, "a").contains(&("w0", "POST")));
    let since = Instant::now();
    harness.kill_and_restart();
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
    assert!(client.wait_for_close());
    // Requests are served again, and the request that was in progress is not repeated by the node.
    let mut client = Client::new(&harness);
    client.send_request("safe", "b");
    assert!(client.receive_response().2);
    assert_eq!(attempted_engines(&harness, "a"), ["r0", "w0"]);
    assert_eq!(harness.status()["held"], 0);
}

/// A node that starts while discovery is silent becomes ready with its cached list, however long the list is.
#[test]
fn node_is_ready_with_silent_discovery_and_1024_engines() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let names: Vec<String> = (0..1_024).map(|n| format!("{}{n}", ["r", "w"][n % 2])).collect();
    let known: Vec<Value> = names.iter().map(|name| member(name, address, "up")).collect();
    let discovery = std::sync::Arc::new(Discovery::default());
    discovery.set_silent(true);
    let since = Instant::now();
    let harness = Harness::with_config(&[], 256, discovery.clone(), |config| {
        config["known"] = json!({"revision": 7, "complete": true, "members": known});
    });
    assert!(since.elapsed() < NOTIFIED_AFTER, "{:?}", since.elapsed());
    assert_eq!(harness.status()["engines"].as_array().map(Vec::len), Some(1_024));
    discovery.wait_for_unanswered_watches(2);
}

/// Guards against attempts based on an outdated list: a node that was down while an engine drained is notified late,
/// and must not become ready before.
#[test]
fn starting_node_waits_for_current_endpoint_list() {
    const GRACE: Duration = Duration::from_secs(1);
    let (mock_engines, engines) = serve_engines(&["r0", "w0", "w1"]);
    let discovery = std::sync::Arc::new(Discovery::default());
    discovery.delay_answers(Duration::from_millis(1_500));
    let listed_engines = [engines[0], engines[2]];
    let known: Vec<Value> = engines.iter().map(|(id, address)| member(id, *address, "up")).collect();
    let harness = Harness::with_config(&listed_engines, 256, discovery, |config| {
        config["known"] = json!({"revision": 1, "complete": true, "members": known});
    });
    std::thread::sleep(GRACE);
    let mut client = Client::new(&harness);
    for n in 0..12 {
        client.send_request("safe", &format!("a{n}"));
        assert!(client.receive_response().2, "request {n}");
    }
    let sent_to_draining: Vec<ReceivedRequest> =
        mock_engines.received().into_iter().filter(|received| received.0 == "w0").collect();
    assert!(sent_to_draining.is_empty(), "{sent_to_draining:?}");
}

// ---- descriptors ----

/// Idle clients use up the descriptors while discovery is down: connections to engines, releases and the watch still
/// get descriptors, and the node recovers.
#[test]
fn idle_clients_leave_descriptors_for_engines_and_watch() {
    let harness = Harness::new(&["r0", "w0", "w1"], 64);
    harness.discovery.wait_for_watches(1);
    harness.discovery.set_silent(true);
    harness.discovery.reset_watches();
    let idle: Vec<Client> = (0..150).map(|_| Client::new(&harness)).collect();
    harness.discovery.wait_for_unanswered_watches(1);
    // A request is served, and the read state of a request whose client disconnects is released.
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    assert!(client.receive_response().2);
    harness.mock_engines.script("w0", &[EngineAction::Hang]);
    harness.mock_engines.script("w1", &[EngineAction::Hang]);
    client.send_request("safe", "b");
    harness
        .mock_engines
        .wait_until("the write", |received| requests_for(received, "b").iter().any(|c| c.0.starts_with('w')));
    drop(client);
    harness
        .mock_engines
        .wait_until("the release", |received| requests_for(received, "b").iter().any(|c| c.1 == "DELETE"));
    harness.discovery.change_unannounced(member("w1", harness.engines["w1"], "draining"));
    harness.discovery.set_silent(false);
    harness.wait_until_status("the drain", |b| is_listed(b, "w1", "Draining"));
    drop(idle);
    harness.wait_until_status("the idle clients are gone", |b| b["clients"] == 1 && b["held"] == 0);
}

// ---- pipelined requests ----

/// Guards against a pipelined request that, after waiting behind another one, is given the time that it had when it was
/// sent.
#[test]
fn pipelined_request_states_its_remaining_time() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script(
        "w0",
        &[
            EngineAction::RespondInTwoParts(Vec::new(), complete_stream(&[TOKEN, DONE])),
            EngineAction::stream_response(),
        ],
    );
    let mut client = Client::new(&harness);
    client.send(
        &[
            request_bytes("once", "a"),
            request_bytes("once", "b"),
            request_bytes_with_timeout("once", "c", 300),
        ]
        .concat(),
    );
    harness
        .mock_engines
        .wait_until("the write", |received| requests_for(received, "a").contains(&("w0", "POST")));
    let received = Instant::now();
    let wait = Duration::from_millis(400);
    std::thread::sleep(wait);
    harness.mock_engines.resume_and_wait();
    assert!(client.receive_response().2 && client.receive_response().2);
    let stated_ms = harness.mock_engines.stated_remaining_ms("w0", "b").expect("the write was received");
    println!("{stated_ms} ms stated of 6000 after {:?}", received.elapsed());
    assert!(stated_ms <= 6_000 - wait.as_millis() as u64, "{stated_ms} ms stated");
    // The deadline of the last request passed while it waited.
    assert_eq!(client.receive_response().0, 503);
    assert!(attempted_engines(&harness, "c").is_empty());
}

//! Clients that send many requests at once on a connection: when their requests are answered, what a disconnect behind
//! them prevents, and how much memory they use.

use std::io::{ErrorKind, Write};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{attempted_engines, requests_for};

/// The body of a request of about 4,500 prompt tokens.
const LARGE_BODY_BYTES: usize = 18_000;
/// Later than this after the client's timeout, a request without an answer counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// How much the time that an attempt states may exceed the time that is left.
const MAX_EXCESS_MS: u64 = 150;

/// Sends the requests from another thread; the channel returns when each of them was sent.
fn send_in_background(client: &Client, requests: Vec<Vec<u8>>) -> Receiver<Instant> {
    let mut stream = client.stream.try_clone().unwrap();
    let (sent, times) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for request in requests {
            stream.write_all(&request).expect("the node reads all requests eventually");
            let _ = sent.send(Instant::now());
        }
    });
    times
}

/// Sends as much as the connection takes at once; returns the number of bytes.
fn send_without_waiting(client: &mut Client, bytes: &[u8]) -> usize {
    client.stream.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while sent < bytes.len() {
        match client.stream.write(&bytes[sent..]) {
            Ok(count) => sent += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => panic!("the node closed the connection: {e}"),
        }
    }
    client.stream.set_nonblocking(false).unwrap();
    sent
}

fn large_requests(count: usize, timeout_ms: u64) -> Vec<Vec<u8>> {
    let request = |n: usize| large_request_bytes("safe", &format!("p{n}"), timeout_ms, LARGE_BODY_BYTES);
    (0..count).map(request).collect()
}

/// Guards against requests that count as new when the node reads them, long after the client has sent them.
#[test]
fn attempts_of_waiting_requests_state_the_remaining_time() {
    const REQUESTS: usize = 30;
    const TIMEOUT_MS: u64 = 6_000;
    const WAIT_MS: u64 = 1_000;
    let harness = Harness::new(&["r0", "w0"], 256);
    let first_read = EngineAction::RespondInTwoParts(Vec::new(), read_response());
    harness.mock_engines.script("r0", &[first_read, EngineAction::read_response()]);
    let mut client = Client::new(&harness);
    let sent = send_in_background(&client, large_requests(REQUESTS, TIMEOUT_MS));
    harness.mock_engines.wait_until("the first read", |received| !requests_for(received, "p0").is_empty());
    assert_eq!(sent.iter().count(), REQUESTS);
    std::thread::sleep(Duration::from_millis(WAIT_MS));
    harness.mock_engines.resume();
    for n in 0..REQUESTS {
        let (status, _, whole) = client.receive_response();
        assert!(status == 200 && whole, "answer {n}: {status}");
    }
    for n in 1..REQUESTS {
        let stated = harness.mock_engines.stated_remaining_ms("r0", &format!("p{n}")).expect("a read");
        assert!(stated <= TIMEOUT_MS - WAIT_MS + MAX_EXCESS_MS, "p{n}: {stated} ms");
    }
}

/// Sends requests behind one whose engine hangs, each with as much time as that one, and asserts that none of them is
/// answered after its time.
fn assert_answered_in_time(harness: &Harness, count: usize, while_waiting: impl FnOnce()) {
    const TIMEOUT_MS: u64 = 1_500;
    harness.mock_engines.script("r0", &[EngineAction::Hang]);
    let mut client = Client::new(harness);
    let sent = send_in_background(&client, large_requests(count, TIMEOUT_MS));
    harness.mock_engines.wait_until("the first read", |received| !requests_for(received, "p0").is_empty());
    while_waiting();
    for n in 0..count {
        let (status, _, whole) = client.receive_response();
        let took = sent.recv().expect("the request was sent").elapsed();
        assert!(whole && status != 200, "answer {n}: {status}");
        assert!(took < Duration::from_millis(TIMEOUT_MS) + LOST_AFTER, "answer {n} after {took:?}");
    }
}

/// Guards against requests that are sent to engines after their clients' timeouts.
#[test]
fn waiting_requests_are_refused_when_their_time_is_over() {
    const REQUESTS: usize = 30;
    let harness = Harness::new(&["r0", "w0"], 256);
    assert_answered_in_time(&harness, REQUESTS, || {});
    // A request that was sent slightly later than the first one may have a little time left.
    let stated =
        (1..REQUESTS).filter_map(|n| harness.mock_engines.stated_remaining_ms("r0", &format!("p{n}")));
    assert_eq!(stated.filter(|ms| *ms > MAX_EXCESS_MS).collect::<Vec<_>>(), Vec::<u64>::new());
}

/// The same with more requests than the memory budget lets the node read: those that it reads after the pause.
#[test]
fn requests_behind_a_pause_are_answered_in_time() {
    let harness = Harness::new(&["r0", "w0"], 256);
    assert_answered_in_time(&harness, 300, || {
        harness.wait_until_status("reading is paused", |b| b["paused_reads"] == 1);
    });
}

/// Guards against a pause that counts for requests that the client sends after it.
#[test]
fn request_after_a_pause_is_new() {
    const OTHERS: usize = 18;
    const TIMEOUT_MS: u64 = 2_000;
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("r0", &[EngineAction::RespondInTwoParts(Vec::new(), read_response())]);
    // Bodies of requests use up the part of the budget that input behind a request may use.
    let mut others: Vec<Client> = (0..OTHERS).map(|_| Client::new(&harness)).collect();
    for (n, other) in others.iter_mut().enumerate() {
        other.send(&large_request_bytes("safe", &format!("other{n}"), 8_000, 250_000));
    }
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    harness.wait_until_status("reading is paused", |b| {
        b["held"] == OTHERS + 1 && b["paused_reads"].as_u64() > Some(0)
    });
    std::thread::sleep(Duration::from_millis(500));
    harness.mock_engines.script("r0", &[EngineAction::read_response()]);
    (0..=OTHERS).for_each(|_| harness.mock_engines.resume());
    assert!(client.receive_response().2);
    client.send(&request_bytes_with_timeout("safe", "b", TIMEOUT_MS));
    assert!(client.receive_response().2);
    let stated = harness.mock_engines.stated_remaining_ms("r0", "b").expect("a read");
    assert!(stated > TIMEOUT_MS - 400, "{stated} ms");
}

/// Guards against attempts for a client whose disconnect is behind bytes that the node has not read.
#[test]
fn disconnect_behind_unread_requests_prevents_write() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let first_read = EngineAction::RespondInTwoParts(Vec::new(), read_response());
    harness.mock_engines.script("r0", &[first_read, EngineAction::read_response()]);
    let mut client = Client::new(&harness);
    let requests: Vec<u8> = (0..100)
        .flat_map(|n| large_request_bytes("once", &format!("p{n}"), 6_000, LARGE_BODY_BYTES))
        .collect();
    send_without_waiting(&mut client, &requests);
    harness.mock_engines.wait_until("the first read", |received| !requests_for(received, "p0").is_empty());
    drop(client);
    harness.wait_until_status("the disconnect", |b| b["held"] == 0 && b["bytes"] == 0);
    harness.mock_engines.resume();
    let mut other = Client::new(&harness);
    other.send_request("safe", "b");
    assert!(other.receive_response().2);
    let received = harness.mock_engines.received();
    let attempts: Vec<&str> =
        received.iter().filter(|c| c.1 == "POST" && c.3.starts_with('p')).map(|c| c.0.as_str()).collect();
    assert_eq!(attempts, ["r0"]);
}

/// Asserts that a node stays within its memory of 32 MB while this many connections send 100 requests at once, in pieces
/// of this size.
fn assert_memory_is_bounded(connections: usize, piece_bytes: usize) {
    const REQUESTS: usize = 100;
    const BODY_BYTES: usize = 2_300;
    const TIMEOUT_MS: u64 = 2_000;
    const NODE_MEMORY_BYTES: usize = 32 << 20;
    let harness = Harness::new(&["r0", "w0"], 3 * connections + 200);
    harness.mock_engines.script("r0", &[EngineAction::Hang]);
    let mut clients = Vec::new();
    for c in 0..connections {
        let mut client = Client::new(&harness);
        let requests: Vec<u8> = (0..REQUESTS)
            .flat_map(|n| large_request_bytes("safe", &format!("c{c}-{n}"), TIMEOUT_MS, BODY_BYTES))
            .collect();
        for piece in requests.chunks(piece_bytes) {
            if send_without_waiting(&mut client, piece) < piece.len() {
                break;
            }
        }
        clients.push(client);
    }
    let status = harness.status();
    let (held, limit) = (status["bytes"].as_u64().unwrap(), status["bytes_limit"].as_u64().unwrap());
    let peak = peak_memory(harness.pid());
    println!(
        "{connections} connections: peak {} KiB, held {} of {} KiB, paused {}, in flight {}",
        peak >> 10,
        held >> 10,
        limit >> 10,
        status["paused_reads"],
        status["held"]
    );
    assert!(held > 0 && held <= limit, "{held} of {limit}");
    assert!(peak < NODE_MEMORY_BYTES, "{} KiB", peak >> 10);
    drop(clients);
    harness.wait_until_status("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0 && b["clients"] == 1);
    assert!(peak_memory(harness.pid()) < NODE_MEMORY_BYTES);
}

/// Guards against a node that runs out of memory because of many clients that send much at once.
#[test]
fn pipelined_requests_use_bounded_memory() {
    for connections in [1, 100, 320, 1_000] {
        assert_memory_is_bounded(connections, usize::MAX);
    }
}

/// The same with clients that send their requests in pieces.
#[test]
fn pipelined_requests_in_pieces_use_bounded_memory() {
    for connections in [1, 100, 1_000] {
        assert_memory_is_bounded(connections, 1_000);
    }
}

/// Bytes that are no request behind two good ones: these get their answers, the rest one error and a close.
#[test]
fn invalid_bytes_behind_requests_get_one_error() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let mut client = Client::new(&harness);
    let junk = b"\x00\x01 junk \r\n\r\n".repeat(20_000);
    send_without_waiting(
        &mut client,
        &[request_bytes("safe", "a"), request_bytes("safe", "b"), junk].concat(),
    );
    assert_eq!([client.receive_response().0, client.receive_response().0], [200, 200]);
    let since = Instant::now();
    assert_eq!(client.receive_response().0, 400);
    assert!(client.wait_for_close());
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    harness.wait_until_status("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
}

/// A body that is cut short behind good requests: the connection gets one error and a close.
#[test]
fn incomplete_body_behind_requests_gets_one_error() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let mut client = Client::new(&harness);
    let cut = large_request_bytes("safe", "c", 6_000, LARGE_BODY_BYTES);
    client.send(
        &[request_bytes("safe", "a"), request_bytes("safe", "b"), cut[..cut.len() / 2].to_vec()].concat(),
    );
    assert_eq!([client.receive_response().0, client.receive_response().0], [200, 200]);
    let since = Instant::now();
    assert_eq!(client.receive_response().0, 408);
    assert!(client.wait_for_close());
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    assert_eq!(attempted_engines(&harness, "c"), Vec::<String>::new());
    harness.wait_until_status("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
}

/// A client that sends requests and reads nothing: the connection is closed, and the budget is free again.
#[test]
fn client_that_never_reads_is_closed() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let mut client = Client::new(&harness);
    let requests = b"GET /pintally/beliefs HTTP/1.1\r\n\r\n".repeat(1 << 16);
    send_without_waiting(&mut client, &requests);
    harness.wait_until_status("its output is held", |b| b["bytes"].as_u64() > Some(0));
    harness.wait_until_status("it is closed", |b| b["bytes"] == 0 && b["closes"]["stuck"] == 1);
}

//! Clients that send more than the node reads and disconnect: the end of the stream stays behind unread bytes in the
//! client's system, so that no event reports it. No attempt may start for such a client.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};

use crate::harness::*;
use crate::{attempted_engines, requests_for};

/// An attempt that begins later than this after the disconnect breaks the rule on lost requests.
const MAX_START_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// A connection that takes no bytes for this time is full.
const FULL_AFTER: Duration = Duration::from_millis(50);
/// Memory of the nodes, in megabytes: the least that is allowed, and the bounds of the platform's days.
const MEMORY_MB: [u64; 3] = [16, 32, 192];

/// A node with this much memory.
fn harness_with_memory(engines: &[&str], memory_mb: u64) -> Harness {
    let (mock_engines, addresses) = serve_engines(engines);
    let mut harness = harness_with_engines(&addresses, memory_mb);
    harness.mock_engines = mock_engines;
    harness
}

fn harness_with_engines(engines: &[(&str, SocketAddr)], memory_mb: u64) -> Harness {
    Harness::with_config(engines, 256, Arc::new(Discovery::default()), |config| {
        config["limits"]["memory_mb"] = memory_mb.into();
        config["settings"]["permissions"]["connect_timeout"] = 5.0.into();
    })
}

/// Sends the same bytes again and again until the connection is full; returns their number.
fn fill_connection(client: &mut Client, bytes: &[u8]) -> usize {
    client.stream.set_nonblocking(true).unwrap();
    let (mut sent, mut last_sent) = (0, Instant::now());
    while last_sent.elapsed() < FULL_AFTER {
        match client.stream.write(&bytes[sent % bytes.len()..]) {
            Ok(count) => (sent, last_sent) = (sent + count, Instant::now()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_millis(1)),
            Err(e) => panic!("the node closed the connection: {e}"),
        }
    }
    client.stream.set_nonblocking(false).unwrap();
    sent
}

/// What clients send behind their first request.
fn floods() -> [(&'static str, Vec<u8>); 4] {
    let small: Vec<u8> = (0..1_000).flat_map(|n| request_bytes("once", &format!("s{n}"))).collect();
    [
        ("large requests", large_request_bytes("once", "l", 6_000, 240_000)),
        ("small requests", small),
        ("an endless header", b"x".repeat(1 << 16)),
        ("no requests", b"\x00\x01 junk \r\n\r\n".repeat(5_000)),
    ]
}

/// Waits until the node has ended all requests and read all input.
fn wait_until_nothing_is_held(harness: &Harness) {
    harness.wait_until_status("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
}

/// Disconnects, and waits until an attempt would break the rule.
fn disconnect(client: Client) {
    drop(client);
    std::thread::sleep(2 * MAX_START_AFTER_DISCONNECT);
}

/// Guards against the write of a request whose client has disconnected behind bytes that the node has no memory for.
#[test]
fn disconnect_behind_a_full_connection_prevents_write() {
    for memory_mb in MEMORY_MB {
        for (name, flood) in floods() {
            let harness = harness_with_memory(&["r0", "w0"], memory_mb);
            let first_read = EngineAction::RespondInTwoParts(Vec::new(), read_response());
            harness.mock_engines.script("r0", &[first_read, EngineAction::read_response()]);
            let mut client = Client::new(&harness);
            client.send_request("once", "a");
            harness
                .mock_engines
                .wait_until("the read", |received| requests_for(received, "a").contains(&("r0", "POST")));
            let sent = fill_connection(&mut client, &flood);
            println!("{memory_mb} MB, {name}: {sent} bytes");
            harness.wait_until_status("reading is paused", |b| b["paused_reads"] == 1);
            disconnect(client);
            harness.mock_engines.resume();
            wait_until_nothing_is_held(&harness);
            assert_eq!(attempted_engines(&harness, "a"), ["r0"], "{memory_mb} MB, {name}");
            assert_eq!(harness.status()["withheld"]["client_unconfirmed"], 1);
        }
    }
}

/// The same with several clients that share the memory.
#[test]
fn disconnects_behind_full_connections_prevent_writes() {
    const CLIENTS: usize = 8;
    for memory_mb in MEMORY_MB {
        let harness = harness_with_memory(&["r0", "w0"], memory_mb);
        let reads = vec![EngineAction::RespondInTwoParts(Vec::new(), read_response()); CLIENTS];
        harness.mock_engines.script("r0", &[reads, vec![EngineAction::read_response()]].concat());
        let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::new(&harness)).collect();
        let flood = large_request_bytes("once", "l", 6_000, 240_000);
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_request("once", &format!("a{n}"));
        }
        harness.mock_engines.wait_until("all reads", |received| received.len() == CLIENTS);
        for client in &mut clients {
            fill_connection(client, &flood);
        }
        clients.into_iter().for_each(disconnect);
        (0..CLIENTS).for_each(|_| harness.mock_engines.resume());
        wait_until_nothing_is_held(&harness);
        for n in 0..CLIENTS {
            assert_eq!(attempted_engines(&harness, &format!("a{n}")), ["r0"], "{memory_mb} MB, client {n}");
        }
    }
}

/// Guards against a retry for such a client.
#[test]
fn disconnect_behind_a_full_connection_prevents_retry() {
    let harness = harness_with_memory(&["r0", "w0", "w1"], 32);
    let rejection = pintally_http::response(503, &[("X-Turned-Away", "1")], b"");
    let late_rejection = EngineAction::RespondInTwoParts(Vec::new(), rejection);
    for writer in ["w0", "w1"] {
        harness.mock_engines.script(writer, std::slice::from_ref(&late_rejection));
    }
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    harness.mock_engines.wait_until("the write", |received| requests_for(received, "a").len() == 2);
    fill_connection(&mut client, &large_request_bytes("once", "l", 6_000, 240_000));
    harness.wait_until_status("reading is paused", |b| b["paused_reads"] == 1);
    disconnect(client);
    harness.mock_engines.resume();
    wait_until_nothing_is_held(&harness);
    assert_eq!(attempted_engines(&harness, "a").len(), 2, "the read and one write");
}

/// An engine whose listener accepts no connection until the test lets it.
struct LateEngine {
    listener: TcpListener,
    backlog: Vec<TcpStream>,
}

impl LateEngine {
    fn new() -> LateEngine {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(1).unwrap();
        let listener: TcpListener = socket.into();
        let backlog = fill_accept_backlog(listener.local_addr().unwrap());
        LateEngine { listener, backlog }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts connections until one is closed by its client that is not from the backlog; returns the bytes of it.
    fn accept_and_read(&mut self) -> Vec<u8> {
        let skipped = std::mem::take(&mut self.backlog).len();
        for _ in 0..skipped {
            self.listener.accept().unwrap();
        }
        let (mut stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut bytes = Vec::new();
        let end = std::io::Read::read_to_end(&mut stream, &mut bytes);
        assert!(end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
        bytes
    }
}

/// Guards against an attempt whose connection is established after such a client has disconnected.
#[test]
fn disconnect_behind_a_full_connection_prevents_late_start() {
    let mut late_engine = LateEngine::new();
    let harness = harness_with_engines(&[("r0", late_engine.address())], 32);
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    harness.wait_until_status("the attempt waits for its connection", |b| {
        b["engines"][0]["sockets"]["out"] == 1
    });
    fill_connection(&mut client, &large_request_bytes("once", "l", 6_000, 240_000));
    harness.wait_until_status("reading is paused", |b| b["paused_reads"] == 1);
    disconnect(client);
    let received = late_engine.accept_and_read();
    assert_eq!(String::from_utf8_lossy(&received), "");
    wait_until_nothing_is_held(&harness);
}

/// A client that sends too much and stays gets an answer to each request, and does not harm one that sends a single
/// request and waits.
#[test]
fn clients_that_stay_get_all_answers() {
    const REQUESTS: usize = 40;
    let harness = harness_with_memory(&["r0", "w0"], 32);
    let late_read = EngineAction::RespondInTwoParts(Vec::new(), read_response());
    harness.mock_engines.script("r0", &[late_read.clone(), late_read, EngineAction::read_response()]);
    let mut waiting = Client::new(&harness);
    waiting.send_request("once", "waiting");
    let mut flooding = Client::new(&harness);
    flooding.send_request("once", "a");
    harness.mock_engines.wait_until("both reads", |received| received.len() == 2);
    let mut stream = flooding.stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        for n in 0..REQUESTS {
            stream.write_all(&large_request_bytes("once", &format!("l{n}"), 6_000, 240_000)).unwrap();
        }
    });
    harness.wait_until_status("reading is paused", |b| b["paused_reads"].as_u64() > Some(0));
    std::thread::sleep(FULL_AFTER);
    (0..2).for_each(|_| harness.mock_engines.resume());
    let (status, _, is_complete) = waiting.receive_response();
    assert_eq!((status, is_complete), (200, true), "the client that waits");
    let statuses: Vec<u16> = (0..=REQUESTS)
        .map(|n| {
            let (status, _, is_complete) = flooding.receive_response();
            assert!(is_complete && [200, 503].contains(&status), "answer {n}: {status}");
            status
        })
        .collect();
    sender.join().unwrap();
    assert_eq!(statuses[0], 503, "its disconnect could not have been noticed");
    wait_until_nothing_is_held(&harness);
}

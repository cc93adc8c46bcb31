//! Clients that read their responses slowly or not at all while their connections are about to be closed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};

use crate::harness::*;

/// One event of a long stream.
const EVENT_BYTES: usize = 4 << 10;
/// The size of a stream that exceeds all socket buffers.
const OVERSIZED_STREAM_BYTES: usize = 24 << 20;
/// The difference in length between streams. The shortest fits into the socket buffers, and some of the longer ones
/// end while their last part is still in the node, which buffers 256 KiB plus one read.
const LENGTH_STEP_BYTES: usize = 8 << 10;
/// How much shorter than the capacity of the socket buffers the shortest stream is.
const SHORTEST_MARGIN_BYTES: usize = 48 << 10;
/// Longer than the node keeps a connection open for its client to read a response that is written completely.
const UNREAD_DURATION: Duration = Duration::from_millis(1_500);
/// Longer than the time limit for receiving a request.
const SLOW_REQUEST_DURATION: Duration = Duration::from_millis(3_200);

/// A client with a small receive buffer.
fn small_buffer_client(node: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&node.into()).unwrap();
    Client::from_stream(socket.into())
}

/// A stream with about this many bytes of events.
fn long_stream(bytes: usize) -> EngineAction {
    let event = format!("data: {{\"pad\":\"{}\"}}\n\n", "x".repeat(EVENT_BYTES));
    let parts: Vec<&[u8]> = (0..bytes / EVENT_BYTES).map(|_| event.as_bytes()).collect();
    EngineAction::Respond(complete_stream(&parts))
}

/// How many bytes the socket buffers hold between the node and a client that reads nothing: the queues on both sides
/// of such a connection once they stop growing.
fn socket_buffered_bytes(harness: &Harness) -> usize {
    harness.mock_engines.script("w0", &[long_stream(OVERSIZED_STREAM_BYTES)]);
    let mut client = small_buffer_client(harness.node_address);
    client.send_request("safe", "probe");
    let ports = [harness.node_address.port(), client.stream.local_addr().unwrap().port()];
    let (mut buffered, mut since) = (0, Instant::now());
    while buffered == 0 || since.elapsed() < Duration::from_millis(200) {
        let current = waiting_bytes(ports[0], ports[1]) + waiting_bytes(ports[1], ports[0]);
        if current != buffered {
            (buffered, since) = (current, Instant::now());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    buffered
}

/// Unacknowledged plus unread bytes on one side of a loopback connection.
fn waiting_bytes(from: u16, to: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).find(|fields| {
        fields[1].ends_with(&format!(":{from:04X}")) && fields[2].ends_with(&format!(":{to:04X}"))
    });
    let queues =
        line.and_then(|fields| fields[4].split_once(':').map(|(tx, rx)| (tx.to_owned(), rx.to_owned())));
    let number = |hex: String| usize::from_str_radix(&hex, 16).unwrap_or(0);
    queues.map_or(0, |(tx, rx)| number(tx) + number(rx))
}

/// Starts streams of increasing length to clients that do not read yet; with `close_connections` the requests ask for
/// the connections to be closed.
fn start_unread_streams(harness: &Harness, count: usize, close_connections: bool) -> Vec<Client> {
    let shortest = socket_buffered_bytes(harness).saturating_sub(SHORTEST_MARGIN_BYTES);
    println!("streams from {} KiB on", shortest >> 10);
    let streams: Vec<EngineAction> =
        (0..=count).map(|n| long_stream(shortest + n * LENGTH_STEP_BYTES)).collect();
    harness.mock_engines.script("w0", &streams);
    let headers = if close_connections { "Connection: close\r\nX-Txn: " } else { "X-Txn: " };
    let mut clients: Vec<Client> = (0..count).map(|_| small_buffer_client(harness.node_address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let request = String::from_utf8(request_bytes("safe", &format!("a{n}"))).unwrap();
        client.send(request.replacen("X-Txn: ", headers, 1).as_bytes());
    }
    harness.mock_engines.wait_until("all writes", |received| {
        received.iter().filter(|c| c.0 == "w0" && c.1 == "POST" && c.3 != "probe").count() >= count
    });
    clients
}

fn assert_all_complete(clients: Vec<Client>) {
    // All clients read at the same time: read one after the other on a busy machine, the last ones would take nothing
    // for longer than the node's write timeout of 10 s, and the node may close their connections then.
    let readers: Vec<_> = clients
        .into_iter()
        .map(|mut client| std::thread::spawn(move || client.receive_response().2))
        .collect();
    let whole: Vec<bool> =
        readers.into_iter().map(|reader| reader.join().expect("the response is read")).collect();
    assert!(whole.iter().all(|whole| *whole), "some streams were truncated: {whole:?}");
}

/// Guards against a stream that is truncated by the close of its connection while its last part is buffered in the node
/// for a slow client.
#[test]
fn writes_last_part_of_response_to_slow_client() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let clients = start_unread_streams(&harness, 24, true);
    std::thread::sleep(UNREAD_DURATION);
    assert_all_complete(clients);
}

/// Guards against the same truncation on keep-alive connections at SIGTERM.
#[test]
fn sigterm_writes_last_part_of_each_response() {
    let mut harness = Harness::new(&["r0", "w0"], 256);
    let clients = start_unread_streams(&harness, 24, false);
    std::thread::sleep(UNREAD_DURATION / 3);
    harness.signal("-TERM");
    std::thread::sleep(UNREAD_DURATION);
    assert_all_complete(clients);
    assert!(harness.wait_for_exit().success());
}

/// Guards against a partially written response that is dropped because its connection, which is about to close, is
/// reclaimed when other connections need a descriptor.
#[test]
fn keeps_unread_responses_at_descriptor_limit() {
    let harness = Harness::new(&["r0", "w0"], 64);
    let clients = start_unread_streams(&harness, 10, true);
    std::thread::sleep(UNREAD_DURATION / 10);
    let idle: Vec<Client> = (0..60).map(|_| Client::new(&harness)).collect();
    std::thread::sleep(UNREAD_DURATION / 10);
    assert_all_complete(clients);
    drop(idle);
}

/// Guards against clients that are not accepted although idle engine connections could be closed for them: those that
/// probes have left use descriptors of the reserve for background calls.
#[test]
fn accepts_clients_while_idle_connections_use_descriptors() {
    const CLIENTS: usize = 8;
    let harness = Harness::new(&["r0", "w0"], 64);
    harness.mock_engines.script("r0", &[EngineAction::Hang]);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::new(&harness)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("a{n}"));
    }
    harness.wait_until_status("all requests are held", |b| b["held"] == CLIENTS);
    harness.wait_until_status("all requests are refused", |b| b["held"] == 0);
}

/// Guards against a node that runs out of memory because of one client that sends thousands of pipelined requests with
/// long responses and reads nothing for a while.
#[test]
fn unread_responses_use_bounded_memory() {
    const REQUESTS: usize = 4_000;
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.discovery.wait_for_watches(1);
    for n in 0..40 {
        harness.discovery.change(member(&format!("w1{n}"), harness.engines["w0"], "up"));
    }
    harness.wait_until_status("all are listed", |b| b["engines"].as_array().is_some_and(|e| e.len() >= 42));
    let mut client = small_buffer_client(harness.node_address);
    let mut writer = client.stream.try_clone().unwrap();
    let sends = std::thread::spawn(move || {
        let all = b"GET /pintally/beliefs HTTP/1.1\r\n\r\n".repeat(REQUESTS);
        std::io::Write::write_all(&mut writer, &all).expect("the node reads all requests eventually");
    });
    let until = Instant::now() + SLOW_REQUEST_DURATION;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let peak = peak_memory(harness.pid());
    println!("peak memory of {} MB while nothing was read", peak >> 20);
    assert!(peak < 16 << 20, "peak memory of {} MB; the node may use 32 MB", peak >> 20);
    for n in 0..REQUESTS {
        let (status, page, whole) = client.receive_response();
        assert!(status == 200 && whole && page.len() > 1_000, "answer {n}");
    }
    sends.join().expect("all requests were sent");
    assert!(peak_memory(harness.pid()) < 16 << 20);
}

/// Guards against a node that runs out of memory because of clients that read long streams slowly: its buffer for each
/// client is bounded, however fast engines write.
#[test]
fn streams_to_slow_clients_use_bounded_memory() {
    const CLIENTS: usize = 60;
    const STREAM_BYTES: usize = 4 << 20;
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("w0", &[long_stream(STREAM_BYTES)]);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| small_buffer_client(harness.node_address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("a{n}"));
    }
    harness
        .mock_engines
        .wait_until("all writes", |received| received.iter().filter(|c| c.0 == "w0").count() >= CLIENTS);
    std::thread::sleep(UNREAD_DURATION);
    let peak = peak_memory(harness.pid());
    println!("peak memory of {} MB for {CLIENTS} unread streams", peak >> 20);
    assert!(peak < 16 << 20, "peak memory of {} MB; the node may use 32 MB", peak >> 20);
    assert_all_complete(clients);
}

/// Guards against a node that reads without end what clients send behind a rejection: the connection is closed once the
/// largest request would have been read.
#[test]
fn input_behind_a_rejection_is_bounded() {
    // The largest request, and what the buffers of both systems hold.
    const MAX_INPUT_BYTES: usize = 16 << 20;
    let harness = Harness::new(&["r0", "w0"], 256);
    let mut client = Client::new(&harness);
    client.send(b"no request\r\n\r\n");
    assert_eq!(client.receive_response().0, 400);
    let (junk, mut sent) = (vec![b'x'; 1 << 16], 0);
    while let Ok(count) = std::io::Write::write(&mut client.stream, &junk) {
        sent += count;
        assert!(sent <= MAX_INPUT_BYTES, "{sent} bytes were taken");
    }
}

/// Guards against a stream that is cut because its engine ends, long after it has written the last chunk: the client reads
/// slowly, and the rest was still in the engine's system.
#[test]
fn stream_survives_the_end_of_its_engine() {
    const STREAM_BYTES: usize = 200 << 10;
    let harness = Harness::new(&["r0", "w0"], 256);
    let EngineAction::Respond(stream) = long_stream(STREAM_BYTES) else { panic!("a response") };
    harness.mock_engines.script("w0", &[EngineAction::RespondAndReset(stream)]);
    let mut client = small_buffer_client(harness.node_address);
    client.send_request("safe", "a");
    // The engine resets its connection behind a stream that is written completely; the client has read nothing yet.
    std::thread::sleep(UNREAD_DURATION);
    harness.mock_engines.resume_and_wait();
    let (status, body, is_complete) = client.receive_response();
    assert!(status == 200 && is_complete && body.len() >= STREAM_BYTES, "{status}, {} bytes", body.len());
}

//! Clients that are slow to take their answers, or never take them, while their connections come to be closed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};

use crate::stand::*;

/// One event of a long stream.
const EVENT_BYTES: usize = 4 << 10;
/// A stream that no system's buffers hold.
const ENDLESS: usize = 24 << 20;
/// Streams differ by so much in length, from less than the buffers hold on: some end with their last part still
/// in the node, which holds 32 KiB and what one read brings.
const STEP: usize = 8 << 10;
const SHORTER: usize = 48 << 10;
/// Longer than a connection whose last answer is written is kept for its client to read it.
const UNREAD_FOR: Duration = Duration::from_millis(1_500);
/// Longer than a request may take to come.
const SLOW_FOR: Duration = Duration::from_millis(3_200);

/// A client that takes little at once.
fn narrow_client(node: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&node.into()).unwrap();
    Client::over(socket.into())
}

/// A stream of about so many bytes of events.
fn long_stream(bytes: usize) -> Does {
    let event = format!("data: {{\"pad\":\"{}\"}}\n\n", "x".repeat(EVENT_BYTES));
    let parts: Vec<&[u8]> = (0..bytes / EVENT_BYTES).map(|_| event.as_bytes()).collect();
    Does::Says(stream(&parts))
}

/// How many bytes the system holds between the node and a client that reads nothing: what waits on both sides of
/// such a connection once that does not grow any more.
fn held_by_system(stand: &Stand) -> usize {
    stand.seen.let_do("w0", &[long_stream(ENDLESS)]);
    let mut client = narrow_client(stand.node);
    client.ask("safe", "probe");
    let ports = [stand.node.port(), client.stream.local_addr().unwrap().port()];
    let (mut held, mut since) = (0, Instant::now());
    while held == 0 || since.elapsed() < Duration::from_millis(200) {
        let now = waiting_bytes(ports[0], ports[1]) + waiting_bytes(ports[1], ports[0]);
        if now != held {
            (held, since) = (now, Instant::now());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    held
}

/// Bytes that wait to be acknowledged or to be read on one side of a connection on loopback.
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

/// Clients with streams of growing lengths, none of which is read yet; `close` if they ask for the end of
/// their connections.
fn unread_streams(stand: &Stand, many: usize, close: bool) -> Vec<Client> {
    let shortest = held_by_system(stand).saturating_sub(SHORTER);
    println!("streams from {} KiB on", shortest >> 10);
    let streams: Vec<Does> = (0..=many).map(|n| long_stream(shortest + n * STEP)).collect();
    stand.seen.let_do("w0", &streams);
    let line = if close { "Connection: close\r\nX-Txn: " } else { "X-Txn: " };
    let mut clients: Vec<Client> = (0..many).map(|_| narrow_client(stand.node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let asked = String::from_utf8(asked("safe", &format!("a{n}"))).unwrap();
        client.send(asked.replacen("X-Txn: ", line, 1).as_bytes());
    }
    stand.seen.until("all writes", |came| {
        came.iter().filter(|c| c.0 == "w0" && c.1 == "POST" && c.3 != "probe").count() >= many
    });
    clients
}

fn all_are_whole(clients: Vec<Client>) {
    let whole: Vec<bool> = clients.into_iter().map(|mut client| client.answer().2).collect();
    assert!(whole.iter().all(|whole| *whole), "streams that were cut off: {whole:?}");
}

/// Guards against a stream that is cut off by the end of its connection while its last part waits in the node for a
/// slow client.
#[test]
fn the_last_part_of_an_answer_is_written_however_slow_its_client_is() {
    let stand = Stand::new(&["r0", "w0"], 256);
    let clients = unread_streams(&stand, 24, true);
    std::thread::sleep(UNREAD_FOR);
    all_are_whole(clients);
}

/// The same on connections that would have stayed open, at SIGTERM.
#[test]
fn a_node_that_stops_writes_the_last_part_of_each_answer() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let clients = unread_streams(&stand, 24, false);
    std::thread::sleep(UNREAD_FOR / 3);
    stand.signal("-TERM");
    std::thread::sleep(UNREAD_FOR);
    all_are_whole(clients);
    assert!(stand.ended().success());
}

/// Guards against an answer that is dropped half written because its connection is taken for one that ends anyway
/// when others need a descriptor.
#[test]
fn no_answer_is_dropped_for_a_descriptor() {
    let stand = Stand::new(&["r0", "w0"], 64);
    let clients = unread_streams(&stand, 10, true);
    std::thread::sleep(UNREAD_FOR / 10);
    let idle: Vec<Client> = (0..60).map(|_| Client::new(&stand)).collect();
    std::thread::sleep(UNREAD_FOR / 10);
    all_are_whole(clients);
    drop(idle);
}
/// The most memory that a process has had, in bytes.
fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the system tells it");
    let kilobytes: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes << 10
}

/// Guards against a node that runs out of memory by one client: thousands of requests at once, each with a long
/// answer, of which it reads nothing for a while.
#[test]
fn answers_that_nobody_reads_take_no_more_memory_than_some() {
    const REQUESTS: usize = 4_000;
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.discovery.until_watched(1);
    for n in 0..40 {
        stand.discovery.change(member(&format!("w1{n}"), stand.engines["w0"], "up"));
    }
    stand.until_believed("all are listed", |b| b["engines"].as_array().is_some_and(|e| e.len() >= 42));
    let mut client = narrow_client(stand.node);
    let mut writer = client.stream.try_clone().unwrap();
    let sends = std::thread::spawn(move || {
        let all = b"GET /pintally/beliefs HTTP/1.1\r\n\r\n".repeat(REQUESTS);
        std::io::Write::write_all(&mut writer, &all).expect("the node reads all in the end");
    });
    let until = Instant::now() + SLOW_FOR;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let peak = peak_memory(stand.pid());
    println!("{} MB at most while nothing was read", peak >> 20);
    assert!(peak < 16 << 20, "{} MB at most, of 32 that the node may have", peak >> 20);
    for n in 0..REQUESTS {
        let (status, page, whole) = client.answer();
        assert!(status == 200 && whole && page.len() > 1_000, "answer {n}");
    }
    sends.join().expect("all was sent");
    assert!(peak_memory(stand.pid()) < 16 << 20);
}

/// Guards against a node that runs out of memory by clients that take long streams slowly: what it holds for each is
/// bounded, however fast engines write.
#[test]
fn streams_that_wait_for_slow_clients_take_no_more_memory_than_some() {
    const CLIENTS: usize = 60;
    const STREAM: usize = 4 << 20;
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("w0", &[long_stream(STREAM)]);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| narrow_client(stand.node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.ask("safe", &format!("a{n}"));
    }
    stand.seen.until("all writes", |came| came.iter().filter(|c| c.0 == "w0").count() >= CLIENTS);
    std::thread::sleep(UNREAD_FOR);
    let peak = peak_memory(stand.pid());
    println!("{} MB at most for {CLIENTS} streams that wait", peak >> 20);
    assert!(peak < 16 << 20, "{} MB at most, of 32 that the node may have", peak >> 20);
    all_are_whole(clients);
}

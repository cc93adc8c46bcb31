//! Memory of a node under clients and engines that cost it as much as they can: the process and the buffers of its
//! sockets together stay within three quarters of the limit, and another client gets its answers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::harness::*;

/// The node of the incident.
const MEMORY_MB: u64 = 80;
const SOCKETS: usize = 768;
/// Memory in megabytes and descriptors of nodes: the least that is allowed, the incident's, and the bounds of the
/// platform's days.
const SIZES: [(u64, usize); 4] = [(16, 256), (32, 256), (MEMORY_MB, SOCKETS), (192, 1_024)];
/// How long a crowd keeps its connections busy.
const CROWD_DURATION: Duration = Duration::from_millis(2_500);
/// Another client is answered within the latency objective of the platform's requests that may not be repeated.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500);
const ENGINES: [&str; 8] = ["r0", "r1", "r2", "r3", "w0", "w1", "w2", "w3"];
const LARGE_BODY_BYTES: usize = 250_000;
/// More than the system keeps for a socket. A connection that is just being set up is listed with random numbers.
const MAX_QUEUE_BYTES: usize = 64 << 20;

fn harness_with_limits(memory_mb: u64, sockets: usize) -> Harness {
    let (mock_engines, addresses) = serve_engines(&ENGINES);
    let mut harness = Harness::with_config(&addresses, sockets, Arc::new(Discovery::default()), |config| {
        config["limits"]["memory_mb"] = memory_mb.into();
    });
    harness.mock_engines = mock_engines;
    harness
}

/// Measures a node while it runs, in a thread: its memory, and the time in which a client gets its answers.
struct Monitor {
    is_done: Arc<AtomicBool>,
    memory: JoinHandle<usize>,
    client: JoinHandle<OtherClient>,
}

impl Monitor {
    fn start(harness: &Harness) -> Monitor {
        let is_done = Arc::new(AtomicBool::new(false));
        let (pid, node) = (harness.pid(), harness.node_address);
        let engines: Vec<u16> = harness.engines.values().map(SocketAddr::port).collect();
        let done = is_done.clone();
        let memory = std::thread::spawn(move || {
            let mut peak = (0, 0, 0);
            while !done.load(Ordering::SeqCst) {
                let (resident, queued) = (process_memory(pid, "VmRSS:"), queued_bytes(node.port(), &engines));
                peak = peak.max((resident + queued, resident, queued));
                std::thread::sleep(Duration::from_millis(10));
            }
            println!("peak {} KiB: resident {}, in sockets {}", peak.0 >> 10, peak.1 >> 10, peak.2 >> 10);
            peak.0
        });
        let done = is_done.clone();
        let client = std::thread::spawn(move || {
            let mut other = OtherClient::default();
            while !done.load(Ordering::SeqCst) {
                other.send_request(node);
            }
            other
        });
        Monitor { is_done, memory, client }
    }

    /// What was exceeded.
    fn finish(self, memory_mb: u64) -> Vec<String> {
        self.is_done.store(true, Ordering::SeqCst);
        let (peak, other) = (self.memory.join().unwrap(), self.client.join().unwrap());
        println!("another client: {other:?}");
        let memory = (peak > (memory_mb as usize) * (1 << 20) / 4 * 3)
            .then(|| format!("{} KiB of {memory_mb} MB", peak >> 10));
        let is_served = other.served > 0 && other.failed == 0 && other.longest <= MAX_ANSWER_TIME;
        let answers = (!is_served).then(|| format!("another client: {other:?}"));
        memory.into_iter().chain(answers).collect()
    }
}

/// A client that is not part of the crowd, and its answers.
#[derive(Debug, Default)]
struct OtherClient {
    served: usize,
    rejected: usize,
    /// Answers that say that the request may have run.
    failed: usize,
    /// New connections that were closed unread, which is allowed while descriptors are short.
    closed: usize,
    longest: Duration,
}

impl OtherClient {
    fn send_request(&mut self, node: SocketAddr) {
        let since = Instant::now();
        let number = self.served + self.rejected + self.failed + self.closed;
        match answer_of(node, &format!("other{number}")) {
            Ok(200) => self.served += 1,
            Ok(429 | 503) => self.rejected += 1,
            Ok(_) => self.failed += 1,
            Err(_) => self.closed += 1,
        }
        self.longest = self.longest.max(since.elapsed());
    }
}

/// Sends a request on a new connection and waits for the status of its answer.
fn answer_of(node: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(LONG))?;
    stream.write_all(&request_bytes("safe", id))?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(std::str::from_utf8(&head[9..]).ok().and_then(|status| status.parse().ok()).unwrap_or(0))
}

/// Unread and unsent bytes of the node's connections.
fn queued_bytes(node: u16, engines: &[u16]) -> usize {
    let hex = |text: &str| usize::from_str_radix(text, 16).unwrap_or(0);
    let port = |address: &str| address.split_once(':').map_or(0, |(_, port)| hex(port) as u16);
    let is_listener = |fields: &[&str]| fields[3] == "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let lines = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines
        .filter(|fields| !is_listener(fields))
        .filter(|fields| port(fields[1]) == node || engines.contains(&port(fields[2])))
        .filter_map(|fields| fields[4].split_once(':').map(|(unsent, unread)| [hex(unsent), hex(unread)]))
        .flatten()
        .filter(|bytes| *bytes <= MAX_QUEUE_BYTES)
        .sum()
}

/// What the clients of a crowd do.
struct Behavior<'a> {
    /// The bytes of the n-th request or sequence of requests.
    bytes: &'a dyn Fn(usize) -> Vec<u8>,
    /// Whether more is sent as soon as the connection takes it.
    sends_on: bool,
    /// Whether answers are read. A client that is rejected comes again.
    reads: bool,
}

/// A client of a crowd; none of its calls blocks.
struct CrowdClient {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

impl CrowdClient {
    fn connect(node: SocketAddr, bytes: Vec<u8>) -> Option<CrowdClient> {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(CrowdClient { stream, bytes, sent: 0 })
    }

    /// Sends as much as the connection takes; an error if the connection has ended.
    fn send(&mut self) -> std::io::Result<()> {
        while self.sent < self.bytes.len() {
            match self.stream.write(&self.bytes[self.sent..]) {
                Ok(count) => self.sent += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads what has come; whether it is an error response or the end of the connection.
    fn is_rejected(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) => true,
            Ok(count) => buffer[..count].starts_with(b"HTTP/1.1") && !buffer.starts_with(b"HTTP/1.1 200"),
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// As many clients as the node accepts, less a few for others, behave this way for a while.
fn run_crowd(harness: &Harness, sockets: usize, behavior: &Behavior<'_>) {
    let end = Instant::now() + CROWD_DURATION;
    let mut numbers = 0..;
    let mut next_bytes = || (behavior.bytes)(numbers.next().unwrap());
    let mut clients: Vec<Option<CrowdClient>> = (0..sockets / 2 - 14).map(|_| None).collect();
    while Instant::now() < end {
        for place in &mut clients {
            let is_over = match place {
                Some(client) => client.send().is_err() || behavior.reads && client.is_rejected(),
                None => true,
            };
            if is_over {
                *place = CrowdClient::connect(harness.node_address, next_bytes());
            } else if let Some(client) =
                place.as_mut().filter(|c| behavior.sends_on && c.sent == c.bytes.len())
            {
                (client.bytes, client.sent) = (next_bytes(), 0);
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Runs a crowd at a node; returns what was exceeded.
fn violations(harness: &Harness, memory_mb: u64, sockets: usize, behavior: &Behavior<'_>) -> Vec<String> {
    println!("{memory_mb} MB, {sockets} descriptors");
    let monitor = Monitor::start(harness);
    run_crowd(harness, sockets, behavior);
    monitor.finish(memory_mb)
}

/// Runs a crowd at nodes of several sizes.
fn check_all_sizes(behavior: &Behavior<'_>, prepare: impl Fn(&Harness)) {
    let mut exceeded = Vec::new();
    for (memory_mb, sockets) in SIZES {
        let harness = harness_with_limits(memory_mb, sockets);
        prepare(&harness);
        exceeded.extend(violations(&harness, memory_mb, sockets, behavior));
    }
    assert_eq!(exceeded, Vec::<String>::new());
}

fn large_request(n: usize) -> Vec<u8> {
    large_request_bytes("safe", &format!("l{n}"), 6_000, LARGE_BODY_BYTES)
}

/// Guards against bodies that stay in memory while their streams last, although the budget counts them as free.
#[test]
fn streams_of_large_requests_stay_within_memory() {
    let harness = harness_with_limits(MEMORY_MB, SOCKETS);
    for writer in &ENGINES[4..] {
        harness.mock_engines.script(writer, &[EngineAction::Respond(open_stream(&[TOKEN]))]);
    }
    let behavior = Behavior { bytes: &large_request, sends_on: false, reads: true };
    assert_eq!(violations(&harness, MEMORY_MB, SOCKETS, &behavior), Vec::<String>::new());
}

/// Many small requests on one connection, under names, sessions and prefixes that were never used before.
fn small_requests(n: usize) -> Vec<u8> {
    let request = |i| String::from_utf8(request_bytes("safe", &format!("s{n}-{i}"))).unwrap();
    let prefix = |i| format!("prefix=p{n}-{i},prefix_len=100");
    (0..100).flat_map(|i| request(i).replace("prefix_len=0", &prefix(i)).into_bytes()).collect()
}

/// Guards against socket buffers that exceed the node's memory: clients pipeline small requests and read no answer.
#[test]
fn unread_input_and_output_stay_within_memory() {
    let behavior = Behavior { bytes: &small_requests, sends_on: true, reads: false };
    check_all_sizes(&behavior, |_| {});
}

/// Half of a large request.
fn half_request(n: usize) -> Vec<u8> {
    let mut bytes = large_request(n);
    bytes.truncate(LARGE_BODY_BYTES / 2);
    bytes
}

/// The head of a request with very many fields, and one byte of its body.
fn head_of_many_fields(n: usize) -> Vec<u8> {
    let fields: String = (0..60).map(|field| format!("f{field}: {}\r\n", "x".repeat(200))).collect();
    format!("POST /v1/chat/completions HTTP/1.1\r\nX-Txn: h{n}\r\nX-Lane: safe\r\n{fields}Content-Length: 9\r\n\r\n{{")
        .into_bytes()
}

/// A large request in chunks of one byte.
fn one_byte_chunks(n: usize) -> Vec<u8> {
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nX-Txn: c{n}\r\nX-Lane: safe\r\nTransfer-Encoding: chunked\r\n\r\n");
    [head.into_bytes(), b"1\r\nx\r\n".repeat(LARGE_BODY_BYTES)].concat()
}

/// What cannot be read, at full speed.
fn junk(_: usize) -> Vec<u8> {
    b"\x00\x01 junk \r\n\r\n".repeat(10_000)
}

/// Guards against requests that are not complete or cannot be read and cost more memory than the budget counts.
#[test]
fn incomplete_requests_stay_within_memory() {
    for bytes in [half_request, head_of_many_fields, one_byte_chunks, junk] {
        check_all_sizes(&Behavior { bytes: &bytes, sends_on: false, reads: true }, |_| {});
    }
}

/// Guards against engines that fill the node's memory: each stream ends inside a large event.
#[test]
fn events_that_never_end_stay_within_memory() {
    let event = format!("data: {{{}", "x".repeat(60_000));
    let stream = open_stream(&[TOKEN, event.as_bytes()]);
    let request = |n| request_bytes("safe", &format!("e{n}"));
    check_all_sizes(&Behavior { bytes: &request, sends_on: false, reads: true }, |harness| {
        for writer in &ENGINES[4..] {
            harness.mock_engines.script(writer, &[EngineAction::Respond(stream.clone())]);
        }
    });
}

/// Lets a process run for 20 ms of every 100.
struct Slowdown {
    is_done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Slowdown {
    fn start(pid: u32) -> Slowdown {
        let is_done = Arc::new(AtomicBool::new(false));
        let done = is_done.clone();
        let pid = rustix::process::Pid::from_raw(pid as i32).expect("a process id");
        let thread = std::thread::spawn(move || {
            use rustix::process::{kill_process, Signal};
            while !done.load(Ordering::SeqCst) {
                let _ = kill_process(pid, Signal::STOP);
                std::thread::sleep(Duration::from_millis(80));
                let _ = kill_process(pid, Signal::CONT);
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        Slowdown { is_done, thread: Some(thread) }
    }
}

impl Drop for Slowdown {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Guards against other clients that get their answers late or never while a crowd keeps a slow process busy.
#[test]
fn crowds_do_not_delay_other_clients_of_a_slow_process() {
    let floods =
        [large_request as fn(usize) -> Vec<u8>, half_request, head_of_many_fields, one_byte_chunks, junk];
    let reading = floods.iter().map(|bytes| Behavior { bytes, sends_on: false, reads: true });
    let unreading = Behavior { bytes: &small_requests, sends_on: true, reads: false };
    let mut exceeded = Vec::new();
    for behavior in reading.chain([unreading]) {
        let harness = harness_with_limits(MEMORY_MB, SOCKETS);
        let _slowdown = Slowdown::start(harness.pid());
        exceeded.extend(violations(&harness, MEMORY_MB, SOCKETS, &behavior));
    }
    assert_eq!(exceeded, Vec::<String>::new());
}

/// Guards against memory that grows without end while one client sends the smallest requests at full speed and reads its
/// answers.
#[test]
fn smallest_requests_at_full_speed_stay_within_memory() {
    for (memory_mb, sockets) in SIZES {
        let harness = harness_with_limits(memory_mb, sockets);
        let monitor = Monitor::start(&harness);
        let mut client = Client::new(&harness);
        let mut answers = client.stream.try_clone().unwrap();
        let reader = std::thread::spawn(move || {
            let mut buffer = vec![0; 1 << 16];
            while answers.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let requests = b"GET /up HTTP/1.1\r\n\r\n".repeat(1_000);
        let end = Instant::now() + CROWD_DURATION;
        client.stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut sent = 0;
        while Instant::now() < end {
            match client.stream.write(&requests[sent % requests.len()..]) {
                Ok(count) => sent += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => panic!("the connection has ended: {e}"),
            }
        }
        assert_eq!(monitor.finish(memory_mb), Vec::<String>::new());
        drop(client);
        reader.join().unwrap();
    }
}

//! Several node processes with engines that vanish, hang, break connections and are removed from the list: every read
//! state is tracked until it is fetched or released.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pintally_http::{response, RequestReader};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, Protocol, Socket, Type};

use crate::harness::*;

/// The time limit for a release in the harness's settings (500 ms) plus the platform's tolerance (300 ms).
const RELEASE_DEADLINE: Duration = Duration::from_millis(500 + 300);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 16;

// ---- tracking of read states ----

/// The read states and attempts of one request.
#[derive(Default)]
struct HeldStates {
    /// Number of read states that engines hold.
    states: u32,
    /// Number of attempts in flight at engines.
    attempts_in_flight: u32,
    /// Whether a release call arrived during an attempt.
    release_pending: bool,
    /// Since when read states exist without any attempt in flight.
    unattended_since: Option<Instant>,
    /// The longest such time and what ended it.
    longest: (Duration, &'static str),
    /// What happened at engines, in order.
    history: Vec<(Instant, &'static str)>,
}

impl HeldStates {
    fn record(&mut self, event: &'static str) {
        self.history.push((Instant::now(), event));
    }

    /// The history, with times in milliseconds since its first event.
    fn history(&self) -> String {
        let first = self.history.first().map(|(at, _)| *at);
        let line = |(at, event): &(Instant, &str)| {
            let since = first.map_or(Duration::ZERO, |first| at.duration_since(first));
            format!("{:.1} {event}", since.as_secs_f64() * 1e3)
        };
        self.history.iter().map(line).collect::<Vec<_>>().join(", ")
    }

    fn end_wait(&mut self, why: &'static str) {
        if let Some(since) = self.unattended_since.take() {
            self.longest = self.longest.max((since.elapsed(), why));
        }
    }

    fn release_all(&mut self, why: &'static str) {
        self.end_wait(why);
        self.states = 0;
        self.release_pending = false;
    }
}

/// The read states of all requests.
#[derive(Default)]
pub struct StateTracker {
    by_request: Mutex<BTreeMap<String, HeldStates>>,
    /// Number of release calls that released a read state.
    pub released: AtomicU64,
    /// Number of reads that ended with a read state.
    pub reads: AtomicU64,
    /// Number of fetches.
    pub fetches: AtomicU64,
    /// The remaining time that attempts stated: request id and milliseconds.
    stated_remaining: Mutex<Vec<(String, u64)>>,
}

impl StateTracker {
    fn update<T>(&self, id: &str, what: impl FnOnce(&mut HeldStates) -> T) -> T {
        what(self.by_request.lock().unwrap().entry(id.into()).or_default())
    }

    /// The remaining time that the attempts for a request stated, in milliseconds.
    pub fn stated_remaining_ms(&self, id: &str) -> Vec<u64> {
        let stated = self.stated_remaining.lock().unwrap();
        stated.iter().filter(|(own, _)| own == id).map(|(_, ms)| *ms).collect()
    }

    fn record_remaining(&self, id: &str, ms: Option<u64>) {
        self.stated_remaining.lock().unwrap().extend(ms.map(|ms| (id.to_string(), ms)));
    }

    /// An attempt has been received completely, and starts unless it is cancelled. Returns whether it starts. A
    /// release call comes either before both or after both, as it takes the same lock.
    fn start_attempt_unless(&self, id: &str, is_cancelled: impl FnOnce() -> bool) -> bool {
        self.update(id, |h| {
            if is_cancelled() {
                h.record("cancelled attempt");
                return false;
            }
            h.record("attempt");
            h.end_wait("an attempt");
            h.attempts_in_flight += 1;
            true
        })
    }

    /// An attempt has ended; a release call received meanwhile takes effect now.
    fn attempt_ended(&self, id: &str) {
        self.update(id, |h| {
            h.record("end of attempt");
            h.attempts_in_flight -= 1;
            if h.release_pending && h.attempts_in_flight == 0 {
                h.release_all("a call");
            } else if h.attempts_in_flight == 0 && h.states > 0 {
                h.unattended_since = Some(Instant::now());
            }
        });
    }

    /// A read has ended and stored a read state.
    fn state_stored(&self, id: &str) {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.update(id, |h| {
            h.record("state stored");
            h.states += 1;
        });
    }

    /// Whether there is a read state to fetch.
    fn has_state(&self, id: &str) -> bool {
        self.update(id, |h| h.states > 0)
    }

    /// A read state is fetched, which also releases all others of the request.
    fn state_fetched(&self, id: &str) {
        self.fetches.fetch_add(1, Ordering::Relaxed);
        self.update(id, |h| {
            h.record("fetch");
            h.release_all("a fetch");
        });
    }

    /// A release call, which takes effect when no attempt is in flight.
    fn release_received(&self, id: &str) {
        self.update(id, |h| {
            h.record("release call");
            if h.states > 0 {
                self.released.fetch_add(1, Ordering::Relaxed);
            }
            match h.attempts_in_flight {
                0 => h.release_all("a call"),
                _ => h.release_pending = true,
            }
        });
    }

    /// Restarts the waiting time of all read states; returns the number of requests with waiting states.
    fn restart_waits(&self) -> usize {
        let mut by_request = self.by_request.lock().unwrap();
        let waiting = by_request.values_mut().filter_map(|h| h.unattended_since.as_mut());
        waiting.map(|since| *since = Instant::now()).count()
    }

    /// The requests whose read states waited for longer than the limit, including those that still wait.
    pub fn overdue_states(&self, within: Duration) -> Vec<String> {
        let mut by_request = self.by_request.lock().unwrap();
        let mut overdue = Vec::new();
        for (id, h) in by_request.iter_mut() {
            h.end_wait("nothing, at the end");
            if h.longest.0 > within {
                let (longest, why) = h.longest;
                overdue.push(format!("{id}: {} ms until {why} ({})", longest.as_millis(), h.history()));
            }
        }
        overdue
    }
}

// ---- engines ----

/// An engine that can vanish: its connections stay open but silent, and new connections are never established.
pub struct UnreliableEngine {
    name: String,
    pub address: SocketAddr,
    vanished: AtomicBool,
    /// Counts how often the engine has vanished; connections of an earlier incarnation stay silent.
    incarnation: AtomicU64,
    backlog_connections: Mutex<Vec<TcpStream>>,
    tracker: Arc<StateTracker>,
    seed: u64,
}

impl UnreliableEngine {
    pub fn start(name: &str, tracker: &Arc<StateTracker>, seed: u64) -> Arc<UnreliableEngine> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(BACKLOG).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        let engine = Arc::new(UnreliableEngine {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            vanished: AtomicBool::new(false),
            incarnation: AtomicU64::new(0),
            backlog_connections: Mutex::new(Vec::new()),
            tracker: tracker.clone(),
            seed,
        });
        let own = engine.clone();
        std::thread::spawn(move || own.accept(&listener));
        engine
    }

    fn accept(self: Arc<UnreliableEngine>, listener: &TcpListener) {
        let mut number = self.seed;
        loop {
            let reachable = !self.vanished.load(Ordering::SeqCst);
            match reachable.then(|| listener.accept()) {
                // The engine vanished while this connection was accepted: the connection is never served.
                Some(Ok((stream, _))) if self.vanished.load(Ordering::SeqCst) => {
                    self.backlog_connections.lock().unwrap().push(stream);
                }
                Some(Ok((stream, _))) => {
                    number += 1;
                    let (own, rng) = (self.clone(), ChaCha8Rng::seed_from_u64(number));
                    std::thread::spawn(move || own.serve(stream, rng));
                }
                Some(Err(e)) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// From now on the engine does not respond; connections are opened until its accept backlog is full.
    pub fn vanish(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.vanished.store(true, Ordering::SeqCst);
        let connections = fill_accept_backlog(self.address);
        self.backlog_connections.lock().unwrap().extend(connections);
    }

    pub fn recover(&self) {
        self.backlog_connections.lock().unwrap().clear();
        self.vanished.store(false, Ordering::SeqCst);
    }

    fn has_vanished_since(&self, incarnation: u64) -> bool {
        self.incarnation.load(Ordering::SeqCst) != incarnation
    }

    fn serve(&self, mut stream: TcpStream, mut rng: ChaCha8Rng) {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let (mut reader, mut buffer) = (RequestReader::new(1 << 16, 1 << 20), [0; 4096]);
        loop {
            while let Ok(Some(request)) = reader.next_request() {
                // A request that reaches a vanished engine is lost.
                if self.has_vanished_since(incarnation) {
                    return self.hold_until_closed(&stream);
                }
                if request.method == "DELETE" {
                    let id = request.target.rsplit('/').next().unwrap_or("").to_string();
                    self.tracker.release_received(&id);
                    // Some replies are lost, some are late.
                    match rng.random_range(0..12) {
                        0 => return,
                        1 => std::thread::sleep(Duration::from_millis(150)),
                        _ => {}
                    }
                    let _ = stream.write_all(&response(204, &[], b""));
                    continue;
                }
                let id = request.headers.get("x-txn").unwrap_or("").to_string();
                let stated = request.headers.get("x-remaining-ms").and_then(|ms| ms.trim().parse().ok());
                self.tracker.record_remaining(&id, stated);
                // A request that was cancelled while it waited here is not started.
                if !self.tracker.start_attempt_unless(&id, || is_cancelled(&stream)) {
                    return;
                }
                let keep_open = self.attempt(&mut stream, &id, &mut rng, incarnation);
                self.tracker.attempt_ended(&id);
                if !keep_open {
                    return;
                }
            }
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => reader.push(&buffer[..n]),
                _ => return,
            }
        }
    }

    /// Runs an attempt; returns whether the connection stays open.
    fn attempt(&self, stream: &mut TcpStream, id: &str, rng: &mut ChaCha8Rng, incarnation: u64) -> bool {
        std::thread::sleep(Duration::from_millis(2 + rng.random_range(0..15)));
        if self.has_vanished_since(incarnation) {
            self.hold_until_closed(stream);
            return false;
        }
        let reads = self.name.starts_with('r');
        if reads {
            self.tracker.state_stored(id);
        } else if !self.tracker.has_state(id) {
            return stream.write_all(&response(410, &[("X-Turned-Away", "1")], b"")).is_ok();
        }
        match (rng.random_range(0..30), reads) {
            // The connection breaks when the work is complete.
            (0, _) => false,
            (1, _) => {
                self.hold_until_closed(stream);
                false
            }
            (2, true) => {
                std::thread::sleep(Duration::from_millis(250));
                stream.write_all(&response(202, &[], b"{\"cached_tokens\":16}")).is_ok()
            }
            (_, true) => stream.write_all(&response(202, &[], b"{\"cached_tokens\":16}")).is_ok(),
            (3, false) => stream.write_all(&response(503, &[("X-Turned-Away", "1")], b"")).is_ok(),
            (draw, false) => {
                if draw == 4 {
                    std::thread::sleep(Duration::from_millis(450));
                }
                self.tracker.state_fetched(id);
                stream.write_all(&complete_stream(&[TOKEN, DONE])).is_ok()
            }
        }
    }

    /// Sends nothing until the node closes the connection.
    fn hold_until_closed(&self, stream: &TcpStream) {
        let _ = stream.set_read_timeout(Some(LONG));
        let _ = (&*stream).read(&mut [0; 1]);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Whether the node has cancelled the request that was read from this connection, which it does at any time: it resets
/// the connection, or closes it. What had arrived before a reset can still be read after it.
fn is_cancelled(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0; 1]);
    stream.set_nonblocking(false).unwrap();
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

// ---- runs ----

/// Measures how late the machine wakes threads, so that delays of the test itself are not attributed to nodes.
fn measure_lateness(finished: &Arc<AtomicBool>) -> std::thread::JoinHandle<Duration> {
    let finished = finished.clone();
    std::thread::spawn(move || {
        let mut most = Duration::ZERO;
        while !finished.load(Ordering::SeqCst) {
            let from = Instant::now();
            std::thread::sleep(Duration::from_millis(5));
            most = most.max(from.elapsed().saturating_sub(Duration::from_millis(6)));
        }
        most
    })
}

fn send_requests_until(node: SocketAddr, name: &str, rng: &mut ChaCha8Rng, until: Instant) -> (u64, u64) {
    let (mut sent, mut answered) = (0, 0);
    while Instant::now() < until {
        let id = format!("{name}-{sent}");
        sent += 1;
        let Ok(mut stream) = TcpStream::connect(node) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let class = if rng.random_range(0..4) == 0 { "once" } else { "safe" };
        if stream.write_all(&request_bytes_with_timeout(class, &id, 2_500)).is_err() {
            continue;
        }
        // Some clients disconnect while their request is read or written.
        let patience = if rng.random_range(0..8) == 0 { 5 + rng.random_range(0..300) } else { 9_000 };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(patience)));
        let mut buffer = [0; 16 << 10];
        match stream.read(&mut buffer) {
            Ok(n) if buffer[..n].starts_with(b"HTTP/1.1 200") => answered += 1,
            // A rejected client retries a little later.
            _ => std::thread::sleep(Duration::from_millis(10 + rng.random_range(0..40))),
        }
    }
    (sent, answered)
}

/// Runs five nodes with two engine outages; returns the read states that were released too late.
fn run_engine_outages(seed: u64) -> Vec<String> {
    println!("seed {seed}");
    let tracker = Arc::new(StateTracker::default());
    let names = ["r0", "r1", "r2", "r3", "w0", "w1", "w2", "w3", "w4", "w5"];
    let engines: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(n, name)| UnreliableEngine::start(name, &tracker, seed << 8 | n as u64))
        .collect();
    let addresses: Vec<_> = names.iter().zip(&engines).map(|(n, e)| (*n, e.address)).collect();
    let mut nodes: Vec<Harness> = (0..5).map(|_| Harness::with_engines(&addresses, 256)).collect();
    let finished = Arc::new(AtomicBool::new(false));
    let lateness = measure_lateness(&finished);
    let from = Instant::now();
    let after = |ms: u64| {
        std::thread::sleep((from + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    };
    let until = from + Duration::from_millis(6_500);
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .flat_map(|(n, harness)| (0..6).map(move |c| (n, c, harness.node_address)))
        .map(|(n, c, node)| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | (n as u64) << 8 | c);
            std::thread::spawn(move || {
                send_requests_until(node, &format!("s{seed}-n{n}-c{c}"), &mut rng, until)
            })
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Two outages, each of most writers and one reader; in the second one a reader is removed from the list of
    // three nodes, and the other two nodes get SIGTERM.
    for (at, back) in [(700, 2_400), (3_200, 4_900)] {
        after(at);
        let keep = 4 + rng.random_range(0..6);
        let reader = rng.random_range(0..4);
        let unreachable: Vec<_> =
            (0..names.len()).filter(|n| *n == reader || *n >= 4 && *n != keep).collect();
        std::thread::scope(|all| unreachable.iter().for_each(|n| drop(all.spawn(|| engines[*n].vanish()))));
        if at > 1_000 {
            let removed = (reader + 1) % 4;
            for harness in &nodes[..3] {
                harness.discovery.change(member(names[removed], engines[removed].address, "removed"));
            }
            nodes[3..].iter().for_each(|harness| harness.signal("-TERM"));
        }
        after(back);
        unreachable.iter().for_each(|n| engines[*n].recover());
    }
    let client_totals: Vec<_> =
        clients.into_iter().map(|c| c.join().expect("a client thread ends")).collect();
    let (sent, answered) = client_totals.iter().fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
    // No request is open any more, neither at the nodes that continue nor at those that got SIGTERM.
    nodes[3..].iter_mut().for_each(|harness| assert!(harness.wait_for_exit().success()));
    for harness in &nodes[..3] {
        harness.wait_until_status("nothing is held", |b| b["held"] == 0);
    }
    std::thread::sleep(RELEASE_DEADLINE);
    finished.store(true, Ordering::SeqCst);
    let lateness = lateness.join().expect("the thread ends");
    let counts = [&tracker.reads, &tracker.fetches, &tracker.released].map(|c| c.load(Ordering::Relaxed));
    let overdue = tracker.overdue_states(RELEASE_DEADLINE + lateness * 2);
    println!(
        "sent {sent}, answered {answered}; reads {}, fetches {}, releases {}; late {} ms; overdue {overdue:?}",
        counts[0],
        counts[1],
        counts[2],
        lateness.as_millis()
    );
    assert!(counts.iter().all(|c| *c > 20), "the run has too few events to prove anything");
    overdue
}

/// Guards against read states that stay held when attempts reach no engine, release calls are lost or go to a vanished
/// engine, holders are removed from the list, and nodes get SIGTERM. It fails without the host's own deadline for held
/// states, and if releases for engines that are not listed are dropped.
#[test]
fn states_are_released_while_engines_vanish() {
    for seed in [11, 12] {
        let overdue = run_engine_outages(seed);
        assert!(overdue.is_empty(), "seed {seed}: {overdue:?}");
    }
}

/// Guards against release calls that get no descriptor because successive attempts at vanished engines use all of
/// them.
#[test]
fn releases_work_when_attempts_use_all_descriptors() {
    let tracker = Arc::new(StateTracker::default());
    let names = ["r0", "w0", "w1", "w2", "w3", "w4", "w5"];
    let engines: Vec<_> = names.iter().map(|name| UnreliableEngine::start(name, &tracker, 1 << 20)).collect();
    let addresses: Vec<_> = names.iter().zip(&engines).map(|(n, e)| (*n, e.address)).collect();
    let harness = Harness::with_engines(&addresses, 64);
    std::thread::scope(|all| engines[1..].iter().for_each(|writer| drop(all.spawn(|| writer.vanish()))));
    let finished = Arc::new(AtomicBool::new(false));
    let lateness = measure_lateness(&finished);
    let mut clients: Vec<_> = (0..24).map(|_| Client::new(&harness)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("c{n}"));
    }
    // Wait until all requests are rejected and their read states are released.
    clients.iter_mut().for_each(|client| assert_ne!(client.receive_response().0, 200));
    harness.wait_until_status("nothing is held", |b| b["held"] == 0);
    std::thread::sleep(RELEASE_DEADLINE);
    finished.store(true, Ordering::SeqCst);
    let lateness = lateness.join().expect("the thread ends");
    let read = tracker.reads.load(Ordering::Relaxed);
    let overdue = tracker.overdue_states(RELEASE_DEADLINE + lateness * 2);
    println!("reads {read}, late {} ms; overdue {overdue:?}", lateness.as_millis());
    assert!(read >= 6 && overdue.is_empty(), "reads {read}: {overdue:?}");
}

/// Guards against read states that stay held after an outage of all engines: three nodes reach no engine for longer
/// than release calls are repeated at a fixed interval, and then have to detect without any traffic that the engines
/// are back. All their idle connections are silent by then.
#[test]
fn states_are_released_soon_after_all_engines_return() {
    let tracker = Arc::new(StateTracker::default());
    let names = ["r0", "r1", "w0", "w1", "w2", "w3"];
    let engines: Vec<_> = names.iter().map(|name| UnreliableEngine::start(name, &tracker, 3 << 20)).collect();
    let addresses: Vec<_> = names.iter().zip(&engines).map(|(n, e)| (*n, e.address)).collect();
    let harnesses: Vec<_> = (0..3).map(|_| Harness::with_engines(&addresses, 256)).collect();
    let vanish = |engines: &[Arc<UnreliableEngine>]| {
        std::thread::scope(|all| engines.iter().for_each(|engine| drop(all.spawn(|| engine.vanish()))));
    };
    // Open connections to every engine.
    for (n, harness) in harnesses.iter().enumerate() {
        let mut client = Client::new(harness);
        (0..12).for_each(|i| {
            client.send_request("safe", &format!("before-{n}-{i}"));
            client.receive_response();
        });
    }
    vanish(&engines[2..]);
    let read = tracker.reads.load(Ordering::Relaxed);
    let mut clients: Vec<_> =
        harnesses.iter().flat_map(|harness| (0..8).map(|_| Client::new(harness))).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("safe", &format!("c{n}"));
    }
    let by = Instant::now() + LONG;
    while tracker.reads.load(Ordering::Relaxed) < read + 20 {
        assert!(Instant::now() < by, "too few prompts were read");
        std::thread::sleep(Duration::from_millis(1));
    }
    vanish(&engines[..2]);
    clients.iter_mut().for_each(|client| assert_ne!(client.receive_response().0, 200));
    std::thread::sleep(Duration::from_millis(2_500));
    let finished = Arc::new(AtomicBool::new(false));
    let lateness = measure_lateness(&finished);
    engines.iter().for_each(|engine| engine.recover());
    let waiting = tracker.restart_waits();
    std::thread::sleep(RELEASE_DEADLINE);
    finished.store(true, Ordering::SeqCst);
    let lateness = lateness.join().expect("the thread ends");
    std::thread::sleep(lateness * 2);
    let overdue = tracker.overdue_states(RELEASE_DEADLINE + lateness * 2);
    println!("{waiting} waiting, late {} ms; overdue {overdue:?}", lateness.as_millis());
    assert!(waiting >= 5 && overdue.is_empty(), "{waiting} waiting: {overdue:?}");
}

/// Checks the tracker itself: it finds states that wait too long, but not those with an attempt in flight.
#[test]
fn state_tracker_finds_overdue_states() {
    let (tracker, wait_limit) = (StateTracker::default(), Duration::from_millis(20));
    for id in ["fetched", "called", "waits", "pinned"] {
        assert!(tracker.start_attempt_unless(id, || false));
        tracker.state_stored(id);
        tracker.attempt_ended(id);
    }
    assert!(tracker.start_attempt_unless("waits", || false));
    assert!(tracker.start_attempt_unless("fetched", || false));
    tracker.state_fetched("fetched");
    tracker.attempt_ended("fetched");
    tracker.release_received("called");
    std::thread::sleep(wait_limit * 2);
    let overdue = tracker.overdue_states(wait_limit);
    assert_eq!(overdue.len(), 1, "{overdue:?}");
    assert!(overdue[0].starts_with("pinned: "), "{overdue:?}");
}

/// Guards against a test that blames the node for states of requests which it has cancelled: what arrived before a reset
/// can be read after it, and the mock engine started it.
#[test]
fn mock_engine_starts_no_request_that_was_cancelled() {
    for (resets, closes) in [(false, false), (false, true), (true, true)] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut node = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        node.write_all(b"request").unwrap();
        let (mut engine, _) = listener.accept().unwrap();
        engine.read_exact(&mut [0; 7]).unwrap();
        if resets {
            socket2::SockRef::from(&node).set_linger(Some(Duration::ZERO)).unwrap();
        }
        let open = (!closes).then_some(node);
        let tracker = StateTracker::default();
        let starts = tracker.start_attempt_unless("a", || is_cancelled(&engine));
        assert_eq!(starts, open.is_some(), "reset {resets}");
    }
}

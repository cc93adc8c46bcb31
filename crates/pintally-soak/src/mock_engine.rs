//! A mock engine. It speaks the platform's protocol, listens for each node at a separate address, and records the
//! attempts. It can hang, become unreachable, reset connections and send malformed answers.

use std::cell::Cell;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pintally_http::{chunk, response, response_head, Request, RequestReader, LAST_CHUNK};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::record::{At, AttemptRecord, SharedRecord};
use crate::run::spawn;

/// The listen backlog. It is small, so that a vanished engine's backlog fills quickly and new connections time out.
const LISTEN_BACKLOG: i32 = 8;
/// How often a waiting thread checks whether it can continue.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long one poll for new connections lasts.
const ACCEPT_TIMEOUT: Timespec = Timespec { tv_sec: 0, tv_nsec: 20_000_000 };
/// The connect timeout of the connections that fill a vanished engine's backlog.
const BACKLOG_FILL_TIMEOUT: Duration = Duration::from_millis(25);
/// The backlog counts as full after this many failed connections.
const BACKLOG_FILL_FAILURES: u32 = 2;
/// The read timeout of a silent connection.
const SILENT_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// How an engine handles a request, drawn for each request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EngineBehavior {
    Healthy,
    Slow,
    DropsConnection,
    Silent,
    Rejects,
    Error,
    SecondAnswer,
    MalformedAnswer,
    Trickles,
    BreaksStream,
}

impl EngineBehavior {
    fn draw(rng: &mut ChaCha8Rng) -> EngineBehavior {
        match rng.random_range(0..120) {
            0 => EngineBehavior::DropsConnection,
            1 => EngineBehavior::Silent,
            2..4 => EngineBehavior::Rejects,
            4 => EngineBehavior::Error,
            5..7 => EngineBehavior::SecondAnswer,
            7 => EngineBehavior::MalformedAnswer,
            8 => EngineBehavior::Trickles,
            9 => EngineBehavior::BreaksStream,
            10..14 => EngineBehavior::Slow,
            _ => EngineBehavior::Healthy,
        }
    }
}

/// The attempts in progress by request, each with a handle of its connection.
#[derive(Default)]
pub(crate) struct OpenAttempts(Mutex<HashMap<String, Vec<(u64, TcpStream)>>>);

impl OpenAttempts {
    /// Adds an attempt. Returns whether another attempt of the request still has an open connection.
    fn register(&self, id: &str, key: u64, stream: &TcpStream) -> bool {
        let mut open_attempts = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let attempts = open_attempts.entry(id.into()).or_default();
        let others = attempts.iter().any(|(_, other)| !has_ended(other));
        if let Ok(own) = stream.try_clone() {
            attempts.push((key, own));
        }
        others
    }

    fn unregister(&self, id: &str, key: u64) {
        let mut open_attempts = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(attempts) = open_attempts.get_mut(id) {
            attempts.retain(|(own, _)| *own != key);
            if attempts.is_empty() {
                open_attempts.remove(id);
            }
        }
    }
}

/// Whether the peer has closed a connection. Does not block.
fn has_ended(stream: &TcpStream) -> bool {
    // The non-blocking flag is shared by all handles of a socket, so it is given with this call only.
    let mut buffer = [std::mem::MaybeUninit::uninit(); 1];
    let flags = MSG_PEEK | MSG_DONTWAIT;
    match SockRef::from(stream).recv_with_flags(&mut buffer, flags) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

/// A mock engine.
pub(crate) struct Engine {
    pub(crate) name: String,
    /// The listen address for each node.
    pub(crate) addresses: Vec<SocketAddr>,
    /// The start time in Unix milliseconds; 0 for an engine that has been running since before the run.
    pub(crate) up_since_ms: u64,
    record: Arc<SharedRecord>,
    open_attempts: Arc<OpenAttempts>,
    hangs: AtomicBool,
    vanished: AtomicBool,
    stopped: AtomicBool,
    /// Incremented when the engine vanishes or stops. Connections of an earlier incarnation are dead.
    incarnation: AtomicU64,
    /// How often all connections were reset.
    resets: AtomicU64,
    /// The number of connections served so far.
    connections: AtomicU64,
    /// Connections that fill the backlog while the engine is vanished.
    backlog_fillers: Mutex<Vec<TcpStream>>,
    open_connections: Mutex<Vec<TcpStream>>,
    seed: u64,
}

impl Engine {
    /// Starts an engine that serves this many nodes.
    pub(crate) fn start(
        name: &str,
        nodes: usize,
        record: &Arc<SharedRecord>,
        open_attempts: &Arc<OpenAttempts>,
        up_since_ms: u64,
        seed: u64,
    ) -> std::io::Result<Arc<Engine>> {
        let listeners = (0..nodes).map(|_| listen()).collect::<std::io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<Vec<_>>>()?;
        let engine = Arc::new(Engine {
            name: name.into(),
            addresses,
            up_since_ms,
            record: record.clone(),
            open_attempts: open_attempts.clone(),
            hangs: AtomicBool::new(false),
            vanished: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            incarnation: AtomicU64::new(0),
            resets: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            backlog_fillers: Mutex::default(),
            open_connections: Mutex::default(),
            seed,
        });
        let own = engine.clone();
        spawn(move || own.accept(listeners));
        Ok(engine)
    }

    fn accept(self: Arc<Engine>, listeners: Vec<TcpListener>) {
        let mut was_vanished = false;
        while !self.stopped.load(Ordering::SeqCst) {
            if self.vanished.load(Ordering::SeqCst) {
                was_vanished = true;
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            // An unreachable machine accepts no connections, so those in the backlog are reset.
            if std::mem::take(&mut was_vanished) {
                while listeners.iter().any(|listener| listener.accept().is_ok_and(|new| reset(&new.0))) {}
            }
            let mut polled: Vec<PollFd<'_>> =
                listeners.iter().map(|listener| PollFd::new(listener, PollFlags::IN)).collect();
            let _ = poll(&mut polled, Some(&ACCEPT_TIMEOUT));
            let ready: Vec<usize> = (0..polled.len()).filter(|n| !polled[*n].revents().is_empty()).collect();
            for node in ready {
                while !self.vanished.load(Ordering::SeqCst) {
                    let Ok((stream, _)) = listeners[node].accept() else { break };
                    let own = self.clone();
                    spawn(move || {
                        own.serve(&stream, node);
                        // Other handles keep the socket open, so it is shut down explicitly.
                        let _ = stream.shutdown(Shutdown::Both);
                    });
                }
            }
        }
    }

    fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
        mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Makes the engine unreachable: open connections stay open without data, and new ones cannot be established, as
    /// the backlog is filled.
    pub(crate) fn vanish(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.vanished.store(true, Ordering::SeqCst);
        std::thread::scope(|all| {
            for address in &self.addresses {
                all.spawn(move || {
                    let mut failures = 0;
                    while failures < BACKLOG_FILL_FAILURES {
                        match TcpStream::connect_timeout(address, BACKLOG_FILL_TIMEOUT) {
                            Ok(stream) => Self::lock(&self.backlog_fillers).push(stream),
                            Err(_) => failures += 1,
                        }
                    }
                });
            }
        });
    }

    /// Makes a vanished engine reachable again, and resets all earlier connections.
    pub(crate) fn reappear(&self) {
        Self::lock(&self.backlog_fillers).clear();
        self.reset_connections();
        self.vanished.store(false, Ordering::SeqCst);
    }

    /// Resets all open connections.
    pub(crate) fn reset_connections(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        for stream in Self::lock(&self.open_connections).drain(..) {
            reset(&stream);
        }
    }

    /// Ends the engine: connections break and new ones are refused.
    pub(crate) fn stop(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.stopped.store(true, Ordering::SeqCst);
        self.reset_connections();
    }

    /// Pauses or resumes the processing of requests.
    pub(crate) fn set_hanging(&self, hangs: bool) {
        self.hangs.store(hangs, Ordering::SeqCst);
    }

    fn has_vanished_since(&self, incarnation: u64) -> bool {
        self.incarnation.load(Ordering::SeqCst) != incarnation
    }

    /// Waits while the engine hangs. Returns whether the connection is still usable.
    fn wait_while_hanging(&self, stream: &TcpStream, incarnation: u64) -> bool {
        while self.hangs.load(Ordering::SeqCst) {
            if self.has_vanished_since(incarnation) || has_ended(stream) {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        !self.has_vanished_since(incarnation)
    }

    fn serve(&self, mut stream: &TcpStream, node: usize) {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let (mut reader, mut buffer) = (RequestReader::new(1 << 16, 1 << 20), [0; 16 << 10]);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(own) = stream.try_clone() {
            let mut open = Self::lock(&self.open_connections);
            open.retain(|other| !has_ended(other));
            open.push(own);
        }
        let key = self.connections.fetch_add(1, Ordering::SeqCst) << 16 | self.seed & 0xffff;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ key);
        let mut head = self.record.now();
        loop {
            while let Ok(Some(request)) = reader.next_request() {
                if self.has_vanished_since(incarnation) {
                    return stay_silent(stream);
                }
                if request.method == "DELETE" {
                    if !self.handle_release(stream, &request, &mut rng) {
                        return;
                    }
                    continue;
                }
                // A node cancels a request by closing its connection, even before the engine has started it.
                if has_ended(stream)
                    || !self.handle_attempt(stream, &request, node, head, incarnation, &mut rng)
                {
                    return;
                }
            }
            let idle = !reader.is_partial();
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => {
                    if idle {
                        head = self.record.now();
                    }
                    reader.push(&buffer[..count]);
                }
                _ => return,
            }
        }
    }

    /// Handles a release. Returns whether the connection stays open.
    fn handle_release(&self, mut stream: &TcpStream, request: &Request, rng: &mut ChaCha8Rng) -> bool {
        if self.hangs.load(Ordering::SeqCst) {
            stay_silent(stream);
            return false;
        }
        let id = request.target.rsplit('/').next().unwrap_or("");
        self.record.release_states(id);
        // One answer in 20 is lost, and one in 20 comes 120 ms late.
        match rng.random_range(0..20) {
            0 => return false,
            1 => std::thread::sleep(Duration::from_millis(120)),
            _ => {}
        }
        stream.write_all(&response(204, &[], b"")).is_ok()
    }

    /// Handles an attempt. Returns whether the connection stays open.
    fn handle_attempt(
        &self,
        stream: &TcpStream,
        request: &Request,
        node: usize,
        head: At,
        incarnation: u64,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let id = request.headers.get("x-txn").unwrap_or("").to_string();
        let key = rng.random_range(0..u64::MAX);
        let resets = self.resets.load(Ordering::SeqCst);
        let second_copy = self.open_attempts.register(&id, key, stream);
        let remaining_ms = request.headers.get("x-remaining-ms").and_then(|ms| ms.trim().parse().ok());
        let is_writer = self.name.starts_with('w');
        let index = self.record.begin_attempt(
            &id,
            AttemptRecord {
                engine: self.name.clone(),
                node,
                head,
                attempt_started: self.record.now(),
                remaining_stated: remaining_ms.map(Duration::from_millis),
                second_copy,
                effect: None,
                finished: None,
                cut_by_node: None,
            },
        );
        let work = Work { id: &id, index, incarnation, resets, key, finished: Cell::new(false) };
        let stays_open = if is_writer {
            self.serve_write(stream, &work, rng)
        } else {
            self.serve_read(stream, &work, rng)
        };
        self.finish_attempt(&work);
        stays_open
    }

    /// Marks an attempt as ended, once.
    fn finish_attempt(&self, work: &Work<'_>) {
        if !work.finished.replace(true) {
            self.open_attempts.unregister(work.id, work.key);
            self.record.end_attempt(work.id);
        }
    }

    /// Sends the complete answer of an attempt. The attempt is marked as ended first, as the node may start the next one
    /// as soon as it has the answer. Returns whether the connection stays open.
    fn send_answer(&self, mut stream: &TcpStream, work: &Work<'_>, bytes: &[u8]) -> bool {
        self.finish_attempt(work);
        stream.write_all(bytes).is_ok()
    }

    /// Starts an attempt after a random delay below `within_ms`. Returns the behaviour drawn for it or, if the attempt is
    /// over already, whether the connection stays open.
    fn start_work(
        &self,
        stream: &TcpStream,
        work: &Work<'_>,
        within_ms: u64,
        rng: &mut ChaCha8Rng,
    ) -> Result<EngineBehavior, bool> {
        std::thread::sleep(Duration::from_millis(rng.random_range(1..within_ms)));
        if !self.wait_while_hanging(stream, work.incarnation) {
            stay_silent(stream);
            return Err(false);
        }
        match EngineBehavior::draw(rng) {
            EngineBehavior::Rejects => {
                Err(self.send_answer(stream, work, &response(503, &[("X-Turned-Away", "1")], b"")))
            }
            behavior => Ok(behavior),
        }
    }

    fn serve_read(&self, mut stream: &TcpStream, work: &Work<'_>, rng: &mut ChaCha8Rng) -> bool {
        let behavior = match self.start_work(stream, work, 15, rng) {
            Ok(behavior) => behavior,
            Err(stays_open) => return stays_open,
        };
        // A read that was cancelled in the meantime leaves no state.
        if has_ended(stream) {
            return false;
        }
        self.record.hold_state(work.id);
        let answer = response(202, &[], b"{\"cached_tokens\":16}");
        match behavior {
            EngineBehavior::DropsConnection | EngineBehavior::BreaksStream => false,
            EngineBehavior::Silent => {
                stay_silent(stream);
                false
            }
            EngineBehavior::Error => self.send_answer(stream, work, &response(500, &[], b"")),
            EngineBehavior::SecondAnswer => {
                self.send_answer(stream, work, &answer);
                std::thread::sleep(Duration::from_millis(5));
                stream.write_all(&answer).is_ok()
            }
            EngineBehavior::MalformedAnswer => self.send_answer(stream, work, b"\x00\x01 noise\r\n\r\n"),
            EngineBehavior::Slow => {
                std::thread::sleep(Duration::from_millis(250));
                self.send_answer(stream, work, &answer)
            }
            EngineBehavior::Trickles => {
                let (last, before) = answer.split_last().unwrap_or((&0, &[]));
                before.iter().all(|byte| {
                    std::thread::sleep(Duration::from_millis(1));
                    stream.write_all(&[*byte]).is_ok()
                }) && self.send_answer(stream, work, &[*last])
            }
            EngineBehavior::Healthy | EngineBehavior::Rejects => self.send_answer(stream, work, &answer),
        }
    }

    fn serve_write(&self, stream: &TcpStream, work: &Work<'_>, rng: &mut ChaCha8Rng) -> bool {
        let behavior = match self.start_work(stream, work, 10, rng) {
            Ok(behavior) => behavior,
            Err(stays_open) => return stays_open,
        };
        if !self.record.has_state(work.id) {
            return self.send_answer(stream, work, &response(410, &[("X-Turned-Away", "1")], b""));
        }
        if has_ended(stream) {
            return false;
        }
        self.record.fetch_states(work.id);
        let now = self.record.now();
        self.record.update_attempt(work.id, work.index, |attempt| attempt.effect = Some(now));
        match behavior {
            EngineBehavior::DropsConnection => return false,
            EngineBehavior::Silent => {
                stay_silent(stream);
                return false;
            }
            EngineBehavior::Error => return self.send_answer(stream, work, &response(500, &[], b"")),
            EngineBehavior::MalformedAnswer => {
                return self.send_answer(stream, work, b"HTTP/1.1 2\x00 noise\r\n\r\n")
            }
            EngineBehavior::Slow => std::thread::sleep(Duration::from_millis(350)),
            _ => {}
        }
        self.stream_answer(stream, work, behavior, rng)
    }

    /// Streams an answer. Each event carries the time at which it was written.
    fn stream_answer(
        &self,
        mut stream: &TcpStream,
        work: &Work<'_>,
        behavior: EngineBehavior,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
        let events = rng.random_range(2..30);
        let pad = "x".repeat(if rng.random_range(0..8) == 0 { 4 << 10 } else { 40 });
        for event in 0..events {
            if !self.wait_while_hanging(stream, work.incarnation) {
                stay_silent(stream);
                return false;
            }
            if event > 0 && has_ended(stream) {
                return self.record_cut(work);
            }
            let text = format!("data: {{\"at\":{},\"pad\":\"{pad}\"}}\n\n", self.record.now().as_micros());
            bytes.extend(chunk(text.as_bytes()));
            if stream.write_all(&bytes).is_err() {
                return self.record_cut(work);
            }
            bytes.clear();
            match behavior {
                EngineBehavior::BreaksStream if event == events / 2 => return false,
                EngineBehavior::Trickles if event == 1 => return trickle(stream),
                _ => std::thread::sleep(Duration::from_millis(rng.random_range(2..60))),
            }
        }
        bytes.extend(chunk(b"data: [DONE]\n\n"));
        bytes.extend_from_slice(LAST_CHUNK);
        if !self.send_answer(stream, work, &bytes) {
            return self.record_cut(work);
        }
        let now = self.record.now();
        self.record.update_attempt(work.id, work.index, |attempt| attempt.finished = Some(now));
        if behavior == EngineBehavior::SecondAnswer {
            std::thread::sleep(Duration::from_millis(8));
            return stream.write_all(&response(202, &[], b"{\"cached_tokens\":16}")).is_ok();
        }
        true
    }

    /// Records that the node cut a stream, unless the engine itself vanished or was reset.
    fn record_cut(&self, work: &Work<'_>) -> bool {
        let by_engine =
            self.has_vanished_since(work.incarnation) || self.resets.load(Ordering::SeqCst) != work.resets;
        if !by_engine {
            let now = self.record.now();
            self.record.update_attempt(work.id, work.index, |attempt| attempt.cut_by_node = Some(now));
        }
        false
    }
}

/// An attempt that the engine is working on.
struct Work<'a> {
    /// The request id.
    id: &'a str,
    /// The index among the request's attempts.
    index: usize,
    incarnation: u64,
    resets: u64,
    /// The key in `OpenAttempts`.
    key: u64,
    /// The attempt has ended.
    finished: Cell<bool>,
}

fn listen() -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Closes a connection with a reset. Always returns `true`, for use in conditions.
fn reset(stream: &TcpStream) -> bool {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
    true
}

/// Sends an event that never ends, byte by byte, until the node closes the connection.
fn trickle(mut stream: &TcpStream) -> bool {
    let _ = stream.write_all(b"ffff\r\ndata: {\"pad\":\"");
    while stream.write_all(b"x").is_ok() {
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Sends nothing until the node closes the connection.
fn stay_silent(stream: &TcpStream) {
    let _ = stream.set_read_timeout(Some(SILENT_READ_TIMEOUT));
    let mut buffer = [0; 1024];
    while matches!((&*stream).read(&mut buffer), Ok(count) if count > 0) {}
    let _ = stream.shutdown(Shutdown::Both);
}

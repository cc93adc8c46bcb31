//! An engine of a run: speaks the platform's protocol to each node at an address of its own, records what comes,
//! and can drain, hang, vanish, reset and spoil its answers.

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

use crate::record::{At, AttemptRecord, Record};
use crate::run::spawn;

/// Connections that may wait to be accepted: few, so that a machine that vanishes takes no more soon.
const BACKLOG: i32 = 8;
/// How often a thread that waits looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long a look for new connections lasts.
const ACCEPT_TIMEOUT: Timespec = Timespec { tv_sec: 0, tv_nsec: 20_000_000 };
/// A connection that fills the backlog of a vanished machine has failed by then.
const FILL_TIMEOUT: Duration = Duration::from_millis(25);
/// In a row so many failures tell that the backlog is full.
const FILL_FAILURES: u32 = 2;
/// Nothing is waited for longer than this.
const LONG: Duration = Duration::from_secs(30);

/// What an engine does with a request, drawn anew for each.
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
    fn draw(dice: &mut ChaCha8Rng) -> EngineBehavior {
        match dice.random_range(0..120) {
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

/// The attempts that are out, by request, with a handle of each one's connection.
#[derive(Default)]
pub(crate) struct Outstanding(Mutex<HashMap<String, Vec<(u64, TcpStream)>>>);

impl Outstanding {
    /// Takes in an attempt; whether another one's connection is still open.
    fn register(&self, id: &str, key: u64, stream: &TcpStream) -> bool {
        let mut all = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let out = all.entry(id.into()).or_default();
        let others = out.iter().any(|(_, other)| !has_ended(other));
        if let Ok(own) = stream.try_clone() {
            out.push((key, own));
        }
        others
    }

    fn unregister(&self, id: &str, key: u64) {
        let mut all = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(out) = all.get_mut(id) {
            out.retain(|(own, _)| *own != key);
            if out.is_empty() {
                all.remove(id);
            }
        }
    }
}

/// Whether the peer has ended a connection, without waiting.
fn has_ended(stream: &TcpStream) -> bool {
    // Sockets' flags are shared by all handles of a connection, so the call itself must not block.
    let mut some = [std::mem::MaybeUninit::uninit(); 1];
    let flags = MSG_PEEK | MSG_DONTWAIT;
    match SockRef::from(stream).recv_with_flags(&mut some, flags) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

const MSG_PEEK: i32 = 0x02;
const MSG_DONTWAIT: i32 = 0x40;

/// An engine.
pub(crate) struct Engine {
    pub(crate) name: String,
    /// Where it listens for each node.
    pub(crate) addresses: Vec<SocketAddr>,
    /// When it started, in Unix milliseconds; 0 if long ago.
    pub(crate) up_since_ms: u64,
    record: Arc<Record>,
    outstanding: Arc<Outstanding>,
    hangs: AtomicBool,
    vanished: AtomicBool,
    dead: AtomicBool,
    /// Counts its disappearances: connections of an earlier one are over.
    incarnation: AtomicU64,
    /// Counts how often its connections were reset.
    resets: AtomicU64,
    keys: AtomicU64,
    fillers: Mutex<Vec<TcpStream>>,
    open: Mutex<Vec<TcpStream>>,
    seed: u64,
}

impl Engine {
    /// Begins to serve so many nodes.
    pub(crate) fn start(
        name: &str,
        nodes: usize,
        record: &Arc<Record>,
        outstanding: &Arc<Outstanding>,
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
            outstanding: outstanding.clone(),
            hangs: AtomicBool::new(false),
            vanished: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            incarnation: AtomicU64::new(0),
            resets: AtomicU64::new(0),
            keys: AtomicU64::new(0),
            fillers: Mutex::default(),
            open: Mutex::default(),
            seed,
        });
        let own = engine.clone();
        spawn(move || own.accept(listeners));
        Ok(engine)
    }

    fn accept(self: Arc<Engine>, listeners: Vec<TcpListener>) {
        let mut was_gone = false;
        while !self.dead.load(Ordering::SeqCst) {
            if self.vanished.load(Ordering::SeqCst) {
                was_gone = true;
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            // What came up at a machine that was not there never came up.
            if std::mem::take(&mut was_gone) {
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
                        // Other handles of the connection are kept elsewhere: it ends here.
                        let _ = stream.shutdown(Shutdown::Both);
                    });
                }
            }
        }
    }

    fn lock<T>(all: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
        all.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// From now on nothing comes of it: connections stay open and say nothing, new ones never come up.
    pub(crate) fn vanish(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.vanished.store(true, Ordering::SeqCst);
        std::thread::scope(|all| {
            for address in &self.addresses {
                all.spawn(move || {
                    let mut failures = 0;
                    while failures < FILL_FAILURES {
                        match TcpStream::connect_timeout(address, FILL_TIMEOUT) {
                            Ok(stream) => Self::lock(&self.fillers).push(stream),
                            Err(_) => failures += 1,
                        }
                    }
                });
            }
        });
    }

    /// It is back; what was open before is reset.
    pub(crate) fn restart(&self) {
        Self::lock(&self.fillers).clear();
        self.reset_connections();
        self.vanished.store(false, Ordering::SeqCst);
    }

    /// Resets all connections that are open.
    pub(crate) fn reset_connections(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        for stream in Self::lock(&self.open).drain(..) {
            reset(&stream);
        }
    }

    /// Its process ends: connections break and new ones are refused.
    pub(crate) fn die(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.dead.store(true, Ordering::SeqCst);
        self.reset_connections();
    }

    /// Its requests stand still, or go on.
    pub(crate) fn hang(&self, hangs: bool) {
        self.hangs.store(hangs, Ordering::SeqCst);
    }

    fn is_over(&self, incarnation: u64) -> bool {
        self.incarnation.load(Ordering::SeqCst) != incarnation
    }

    /// Waits while it hangs; whether the connection is still of use.
    fn keeps_running(&self, stream: &TcpStream, incarnation: u64) -> bool {
        while self.hangs.load(Ordering::SeqCst) {
            if self.is_over(incarnation) || has_ended(stream) {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        !self.is_over(incarnation)
    }

    fn serve(&self, mut stream: &TcpStream, node: usize) {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let (mut reader, mut some) = (RequestReader::new(1 << 16, 1 << 20), [0; 16 << 10]);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(own) = stream.try_clone() {
            let mut open = Self::lock(&self.open);
            open.retain(|other| !has_ended(other));
            open.push(own);
        }
        let key = self.keys.fetch_add(1, Ordering::SeqCst) << 16 | self.seed & 0xffff;
        let mut dice = ChaCha8Rng::seed_from_u64(self.seed ^ key);
        let mut head = self.record.now();
        loop {
            while let Ok(Some(request)) = reader.next_request() {
                if self.is_over(incarnation) {
                    return silent(stream);
                }
                if request.method == "DELETE" {
                    if !self.release(stream, &request, &mut dice) {
                        return;
                    }
                    continue;
                }
                // A request is given up by closing its connection, whether it has been looked at or not.
                if has_ended(stream) || !self.attempt(stream, &request, node, head, incarnation, &mut dice) {
                    return;
                }
            }
            let resting = !reader.is_partial();
            match stream.read(&mut some) {
                Ok(count) if count > 0 => {
                    if resting {
                        head = self.record.now();
                    }
                    reader.push(&some[..count]);
                }
                _ => return,
            }
        }
    }

    /// A call that releases; whether the connection stays.
    fn release(&self, mut stream: &TcpStream, request: &Request, dice: &mut ChaCha8Rng) -> bool {
        if self.hangs.load(Ordering::SeqCst) {
            silent(stream);
            return false;
        }
        let id = request.target.rsplit('/').next().unwrap_or("");
        self.record.released(id);
        // Some answers get lost, some come late.
        match dice.random_range(0..20) {
            0 => return false,
            1 => std::thread::sleep(Duration::from_millis(120)),
            _ => {}
        }
        stream.write_all(&response(204, &[], b"")).is_ok()
    }

    /// An attempt; whether the connection stays.
    fn attempt(
        &self,
        stream: &TcpStream,
        request: &Request,
        node: usize,
        head: At,
        incarnation: u64,
        dice: &mut ChaCha8Rng,
    ) -> bool {
        let id = request.headers.get("x-txn").unwrap_or("").to_string();
        let key = dice.random_range(0..u64::MAX);
        let resets = self.resets.load(Ordering::SeqCst);
        let second_copy = self.outstanding.register(&id, key, stream);
        let notified = request.headers.get("x-remaining-ms").and_then(|ms| ms.trim().parse().ok());
        let serve_write = self.name.starts_with('w');
        let number = self.record.begins(
            &id,
            AttemptRecord {
                engine: self.name.clone(),
                node,
                head,
                attempt_started: self.record.now(),
                remaining_stated: notified.map(Duration::from_millis),
                second_copy,
                effect: None,
                finished: None,
                cut_by_node: None,
            },
        );
        let work = Work { id: &id, number, incarnation, resets, key, over: Cell::new(false) };
        let stays = if serve_write {
            self.serve_write(stream, &work, dice)
        } else {
            self.serve_read(stream, &work, dice)
        };
        self.finish(&work);
        stays
    }

    /// An attempt is over: from here on it is out nowhere.
    fn finish(&self, work: &Work<'_>) {
        if !work.over.replace(true) {
            self.outstanding.unregister(work.id, work.key);
            self.record.finish(work.id);
        }
    }

    /// The whole answer of an attempt; it ends before its node can know that. Whether the connection stays.
    fn send_answer(&self, mut stream: &TcpStream, work: &Work<'_>, bytes: &[u8]) -> bool {
        self.finish(work);
        stream.write_all(bytes).is_ok()
    }

    /// Takes up an attempt after less than so many milliseconds: its manner, or, if nothing comes of it, whether the
    /// connection stays.
    fn start_work(
        &self,
        stream: &TcpStream,
        work: &Work<'_>,
        within_ms: u64,
        dice: &mut ChaCha8Rng,
    ) -> Result<EngineBehavior, bool> {
        std::thread::sleep(Duration::from_millis(dice.random_range(1..within_ms)));
        if !self.keeps_running(stream, work.incarnation) {
            silent(stream);
            return Err(false);
        }
        match EngineBehavior::draw(dice) {
            EngineBehavior::Rejects => {
                Err(self.send_answer(stream, work, &response(503, &[("X-Turned-Away", "1")], b"")))
            }
            manner => Ok(manner),
        }
    }

    fn serve_read(&self, mut stream: &TcpStream, work: &Work<'_>, dice: &mut ChaCha8Rng) -> bool {
        let manner = match self.start_work(stream, work, 15, dice) {
            Ok(manner) => manner,
            Err(stays) => return stays,
        };
        // A read that was given up while it went on is dropped with its state.
        if has_ended(stream) {
            return false;
        }
        self.record.holds(work.id);
        let whole = response(202, &[], b"{\"cached_tokens\":16}");
        match manner {
            EngineBehavior::DropsConnection | EngineBehavior::BreaksStream => false,
            EngineBehavior::Silent => {
                silent(stream);
                false
            }
            EngineBehavior::Error => self.send_answer(stream, work, &response(500, &[], b"")),
            EngineBehavior::SecondAnswer => {
                self.send_answer(stream, work, &whole);
                std::thread::sleep(Duration::from_millis(5));
                stream.write_all(&whole).is_ok()
            }
            EngineBehavior::MalformedAnswer => self.send_answer(stream, work, b"\x00\x01 noise\r\n\r\n"),
            EngineBehavior::Slow => {
                std::thread::sleep(Duration::from_millis(250));
                self.send_answer(stream, work, &whole)
            }
            EngineBehavior::Trickles => {
                let (last, before) = whole.split_last().unwrap_or((&0, &[]));
                before.iter().all(|byte| {
                    std::thread::sleep(Duration::from_millis(1));
                    stream.write_all(&[*byte]).is_ok()
                }) && self.send_answer(stream, work, &[*last])
            }
            EngineBehavior::Healthy | EngineBehavior::Rejects => self.send_answer(stream, work, &whole),
        }
    }

    fn serve_write(&self, stream: &TcpStream, work: &Work<'_>, dice: &mut ChaCha8Rng) -> bool {
        let manner = match self.start_work(stream, work, 10, dice) {
            Ok(manner) => manner,
            Err(stays) => return stays,
        };
        if !self.record.has_state(work.id) {
            return self.send_answer(stream, work, &response(410, &[("X-Turned-Away", "1")], b""));
        }
        if has_ended(stream) {
            return false;
        }
        self.record.fetched(work.id);
        let now = self.record.now();
        self.record.note(work.id, work.number, |attempt_started| attempt_started.effect = Some(now));
        match manner {
            EngineBehavior::DropsConnection => return false,
            EngineBehavior::Silent => {
                silent(stream);
                return false;
            }
            EngineBehavior::Error => return self.send_answer(stream, work, &response(500, &[], b"")),
            EngineBehavior::MalformedAnswer => {
                return self.send_answer(stream, work, b"HTTP/1.1 2\x00 noise\r\n\r\n")
            }
            EngineBehavior::Slow => std::thread::sleep(Duration::from_millis(350)),
            _ => {}
        }
        self.stream_answer(stream, work, manner, dice)
    }

    /// Events, each with the time at which it was written, to the last chunk.
    fn stream_answer(
        &self,
        mut stream: &TcpStream,
        work: &Work<'_>,
        manner: EngineBehavior,
        dice: &mut ChaCha8Rng,
    ) -> bool {
        let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
        let events = dice.random_range(2..30);
        let pad = "x".repeat(if dice.random_range(0..8) == 0 { 4 << 10 } else { 40 });
        for event in 0..events {
            if !self.keeps_running(stream, work.incarnation) {
                silent(stream);
                return false;
            }
            if event > 0 && has_ended(stream) {
                return self.was_cut(work);
            }
            let text = format!("data: {{\"at\":{},\"pad\":\"{pad}\"}}\n\n", self.record.now().as_micros());
            bytes.extend(chunk(text.as_bytes()));
            if stream.write_all(&bytes).is_err() {
                return self.was_cut(work);
            }
            bytes.clear();
            match manner {
                EngineBehavior::BreaksStream if event == events / 2 => return false,
                EngineBehavior::Trickles if event == 1 => return trickle(stream),
                _ => std::thread::sleep(Duration::from_millis(dice.random_range(2..60))),
            }
        }
        bytes.extend(chunk(b"data: [DONE]\n\n"));
        bytes.extend_from_slice(LAST_CHUNK);
        if !self.send_answer(stream, work, &bytes) {
            return self.was_cut(work);
        }
        let now = self.record.now();
        self.record.note(work.id, work.number, |attempt_started| attempt_started.finished = Some(now));
        if manner == EngineBehavior::SecondAnswer {
            std::thread::sleep(Duration::from_millis(8));
            return stream.write_all(&response(202, &[], b"{\"cached_tokens\":16}")).is_ok();
        }
        true
    }

    fn was_cut(&self, work: &Work<'_>) -> bool {
        let by_engine = self.is_over(work.incarnation) || self.resets.load(Ordering::SeqCst) != work.resets;
        if !by_engine {
            let now = self.record.now();
            self.record.note(work.id, work.number, |attempt_started| attempt_started.cut_by_node = Some(now));
        }
        false
    }
}

/// An attempt's request, its number among those of the request, and the engine's incarnation.
struct Work<'a> {
    id: &'a str,
    number: usize,
    incarnation: u64,
    resets: u64,
    /// Its number among those that are out.
    key: u64,
    /// It is out nowhere any more.
    over: Cell<bool>,
}

fn listen() -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Ends a connection with a reset; that it did.
fn reset(stream: &TcpStream) -> bool {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
    true
}

/// Byte after byte of an event that never ends.
fn trickle(mut stream: &TcpStream) -> bool {
    let _ = stream.write_all(b"ffff\r\ndata: {\"pad\":\"");
    while stream.write_all(b"x").is_ok() {
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Says nothing until the node gives up.
fn silent(stream: &TcpStream) {
    let _ = stream.set_read_timeout(Some(LONG));
    let mut some = [0; 1024];
    while matches!((&*stream).read(&mut some), Ok(count) if count > 0) {}
    let _ = stream.shutdown(Shutdown::Both);
}

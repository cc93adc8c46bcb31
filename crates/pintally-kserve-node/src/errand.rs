//! Probes, releases and connection probes: short exchanges with engines that no client waits for, in one thread
//! that waits for none of them.
//!
//! Guards against states that stay held because what lets go of them waits behind errands to engines
//! that say nothing: each errand has its own time, engines take turns, and one engine has a quarter of
//! all places at the most. Places for attempts are not asked for, as a full engine has states to let go
//! of like any other.

use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender, TryRecvError};
use pintally::interface::{Attempt, EngineId, RequestId};
use pintally_engine::{load_from_metrics, probe, release};
use pintally_host::{Input, RequestNumber};
use pintally_http::{Part, ResponseReader};

use crate::shared::Shared;
use crate::wait::{wait_for_many, Waker};

/// The longest answer to an errand.
const MAX_ANSWER: usize = 1 << 20;
/// Errands that may wait to be taken in, and again that many for their engine's turn.
const MAX_WAITING: usize = 1 << 14;
/// One engine has at most this part of the places.
const PART: usize = 4;

/// Something to be done at an engine.
pub(crate) enum Errand {
    Probe(EngineId, SocketAddr, u64),
    /// On a connection opened for it, if that is asked for.
    Release(RequestId, EngineId, SocketAddr, bool),
    /// Whether the engine's machine is there, for an attempt that is out.
    ConnectionProbe(RequestNumber, Attempt, SocketAddr),
}

impl Errand {
    fn address(&self) -> SocketAddr {
        match self {
            Errand::Probe(_, at, _) | Errand::Release(_, _, at, _) | Errand::ConnectionProbe(_, _, at) => *at,
        }
    }

    /// Whether only a connection opened for it will do.
    fn anew(&self) -> bool {
        matches!(self, Errand::ConnectionProbe(..) | Errand::Release(_, _, _, true))
    }

    fn bytes(&self) -> Vec<u8> {
        match self {
            Errand::Probe(..) => probe(),
            Errand::Release(name, ..) => release(&name.0),
            Errand::ConnectionProbe(..) => Vec::new(),
        }
    }
}

/// Where errands are handed in.
pub(crate) struct Errands {
    sender: Option<Sender<Errand>>,
    waker: Arc<Waker>,
}

/// And where they come out.
pub(crate) struct Queue {
    receiver: Receiver<Errand>,
    waker: Arc<Waker>,
}

/// A way for errands from the deciding thread to the one that runs them.
pub(crate) fn way() -> std::io::Result<(Errands, Queue)> {
    let (sender, receiver) = bounded(MAX_WAITING);
    let waker = Arc::new(Waker::new()?);
    Ok((Errands { sender: Some(sender), waker: waker.clone() }, Queue { receiver, waker }))
}

impl Errands {
    /// Hands one in; it comes back if there are too many.
    pub(crate) fn send(&self, errand: Errand) -> Result<(), Errand> {
        let Some(sender) = &self.sender else { return Err(errand) };
        sender.try_send(errand).map_err(|e| e.into_inner())?;
        self.waker.wake();
        Ok(())
    }
}

impl Drop for Errands {
    fn drop(&mut self) {
        self.sender = None;
        self.waker.wake();
    }
}

/// What waits and what is out at one engine.
#[derive(Default)]
struct Line {
    waiting: VecDeque<Errand>,
    out: usize,
    in_turn: bool,
}

/// Errands that wait, by the engine they lead to.
struct Lines {
    lines: HashMap<SocketAddr, Line>,
    /// Engines that something waits for and that have a place free, in turn.
    turn: VecDeque<SocketAddr>,
    waiting: usize,
    at_one: usize,
}

impl Lines {
    fn new(most: usize) -> Lines {
        let at_one = most.div_ceil(PART);
        Lines { lines: HashMap::new(), turn: VecDeque::new(), waiting: 0, at_one }
    }

    fn line_up(&mut self, at: SocketAddr) {
        let Some(line) = self.lines.get_mut(&at) else { return };
        if line.waiting.is_empty() && line.out == 0 {
            self.lines.remove(&at);
        } else if !line.in_turn && !line.waiting.is_empty() && line.out < self.at_one {
            line.in_turn = true;
            self.turn.push_back(at);
        }
    }

    fn push(&mut self, errand: Errand) {
        let at = errand.address();
        self.lines.entry(at).or_default().waiting.push_back(errand);
        self.waiting += 1;
        self.line_up(at);
    }

    /// The next one, whose place is taken with it.
    fn next(&mut self) -> Option<Errand> {
        let at = self.turn.pop_front()?;
        let line = self.lines.get_mut(&at)?;
        line.in_turn = false;
        let errand = line.waiting.pop_front()?;
        line.out += 1;
        self.waiting -= 1;
        self.line_up(at);
        Some(errand)
    }

    /// An errand is over, and its place is free.
    fn done(&mut self, at: SocketAddr) {
        if let Some(line) = self.lines.get_mut(&at) {
            line.out -= 1;
        }
        self.line_up(at);
    }
}

/// An errand that is out.
struct Out {
    errand: Errand,
    stream: TcpStream,
    up: bool,
    unsent: Vec<u8>,
    reader: ResponseReader,
    status: u16,
    body: Vec<u8>,
    by: Instant,
}

/// How an errand has ended.
enum End {
    /// With an answer, and whether its connection may be used again.
    Answered(bool),
    /// Refused, broken, not understood, or not at all in its time.
    Failed,
}

impl Out {
    fn wants_to_write(&self) -> bool {
        !self.up || !self.unsent.is_empty()
    }

    /// Goes on as far as it goes; how it has ended, if it has.
    fn go_on(&mut self, buffer: &mut [u8]) -> Option<End> {
        if !self.up {
            match self.stream.take_error() {
                Ok(None) => self.up = true,
                _ => return Some(End::Failed),
            }
        }
        if matches!(self.errand, Errand::ConnectionProbe(..)) {
            return Some(End::Answered(true));
        }
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(n) => drop(self.unsent.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Some(End::Failed),
            }
        }
        loop {
            match self.reader.next_part() {
                Ok(Some(Part::Head(status, _))) => self.status = status,
                Ok(Some(Part::Body(bytes))) if self.body.len() + bytes.len() <= MAX_ANSWER => {
                    self.body.extend(bytes);
                }
                Ok(Some(Part::Body(_))) | Err(_) => return Some(End::Failed),
                Ok(Some(Part::End(reusable))) => {
                    return Some(End::Answered(reusable && self.unsent.is_empty()))
                }
                Ok(None) => match self.stream.read(buffer) {
                    Ok(0) if self.reader.closed().is_ok() => return Some(End::Answered(false)),
                    Ok(n) if n > 0 => self.reader.push(&buffer[..n]),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                    _ => return Some(End::Failed),
                },
            }
        }
    }

    /// Tells the host what became of it; a sound connection is kept.
    fn tell(self, shared: &Shared, end: End) {
        let at = self.errand.address();
        let answer = matches!(end, End::Answered(_)).then_some((self.status, &self.body[..]));
        word(self.errand, answer).into_iter().for_each(|word| shared.send_input(word));
        if matches!(end, End::Answered(true)) {
            shared.pool.keep(at, self.stream);
        }
    }
}

/// What the host hears of an errand, by the status and body of its answer, if there was one. Of a connection probe that a
/// machine refuses it hears nothing: no engine listens there, so that none has the attempt.
fn word(errand: Errand, answer: Option<(u16, &[u8])>) -> Option<Input> {
    match errand {
        Errand::Probe(engine, _, slots) => {
            let page = answer.filter(|(status, _)| *status == 200);
            let load = page.and_then(|(_, body)| load_from_metrics(&String::from_utf8_lossy(body), slots));
            Some(Input::HealthChecked(engine, page.is_some(), load))
        }
        Errand::Release(name, engine, ..) => {
            Some(Input::Released(name, engine, answer.is_some_and(|(status, _)| status < 500)))
        }
        Errand::ConnectionProbe(ticket, attempt, _) => {
            answer.map(|_| Input::DeliveryConfirmed(ticket, attempt))
        }
    }
}

/// Runs errands until nobody can hand in any more and none is out, or the node has died.
pub(crate) fn run(shared: &Shared, queue: &Queue) {
    let most = shared.settings.limits.max_background_calls;
    let within = Duration::from_micros(shared.settings.limits.background_call_timeout);
    let (mut lines, mut out, mut buffer) = (Lines::new(most), Vec::<Out>::new(), vec![0u8; 16 << 10]);
    loop {
        let mut closed = false;
        while lines.waiting < MAX_WAITING && !closed {
            match queue.receiver.try_recv() {
                Ok(errand) => lines.push(errand),
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => closed = true,
            }
        }
        while out.len() < most {
            let Some(errand) = lines.next() else { break };
            let at = errand.address();
            // A connection probe is a new connection's.
            let begun = shared.pool.for_errand(at, !errand.anew());
            let Ok((stream, up)) = begun else {
                lines.done(at);
                word(errand, None).into_iter().for_each(|word| shared.send_input(word));
                continue;
            };
            let (unsent, reader) = (errand.bytes(), ResponseReader::new(16 << 10));
            let by = Instant::now() + within;
            out.push(Out { errand, stream, up, unsent, reader, status: 0, body: Vec::new(), by });
        }
        if shared.is_dead() || closed && out.is_empty() {
            return;
        }
        let until = out.iter().map(|o| o.by).min();
        let wanted: Vec<_> = out.iter().map(|o| (&o.stream, o.wants_to_write())).collect();
        let Ok(ready) = wait_for_many(&queue.waker, &wanted, until) else { return };
        let now = Instant::now();
        // From the back, so that what is taken out moves nothing that has yet to be looked at.
        for n in (0..out.len()).rev() {
            let end = if ready[n] { out[n].go_on(&mut buffer) } else { None };
            let end = end.or_else(|| (now >= out[n].by).then_some(End::Failed));
            if let Some(end) = end {
                let over = out.swap_remove(n);
                lines.done(over.errand.address());
                over.tell(shared, end);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pintally_config::NodeSettings;
    use socket2::{Domain, Socket, Type};
    use std::net::TcpListener;
    use std::thread;

    use crate::shared::Message;

    /// A node's errands: where they are handed in, what the host is told, and its connections.
    struct Rig {
        errands: Option<Errands>,
        told: Receiver<Message>,
        shared: Arc<Shared>,
        thread: Option<thread::JoinHandle<()>>,
    }

    impl Rig {
        fn new(limits: &str) -> Rig {
            let text = format!(
                r#"(pintally (node (name "t") (engines "unused")) (limits {limits})
                (class "c" (effect safe) (aim-ms 500) (patience-ms 2000))
                (kind "r" (role reader)) (kind "w" (role writer)))"#
            );
            let settings = Arc::new(NodeSettings::parse("test", &text).expect("they are sound"));
            let (decide, told) = bounded(1 << 12);
            let shared = Arc::new(Shared::new(settings, decide));
            let (errands, queue) = way().unwrap();
            let own = shared.clone();
            let thread = Some(thread::spawn(move || run(&own, &queue)));
            Rig { errands: Some(errands), told, shared, thread }
        }

        fn release(&self, name: &str, at: SocketAddr) {
            let errand = Errand::Release(RequestId(name.into()), EngineId(name.into()), at, false);
            assert!(self.errands.as_ref().is_some_and(|e| e.send(errand).is_ok()));
        }

        fn probe_connection(&self, ticket: RequestNumber, at: SocketAddr) {
            assert!(self
                .errands
                .as_ref()
                .is_some_and(|e| e.send(Errand::ConnectionProbe(ticket, 0, at)).is_ok()));
        }

        /// The next word for the host, within two seconds.
        fn word(&self) -> Option<Input> {
            match self.told.recv_timeout(Duration::from_secs(2)).ok()? {
                Message::Host(input) => Some(input),
                _ => None,
            }
        }
    }

    impl Drop for Rig {
        fn drop(&mut self) {
            self.errands = None;
            if let Some(thread) = self.thread.take() {
                let _ = thread.join();
            }
        }
    }

    /// An engine that answers all that comes with 204.
    fn sound() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let mut some = [0; 4096];
                    while matches!(stream.read(&mut some), Ok(n) if n > 0) {
                        let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                    }
                });
            }
        });
        at
    }

    /// An engine whose machine takes connections and whose process says nothing.
    fn silent() -> (TcpListener, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        (listener, at)
    }

    /// Guards against states pinned at sound engines because releases for silent ones take all places.
    #[test]
    fn releases_for_silent_engines_hold_up_none_for_sound_ones() {
        let rig = Rig::new("(errands 8) (errand-ms 250)");
        let (quiet, at): (Vec<_>, Vec<_>) = (0..3).map(|_| silent()).unzip();
        let good = sound();
        for n in 0..300 {
            rig.release(&format!("silent-{n}"), at[n % at.len()]);
        }
        let from = Instant::now();
        for n in 0..20 {
            rig.release(&format!("sound-{n}"), good);
        }
        let mut heard = 0;
        while heard < 20 {
            match rig.word() {
                Some(Input::Released(name, _, true)) if name.0.starts_with("sound") => heard += 1,
                Some(Input::Released(name, _, false)) if name.0.starts_with("silent") => {}
                other => panic!("{other:?} after {heard}"),
            }
        }
        assert!(from.elapsed() < Duration::from_millis(240), "{:?}", from.elapsed());
        drop(quiet);
        rig.shared.kill();
    }

    /// Guards against a state that an engine cannot be told to let go because attempts take all places.
    #[test]
    fn an_engine_full_of_attempts_still_hears_a_release() {
        let rig = Rig::new("(streams 1)");
        let good = sound();
        let attempt = rig.shared.pool.take(good, Duration::from_secs(1)).expect("a place");
        rig.release("x", good);
        assert!(matches!(rig.word(), Some(Input::Released(_, _, true))));
        drop(attempt);
    }

    #[test]
    fn a_connection_probe_tells_of_machines_that_are_there_and_of_no_others() {
        let rig = Rig::new("(errand-ms 100)");
        let (there, at) = silent();
        rig.probe_connection(1, at);
        assert!(matches!(rig.word(), Some(Input::DeliveryConfirmed(1, 0))));
        drop(there);
        rig.probe_connection(2, at);
        rig.release("refuses", at);
        assert!(matches!(rig.word(), Some(Input::Released(_, _, false))), "no engine is there");
        // Where the line of those that wait to be accepted is full nothing comes up.
        let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        full.listen(0).unwrap();
        let at = full.local_addr().unwrap().as_socket().unwrap();
        let mut fillers = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(100)) {
            fillers.push(stream);
        }
        rig.probe_connection(3, at);
        rig.release("behind", at);
        assert!(
            matches!(rig.word(), Some(Input::Released(_, _, false))),
            "the connection probe is not answered"
        );
    }
}

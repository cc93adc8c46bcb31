//! The list of engines: as it was last known, then by a watch of discovery.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use pintally::interface::{EndpointState, ListUpdate, Micros, Outcome};
use pintally_host::{EngineEndpoint, Input};
use pintally_http::{Part, ResponseReader};
use pintally_platform::{
    encode_watch, EndpointList, EndpointListTracker, ListChange, WatchDecoder, MAX_HEAD_BYTES,
};

use crate::conn::{Conn, Key, Work};
use crate::node::{Node, WATCH};
use crate::poll::{self, Flags};
use crate::starts::Starts;
use crate::system::is_not_yet;

/// A watch that tells nothing any more, not even that nothing has changed, for so long is opened anew.
const SILENT: Micros = 3_100_000;
/// One that has never told anything is given more: discovery may be slow. Guards against a node that opens one watch
/// after another and hears none; the next one gets twice as long, up to a bound.
const FIRST_WORD: Micros = 5_000_000;
const FIRST_WORD_MAX: Micros = 20_000_000;
/// A process that has heard nothing of discovery for so long is ready by the list that it was given.
const FIRST_LIST_WITHIN: Micros = 3_000_000;
/// A watch that is not up by then has failed: half of the grace of drains, within these bounds.
const CONNECT_MIN: Micros = 100_000;
const CONNECT_MAX: Micros = 500_000;
/// The longest pause before a failed watch is opened again is a quarter of the grace of drains, within these bounds,
/// and the first one a quarter of that. Guards against a drain that is heard too late: what discovery has when it
/// is back counts as told at once.
const PAUSE_MIN: Micros = 20_000;
const PAUSE_MAX: Micros = 1_000_000;

/// The watch of discovery.
pub(crate) struct Watch {
    address: SocketAddr,
    follower: EndpointListTracker,
    open: Option<Open>,
    /// When it is opened again, and the pause before that.
    again: Micros,
    pause: Micros,
    /// How long it may take to come up, and the longest pause.
    connect_within: Micros,
    pause_max: Micros,
    /// How long the first word of a watch may take.
    first_word: Micros,
    /// When discovery was last heard in this process.
    word: Option<Micros>,
    pub(crate) starts: Starts,
    /// How often it was opened, and how often it has failed.
    pub(crate) opened: u64,
    pub(crate) failed: u64,
}

struct Open {
    stream: TcpStream,
    up: bool,
    out: Vec<u8>,
    reader: ResponseReader,
    lines: WatchDecoder,
    status: u16,
    heard: Micros,
    /// Something of its answer has come.
    answered: bool,
}

impl Watch {
    /// A watch that is to be opened now, where sends have to stop within that grace of a drain.
    pub(crate) fn new(address: SocketAddr, now: Micros, drain_grace: Micros) -> Watch {
        let pause_max = (drain_grace / 4).clamp(PAUSE_MIN, PAUSE_MAX);
        Watch {
            address,
            follower: EndpointListTracker::default(),
            open: None,
            again: now,
            pause: pause_max / 4,
            connect_within: (drain_grace / 2).clamp(CONNECT_MIN, CONNECT_MAX),
            pause_max,
            first_word: FIRST_WORD,
            word: None,
            starts: Starts::default(),
            opened: 0,
            failed: 0,
        }
    }

    /// The next pause is the first one again.
    fn begin_pauses_anew(&mut self) {
        self.pause = self.pause_max / 4;
    }

    /// When it is to be looked after.
    pub(crate) fn due(&self) -> Micros {
        match &self.open {
            Some(open) if open.answered => open.heard.saturating_add(SILENT),
            Some(open) if open.up => open.heard.saturating_add(self.first_word),
            Some(open) => open.heard.saturating_add(self.connect_within),
            None => self.again,
        }
    }
}

impl Node {
    /// Takes in the list as it was last known.
    pub(crate) fn known(&mut self) {
        if let Some(known) = self.config.last_known_list.clone() {
            self.take_list(EndpointList { complete: true, ..known }, None);
        }
    }

    /// Takes in a list. `word_before` is when discovery was last heard before it, if it comes from there: a list
    /// that was kept elsewhere may tell of starts of any age.
    fn take_list(&mut self, list: EndpointList, word_before: Option<Micros>) {
        let (now, revision) = (self.clock.now(), list.revision);
        match self.watch.follower.advance(list) {
            ListChange::Unchanged => {}
            ListChange::Stale => {
                self.say(now, &format!("revision {revision} of the list is older than what holds"))
            }
            ListChange::Invalid(why) => {
                self.say(now, &format!("revision {revision} of the list does not hold: {why}"))
            }
            ListChange::Apply(form, mut members) => {
                self.watch.starts.take(now, word_before, &mut members);
                self.list(form, members);
                let host = &self.host;
                self.watch.starts.retain(|engine| host.listing(engine).is_some());
            }
        }
    }

    pub(crate) fn say(&mut self, now: Micros, what: &str) {
        if self.quota.allows(now) {
            tracing::warn!("{what}");
        }
    }

    fn list(&mut self, form: ListUpdate, members: Vec<EngineEndpoint>) {
        self.feed(Input::EndpointList(form, members));
        // Guards against a send that outlives the word of a drain while it waits for its connection.
        let waiting: Vec<Key> = self
            .conns
            .iter()
            .filter(|(_, conn)| match conn {
                Conn::Engine(e) => {
                    !e.up
                        && matches!(e.work, Some(Work::Attempt { .. }))
                        && self.host.listing(&e.engine) != Some(EndpointState::Serving)
                }
                Conn::Client(_) => false,
            })
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            self.give_up(key, Outcome::Unreachable);
        }
        self.work_off();
        // What nobody leads to any more is not kept.
        let addresses = self.host.addresses();
        let idle: Vec<Key> =
            self.pool.all().filter(|(a, _)| !addresses.contains(a)).map(|(_, k)| k).collect();
        for key in idle {
            self.close_engine(key);
        }
        let host = &self.host;
        self.tallies.retain(|engine, tally| tally.out > 0 || host.listing(engine).is_some());
    }

    /// Whether clients may come. Guards against sends by a list that is out of date: the one that a process was given does
    /// for clients only when discovery has had some time to tell its own.
    pub(crate) fn is_ready(&self) -> bool {
        let heard = self.watch.word.is_some() || self.clock.now() >= self.started + FIRST_LIST_WITHIN;
        self.stopping.is_none() && self.host.serving() > 0 && heard
    }

    /// The core wants to hear of the list: a watch that is down is opened at once.
    pub(crate) fn watch_again(&mut self) {
        if self.watch.open.is_none() {
            self.watch.again = self.clock.now();
        }
    }

    /// Opens the watch when it is time, and ends one that has gone silent.
    pub(crate) fn look_after_watch(&mut self, now: Micros) {
        if now < self.watch.due() {
            return;
        }
        if let Some(open) = &self.watch.open {
            let what = match (open.answered, open.up) {
                (true, _) => "discovery has gone silent",
                (_, true) => "discovery does not answer",
                _ => "discovery cannot be reached",
            };
            if open.up && !open.answered {
                self.watch.first_word = (self.watch.first_word * 2).min(FIRST_WORD_MAX);
            }
            self.say(now, what);
            self.watch_failed(now);
            self.watch.again = now;
        }
        match self.open_watch(now) {
            Ok(open) => {
                self.watch.opened += 1;
                self.watch.open = Some(open);
            }
            Err(_) => self.watch_failed(now),
        }
    }

    fn open_watch(&mut self, now: Micros) -> std::io::Result<Open> {
        let address = self.watch.address;
        let socket = poll::socket(address)?;
        poll::connect(&socket, address)?;
        let stream: TcpStream = socket.into();
        self.poll.add(&stream, WATCH, Flags::OUT)?;
        Ok(Open {
            stream,
            up: false,
            out: encode_watch(self.watch.follower.revision()),
            reader: ResponseReader::new(MAX_HEAD_BYTES),
            lines: WatchDecoder::default(),
            status: 0,
            heard: now,
            answered: false,
        })
    }

    /// The watch is down: the list holds, and it is opened again after a pause.
    fn watch_failed(&mut self, now: Micros) {
        self.watch.failed += 1;
        self.watch.open = None;
        self.watch.again = now + self.watch.pause;
        self.watch.pause = (self.watch.pause * 2).min(self.watch.pause_max);
    }

    pub(crate) fn watch_event(&mut self, flags: Flags) {
        let now = self.clock.now();
        let Some(open) = &mut self.watch.open else { return };
        if !open.up {
            if !matches!(open.stream.take_error(), Ok(None)) || flags.intersects(Flags::ERR | Flags::HUP) {
                return self.watch_failed(now);
            }
            open.up = true;
            open.heard = now;
        }
        if !open.out.is_empty() {
            return self.watch_writes(now);
        }
        let n = match open.stream.read(&mut self.buffer) {
            Ok(0) => return self.watch_failed(now),
            Ok(n) => n,
            Err(e) if is_not_yet(&e) => return,
            Err(_) => return self.watch_failed(now),
        };
        open.heard = now;
        open.answered = true;
        self.watch.first_word = FIRST_WORD;
        open.reader.push(&self.buffer[..n]);
        match self.watch_reads() {
            // Up to now it is known that nothing else has changed; the head of an answer does not tell that.
            Ok(true) if self.watch.follower.revision().is_some() => self.watch.word = Some(now),
            Ok(_) => {}
            Err(why) => {
                self.say(now, &format!("discovery cannot be understood: {why}"));
                self.watch_failed(now);
            }
        }
    }

    /// Writes what is left of the watch's request; then its answer is awaited.
    fn watch_writes(&mut self, now: Micros) {
        let Some(open) = &mut self.watch.open else { return };
        while !open.out.is_empty() {
            match open.stream.write(&open.out) {
                Ok(0) => return self.watch_failed(now),
                Ok(written) => drop(open.out.drain(..written)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.watch_failed(now),
            }
        }
        if self.poll.modify(&open.stream, WATCH, Flags::IN | Flags::RDHUP).is_err() {
            self.watch_failed(now);
        }
    }

    /// Takes in what has come of the watch's answer; whether any of it was its body.
    fn watch_reads(&mut self) -> Result<bool, String> {
        let mut any = false;
        loop {
            let Some(open) = &mut self.watch.open else { return Ok(any) };
            match open.reader.next_part().map_err(|e| e.to_string())? {
                None => return Ok(any),
                Some(Part::Head(status, _)) => open.status = status,
                Some(Part::End(_)) => return Err(format!("the watch ended with status {}", open.status)),
                Some(Part::Body(_)) if open.status != 200 => {}
                Some(Part::Body(bytes)) => {
                    any = true;
                    open.lines.push(&bytes).map_err(|e| e.to_string())?;
                    self.watch_lines()?;
                }
            }
        }
    }

    fn watch_lines(&mut self) -> Result<(), String> {
        while let Some(line) = self.watch.open.as_mut().and_then(|open| open.lines.next_object()) {
            let list = EndpointList::parse(&line).map_err(|e| e.to_string())?;
            self.watch.begin_pauses_anew();
            self.take_list(list, self.watch.word);
        }
        Ok(())
    }

    /// Follows discovery at an address, which may be the one that it follows already.
    pub(crate) fn follow(&mut self, address: SocketAddr, now: Micros) {
        if address == self.watch.address {
            return;
        }
        self.watch.address = address;
        self.watch.open = None;
        self.watch.again = now;
        self.watch.begin_pauses_anew();
        self.look_after_watch(now);
    }

    /// Takes a whole list that came with a configuration, if it is newer than what holds.
    pub(crate) fn take_known(&mut self, known: EndpointList) {
        if Some(known.revision) > self.watch.follower.revision() {
            self.take_list(EndpointList { complete: true, ..known }, None);
        }
    }
}

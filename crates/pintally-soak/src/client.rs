//! Clients of a run: patient ones and such that leave, rest, write or read slowly, have little time, or are bad.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_http::{Part, ResponseReader};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{Ask, AskEnd, BadClient, Class, Record};

/// So much longer it keeps its connection, to see what comes late.
const BEYOND: Duration = Duration::from_millis(1_500);
/// A stream that has begun ends within this time.
const STREAM_ENDS: Duration = Duration::from_secs(12);
/// A bad client is owed an error or the end of its connection within this time.
const BAD_OWED: Duration = Duration::from_millis(4_500);
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
const HEAD_MAX: usize = 16 << 10;

/// What a client is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Keeps its connection and asks again and again.
    Keeps,
    /// Opens a connection for each request.
    Fresh,
    /// Leaves after a while, whether answered or not.
    Leaves,
    /// Writes its requests in pieces.
    WritesSlowly,
    /// Takes its answers in pieces.
    ReadsSlowly,
    /// Rests on its connection for about as long as the node keeps one.
    Rests,
    /// Has very little time.
    Hurries,
    /// Sends what no request is, or part of one, and stays.
    Bad,
}

impl Manner {
    pub(crate) const ALL: [Manner; 8] = [
        Manner::Keeps,
        Manner::Fresh,
        Manner::Leaves,
        Manner::WritesSlowly,
        Manner::ReadsSlowly,
        Manner::Rests,
        Manner::Hurries,
        Manner::Bad,
    ];
}

/// A client of one node.
pub(crate) struct Client {
    pub(crate) node: usize,
    pub(crate) address: SocketAddr,
    pub(crate) manner: Manner,
    /// Begins the ids of its requests.
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) record: Arc<Record>,
    pub(crate) until: Instant,
    /// How long it waits for a first token.
    pub(crate) patience: Duration,
}

/// A connection and how many requests it has carried.
struct Connection {
    stream: TcpStream,
    carried: u64,
}

impl Client {
    /// Asks until its time is up.
    pub(crate) fn run(self) {
        let mut dice = ChaCha8Rng::seed_from_u64(self.seed);
        let mut connection = None;
        let mut number = 0;
        while Instant::now() < self.until {
            if self.manner == Manner::Bad {
                self.misbehaves(&mut dice);
                pause(&mut dice, 100, 900);
                continue;
            }
            let open = connection.take().or_else(|| self.connect());
            let Some(open) = open else {
                pause(&mut dice, 20, 60);
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            connection = self.asks(open, &id, &mut dice);
            match self.manner {
                Manner::Fresh | Manner::Leaves => connection = None,
                // About as long as the node keeps a resting connection, or has one when it is told to stop.
                Manner::Rests => pause(&mut dice, 300, 1_500),
                _ => {}
            }
            pause(&mut dice, 10, 120);
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_WITHIN).ok()?;
        let _ = stream.set_nodelay(true);
        if self.manner == Manner::ReadsSlowly {
            let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(2 << 10);
        }
        Some(Connection { stream, carried: 0 })
    }

    /// Sends a request and takes in its answer; the connection, if it can carry another one.
    fn asks(&self, mut open: Connection, id: &str, dice: &mut ChaCha8Rng) -> Option<Connection> {
        let class = Class::ALL[[0, 0, 1, 2][dice.random_range(0..4)]];
        let patience = match self.manner {
            Manner::Hurries => Duration::from_millis(dice.random_range(1..220)),
            _ => self.patience,
        };
        let bytes = request(id, class, patience, dice.random_range(0..40) == 0);
        let sent = self.send(&mut open.stream, &bytes, dice);
        let ask = Ask {
            class,
            node: self.node,
            sent: self.record.now(),
            patience,
            on_new_connection: open.carried == 0,
            resent: false,
            left: None,
            end: if sent { AskEnd::Open } else { AskEnd::Unsent },
            prompt_reader: self.manner != Manner::ReadsSlowly,
            most_held_back: Duration::ZERO,
        };
        self.record.with(|books| books.asks.insert(id.into(), ask));
        if !sent {
            return None;
        }
        let leaves =
            (self.manner == Manner::Leaves).then(|| Duration::from_millis(dice.random_range(1..500)));
        let keeps = self.takes_answer(&mut open, id, patience, leaves, dice);
        open.carried += 1;
        let end = self.record.with(|books| books.asks.get(id).map(|ask| ask.end));
        // A request that has crossed the end of a resting connection is sent once more, on a new one.
        if matches!(end, Some(AskEnd::Dropped { .. })) && open.carried > 1 && leaves.is_none() {
            drop(open);
            return self.connect().and_then(|again| self.asks_again(again, id, &bytes, patience, dice));
        }
        keeps.then_some(open)
    }

    /// Sends the same request once more.
    fn asks_again(
        &self,
        mut open: Connection,
        id: &str,
        bytes: &[u8],
        patience: Duration,
        dice: &mut ChaCha8Rng,
    ) -> Option<Connection> {
        let sent = open.stream.write_all(bytes).is_ok();
        self.record.with(|books| {
            if let Some(ask) = books.asks.get_mut(id) {
                ask.resent = true;
                ask.on_new_connection = true;
                ask.sent = self.record.now();
                ask.end = if sent { AskEnd::Open } else { AskEnd::Unsent };
            }
        });
        let keeps = sent && self.takes_answer(&mut open, id, patience, None, dice);
        open.carried += 1;
        keeps.then_some(open)
    }

    fn send(&self, stream: &mut TcpStream, bytes: &[u8], dice: &mut ChaCha8Rng) -> bool {
        if self.manner != Manner::WritesSlowly {
            return stream.write_all(bytes).is_ok();
        }
        let pieces = dice.random_range(2..8);
        bytes.chunks(bytes.len().div_ceil(pieces)).all(|piece| {
            std::thread::sleep(Duration::from_millis(dice.random_range(1..60)));
            stream.write_all(piece).is_ok()
        })
    }

    /// Takes in an answer; whether the connection can carry another request.
    fn takes_answer(
        &self,
        open: &mut Connection,
        id: &str,
        patience: Duration,
        leaves: Option<Duration>,
        dice: &mut ChaCha8Rng,
    ) -> bool {
        let begun = Instant::now();
        let (mut reader, mut some) = (ResponseReader::new(HEAD_MAX), [0; 4 << 10]);
        let (mut status, mut first) = (0, None);
        let mut text = Vec::new();
        let note = |end: AskEnd| {
            self.record.with(|books| {
                if let Some(ask) = books.asks.get_mut(id) {
                    ask.end = end;
                }
            });
        };
        loop {
            let by = match (leaves, first) {
                (Some(leaves), _) => begun + leaves,
                (None, None) => begun + patience + BEYOND,
                (None, Some(_)) => begun + STREAM_ENDS,
            };
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = open.stream.shutdown(std::net::Shutdown::Both);
                let now = self.record.now();
                self.record.with(|books| {
                    if let Some(ask) = books.asks.get_mut(id) {
                        ask.left = leaves.is_some().then_some(now);
                        if let (None, Some(first)) = (leaves, first) {
                            ask.end = AskEnd::Answered { status, whole: false, first, at: now };
                        }
                    }
                });
                return false;
            }
            let _ = open.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let most = if self.manner == Manner::ReadsSlowly { 512 } else { some.len() };
            let count = match open.stream.read(&mut some[..most]) {
                Ok(count) => count,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            let now = self.record.now();
            if count == 0 {
                note(match first {
                    Some(first) => AskEnd::Answered { status, whole: false, first, at: now },
                    None => AskEnd::Dropped { at: now },
                });
                return false;
            }
            let first_at = *first.get_or_insert(now);
            reader.push(&some[..count]);
            loop {
                match reader.next_part() {
                    Ok(Some(Part::Head(s, _))) => status = s,
                    Ok(Some(Part::Body(bytes))) => {
                        text.extend_from_slice(&bytes);
                        self.note_held_back(id, &mut text);
                    }
                    Ok(Some(Part::End(keeps))) => {
                        note(AskEnd::Answered { status, whole: true, first: first_at, at: now });
                        return keeps;
                    }
                    Ok(None) => break,
                    Err(_) => {
                        note(AskEnd::Answered { status: 0, whole: false, first: first_at, at: now });
                        return false;
                    }
                }
            }
            if self.manner == Manner::ReadsSlowly {
                pause(dice, 1, 40);
            }
        }
    }

    /// How long events have been on their way, by the times that they carry.
    fn note_held_back(&self, id: &str, text: &mut Vec<u8>) {
        const MARK: &[u8] = b"{\"at\":";
        let now = self.record.now();
        while let Some(end) = text.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let Some(at) = event.windows(MARK.len()).position(|w| w == MARK) else { continue };
            let digits: String = event[at + MARK.len()..]
                .iter()
                .take_while(|b| b.is_ascii_digit())
                .map(|b| *b as char)
                .collect();
            let Ok(written) = digits.parse() else { continue };
            let held = now.saturating_sub(Duration::from_micros(written));
            self.record.with(|books| {
                if let Some(ask) = books.asks.get_mut(id) {
                    ask.most_held_back = ask.most_held_back.max(held);
                }
            });
        }
    }

    /// Something that is no request, or part of one; it is owed an error or an end.
    fn misbehaves(&self, dice: &mut ChaCha8Rng) {
        let whole = request(&format!("{}-bad", self.name), Class::Safe, self.patience, false);
        let up = b"GET /up HTTP/1.1\r\n\r\n";
        let (bytes, goes) = match dice.random_range(0..7) {
            0 => (whole[..dice.random_range(1..whole.len())].to_vec(), false),
            1 => (b"\x16\x03\x01 noise\r\n\r\n".to_vec(), false),
            2 => (Vec::new(), false),
            3 => (up.repeat(dice.random_range(50..3_000)), true),
            4 => ([up.as_slice(), &whole[..whole.len() / 2]].concat(), false),
            5 => (whole.repeat(30), true),
            _ => (b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_vec(), false),
        };
        let Some(mut open) = self.connect() else { return };
        let connected = self.record.now();
        let _ = open.stream.set_write_timeout(Some(CONNECT_WITHIN));
        let _ = open.stream.write_all(&bytes);
        if goes {
            return;
        }
        let (by, mut some) = (Instant::now() + BAD_OWED, [0; 4 << 10]);
        let mut served_at = None;
        let mut seen = Vec::new();
        while served_at.is_none() && Instant::now() < by {
            let left = by.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = open.stream.set_read_timeout(Some(left));
            match open.stream.read(&mut some) {
                Ok(count) if count > 0 => seen.extend_from_slice(&some[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                _ => served_at = Some(self.record.now()),
            }
            let is_error = |mark: &[u8]| seen.windows(mark.len()).any(|w| w == mark);
            if is_error(b"HTTP/1.1 4") || is_error(b"HTTP/1.1 5") {
                served_at = Some(self.record.now());
            }
        }
        let bad = BadClient { node: self.node, connected, served_at };
        self.record.with(|books| books.bad_clients.push(bad));
    }
}

fn pause(dice: &mut ChaCha8Rng, least_ms: u64, most_ms: u64) {
    std::thread::sleep(Duration::from_millis(dice.random_range(least_ms..most_ms)));
}

/// The bytes of a request; a long one has a body that no socket takes at once.
fn request(id: &str, class: Class, patience: Duration, long: bool) -> Vec<u8> {
    let pad = if long { "x".repeat(200 << 10) } else { String::new() };
    let body = format!("{{\"model\":\"m\",\"stream\":true,\"pad\":\"{pad}\"}}");
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Entity: {id}\r\n\
         X-Remaining-Ms: {}\r\nX-Labels: prompt_len=400,prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        class.name(),
        patience.as_millis(),
        body.len()
    )
    .into_bytes()
}

//! Clients of a run: patient ones and such that leave, rest, write or read slowly, have little time, or are bad.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_http::{Part, ResponseReader};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{BadClient, Class, ClientRequest, Record, RequestOutcome};

/// So much longer it keeps its connection, to see what comes late.
const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
/// A stream that has begun ends within this time.
const MAX_STREAM_DURATION: Duration = Duration::from_secs(12);
/// A bad client is owed an error or the end of its connection within this time.
const MALFORMED_ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_HEAD_BYTES: usize = 16 << 10;

/// What a client is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientBehavior {
    /// Keeps its connection and asks again and again.
    KeepAlive,
    /// Opens a connection for each request.
    NewConnection,
    /// Leaves after a while, whether answered or not.
    Disconnects,
    /// Writes its requests in pieces.
    WritesSlowly,
    /// Takes its answers in pieces.
    ReadsSlowly,
    /// Rests on its connection for about as long as the node keeps one.
    Idles,
    /// Has very little time.
    ShortTimeout,
    /// Sends what no request is, or part of one, and stays.
    Malformed,
}

impl ClientBehavior {
    pub(crate) const ALL: [ClientBehavior; 8] = [
        ClientBehavior::KeepAlive,
        ClientBehavior::NewConnection,
        ClientBehavior::Disconnects,
        ClientBehavior::WritesSlowly,
        ClientBehavior::ReadsSlowly,
        ClientBehavior::Idles,
        ClientBehavior::ShortTimeout,
        ClientBehavior::Malformed,
    ];
}

/// A client of one node.
pub(crate) struct Client {
    pub(crate) node: usize,
    pub(crate) address: SocketAddr,
    pub(crate) manner: ClientBehavior,
    /// Begins the ids of its requests.
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) record: Arc<Record>,
    pub(crate) until: Instant,
    /// How long it waits for a first token.
    pub(crate) client_timeout: Duration,
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
            if self.manner == ClientBehavior::Malformed {
                self.send_malformed(&mut dice);
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
            connection = self.send_request(open, &id, &mut dice);
            match self.manner {
                ClientBehavior::NewConnection | ClientBehavior::Disconnects => connection = None,
                // About as long as the node keeps a resting connection, or has one when it is sent SIGTERM.
                ClientBehavior::Idles => pause(&mut dice, 300, 1_500),
                _ => {}
            }
            pause(&mut dice, 10, 120);
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        if self.manner == ClientBehavior::ReadsSlowly {
            let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(2 << 10);
        }
        Some(Connection { stream, carried: 0 })
    }

    /// Sends a request and takes in its answer; the connection, if it can carry another one.
    fn send_request(&self, mut open: Connection, id: &str, dice: &mut ChaCha8Rng) -> Option<Connection> {
        let class = Class::ALL[[0, 0, 1, 2][dice.random_range(0..4)]];
        let client_timeout = match self.manner {
            ClientBehavior::ShortTimeout => Duration::from_millis(dice.random_range(1..220)),
            _ => self.client_timeout,
        };
        let bytes = request(id, class, client_timeout, dice.random_range(0..40) == 0);
        let sent = self.send(&mut open.stream, &bytes, dice);
        let ask = ClientRequest {
            class,
            node: self.node,
            sent: self.record.now(),
            client_timeout,
            on_new_connection: open.carried == 0,
            resent: false,
            left: None,
            end: if sent { RequestOutcome::Open } else { RequestOutcome::Unsent },
            prompt_reader: self.manner != ClientBehavior::ReadsSlowly,
            most_held_back: Duration::ZERO,
        };
        self.record.with(|books| books.requests.insert(id.into(), ask));
        if !sent {
            return None;
        }
        let leaves = (self.manner == ClientBehavior::Disconnects)
            .then(|| Duration::from_millis(dice.random_range(1..500)));
        let keeps = self.read_answer(&mut open, id, client_timeout, leaves, dice);
        open.carried += 1;
        let end = self.record.with(|books| books.requests.get(id).map(|ask| ask.end));
        // A request that has crossed the end of a resting connection is sent once more, on a new one.
        if matches!(end, Some(RequestOutcome::Dropped { .. })) && open.carried > 1 && leaves.is_none() {
            drop(open);
            return self.connect().and_then(|again| self.retry(again, id, &bytes, client_timeout, dice));
        }
        keeps.then_some(open)
    }

    /// Sends the same request once more.
    fn retry(
        &self,
        mut open: Connection,
        id: &str,
        bytes: &[u8],
        client_timeout: Duration,
        dice: &mut ChaCha8Rng,
    ) -> Option<Connection> {
        let sent = open.stream.write_all(bytes).is_ok();
        self.record.with(|books| {
            if let Some(ask) = books.requests.get_mut(id) {
                ask.resent = true;
                ask.on_new_connection = true;
                ask.sent = self.record.now();
                ask.end = if sent { RequestOutcome::Open } else { RequestOutcome::Unsent };
            }
        });
        let keeps = sent && self.read_answer(&mut open, id, client_timeout, None, dice);
        open.carried += 1;
        keeps.then_some(open)
    }

    fn send(&self, stream: &mut TcpStream, bytes: &[u8], dice: &mut ChaCha8Rng) -> bool {
        if self.manner != ClientBehavior::WritesSlowly {
            return stream.write_all(bytes).is_ok();
        }
        let pieces = dice.random_range(2..8);
        bytes.chunks(bytes.len().div_ceil(pieces)).all(|piece| {
            std::thread::sleep(Duration::from_millis(dice.random_range(1..60)));
            stream.write_all(piece).is_ok()
        })
    }

    /// Takes in an answer; whether the connection can carry another request.
    fn read_answer(
        &self,
        open: &mut Connection,
        id: &str,
        client_timeout: Duration,
        leaves: Option<Duration>,
        dice: &mut ChaCha8Rng,
    ) -> bool {
        let attempt_started = Instant::now();
        let (mut reader, mut some) = (ResponseReader::new(MAX_HEAD_BYTES), [0; 4 << 10]);
        let (mut status, mut first) = (0, None);
        let mut text = Vec::new();
        let note = |end: RequestOutcome| {
            self.record.with(|books| {
                if let Some(ask) = books.requests.get_mut(id) {
                    ask.end = end;
                }
            });
        };
        loop {
            let by = match (leaves, first) {
                (Some(leaves), _) => attempt_started + leaves,
                (None, None) => attempt_started + client_timeout + ANSWER_GRACE,
                (None, Some(_)) => attempt_started + MAX_STREAM_DURATION,
            };
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = open.stream.shutdown(std::net::Shutdown::Both);
                let now = self.record.now();
                self.record.with(|books| {
                    if let Some(ask) = books.requests.get_mut(id) {
                        ask.left = leaves.is_some().then_some(now);
                        if let (None, Some(first)) = (leaves, first) {
                            ask.end = RequestOutcome::Answered { status, whole: false, first, at: now };
                        }
                    }
                });
                return false;
            }
            let _ = open.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let most = if self.manner == ClientBehavior::ReadsSlowly { 512 } else { some.len() };
            let count = match open.stream.read(&mut some[..most]) {
                Ok(count) => count,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            let now = self.record.now();
            if count == 0 {
                note(match first {
                    Some(first) => RequestOutcome::Answered { status, whole: false, first, at: now },
                    None => RequestOutcome::Dropped { at: now },
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
                        self.record_delayed_events(id, &mut text);
                    }
                    Ok(Some(Part::End(keeps))) => {
                        note(RequestOutcome::Answered { status, whole: true, first: first_at, at: now });
                        return keeps;
                    }
                    Ok(None) => break,
                    Err(_) => {
                        note(RequestOutcome::Answered { status: 0, whole: false, first: first_at, at: now });
                        return false;
                    }
                }
            }
            if self.manner == ClientBehavior::ReadsSlowly {
                pause(dice, 1, 40);
            }
        }
    }

    /// How long events have been on their way, by the times that they carry.
    fn record_delayed_events(&self, id: &str, text: &mut Vec<u8>) {
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
                if let Some(ask) = books.requests.get_mut(id) {
                    ask.most_held_back = ask.most_held_back.max(held);
                }
            });
        }
    }

    /// Something that is no request, or part of one; it is owed an error or an end.
    fn send_malformed(&self, dice: &mut ChaCha8Rng) {
        let whole = request(&format!("{}-bad", self.name), Class::Safe, self.client_timeout, false);
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
        let _ = open.stream.set_write_timeout(Some(CONNECT_TIMEOUT));
        let _ = open.stream.write_all(&bytes);
        if goes {
            return;
        }
        let (by, mut some) = (Instant::now() + MALFORMED_ANSWER_TIMEOUT, [0; 4 << 10]);
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

fn pause(dice: &mut ChaCha8Rng, min_ms: u64, max_ms: u64) {
    std::thread::sleep(Duration::from_millis(dice.random_range(min_ms..max_ms)));
}

/// The bytes of a request; a long one has a body that no socket takes at once.
fn request(id: &str, class: Class, client_timeout: Duration, long: bool) -> Vec<u8> {
    let pad = if long { "x".repeat(200 << 10) } else { String::new() };
    let body = format!("{{\"model\":\"m\",\"stream\":true,\"pad\":\"{pad}\"}}");
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Entity: {id}\r\n\
         X-Remaining-Ms: {}\r\nX-Labels: prompt_len=400,prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        class.name(),
        client_timeout.as_millis(),
        body.len()
    )
    .into_bytes()
}

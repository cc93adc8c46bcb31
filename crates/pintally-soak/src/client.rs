//! Clients of a run: well-behaved ones, and ones that disconnect, idle, write or read slowly, have short timeouts, or
//! send malformed data.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_http::{Part, ResponseReader};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::record::{BadClient, Class, ClientRequest, RequestOutcome, SharedRecord};

/// A client keeps its connection for this long after its timeout, to record late answers.
const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
/// A client closes a stream that has not ended after this time.
const MAX_STREAM_DURATION: Duration = Duration::from_secs(12);
/// How long a client waits for an error or the end of its connection after it sent malformed data.
const MALFORMED_ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The behaviour of a client. The `Debug` text is part of its request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientBehavior {
    /// Sends all requests on one connection.
    KeepAlive,
    /// Opens a new connection for each request.
    NewConnection,
    /// Closes its connection after a random time, whether answered or not.
    Disconnects,
    /// Writes its requests in small pieces with pauses.
    WritesSlowly,
    /// Reads its answers in small pieces with pauses.
    ReadsSlowly,
    /// Idles between requests for about as long as the node keeps an idle connection open.
    Idles,
    /// Has a very short timeout.
    ShortTimeout,
    /// Sends malformed or incomplete requests, and keeps the connection open.
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
    pub(crate) behavior: ClientBehavior,
    /// The prefix of its request ids.
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) record: Arc<SharedRecord>,
    pub(crate) until: Instant,
    /// How long it waits for the first token.
    pub(crate) client_timeout: Duration,
}

/// A connection, and the number of requests sent on it.
struct Connection {
    stream: TcpStream,
    requests: u64,
}

impl Client {
    /// Sends requests until the end of the run.
    pub(crate) fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut connection = None;
        let mut number = 0;
        while Instant::now() < self.until {
            if self.behavior == ClientBehavior::Malformed {
                self.send_malformed(&mut rng);
                pause(&mut rng, 100, 900);
                continue;
            }
            let current = connection.take().or_else(|| self.connect());
            let Some(current) = current else {
                pause(&mut rng, 20, 60);
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            connection = self.send_request(current, &id, &mut rng);
            match self.behavior {
                ClientBehavior::NewConnection | ClientBehavior::Disconnects => connection = None,
                // About as long as the node keeps an idle connection, so that requests meet its close by timeout or after
                // SIGTERM.
                ClientBehavior::Idles => pause(&mut rng, 300, 1_500),
                _ => {}
            }
            pause(&mut rng, 10, 120);
        }
    }

    fn connect(&self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        if self.behavior == ClientBehavior::ReadsSlowly {
            let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(2 << 10);
        }
        Some(Connection { stream, requests: 0 })
    }

    /// Sends a request and reads its answer. Returns the connection if it can be reused.
    fn send_request(&self, mut connection: Connection, id: &str, rng: &mut ChaCha8Rng) -> Option<Connection> {
        let class = Class::ALL[[0, 0, 1, 2][rng.random_range(0..4)]];
        let client_timeout = match self.behavior {
            ClientBehavior::ShortTimeout => Duration::from_millis(rng.random_range(1..220)),
            _ => self.client_timeout,
        };
        let bytes = request(id, class, client_timeout, rng.random_range(0..40) == 0);
        let sent = self.send(&mut connection.stream, &bytes, rng);
        let request = ClientRequest {
            class,
            node: self.node,
            sent: self.record.now(),
            client_timeout,
            on_new_connection: connection.requests == 0,
            resent: false,
            left: None,
            end: if sent { RequestOutcome::Open } else { RequestOutcome::Unsent },
            prompt_reader: self.behavior != ClientBehavior::ReadsSlowly,
            most_held_back: Duration::ZERO,
        };
        self.record.with(|record| record.requests.insert(id.into(), request));
        if !sent {
            return None;
        }
        let leave_after = (self.behavior == ClientBehavior::Disconnects)
            .then(|| Duration::from_millis(rng.random_range(1..500)));
        let reusable = self.read_answer(&mut connection, id, client_timeout, leave_after, rng);
        connection.requests += 1;
        let end = self.record.with(|record| record.requests.get(id).map(|request| request.end));
        // The node may close an idle connection while a request is on its way. Such a request is sent again on a new
        // connection.
        if matches!(end, Some(RequestOutcome::Dropped { .. }))
            && connection.requests > 1
            && leave_after.is_none()
        {
            drop(connection);
            return self.connect().and_then(|new| self.retry(new, id, &bytes, client_timeout, rng));
        }
        reusable.then_some(connection)
    }

    /// Sends the same request a second time.
    fn retry(
        &self,
        mut connection: Connection,
        id: &str,
        bytes: &[u8],
        client_timeout: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Option<Connection> {
        let sent = connection.stream.write_all(bytes).is_ok();
        self.record.with(|record| {
            if let Some(request) = record.requests.get_mut(id) {
                request.resent = true;
                request.on_new_connection = true;
                request.sent = self.record.now();
                request.end = if sent { RequestOutcome::Open } else { RequestOutcome::Unsent };
            }
        });
        let reusable = sent && self.read_answer(&mut connection, id, client_timeout, None, rng);
        connection.requests += 1;
        reusable.then_some(connection)
    }

    fn send(&self, stream: &mut TcpStream, bytes: &[u8], rng: &mut ChaCha8Rng) -> bool {
        if self.behavior != ClientBehavior::WritesSlowly {
            return stream.write_all(bytes).is_ok();
        }
        let pieces = rng.random_range(2..8);
        bytes.chunks(bytes.len().div_ceil(pieces)).all(|piece| {
            std::thread::sleep(Duration::from_millis(rng.random_range(1..60)));
            stream.write_all(piece).is_ok()
        })
    }

    /// Reads an answer. Returns whether the connection can be reused.
    fn read_answer(
        &self,
        connection: &mut Connection,
        id: &str,
        client_timeout: Duration,
        leave_after: Option<Duration>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let answer_wait_start = Instant::now();
        let (mut reader, mut buffer) = (ResponseReader::new(MAX_HEAD_BYTES), [0; 4 << 10]);
        let (mut status, mut first) = (0, None);
        let mut text = Vec::new();
        let record_outcome = |end: RequestOutcome| {
            self.record.with(|record| {
                if let Some(request) = record.requests.get_mut(id) {
                    request.end = end;
                }
            });
        };
        loop {
            let deadline = match (leave_after, first) {
                (Some(leave_after), _) => answer_wait_start + leave_after,
                (None, None) => answer_wait_start + client_timeout + ANSWER_GRACE,
                (None, Some(_)) => answer_wait_start + MAX_STREAM_DURATION,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = connection.stream.shutdown(std::net::Shutdown::Both);
                let now = self.record.now();
                self.record.with(|record| {
                    if let Some(request) = record.requests.get_mut(id) {
                        request.left = leave_after.is_some().then_some(now);
                        if let (None, Some(first)) = (leave_after, first) {
                            request.end = RequestOutcome::Answered { status, whole: false, first, at: now };
                        }
                    }
                });
                return false;
            }
            let _ = connection.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let max_read = if self.behavior == ClientBehavior::ReadsSlowly { 512 } else { buffer.len() };
            let count = match connection.stream.read(&mut buffer[..max_read]) {
                Ok(count) => count,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => 0,
            };
            let now = self.record.now();
            if count == 0 {
                record_outcome(match first {
                    Some(first) => RequestOutcome::Answered { status, whole: false, first, at: now },
                    None => RequestOutcome::Dropped { at: now },
                });
                return false;
            }
            let first_at = *first.get_or_insert(now);
            reader.push(&buffer[..count]);
            loop {
                match reader.next_part() {
                    Ok(Some(Part::Head(s, _))) => status = s,
                    Ok(Some(Part::Body(bytes))) => {
                        text.extend_from_slice(&bytes);
                        self.record_delayed_events(id, &mut text);
                    }
                    Ok(Some(Part::End(reusable))) => {
                        record_outcome(RequestOutcome::Answered {
                            status,
                            whole: true,
                            first: first_at,
                            at: now,
                        });
                        return reusable;
                    }
                    Ok(None) => break,
                    Err(_) => {
                        record_outcome(RequestOutcome::Answered {
                            status: 0,
                            whole: false,
                            first: first_at,
                            at: now,
                        });
                        return false;
                    }
                }
            }
            if self.behavior == ClientBehavior::ReadsSlowly {
                pause(rng, 1, 40);
            }
        }
    }

    /// Records how long events took from the engine to the client, by the write time that each event carries.
    fn record_delayed_events(&self, id: &str, text: &mut Vec<u8>) {
        const TIME_FIELD: &[u8] = b"{\"at\":";
        let now = self.record.now();
        while let Some(end) = text.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            let Some(at) = event.windows(TIME_FIELD.len()).position(|w| w == TIME_FIELD) else { continue };
            let digits: String = event[at + TIME_FIELD.len()..]
                .iter()
                .take_while(|b| b.is_ascii_digit())
                .map(|b| *b as char)
                .collect();
            let Ok(written) = digits.parse() else { continue };
            let delay = now.saturating_sub(Duration::from_micros(written));
            self.record.with(|record| {
                if let Some(request) = record.requests.get_mut(id) {
                    request.most_held_back = request.most_held_back.max(delay);
                }
            });
        }
    }

    /// Sends malformed or incomplete data, and records when an error or the end of the connection comes.
    fn send_malformed(&self, rng: &mut ChaCha8Rng) {
        let whole = request(&format!("{}-bad", self.name), Class::Safe, self.client_timeout, false);
        let health_check = b"GET /up HTTP/1.1\r\n\r\n";
        let (bytes, closes_at_once) = match rng.random_range(0..7) {
            0 => (whole[..rng.random_range(1..whole.len())].to_vec(), false),
            1 => (b"\x16\x03\x01 noise\r\n\r\n".to_vec(), false),
            2 => (Vec::new(), false),
            3 => (health_check.repeat(rng.random_range(50..3_000)), true),
            4 => ([health_check.as_slice(), &whole[..whole.len() / 2]].concat(), false),
            5 => (whole.repeat(30), true),
            _ => (b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_vec(), false),
        };
        let Some(mut connection) = self.connect() else { return };
        let connected = self.record.now();
        let _ = connection.stream.set_write_timeout(Some(CONNECT_TIMEOUT));
        let _ = connection.stream.write_all(&bytes);
        if closes_at_once {
            return;
        }
        let (deadline, mut buffer) = (Instant::now() + MALFORMED_ANSWER_TIMEOUT, [0; 4 << 10]);
        let mut served_at = None;
        let mut received = Vec::new();
        while served_at.is_none() && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = connection.stream.set_read_timeout(Some(left));
            match connection.stream.read(&mut buffer) {
                Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                _ => served_at = Some(self.record.now()),
            }
            let contains = |mark: &[u8]| received.windows(mark.len()).any(|w| w == mark);
            if contains(b"HTTP/1.1 4") || contains(b"HTTP/1.1 5") {
                served_at = Some(self.record.now());
            }
        }
        let bad = BadClient { node: self.node, connected, served_at };
        self.record.with(|record| record.bad_clients.push(bad));
    }
}

fn pause(rng: &mut ChaCha8Rng, min_ms: u64, max_ms: u64) {
    std::thread::sleep(Duration::from_millis(rng.random_range(min_ms..max_ms)));
}

/// The bytes of a request. A long one has a body of 200 KiB, which exceeds the socket buffers.
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

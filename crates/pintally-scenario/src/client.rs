//! A client: one try over a socket of its own, recorded at this end.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use pintally_audit::{Answer, AuditEvent};
use pintally_http::{request, Part, ResponseReader, SseReader};
use pintally_mock_engine::Recorder;
use serde_json::{json, Value};

/// Time to connect: longer than any node takes that lives.
const CONNECT: Duration = Duration::from_millis(1000);
/// A running stream that is silent for so long counts as dead.
const SILENCE: Duration = Duration::from_secs(60);
/// After the final answer it listens so long for more than that.
const LISTEN: Duration = Duration::from_millis(50);

/// One try of a request.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct ClientAttempt {
    /// The client's id, of this try alone.
    pub id: String,
    /// The node that it goes to, and its name in the record.
    pub node: String,
    pub address: SocketAddr,
    pub class: String,
    pub tenant: Option<String>,
    pub session: u64,
    pub prefix: Option<u64>,
    pub prefix_tokens: u64,
    pub prompt: String,
    pub max_tokens: u64,
    pub patience: Duration,
    pub streamed: bool,
    /// It leaves of its own will after this time, if it has no answer by then.
    pub leaves: Option<Duration>,
}

/// How a try has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// No connection could be had: nobody has taken it.
    NoNode,
    /// A final answer, and the time to come back that it names.
    Answered(Answer, Option<Duration>),
    /// It left of its own will.
    Left,
    /// Its time was up, or the connection ended without an answer.
    Unanswered,
}

/// Makes tries and notes what comes of them.
#[derive(Clone)]
pub struct Client {
    /// Where it notes.
    pub recorder: Recorder,
}

enum Heard {
    Whole(u16, Option<Duration>),
    Stream { whole: bool },
    Left,
    Nothing,
}

impl Client {
    /// Makes one try and waits for its end.
    pub fn attempt(&self, t: &ClientAttempt) -> AttemptResult {
        let Ok(mut stream) = TcpStream::connect_timeout(&t.address, CONNECT) else {
            return AttemptResult::NoNode;
        };
        let _ = stream.set_nodelay(true);
        let deadline_ms = t.patience.as_millis() as u64;
        let body = json!({
            "id": t.id,
            "text_input": t.prompt,
            "parameters": {
                "class": t.class,
                "tenant": t.tenant,
                "session": t.session,
                "prefix": t.prefix,
                "prefix_tokens": t.prefix_tokens,
                "max_tokens": t.max_tokens,
                "deadline_ms": deadline_ms,
            },
        });
        let verb = if t.streamed { "generate_stream" } else { "generate" };
        let headers = [("host", "node"), ("content-type", "application/json"), ("connection", "close")];
        let target = format!("/v2/models/default/{verb}");
        let bytes = request("POST", &target, &headers, body.to_string().as_bytes());
        let request = t.id.clone();
        self.recorder.note(AuditEvent::RequestSent {
            request: request.clone(),
            node: t.node.clone(),
            class: t.class.clone(),
            tenant: t.tenant.clone(),
            patience_us: deadline_ms * 1000,
            streamed: t.streamed,
        });
        let begin = Instant::now();
        let heard = match stream.write_all(&bytes) {
            Ok(()) => self.listen(t, &mut stream, begin),
            Err(_) => Heard::Nothing,
        };
        let (answer, after) = match heard {
            Heard::Whole(200, _) => (Answer::Served, None),
            Heard::Whole(503, after) => (Answer::Refused, after),
            Heard::Whole(..) => (Answer::Failed, None),
            Heard::Stream { whole: true } => (Answer::Served, None),
            Heard::Stream { whole: false } => (Answer::Cut, None),
            Heard::Left => {
                self.recorder.note(AuditEvent::ClientLeft { request });
                return AttemptResult::Left;
            }
            Heard::Nothing => {
                self.recorder.note(AuditEvent::Unanswered { request });
                return AttemptResult::Unanswered;
            }
        };
        self.recorder.note(AuditEvent::Answered { request: request.clone(), answer });
        // Nothing may come behind the final answer.
        let _ = stream.set_read_timeout(Some(LISTEN));
        if matches!(stream.read(&mut [0u8; 64]), Ok(n) if n > 0) {
            self.recorder.note(AuditEvent::ExtraAnswer { request });
        }
        AttemptResult::Answered(answer, after)
    }

    fn listen(&self, t: &ClientAttempt, stream: &mut TcpStream, begin: Instant) -> Heard {
        let deadline = begin + t.patience;
        let leaves = t.leaves.map(|after| begin + after);
        let mut reader = ResponseReader::new(64 << 10);
        let mut sse = SseReader::new(4 << 20);
        let (mut status, mut after, mut first) = (0, None, false);
        let (mut streams, mut ending) = (false, None);
        let mut buffer = [0u8; 16 << 10];
        loop {
            loop {
                match reader.next_part() {
                    Err(_) => return Heard::Nothing,
                    Ok(None) => break,
                    Ok(Some(Part::Head(s, headers))) => {
                        status = s;
                        streams = headers.get("content-type") == Some("text/event-stream");
                        let ms = headers.get("retry-after-ms").and_then(|v| v.parse().ok());
                        after = ms.map(Duration::from_millis);
                    }
                    Ok(Some(Part::Body(bytes))) => {
                        if streams && !std::mem::replace(&mut first, true) {
                            self.recorder.note(AuditEvent::FirstChunk { request: t.id.clone() });
                        }
                        if sse.push(&bytes).is_err() {
                            return Heard::Nothing;
                        }
                        while let Some(event) = sse.next_event() {
                            let event: Value = serde_json::from_slice(&event).unwrap_or_default();
                            ending = event["finished"].as_bool().or(ending);
                        }
                    }
                    Ok(Some(Part::End(_))) if reader.leftover_bytes() > 0 => {
                        // It came together with more: a second answer must not hide behind the first.
                        self.recorder.note(AuditEvent::ExtraAnswer { request: t.id.clone() });
                        return match ending {
                            Some(whole) => Heard::Stream { whole },
                            None => Heard::Whole(status, after),
                        };
                    }
                    Ok(Some(Part::End(_))) if streams => {
                        return match ending {
                            Some(whole) => Heard::Stream { whole },
                            None => Heard::Nothing,
                        }
                    }
                    Ok(Some(Part::End(_))) => return Heard::Whole(status, after),
                }
            }
            let now = Instant::now();
            let mut until = if first && t.streamed { now + SILENCE } else { deadline };
            if let Some(leaves) = leaves.filter(|_| !first) {
                if now >= leaves {
                    return Heard::Left;
                }
                until = until.min(leaves);
            }
            let mut left = until.saturating_duration_since(now);
            if left.is_zero() {
                // A machine that is late delays the answer as it delays the client: the audit judges
                // by the time at which it came.
                left = (until + self.recorder.lateness()).saturating_duration_since(now);
                if left.is_zero() {
                    return Heard::Nothing;
                }
            }
            let _ = stream.set_read_timeout(Some(left));
            match stream.read(&mut buffer) {
                Ok(0) => return Heard::Nothing,
                Ok(n) => reader.push(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Heard::Nothing,
            }
        }
    }
}

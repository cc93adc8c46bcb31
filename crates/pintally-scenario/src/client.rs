//! A client that makes one attempt per connection and records what it observes.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use pintally_audit::{Answer, AuditEvent};
use pintally_http::{request, Part, ResponseReader, SseReader};
use pintally_mock_engine::Recorder;
use serde_json::{json, Value};

/// Connect timeout; longer than a running node ever takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A stream that delivers nothing for this time counts as dead.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the client reads on after the final answer, to detect extra data.
const EXTRA_DATA_WAIT: Duration = Duration::from_millis(50);

/// One attempt of a client's request.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct ClientAttempt {
    /// The request id, unique to this attempt.
    pub id: String,
    /// Name of the target node, as recorded.
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
    /// The client disconnects after this time if no answer has begun.
    pub leaves_after: Option<Duration>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The connection failed, so no node received the request.
    NoNode,
    /// A final answer, and its retry-after time if it names one.
    Answered(Answer, Option<Duration>),
    /// The client disconnected early, as `leaves_after` demands.
    Left,
    /// The deadline passed, or the connection ended without an answer.
    Unanswered,
}

/// Makes attempts and records their outcomes.
#[derive(Clone)]
pub struct Client {
    /// Receives the client's events.
    pub recorder: Recorder,
}

enum Received {
    Complete(u16, Option<Duration>),
    Stream { finished: bool },
    Left,
    NoAnswer,
}

impl Client {
    /// Makes one attempt and waits for its end.
    pub fn attempt(&self, attempt: &ClientAttempt) -> AttemptResult {
        let Ok(mut stream) = TcpStream::connect_timeout(&attempt.address, CONNECT_TIMEOUT) else {
            return AttemptResult::NoNode;
        };
        let _ = stream.set_nodelay(true);
        let deadline_ms = attempt.patience.as_millis() as u64;
        let body = json!({
            "id": attempt.id,
            "text_input": attempt.prompt,
            "parameters": {
                "class": attempt.class,
                "tenant": attempt.tenant,
                "session": attempt.session,
                "prefix": attempt.prefix,
                "prefix_tokens": attempt.prefix_tokens,
                "max_tokens": attempt.max_tokens,
                "deadline_ms": deadline_ms,
            },
        });
        let verb = if attempt.streamed { "generate_stream" } else { "generate" };
        let headers = [("host", "node"), ("content-type", "application/json"), ("connection", "close")];
        let target = format!("/v2/models/default/{verb}");
        let bytes = request("POST", &target, &headers, body.to_string().as_bytes());
        let request = attempt.id.clone();
        self.recorder.note(AuditEvent::RequestSent {
            request: request.clone(),
            node: attempt.node.clone(),
            class: attempt.class.clone(),
            tenant: attempt.tenant.clone(),
            patience_us: deadline_ms * 1000,
            streamed: attempt.streamed,
        });
        let started_at = Instant::now();
        let received = match stream.write_all(&bytes) {
            Ok(()) => self.receive(attempt, &mut stream, started_at),
            Err(_) => Received::NoAnswer,
        };
        let (answer, retry_after) = match received {
            Received::Complete(200, _) => (Answer::Served, None),
            Received::Complete(503, retry_after) => (Answer::Refused, retry_after),
            Received::Complete(..) => (Answer::Failed, None),
            Received::Stream { finished: true } => (Answer::Served, None),
            Received::Stream { finished: false } => (Answer::Cut, None),
            Received::Left => {
                self.recorder.note(AuditEvent::ClientLeft { request });
                return AttemptResult::Left;
            }
            Received::NoAnswer => {
                self.recorder.note(AuditEvent::Unanswered { request });
                return AttemptResult::Unanswered;
            }
        };
        self.recorder.note(AuditEvent::Answered { request: request.clone(), answer });
        // No data may follow the final answer.
        let _ = stream.set_read_timeout(Some(EXTRA_DATA_WAIT));
        if matches!(stream.read(&mut [0u8; 64]), Ok(n) if n > 0) {
            self.recorder.note(AuditEvent::ExtraAnswer { request });
        }
        AttemptResult::Answered(answer, retry_after)
    }

    fn receive(&self, attempt: &ClientAttempt, stream: &mut TcpStream, started_at: Instant) -> Received {
        let deadline = started_at + attempt.patience;
        let leave_at = attempt.leaves_after.map(|delay| started_at + delay);
        let mut reader = ResponseReader::new(64 << 10);
        let mut sse = SseReader::new(4 << 20);
        let (mut status, mut retry_after, mut first_seen) = (0, None, false);
        let (mut is_stream, mut finished) = (false, None);
        let mut buffer = [0u8; 16 << 10];
        loop {
            loop {
                match reader.next_part() {
                    Err(_) => return Received::NoAnswer,
                    Ok(None) => break,
                    Ok(Some(Part::Head(s, headers))) => {
                        status = s;
                        is_stream = headers.get("content-type") == Some("text/event-stream");
                        let ms = headers.get("retry-after-ms").and_then(|v| v.parse().ok());
                        retry_after = ms.map(Duration::from_millis);
                    }
                    Ok(Some(Part::Body(bytes))) => {
                        if is_stream && !std::mem::replace(&mut first_seen, true) {
                            self.recorder.note(AuditEvent::FirstChunk { request: attempt.id.clone() });
                        }
                        if sse.push(&bytes).is_err() {
                            return Received::NoAnswer;
                        }
                        while let Some(event) = sse.next_event() {
                            let event: Value = serde_json::from_slice(&event).unwrap_or_default();
                            finished = event["finished"].as_bool().or(finished);
                        }
                    }
                    Ok(Some(Part::End(_))) if reader.leftover_bytes() > 0 => {
                        // Extra data arrived in the same read as the end of the answer. It is recorded, because it
                        // may be a second answer.
                        self.recorder.note(AuditEvent::ExtraAnswer { request: attempt.id.clone() });
                        return match finished {
                            Some(finished) => Received::Stream { finished },
                            None => Received::Complete(status, retry_after),
                        };
                    }
                    Ok(Some(Part::End(_))) if is_stream => {
                        return match finished {
                            Some(finished) => Received::Stream { finished },
                            None => Received::NoAnswer,
                        }
                    }
                    Ok(Some(Part::End(_))) => return Received::Complete(status, retry_after),
                }
            }
            let now = Instant::now();
            let mut until = if first_seen && attempt.streamed { now + STREAM_IDLE_TIMEOUT } else { deadline };
            if let Some(leave_at) = leave_at.filter(|_| !first_seen) {
                if now >= leave_at {
                    return Received::Left;
                }
                until = until.min(leave_at);
            }
            let mut remaining = until.saturating_duration_since(now);
            if remaining.is_zero() {
                // A stalled machine delays the answer as much as the client, so the client waits longer; the
                // audit judges by the time at which the answer arrived.
                remaining = (until + self.recorder.lateness()).saturating_duration_since(now);
                if remaining.is_zero() {
                    return Received::NoAnswer;
                }
            }
            let _ = stream.set_read_timeout(Some(remaining));
            match stream.read(&mut buffer) {
                Ok(0) => return Received::NoAnswer,
                Ok(n) => reader.push(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Received::NoAnswer,
            }
        }
    }
}

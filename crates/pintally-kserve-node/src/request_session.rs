//! One request in its client's thread: messages of the decision thread in, attempts and the one final
//! answer out.

use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, TryRecvError};
use pintally::interface::{AttemptNumber, Micros, Outcome, RequestId};
use pintally_host::{FinalAnswer, IncomingRequest, Input, RequestNumber};
use pintally_http::{chunk, header_line, response, response_head, sse_event, LAST_CHUNK};
use pintally_kserve::{self as kserve, InferenceEndpoint, InferenceRequest};
use tracing::debug;

use crate::attempt;
use crate::shared::{DecisionMessage, RequestMailbox, RequestMessage, Shared};
use crate::wait::{wait, ClientInterest, Waker};

/// The most messages that a request can have open: an attempt, its cancellation, an answer and the end,
/// with as many to spare.
const MAX_OPEN_MESSAGES: usize = 8;
/// The longest answer that is collected before it goes out complete.
const MAX_COLLECTED_BYTES: usize = 16 << 20;
/// Microseconds in the units of `retry-after` and `retry-after-ms`.
const MICROS_PER_SECOND: Micros = 1_000_000;
const MICROS_PER_MILLI: Micros = 1000;

/// What is to be done with a client connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// It may carry the next request.
    KeepAlive,
    /// It is of no more use.
    Close,
}

impl Connection {
    /// After an answer was written, or could not be.
    pub(crate) fn after(written: io::Result<()>) -> Connection {
        Connection::usable(written.is_ok())
    }

    fn usable(usable: bool) -> Connection {
        if usable {
            Connection::KeepAlive
        } else {
            Connection::Close
        }
    }
}

/// A client's request for inference.
pub(crate) struct ClientRequest {
    pub(crate) inference: InferenceRequest,
    pub(crate) endpoint: InferenceEndpoint,
    pub(crate) model: String,
    pub(crate) keep_alive: bool,
}

/// A request in its thread.
pub(crate) struct RequestSession<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) client: &'a mut TcpStream,
    pub(crate) waker: &'a Waker,
    pub(crate) messages: Receiver<RequestMessage>,
    pub(crate) request: &'a ClientRequest,
    pub(crate) ticket: RequestNumber,
    /// The attempt in flight. Where the thread ends before it, the host still learns of its end.
    pub(crate) attempt: Option<AttemptNumber>,
    /// The client has left, and the host is notified.
    pub(crate) client_left: bool,
    request_id: Option<RequestId>,
    answered: bool,
    /// The host has nothing more for this request.
    finished: bool,
    /// The head of a streamed answer has gone out.
    head_sent: bool,
    /// Text that has not gone out.
    unsent_text: String,
}

/// Serves a request to its end.
pub(crate) fn run(
    shared: &Shared,
    client: &mut TcpStream,
    waker: &Arc<Waker>,
    request: &ClientRequest,
    incoming: IncomingRequest,
) -> Connection {
    let (sender, messages) = bounded(MAX_OPEN_MESSAGES);
    let ticket = incoming.number;
    let mailbox = RequestMailbox { sender, waker: waker.clone() };
    if !submit(shared, incoming, mailbox) {
        shared.counters.turned_away.fetch_add(1, Ordering::Relaxed);
        let written = reject(client, None, request.keep_alive);
        return Connection::usable(written.is_ok() && request.keep_alive);
    }
    let mut session = RequestSession {
        shared,
        client,
        waker,
        messages,
        request,
        ticket,
        attempt: None,
        client_left: false,
        request_id: None,
        answered: false,
        finished: false,
        head_sent: false,
        unsent_text: String::new(),
    };
    session.serve();
    Connection::usable(session.finished && request.keep_alive && !session.client_left)
}

/// Hands a request to the decision thread; `false` if that has too much to do, or the node shuts down. The
/// last quarter of the channel is for requests that already run.
fn submit(shared: &Shared, incoming: IncomingRequest, mailbox: RequestMailbox) -> bool {
    let capacity = shared.decide.capacity().unwrap_or(usize::MAX);
    if shared.decide.len() > capacity / 4 * 3 || shared.is_closing() {
        return false;
    }
    shared.decide.try_send(DecisionMessage::RequestArrived(incoming, mailbox)).is_ok()
}

impl RequestSession<'_> {
    /// Handles messages until the host has nothing more for this request.
    fn serve(&mut self) {
        while !self.finished && !self.shared.is_dead() {
            match self.messages.try_recv() {
                Ok(RequestMessage::Attempt(order)) => {
                    self.request_id.get_or_insert_with(|| order.request.clone());
                    attempt::run(self, order);
                }
                Ok(RequestMessage::Answer(answer)) => self.finish(answer),
                Ok(RequestMessage::Finished) => self.finished = true,
                // The attempt has ended meanwhile.
                Ok(RequestMessage::Cancel(_)) => {}
                Err(TryRecvError::Disconnected) => return,
                Err(TryRecvError::Empty) => self.wait_for_message(),
            }
        }
    }

    /// Waits for a message, or for the client to leave.
    fn wait_for_message(&mut self) {
        let interest = if self.answered { ClientInterest::Nothing } else { self.client_interest() };
        match wait(self.waker, Some((self.client.as_fd(), interest)), None, None) {
            Ok(ready) if !ready.client => {}
            Ok(_) | Err(_) => self.client_has_left(),
        }
    }

    /// Notifies the host, once, that the client has left.
    pub(crate) fn client_has_left(&mut self) {
        if !std::mem::replace(&mut self.client_left, true) && !self.answered {
            self.shared.send_input(Input::ClientLeft(self.ticket));
        }
    }

    /// What is waited for at the client while an attempt is in flight.
    pub(crate) fn client_interest(&self) -> ClientInterest {
        if self.client_left {
            ClientInterest::Nothing
        } else {
            ClientInterest::HangUp
        }
    }

    /// Adds text of the answer.
    pub(crate) fn push_text(&mut self, text: &str) {
        self.unsent_text.push_str(text);
    }

    /// Sends the text that has come in, if the answer streams; `false` if the client does not take it, or
    /// the answer has grown too long.
    pub(crate) fn flush(&mut self) -> bool {
        if self.request.endpoint != InferenceEndpoint::GenerateStream {
            return self.unsent_text.len() <= MAX_COLLECTED_BYTES;
        }
        if self.unsent_text.is_empty() || self.client_left || self.answered {
            return !self.client_left;
        }
        let part = kserve::stream_part(&self.request.model, &self.answer_id(), &self.unsent_text);
        self.unsent_text.clear();
        let mut bytes = self.stream_head();
        bytes.extend(chunk(&sse_event(&part)));
        if self.write(&bytes).is_err() {
            self.client_has_left();
        }
        !self.client_left
    }

    /// The head of a streamed answer; empty if it has gone out.
    fn stream_head(&mut self) -> Vec<u8> {
        if std::mem::replace(&mut self.head_sent, true) {
            return Vec::new();
        }
        let id = self.request_id();
        let mut headers = vec![("content-type", "text/event-stream"), ("cache-control", "no-cache")];
        if !id.is_empty() {
            headers.push(("x-request-id", id.as_str()));
        }
        response_head(200, &headers)
    }

    /// Gives the one final answer.
    pub(crate) fn finish(&mut self, answer: FinalAnswer) {
        if std::mem::replace(&mut self.answered, true) || self.client_left {
            return;
        }
        debug!(request_id = self.request_id(), ?answer, "request answered");
        if let Err(error) = self.write_answer(answer) {
            self.shared.counters.unwritten.fetch_add(1, Ordering::Relaxed);
            debug!(request_id = self.request_id(), %error, "answer not written");
            self.client_left = true;
        }
    }

    fn write_answer(&mut self, answer: FinalAnswer) -> io::Result<()> {
        let (model, id) = (&self.request.model, self.answer_id());
        match answer {
            FinalAnswer::Served => match self.request.endpoint {
                InferenceEndpoint::GenerateStream => self.end_stream(&kserve::stream_end(model, &id)),
                InferenceEndpoint::Infer => {
                    self.write_body(200, &kserve::infer_response(model, &id, &self.unsent_text))
                }
                InferenceEndpoint::Generate => {
                    self.write_body(200, &kserve::generate_response(model, &id, &self.unsent_text))
                }
            },
            _ if self.head_sent => self.end_stream(&kserve::stream_error("the answer was cut off")),
            FinalAnswer::Rejected(retry_after) => reject(self.client, retry_after, self.request.keep_alive),
            FinalAnswer::Failed | FinalAnswer::StreamCut => {
                self.write_body(502, &kserve::error_body("the request failed", false))
            }
        }
    }

    fn end_stream(&mut self, event: &str) -> io::Result<()> {
        let mut bytes = self.stream_head();
        bytes.extend(chunk(&sse_event(event)));
        bytes.extend_from_slice(LAST_CHUNK);
        self.write(&bytes)
    }

    /// Writes an answer that does not stream.
    fn write_body(&mut self, status: u16, body: &str) -> io::Result<()> {
        let id = self.request_id();
        let mut headers = vec![("content-type", "application/json")];
        if !id.is_empty() {
            headers.push(("x-request-id", id.as_str()));
        }
        if !self.request.keep_alive {
            headers.push(("connection", "close"));
        }
        self.write(&response(status, &headers, body.as_bytes()))
    }

    /// Writes all of it within the write timeout, however slowly the client takes it.
    fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let timeout = Duration::from_micros(self.shared.settings.limits.write_timeout);
        let deadline = Instant::now() + timeout;
        while !bytes.is_empty() {
            match self.client.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            let timed_out = deadline.saturating_duration_since(Instant::now()).is_zero();
            if !bytes.is_empty() && (timed_out || self.shared.is_dead()) {
                return Err(ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }

    /// The id that the answer carries: the client's own, or the node's.
    fn answer_id(&self) -> String {
        self.request.inference.id.clone().unwrap_or_else(|| self.request_id())
    }

    /// The node's id of the request; empty before the first attempt.
    fn request_id(&self) -> String {
        self.request_id.as_ref().map(|id| id.0.to_string()).unwrap_or_default()
    }
}

/// Guards against a thread that ends without its request: nothing may wait for it for ever.
impl Drop for RequestSession<'_> {
    fn drop(&mut self) {
        if self.finished || self.shared.is_dead() {
            return;
        }
        if let Some(attempt) = self.attempt.take() {
            self.shared.send_input(Input::AttemptEnded {
                number: self.ticket,
                attempt,
                outcome: Outcome::ConnectionBroken,
                cached_tokens: 0,
                load: None,
                state: None,
            });
        }
        self.client_has_left();
    }
}

/// Rejects a request for overload, with the time after which to retry if there is one.
fn reject(client: &mut TcpStream, retry_after: Option<Micros>, keep_alive: bool) -> io::Result<()> {
    let body = kserve::error_body("no room: try again", true);
    let mut head = format!("HTTP/1.1 503 Service Unavailable\r\ncontent-length: {}\r\n", body.len());
    header_line(&mut head, "content-type", "application/json");
    if let Some(after) = retry_after {
        header_line(&mut head, "retry-after", &after.div_ceil(MICROS_PER_SECOND).to_string());
        header_line(&mut head, "retry-after-ms", &after.div_ceil(MICROS_PER_MILLI).to_string());
    }
    if !keep_alive {
        header_line(&mut head, "connection", "close");
    }
    head.push_str("\r\n");
    head.push_str(&body);
    client.write_all(head.as_bytes())
}

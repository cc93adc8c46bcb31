//! One request in its client's thread: receives messages of the decision thread, makes attempts and writes
//! the one final answer.

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
use crate::client_input::{ClientInput, ClientPresence};
use crate::shared::{DecisionMessage, RequestMailbox, RequestMessage, Shared};
use crate::wait::{wait, ClientInterest, Waker};

/// Capacity of a request's mailbox: twice the number of messages that can be open at once, which are an
/// attempt, its cancellation, an answer and the end.
const MAX_OPEN_MESSAGES: usize = 8;
/// Maximum length of an answer that is collected and sent at once.
const MAX_COLLECTED_BYTES: usize = 16 << 20;
/// Microseconds per unit of `retry-after` and of `retry-after-ms`.
const MICROS_PER_SECOND: Micros = 1_000_000;
const MICROS_PER_MILLI: Micros = 1000;

/// What to do with a client connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// Keep it open for the next request.
    KeepAlive,
    /// Close it.
    Close,
}

impl ConnectionAction {
    /// Keeps the connection open if the response was written.
    pub(crate) fn after_write(written: io::Result<()>) -> ConnectionAction {
        ConnectionAction::keep_alive_if(written.is_ok())
    }

    fn keep_alive_if(reusable: bool) -> ConnectionAction {
        if reusable {
            ConnectionAction::KeepAlive
        } else {
            ConnectionAction::Close
        }
    }
}

/// A client's inference request.
pub(crate) struct ClientRequest {
    pub(crate) inference: InferenceRequest,
    pub(crate) endpoint: InferenceEndpoint,
    pub(crate) model: String,
    pub(crate) keep_alive: bool,
}

/// The state of a request in its thread.
pub(crate) struct RequestSession<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) client: &'a mut TcpStream,
    input: ClientInput<'a>,
    pub(crate) waker: &'a Waker,
    pub(crate) messages: Receiver<RequestMessage>,
    pub(crate) request: &'a ClientRequest,
    pub(crate) request_number: RequestNumber,
    /// The attempt in flight. If the thread ends before the attempt, the drop reports its end to the host.
    pub(crate) attempt: Option<AttemptNumber>,
    /// Whether the client has left. The host is notified of it unless the request was answered.
    pub(crate) client_left: bool,
    request_id: Option<RequestId>,
    /// Whether the final answer was sent, or dropped because the client had left.
    answered: bool,
    /// Whether the host has finished the request, so that no more messages follow.
    finished: bool,
    /// Whether the response head of a streamed answer was sent.
    head_sent: bool,
    /// Text of the answer that is not sent yet.
    unsent_text: String,
}

/// Serves a request until the host has finished it.
pub(crate) fn run(
    shared: &Shared,
    client: &mut TcpStream,
    waker: &Arc<Waker>,
    request: &ClientRequest,
    input: ClientInput,
    incoming: IncomingRequest,
) -> ConnectionAction {
    let (sender, messages) = bounded(MAX_OPEN_MESSAGES);
    let request_number = incoming.number;
    let mailbox = RequestMailbox { sender, waker: waker.clone() };
    if !submit(shared, incoming, mailbox) {
        shared.counters.turned_away.fetch_add(1, Ordering::Relaxed);
        let written = reject(client, None, request.keep_alive);
        return ConnectionAction::keep_alive_if(written.is_ok() && request.keep_alive);
    }
    let mut session = RequestSession {
        shared,
        client,
        input,
        waker,
        messages,
        request,
        request_number,
        attempt: None,
        client_left: false,
        request_id: None,
        answered: false,
        finished: false,
        head_sent: false,
        unsent_text: String::new(),
    };
    session.serve();
    ConnectionAction::keep_alive_if(session.finished && request.keep_alive && !session.client_left)
}

/// Passes a request to the decision thread; `false` if its channel is too full or the node shuts down. The
/// last quarter of the channel is reserved for requests that already run.
fn submit(shared: &Shared, incoming: IncomingRequest, mailbox: RequestMailbox) -> bool {
    let capacity = shared.decision_sender.capacity().unwrap_or(usize::MAX);
    if shared.decision_sender.len() > capacity / 4 * 3 || shared.is_closing() {
        return false;
    }
    shared.decision_sender.try_send(DecisionMessage::RequestArrived(incoming, mailbox)).is_ok()
}

impl RequestSession<'_> {
    /// Handles messages until the host has finished the request.
    fn serve(&mut self) {
        while !self.finished && !self.shared.is_dead() {
            match self.messages.try_recv() {
                Ok(RequestMessage::Attempt(order)) => {
                    self.request_id.get_or_insert_with(|| order.request.clone());
                    attempt::run(self, order);
                }
                Ok(RequestMessage::Answer(answer)) => self.send_final_answer(answer),
                Ok(RequestMessage::Finished) => self.finished = true,
                // The attempt has already ended.
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
            Ok(_) | Err(_) => self.notify_client_left(),
        }
    }

    /// Notifies the host that the client has left, at the first call and only if the request is not answered.
    pub(crate) fn notify_client_left(&mut self) {
        if !std::mem::replace(&mut self.client_left, true) && !self.answered {
            self.shared.send_input(Input::ClientLeft(self.request_number));
        }
    }

    /// Whether the client is known to be connected, so that an attempt may be sent. If it is not, the host is
    /// notified that the request ends.
    pub(crate) fn confirm_client(&mut self) -> bool {
        match self.input.read_ahead(self.client) {
            ClientPresence::Connected => return true,
            ClientPresence::Disconnected => self.notify_client_left(),
            ClientPresence::Unknown => {
                self.shared.send_input(Input::ClientUnconfirmed(self.request_number));
            }
        }
        false
    }

    /// The events to wait for on the client's socket while an attempt is in flight.
    pub(crate) fn client_interest(&self) -> ClientInterest {
        if self.client_left {
            ClientInterest::Nothing
        } else {
            ClientInterest::HangUp
        }
    }

    /// Appends text to the answer.
    pub(crate) fn push_text(&mut self, text: &str) {
        self.unsent_text.push_str(text);
    }

    /// Sends the unsent text if the answer streams. Returns `false` if the client has left, or if a collected
    /// answer is longer than [`MAX_COLLECTED_BYTES`].
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
            self.notify_client_left();
        }
        !self.client_left
    }

    /// The response head of a streamed answer; empty if it was sent already.
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

    /// Sends the final answer; does nothing if one was sent or the client has left.
    pub(crate) fn send_final_answer(&mut self, answer: FinalAnswer) {
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

    /// Writes a response that does not stream.
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

    /// Writes all bytes within the write timeout, which bounds the total time also if the client reads
    /// slowly.
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

    /// The id in the answer: the one chosen by the client, or else the node's.
    fn answer_id(&self) -> String {
        self.request.inference.id.clone().unwrap_or_else(|| self.request_id())
    }

    /// The node's id of the request; empty before the first attempt.
    fn request_id(&self) -> String {
        self.request_id.as_ref().map(|id| id.0.to_string()).unwrap_or_default()
    }
}

/// Guards against a thread that ends before its request, for example by a panic: the host would wait for the
/// request for ever.
impl Drop for RequestSession<'_> {
    fn drop(&mut self) {
        if self.finished || self.shared.is_dead() {
            return;
        }
        if let Some(attempt) = self.attempt.take() {
            self.shared.send_input(Input::AttemptEnded {
                number: self.request_number,
                attempt,
                outcome: Outcome::ConnectionBroken,
                cached_tokens: 0,
                load: None,
                state: None,
            });
        }
        self.notify_client_left();
    }
}

/// Writes the rejection of a request for overload, with the time after which to retry if there is one.
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

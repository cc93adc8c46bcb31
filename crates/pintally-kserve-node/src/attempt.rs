//! One attempt: sends the request to an engine, reads the response and enforces the timeouts.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally::interface::{LoadReport, Outcome};
use pintally_engine::{
    completion, outcome_of_transport_error, AttemptReader, Completion, Phase, Progress, Step,
};
use pintally_host::{AttemptOrder, Input};
use serde_json::Value;
use tracing::debug;

use crate::pool::PoolError;
use crate::request_session::RequestSession;
use crate::shared::{RequestMessage, Shared};
use crate::wait::{wait, EngineInterest, Ready};

/// Maximum reads from the engine's socket before the client's socket and the messages are checked again.
const MAX_READS_PER_WAKE: usize = 8;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The result of an attempt that has ended.
struct AttemptEnd {
    outcome: Outcome,
    cached_tokens: u64,
    load: Option<LoadReport>,
    /// The `kv_transfer_params` that a read returned.
    state: Option<Value>,
    /// Whether the connection may be used again.
    reusable: bool,
}

impl AttemptEnd {
    /// An end without a complete response: only the outcome is known.
    fn from_outcome(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, cached_tokens: 0, load: None, state: None, reusable: false }
    }
}

/// The timeouts of an attempt.
struct Timeouts {
    /// Deadline of the first token.
    first_token_by: Instant,
    /// Deadline of the complete answer; `None` if the answer streams or the attempt is a read.
    complete_by: Option<Instant>,
    /// Maximum time between two reads once the answer streams.
    stall_timeout: Duration,
    last_read: Instant,
}

impl Timeouts {
    fn new(shared: &Shared, order: &AttemptOrder, started: Instant) -> Timeouts {
        Timeouts {
            first_token_by: started + Duration::from_micros(order.timeout),
            complete_by: order.completion_timeout.map(|micros| started + Duration::from_micros(micros)),
            stall_timeout: Duration::from_micros(shared.settings.limits.stall_timeout),
            last_read: started,
        }
    }

    /// When the attempt times out if no more bytes arrive.
    fn deadline(&self, streaming: bool) -> Instant {
        let deadline = if streaming { self.last_read + self.stall_timeout } else { self.first_token_by };
        self.complete_by.map_or(deadline, |complete_by| deadline.min(complete_by))
    }
}

/// Runs an attempt and notifies the host of its end, unless the node is killed meanwhile.
pub(crate) fn run(session: &mut RequestSession, order: AttemptOrder) {
    let started = Instant::now();
    session.attempt = Some(order.attempt);
    let Some(end) = connect_and_exchange(session, &order, started) else { return };
    debug!(
        request_id = %order.request.0,
        cell = %order.cell,
        attempt = order.attempt,
        engine = %order.engine.0,
        step = ?order.step,
        outcome = ?end.outcome,
        elapsed_us = started.elapsed().as_micros() as u64,
        "attempt ended"
    );
    session.attempt = None;
    session.shared.send_input(Input::AttemptEnded {
        number: order.number,
        attempt: order.attempt,
        outcome: end.outcome,
        cached_tokens: end.cached_tokens,
        load: end.load,
        state: end.state.map(Arc::new),
    });
}

/// Runs the exchange on a connection of the pool; `None` if the node was killed.
fn connect_and_exchange(
    session: &mut RequestSession,
    order: &AttemptOrder,
    started: Instant,
) -> Option<AttemptEnd> {
    let shared = session.shared;
    let timeouts = Timeouts::new(shared, order, started);
    let connect_timeout = shared.settings.limits.connect_timeout.min(order.timeout);
    match shared.pool.acquire(order.address, Duration::from_micros(connect_timeout)) {
        // This node already has the maximum number of attempts in flight at the engine: treated as overload.
        Err(PoolError::LimitReached) => Some(AttemptEnd::from_outcome(Outcome::Overloaded)),
        Err(PoolError::Connect(error)) => {
            Some(AttemptEnd::from_outcome(outcome_of_transport_error(Phase::Connecting, error.kind())))
        }
        Ok(stream) if !session.confirm_client() => {
            shared.pool.return_connection(order.address, Some(stream));
            Some(AttemptEnd::from_outcome(Outcome::NeverSent))
        }
        Ok(mut stream) => {
            let end = exchange(session, order, &mut stream, timeouts);
            let reusable = end.as_ref().is_some_and(|end| end.reusable);
            shared.pool.return_connection(order.address, Some(stream).filter(|_| reusable));
            end
        }
    }
}

/// Encodes the request for the engine.
fn encode_request(session: &RequestSession, order: &AttemptOrder) -> Vec<u8> {
    let inference = &session.request.inference;
    completion(&Completion {
        step: order.step,
        model: &session.request.model,
        id: &order.request.0,
        attempt: order.attempt,
        key: inference.id.as_deref().unwrap_or(&order.request.0),
        tenant: inference.tenant.as_deref(),
        prompt: &inference.prompt,
        max_tokens: order.max_tokens,
        state: order.state.as_deref(),
    })
}

/// Sends the request and reads the answer; `None` if the node was killed.
fn exchange(
    session: &mut RequestSession,
    order: &AttemptOrder,
    stream: &mut TcpStream,
    timeouts: Timeouts,
) -> Option<AttemptEnd> {
    let request = encode_request(session, order);
    let mut exchange = EngineExchange {
        order,
        stream,
        unsent: &request,
        reader: AttemptReader::new(order.step, order.slots),
        progress: Vec::new(),
        buffer: [0; READ_BUFFER_BYTES],
        streaming: false,
        timeouts,
    };
    loop {
        let Ok(ready) = exchange.wait(session) else {
            return Some(AttemptEnd::from_outcome(Outcome::ConnectionBroken));
        };
        if session.shared.is_dead() {
            return None;
        }
        if let Some(end) = exchange.advance(session, ready) {
            return Some(end);
        }
    }
}

/// The exchange of one attempt with its engine.
struct EngineExchange<'a> {
    order: &'a AttemptOrder,
    stream: &'a mut TcpStream,
    /// Bytes of the request that are not written yet.
    unsent: &'a [u8],
    reader: AttemptReader,
    progress: Vec<Progress>,
    buffer: [u8; READ_BUFFER_BYTES],
    /// Whether the first token has arrived.
    streaming: bool,
    timeouts: Timeouts,
}

impl EngineExchange<'_> {
    fn wait(&self, session: &RequestSession) -> std::io::Result<Ready> {
        let interest = if self.unsent.is_empty() { EngineInterest::Read } else { EngineInterest::ReadWrite };
        let client = (session.client.as_fd(), session.client_interest());
        let engine = (self.stream.as_fd(), interest);
        let deadline = self.timeouts.deadline(self.streaming);
        wait(session.waker, Some(client), Some(engine), Some(deadline))
    }

    /// Processes the ready sockets and messages. Returns the attempt's end once it has ended.
    fn advance(&mut self, session: &mut RequestSession, ready: Ready) -> Option<AttemptEnd> {
        if ready.client {
            session.notify_client_left();
        }
        // Without a client, an attempt that streams ends at once. One that does not stream yet goes on until
        // the host cancels it.
        if session.client_left && self.streaming {
            return Some(AttemptEnd::from_outcome(Outcome::Cancelled));
        }
        if ready.woken && self.handle_messages(session) {
            return Some(AttemptEnd::from_outcome(Outcome::Cancelled));
        }
        if ready.engine_write {
            self.write();
        }
        if ready.engine_read {
            self.read();
            self.timeouts.last_read = Instant::now();
        }
        let end = self.process_progress(session);
        if !session.flush() && self.streaming && end.is_none() {
            let cancelled = session.client_left;
            let outcome = if cancelled { Outcome::Cancelled } else { Outcome::ConnectionBroken };
            return Some(AttemptEnd::from_outcome(outcome));
        }
        let timed_out = Instant::now() >= self.timeouts.deadline(self.streaming);
        end.or_else(|| timed_out.then(|| AttemptEnd::from_outcome(Outcome::TimedOut)))
    }

    /// Handles the decision thread's messages. Returns whether this attempt is cancelled.
    fn handle_messages(&self, session: &mut RequestSession) -> bool {
        while let Ok(message) = session.messages.try_recv() {
            match message {
                RequestMessage::Cancel(attempt) if attempt == self.order.attempt => return true,
                RequestMessage::Answer(answer) => session.send_final_answer(answer),
                RequestMessage::Cancel(_) | RequestMessage::Attempt(_) | RequestMessage::Finished => {}
            }
        }
        false
    }

    fn write(&mut self) {
        if self.unsent.is_empty() {
            return;
        }
        match self.stream.write(self.unsent) {
            Ok(count) => self.unsent = &self.unsent[count..],
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            // The engine may have answered before it closed the connection: the next read returns the answer.
            Err(_) => self.unsent = &[],
        }
    }

    /// Reads the available bytes, up to [`MAX_READS_PER_WAKE`] buffers, and parses them into `progress`.
    fn read(&mut self) {
        for _ in 0..MAX_READS_PER_WAKE {
            match self.stream.read(&mut self.buffer) {
                Ok(0) => return self.reader.closed(&mut self.progress),
                Ok(count) => {
                    self.reader.push(&self.buffer[..count], &mut self.progress);
                    if count < self.buffer.len() {
                        return;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => {
                    self.progress.push(Progress::Ended {
                        outcome: outcome_of_transport_error(Phase::Sent, error.kind()),
                        cached_tokens: 0,
                        load: None,
                        state: None,
                        reusable: false,
                    });
                    return;
                }
            }
        }
    }

    /// Passes new text to the session. Returns the attempt's end once it has ended.
    fn process_progress(&mut self, session: &mut RequestSession) -> Option<AttemptEnd> {
        let mut end = None;
        for progress in self.progress.drain(..) {
            match progress {
                // A read produces no text for the client.
                Progress::Text(_) if self.order.step == Step::Read => {}
                Progress::Text(text) => {
                    if !std::mem::replace(&mut self.streaming, true) {
                        session.shared.send_input(Input::FirstToken(self.order.number, self.order.attempt));
                    }
                    session.push_text(&text);
                }
                Progress::Ended { outcome, cached_tokens, load, state, reusable } => {
                    let reusable = reusable && self.unsent.is_empty();
                    end = Some(AttemptEnd { outcome, cached_tokens, load, state, reusable });
                }
            }
        }
        end
    }
}

//! One attempt: the request to an engine, what comes back, and the time that it may take.

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
use crate::wait::{wait, Interest, Ready};

/// How often the engine's socket is read before the client and messages are looked at again.
const MAX_READS_PER_WAKE: usize = 8;
/// Bytes that one read takes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How an attempt has ended.
struct AttemptEnd {
    outcome: Outcome,
    cached_tokens: u64,
    load: Option<LoadReport>,
    /// `kv_transfer_params` of a read.
    state: Option<Value>,
    /// Whether the connection may be used again.
    reusable: bool,
}

impl AttemptEnd {
    /// An end of which nothing but the outcome is known.
    fn of(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, cached_tokens: 0, load: None, state: None, reusable: false }
    }
}

/// The timeouts of an attempt.
struct Timeouts {
    first_token_by: Instant,
    /// The complete answer has to come by then, if it does not stream.
    complete_by: Option<Instant>,
    /// The longest silence inside a running answer.
    stall: Duration,
    last_read: Instant,
}

impl Timeouts {
    fn new(shared: &Shared, order: &AttemptOrder, started: Instant) -> Timeouts {
        Timeouts {
            first_token_by: started + Duration::from_micros(order.timeout),
            complete_by: order.completion_timeout.map(|micros| started + Duration::from_micros(micros)),
            stall: Duration::from_micros(shared.settings.limits.stall_timeout),
            last_read: started,
        }
    }

    /// When the attempt times out unless something comes before.
    fn deadline(&self, streaming: bool) -> Instant {
        let deadline = if streaming { self.last_read + self.stall } else { self.first_token_by };
        self.complete_by.map_or(deadline, |complete_by| deadline.min(complete_by))
    }
}

/// Makes an attempt and notifies the host of its end; of nothing if the node has died.
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

/// Takes a connection of the pool for the exchange; `None` if the node has died.
fn connect_and_exchange(
    session: &mut RequestSession,
    order: &AttemptOrder,
    started: Instant,
) -> Option<AttemptEnd> {
    let shared = session.shared;
    let timeouts = Timeouts::new(shared, order, started);
    let connect_timeout = shared.settings.limits.connect_timeout.min(order.timeout);
    match shared.pool.take(order.address, Duration::from_micros(connect_timeout)) {
        // As many attempts as allowed are in flight there: to this node the engine is overloaded.
        Err(PoolError::LimitReached) => Some(AttemptEnd::of(Outcome::Overloaded)),
        Err(PoolError::Connect(error)) => {
            Some(AttemptEnd::of(outcome_of_transport_error(Phase::Connecting, error.kind())))
        }
        Ok(mut stream) => {
            let end = exchange(session, order, &mut stream, timeouts);
            let reusable = end.as_ref().is_some_and(|end| end.reusable);
            shared.pool.give_back(order.address, Some(stream).filter(|_| reusable));
            end
        }
    }
}

/// The request as it goes to the engine.
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

/// Sends the request and follows the answer; `None` if the node has died.
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
            return Some(AttemptEnd::of(Outcome::ConnectionBroken));
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
    unsent: &'a [u8],
    reader: AttemptReader,
    progress: Vec<Progress>,
    buffer: [u8; READ_BUFFER_BYTES],
    /// The first token has come.
    streaming: bool,
    timeouts: Timeouts,
}

impl EngineExchange<'_> {
    fn wait(&self, session: &RequestSession) -> std::io::Result<Ready> {
        let interest = if self.unsent.is_empty() { Interest::Read } else { Interest::ReadWrite };
        let client = (session.client.as_fd(), session.client_interest());
        let engine = (self.stream.as_fd(), interest);
        let deadline = self.timeouts.deadline(self.streaming);
        wait(session.waker, Some(client), Some(engine), Some(deadline))
    }

    /// Goes on with what is ready; how the attempt has ended, if it has.
    fn advance(&mut self, session: &mut RequestSession, ready: Ready) -> Option<AttemptEnd> {
        if ready.client {
            session.client_has_left();
        }
        // What streams to nobody ends; what has not begun ends when it is cancelled.
        if session.client_left && self.streaming {
            return Some(AttemptEnd::of(Outcome::Cancelled));
        }
        if ready.woken && self.handle_messages(session) {
            return Some(AttemptEnd::of(Outcome::Cancelled));
        }
        if ready.engine_write {
            self.write();
        }
        if ready.engine_read {
            self.read();
            self.timeouts.last_read = Instant::now();
        }
        let end = self.take_progress(session);
        if !session.flush() && self.streaming && end.is_none() {
            let cancelled = session.client_left;
            let outcome = if cancelled { Outcome::Cancelled } else { Outcome::ConnectionBroken };
            return Some(AttemptEnd::of(outcome));
        }
        let timed_out = Instant::now() >= self.timeouts.deadline(self.streaming);
        end.or_else(|| timed_out.then(|| AttemptEnd::of(Outcome::TimedOut)))
    }

    /// Handles the decision thread's messages; whether this attempt is cancelled.
    fn handle_messages(&self, session: &mut RequestSession) -> bool {
        while let Ok(message) = session.messages.try_recv() {
            match message {
                RequestMessage::Cancel(attempt) if attempt == self.order.attempt => return true,
                RequestMessage::Answer(answer) => session.finish(answer),
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
            // The engine may have answered before it closed: reading shows it.
            Err(_) => self.unsent = &[],
        }
    }

    /// Reads what is there, within bounds, into progress.
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

    /// Hands text to the session; how the attempt has ended, if it has.
    fn take_progress(&mut self, session: &mut RequestSession) -> Option<AttemptEnd> {
        let mut end = None;
        for progress in self.progress.drain(..) {
            match progress {
                // A read has no answer for the client.
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

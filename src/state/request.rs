//! What a node knows about one request that it has not completed.

use super::AttemptKind;
use crate::interface::*;

/// The attempt of a request that is currently at an engine.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: AttemptNumber,
    /// Index of the engine.
    pub(crate) engine: usize,
    pub(crate) sent_at: Micros,
    pub(crate) serial: u64,
    pub(crate) kind: AttemptKind,
    /// Prompt tokens that the engine is expected to read, i.e. that are not in its cache.
    pub(crate) unread_tokens: f64,
    /// Whether its first token has arrived.
    pub(crate) started: bool,
}

/// The first attempt that may have run the request.
#[derive(Clone, Copy)]
pub(crate) struct FirstExecution {
    /// Index of the engine.
    pub(crate) engine: usize,
    pub(crate) sent_at: Micros,
}

/// A request, from its arrival until it is answered or abandoned and has no attempt in flight.
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) idempotency: Idempotency,
    pub(crate) arrived_at: Micros,
    /// When its prompt first arrived: earlier than `arrived_at` if the client sends a rejected prompt again.
    pub(crate) first_arrived_at: Micros,
    /// When its first attempt was sent.
    pub(crate) started_at: Micros,
    /// When its first token is due by its latency objective.
    pub(crate) first_token_due_at: Micros,
    /// Its class's latency objective for a prompt of its length.
    pub(crate) latency_objective: Micros,
    pub(crate) deadline: Micros,
    pub(crate) over_quota: bool,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Index of the reader that holds its read state.
    pub(crate) state_reader: Option<usize>,
    /// Whether any attempt has read its prompt. The state may still be reserved whatever later outcomes show,
    /// so every end of the request releases it.
    pub(crate) was_read: bool,
    pub(crate) first_execution: Option<FirstExecution>,
    /// Indices of the engines that it is not sent to again while there is another.
    pub(crate) tried: Vec<usize>,
    /// Whether it is waiting to be dispatched.
    pub(crate) pending: bool,
    /// When engines were health-checked before its read.
    pub(crate) checked_at: Option<Micros>,
    /// Whether it has its final answer or its client has left.
    pub(crate) closed: bool,
}

impl RequestState {
    /// Creates a pending request without attempts.
    pub(crate) fn new(
        now: Micros,
        request: Request,
        idempotency: Idempotency,
        first_arrived_at: Micros,
        latency_objective: Micros,
        over_quota: bool,
    ) -> RequestState {
        let deadline = now.saturating_add(request.client_timeout);
        RequestState {
            idempotency,
            arrived_at: now,
            started_at: now,
            first_token_due_at: first_arrived_at.saturating_add(latency_objective).min(deadline),
            latency_objective,
            first_arrived_at,
            deadline,
            over_quota,
            request,
            attempts: 0,
            in_flight: None,
            state_reader: None,
            was_read: false,
            first_execution: None,
            tried: Vec::new(),
            pending: true,
            checked_at: None,
            closed: false,
        }
    }

    /// The indices of all engines that it refers to.
    pub(crate) fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        let executed = self.first_execution.map(|execution| execution.engine);
        let in_flight = self.in_flight.map(|attempt| attempt.engine);
        let current = [executed, in_flight, self.state_reader].into_iter().flatten();
        current.chain(self.tried.iter().copied())
    }
}

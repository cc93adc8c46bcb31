//! What a node knows of one request that it has not finished with.

use super::AttemptKind;
use crate::interface::*;

/// The attempt of a request that is at an engine now.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: AttemptNumber,
    /// Index of the engine.
    pub(crate) engine: usize,
    pub(crate) sent_at: Micros,
    pub(crate) serial: u64,
    pub(crate) kind: AttemptKind,
    /// Prompt tokens that the engine is expected to read.
    pub(crate) unread_tokens: f64,
    /// Its first token has come.
    pub(crate) started: bool,
}

/// The first attempt that may have run the request.
#[derive(Clone, Copy)]
pub(crate) struct FirstExecution {
    /// Index of the engine.
    pub(crate) engine: usize,
    pub(crate) sent_at: Micros,
}

/// A request from its arrival until nothing of it is at any engine any more.
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) idempotency: Idempotency,
    pub(crate) arrived_at: Micros,
    /// When the client sent it first, as far as this node knows.
    pub(crate) first_arrived_at: Micros,
    /// When its first attempt was sent.
    pub(crate) started_at: Micros,
    /// Its first token is wanted by then.
    pub(crate) objective_at: Micros,
    /// Its class's latency objective for a prompt of its length.
    pub(crate) objective: Micros,
    pub(crate) deadline: Micros,
    pub(crate) over_quota: bool,
    /// Attempts that were sent so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Index of the reader at which the read state waits.
    pub(crate) state_reader: Option<usize>,
    /// A state was read at some time: it may outlast what the outcomes show, so every end releases.
    pub(crate) was_read: bool,
    pub(crate) first_execution: Option<FirstExecution>,
    /// Indices of the engines that it must not be sent to again, unless there is no other.
    pub(crate) tried: Vec<usize>,
    /// It waits to be dispatched.
    pub(crate) pending: bool,
    /// When engines were health-checked for it before its read.
    pub(crate) checked_at: Option<Micros>,
    /// It has its final answer.
    pub(crate) closed: bool,
}

impl RequestState {
    /// A request that waits for its first attempt.
    pub(crate) fn new(
        now: Micros,
        request: Request,
        idempotency: Idempotency,
        first_arrived_at: Micros,
        objective: Micros,
        over_quota: bool,
    ) -> RequestState {
        let deadline = now.saturating_add(request.client_timeout);
        RequestState {
            idempotency,
            arrived_at: now,
            started_at: now,
            objective_at: first_arrived_at.saturating_add(objective).min(deadline),
            objective,
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

    /// The indices of the engines that it refers to.
    pub(crate) fn engines(&self) -> impl Iterator<Item = usize> + '_ {
        let executed = self.first_execution.map(|execution| execution.engine);
        let in_flight = self.in_flight.map(|attempt| attempt.engine);
        let current = [executed, in_flight, self.state_reader].into_iter().flatten();
        current.chain(self.tried.iter().copied())
    }
}

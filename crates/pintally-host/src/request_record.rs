//! What the host records of a request until its answer is given and its last attempt has ended.

use pintally::interface::{AttemptNumber, EngineId, Idempotency, Micros, Outcome, RequestId};
use pintally_cells::CellName;
use pintally_engine::Step;
use pintally_guards::{RequestFacts, SentAttempt};
use pintally_quota::LimitId;

use crate::reservations::RequestReservations;
use crate::timers::TimerKey;

/// Connection probes to an engine that has not shown yet that it received an attempt.
pub(crate) const MAX_INITIAL_PROBES: u8 = 1;
/// Connection probes to one that has: a connection that comes up late must not undo what an earlier one showed.
pub(crate) const MAX_FURTHER_PROBES: u8 = 2;

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    pub(crate) attempt: AttemptNumber,
    pub(crate) engine: EngineId,
    pub(crate) step: Step,
    /// When it was sent, and the zone and rack of its engine.
    pub(crate) sent: SentAttempt,
    /// Its first token has arrived.
    pub(crate) has_first_token: bool,
    /// Connection probes that may still be made before the reservations that it may need are released.
    pub(crate) remaining_probes: u8,
    /// A connection probe has shown that the machine of its engine is reachable.
    pub(crate) is_delivered: bool,
}

impl InFlightAttempt {
    /// An attempt that is sent now.
    pub(crate) fn new(
        attempt: AttemptNumber,
        engine: EngineId,
        step: Step,
        sent: SentAttempt,
    ) -> InFlightAttempt {
        InFlightAttempt {
            attempt,
            engine,
            step,
            sent,
            has_first_token: false,
            remaining_probes: MAX_INITIAL_PROBES,
            is_delivered: false,
        }
    }
}

/// One request.
pub(crate) struct RequestRecord {
    pub(crate) id: RequestId,
    /// The cell that routes it, from its arrival to its end.
    pub(crate) cell: CellName,
    pub(crate) tenant: Option<usize>,
    /// Whether running it twice is harmless.
    pub(crate) idempotency: Idempotency,
    /// Its first attempt that may have run.
    pub(crate) may_have_run: Option<SentAttempt>,
    /// Bytes that it holds.
    pub(crate) body_bytes: usize,
    /// An answer that begins by then meets the latency objective.
    pub(crate) latency_deadline: Micros,
    /// Its cell was notified whether it met the latency objective.
    pub(crate) is_latency_recorded: bool,
    pub(crate) streamed: bool,
    pub(crate) max_tokens: u64,
    pub(crate) deadline: Micros,
    /// Expires if the core gives no answer by the deadline.
    pub(crate) overdue_timer: TimerKey,
    /// Attempts made so far.
    pub(crate) attempts: AttemptNumber,
    pub(crate) in_flight: Option<InFlightAttempt>,
    pub(crate) reservations: RequestReservations,
    /// The final answer is given, or the client has left and none is due.
    pub(crate) is_closed: bool,
    /// An attempt has failed: the next one is a retry.
    pub(crate) has_failed_attempt: bool,
    /// Limits of concurrent requests that count it.
    pub(crate) concurrency_limits: Vec<LimitId>,
}

impl RequestRecord {
    /// What the send guards depend on.
    pub(crate) fn facts(&self, max_attempts: u32) -> RequestFacts<'_> {
        RequestFacts {
            idempotency: self.idempotency,
            closed: self.is_closed,
            attempt_in_flight: self.in_flight.is_some(),
            attempts: self.attempts,
            max_attempts,
            deadline: self.deadline,
            may_have_run: self.may_have_run.as_ref(),
        }
    }

    /// Records from the outcome of an attempt whether it may have run.
    pub(crate) fn record_effect(&mut self, ended: &InFlightAttempt, outcome: Outcome) {
        let never_ran = matches!(
            outcome,
            Outcome::Read
                | Outcome::Overloaded
                | Outcome::StateNotFound
                | Outcome::Unreachable
                | Outcome::NeverSent
        );
        if !never_ran && ended.step != Step::Read && self.may_have_run.is_none() {
            self.may_have_run = Some(ended.sent.clone());
        }
    }

    /// Whether this attempt is in flight.
    pub(crate) fn is_in_flight(&self, attempt: AttemptNumber) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.attempt == attempt)
    }

    /// Whether an attempt in flight fetches a reservation.
    pub(crate) fn is_fetching(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.step == Step::Fetch)
    }

    /// Records that the attempt in flight was at its engine at a time: the deadline of its reservations does
    /// not run up to then.
    pub(crate) fn record_delivery(&mut self, at: Micros) {
        let Some(in_flight) = self.in_flight.as_mut() else { return };
        in_flight.is_delivered = true;
        in_flight.remaining_probes = MAX_FURTHER_PROBES;
        self.reservations.extend_pending_since(at);
    }

    /// Whether nothing more can happen to it.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_closed && self.in_flight.is_none()
    }
}

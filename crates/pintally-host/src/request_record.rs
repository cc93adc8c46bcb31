//! The record of a request, kept until its answer is given and its last attempt has ended.

use pintally::interface::{AttemptNumber, EngineId, Idempotency, Micros, Outcome, RequestId};
use pintally_cells::CellName;
use pintally_engine::Step;
use pintally_guards::{RequestFacts, SentAttempt};
use pintally_quota::LimitId;

use crate::reservations::RequestReservations;
use crate::timers::TimerKey;

/// Connection probes for an attempt whose delivery to its engine is not confirmed yet.
pub(crate) const MAX_INITIAL_PROBES: u8 = 1;
/// Connection probes after the delivery was confirmed: one probe whose connection is established late must not undo
/// the confirmation by an earlier probe.
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
    /// Connection probes that may still be sent before the reservations that it may need are released.
    pub(crate) remaining_probes: u8,
    /// A connection probe has shown that the machine of its engine is reachable.
    pub(crate) is_delivered: bool,
}

impl InFlightAttempt {
    /// Creates the record of an attempt that is sent now.
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
    /// Memory that its body occupies.
    pub(crate) body_bytes: usize,
    /// The time by which its answer has to begin to meet the latency objective.
    pub(crate) latency_deadline: Micros,
    /// Whether it met the latency objective was recorded.
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
    /// The limits of concurrent requests that it consumes.
    pub(crate) concurrency_limits: Vec<LimitId>,
}

impl RequestRecord {
    /// The state that the send guards depend on.
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

    /// Records whether an attempt with this outcome may have run.
    pub(crate) fn record_possible_run(&mut self, ended: &InFlightAttempt, outcome: Outcome) {
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

    /// Records that the attempt in flight was at its engine at the given time. The deadline of the reservations runs
    /// from then on.
    pub(crate) fn record_delivery(&mut self, at: Micros) {
        let Some(in_flight) = self.in_flight.as_mut() else { return };
        in_flight.is_delivered = true;
        in_flight.remaining_probes = MAX_FURTHER_PROBES;
        self.reservations.extend_pending_since(at);
    }

    /// Whether its answer is given and no attempt is in flight.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_closed && self.in_flight.is_none()
    }
}

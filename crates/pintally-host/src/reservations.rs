//! Reservations: the read states of a request that occupy memory at engines until they are fetched or released.
//!
//! While no attempt of a request is at any engine, its reservations are fetched or released within the release
//! deadline after the last outcome. An attempt whose connection is never established, or that is written into a
//! partition, is at no engine although it remains in flight, so the host does not wait for its end.

use std::sync::Arc;

use pintally::interface::{AttemptNumber, EngineId, Micros, Outcome, RequestId};
use pintally_engine::Step;
use serde_json::Value;

use crate::release_retries::Certainty;
use crate::request_record::InFlightAttempt;
use crate::timers::TimerKey;

/// The name of a reservation at its engine, where each release frees one reservation. It contains the attempt
/// that read it, so that a late or repeated release never frees a younger reservation of the same request.
pub fn reservation_name(id: &RequestId, attempt: AttemptNumber) -> RequestId {
    RequestId(format!("{}.{attempt}", id.0).into())
}

/// A read state at an engine.
pub(crate) struct Reservation {
    pub(crate) engine: EngineId,
    /// The attempt that read it.
    pub(crate) attempt: AttemptNumber,
    /// Its transfer parameters; `None` if a read that ended without an outcome may have created the reservation.
    state: Option<Arc<Value>>,
}

impl Reservation {
    /// Whether the engine has confirmed it.
    pub(crate) fn certainty(&self) -> Certainty {
        match self.state {
            Some(_) => Certainty::Confirmed,
            None => Certainty::Uncertain,
        }
    }

    fn is_confirmed(&self) -> bool {
        self.certainty() == Certainty::Confirmed
    }
}

/// When reservations are released although an attempt is in flight.
#[derive(Clone, Copy)]
pub(crate) struct ReservationDeadline {
    pub(crate) timer: TimerKey,
    /// The deadline; the timer may be set to expire later.
    pub(crate) at: Micros,
}

/// The reservations of one request.
pub(crate) struct RequestReservations {
    reservations: Vec<Reservation>,
    /// The time since which the release deadline runs: that of the last outcome that came from an engine. An attempt
    /// that never reached an engine does not stop the deadline.
    pending_since: Micros,
    /// They were released while an attempt that may wait for them was in flight.
    released_in_flight: bool,
    deadline: Option<ReservationDeadline>,
    /// The state that the core expects to be fetched was released, or is about to be.
    is_fetchable_lost: bool,
}

impl RequestReservations {
    /// Creates the empty set of reservations of a request that arrives now.
    pub(crate) fn new(now: Micros) -> RequestReservations {
        RequestReservations {
            reservations: Vec::new(),
            pending_since: now,
            released_in_flight: false,
            deadline: None,
            is_fetchable_lost: false,
        }
    }

    /// All reservations, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.iter()
    }

    /// The engine of the youngest reservation.
    pub(crate) fn last_engine(&self) -> Option<EngineId> {
        self.reservations.last().map(|reservation| reservation.engine.clone())
    }

    /// Whether any of them is not confirmed by its engine.
    pub(crate) fn has_uncertain(&self) -> bool {
        self.reservations.iter().any(|reservation| !reservation.is_confirmed())
    }

    /// The state that a fetch can use.
    pub(crate) fn fetchable_state(&self) -> Option<Arc<Value>> {
        if self.is_fetchable_lost {
            return None;
        }
        self.reservations.iter().rev().find_map(|reservation| reservation.state.clone())
    }

    /// Whether the state that the core expects to be fetched was released.
    pub(crate) fn is_fetchable_lost(&self) -> bool {
        self.is_fetchable_lost
    }

    /// Records that the fetchable state, if there is one, is released and can no longer be fetched.
    pub(crate) fn mark_fetchable_lost(&mut self) {
        self.is_fetchable_lost |= self.reservations.iter().any(Reservation::is_confirmed);
    }

    /// Records that the core no longer expects to fetch any of them.
    pub(crate) fn abandon_fetch(&mut self) {
        self.is_fetchable_lost = false;
        self.reservations.iter_mut().for_each(|reservation| reservation.state = None);
    }

    /// Removes all of them.
    pub(crate) fn take_all(&mut self) -> Vec<Reservation> {
        std::mem::take(&mut self.reservations)
    }

    /// Removes those that are not confirmed.
    pub(crate) fn take_uncertain(&mut self) -> Vec<Reservation> {
        let (confirmed, uncertain) = self.take_all().into_iter().partition(Reservation::is_confirmed);
        self.reservations = confirmed;
        uncertain
    }

    /// Removes all of them after they were released.
    pub(crate) fn clear(&mut self) {
        self.reservations.clear();
    }

    /// Removes those that are confirmed, after the fetch.
    pub(crate) fn remove_fetched(&mut self) {
        self.reservations.retain(|reservation| !reservation.is_confirmed());
    }

    /// Records that they were released while an attempt that fetches is in flight. The outcome of the attempt decides
    /// whether they are gone.
    pub(crate) fn mark_released_in_flight(&mut self) {
        self.released_in_flight = true;
    }

    /// The time since which reservations wait to be fetched or released, if there are any.
    pub(crate) fn pending_since(&self) -> Option<Micros> {
        let is_pending = !self.reservations.is_empty() && !self.released_in_flight;
        is_pending.then_some(self.pending_since)
    }

    /// The time since which the release deadline runs, whether or not there are reservations.
    pub(crate) fn deadline_runs_since(&self) -> Micros {
        self.pending_since
    }

    /// Lets the release deadline run from this time on, unless it already runs from a later one.
    pub(crate) fn extend_pending_since(&mut self, at: Micros) {
        self.pending_since = self.pending_since.max(at);
    }

    /// The time at which they are released although an attempt is in flight.
    pub(crate) fn deadline(&self) -> Option<ReservationDeadline> {
        self.deadline
    }

    /// Sets the time at which they are released although an attempt is in flight.
    pub(crate) fn set_deadline(&mut self, deadline: Option<ReservationDeadline>) {
        self.deadline = deadline;
    }

    /// Updates them with the outcome of an attempt. Returns whether the attempt has or may have created a reservation.
    pub(crate) fn record_outcome(
        &mut self,
        now: Micros,
        ended: &InFlightAttempt,
        outcome: Outcome,
        state: Option<Arc<Value>>,
    ) -> bool {
        self.update_pending_since(now, ended, outcome);
        if ended.step != Step::Read {
            return false;
        }
        let state = match (outcome, state) {
            (Outcome::Read, Some(state)) => Some(state),
            (Outcome::Overloaded | Outcome::NeverSent | Outcome::Unreachable, _) => return false,
            // A read that ended without an outcome from its engine may have created a reservation.
            _ => None,
        };
        if state.is_some() {
            self.is_fetchable_lost = false;
        }
        if self.reservations.is_empty() {
            self.pending_since = now;
        }
        let (engine, attempt) = (ended.engine.clone(), ended.attempt);
        self.reservations.push(Reservation { engine, attempt, state });
        true
    }

    fn update_pending_since(&mut self, now: Micros, ended: &InFlightAttempt, outcome: Outcome) {
        let released_in_flight = std::mem::take(&mut self.released_in_flight);
        // The attempt never reached an engine: the deadline continues to run, and reservations that were released
        // meanwhile are gone.
        if matches!(outcome, Outcome::Unreachable | Outcome::NeverSent) {
            if released_in_flight {
                self.reservations.clear();
            }
            return;
        }
        // If an engine had the attempt, the reservation that it waited for still exists, and the deadline starts
        // over. Without an outcome from the engine, it may have had the attempt: fetching is then attempted once
        // more, because a writer's answer that the state is missing costs next to nothing, whereas reading prompts
        // again without need overloads readers.
        let is_unanswered =
            matches!(outcome, Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled);
        if released_in_flight && outcome != Outcome::StateNotFound {
            self.is_fetchable_lost = false;
        }
        if released_in_flight || !is_unanswered || ended.is_delivered {
            self.pending_since = now;
        }
    }
}

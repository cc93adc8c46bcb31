//! The end of an attempt: what its outcome shows of the engine, and what becomes of the request.

use super::outlier_ejection::MAX_EJECTION_TIME_US;
use super::overload::{CROWDED_OCCUPANCY, OVERLOAD_AFTER_REJECTION_US};
use super::spill::REPORT_LIFETIME_US;
use super::Router;
use crate::interface::*;
use crate::state::{
    AttemptKind, FirstExecution, InFlightAttempt, ReceivedReport, RequestState, TenantRejection,
};

/// Whether an attempt with this outcome may have run the request.
fn may_have_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Served
        | Outcome::Error
        | Outcome::TimedOut
        | Outcome::ConnectionBroken
        | Outcome::Cancelled => true,
        Outcome::Read
        | Outcome::Overloaded
        | Outcome::StateNotFound
        | Outcome::Unreachable
        | Outcome::NeverSent => false,
    }
}

impl Router {
    /// Takes in how an attempt ended.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&end.id) else {
            // An attempt of a request that is long over may still leave a state behind.
            if end.outcome == Outcome::Read {
                actions.push(Action::Release(end.id));
            }
            return;
        };
        let Some(attempt) = request.in_flight.filter(|attempt| attempt.number == end.attempt) else {
            self.requests.insert(end.id, request);
            return;
        };
        request.in_flight = None;
        self.remove_from_engine(now, &attempt, end.load);
        match end.outcome {
            Outcome::Read => self.read_completed(now, &mut request, &attempt, end.cached_tokens),
            Outcome::Served => self.record_success(now, attempt.engine),
            Outcome::Overloaded => self.attempt_rejected(now, &mut request, attempt.engine),
            Outcome::StateNotFound => {
                // A state that cannot be fetched may still wait at a reader that is cut off.
                request.state_reader = None;
                actions.push(Action::Release(end.id.clone()));
            }
            Outcome::Unreachable | Outcome::ConnectionBroken | Outcome::TimedOut | Outcome::Error => {
                self.attempt_failed(now, &mut request, &attempt, end.outcome, actions);
            }
            Outcome::Cancelled => request.tried.push(attempt.engine),
            Outcome::NeverSent => {}
        }
        let ran = may_have_run(end.outcome) && attempt.kind != AttemptKind::Read;
        if ran && request.first_execution.is_none() {
            request.first_execution =
                Some(FirstExecution { engine: attempt.engine, sent_at: attempt.sent_at });
        }
        self.continue_after(now, request, &attempt, end.is_final, actions);
    }

    /// Takes an attempt off its engine's books, with the load that the engine reported.
    fn remove_from_engine(&mut self, now: Micros, attempt: &InFlightAttempt, load: Option<LoadReport>) {
        let engine = &mut self.engines[attempt.engine];
        engine.remove_pending(attempt);
        if attempt.kind != AttemptKind::Read {
            engine.streams = engine.streams.saturating_sub(1);
        }
        if let Some(load) = load {
            engine.report = Some(ReceivedReport { at: now, load });
        }
    }

    /// The prompt is read and its state waits at the reader.
    fn read_completed(
        &mut self,
        now: Micros,
        request: &mut RequestState,
        attempt: &InFlightAttempt,
        cached_tokens: u64,
    ) {
        let index = attempt.engine;
        self.record_success(now, index);
        self.engines[index].answers += 1;
        let tokens_read = request.request.prompt_tokens.saturating_sub(cached_tokens) as f64;
        let duration_us = now.saturating_sub(attempt.sent_at) as f64;
        self.record_duration(now, index, attempt.kind, tokens_read, duration_us);
        self.record_prefixes(now, &request.request, index);
        request.state_reader = Some(index);
        request.was_read = true;
        request.tried.clear();
    }

    /// The engine has no capacity, for any request or for this one's tenant.
    fn attempt_rejected(&mut self, now: Micros, request: &mut RequestState, index: usize) {
        let engine = &mut self.engines[index];
        // Guards against engines that are full for one tenant only: they have reported capacity.
        let has_capacity = engine
            .reported_occupancy(now, REPORT_LIFETIME_US)
            .is_some_and(|occupancy| occupancy < CROWDED_OCCUPANCY);
        if has_capacity && request.request.tenant.is_some() {
            let until = now + MAX_EJECTION_TIME_US;
            engine.tenant_rejection = TenantRejection { tenant: request.request.tenant, until };
        } else {
            engine.overloaded_until = now + OVERLOAD_AFTER_REJECTION_US;
        }
        request.tried.push(index);
    }

    /// The engine could not be reached, did not answer in time or answered with an error.
    fn attempt_failed(
        &mut self,
        now: Micros,
        request: &mut RequestState,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let index = attempt.engine;
        if outcome == Outcome::TimedOut {
            self.record_timeout(now, request, attempt);
        }
        let engine = &self.engines[index];
        let is_first_failure = engine.consecutive_failures == 0;
        let is_warm = now >= engine.warming_up_until;
        // Guards against reading anew elsewhere what is cached by now where its answer got lost.
        let read_again_here = attempt.kind == AttemptKind::Read
            && outcome != Outcome::Unreachable
            && is_first_failure
            && is_warm;
        // A single error may be the request's own, a single break the connection's: the next counts.
        let excused = is_first_failure && matches!(outcome, Outcome::Error | Outcome::ConnectionBroken);
        // A time-out at the client's deadline shows a long queue as often as a fault of the engine.
        let client_deadline_passed = outcome == Outcome::TimedOut && now >= request.deadline;
        if read_again_here || excused {
            self.engines[index].consecutive_failures = 1;
        } else if !client_deadline_passed {
            self.record_failure(now, index, actions);
        }
        // Guards against sound engines that count as warming up: one that restarts refuses connections
        // time and again.
        let refuses_again = outcome == Outcome::Unreachable && self.engines[index].consecutive_failures > 1;
        self.engines[index].unreachable |= refuses_again;
        self.discard_doubtful_state(request, outcome, actions);
        if !read_again_here {
            request.tried.push(index);
        }
    }

    /// A time-out counts as a late first token, a long transfer and a long duration.
    fn record_timeout(&mut self, now: Micros, request: &RequestState, attempt: &InFlightAttempt) {
        let duration_us = now.saturating_sub(attempt.sent_at) as f64;
        // Of many nodes each may see next to no first tokens: what never had one counts as late.
        if self.is_one_of_many() {
            self.adjust_in_flight_limit(now, false);
        }
        self.record_duration(now, attempt.engine, attempt.kind, 0.0, duration_us);
        self.record_transfer(now, request.state_reader, attempt.engine, duration_us);
    }

    /// Guards against writers that read a whole prompt between the steps of their answers: after a lost
    /// answer the state may be fetched and gone, and no engine rejects the next attempt for it. The reader
    /// still has the prompt in its cache, so reading it there again costs next to nothing.
    fn discard_doubtful_state(
        &self,
        request: &mut RequestState,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let may_be_gone = self.settings.writers_read_prompts && outcome != Outcome::Unreachable;
        if may_be_gone && request.state_reader.take().is_some() {
            actions.push(Action::Release(request.request.id.clone()));
        }
    }

    /// The next step of a request whose attempt has ended, or the release of what it has left behind.
    fn continue_after(
        &mut self,
        now: Micros,
        request: RequestState,
        attempt: &InFlightAttempt,
        is_final: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = request.request.id.clone();
        if request.closed {
            actions.push(Action::Release(id));
            return;
        }
        if is_final {
            if !attempt.started && request.was_read {
                actions.push(Action::Release(id));
            }
            return;
        }
        self.requests.insert(id.clone(), request);
        self.advance(now, &id, actions);
    }
}

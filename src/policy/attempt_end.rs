//! The end of an attempt: what its outcome says about the engine, and the next step of the request.

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
    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&end.id) else {
            // An attempt of a request that is already completed may still leave a read state.
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
                // A state that cannot be fetched may still be held by a reader that is cut off.
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

    /// Removes an attempt from the counts of its engine and stores the load that the engine reported.
    fn remove_from_engine(&mut self, now: Micros, attempt: &InFlightAttempt, load: Option<LoadReport>) {
        let engine = &mut self.engines[attempt.engine];
        engine.remove_waiting(attempt);
        if attempt.kind != AttemptKind::Read {
            engine.streams = engine.streams.saturating_sub(1);
        }
        if let Some(load) = load {
            engine.report = Some(ReceivedReport { at: now, load });
        }
    }

    /// Handles a completed read: the state can be fetched from the reader.
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

    /// Handles a rejection: the engine has no capacity, for any request or for this one's tenant.
    fn attempt_rejected(&mut self, now: Micros, request: &mut RequestState, index: usize) {
        let engine = &mut self.engines[index];
        // An engine that has reported capacity rejects only this tenant and stays available to others.
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

    /// Handles a failure: the engine could not be reached, did not answer in time, broke the connection or
    /// answered with an error.
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
        // When only the answer of a read was lost, the reader has the prompt in its cache by now: another
        // reader would have to read all of it again.
        let retry_read_here = attempt.kind == AttemptKind::Read
            && outcome != Outcome::Unreachable
            && is_first_failure
            && is_warm;
        // A single error may be due to the request and a single break to the connection: only the next
        // failure in a row ejects the engine.
        let may_be_transient =
            is_first_failure && matches!(outcome, Outcome::Error | Outcome::ConnectionBroken);
        // A timeout at the client's deadline is as often due to a long queue as to a fault of the engine.
        let client_deadline_passed = outcome == Outcome::TimedOut && now >= request.deadline;
        if retry_read_here || may_be_transient {
            self.engines[index].consecutive_failures = 1;
        } else if !client_deadline_passed {
            self.record_failure(now, index, actions);
        }
        // A single refused connection must not put a healthy engine into slow start: an engine that
        // restarts refuses connections repeatedly.
        let refused_repeatedly =
            outcome == Outcome::Unreachable && self.engines[index].consecutive_failures > 1;
        self.engines[index].unreachable |= refused_repeatedly;
        self.discard_possibly_fetched_state(request, outcome, actions);
        if !retry_read_here {
            request.tried.push(index);
        }
    }

    /// Records a timeout as a late first token, a long transfer and a long duration.
    fn record_timeout(&mut self, now: Micros, request: &RequestState, attempt: &InFlightAttempt) {
        let duration_us = now.saturating_sub(attempt.sent_at) as f64;
        // Each of many nodes may see hardly any first tokens: an attempt without one counts as late.
        if self.has_low_visibility() {
            self.adjust_in_flight_limit(now, false);
        }
        self.record_duration(now, attempt.engine, attempt.kind, 0.0, duration_us);
        self.record_transfer(now, request.state_reader, attempt.engine, duration_us);
    }

    /// Releases a state that may have been fetched already, because the answer to the fetch was lost. Where
    /// writers read prompts, the next writer would not reject the attempt for the missing state but read
    /// the whole prompt between the decode steps of its other answers. The reader still has the prompt in
    /// its cache, so reading it there again costs next to nothing.
    fn discard_possibly_fetched_state(
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

    /// Takes the next step of a request whose attempt has ended, or releases what it has left at engines.
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

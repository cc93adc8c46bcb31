//! Sends the attempts that the cores request, and handles their outcomes.

use std::sync::Arc;

use pintally::interface::{
    AttemptEnd, AttemptNumber, EngineId, Event, LoadReport, Micros, Outcome, RequestId, Role,
};
use pintally_cells::CellName;
use pintally_engine::Step;
use pintally_guards::{may_send, Denial, SentAttempt};
use serde_json::Value;

use super::Host;
use crate::command::{AttemptOrder, Command, FinalAnswer};
use crate::input::{ReleaseScope, RequestNumber};
use crate::request_record::{InFlightAttempt, RequestRecord};

/// Why an attempt that a core requested was not sent.
enum NotSent {
    /// A guard denied it.
    Denied(Denial),
    /// It is a retry, and the quota of retries is used up.
    RetryOverQuota,
    /// It would fetch a state that was released.
    ReservationReleased,
}

/// The result of an attempt that has ended.
pub(super) struct AttemptResult {
    pub(super) attempt: AttemptNumber,
    pub(super) outcome: Outcome,
    pub(super) cached_tokens: u64,
    pub(super) load: Option<LoadReport>,
    /// The transfer parameters of the state that was read.
    pub(super) state: Option<Arc<Value>>,
}

impl Host {
    /// Sends an attempt, or notifies the core that it was not sent: the core expects an outcome in either case.
    pub(super) fn send(
        &mut self,
        cell: &CellName,
        id: RequestId,
        engine: EngineId,
        timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        let Some(number) = self.requests.number(&id) else {
            self.counters.never_sent += 1;
            self.cores.queue_event(cell.clone(), not_sent_event(id, 0, Outcome::NeverSent));
            return;
        };
        let Some(record) = self.requests.get(number) else { return };
        let attempt = record.attempts;
        let checked = self.check_send(number, &engine);
        if let Some(record) = self.requests.get_mut(number) {
            record.attempts += 1;
        }
        let checked = checked.and_then(|()| self.check_retry_and_reservation(number, &engine));
        match checked {
            Ok(()) => self.start_attempt(number, attempt, engine, timeout, out),
            Err(reason) => self.report_not_sent(cell, id, attempt, reason, out),
        }
    }

    fn check_send(&self, number: RequestNumber, engine: &EngineId) -> Result<(), NotSent> {
        let record = self.requests.get(number).ok_or(NotSent::Denied(Denial::RequestClosed))?;
        let known = self.endpoints.get(engine).ok_or(NotSent::Denied(Denial::EngineNotServing))?;
        let facts = record.facts(self.settings.core.max_attempts);
        may_send(self.now, &facts, &known.facts()).map_err(NotSent::Denied)
    }

    /// Checks the quota of retries and the reservation that a writer would fetch. A retry that is admitted uses up
    /// quota, so this check runs only once no guard denies the attempt.
    fn check_retry_and_reservation(
        &mut self,
        number: RequestNumber,
        engine: &EngineId,
    ) -> Result<(), NotSent> {
        let Some(record) = self.requests.get(number) else { return Ok(()) };
        let quota = self.quota.as_mut().filter(|_| record.has_failed_attempt);
        if quota.is_some_and(|quota| !quota.admit_retry(self.now, record.tenant)) {
            return Err(NotSent::RetryOverQuota);
        }
        let is_writer = self.endpoints.get(engine).is_some_and(|known| known.role == Role::Writer);
        if is_writer && record.reservations.is_fetchable_lost() {
            return Err(NotSent::ReservationReleased);
        }
        Ok(())
    }

    /// Counts an attempt that was not sent and queues its outcome for the core.
    fn report_not_sent(
        &mut self,
        cell: &CellName,
        id: RequestId,
        attempt: AttemptNumber,
        reason: NotSent,
        out: &mut Vec<Command>,
    ) {
        self.counters.never_sent += 1;
        let outcome = match reason {
            NotSent::Denied(denial) => {
                self.report_denial(&id, "send", denial, out);
                Outcome::NeverSent
            }
            NotSent::RetryOverQuota => {
                self.counters.retries_over_quota += 1;
                Outcome::NeverSent
            }
            // No attempt is wasted on a state that was released: the core gets the outcome that the writer would
            // report, and has the prompt read again.
            NotSent::ReservationReleased => Outcome::StateNotFound,
        };
        self.cores.queue_event(cell.clone(), not_sent_event(id, attempt, outcome));
    }

    fn start_attempt(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        engine: EngineId,
        timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        let Some(record) = self.requests.get_mut(number) else { return };
        let Some(known) = self.endpoints.get(&engine) else { return };
        let state = record.reservations.fetchable_state();
        let step = match known.role {
            Role::Reader => Step::Read,
            _ if state.is_some() => Step::Fetch,
            _ => Step::Both,
        };
        let sent = SentAttempt { sent_at: self.now, zone: known.zone.to_string(), rack: known.rack };
        record.in_flight = Some(InFlightAttempt::new(attempt, engine.clone(), step, sent));
        let time_left = record.deadline.saturating_sub(self.now);
        out.push(Command::Attempt(AttemptOrder {
            number,
            request: record.id.clone(),
            attempt,
            cell: record.cell.clone(),
            address: known.address,
            slots: known.slots,
            engine,
            step,
            state: state.filter(|_| step == Step::Fetch),
            max_tokens: record.max_tokens,
            timeout: if timeout == 0 { time_left } else { timeout.min(time_left) },
            completion_timeout: (!record.streamed && step != Step::Read).then_some(time_left),
        }));
        self.counters.attempts += 1;
        self.requests.mark_changed(number);
    }

    /// Cancels an attempt, unless its first token has arrived.
    pub(super) fn cancel(&mut self, id: &RequestId, attempt: AttemptNumber, out: &mut Vec<Command>) {
        let Some(number) = self.requests.number(id) else { return };
        let in_flight = self.requests.get(number).and_then(|record| record.in_flight.as_ref());
        let is_cancellable =
            |in_flight: &InFlightAttempt| in_flight.attempt == attempt && !in_flight.has_first_token;
        if in_flight.is_some_and(is_cancellable) {
            out.push(Command::Cancel(number, attempt));
        }
    }

    pub(super) fn on_delivery_confirmed(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        let record = self.requests.get_mut(number).filter(|record| record.is_in_flight(attempt));
        if let Some(record) = record {
            record.record_delivery(self.now);
            self.requests.mark_changed(number);
        }
    }

    pub(super) fn on_first_token(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        out: &mut Vec<Command>,
    ) {
        let Some((engine, step)) = self.record_first_token(number, attempt) else {
            self.counters.unmatched_inputs += 1;
            return;
        };
        let Some(record) = self.requests.get_mut(number) else { return };
        // A fetched state is no longer reserved. If one release frees all reservations of a request, the first token
        // shows that the writer has freed the others as well.
        let frees_all = self.release_scope == ReleaseScope::Request && step != Step::Read;
        if frees_all {
            record.reservations.clear();
        } else if step == Step::Fetch {
            record.reservations.remove_fetched();
        }
        // Once a streamed answer has begun, it has no deadline.
        if record.streamed {
            self.timers.cancel(record.overdue_timer);
        }
        let (id, cell) = (record.id.clone(), record.cell.clone());
        let is_late = self.now > record.latency_deadline;
        let is_latency_recorded = std::mem::replace(&mut record.is_latency_recorded, true);
        self.requests.mark_changed(number);
        if !is_latency_recorded {
            self.record_latency(&cell, is_late);
        }
        if frees_all {
            self.withdraw_release(&id, 0, out);
        }
        self.record_engine_response(&engine);
        self.report_answer_to_recovery(&engine, out);
        self.handle_event(&cell, Event::FirstToken(id, attempt), out);
    }

    /// Records the first token of an attempt and returns the attempt's engine and step. `None` if no first token of
    /// this attempt is expected.
    fn record_first_token(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
    ) -> Option<(EngineId, Step)> {
        let record = self.requests.open_mut(number)?;
        let in_flight = record.in_flight.as_mut()?;
        if in_flight.attempt != attempt || in_flight.has_first_token {
            return None;
        }
        in_flight.has_first_token = true;
        Some((in_flight.engine.clone(), in_flight.step))
    }

    /// Handles the end of an attempt: records its outcome, gives the final answer if the outcome determines it, and
    /// passes the outcome to the core.
    pub(super) fn on_attempt_ended(
        &mut self,
        number: RequestNumber,
        result: AttemptResult,
        out: &mut Vec<Command>,
    ) {
        let record = self.requests.get_mut(number);
        let Some((record, ended)) = record.and_then(|record| take_attempt(record, result.attempt)) else {
            self.counters.unmatched_inputs += 1;
            return;
        };
        let (id, cell, was_closed) = (record.id.clone(), record.cell.clone(), record.is_closed);
        let reported = result.outcome;
        self.cells.record_outcome(self.now, &ended.engine, record.tenant, reported, result.load.as_ref());
        let may_be_reserved = record.reservations.record_outcome(self.now, &ended, reported, result.state);
        let outcome = effective_outcome(ended.step, reported);
        if outcome == Outcome::Served {
            record.reservations.remove_fetched();
        }
        record.record_possible_run(&ended, outcome);
        record.has_failed_attempt |= !matches!(outcome, Outcome::Read | Outcome::Served | Outcome::NeverSent);
        self.requests.mark_changed(number);
        if may_be_reserved {
            // A pending release of the request's older reservations would also free the one that this attempt may
            // have just created.
            self.withdraw_release(&id, 0, out);
        }
        self.record_engine_outcome(&cell, &ended.engine, outcome, out);
        if !was_closed {
            self.answer_after_attempt(&id, &ended, outcome, out);
        }
        let event = AttemptEnd {
            id: id.clone(),
            attempt: result.attempt,
            outcome,
            is_final: was_closed || ended.has_first_token || outcome == Outcome::Served,
            cached_tokens: result.cached_tokens,
            load: result.load,
        };
        self.handle_event(&cell, Event::AttemptEnded(event), out);
        self.release_uncertain(&id, out);
    }

    /// Gives the final answer of a request if the outcome of its attempt determines it.
    fn answer_after_attempt(
        &mut self,
        id: &RequestId,
        ended: &InFlightAttempt,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        if outcome == Outcome::Served {
            self.answer(id, FinalAnswer::Served, out);
        } else if ended.has_first_token {
            // An answer that has begun cannot be retried: its client would receive the beginning twice.
            self.answer(id, FinalAnswer::StreamCut, out);
        }
    }

    /// Passes an outcome to the components that track the reachability and health of engines.
    fn record_engine_outcome(
        &mut self,
        cell: &CellName,
        engine: &EngineId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        match outcome {
            Outcome::Cancelled | Outcome::NeverSent => {}
            Outcome::Unreachable | Outcome::TimedOut | Outcome::ConnectionBroken => {
                self.record_engine_failure(engine);
            }
            _ => self.record_engine_response(engine),
        }
        if let Some(outliers) = &mut self.outliers {
            outliers.record_outcome(self.now, engine, outcome);
        }
        if let Some(zones) = &mut self.zones {
            zones.record_outcome(self.now, cell, outcome);
        }
        match outcome {
            Outcome::Read | Outcome::Served => self.report_answer_to_recovery(engine, out),
            Outcome::Unreachable => self.report_unreachable_to_recovery(engine, out),
            _ => {}
        }
    }
}

/// Removes an attempt from its request, if it is in flight.
fn take_attempt(
    record: &mut RequestRecord,
    attempt: AttemptNumber,
) -> Option<(&mut RequestRecord, InFlightAttempt)> {
    let ended = record.in_flight.take_if(|in_flight| in_flight.attempt == attempt)?;
    Some((record, ended))
}

/// The outcome that counts for a step. An outcome that does not match the step is an error: `Served` for a read, and
/// `Read` for any other step.
fn effective_outcome(step: Step, reported: Outcome) -> Outcome {
    match (step, reported) {
        (Step::Read, Outcome::Served) => Outcome::Error,
        (Step::Fetch | Step::Both, Outcome::Read) => Outcome::Error,
        _ => reported,
    }
}

fn not_sent_event(id: RequestId, attempt: AttemptNumber, outcome: Outcome) -> Event {
    let end = AttemptEnd { id, attempt, outcome, is_final: false, cached_tokens: 0, load: None };
    Event::AttemptEnded(end)
}

//! Final answers: all of them go through `Host::answer`, which gives each request exactly one.

use pintally::interface::{Event, Micros, RequestId};
use pintally_cells::CellName;
use pintally_guards::{may_reject, Denial};

use super::{Host, Lifecycle};
use crate::command::{Command, FinalAnswer};
use crate::input::RequestNumber;
use crate::rejections::{Rejection, RejectionReason};

impl Host {
    /// Gives the final answer of a request. The first answer counts; later ones are ignored.
    pub(super) fn answer(&mut self, id: &RequestId, answer: FinalAnswer, out: &mut Vec<Command>) {
        let Some(number) = self.requests.number(id) else { return };
        let Some(record) = self.requests.open_mut(number) else { return };
        let permission = match answer {
            FinalAnswer::Rejected(_) => may_reject(&record.facts(self.settings.core.max_attempts)),
            _ => Ok(()),
        };
        record.is_closed = true;
        let attempts = record.attempts;
        let is_latency_recorded = std::mem::replace(&mut record.is_latency_recorded, true);
        let (overdue_timer, cell, latency_deadline) =
            (record.overdue_timer, record.cell.clone(), record.latency_deadline);
        let answer = if permission.is_ok() { answer } else { FinalAnswer::Failed };
        if let Err(denial) = permission {
            self.report_denial(id, "reject", denial, out);
        }
        self.requests.mark_changed(number);
        self.timers.cancel(overdue_timer);
        if !is_latency_recorded {
            let is_late = answer != FinalAnswer::Served || self.now > latency_deadline;
            self.record_latency(&cell, is_late);
        }
        self.count_answer(answer, attempts);
        out.push(Command::Answer(number, answer));
    }

    fn count_answer(&mut self, answer: FinalAnswer, attempts: u32) {
        match answer {
            FinalAnswer::Served => self.counters.served += 1,
            FinalAnswer::Failed => self.counters.failed += 1,
            FinalAnswer::StreamCut => self.counters.streams_cut += 1,
            FinalAnswer::Rejected(_) => {
                self.counters.rejected += 1;
                self.rejections.add(match attempts {
                    0 => RejectionReason::Unsent,
                    _ => RejectionReason::AfterAttempts,
                });
            }
        }
    }

    /// Records whether the answer of a request began within its latency objective; an answer that never begins is
    /// late.
    pub(super) fn record_latency(&mut self, cell: &CellName, is_late: bool) {
        if let Some(zones) = self.zones.as_mut().filter(|_| is_late) {
            zones.record_late_answer(self.now, cell);
        }
        self.cells.record_latency(self.now, cell, is_late);
    }

    /// Rejects a request before any core sees it.
    pub(super) fn reject_before_dispatch(
        &mut self,
        number: RequestNumber,
        rejection: Rejection,
        out: &mut Vec<Command>,
    ) {
        self.rejections.add(rejection.reason);
        self.counters.rejected_before_dispatch += 1;
        self.counters.rejected += 1;
        out.push(Command::Answer(number, FinalAnswer::Rejected(rejection.retry_after)));
        out.push(Command::RequestComplete(number));
    }

    /// Answers a request as failed before any core sees it: it has run under the same name, and a rejection would
    /// promise that a retry is harmless.
    pub(super) fn fail_before_dispatch(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        self.withheld.add(Denial::MayRunTwice);
        self.counters.failed += 1;
        out.push(Command::Answer(number, FinalAnswer::Failed));
        out.push(Command::RequestComplete(number));
    }

    /// The time to advertise in Retry-After; `None` if clients do not honour it.
    pub(super) fn advertised_retry_after(&self, after: Micros) -> Option<Micros> {
        let core = &self.settings.core;
        let is_advertised = core.clients_honour_retry_after && core.max_retry_after > 0;
        is_advertised.then(|| after.min(core.max_retry_after))
    }

    /// Ends a request that the core has not answered by the deadline, so that each request gets an answer whatever
    /// the cause of the delay.
    pub(super) fn on_answer_overdue(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.open_mut(number) else { return };
        self.counters.overdue += 1;
        out.push(Command::Log(format!(
            "answer overdue, request ended by the host: request_id={}",
            record.id.0
        )));
        self.end_in_place_of_core(number, out);
    }

    pub(super) fn on_client_left(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.open_mut(number) else {
            self.counters.unmatched_inputs += 1;
            return;
        };
        record.is_closed = true;
        let (id, cell, overdue_timer) = (record.id.clone(), record.cell.clone(), record.overdue_timer);
        self.requests.mark_changed(number);
        self.counters.clients_left += 1;
        self.timers.cancel(overdue_timer);
        self.handle_event(&cell, Event::ClientLeft(id), out);
    }

    /// Sheds a request of which no further attempt may start: the core gives its final answer.
    pub(super) fn on_client_unconfirmed(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.open_mut(number) else { return };
        let (id, cell) = (record.id.clone(), record.cell.clone());
        self.withheld.add(Denial::ClientUnconfirmed);
        self.handle_event(&cell, Event::Shed(id), out);
    }

    /// Ends a request in place of its core and cancels its attempt.
    fn end_in_place_of_core(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.get(number) else { return };
        let (id, cell) = (record.id.clone(), record.cell.clone());
        let in_flight = record.in_flight.as_ref();
        let attempt = in_flight.map(|in_flight| in_flight.attempt);
        let has_first_token = in_flight.is_some_and(|in_flight| in_flight.has_first_token);
        let answer = if has_first_token { FinalAnswer::StreamCut } else { FinalAnswer::Failed };
        self.answer(&id, answer, out);
        let first_command = out.len();
        self.handle_event(&cell, Event::ClientLeft(id), out);
        let is_cancel = |command: &Command| matches!(command, Command::Cancel(n, _) if *n == number);
        let is_cancelled_by_core = out[first_command..].iter().any(is_cancel);
        if let Some(attempt) = attempt.filter(|_| !is_cancelled_by_core) {
            out.push(Command::Cancel(number, attempt));
        }
    }

    /// Ends all requests when the graceful shutdown has reached its timeout.
    pub(super) fn abort_all(&mut self, out: &mut Vec<Command>) {
        for number in self.requests.open_numbers() {
            self.end_in_place_of_core(number, out);
        }
        if self.lifecycle != Lifecycle::Stopped {
            self.lifecycle = Lifecycle::Stopped;
            out.push(Command::Stopped);
        }
    }
}

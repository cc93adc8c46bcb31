//! Final answers: each request gets one, in one place, whoever decides it.

use pintally::interface::{Event, Micros, RequestId};
use pintally_guards::may_reject;

use crate::host::Host;
use crate::input::{Command, FinalAnswer, RequestNumber};
use crate::refusal::RefusalReason;

impl Host {
    /// The one place in which a final answer is given: the first one counts, there is no second.
    pub(crate) fn answer(&mut self, id: &RequestId, answer: FinalAnswer, out: &mut Vec<Command>) {
        let Some(&ticket) = self.by_id.get(id) else { return };
        let most = self.settings.core.max_attempts;
        let Some(entry) = self.entries.get_mut(&ticket).filter(|e| !e.over) else { return };
        let permit = match answer {
            FinalAnswer::Rejected(_) => may_reject(&entry.facts(most)),
            _ => Ok(()),
        };
        entry.over = true;
        let answer = if permit.is_ok() { answer } else { FinalAnswer::Failed };
        if let Err(denial) = permit {
            self.deny(id, "a refusal", denial, out);
        }
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        let attempts = entry.attempts;
        self.touched.push(ticket);
        self.timers.cancel(entry.guard);
        if !std::mem::replace(&mut entry.heard, true) {
            let (cell, late) = (entry.cell.clone(), answer != FinalAnswer::Served || self.now > entry.aim);
            self.hear(self.now, &cell, late);
        }
        match answer {
            FinalAnswer::Served => self.counters.served += 1,
            FinalAnswer::Rejected(_) => {
                self.counters.rejected += 1;
                self.refusals.add(match attempts {
                    0 => RefusalReason::Unsent,
                    _ => RefusalReason::AfterAttempts,
                });
            }
            FinalAnswer::Failed => self.counters.failed += 1,
            FinalAnswer::StreamCut => self.counters.streams_cut += 1,
        }
        out.push(Command::Answer(ticket, answer));
    }

    /// The core owed an answer and gave none: guards the first rule against whatever kept it.
    pub(crate) fn overdue(&mut self, now: Micros, ticket: RequestNumber, out: &mut Vec<Command>) {
        let Some(entry) = self.entries.get(&ticket).filter(|e| !e.over) else { return };
        self.counters.overdue += 1;
        out.push(Command::Log(format!("request {} is overdue: ended by the host", entry.id.0)));
        self.end_by_host(now, ticket, out);
    }

    /// Turns a request away before any core sees it.
    pub(crate) fn turn_away(
        &mut self,
        ticket: RequestNumber,
        reason: RefusalReason,
        after: Option<Micros>,
        out: &mut Vec<Command>,
    ) {
        self.refusals.add(reason);
        self.counters.rejected_before_dispatch += 1;
        self.counters.rejected += 1;
        out.push(Command::Answer(ticket, FinalAnswer::Rejected(after)));
        out.push(Command::Over(ticket));
    }

    /// Ends a request in the core's place; its attempt is called off.
    fn end_by_host(&mut self, now: Micros, ticket: RequestNumber, out: &mut Vec<Command>) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        let (id, cell) = (entry.id.clone(), entry.cell.clone());
        let open = entry.out.as_ref().map(|o| (o.attempt, o.started));
        let started = open.is_some_and(|o| o.1);
        self.answer(&id, if started { FinalAnswer::StreamCut } else { FinalAnswer::Failed }, out);
        let before = out.len();
        self.event(now, &cell, Event::ClientLeft(id), out);
        let cancelled = |c: &Command| matches!(c, Command::Cancel(t, _) if *t == ticket);
        if let Some((attempt, _)) = open.filter(|_| !out[before..].iter().any(cancelled)) {
            out.push(Command::Cancel(ticket, attempt));
        }
    }

    pub(crate) fn give_up_all(&mut self, now: Micros, out: &mut Vec<Command>) {
        let open: Vec<RequestNumber> =
            self.entries.iter().filter(|(_, e)| !e.over).map(|(t, _)| *t).collect();
        for ticket in open {
            self.end_by_host(now, ticket, out);
        }
        if !std::mem::replace(&mut self.stopped, true) {
            out.push(Command::Stopped);
        }
    }
}

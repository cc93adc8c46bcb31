//! Attempts: what the core sends, and what becomes of it.

use std::sync::Arc;

use pintally::interface::{
    Attempt, AttemptEnd, EngineId, Event, LoadReport, Micros, Outcome, RequestId, Role,
};
use pintally_cells::CellName;
use pintally_engine::Step;
use pintally_guards::{may_send, Denial, MayHaveRun};
use serde_json::Value;

use crate::host::Host;
use crate::input::{AttemptOrder, Command, FinalAnswer, ReleaseScope, RequestNumber};
use crate::ledger::{Out, FIRST_PROBES};
use crate::states;

impl Host {
    pub(crate) fn send(
        &mut self,
        now: Micros,
        cell: &CellName,
        id: RequestId,
        engine: EngineId,
        timeout: Micros,
        out: &mut Vec<Command>,
    ) {
        let ticket = self.by_id.get(&id).copied();
        let Some((ticket, entry)) = ticket.and_then(|t| self.entries.get_mut(&t).map(|e| (t, e))) else {
            // The core still counts on an end.
            self.counters.never_sent += 1;
            self.owed.push_back((cell.clone(), never_sent(id, 0)));
            return;
        };
        let attempt = entry.attempts;
        let most = self.settings.core.max_attempts;
        let place = self.places.get(&engine);
        let permit = match place {
            Some(place) => may_send(now, &entry.facts(most), &place.facts()),
            None => Err(Denial::EngineNotServing),
        };
        entry.attempts += 1;
        if let Err(denial) = permit {
            self.counters.never_sent += 1;
            self.deny(&id, "an attempt", denial, out);
            self.owed.push_back((cell.clone(), never_sent(id, attempt)));
            return;
        }
        let (again, tenant) = (entry.failed, entry.tenant);
        if again && !self.may_retry(now, tenant) {
            self.counters.never_sent += 1;
            self.counters.retries_over_quota += 1;
            self.owed.push_back((cell.clone(), never_sent(id, attempt)));
            return;
        }
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        let left = entry.deadline.saturating_sub(now);
        let Some(place) = self.places.get(&engine) else { return };
        let lost = entry.lost && place.role == Role::Writer;
        let usable = entry.usable().filter(|_| !entry.lost).and_then(|h| h.state.clone());
        let step = match place.role {
            Role::Reader => Step::Read,
            _ if usable.is_some() => Step::Fetch,
            _ => Step::Both,
        };
        if lost {
            // Guards against an attempt that is spent on a state which has been let go: the core hears
            // what the writer would say, and has the prompt read again.
            self.counters.never_sent += 1;
            let event = AttemptEnd {
                id,
                attempt,
                outcome: Outcome::StateNotFound,
                is_final: false,
                cached_tokens: 0,
                load: None,
            };
            self.owed.push_back((cell.clone(), Event::AttemptEnded(event)));
            return;
        }
        self.counters.attempts += 1;
        self.touched.push(ticket);
        entry.out = Some(Out {
            attempt,
            engine: engine.clone(),
            step,
            sent: MayHaveRun { sent: now, zone: place.zone.to_string(), rack: place.rack },
            started: false,
            probes_left: FIRST_PROBES,
            arrived: false,
        });
        let timeout = if timeout == 0 { left } else { timeout.min(left) };
        out.push(Command::Attempt(AttemptOrder {
            ticket,
            request: id,
            attempt,
            cell: cell.clone(),
            address: place.address,
            slots: place.slots,
            engine,
            step,
            state: usable.filter(|_| step == Step::Fetch),
            max_tokens: entry.max_tokens,
            timeout,
            complete_by: (!entry.streamed && step != Step::Read).then_some(left),
        }));
    }

    pub(crate) fn first_token(
        &mut self,
        now: Micros,
        ticket: RequestNumber,
        attempt: Attempt,
        out: &mut Vec<Command>,
    ) {
        let entry = self.entries.get_mut(&ticket).filter(|e| !e.over);
        let Some((entry, step)) = entry.and_then(|e| {
            let o = e.out.as_mut().filter(|o| o.attempt == attempt && !o.started)?;
            o.started = true;
            let step = o.step;
            Some((e, step))
        }) else {
            self.counters.unmatched_inputs += 1;
            return;
        };
        // A state that was fetched is not held any more; where releases are the request's, a first
        // token frees the rest as well.
        let freed = self.scope == ReleaseScope::Request && step != Step::Read;
        entry.held.retain(|h| !(freed || step == Step::Fetch && h.state.is_some()));
        // What streams has no deadline from here on.
        if entry.streamed {
            self.timers.cancel(entry.guard);
        }
        let (id, cell, late) = (entry.id.clone(), entry.cell.clone(), now > entry.aim);
        let engine = entry.out.as_ref().map(|o| o.engine.clone());
        let first = !std::mem::replace(&mut entry.heard, true);
        self.touched.push(ticket);
        if first {
            self.hear(now, &cell, late);
        }
        if freed {
            self.taken_back(&id, 0, out);
        }
        if let Some(engine) = engine {
            self.saw(&engine, true);
            self.heard_engine(now, &engine, true, out);
        }
        self.event(now, &cell, Event::FirstToken(id, attempt), out);
    }

    pub(crate) fn ended(
        &mut self,
        now: Micros,
        ticket: RequestNumber,
        attempt: Attempt,
        outcome: Outcome,
        told: (u64, Option<LoadReport>, Option<Arc<Value>>),
        out: &mut Vec<Command>,
    ) {
        let (kept, load, state) = told;
        let entry = self.entries.get_mut(&ticket);
        let Some((entry, ended)) =
            entry.and_then(|e| e.out.take_if(|o| o.attempt == attempt).map(|o| (e, o)))
        else {
            self.counters.unmatched_inputs += 1;
            return;
        };
        self.touched.push(ticket);
        let (id, cell) = (entry.id.clone(), entry.cell.clone());
        if let Some(cells) = &mut self.cells {
            cells.ended(now, &ended.engine, entry.tenant, outcome, load.as_ref());
            self.uneasy |= !matches!(outcome, Outcome::Served | Outcome::Read);
        }
        let fresh = states::ended(entry, now, &ended, outcome, state);
        let mut outcome = outcome;
        if ended.step == Step::Read && outcome == Outcome::Served
            || ended.step != Step::Read && outcome == Outcome::Read
        {
            // Who was to read and says that it has served, or was to answer and says that it has read,
            // has not done its work either.
            outcome = Outcome::Error;
        }
        if outcome == Outcome::Served {
            entry.held.retain(|h| h.state.is_none());
        }
        entry.note_effect(&ended, outcome);
        entry.failed |= !matches!(outcome, Outcome::Read | Outcome::Served | Outcome::NeverSent);
        let over = entry.over;
        if fresh {
            // Guards against a call for older states that lets go of the one that has just been read.
            self.taken_back(&id, 0, out);
        }
        match outcome {
            Outcome::Cancelled | Outcome::NeverSent => {}
            Outcome::Unreachable | Outcome::TimedOut | Outcome::ConnectionBroken => {
                self.saw(&ended.engine, false)
            }
            _ => self.saw(&ended.engine, true),
        }
        self.witnessed(now, &ended.engine, outcome);
        self.zone_saw(now, &cell, outcome);
        match outcome {
            Outcome::Read | Outcome::Served => self.heard_engine(now, &ended.engine, true, out),
            Outcome::Unreachable => self.heard_engine(now, &ended.engine, false, out),
            _ => {}
        }
        if outcome == Outcome::Served && !over {
            self.answer(&id, FinalAnswer::Served, out);
        } else if ended.started && !over {
            // What had begun cannot begin again: nobody could tell the two beginnings apart.
            self.answer(&id, FinalAnswer::StreamCut, out);
        }
        let last = over || ended.started || outcome == Outcome::Served;
        let event =
            AttemptEnd { id: id.clone(), attempt, outcome, is_final: last, cached_tokens: kept, load };
        self.event(now, &cell, Event::AttemptEnded(event), out);
        self.release_unsure(&id, out);
    }
}

fn never_sent(id: RequestId, attempt: Attempt) -> Event {
    let outcome = Outcome::NeverSent;
    Event::AttemptEnded(AttemptEnd { id, attempt, outcome, is_final: false, cached_tokens: 0, load: None })
}

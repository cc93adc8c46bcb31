//! Attempts on their connections, from the node's order to the report of their end.

use std::sync::Arc;

use pintally::interface::{EndpointState, Outcome};
use pintally_engine::Step;
use pintally_host::{reservation_name, AttemptOrder, Input};
use rand::RngExt;
use serde_json::Value;

use crate::check::{RequestKey, Rule};
use crate::engines::State;
use crate::mutation::Mutation;
use crate::plan::{FaultKind, FreeScope};
use crate::world::{
    Event, InFlightAttempt, Message, World, CONNECT_TIMEOUT, KEEP_ALIVE, MESSAGE_DELAY, STALL_TIMEOUT,
};
use crate::MS;

impl World<'_> {
    /// Takes a kept connection to an engine that has not expired; returns whether it has stopped delivering.
    pub(crate) fn take_kept_connection(&mut self, node: usize, engine: usize) -> Option<bool> {
        let now = self.now;
        let kept = self.nodes[node].kept.get_mut(&engine)?;
        kept.retain(|k| now < k.0 + KEEP_ALIVE);
        kept.pop().map(|k| k.1)
    }

    /// Keeps a connection for reuse.
    pub(crate) fn keep_connection(&mut self, node: usize, engine: usize) {
        self.nodes[node].kept.entry(engine).or_default().push((self.now, false));
    }

    /// Finds an open attempt.
    pub(crate) fn open_attempt(&self, key: RequestKey, attempt: u32) -> Option<u64> {
        let out = |f: &InFlightAttempt| f.key == key && f.attempt == attempt && !f.closed;
        self.attempts.iter().find(|(_, f)| out(f)).map(|(number, _)| *number)
    }

    pub(crate) fn start_attempt(&mut self, node: usize, order: AttemptOrder) {
        let key = (node, self.nodes[node].incarnation, order.number);
        let engine = self.engine_number(&order.engine);
        let open = self.attempts.values().any(|f| f.key == key && !f.closed);
        self.checks.attempt_sent(key, open);
        if self.nodes[node].notified[engine] != Some(EndpointState::Serving) {
            let what = format!("request {} goes to e{engine}, which takes nothing new", order.request.0);
            self.checks.record_violation(Rule::Drain, Some(&order.request), what);
        }
        let kept = self.take_kept_connection(node, engine);
        let attempt_id = self.next;
        self.next += 1;
        self.record(format!(
            "{} goes out to e{engine} as {:?}, attempt {}, {} ms{}",
            order.request.0,
            order.step,
            order.attempt,
            order.timeout / MS,
            if kept.is_some() { ", on a kept connection" } else { "" }
        ));
        let reached = self.can_reach(node, engine);
        let (up, silent) = match kept {
            Some(silent) => (Some(0), silent || !reached),
            None if !reached => (None, true),
            None if self.engines[engine].down_faults > 0 => (None, false),
            None if self.fault_strikes(FaultKind::LateConnections, engine) => {
                if self.rng.random_bool(0.5) {
                    (Some(self.rng.random_range(1..1_000) * MS), false)
                } else {
                    (None, true)
                }
            }
            None => (Some(2 * MESSAGE_DELAY), false),
        };
        self.attempts.insert(
            attempt_id,
            InFlightAttempt {
                key,
                id: order.request,
                attempt: order.attempt,
                engine,
                incarnation: self.engines[engine].incarnation,
                step: order.step,
                fetches: order.state.as_ref().and_then(|s| s.as_str().map(str::to_string)),
                kept: kept.is_some(),
                up: false,
                delivered: false,
                silent,
                closed: false,
                answer_begun: false,
                probe_answered: false,
            },
        );
        self.schedule_after(order.timeout, Event::TimedOut(attempt_id));
        match up {
            Some(after) => self.schedule_after(after, Event::Connected(attempt_id)),
            // The machine of an engine that is down refuses the connection at once.
            None if !silent => self.schedule_after(
                2 * MESSAGE_DELAY,
                Event::MessageReceived(attempt_id, Message::Ended(Outcome::Unreachable)),
            ),
            None => {}
        }
        if up.is_none_or(|after| after > 0) {
            self.schedule_after(CONNECT_TIMEOUT.min(order.timeout), Event::ConnectTimeout(attempt_id));
        }
    }

    pub(crate) fn connected(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts.get_mut(&attempt_id).filter(|f| !f.closed) else { return };
        f.up = true;
        self.schedule_after(MESSAGE_DELAY, Event::Delivered(attempt_id));
    }

    pub(crate) fn connect_timed_out(&mut self, attempt_id: u64) {
        if self.attempts.get(&attempt_id).is_some_and(|f| !f.closed && !f.up) {
            self.end_attempt(attempt_id, Outcome::Unreachable, false);
        }
    }

    /// Handles the delivery of the last byte to the engine.
    pub(crate) fn delivered(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts.get_mut(&attempt_id) else { return };
        let (key, engine, step, silent) = (f.key, f.engine, f.step, f.silent);
        let e = &mut self.engines[engine];
        if silent || e.incarnation != f.incarnation {
            return;
        }
        f.delivered = true;
        match step {
            Step::Read => drop(self.engines[engine].released_while_read.remove(&f.id)),
            _ => self.checks.delivered(key, attempt_id, self.plan.window_ms * MS),
        }
        if self.engines[engine].hang_faults > 0 {
            self.engines[engine].waiting.push((attempt_id, false));
        } else {
            self.begin_work(attempt_id);
        }
    }

    /// Begins the engine's work on an attempt.
    pub(crate) fn begin_work(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts.get(&attempt_id) else { return };
        // An attempt whose connection has been closed is not begun.
        if f.closed && !f.silent {
            return;
        }
        let (engine, step) = (f.engine, f.step);
        if self.fault_strikes(FaultKind::Full, engine) {
            return self.send_message(attempt_id, Message::Ended(Outcome::Overloaded));
        }
        let span = match step {
            Step::Read => self.rng.random_range(3..160) * MS,
            Step::Fetch => self.rng.random_range(3..60) * MS,
            Step::Both => self.rng.random_range(10..250) * MS,
        };
        if step == Step::Fetch && !self.take_state(attempt_id) {
            return self.send_message(attempt_id, Message::Ended(Outcome::StateNotFound));
        }
        if self.fault_strikes(FaultKind::Errors, engine) {
            return self.send_message(attempt_id, Message::Ended(Outcome::Error));
        }
        self.schedule_after(span, Event::FirstPartDone(attempt_id));
    }

    /// Removes the state that an attempt fetches; returns whether there was one.
    pub(crate) fn take_state(&mut self, attempt_id: u64) -> bool {
        let Some(f) = self.attempts.get(&attempt_id) else { return false };
        for engine in &mut self.engines {
            let own = |s: &State| match self.plan.free_scope {
                FreeScope::Request => s.request == f.id,
                FreeScope::State => f.fetches.as_deref() == Some(&*s.name.0),
            };
            if let Some(at) = engine.held.iter().position(own) {
                engine.held.remove(at);
                return true;
            }
        }
        false
    }

    /// Handles a prompt that has been read, or an answer that begins.
    pub(crate) fn first_part_done(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts.get(&attempt_id) else { return };
        let (engine, step, id, key, attempt) = (f.engine, f.step, f.id.clone(), f.key, f.attempt);
        if self.engines[engine].incarnation != f.incarnation || f.closed && !f.silent {
            return;
        }
        if self.engines[engine].hang_faults > 0 {
            return self.engines[engine].waiting.push((attempt_id, true));
        }
        if step != Step::Read {
            // With the release scope of a request, the first token frees all of its states.
            if self.plan.free_scope == FreeScope::Request {
                self.free_request(&id);
            }
            self.send_message(attempt_id, Message::FirstToken);
            let span = self.rng.random_range(20..900) * MS;
            return self.schedule_after(span, Event::AnswerDone(attempt_id));
        }
        let dropped = self.engines[engine].released_while_read.remove(&id);
        if !dropped {
            let name = reservation_name(&id, attempt);
            let owner = (key.0, key.1);
            self.engines[engine].held.push(State { request: id.clone(), name, owner });
            self.record(format!("{} is read at e{engine}", id.0));
        }
        let lost = self.fault_strikes(FaultKind::LoseAnswers, engine);
        self.send_message(
            attempt_id,
            Message::Ended(if lost { Outcome::ConnectionBroken } else { Outcome::Read }),
        );
    }

    /// Handles the end of an answer.
    pub(crate) fn answer_done(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts.get(&attempt_id) else { return };
        let engine = f.engine;
        if self.engines[engine].incarnation != f.incarnation || f.closed {
            return;
        }
        let breaks = self.fault_strikes(FaultKind::BreakStreams, engine)
            || self.fault_strikes(FaultKind::LoseAnswers, engine);
        self.send_message(
            attempt_id,
            Message::Ended(if breaks { Outcome::ConnectionBroken } else { Outcome::Served }),
        );
    }

    pub(crate) fn send_message(&mut self, attempt_id: u64, message: Message) {
        self.schedule_after(MESSAGE_DELAY, Event::MessageReceived(attempt_id, message));
    }

    pub(crate) fn receive_message(&mut self, attempt_id: u64, message: Message) {
        let Some(f) = self.attempts.get_mut(&attempt_id).filter(|f| !f.closed && !f.silent) else { return };
        match message {
            Message::FirstToken => {
                f.answer_begun = true;
                let (key, attempt) = (f.key, f.attempt);
                if let Some(known) = self.checks.requests.get_mut(&key) {
                    known.answer_begun = true;
                }
                self.schedule_after(STALL_TIMEOUT, Event::Stalled(attempt_id));
                self.deliver_input(key.0, key.1, Input::FirstToken(key.2, attempt));
            }
            Message::Ended(outcome) => {
                let reusable = matches!(
                    outcome,
                    Outcome::Read
                        | Outcome::Served
                        | Outcome::Overloaded
                        | Outcome::StateNotFound
                        | Outcome::Error
                );
                self.end_attempt(attempt_id, outcome, reusable);
            }
        }
    }

    /// Ends an attempt at the node; `reusable` tells whether its connection is kept.
    pub(crate) fn end_attempt(&mut self, attempt_id: u64, outcome: Outcome, reusable: bool) {
        let Some(f) = self.attempts.get_mut(&attempt_id).filter(|f| !f.closed) else { return };
        f.closed = !(outcome == Outcome::TimedOut && self.mutation == Some(Mutation::KeepsWhatItGivesUp));
        let (key, attempt, engine, step, id, delivered) =
            (f.key, f.attempt, f.engine, f.step, f.id.clone(), f.delivered);
        self.step_outcomes.insert(format!("{step:?} {outcome:?}"));
        self.record(format!("{} at e{engine} has ended: {outcome:?}", id.0));
        match reusable {
            true => self.keep_connection(key.0, engine),
            false if delivered => self.schedule_after(MESSAGE_DELAY, Event::CloseSeen(attempt_id)),
            false => {}
        }
        if matches!(outcome, Outcome::Overloaded | Outcome::StateNotFound) {
            self.checks.never_ran(key, attempt_id);
        }
        if self.has_mutation(Mutation::ForgetsEnds) && self.rng.random_bool(0.01) {
            return;
        }
        let forgets = self.has_mutation(Mutation::ForgetsThatItRan) && step != Step::Read;
        let notified = match outcome {
            Outcome::TimedOut | Outcome::ConnectionBroken if forgets => Outcome::Unreachable,
            other => other,
        };
        let state = (notified == Outcome::Read)
            .then(|| Arc::new(Value::String(reservation_name(&id, attempt).0.to_string())));
        let ended = Input::AttemptEnded {
            number: key.2,
            attempt,
            outcome: notified,
            cached_tokens: 0,
            load: None,
            state,
        };
        self.deliver_input(key.0, key.1, ended);
    }

    /// Handles a connection that the node closed: an engine that works removes the attempt from those waiting.
    pub(crate) fn close_seen(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts.get(&attempt_id) else { return };
        if !f.silent && self.engines[f.engine].is_working() {
            let engine = f.engine;
            self.engines[engine].waiting.retain(|w| w.0 != attempt_id);
        }
    }
}

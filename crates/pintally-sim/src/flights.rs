//! Attempts on their connections, from the order to the word of their end.

use std::sync::Arc;

use pintally::interface::{EndpointState, Outcome};
use pintally_engine::Step;
use pintally_host::{reservation_name, AttemptOrder, Input};
use rand::RngExt;
use serde_json::Value;

use crate::check::{Place, Rule};
use crate::engines::State;
use crate::mutation::Mutation;
use crate::plan::{FaultKind, Frees};
use crate::world::{Event, Flight, Word, World, CONNECT, HOP, KEEP, STALL};
use crate::MS;

impl World<'_> {
    /// A connection that is kept to an engine, if one is fresh enough: whether it has fallen silent.
    pub(crate) fn kept(&mut self, node: usize, engine: usize) -> Option<bool> {
        let now = self.now;
        let kept = self.nodes[node].kept.get_mut(&engine)?;
        kept.retain(|k| now < k.0 + KEEP);
        kept.pop().map(|k| k.1)
    }

    /// A connection that was of use is kept.
    pub(crate) fn keep(&mut self, node: usize, engine: usize) {
        self.nodes[node].kept.entry(engine).or_default().push((self.now, false));
    }

    /// An attempt that is out.
    pub(crate) fn out(&self, place: Place, attempt: u32) -> Option<u64> {
        let out = |f: &Flight| f.place == place && f.attempt == attempt && !f.closed;
        self.flights.iter().find(|(_, f)| out(f)).map(|(number, _)| *number)
    }

    pub(crate) fn attempt(&mut self, node: usize, order: AttemptOrder) {
        let place = (node, self.nodes[node].life, order.number);
        let engine = self.number(&order.engine);
        let open = self.flights.values().any(|f| f.place == place && !f.closed);
        self.checks.sent(place, open);
        if self.nodes[node].notified[engine] != Some(EndpointState::Serving) {
            let what = format!("request {} goes to e{engine}, which takes nothing new", order.request.0);
            self.checks.record_violation(Rule::Drain, Some(&order.request), what);
        }
        let kept = self.kept(node, engine);
        let flight = self.next;
        self.next += 1;
        self.say(format!(
            "{} goes out to e{engine} as {:?}, attempt {}, {} ms{}",
            order.request.0,
            order.step,
            order.attempt,
            order.timeout / MS,
            if kept.is_some() { ", on a kept connection" } else { "" }
        ));
        let reached = self.reaches(node, engine);
        let (up, silent) = match kept {
            Some(silent) => (Some(0), silent || !reached),
            None if !reached => (None, true),
            None if self.engines[engine].dead > 0 => (None, false),
            None if self.struck(FaultKind::LateConnections, engine) => {
                if self.rng.random_bool(0.5) {
                    (Some(self.rng.random_range(1..1_000) * MS), false)
                } else {
                    (None, true)
                }
            }
            None => (Some(2 * HOP), false),
        };
        self.flights.insert(
            flight,
            Flight {
                place,
                id: order.request,
                attempt: order.attempt,
                engine,
                life: self.engines[engine].life,
                step: order.step,
                fetches: order.state.as_ref().and_then(|s| s.as_str().map(str::to_string)),
                kept: kept.is_some(),
                up: false,
                came: false,
                silent,
                closed: false,
                begun: false,
                carried: false,
            },
        );
        self.soon(order.timeout, Event::TimedOut(flight));
        match up {
            Some(after) => self.soon(after, Event::Up(flight)),
            // Refused at once by a machine whose engine is down.
            None if !silent => self.soon(2 * HOP, Event::Word(flight, Word::End(Outcome::Unreachable))),
            None => {}
        }
        if up.is_none_or(|after| after > 0) {
            self.soon(CONNECT.min(order.timeout), Event::NotUp(flight));
        }
    }

    pub(crate) fn up(&mut self, flight: u64) {
        let Some(f) = self.flights.get_mut(&flight).filter(|f| !f.closed) else { return };
        f.up = true;
        self.soon(HOP, Event::Come(flight));
    }

    pub(crate) fn not_up(&mut self, flight: u64) {
        if self.flights.get(&flight).is_some_and(|f| !f.closed && !f.up) {
            self.end(flight, Outcome::Unreachable, false);
        }
    }

    /// The last byte comes to the engine.
    pub(crate) fn come(&mut self, flight: u64) {
        let Some(f) = self.flights.get_mut(&flight) else { return };
        let (place, engine, step, silent) = (f.place, f.engine, f.step, f.silent);
        let e = &mut self.engines[engine];
        if silent || e.life != f.life {
            return;
        }
        f.came = true;
        match step {
            Step::Read => drop(self.engines[engine].dropped.remove(&f.id)),
            _ => self.checks.came(place, flight, self.plan.window_ms * MS),
        }
        if self.engines[engine].hung > 0 {
            self.engines[engine].waiting.push((flight, false));
        } else {
            self.work(flight);
        }
    }

    /// The engine begins.
    pub(crate) fn work(&mut self, flight: u64) {
        let Some(f) = self.flights.get(&flight) else { return };
        // One whose connection has been closed is not begun.
        if f.closed && !f.silent {
            return;
        }
        let (engine, step) = (f.engine, f.step);
        if self.struck(FaultKind::Full, engine) {
            return self.word_later(flight, Word::End(Outcome::Overloaded));
        }
        let span = match step {
            Step::Read => self.rng.random_range(3..160) * MS,
            Step::Fetch => self.rng.random_range(3..60) * MS,
            Step::Both => self.rng.random_range(10..250) * MS,
        };
        if step == Step::Fetch && !self.fetch(flight) {
            return self.word_later(flight, Word::End(Outcome::StateNotFound));
        }
        if self.struck(FaultKind::Errors, engine) {
            return self.word_later(flight, Word::End(Outcome::Error));
        }
        self.soon(span, Event::Ready(flight));
    }

    /// Takes the state of a flight that fetches; whether there was one.
    pub(crate) fn fetch(&mut self, flight: u64) -> bool {
        let Some(f) = self.flights.get(&flight) else { return false };
        for engine in &mut self.engines {
            let own = |s: &State| match self.plan.frees {
                Frees::Request => s.request == f.id,
                Frees::State => f.fetches.as_deref() == Some(&*s.name.0),
            };
            if let Some(at) = engine.held.iter().position(own) {
                engine.held.remove(at);
                return true;
            }
        }
        false
    }

    /// A prompt has been read, or an answer begins.
    pub(crate) fn ready(&mut self, flight: u64) {
        let Some(f) = self.flights.get(&flight) else { return };
        let (engine, step, id, place, attempt) = (f.engine, f.step, f.id.clone(), f.place, f.attempt);
        if self.engines[engine].life != f.life || f.closed && !f.silent {
            return;
        }
        if self.engines[engine].hung > 0 {
            return self.engines[engine].waiting.push((flight, true));
        }
        if step != Step::Read {
            // Where all of a request is let go at once, its first token does so.
            if self.plan.frees == Frees::Request {
                self.free(&id);
            }
            self.word_later(flight, Word::First);
            let span = self.rng.random_range(20..900) * MS;
            return self.soon(span, Event::Done(flight));
        }
        let dropped = self.engines[engine].dropped.remove(&id);
        if !dropped {
            let name = reservation_name(&id, attempt);
            let owner = (place.0, place.1);
            self.engines[engine].held.push(State { request: id.clone(), name, owner });
            self.say(format!("{} is read at e{engine}", id.0));
        }
        let lost = self.struck(FaultKind::LoseAnswers, engine);
        self.word_later(flight, Word::End(if lost { Outcome::ConnectionBroken } else { Outcome::Read }));
    }

    /// An answer has ended.
    pub(crate) fn done(&mut self, flight: u64) {
        let Some(f) = self.flights.get(&flight) else { return };
        let engine = f.engine;
        if self.engines[engine].life != f.life || f.closed {
            return;
        }
        let breaks =
            self.struck(FaultKind::BreakStreams, engine) || self.struck(FaultKind::LoseAnswers, engine);
        self.word_later(flight, Word::End(if breaks { Outcome::ConnectionBroken } else { Outcome::Served }));
    }

    pub(crate) fn word_later(&mut self, flight: u64, word: Word) {
        self.soon(HOP, Event::Word(flight, word));
    }

    pub(crate) fn word(&mut self, flight: u64, word: Word) {
        let Some(f) = self.flights.get_mut(&flight).filter(|f| !f.closed && !f.silent) else { return };
        match word {
            Word::First => {
                f.begun = true;
                let (place, attempt) = (f.place, f.attempt);
                if let Some(known) = self.checks.known.get_mut(&place) {
                    known.begun = true;
                }
                self.soon(STALL, Event::Stalled(flight));
                self.tell(place.0, place.1, Input::FirstToken(place.2, attempt));
            }
            Word::End(outcome) => {
                let sound = matches!(
                    outcome,
                    Outcome::Read
                        | Outcome::Served
                        | Outcome::Overloaded
                        | Outcome::StateNotFound
                        | Outcome::Error
                );
                self.end(flight, outcome, sound);
            }
        }
    }

    /// The node's end of a flight; `sound` if its connection is kept.
    pub(crate) fn end(&mut self, flight: u64, outcome: Outcome, sound: bool) {
        let Some(f) = self.flights.get_mut(&flight).filter(|f| !f.closed) else { return };
        f.closed = !(outcome == Outcome::TimedOut && self.mutation == Some(Mutation::KeepsWhatItGivesUp));
        let (place, attempt, engine, step, id, came) =
            (f.place, f.attempt, f.engine, f.step, f.id.clone(), f.came);
        self.met.insert(format!("{step:?} {outcome:?}"));
        self.say(format!("{} at e{engine} has ended: {outcome:?}", id.0));
        match sound {
            true => self.keep(place.0, engine),
            false if came => self.soon(HOP, Event::Closed(flight)),
            false => {}
        }
        if matches!(outcome, Outcome::Overloaded | Outcome::StateNotFound) {
            self.checks.never_ran(place, flight);
        }
        if self.is(Mutation::ForgetsEnds) && self.rng.random_bool(0.01) {
            return;
        }
        let forgets = self.is(Mutation::ForgetsThatItRan) && step != Step::Read;
        let notified = match outcome {
            Outcome::TimedOut | Outcome::ConnectionBroken if forgets => Outcome::Unreachable,
            other => other,
        };
        let state = (notified == Outcome::Read)
            .then(|| Arc::new(Value::String(reservation_name(&id, attempt).0.to_string())));
        let ended = Input::AttemptEnded {
            number: place.2,
            attempt,
            outcome: notified,
            cached_tokens: 0,
            load: None,
            state,
        };
        self.tell(place.0, place.1, ended);
    }

    /// The engine sees that a connection has been closed: what it had not done is not done.
    pub(crate) fn closed(&mut self, flight: u64) {
        let Some(f) = self.flights.get(&flight) else { return };
        if !f.silent && self.engines[f.engine].works() {
            let engine = f.engine;
            self.engines[engine].waiting.retain(|w| w.0 != flight);
        }
    }
}

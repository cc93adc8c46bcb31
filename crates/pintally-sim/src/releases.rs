//! Release calls, connection probes, and the check of the states that engines actually hold.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EndpointState, EngineId, RequestId};
use pintally_engine::Step;
use pintally_host::Input;
use rand::RngExt;

use crate::check::RequestKey;
use crate::mutation::Mutation;
use crate::plan::{FaultKind, FreeScope};
use crate::world::{
    engine_id, Event, InFlightAttempt, ReleaseCall, World, CONNECT_TIMEOUT, HELD_CHECK_INTERVAL,
    MESSAGE_DELAY,
};
use crate::MS;

impl World<'_> {
    pub(crate) fn release(&mut self, node: usize, id: RequestId, engine: &EngineId, anew: bool) {
        let n = self.engine_number(engine);
        let again = self.release_calls.values().any(|c| c.node == node && c.id == id);
        let dropped = self.has_mutation(Mutation::ReleasesNothing)
            || self.has_mutation(Mutation::ReleasesOnce) && again
            || self.has_mutation(Mutation::ReleasesToServingOnly)
                && self.engines[n].listing != EndpointState::Serving;
        if dropped {
            return;
        }
        let number = self.next;
        self.next += 1;
        self.record(format!("{} is let go at e{n} by n{node}", id.0));
        let anew = anew && !self.has_mutation(Mutation::CallsOnKeptConnections);
        let kept = if anew { None } else { self.take_kept_connection(node, n) };
        let reached = self.can_reach(node, n);
        let incarnation = self.nodes[node].incarnation;
        let mut call =
            ReleaseCall { node, incarnation, id, engine: n, silent: !reached, delivered: false, over: false };
        let after = match kept {
            Some(silent) => {
                call.silent |= silent;
                Some(MESSAGE_DELAY)
            }
            None if !reached => None,
            None if self.engines[n].down_faults > 0 => {
                self.release_calls.insert(number, call);
                return self.schedule_after(2 * MESSAGE_DELAY, Event::ReleaseEnded(number, false));
            }
            None if self.fault_strikes(FaultKind::LateConnections, n) => {
                Some(self.rng.random_range(1..1_000) * MS).filter(|at| *at < CONNECT_TIMEOUT)
            }
            None => Some(3 * MESSAGE_DELAY),
        };
        self.release_calls.insert(number, call);
        if let Some(after) = after {
            self.schedule_after(after, Event::ReleaseDelivered(number));
        }
        self.schedule_after(self.plan.release_call_timeout_ms() * MS, Event::ReleaseEnded(number, false));
    }

    /// Handles a release call that is delivered to its engine.
    pub(crate) fn deliver_release(&mut self, number: u64) {
        let Some(call) = self.release_calls.get_mut(&number).filter(|c| !c.over && !c.silent) else { return };
        call.delivered = true;
        let (id, engine) = (call.id.clone(), call.engine);
        if !self.engines[engine].is_working() {
            return;
        }
        match self.plan.free_scope {
            FreeScope::State => self.engines[engine].held.retain(|s| s.name != id),
            FreeScope::Request => self.free_request(&id),
        }
        if !self.fault_strikes(FaultKind::DeafCalls, engine) {
            self.schedule_after(MESSAGE_DELAY, Event::ReleaseEnded(number, true));
        }
    }

    /// Frees all states of a request; the states of its reads in progress are not kept either.
    pub(crate) fn free_request(&mut self, id: &RequestId) {
        for e in &mut self.engines {
            e.held.retain(|s| s.request != *id);
        }
        let reads = self.attempts.values().filter(|f| f.id == *id && f.step == Step::Read && f.delivered);
        for engine in reads.map(|f| f.engine).collect::<Vec<_>>() {
            self.engines[engine].released_while_read.insert(id.clone());
        }
    }

    pub(crate) fn release_ended(&mut self, number: u64, heard: bool) {
        let Some(call) = self.release_calls.get_mut(&number).filter(|c| !c.over) else { return };
        if heard && call.silent {
            return;
        }
        call.over = true;
        let (node, incarnation, id, engine) = (call.node, call.incarnation, call.id.clone(), call.engine);
        if !self.has_mutation(Mutation::ReleasesOnce) {
            self.release_calls.remove(&number);
        }
        if heard {
            self.keep_connection(node, engine);
        }
        self.deliver_input(node, incarnation, Input::Released(id, engine_id(engine), heard));
    }

    pub(crate) fn probe_connection(&mut self, key: RequestKey, attempt: u32, engine: &EngineId) {
        let n = self.engine_number(engine);
        let Some(attempt_id) = self.open_attempt(key, attempt) else { return };
        let always = self.has_mutation(Mutation::ConnectionProbesAlwaysAnswered);
        let there = self.can_reach(key.0, n) && self.engines[n].down_faults == 0;
        let Some(f) = self.attempts.get_mut(&attempt_id) else { return };
        let comes_up = f.up && !f.kept && there;
        if comes_up || always {
            (f.up, f.probe_answered) = (true, comes_up);
            self.schedule_after(2 * MESSAGE_DELAY, Event::ProbeAnswered(attempt_id));
        }
    }

    /// Checks the held states, and drops closed attempts that have no event left.
    pub(crate) fn check_held(&mut self) {
        self.schedule_after(HELD_CHECK_INTERVAL, Event::CheckHeld);
        if self.plan.free_scope == FreeScope::Request {
            let mut held: BTreeMap<RequestId, bool> = BTreeMap::new();
            for state in self.engines.iter().flat_map(|e| &e.held) {
                let (node, incarnation) = state.owner;
                // A node that has died releases nothing.
                if self.nodes[node].incarnation != incarnation || self.nodes[node].host.is_none() {
                    continue;
                }
                // An engine that died or became unreachable after the delivery does not count as working on
                // the attempt. A read is the exception: the node cannot know about its state before it has
                // given up the read.
                let there = |f: &InFlightAttempt| {
                    f.step == Step::Read
                        || self.can_reach(f.key.0, f.engine) && self.engines[f.engine].down_faults == 0
                };
                let at_work = |f: &InFlightAttempt| {
                    f.id == state.request && (f.delivered || f.probe_answered) && !f.closed && there(f)
                };
                let hears = |n: &usize| {
                    let known = self.nodes[node].notified[*n].is_some_and(|l| l != EndpointState::Gone);
                    known && self.engines[*n].is_working() && self.can_reach(node, *n)
                };
                // While fewer than half of the engines can receive a call, finding one takes longer.
                let all = self.engines.len();
                let cut_off = (0..all).filter(hears).count() * 2 < all;
                let rests = cut_off || self.attempts.values().any(at_work);
                *held.entry(state.request.clone()).or_insert(true) &= rests;
            }
            self.checks.check_held(&held, self.plan.release_ms * MS);
        }
        let now = self.now;
        if now.is_multiple_of(1_000 * MS) {
            let ends: BTreeSet<u64> = self
                .events
                .values()
                .filter_map(|e| match e {
                    Event::Connected(f)
                    | Event::ConnectTimeout(f)
                    | Event::Delivered(f)
                    | Event::FirstPartDone(f)
                    | Event::AnswerDone(f)
                    | Event::MessageReceived(f, _)
                    | Event::TimedOut(f)
                    | Event::Stalled(f)
                    | Event::CloseSeen(f) => Some(*f),
                    _ => None,
                })
                .collect();
            let waits: BTreeSet<u64> =
                self.engines.iter().flat_map(|e| e.waiting.iter().map(|w| w.0)).collect();
            self.attempts.retain(|n, f| !f.closed || ends.contains(n) || waits.contains(n));
        }
    }
}

//! Calls that let go, connection probes, and what is held by the truth.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EndpointState, EngineId, RequestId};
use pintally_engine::Step;
use pintally_host::Input;
use rand::RngExt;

use crate::check::Place;
use crate::mutation::Mutation;
use crate::plan::{FaultKind, Frees};
use crate::world::{engine_id, Call, Event, Flight, World, CONNECT, HOP, LOOK};
use crate::MS;

impl World<'_> {
    pub(crate) fn release(&mut self, node: usize, id: RequestId, engine: &EngineId, anew: bool) {
        let n = self.number(engine);
        let again = self.calls.values().any(|c| c.node == node && c.id == id);
        let dropped = self.is(Mutation::ReleasesNothing)
            || self.is(Mutation::ReleasesOnce) && again
            || self.is(Mutation::ReleasesToServingOnly) && self.engines[n].listing != EndpointState::Serving;
        if dropped {
            return;
        }
        let number = self.next;
        self.next += 1;
        self.say(format!("{} is let go at e{n} by n{node}", id.0));
        let anew = anew && !self.is(Mutation::CallsOnKeptConnections);
        let kept = if anew { None } else { self.kept(node, n) };
        let reached = self.reaches(node, n);
        let life = self.nodes[node].life;
        let mut call = Call { node, life, id, engine: n, silent: !reached, came: false, over: false };
        let after = match kept {
            Some(silent) => {
                call.silent |= silent;
                Some(HOP)
            }
            None if !reached => None,
            None if self.engines[n].dead > 0 => {
                self.calls.insert(number, call);
                return self.soon(2 * HOP, Event::CallOver(number, false));
            }
            None if self.struck(FaultKind::LateConnections, n) => {
                Some(self.rng.random_range(1..1_000) * MS).filter(|at| *at < CONNECT)
            }
            None => Some(3 * HOP),
        };
        self.calls.insert(number, call);
        if let Some(after) = after {
            self.soon(after, Event::Call(number));
        }
        self.soon(self.plan.errand_ms() * MS, Event::CallOver(number, false));
    }

    /// A call comes to its engine.
    pub(crate) fn call(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number).filter(|c| !c.over && !c.silent) else { return };
        call.came = true;
        let (id, engine) = (call.id.clone(), call.engine);
        if !self.engines[engine].works() {
            return;
        }
        match self.plan.frees {
            Frees::State => self.engines[engine].held.retain(|s| s.name != id),
            Frees::Request => self.free(&id),
        }
        if !self.struck(FaultKind::DeafCalls, engine) {
            self.soon(HOP, Event::CallOver(number, true));
        }
    }

    /// All that is held for a request goes, and what is being read for it is not kept.
    pub(crate) fn free(&mut self, id: &RequestId) {
        for e in &mut self.engines {
            e.held.retain(|s| s.request != *id);
        }
        let reads = self.flights.values().filter(|f| f.id == *id && f.step == Step::Read && f.came);
        for engine in reads.map(|f| f.engine).collect::<Vec<_>>() {
            self.engines[engine].dropped.insert(id.clone());
        }
    }

    pub(crate) fn call_over(&mut self, number: u64, heard: bool) {
        let Some(call) = self.calls.get_mut(&number).filter(|c| !c.over) else { return };
        if heard && call.silent {
            return;
        }
        call.over = true;
        let (node, life, id, engine) = (call.node, call.life, call.id.clone(), call.engine);
        if !self.is(Mutation::ReleasesOnce) {
            self.calls.remove(&number);
        }
        if heard {
            self.keep(node, engine);
        }
        self.tell(node, life, Input::Released(id, engine_id(engine), heard));
    }

    pub(crate) fn probe_connection(&mut self, place: Place, attempt: u32, engine: &EngineId) {
        let n = self.number(engine);
        let Some(flight) = self.out(place, attempt) else { return };
        let always = self.is(Mutation::ConnectionProbesAlwaysAnswered);
        let there = self.reaches(place.0, n) && self.engines[n].dead == 0;
        let Some(f) = self.flights.get_mut(&flight) else { return };
        let comes_up = f.up && !f.kept && there;
        if comes_up || always {
            (f.up, f.carried) = (true, comes_up);
            self.soon(2 * HOP, Event::Carried(flight));
        }
    }

    /// Looks at what is held, and forgets flights that nothing can come of.
    pub(crate) fn look(&mut self) {
        self.soon(LOOK, Event::Look);
        if self.plan.frees == Frees::Request {
            let mut held: BTreeMap<RequestId, bool> = BTreeMap::new();
            for state in self.engines.iter().flat_map(|e| &e.held) {
                let (node, life) = state.owner;
                // Who has died lets go of nothing.
                if self.nodes[node].life != life || self.nodes[node].host.is_none() {
                    continue;
                }
                // An engine that has gone since it had the attempt is at work on nothing. What a read leaves
                // there is not known to the node before it has given up the read.
                let there = |f: &Flight| {
                    f.step == Step::Read
                        || self.reaches(f.place.0, f.engine) && self.engines[f.engine].dead == 0
                };
                let at_work =
                    |f: &Flight| f.id == state.request && (f.came || f.carried) && !f.closed && there(f);
                let hears = |n: &usize| {
                    let known = self.nodes[node].notified[*n].is_some_and(|l| l != EndpointState::Gone);
                    known && self.engines[*n].works() && self.reaches(node, *n)
                };
                // Where fewer than half of the engines can hear a call, finding one takes longer.
                let all = self.engines.len();
                let cut_off = (0..all).filter(hears).count() * 2 < all;
                let rests = cut_off || self.flights.values().any(at_work);
                *held.entry(state.request.clone()).or_insert(true) &= rests;
            }
            self.checks.held(&held, self.plan.release_ms * MS);
        }
        let now = self.now;
        if now.is_multiple_of(1_000 * MS) {
            let ends: BTreeSet<u64> = self
                .events
                .values()
                .filter_map(|e| match e {
                    Event::Up(f)
                    | Event::NotUp(f)
                    | Event::Come(f)
                    | Event::Ready(f)
                    | Event::Done(f)
                    | Event::Word(f, _)
                    | Event::TimedOut(f)
                    | Event::Stalled(f)
                    | Event::Closed(f) => Some(*f),
                    _ => None,
                })
                .collect();
            let waits: BTreeSet<u64> =
                self.engines.iter().flat_map(|e| e.waiting.iter().map(|w| w.0)).collect();
            self.flights.retain(|n, f| !f.closed || ends.contains(n) || waits.contains(n));
        }
    }
}

//! Troubles, as they begin and end.

use pintally::interface::{EndpointState, Outcome};
use pintally_host::Input;

use crate::engines::Engine;
use crate::plan::FaultKind;
use crate::world::{Event, Word, World, STOP};
use crate::MS;

impl World<'_> {
    pub(crate) fn toggle_fault(&mut self, number: usize, on: bool) {
        let trouble = self.plan.troubles[number].clone();
        let (engines, nodes) = (self.engines.len(), self.nodes.len());
        let (engine, node) = (trouble.whom % engines, trouble.whom % nodes);
        let zone = trouble.zone % self.plan.zones.max(1);
        self.say(format!(
            "# {:?} {} (e{engine}, n{node}, z{zone})",
            trouble.kind,
            if on { "begins" } else { "ends" }
        ));
        if on {
            self.active.push(trouble.clone());
        } else {
            if let Some(at) = self.active.iter().position(|t| *t == trouble) {
                self.active.remove(at);
            }
        }
        match (trouble.kind, on) {
            (FaultKind::Vanish, true) => {
                self.engines[engine].away += 1;
                self.fall_silent(|_, e| e == engine);
            }
            (FaultKind::Vanish, false) => self.engines[engine].away -= 1,
            (FaultKind::Die, true) => self.die(engine),
            (FaultKind::Die, false) => self.return_of(engine),
            (FaultKind::Hang, true) => self.engines[engine].hung += 1,
            (FaultKind::Hang, false) => {
                self.engines[engine].hung -= 1;
                if self.engines[engine].works() {
                    for (flight, begun) in std::mem::take(&mut self.engines[engine].waiting) {
                        if begun {
                            self.ready(flight);
                        } else {
                            self.work(flight);
                        }
                    }
                }
            }
            (FaultKind::Cut, true) => {
                self.cuts.push((node, zone));
                let zones: Vec<usize> = self.engines.iter().map(|e| e.zone).collect();
                self.fall_silent(|n, e| n == node && zones[e] == zone);
            }
            (FaultKind::Cut, false) => {
                if let Some(at) = self.cuts.iter().position(|c| *c == (node, zone)) {
                    self.cuts.remove(at);
                }
            }
            (FaultKind::Drain, true) => self.drain(engine),
            (FaultKind::Drain, false) => {
                if self.engines[engine].listing == EndpointState::Draining {
                    self.engines[engine].listing = EndpointState::Gone;
                    self.die(engine);
                    // Back as a new start, a second later.
                    self.listed();
                    self.soon(1_000 * MS, Event::FaultToggled(number, false));
                } else if self.engines[engine].listing == EndpointState::Gone {
                    self.engines[engine].listing = EndpointState::Serving;
                    self.return_of(engine);
                    self.listed();
                }
            }
            (FaultKind::LateLists, true) => self.nodes[node].deaf_until = trouble.to_ms * MS,
            (FaultKind::Stop, true) => {
                let life = self.nodes[node].life;
                if self.nodes[node].host.is_some() {
                    self.nodes[node].stopping = true;
                    self.soon(STOP, Event::Kill(node, life));
                    self.tell(node, life, Input::Stop);
                }
            }
            (FaultKind::Kill, true) => self.kill(node),
            _ => {}
        }
    }

    /// Connections on which nothing is heard any more.
    pub(crate) fn fall_silent(&mut self, strikes: impl Fn(usize, usize) -> bool) {
        for f in self.flights.values_mut().filter(|f| !f.closed && strikes(f.place.0, f.engine)) {
            f.silent = true;
        }
        for c in self.calls.values_mut().filter(|c| strikes(c.node, c.engine)) {
            c.silent = true;
        }
        for (n, node) in self.nodes.iter_mut().enumerate() {
            for (engine, kept) in &mut node.kept {
                if strikes(n, *engine) {
                    kept.iter_mut().for_each(|k| k.1 = true);
                }
            }
        }
    }

    /// An engine's process dies: who can hear it hears that connections are reset.
    pub(crate) fn die(&mut self, engine: usize) {
        self.engines[engine].die();
        let broken: Vec<u64> = self
            .flights
            .iter()
            .filter(|(_, f)| f.engine == engine && !f.closed && !f.silent && f.up)
            .map(|(n, _)| *n)
            .collect();
        broken.into_iter().for_each(|f| self.word_later(f, Word::End(Outcome::ConnectionBroken)));
        for node in &mut self.nodes {
            // Those that fell silent before hear nothing of it.
            if let Some(kept) = node.kept.get_mut(&engine) {
                kept.retain(|k| k.1);
            }
        }
    }

    /// A process is back, empty, unless another trouble keeps it down.
    pub(crate) fn return_of(&mut self, engine: usize) {
        let now = self.now;
        let e = &mut self.engines[engine];
        e.dead -= 1;
        if e.dead == 0 {
            e.started = Some(now);
        }
        self.listed();
    }

    /// An engine drains, if others of its role still take work.
    pub(crate) fn drain(&mut self, engine: usize) {
        let reads = self.engines[engine].reads;
        let serving = |e: &&Engine| e.reads == reads && e.listing == EndpointState::Serving;
        let others = self.engines.iter().filter(serving).count() > 1;
        if others && self.engines[engine].listing == EndpointState::Serving {
            self.engines[engine].listing = EndpointState::Draining;
            self.listed();
        }
    }
}

//! The beginning and end of faults.

use pintally::interface::{EndpointState, Outcome};
use pintally_host::Input;

use crate::engines::Engine;
use crate::plan::FaultKind;
use crate::world::{Event, Message, World, STOP_GRACE};
use crate::MS;

impl World<'_> {
    pub(crate) fn toggle_fault(&mut self, number: usize, on: bool) {
        let fault = self.plan.faults[number].clone();
        let (engines, nodes) = (self.engines.len(), self.nodes.len());
        let (engine, node) = (fault.target % engines, fault.target % nodes);
        let zone = fault.zone % self.plan.zones.max(1);
        self.record(format!(
            "# {:?} {} (e{engine}, n{node}, z{zone})",
            fault.kind,
            if on { "begins" } else { "ends" }
        ));
        if on {
            self.active.push(fault.clone());
        } else {
            if let Some(at) = self.active.iter().position(|t| *t == fault) {
                self.active.remove(at);
            }
        }
        match (fault.kind, on) {
            (FaultKind::Vanish, true) => {
                self.engines[engine].unreachable_faults += 1;
                self.silence_connections(|_, e| e == engine);
            }
            (FaultKind::Vanish, false) => self.engines[engine].unreachable_faults -= 1,
            (FaultKind::Die, true) => self.crash_engine(engine),
            (FaultKind::Die, false) => self.restart_engine(engine),
            (FaultKind::Hang, true) => self.engines[engine].hang_faults += 1,
            (FaultKind::Hang, false) => {
                self.engines[engine].hang_faults -= 1;
                if self.engines[engine].is_working() {
                    for (attempt_id, begun) in std::mem::take(&mut self.engines[engine].waiting) {
                        if begun {
                            self.first_part_done(attempt_id);
                        } else {
                            self.begin_work(attempt_id);
                        }
                    }
                }
            }
            (FaultKind::Cut, true) => {
                self.partitions.push((node, zone));
                let zones: Vec<usize> = self.engines.iter().map(|e| e.zone).collect();
                self.silence_connections(|n, e| n == node && zones[e] == zone);
            }
            (FaultKind::Cut, false) => {
                if let Some(at) = self.partitions.iter().position(|c| *c == (node, zone)) {
                    self.partitions.remove(at);
                }
            }
            (FaultKind::Drain, true) => self.drain_engine(engine),
            (FaultKind::Drain, false) => {
                if self.engines[engine].listing == EndpointState::Draining {
                    self.engines[engine].listing = EndpointState::Gone;
                    self.crash_engine(engine);
                    // The engine returns as a new process a second later.
                    self.announce_endpoint_list();
                    self.schedule_after(1_000 * MS, Event::FaultToggled(number, false));
                } else if self.engines[engine].listing == EndpointState::Gone {
                    self.engines[engine].listing = EndpointState::Serving;
                    self.restart_engine(engine);
                    self.announce_endpoint_list();
                }
            }
            (FaultKind::LateLists, true) => self.nodes[node].list_delayed_until = fault.to_ms * MS,
            (FaultKind::Stop, true) => {
                let incarnation = self.nodes[node].incarnation;
                if self.nodes[node].host.is_some() {
                    self.nodes[node].stopping = true;
                    self.schedule_after(STOP_GRACE, Event::Kill(node, incarnation));
                    self.deliver_input(node, incarnation, Input::Stop);
                }
            }
            (FaultKind::Kill, true) => self.kill_node(node),
            _ => {}
        }
    }

    /// Makes the affected connections stop delivering.
    pub(crate) fn silence_connections(&mut self, affected: impl Fn(usize, usize) -> bool) {
        for f in self.attempts.values_mut().filter(|f| !f.closed && affected(f.key.0, f.engine)) {
            f.silent = true;
        }
        for c in self.release_calls.values_mut().filter(|c| affected(c.node, c.engine)) {
            c.silent = true;
        }
        for (n, node) in self.nodes.iter_mut().enumerate() {
            for (engine, kept) in &mut node.kept {
                if affected(n, *engine) {
                    kept.iter_mut().for_each(|k| k.1 = true);
                }
            }
        }
    }

    /// Ends an engine's process. Nodes that can reach it see their connections reset.
    pub(crate) fn crash_engine(&mut self, engine: usize) {
        self.engines[engine].crash();
        let broken: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, f)| f.engine == engine && !f.closed && !f.silent && f.up)
            .map(|(n, _)| *n)
            .collect();
        broken.into_iter().for_each(|f| self.send_message(f, Message::Ended(Outcome::ConnectionBroken)));
        for node in &mut self.nodes {
            // A connection that no longer delivers does not receive the reset, so the node keeps it.
            if let Some(kept) = node.kept.get_mut(&engine) {
                kept.retain(|k| k.1);
            }
        }
    }

    /// Restarts a process without states, unless another fault keeps it down.
    pub(crate) fn restart_engine(&mut self, engine: usize) {
        let now = self.now;
        let e = &mut self.engines[engine];
        e.down_faults -= 1;
        if e.down_faults == 0 {
            e.started = Some(now);
        }
        self.announce_endpoint_list();
    }

    /// Drains an engine if another engine of its role still serves.
    pub(crate) fn drain_engine(&mut self, engine: usize) {
        let reads = self.engines[engine].is_reader;
        let serving = |e: &&Engine| e.is_reader == reads && e.listing == EndpointState::Serving;
        let others = self.engines.iter().filter(serving).count() > 1;
        if others && self.engines[engine].listing == EndpointState::Serving {
            self.engines[engine].listing = EndpointState::Draining;
            self.announce_endpoint_list();
        }
    }
}

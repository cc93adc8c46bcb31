//! Nodes: their incarnations, inputs and commands.

use pintally::interface::{Endpoint, EndpointState, EngineId, ListUpdate, Outcome};
use pintally_host::{Command, EngineEndpoint, Host, Input, ReleaseScope, RequestNumber};
use rand::RngExt;

use crate::check::RequestKey;
use crate::mutation::Mutation;
use crate::plan::{FaultKind, FreeScope};
use crate::world::{engine_id, settings, Event, World, MESSAGE_DELAY, RESTART_DELAY};
use crate::MS;

impl World<'_> {
    pub(crate) fn start_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.incarnation += 1;
        let settings = settings(self.plan, number, node.zone);
        let scope = match self.plan.free_scope {
            FreeScope::State => ReleaseScope::Attempt,
            FreeScope::Request => ReleaseScope::Request,
        };
        let seed =
            self.plan.seed.wrapping_mul(31).wrapping_add(u64::from(node.incarnation) * 64 + number as u64);
        node.host = Some(Host::new(settings, seed).with_release_scope(scope));
        node.notified.iter_mut().for_each(|t| *t = None);
        node.stopping = false;
        node.kept.clear();
        let incarnation = node.incarnation;
        self.record(format!("# n{number} starts, life {incarnation}"));
        self.deliver_endpoint_list(number, incarnation);
    }

    /// Ends the node's process and its connections.
    pub(crate) fn kill_node(&mut self, number: usize) {
        let incarnation = self.nodes[number].incarnation;
        if self.nodes[number].host.take().is_none() {
            return;
        }
        self.record(format!("# n{number} dies"));
        self.nodes[number].kept.clear();
        self.wakes[number] = None;
        for (_, known) in self
            .checks
            .requests
            .range_mut((number, incarnation, 0)..=(number, incarnation, RequestNumber::MAX))
        {
            known.node_died = true;
        }
        let own = |key: &RequestKey| key.0 == number && key.1 == incarnation;
        let attempts: Vec<u64> =
            self.attempts.iter().filter(|(_, f)| own(&f.key) && !f.closed).map(|(n, _)| *n).collect();
        for attempt_id in attempts {
            if let Some(f) = self.attempts.get_mut(&attempt_id) {
                f.closed = true;
            }
            self.schedule_after(MESSAGE_DELAY, Event::CloseSeen(attempt_id));
        }
        self.release_calls.retain(|_, c| c.node != number || c.delivered);
        self.schedule_after(RESTART_DELAY, Event::Start(number));
    }

    /// Delivers an input to a node. An input caused while another one is processed waits until that is done,
    /// as in a real node.
    pub(crate) fn deliver_input(&mut self, node: usize, incarnation: u32, input: Input) {
        self.pending.push_back((node, incarnation, Some(input)));
        self.process_pending();
    }

    pub(crate) fn process_pending(&mut self) {
        if std::mem::replace(&mut self.busy, true) {
            return;
        }
        while let Some((node, incarnation, input)) = self.pending.pop_front() {
            let own = &mut self.nodes[node];
            let Some(host) = own.host.as_mut().filter(|_| own.incarnation == incarnation) else { continue };
            let mut out = Vec::new();
            match input {
                Some(input) => host.handle(self.now, input, &mut out),
                None => host.tick(self.now, &mut out),
            }
            for command in out {
                self.execute_command(node, command);
            }
            self.schedule_wake(node);
        }
        self.busy = false;
    }

    pub(crate) fn schedule_wake(&mut self, node: usize) {
        let Some(next) = self.nodes[node].host.as_ref().and_then(Host::next_wake) else { return };
        let next = next.max(self.now);
        if self.wakes[node].is_none_or(|at| next < at) {
            let late = self.has_mutation(Mutation::LateTimers) && self.rng.random_bool(0.1);
            let at = if late { next + 1_000 * MS } else { next };
            self.wakes[node] = Some(at);
            self.schedule_at(at, Event::Wake(node));
        }
    }

    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    pub(crate) fn execute_command(&mut self, node: usize, command: Command) {
        let incarnation = self.nodes[node].incarnation;
        match command {
            Command::Attempt(order) => self.start_attempt(node, order),
            Command::Cancel(number, attempt) => {
                if let Some(attempt_id) = self.open_attempt((node, incarnation, number), attempt) {
                    self.end_attempt(attempt_id, Outcome::Cancelled, false);
                }
            }
            Command::Answer(number, answer) => self.final_answer((node, incarnation, number), answer),
            Command::RequestComplete(number) => self.checks.completed((node, incarnation, number)),
            Command::Release { name, engine, new_connection, .. } => {
                self.release(node, name, &engine, new_connection);
            }
            Command::WithdrawReleases(id) => {
                self.release_calls.retain(|_, c| c.delivered || c.node != node || c.id != id);
            }
            Command::ProbeConnection(number, attempt, engine, _) => {
                self.probe_connection((node, incarnation, number), attempt, &engine);
            }
            Command::HealthCheck(engine, ..) => {
                let n = self.engine_number(&engine);
                let there = self.can_reach(node, n) && self.engines[n].is_working();
                self.deliver_input(node, incarnation, Input::HealthChecked(engine, there, None));
            }
            Command::ReloadEndpointList => {
                self.schedule_after(MESSAGE_DELAY, Event::EndpointList(node, incarnation));
            }
            Command::Stopped => {
                // The process exits at the end of the event-loop iteration that reported it.
                self.schedule_after(0, Event::Kill(node, incarnation));
            }
            Command::Log(_)
            | Command::QueryPeer(_)
            | Command::RecoveryStage(_)
            | Command::RequestQuota(_)
            | Command::PublishOutlierReport(_)
            | Command::PublishZoneReport(..) => {}
        }
    }

    pub(crate) fn deliver_endpoint_list(&mut self, node: usize, incarnation: u32) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].host.is_none() {
            return;
        }
        let until = self.nodes[node].list_delayed_until;
        if self.now < until {
            return self.schedule_at(until, Event::EndpointList(node, incarnation));
        }
        let deaf = self.has_mutation(Mutation::DeafToDrains);
        let mut members = Vec::new();
        for (n, engine) in self.engines.iter().enumerate() {
            self.nodes[node].notified[n] = Some(engine.listing);
            let listing = match engine.listing {
                EndpointState::Draining if deaf => EndpointState::Serving,
                other => other,
            };
            if listing == EndpointState::Gone {
                continue;
            }
            members.push(EngineEndpoint {
                endpoint: Endpoint {
                    engine: engine_id(n),
                    zone: format!("z{}", engine.zone),
                    kind: if engine.is_reader { "r" } else { "w" }.into(),
                    rack: 1,
                    state: listing,
                    weight: 1.0,
                    started: engine.started,
                },
                address: ([127, 0, 0, 1], 4000 + n as u16).into(),
                cell: None,
                started_unix_ms: None,
            });
        }
        self.deliver_input(node, incarnation, Input::EndpointList(ListUpdate::Full, members));
    }

    /// Sends a changed endpoint list to all nodes.
    pub(crate) fn announce_endpoint_list(&mut self) {
        for node in 0..self.nodes.len() {
            let (incarnation, after) = (self.nodes[node].incarnation, self.rng.random_range(0..40) * MS);
            self.schedule_after(MESSAGE_DELAY + after, Event::EndpointList(node, incarnation));
        }
    }

    pub(crate) fn engine_number(&self, engine: &EngineId) -> usize {
        engine.0.trim_start_matches('e').parse().unwrap_or(0)
    }

    /// Whether a node and an engine's machine can exchange messages.
    pub(crate) fn can_reach(&self, node: usize, engine: usize) -> bool {
        let e = &self.engines[engine];
        e.unreachable_faults == 0 && !self.partitions.contains(&(node, e.zone))
    }

    /// Draws whether an active fault of a kind affects this request, call or connection of an engine.
    pub(crate) fn fault_strikes(&mut self, kind: FaultKind, engine: usize) -> bool {
        let all = self.engines.len();
        let share = self
            .active
            .iter()
            .filter(|t| t.kind == kind && t.target % all == engine)
            .map(|t| t.share)
            .fold(0.0, f64::max);
        share > 0.0 && self.rng.random_bool(share)
    }
}

//! Nodes: their incarnations, inputs and commands.

use pintally::interface::{Endpoint, EndpointState, EngineId, ListUpdate, Outcome};
use pintally_host::{Command, EngineEndpoint, Host, Input, ReleaseScope, RequestNumber};
use rand::RngExt;

use crate::check::Place;
use crate::mutation::Mutation;
use crate::plan::{FaultKind, Frees};
use crate::world::{engine_id, settings, Event, World, HOP, START};
use crate::MS;

impl World<'_> {
    pub(crate) fn start(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.life += 1;
        let settings = settings(self.plan, number, node.zone);
        let scope = match self.plan.frees {
            Frees::State => ReleaseScope::Attempt,
            Frees::Request => ReleaseScope::Request,
        };
        let seed = self.plan.seed.wrapping_mul(31).wrapping_add(u64::from(node.life) * 64 + number as u64);
        node.host = Some(Host::new(settings, seed).with_release_scope(scope));
        node.notified.iter_mut().for_each(|t| *t = None);
        node.stopping = false;
        node.kept.clear();
        let life = node.life;
        self.say(format!("# n{number} starts, life {life}"));
        self.list(number, life);
    }

    /// The node's process is gone, and its connections with it.
    pub(crate) fn kill(&mut self, number: usize) {
        let life = self.nodes[number].life;
        if self.nodes[number].host.take().is_none() {
            return;
        }
        self.say(format!("# n{number} dies"));
        self.nodes[number].kept.clear();
        self.wakes[number] = None;
        for (_, known) in self.checks.known.range_mut((number, life, 0)..=(number, life, RequestNumber::MAX))
        {
            known.died = true;
        }
        let own = |place: &Place| place.0 == number && place.1 == life;
        let flights: Vec<u64> =
            self.flights.iter().filter(|(_, f)| own(&f.place) && !f.closed).map(|(n, _)| *n).collect();
        for flight in flights {
            if let Some(f) = self.flights.get_mut(&flight) {
                f.closed = true;
            }
            self.soon(HOP, Event::Closed(flight));
        }
        self.calls.retain(|_, c| c.node != number || c.came);
        self.soon(START, Event::Start(number));
    }

    /// Hands a node an input; one that comes out of a turn waits until that turn is over, as in a node.
    pub(crate) fn tell(&mut self, node: usize, life: u32, input: Input) {
        self.pending.push_back((node, life, Some(input)));
        self.work_off();
    }

    pub(crate) fn work_off(&mut self) {
        if std::mem::replace(&mut self.busy, true) {
            return;
        }
        while let Some((node, life, input)) = self.pending.pop_front() {
            let own = &mut self.nodes[node];
            let Some(host) = own.host.as_mut().filter(|_| own.life == life) else { continue };
            let mut out = Vec::new();
            match input {
                Some(input) => host.handle(self.now, input, &mut out),
                None => host.tick(self.now, &mut out),
            }
            for command in out {
                self.command(node, command);
            }
            self.rewake(node);
        }
        self.busy = false;
    }

    pub(crate) fn rewake(&mut self, node: usize) {
        let Some(next) = self.nodes[node].host.as_ref().and_then(Host::next_wake) else { return };
        let next = next.max(self.now);
        if self.wakes[node].is_none_or(|at| next < at) {
            let late = self.is(Mutation::LateTimers) && self.rng.random_bool(0.1);
            let at = if late { next + 1_000 * MS } else { next };
            self.wakes[node] = Some(at);
            self.at(at, Event::Wake(node));
        }
    }

    pub(crate) fn is(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    pub(crate) fn command(&mut self, node: usize, command: Command) {
        let life = self.nodes[node].life;
        match command {
            Command::Attempt(order) => self.attempt(node, order),
            Command::Cancel(ticket, attempt) => {
                if let Some(flight) = self.out((node, life, ticket), attempt) {
                    self.end(flight, Outcome::Cancelled, false);
                }
            }
            Command::Answer(ticket, answer) => self.answer((node, life, ticket), answer),
            Command::RequestComplete(ticket) => self.checks.over((node, life, ticket)),
            Command::Release { name, engine, new_connection, .. } => {
                self.release(node, name, &engine, new_connection);
            }
            Command::WithdrawReleases(id) => self.calls.retain(|_, c| c.came || c.node != node || c.id != id),
            Command::ProbeConnection(ticket, attempt, engine, _) => {
                self.probe_connection((node, life, ticket), attempt, &engine);
            }
            Command::HealthCheck(engine, ..) => {
                let n = self.number(&engine);
                let there = self.reaches(node, n) && self.engines[n].works();
                self.tell(node, life, Input::HealthChecked(engine, there, None));
            }
            Command::ReloadEndpointList => self.soon(HOP, Event::List(node, life)),
            Command::Stopped => {
                // It ends with the iteration that reported so.
                self.soon(0, Event::Kill(node, life));
            }
            Command::Log(_)
            | Command::QueryPeer(_)
            | Command::RecoveryStage(_)
            | Command::RequestQuota(_)
            | Command::PublishOutlierReport(_)
            | Command::PublishZoneReport(..) => {}
        }
    }

    pub(crate) fn list(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life || self.nodes[node].host.is_none() {
            return;
        }
        let until = self.nodes[node].deaf_until;
        if self.now < until {
            return self.at(until, Event::List(node, life));
        }
        let deaf = self.is(Mutation::DeafToDrains);
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
                    kind: if engine.reads { "r" } else { "w" }.into(),
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
        self.tell(node, life, Input::EndpointList(ListUpdate::Full, members));
    }

    /// The list has changed: nodes hear of it.
    pub(crate) fn listed(&mut self) {
        for node in 0..self.nodes.len() {
            let (life, after) = (self.nodes[node].life, self.rng.random_range(0..40) * MS);
            self.soon(HOP + after, Event::List(node, life));
        }
    }

    pub(crate) fn number(&self, engine: &EngineId) -> usize {
        engine.0.trim_start_matches('e').parse().unwrap_or(0)
    }

    /// Whether what a node sends comes to an engine's machine, and back.
    pub(crate) fn reaches(&self, node: usize, engine: usize) -> bool {
        let e = &self.engines[engine];
        e.away == 0 && !self.cuts.contains(&(node, e.zone))
    }

    /// Whether a trouble of a kind strikes an engine now, by its part.
    pub(crate) fn struck(&mut self, kind: FaultKind, engine: usize) -> bool {
        let all = self.engines.len();
        let part = self
            .active
            .iter()
            .filter(|t| t.kind == kind && t.whom % all == engine)
            .map(|t| t.part)
            .fold(0.0, f64::max);
        part > 0.0 && self.rng.random_bool(part)
    }
}

//! The nodes: what reaches them, and the commands that they give.

use std::net::SocketAddr;

use pintally::interface::{Endpoint, EndpointState, EngineId, ListUpdate, Micros, Outcome};
use pintally_audit::{AuditEvent, ListingState, Record};
use pintally_cells::MoveCommand;
use pintally_host::{Command, EngineEndpoint, Input};

use super::{Event, World, NETWORK_DELAY, START_UNIX_MS};

impl World<'_> {
    pub(super) fn send_input(&mut self, node: usize, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.nodes[node].handle(self.now, input, &mut out);
        self.update_wake(node);
        self.execute(node, &mut out);
        self.out = out;
    }

    pub(super) fn update_wake(&mut self, node: usize) {
        if let Some(old) = self.wake_by_node[node] {
            self.wakes.remove(&(old, node));
        }
        // A wake time in the past is replaced by the current time: the clock never runs backwards.
        let wake = self.nodes[node].next_wake().map(|at| at.max(self.now));
        if let Some(at) = wake {
            self.wakes.insert((at, node));
        }
        self.wake_by_node[node] = wake;
    }

    /// Carries out the commands of a node.
    pub(super) fn execute(&mut self, node: usize, out: &mut Vec<Command>) {
        for command in out.drain(..) {
            match command {
                Command::Attempt(order) => self.send_attempt(node, order),
                Command::Cancel(number, attempt) => {
                    self.abort_attempt((node, number, attempt), Outcome::Cancelled);
                }
                Command::Answer(number, answer) => self.receive_answer(node, number, answer),
                Command::RequestComplete(number) => {
                    self.tries.remove(&(node, number));
                }
                Command::Release { name, engine, .. } => {
                    self.schedule(self.now + NETWORK_DELAY, Event::ReleaseArrived(node, name, engine));
                }
                Command::HealthCheck(engine, ..) => self.check_health(node, engine),
                // The simulation has no unreachable machines, and the attempts of a crashed engine end with the crash,
                // so a connection probe always confirms delivery.
                Command::ProbeConnection(number, attempt, ..) => {
                    let input = Input::DeliveryConfirmed(number, attempt);
                    self.schedule(self.now + 2 * NETWORK_DELAY, Event::NodeInput(node, Box::new(input)));
                }
                Command::ReloadEndpointList => self.send_endpoint_list(node, NETWORK_DELAY),
                Command::QueryPeer(_)
                | Command::RecoveryStage(_)
                | Command::RequestQuota(_)
                | Command::PublishOutlierReport(_)
                | Command::PublishZoneReport(..)
                | Command::WithdrawReleases(_)
                | Command::Log(_)
                | Command::Stopped => {}
            }
        }
    }

    fn check_health(&mut self, node: usize, engine: EngineId) {
        let Some(&number) = self.index.get(&engine) else { return };
        let up = self.fleet.engine(number).is_up();
        let load = up.then(|| self.load(number));
        self.schedule(
            self.now + 2 * NETWORK_DELAY,
            Event::NodeInput(node, Box::new(Input::HealthChecked(engine, up, load))),
        );
    }

    /// Sends the current endpoint list to a node after a delay.
    pub(super) fn send_endpoint_list(&mut self, node: usize, delay: Micros) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut list = Vec::new();
        for (n, spec) in self.specs.iter().enumerate() {
            let endpoint = Endpoint {
                engine: EngineId(spec.id.as_str().into()),
                zone: spec.zone.clone(),
                kind: spec.kind.clone(),
                rack: spec.rack,
                state: self.listing[n],
                weight: 1.0,
                started: self.started[n],
            };
            list.push(EngineEndpoint {
                endpoint,
                address,
                cell: spec.cell.as_deref().map(Into::into),
                started_unix_ms: None,
            });
        }
        let at = self.now + delay;
        for entry in &list {
            let listing = match entry.endpoint.state {
                EndpointState::Serving => ListingState::Serving,
                EndpointState::Draining => ListingState::Draining,
                EndpointState::Gone => ListingState::Gone,
            };
            let (node, engine) = (format!("n{node}"), entry.endpoint.engine.0.to_string());
            let started = entry.endpoint.started.is_some();
            self.record
                .push(Record { at, event: AuditEvent::EngineListed { node, engine, listing, started } });
        }
        self.schedule(at, Event::NodeInput(node, Box::new(Input::EndpointList(ListUpdate::Full, list))));
    }

    /// Applies a step of a tenant's move as a new version of the cells file. Nodes see it one after another, the
    /// last node five seconds after the first.
    pub(super) fn apply_move(&mut self, tenant: &str, command: MoveCommand) {
        let unix_ms = START_UNIX_MS + self.now / 1000;
        // A scenario may complete a move too early. The command then fails and the previous file stays in force.
        let Some(Ok(next)) = self.cells.as_ref().map(|c| c.apply_move_command(tenant, command, unix_ms))
        else {
            return;
        };
        for node in 0..self.nodes.len() {
            let delay = self.scenario.cells_file_delay(node).as_micros() as Micros;
            let input = Input::Cells(Box::new(next.clone()));
            self.schedule(self.now + delay, Event::NodeInput(node, Box::new(input)));
        }
        self.cells = Some(next);
    }

    /// Sends the current endpoint list to all nodes.
    pub(super) fn publish_endpoint_list(&mut self) {
        let delay = self.scenario.list_delay.as_micros() as Micros;
        (0..self.nodes.len()).for_each(|node| self.send_endpoint_list(node, delay));
    }
}

//! The policy of a simulated node: the router module inside its host, or a baseline.

use std::sync::Arc;

use pintally::interface::Micros;
use pintally_config::NodeSettings;
use pintally_host::{Command, Host, Input};

use crate::baseline::Baseline;

/// Turns a node's inputs into commands, with the same interface as [`Host`].
pub trait Policy: Send {
    /// Handles one input and appends the resulting commands to `out`.
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>);
    /// Handles all timers that are due at `now`.
    fn tick(&mut self, now: Micros, out: &mut Vec<Command>);
    /// The time of the next timer, if any.
    fn next_wake(&self) -> Option<Micros>;
}

impl Policy for Host {
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        Host::handle(self, now, input, out);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        Host::tick(self, now, out);
    }

    fn next_wake(&self) -> Option<Micros> {
        Host::next_wake(self)
    }
}

/// Which policy decides at the nodes of a simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The router module inside its host.
    Module,
    /// A uniformly random engine among those that are listed as serving.
    Random,
    /// The engine with the lowest load, by the node's own open attempts and the engine's last load report.
    LeastLoaded,
    /// All engines in turn.
    RoundRobin,
}

impl PolicyKind {
    /// All policies. The module comes first, as the comparison takes it as the reference.
    pub const ALL: [PolicyKind; 4] =
        [PolicyKind::Module, PolicyKind::Random, PolicyKind::LeastLoaded, PolicyKind::RoundRobin];

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::LeastLoaded => "least-loaded",
            PolicyKind::RoundRobin => "round-robin",
        }
    }

    /// Builds the policy of one node.
    pub fn build(self, settings: Arc<NodeSettings>, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyKind::Module => Box::new(Host::new(settings, seed)),
            other => Box::new(Baseline::new(other, settings, seed)),
        }
    }
}

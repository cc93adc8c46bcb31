//! What decides at a node: the module inside its host, or a baseline.

use std::sync::Arc;

use pintally::interface::Micros;
use pintally_config::NodeSettings;
use pintally_host::{Command, Host, Input};

use crate::baseline::Baseline;

/// Takes in what a node learns and says what is to be done, as [`Host`] does.
pub trait Policy: Send {
    /// Takes in one input.
    fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>);
    /// Does what has come due.
    fn tick(&mut self, now: Micros, out: &mut Vec<Command>);
    /// When there is something to do.
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
    /// The module.
    Module,
    /// Any engine that serves.
    Random,
    /// The one that has least to do, as far as the node knows.
    LeastLoaded,
    /// One after the other.
    RoundRobin,
}

impl PolicyKind {
    /// All of them, the module first.
    pub const ALL: [PolicyKind; 4] =
        [PolicyKind::Module, PolicyKind::Random, PolicyKind::LeastLoaded, PolicyKind::RoundRobin];

    /// Its name for people.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::LeastLoaded => "least-loaded",
            PolicyKind::RoundRobin => "round-robin",
        }
    }

    /// One node's policy.
    pub fn build(self, settings: Arc<NodeSettings>, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyKind::Module => Box::new(Host::new(settings, seed)),
            other => Box::new(Baseline::new(other, settings, seed)),
        }
    }
}

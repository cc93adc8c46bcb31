//! Whole fleets in virtual time: membership, replicas, quota granter and holders as they are, on a network that is
//! made up. Nothing of a node is rebuilt here but the wires between its parts.

mod report;
mod world;

pub use report::{FleetReport, Spread};
pub use world::{play, FleetSpec};

//! Whole fleets in virtual time: peers, keepers, the lender and holders as they are, on a network that is
//! made up. Nothing of a node is rebuilt here but the wires between its parts.

mod report;
mod world;

pub use report::{FleetReport, Spread};
pub use world::{play, FleetSpec};

//! Simulation of a fleet's coordination: the production code of membership, consensus replicas, quota granter and
//! quota holders on a simulated network. Only the glue between these parts of a node is written anew here.

mod report;
mod world;

pub use report::{FleetReport, Spread};
pub use world::{play, FleetSpec};

//! Discrete-event simulation of scenarios (`day` files): the hosts that nodes run in production, emulated
//! engines and clients, connected by fixed delays in place of sockets.
//!
//! A [`World`] has one virtual clock, which jumps from one event to the next. All random numbers come from
//! the seed, so the same scenario and seed give the same result. Each node decides with a [`Policy`]: the
//! router module inside its host, or a baseline for comparison. The record has the same format as that of
//! a scenario over sockets and is audited by the same rules.

mod baseline;
mod clients;
mod compare;
mod fault_schedule;
pub mod fleet;
mod policy;
mod world;

pub use baseline::Baseline;
pub use compare::{compare, play, play_at_size, record, PolicyComparison, ScenarioResult, SizeResult};
pub use fault_schedule::{is_supported, FaultAction};
pub use policy::{Policy, PolicyKind};
pub use world::World;

//! Days in virtual time: the same hosts that run behind sockets, emulated engines, and clients, with
//! nothing between them but delays.
//!
//! A [`World`] has one clock, which jumps from one thing that is due to the next. Everything drawn
//! comes from the seed, so a day plays the same every time. Nodes decide by a [`Policy`]: the module
//! inside its host, or a baseline to compare it with. The record is of the same kind as that of a day
//! over sockets and is audited by the same rules.

mod baseline;
mod clients;
mod compare;
pub mod fleet;
mod policy;
mod script;
mod world;

pub use baseline::Baseline;
pub use compare::{compare, play, play_at_size, record, PolicyComparison, ScenarioResult, SizeResult};
pub use policy::{Policy, PolicyKind};
pub use script::{is_supported, FaultAction};
pub use world::World;

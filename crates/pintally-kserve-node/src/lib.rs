//! A node on sockets: carries out what the host commands, and tells it what came of that.
//!
//! One thread decides; each client connection has a small thread of its own, which also makes the
//! attempts of its request, one at a time; a few threads probe and let go; one watches the list of
//! engines; one accepts. Nobody but the deciding thread touches the host, and that thread never
//! waits for a socket. `docs/node.md` weighs this against other ways.

mod attempt;
mod clock;
mod connection;
mod decide;
mod door;
mod errand;
mod failover_leader;
mod fleet;
mod life;
mod node;
mod operator_command;
mod pool;
mod replica_thread;
mod shared;
mod sync;
mod wait;
mod watch;

pub use node::{Node, StartError};
pub use shared::NodeCounters;

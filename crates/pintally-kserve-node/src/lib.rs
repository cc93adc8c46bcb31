//! A node on sockets: it carries out what the host commands, and notifies it of the results.
//!
//! One thread decides. Each client connection has a small thread of its own, which also makes the attempts
//! of its request, one at a time. One thread makes background calls, one watches the files of engines and
//! cells, one accepts, and a node with peers has one for the fleet and one for its replica. Nobody but the
//! decision thread touches the host, and that thread never waits for a socket. `docs/node.md` weighs this
//! against other designs.

#![deny(missing_docs)]

mod attempt;
mod background_calls;
mod clock;
mod connection;
mod decision_thread;
mod failover_leader;
mod fleet;
mod listener;
mod node;
mod operator_command;
mod pool;
mod replica_thread;
mod request_session;
mod shared;
mod status;
mod sync;
mod wait;
mod watcher;

pub use node::{Node, StartError};
pub use shared::NodeCounters;

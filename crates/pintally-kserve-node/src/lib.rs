//! A KServe node on TCP sockets: it carries out the host's commands and notifies the host of the results.
//!
//! The decision thread runs the host: no other thread accesses it, and the decision thread never waits for a
//! socket. Each client connection has a thread with a small stack, which also makes the attempts of the
//! connection's requests, one at a time. One more thread each makes background calls, watches the endpoint
//! list and the cells file, and accepts connections. A node with peers has a fleet thread, and a replica
//! thread if it runs a replica. `docs/node.md` compares this design with others.

#![deny(missing_docs)]

mod attempt;
mod background_calls;
mod body_capacity;
mod client_input;
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

//! A node on the operators' platform.
//!
//! One thread runs one non-blocking loop, which owns the host of the decision core, the listener,
//! all connections, the watch of discovery and the timers; signals come into the loop through a
//! socket. What an event makes the core decide is on its way in the same turn. A stream costs two
//! descriptors: its client's and its engine's.

mod acceptor;
mod arrivals;
mod attempts;
mod clients;
mod clock;
mod closing;
mod conn;
mod engines;
mod list;
mod log;
mod node;
mod poll;
mod pool;
mod reload;
mod signals;
mod starts;
mod status;
mod sweep;
mod system;
mod turn;

pub use node::{start, StartError};

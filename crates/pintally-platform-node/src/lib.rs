//! A node on the operators' platform.
//!
//! One thread runs one non-blocking event loop, which owns the host of the decision core, the listener,
//! all connections, the endpoint watch and the timers; signals wake the loop through a socket. Commands
//! that the host issues for an event are executed in the same iteration. A stream uses two descriptors: one
//! for its client and one for its engine.

#![deny(missing_docs)]

mod arrival_times;
mod attempts;
mod background_calls;
mod cleanup;
mod client_close;
mod client_connection;
mod client_presence;
mod client_read;
mod client_requests;
mod client_response;
mod clients;
mod clock;
mod connection;
mod endpoint_list;
mod endpoint_watch;
mod engine_connect;
mod engine_connection;
mod engine_io;
mod engine_response;
mod engine_timeouts;
mod engines;
mod event_loop;
mod event_source;
mod eviction;
mod host_commands;
mod host_queue;
mod listener;
mod log_limiter;
mod memory_budget;
mod node;
mod pending_watches;
mod poller;
mod pool;
mod process_memory;
mod reload;
mod requests;
mod shutdown;
mod signals;
mod socket_buffers;
mod status;
mod syscall;
mod watch_connection;
mod watch_events;

pub use node::{start, StartError};

//! Scripted days: several nodes, stand-in engines and clients on loopback, troubles by script, and
//! the five rules checked at the end over what crossed the sockets.

mod client;
mod cores;
mod engines;
mod faults;
mod from_bench;
mod moved;
mod play;
mod process;
mod publish;
mod relay;
mod rig;
mod run;
mod script;
mod spec;
mod traffic;
mod worth;

pub use client::{AttemptResult, Client, Try};
pub use cores::{Turn, Turns};

pub use engines::{specs, Engines};
pub use from_bench::{from_bench, Converted, Scale};
pub use moved::{Shape, Shapes};
pub use process::{get, Process};
pub use rig::Rig;
pub use run::{run, run_steady, run_with, with_figures, DayResult, Launch, RunError, Running};
pub use spec::{ClassTraffic, Day, EngineGroup, Fault, FaultKind, Traffic, APART, MAX_NODES};
pub use traffic::{Draft, Source};
pub use worth::{in_time, requests, One};

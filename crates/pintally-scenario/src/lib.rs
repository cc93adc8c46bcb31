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

pub use client::{AttemptResult, Client, ClientAttempt};
pub use cores::{RunSlot, RunSlots};

pub use engines::{engine_specs, Engines};
pub use from_bench::{from_bench, Converted, Scale};
pub use moved::{ShapeComparison, ShapeStats};
pub use process::{http_get, NodeProcess};
pub use rig::Rig;
pub use run::{run, run_steady, run_with, with_figures, NodeLauncher, RunError, RunningNode, ScenarioResult};
pub use spec::{
    ClassTraffic, EngineGroup, Fault, FaultKind, Scenario, Traffic, CELLS_FILE_SPREAD, MAX_NODES,
};
pub use traffic::{RequestDraft, TrafficGenerator};
pub use worth::{requests, timely_value_share, RequestRecord};

//! Scenarios: several nodes, mock engines and clients on loopback with scripted faults. At the end, the audit
//! checks its five rules against the record of what crossed the sockets.

mod client;
mod cpus;
mod engines;
mod faults;
mod file_writer;
mod from_bench;
mod migration;
mod process;
mod publish;
mod relay;
mod request_records;
mod rig;
mod run;
mod runner;
mod script;
mod spec;
mod traffic;

pub use client::{AttemptResult, Client, ClientAttempt};
pub use cpus::{RunSlot, RunSlots};

pub use engines::{engine_specs, Engines};
pub use from_bench::{from_bench, Converted, Scale};
pub use migration::{ShapeComparison, ShapeStats};
pub use process::{http_get, NodeProcess};
pub use request_records::{requests, timely_value_share, RequestRecord};
pub use rig::Rig;
pub use run::{run, run_steady, run_with, with_figures, NodeLauncher, RunError, RunningNode, ScenarioResult};
pub use spec::{
    ClassTraffic, EngineGroup, Fault, FaultKind, Scenario, Traffic, CELLS_FILE_SPREAD, MAX_NODES,
};
pub use traffic::{RequestDraft, TrafficGenerator};

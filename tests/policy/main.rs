//! Tests of the router's decisions, by concern as in `src/policy/`.

#[path = "../common/mod.rs"]
mod common;
mod fixtures;

mod admission;
mod endpoints;
mod engine_sizes;
mod health_checks;
mod outlier_ejection;
mod prefix_affinity;
mod request_flow;
mod retries;
mod slow_start;
mod spill;
mod writer_choice;

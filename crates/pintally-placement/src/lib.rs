//! Plans of cells: assigns engines and tenants to cells, and orders the moves into safe steps.
//!
//! An operator makes a plan occasionally with a command, so nodes do not contain the solver. The greedy plan
//! is the baseline for comparison.

mod greedy;
mod model;
mod problem;
mod steps;

pub use greedy::greedy;
pub use model::{solve, SolveError};
pub use problem::{Group, Plan, Problem, Shortfall, Tenant};
pub use steps::{steps, NoSafeStep, Step};

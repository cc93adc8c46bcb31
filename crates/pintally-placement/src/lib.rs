//! Plans of cells: which engines and tenants go where, and by which safe steps.
//!
//! A plan is made by hand, now and then, by a command: nodes do not carry the solver. The greedy plan
//! stands beside it as the baseline.

mod greedy;
mod model;
mod problem;
mod steps;

pub use greedy::greedy;
pub use model::{solve, SolveError};
pub use problem::{Group, Plan, Problem, Shortfall, Tenant};
pub use steps::{steps, NoSafeStep, Step};

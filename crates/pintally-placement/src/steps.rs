//! Orders the moves from the current plan to another so that no step makes a cell's capacity fall further short of
//! its demand.

use std::fmt;

use crate::problem::{Plan, Problem};

/// A step moves one engine or one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Moves an engine of a group between cells, or between a cell and the spare engines.
    Engine {
        /// The index of the group.
        group: usize,
        /// The cell that loses the engine; `None` for the spare engines.
        from: Option<usize>,
        /// The cell that gains the engine; `None` for the spare engines.
        to: Option<usize>,
    },
    /// Moves a tenant from one cell to another.
    Tenant {
        /// The index of the tenant.
        tenant: usize,
        /// The cell that it leaves.
        from: usize,
        /// The cell that it moves to.
        to: usize,
    },
}

/// No remaining step is safe.
#[derive(Clone, Debug, PartialEq)]
pub struct NoSafeStep {
    /// The safe steps before it.
    pub taken: Vec<Step>,
    /// The number of remaining steps, none of which is safe.
    pub remaining: usize,
}

impl fmt::Display for NoSafeStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "after {} steps the {} left would each leave a cell without its margin",
            self.taken.len(),
            self.remaining
        )
    }
}

impl std::error::Error for NoSafeStep {}

/// Returns the steps to a plan. A step is safe if no cell lacks more capacity after it than before, so that a
/// fleet that already lacks capacity can be repaired.
pub fn steps(problem: &Problem, plan: &Plan) -> Result<Vec<Step>, NoSafeStep> {
    let mut current = problem.current_plan();
    let mut taken = Vec::new();
    loop {
        let remaining = remaining_steps(problem, &current, plan);
        if remaining.is_empty() {
            return Ok(taken);
        }
        let lack = |plan: &Plan, cell: usize| {
            let ((reads, writes), (r, w)) = (problem.capacity(plan, cell), problem.demand(plan, cell));
            (r - reads).max(0.0) + (w - writes).max(0.0)
        };
        let before: Vec<f64> = (0..problem.cells.len()).map(|c| lack(&current, c)).collect();
        let safe = remaining.iter().find(|step| {
            let mut next = current.clone();
            apply(&mut next, step);
            before
                .iter()
                .enumerate()
                .all(|(c, lacked)| lack(&next, c) <= lacked + crate::problem::ROUNDING_TOLERANCE)
        });
        let Some(step) = safe.copied() else { return Err(NoSafeStep { taken, remaining: remaining.len() }) };
        apply(&mut current, &step);
        taken.push(step);
    }
}

/// All remaining steps: those that add an engine to a cell, then moves of tenants, then those that make an engine spare.
fn remaining_steps(problem: &Problem, current: &Plan, plan: &Plan) -> Vec<Step> {
    let mut all = Vec::new();
    for (group, (have, want)) in current.engines.iter().zip(&plan.engines).enumerate() {
        let spare = problem.groups[group].count() - have.iter().sum::<usize>();
        let lacking = (0..have.len()).filter(|c| have[*c] < want[*c]);
        for to in lacking {
            let from = if spare > 0 { None } else { (0..have.len()).find(|c| have[*c] > want[*c]) };
            if spare > 0 || from.is_some() {
                all.push(Step::Engine { group, from, to: Some(to) });
            }
        }
    }
    for (tenant, (have, want)) in current.tenants.iter().zip(&plan.tenants).enumerate() {
        if have != want {
            all.push(Step::Tenant { tenant, from: *have, to: *want });
        }
    }
    for (group, (have, want)) in current.engines.iter().zip(&plan.engines).enumerate() {
        let lacks = (0..have.len()).any(|c| have[c] < want[c]);
        for from in (0..have.len()).filter(|c| have[*c] > want[*c] && !lacks) {
            all.push(Step::Engine { group, from: Some(from), to: None });
        }
    }
    all
}

/// Applies a step to a plan.
pub(crate) fn apply(plan: &mut Plan, step: &Step) {
    match *step {
        Step::Engine { group, from, to } => {
            if let Some(from) = from {
                plan.engines[group][from] -= 1;
            }
            if let Some(to) = to {
                plan.engines[group][to] += 1;
            }
        }
        Step::Tenant { tenant, to, .. } => plan.tenants[tenant] = to,
    }
}

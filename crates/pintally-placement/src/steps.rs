//! From the present plan to another by steps after each of which every cell can still do its work.

use std::fmt;

use crate::problem::{Plan, Problem};

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An engine of a group goes from a cell, or from the spare ones, to a cell, or to the spare ones.
    Engine {
        /// The group.
        group: usize,
        /// Where from; the spare ones if none.
        from: Option<usize>,
        /// Where to; the spare ones if none.
        to: Option<usize>,
    },
    /// A tenant goes from one cell to another.
    Tenant {
        /// The tenant.
        tenant: usize,
        /// Where from.
        from: usize,
        /// Where to.
        to: usize,
    },
}

/// What is left cannot be done safely, one step at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct NoSafeStep {
    /// The steps that could be taken.
    pub taken: Vec<Step>,
    /// How many are left.
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

/// The steps to a plan. A step is safe if no cell lacks more behind it than before it, so that a
/// fleet that is short already can be mended.
pub fn steps(problem: &Problem, plan: &Plan) -> Result<Vec<Step>, NoSafeStep> {
    let mut at = problem.current_plan();
    let mut taken = Vec::new();
    loop {
        let wanted = wanted(problem, &at, plan);
        if wanted.is_empty() {
            return Ok(taken);
        }
        let lack = |plan: &Plan, cell: usize| {
            let ((reads, writes), (r, w)) = (problem.capacity(plan, cell), problem.demand(plan, cell));
            (r - reads).max(0.0) + (w - writes).max(0.0)
        };
        let before: Vec<f64> = (0..problem.cells.len()).map(|c| lack(&at, c)).collect();
        let safe = wanted.iter().find(|step| {
            let mut then = at.clone();
            take(&mut then, step);
            before.iter().enumerate().all(|(c, had)| lack(&then, c) <= had + crate::problem::SMALL)
        });
        let Some(step) = safe.copied() else { return Err(NoSafeStep { taken, remaining: wanted.len() }) };
        take(&mut at, &step);
        taken.push(step);
    }
}

/// All steps that are left, those that add before those that take away.
fn wanted(problem: &Problem, at: &Plan, plan: &Plan) -> Vec<Step> {
    let mut all = Vec::new();
    for (group, (have, want)) in at.engines.iter().zip(&plan.engines).enumerate() {
        let spare = problem.groups[group].count() - have.iter().sum::<usize>();
        let lacking = (0..have.len()).filter(|c| have[*c] < want[*c]);
        for to in lacking {
            let from = if spare > 0 { None } else { (0..have.len()).find(|c| have[*c] > want[*c]) };
            if spare > 0 || from.is_some() {
                all.push(Step::Engine { group, from, to: Some(to) });
            }
        }
    }
    for (tenant, (have, want)) in at.tenants.iter().zip(&plan.tenants).enumerate() {
        if have != want {
            all.push(Step::Tenant { tenant, from: *have, to: *want });
        }
    }
    for (group, (have, want)) in at.engines.iter().zip(&plan.engines).enumerate() {
        let lacks = (0..have.len()).any(|c| have[c] < want[c]);
        for from in (0..have.len()).filter(|c| have[*c] > want[*c] && !lacks) {
            all.push(Step::Engine { group, from: Some(from), to: None });
        }
    }
    all
}

/// Takes a step.
pub(crate) fn take(plan: &mut Plan, step: &Step) {
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

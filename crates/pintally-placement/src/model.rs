//! Solves the planning problem as a mixed-integer model: enough capacity in each cell, spread over zones, at
//! the lowest cost of moves.
//!
//! Each constraint that may be impossible to meet has a slack variable that costs far more than a move. So the
//! model always has a solution, and if there is no plan, its shortfalls are the constraints that cannot be met.

use std::fmt;

use good_lp::{
    constraint, microlp, variable, Expression, ProblemVariables, Solution, SolutionStatus, SolverModel,
    Variable, WithMipGap, WithTimeLimit,
};

use crate::greedy::greedy;
use crate::problem::{Plan, Problem, Shortfall, REMOVAL_COST};

/// The cost of one unit of a shortfall, in engine moves.
const SHORTFALL_COST: f64 = 1000.0;
/// The solver stops at a solution whose cost is within this share of the optimum.
const MIP_GAP: f32 = 0.01;

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum SolveError {
    /// The best solution found does not meet these constraints.
    Infeasible(Vec<Shortfall>),
    /// The solver ran out of time or failed.
    SolverFailed(String),
}

impl fmt::Display for SolveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SolveError::Infeasible(shortfalls) => write!(f, "{} constraints cannot be met", shortfalls.len()),
            SolveError::SolverFailed(reason) => write!(f, "the solver gave up: {reason}"),
        }
    }
}

impl std::error::Error for SolveError {}

/// Returns a plan for the problem; the solver may take up to `time_limit_s` seconds.
pub fn solve(problem: &Problem, time_limit_s: f64) -> Result<Plan, SolveError> {
    let cells = problem.cells.len();
    let mut vars = ProblemVariables::new();
    let mut cost = Expression::from(0.0);
    // The number of engines of each group in each cell, and how many of them are added or removed.
    let mut engines: Vec<Vec<Variable>> = Vec::new();
    let mut constraints = Vec::new();
    for group in &problem.groups {
        let count = group.count() as f64;
        let own: Vec<Variable> =
            (0..cells).map(|_| vars.add(variable().integer().min(0).max(count))).collect();
        constraints.push(constraint!(own.iter().sum::<Expression>() <= count));
        for (var, now) in own.iter().zip(&group.now) {
            let added = vars.add(variable().min(0));
            constraints.push(constraint!(added >= *var - *now as f64));
            let removed = vars.add(variable().min(0));
            constraints.push(constraint!(removed >= Expression::from(*now as f64) - *var));
            cost += added + removed * REMOVAL_COST;
        }
        engines.push(own);
    }
    // One binary variable per cell for each tenant that may move.
    let mut tenant_cells: Vec<Option<Vec<Variable>>> = Vec::new();
    for tenant in &problem.tenants {
        if tenant.pinned {
            tenant_cells.push(None);
            continue;
        }
        let own: Vec<Variable> = (0..cells).map(|_| vars.add(variable().binary())).collect();
        constraints.push(constraint!(own.iter().sum::<Expression>() == 1));
        for (_, var) in own.iter().enumerate().filter(|(c, _)| *c != tenant.now) {
            cost += *var * problem.tenant_cost;
        }
        tenant_cells.push(Some(own));
    }
    let add_slack = |vars: &mut ProblemVariables, cost: &mut Expression| {
        let slack = vars.add(variable().min(0));
        *cost += slack * SHORTFALL_COST;
        slack
    };
    for cell in 0..cells {
        let capacity = |of: &dyn Fn(&crate::Group) -> f64, zone: Option<usize>| -> Expression {
            let counted =
                problem.groups.iter().zip(&engines).filter(|(g, _)| zone.is_none_or(|z| g.zone == z));
            counted.map(|(g, n)| n[cell] * of(g)).sum()
        };
        let demand = |of: &dyn Fn(&crate::Tenant) -> f64| -> Expression {
            let each = problem.tenants.iter().zip(&tenant_cells);
            let terms = each.map(|(t, own)| match own {
                Some(own) => own[cell] * (of(t) * (1.0 + problem.margin)),
                None if t.now == cell => Expression::from(of(t) * (1.0 + problem.margin)),
                None => Expression::from(0.0),
            });
            terms.sum()
        };
        let (reads, writes) = (capacity(&|g| g.reads, None), capacity(&|g| g.writes, None));
        let slack = add_slack(&mut vars, &mut cost);
        constraints.push(constraint!(reads.clone() + slack >= demand(&|t| t.reads)));
        let slack = add_slack(&mut vars, &mut cost);
        constraints.push(constraint!(writes.clone() + slack >= demand(&|t| t.writes)));
        for zone in 0..problem.zone_count() {
            let slack = add_slack(&mut vars, &mut cost);
            constraints.push(constraint!(
                capacity(&|g| g.reads, Some(zone)) <= reads.clone() * problem.zone_share + slack
            ));
            constraints.push(constraint!(
                capacity(&|g| g.writes, Some(zone)) <= writes.clone() * problem.zone_share + slack
            ));
        }
    }
    let mut model = vars.minimise(cost).using(microlp);
    for constraint in constraints {
        model.add_constraint(constraint);
    }
    let model = model
        .with_mip_gap(MIP_GAP)
        .map_err(|e| SolveError::SolverFailed(e.to_string()))?
        .with_time_limit(time_limit_s);
    let solution = model.solve().map_err(|e| SolveError::SolverFailed(e.to_string()))?;
    let rounded = |v: &Variable| solution.value(*v).round().max(0.0) as usize;
    let plan = Plan {
        engines: engines.iter().map(|own| own.iter().map(rounded).collect()).collect(),
        tenants: problem
            .tenants
            .iter()
            .zip(&tenant_cells)
            .map(|(t, own)| match own {
                None => t.now,
                Some(own) => own.iter().position(|v| solution.value(*v) > 0.5).unwrap_or(t.now),
            })
            .collect(),
    };
    // Checks the plan independently of the solver.
    let shortfalls = problem.shortfalls(&plan);
    if !problem.is_valid(&plan) {
        return Err(SolveError::SolverFailed(
            "its solution moves a pinned tenant or uses engines or cells that do not exist".into(),
        ));
    }
    // A solver that ran out of time may have a worse plan than the greedy one, or none.
    let greedy_plan = greedy(problem);
    let greedy_is_feasible = problem.is_valid(&greedy_plan) && problem.shortfalls(&greedy_plan).is_empty();
    match (shortfalls.is_empty(), greedy_is_feasible) {
        (true, true) if problem.cost(&greedy_plan) < problem.cost(&plan) => Ok(greedy_plan),
        (true, _) => Ok(plan),
        (false, true) => Ok(greedy_plan),
        (false, false) if matches!(solution.status(), SolutionStatus::TimeLimit) => {
            Err(SolveError::SolverFailed(format!("no plan within {time_limit_s} s")))
        }
        (false, false) => Err(SolveError::Infeasible(shortfalls)),
    }
}

//! The plan by a mixed-integer model: enough capacity in each cell, spread over zones, fewest moves.
//!
//! Every constraint that may fail has a shortfall of its own, dearer than anything else. So there is
//! always a solution, and where there is no plan its shortfalls say which constraints bind.

use std::fmt;

use good_lp::{
    constraint, microlp, variable, Expression, ProblemVariables, Solution, SolutionStatus, SolverModel,
    Variable, WithMipGap, WithTimeLimit,
};

use crate::greedy::greedy;
use crate::problem::{Plan, Problem, Shortfall, LEAVING};

/// What one unit of a shortfall costs, against one engine moved.
const SHORT: f64 = 1000.0;
/// A solution so near to the best possible is good enough.
const GAP: f32 = 0.01;

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum SolveError {
    /// These constraints cannot all be met.
    Infeasible(Vec<Shortfall>),
    /// The solver gave up, for want of time or otherwise.
    SolverFailed(String),
}

impl fmt::Display for SolveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SolveError::Infeasible(found) => write!(f, "{} constraints cannot be met", found.len()),
            SolveError::SolverFailed(why) => write!(f, "the solver gave up: {why}"),
        }
    }
}

impl std::error::Error for SolveError {}

/// Solves a problem within so many seconds.
pub fn solve(problem: &Problem, seconds: f64) -> Result<Plan, SolveError> {
    let cells = problem.cells.len();
    let mut vars = ProblemVariables::new();
    let mut cost = Expression::from(0.0);
    // Engines of each group in each cell, and how many of them come new.
    let mut engines: Vec<Vec<Variable>> = Vec::new();
    let mut rows = Vec::new();
    for group in &problem.groups {
        let count = group.count() as f64;
        let own: Vec<Variable> =
            (0..cells).map(|_| vars.add(variable().integer().min(0).max(count))).collect();
        rows.push(constraint!(own.iter().sum::<Expression>() <= count));
        for (var, now) in own.iter().zip(&group.now) {
            let came = vars.add(variable().min(0));
            rows.push(constraint!(came >= *var - *now as f64));
            let left = vars.add(variable().min(0));
            rows.push(constraint!(left >= Expression::from(*now as f64) - *var));
            cost += came + left * LEAVING;
        }
        engines.push(own);
    }
    // The cell of each tenant that may move.
    let mut places: Vec<Option<Vec<Variable>>> = Vec::new();
    for tenant in &problem.tenants {
        if tenant.pinned {
            places.push(None);
            continue;
        }
        let own: Vec<Variable> = (0..cells).map(|_| vars.add(variable().binary())).collect();
        rows.push(constraint!(own.iter().sum::<Expression>() == 1));
        for (_, var) in own.iter().enumerate().filter(|(c, _)| *c != tenant.now) {
            cost += *var * problem.tenant_cost;
        }
        places.push(Some(own));
    }
    let short = |vars: &mut ProblemVariables, cost: &mut Expression| {
        let lack = vars.add(variable().min(0));
        *cost += lack * SHORT;
        lack
    };
    for cell in 0..cells {
        let sum = |of: &dyn Fn(&crate::Group) -> f64, zone: Option<usize>| -> Expression {
            let there = problem.groups.iter().zip(&engines).filter(|(g, _)| zone.is_none_or(|z| g.zone == z));
            there.map(|(g, n)| n[cell] * of(g)).sum()
        };
        let demand = |of: &dyn Fn(&crate::Tenant) -> f64| -> Expression {
            let each = problem.tenants.iter().zip(&places);
            let terms = each.map(|(t, own)| match own {
                Some(own) => own[cell] * (of(t) * (1.0 + problem.margin)),
                None if t.now == cell => Expression::from(of(t) * (1.0 + problem.margin)),
                None => Expression::from(0.0),
            });
            terms.sum()
        };
        let (reads, writes) = (sum(&|g| g.reads, None), sum(&|g| g.writes, None));
        let lack = short(&mut vars, &mut cost);
        rows.push(constraint!(reads.clone() + lack >= demand(&|t| t.reads)));
        let lack = short(&mut vars, &mut cost);
        rows.push(constraint!(writes.clone() + lack >= demand(&|t| t.writes)));
        for zone in 0..problem.zones() {
            let lack = short(&mut vars, &mut cost);
            rows.push(constraint!(
                sum(&|g| g.reads, Some(zone)) <= reads.clone() * problem.zone_share + lack
            ));
            rows.push(constraint!(
                sum(&|g| g.writes, Some(zone)) <= writes.clone() * problem.zone_share + lack
            ));
        }
    }
    let mut model = vars.minimise(cost).using(microlp);
    for row in rows {
        model.add_constraint(row);
    }
    let model = model
        .with_mip_gap(GAP)
        .map_err(|e| SolveError::SolverFailed(e.to_string()))?
        .with_time_limit(seconds);
    let solution = model.solve().map_err(|e| SolveError::SolverFailed(e.to_string()))?;
    let whole = |v: &Variable| solution.value(*v).round().max(0.0) as usize;
    let plan = Plan {
        engines: engines.iter().map(|own| own.iter().map(whole).collect()).collect(),
        tenants: problem
            .tenants
            .iter()
            .zip(&places)
            .map(|(t, own)| match own {
                None => t.now,
                Some(own) => own.iter().position(|v| solution.value(*v) > 0.5).unwrap_or(t.now),
            })
            .collect(),
    };
    // What is believed is the plan, checked by other means than the solver's.
    let lacks = problem.shortfalls(&plan);
    if !problem.is_valid(&plan) {
        return Err(SolveError::SolverFailed("its solution uses what is not there".into()));
    }
    // A solver that ran out of time may hold a worse plan than a rule of thumb does, or none.
    let thumb = greedy(problem);
    let thumb_holds = problem.is_valid(&thumb) && problem.shortfalls(&thumb).is_empty();
    match (lacks.is_empty(), thumb_holds) {
        (true, true) if problem.cost(&thumb) < problem.cost(&plan) => Ok(thumb),
        (true, _) => Ok(plan),
        (false, true) => Ok(thumb),
        (false, false) if matches!(solution.status(), SolutionStatus::TimeLimit) => {
            Err(SolveError::SolverFailed(format!("no plan within {seconds} s")))
        }
        (false, false) => Err(SolveError::Infeasible(lacks)),
    }
}

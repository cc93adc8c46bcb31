//! Plans of generated fleets: compares the cost of greedy plans with that of the solver's, and the time of both.

use std::time::Instant;

use pintally_placement::{greedy, solve, steps, Group, Problem, SolveError, Tenant};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::Spread;

/// Results for one number of tenants, over seeds.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Plans {
    pub tenants: usize,
    pub cells: usize,
    pub fleets: usize,
    /// Fleets for which the solver found a plan.
    pub planned: usize,
    /// Fleets for which the solver gave up.
    pub gave_up: usize,
    /// Fleets for which the greedy plan has no shortfalls.
    pub greedy_planned: usize,
    /// Run time of the solver in seconds.
    pub seconds: Spread,
    /// Run time of the greedy planner in seconds.
    pub greedy_seconds: Spread,
    /// Cost of the greedy plan divided by the solver's, where both found a plan and the solver's has a cost.
    pub ratio: Spread,
    /// Plans that can be reached by safe steps.
    pub reachable: usize,
}

/// The capacity of a tight fleet, as a multiple of its tenants' demand with the margin.
const TIGHT_CAPACITY_RATIO: f64 = 1.04;

/// Generates a fleet whose demand has drifted since it was planned. A tight fleet has hardly more engines than all
/// cells need together, has no spare engines, and spreads the engines of each cell unevenly over the zones.
fn fleet(tenants: usize, cells: usize, tight: bool, rng: &mut ChaCha8Rng) -> Problem {
    let (mut all, mut demand) = (Vec::new(), vec![(0.0, 0.0); cells]);
    for i in 0..tenants {
        // A few large tenants, many small ones.
        let size = 1.0 / (1.0 + rng.random_range(0..tenants) as f64).sqrt();
        let (now, pinned) = (rng.random_range(0..cells), rng.random::<f64>() < 0.2);
        let (reads, writes) = (size * rng.random_range(0.5..1.5), size * rng.random_range(0.5..1.5));
        demand[now].0 += reads;
        demand[now].1 += writes;
        all.push(Tenant { name: format!("t{i}"), reads, writes, now, pinned });
    }
    let each = demand.iter().map(|d| d.0 + d.1).sum::<f64>() / (cells as f64 * 16.0);
    let mut groups = Vec::new();
    for zone in 0..2 {
        for reader in [true, false] {
            let (reads, writes) = if reader { (each, 0.0) } else { (0.0, each) };
            let name = format!("{}-{zone}", if reader { "readers" } else { "writers" });
            if tight {
                let of = |d: &(f64, f64)| if reader { d.0 } else { d.1 };
                let needed = demand.iter().map(of).sum::<f64>() * 1.2 * TIGHT_CAPACITY_RATIO / each / 2.0;
                let drifted: Vec<f64> = demand.iter().map(|d| of(d) * rng.random_range(0.5..1.5)).collect();
                let now = apportion(needed.ceil() as usize, &drifted);
                groups.push(Group { name, zone, reads, writes, now, spare: 0 });
                continue;
            }
            // Each cell has the engines for an earlier demand, between 0.75 and 1.35 times the current one.
            let now = demand.iter().map(|(r, w)| {
                let need = if reader { *r } else { *w } * 1.2 * rng.random_range(0.75..1.35);
                (need / each / 2.0).ceil() as usize
            });
            groups.push(Group { name, zone, reads, writes, now: now.collect(), spare: 1 });
        }
    }
    let cells = (0..cells).map(|c| format!("c{c}")).collect();
    Problem { cells, groups, tenants: all, margin: 0.2, zone_share: 0.7, tenant_cost: 3.0 }
}

/// Divides a total by weights, by the method of largest remainders.
fn apportion(total: usize, weights: &[f64]) -> Vec<usize> {
    let sum: f64 = weights.iter().sum::<f64>().max(1e-9);
    let exact: Vec<f64> = weights.iter().map(|w| total as f64 * w / sum).collect();
    let mut parts: Vec<usize> = exact.iter().map(|e| *e as usize).collect();
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let left = total - parts.iter().sum::<usize>();
    order.into_iter().cycle().take(left).for_each(|i| parts[i] += 1);
    parts
}

/// Measures plans for generated fleets, one per seed; the solver may take `time_limit_s` seconds for each.
pub fn plans(tenants: usize, fleets: usize, tight: bool, time_limit_s: f64) -> Plans {
    let cells = (tenants / 10).clamp(2, 8);
    let (mut planned, mut gave_up, mut greedy_planned, mut reachable) = (0, 0, 0, 0);
    let (mut took, mut greedy_took, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..fleets as u64 {
        let problem = fleet(tenants, cells, tight, &mut ChaCha8Rng::seed_from_u64(seed));
        let began = Instant::now();
        let greedy_plan = greedy(&problem);
        greedy_took.push(began.elapsed().as_secs_f64());
        let greedy_is_feasible = problem.shortfalls(&greedy_plan).is_empty();
        greedy_planned += usize::from(greedy_is_feasible);
        let began = Instant::now();
        let plan = solve(&problem, time_limit_s);
        took.push(began.elapsed().as_secs_f64());
        match plan {
            Ok(plan) => {
                planned += 1;
                reachable += usize::from(steps(&problem, &plan).is_ok());
                if greedy_is_feasible && problem.cost(&plan) > 0.0 {
                    ratios.push(problem.cost(&greedy_plan) / problem.cost(&plan));
                }
            }
            Err(SolveError::SolverFailed(_)) => gave_up += 1,
            Err(SolveError::Infeasible(_)) => {}
        }
    }
    let (seconds, greedy_seconds, ratio) = (Spread::of(took), Spread::of(greedy_took), Spread::of(ratios));
    Plans {
        tenants,
        cells,
        fleets,
        planned,
        gave_up,
        greedy_planned,
        seconds,
        greedy_seconds,
        ratio,
        reachable,
    }
}

#[cfg(test)]
mod tests;

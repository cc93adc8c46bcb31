//! Plans of generated fleets: how far a greedy plan is from the model's, and how long each takes.

use std::time::Instant;

use pintally_placement::{greedy, solve, steps, Group, Problem, SolveError, Tenant};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::Spread;

/// Plans for so many tenants, over seeds.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Plans {
    pub tenants: usize,
    pub cells: usize,
    pub fleets: usize,
    /// Fleets for which there is a plan, for which the solver gave up, and for which greedy found one.
    pub planned: usize,
    pub gave_up: usize,
    pub greedy_planned: usize,
    /// Seconds of the solver and of greedy.
    pub seconds: Spread,
    pub greedy_seconds: Spread,
    /// Greedy's cost over the model's, where both found a plan that costs something.
    pub ratio: Spread,
    /// Plans that can be reached by safe steps.
    pub reachable: usize,
}

/// How much a fleet has over what its tenants demand with the margin, when it is tight.
const TIGHT: f64 = 1.04;

/// A fleet whose demand has drifted from the plan that it was given. A tight one has hardly more
/// engines than all cells need together, none spare, and more of each cell's in one zone.
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
                let needed = demand.iter().map(of).sum::<f64>() * 1.2 * TIGHT / each / 2.0;
                let drifted: Vec<f64> = demand.iter().map(|d| of(d) * rng.random_range(0.5..1.5)).collect();
                let now = parts(needed.ceil() as usize, &drifted);
                groups.push(Group { name, zone, reads, writes, now, spare: 0 });
                continue;
            }
            // What each cell has fits the demand of some time ago, give or take a fifth.
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

/// Divides so many by weights, the largest remainders first.
fn parts(many: usize, weights: &[f64]) -> Vec<usize> {
    let sum: f64 = weights.iter().sum::<f64>().max(1e-9);
    let exact: Vec<f64> = weights.iter().map(|w| many as f64 * w / sum).collect();
    let mut parts: Vec<usize> = exact.iter().map(|e| *e as usize).collect();
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    let left = many - parts.iter().sum::<usize>();
    order.into_iter().cycle().take(left).for_each(|i| parts[i] += 1);
    parts
}

/// Measures plans for so many tenants over seeds; the solver may take so many seconds for each.
pub fn plans(tenants: usize, fleets: usize, tight: bool, seconds: f64) -> Plans {
    let cells = (tenants / 10).clamp(2, 8);
    let (mut planned, mut gave_up, mut greedy_planned, mut reachable) = (0, 0, 0, 0);
    let (mut took, mut thumb_took, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..fleets as u64 {
        let problem = fleet(tenants, cells, tight, &mut ChaCha8Rng::seed_from_u64(seed));
        let began = Instant::now();
        let thumb = greedy(&problem);
        thumb_took.push(began.elapsed().as_secs_f64());
        let thumb_holds = problem.shortfalls(&thumb).is_empty();
        greedy_planned += usize::from(thumb_holds);
        let began = Instant::now();
        let plan = solve(&problem, seconds);
        took.push(began.elapsed().as_secs_f64());
        match plan {
            Ok(plan) => {
                planned += 1;
                reachable += usize::from(steps(&problem, &plan).is_ok());
                if thumb_holds && problem.cost(&plan) > 0.0 {
                    ratios.push(problem.cost(&thumb) / problem.cost(&plan));
                }
            }
            Err(SolveError::SolverFailed(_)) => gave_up += 1,
            Err(SolveError::Infeasible(_)) => {}
        }
    }
    let (seconds, greedy_seconds, ratio) = (Spread::of(took), Spread::of(thumb_took), Spread::of(ratios));
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

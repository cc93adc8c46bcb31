//! The baseline: tenants by size into the cell with the most room, engines to whoever lacks most.

use crate::problem::{Plan, Problem};

/// A plan by rules of thumb; it may lack something.
pub fn greedy(problem: &Problem) -> Plan {
    let mut plan = problem.current_plan();
    let cells = problem.cells.len();
    // Share of a cell's capacity that its tenants demand, the scarcer of the two.
    let load = |plan: &Plan, cell: usize| {
        let ((reads, writes), (r, w)) = (problem.capacity(plan, cell), problem.demand(plan, cell));
        (r / reads.max(1e-9)).max(w / writes.max(1e-9))
    };
    // First the engines: one at a time to the cell that lacks most, spare ones before others'.
    let engines: usize = problem.groups.iter().map(super::problem::Group::count).sum();
    for _ in 0..engines * 2 {
        let Some(worst) = (0..cells).max_by(|a, b| load(&plan, *a).total_cmp(&load(&plan, *b))) else {
            break;
        };
        if load(&plan, worst) <= 1.0 {
            break;
        }
        let ((reads, writes), (r, w)) = (problem.capacity(&plan, worst), problem.demand(&plan, worst));
        let wants_reads = r / reads.max(1e-9) >= w / writes.max(1e-9);
        let useful = |g: &crate::Group| if wants_reads { g.reads > 0.0 } else { g.writes > 0.0 };
        let spare = problem
            .groups
            .iter()
            .enumerate()
            .find(|(i, g)| useful(g) && plan.engines[*i].iter().sum::<usize>() < g.count());
        if let Some((index, _)) = spare {
            plan.engines[index][worst] += 1;
            continue;
        }
        // Else from the cell that can best do without.
        let mut giver: Option<(f64, usize, usize)> = None;
        for (index, _) in problem.groups.iter().enumerate().filter(|(_, g)| useful(g)) {
            for cell in (0..cells).filter(|c| *c != worst && plan.engines[index][*c] > 0) {
                let mut without = plan.clone();
                without.engines[index][cell] -= 1;
                let then = load(&without, cell);
                if then <= 1.0 && giver.is_none_or(|(least, ..)| then < least) {
                    giver = Some((then, index, cell));
                }
            }
        }
        let Some((_, index, cell)) = giver else { break };
        plan.engines[index][cell] -= 1;
        plan.engines[index][worst] += 1;
    }
    // Then the tenants: the largest first out of cells that still lack, to where they fit.
    let mut order: Vec<usize> = (0..problem.tenants.len()).filter(|i| !problem.tenants[*i].pinned).collect();
    let size = |i: &usize| problem.tenants[*i].reads.max(problem.tenants[*i].writes);
    order.sort_by(|a, b| size(b).total_cmp(&size(a)));
    for tenant in order {
        let from = plan.tenants[tenant];
        if load(&plan, from) <= 1.0 {
            continue;
        }
        let mut best: Option<(f64, usize)> = None;
        for cell in (0..cells).filter(|c| *c != from) {
            let mut moved = plan.clone();
            moved.tenants[tenant] = cell;
            let then = load(&moved, cell);
            if then <= 1.0 && best.is_none_or(|(least, _)| then < least) {
                best = Some((then, cell));
            }
        }
        if let Some((_, cell)) = best {
            plan.tenants[tenant] = cell;
        }
    }
    plan
}

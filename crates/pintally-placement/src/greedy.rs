//! The greedy baseline: gives engines to the cell with the highest load, then moves tenants, the largest first,
//! out of overloaded cells into the cell that stays least loaded.

use crate::problem::{Plan, Problem};

/// Returns a plan made by simple rules; it may have shortfalls.
pub fn greedy(problem: &Problem) -> Plan {
    let mut plan = problem.current_plan();
    let cells = problem.cells.len();
    // Demand of a cell over its capacity, for reads or writes, whichever is higher.
    let load = |plan: &Plan, cell: usize| {
        let ((reads, writes), (r, w)) = (problem.capacity(plan, cell), problem.demand(plan, cell));
        (r / reads.max(1e-9)).max(w / writes.max(1e-9))
    };
    // First assigns engines, one at a time, to the cell with the highest load: spare engines before those of other cells.
    let engine_count: usize = problem.groups.iter().map(super::problem::Group::count).sum();
    for _ in 0..engine_count * 2 {
        let Some(neediest) = (0..cells).max_by(|a, b| load(&plan, *a).total_cmp(&load(&plan, *b))) else {
            break;
        };
        if load(&plan, neediest) <= 1.0 {
            break;
        }
        let ((reads, writes), (r, w)) = (problem.capacity(&plan, neediest), problem.demand(&plan, neediest));
        let needs_reads = r / reads.max(1e-9) >= w / writes.max(1e-9);
        let useful = |g: &crate::Group| if needs_reads { g.reads > 0.0 } else { g.writes > 0.0 };
        let spare = problem
            .groups
            .iter()
            .enumerate()
            .find(|(i, g)| useful(g) && plan.engines[*i].iter().sum::<usize>() < g.count());
        if let Some((index, _)) = spare {
            plan.engines[index][neediest] += 1;
            continue;
        }
        // Without a spare engine, takes one from the cell that has the lowest load without it.
        let mut donor: Option<(f64, usize, usize)> = None;
        for (index, _) in problem.groups.iter().enumerate().filter(|(_, g)| useful(g)) {
            for cell in (0..cells).filter(|c| *c != neediest && plan.engines[index][*c] > 0) {
                let mut without = plan.clone();
                without.engines[index][cell] -= 1;
                let new_load = load(&without, cell);
                if new_load <= 1.0 && donor.is_none_or(|(least, ..)| new_load < least) {
                    donor = Some((new_load, index, cell));
                }
            }
        }
        let Some((_, index, cell)) = donor else { break };
        plan.engines[index][cell] -= 1;
        plan.engines[index][neediest] += 1;
    }
    // Then moves tenants, the largest first, out of cells that are still overloaded into cells with room for them.
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
            let new_load = load(&moved, cell);
            if new_load <= 1.0 && best.is_none_or(|(least, _)| new_load < least) {
                best = Some((new_load, cell));
            }
        }
        if let Some((_, cell)) = best {
            plan.tenants[tenant] = cell;
        }
    }
    plan
}

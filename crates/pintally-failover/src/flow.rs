//! How much goes where: a flow of least cost from zones that lack room to zones that offer some.
//!
//! Exact, by successive cheapest paths (Ahuja, Magnanti and Orlin, *Network Flows*, 1993): with at most 20
//! zones a path is found by relaxation over a matrix, and there are at most as many as pairs.

/// Below this an amount is nothing.
const NONE: f64 = 1e-9;

/// What goes where.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowAssignment {
    /// From each zone to each: how much.
    pub flow: Vec<Vec<f64>>,
    /// Of each zone what found no room.
    pub left: Vec<f64>,
    /// Sum of amounts times prices.
    pub cost: f64,
}

/// Places what each zone needs into what each offers, at the least cost, and as much of it as can be.
/// A price that is not finite forbids the pair.
pub fn place(needs: &[f64], offers: &[f64], price: impl Fn(usize, usize) -> f64) -> FlowAssignment {
    let n = needs.len().min(offers.len());
    let mut left: Vec<f64> = needs[..n].to_vec();
    let mut room: Vec<f64> = offers[..n].to_vec();
    let mut flow = vec![vec![0.0f64; n]; n];
    // Each round sends along one cheapest path; a path may take back what was sent before.
    for _ in 0..4 * n * n {
        let Some((path, amount)) = cheapest(&left, &room, &flow, &price) else { break };
        for step in path.windows(2) {
            match (step[0] < n, step[1] < n) {
                (true, false) => flow[step[0]][step[1] - n] += amount,
                _ => flow[step[1]][step[0] - n] -= amount,
            }
        }
        if let (Some(first), Some(last)) = (path.first(), path.last()) {
            left[*first] -= amount;
            room[*last - n] -= amount;
        }
    }
    let mut cost = 0.0;
    for (from, row) in flow.iter_mut().enumerate() {
        for (to, amount) in row.iter_mut().enumerate() {
            if *amount < NONE {
                *amount = 0.0;
            } else {
                cost += *amount * price(from, to);
            }
        }
    }
    left.iter_mut().for_each(|l| *l = l.max(0.0));
    FlowAssignment { flow, left, cost }
}

/// The cheapest path from a zone that needs (0..n) to one that offers (n..2n), and how much it carries.
fn cheapest(
    left: &[f64],
    room: &[f64],
    flow: &[Vec<f64>],
    price: &impl Fn(usize, usize) -> f64,
) -> Option<(Vec<usize>, f64)> {
    let n = left.len();
    let mut cost: Vec<f64> =
        (0..2 * n).map(|v| if v < n && left[v] > NONE { 0.0 } else { f64::INFINITY }).collect();
    let mut before = vec![usize::MAX; 2 * n];
    for _ in 0..2 * n {
        let mut changed = false;
        for from in 0..n {
            for to in 0..n {
                let each = price(from, to);
                if !each.is_finite() {
                    continue;
                }
                if cost[from] + each + NONE < cost[n + to] {
                    (cost[n + to], before[n + to], changed) = (cost[from] + each, from, true);
                }
                if flow[from][to] > NONE && cost[n + to] - each + NONE < cost[from] {
                    (cost[from], before[from], changed) = (cost[n + to] - each, n + to, true);
                }
            }
        }
        if !changed {
            break;
        }
    }
    let end = (0..n)
        .filter(|to| room[*to] > NONE && cost[n + to].is_finite())
        .min_by(|a, b| cost[n + a].total_cmp(&cost[n + b]))?;
    let mut path = vec![n + end];
    while before[path[path.len() - 1]] != usize::MAX && path.len() <= 4 * n {
        path.push(before[path[path.len() - 1]]);
    }
    path.reverse();
    let mut amount = room[end].min(left[path[0]]);
    for step in path.windows(2).filter(|s| s[0] >= n) {
        amount = amount.min(flow[step[1]][step[0] - n]);
    }
    (amount > NONE).then_some((path, amount))
}

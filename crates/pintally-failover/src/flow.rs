//! Placement of requests as a minimum-cost flow from zones that lack capacity to zones with spare capacity.
//!
//! The solution is exact, by successive shortest paths (Ahuja, Magnanti and Orlin, *Network Flows*, 1993). With at most
//! 20 zones each path is found by relaxation over a matrix, and there are at most as many paths as pairs of zones.

/// Amounts and differences below this count as rounding errors.
const EPSILON: f64 = 1e-9;

/// Stands for the absent predecessor of a vertex that starts a path or that no path reaches.
const NO_VERTEX: usize = usize::MAX;

/// A placement.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowAssignment {
    /// The amount that is sent from each zone (outer index) to each zone (inner index).
    pub flow: Vec<Vec<f64>>,
    /// By zone: the amount for which there was no capacity.
    pub unplaced: Vec<f64>,
    /// The sum of all amounts, each multiplied by its price.
    pub cost: f64,
}

/// Places as much as possible of what each zone needs in the spare capacity of the others, at the minimum cost. A price
/// that is not finite forbids the pair of zones.
pub fn min_cost_placement(
    needs: &[f64],
    spare: &[f64],
    price: impl Fn(usize, usize) -> f64,
) -> FlowAssignment {
    let zones = needs.len().min(spare.len());
    let mut unplaced: Vec<f64> = needs[..zones].to_vec();
    let mut spare: Vec<f64> = spare[..zones].to_vec();
    let mut flow = vec![vec![0.0f64; zones]; zones];
    for _ in 0..4 * zones * zones {
        let Some((path, amount)) = cheapest_path(&unplaced, &spare, &flow, &price) else { break };
        augment(&mut flow, &path, amount);
        if let (Some(source), Some(target)) = (path.first(), path.last()) {
            unplaced[*source] -= amount;
            spare[*target - zones] -= amount;
        }
    }
    let mut cost = 0.0;
    for (from, row) in flow.iter_mut().enumerate() {
        for (to, amount) in row.iter_mut().enumerate() {
            if *amount < EPSILON {
                *amount = 0.0;
            } else {
                cost += *amount * price(from, to);
            }
        }
    }
    unplaced.iter_mut().for_each(|amount| *amount = amount.max(0.0));
    FlowAssignment { flow, unplaced, cost }
}

/// Sends an amount along a path. A step from a target back to a source reduces an amount that was sent before.
fn augment(flow: &mut [Vec<f64>], path: &[usize], amount: f64) {
    let zones = flow.len();
    for step in path.windows(2) {
        let (from, to) = (step[0], step[1]);
        if from < zones && to >= zones {
            flow[from][to - zones] += amount;
        } else {
            flow[to][from - zones] -= amount;
        }
    }
}

/// The shortest path from the sources to each vertex: its cost, and the vertex before the last one.
struct ShortestPaths {
    cost: Vec<f64>,
    before: Vec<usize>,
}

impl ShortestPaths {
    /// Finds the paths by relaxation. Vertices are the sources (`0..zones`) and targets (`zones..2 * zones`).
    fn find(unplaced: &[f64], flow: &[Vec<f64>], price: &impl Fn(usize, usize) -> f64) -> ShortestPaths {
        let zones = unplaced.len();
        let is_start = |vertex: usize| vertex < zones && unplaced[vertex] > EPSILON;
        let start_cost = |vertex| if is_start(vertex) { 0.0 } else { f64::INFINITY };
        let mut paths = ShortestPaths {
            cost: (0..2 * zones).map(start_cost).collect(),
            before: vec![NO_VERTEX; 2 * zones],
        };
        for _ in 0..2 * zones {
            if !paths.relax(flow, price) {
                break;
            }
        }
        paths
    }

    /// Relaxes each edge once, and returns whether any path became shorter.
    fn relax(&mut self, flow: &[Vec<f64>], price: &impl Fn(usize, usize) -> f64) -> bool {
        let zones = flow.len();
        let mut changed = false;
        for (from, row) in flow.iter().enumerate() {
            for (to, amount) in row.iter().enumerate() {
                let edge_cost = price(from, to);
                if !edge_cost.is_finite() {
                    continue;
                }
                changed |= self.shorten(from, zones + to, edge_cost);
                if *amount > EPSILON {
                    changed |= self.shorten(zones + to, from, -edge_cost);
                }
            }
        }
        changed
    }

    fn shorten(&mut self, from: usize, to: usize, edge_cost: f64) -> bool {
        let cost = self.cost[from] + edge_cost;
        if cost + EPSILON >= self.cost[to] {
            return false;
        }
        self.cost[to] = cost;
        self.before[to] = from;
        true
    }

    /// The path to a vertex, beginning at its source.
    fn path_to(&self, target: usize) -> Vec<usize> {
        let mut path = vec![target];
        let mut vertex = target;
        // A path visits each vertex at most once. The bound guards against a cycle caused by rounding errors.
        while self.before[vertex] != NO_VERTEX && path.len() <= 2 * self.cost.len() {
            vertex = self.before[vertex];
            path.push(vertex);
        }
        path.reverse();
        path
    }
}

/// The cheapest path from a zone that needs capacity to one that has spare capacity, and the amount to send along it.
fn cheapest_path(
    unplaced: &[f64],
    spare: &[f64],
    flow: &[Vec<f64>],
    price: &impl Fn(usize, usize) -> f64,
) -> Option<(Vec<usize>, f64)> {
    let zones = unplaced.len();
    let paths = ShortestPaths::find(unplaced, flow, price);
    let target = (0..zones)
        .filter(|to| spare[*to] > EPSILON && paths.cost[zones + to].is_finite())
        .min_by(|a, b| paths.cost[zones + a].total_cmp(&paths.cost[zones + b]))?;
    let path = paths.path_to(zones + target);
    let mut amount = spare[target].min(unplaced[path[0]]);
    for step in path.windows(2).filter(|step| step[0] >= zones) {
        amount = amount.min(flow[step[1]][step[0] - zones]);
    }
    (amount > EPSILON).then_some((path, amount))
}

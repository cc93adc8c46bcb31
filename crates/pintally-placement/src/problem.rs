//! The planning problem, and the validity, shortfalls and cost of a plan.

use std::fmt;

/// Identical engines: one kind in one zone and rack.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// A name to display.
    pub name: String,
    /// The number of the zone.
    pub zone: usize,
    /// Read capacity of one engine, in the unit of the tenants' demand.
    pub reads: f64,
    /// Write capacity of one engine, in the unit of the tenants' demand.
    pub writes: f64,
    /// The current number of engines in each cell.
    pub now: Vec<usize>,
    /// The current number of engines in no cell.
    pub spare: usize,
}

impl Group {
    /// The number of all engines of the group.
    pub fn count(&self) -> usize {
        self.now.iter().sum::<usize>() + self.spare
    }
}

/// A tenant and its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// A name to display.
    pub name: String,
    /// Read demand.
    pub reads: f64,
    /// Write demand.
    pub writes: f64,
    /// The index of its current cell.
    pub now: usize,
    /// Whether it must stay in its current cell.
    pub pinned: bool,
}

/// A fleet to plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The names of the cells.
    pub cells: Vec<String>,
    /// The engines.
    pub groups: Vec<Group>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The capacity that each cell must have above its demand, as a share of the demand: 0.2 for a fifth more.
    pub margin: f64,
    /// The maximum share of a cell's read or write capacity that may be in one zone.
    pub zone_share: f64,
    /// The cost of moving a tenant, in engine moves.
    pub tenant_cost: f64,
}

/// An assignment of engines and tenants to cells.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The number of engines of each group in each cell.
    pub engines: Vec<Vec<usize>>,
    /// The cell of each tenant.
    pub tenants: Vec<usize>,
}

/// A constraint that a plan does not meet, and by how much.
#[derive(Clone, Debug, PartialEq)]
pub enum Shortfall {
    /// A cell (by index) lacks this much read capacity.
    Reads(usize, f64),
    /// A cell (by index) lacks this much write capacity.
    Writes(usize, f64),
    /// A cell (first index) has this much more of its capacity in a zone (second number) than `zone_share` allows.
    Zone(usize, usize, f64),
}

impl Shortfall {
    /// Describes the shortfall with the name of the cell.
    pub fn describe<'a>(&'a self, problem: &'a Problem) -> impl fmt::Display + 'a {
        struct ShortfallText<'a>(&'a Shortfall, &'a Problem);
        impl fmt::Display for ShortfallText<'_> {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let cell = |c: usize| self.1.cells.get(c).map_or("?", String::as_str);
                match self.0 {
                    Shortfall::Reads(c, lack) => write!(f, "cell {} lacks {lack:.1} of reading", cell(*c)),
                    Shortfall::Writes(c, lack) => write!(f, "cell {} lacks {lack:.1} of writing", cell(*c)),
                    Shortfall::Zone(c, z, over) => {
                        write!(f, "cell {} has {over:.1} too much of its capacity in zone {z}", cell(*c))
                    }
                }
            }
        }
        ShortfallText(self, problem)
    }
}

/// The cost of removing an engine from a cell, relative to adding one. It makes plans use spare engines before
/// those of other cells, and keeps them from removing engines without need.
pub(crate) const REMOVAL_COST: f64 = 0.5;

/// Smaller differences are rounding errors.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Problem {
    /// The current assignment.
    pub fn current_plan(&self) -> Plan {
        Plan {
            engines: self.groups.iter().map(|g| g.now.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.now).collect(),
        }
    }

    /// The number of zones.
    pub(crate) fn zone_count(&self) -> usize {
        self.groups.iter().map(|g| g.zone + 1).max().unwrap_or(0)
    }

    /// Read and write capacity of a cell under a plan.
    pub fn capacity(&self, plan: &Plan, cell: usize) -> (f64, f64) {
        let each = self.groups.iter().zip(&plan.engines);
        each.fold((0.0, 0.0), |(r, w), (g, n)| {
            let n = n[cell] as f64;
            (r + g.reads * n, w + g.writes * n)
        })
    }

    /// Read and write demand of a cell's tenants under a plan, with the margin.
    pub fn demand(&self, plan: &Plan, cell: usize) -> (f64, f64) {
        let own = self.tenants.iter().zip(&plan.tenants).filter(|(_, c)| **c == cell);
        let sum = own.fold((0.0, 0.0), |(r, w), (t, _)| (r + t.reads, w + t.writes));
        (sum.0 * (1.0 + self.margin), sum.1 * (1.0 + self.margin))
    }

    /// All constraints that a plan does not meet; empty if it meets all.
    pub fn shortfalls(&self, plan: &Plan) -> Vec<Shortfall> {
        let mut found = Vec::new();
        for cell in 0..self.cells.len() {
            let ((reads, writes), (r, w)) = (self.capacity(plan, cell), self.demand(plan, cell));
            if r > reads + ROUNDING_TOLERANCE {
                found.push(Shortfall::Reads(cell, r - reads));
            }
            if w > writes + ROUNDING_TOLERANCE {
                found.push(Shortfall::Writes(cell, w - writes));
            }
            for zone in 0..self.zone_count() {
                let (zr, zw) = self.zone_capacity(plan, cell, zone);
                let over = (zr - self.zone_share * reads).max(zw - self.zone_share * writes);
                if over > ROUNDING_TOLERANCE {
                    found.push(Shortfall::Zone(cell, zone, over));
                }
            }
        }
        found
    }

    fn zone_capacity(&self, plan: &Plan, cell: usize, zone: usize) -> (f64, f64) {
        let in_zone = self.groups.iter().zip(&plan.engines).filter(|(g, _)| g.zone == zone);
        in_zone
            .fold((0.0, 0.0), |(r, w), (g, n)| (r + g.reads * n[cell] as f64, w + g.writes * n[cell] as f64))
    }

    /// The cost of getting from the current plan to another: engines added to cells, engines removed from cells
    /// at half the cost, and tenants moved.
    pub fn cost(&self, plan: &Plan) -> f64 {
        let each = self.groups.iter().zip(&plan.engines).flat_map(|(g, n)| g.now.iter().zip(n));
        let engines: f64 = each
            .map(|(now, then)| {
                then.saturating_sub(*now) as f64 + now.saturating_sub(*then) as f64 * REMOVAL_COST
            })
            .sum();
        let moved = self.tenants.iter().zip(&plan.tenants).filter(|(t, c)| t.now != **c).count();
        engines + moved as f64 * self.tenant_cost
    }

    /// Whether a plan keeps pinned tenants in place and uses only engines and cells that exist.
    pub fn is_valid(&self, plan: &Plan) -> bool {
        let engines =
            self.groups.iter().zip(&plan.engines).all(|(g, n)| n.iter().sum::<usize>() <= g.count());
        let pinned = self.tenants.iter().zip(&plan.tenants).all(|(t, c)| !t.pinned || t.now == *c);
        engines && pinned && plan.tenants.iter().all(|c| *c < self.cells.len())
    }
}

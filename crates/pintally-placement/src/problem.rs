//! What is to be planned, and what a plan is worth.

use std::fmt;

/// Engines that are alike: one kind in one zone and rack.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// A name for people.
    pub name: String,
    /// The zone.
    pub zone: usize,
    /// Reading that one of them does, in any unit that demand is given in.
    pub reads: f64,
    /// Writing that one of them does.
    pub writes: f64,
    /// How many of them each cell has now.
    pub now: Vec<usize>,
    /// How many are spare now.
    pub spare: usize,
}

impl Group {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.now.iter().sum::<usize>() + self.spare
    }
}

/// A tenant and what it demands.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Reading that it demands.
    pub reads: f64,
    /// Writing that it demands.
    pub writes: f64,
    /// Its cell now.
    pub now: usize,
    /// It must stay there.
    pub pinned: bool,
}

/// A fleet to be planned.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The cells' names.
    pub cells: Vec<String>,
    /// The engines.
    pub groups: Vec<Group>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Capacity over demand that each cell is to have: 0.2 for a fifth more.
    pub margin: f64,
    /// The largest part of a cell's reading or writing that may stand in one zone.
    pub zone_share: f64,
    /// What moving a tenant costs, in engines moved.
    pub tenant_cost: f64,
}

/// Where everything goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Engines of each group in each cell.
    pub engines: Vec<Vec<usize>>,
    /// The cell of each tenant.
    pub tenants: Vec<usize>,
}

/// What a plan lacks.
#[derive(Clone, Debug, PartialEq)]
pub enum Shortfall {
    /// A cell lacks so much reading.
    Reads(usize, f64),
    /// A cell lacks so much writing.
    Writes(usize, f64),
    /// So much of a cell's capacity is over its part in one zone.
    Zone(usize, usize, f64),
}

impl Shortfall {
    /// The finding in words.
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

/// What an engine costs that leaves a cell, against one that comes into one: a spare engine is used
/// before another cell's, and none is taken away for nothing.
pub(crate) const LEAVING: f64 = 0.5;

/// What is less than this is rounding.
pub(crate) const SMALL: f64 = 1e-6;

impl Problem {
    /// The plan that holds now.
    pub fn current_plan(&self) -> Plan {
        Plan {
            engines: self.groups.iter().map(|g| g.now.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.now).collect(),
        }
    }

    /// The zones, by number.
    pub(crate) fn zones(&self) -> usize {
        self.groups.iter().map(|g| g.zone + 1).max().unwrap_or(0)
    }

    /// Reading and writing that a cell has under a plan.
    pub fn capacity(&self, plan: &Plan, cell: usize) -> (f64, f64) {
        let each = self.groups.iter().zip(&plan.engines);
        each.fold((0.0, 0.0), |(r, w), (g, n)| {
            let n = n[cell] as f64;
            (r + g.reads * n, w + g.writes * n)
        })
    }

    /// Reading and writing that a cell's tenants demand, with the margin.
    pub fn demand(&self, plan: &Plan, cell: usize) -> (f64, f64) {
        let own = self.tenants.iter().zip(&plan.tenants).filter(|(_, c)| **c == cell);
        let sum = own.fold((0.0, 0.0), |(r, w), (t, _)| (r + t.reads, w + t.writes));
        (sum.0 * (1.0 + self.margin), sum.1 * (1.0 + self.margin))
    }

    /// Everything that a plan lacks; nothing if it holds.
    pub fn shortfalls(&self, plan: &Plan) -> Vec<Shortfall> {
        let mut found = Vec::new();
        for cell in 0..self.cells.len() {
            let ((reads, writes), (r, w)) = (self.capacity(plan, cell), self.demand(plan, cell));
            if r > reads + SMALL {
                found.push(Shortfall::Reads(cell, r - reads));
            }
            if w > writes + SMALL {
                found.push(Shortfall::Writes(cell, w - writes));
            }
            for zone in 0..self.zones() {
                let (zr, zw) = self.in_zone(plan, cell, zone);
                let over = (zr - self.zone_share * reads).max(zw - self.zone_share * writes);
                if over > SMALL {
                    found.push(Shortfall::Zone(cell, zone, over));
                }
            }
        }
        found
    }

    fn in_zone(&self, plan: &Plan, cell: usize, zone: usize) -> (f64, f64) {
        let there = self.groups.iter().zip(&plan.engines).filter(|(g, _)| g.zone == zone);
        there.fold((0.0, 0.0), |(r, w), (g, n)| (r + g.reads * n[cell] as f64, w + g.writes * n[cell] as f64))
    }

    /// What a plan costs against the present: engines that come into cells and, for half as much, leave
    /// them, and tenants that move.
    pub fn cost(&self, plan: &Plan) -> f64 {
        let each = self.groups.iter().zip(&plan.engines).flat_map(|(g, n)| g.now.iter().zip(n));
        let engines: f64 = each
            .map(|(now, then)| then.saturating_sub(*now) as f64 + now.saturating_sub(*then) as f64 * LEAVING)
            .sum();
        let moved = self.tenants.iter().zip(&plan.tenants).filter(|(t, c)| t.now != **c).count();
        engines + moved as f64 * self.tenant_cost
    }

    /// Whether a plan moves nothing that may not move and uses no engine that is not there.
    pub fn is_valid(&self, plan: &Plan) -> bool {
        let engines =
            self.groups.iter().zip(&plan.engines).all(|(g, n)| n.iter().sum::<usize>() <= g.count());
        let pinned = self.tenants.iter().zip(&plan.tenants).all(|(t, c)| !t.pinned || t.now == *c);
        engines && pinned && plan.tenants.iter().all(|c| *c < self.cells.len())
    }
}

//! Admission at a cell's edge: whose request is turned away before it costs a read.
//!
//! A node has so many places for requests. Each cell has a part of them that nobody else can keep
//! from it; what it does not use is lent, and taken back as soon as it is wanted. Inside a cell whose
//! part is in use each tenant has an even part of it; whoever is over his own goes first.

use std::collections::BTreeMap;

use crate::CellName;

/// A tenant is told to come back after this many milliseconds for each time over that it is.
const COME_BACK_MS: u64 = 250;
/// And after this long at the most.
const MAX_COME_BACK_MS: u64 = 2000;

/// What the edge says of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// There is a place.
    Free,
    /// There is one once a request of this cell, which has more than its part, gives up its own.
    InPlaceOf(CellName),
    /// There is none; come back after so many milliseconds.
    None(u64),
}

#[derive(Clone, Debug, Default)]
struct Used {
    part: usize,
    all: usize,
    /// Room for bodies: the part of it that is the cell's, and what its requests hold.
    room: usize,
    bytes: usize,
    tenants: BTreeMap<Option<String>, usize>,
}

/// A cell's part of the room for bodies of which so much is never lent: requests under way cannot give
/// their bodies back at once.
const NEVER_LENT: f64 = 0.5;

/// Places and room in use, by cell and tenant.
#[derive(Clone, Debug, Default)]
pub struct Edge {
    places: usize,
    used: usize,
    room: usize,
    bytes: usize,
    cells: BTreeMap<CellName, Used>,
}

impl Edge {
    /// Divides places, and room for so many bytes of bodies, over cells by their weights. Cells that
    /// are not among them keep what they use and have no part of their own any more.
    pub fn divide<'a>(
        &mut self,
        places: usize,
        room: usize,
        weights: impl Iterator<Item = (&'a CellName, f64)>,
    ) {
        let weights: Vec<(&CellName, f64)> = weights.collect();
        let sum: f64 = weights.iter().map(|w| w.1.max(0.0)).sum();
        (self.places, self.room) = (places, room);
        self.cells.values_mut().for_each(|c| (c.part, c.room) = (0, 0));
        for (name, weight) in weights {
            let part = if sum > 0.0 { weight.max(0.0) / sum } else { 0.0 };
            let own = self.cells.entry(name.clone()).or_default();
            own.part = ((places as f64 * part) as usize).max(1);
            own.room = (room as f64 * part) as usize;
        }
        self.cells.retain(|_, c| c.part > 0 || c.all > 0);
    }

    /// A cell's part, and how many of all places it uses.
    pub fn of(&self, cell: &CellName) -> (usize, usize) {
        self.cells.get(cell).map_or((0, 0), |c| (c.part, c.all))
    }

    /// Bytes of bodies held.
    pub fn held_bytes(&self) -> usize {
        self.bytes
    }

    /// Places in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Whether the body of a request has room in a cell. Half of each cell's part is kept for it
    /// whatever the others do; the other half is lent while it is not used.
    pub fn has_room(&self, cell: &CellName, bytes: usize) -> bool {
        let Some(own) = self.cells.get(cell) else { return false };
        let kept = |c: &Used| (c.room as f64 * NEVER_LENT) as usize;
        if own.bytes + bytes <= kept(own) {
            return true;
        }
        let others = self.cells.iter().filter(|(n, _)| *n != cell);
        let reserved: usize = others.map(|(_, c)| kept(c).saturating_sub(c.bytes)).sum();
        self.bytes + bytes + reserved <= self.room
    }

    /// Whether a request of a tenant has a place in a cell whose part counts only by `share` now, as
    /// when it has lost engines. Takes nothing yet.
    pub fn ask(&self, cell: &CellName, tenant: Option<&str>, share: f64) -> Place {
        let Some(c) = self.cells.get(cell) else { return Place::None(MAX_COME_BACK_MS) };
        let part = ((c.part as f64 * share.clamp(0.0, 1.0)) as usize).max(1);
        let own = c.tenants.get(&tenant.map(str::to_string)).copied().unwrap_or(0);
        let others = c.tenants.iter().filter(|(t, n)| **n > 0 && t.as_deref() != tenant).count();
        let fair = part / (others + 1);
        let over =
            |times: usize| Place::None((times as u64 * COME_BACK_MS).clamp(COME_BACK_MS, MAX_COME_BACK_MS));
        // A cell that has lost engines borrows nothing: places would not help it.
        if share < 1.0 && c.all >= part && own >= fair.max(1) {
            return over(own / fair.max(1));
        }
        if c.all < part {
            return match self.used < self.places {
                true => Place::Free,
                false => self.borrower(cell).map_or(Place::Free, Place::InPlaceOf),
            };
        }
        // Over its part: what others do not use, as long as the tenant is not the one to blame.
        if self.used < self.places && (own < fair.max(1) || self.slack() > 0) {
            return Place::Free;
        }
        if own < fair {
            // The flood is somebody else's: one of his makes room.
            return Place::InPlaceOf(cell.clone());
        }
        over(own / fair.max(1))
    }

    /// Places that may be lent: all but one for each cell that uses less than its part, so that an
    /// owner's first request never waits for another's to give way.
    fn slack(&self) -> usize {
        let waiting = self.cells.values().filter(|c| c.all < c.part).count();
        self.places.saturating_sub(self.used + waiting)
    }

    /// The cell that is furthest over its part.
    fn borrower(&self, but: &CellName) -> Option<CellName> {
        let over = self.cells.iter().filter(|(n, c)| *n != but && c.all > c.part);
        over.max_by_key(|(_, c)| c.all - c.part).map(|(n, _)| n.clone())
    }

    /// The tenant that has the most places of a cell.
    pub fn heaviest(&self, cell: &CellName) -> Option<Option<String>> {
        let tenants = &self.cells.get(cell)?.tenants;
        tenants.iter().filter(|(_, n)| **n > 0).max_by_key(|(_, n)| **n).map(|(t, _)| t.clone())
    }

    /// Takes a place, and room for a body.
    pub fn take(&mut self, cell: &CellName, tenant: Option<&str>, bytes: usize) {
        self.used += 1;
        self.bytes += bytes;
        let c = self.cells.entry(cell.clone()).or_default();
        c.all += 1;
        c.bytes += bytes;
        *c.tenants.entry(tenant.map(str::to_string)).or_default() += 1;
    }

    /// Gives a place back, and the room for a body.
    pub fn give_back(&mut self, cell: &CellName, tenant: Option<&str>, bytes: usize) {
        let Some(c) = self.cells.get_mut(cell) else { return };
        let key = tenant.map(str::to_string);
        let Some(own) = c.tenants.get_mut(&key).filter(|n| **n > 0) else { return };
        *own -= 1;
        if *own == 0 {
            c.tenants.remove(&key);
        }
        c.all -= 1;
        c.bytes = c.bytes.saturating_sub(bytes);
        self.used -= 1;
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

//! Admission at the edge of a cell: which requests are rejected before they cost a read.
//!
//! A node has a number of slots for open requests. Each cell has a quota of them that no other cell can take; what
//! it does not use is lent, and taken back as soon as it is needed. Inside a cell whose quota is in use each tenant
//! has an equal part of it; the tenant that is over its part is rejected or displaced first.

use std::collections::BTreeMap;

use crate::CellName;

/// Retry-After of a tenant, for each multiple of its part that it uses, in milliseconds.
const RETRY_AFTER_STEP_MS: u64 = 250;
/// Upper bound of that time.
const MAX_RETRY_AFTER_MS: u64 = 2000;

/// The fraction of a cell's quota for bodies that is never lent: open requests cannot return their bodies at once.
const UNLENT_BODY_FRACTION: f64 = 0.5;

/// The decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EdgeDecision {
    /// There is a free slot.
    Admit,
    /// There is one once a request of this cell, which uses more than its quota, is displaced.
    Displace(CellName),
    /// There is none; retry after this many milliseconds.
    Reject(u64),
}

/// The slots of one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// The cell's quota.
    pub quota: usize,
    /// How many slots of the node it uses.
    pub used: usize,
}

/// The slots and bodies of one cell.
#[derive(Clone, Debug, Default)]
struct CellUsage {
    slots: SlotUsage,
    /// The cell's quota of bytes for bodies.
    body_quota: usize,
    /// Bytes of the bodies of its open requests.
    body_bytes: usize,
    /// Slots in use by tenant.
    tenants: BTreeMap<Option<String>, usize>,
}

impl CellUsage {
    /// The bytes of the quota that are never lent.
    fn unlent_body_bytes(&self) -> usize {
        (self.body_quota as f64 * UNLENT_BODY_FRACTION) as usize
    }

    fn slots_of(&self, tenant: Option<&str>) -> usize {
        self.tenants.get(&tenant.map(str::to_string)).copied().unwrap_or(0)
    }

    /// Each tenant's equal part of `quota` slots, if `tenant` is one of those that use the cell.
    fn fair_slots(&self, tenant: Option<&str>, quota: usize) -> usize {
        let others = self.tenants.iter().filter(|(other, used)| **used > 0 && other.as_deref() != tenant);
        quota / (others.count() + 1)
    }
}

/// Slots and bytes of bodies in use, by cell and tenant.
#[derive(Clone, Debug, Default)]
pub struct EdgeAdmission {
    slots: usize,
    used_slots: usize,
    body_capacity: usize,
    body_bytes: usize,
    cells: BTreeMap<CellName, CellUsage>,
}

impl EdgeAdmission {
    /// Divides the node's slots and its bytes for bodies over cells by weight. Other cells keep what they use and
    /// have no quota any more.
    pub fn divide<'a>(
        &mut self,
        slots: usize,
        body_capacity: usize,
        weights: impl Iterator<Item = (&'a CellName, f64)>,
    ) {
        let weights: Vec<(&CellName, f64)> = weights.collect();
        let sum: f64 = weights.iter().map(|(_, weight)| weight.max(0.0)).sum();
        self.slots = slots;
        self.body_capacity = body_capacity;
        for cell in self.cells.values_mut() {
            cell.slots.quota = 0;
            cell.body_quota = 0;
        }
        for (name, weight) in weights {
            let fraction = if sum > 0.0 { weight.max(0.0) / sum } else { 0.0 };
            let cell = self.cells.entry(name.clone()).or_default();
            cell.slots.quota = ((slots as f64 * fraction) as usize).max(1);
            cell.body_quota = (body_capacity as f64 * fraction) as usize;
        }
        self.cells.retain(|_, cell| cell.slots.quota > 0 || cell.slots.used > 0);
    }

    /// A cell's quota of slots, and how many it uses.
    pub fn usage(&self, cell: &CellName) -> SlotUsage {
        self.cells.get(cell).map_or_else(SlotUsage::default, |cell| cell.slots)
    }

    /// Bytes of the bodies of open requests.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Slots in use.
    pub fn used_slots(&self) -> usize {
        self.used_slots
    }

    /// Whether a body fits into a cell. Half of each cell's quota is never lent; the other half is lent while it
    /// is not used.
    pub fn fits_body(&self, name: &CellName, bytes: usize) -> bool {
        let Some(cell) = self.cells.get(name) else { return false };
        if cell.body_bytes + bytes <= cell.unlent_body_bytes() {
            return true;
        }
        let others = self.cells.iter().filter(|(other, _)| *other != name);
        let reserved: usize =
            others.map(|(_, other)| other.unlent_body_bytes().saturating_sub(other.body_bytes)).sum();
        self.body_bytes + bytes + reserved <= self.body_capacity
    }

    /// Decides on a request of a tenant in a cell of whose quota only the fraction `usable` counts now, as when
    /// the cell has lost engines. Reserves nothing.
    pub fn decide(&self, name: &CellName, tenant: Option<&str>, usable: f64) -> EdgeDecision {
        let Some(cell) = self.cells.get(name) else { return EdgeDecision::Reject(MAX_RETRY_AFTER_MS) };
        let quota = ((cell.slots.quota as f64 * usable.clamp(0.0, 1.0)) as usize).max(1);
        let own = cell.slots_of(tenant);
        let fair = cell.fair_slots(tenant, quota);
        let at_least_one = fair.max(1);
        // A cell that has lost engines borrows nothing: slots would not help it.
        if usable < 1.0 && cell.slots.used >= quota && own >= at_least_one {
            return reject(own / at_least_one);
        }
        let has_free_slot = self.used_slots < self.slots;
        if cell.slots.used < quota {
            return match self.largest_borrower(name) {
                Some(borrower) if !has_free_slot => EdgeDecision::Displace(borrower),
                _ => EdgeDecision::Admit,
            };
        }
        // Over the quota: slots that others do not use, unless the tenant itself is the cause.
        if has_free_slot && (own < at_least_one || self.lendable_slots() > 0) {
            return EdgeDecision::Admit;
        }
        if own < fair {
            // Another tenant of the cell is the cause: one of its requests is displaced.
            return EdgeDecision::Displace(name.clone());
        }
        reject(own / at_least_one)
    }

    /// Slots that may be lent: all but one for each cell within its quota, so that its next request never waits
    /// for another to be displaced.
    fn lendable_slots(&self) -> usize {
        let within_quota = self.cells.values().filter(|cell| cell.slots.used < cell.slots.quota).count();
        self.slots.saturating_sub(self.used_slots + within_quota)
    }

    /// The other cell that is furthest over its quota.
    fn largest_borrower(&self, but: &CellName) -> Option<CellName> {
        self.cells
            .iter()
            .filter(|(name, cell)| *name != but && cell.slots.used > cell.slots.quota)
            .max_by_key(|(_, cell)| cell.slots.used - cell.slots.quota)
            .map(|(name, _)| name.clone())
    }

    /// The tenant that uses most slots of a cell.
    pub fn heaviest_tenant(&self, cell: &CellName) -> Option<Option<String>> {
        let tenants = &self.cells.get(cell)?.tenants;
        tenants
            .iter()
            .filter(|(_, used)| **used > 0)
            .max_by_key(|(_, used)| **used)
            .map(|(tenant, _)| tenant.clone())
    }

    /// Reserves a slot, and the bytes of a body.
    pub fn reserve(&mut self, cell: &CellName, tenant: Option<&str>, bytes: usize) {
        self.used_slots += 1;
        self.body_bytes += bytes;
        let cell = self.cells.entry(cell.clone()).or_default();
        cell.slots.used += 1;
        cell.body_bytes += bytes;
        *cell.tenants.entry(tenant.map(str::to_string)).or_default() += 1;
    }

    /// Releases a slot, and the bytes of a body.
    pub fn release(&mut self, cell: &CellName, tenant: Option<&str>, bytes: usize) {
        let Some(cell) = self.cells.get_mut(cell) else { return };
        let tenant = tenant.map(str::to_string);
        let Some(used) = cell.tenants.get_mut(&tenant).filter(|used| **used > 0) else { return };
        *used -= 1;
        if *used == 0 {
            cell.tenants.remove(&tenant);
        }
        cell.slots.used -= 1;
        cell.body_bytes = cell.body_bytes.saturating_sub(bytes);
        self.used_slots -= 1;
        self.body_bytes = self.body_bytes.saturating_sub(bytes);
    }
}

/// Rejects a request of a tenant that uses a multiple of its part.
fn reject(multiple: usize) -> EdgeDecision {
    let retry_after_ms = multiple as u64 * RETRY_AFTER_STEP_MS;
    EdgeDecision::Reject(retry_after_ms.clamp(RETRY_AFTER_STEP_MS, MAX_RETRY_AFTER_MS))
}

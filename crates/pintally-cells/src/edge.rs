//! Admission at the edge of a cell, where requests are rejected before any engine reads their prompts.
//!
//! A node has a number of slots for open requests. Each cell has a guaranteed quota of them. Other cells may use the
//! slots that a cell leaves free; it reclaims them as soon as it needs them. If the quota of a cell is in use, each of
//! its tenants has an equal part of it, and requests of a tenant that exceeds its part are rejected or displaced first.

use std::collections::BTreeMap;

use crate::CellName;

/// Retry-After for a rejected request, per multiple of its equal part that the tenant uses, in milliseconds.
const RETRY_AFTER_STEP_MS: u64 = 250;
/// Upper bound of Retry-After, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 2000;

/// The fraction of a cell's quota for bodies that other cells cannot use, because the memory of the bodies of open
/// requests cannot be reclaimed at once.
const UNLENT_BODY_FRACTION: f64 = 0.5;

/// The decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EdgeDecision {
    /// There is a free slot.
    Admit,
    /// There is a free slot once a request of this cell is displaced.
    Displace(CellName),
    /// There is no free slot; the client may retry after this many milliseconds.
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
    /// The bytes of the quota that other cells cannot use.
    fn unlent_body_bytes(&self) -> usize {
        (self.body_quota as f64 * UNLENT_BODY_FRACTION) as usize
    }

    fn slots_of(&self, tenant: Option<&str>) -> usize {
        self.tenants.get(&tenant.map(str::to_string)).copied().unwrap_or(0)
    }

    /// The equal part of `quota` slots of each tenant that uses the cell, `tenant` included.
    fn fair_slots(&self, tenant: Option<&str>, quota: usize) -> usize {
        let others = self.tenants.iter().filter(|(other, used)| **used > 0 && other.as_deref() != tenant);
        quota / (others.count() + 1)
    }
}

/// The slots and the bytes for bodies that are in use, by cell and tenant.
#[derive(Clone, Debug, Default)]
pub struct EdgeAdmission {
    slots: usize,
    used_slots: usize,
    body_capacity: usize,
    body_bytes: usize,
    cells: BTreeMap<CellName, CellUsage>,
}

impl EdgeAdmission {
    /// Divides the node's slots and its bytes for bodies over cells by weight. Cells that are not given have no quota
    /// any more; their open requests keep their slots.
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

    /// Whether there is space for a body in a cell. Half of each cell's quota is reserved for the cell; other cells may
    /// use the other half while it is free.
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

    /// Decides on a request of a tenant in a cell. Only the fraction `usable` of the cell's quota counts, which is less
    /// than 1 while the cell lacks engines. Reserves nothing.
    pub fn decide(&self, name: &CellName, tenant: Option<&str>, usable: f64) -> EdgeDecision {
        let Some(cell) = self.cells.get(name) else { return EdgeDecision::Reject(MAX_RETRY_AFTER_MS) };
        let quota = ((cell.slots.quota as f64 * usable.clamp(0.0, 1.0)) as usize).max(1);
        let own = cell.slots_of(tenant);
        let fair = cell.fair_slots(tenant, quota);
        let at_least_one = fair.max(1);
        // A cell that lacks engines gets no slots of other cells: its engines could not serve more requests.
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
        // Above its quota the cell uses free slots of others, unless the tenant has used up its part and no slot may
        // be lent.
        if has_free_slot && (own < at_least_one || self.lendable_slots() > 0) {
            return EdgeDecision::Admit;
        }
        if own < fair {
            // Another tenant of the cell exceeds its part, and one of that tenant's requests is displaced.
            return EdgeDecision::Displace(name.clone());
        }
        reject(own / at_least_one)
    }

    /// The number of free slots that cells above their quota may use. One slot is kept free for each cell below its
    /// quota, so that its next request need not wait until another is displaced.
    fn lendable_slots(&self) -> usize {
        let within_quota = self.cells.values().filter(|cell| cell.slots.used < cell.slots.quota).count();
        self.slots.saturating_sub(self.used_slots + within_quota)
    }

    /// The cell other than `except` that exceeds its quota most.
    fn largest_borrower(&self, except: &CellName) -> Option<CellName> {
        self.cells
            .iter()
            .filter(|(name, cell)| *name != except && cell.slots.used > cell.slots.quota)
            .max_by_key(|(_, cell)| cell.slots.used - cell.slots.quota)
            .map(|(name, _)| name.clone())
    }

    /// The tenant that uses the most slots of a cell.
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

/// Rejects a request of a tenant that uses `multiple` times its equal part.
fn reject(multiple: usize) -> EdgeDecision {
    let retry_after_ms = multiple as u64 * RETRY_AFTER_STEP_MS;
    EdgeDecision::Reject(retry_after_ms.clamp(RETRY_AFTER_STEP_MS, MAX_RETRY_AFTER_MS))
}

//! The lease granter: which allocation each holder is granted, and for how long it is debited.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::limit::{Limit, LimitId, LimitKind, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

/// The fraction of the amount beyond all demand that is distributed among the holders, so that they can
/// serve a sudden rise of demand. The rest is kept for new holders.
const SPARE_FRACTION: f64 = 0.5;
/// Hysteresis: an allocation changes only by more than this fraction of itself, so that small fluctuations
/// of demand do not change it.
const HYSTERESIS_FRACTION: f64 = 0.02;

/// Identifies a holder by the name of its node and the incarnation. A restarted node is another holder, and
/// the allocation of its former incarnation is debited until the lease has expired.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    name: String,
    incarnation: u64,
}

/// The allocation of a holder, as debited from a limit.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    /// The number of the holder's latest request.
    request_number: u32,
    /// The debited amount: at least what the holder holds.
    debit: f64,
    /// The amount that the holder could use.
    wanted: f64,
    /// The time at which the holder has certainly stopped using the allocation.
    expires_at: Micros,
}

/// A limit and its allocations.
#[derive(Clone, Debug)]
struct Pool {
    limit: Limit,
    allocations: BTreeMap<HolderKey, Allocation>,
}

/// The status of a limit at the granter. The serialised names are part of the status page.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The id of the limit.
    pub limit: u32,
    /// The amount of the whole limit.
    #[serde(rename = "most")]
    pub limit_amount: f64,
    /// The sum of the debited amounts.
    #[serde(rename = "lent")]
    pub granted: f64,
    /// The sum of the amounts that the holders could use.
    pub wanted: f64,
    /// The debited amount of each holder.
    pub holders: Vec<(String, f64)>,
}

/// Grants leases during the leadership of one replica. The granter of the next leader starts without
/// knowledge of earlier grants.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    settings: Settings,
    /// When the granter was started. It does not know earlier grants.
    started_at: Micros,
    pools: BTreeMap<LimitId, Pool>,
}

impl LeaseGranter {
    /// Creates a granter that does not know grants made before `started_at`.
    pub fn new(
        settings: Settings,
        limits: impl IntoIterator<Item = (LimitId, Limit)>,
        started_at: Micros,
    ) -> LeaseGranter {
        let pool = |(id, limit)| (id, Pool { limit, allocations: BTreeMap::new() });
        LeaseGranter { settings, started_at, pools: limits.into_iter().map(pool).collect() }
    }

    /// Changes the amount of a limit. Each allocation is adjusted when it is requested again.
    pub fn set_limit_amount(&mut self, id: LimitId, amount: f64) {
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.limit.amount = amount;
        }
    }

    /// Answers a request of the holder with this name and incarnation. `None` if the request is invalid,
    /// outdated or for an unknown limit.
    pub fn grant(
        &mut self,
        now: Micros,
        name: &str,
        incarnation: u64,
        request: &LeaseRequest,
    ) -> Option<LeaseGrant> {
        let pool = self.pools.get_mut(&request.limit)?;
        if !is_valid_amount(request.held) || !is_valid_amount(request.wanted) {
            return None;
        }
        let key = HolderKey { name: name.to_string(), incarnation };
        let debit_duration = self.settings.debit_duration(&pool.limit);
        // Until all leases of the previous leader have certainly expired, amounts that no holder has
        // reported may still be held. Afterwards the granter knows all amounts that are held.
        let knows_all_leases = now >= self.started_at + debit_duration;
        pool.allocations.retain(|_, allocation| now < allocation.expires_at);
        let held = pool.record(&key, request, now + debit_duration, knows_all_leases)?;
        let grantable = self.settings.grantable(&pool.limit).max(0.0);
        let granted = pool.allocate(&key, held, grantable, knows_all_leases);
        if let Some(allocation) = pool.allocations.get_mut(&key) {
            allocation.debit = held.max(f64::from(granted));
        }
        let limit_amount = pool.limit.amount;
        Some(LeaseGrant { limit: request.limit, number: request.number, granted, limit_amount })
    }

    /// The status of each limit for which an allocation is debited.
    pub fn status(&self) -> Vec<PoolStatus> {
        self.pools
            .iter()
            .filter(|(_, pool)| !pool.allocations.is_empty())
            .map(|(id, pool)| pool.status(*id))
            .collect()
    }
}

impl Pool {
    /// Records a request and returns the amount that its holder holds. `None` if the request is outdated.
    fn record(
        &mut self,
        key: &HolderKey,
        request: &LeaseRequest,
        expires_at: Micros,
        knows_all_leases: bool,
    ) -> Option<f64> {
        let known_number = self.allocations.get(key).map(|allocation| allocation.request_number);
        // Guards against a request that is delayed or duplicated: the amount that it returned may have been
        // granted to another holder.
        if known_number.is_some_and(|number| number >= request.number) {
            return None;
        }
        let is_claim_expired = known_number.is_none() && knows_all_leases;
        let held = if is_claim_expired { 0.0 } else { f64::from(request.held) };
        // From here on grants for earlier requests are void or are included in the held amount.
        let allocation = Allocation {
            request_number: request.number,
            debit: held,
            wanted: f64::from(request.wanted),
            expires_at,
        };
        self.allocations.insert(key.clone(), allocation);
        Some(held)
    }

    /// The new allocation of a holder that holds `held`.
    fn allocate(&self, key: &HolderKey, held: f64, grantable: f64, knows_all_leases: bool) -> f32 {
        let debited_to_others: f64 = self
            .allocations
            .iter()
            .filter(|(other, _)| *other != key)
            .map(|(_, allocation)| allocation.debit)
            .sum();
        let available = if knows_all_leases { (grantable - debited_to_others).max(0.0) } else { held };
        let mut target = self.target(key, held, grantable, available);
        let is_small_change = (target - held).abs() <= HYSTERESIS_FRACTION * held;
        if is_small_change && held <= grantable - debited_to_others {
            target = held;
        }
        let granted = if target > held { target.min(available.max(held)) } else { target };
        round_down(match self.limit.kind {
            LimitKind::Rate => granted,
            LimitKind::Concurrency => granted.floor(),
        })
    }

    /// The allocation that a holder should have: its fair allocation, in whole units for a concurrency limit.
    fn target(&self, key: &HolderKey, held: f64, grantable: f64, available: f64) -> f64 {
        let fair = self.fair_allocation(key, grantable);
        if self.limit.kind == LimitKind::Rate {
            return fair;
        }
        let wanted = self.wanted_by(key);
        if fair < 1.0 && wanted >= 1.0 && held < 1.0 && available >= 1.0 {
            // If there is less than one unit for each holder, a holder that requests one while it is
            // available gets it, and returns it after use.
            return 1.0;
        }
        fair.floor()
    }

    /// The max-min fair allocation of a holder, computed by water-filling: each holder gets what it wants, up
    /// to a common maximum. If not everything is wanted, it also gets its part of the spare amount.
    fn fair_allocation(&self, key: &HolderKey, grantable: f64) -> f64 {
        let mut wanted: Vec<f64> = self.allocations.values().map(|allocation| allocation.wanted).collect();
        let own = self.wanted_by(key);
        let total: f64 = wanted.iter().sum();
        if total <= grantable {
            return own + self.spare_per_holder(grantable - total, wanted.len());
        }
        wanted.sort_by(f64::total_cmp);
        let mut remaining = grantable;
        let count = wanted.len();
        for (satisfied, amount) in wanted.into_iter().enumerate() {
            let equal_part = remaining / (count - satisfied) as f64;
            if amount > equal_part {
                return own.min(equal_part);
            }
            remaining -= amount;
        }
        own
    }

    /// The part of the unwanted amount that each holder gets. The unwanted amount of a concurrency limit,
    /// which counts whole units, is not distributed.
    fn spare_per_holder(&self, unwanted: f64, holders: usize) -> f64 {
        match self.limit.kind {
            LimitKind::Rate => unwanted * SPARE_FRACTION / holders as f64,
            LimitKind::Concurrency => 0.0,
        }
    }

    fn wanted_by(&self, key: &HolderKey) -> f64 {
        self.allocations.get(key).map_or(0.0, |allocation| allocation.wanted)
    }

    fn status(&self, id: LimitId) -> PoolStatus {
        let holders = self.allocations.iter().map(|(key, allocation)| (key.name.clone(), allocation.debit));
        PoolStatus {
            limit: id.0,
            limit_amount: self.limit.amount,
            granted: self.allocations.values().map(|allocation| allocation.debit).sum(),
            wanted: self.allocations.values().map(|allocation| allocation.wanted).sum(),
            holders: holders.collect(),
        }
    }
}

fn is_valid_amount(amount: f32) -> bool {
    amount.is_finite() && amount >= 0.0
}

/// Rounds down, so that the sum of rounded allocations never exceeds the available amount.
fn round_down(amount: f64) -> f32 {
    let nearest = amount as f32;
    if f64::from(nearest) > amount {
        nearest.next_down().max(0.0)
    } else {
        nearest
    }
}

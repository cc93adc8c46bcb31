//! The lease granter: what is granted to whom, and for how long it is debited.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::limit::{Limit, LimitId, LimitKind, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

/// The fraction of the unwanted amount that is spread over the holders, so that a sudden demand finds some
/// allocation at hand. The rest stays with the granter for new holders.
const SPARE_FRACTION: f64 = 0.5;
/// Hysteresis: an allocation changes only by more than this fraction of itself, so that noise changes
/// nothing.
const HYSTERESIS_FRACTION: f64 = 0.02;

/// A holder: the name of a node and its incarnation. A restarted node is another holder, and the
/// allocation of its former incarnation is debited until the lease has expired.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    name: String,
    incarnation: u64,
}

/// What is debited for a holder.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    /// The number of the holder's latest request.
    request_number: u32,
    /// At least what the holder has.
    debit: f64,
    /// What the holder could use.
    wanted: f64,
    /// When the holder has certainly nothing left.
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
    /// The limit.
    pub limit: u32,
    /// Its amount.
    #[serde(rename = "most")]
    pub limit_amount: f64,
    /// The sum of what is debited.
    #[serde(rename = "lent")]
    pub granted: f64,
    /// The sum of what the holders could use.
    pub wanted: f64,
    /// What is debited for each holder.
    pub holders: Vec<(String, f64)>,
}

/// Grants leases while one replica leads. The granter of the next leader starts without any knowledge.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    settings: Settings,
    /// When it started: it knows nothing of earlier grants.
    started_at: Micros,
    pools: BTreeMap<LimitId, Pool>,
}

impl LeaseGranter {
    /// Creates a granter that knows nothing of what was granted before `since`.
    pub fn new(
        settings: Settings,
        limits: impl IntoIterator<Item = (LimitId, Limit)>,
        since: Micros,
    ) -> LeaseGranter {
        let pool = |(id, limit)| (id, Pool { limit, allocations: BTreeMap::new() });
        LeaseGranter { settings, started_at: since, pools: limits.into_iter().map(pool).collect() }
    }

    /// Changes the amount of a limit. Allocations follow as they are requested again.
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
        // Until all leases of the previous leader have certainly expired, what nobody has claimed may
        // still be held. Afterwards what the granter does not know of is held by nobody.
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

    /// The status of each limit of which anything is debited.
    pub fn status(&self) -> Vec<PoolStatus> {
        self.pools
            .iter()
            .filter(|(_, pool)| !pool.allocations.is_empty())
            .map(|(id, pool)| pool.status(*id))
            .collect()
    }
}

impl Pool {
    /// Records a request and returns what its holder holds. `None` if the request is outdated.
    fn record(
        &mut self,
        key: &HolderKey,
        request: &LeaseRequest,
        expires_at: Micros,
        knows_all_leases: bool,
    ) -> Option<f64> {
        let known_number = self.allocations.get(key).map(|allocation| allocation.request_number);
        // Guards against a request that is delayed or duplicated: what it returned may have been granted
        // to another holder.
        if known_number.is_some_and(|number| number >= request.number) {
            return None;
        }
        let is_claim_expired = known_number.is_none() && knows_all_leases;
        let held = if is_claim_expired { 0.0 } else { f64::from(request.held) };
        // Grants for earlier requests are void from here on, or are included in what is held.
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
        rounded_down(match self.limit.kind {
            LimitKind::Rate => granted,
            LimitKind::Concurrency => granted.floor(),
        })
    }

    /// What a holder should have: its fair allocation, in whole units where the limit counts those.
    fn target(&self, key: &HolderKey, held: f64, grantable: f64, available: f64) -> f64 {
        let fair = self.fair_allocation(key, grantable);
        if self.limit.kind == LimitKind::Rate {
            return fair;
        }
        let wanted = self.wanted_by(key);
        if fair < 1.0 && wanted >= 1.0 && held < 1.0 && available >= 1.0 {
            // Where there is less than one unit for each holder, the first to ask gets one, and returns it
            // after use.
            return 1.0;
        }
        fair.floor()
    }

    /// The fair allocation of a holder by water-filling: all get what they want, or as much as the others
    /// that want more.
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
        for (satisfied, want) in wanted.into_iter().enumerate() {
            let equal_part = remaining / (count - satisfied) as f64;
            if want > equal_part {
                return own.min(equal_part);
            }
            remaining -= want;
        }
        own
    }

    /// What each holder gets of the unwanted amount. It is not spread for concurrency limits, which count
    /// whole units.
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

/// Rounds down, so that rounded allocations never add up to more than there is.
fn rounded_down(amount: f64) -> f32 {
    let nearest = amount as f32;
    if f64::from(nearest) > amount {
        nearest.next_down().max(0.0)
    } else {
        nearest
    }
}

//! The lender: what is lent to whom, and until when it counts as lent.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::limit::{Limit, LimitId, LimitKind, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

/// Of what nobody wants, this part is spread over those that ask, so that a sudden wish finds something
/// at hand; the rest stays with the lender for new ones.
const SPREAD: f64 = 0.5;
/// A share moves only by more than this part of itself, so that noise moves nothing.
const STILL: f64 = 0.02;

/// Who holds: a node's name and its life. A node that was started anew is another holder, and what it
/// had before stays debited until its lease is over.
type HolderKey = (String, u64);

#[derive(Clone, Debug)]
struct Part {
    number: u32,
    debit: f64,
    wants: f64,
    until: Micros,
}

#[derive(Clone, Debug)]
struct Pool {
    limit: Limit,
    parts: BTreeMap<HolderKey, Part>,
}

/// How a pool stands at the lender.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Which limit.
    pub limit: u32,
    /// The whole of it.
    pub most: f64,
    /// Lent, or reckoned as lent.
    pub lent: f64,
    /// Wanted by those that hold or ask.
    pub wanted: f64,
    /// Who holds how much.
    pub holders: Vec<(String, f64)>,
}

/// What one leader of the keepers lends while it leads. A new lead begins with nothing known.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    settings: Settings,
    since: Micros,
    pools: BTreeMap<LimitId, Pool>,
}

impl LeaseGranter {
    /// A lender that knows nothing of what was lent before `since`.
    pub fn new(
        settings: Settings,
        limits: impl IntoIterator<Item = (LimitId, Limit)>,
        since: Micros,
    ) -> LeaseGranter {
        let pool = |(id, limit)| (id, Pool { limit, parts: BTreeMap::new() });
        LeaseGranter { settings, since, pools: limits.into_iter().map(pool).collect() }
    }

    /// A limit is another from now on. Shares follow as they are asked for again.
    pub fn change(&mut self, id: LimitId, most: f64) {
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.limit.amount = most;
        }
    }

    /// Answers an ask of the holder with this name and life. None if it is no news, or no limit of this
    /// fleet.
    pub fn grant(&mut self, now: Micros, name: &str, life: u64, ask: &LeaseRequest) -> Option<LeaseGrant> {
        let settings = self.settings;
        let since = self.since;
        let pool = self.pools.get_mut(&ask.limit)?;
        let sound = |x: f32| x.is_finite() && x >= 0.0;
        if !sound(ask.held) || !sound(ask.wanted) {
            return None;
        }
        pool.parts.retain(|_, p| now < p.until);
        let key = (name.to_string(), life);
        let (holds, wants) = (f64::from(ask.held), f64::from(ask.wanted));
        let until = now + settings.debited_for(&pool.limit);
        let known = pool.parts.get(&key).map(|p| p.number);
        // Guards against an ask that comes late or twice: what it gave back may have been lent anew.
        if known.is_some_and(|number| number >= ask.number) {
            return None;
        }
        // Before all leases of the lead before are surely over, what is not claimed may still be held;
        // afterwards what nobody knows of is not held by anybody.
        let known_all = now >= since + settings.debited_for(&pool.limit);
        let holds = if known.is_none() && known_all { 0.0 } else { holds };
        // Grants for earlier asks are void from here on, or are in what it holds.
        let part = Part { number: ask.number, debit: holds, wants, until };
        pool.parts.insert(key.clone(), part);
        let lendable = settings.lendable(&pool.limit).max(0.0);
        let others: f64 = pool.parts.iter().filter(|(k, _)| **k != key).map(|(_, p)| p.debit).sum();
        let free = if known_all { (lendable - others).max(0.0) } else { holds };
        let mut target = pool.fair(&key, lendable);
        if pool.limit.kind == LimitKind::Concurrency {
            target = target.floor();
            if target < 1.0 && wants >= 1.0 && holds < 1.0 && free >= 1.0 {
                // Where there is less than one for each, the first to ask has one, and gives it back after use.
                target = 1.0;
            }
        }
        if (target - holds).abs() <= STILL * holds && holds <= lendable - others {
            target = holds;
        }
        let share = if target > holds { target.min(free.max(holds)) } else { target };
        let share =
            rounded_down(if pool.limit.kind == LimitKind::Concurrency { share.floor() } else { share });
        if let Some(part) = pool.parts.get_mut(&key) {
            part.debit = holds.max(f64::from(share));
        }
        Some(LeaseGrant { limit: ask.limit, number: ask.number, granted: share, most: pool.limit.amount })
    }

    /// How each limit that anybody holds stands.
    pub fn status(&self) -> Vec<PoolStatus> {
        let held = self.pools.iter().filter(|(_, p)| !p.parts.is_empty());
        held.map(|(id, p)| PoolStatus {
            limit: id.0,
            most: p.limit.amount,
            lent: p.parts.values().map(|p| p.debit).sum(),
            wanted: p.parts.values().map(|p| p.wants).sum(),
            holders: p.parts.iter().map(|(k, p)| (k.0.clone(), p.debit)).collect(),
        })
        .collect()
    }
}

/// Roundings never add up to more than there is.
fn rounded_down(share: f64) -> f32 {
    let near = share as f32;
    if f64::from(near) > share {
        near.next_down().max(0.0)
    } else {
        near
    }
}

impl Pool {
    /// The fair part of one holder: all get what they want, or as much as the others that want more.
    fn fair(&self, key: &HolderKey, lendable: f64) -> f64 {
        let mut wants: Vec<f64> = self.parts.values().map(|p| p.wants).collect();
        let own = self.parts.get(key).map_or(0.0, |p| p.wants);
        let sum: f64 = wants.iter().sum();
        if sum <= lendable {
            let spare = match self.limit.kind {
                LimitKind::Rate => (lendable - sum) * SPREAD / wants.len() as f64,
                LimitKind::Concurrency => 0.0,
            };
            return own + spare;
        }
        wants.sort_by(f64::total_cmp);
        let mut left = lendable;
        let count = wants.len();
        for (n, want) in wants.into_iter().enumerate() {
            let each = left / (count - n) as f64;
            if want > each {
                return own.min(each);
            }
            left -= want;
        }
        own
    }
}

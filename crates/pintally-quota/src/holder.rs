//! The quota holder of a node: admission of requests by the node's allocations, and requests for leases.

mod allocation;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::limit::{Limit, LimitId, LimitKind, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

use allocation::HeldAllocation;
pub use status::LimitStatus;

/// The minimum time after which a rejected client is asked to retry.
const MIN_RETRY_AFTER_US: Micros = 1_000;

/// Whether a request may start under a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may start.
    Admit,
    /// It must not start; a retry after this time may succeed.
    Reject(Micros),
}

/// The allocations of a node.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    settings: Settings,
    allocations: BTreeMap<LimitId, HeldAllocation>,
    names: BTreeMap<LimitId, Arc<str>>,
    /// The limits in use; no work is done for the others.
    active: BTreeSet<LimitId>,
}

impl QuotaHolder {
    /// Creates a holder that has only its floors. The allocations of an earlier incarnation are never used
    /// again: the granter debits them until their leases have expired.
    pub fn new(
        settings: Settings,
        limits: impl IntoIterator<Item = (LimitId, String, Limit)>,
    ) -> QuotaHolder {
        let mut allocations = BTreeMap::new();
        let mut names = BTreeMap::new();
        for (id, name, limit) in limits {
            names.insert(id, name.into());
            allocations.insert(id, HeldAllocation::new(limit));
        }
        QuotaHolder { settings, allocations, names, active: BTreeSet::new() }
    }

    /// Decides whether a request of this cost may start under a limit. The request is not counted yet:
    /// [`QuotaHolder::consume`] counts it once all limits that apply to it admit it. An unknown limit admits
    /// every request.
    pub fn admit(&mut self, now: Micros, id: LimitId, cost: f64) -> Admission {
        let settings = self.settings;
        let Some(held) = self.allocations.get_mut(&id) else { return Admission::Admit };
        self.active.insert(id);
        held.settle(now, &settings);
        held.record_demand(now, cost);
        if held.has_capacity(now, cost, &settings) {
            return Admission::Admit;
        }
        held.record_rejection(cost);
        let default_wait = 2 * settings.lease_request_interval;
        let wait = held.wait_for_tokens(now, &settings).unwrap_or(default_wait);
        Admission::Reject(wait.clamp(MIN_RETRY_AFTER_US, settings.lease_duration.max(default_wait)))
    }

    /// Counts a request that starts.
    pub fn consume(&mut self, now: Micros, id: LimitId, cost: f64) {
        let Some(held) = self.allocations.get_mut(&id) else { return };
        held.settle(now, &self.settings);
        held.consume(cost);
    }

    /// Counts a request that has ended, for a concurrency limit.
    pub fn release(&mut self, now: Micros, id: LimitId, cost: f64) {
        let Some(held) = self.allocations.get_mut(&id) else { return };
        if held.limit.kind == LimitKind::Concurrency {
            held.settle(now, &self.settings);
            held.release(cost);
        }
    }

    /// The lease requests that are due. Limits of which nothing is held or wanted become inactive.
    pub fn lease_requests(&mut self, now: Micros) -> Vec<LeaseRequest> {
        let settings = self.settings;
        let allocations = &mut self.allocations;
        let mut requests = Vec::new();
        self.active.retain(|id| {
            let Some(held) = allocations.get_mut(id) else { return false };
            held.settle(now, &settings);
            let wanted = held.wanted(now, &settings);
            if wanted <= 0.0 && !held.has_lease() {
                return false;
            }
            if held.is_request_due(now, &settings) {
                requests.push(held.next_request(now, *id, wanted));
            }
            true
        });
        requests
    }

    /// Applies a grant, unless it is invalid, outdated or a duplicate.
    pub fn apply_grant(&mut self, now: Micros, grant: &LeaseGrant) {
        if let Some(held) = self.allocations.get_mut(&grant.limit) {
            held.apply_grant(now, grant, &self.settings);
        }
    }

    /// The amount of a limit that the node may use now, its floor included; `None` if the limit is unknown.
    pub fn allocation(&self, now: Micros, id: LimitId) -> Option<f64> {
        self.allocations.get(&id).map(|held| held.total(now, &self.settings))
    }

    /// The amount of a limit that the node may use now in addition to its floor.
    pub fn leased(&self, now: Micros, id: LimitId) -> f64 {
        self.allocations.get(&id).map_or(0.0, |held| held.leased(now, &self.settings))
    }

    /// The status of each limit.
    pub fn status(&self, now: Micros) -> Vec<LimitStatus> {
        let status_of = |(id, held): (&LimitId, &HeldAllocation)| {
            let name = self.names.get(id).cloned().unwrap_or_else(|| "".into());
            held.status(name, now, &self.settings)
        };
        self.allocations.iter().map(status_of).collect()
    }
}

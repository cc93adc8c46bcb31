//! The granter of a replica, across interruptions of its leadership.

use crate::granter::{LeaseGranter, PoolStatus};
use crate::limit::{Limit, LimitId, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

/// Grants leases while a replica leads, with one [`LeaseGranter`] per term.
///
/// Guards against a leadership that lapses for a moment and continues in the same term. A new granter that
/// took the start of the term as its own start would grant again what is already granted. No other replica
/// can have led in between, because the term would have changed then, so the granter of the term continues
/// with its state.
#[derive(Clone, Debug)]
pub struct LeaderGranter {
    settings: Settings,
    limits: Vec<(LimitId, Limit)>,
    current: Option<TermGranter>,
    is_leader: bool,
}

/// The granter of the latest term in which the replica led.
#[derive(Clone, Debug)]
struct TermGranter {
    term: u64,
    granter: LeaseGranter,
}

impl LeaderGranter {
    /// Creates the granter of a replica that does not lead yet.
    pub fn new(settings: Settings, limits: Vec<(LimitId, Limit)>) -> LeaderGranter {
        LeaderGranter { settings, limits, current: None, is_leader: false }
    }

    /// Sets the term in which the replica certainly leads now, or `None` if it does not lead. Returns whether
    /// a new granter was started for the term.
    pub fn set_leadership(&mut self, now: Micros, term: Option<u64>) -> bool {
        self.is_leader = term.is_some();
        let Some(term) = term else { return false };
        if self.current.as_ref().is_some_and(|current| current.term == term) {
            return false;
        }
        // The granter does not know grants made before this time, however old the term is.
        let granter = LeaseGranter::new(self.settings, self.limits.iter().copied(), now);
        self.current = Some(TermGranter { term, granter });
        true
    }

    /// Changes the amount of a limit, for this granter and later ones.
    pub fn set_limit_amount(&mut self, id: LimitId, amount: f64) {
        for (_, limit) in self.limits.iter_mut().filter(|(limit_id, _)| *limit_id == id) {
            limit.amount = amount;
        }
        if let Some(current) = &mut self.current {
            current.granter.set_limit_amount(id, amount);
        }
    }

    /// Answers the requests of a holder. Grants nothing while the replica does not lead.
    pub fn grant(
        &mut self,
        now: Micros,
        name: &str,
        incarnation: u64,
        requests: &[LeaseRequest],
    ) -> Vec<LeaseGrant> {
        let Some(current) = self.current.as_mut().filter(|_| self.is_leader) else { return Vec::new() };
        let grant = |request| current.granter.grant(now, name, incarnation, request);
        requests.iter().filter_map(grant).collect()
    }

    /// The status of each limit for which an allocation is debited; `None` while the replica does not lead.
    pub fn status(&self) -> Option<Vec<PoolStatus>> {
        let current = self.current.as_ref().filter(|_| self.is_leader)?;
        Some(current.granter.status())
    }
}

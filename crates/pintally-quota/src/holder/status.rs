//! The status document of a limit at a node.

use std::sync::Arc;

use serde::Serialize;

use crate::limit::{Enforcement, LimitKind, Settings};
use crate::Micros;

use super::HeldAllocation;

/// The status of a limit at a node. The serialised names are part of the status page.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitStatus {
    /// The name of the limit.
    pub name: Arc<str>,
    /// `hard` or `soft`.
    #[serde(rename = "bound")]
    pub enforcement: &'static str,
    /// `a second` or `at once`.
    #[serde(rename = "counts")]
    pub kind: &'static str,
    /// The amount of the whole limit, as last granted to this node.
    #[serde(rename = "most")]
    pub limit_amount: f64,
    /// The amount that the node may use now, its floor included.
    #[serde(rename = "has")]
    pub allocation: f64,
    /// The floor: the amount that the node may use without a lease.
    pub floor: f64,
    /// The amount that the node could use in addition to its floor.
    #[serde(rename = "wants")]
    pub wanted: f64,
    /// For a concurrency limit the amount in use; for a rate the tokens left, negative if there is a debt.
    pub in_use: f64,
    /// The age of the latest grant, in milliseconds; `None` if there was no grant yet.
    pub age_ms: Option<u64>,
    /// Whether the lease is running.
    pub leased: bool,
    /// The number of requests admitted so far.
    pub admitted: u64,
    /// The number of requests rejected so far.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl HeldAllocation {
    pub(super) fn status(&self, name: Arc<str>, now: Micros, settings: &Settings) -> LimitStatus {
        LimitStatus {
            name,
            enforcement: match self.limit.enforcement {
                Enforcement::Hard => "hard",
                Enforcement::Soft => "soft",
            },
            kind: match self.limit.kind {
                LimitKind::Rate => "a second",
                LimitKind::Concurrency => "at once",
            },
            limit_amount: self.limit.amount,
            allocation: self.total(now, settings),
            floor: settings.floor(&self.limit),
            wanted: self.wanted(now, settings),
            in_use: self.tokens_or_in_use,
            age_ms: self.granted_at.map(|at| now.saturating_sub(at) / 1000),
            leased: now < self.lease_end && self.granted_at.is_some(),
            admitted: self.admitted,
            rejected: self.rejected,
        }
    }
}

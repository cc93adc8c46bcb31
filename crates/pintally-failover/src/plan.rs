//! The failover plan, in the form in which it is gossiped.

use serde::{Deserialize, Serialize};

use crate::settings::MAX_ZONES;

/// Fractions in a plan and in reports are sent as parts of this number.
pub(crate) const FULL_PARTS: u8 = 255;

/// The maximum number of zones that share the requests of one zone, so that a plan of 20 zones fits into one gossiped
/// fact.
pub(crate) const MAX_ROUTES_PER_ZONE: usize = 4;

/// How the requests of each zone are divided over zones, decided by one leader in its term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverPlan {
    /// The leader's term. A plan of a later term replaces one of an earlier term.
    pub term: u64,
    /// The number of the plan within its term; it increases with each plan.
    pub number: u64,
    /// By the zone in which requests arrive: the zones that serve them, and the fraction that each serves, in parts of
    /// 255. If the parts add up to less than 255, the rest is rejected in the zone of arrival.
    pub rows: Vec<Vec<(u8, u8)>>,
    /// By zone: the fraction of its capacity that is in use, in parts of 255; 0 if it is evacuated.
    pub open: Vec<u8>,
}

impl FailoverPlan {
    /// Encodes the plan; with 20 zones and four routes each it fits into one gossiped fact.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a plan; `None` if the bytes are malformed, or if the plan is not a valid one for `zones` zones.
    pub fn decode(bytes: &[u8], zones: usize) -> Option<FailoverPlan> {
        let plan: FailoverPlan = postcard::from_bytes(bytes).ok()?;
        let is_valid = |row: &Vec<(u8, u8)>| {
            let sum: u32 = row.iter().map(|(_, parts)| u32::from(*parts)).sum();
            row.len() <= MAX_ROUTES_PER_ZONE
                && sum <= u32::from(FULL_PARTS)
                && row.iter().all(|(zone, _)| usize::from(*zone) < zones)
        };
        let fits = zones <= MAX_ZONES && plan.rows.len() == zones && plan.open.len() == zones;
        (fits && plan.rows.iter().all(is_valid)).then_some(plan)
    }

    /// Whether this plan replaces the current one, if there is any.
    pub fn supersedes(&self, current: Option<&FailoverPlan>) -> bool {
        current.is_none_or(|current| (current.term, current.number) < (self.term, self.number))
    }
}

//! Tenants' quotas: requests over quota are dispatched after all others.

use super::Router;
use crate::interface::*;

/// A tenant that was idle may send at once as many requests as its quota allows in this time.
const BURST_S: f64 = 2.0;
/// The lowest level of a bucket: it is bounded so that a tenant far over its quota recovers soon.
const MIN_LEVEL: f64 = -1.0;

impl Router {
    /// Counts one request of a tenant and returns whether the tenant is over this node's part of its quota.
    pub(super) fn is_over_quota(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let Some(index) = tenant else { return false };
        let Some(tenant) = self.settings.tenants.get(index) else { return false };
        let rate_per_s = tenant.quota_per_s / f64::from(self.settings.node_count);
        if rate_per_s <= 0.0 {
            return false;
        }
        let bucket = &mut self.quota_buckets[index];
        let refill = now.saturating_sub(bucket.refilled_at) as f64 / 1e6 * rate_per_s;
        let capacity = (BURST_S * rate_per_s).max(1.0);
        let level = (bucket.tokens + refill).min(capacity) - 1.0;
        bucket.refilled_at = now;
        bucket.tokens = level.max(MIN_LEVEL);
        level < 0.0
    }
}

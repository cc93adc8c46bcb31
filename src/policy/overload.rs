//! Overload: engines without capacity.

use super::spill::REPORT_LIFETIME_US;
use super::Router;
use crate::interface::*;

/// An engine that reports this occupancy counts as overloaded.
const OVERLOADED_OCCUPANCY: f64 = 0.9;
/// An engine that reports this occupancy counts as overloaded if requests are queued there. A rejection by
/// an engine that reports less concerns only the request's tenant.
pub(super) const CROWDED_OCCUPANCY: f64 = 0.75;
/// A mixed engine that reports this occupancy counts as busy writing.
pub(super) const BUSY_OCCUPANCY: f64 = 0.2;
/// An engine that rejects a request counts as overloaded for this long.
pub(super) const OVERLOAD_AFTER_REJECTION_US: Micros = 300_000;
/// An attempt is stalled if it waits for its first token longer than the tightest objective divided by
/// this.
const STALL_DIVISOR: f64 = 3.0;
/// An engine has a queue from this many queued requests on.
const MIN_QUEUED_REQUESTS: f64 = 1.0;

impl Router {
    /// Whether an engine is out of capacity: by a recent rejection or failed health check or, if it writes,
    /// by its load report or an attempt of this node that waits far too long for a first token.
    pub(super) fn is_overloaded(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        if now < engine.overloaded_until {
            return true;
        }
        if !engine.can_write() {
            return false;
        }
        let stall_after = (self.tightest_objective() / STALL_DIVISOR) as Micros;
        let stalled = engine
            .waiting
            .iter()
            .any(|((sent_at, _), attempt)| !attempt.crosses_racks && now > sent_at + stall_after);
        let queued = engine.report.map_or(0.0, |report| report.load.queue.unwrap_or(0.0));
        let limit = if queued >= MIN_QUEUED_REQUESTS { CROWDED_OCCUPANCY } else { OVERLOADED_OCCUPANCY };
        let reported = engine.reported_occupancy(now, REPORT_LIFETIME_US);
        stalled || reported.is_some_and(|occupancy| occupancy >= limit)
    }
}

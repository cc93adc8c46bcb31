//! Overload: engines that have no capacity left.

use super::spill::REPORT_LIFETIME_US;
use super::Router;
use crate::interface::*;

/// A report of this occupancy counts as overloaded.
const OVERLOADED_OCCUPANCY: f64 = 0.9;
/// A report of this occupancy counts as overloaded where requests wait, and as no room for a tenant.
pub(super) const CROWDED_OCCUPANCY: f64 = 0.75;
/// A mixed engine of this occupancy counts as busy writing.
pub(super) const BUSY_OCCUPANCY: f64 = 0.2;
/// An engine that rejects a request counts as overloaded for this long.
pub(super) const OVERLOAD_AFTER_REJECTION_US: Micros = 300_000;
/// A send that waits for its first token longer than this part of the tightest objective has stalled.
const STALL_DIVISOR: f64 = 3.0;
/// From this many waiting requests on an engine has a queue.
const MIN_QUEUED_REQUESTS: f64 = 1.0;

impl Router {
    /// Guards against writers without capacity: known by rejections and reports, or by own sends that
    /// wait far longer than is usual for a first token.
    pub(super) fn is_overloaded(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        if now < engine.overloaded_until {
            return true;
        }
        if !engine.writes() {
            return false;
        }
        let stall_after = (self.tightest_objective() / STALL_DIVISOR) as Micros;
        let stalled = engine
            .pending
            .iter()
            .any(|((sent_at, _), attempt)| !attempt.crosses_racks && now > sent_at + stall_after);
        let queued = engine.report.map_or(0.0, |report| report.load.queue.unwrap_or(0.0));
        let limit = if queued >= MIN_QUEUED_REQUESTS { CROWDED_OCCUPANCY } else { OVERLOADED_OCCUPANCY };
        let reported = engine.reported_occupancy(now, REPORT_LIFETIME_US);
        stalled || reported.is_some_and(|occupancy| occupancy >= limit)
    }
}

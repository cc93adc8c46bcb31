//! The state of the host, for status documents and audits.

use std::collections::HashSet;
use std::net::SocketAddr;

use pintally::interface::{EndpointState, EngineId, Micros, RequestId};
use pintally_cells::CellStatus;
use pintally_engine::Step;
use pintally_guards::Denials;
use pintally_quota::LimitStatus;

use super::Host;
use crate::counters::Counters;
use crate::input::ReleaseScope;
use crate::rejections::Rejections;
use crate::reservations::reservation_name;
use crate::OrphanedReservation;

impl Host {
    /// Whether a request of this name still has its answer or its last attempt outstanding.
    pub fn is_request_open(&self, name: &RequestId) -> bool {
        self.requests.contains_id(name)
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        Counters { routed_to_other_zone: self.routed_to_other_zone(), ..self.counters }
    }

    /// Violations that the guards have prevented: each is a defect of the router.
    pub fn denials(&self) -> &Denials {
        &self.denials
    }

    /// Rejections, by reason.
    pub fn rejections(&self) -> &Rejections {
        &self.rejections
    }

    /// Attempts that were commanded and not started, because the guards no longer permitted them when their
    /// connections were established. These are not defects.
    pub fn withheld(&self) -> &Denials {
        &self.withheld
    }

    /// Requests whose answer or last attempt is outstanding.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether engines or cells may have changed since the last call.
    pub fn take_fleet_change(&mut self) -> bool {
        std::mem::take(&mut self.has_fleet_changed)
    }

    /// The state that the endpoint list gives an engine, if the engine is known.
    pub fn listing(&self, engine: &EngineId) -> Option<EndpointState> {
        self.endpoints.listing(engine)
    }

    /// The addresses of the known engines.
    pub fn addresses(&self) -> HashSet<SocketAddr> {
        self.endpoints.addresses()
    }

    /// The estimated states of the engines, of all cores.
    pub fn engine_estimates(&self, now: Micros) -> Vec<pintally::EngineEstimate> {
        self.cores.engine_estimates(now)
    }

    /// Whether a request of this name has ended that may have run and must not run twice.
    pub fn may_have_run(&self, name: &RequestId) -> bool {
        self.executed.contains(name)
    }

    /// The sizes of the cores' tables, summed up.
    pub fn table_sizes(&self) -> pintally::TableSizes {
        self.cores.table_sizes()
    }

    /// The admission estimates of all cores.
    pub fn admission_estimates(&self) -> Vec<pintally::AdmissionEstimate> {
        self.cores.admission_estimates()
    }

    /// Answers per second that the cores have measured from one warm engine of each role.
    pub fn service_rates(&self) -> [f64; 3] {
        self.cores.service_rates()
    }

    /// The number of engines that are serving according to the list.
    pub fn serving_engines(&self) -> usize {
        self.endpoints.serving().count()
    }

    /// The number of pending timers and the number of unacknowledged releases, for audits of resources.
    pub fn pending_timers_and_releases(&self) -> (usize, usize) {
        (self.timers.len(), self.release_retries.len() + self.release_scheduler.len())
    }

    /// The status of each cell.
    pub fn cells_status(&self) -> Vec<CellStatus> {
        self.cells.status(self.now)
    }

    /// Tenants that migrate between cells, the share of their sessions that this node has migrated, and whether the
    /// migration of the others is paused.
    pub fn migration_status(&self, unix_ms: u64) -> Vec<(String, f64, bool)> {
        self.cells.migrations(unix_ms)
    }

    /// Requests that were routed to another zone than this node's.
    pub fn routed_to_other_zone(&self) -> u64 {
        self.zones.as_ref().map_or(0, super::super::zone_routing::ZoneRouting::routed_to_other_zone)
    }

    /// Health scores and ejections of engines.
    pub fn outlier_status(&self, now: Micros) -> Option<pintally_outlier_detection::Status> {
        self.outliers.as_ref().map(|outliers| outliers.status(now))
    }

    /// The state of each quota on this node.
    pub fn quota_status(&self, now: Micros) -> Option<Vec<LimitStatus>> {
        self.quota.as_ref().map(|quota| quota.status(now))
    }

    /// The state of the recovery, if there is one.
    pub fn recovery_status(&self, now: Micros) -> Option<pintally_recovery::Status> {
        self.recovery.as_ref().map(|recovery| recovery.status(now))
    }

    /// The answer to a peer's recovery query, to which the caller adds the version of the endpoint list.
    pub fn recovery_answer(&self, now: Micros) -> Option<pintally_recovery::Answer> {
        self.recovery.as_ref().map(|recovery| recovery.answer(now))
    }

    /// The reservations that would be orphaned if this incarnation ended now, up to a limit: those that exist and
    /// those that reads in flight may create, youngest request first, then those whose release is not acknowledged,
    /// and those of an earlier incarnation that are not released yet.
    pub fn reservations_at_exit(&self, limit: usize) -> Vec<OrphanedReservation> {
        if self.release_scope == ReleaseScope::Request {
            return Vec::new();
        }
        let of_requests = self.requests.iter().rev().flat_map(|(_, record)| {
            let existing = record.reservations.iter().map(|held| (&held.engine, held.attempt));
            let reads = record.in_flight.iter().filter(|in_flight| in_flight.step == Step::Read);
            let expected = reads.map(|read| (&read.engine, read.attempt));
            let all = existing.chain(expected);
            all.map(|(engine, attempt)| (engine.clone(), reservation_name(&record.id, attempt)))
        });
        let unacknowledged = self.release_retries.iter().map(|(engine, name)| (engine.clone(), name.clone()));
        of_requests.chain(unacknowledged).chain(self.orphaned.iter().cloned()).take(limit).collect()
    }

    /// Releases for which an acknowledgement is still expected.
    pub(super) fn releases_awaiting_acknowledgement(&self) -> usize {
        self.release_retries.awaiting_acknowledgement() + self.release_scheduler.awaiting_acknowledgement()
    }
}

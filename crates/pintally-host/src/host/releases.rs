//! Releases: reservations are released in time, whatever happens to attempts, engines and connections. This module
//! contains the steps that both release scopes have in common.

use pintally::interface::{EngineId, RequestId};

use super::Host;
use crate::command::Command;
use crate::input::ReleaseScope;
use crate::release_retries::Certainty;
use crate::request_record::RequestRecord;
use crate::OrphanedReservation;

impl Host {
    /// Records that something was received from an engine.
    pub(super) fn record_engine_response(&mut self, engine: &EngineId) {
        match self.release_scope {
            ReleaseScope::Request => {
                self.release_scheduler.record_response(self.now, engine);
                self.wake_request_releases();
            }
            ReleaseScope::Attempt => self.wake_reservation_releases(engine),
        }
    }

    /// Records that an attempt at an engine, or a call to it, has failed.
    pub(super) fn record_engine_failure(&mut self, engine: &EngineId) {
        if self.release_scope == ReleaseScope::Request {
            self.release_scheduler.record_failure(self.now, engine);
        }
    }

    /// Executes the core's release of the reservations of a request.
    pub(super) fn release(&mut self, id: &RequestId, out: &mut Vec<Command>) {
        let Some(record) = self.requests.by_id_mut(id) else { return };
        match self.release_scope {
            ReleaseScope::Request => {
                record.reservations.abandon_fetch();
                // While an attempt is in flight, they are released when it ends, or by the deadline if that takes
                // too long.
                if record.in_flight.is_none() {
                    self.release_request(id, out);
                }
            }
            // The attempt in flight fetches the state, which is released when the attempt ends.
            ReleaseScope::Attempt if record.is_fetching() => {}
            ReleaseScope::Attempt => {
                let reservations = record.reservations.take_all();
                self.release_reservations(id, reservations, out);
            }
        }
    }

    /// Releases the reservations that reads without an outcome may have created.
    pub(super) fn release_uncertain(&mut self, id: &RequestId, out: &mut Vec<Command>) {
        let Some(record) = self.requests.by_id_mut(id) else { return };
        match self.release_scope {
            ReleaseScope::Request => {
                // The release would also free the reservation that an attempt in flight may need. The release
                // deadline does not run while an attempt is at an engine.
                if record.in_flight.is_none() && record.reservations.has_uncertain() {
                    self.release_request(id, out);
                }
            }
            ReleaseScope::Attempt => {
                let uncertain = record.reservations.take_uncertain();
                self.release_reservations(id, uncertain, out);
            }
        }
    }

    /// Releases the remaining reservations of a request that is complete.
    pub(super) fn release_remaining(&mut self, mut record: RequestRecord, out: &mut Vec<Command>) {
        if let Some(deadline) = record.reservations.deadline() {
            self.timers.cancel(deadline.timer);
        }
        if self.release_scope == ReleaseScope::Attempt {
            for reservation in record.reservations.take_all() {
                self.counters.releases_by_host += 1;
                self.release_reservation(&record.id, reservation, out);
            }
        } else if !self.release_scheduler.is_pending(&record.id) {
            let Some(holder) = record.reservations.last_engine() else { return };
            self.counters.releases_by_host += 1;
            self.begin_request_release(&record.id, holder, record.reservations.deadline_runs_since(), out);
        }
    }

    /// Handles the result of a release call.
    pub(super) fn on_release_result(
        &mut self,
        name: RequestId,
        engine: EngineId,
        acknowledged: bool,
        out: &mut Vec<Command>,
    ) {
        match self.release_scope {
            ReleaseScope::Request => self.on_request_release_result(&name, &engine, acknowledged, out),
            ReleaseScope::Attempt => self.on_reservation_release_result(name, engine, acknowledged),
        }
    }

    /// Handles a release call for which this node has no descriptor. This says nothing about the engine, which is
    /// called next time. Guards against a release that calls all unreachable engines once more before the only one that
    /// responds.
    pub(super) fn on_release_not_sent(&mut self, name: RequestId, engine: EngineId, out: &mut Vec<Command>) {
        match self.release_scope {
            ReleaseScope::Request => self.release_scheduler.call_not_sent(&name, &engine),
            ReleaseScope::Attempt => self.on_release_result(name, engine, false, out),
        }
    }

    /// Releases the reservations of a dead peer, except for names of this incarnation, which cannot be the peer's.
    pub(super) fn on_reservations_inherited(
        &mut self,
        mut orphaned: Vec<OrphanedReservation>,
        out: &mut Vec<Command>,
    ) {
        orphaned.retain(|(_, name)| !self.is_own_name(name));
        self.counters.reservations_inherited += orphaned.len() as u64;
        self.orphaned.extend(orphaned);
        self.release_orphaned(out);
    }

    /// Releases the orphaned reservations at known engines.
    pub(super) fn release_orphaned(&mut self, out: &mut Vec<Command>) {
        let endpoints = &self.endpoints;
        for (engine, name) in self.orphaned.take_releasable(|engine| endpoints.contains(engine)) {
            let Some(address) = self.endpoints.address(&engine) else { continue };
            self.counters.orphaned_releases += 1;
            self.begin_reservation_release(name, engine, address, Certainty::Confirmed, out);
        }
        if self.endpoints.is_confirmed() {
            self.orphaned.clear();
        }
    }
}

//! Releases: reservations are released in time, whatever happens to attempts, engines and connections.

use std::net::SocketAddr;

use pintally::interface::{EngineId, Micros, RequestId};

use super::Host;
use crate::command::Command;
use crate::input::{ReleaseScope, RequestNumber};
use crate::release_retries::{Certainty, ReleaseProgress, Wakeup};
use crate::release_scheduler::{EndedRelease, ReleaseCall};
use crate::request_record::RequestRecord;
use crate::reservations::{state_name, Reservation, ReservationDeadline};
use crate::timers::TimerEvent;
use crate::OrphanedReservation;

/// Where the attempt in flight is, as far as it can be found out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Whereabouts {
    /// At its engine, or a probe will show it: the reservations stay.
    AtEngineOrProbed,
    Unknown,
}

// Both scopes.
impl Host {
    /// Something arrived from an engine.
    pub(super) fn record_heard(&mut self, engine: &EngineId) {
        match self.release_scope {
            ReleaseScope::Request => {
                self.release_scheduler.record_heard(self.now, engine);
                self.wake_request_releases();
            }
            ReleaseScope::Attempt => self.wake_reservation_releases(engine),
        }
    }

    /// Something sent to an engine failed.
    pub(super) fn record_failure(&mut self, engine: &EngineId) {
        if self.release_scope == ReleaseScope::Request {
            self.release_scheduler.record_failure(self.now, engine);
        }
    }

    /// The core releases the reservations of a request.
    pub(super) fn release(&mut self, id: &RequestId, out: &mut Vec<Command>) {
        let Some(record) = self.requests.by_id_mut(id) else { return };
        match self.release_scope {
            ReleaseScope::Request => {
                record.reservations.abandon_fetch();
                // While an attempt is in flight its end releases them, or the deadline if that takes too long.
                if record.in_flight.is_none() {
                    self.release_request(id, out);
                }
            }
            // The attempt in flight waits for the state; its end releases it.
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
                // While an attempt is at an engine no deadline runs, and the release would free all reservations
                // of the request.
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

    /// Releases what remains of a request that is complete.
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

    /// The result of a release call has arrived.
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

    /// Releases the reservations of a dead peer. Names of this incarnation are not the peer's.
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

// Releases of single reservations, which only their engines can execute.
impl Host {
    fn release_reservations(
        &mut self,
        id: &RequestId,
        reservations: Vec<Reservation>,
        out: &mut Vec<Command>,
    ) {
        for reservation in reservations {
            self.release_reservation(id, reservation, out);
        }
    }

    fn release_reservation(&mut self, id: &RequestId, reservation: Reservation, out: &mut Vec<Command>) {
        let Some(address) = self.endpoints.address(&reservation.engine) else { return };
        self.counters.releases += 1;
        let certainty = reservation.certainty();
        let name = state_name(id, reservation.attempt);
        self.begin_reservation_release(name, reservation.engine, address, certainty, out);
    }

    fn begin_reservation_release(
        &mut self,
        name: RequestId,
        engine: EngineId,
        address: SocketAddr,
        certainty: Certainty,
        out: &mut Vec<Command>,
    ) {
        self.counters.release_calls += 1;
        self.release_retries.begin(self.now, &name, &engine, certainty);
        out.push(Command::Release { name, engine, address, anew: false });
    }

    pub(super) fn retry_release(&mut self, name: RequestId, engine: EngineId, out: &mut Vec<Command>) {
        if !self.release_retries.is_pending(&name, &engine) {
            return;
        }
        if let Some(address) = self.endpoints.address(&engine) {
            self.counters.release_calls += 1;
            let anew = self.release_retries.needs_new_connection(&name, &engine);
            out.push(Command::Release { name, engine, address, anew });
        }
    }

    fn on_reservation_release_result(&mut self, name: RequestId, engine: EngineId, acknowledged: bool) {
        let release_deadline = self.settings.core.release_deadline;
        let progress = if acknowledged {
            self.release_retries.acknowledge(self.now, &name, &engine, release_deadline)
        } else {
            self.release_retries.fail(self.now, &name, &engine)
        };
        match progress {
            ReleaseProgress::Done => {}
            ReleaseProgress::GivenUp => self.counters.releases_lost += 1,
            ReleaseProgress::RetryAfter(backoff) => {
                let at = self.now.saturating_add(backoff);
                let event = TimerEvent::ReservationRelease(name.clone(), engine.clone());
                let timer = self.timers.set(at, event);
                self.release_retries.set_timer(&name, &engine, timer);
            }
        }
        if acknowledged {
            self.record_heard(&engine);
        }
    }

    fn wake_reservation_releases(&mut self, engine: &EngineId) {
        for Wakeup { name, replaced_timer, at } in self.release_retries.wake(self.now, engine) {
            let event = TimerEvent::ReservationRelease(name.clone(), engine.clone());
            let timer = self.timers.replace(replaced_timer, at, event);
            self.release_retries.set_timer(&name, engine, timer);
        }
    }
}

// Releases of all reservations of a request, which any engine can execute.
impl Host {
    /// Begins to release all reservations of a request, unless this is in progress.
    fn release_request(&mut self, id: &RequestId, out: &mut Vec<Command>) {
        if self.release_scheduler.is_pending(id) {
            return;
        }
        let Some(record) = self.requests.by_id_mut(id) else { return };
        let Some(holder) = record.reservations.last_engine() else { return };
        record.reservations.lose_fetchable();
        let pending_since = record.reservations.deadline_runs_since();
        self.begin_request_release(id, holder, pending_since, out);
    }

    fn begin_request_release(
        &mut self,
        id: &RequestId,
        holder: EngineId,
        pending_since: Micros,
        out: &mut Vec<Command>,
    ) {
        self.counters.releases += 1;
        self.release_scheduler.begin(self.now, id, holder, pending_since);
        self.call_release(id.clone(), out);
    }

    /// Makes the next call for a request whose reservations are released.
    pub(super) fn call_release(&mut self, id: RequestId, out: &mut Vec<Command>) {
        let call = self.release_scheduler.next_call(self.now, &id, self.endpoints.listings());
        let Some(ReleaseCall { engine, new_connection, next_call_after, is_last_expected }) = call else {
            return;
        };
        let target = engine.and_then(|engine| self.endpoints.address(&engine).map(|a| (engine, a)));
        if let Some((engine, address)) = target {
            self.counters.release_calls += 1;
            out.push(Command::Release { name: id.clone(), engine, address, anew: new_connection });
        }
        match next_call_after {
            Some(after) => {
                let at = self.now.saturating_add(after);
                let timer = self.timers.set(at, TimerEvent::RequestRelease(id.clone()));
                self.release_scheduler.set_timer(&id, timer);
            }
            None => drop(self.release_scheduler.end(&id)),
        }
        if is_last_expected || next_call_after.is_none() {
            self.counters.releases_lost += 1;
            out.push(Command::Log(format!("release not acknowledged by any engine: request_id={}", id.0)));
            // For the core the reservations are gone now; calls continue while there is capacity for them.
            self.forget_released(&id);
        }
    }

    fn on_request_release_result(
        &mut self,
        id: &RequestId,
        engine: &EngineId,
        acknowledged: bool,
        out: &mut Vec<Command>,
    ) {
        if !acknowledged {
            return self.record_failure(engine);
        }
        self.record_heard(engine);
        if self.withdraw_release(id, 1, out) {
            self.forget_released(id);
        }
    }

    fn wake_request_releases(&mut self) {
        for Wakeup { name, replaced_timer, at } in self.release_scheduler.wake(self.now) {
            let timer = self.timers.replace(replaced_timer, at, TimerEvent::RequestRelease(name.clone()));
            self.release_scheduler.set_timer(&name, timer);
        }
    }

    /// Ends the release of a request and withdraws its calls, if there were more than were acknowledged. Whether
    /// a release was pending.
    pub(super) fn withdraw_release(
        &mut self,
        id: &RequestId,
        acknowledged_calls: u32,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(EndedRelease { calls, timer }) = self.release_scheduler.end(id) else { return false };
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
        if calls > acknowledged_calls {
            out.push(Command::WithdrawReleases(id.clone()));
        }
        true
    }

    /// The reservations of a request were released. What an attempt waits for is removed when it ends.
    fn forget_released(&mut self, id: &RequestId) {
        let Some(record) = self.requests.by_id_mut(id) else { return };
        if record.is_fetching() {
            record.reservations.mark_released_in_flight();
        } else {
            record.reservations.clear();
        }
    }
}

// Releases while an attempt is in flight.
impl Host {
    /// Makes sure that the reservations of a request are released in time although an attempt is in flight.
    pub(super) fn update_reservation_deadline(&mut self, number: RequestNumber) {
        let Some(record) = self.requests.get_mut(number) else { return };
        let is_released = self.release_scheduler.is_pending(&record.id);
        let pending_since = record.reservations.pending_since().filter(|_| !is_released);
        let at = pending_since.map(|since| self.release_scheduler.in_flight_deadline(since));
        let old = record.reservations.deadline();
        if at == old.map(|deadline| deadline.at) {
            return;
        }
        if let Some(old) = old {
            self.timers.cancel(old.timer);
        }
        let settled_at = self.now.saturating_add(self.release_scheduler.settle_time());
        let deadline = at.map(|at| ReservationDeadline {
            timer: self.timers.set(at.max(settled_at), TimerEvent::ReservationDeadline(number)),
            at,
        });
        record.reservations.set_deadline(deadline);
    }

    /// Guards against reservations that stay while one attempt after another goes to engines that cannot be
    /// reached: their deadline is not extended by those. Where the attempt has reached an engine after all and
    /// waits for the state, releasing does no harm to it.
    pub(super) fn on_reservation_deadline(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.get_mut(number) else { return };
        record.reservations.set_deadline(None);
        let Some(pending_since) = record.reservations.pending_since() else { return };
        if self.locate_attempt(number, pending_since, out) == Whereabouts::AtEngineOrProbed {
            return;
        }
        let Some(record) = self.requests.get_mut(number) else { return };
        let id = record.id.clone();
        if self.release_scope == ReleaseScope::Attempt {
            // A released state is not fetched: the core is notified that there is none, and has the prompt read
            // again.
            record.reservations.lose_fetchable();
            let reservations = record.reservations.take_all();
            self.counters.releases_guarded += 1;
            self.release_reservations(&id, reservations, out);
        } else if !self.release_scheduler.is_pending(&id) {
            self.counters.releases_guarded += 1;
            self.release_request(&id, out);
        }
    }

    /// Finds out whether the attempt in flight is at its engine, by a connection probe if one may still be made.
    /// Guards against prompts that are read again because a writer is merely slow, and, as the probe is repeated,
    /// against reservations that stay for an engine that has gone since.
    fn locate_attempt(
        &mut self,
        number: RequestNumber,
        pending_since: Micros,
        out: &mut Vec<Command>,
    ) -> Whereabouts {
        let Some(record) = self.requests.get_mut(number) else { return Whereabouts::Unknown };
        let Some(in_flight) = record.in_flight.as_mut() else { return Whereabouts::Unknown };
        // What has arrived from the engine on other connections meanwhile shows the same, at no cost.
        let last_heard = self.release_scheduler.last_heard(&in_flight.engine);
        if let Some(at) = last_heard.filter(|at| in_flight.is_delivered && *at > pending_since) {
            record.record_delivery(at);
            self.update_reservation_deadline(number);
            return Whereabouts::AtEngineOrProbed;
        }
        let Some(address) = self.endpoints.address(&in_flight.engine) else { return Whereabouts::Unknown };
        if in_flight.remaining_probes == 0 {
            return Whereabouts::Unknown;
        }
        in_flight.remaining_probes -= 1;
        let engine = in_flight.engine.clone();
        out.push(Command::ProbeConnection(number, in_flight.attempt, engine, address));
        let probe_ends = self.now.saturating_add(self.release_scheduler.probe_timeout());
        let deadline = ReservationDeadline {
            timer: self.timers.set(probe_ends, TimerEvent::ReservationDeadline(number)),
            at: self.release_scheduler.in_flight_deadline(pending_since),
        };
        record.reservations.set_deadline(Some(deadline));
        Whereabouts::AtEngineOrProbed
    }
}

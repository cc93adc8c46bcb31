//! Releases of single reservations, with [`ReleaseScope::Attempt`](crate::ReleaseScope::Attempt): only the engine
//! of a reservation can execute its release.

use std::net::SocketAddr;

use pintally::interface::{EngineId, RequestId};

use super::Host;
use crate::command::Command;
use crate::release_retries::{Certainty, ReleaseProgress, Wakeup};
use crate::reservations::{reservation_name, Reservation};
use crate::timers::TimerEvent;

impl Host {
    pub(super) fn release_reservations(
        &mut self,
        id: &RequestId,
        reservations: Vec<Reservation>,
        out: &mut Vec<Command>,
    ) {
        for reservation in reservations {
            self.release_reservation(id, reservation, out);
        }
    }

    pub(super) fn release_reservation(
        &mut self,
        id: &RequestId,
        reservation: Reservation,
        out: &mut Vec<Command>,
    ) {
        let Some(address) = self.endpoints.address(&reservation.engine) else { return };
        self.counters.releases += 1;
        let certainty = reservation.certainty();
        let name = reservation_name(id, reservation.attempt);
        self.begin_reservation_release(name, reservation.engine, address, certainty, out);
    }

    pub(super) fn begin_reservation_release(
        &mut self,
        name: RequestId,
        engine: EngineId,
        address: SocketAddr,
        certainty: Certainty,
        out: &mut Vec<Command>,
    ) {
        self.counters.release_calls += 1;
        self.release_retries.begin(self.now, &name, &engine, certainty);
        out.push(Command::Release { name, engine, address, new_connection: false });
    }

    pub(super) fn retry_release(&mut self, name: RequestId, engine: EngineId, out: &mut Vec<Command>) {
        if !self.release_retries.is_pending(&name, &engine) {
            return;
        }
        if let Some(address) = self.endpoints.address(&engine) {
            self.counters.release_calls += 1;
            let new_connection = self.release_retries.needs_new_connection(&name, &engine);
            out.push(Command::Release { name, engine, address, new_connection });
        }
    }

    pub(super) fn on_reservation_release_result(
        &mut self,
        name: RequestId,
        engine: EngineId,
        acknowledged: bool,
    ) {
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
            self.record_engine_response(&engine);
        }
    }

    pub(super) fn wake_reservation_releases(&mut self, engine: &EngineId) {
        for Wakeup { name, replaced_timer, at } in self.release_retries.wake(self.now, engine) {
            let event = TimerEvent::ReservationRelease(name.clone(), engine.clone());
            let timer = self.timers.replace(replaced_timer, at, event);
            self.release_retries.set_timer(&name, engine, timer);
        }
    }
}

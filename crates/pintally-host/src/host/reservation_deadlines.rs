//! Deadlines of reservations: they are released although an attempt is in flight, unless the attempt is shown to be
//! at its engine.

use pintally::interface::Micros;

use super::Host;
use crate::command::Command;
use crate::input::{ReleaseScope, RequestNumber};
use crate::reservations::ReservationDeadline;
use crate::timers::TimerEvent;

/// Where the attempt in flight is, as far as it can be found out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Whereabouts {
    /// At its engine, or a probe will show it: the reservations stay.
    AtEngineOrProbed,
    Unknown,
}

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

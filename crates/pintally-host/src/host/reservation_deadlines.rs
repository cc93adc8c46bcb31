//! Deadlines by which reservations are released although an attempt is in flight, unless the attempt is known to have
//! reached its engine.

use pintally::interface::Micros;

use super::Host;
use crate::command::Command;
use crate::input::{ReleaseScope, RequestNumber};
use crate::reservations::ReservationDeadline;
use crate::timers::TimerEvent;

/// Whether the attempt in flight has reached its engine, as far as this is known.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptLocation {
    /// The attempt has reached its engine, or a probe that may confirm this has been sent: the reservations are kept.
    AtEngineOrProbed,
    Unknown,
}

impl Host {
    /// Makes sure that the reservations of a request are released in time although an attempt is in flight.
    pub(super) fn update_reservation_deadline(&mut self, number: RequestNumber) {
        let Some(record) = self.requests.get_mut(number) else { return };
        let is_release_pending = self.release_scheduler.is_pending(&record.id);
        let pending_since = record.reservations.pending_since().filter(|_| !is_release_pending);
        let at = pending_since.map(|since| self.release_scheduler.in_flight_deadline(since));
        let old = record.reservations.deadline();
        if at == old.map(|deadline| deadline.at) {
            return;
        }
        if let Some(old) = old {
            self.timers.cancel(old.timer);
        }
        let earliest = self.now.saturating_add(self.release_scheduler.delivery_allowance());
        let deadline = at.map(|at| ReservationDeadline {
            timer: self.timers.set(at.max(earliest), TimerEvent::ReservationDeadline(number)),
            at,
        });
        record.reservations.set_deadline(deadline);
    }

    /// Releases the reservations of a request at their deadline. Attempts at unreachable engines do not extend the
    /// deadline, so that reservations do not remain while one attempt after another fails to reach its engine. If an
    /// attempt has reached its engine after all and waits for the state, the release does not harm it.
    pub(super) fn on_reservation_deadline(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.get_mut(number) else { return };
        record.reservations.set_deadline(None);
        let Some(pending_since) = record.reservations.pending_since() else { return };
        if self.locate_attempt(number, pending_since, out) == AttemptLocation::AtEngineOrProbed {
            return;
        }
        let Some(record) = self.requests.get_mut(number) else { return };
        let id = record.id.clone();
        if self.release_scope == ReleaseScope::Attempt {
            // A released state is not fetched: the core is notified that the state is missing, and has the prompt
            // read again.
            record.reservations.mark_fetchable_lost();
            let reservations = record.reservations.take_all();
            self.counters.releases_guarded += 1;
            self.release_reservations(&id, reservations, out);
        } else if !self.release_scheduler.is_pending(&id) {
            self.counters.releases_guarded += 1;
            self.release_request(&id, out);
        }
    }

    /// Checks whether the attempt in flight has reached its engine, by a connection probe if one may still be made.
    /// Without probes, the prompt would be read again when a writer is merely slow. The probe is repeated, so that
    /// reservations do not remain for an engine that has gone since.
    fn locate_attempt(
        &mut self,
        number: RequestNumber,
        pending_since: Micros,
        out: &mut Vec<Command>,
    ) -> AttemptLocation {
        let Some(record) = self.requests.get_mut(number) else { return AttemptLocation::Unknown };
        let Some(in_flight) = record.in_flight.as_mut() else { return AttemptLocation::Unknown };
        // Anything received from the engine on other connections since then confirms the same without a probe.
        let last_response = self.release_scheduler.last_response(&in_flight.engine);
        if let Some(at) = last_response.filter(|at| in_flight.is_delivered && *at > pending_since) {
            record.record_delivery(at);
            self.update_reservation_deadline(number);
            return AttemptLocation::AtEngineOrProbed;
        }
        let Some(address) = self.endpoints.address(&in_flight.engine) else {
            return AttemptLocation::Unknown;
        };
        if in_flight.remaining_probes == 0 {
            return AttemptLocation::Unknown;
        }
        in_flight.remaining_probes -= 1;
        let engine = in_flight.engine.clone();
        out.push(Command::ProbeConnection(number, in_flight.attempt, engine, address));
        let probe_ends = self.now.saturating_add(self.release_scheduler.connection_probe_timeout());
        let deadline = ReservationDeadline {
            timer: self.timers.set(probe_ends, TimerEvent::ReservationDeadline(number)),
            at: self.release_scheduler.in_flight_deadline(pending_since),
        };
        record.reservations.set_deadline(Some(deadline));
        AttemptLocation::AtEngineOrProbed
    }
}

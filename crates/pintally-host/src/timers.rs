//! Timers of the host, ordered by the time at which they expire.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, RequestId, Timer};
use pintally_cells::CellName;

use crate::RequestNumber;

/// The event that the expiry of a timer triggers.
#[derive(Clone, Debug)]
pub(crate) enum TimerEvent {
    /// A timer that a cell's decision core has set.
    Core(CellName, Timer),
    /// The assignment of engines to cells may change without an input.
    CellAssignment,
    /// The core has not answered a request by its deadline.
    AnswerOverdue(RequestNumber),
    /// The release of one reservation at its engine is retried.
    ReservationRelease(RequestId, EngineId),
    /// The reservations of a request are released although an attempt is in flight.
    ReservationDeadline(RequestNumber),
    /// The next call that releases all reservations of a request.
    RequestRelease(RequestId),
    /// The recovery after a start has something to do.
    Recovery,
    /// Quota allocations are requested.
    QuotaRequest,
    /// Reports about engines are exchanged and evaluated.
    OutlierEvaluation,
    /// The observations about zones are published.
    ZoneReport,
    /// The graceful shutdown has reached its timeout.
    ShutdownTimeout,
}

/// Identifies a timer that is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimerKey {
    at: Micros,
    serial: u64,
}

impl TimerKey {
    /// When the timer expires.
    pub(crate) fn at(self) -> Micros {
        self.at
    }
}

/// Pending timers; those that expire at the same time do so in the order in which they were set.
#[derive(Default)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerKey, TimerEvent>,
    last_serial: u64,
}

impl Timers {
    /// Sets a timer and returns the key with which it is cancelled.
    pub(crate) fn set(&mut self, at: Micros, event: TimerEvent) -> TimerKey {
        self.last_serial += 1;
        let key = TimerKey { at, serial: self.last_serial };
        self.pending.insert(key, event);
        key
    }

    /// Cancels a timer; has no effect on one that has expired.
    pub(crate) fn cancel(&mut self, key: TimerKey) {
        self.pending.remove(&key);
    }

    /// Sets a timer in place of another one, if there was one.
    pub(crate) fn replace(&mut self, old: Option<TimerKey>, at: Micros, event: TimerEvent) -> TimerKey {
        if let Some(old) = old {
            self.cancel(old);
        }
        self.set(at, event)
    }

    /// When the next timer expires.
    pub(crate) fn next_expiry(&self) -> Option<Micros> {
        self.pending.keys().next().map(|key| key.at)
    }

    /// Removes the next timer that has expired by now.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<TimerEvent> {
        let entry = self.pending.first_entry().filter(|entry| entry.key().at <= now)?;
        Some(entry.remove())
    }

    /// The number of timers that are set.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}

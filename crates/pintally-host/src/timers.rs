//! Timers in the order in which they come due.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, RequestId, Timer};

use pintally_cells::CellName;

use crate::RequestNumber;

/// What a timer is for.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    /// A cell's core asked to be woken.
    Core(CellName, Timer),
    /// Time alone may change what cells have.
    Cells,
    /// A request's final answer is overdue.
    Answer(RequestNumber),
    /// A release is to be repeated.
    Release(RequestId, EngineId),
    /// What a request holds is to be let go although an attempt is out.
    Guard(RequestNumber),
    /// Everything of a request is being let go: the next engine is called.
    Call(RequestId),
    /// Recovery has something to do.
    Recovery,
    /// Shares of limits are asked for.
    Shares,
    /// What the fleet saw of engines is weighed.
    Verdicts,
    /// What this node sees of zones is told.
    Regions,
    /// Stopping has taken its whole time.
    Stop,
}

/// Timers; those that come due at the same time do so in the order in which they were set.
#[derive(Default)]
pub(crate) struct Timers {
    due: BTreeMap<(Micros, u64), Due>,
    serial: u64,
}

impl Timers {
    /// Sets a timer and returns the key by which it is taken back.
    pub(crate) fn set(&mut self, at: Micros, due: Due) -> (Micros, u64) {
        self.serial += 1;
        self.due.insert((at, self.serial), due);
        (at, self.serial)
    }

    /// Takes a timer back; one that has come due is not there any more.
    pub(crate) fn unset(&mut self, key: (Micros, u64)) {
        self.due.remove(&key);
    }

    /// Sets a timer in the place of one that is void then.
    pub(crate) fn instead(&mut self, old: Option<(Micros, u64)>, at: Micros, due: Due) -> (Micros, u64) {
        if let Some(old) = old {
            self.unset(old);
        }
        self.set(at, due)
    }

    /// When the next one comes due.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// The next one that has come due.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<Due> {
        let entry = self.due.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// How many are set.
    pub(crate) fn len(&self) -> usize {
        self.due.len()
    }
}

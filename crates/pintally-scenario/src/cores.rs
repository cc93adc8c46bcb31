//! Few processors, and few days at once, where nodes, engines and clients are threads of one process.

use std::sync::{Condvar, Mutex};

use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};

/// Enough for a day; further ones cost more than they bring.
const FEW: usize = 4;
/// Days in one process that are played at once.
pub(crate) static IN_ONE_PROCESS: RunSlots = RunSlots::new(2);

/// Places for days that are played at once. Guards against days that take each other's time on a machine
/// that has little.
pub struct RunSlots {
    free: Mutex<usize>,
    freed: Condvar,
}

/// A place among them, until it is dropped.
pub struct RunSlot(&'static RunSlots);

impl RunSlots {
    /// So many places.
    pub const fn new(places: usize) -> RunSlots {
        RunSlots { free: Mutex::new(places), freed: Condvar::new() }
    }

    /// Waits for one.
    pub fn acquire(&'static self) -> RunSlot {
        let mut free = self.free.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        while *free == 0 {
            free = self.freed.wait(free).unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        *free -= 1;
        RunSlot(self)
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        *self.0.free.lock().unwrap_or_else(std::sync::PoisonError::into_inner) += 1;
        self.0.freed.notify_one();
    }
}

/// Keeps this thread, and all that it starts from here on, on the first few processors that it may use.
///
/// Guards against days that come to a stand on a machine whose processors are shared with others: a day
/// starts thousands of threads, and with the end of each the system has to interrupt every processor that
/// the process has run on, and waits for those that are just not there. Twelve processors of which a quarter
/// of the time was taken spent 128 s in the system for 7 s of work; four of them 31 s for 12 s.
pub(crate) fn on_few_cores() {
    let Ok(all) = sched_getaffinity(None) else { return };
    let mut few = CpuSet::new();
    (0..CpuSet::MAX_CPU).filter(|n| all.is_set(*n)).take(FEW).for_each(|n| few.set(n));
    // Where that is not allowed the day goes on as it is.
    let _ = sched_setaffinity(None, &few);
}

#[cfg(test)]
mod tests;

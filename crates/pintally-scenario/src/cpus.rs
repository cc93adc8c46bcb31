//! Limits on processors and concurrent runs, for runs whose nodes, engines and clients are threads of one
//! process.

use std::sync::{Condvar, Mutex};

use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};

/// Processors for one run; more add overhead instead of speed.
const MAX_CPUS: usize = 4;
/// Limits the scenarios that run at the same time in one process.
pub(crate) static RUN_SLOTS: RunSlots = RunSlots::new(2);

/// Limits the number of concurrent runs, so that they do not compete for too few processors.
pub struct RunSlots {
    free: Mutex<usize>,
    freed: Condvar,
}

/// A slot, held until dropped.
pub struct RunSlot(&'static RunSlots);

impl RunSlots {
    /// Creates a limit of `slots` concurrent runs.
    pub const fn new(slots: usize) -> RunSlots {
        RunSlots { free: Mutex::new(slots), freed: Condvar::new() }
    }

    /// Waits for a free slot.
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

/// Restricts this thread, and the threads that it starts from now on, to the first `MAX_CPUS` processors it
/// may use.
///
/// Without this limit, runs stall on a machine whose processors are shared with others: a run starts
/// thousands of threads, and when one ends the kernel interrupts every processor that the process has run
/// on, and waits for those that are not scheduled at the moment. Twelve processors with a quarter of their
/// time taken by others spent 128 s in the kernel for 7 s of work; four of them spent 31 s for 12 s.
pub(crate) fn limit_cpus() {
    let Ok(all) = sched_getaffinity(None) else { return };
    let mut limited = CpuSet::new();
    (0..CpuSet::MAX_CPU).filter(|n| all.is_set(*n)).take(MAX_CPUS).for_each(|n| limited.set(n));
    // If the call is not permitted the run continues on all processors.
    let _ = sched_setaffinity(None, &limited);
}

#[cfg(test)]
mod tests;

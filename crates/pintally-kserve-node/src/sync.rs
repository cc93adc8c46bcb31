//! Locks that survive a panic of another thread.

use std::sync::{Mutex, MutexGuard};

/// Locks, also where a thread has panicked inside: each value is replaced whole, so that none is ever
/// half written.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

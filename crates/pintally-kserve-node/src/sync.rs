//! Locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also if a thread has panicked while holding it. That is safe because each value is replaced
/// as a whole, so that none is left half written.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

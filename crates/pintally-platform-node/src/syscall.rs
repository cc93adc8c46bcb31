//! The meaning of failed system calls, in one place.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// The meaning of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptFailure {
    /// No connection waits to be accepted.
    NonePending,
    /// That connection is gone, or the call was interrupted: another one may wait.
    RetryNow,
    /// The process is at its limit of descriptors.
    OutOfDescriptors,
    /// The system cannot accept at this moment.
    RetryLater,
}

/// The meaning of a failed accept. Network errors that Linux returns from the new connection concern only that
/// connection.
pub(crate) fn accept_failure(error: &io::Error) -> AcceptFailure {
    let errno = Errno::from_io_error(error);
    match errno {
        Some(Errno::AGAIN) => AcceptFailure::NonePending,
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::PROTO
            | Errno::NETDOWN
            | Errno::NOPROTOOPT
            | Errno::HOSTDOWN
            | Errno::NONET
            | Errno::HOSTUNREACH
            | Errno::OPNOTSUPP
            | Errno::NETUNREACH
            | Errno::TIMEDOUT,
        ) => AcceptFailure::RetryNow,
        Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
        _ => AcceptFailure::RetryLater,
    }
}

/// Whether a call that failed during the start may succeed a little later. An address in use may still be that
/// of the process before this one.
fn is_transient(error: &io::Error) -> bool {
    let transient = [
        Errno::INTR,
        Errno::AGAIN,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::IO,
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
        Errno::NETDOWN,
        Errno::NETUNREACH,
    ];
    Errno::from_io_error(error).is_some_and(|errno| transient.contains(&errno))
}

/// How long a call is retried during the start.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two attempts.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Makes a call that the start needs, and retries it while its failure is transient.
pub(crate) fn retry_at_start<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        match call() {
            Ok(done) => return Ok(done),
            Err(e) if is_transient(&e) && started.elapsed() < START_RETRY_TIMEOUT => {
                if !std::mem::replace(&mut is_logged, true) {
                    tracing::warn!(call = what, error = %e, "system call failed during the start and is retried");
                }
                std::thread::sleep(START_RETRY_INTERVAL);
            }
            Err(e) => return Err(e),
        }
    }
}

/// Whether a read or a write has to be retried: now, or on the next readiness event.
pub(crate) fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;

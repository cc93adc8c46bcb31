//! Classification of failed system calls.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// The kind of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptFailure {
    /// No connection is pending.
    NonePending,
    /// That connection is gone, or the call was interrupted: another connection may be pending.
    RetryNow,
    /// The process is at its limit of descriptors.
    OutOfDescriptors,
    /// The system cannot accept a connection now.
    RetryLater,
}

/// Classifies the error of a failed accept. Linux also returns network errors of the new connection, which
/// concern only that connection.
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

/// Whether a call that failed during startup may succeed a little later. An address in use may still be bound
/// by the previous process of this node.
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

/// Maximum time for which a call is retried during startup.
const STARTUP_RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two tries of a call.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Makes a system call that startup needs, and retries it while it fails with a transient error.
pub(crate) fn retry_during_startup<T>(
    call_name: &str,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        match call() {
            Ok(done) => return Ok(done),
            Err(e) if is_transient(&e) && started.elapsed() < STARTUP_RETRY_TIMEOUT => {
                if !std::mem::replace(&mut is_logged, true) {
                    tracing::warn!(call = call_name, error = %e, "system call failed during the start and is retried");
                }
                std::thread::sleep(STARTUP_RETRY_INTERVAL);
            }
            Err(e) => return Err(e),
        }
    }
}

/// Whether a read or a write is to be retried, at once or on the next readiness event.
pub(crate) fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;

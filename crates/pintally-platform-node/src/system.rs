//! What a failed system call means, in one place.

use std::io::{self, ErrorKind};
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// What a failed accept means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptFailure {
    /// Nobody waits to be accepted.
    NobodyWaits,
    /// That connection is gone, or the call was interrupted: the next one may be there.
    TryNext,
    /// This process has all the descriptors that it may have.
    OutOfDescriptors,
    /// The system cannot just now.
    TryLater,
}

/// What a failed accept means. Errors of the network that Linux passes on from the new connection are that
/// connection's own.
pub(crate) fn accept_failure(error: &io::Error) -> AcceptFailure {
    let errno = Errno::from_io_error(error);
    match errno {
        Some(Errno::AGAIN) => AcceptFailure::NobodyWaits,
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
        ) => AcceptFailure::TryNext,
        Some(Errno::MFILE) => AcceptFailure::OutOfDescriptors,
        _ => AcceptFailure::TryLater,
    }
}

/// Whether a call that failed while the program starts may work a little later. An address in use may still be
/// that of the process before this one.
fn may_pass(error: &io::Error) -> bool {
    let passing = [
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
    Errno::from_io_error(error).is_some_and(|errno| passing.contains(&errno))
}

/// For how long a call is tried again while the program starts.
const START_FOR: Duration = Duration::from_secs(4);
/// Between two tries.
const START_PAUSE: Duration = Duration::from_millis(20);

/// Makes a call that the start needs, again and again while its failure may pass.
pub(crate) fn at_start<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let from = Instant::now();
    let mut told = false;
    loop {
        match call() {
            Ok(done) => return Ok(done),
            Err(e) if may_pass(&e) && from.elapsed() < START_FOR => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!("{what} fails and is tried again: {e}");
                }
                std::thread::sleep(START_PAUSE);
            }
            Err(e) => return Err(e),
        }
    }
}

/// Whether a read or a write is to be made again: now, or when the loop is told that it can be.
pub(crate) fn is_not_yet(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;

//! Signals: flags that record which have arrived, and sockets that wake the event loop.
//!
//! The flag is authoritative. The byte that wakes the loop is sent by a system call, which may fail; the flag
//! is then found in the next iteration, a tenth of a second later at the latest.

use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::low_level::pipe;

/// A group of signals with one meaning.
struct SignalFlag {
    flag: Arc<AtomicBool>,
    wakeups: UnixStream,
}

impl SignalFlag {
    /// Installs handlers for these signals.
    fn register(signals: &[i32]) -> io::Result<SignalFlag> {
        let flag = Arc::new(AtomicBool::new(false));
        let (wakeups, sender) = UnixStream::pair()?;
        wakeups.set_nonblocking(true)?;
        for signal in signals {
            flag::register(*signal, flag.clone())?;
            pipe::register(*signal, sender.try_clone()?)?;
        }
        Ok(SignalFlag { flag, wakeups })
    }

    fn is_set(&self) -> bool {
        self.flag.load(Ordering::SeqCst)
    }

    /// Clears the flag and the wakeups; returns whether the flag was set.
    fn take(&self) -> bool {
        let mut buffer = [0; 64];
        while matches!((&self.wakeups).read(&mut buffer), Ok(count) if count > 0) {}
        self.flag.swap(false, Ordering::SeqCst)
    }
}

/// The signals that the node handles.
pub(crate) struct Signals {
    stop: SignalFlag,
    reload: SignalFlag,
}

/// Signals that have arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingSignals {
    /// Stop gracefully.
    pub(crate) stop: bool,
    /// Reload the configuration.
    pub(crate) reload: bool,
}

impl Signals {
    pub(crate) fn new() -> io::Result<Signals> {
        Ok(Signals {
            stop: SignalFlag::register(&[SIGINT, SIGTERM])?,
            reload: SignalFlag::register(&[SIGHUP])?,
        })
    }

    pub(crate) fn stop_fd(&self) -> BorrowedFd<'_> {
        self.stop.wakeups.as_fd()
    }

    pub(crate) fn reload_fd(&self) -> BorrowedFd<'_> {
        self.reload.wakeups.as_fd()
    }

    /// Whether a signal has arrived that was not taken.
    pub(crate) fn is_pending(&self) -> bool {
        self.stop.is_set() || self.reload.is_set()
    }

    /// Takes the signals that have arrived.
    pub(crate) fn take(&self) -> PendingSignals {
        PendingSignals { stop: self.stop.take(), reload: self.reload.take() }
    }
}

//! Signals: a flag for each that has come, and readable sockets that wake the loop for it.
//!
//! The flag is what counts. The byte that wakes the loop is sent by a system call, which may fail; the signal is then
//! found in the next iteration, a tenth of a second later at the latest.

use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::low_level::pipe;

/// One thing that signals ask for.
struct Asked {
    flag: Arc<AtomicBool>,
    wakes: UnixStream,
}

impl Asked {
    /// Asked for by any of these signals.
    fn by(signals: &[i32]) -> io::Result<Asked> {
        let flag = Arc::new(AtomicBool::new(false));
        let (wakes, end) = UnixStream::pair()?;
        wakes.set_nonblocking(true)?;
        for signal in signals {
            flag::register(*signal, flag.clone())?;
            pipe::register(*signal, end.try_clone()?)?;
        }
        Ok(Asked { flag, wakes })
    }

    /// Whether it was asked for since this was last called.
    fn take(&self) -> bool {
        let mut some = [0; 64];
        while matches!((&self.wakes).read(&mut some), Ok(count) if count > 0) {}
        self.flag.swap(false, Ordering::SeqCst)
    }
}

/// What signals ask for.
pub(crate) struct Signals {
    stop: Asked,
    reload: Asked,
}

impl Signals {
    pub(crate) fn new() -> io::Result<Signals> {
        Ok(Signals { stop: Asked::by(&[SIGINT, SIGTERM])?, reload: Asked::by(&[SIGHUP])? })
    }

    pub(crate) fn stop_fd(&self) -> BorrowedFd<'_> {
        self.stop.wakes.as_fd()
    }

    pub(crate) fn reload_fd(&self) -> BorrowedFd<'_> {
        self.reload.wakes.as_fd()
    }

    /// Whether any signal has come that was not taken in.
    pub(crate) fn have_come(&self) -> bool {
        self.stop.flag.load(Ordering::SeqCst) || self.reload.flag.load(Ordering::SeqCst)
    }

    /// Takes in what has come: whether to stop, and whether to read the configuration again.
    pub(crate) fn take(&self) -> (bool, bool) {
        (self.stop.take(), self.reload.take())
    }
}

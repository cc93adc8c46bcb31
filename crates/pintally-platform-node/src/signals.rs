//! Signals as readable sockets, so that they come into the loop like everything else.

use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// The ends that become readable when a signal comes.
pub(crate) struct Signals {
    stop: UnixStream,
    reload: UnixStream,
}

impl Signals {
    pub(crate) fn new() -> io::Result<Signals> {
        let (stop, term) = UnixStream::pair()?;
        let (reload, hup) = UnixStream::pair()?;
        stop.set_nonblocking(true)?;
        reload.set_nonblocking(true)?;
        pipe::register(SIGINT, term.try_clone()?)?;
        pipe::register(SIGTERM, term)?;
        pipe::register(SIGHUP, hup)?;
        Ok(Signals { stop, reload })
    }

    pub(crate) fn stop_fd(&self) -> BorrowedFd<'_> {
        self.stop.as_fd()
    }

    pub(crate) fn reload_fd(&self) -> BorrowedFd<'_> {
        self.reload.as_fd()
    }

    /// Takes in what has come: whether to stop, and whether to read the configuration again.
    pub(crate) fn take(&mut self) -> (bool, bool) {
        let any = |mut end: &UnixStream| {
            let mut some = [0; 64];
            matches!(end.read(&mut some), Ok(n) if n > 0)
        };
        (any(&self.stop), any(&self.reload))
    }
}

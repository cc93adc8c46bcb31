//! Waiting for sockets and for wake-ups by other threads at the same time.

use std::io;
use std::net::TcpStream;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::time::{Duration, Instant};

use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};

/// Added to the timeout of each poll, so that it does not end just before the deadline repeatedly.
const WAIT_ROUNDING: Duration = Duration::from_micros(1);

/// Wakes a thread that waits in [`wait`] or [`wait_for_many`].
#[derive(Debug)]
pub(crate) struct Waker(OwnedFd);

impl Waker {
    pub(crate) fn new() -> io::Result<Waker> {
        Ok(Waker(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Wakes the thread, now or when it next waits.
    pub(crate) fn wake(&self) {
        // The write can only fail if the counter is full, and then the thread is already woken.
        let _ = rustix::io::write(&self.0, &1u64.to_ne_bytes());
    }

    fn clear(&self) {
        let _ = rustix::io::read(&self.0, &mut [0u8; 8]);
    }
}

/// The events to wait for on a client's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientInterest {
    /// The socket has bytes or was closed.
    Readable,
    /// The client has closed its connection.
    HangUp,
    /// None, because the client has left.
    Nothing,
}

impl ClientInterest {
    fn flags(self) -> Option<PollFlags> {
        let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        match self {
            ClientInterest::Readable => Some(PollFlags::IN | hang_up),
            ClientInterest::HangUp => Some(hang_up),
            ClientInterest::Nothing => None,
        }
    }
}

/// The events to wait for on an engine's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineInterest {
    /// The socket has bytes or was closed.
    Read,
    /// The socket accepts bytes.
    Write,
    /// Either of both.
    ReadWrite,
}

impl EngineInterest {
    fn flags(self) -> PollFlags {
        match self {
            EngineInterest::Read => PollFlags::IN,
            EngineInterest::Write => PollFlags::OUT,
            EngineInterest::ReadWrite => PollFlags::IN | PollFlags::OUT,
        }
    }
}

/// The events that ended a wait.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ready {
    /// The client has sent bytes or has left, depending on its [`ClientInterest`].
    pub(crate) client: bool,
    /// The engine has sent bytes or has closed the connection.
    pub(crate) engine_read: bool,
    /// The engine's socket accepts bytes.
    pub(crate) engine_write: bool,
    /// The waker has woken the thread.
    pub(crate) woken: bool,
}

/// Waits for the client's socket, the engine's socket or the waker, at most until a time.
pub(crate) fn wait(
    waker: &Waker,
    client: Option<(BorrowedFd, ClientInterest)>,
    engine: Option<(BorrowedFd, EngineInterest)>,
    until: Option<Instant>,
) -> io::Result<Ready> {
    let client = client.and_then(|(fd, interest)| Some((fd, interest.flags()?)));
    let engine = engine.map(|(fd, interest)| (fd, interest.flags()));
    let mut fds = vec![PollFd::new(&waker.0, PollFlags::IN)];
    fds.extend(client.iter().chain(&engine).map(|(fd, flags)| PollFd::from_borrowed_fd(*fd, *flags)));
    poll_until(&mut fds, until)?;
    let mut events = fds.iter().map(PollFd::revents);
    let mut next_events = || events.next().unwrap_or(PollFlags::empty());
    let mut ready = Ready { woken: !next_events().is_empty(), ..Ready::default() };
    if client.is_some() {
        ready.client = !next_events().is_empty();
    }
    if engine.is_some() {
        let events = next_events();
        ready.engine_write = events.contains(PollFlags::OUT);
        ready.engine_read = events.intersects(PollFlags::IN | PollFlags::HUP | PollFlags::ERR);
    }
    if ready.woken {
        waker.clear();
    }
    Ok(ready)
}

/// Waits for the sockets of several engines or the waker, at most until a time. Returns for each socket
/// whether it has an event.
pub(crate) fn wait_for_many(
    waker: &Waker,
    engines: &[(&TcpStream, EngineInterest)],
    until: Option<Instant>,
) -> io::Result<Vec<bool>> {
    let mut fds = vec![PollFd::new(&waker.0, PollFlags::IN)];
    fds.extend(engines.iter().map(|(stream, interest)| PollFd::new(*stream, interest.flags())));
    poll_until(&mut fds, until)?;
    if !fds[0].revents().is_empty() {
        waker.clear();
    }
    Ok(fds[1..].iter().map(|fd| !fd.revents().is_empty()).collect())
}

fn poll_until(fds: &mut [PollFd], until: Option<Instant>) -> io::Result<()> {
    loop {
        let timeout = until.map(|at| {
            let remaining = at.saturating_duration_since(Instant::now()) + WAIT_ROUNDING;
            Timespec { tv_sec: remaining.as_secs() as i64, tv_nsec: i64::from(remaining.subsec_nanos()) }
        });
        match poll(fds, timeout.as_ref()) {
            Ok(_) => return Ok(()),
            Err(rustix::io::Errno::INTR) => continue,
            Err(error) => return Err(error.into()),
        }
    }
}

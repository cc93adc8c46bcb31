//! Waiting for sockets and for messages of other threads at the same time.

use std::io;
use std::net::TcpStream;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::time::{Duration, Instant};

use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};

/// A wait is this much longer than the time left, so that it does not end just before its time again and
/// again.
const WAIT_ROUNDING: Duration = Duration::from_micros(1);

/// Wakes a thread that waits for sockets.
#[derive(Debug)]
pub(crate) struct Waker(OwnedFd);

impl Waker {
    pub(crate) fn new() -> io::Result<Waker> {
        Ok(Waker(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?))
    }

    /// Wakes the thread, now or when it next waits.
    pub(crate) fn wake(&self) {
        // It can only fail when the count is full, and then the thread is awake anyway.
        let _ = rustix::io::write(&self.0, &1u64.to_ne_bytes());
    }

    fn clear(&self) {
        let _ = rustix::io::read(&self.0, &mut [0u8; 8]);
    }
}

/// What is waited for at a client's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientInterest {
    /// Bytes, or its end.
    Readable,
    /// Only that the client leaves.
    HangUp,
    /// Nothing: it has left.
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

/// What is waited for at an engine's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interest {
    /// Bytes, or its end.
    Read,
    /// That it takes bytes.
    Write,
    /// Both.
    ReadWrite,
}

impl Interest {
    fn flags(self) -> PollFlags {
        match self {
            Interest::Read => PollFlags::IN,
            Interest::Write => PollFlags::OUT,
            Interest::ReadWrite => PollFlags::IN | PollFlags::OUT,
        }
    }
}

/// What has happened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ready {
    /// The client has sent bytes or has left, as the interest was.
    pub(crate) client: bool,
    /// The engine has sent bytes or has closed.
    pub(crate) engine_read: bool,
    /// The engine takes bytes.
    pub(crate) engine_write: bool,
    /// The waker was used.
    pub(crate) woken: bool,
}

/// Waits until something happens, or until a time.
pub(crate) fn wait(
    waker: &Waker,
    client: Option<(BorrowedFd, ClientInterest)>,
    engine: Option<(BorrowedFd, Interest)>,
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

/// Waits until one of several engines' sockets is ready, the waker is used, or until a time; for each socket
/// whether something has happened at it.
pub(crate) fn wait_for_many(
    waker: &Waker,
    engines: &[(&TcpStream, Interest)],
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

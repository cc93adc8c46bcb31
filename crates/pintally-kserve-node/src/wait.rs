//! Waiting for sockets and for mail at the same time.

use std::io;
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};

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
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Client {
    /// Bytes, or its end.
    Readable,
    /// Only that it leaves.
    Leaving,
    /// Nothing: it has left.
    Nothing,
}

/// What has happened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ready {
    /// The client's bytes are here, or it leaves: as was asked.
    pub(crate) client: bool,
    /// The engine's bytes are here, or its end.
    pub(crate) engine_read: bool,
    /// The engine takes bytes.
    pub(crate) engine_write: bool,
    /// The waker was used.
    pub(crate) woken: bool,
}

/// Waits until something happens, or until a time.
pub(crate) fn wait(
    waker: &Waker,
    client: Option<(&dyn AsFdDyn, Client)>,
    engine: Option<(&dyn AsFdDyn, bool)>,
    until: Option<Instant>,
) -> io::Result<Ready> {
    let mut fds = Vec::with_capacity(3);
    fds.push(PollFd::new(&waker.0, PollFlags::IN));
    let leaving = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let client = client.filter(|(_, what)| *what != Client::Nothing);
    if let Some((fd, what)) = &client {
        let flags = if *what == Client::Readable { PollFlags::IN | leaving } else { leaving };
        fds.push(PollFd::from_borrowed_fd(fd.borrowed(), flags));
    }
    if let Some((fd, writes)) = &engine {
        let flags = if *writes { PollFlags::IN | PollFlags::OUT } else { PollFlags::IN };
        fds.push(PollFd::from_borrowed_fd(fd.borrowed(), flags));
    }
    poll_until(&mut fds, until)?;
    let mut ready = Ready { woken: !fds[0].revents().is_empty(), ..Ready::default() };
    if client.is_some() {
        ready.client = !fds[1].revents().is_empty();
    }
    if engine.is_some() {
        let events = fds[fds.len() - 1].revents();
        ready.engine_write = events.contains(PollFlags::OUT);
        ready.engine_read = events.intersects(PollFlags::IN | PollFlags::HUP | PollFlags::ERR);
    }
    if ready.woken {
        waker.clear();
    }
    Ok(ready)
}

/// Waits until any of some engines' sockets can be read, or written where that is wanted, or the waker
/// is used, or until a time; tells for each socket whether something has happened at it.
pub(crate) fn wait_for_many(
    waker: &Waker,
    engines: &[(&TcpStream, bool)],
    until: Option<Instant>,
) -> io::Result<Vec<bool>> {
    let flags = |writes: bool| if writes { PollFlags::OUT } else { PollFlags::IN };
    let mut fds = vec![PollFd::new(&waker.0, PollFlags::IN)];
    fds.extend(engines.iter().map(|(stream, writes)| PollFd::new(*stream, flags(*writes))));
    poll_until(&mut fds, until)?;
    if !fds[0].revents().is_empty() {
        waker.clear();
    }
    Ok(fds[1..].iter().map(|fd| !fd.revents().is_empty()).collect())
}

fn poll_until(fds: &mut [PollFd], until: Option<Instant>) -> io::Result<()> {
    loop {
        let left = until.map(|at| at.saturating_duration_since(Instant::now()));
        let spec = left.map(|left| {
            // Rounded up, so that a wait is not ended just before its time again and again.
            let left = left + Duration::from_micros(1);
            Timespec { tv_sec: left.as_secs() as i64, tv_nsec: i64::from(left.subsec_nanos()) }
        });
        match poll(fds, spec.as_ref()) {
            Ok(_) => return Ok(()),
            Err(rustix::io::Errno::INTR) => continue,
            Err(e) => return Err(e.into()),
        }
    }
}

/// A socket of any kind.
pub(crate) trait AsFdDyn {
    fn borrowed(&self) -> rustix::fd::BorrowedFd<'_>;
}

impl<T: AsFd> AsFdDyn for T {
    fn borrowed(&self) -> rustix::fd::BorrowedFd<'_> {
        self.as_fd()
    }
}

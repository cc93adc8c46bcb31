//! Level-triggered epoll, and the sockets of outgoing connections.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use rustix::buffer::spare_capacity;
use rustix::event::epoll;
pub(crate) use rustix::event::epoll::EventFlags;
use rustix::event::Timespec;
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

/// Maximum timeout of one wait.
const MAX_TIMEOUT_MS: u128 = 60_000;

/// Creates a socket for an outgoing connection, to be passed to [`connect`].
pub(crate) fn socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket)
}

/// Starts a connection; returns whether it is established at once.
pub(crate) fn connect(socket: &Socket, address: SocketAddr) -> io::Result<bool> {
    match socket.connect(&address.into()) {
        Ok(()) => Ok(true),
        Err(e) if e.raw_os_error() == Some(Errno::INPROGRESS.raw_os_error()) => Ok(false),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(e),
    }
}

/// A readiness event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyEvent {
    pub(crate) token: u64,
    pub(crate) flags: EventFlags,
}

/// An epoll instance; closing a file descriptor removes it.
pub(crate) struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poller {
    /// A poller whose waits return up to `max_events` events.
    pub(crate) fn new(max_events: usize) -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller { epoll, events: Vec::with_capacity(max_events) })
    }

    pub(crate) fn add(&self, source: impl AsFd, token: u64, interest: EventFlags) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, source, epoll::EventData::new_u64(token), interest)?)
    }

    pub(crate) fn modify(&self, source: impl AsFd, token: u64, interest: EventFlags) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, source, epoll::EventData::new_u64(token), interest)?)
    }

    /// Waits up to the timeout and appends the events.
    pub(crate) fn wait(&mut self, timeout: Duration, out: &mut Vec<ReadyEvent>) -> io::Result<()> {
        // Whole milliseconds, rounded up: if waits ended early, the loop would spin until the timer expires.
        let millis = timeout.as_micros().div_ceil(1000).min(MAX_TIMEOUT_MS) as i64;
        let timeout = Timespec { tv_sec: millis / 1000, tv_nsec: (millis % 1000) * 1_000_000 };
        self.events.clear();
        match epoll::wait(&self.epoll, spare_capacity(&mut self.events), Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        out.extend(self.events.iter().map(|event| {
            let (data, flags) = (event.data, event.flags);
            ReadyEvent { token: data.u64(), flags }
        }));
        Ok(())
    }
}

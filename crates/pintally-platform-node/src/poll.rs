//! What the loop waits on: level-triggered epoll.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use rustix::buffer::spare_capacity;
use rustix::event::epoll;
pub(crate) use rustix::event::epoll::EventFlags as Flags;
use rustix::event::Timespec;
use socket2::{Domain, Protocol, Socket, Type};

/// The most events of one turn.
const MAX_EVENTS: usize = 256;

/// A socket for a connection to an address; the connection itself is begun by [`connect`].
pub(crate) fn socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket)
}

/// Begins a connection; whether it is up at once.
pub(crate) fn connect(socket: &Socket, address: SocketAddr) -> io::Result<bool> {
    match socket.connect(&address.into()) {
        Ok(()) => Ok(true),
        Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Ok(false),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(e) => Err(e),
    }
}

/// One thing that has happened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Happened {
    pub(crate) token: u64,
    pub(crate) flags: Flags,
}

/// The set of what is waited on.
pub(crate) struct Poll {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poll {
    pub(crate) fn new() -> io::Result<Poll> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poll { epoll, events: Vec::with_capacity(MAX_EVENTS) })
    }

    pub(crate) fn add(&self, source: impl AsFd, token: u64, flags: Flags) -> io::Result<()> {
        Ok(epoll::add(&self.epoll, source, epoll::EventData::new_u64(token), flags)?)
    }

    pub(crate) fn modify(&self, source: impl AsFd, token: u64, flags: Flags) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll, source, epoll::EventData::new_u64(token), flags)?)
    }

    /// Waits for so long at most and appends what has happened.
    pub(crate) fn wait(&mut self, most: Duration, out: &mut Vec<Happened>) -> io::Result<()> {
        // Whole milliseconds, rounded up: a wait that ends early would spin until its time.
        let millis = most.as_micros().div_ceil(1000).min(60_000) as i64;
        let timeout = Timespec { tv_sec: millis / 1000, tv_nsec: (millis % 1000) * 1_000_000 };
        self.events.clear();
        match epoll::wait(&self.epoll, spare_capacity(&mut self.events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        out.extend(self.events.iter().map(|e| {
            let (data, flags) = (e.data, e.flags);
            Happened { token: data.u64(), flags }
        }));
        Ok(())
    }
}

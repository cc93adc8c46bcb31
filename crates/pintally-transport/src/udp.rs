//! Datagrams, and a way to be woken while waiting for one.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Bytes of the largest datagram that is taken in.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// What came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveEvent {
    /// A datagram, from there.
    Datagram(SocketAddr, Vec<u8>),
    /// Nothing until the time was up.
    Nothing,
}

/// A socket for datagrams.
#[derive(Debug)]
pub struct Udp {
    socket: UdpSocket,
}

/// Wakes whoever waits at a socket.
#[derive(Debug)]
pub struct Waker {
    socket: UdpSocket,
    to: SocketAddr,
}

impl Waker {
    /// Wakes it; where that fails it wakes by itself a little later.
    pub fn wake(&self) {
        let _ = self.socket.send_to(&[], self.to);
    }
}

impl Udp {
    /// Listens on an address.
    pub fn bind(address: SocketAddr) -> io::Result<Udp> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Udp { socket })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram, or drops it where it cannot go: whoever it is for will be told again.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }

    /// What wakes whoever waits here: an empty datagram comes.
    pub fn waker(&self) -> io::Result<Waker> {
        let mut to = self.address()?;
        if to.ip().is_unspecified() {
            to.set_ip(if to.is_ipv4() { Ipv4Addr::LOCALHOST.into() } else { Ipv6Addr::LOCALHOST.into() });
        }
        let own = if to.is_ipv4() {
            (IpAddr::from(Ipv4Addr::LOCALHOST), 0)
        } else {
            (Ipv6Addr::LOCALHOST.into(), 0)
        };
        let socket = UdpSocket::bind(own)?;
        socket.set_nonblocking(true)?;
        Ok(Waker { socket, to })
    }

    /// The next datagram; waits for it until a time.
    pub fn receive(&self, until: Instant) -> io::Result<ReceiveEvent> {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((n, from)) => return Ok(ReceiveEvent::Datagram(from, buffer[..n].to_vec())),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                // A refusal of an earlier datagram comes back here: the peer's port is closed.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionRefused) =>
                {
                    continue
                }
                Err(e) => return Err(e),
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.readable(left)? {
                return Ok(ReceiveEvent::Nothing);
            }
        }
    }

    fn readable(&self, left: Duration) -> io::Result<bool> {
        let span = Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() };
        let mut fds = [PollFd::new(&self.socket, PollFlags::IN)];
        match poll(&mut fds, Some(&span)) {
            Ok(n) => Ok(n > 0),
            Err(rustix::io::Errno::INTR) => Ok(true),
            Err(e) => Err(e.into()),
        }
    }
}

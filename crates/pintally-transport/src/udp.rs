//! UDP datagrams, and a waker for a thread that waits for one.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};

/// Largest datagram that is received; a longer one is truncated.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// The result of waiting for a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveEvent {
    /// A datagram, with the address of its sender.
    Datagram(SocketAddr, Vec<u8>),
    /// No datagram was received before the deadline.
    TimedOut,
}

/// A socket for datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

/// Wakes the thread that waits for a datagram at a socket.
#[derive(Debug)]
pub struct Waker {
    socket: UdpSocket,
    target: SocketAddr,
}

impl Waker {
    /// Wakes the thread. If that fails, the thread wakes up at its deadline.
    pub fn wake(&self) {
        let _ = self.socket.send_to(&[], self.target);
    }
}

impl DatagramSocket {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Any error of the socket.
    pub fn bind(address: SocketAddr) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(DatagramSocket { socket })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Any error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a datagram and returns whether it was sent. A datagram that cannot be sent is dropped: the
    /// protocols that use the socket repeat what matters.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }

    /// Creates a waker for the thread that waits in [`DatagramSocket::receive`]. It sends an empty datagram.
    ///
    /// # Errors
    ///
    /// Any error of the sockets.
    pub fn waker(&self) -> io::Result<Waker> {
        let mut target = self.address()?;
        let loopback = if target.is_ipv4() {
            IpAddr::from(Ipv4Addr::LOCALHOST)
        } else {
            IpAddr::from(Ipv6Addr::LOCALHOST)
        };
        if target.ip().is_unspecified() {
            target.set_ip(loopback);
        }
        let socket = UdpSocket::bind((loopback, 0))?;
        socket.set_nonblocking(true)?;
        Ok(Waker { socket, target })
    }

    /// Receives the next datagram, and waits for it until a deadline.
    ///
    /// # Errors
    ///
    /// Any error of the socket, except those caused by a datagram that was sent earlier.
    pub fn receive(&self, deadline: Instant) -> io::Result<ReceiveEvent> {
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((len, from)) => return Ok(ReceiveEvent::Datagram(from, buffer[..len].to_vec())),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => {}
                    // The port to which an earlier datagram was sent is closed.
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionRefused => continue,
                    _ => return Err(error),
                },
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || !self.wait_readable(remaining)? {
                return Ok(ReceiveEvent::TimedOut);
            }
        }
    }

    /// Waits for a datagram. Returns false after `timeout`, and true if there may be a datagram: the socket
    /// is readable, or a signal interrupted the wait.
    fn wait_readable(&self, timeout: Duration) -> io::Result<bool> {
        let timeout = Timespec { tv_sec: timeout.as_secs() as i64, tv_nsec: timeout.subsec_nanos().into() };
        let mut fds = [PollFd::new(&self.socket, PollFlags::IN)];
        match poll(&mut fds, Some(&timeout)) {
            Ok(ready) => Ok(ready > 0),
            Err(rustix::io::Errno::INTR) => Ok(true),
            Err(error) => Err(error.into()),
        }
    }
}

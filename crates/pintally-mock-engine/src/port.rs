//! A reserved port: no other socket gets it while its owner does not listen.
//!
//! While an engine or node is down, the system could give its free port to another engine or node, in this
//! process or another. Requests would then reach the wrong server and appear in the wrong record.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// A reserved port. Listeners on it must set `SO_REUSEADDR`, as those of the standard library do.
#[derive(Debug)]
pub struct Port {
    held: Socket,
}

impl Port {
    /// Reserves a loopback port that no other socket uses.
    pub fn hold() -> io::Result<Port> {
        let held = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        held.set_reuse_address(true)?;
        held.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        Ok(Port { held })
    }

    /// The reserved address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let none = || io::Error::new(io::ErrorKind::AddrNotAvailable, "not an internet address");
        self.held.local_addr()?.as_socket().ok_or_else(none)
    }
}

#[cfg(test)]
mod tests;

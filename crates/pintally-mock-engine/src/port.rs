//! A port that stays one's own while nobody listens on it.
//!
//! Guards against mixed-up runs: a port that is free while its engine or node is down may be given to
//! somebody else's, in this process or another, and work would come to the wrong place and stand in
//! the wrong record.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// A held port. Listeners on it must allow the reuse of addresses, as those of the standard library
/// do.
#[derive(Debug)]
pub struct Port {
    held: Socket,
}

impl Port {
    /// Holds a port on loopback that nobody else has.
    pub fn hold() -> io::Result<Port> {
        let held = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        held.set_reuse_address(true)?;
        held.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        Ok(Port { held })
    }

    /// Its address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        let none = || io::Error::new(io::ErrorKind::AddrNotAvailable, "not an internet address");
        self.held.local_addr()?.as_socket().ok_or_else(none)
    }
}

#[cfg(test)]
mod tests;

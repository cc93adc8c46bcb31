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
mod tests {
    use super::*;
    use std::net::{TcpListener, TcpStream};

    #[test]
    fn it_is_refused_while_nobody_listens_and_nobody_else_gets_it() {
        let port = Port::hold().unwrap();
        let address = port.address().unwrap();
        assert!(TcpStream::connect(address).is_err());
        for _ in 0..2 {
            let listener = TcpListener::bind(address).unwrap();
            let client = TcpStream::connect(address).unwrap();
            drop((listener.accept().unwrap(), client, listener));
        }
        assert!(TcpStream::connect(address).is_err());
        // As many others as the system would need to come round to it by chance.
        let others: Vec<TcpListener> = (0..2000).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        assert!(others.iter().all(|o| o.local_addr().unwrap() != address));
    }
}

//! Tests of the module `port`.

use super::*;
use std::net::{TcpListener, TcpStream};

#[test]
fn reserved_port_refuses_connections_and_is_not_reassigned() {
    let port = Port::hold().unwrap();
    let address = port.address().unwrap();
    assert!(TcpStream::connect(address).is_err());
    for _ in 0..2 {
        let listener = TcpListener::bind(address).unwrap();
        let client = TcpStream::connect(address).unwrap();
        drop((listener.accept().unwrap(), client, listener));
    }
    assert!(TcpStream::connect(address).is_err());
    // Enough ephemeral ports that the system would assign the reserved one if it could.
    let others: Vec<TcpListener> = (0..2000).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    assert!(others.iter().all(|o| o.local_addr().unwrap() != address));
}

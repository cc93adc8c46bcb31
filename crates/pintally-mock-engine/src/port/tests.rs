//! A held port stays one's own.

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

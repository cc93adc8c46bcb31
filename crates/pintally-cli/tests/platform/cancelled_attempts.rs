//! Cancelled attempts must not arrive later: attempts that the node has written and that wait in socket buffers for
//! an engine that does not read.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

use crate::harness::*;

/// The size of a body that does not fit into the engine's receive buffer.
const BODY_BYTES: usize = 200 << 10;

/// A listener whose connections have a small receive buffer.
fn small_buffer_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(16).unwrap();
    socket.into()
}

/// Reads from a connection until its end or reset.
fn read_until_close(stream: &mut TcpStream) -> Vec<u8> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 16 << 10]);
    stream.set_read_timeout(Some(LONG)).unwrap();
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return bytes,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return bytes,
            Err(e) => panic!("the connection was not closed: {e}"),
        }
    }
}

/// Guards against an attempt that starts for a disconnected client, or in parallel with the attempt that replaced it:
/// a graceful close of the connection would be queued behind the bytes of the request.
#[test]
fn cancelled_attempt_does_not_arrive_later() {
    let listener = small_buffer_listener();
    let harness = Harness::with_engines(&[("r0", listener.local_addr().unwrap())], 256);
    let mut client = Client::new(&harness);
    client.send(&large_request_bytes("once", "a", 5_000, BODY_BYTES));
    let (mut attempt, _) = listener.accept().unwrap();
    harness.wait_until_status("the attempt is written", |b| b["engines"][0]["sockets"]["out"] == 1);
    std::thread::sleep(Duration::from_millis(100));
    drop(client);
    harness.wait_until_status("the attempt is cancelled", |b| b["held"] == 0);
    // The engine reads again and gets what is in the socket buffers.
    let received = read_until_close(&mut attempt);
    assert!(
        received.len() < BODY_BYTES,
        "all {} bytes arrived after the attempt was cancelled",
        received.len()
    );
}

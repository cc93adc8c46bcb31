//! What has been given up does not arrive later: attempts and releases that the node has written, and that wait in
//! the system for an engine which does not read.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use serde_json::json;
use socket2::{Domain, Protocol, Socket, Type};

use crate::stand::*;

/// A body that does not fit what an engine's system takes of it unread.
const BODY_BYTES: usize = 200 << 10;

/// A listener whose connections take little that is not read.
fn narrow_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(16).unwrap();
    socket.into()
}

/// All that comes of a connection up to its end or its reset.
fn all_that_comes(stream: &mut TcpStream) -> Vec<u8> {
    let (mut all, mut some) = (Vec::new(), [0; 16 << 10]);
    stream.set_read_timeout(Some(LONG)).unwrap();
    loop {
        match stream.read(&mut some) {
            Ok(0) => return all,
            Ok(count) => all.extend_from_slice(&some[..count]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return all,
            Err(e) => panic!("the connection stays open: {e}"),
        }
    }
}

/// Guards against an attempt that begins for a client that has left, or beside the one that followed it, because the
/// close of its connection waits in the system behind its bytes.
#[test]
fn an_attempt_that_was_given_up_does_not_arrive_later() {
    let listener = narrow_listener();
    let stand = Stand::before(&[("r0", listener.local_addr().unwrap())], 256);
    let mut client = Client::new(&stand);
    let body = json!({"model": "m", "pad": "x".repeat(BODY_BYTES)}).to_string();
    client.send(
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nX-Txn: a\r\nX-Lane: once\r\nX-Entity: a\r\n\
             X-Remaining-Ms: 5000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .as_bytes(),
    );
    let (mut attempt, _) = listener.accept().unwrap();
    stand.until_believed("it is written", |b| b["engines"][0]["sockets"]["out"] == 1);
    std::thread::sleep(Duration::from_millis(100));
    drop(client);
    stand.until_believed("it is given up", |b| b["held"] == 0);
    // The engine's machine is back, and reads what has come.
    let came = all_that_comes(&mut attempt);
    assert!(came.len() < BODY_BYTES, "all {} bytes of it came after it had been given up", came.len());
}

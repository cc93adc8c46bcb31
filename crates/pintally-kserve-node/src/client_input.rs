//! The input of a client's connection behind its request in flight.
//!
//! A client that disconnects sends the end of the stream behind all of its bytes. While the receive buffer of the
//! socket is full, the client's system keeps that end back. Before an attempt is sent, the node therefore reads ahead,
//! within limits, to learn whether the client is still connected.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use pintally_http::RequestReader;
use rustix::io::Errno;
use rustix::net::{recv, RecvFlags};

use crate::body_capacity::BodyCapacity;

/// Maximum bytes of a connection that are read behind the request in flight.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// What is known about a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientPresence {
    /// All of its input is read, and the connection is open.
    Connected,
    /// It has disconnected.
    Disconnected,
    /// The end of the stream may be behind input that the node has no capacity for.
    Unknown,
}

/// Reads the input of a connection behind its request in flight.
pub(crate) struct ClientInput<'a> {
    /// The reader of the connection's next request.
    pub(crate) reader: &'a mut RequestReader,
    /// The capacity that the request in flight has reserved.
    pub(crate) capacity: BodyCapacity<'a>,
}

impl ClientInput<'_> {
    /// Reads until no input is left or a limit is reached.
    pub(crate) fn read_ahead(&mut self, stream: &mut TcpStream) -> ClientPresence {
        let mut buffer = [0u8; READ_BUFFER_BYTES];
        loop {
            match recv(&*stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
                Ok((_, 1..)) => {}
                Err(Errno::AGAIN) => return ClientPresence::Connected,
                Err(Errno::INTR) => continue,
                Ok(_) | Err(_) => return ClientPresence::Disconnected,
            }
            let has_room = self.reader.buffered_bytes() < MAX_READ_AHEAD_BYTES;
            if !has_room || self.capacity.grow(buffer.len()).is_err() {
                return ClientPresence::Unknown;
            }
            match stream.read(&mut buffer) {
                Ok(0) => return ClientPresence::Disconnected,
                Ok(count) => self.reader.push(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ClientPresence::Disconnected,
            }
        }
    }
}

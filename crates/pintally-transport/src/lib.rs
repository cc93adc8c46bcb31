//! Sockets between the nodes of a fleet: UDP for messages that fit into a datagram, TCP on the same port for
//! whole documents and for operators' commands. Sizes, times and the number of connections served at once are
//! bounded.

#![deny(missing_docs)]

mod stream;
mod udp;

pub use stream::{
    fetch_document, send_command, StreamError, StreamServer, MAX_COMMAND_BYTES, MAX_DOCUMENT_BYTES,
};
pub use udp::{DatagramSocket, ReceiveEvent, Waker};

//! Bounds of the buffers that the system keeps for the node's connections: they count as the node's memory.
//!
//! The receive buffer has a fixed size. For output the system has no usable limit: a fixed send buffer holds at least
//! one segment, of up to 64 KiB, and stalls small windows. Instead the node writes a limited number of bytes at a time,
//! and only while the system holds few that it has not sent.

use std::os::fd::AsFd;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;

/// Linux reserves twice the size that is set for a receive buffer.
const RECEIVE_BUFFER_FACTOR: usize = 2;
/// A socket is writable below half of its limit for unsent bytes.
const UNSENT_LIMIT_FACTOR: usize = 2;

/// The sizes of a connection's buffers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketBuffers {
    /// Input of a client.
    client_receive_bytes: usize,
    /// Input of an engine: a stream that has to wait for a slow client, and its last chunk, should fit in.
    engine_receive_bytes: usize,
    /// Maximum number of unsent bytes with which a socket is writable, and of bytes that are written then.
    send_bytes: usize,
}

impl SocketBuffers {
    /// Buffers that hold at most `total_bytes` for one connection, half of it input and half of it output, and
    /// `stream_bytes` of input for an engine's.
    pub(crate) fn new(total_bytes: usize, stream_bytes: usize) -> SocketBuffers {
        SocketBuffers {
            client_receive_bytes: total_bytes / 2 / RECEIVE_BUFFER_FACTOR,
            engine_receive_bytes: stream_bytes / RECEIVE_BUFFER_FACTOR,
            send_bytes: total_bytes / 2 / 2,
        }
    }

    /// Sets the sizes of a listener; the connections that it accepts inherit them.
    pub(crate) fn apply_to_listener(self, listener: impl AsFd) {
        self.apply(listener, self.client_receive_bytes);
    }

    /// Sets the sizes of a socket that is not connected yet.
    pub(crate) fn apply_to_engine(self, socket: impl AsFd) {
        self.apply(socket, self.engine_receive_bytes);
    }

    /// A system that refuses the sizes keeps its own.
    fn apply(self, socket: impl AsFd, receive_bytes: usize) {
        let socket = socket.as_fd();
        let socket = SockRef::from(&socket);
        let _ = socket.set_recv_buffer_size(receive_bytes);
        let _ = socket.set_tcp_notsent_lowat((self.send_bytes * UNSENT_LIMIT_FACTOR) as u32);
    }

    /// The output limit of a new connection.
    pub(crate) fn send_limit(self) -> SendLimit {
        SendLimit { max_bytes: self.send_bytes, remaining: 0 }
    }
}

/// Limits how much output of a connection the system holds.
pub(crate) struct SendLimit {
    max_bytes: usize,
    /// Bytes that may be written before the socket is asked again.
    remaining: usize,
}

impl SendLimit {
    /// The number of bytes that may be written now; 0 while the system holds too many.
    pub(crate) fn allowed_bytes(&mut self, socket: impl AsFd) -> usize {
        if self.remaining == 0 && is_writable(socket) {
            self.remaining = self.max_bytes;
        }
        self.remaining
    }

    /// Records that bytes were written.
    pub(crate) fn record_written(&mut self, count: usize) {
        self.remaining = self.remaining.saturating_sub(count);
    }
}

/// Whether a write would succeed or fail now, and not wait. A failed call counts as writable: the write finds out.
fn is_writable(socket: impl AsFd) -> bool {
    let mut sockets = [PollFd::new(&socket, PollFlags::OUT)];
    !matches!(poll(&mut sockets, Some(&Timespec::default())), Ok(0))
}

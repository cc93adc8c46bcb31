//! One call in flight: its connection, the request and the answer, as far as they have come.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use pintally_http::{Part, ResponseReader};

use super::BackgroundCall;
use crate::pool::CallConnection;
use crate::wait::Interest;

/// Bytes that one read takes.
pub(super) const READ_BUFFER_BYTES: usize = 16 << 10;
/// The longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The longest body of an answer.
const MAX_BODY_BYTES: usize = 1 << 20;

/// How a call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// With a complete answer, or with a connection where that is all that was wanted.
    Answered {
        /// Whether the connection may be used again.
        reusable: bool,
    },
    /// Refused, broken, not understood, or timed out.
    Failed,
}

/// A call in flight.
pub(super) struct Exchange {
    pub(super) call: BackgroundCall,
    pub(super) stream: TcpStream,
    pub(super) deadline: Instant,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
    connected: bool,
    unsent: Vec<u8>,
    reader: ResponseReader,
}

impl Exchange {
    pub(super) fn new(call: BackgroundCall, connection: CallConnection, deadline: Instant) -> Exchange {
        Exchange {
            unsent: call.encode(),
            call,
            stream: connection.stream,
            connected: connection.connected,
            deadline,
            reader: ResponseReader::new(MAX_HEAD_BYTES),
            status: 0,
            body: Vec::new(),
        }
    }

    /// The socket, and what it waits for.
    pub(super) fn interest(&self) -> (&TcpStream, Interest) {
        let writes = !self.connected || !self.unsent.is_empty();
        (&self.stream, if writes { Interest::Write } else { Interest::Read })
    }

    /// Goes on as far as the socket allows; how the call has ended, if it has.
    pub(super) fn advance(&mut self, buffer: &mut [u8]) -> Option<Completion> {
        if !self.connected {
            let Ok(None) = self.stream.take_error() else { return Some(Completion::Failed) };
            self.connected = true;
        }
        if matches!(self.call, BackgroundCall::ConnectionProbe { .. }) {
            return Some(Completion::Answered { reusable: true });
        }
        if self.write().is_err() {
            return Some(Completion::Failed);
        }
        self.read(buffer)
    }

    /// Writes until the request is out or the socket would block.
    fn write(&mut self) -> std::io::Result<()> {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(written) => drop(self.unsent.drain(..written)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads until the answer is complete or the socket would block.
    fn read(&mut self, buffer: &mut [u8]) -> Option<Completion> {
        loop {
            match self.reader.next_part() {
                Ok(Some(Part::Head(status, _))) => self.status = status,
                Ok(Some(Part::Body(bytes))) if self.body.len() + bytes.len() <= MAX_BODY_BYTES => {
                    self.body.extend(bytes);
                }
                Ok(Some(Part::Body(_))) | Err(_) => return Some(Completion::Failed),
                Ok(Some(Part::End(reusable))) => {
                    return Some(Completion::Answered { reusable: reusable && self.unsent.is_empty() });
                }
                Ok(None) => match self.stream.read(buffer) {
                    Ok(0) if self.reader.closed().is_ok() => {
                        return Some(Completion::Answered { reusable: false });
                    }
                    Ok(count) if count > 0 => self.reader.push(&buffer[..count]),
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                    _ => return Some(Completion::Failed),
                },
            }
        }
    }
}

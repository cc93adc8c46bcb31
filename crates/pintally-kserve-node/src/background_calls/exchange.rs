//! One call in flight: its connection, and how much of the request and the response has been transferred.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

use pintally_http::{Part, ResponseReader};

use super::BackgroundCall;
use crate::pool::CallConnection;
use crate::wait::EngineInterest;

/// Size of the read buffer.
pub(super) const READ_BUFFER_BYTES: usize = 16 << 10;
/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a response body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// A complete response has arrived or, for a connection probe, the connection is established.
    Answered {
        /// Whether the connection may be used again.
        reusable: bool,
    },
    /// The connection was refused or broke, the response was invalid, or the call timed out.
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
    /// Bytes of the request that are not written yet.
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

    /// The socket, and the readiness to wait for.
    pub(super) fn interest(&self) -> (&TcpStream, EngineInterest) {
        let writes = !self.connected || !self.unsent.is_empty();
        (&self.stream, if writes { EngineInterest::Write } else { EngineInterest::Read })
    }

    /// Connects, writes and reads as far as possible without blocking. Returns the outcome once the call has
    /// ended.
    pub(super) fn advance(&mut self, buffer: &mut [u8]) -> Option<CallOutcome> {
        if !self.connected {
            let Ok(None) = self.stream.take_error() else { return Some(CallOutcome::Failed) };
            self.connected = true;
        }
        if matches!(self.call, BackgroundCall::ConnectionProbe { .. }) {
            return Some(CallOutcome::Answered { reusable: true });
        }
        if self.write().is_err() {
            return Some(CallOutcome::Failed);
        }
        self.read(buffer)
    }

    /// Writes until the request is sent completely or the socket would block.
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

    /// Reads until the response is complete or the socket would block.
    fn read(&mut self, buffer: &mut [u8]) -> Option<CallOutcome> {
        loop {
            match self.reader.next_part() {
                Ok(Some(Part::Head(status, _))) => self.status = status,
                Ok(Some(Part::Body(bytes))) if self.body.len() + bytes.len() <= MAX_BODY_BYTES => {
                    self.body.extend(bytes);
                }
                Ok(Some(Part::Body(_))) | Err(_) => return Some(CallOutcome::Failed),
                Ok(Some(Part::End(reusable))) => {
                    return Some(CallOutcome::Answered { reusable: reusable && self.unsent.is_empty() });
                }
                Ok(None) => match self.stream.read(buffer) {
                    Ok(0) if self.reader.closed().is_ok() => {
                        return Some(CallOutcome::Answered { reusable: false });
                    }
                    Ok(count) if count > 0 => self.reader.push(&buffer[..count]),
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                    _ => return Some(CallOutcome::Failed),
                },
            }
        }
    }
}

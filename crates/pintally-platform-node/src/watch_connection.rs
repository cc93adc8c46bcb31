//! A connection on which discovery is watched: its request and the framing of its response.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use pintally_http::{HttpError, Part, ResponseReader};
use pintally_platform::{
    encode_watch, EndpointList, EndpointListError, ObjectTooLong, WatchDecoder, MAX_HEAD_BYTES,
};
use thiserror::Error;

use crate::event_source::{EventSource, WatchId};
use crate::poller::{self, EventFlags, Poller};
use crate::syscall::is_retryable;

/// A message from discovery.
pub(crate) enum WatchMessage {
    /// A list, complete or with changes only.
    List(EndpointList),
    /// A line without a list: nothing has changed.
    Heartbeat,
}

/// Why a watch has failed.
#[derive(Debug, Error)]
pub(crate) enum WatchError {
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    #[error("the response is malformed: {0}")]
    Http(#[from] HttpError),
    #[error("the watch ended with status {0}")]
    Ended(u16),
    #[error(transparent)]
    ObjectTooLong(#[from] ObjectTooLong),
    #[error("the endpoint list is invalid: {0}")]
    List(#[from] EndpointListError),
}

/// An open watch.
pub(crate) struct WatchConnection {
    id: WatchId,
    stream: TcpStream,
    is_connected: bool,
    /// The part of the request that has not been written.
    output: Vec<u8>,
    reader: ResponseReader,
    decoder: WatchDecoder,
    status: u16,
}

impl WatchConnection {
    /// Opens a watch that resumes after `revision`.
    pub(crate) fn open(
        poller: &Poller,
        id: WatchId,
        address: SocketAddr,
        revision: Option<u64>,
    ) -> io::Result<WatchConnection> {
        let socket = poller::socket(address)?;
        poller::connect(&socket, address)?;
        let stream: TcpStream = socket.into();
        poller.add(&stream, EventSource::EndpointWatch(id).token(), EventFlags::OUT)?;
        Ok(WatchConnection {
            id,
            stream,
            is_connected: false,
            output: encode_watch(revision),
            reader: ResponseReader::new(MAX_HEAD_BYTES),
            decoder: WatchDecoder::default(),
            status: 0,
        })
    }

    pub(crate) fn id(&self) -> WatchId {
        self.id
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Handles a readiness event: writes the request, then reads the response into the buffer.
    pub(crate) fn handle_event(
        &mut self,
        poller: &Poller,
        events: EventFlags,
        buffer: &mut [u8],
    ) -> Result<(), WatchError> {
        if !self.is_connected {
            self.check_connected(events)?;
        }
        if self.output.is_empty() {
            return self.read_response(buffer);
        }
        Ok(self.write_request(poller)?)
    }

    fn check_connected(&mut self, events: EventFlags) -> io::Result<()> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        if events.intersects(EventFlags::ERR | EventFlags::HUP) {
            return Err(ErrorKind::ConnectionReset.into());
        }
        self.is_connected = true;
        Ok(())
    }

    /// Writes the rest of the request; once all of it is written, waits for the response.
    fn write_request(&mut self, poller: &Poller) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => drop(self.output.drain(..written)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        let token = EventSource::EndpointWatch(self.id).token();
        poller.modify(&self.stream, token, EventFlags::IN | EventFlags::RDHUP)
    }

    fn read_response(&mut self, buffer: &mut [u8]) -> Result<(), WatchError> {
        match self.stream.read(buffer) {
            Ok(0) => Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
            Ok(count) => {
                self.reader.push(&buffer[..count]);
                Ok(())
            }
            Err(e) if is_retryable(&e) => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// The next message in the bytes that were read.
    pub(crate) fn next_message(&mut self) -> Result<Option<WatchMessage>, WatchError> {
        loop {
            if let Some(object) = self.decoder.next_object() {
                return Ok(Some(WatchMessage::List(EndpointList::parse(&object)?)));
            }
            if self.decoder.take_heartbeat() {
                return Ok(Some(WatchMessage::Heartbeat));
            }
            match self.reader.next_part()? {
                None => return Ok(None),
                Some(Part::Head(status, _)) => self.status = status,
                Some(Part::End(_)) => return Err(WatchError::Ended(self.status)),
                Some(Part::Body(_)) if self.status != 200 => {}
                Some(Part::Body(bytes)) => self.decoder.push(&bytes)?,
            }
        }
    }
}

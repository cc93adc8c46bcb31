//! The connection of the endpoint watch.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use pintally::interface::Micros;
use pintally_http::{HttpError, Part, ResponseReader};
use pintally_platform::{
    encode_watch, EndpointList, EndpointListError, ObjectTooLong, WatchDecoder, MAX_HEAD_BYTES,
};
use thiserror::Error;

use crate::event_source::EventSource;
use crate::node::Node;
use crate::poller::{self, EventFlags, Poller};
use crate::syscall::is_retryable;

/// The state of an open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchState {
    /// The connection is being established.
    Connecting,
    /// The connection is established; no byte of the response has been received.
    Connected,
    /// Part of the response has been received.
    Responding,
}

/// An open watch.
pub(crate) struct WatchConnection {
    stream: TcpStream,
    pub(crate) state: WatchState,
    /// The part of the request that has not been written.
    output: Vec<u8>,
    reader: ResponseReader,
    decoder: WatchDecoder,
    status: u16,
    /// When the watch was opened, connected, or last received bytes.
    pub(crate) last_active: Micros,
}

/// Why a watch's response is invalid.
#[derive(Debug, Error)]
enum WatchError {
    #[error("the response is malformed: {0}")]
    Http(#[from] HttpError),
    #[error("the watch ended with status {0}")]
    Ended(u16),
    #[error(transparent)]
    ObjectTooLong(#[from] ObjectTooLong),
    #[error("the endpoint list is invalid: {0}")]
    List(#[from] EndpointListError),
}

/// The parts of a watch's response that a read has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchProgress {
    HeadOnly,
    Body,
}

impl WatchConnection {
    /// Opens a watch that resumes after `revision`.
    pub(crate) fn open(
        poller: &Poller,
        address: SocketAddr,
        revision: Option<u64>,
        now: Micros,
    ) -> io::Result<WatchConnection> {
        let socket = poller::socket(address)?;
        poller::connect(&socket, address)?;
        let stream: TcpStream = socket.into();
        poller.add(&stream, EventSource::EndpointWatch.token(), EventFlags::OUT)?;
        Ok(WatchConnection {
            stream,
            state: WatchState::Connecting,
            output: encode_watch(revision),
            reader: ResponseReader::new(MAX_HEAD_BYTES),
            decoder: WatchDecoder::default(),
            status: 0,
            last_active: now,
        })
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
        poller.modify(&self.stream, EventSource::EndpointWatch.token(), EventFlags::IN | EventFlags::RDHUP)
    }
}

impl Node {
    pub(crate) fn handle_watch_event(&mut self, events: EventFlags) {
        let now = self.clock.now();
        let Some(connection) = &mut self.watch.connection else { return };
        if connection.state == WatchState::Connecting {
            let has_failed = !matches!(connection.stream.take_error(), Ok(None));
            if has_failed || events.intersects(EventFlags::ERR | EventFlags::HUP) {
                return self.watch.fail(now);
            }
            connection.state = WatchState::Connected;
            connection.last_active = now;
        }
        if connection.output.is_empty() {
            return self.read_watch(now);
        }
        if connection.write_request(&self.poller).is_err() {
            self.watch.fail(now);
        }
    }

    fn read_watch(&mut self, now: Micros) {
        let Some(connection) = &mut self.watch.connection else { return };
        let count = match connection.stream.read(&mut self.read_buffer) {
            Ok(0) => return self.watch.fail(now),
            Ok(count) => count,
            Err(e) if is_retryable(&e) => return,
            Err(_) => return self.watch.fail(now),
        };
        connection.last_active = now;
        connection.state = WatchState::Responding;
        connection.reader.push(&self.read_buffer[..count]);
        self.watch.reset_first_response_timeout();
        match self.handle_watch_parts() {
            // A message confirms that the list is current up to now; the head of a response alone does not.
            Ok(WatchProgress::Body) if self.watch.list.revision().is_some() => {
                self.watch.last_message = Some(now);
            }
            Ok(_) => {}
            Err(error) => {
                if self.log_limiter.allows(now) {
                    tracing::warn!(reason = %error, address = %self.watch.address, "endpoint watch failed");
                }
                self.watch.fail(now);
            }
        }
    }

    /// Handles the received parts of the response.
    fn handle_watch_parts(&mut self) -> Result<WatchProgress, WatchError> {
        let mut progress = WatchProgress::HeadOnly;
        loop {
            let Some(connection) = &mut self.watch.connection else { return Ok(progress) };
            match connection.reader.next_part()? {
                None => return Ok(progress),
                Some(Part::Head(status, _)) => connection.status = status,
                Some(Part::End(_)) => return Err(WatchError::Ended(connection.status)),
                Some(Part::Body(_)) if connection.status != 200 => {}
                Some(Part::Body(bytes)) => {
                    progress = WatchProgress::Body;
                    connection.decoder.push(&bytes)?;
                    self.apply_watch_objects()?;
                }
            }
        }
    }

    fn apply_watch_objects(&mut self) -> Result<(), WatchError> {
        while let Some(object) = self.watch.connection.as_mut().and_then(|open| open.decoder.next_object()) {
            let list = EndpointList::parse(&object)?;
            self.watch.reset_backoff();
            self.apply_list(list, self.watch.last_message);
        }
        Ok(())
    }
}

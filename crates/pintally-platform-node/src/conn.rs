//! What the loop keeps of each connection.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use pintally::interface::{Attempt, EngineId, Micros, RequestId};
use pintally_engine::Step;
use pintally_host::RequestNumber;
use pintally_http::RequestReader;
use pintally_platform::{EngineResponseReader, Phase};

use crate::arrivals::Arrivals;
use crate::poll::Flags;

slotmap::new_key_type! {
    /// A connection's number; one of a closed connection is not used again.
    pub(crate) struct Key;
}

/// A connection.
pub(crate) enum Conn {
    Client(Box<Client>),
    Engine(Box<Engine>),
}

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A request is awaited, or coming in.
    Open,
    /// A request is held.
    Busy(RequestNumber),
    /// What is written goes out; then the connection ends.
    Closing,
}

/// A client's connection.
pub(crate) struct Client {
    pub(crate) stream: TcpStream,
    pub(crate) reader: RequestReader,
    pub(crate) arrivals: Arrivals,
    pub(crate) out: Vec<u8>,
    /// How much of `out` has gone.
    pub(crate) gone: usize,
    pub(crate) stage: Stage,
    /// The head of a streamed answer has gone out.
    pub(crate) streaming: bool,
    /// The connection ends behind the answer.
    pub(crate) last: bool,
    /// Nothing more is written; what comes is dropped until the client closes.
    pub(crate) shut: bool,
    /// It is closed as soon as nothing is owed on it and nothing has come.
    pub(crate) ends_at_rest: bool,
    /// It stands among those that may have a request ready.
    pub(crate) ready: bool,
    /// Good requests that it has brought.
    pub(crate) served: u64,
    /// When it connected, when the request that comes in began, when it was last of use, and since
    /// when it has not taken what was written.
    pub(crate) since: Micros,
    pub(crate) used: Micros,
    pub(crate) stuck: Option<Micros>,
    /// Bytes of what has come in and is not handed on, as last counted.
    pub(crate) counted: usize,
    pub(crate) flags: Flags,
}

/// Bytes that are read ahead of what is looked at.
const READ_AHEAD: usize = 64 << 10;
/// Written and not taken by a slow client: above the first nothing more is read for it, and none of its further
/// requests is looked at; below the second both go on.
pub(crate) const SLOW: usize = 32 << 10;
pub(crate) const SLOW_NO_MORE: usize = 8 << 10;

impl Client {
    /// Whether more is read: behind a request that is held too, so that it is known when that came. Guards against
    /// one client that fills the memory with what it sends at full speed.
    pub(crate) fn reads(&self) -> bool {
        self.stage == Stage::Closing || self.reader.unparsed_bytes() < READ_AHEAD
    }

    /// Whether its next request may be looked at. Guards against one client that fills the memory with answers
    /// that it does not read.
    pub(crate) fn takes_answers(&self) -> bool {
        self.unwritten() <= SLOW
    }

    /// Whether an event says that the client has gone. Its end of sending is taken for its going (a
    /// half-closed connection is not served), also where bytes before it have not been read: a request
    /// among them must not begin, as nobody waits for it. Only the end of an answer is still written out.
    pub(crate) fn has_left(&self, flags: Flags) -> bool {
        let ended = flags.contains(Flags::RDHUP) && self.stage != Stage::Closing;
        ended || flags.intersects(Flags::ERR | Flags::HUP)
    }
}

/// What an engine's connection is used for.
pub(crate) enum Work {
    Attempt {
        ticket: RequestNumber,
        attempt: Attempt,
        step: Step,
        timeout_at: Micros,
        begun: bool,
    },
    Release {
        id: RequestId,
        engine: EngineId,
        until: Micros,
    },
    /// Nothing is written: that it comes up shows that the engine's machine is there.
    ConnectionProbe {
        ticket: RequestNumber,
        attempt: Attempt,
    },
}

/// A connection to an engine.
pub(crate) struct Engine {
    pub(crate) stream: TcpStream,
    pub(crate) address: SocketAddr,
    /// The engine for which it was last used.
    pub(crate) engine: EngineId,
    /// It is up.
    pub(crate) up: bool,
    /// By when it has to be.
    pub(crate) connect_by: Micros,
    /// What is written: a head and a body, and how much of both has gone.
    pub(crate) head: Vec<u8>,
    pub(crate) body: Option<Rc<[u8]>>,
    pub(crate) gone: usize,
    pub(crate) reader: EngineResponseReader,
    pub(crate) work: Option<Work>,
    /// How long it had been idle before that work; none if it was opened for it.
    pub(crate) idle: Option<Micros>,
    /// When something last came or it was last of use.
    pub(crate) last: Micros,
    /// Its client is slow: nothing is read for now.
    pub(crate) paused: bool,
    /// When its stream last came forward by an event, or could not for its client.
    pub(crate) progressed: Micros,
    pub(crate) flags: Flags,
    /// When the loop looks at it, if nothing happens before.
    pub(crate) due: Micros,
}

impl Engine {
    /// Whether the request's last byte has been written.
    pub(crate) fn written(&self) -> bool {
        self.up && self.gone == self.head.len() + self.body.as_ref().map_or(0, |b| b.len())
    }

    /// How far the request has come, for the table of outcomes.
    pub(crate) fn phase(&self) -> Phase {
        match self.written() {
            true => Phase::Written,
            false => Phase::Unwritten,
        }
    }
}

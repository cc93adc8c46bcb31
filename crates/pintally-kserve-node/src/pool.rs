//! The pool of connections to engines: reused between attempts, bounded in number for each engine.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::net::RecvFlags;
use socket2::{Domain, Protocol, Socket, Type};

use crate::sync::lock;

/// Idle connections to one engine.
const MAX_IDLE_PER_ENGINE: usize = 64;
/// The least time for a connect: the system takes no shorter one.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// Connections to one engine.
#[derive(Default)]
struct EngineConnections {
    /// Idle connections, and since when.
    idle: Vec<(TcpStream, Instant)>,
    /// Attempts in flight.
    in_use: usize,
}

impl EngineConnections {
    fn add_idle(&mut self, stream: TcpStream) {
        if self.idle.len() < MAX_IDLE_PER_ENGINE {
            self.idle.push((stream, Instant::now()));
        }
    }

    /// The latest idle connection that is still open; those that are not are closed.
    fn take_idle(&mut self) -> Option<TcpStream> {
        std::iter::from_fn(|| self.idle.pop()).map(|(stream, _)| stream).find(is_open)
    }

    fn close_expired(&mut self, keep_alive: Duration) {
        self.idle.retain(|(_, since)| since.elapsed() < keep_alive);
    }
}

/// Whether an idle connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// An idle one if there is one.
    Idle,
    /// Only one that is opened for the purpose.
    Never,
}

/// A connection for a background call.
pub(crate) struct CallConnection {
    pub(crate) stream: TcpStream,
    /// Whether it is established, or about to be.
    pub(crate) connected: bool,
}

/// Connections by where engines listen.
pub(crate) struct Pool {
    source: Option<IpAddr>,
    max_streams_per_engine: usize,
    keep_alive: Duration,
    engines: Mutex<HashMap<SocketAddr, EngineConnections>>,
}

/// Why there is no connection.
#[derive(Debug)]
pub(crate) enum PoolError {
    /// As many attempts as allowed are in flight at this engine.
    LimitReached,
    /// It could not be established.
    Connect(io::Error),
}

impl Pool {
    pub(crate) fn new(source: Option<IpAddr>, max_streams_per_engine: usize, keep_alive: Duration) -> Pool {
        Pool { source, max_streams_per_engine, keep_alive, engines: Mutex::default() }
    }

    fn with_engine<T>(&self, address: SocketAddr, f: impl FnOnce(&mut EngineConnections) -> T) -> T {
        f(lock(&self.engines).entry(address).or_default())
    }

    /// A connection for an attempt that does not block, idle or new. It counts as in use until it is
    /// [returned](Pool::give_back).
    pub(crate) fn take(&self, address: SocketAddr, timeout: Duration) -> Result<TcpStream, PoolError> {
        let idle = self.with_engine(address, |engine| {
            if engine.in_use >= self.max_streams_per_engine {
                return Err(PoolError::LimitReached);
            }
            engine.in_use += 1;
            engine.close_expired(self.keep_alive);
            Ok(engine.take_idle())
        })?;
        let stream = match idle {
            Some(stream) => Ok(stream),
            None => self.connect(address, timeout),
        };
        stream.map_err(|error| {
            self.with_engine(address, |engine| engine.in_use -= 1);
            PoolError::Connect(error)
        })
    }

    fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let socket = self.socket(address)?;
        socket.connect_timeout(&address.into(), timeout.max(MIN_CONNECT_TIMEOUT))?;
        let stream: TcpStream = socket.into();
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        Ok(stream)
    }

    fn socket(&self, address: SocketAddr) -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        if let Some(source) = self.source {
            socket.bind(&SocketAddr::new(source, 0).into())?;
        }
        Ok(socket)
    }

    /// A connection for a background call, beside those of attempts: an idle one, if one may be used, or
    /// one that is about to be established.
    pub(crate) fn connect_for_call(&self, address: SocketAddr, reuse: Reuse) -> io::Result<CallConnection> {
        if reuse == Reuse::Idle {
            if let Some(stream) = self.with_engine(address, EngineConnections::take_idle) {
                return Ok(CallConnection { stream, connected: true });
            }
        }
        let socket = self.socket(address)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(e) => return Err(e),
        }
        let stream: TcpStream = socket.into();
        stream.set_nodelay(true)?;
        Ok(CallConnection { stream, connected: false })
    }

    /// Adds a background call's connection that may be used again.
    pub(crate) fn add_idle(&self, address: SocketAddr, stream: TcpStream) {
        self.with_engine(address, |engine| engine.add_idle(stream));
    }

    /// An attempt has ended; its connection comes back if it may be used again.
    pub(crate) fn give_back(&self, address: SocketAddr, stream: Option<TcpStream>) {
        self.with_engine(address, |engine| {
            engine.in_use = engine.in_use.saturating_sub(1);
            if let Some(stream) = stream {
                engine.add_idle(stream);
            }
        });
    }

    /// Closes what has been idle too long and forgets engines without connections.
    pub(crate) fn close_expired(&self) {
        lock(&self.engines).retain(|_, engine| {
            engine.close_expired(self.keep_alive);
            engine.in_use > 0 || !engine.idle.is_empty()
        });
    }
}

/// Whether an idle connection is still open and silent. Guards against sending into a connection
/// that the engine has closed, which would leave open whether the request has run.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN))
}

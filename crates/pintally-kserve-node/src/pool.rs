//! The pool of connections to engines. Connections are reused between attempts, and their number is limited
//! for each engine.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::net::RecvFlags;
use socket2::{Domain, Protocol, Socket, Type};

use crate::sync::lock;

/// Maximum number of idle connections to one engine.
const MAX_IDLE_PER_ENGINE: usize = 64;
/// Minimum timeout of a connect, so that a shorter one is not passed to the system, which does not support
/// it.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// Connections to one engine.
#[derive(Default)]
struct EngineConnections {
    /// Idle connections, with the time since when they are idle.
    idle: Vec<(TcpStream, Instant)>,
    /// The number of connections in use by attempts.
    in_use: usize,
}

impl EngineConnections {
    fn add_idle(&mut self, stream: TcpStream) {
        if self.idle.len() < MAX_IDLE_PER_ENGINE {
            self.idle.push((stream, Instant::now()));
        }
    }

    /// Takes the most recently used idle connection that is still open. Drops closed ones on the way.
    fn take_idle(&mut self) -> Option<TcpStream> {
        std::iter::from_fn(|| self.idle.pop()).map(|(stream, _)| stream).find(is_open)
    }

    fn close_expired(&mut self, keep_alive: Duration) {
        self.idle.retain(|(_, since)| since.elapsed() < keep_alive);
    }
}

/// Whether a background call may reuse an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Use an idle connection if there is one.
    Idle,
    /// Open a new connection.
    Never,
}

/// A connection for a background call.
pub(crate) struct CallConnection {
    pub(crate) stream: TcpStream,
    /// Whether the connection is established. If not, the connect is in progress.
    pub(crate) connected: bool,
}

/// The connections to all engines, by address.
pub(crate) struct Pool {
    /// The local address from which connections are opened, if the settings name one.
    source_address: Option<IpAddr>,
    max_streams_per_engine: usize,
    keep_alive: Duration,
    engines: Mutex<HashMap<SocketAddr, EngineConnections>>,
}

/// Why the pool has no connection for an attempt.
#[derive(Debug)]
pub(crate) enum PoolError {
    /// The maximum number of attempts is in flight at the engine.
    LimitReached,
    /// A connection could not be established.
    Connect(io::Error),
}

impl Pool {
    pub(crate) fn new(
        source_address: Option<IpAddr>,
        max_streams_per_engine: usize,
        keep_alive: Duration,
    ) -> Pool {
        Pool { source_address, max_streams_per_engine, keep_alive, engines: Mutex::default() }
    }

    fn with_engine<T>(&self, address: SocketAddr, f: impl FnOnce(&mut EngineConnections) -> T) -> T {
        f(lock(&self.engines).entry(address).or_default())
    }

    /// Returns an idle or new non-blocking connection for an attempt. It counts as in use until
    /// [`Pool::return_connection`].
    pub(crate) fn acquire(&self, address: SocketAddr, timeout: Duration) -> Result<TcpStream, PoolError> {
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
        if let Some(source_address) = self.source_address {
            socket.bind(&SocketAddr::new(source_address, 0).into())?;
        }
        Ok(socket)
    }

    /// Returns a connection for a background call: an idle one, if it may be reused, or a new one whose
    /// connect is in progress. It does not count against the limit on attempts.
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

    /// Returns the reusable connection of a background call to the pool.
    pub(crate) fn add_idle(&self, address: SocketAddr, stream: TcpStream) {
        self.with_engine(address, |engine| engine.add_idle(stream));
    }

    /// Records that an attempt has ended, and takes back its connection if that is reusable.
    pub(crate) fn return_connection(&self, address: SocketAddr, stream: Option<TcpStream>) {
        self.with_engine(address, |engine| {
            engine.in_use = engine.in_use.saturating_sub(1);
            if let Some(stream) = stream {
                engine.add_idle(stream);
            }
        });
    }

    /// Closes connections that have been idle for too long, and removes engines without connections.
    pub(crate) fn close_expired(&self) {
        lock(&self.engines).retain(|_, engine| {
            engine.close_expired(self.keep_alive);
            engine.in_use > 0 || !engine.idle.is_empty()
        });
    }
}

/// Whether an idle connection is still open and has no unread bytes. Guards against sending a request on a
/// connection that the engine has closed, after which it would be unknown whether the request has run.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN))
}

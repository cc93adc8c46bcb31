//! Connections to engines: kept open between attempts, bounded in number for each engine.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rustix::net::RecvFlags;
use socket2::{Domain, Protocol, Socket, Type};

/// Idle connections kept for each engine.
const MAX_IDLE: usize = 64;

#[derive(Default)]
struct Line {
    idle: Vec<(TcpStream, Instant)>,
    used: usize,
}

impl Line {
    fn keep(&mut self, stream: TcpStream) {
        if self.idle.len() < MAX_IDLE {
            self.idle.push((stream, Instant::now()));
        }
    }
}

/// Connections by where engines listen.
pub(crate) struct Pool {
    source: Option<IpAddr>,
    streams: usize,
    keep_alive: Duration,
    lines: Mutex<HashMap<SocketAddr, Line>>,
}

/// Why there is no connection.
#[derive(Debug)]
pub(crate) enum NoConnection {
    /// As many attempts as allowed are out at this engine.
    Limit,
    /// It could not be had.
    Io,
}

impl Pool {
    pub(crate) fn new(source: Option<IpAddr>, streams: usize, keep_alive: Duration) -> Pool {
        Pool { source, streams, keep_alive, lines: Mutex::default() }
    }

    fn line<T>(&self, address: SocketAddr, f: impl FnOnce(&mut Line) -> T) -> T {
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        f(lines.entry(address).or_default())
    }

    /// A connection that does not block, idle or new.
    pub(crate) fn take(&self, address: SocketAddr, within: Duration) -> Result<TcpStream, NoConnection> {
        let idle = self.line(address, |line| {
            if line.used >= self.streams {
                return Err(NoConnection::Limit);
            }
            line.used += 1;
            let keep_alive = self.keep_alive;
            line.idle.retain(|(_, since)| since.elapsed() < keep_alive);
            Ok(std::iter::from_fn(|| line.idle.pop()).map(|(s, _)| s).find(is_open))
        })?;
        let stream = match idle {
            Some(stream) => Ok(stream),
            None => self.connect(address, within),
        };
        stream.map_err(|_| {
            self.line(address, |line| line.used -= 1);
            NoConnection::Io
        })
    }

    fn connect(&self, address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
        let socket = self.socket(address)?;
        socket.connect_timeout(&address.into(), within.max(Duration::from_millis(1)))?;
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

    /// A connection beside those of attempts, and whether it is up: an idle one, if one may be used, or
    /// one that is about to come up.
    pub(crate) fn for_errand(&self, address: SocketAddr, idle: bool) -> io::Result<(TcpStream, bool)> {
        let pop = |line: &mut Line| std::iter::from_fn(|| line.idle.pop()).map(|(s, _)| s).find(is_open);
        let found = if idle { self.line(address, pop) } else { None };
        if let Some(stream) = found {
            return Ok((stream, true));
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
        Ok((stream, false))
    }

    /// A connection of an errand may be used again.
    pub(crate) fn keep(&self, address: SocketAddr, stream: TcpStream) {
        self.line(address, |line| line.keep(stream));
    }

    /// An attempt is over; its connection comes back if it may be used again.
    pub(crate) fn give_back(&self, address: SocketAddr, stream: Option<TcpStream>) {
        self.line(address, |line| {
            line.used = line.used.saturating_sub(1);
            if let Some(stream) = stream {
                line.keep(stream);
            }
        });
    }

    /// Closes what has been idle too long and forgets engines without connections.
    pub(crate) fn sweep(&self) {
        let keep_alive = self.keep_alive;
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        lines.retain(|_, line| {
            line.idle.retain(|(_, since)| since.elapsed() < keep_alive);
            line.used > 0 || !line.idle.is_empty()
        });
    }
}

/// Whether an idle connection is still open and silent. Guards against sending into a connection
/// that the engine has closed, which would leave open whether the request has run.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN))
}

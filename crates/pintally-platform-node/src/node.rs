//! The node: its parts, and how it starts.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pintally::interface::Micros;
use pintally_config::NodeSettings;
use pintally_host::{Host, ReleaseScope};
use pintally_platform::{Configuration, ConfigurationError};
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};
use thiserror::Error;

use crate::clients::Clients;
use crate::clock::Clock;
use crate::connection::{Connection, ConnectionKey};
use crate::endpoint_watch::EndpointWatch;
use crate::engines::Engines;
use crate::event_source::EventSource;
use crate::host_queue::HostQueue;
use crate::listener::Acceptor;
use crate::log_limiter::LogLimiter;
use crate::poller::{EventFlags, Poller};
use crate::process_memory::MemoryLog;
use crate::reload::Reload;
use crate::requests::Requests;
use crate::shutdown::Shutdown;
use crate::signals::Signals;
use crate::socket_buffers::SocketBuffers;
use crate::syscall::retry_during_startup;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Size of the buffer into which sockets are read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Why a node fails to start or stops with an error.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signal handlers cannot be installed.
    #[error("signals: {0}")]
    Signals(std::io::Error),
    /// The configuration file cannot be read.
    #[error("{file}: {error}", file = .file.display())]
    ReadConfiguration {
        /// The file.
        file: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// The configuration is invalid.
    #[error("{file}: {error}", file = .file.display())]
    Configuration {
        /// The file.
        file: PathBuf,
        /// What is invalid.
        error: ConfigurationError,
    },
    /// The listener cannot be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// The epoll instance cannot be set up.
    #[error("epoll: {0}")]
    Epoll(std::io::Error),
    /// The event loop has failed.
    #[error("event loop: {0}")]
    EventLoop(std::io::Error),
}

/// A node: the host, its sockets, and the state that connects them.
pub(crate) struct Node {
    pub(crate) poller: Poller,
    pub(crate) clock: Clock,
    pub(crate) config: Configuration,
    pub(crate) config_file: PathBuf,
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) host: Host,
    pub(crate) host_queue: HostQueue,
    pub(crate) acceptor: Acceptor,
    pub(crate) signals: Signals,
    pub(crate) watch: EndpointWatch,
    pub(crate) connections: SlotMap<ConnectionKey, Connection>,
    pub(crate) clients: Clients,
    pub(crate) engines: Engines,
    pub(crate) requests: Requests,
    pub(crate) read_buffer: Vec<u8>,
    pub(crate) socket_buffers: SocketBuffers,
    pub(crate) log_limiter: LogLimiter,
    pub(crate) memory_log: MemoryLog,
    pub(crate) started_at: Micros,
    /// When the last wait for events returned.
    pub(crate) last_wait_ended: Micros,
    /// The events that are being handled have occurred after this time.
    pub(crate) events_since: Micros,
    /// Number of waits in a row that have failed.
    pub(crate) failed_waits: u32,
    pub(crate) last_cleanup: Micros,
    pub(crate) reload: Reload,
    pub(crate) shutdown: Shutdown,
}

/// Runs a node until a signal stops it and the graceful shutdown is complete; `listen` overrides the address
/// in the configuration.
///
/// # Errors
///
/// If the configuration is invalid, or an essential system call fails.
pub fn start(config_file: PathBuf, listen: Option<SocketAddr>) -> Result<(), StartError> {
    // Signal handlers are installed first, so that no signal to stop is lost.
    let signals = retry_during_startup("setting up signals", Signals::new).map_err(StartError::Signals)?;
    let config = read_configuration(&config_file)?;
    let address = listen.unwrap_or(config.listen);
    let buffers = SocketBuffers::new(config.socket_buffer_bytes(), config.stream_buffer_bytes());
    let listener = retry_during_startup("listening", || listen_at(address, buffers))
        .map_err(|error| StartError::Listen { address, error })?;
    let poller =
        register_sources(&listener, &signals, config.usable_descriptors()).map_err(StartError::Epoll)?;
    let mut node = Node::new(config, config_file, poller, listener, signals, buffers);
    let limits = node.config.limits;
    tracing::info!(name = %node.config.name, %address, sockets = limits.sockets, memory_mb = limits.memory_mb,
        cores = limits.cores, "node started");
    node.apply_last_known_list();
    // Opens the watch before the first event is handled. Guards against sends based on an outdated list.
    node.maintain_watch(node.started_at);
    node.run().map_err(StartError::EventLoop)
}

fn read_configuration(file: &Path) -> Result<Configuration, StartError> {
    let text = retry_during_startup("reading the configuration", || std::fs::read_to_string(file))
        .map_err(|error| StartError::ReadConfiguration { file: file.to_path_buf(), error })?;
    Configuration::parse(&text).map_err(|error| StartError::Configuration { file: file.to_path_buf(), error })
}

/// Creates a poller, and registers the listener and both signal sockets.
fn register_sources(
    listener: &TcpListener,
    signals: &Signals,
    max_sources: usize,
) -> std::io::Result<Poller> {
    // One wait returns the events of all sources: what it does not return has not occurred before.
    let poller = retry_during_startup("epoll", || Poller::new(max_sources))?;
    for (fd, source) in [
        (listener.as_fd(), EventSource::Listener),
        (signals.stop_fd(), EventSource::Signals),
        (signals.reload_fd(), EventSource::Signals),
    ] {
        retry_during_startup("epoll", || poller.add(fd, source.token(), EventFlags::IN))?;
    }
    Ok(poller)
}

fn listen_at(address: SocketAddr, buffers: SocketBuffers) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted node can bind the address while connections of its killed predecessor remain.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    buffers.apply_to_listener(&socket);
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

impl Node {
    fn new(
        config: Configuration,
        config_file: PathBuf,
        poller: Poller,
        listener: TcpListener,
        signals: Signals,
        socket_buffers: SocketBuffers,
    ) -> Node {
        let settings = Arc::new(config.node_settings());
        let clock = Clock::new();
        let now = clock.now();
        Node {
            poller,
            clock,
            host: Host::new(settings.clone(), config.seed).with_release_scope(ReleaseScope::Request),
            host_queue: HostQueue::default(),
            acceptor: Acceptor::new(listener),
            signals,
            watch: EndpointWatch::new(
                config.discovery,
                now,
                config.settings.transport.drain_grace,
                settings.core.slow_start_duration,
            ),
            connections: SlotMap::with_key(),
            clients: Clients::default(),
            engines: Engines::new(settings.limits.keep_alive),
            requests: Requests::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            socket_buffers,
            log_limiter: LogLimiter::default(),
            memory_log: MemoryLog::default(),
            started_at: now,
            last_wait_ended: 0,
            events_since: 0,
            failed_waits: 0,
            last_cleanup: now,
            reload: Reload::default(),
            shutdown: Shutdown::default(),
            config,
            config_file,
            settings,
        }
    }
}

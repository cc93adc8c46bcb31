//! The node: what it owns, and how it starts.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use pintally::interface::{Attempt, EngineId, Micros};
use pintally_config::NodeSettings;
use pintally_guards::{CloseReason, Counts, Denials};
use pintally_host::{Command, Host, Input, ReleaseScope, RequestNumber};
use pintally_platform::Configuration;
use slotmap::{KeyData, SlotMap};
use socket2::{Domain, Protocol, Socket, Type};

use crate::acceptor::Accepting;
use crate::clock::Clock;
use crate::conn::{Conn, Key};
use crate::list::Watch;
use crate::log::Quota;
use crate::poll::{Flags, Poll};
use crate::pool::{Keep, Pool};
use crate::reload::Reload;
use crate::signals::Signals;
use crate::system::at_start;

/// Tokens of what is no connection; keys of connections are above them.
pub(crate) const LISTENER: u64 = 0;
pub(crate) const SIGNALS: u64 = 1;
pub(crate) const WATCH: u64 = 2;

/// What something has happened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Listener,
    Signals,
    Watch,
    Connection(Key),
}

impl Source {
    /// The only reading of a token. Guards against a reserved one being taken for a key: slotmap reads any
    /// number as some key, and these as a node's first connections.
    pub(crate) fn of(token: u64) -> Source {
        match token {
            LISTENER => Source::Listener,
            SIGNALS => Source::Signals,
            WATCH => Source::Watch,
            key => Source::Connection(KeyData::from_ffi(key).into()),
        }
    }
}

/// Descriptors that are neither clients nor engines: standard ones, epoll, listener, signals, watch,
/// and a few for files.
pub(crate) const OWN_DESCRIPTORS: usize = 20;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Why a node does not start.
#[derive(Debug)]
pub struct StartError(pub String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

/// What the loop keeps of a request until nothing more can come for it.
pub(crate) struct Job {
    pub(crate) client: Option<Key>,
    pub(crate) head: String,
    pub(crate) body: Rc<[u8]>,
    pub(crate) out: Option<(Attempt, Key)>,
}

/// What has passed on the sockets of one engine; counts only grow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) sent: u64,
    pub(crate) begun: u64,
    pub(crate) served: u64,
    pub(crate) read: u64,
    pub(crate) turned_away: u64,
    pub(crate) failed: u64,
    pub(crate) connections: u64,
    /// Attempts that are out now.
    pub(crate) out: u64,
}

/// A node.
pub(crate) struct Node {
    pub(crate) poll: Poll,
    pub(crate) clock: Clock,
    pub(crate) config: Configuration,
    pub(crate) config_file: PathBuf,
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) host: Host,
    pub(crate) listener: Option<TcpListener>,
    pub(crate) accepting: Accepting,
    pub(crate) signals: Signals,
    pub(crate) watch: Watch,
    pub(crate) conns: SlotMap<Key, Conn>,
    pub(crate) clients: usize,
    pub(crate) pool: Pool,
    pub(crate) keep: Keep,
    pub(crate) due: BTreeSet<(Micros, Key)>,
    pub(crate) jobs: HashMap<RequestNumber, Job>,
    pub(crate) next_ticket: RequestNumber,
    /// Bytes of bodies that are held, and of requests that come in.
    pub(crate) bytes: usize,
    pub(crate) inputs: VecDeque<Input>,
    /// Ends of attempts that were given up, in the order in which the host is to hear of them, and when.
    pub(crate) given_up: VecDeque<(Micros, Input)>,
    pub(crate) commands: Vec<Command>,
    /// Clients with something to write, and those that may have a request ready.
    pub(crate) dirty: Vec<Key>,
    pub(crate) ready: Vec<Key>,
    pub(crate) buffer: Vec<u8>,
    pub(crate) tallies: HashMap<EngineId, Tally>,
    pub(crate) quota: Quota,
    /// Clients' connections that were closed, by reason, and closes that were not permitted.
    pub(crate) closes: Counts<CloseReason>,
    pub(crate) denied_closes: Denials,
    /// When the process started.
    pub(crate) started: Micros,
    pub(crate) swept: Micros,
    /// A new configuration that has not been read yet, and how many have been.
    pub(crate) reloading: Option<Reload>,
    pub(crate) reloads: u64,
    /// When it was told to stop, and whether the host has ended all it held.
    pub(crate) stopping: Option<Micros>,
    pub(crate) stopped: bool,
}

/// Starts a node by its configuration file and runs it until it is told to stop and all is done.
pub fn start(config_file: PathBuf, listen: Option<SocketAddr>) -> Result<(), StartError> {
    let failed = |what: &str, e: &dyn fmt::Display| StartError(format!("{what}: {e}"));
    let name = config_file.display().to_string();
    // Before anything can be taken that a signal to stop would lose.
    let signals = at_start("setting up signals", Signals::new).map_err(|e| failed("signals", &e))?;
    let read = || std::fs::read_to_string(&config_file);
    let text = at_start("reading the configuration", read).map_err(|e| failed(&name, &e))?;
    let config = Configuration::parse(&text).map_err(|e| failed(&name, &e))?;
    let address = listen.unwrap_or(config.listen);
    let listener = at_start("listening", || listen_at(address))
        .map_err(|e| failed(&format!("cannot listen on {address}"), &e))?;
    let poll = at_start("epoll", Poll::new).map_err(|e| failed("epoll", &e))?;
    let waits = Flags::IN;
    for (what, token) in
        [(listener.as_fd(), LISTENER), (signals.stop_fd(), SIGNALS), (signals.reload_fd(), SIGNALS)]
    {
        at_start("epoll", || poll.add(what, token, waits)).map_err(|e| failed("epoll", &e))?;
    }
    let settings = Arc::new(config.node_settings());
    let clock = Clock::new();
    let now = clock.now();
    let keep = Keep::new(settings.limits.keep_alive);
    let host = Host::new(settings.clone(), config.seed).with_scope(ReleaseScope::Request);
    tracing::info!(name = %config.name, %address, sockets = config.limits.sockets,
        memory_mb = config.limits.memory_mb, cores = config.limits.cores, "started");
    let mut node = Node {
        poll,
        clock,
        watch: Watch::new(config.discovery, now, config.settings.ways.drain_grace),
        config,
        config_file,
        settings,
        host,
        listener: Some(listener),
        accepting: Accepting::default(),
        signals,
        conns: SlotMap::with_key(),
        clients: 0,
        pool: Pool::default(),
        keep,
        due: BTreeSet::new(),
        jobs: HashMap::new(),
        next_ticket: 0,
        bytes: 0,
        inputs: VecDeque::new(),
        given_up: VecDeque::new(),
        commands: Vec::new(),
        dirty: Vec::new(),
        ready: Vec::new(),
        buffer: vec![0; 64 << 10],
        tallies: HashMap::new(),
        quota: Quota::default(),
        closes: Counts::default(),
        denied_closes: Denials::default(),
        started: now,
        swept: now,
        reloading: None,
        reloads: 0,
        stopping: None,
        stopped: false,
    };
    node.known();
    // Guards against sends by a list that is out of date, for as long as the first sweep takes to come.
    node.look_after_watch(now);
    node.run().map_err(|e| failed("the loop", &e))
}

fn listen_at(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A node that starts again takes over the address of the one that was killed.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

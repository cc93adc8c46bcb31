//! Relays on the links between nodes, which inject link faults so that the nodes themselves run unmodified.
//! Each node has one relay endpoint: its peers send to this endpoint, and its own traffic reaches them from
//! it. The sender is identified by its source address. One thread serves all endpoints; each endpoint needs
//! three file descriptors.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use pintally_mock_engine::Port;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::script::{Link, LinkSet};

/// How often the relay checks whether link faults have changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Datagrams held back on a stalled link; further ones are dropped.
const MAX_STALLED_DATAGRAMS: usize = 20_000;
/// Connections relayed at the same time; further ones are closed.
const MAX_CONNECTIONS: usize = 1024;
/// Bounds each connect, read, write and wait of a relayed connection.
const STEP_TIMEOUT: Duration = Duration::from_secs(12);
/// Stack size of a relay thread.
const STACK_BYTES: usize = 128 << 10;

/// Relays between all pairs of nodes.
pub(crate) struct Relays {
    endpoints: Vec<RelayEndpoint>,
    /// Addresses on which the nodes listen; `nodes` maps an address to its node.
    listen: Vec<SocketAddr>,
    nodes: HashMap<IpAddr, usize>,
    /// Link faults that are active now.
    active_faults: Mutex<Vec<(LinkSet, Link)>>,
    open_connections: AtomicUsize,
    stopped: AtomicBool,
}

struct RelayEndpoint {
    udp: UdpSocket,
    tcp: TcpListener,
    _port: Port,
}

impl RelayEndpoint {
    fn open() -> io::Result<RelayEndpoint> {
        // TCP and UDP use the same port, so another one is tried if its UDP port is taken. The endpoint
        // reserves its port before it listens: a listener could otherwise share a port that is reserved for
        // a node process yet to start.
        for _ in 0..50 {
            let held = Port::hold()?;
            let at = held.address()?;
            if let Ok(udp) = UdpSocket::bind(at) {
                let tcp = TcpListener::bind(at)?;
                udp.set_nonblocking(true)?;
                tcp.set_nonblocking(true)?;
                return Ok(RelayEndpoint { udp, tcp, _port: held });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

/// Runs the relays until dropped.
pub(crate) struct RelayHandle(Arc<Relays>);

impl Drop for RelayHandle {
    fn drop(&mut self) {
        self.0.stopped.store(true, Ordering::Release);
    }
}

impl RelayHandle {
    /// The address at which peers reach a node.
    pub(crate) fn address(&self, node: usize) -> Option<SocketAddr> {
        self.0.endpoints.get(node)?.udp.local_addr().ok()
    }

    /// Activates or ends a fault on a set of links.
    pub(crate) fn set(&self, links: LinkSet, link: Link, on: bool) {
        let mut active_faults =
            self.0.active_faults.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match active_faults.iter().position(|d| *d == (links, link)).filter(|_| !on) {
            Some(index) => drop(active_faults.remove(index)),
            None if on => active_faults.push((links, link)),
            None => {}
        }
    }
}

impl Relays {
    /// Opens an endpoint for each node; each node listens on its own address and sends from it.
    pub(crate) fn open(listen: &[SocketAddr], seed: u64) -> io::Result<RelayHandle> {
        let endpoints: io::Result<Vec<RelayEndpoint>> =
            listen.iter().map(|_| RelayEndpoint::open()).collect();
        let relays = Arc::new(Relays {
            endpoints: endpoints?,
            listen: listen.to_vec(),
            nodes: listen.iter().enumerate().map(|(node, at)| (at.ip(), node)).collect(),
            active_faults: Mutex::default(),
            open_connections: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        let shared = relays.clone();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        thread::Builder::new()
            .name("relays".into())
            .stack_size(STACK_BYTES)
            .spawn(move || run(&shared, rng))?;
        Ok(RelayHandle(relays))
    }

    /// The combined faults on the link from one node to another.
    fn link(&self, from: usize, to: usize) -> Link {
        let active_faults = self.active_faults.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let matching =
            active_faults.iter().filter(|(links, _)| links.contains(self.endpoints.len(), from, to));
        matching.fold(Link::default(), |sum, (_, link)| Link {
            cut: sum.cut || link.cut,
            stalled: sum.stalled || link.stalled,
            loss: sum.loss.max(link.loss),
        })
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Sends a datagram from the sender's endpoint, so that replies go back to that endpoint.
    fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.endpoints[from].udp.send_to(bytes, self.listen[to]);
    }
}

fn run(relays: &Arc<Relays>, mut rng: ChaCha8Rng) {
    let mut stalled: HashMap<(usize, usize), VecDeque<Vec<u8>>> = HashMap::new();
    let mut buffer = [0u8; 4096];
    let poll_timeout = Timespec { tv_sec: 0, tv_nsec: POLL_INTERVAL.as_nanos() as i64 };
    while !relays.is_stopped() {
        let mut fds: Vec<PollFd> = Vec::with_capacity(2 * relays.endpoints.len());
        fds.extend(relays.endpoints.iter().map(|endpoint| PollFd::new(&endpoint.udp, PollFlags::IN)));
        fds.extend(relays.endpoints.iter().map(|endpoint| PollFd::new(&endpoint.tcp, PollFlags::IN)));
        let _ = poll(&mut fds, Some(&poll_timeout));
        let ready: Vec<usize> = (0..fds.len()).filter(|n| !fds[*n].revents().is_empty()).collect();
        for at in ready {
            let to = at % relays.endpoints.len();
            if at == to {
                forward_datagrams(relays, to, &mut buffer, &mut stalled, &mut rng);
            } else {
                accept_connections(relays, to);
            }
        }
        stalled.retain(|(from, to), bytes| {
            let stalled = relays.link(*from, *to).stalled;
            bytes.drain(..if stalled { 0 } else { bytes.len() }).for_each(|b| relays.deliver(*from, *to, &b));
            stalled
        });
    }
}

/// Forwards the datagrams received at an endpoint.
fn forward_datagrams(
    relays: &Relays,
    to: usize,
    buffer: &mut [u8],
    stalled: &mut HashMap<(usize, usize), VecDeque<Vec<u8>>>,
    rng: &mut ChaCha8Rng,
) {
    loop {
        let (n, source) = match relays.endpoints[to].udp.recv_from(buffer) {
            Ok(received) => received,
            // An ICMP refusal of an earlier datagram is reported here: the node is down.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => continue,
            Err(_) => return,
        };
        let Some(&from) = relays.nodes.get(&source.ip()) else { continue };
        let link = relays.link(from, to);
        if link.cut || link.loss > 0.0 && rng.random_bool(link.loss) {
            continue;
        }
        if link.stalled {
            let stalled = stalled.entry((from, to)).or_default();
            if stalled.len() < MAX_STALLED_DATAGRAMS {
                stalled.push_back(buffer[..n].to_vec());
            }
            continue;
        }
        let copies = 1 + usize::from(link.loss > 0.0 && rng.random_bool(link.loss));
        for _ in 0..copies {
            relays.deliver(from, to, &buffer[..n]);
        }
    }
}

/// Accepts the connections to an endpoint and forwards each in its own thread.
fn accept_connections(relays: &Arc<Relays>, to: usize) {
    while let Ok((stream, source)) = relays.endpoints[to].tcp.accept() {
        let Some(&from) = relays.nodes.get(&source.ip()) else { continue };
        if relays.open_connections.fetch_add(1, Ordering::AcqRel) >= MAX_CONNECTIONS {
            relays.open_connections.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        let shared = relays.clone();
        let forward = move || {
            let _ = forward_connection(&shared, stream, from, to);
            shared.open_connections.fetch_sub(1, Ordering::AcqRel);
        };
        if thread::Builder::new().name("relay".into()).stack_size(STACK_BYTES).spawn(forward).is_err() {
            relays.open_connections.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

fn forward_connection(relays: &Relays, mut client: TcpStream, from: usize, to: usize) -> io::Result<()> {
    client.set_nonblocking(false)?;
    client.set_read_timeout(Some(STEP_TIMEOUT))?;
    client.set_write_timeout(Some(STEP_TIMEOUT))?;
    let mut first_byte = [0u8];
    client.read_exact(&mut first_byte)?;
    // A cut link stays silent instead of closing the connection; the client times out by itself.
    let mut waited = Duration::ZERO;
    let is_blocked = || {
        let link = relays.link(from, to);
        link.cut || link.stalled
    };
    while is_blocked() && waited < STEP_TIMEOUT && !relays.is_stopped() {
        thread::sleep(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
    let mut node = TcpStream::connect_timeout(&relays.listen[to], STEP_TIMEOUT)?;
    node.set_read_timeout(Some(STEP_TIMEOUT))?;
    node.write_all(&first_byte)?;
    io::copy(&mut node, &mut client)?;
    Ok(())
}

#[cfg(test)]
mod tests;

//! Relays on the links between nodes: a door for each node, at which all others reach it and from which
//! it reaches them. A client is known by its address. What is done to a link is done here, so that
//! nodes run as they are. One thread serves all doors; three descriptors are needed for each.

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

use crate::script::{Link, Pairs};

/// How often the relay looks whether links have changed.
const LOOK: Duration = Duration::from_millis(5);
/// Datagrams that wait at a stalled link; later ones are lost.
const MAX_WAITING: usize = 20_000;
/// Connections that are led at once; later ones are closed.
const MAX_LED: usize = 1024;
/// Each of them is bounded by this time.
const STEP: Duration = Duration::from_secs(12);
/// Stack of a relay's thread.
const STACK: usize = 128 << 10;

/// Relays between all pairs of nodes.
pub(crate) struct Relays {
    doors: Vec<Door>,
    /// Where nodes listen, and which node an address is.
    listen: Vec<SocketAddr>,
    nodes: HashMap<IpAddr, usize>,
    /// What is done to links now.
    done: Mutex<Vec<(Pairs, Link)>>,
    led: AtomicUsize,
    ends: AtomicBool,
}

struct Door {
    udp: UdpSocket,
    tcp: TcpListener,
    _held: Port,
}

impl Door {
    fn open() -> io::Result<Door> {
        // The same port for both; another one if somebody has it for datagrams. Guards against a port
        // taken from whoever holds it for a process that is yet to start: a listener may share a held
        // port, so the door holds its own before it listens.
        for _ in 0..50 {
            let held = Port::hold()?;
            let at = held.address()?;
            if let Ok(udp) = UdpSocket::bind(at) {
                let tcp = TcpListener::bind(at)?;
                udp.set_nonblocking(true)?;
                tcp.set_nonblocking(true)?;
                return Ok(Door { udp, tcp, _held: held });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

/// Leads what comes to the doors until it is dropped.
pub(crate) struct Running(Arc<Relays>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.ends.store(true, Ordering::Release);
    }
}

impl Running {
    /// Where others reach a node.
    pub(crate) fn address(&self, node: usize) -> Option<SocketAddr> {
        self.0.doors.get(node)?.udp.local_addr().ok()
    }

    /// Something is done to some links from now on, or not any more.
    pub(crate) fn set(&self, pairs: Pairs, link: Link, on: bool) {
        let mut done = self.0.done.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match done.iter().position(|d| *d == (pairs, link)).filter(|_| !on) {
            Some(place) => drop(done.remove(place)),
            None if on => done.push((pairs, link)),
            None => {}
        }
    }
}

impl Relays {
    /// Doors for nodes that listen at these addresses, each of its own, and reach others from there.
    pub(crate) fn open(listen: &[SocketAddr], seed: u64) -> io::Result<Running> {
        let doors: io::Result<Vec<Door>> = listen.iter().map(|_| Door::open()).collect();
        let relays = Arc::new(Relays {
            doors: doors?,
            listen: listen.to_vec(),
            nodes: listen.iter().enumerate().map(|(node, at)| (at.ip(), node)).collect(),
            done: Mutex::default(),
            led: AtomicUsize::new(0),
            ends: AtomicBool::new(false),
        });
        let own = relays.clone();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        thread::Builder::new().name("relays".into()).stack_size(STACK).spawn(move || lead(&own, rng))?;
        Ok(Running(relays))
    }

    /// How the link from one node to another is: all that is done to it, taken together.
    fn link(&self, from: usize, to: usize) -> Link {
        let done = self.done.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let here = done.iter().filter(|(pairs, _)| pairs.hold(self.doors.len(), from, to));
        here.fold(Link::default(), |sum, (_, link)| Link {
            cut: sum.cut || link.cut,
            stalled: sum.stalled || link.stalled,
            loss: sum.loss.max(link.loss),
        })
    }

    fn ends(&self) -> bool {
        self.ends.load(Ordering::Acquire)
    }

    /// What a node sends comes from the door by which it is reached, so that answers go back there.
    fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.doors[from].udp.send_to(bytes, self.listen[to]);
    }
}

fn lead(relays: &Arc<Relays>, mut rng: ChaCha8Rng) {
    let mut waiting: HashMap<(usize, usize), VecDeque<Vec<u8>>> = HashMap::new();
    let mut buffer = [0u8; 4096];
    let look = Timespec { tv_sec: 0, tv_nsec: LOOK.as_nanos() as i64 };
    while !relays.ends() {
        let mut fds: Vec<PollFd> = Vec::with_capacity(2 * relays.doors.len());
        fds.extend(relays.doors.iter().map(|door| PollFd::new(&door.udp, PollFlags::IN)));
        fds.extend(relays.doors.iter().map(|door| PollFd::new(&door.tcp, PollFlags::IN)));
        let _ = poll(&mut fds, Some(&look));
        let ready: Vec<usize> = (0..fds.len()).filter(|n| !fds[*n].revents().is_empty()).collect();
        for at in ready {
            let to = at % relays.doors.len();
            if at == to {
                datagrams(relays, to, &mut buffer, &mut waiting, &mut rng);
            } else {
                connections(relays, to);
            }
        }
        waiting.retain(|(from, to), bytes| {
            let stalled = relays.link(*from, *to).stalled;
            bytes.drain(..if stalled { 0 } else { bytes.len() }).for_each(|b| relays.deliver(*from, *to, &b));
            stalled
        });
    }
}

/// Leads the datagrams that have come to a door.
fn datagrams(
    relays: &Relays,
    to: usize,
    buffer: &mut [u8],
    waiting: &mut HashMap<(usize, usize), VecDeque<Vec<u8>>>,
    rng: &mut ChaCha8Rng,
) {
    loop {
        let (n, source) = match relays.doors[to].udp.recv_from(buffer) {
            Ok(came) => came,
            // A refusal of an earlier datagram comes back here: the node is down.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => continue,
            Err(_) => return,
        };
        let Some(&from) = relays.nodes.get(&source.ip()) else { continue };
        let link = relays.link(from, to);
        if link.cut || link.loss > 0.0 && rng.random_bool(link.loss) {
            continue;
        }
        if link.stalled {
            let waiting = waiting.entry((from, to)).or_default();
            if waiting.len() < MAX_WAITING {
                waiting.push_back(buffer[..n].to_vec());
            }
            continue;
        }
        let times = 1 + usize::from(link.loss > 0.0 && rng.random_bool(link.loss));
        for _ in 0..times {
            relays.deliver(from, to, &buffer[..n]);
        }
    }
}

/// Leads the connections that have come to a door, each in a thread.
fn connections(relays: &Arc<Relays>, to: usize) {
    while let Ok((stream, source)) = relays.doors[to].tcp.accept() {
        let Some(&from) = relays.nodes.get(&source.ip()) else { continue };
        if relays.led.fetch_add(1, Ordering::AcqRel) >= MAX_LED {
            relays.led.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        let own = relays.clone();
        let run = move || {
            let _ = connection(&own, stream, from, to);
            own.led.fetch_sub(1, Ordering::AcqRel);
        };
        if thread::Builder::new().name("relay".into()).stack_size(STACK).spawn(run).is_err() {
            relays.led.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

fn connection(relays: &Relays, mut client: TcpStream, from: usize, to: usize) -> io::Result<()> {
    client.set_nonblocking(false)?;
    client.set_read_timeout(Some(STEP))?;
    client.set_write_timeout(Some(STEP))?;
    let mut what = [0u8];
    client.read_exact(&mut what)?;
    // A link that is cut says nothing: whoever waits gives up by itself.
    let mut waited = Duration::ZERO;
    let silent = || {
        let link = relays.link(from, to);
        link.cut || link.stalled
    };
    while silent() && waited < STEP && !relays.ends() {
        thread::sleep(LOOK);
        waited += LOOK;
    }
    let mut node = TcpStream::connect_timeout(&relays.listen[to], STEP)?;
    node.set_read_timeout(Some(STEP))?;
    node.write_all(&what)?;
    io::copy(&mut node, &mut client)?;
    Ok(())
}

#[cfg(test)]
mod tests;

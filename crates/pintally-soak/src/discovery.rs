//! The mock discovery service: an agent for each node serves the endpoint list. It can be down, stop sending on open
//! watches, and move to a new address.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pintally_http::{chunk, response_head};
use serde_json::{json, Value};

use crate::record::{At, SharedRecord};
use crate::run::spawn;

/// The interval of the empty lines that are sent as heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A node must detect a silent watch and open a new one. Changes during the silence count as delivered after this
/// time.
const SILENT_WATCH_GRACE: Duration = Duration::from_secs(6);
/// How often a listener checks whether the run is over.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The watches at the old address are closed this long after a move.
const MOVE_DELAY: Duration = Duration::from_millis(1_500);
/// After a new configuration, changes count as delivered after this time.
const NEW_CONFIGURATION_GRACE: Duration = Duration::from_secs(4);

/// The state of an agent.
#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    members: Vec<Value>,
    /// Changes that were not sent because the agent is down: the engine, and whether it drains or is removed.
    pending: Vec<(String, bool)>,
    /// The number of active faults that take the agent down; they may overlap.
    down_count: u32,
    watches: Vec<Watch>,
    /// Changes that are sent before this time count as delivered at this time.
    delivered_not_before: At,
    /// The number of the current listener; earlier ones are closed.
    current_listener: u64,
    /// The delay before watches are answered.
    answer_delay: Duration,
}

struct Watch {
    stream: TcpStream,
    /// The response head has been written.
    answered: bool,
    silent: bool,
    listener: u64,
}

/// The discovery agent of one node.
pub(crate) struct Agent {
    node: usize,
    record: Arc<SharedRecord>,
    state: Mutex<DiscoveryState>,
    listeners: AtomicU64,
    refusing: AtomicBool,
}

impl Agent {
    pub(crate) fn new(node: usize, record: &Arc<SharedRecord>, members: Vec<Value>) -> Arc<Agent> {
        let state = DiscoveryState { revision: 1, members, ..DiscoveryState::default() };
        let agent = Arc::new(Agent {
            node,
            record: record.clone(),
            state: Mutex::new(state),
            listeners: AtomicU64::new(0),
            refusing: AtomicBool::new(false),
        });
        let own = agent.clone();
        spawn(move || {
            while !own.record.is_over() {
                std::thread::sleep(HEARTBEAT);
                own.broadcast("\n");
            }
        });
        agent
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DiscoveryState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Opens a listener at a new address, which replaces the current one.
    pub(crate) fn serve(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let number = self.listeners.fetch_add(1, Ordering::SeqCst) + 1;
        self.lock().current_listener = number;
        let own = self.clone();
        spawn(move || {
            let _ = listener.set_nonblocking(true);
            while !own.record.is_over() && own.lock().current_listener == number {
                match listener.accept() {
                    Ok(_) if own.refusing.load(Ordering::SeqCst) => {}
                    Ok((stream, _)) => {
                        let own = own.clone();
                        spawn(move || own.accept_watch(stream, number));
                    }
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(address)
    }

    /// Accepts a watch. It is answered at once, or when the agent is back.
    fn accept_watch(&self, stream: TcpStream, listener: u64) {
        let _ = stream.set_nonblocking(false);
        let mut line = String::new();
        let _ = BufReader::new(&stream).read_line(&mut line);
        if !line.starts_with("GET /discovery/hosts?stream=1") {
            return;
        }
        let answer_delay = self.lock().answer_delay;
        std::thread::sleep(answer_delay);
        let mut state = self.lock();
        let mut watch = Watch { stream, answered: false, silent: false, listener };
        if state.down_count == 0 {
            watch.send_full_list(&state.full_list_chunk());
        }
        state.watches.push(watch);
    }

    fn broadcast(&self, line: &str) {
        let mut state = self.lock();
        if state.down_count == 0 {
            let line = chunk(line.as_bytes());
            state.watches.retain_mut(|w| w.send(&line));
        }
    }

    /// Publishes a changed entry. `gone` says that the engine drains or is removed.
    pub(crate) fn publish_change(&self, member: &Value, gone: bool) {
        let id = member["id"].as_str().unwrap_or("").to_string();
        let mut state = self.lock();
        state.revision += 1;
        state.members.retain(|m| m["id"] != member["id"]);
        if member["phase"] != "removed" {
            state.members.push(member.clone());
        }
        if state.down_count > 0 {
            state.pending.push((id, gone));
            return;
        }
        let line = json!({"revision": state.revision, "complete": false, "members": [member]});
        let line = chunk(format!("{line}\n").as_bytes());
        state.watches.retain_mut(|w| w.send(&line));
        let at = self.record.now().max(state.delivered_not_before);
        drop(state);
        if gone {
            self.record.with(|record| record.notified.push((self.node, id, at)));
        }
    }

    /// Takes the agent down, or brings it back. Pending changes are then sent, and count as delivered at once.
    pub(crate) fn set_down(&self, down: bool) {
        let mut state = self.lock();
        state.down_count = if down { state.down_count + 1 } else { state.down_count.saturating_sub(1) };
        if state.down_count > 0 {
            return;
        }
        let full_list = state.full_list_chunk();
        state.watches.retain_mut(|w| w.send_full_list(&full_list));
        let at = self.record.now().max(state.delivered_not_before);
        let pending = std::mem::take(&mut state.pending);
        drop(state);
        let gone = pending.into_iter().filter(|(_, gone)| *gone);
        self.record.with(|record| record.notified.extend(gone.map(|(id, _)| (self.node, id, at))));
    }

    /// Never sends anything more on the watches that are open, answered or not.
    pub(crate) fn lose_watches(&self) {
        self.lock().watches.iter_mut().for_each(|w| w.silent = true);
    }

    /// Starts or stops closing each new connection at once.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
        if refusing {
            self.reset_watches();
        }
    }

    /// Sets the delay before watches are answered.
    pub(crate) fn set_answer_delay(&self, answer_delay: Duration) {
        self.lock().answer_delay = answer_delay;
    }

    /// Stops sending on all open watches, and keeps them open.
    pub(crate) fn silence_watches(&self) {
        let mut state = self.lock();
        state.watches.iter_mut().for_each(|w| w.silent = true);
        state.delivered_not_before = state.delivered_not_before.max(self.record.now() + SILENT_WATCH_GRACE);
    }

    /// Resets all open watches.
    pub(crate) fn reset_watches(&self) {
        for watch in self.lock().watches.drain(..) {
            let _ = socket2::SockRef::from(&watch.stream).set_linger(Some(Duration::ZERO));
            let _ = watch.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the watches of earlier addresses after a delay.
    pub(crate) fn close_old_watches(self: &Arc<Self>) {
        let current_listener = {
            let mut state = self.lock();
            state.delivered_not_before =
                state.delivered_not_before.max(self.record.now() + NEW_CONFIGURATION_GRACE);
            state.current_listener
        };
        let own = self.clone();
        spawn(move || {
            std::thread::sleep(MOVE_DELAY);
            own.lock().watches.retain(|w| w.listener >= current_listener);
        });
    }

    /// The current list, as a node's configuration contains it.
    pub(crate) fn full_list(&self) -> Value {
        let state = self.lock();
        json!({"revision": state.revision, "complete": true, "members": state.members})
    }
}

impl DiscoveryState {
    fn full_list_chunk(&self) -> Vec<u8> {
        let full_list = json!({"revision": self.revision, "complete": true, "members": self.members});
        chunk(format!("{full_list}\n").as_bytes())
    }
}

impl Watch {
    /// Sends a line. Returns whether the watch stays open.
    fn send(&mut self, line: &[u8]) -> bool {
        self.silent || !self.answered || self.stream.write_all(line).is_ok()
    }

    /// Sends the full list, after the response head if that has not been sent yet.
    fn send_full_list(&mut self, full_list: &[u8]) -> bool {
        if !self.answered && !self.silent {
            self.answered = true;
            return self.stream.write_all(&[response_head(200, &[]), full_list.to_vec()].concat()).is_ok();
        }
        self.send(full_list)
    }
}

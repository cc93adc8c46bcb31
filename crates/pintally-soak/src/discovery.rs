//! Discovery: an agent for each node, which tells the list of engines, and can be down, fall silent and move.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pintally_http::{chunk, response_head};
use serde_json::{json, Value};

use crate::record::{At, Record};
use crate::run::spawn;

/// While nothing changes an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// A watch that has fallen silent is broken: what it misses counts as delivered after this time.
const SILENT_WATCH_GRACE: Duration = Duration::from_secs(6);
/// How often a listener looks whether the run is over.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The address before a new configuration closes its watches after this time.
const MOVE_DELAY: Duration = Duration::from_millis(1_500);
/// After a new configuration, changes count as delivered after this time.
const NEW_CONFIGURATION_GRACE: Duration = Duration::from_secs(4);

/// What the agents have to tell.
#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    members: Vec<Value>,
    /// Changes that have not been sent, because the agent is down.
    pending: Vec<(String, bool)>,
    /// Troubles under which it is down; they may overlap.
    down: u32,
    watches: Vec<Watch>,
    /// What is sent before then counts as delivered then.
    counts_from: At,
    /// Address that serves now; connections to earlier ones are refused.
    current: u64,
    /// Lists and watches are answered after this time.
    slow: Duration,
}

struct Watch {
    stream: TcpStream,
    /// The head of its answer has been written.
    answered: bool,
    silent: bool,
    listener: u64,
}

/// The agent of one node.
pub(crate) struct Agent {
    node: usize,
    record: Arc<Record>,
    state: Mutex<DiscoveryState>,
    listeners: AtomicU64,
    refuses: AtomicBool,
}

impl Agent {
    pub(crate) fn new(node: usize, record: &Arc<Record>, members: Vec<Value>) -> Arc<Agent> {
        let state = DiscoveryState { revision: 1, members, ..DiscoveryState::default() };
        let agent = Arc::new(Agent {
            node,
            record: record.clone(),
            state: Mutex::new(state),
            listeners: AtomicU64::new(0),
            refuses: AtomicBool::new(false),
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

    /// Serves at a new address.
    pub(crate) fn serve(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let number = self.listeners.fetch_add(1, Ordering::SeqCst) + 1;
        self.lock().current = number;
        let own = self.clone();
        spawn(move || {
            let _ = listener.set_nonblocking(true);
            while !own.record.is_over() && own.lock().current == number {
                match listener.accept() {
                    Ok(_) if own.refuses.load(Ordering::SeqCst) => {}
                    Ok((stream, _)) => {
                        let own = own.clone();
                        spawn(move || own.watch(stream, number));
                    }
                    Err(_) => std::thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(address)
    }

    /// A watch: it is answered now, or when discovery is back.
    fn watch(&self, stream: TcpStream, listener: u64) {
        let _ = stream.set_nonblocking(false);
        let mut line = String::new();
        let _ = BufReader::new(&stream).read_line(&mut line);
        if !line.starts_with("GET /discovery/hosts?stream=1") {
            return;
        }
        let slow = self.lock().slow;
        std::thread::sleep(slow);
        let mut state = self.lock();
        let mut watch = Watch { stream, answered: false, silent: false, listener };
        if state.down == 0 {
            watch.send_full_list(&state.full_list());
        }
        state.watches.push(watch);
    }

    fn broadcast(&self, line: &str) {
        let mut state = self.lock();
        if state.down == 0 {
            let line = chunk(line.as_bytes());
            state.watches.retain_mut(|w| w.broadcast(&line));
        }
    }

    /// An entry changes; `gone` if it drains or is removed.
    pub(crate) fn change(&self, member: &Value, gone: bool) {
        let id = member["id"].as_str().unwrap_or("").to_string();
        let mut state = self.lock();
        state.revision += 1;
        state.members.retain(|m| m["id"] != member["id"]);
        if member["phase"] != "removed" {
            state.members.push(member.clone());
        }
        if state.down > 0 {
            state.pending.push((id, gone));
            return;
        }
        let line = json!({"revision": state.revision, "complete": false, "members": [member]});
        let line = chunk(format!("{line}\n").as_bytes());
        state.watches.retain_mut(|w| w.broadcast(&line));
        let at = self.record.now().max(state.counts_from);
        drop(state);
        if gone {
            self.record.with(|books| books.notified.push((self.node, id, at)));
        }
    }

    /// Discovery is down, or back: pending changes count as delivered at once.
    pub(crate) fn set_down(&self, down: bool) {
        let mut state = self.lock();
        state.down = if down { state.down + 1 } else { state.down.saturating_sub(1) };
        if state.down > 0 {
            return;
        }
        let full_list = state.full_list();
        state.watches.retain_mut(|w| w.send_full_list(&full_list));
        let at = self.record.now().max(state.counts_from);
        let pending = std::mem::take(&mut state.pending);
        drop(state);
        let gone = pending.into_iter().filter(|(_, gone)| *gone);
        self.record.with(|books| books.notified.extend(gone.map(|(id, _)| (self.node, id, at))));
    }

    /// From now on, or no more, connections are ended as they come.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        self.refuses.store(refusing, Ordering::SeqCst);
        if refusing {
            self.reset();
        }
    }

    /// Watches are answered so late from now on.
    pub(crate) fn set_slow(&self, slow: Duration) {
        self.lock().slow = slow;
    }

    /// All open watches fall silent, and stay open.
    pub(crate) fn silence(&self) {
        let mut state = self.lock();
        state.watches.iter_mut().for_each(|w| w.silent = true);
        state.counts_from = state.counts_from.max(self.record.now() + SILENT_WATCH_GRACE);
    }

    /// All open watches are reset.
    pub(crate) fn reset(&self) {
        for watch in self.lock().watches.drain(..) {
            let _ = socket2::SockRef::from(&watch.stream).set_linger(Some(Duration::ZERO));
            let _ = watch.stream.shutdown(Shutdown::Both);
        }
    }

    /// It has moved: the watches of earlier addresses end a little later.
    pub(crate) fn move_to_new_address(self: &Arc<Self>) {
        let current = {
            let mut state = self.lock();
            state.counts_from = state.counts_from.max(self.record.now() + NEW_CONFIGURATION_GRACE);
            state.current
        };
        let own = self.clone();
        spawn(move || {
            std::thread::sleep(MOVE_DELAY);
            own.lock().watches.retain(|w| w.listener >= current);
        });
    }

    /// The list as it is now.
    pub(crate) fn known(&self) -> Value {
        let state = self.lock();
        json!({"revision": state.revision, "complete": true, "members": state.members})
    }
}

impl DiscoveryState {
    fn full_list(&self) -> Vec<u8> {
        let full_list = json!({"revision": self.revision, "complete": true, "members": self.members});
        chunk(format!("{full_list}\n").as_bytes())
    }
}

impl Watch {
    /// Tells a line; whether the watch stays.
    fn broadcast(&mut self, line: &[u8]) -> bool {
        self.silent || !self.answered || self.stream.write_all(line).is_ok()
    }

    /// Tells the whole list, behind the head of the answer if that is owed.
    fn send_full_list(&mut self, full_list: &[u8]) -> bool {
        if !self.answered && !self.silent {
            self.answered = true;
            return self.stream.write_all(&[response_head(200, &[]), full_list.to_vec()].concat()).is_ok();
        }
        self.broadcast(full_list)
    }
}

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
/// A watch that has fallen silent is broken: what it misses counts as told so long after.
const SILENT_TOLD: Duration = Duration::from_secs(6);
/// How often a listener looks whether the run is over.
const LOOK_EVERY: Duration = Duration::from_millis(2);
/// The address before a new configuration closes its watches after this time.
const MOVED_AFTER: Duration = Duration::from_millis(1_500);
/// What there is to tell counts as told so long after a new configuration.
const MOVED_TOLD: Duration = Duration::from_secs(4);

/// What the agents have to tell.
#[derive(Default)]
struct Told {
    revision: u64,
    members: Vec<Value>,
    /// Changes that have not been told yet, while the agent is down.
    pending: Vec<(String, bool)>,
    /// Troubles under which it is down; they may overlap.
    down: u32,
    watches: Vec<Watch>,
    /// What is told before then counts as told then.
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
    told: Mutex<Told>,
    listeners: AtomicU64,
    refuses: AtomicBool,
}

impl Agent {
    pub(crate) fn new(node: usize, record: &Arc<Record>, members: Vec<Value>) -> Arc<Agent> {
        let told = Told { revision: 1, members, ..Told::default() };
        let agent = Arc::new(Agent {
            node,
            record: record.clone(),
            told: Mutex::new(told),
            listeners: AtomicU64::new(0),
            refuses: AtomicBool::new(false),
        });
        let own = agent.clone();
        spawn(move || {
            while !own.record.is_over() {
                std::thread::sleep(HEARTBEAT);
                own.tell("\n");
            }
        });
        agent
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
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
                    Err(_) => std::thread::sleep(LOOK_EVERY),
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
        let mut told = self.lock();
        let mut watch = Watch { stream, answered: false, silent: false, listener };
        if told.down == 0 {
            watch.tell_whole(&told.whole());
        }
        told.watches.push(watch);
    }

    fn tell(&self, line: &str) {
        let mut told = self.lock();
        if told.down == 0 {
            let line = chunk(line.as_bytes());
            told.watches.retain_mut(|w| w.tell(&line));
        }
    }

    /// An entry changes; `gone` if it drains or is removed.
    pub(crate) fn change(&self, member: &Value, gone: bool) {
        let id = member["id"].as_str().unwrap_or("").to_string();
        let mut told = self.lock();
        told.revision += 1;
        told.members.retain(|m| m["id"] != member["id"]);
        if member["phase"] != "removed" {
            told.members.push(member.clone());
        }
        if told.down > 0 {
            told.pending.push((id, gone));
            return;
        }
        let line = json!({"revision": told.revision, "complete": false, "members": [member]});
        let line = chunk(format!("{line}\n").as_bytes());
        told.watches.retain_mut(|w| w.tell(&line));
        let at = self.record.now().max(told.counts_from);
        drop(told);
        if gone {
            self.record.with(|books| books.told.push((self.node, id, at)));
        }
    }

    /// Discovery is down, or back: what it has counts as told at once then.
    pub(crate) fn set_down(&self, down: bool) {
        let mut told = self.lock();
        told.down = if down { told.down + 1 } else { told.down.saturating_sub(1) };
        if told.down > 0 {
            return;
        }
        let whole = told.whole();
        told.watches.retain_mut(|w| w.tell_whole(&whole));
        let at = self.record.now().max(told.counts_from);
        let pending = std::mem::take(&mut told.pending);
        drop(told);
        let gone = pending.into_iter().filter(|(_, gone)| *gone);
        self.record.with(|books| books.told.extend(gone.map(|(id, _)| (self.node, id, at))));
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
        let mut told = self.lock();
        told.watches.iter_mut().for_each(|w| w.silent = true);
        told.counts_from = told.counts_from.max(self.record.now() + SILENT_TOLD);
    }

    /// All open watches are reset.
    pub(crate) fn reset(&self) {
        for watch in self.lock().watches.drain(..) {
            let _ = socket2::SockRef::from(&watch.stream).set_linger(Some(Duration::ZERO));
            let _ = watch.stream.shutdown(Shutdown::Both);
        }
    }

    /// It has moved: the watches of earlier addresses end a little later.
    pub(crate) fn moved(self: &Arc<Self>) {
        let current = {
            let mut told = self.lock();
            told.counts_from = told.counts_from.max(self.record.now() + MOVED_TOLD);
            told.current
        };
        let own = self.clone();
        spawn(move || {
            std::thread::sleep(MOVED_AFTER);
            own.lock().watches.retain(|w| w.listener >= current);
        });
    }

    /// The list as it is now.
    pub(crate) fn known(&self) -> Value {
        let told = self.lock();
        json!({"revision": told.revision, "complete": true, "members": told.members})
    }
}

impl Told {
    fn whole(&self) -> Vec<u8> {
        let whole = json!({"revision": self.revision, "complete": true, "members": self.members});
        chunk(format!("{whole}\n").as_bytes())
    }
}

impl Watch {
    /// Tells a line; whether the watch stays.
    fn tell(&mut self, line: &[u8]) -> bool {
        self.silent || !self.answered || self.stream.write_all(line).is_ok()
    }

    /// Tells the whole list, behind the head of the answer if that is owed.
    fn tell_whole(&mut self, whole: &[u8]) -> bool {
        if !self.answered && !self.silent {
            self.answered = true;
            return self.stream.write_all(&[response_head(200, &[]), whole.to_vec()].concat()).is_ok();
        }
        self.tell(whole)
    }
}

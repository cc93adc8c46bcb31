//! A mock discovery service: the endpoint list, which tests can change, and watches that it answers at once, late, in
//! parts or never.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use pintally_http::{chunk, response_head};
use serde_json::{json, Value};

use crate::harness::LONG;

/// The endpoint list and the watches that have been answered.
#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    members: Vec<Value>,
    watches: Vec<TcpStream>,
}

impl DiscoveryState {
    /// Replaces the entry of the same engine, or adds it.
    fn change(&mut self, member: Value) {
        self.revision += 1;
        self.members.retain(|m| m["id"] != member["id"]);
        self.members.push(member);
    }

    /// Sends a line to all open watches.
    fn send_to_watches(&mut self, line: &str) {
        self.watches.retain_mut(|w| w.write_all(&chunk(line.as_bytes())).is_ok());
    }
}

/// The discovery service.
#[derive(Default)]
pub struct Discovery {
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    /// New watches get no response, as if discovery were down.
    silent: AtomicBool,
    /// Watches that were opened while discovery was silent.
    unanswered: Mutex<Vec<TcpStream>>,
    /// Whether the complete list is written in single bytes.
    byte_by_byte: AtomicBool,
    /// Milliseconds until a watch gets its response.
    answer_delay_ms: AtomicU64,
    /// Milliseconds between the head of a response and its list.
    list_delay_ms: AtomicU64,
}

impl Discovery {
    /// Starts to serve at a new address and returns the address.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, discovery) = (listener.local_addr().unwrap(), self.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(&stream).read_line(&mut line);
                if line.is_empty() {
                    continue;
                }
                assert!(line.starts_with("GET /discovery/hosts?stream=1"), "{line}");
                if discovery.silent.load(Ordering::SeqCst) {
                    discovery.unanswered.lock().unwrap().push(stream);
                    discovery.changed.notify_all();
                    continue;
                }
                let load_delay = |ms: &AtomicU64| Duration::from_millis(ms.load(Ordering::SeqCst));
                let answer_delay = load_delay(&discovery.answer_delay_ms);
                let list_delay = load_delay(&discovery.list_delay_ms);
                if answer_delay + list_delay == Duration::ZERO {
                    discovery.answer_watch(stream);
                    continue;
                }
                let discovery = discovery.clone();
                std::thread::spawn(move || discovery.answer_watch_late(stream, answer_delay, list_delay));
            }
        });
        address
    }

    /// Sets the first list.
    pub fn set_members(&self, members: Vec<Value>) {
        *self.state.lock().unwrap() = DiscoveryState { revision: 1, members, watches: Vec::new() };
    }

    /// Answers a watch with the complete list.
    fn answer_watch(&self, stream: TcpStream) {
        self.send_list(stream, response_head(200, &[]));
    }

    /// Answers a watch after a delay, and sends the list after a further delay.
    fn answer_watch_late(&self, mut stream: TcpStream, answer_delay: Duration, list_delay: Duration) {
        std::thread::sleep(answer_delay);
        if list_delay == Duration::ZERO {
            return self.answer_watch(stream);
        }
        let _ = stream.write_all(&response_head(200, &[]));
        std::thread::sleep(list_delay);
        self.send_list(stream, Vec::new());
    }

    /// Sends the complete list after a response head, which is empty if it has been sent before.
    fn send_list(&self, mut stream: TcpStream, head: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let whole = json!({"revision": state.revision, "complete": true, "members": state.members});
        let answer = [head, chunk(format!("{whole}\n").as_bytes())].concat();
        if self.byte_by_byte.load(Ordering::SeqCst) {
            let _ = stream.set_nodelay(true);
            answer.iter().for_each(|byte| drop(stream.write_all(&[*byte])));
        } else {
            let _ = stream.write_all(&answer);
        }
        state.watches.push(stream);
        self.changed.notify_all();
    }

    /// Delays the response to new watches.
    pub fn delay_answers(&self, time: Duration) {
        self.answer_delay_ms.store(time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Delays the list behind the head of the response to new watches.
    pub fn delay_lists(&self, time: Duration) {
        self.list_delay_ms.store(time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Changes one entry and sends it to all open watches.
    pub fn change(&self, member: Value) {
        let mut state = self.state.lock().unwrap();
        state.change(member.clone());
        let line = json!({"revision": state.revision, "complete": false, "members": [member]});
        state.send_to_watches(&format!("{line}\n"));
    }

    /// Removes an entry without sending an update: later complete lists do not contain it.
    pub fn remove_unannounced(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.members.retain(|m| m["id"] != id);
    }

    /// Sets whether new watches get no response.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Writes complete lists in single bytes from now on.
    pub fn write_byte_by_byte(&self) {
        self.byte_by_byte.store(true, Ordering::SeqCst);
    }

    /// Resets the connections of all open watches.
    pub fn reset_watches(&self) {
        for watch in &self.state.lock().unwrap().watches {
            let _ = socket2::SockRef::from(watch).set_linger(Some(Duration::ZERO));
            let _ = watch.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Changes one entry without sending it to the open watches.
    pub fn change_unannounced(&self, member: Value) {
        self.state.lock().unwrap().change(member);
    }

    /// Waits until this many watches in total have been opened while discovery was silent.
    pub fn wait_for_unanswered_watches(&self, times: usize) {
        let end = Instant::now() + LONG;
        while self.unanswered.lock().unwrap().len() < times {
            assert!(Instant::now() < end, "no watch was opened");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Sends a line to all open watches.
    pub fn send_to_watches(&self, line: &str) {
        self.state.lock().unwrap().send_to_watches(line);
    }

    /// Waits until this many watches in total have been answered.
    pub fn wait_for_watches(&self, times: usize) {
        let end = Instant::now() + LONG;
        let mut state = self.state.lock().unwrap();
        while state.watches.len() < times {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no watch was opened");
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// An entry of the list of engines.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    let flavor = if id.starts_with('r') { "m1" } else { "m2" };
    json!({"id": id, "host_port": address, "locality": "a", "flavor": flavor, "cell": 1, "phase": phase,
           "size": 1.0, "up_since_ms": 0})
}

//! A node of a run: a process of its own with limits, started, sent SIGTERM, killed, paused and measured.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pintally_http::{Part, ResponseReader};
use pintally_mock_engine::Port;
use serde_json::{json, Value};

use crate::record::{Incarnation, Record};
use crate::timing::Timing;

/// A node has to be ready by then.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A process has become the program by then.
const STARTED_AFTER: Duration = Duration::from_millis(500);
const POLL_EVERY: Duration = Duration::from_millis(10);
const CALL_WITHIN: Duration = Duration::from_secs(2);
pub(crate) const MEMORY_MB: u64 = 32;
pub(crate) const SOCKETS: u64 = 256;

/// How a node's program is started.
pub(crate) struct Launch {
    pub(crate) program: PathBuf,
    pub(crate) folder: PathBuf,
    /// The library that makes system calls fail, and how many of a thousand.
    pub(crate) faults: Option<(PathBuf, u32)>,
    pub(crate) log_level: String,
    pub(crate) timing: Timing,
    /// The wall clock of some nodes is off by so many seconds, where the library can be built.
    pub(crate) clock_shift: i64,
}

/// A node.
pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) address: SocketAddr,
    launch: Arc<Launch>,
    record: Arc<Record>,
    process: Mutex<Option<Child>>,
    /// It has been sent SIGTERM: its end is no crash.
    stopping: AtomicBool,
    seed: u64,
    _port: Port,
}

impl Node {
    pub(crate) fn new(
        number: usize,
        launch: &Arc<Launch>,
        record: &Arc<Record>,
        seed: u64,
    ) -> std::io::Result<Node> {
        let port = Port::hold()?;
        let address = port.address()?;
        Ok(Node {
            number,
            address,
            launch: launch.clone(),
            record: record.clone(),
            process: Mutex::new(None),
            stopping: AtomicBool::new(false),
            seed,
            _port: port,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.process.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub(crate) fn config_file(&self) -> PathBuf {
        self.launch.folder.join(format!("node-{}.json", self.number))
    }

    /// Writes its configuration.
    pub(crate) fn configure(
        &self,
        nodes: usize,
        discovery: SocketAddr,
        known: &Value,
    ) -> std::io::Result<()> {
        let config = configuration(self.number, nodes, self.address, discovery, known, &self.launch.timing);
        std::fs::write(self.config_file(), config.to_string())
    }

    /// Starts its process.
    pub(crate) fn start(&self) -> std::io::Result<()> {
        let log = self.launch.folder.join(format!("node-{}.log", self.number));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.launch.program);
        command
            .args(["--log-level", &self.launch.log_level, "platform"])
            .env("BALANCER_CONFIG", self.config_file())
            .env("BALANCER_LISTEN", self.address.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // One half of the nodes has system calls that fail, and a third a wall clock that is off.
        if let Some((library, permille)) = self.launch.faults.as_ref() {
            let (seed, permille) = (self.seed ^ self.number as u64, permille * (self.number as u32 % 2));
            command.env("LD_PRELOAD", library).env("PINTALLY_FAULTS", format!("{seed} {permille}"));
            if self.number.is_multiple_of(3) {
                command.env("PINTALLY_CLOCK_SHIFT", self.launch.clock_shift.to_string());
            }
        }
        let child = command.spawn()?;
        let started = self.record.now();
        self.record.with(|books| {
            books.incarnations.push(Incarnation {
                node: self.number,
                started,
                stop_requested_at: None,
                ended: None,
            });
        });
        self.stopping.store(false, Ordering::SeqCst);
        *self.lock() = Some(child);
        Ok(())
    }

    fn note(&self, what: impl FnOnce(&mut Incarnation)) {
        self.record.with(|books| {
            if let Some(own) = books.incarnations.iter_mut().rev().find(|i| i.node == self.number) {
                what(own);
            }
        });
    }

    fn fault(&self, what: String) {
        self.record.with(|books| books.process_faults.push((self.number, what)));
    }

    /// Waits until it is ready.
    pub(crate) fn until_ready(&self) {
        let by = Instant::now() + READY_WITHIN;
        while Instant::now() < by {
            if self.get("/up").is_some_and(|(status, _)| status == 200) {
                return;
            }
            std::thread::sleep(POLL_EVERY);
        }
        self.fault("was not ready within 10 s".into());
    }

    /// Its process, as the system numbers it.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.lock().as_ref().map(Child::id)
    }

    pub(crate) fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").args([name, &pid.to_string()]).stderr(Stdio::null()).status();
        }
    }

    /// Tells it to stop, gives it the time that the platform gives, and kills it if it has not ended.
    pub(crate) fn stop(&self, grace: Duration) {
        let now = self.record.now();
        self.note(|own| own.stop_requested_at = Some(now));
        self.stopping.store(true, Ordering::SeqCst);
        self.signal("-TERM");
        let by = Instant::now() + grace;
        while Instant::now() < by {
            let ended = self.lock().as_mut().map(Child::try_wait);
            if let Some(Ok(Some(status))) = ended {
                let now = self.record.now();
                self.note(|own| own.ended = Some(now));
                if !status.success() {
                    self.fault(format!("ended with {status} after SIGTERM"));
                }
                *self.lock() = None;
                return;
            }
            std::thread::sleep(POLL_EVERY);
        }
        self.kill();
    }

    /// Kills its process.
    pub(crate) fn kill(&self) {
        let Some(mut child) = self.lock().take() else { return };
        let now = self.record.now();
        self.note(|own| own.ended = Some(now));
        if let Ok(Some(status)) = child.try_wait() {
            self.fault(format!("had ended with {status}"));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Looks at its process: whether it lives and keeps its limits.
    pub(crate) fn inspect(&self) {
        let mut process = self.lock();
        let Some(child) = process.as_mut().filter(|_| !self.stopping.load(Ordering::SeqCst)) else { return };
        // A process that is being started still has its parent's memory and descriptors.
        let started = self
            .record
            .with(|books| books.incarnations.iter().rfind(|i| i.node == self.number).map(|i| i.started));
        if started.is_none_or(|at| self.record.now() < at + STARTED_AFTER) {
            return;
        }
        if let Ok(Some(status)) = child.try_wait() {
            *process = None;
            drop(process);
            let now = self.record.now();
            self.note(|own| own.ended = Some(now));
            return self.fault(format!("ended with {status} on its own"));
        }
        let pid = child.id();
        drop(process);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        if kilobytes.is_some_and(|kb| kb > MEMORY_MB << 10) {
            self.fault(format!("has had {} MB of {MEMORY_MB}", kilobytes.unwrap_or(0) >> 10));
        }
        let files = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count) as u64;
        if files > SOCKETS {
            self.fault(format!("has {files} descriptors of {SOCKETS}"));
        }
    }

    /// What it counted as not permitted, and whether it holds anything still.
    pub(crate) fn audit(&self) {
        let Some(page) = self.beliefs() else { return };
        let denied = page["denied"].as_object().into_iter().flatten();
        let denied: Vec<String> = denied.map(|(kind, count)| format!("{kind} {count}")).collect();
        self.record.with(|books| books.denied.extend(denied.into_iter().map(|d| (self.number, d))));
    }

    /// How many requests it holds.
    pub(crate) fn holds(&self) -> Option<u64> {
        self.beliefs()?["held"].as_u64()
    }

    /// Its status page.
    fn beliefs(&self) -> Option<Value> {
        let (_, page) = self.get("/pintally/beliefs")?;
        serde_json::from_slice(&page).ok()
    }

    fn get(&self, target: &str) -> Option<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect_timeout(&self.address, CALL_WITHIN).ok()?;
        stream.set_read_timeout(Some(CALL_WITHIN)).ok()?;
        stream.write_all(format!("GET {target} HTTP/1.1\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
        let (mut reader, mut some) = (ResponseReader::new(16 << 10), vec![0; 64 << 10]);
        let (mut status, mut body) = (0, Vec::new());
        loop {
            match reader.next_part().ok()? {
                Some(Part::Head(s, _)) => status = s,
                Some(Part::Body(bytes)) => body.extend(bytes),
                Some(Part::End(_)) => return Some((status, body)),
                None => match stream.read(&mut some).ok()? {
                    0 => return None,
                    count => reader.push(&some[..count]),
                },
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.lock().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Keeps a node's log for people to read.
pub(crate) fn keep_logs(folder: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(folder)?.flatten() {
        if entry.path().extension().is_some_and(|e| e == "log") {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

fn configuration(
    number: usize,
    nodes: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &Value,
    timing: &Timing,
) -> Value {
    let class = |name: &str, effect: Value| {
        let mut class = json!({"name": name, "deadline": timing.client_timeout.as_secs_f64(), "gain": 1.0,
            "objective": timing.client_timeout.as_secs_f64() * 0.6, "late_value": 0.2});
        for (key, value) in effect.as_object().into_iter().flatten() {
            class[key] = value.clone();
        }
        class
    };
    json!({
        "name": format!("n{number}"), "listen": listen, "discovery": discovery, "seed": format!("{number:x}1f"),
        "limits": {"cores": 0.5, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": known,
        "settings": {
            "balancers": nodes, "me": number, "zone": "a", "discovery": "pushed", "weight_kind": "nominal",
            "family_info": {"duty_by_kind": ["read", "write"], "let_go_by": timing.release.as_secs_f64(), "memory_tokens": [200_000, 200_000]},
            "feedback": {"fields": ["x0", "x1"], "source": "inline"}, "machine_types": ["m1", "m2"],
            "permissions": {"attempts_cap": 6, "may_cancel": true, "connect_timeout": timing.connect.as_secs_f64(), "keepalive": 15.0},
            "profiles": [
                class("safe", json!({"effect": "repeatable"})),
                class("once", json!({"effect": "once"})),
                class("keyed", json!({"effect": "by_key", "group": "all", "dedup_window": timing.keyed_window.as_secs_f64()})),
            ],
            "rules": {"stop_sending_within": timing.drain_grace.as_secs_f64(), "cold_from": 0.3, "overload_for": 1.5, "tip_multiple": 2.5, "warm_after": 14.0},
        },
    })
}

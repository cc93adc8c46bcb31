//! A node of a run: a process with resource limits, which is started, stopped, killed, paused and inspected.

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

use crate::record::{Incarnation, SharedRecord};
use crate::timing::Timing;

/// A node must be ready within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A child process has executed the program this long after its start.
const EXEC_DELAY: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const STATUS_CALL_TIMEOUT: Duration = Duration::from_secs(2);
pub(crate) const MEMORY_MB: u64 = 32;
pub(crate) const SOCKETS: u64 = 256;

/// How a node's program is started.
pub(crate) struct Launch {
    pub(crate) program: PathBuf,
    pub(crate) folder: PathBuf,
    /// The library that makes system calls fail, and how many of 1000 calls fail.
    pub(crate) faults: Option<(PathBuf, u32)>,
    pub(crate) log_level: String,
    pub(crate) timing: Timing,
    /// The offset of some nodes' wall clocks, in seconds. It has an effect only if the library was built.
    pub(crate) clock_shift_s: i64,
}

/// A node and its process.
pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) address: SocketAddr,
    launch: Arc<Launch>,
    record: Arc<SharedRecord>,
    process: Mutex<Option<Child>>,
    /// The process was sent SIGTERM, so its end is not a crash.
    stopping: AtomicBool,
    seed: u64,
    _port: Port,
}

impl Node {
    pub(crate) fn new(
        number: usize,
        launch: &Arc<Launch>,
        record: &Arc<SharedRecord>,
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

    /// Writes the configuration file.
    pub(crate) fn configure(
        &self,
        nodes: usize,
        discovery: SocketAddr,
        known: &Value,
    ) -> std::io::Result<()> {
        let config = configuration(self.number, nodes, self.address, discovery, known, &self.launch.timing);
        std::fs::write(self.config_file(), config.to_string())
    }

    /// Starts the process.
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
        // System calls fail at every second node, and every third node has a shifted wall clock.
        if let Some((library, permille)) = self.launch.faults.as_ref() {
            let (seed, permille) = (self.seed ^ self.number as u64, permille * (self.number as u32 % 2));
            command.env("LD_PRELOAD", library).env("PINTALLY_FAULTS", format!("{seed} {permille}"));
            if self.number.is_multiple_of(3) {
                command.env("PINTALLY_CLOCK_SHIFT", self.launch.clock_shift_s.to_string());
            }
        }
        let child = command.spawn()?;
        let started = self.record.now();
        self.record.with(|record| {
            record.incarnations.push(Incarnation {
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

    fn update_incarnation(&self, update: impl FnOnce(&mut Incarnation)) {
        self.record.with(|record| {
            if let Some(incarnation) = record.incarnations.iter_mut().rev().find(|i| i.node == self.number) {
                update(incarnation);
            }
        });
    }

    fn record_fault(&self, fault: String) {
        self.record.with(|record| record.process_faults.push((self.number, fault)));
    }

    /// Waits until the node is ready.
    pub(crate) fn wait_until_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if self.get("/up").is_some_and(|(status, _)| status == 200) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.record_fault("was not ready within 10 s".into());
    }

    /// The process id.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.lock().as_ref().map(Child::id)
    }

    pub(crate) fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").args([name, &pid.to_string()]).stderr(Stdio::null()).status();
        }
    }

    /// Sends SIGTERM, waits for the platform's grace period, and kills the process if it has not ended.
    pub(crate) fn stop(&self, grace: Duration) {
        let now = self.record.now();
        self.update_incarnation(|incarnation| incarnation.stop_requested_at = Some(now));
        self.stopping.store(true, Ordering::SeqCst);
        // Signals come in series: the later ones must change nothing.
        for name in ["-TERM", "-HUP", "-TERM"] {
            self.signal(name);
        }
        let deadline = Instant::now() + grace;
        while Instant::now() < deadline {
            let ended = self.lock().as_mut().map(Child::try_wait);
            if let Some(Ok(Some(status))) = ended {
                let now = self.record.now();
                self.update_incarnation(|incarnation| incarnation.ended = Some(now));
                if !status.success() {
                    self.record_fault(format!("ended with {status} after SIGTERM"));
                }
                *self.lock() = None;
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    /// Kills the process.
    pub(crate) fn kill(&self) {
        let Some(mut child) = self.lock().take() else { return };
        let now = self.record.now();
        self.update_incarnation(|incarnation| incarnation.ended = Some(now));
        if let Ok(Some(status)) = child.try_wait() {
            self.record_fault(format!("had ended with {status}"));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Checks that the process is alive and within its limits.
    pub(crate) fn inspect(&self) {
        let mut process = self.lock();
        let Some(child) = process.as_mut().filter(|_| !self.stopping.load(Ordering::SeqCst)) else { return };
        // Until it executes the program, a new process has its parent's memory and descriptors.
        let started = self
            .record
            .with(|record| record.incarnations.iter().rfind(|i| i.node == self.number).map(|i| i.started));
        if started.is_none_or(|at| self.record.now() < at + EXEC_DELAY) {
            return;
        }
        if let Ok(Some(status)) = child.try_wait() {
            *process = None;
            drop(process);
            let now = self.record.now();
            self.update_incarnation(|incarnation| incarnation.ended = Some(now));
            return self.record_fault(format!("ended with {status} on its own"));
        }
        let pid = child.id();
        drop(process);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        if peak_kb.is_some_and(|kb| kb > MEMORY_MB << 10) {
            self.record_fault(format!("has had {} MB of {MEMORY_MB}", peak_kb.unwrap_or(0) >> 10));
        }
        let files = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count) as u64;
        if files > SOCKETS {
            self.record_fault(format!("has {files} descriptors of {SOCKETS}"));
        }
    }

    /// Records the guard violations that the node has counted.
    pub(crate) fn record_guard_violations(&self) {
        let Some(page) = self.status() else { return };
        let denied = page["denied"].as_object().into_iter().flatten();
        let denied: Vec<String> = denied.map(|(kind, count)| format!("{kind} {count}")).collect();
        self.record
            .with(|record| record.guard_violations.extend(denied.into_iter().map(|d| (self.number, d))));
    }

    /// The number of requests for which the node holds a read state.
    pub(crate) fn held_requests(&self) -> Option<u64> {
        self.status()?["held"].as_u64()
    }

    /// The node's status document.
    fn status(&self) -> Option<Value> {
        let (_, page) = self.get("/pintally/beliefs")?;
        serde_json::from_slice(&page).ok()
    }

    fn get(&self, target: &str) -> Option<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect_timeout(&self.address, STATUS_CALL_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(STATUS_CALL_TIMEOUT)).ok()?;
        stream.write_all(format!("GET {target} HTTP/1.1\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
        let (mut reader, mut buffer) = (ResponseReader::new(16 << 10), vec![0; 64 << 10]);
        let (mut status, mut body) = (0, Vec::new());
        loop {
            match reader.next_part().ok()? {
                Some(Part::Head(s, _)) => status = s,
                Some(Part::Body(bytes)) => body.extend(bytes),
                Some(Part::End(_)) => return Some((status, body)),
                None => match stream.read(&mut buffer).ok()? {
                    0 => return None,
                    count => reader.push(&buffer[..count]),
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

/// Copies the nodes' logs to a directory.
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

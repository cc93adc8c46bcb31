//! Nodes that run as separate processes, started with `pintally serve`.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use pintally_config::NodeSettings;
use rustix::process::{kill_process, Pid, Signal};

use crate::run::RunningNode;

/// A process must answer its health endpoint within this time after its start.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after SIGTERM, on top of the node's own shutdown timeout, after which the process is killed.
const STOP_GRACE: Duration = Duration::from_secs(3);

/// A node that runs as a process.
pub struct NodeProcess {
    child: Child,
    address: SocketAddr,
    stop_timeout: Duration,
}

impl NodeProcess {
    /// Starts a node. Its settings file and log file are written next to its endpoint list; `shared` is the
    /// part of the settings file that all nodes have in common.
    pub fn start(
        exe: &Path,
        settings: &Arc<NodeSettings>,
        shared: &str,
        seed: u64,
    ) -> Result<NodeProcess, String> {
        let text = settings_file(settings, shared);
        let file = PathBuf::from(&settings.engines_file).with_extension("node");
        let fail = |what: &str, e: &dyn std::fmt::Display| format!("{what} {}: {e}", settings.name);
        fs::write(&file, text).map_err(|e| fail("cannot write the settings of", &e))?;
        let log = File::options().create(true).append(true).open(file.with_extension("log"));
        let log = log.map_err(|e| fail("cannot open the log of", &e))?;
        let child = Command::new(exe)
            .args(["--log-level", "info", "serve", "--config"])
            .arg(&file)
            .args(["--seed", &(seed >> 11).to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| fail("cannot start", &e))?;
        let stop_timeout = Duration::from_micros(settings.limits.shutdown_timeout) + STOP_GRACE;
        let mut process = NodeProcess { child, address: settings.listen, stop_timeout };
        process.wait_until_up().map_err(|e| {
            let log_text = fs::read_to_string(file.with_extension("log")).unwrap_or_default();
            fail(
                "no answer from",
                &format!("{e}; last log line: {}", log_text.lines().last().unwrap_or("none")),
            )
        })?;
        Ok(process)
    }

    fn wait_until_up(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        while http_get(self.address, "/v2/health/live").is_none() {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the process ended with {status}"));
            }
            if Instant::now() > deadline {
                return Err("the process does not answer".into());
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl RunningNode for NodeProcess {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn kill(mut self: Box<Self>) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn stop(mut self: Box<Self>) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let deadline = Instant::now() + self.stop_timeout;
        while matches!(self.child.try_wait(), Ok(None)) {
            if Instant::now() > deadline {
                return self.kill();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn pause(&self, paused: bool) {
        self.signal(if paused { Signal::STOP } else { Signal::CONT });
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Renders the settings file of a node.
fn settings_file(settings: &NodeSettings, shared: &str) -> String {
    use pintally_config::form::quoted;
    let core = &settings.core;
    let mut text = format!(
        "(pintally\n  (node (name {}) (listen \"{}\") (model {}) (zone {}) (number {}) (of {})\n        \
         (engines {} (every-ms {}))",
        quoted(&settings.name),
        settings.listen,
        quoted(&settings.model),
        quoted(&core.zone),
        core.node_index,
        core.node_count,
        quoted(&settings.engines_file),
        settings.engines_poll_interval as f64 / 1e3
    );
    if let Some(source) = settings.source {
        text += &format!(" (source \"{source}\")");
    }
    if let Some(kept) = &settings.cached_list_file {
        text += &format!(" (kept-list {})", quoted(kept));
    }
    text += ")\n  ";
    text += shared;
    let forms = [
        settings.membership.as_ref().map(ToString::to_string),
        settings.recovery.as_ref().map(ToString::to_string),
        settings.consensus.as_ref().map(ToString::to_string),
        settings.quotas.as_ref().map(ToString::to_string),
        settings.failover.as_ref().map(ToString::to_string),
        settings.outlier_detection.as_ref().map(pintally_config::outlier_detection_form),
    ];
    for form in forms {
        text += &form.map(|f| format!("\n  {f}")).unwrap_or_default();
    }
    text + ")\n"
}

/// Body of a node's HTTP endpoint; `None` unless it answers with status 200, each step within one second.
pub fn http_get(node: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let wait = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&node, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(&pintally_http::request("GET", path, &[("connection", "close")], b"")).ok()?;
    let mut reader = pintally_http::ResponseReader::new(16 << 10);
    let (mut body, mut buffer) = (Vec::new(), [0u8; 8192]);
    loop {
        match reader.next_part().ok()? {
            Some(pintally_http::Part::Head(200, _)) => {}
            Some(pintally_http::Part::Head(..)) => return None,
            Some(pintally_http::Part::Body(bytes)) => body.extend(bytes),
            Some(pintally_http::Part::End(_)) => return Some(body),
            None => {
                let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
                reader.push(&buffer[..n]);
            }
        }
    }
}

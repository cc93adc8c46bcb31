//! Measures how many streams one node can hold open, and the memory that each takes.
//!
//! The node runs in a separate process, so that its memory can be measured alone.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use pintally_http::request;
use serde_json::json;

use crate::{error, MeasureError};

/// The result of the measurement.
#[derive(Clone, Debug)]
pub struct Streams {
    /// Streams that were to be opened.
    pub wanted: usize,
    /// Streams that were open at the same time.
    pub open: usize,
    /// Resident memory of the node before the first stream, in KiB.
    pub before_kib: u64,
    /// Resident memory of the node with all streams open, in KiB.
    pub with_kib: u64,
    /// The limit of open files of the node's process.
    pub files_most: u64,
}

impl Streams {
    /// Resident memory for each stream, in KiB.
    pub fn kib_each(&self) -> f64 {
        self.with_kib.saturating_sub(self.before_kib) as f64 / self.open.max(1) as f64
    }
}

/// Streams that are opened at a time.
const GROUP_SIZE: usize = 200;
/// The measurement stops after this many failed streams.
const MAX_FAILED_STREAMS: usize = 400;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Opens streams through a node until the wanted number is open or too many fail. `program` is the `pintally` binary.
pub fn open_streams(program: &Path, wanted: usize, folder: &Path) -> Result<Streams, MeasureError> {
    let list = folder.join("engines.sexp");
    let engines = folder.join("engines-day.sexp");
    fs::write(&engines, DAY).map_err(error)?;
    let start = |args: &[&std::ffi::OsStr]| {
        Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map(Process)
            .map_err(error)
    };
    let _engines = start(&["standin".as_ref(), engines.as_os_str(), "--list".as_ref(), list.as_os_str()])?;
    wait_until(Duration::from_secs(10), || list.exists())?;
    let address: SocketAddr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(error)?;
        listener.local_addr().map_err(error)?
    };
    let config = folder.join("node.sexp");
    let text = SETTINGS.replace("LISTEN", &address.to_string()).replace("LIST", &list.to_string_lossy());
    fs::write(&config, text).map_err(error)?;
    let node = start(&["serve".as_ref(), "--config".as_ref(), config.as_os_str()])?;
    wait_until(Duration::from_secs(10), || ready(address))?;
    let before_kib = resident_kib(node.0.id())?;
    let mut open = Vec::new();
    let mut failed = 0;
    while open.len() < wanted && failed < MAX_FAILED_STREAMS {
        // Opens small groups, as a node rejects requests that it cannot start in time.
        let group = GROUP_SIZE.min(wanted - open.len());
        let sent: Vec<Option<TcpStream>> = (0..group).map(|i| stream(address, open.len() + i)).collect();
        let began: Vec<TcpStream> = sent.into_iter().flatten().filter(has_begun).collect();
        failed += group - began.len();
        open.extend(began);
    }
    // Counts only streams that did not end while the others were opened.
    let running = open.iter().filter(|s| is_open(s)).count();
    let with_kib = resident_kib(node.0.id())?;
    let files_most = open_file_limit(node.0.id());
    Ok(Streams { wanted, open: running, before_kib, with_kib, files_most })
}

const SETTINGS: &str = r#"(pintally
  (node (name "n0") (listen "LISTEN") (engines "LIST"))
  (limits (connections 30000) (held 30000) (streams 30000) (stall-ms 600000))
  (rules (attempts 6) (warm-after-ms 0) (tip-window-ms 1))
  (class "hint" (effect safe) (aim-ms 5000) (patience-ms 20000))
  (kind "prefill" (role reader) (slots 512) (memory-tokens 50000000))
  (kind "decode" (role writer) (slots 30000) (memory-tokens 500000000)))"#;

/// Answers have 400 tokens with a `token-gap-ms` of 1000, so that streams stay open until the end of the measurement.
const DAY: &str = r#"(day (nodes 1)
  (class "hint" (effect safe))
  (kind "prefill" (role reader) (slots 512) (memory-tokens 50000000))
  (kind "decode" (role writer) (slots 30000) (memory-tokens 500000000))
  (engines "prefill" (count 60) (queue 60000) (read-per-s 100000000) (link-per-s 100000000))
  (engines "decode" (count 4) (queue 60000) (token-gap-ms 1000) (link-per-s 100000000))
  (traffic (class "hint")))"#;

fn stream(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let body = json!({
        "text_input": format!("stream {number}"),
        "parameters": { "class": "hint", "max_tokens": 400, "session": number },
    });
    let target = "/v2/models/default/generate_stream";
    let bytes = request("POST", target, &[("host", "n")], body.to_string().as_bytes());
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1))).ok()?;
    stream.write_all(&bytes).ok()?;
    Some(stream)
}

/// Whether the response to a stream begins within 20 s.
fn has_begun(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut head = [0u8; 12];
    matches!((&*stream).read(&mut head), Ok(12) if head == *b"HTTP/1.1 200")
}

/// Whether a stream that has begun is still open.
fn is_open(stream: &TcpStream) -> bool {
    let mut buffer = [0u8; 4096];
    let _ = stream.set_nonblocking(true);
    loop {
        match (&*stream).read(&mut buffer) {
            Ok(0) => return false,
            Ok(n) if buffer[..n].windows(5).any(|w| w == b"\r\n0\r\n") => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

fn ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let sent = stream.write_all(b"GET /v2/health/ready HTTP/1.1\r\nconnection: close\r\n\r\n");
    let mut text = String::new();
    sent.is_ok() && stream.read_to_string(&mut text).is_ok() && text.contains(" 200 ")
}

fn wait_until(max_wait: Duration, mut done: impl FnMut() -> bool) -> Result<(), MeasureError> {
    let deadline = Instant::now() + max_wait;
    while !done() {
        if Instant::now() > deadline {
            return Err(error("a process of the measurement did not become ready in time"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Resident memory of a process in KiB.
fn resident_kib(pid: u32) -> Result<u64, MeasureError> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).map_err(error)?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().split(' ').next()).and_then(|n| n.parse().ok());
    kib.ok_or_else(|| error("cannot read VmRSS of the node from /proc"))
}

fn open_file_limit(pid: u32) -> u64 {
    let limits = fs::read_to_string(format!("/proc/{pid}/limits")).unwrap_or_default();
    let line = limits.lines().find(|l| l.starts_with("Max open files"));
    line.and_then(|l| l.split_whitespace().nth(3)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

//! A small mock of the platform on loopback: scripted engines, clients, and the node itself as a process. The discovery
//! service is in `discovery_service.rs`.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use pintally_http::{
    chunk, response, response_head, Part, Request, RequestReader, ResponseReader, LAST_CHUNK,
};
use pintally_mock_engine::Port;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use serde_json::{json, Value};

pub use crate::discovery_service::{member, Discovery};

/// The longest wait for any condition: a test that waits longer fails.
pub const LONG: Duration = Duration::from_secs(20);

/// Time between the bytes of a response that trickles.
pub const TRICKLE_EVERY: Duration = Duration::from_millis(200);

pub const TOKEN: &[u8] = b"data: {\"choices\":[{\"index\":0}]}\n\n";
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// What an engine does with a request.
#[derive(Clone)]
pub enum EngineAction {
    /// Sends these bytes; the connection stays open.
    Respond(Vec<u8>),
    /// Sends these bytes and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Sends the first part, and the second when the test resumes the engine.
    RespondInTwoParts(Vec<u8>, Vec<u8>),
    /// Sends each part when the test resumes the engine.
    RespondInSteps(Vec<Vec<u8>>),
    /// Sends these bytes, and resets the connection when the test resumes the engine.
    RespondAndReset(Vec<u8>),
    /// Sends these bytes and then single bytes, [`TRICKLE_EVERY`] apart, until the connection is closed.
    RespondAndTrickle(Vec<u8>),
    /// Sends these bytes, each in its own packet.
    RespondByteByByte(Vec<u8>),
    /// Sends nothing.
    Hang,
}

/// A successful response to a read.
pub fn read_response() -> Vec<u8> {
    response(202, &[], b"{\"cached_tokens\":16}")
}

/// Whether the status shows an engine with this listing.
pub fn is_listed(status: &Value, id: &str, listing: &str) -> bool {
    let all = status["engines"].as_array().expect("engines");
    all.iter().any(|e| e["engine"] == id && e["believed"]["listing"] == listing)
}

impl EngineAction {
    pub fn read_response() -> EngineAction {
        EngineAction::Respond(read_response())
    }

    pub fn reject(status: u16) -> EngineAction {
        EngineAction::Respond(response(status, &[("X-Turned-Away", "1")], b""))
    }

    pub fn stream_response() -> EngineAction {
        EngineAction::Respond(complete_stream(&[TOKEN, TOKEN, DONE]))
    }
}

/// A complete response stream with these events.
pub fn complete_stream(parts: &[&[u8]]) -> Vec<u8> {
    [open_stream(parts), LAST_CHUNK.to_vec()].concat()
}

/// A response stream with these events that is not ended.
pub fn open_stream(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
    parts.iter().for_each(|p| bytes.extend(chunk(p)));
    bytes
}

/// A request received by an engine: engine name, method, target, request id.
pub type ReceivedRequest = (String, String, String, String);

/// The requests that engines received, and the actions of each engine for its next requests.
type RequestsAndScripts = (Vec<ReceivedRequest>, HashMap<String, Vec<EngineAction>>);

/// State that all mock engines share, with condition variables for its changes.
#[derive(Default)]
pub struct MockEngines {
    received: Mutex<RequestsAndScripts>,
    resume_permits: Mutex<u32>,
    resumed: Condvar,
    changed: Condvar,
    /// The remaining time that attempts stated: engine, request id and milliseconds.
    stated_remaining: Mutex<Vec<(String, String, u64)>>,
    /// Number of responses that were written after the test resumed an engine.
    written_count: Mutex<u32>,
}

impl MockEngines {
    /// The requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().0.clone()
    }

    /// Waits until the received requests satisfy the check.
    pub fn wait_until(&self, what: &str, check: impl Fn(&[ReceivedRequest]) -> bool) -> Vec<ReceivedRequest> {
        let end = Instant::now() + LONG;
        let mut received = self.received.lock().unwrap();
        while !check(&received.0) {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "{what} was not received: {:?}", received.0);
            received = self.changed.wait_timeout(received, left).unwrap().0;
        }
        received.0.clone()
    }

    /// The remaining time that an attempt for a request stated to an engine, in milliseconds.
    pub fn stated_remaining_ms(&self, engine: &str, id: &str) -> Option<u64> {
        let all = self.stated_remaining.lock().unwrap();
        all.iter().find(|(to, of, _)| to == engine && of == id).map(|(_, _, ms)| *ms)
    }

    /// Resumes one waiting engine, and waits until it has written its response.
    pub fn resume_and_wait(&self) {
        let before = *self.written_count.lock().unwrap();
        self.resume();
        let end = Instant::now() + LONG;
        let mut written_count = self.written_count.lock().unwrap();
        while *written_count == before {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no engine resumed");
            written_count = self.changed.wait_timeout(written_count, left).unwrap().0;
        }
    }

    fn notify_written(&self) {
        *self.written_count.lock().unwrap() += 1;
        self.changed.notify_all();
    }

    /// Resumes one waiting engine.
    pub fn resume(&self) {
        *self.resume_permits.lock().unwrap() += 1;
        self.resumed.notify_all();
    }

    fn wait_for_resume(&self) {
        let mut resume_permits = self.resume_permits.lock().unwrap();
        while *resume_permits == 0 {
            resume_permits = self.resumed.wait_timeout(resume_permits, LONG).unwrap().0;
        }
        *resume_permits -= 1;
    }

    /// Sets the actions of an engine for its next requests; the last action is repeated. The name `"w0 releases"` sets
    /// the actions for release calls to `w0`.
    pub fn script(&self, engine: &str, actions: &[EngineAction]) {
        self.received.lock().unwrap().1.insert(engine.into(), actions.to_vec());
    }

    fn next_action(&self, engine: &str, request: &Request) -> EngineAction {
        let mut received = self.received.lock().unwrap();
        let id = match request.headers.get("x-txn") {
            Some(id) => id.to_string(),
            None => request.target.rsplit('/').next().unwrap_or("").to_string(),
        };
        received.0.push((engine.into(), request.method.clone(), request.target.clone(), id));
        self.changed.notify_all();
        if let Some(ms) = request.headers.get("x-remaining-ms").and_then(|ms| ms.trim().parse().ok()) {
            let id = request.headers.get("x-txn").unwrap_or("").to_string();
            self.stated_remaining.lock().unwrap().push((engine.into(), id, ms));
        }
        let releases = request.method == "DELETE";
        let script_key = if releases { format!("{engine} releases") } else { engine.to_string() };
        let script = received.1.entry(script_key).or_default();
        match script.len() {
            0 if releases => EngineAction::Respond(response(204, &[], b"")),
            0 => {
                if engine.starts_with('r') {
                    EngineAction::read_response()
                } else {
                    EngineAction::stream_response()
                }
            }
            1 => script[0].clone(),
            _ => script.remove(0),
        }
    }
}

fn serve_engine(name: String, listener: TcpListener, mock_engines: Arc<MockEngines>) {
    for stream in listener.incoming().flatten() {
        let (name, mock_engines) = (name.clone(), mock_engines.clone());
        std::thread::spawn(move || {
            let mut stream = stream;
            let (mut reader, mut buffer) = (RequestReader::new(1 << 16, 1 << 20), [0; 4096]);
            loop {
                while let Ok(Some(request)) = reader.next_request() {
                    match mock_engines.next_action(&name, &request) {
                        EngineAction::Respond(bytes) => drop(stream.write_all(&bytes)),
                        EngineAction::RespondAndClose(bytes) => {
                            let _ = stream.write_all(&bytes);
                            return;
                        }
                        EngineAction::RespondInTwoParts(first, second) => {
                            let _ = stream.write_all(&first);
                            mock_engines.wait_for_resume();
                            let _ = stream.write_all(&second);
                            mock_engines.notify_written();
                        }
                        EngineAction::RespondInSteps(steps) => {
                            for step in steps {
                                mock_engines.wait_for_resume();
                                let _ = stream.write_all(&step);
                                mock_engines.notify_written();
                            }
                        }
                        EngineAction::RespondAndReset(first) => {
                            let _ = stream.write_all(&first);
                            mock_engines.wait_for_resume();
                            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            drop(stream);
                            return mock_engines.notify_written();
                        }
                        EngineAction::RespondAndTrickle(first) => {
                            let _ = stream.write_all(&first);
                            while stream.write_all(b"x").is_ok() {
                                std::thread::sleep(TRICKLE_EVERY);
                            }
                            return;
                        }
                        EngineAction::RespondByteByByte(bytes) => {
                            let _ = stream.set_nodelay(true);
                            bytes.iter().for_each(|byte| drop(stream.write_all(&[*byte])));
                        }
                        EngineAction::Hang => {}
                    }
                }
                match stream.read(&mut buffer) {
                    Ok(n) if n > 0 => reader.push(&buffer[..n]),
                    _ => return,
                }
            }
        });
    }
}

/// Starts mock engines; those with names that begin with `r` are readers.
pub fn serve_engines<'a>(engines: &[&'a str]) -> (Arc<MockEngines>, Vec<(&'a str, SocketAddr)>) {
    let mock_engines = Arc::new(MockEngines::default());
    let mut addresses = Vec::new();
    for name in engines {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        addresses.push((*name, listener.local_addr().unwrap()));
        let (name, mock_engines) = (name.to_string(), mock_engines.clone());
        std::thread::spawn(move || serve_engine(name, listener, mock_engines));
    }
    (mock_engines, addresses)
}

/// A node process with its engines and discovery service.
pub struct Harness {
    pub mock_engines: Arc<MockEngines>,
    pub discovery: Arc<Discovery>,
    pub engines: HashMap<String, SocketAddr>,
    pub node_address: SocketAddr,
    pub config: Value,
    pub config_file: PathBuf,
    /// While this file exists, the selected system calls of a node with injected failures fail.
    pub faults_file: PathBuf,
    env: Vec<(String, String)>,
    child: Child,
    _dir: tempfile::TempDir,
    _port: Port,
}

impl Harness {
    /// Starts mock engines (readers have names that begin with `r`), discovery and a node with a limit of descriptors,
    /// and waits until the node is ready.
    pub fn new(engines: &[&str], sockets: usize) -> Harness {
        let (mock_engines, addresses) = serve_engines(engines);
        let mut harness = Harness::with_engines(&addresses, sockets);
        harness.mock_engines = mock_engines;
        harness
    }

    /// A node with engines that run already.
    pub fn with_engines(engines: &[(&str, SocketAddr)], sockets: usize) -> Harness {
        Harness::with_config(engines, sockets, Arc::new(Discovery::default()), |_| {})
    }

    /// Like [`Harness::with_engines`] with the given discovery service and changed configuration.
    pub fn with_config(
        engines: &[(&str, SocketAddr)],
        sockets: usize,
        discovery: Arc<Discovery>,
        change: impl Fn(&mut Value),
    ) -> Harness {
        Harness::launch(engines, sockets, discovery, change, &[], false)
    }

    /// Like [`Harness::new`] with one kind of system call that always fails while the file `faults_file` exists; with
    /// `from_start` it exists when the node starts, and the node may not be ready yet.
    pub fn with_failing_calls(engines: &[&str], call: &str, from_start: bool) -> Harness {
        let (mock_engines, addresses) = serve_engines(engines);
        let discovery = Arc::new(Discovery::default());
        let env = [("PINTALLY_FAULTS", "1 1000"), ("PINTALLY_FAULTS_ONLY", call)];
        let mut harness = Harness::launch(&addresses, 256, discovery, |_| {}, &env, from_start);
        harness.mock_engines = mock_engines;
        harness
    }

    /// A node with a wall clock that is ahead of the real clock by this many seconds.
    pub fn with_clock_shift(engines: &[(&str, SocketAddr)], seconds: i64) -> Harness {
        let shift = seconds.to_string();
        let env = [("PINTALLY_CLOCK_SHIFT", shift.as_str())];
        Harness::launch(engines, 256, Arc::new(Discovery::default()), |_| {}, &env, false)
    }

    fn launch(
        engines: &[(&str, SocketAddr)],
        sockets: usize,
        discovery: Arc<Discovery>,
        change: impl Fn(&mut Value),
        faults_env: &[(&str, &str)],
        from_start: bool,
    ) -> Harness {
        let mock_engines = Arc::new(MockEngines::default());
        discovery.set_members(engines.iter().map(|(name, address)| member(name, *address, "up")).collect());
        let addresses = engines.iter().map(|(name, address)| (name.to_string(), *address)).collect();
        let at = discovery.serve();
        // The port stays reserved while the node runs: another test could be given a port that is only free.
        let port = Port::hold().unwrap();
        let node_address = port.address().unwrap();
        let mut config = configuration(node_address, at, sockets);
        change(&mut config);
        let dir = tempfile::tempdir().unwrap();
        let config_file = dir.path().join("config.json");
        std::fs::write(&config_file, config.to_string()).unwrap();
        let faults_file = dir.path().join("faults");
        let mut env = Vec::new();
        if !faults_env.is_empty() {
            let library = pintally_soak::fault_layer::build(dir.path()).expect("a C compiler");
            env.push(("LD_PRELOAD".to_string(), library.display().to_string()));
            env.push(("PINTALLY_FAULTS_WHILE".to_string(), faults_file.display().to_string()));
            env.extend(faults_env.iter().map(|(name, value)| (name.to_string(), value.to_string())));
        }
        if from_start {
            std::fs::write(&faults_file, "").unwrap();
        }
        let child = start_node(&config_file, node_address, &env);
        let harness = Harness {
            mock_engines,
            discovery,
            engines: addresses,
            node_address,
            config,
            config_file,
            faults_file,
            env,
            child,
            _dir: dir,
            _port: port,
        };
        if !from_start {
            harness.wait_until_ready();
        }
        harness
    }

    /// Kills the node, starts it again with the same name and address, and waits until it is ready.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = start_node(&self.config_file, self.node_address, &self.env);
        self.wait_until_ready();
    }

    /// Kills the node and starts it again with a verbose log that goes to this pipe.
    pub fn restart_with_verbose_log(&mut self, log: std::io::PipeWriter) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut command = node_command("debug", &self.config_file, self.node_address, &self.env);
        self.child = command.stderr(log).spawn().expect("the node starts");
        self.wait_until_ready();
    }

    /// Kills the node and starts it again; the connections of the returned clients are the first that it accepts.
    pub fn restart_with_first_clients(&mut self, many: usize) -> Vec<Client> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = start_node(&self.config_file, self.node_address, &self.env);
        let end = Instant::now() + LONG;
        let mut clients = Vec::new();
        while clients.len() < many {
            assert!(Instant::now() < end, "the node does not listen");
            match TcpStream::connect(self.node_address) {
                Ok(stream) => clients.push(Client::from_stream(stream)),
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
        clients
    }

    /// Sends SIGTERM and a request with this id, whose rejection shows that the node is shutting down.
    pub fn request_shutdown(&self, id: &str) {
        self.signal("-TERM");
        let mut other = Client::new(self);
        other.send_request("safe", id);
        assert_eq!(other.receive_response().0, 503);
    }

    /// Moves discovery to a new address by a reload of the configuration.
    pub fn move_discovery(&self) {
        let mut config = self.config.clone();
        config["discovery"] = json!(self.discovery.serve());
        std::fs::write(&self.config_file, config.to_string()).unwrap();
        self.signal("-HUP");
    }

    /// Pauses the node's process until [`Harness::resume_process`], so that all events of the pause reach the node in
    /// one iteration.
    pub fn pause_process(&self) {
        self.signal("-STOP");
        let end = Instant::now() + LONG;
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        while !state().rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
            assert!(Instant::now() < end, "the node does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Resumes a paused node.
    pub fn resume_process(&self) {
        self.signal("-CONT");
    }

    /// Waits until the node is ready.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + LONG;
        loop {
            assert!(Instant::now() < end, "the node did not become ready");
            let up = TcpStream::connect(self.node_address).is_ok() && {
                let mut client = Client::new(self);
                client.send(b"GET /up HTTP/1.1\r\n\r\n");
                client.receive_response().0 == 200
            };
            if up {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The id of the node's process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the node.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the node exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the node did not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The status document of the node.
    pub fn status(&self) -> Value {
        let mut client = Client::new(self);
        client.send(b"GET /pintally/beliefs HTTP/1.1\r\n\r\n");
        serde_json::from_slice(&client.receive_response().1).expect("a JSON document")
    }

    /// Waits until the status document satisfies the check.
    pub fn wait_until_status(&self, what: &str, check: impl Fn(&Value) -> bool) {
        let end = Instant::now() + LONG;
        while !check(&self.status()) {
            assert!(Instant::now() < end, "{what}: {}", self.status());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_node(config_file: &std::path::Path, listen: SocketAddr, env: &[(String, String)]) -> Child {
    let level = std::env::var("PINTALLY_TEST_LOG").unwrap_or("warn".into());
    let mut command = node_command(&level, config_file, listen, env);
    command.stderr(Stdio::inherit()).spawn().expect("the node starts")
}

fn node_command(
    level: &str,
    config_file: &std::path::Path,
    listen: SocketAddr,
    env: &[(String, String)],
) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pintally"));
    command
        .args(["--log-level", level, "platform"])
        .env("BALANCER_CONFIG", config_file)
        .env("BALANCER_LISTEN", listen.to_string())
        .envs(env.iter().cloned());
    command
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, sockets: usize) -> Value {
    let class = |name: &str, effect: &str| json!({"name": name, "deadline": 8.0, "effect": effect, "gain": 1.0, "objective": 4.0, "late_value": 0.2});
    json!({
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "1f",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": sockets}, "known": null,
        "settings": {
            "balancers": 1, "me": 0, "zone": "a", "discovery": "pushed", "weight_kind": "nominal",
            "family_info": {"duty_by_kind": ["read", "write"], "let_go_by": 0.5, "memory_tokens": [200000, 200000]},
            "feedback": {"fields": ["x0", "x1"], "source": "inline"}, "machine_types": ["m1", "m2"],
            "permissions": {"attempts_cap": 6, "may_cancel": true, "connect_timeout": 0.25, "keepalive": 15.0},
            "profiles": [class("safe", "repeatable"), class("once", "once")],
            "rules": {"cold_from": 0.3, "overload_for": 1.5, "tip_multiple": 2.5, "warm_after": 14.0},
        },
    })
}

/// The connection of a client.
pub struct Client {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

/// Disconnects at once. Dropping the stream is not enough: a process that another test is starting holds a copy of it
/// until it executes its program, and the end of the stream would reach the node only after that.
impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Client {
    pub fn new(harness: &Harness) -> Client {
        Client::from_stream(TcpStream::connect(harness.node_address).expect("the node listens"))
    }

    /// A client with an existing connection.
    pub fn from_stream(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { stream, unread: Vec::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node reads it");
    }

    /// Sends a request with a class and an id.
    pub fn send_request(&mut self, class: &str, id: &str) {
        self.send(&request_bytes(class, id));
    }

    /// The next response: its status, its body, and whether it was complete.
    pub fn receive_response(&mut self) -> (u16, Vec<u8>, bool) {
        let (mut reader, mut buffer) = (ResponseReader::new(1 << 16), vec![0; 1 << 16]);
        let (mut status, mut body) = (0, Vec::new());
        loop {
            let unread = std::mem::take(&mut self.unread);
            reader.push(&unread);
            loop {
                match reader.next_part() {
                    Ok(Some(Part::Head(s, _))) => status = s,
                    Ok(Some(Part::Body(b))) => body.extend(b),
                    Ok(Some(Part::End(_))) => {
                        self.unread = reader.take_leftover();
                        return (status, body, true);
                    }
                    Ok(None) => break,
                    Err(e) => panic!("the node sent invalid HTTP: {e}"),
                }
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return (status, body, false),
                Ok(n) => self.unread = buffer[..n].to_vec(),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return (status, body, false),
                // A read with a timeout is interrupted when this process is stopped and continued.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => panic!("no response was received: {e}"),
            }
        }
    }

    /// Waits until the response contains these bytes; `receive_response` still returns them.
    pub fn wait_for_bytes(&mut self, mark: &[u8]) {
        let mut buffer = [0; 4096];
        while !self.unread.windows(mark.len()).any(|w| w == mark) {
            let n = match self.stream.read(&mut buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other.expect("the response begins"),
            };
            assert!(n > 0, "the connection ended");
            self.unread.extend_from_slice(&buffer[..n]);
        }
    }

    /// Waits until the connection is reset. The end of the node's side alone is no reset.
    pub fn wait_for_reset(&self) -> bool {
        let mut reset = [PollFd::new(&self.stream, PollFlags::empty())];
        let timeout = Timespec { tv_sec: LONG.as_secs() as i64, tv_nsec: 0 };
        loop {
            match poll(&mut reset, Some(&timeout)) {
                Err(Errno::INTR) => {}
                ready => return ready.is_ok_and(|ready| ready > 0),
            }
        }
    }

    /// Waits until the node closes the connection; false if there is an error instead.
    pub fn wait_for_close(&mut self) -> bool {
        let mut buffer = [0; 4096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

/// The bytes of a request.
pub fn request_bytes(class: &str, id: &str) -> Vec<u8> {
    request_bytes_with_timeout(class, id, 6_000)
}

/// The bytes of a request whose client waits for this many milliseconds.
pub fn request_bytes_with_timeout(class: &str, id: &str, ms: u64) -> Vec<u8> {
    request_bytes_with_body(class, id, ms, "{\"model\":\"m\",\"stream\":true}")
}

/// The bytes of a request with a body of about this many bytes.
pub fn large_request_bytes(class: &str, id: &str, ms: u64, body_bytes: usize) -> Vec<u8> {
    let body = format!("{{\"model\":\"m\",\"stream\":true,\"pad\":\"{}\"}}", "x".repeat(body_bytes));
    request_bytes_with_body(class, id, ms, &body)
}

fn request_bytes_with_body(class: &str, id: &str, ms: u64, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Entity: {id}\r\n\
         X-Remaining-Ms: {ms}\r\nX-Labels: prompt_len=400,prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Opens connections to a listener that accepts none, until its backlog is full, and returns them.
pub fn fill_accept_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let (mut connections, mut failed) = (Vec::new(), 0);
    // A slow machine may exceed the timeout although the backlog has room: only several failures in a row show
    // that the backlog is full.
    while failed < 3 {
        match TcpStream::connect_timeout(&address, Duration::from_millis(40)) {
            Ok(stream) => {
                failed = 0;
                connections.push(stream);
            }
            Err(_) => failed += 1,
        }
    }
    connections
}

/// The peak of a process's resident memory, in bytes.
pub fn peak_memory(pid: u32) -> usize {
    process_memory(pid, "VmHWM:")
}

/// One of the sizes that the system states for a process, in bytes.
pub fn process_memory(pid: u32, field: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).expect("a size");
    let kilobytes: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes << 10
}

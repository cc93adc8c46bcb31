//! A small mock of the platform on loopback: scripted engines, discovery that
//! can be changed, and the node itself as a process.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use pintally_http::{
    chunk, response, response_head, Part, Request, RequestReader, ResponseReader, LAST_CHUNK,
};
use pintally_mock_engine::Port;
use serde_json::{json, Value};

/// Nothing is waited for longer than this: a test that gets here has failed.
pub const LONG: Duration = Duration::from_secs(20);

/// Between the bytes of an engine whose answer trickles in.
pub const TRICKLE_EVERY: Duration = Duration::from_millis(200);

pub const TOKEN: &[u8] = b"data: {\"choices\":[{\"index\":0}]}\n\n";
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// What an engine does with a request.
#[derive(Clone)]
pub enum Does {
    /// Answers with these bytes; the connection stays.
    Says(Vec<u8>),
    /// The same, and then the connection ends.
    SaysAndEnds(Vec<u8>),
    /// The first, and the second when the test lets it go on.
    SaysThen(Vec<u8>, Vec<u8>),
    /// Each of these when the test lets it go on.
    SaysInSteps(Vec<Vec<u8>>),
    /// The first, and a reset of the connection when the test lets it go on.
    SaysThenResets(Vec<u8>),
    /// The first, and then byte after byte, [`TRICKLE_EVERY`] apart, until the connection ends.
    SaysThenTrickles(Vec<u8>),
    /// These bytes, each in a packet of its own.
    SaysByBytes(Vec<u8>),
    /// Nothing.
    Hangs,
}

/// The answer to a read.
pub fn read_answer() -> Vec<u8> {
    response(202, &[], b"{\"cached_tokens\":16}")
}

/// Whether a node believes that an engine is listed so.
pub fn is_listed(beliefs: &Value, id: &str, listing: &str) -> bool {
    let all = beliefs["engines"].as_array().expect("engines");
    all.iter().any(|e| e["engine"] == id && e["believed"]["listing"] == listing)
}

impl Does {
    pub fn reads() -> Does {
        Does::Says(read_answer())
    }

    pub fn turns_away(status: u16) -> Does {
        Does::Says(response(status, &[("X-Turned-Away", "1")], b""))
    }

    pub fn streams() -> Does {
        Does::Says(stream(&[TOKEN, TOKEN, DONE]))
    }
}

/// A whole stream of such parts.
pub fn stream(parts: &[&[u8]]) -> Vec<u8> {
    [begun(parts), LAST_CHUNK.to_vec()].concat()
}

/// A stream of such parts that goes on.
pub fn begun(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
    parts.iter().for_each(|p| bytes.extend(chunk(p)));
    bytes
}

/// What came to an engine: which, method, target, id.
pub type Came = (String, String, String, String);

/// What came to engines, and what each does with the next requests.
type Record = (Vec<Came>, HashMap<String, Vec<Does>>);

/// What all of the stand-in shares, with word of each change.
#[derive(Default)]
pub struct Seen {
    came: Mutex<Record>,
    going: Mutex<u32>,
    go: Condvar,
    word: Condvar,
    /// The remaining time that attempts stated to their engines, by engine, id and in milliseconds.
    remaining: Mutex<Vec<(String, String, u64)>>,
    /// Answers that were let go on and have been written since.
    written: Mutex<u32>,
}

impl Seen {
    /// What has come so far.
    pub fn came(&self) -> Vec<Came> {
        self.came.lock().unwrap().0.clone()
    }

    /// Waits until what has come satisfies the check.
    pub fn until(&self, what: &str, check: impl Fn(&[Came]) -> bool) -> Vec<Came> {
        let end = Instant::now() + LONG;
        let mut came = self.came.lock().unwrap();
        while !check(&came.0) {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "{what} never came: {:?}", came.0);
            came = self.word.wait_timeout(came, left).unwrap().0;
        }
        came.0.clone()
    }

    /// The remaining time that an attempt for a request stated to an engine, in milliseconds.
    pub fn remaining(&self, engine: &str, id: &str) -> Option<u64> {
        let all = self.remaining.lock().unwrap();
        all.iter().find(|(to, of, _)| to == engine && of == id).map(|(_, _, ms)| *ms)
    }

    /// Lets one engine that waits go on, and waits until what it says then is written.
    pub fn go_on_and_write(&self) {
        let before = *self.written.lock().unwrap();
        self.go_on();
        let end = Instant::now() + LONG;
        let mut written = self.written.lock().unwrap();
        while *written == before {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no engine went on");
            written = self.word.wait_timeout(written, left).unwrap().0;
        }
    }

    fn wrote(&self) {
        *self.written.lock().unwrap() += 1;
        self.word.notify_all();
    }

    /// Lets one engine that waits go on.
    pub fn go_on(&self) {
        *self.going.lock().unwrap() += 1;
        self.go.notify_all();
    }

    fn wait_to_go_on(&self) {
        let mut going = self.going.lock().unwrap();
        while *going == 0 {
            going = self.go.wait_timeout(going, LONG).unwrap().0;
        }
        *going -= 1;
    }

    /// What the engine does with the next requests (`"w0 releases"`: with calls that release), the last of
    /// it from then on.
    pub fn let_do(&self, engine: &str, does: &[Does]) {
        self.came.lock().unwrap().1.insert(engine.into(), does.to_vec());
    }

    fn next(&self, engine: &str, request: &Request) -> Does {
        let mut came = self.came.lock().unwrap();
        let id = match request.headers.get("x-txn") {
            Some(id) => id.to_string(),
            None => request.target.rsplit('/').next().unwrap_or("").to_string(),
        };
        came.0.push((engine.into(), request.method.clone(), request.target.clone(), id));
        self.word.notify_all();
        if let Some(ms) = request.headers.get("x-remaining-ms").and_then(|ms| ms.trim().parse().ok()) {
            let id = request.headers.get("x-txn").unwrap_or("").to_string();
            self.remaining.lock().unwrap().push((engine.into(), id, ms));
        }
        let releases = request.method == "DELETE";
        let plan_of = if releases { format!("{engine} releases") } else { engine.to_string() };
        let plan = came.1.entry(plan_of).or_default();
        match plan.len() {
            0 if releases => Does::Says(response(204, &[], b"")),
            0 => {
                if engine.starts_with('r') {
                    Does::reads()
                } else {
                    Does::streams()
                }
            }
            1 => plan[0].clone(),
            _ => plan.remove(0),
        }
    }
}

fn serve_engine(name: String, listener: TcpListener, seen: Arc<Seen>) {
    for stream in listener.incoming().flatten() {
        let (name, seen) = (name.clone(), seen.clone());
        std::thread::spawn(move || {
            let mut stream = stream;
            let (mut reader, mut some) = (RequestReader::new(1 << 16, 1 << 20), [0; 4096]);
            loop {
                while let Ok(Some(request)) = reader.next_request() {
                    match seen.next(&name, &request) {
                        Does::Says(bytes) => drop(stream.write_all(&bytes)),
                        Does::SaysAndEnds(bytes) => {
                            let _ = stream.write_all(&bytes);
                            return;
                        }
                        Does::SaysThen(first, second) => {
                            let _ = stream.write_all(&first);
                            seen.wait_to_go_on();
                            let _ = stream.write_all(&second);
                            seen.wrote();
                        }
                        Does::SaysInSteps(steps) => {
                            for step in steps {
                                seen.wait_to_go_on();
                                let _ = stream.write_all(&step);
                                seen.wrote();
                            }
                        }
                        Does::SaysThenResets(first) => {
                            let _ = stream.write_all(&first);
                            seen.wait_to_go_on();
                            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            drop(stream);
                            return seen.wrote();
                        }
                        Does::SaysThenTrickles(first) => {
                            let _ = stream.write_all(&first);
                            while stream.write_all(b"x").is_ok() {
                                std::thread::sleep(TRICKLE_EVERY);
                            }
                            return;
                        }
                        Does::SaysByBytes(bytes) => {
                            let _ = stream.set_nodelay(true);
                            bytes.iter().for_each(|byte| drop(stream.write_all(&[*byte])));
                        }
                        Does::Hangs => {}
                    }
                }
                match stream.read(&mut some) {
                    Ok(n) if n > 0 => reader.push(&some[..n]),
                    _ => return,
                }
            }
        });
    }
}

/// Discovery: the list, and the watches that are open.
#[derive(Default)]
pub struct Discovery {
    inner: Mutex<(u64, Vec<Value>, Vec<TcpStream>)>,
    word: Condvar,
    /// Watches that are opened now get no answer, as while discovery is down.
    silent: AtomicBool,
    /// Watches that came while it was silent.
    unanswered: Mutex<Vec<TcpStream>>,
    /// Bytes of the whole list are written one by one.
    by_bytes: AtomicBool,
    /// Watches are answered after so many milliseconds.
    answers_after_ms: AtomicU64,
}

impl Discovery {
    /// Serves at a new address, which it returns.
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
                    discovery.word.notify_all();
                    continue;
                }
                let slow = discovery.answers_after_ms.load(Ordering::SeqCst);
                if slow > 0 {
                    let discovery = discovery.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(slow));
                        discovery.answer(stream);
                    });
                    continue;
                }
                discovery.answer(stream);
            }
        });
        address
    }

    /// Answers a watch with the whole list.
    fn answer(&self, mut stream: TcpStream) {
        let mut inner = self.inner.lock().unwrap();
        let whole = json!({"revision": inner.0, "complete": true, "members": inner.1});
        let answer = [response_head(200, &[]), chunk(format!("{whole}\n").as_bytes())].concat();
        if self.by_bytes.load(Ordering::SeqCst) {
            let _ = stream.set_nodelay(true);
            answer.iter().for_each(|byte| drop(stream.write_all(&[*byte])));
        } else {
            let _ = stream.write_all(&answer);
        }
        inner.2.push(stream);
        self.word.notify_all();
    }

    /// Watches that are opened from now on are answered after this time.
    pub fn answer_after(&self, time: Duration) {
        self.answers_after_ms.store(time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Changes one entry and tells all watches.
    pub fn change(&self, member: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.0 += 1;
        inner.1.retain(|m| m["id"] != member["id"]);
        let line = json!({"revision": inner.0, "complete": false, "members": [member]});
        inner.1.push(member);
        self.tell(&mut inner.2, &format!("{line}\n"));
    }

    /// Forgets an entry without a word: lists from here on are whole without it.
    pub fn forget(&self, id: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.0 += 1;
        inner.1.retain(|m| m["id"] != id);
    }

    /// Whether watches that are opened from now on get no answer.
    pub fn be_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Lists are written byte by byte from now on.
    pub fn write_by_bytes(&self) {
        self.by_bytes.store(true, Ordering::SeqCst);
    }

    /// Resets all watches that are open.
    pub fn reset_watches(&self) {
        for watch in &self.inner.lock().unwrap().2 {
            let _ = socket2::SockRef::from(watch).set_linger(Some(Duration::ZERO));
            let _ = watch.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Changes one entry without telling the open watches: they miss it.
    pub fn change_unheard(&self, member: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.0 += 1;
        inner.1.retain(|m| m["id"] != member["id"]);
        inner.1.push(member);
    }

    /// Waits until so many watches have come in all while it was silent.
    pub fn until_unanswered(&self, times: usize) {
        let end = Instant::now() + LONG;
        while self.unanswered.lock().unwrap().len() < times {
            assert!(Instant::now() < end, "no watch was opened");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Tells all watches something.
    pub fn say(&self, line: &str) {
        self.tell(&mut self.inner.lock().unwrap().2, line);
    }

    fn tell(&self, watches: &mut Vec<TcpStream>, line: &str) {
        watches.retain_mut(|w| w.write_all(&chunk(line.as_bytes())).is_ok());
    }

    /// Waits until so many watches have been opened in all.
    pub fn until_watched(&self, times: usize) {
        let end = Instant::now() + LONG;
        let mut inner = self.inner.lock().unwrap();
        while inner.2.len() < times {
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "no watch was opened");
            inner = self.word.wait_timeout(inner, left).unwrap().0;
        }
    }
}

/// An entry of the list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    let flavor = if id.starts_with('r') { "m1" } else { "m2" };
    json!({"id": id, "host_port": address, "locality": "a", "flavor": flavor, "cell": 1, "phase": phase,
           "size": 1.0, "up_since_ms": 0})
}

/// Starts engines; those that begin with `r` read.
pub fn serve_engines<'a>(engines: &[&'a str]) -> (Arc<Seen>, Vec<(&'a str, SocketAddr)>) {
    let seen = Arc::new(Seen::default());
    let mut addresses = Vec::new();
    for name in engines {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        addresses.push((*name, listener.local_addr().unwrap()));
        let (name, seen) = (name.to_string(), seen.clone());
        std::thread::spawn(move || serve_engine(name, listener, seen));
    }
    (seen, addresses)
}

/// A node before engines.
pub struct Stand {
    pub seen: Arc<Seen>,
    pub discovery: Arc<Discovery>,
    pub engines: HashMap<String, SocketAddr>,
    pub node: SocketAddr,
    pub config: Value,
    pub file: PathBuf,
    /// While this file is there, calls of a node under faults fail.
    pub faults: PathBuf,
    env: Vec<(String, String)>,
    child: Child,
    _dir: tempfile::TempDir,
    _port: Port,
}

impl Stand {
    /// Starts engines (those that begin with `r` read), discovery and a node with so many descriptors,
    /// and waits until the node is ready.
    pub fn new(engines: &[&str], sockets: usize) -> Stand {
        let (seen, addresses) = serve_engines(engines);
        let mut stand = Stand::before(&addresses, sockets);
        stand.seen = seen;
        stand
    }

    /// A node before engines that are there already.
    pub fn before(engines: &[(&str, SocketAddr)], sockets: usize) -> Stand {
        Stand::configured(engines, sockets, Arc::new(Discovery::default()), |_| {})
    }

    /// The same with such a discovery and with other settings.
    pub fn configured(
        engines: &[(&str, SocketAddr)],
        sockets: usize,
        discovery: Arc<Discovery>,
        change: impl Fn(&mut Value),
    ) -> Stand {
        Stand::launched(engines, sockets, discovery, change, &[], false)
    }

    /// The same with one of the node's system calls failing, each time, while the file `faults` is there, as it is at
    /// the start if `from_start`.
    pub fn under_faults(engines: &[&str], call: &str, from_start: bool) -> Stand {
        let (seen, addresses) = serve_engines(engines);
        let discovery = Arc::new(Discovery::default());
        let env = [("PINTALLY_FAULTS", "1 1000"), ("PINTALLY_FAULTS_ONLY", call)];
        let mut stand = Stand::launched(&addresses, 256, discovery, |_| {}, &env, from_start);
        stand.seen = seen;
        stand
    }

    /// A node whose machine's wall clock is so many seconds ahead of everyone else's.
    pub fn with_clock_shifted(engines: &[(&str, SocketAddr)], seconds: i64) -> Stand {
        let shift = seconds.to_string();
        let env = [("PINTALLY_CLOCK_SHIFT", shift.as_str())];
        Stand::launched(engines, 256, Arc::new(Discovery::default()), |_| {}, &env, false)
    }

    fn launched(
        engines: &[(&str, SocketAddr)],
        sockets: usize,
        discovery: Arc<Discovery>,
        change: impl Fn(&mut Value),
        faults_env: &[(&str, &str)],
        from_start: bool,
    ) -> Stand {
        let seen = Arc::new(Seen::default());
        *discovery.inner.lock().unwrap() =
            (1, engines.iter().map(|(name, address)| member(name, *address, "up")).collect(), Vec::new());
        let addresses = engines.iter().map(|(name, address)| (name.to_string(), *address)).collect();
        let at = discovery.serve();
        // Held until the node has it, and after: another test might be given a port that is merely free.
        let port = Port::hold().unwrap();
        let node = port.address().unwrap();
        let mut config = configuration(node, at, sockets);
        change(&mut config);
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let faults = dir.path().join("faults");
        let mut env = Vec::new();
        if !faults_env.is_empty() {
            let library = pintally_soak::fault_layer::build(dir.path()).expect("a compiler for C is there");
            env.push(("LD_PRELOAD".to_string(), library.display().to_string()));
            env.push(("PINTALLY_FAULTS_WHILE".to_string(), faults.display().to_string()));
            env.extend(faults_env.iter().map(|(name, value)| (name.to_string(), value.to_string())));
        }
        if from_start {
            std::fs::write(&faults, "").unwrap();
        }
        let child = start_node(&file, node, &env);
        let stand = Stand {
            seen,
            discovery,
            engines: addresses,
            node,
            config,
            file,
            faults,
            env,
            child,
            _dir: dir,
            _port: port,
        };
        if !from_start {
            stand.until_ready();
        }
        stand
    }

    /// Kills the node and starts it again under its name and address; waits until it is ready.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = start_node(&self.file, self.node, &self.env);
        self.until_ready();
    }

    /// Kills the node and starts it again; these clients' connections are the first that it takes.
    pub fn restart_with_first_clients(&mut self, many: usize) -> Vec<Client> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = start_node(&self.file, self.node, &self.env);
        let end = Instant::now() + LONG;
        let mut clients = Vec::new();
        while clients.len() < many {
            assert!(Instant::now() < end, "the node never listened");
            match TcpStream::connect(self.node) {
                Ok(stream) => clients.push(Client::over(stream)),
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
        clients
    }

    /// Tells the node to stop; it knows once it refuses a request, here one of that id.
    pub fn tell_to_stop(&self, id: &str) {
        self.signal("-TERM");
        let mut other = Client::new(self);
        other.ask("safe", id);
        assert_eq!(other.answer().0, 503);
    }

    /// Moves discovery to a new address, by a new configuration.
    pub fn move_discovery(&self) {
        let mut config = self.config.clone();
        config["discovery"] = json!(self.discovery.serve());
        std::fs::write(&self.file, config.to_string()).unwrap();
        self.signal("-HUP");
    }

    /// Stops the node's process until [`Stand::wake`]: what happens meanwhile comes to it all at once.
    pub fn pause(&self) {
        self.signal("-STOP");
        let end = Instant::now() + LONG;
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        while !state().rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
            assert!(Instant::now() < end, "the node does not stop");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Lets a stopped node go on.
    pub fn wake(&self) {
        self.signal("-CONT");
    }

    /// Waits until the node is ready.
    pub fn until_ready(&self) {
        let end = Instant::now() + LONG;
        loop {
            assert!(Instant::now() < end, "the node never was ready");
            let up = TcpStream::connect(self.node).is_ok() && {
                let mut client = Client::new(self);
                client.send(b"GET /up HTTP/1.1\r\n\r\n");
                client.answer().0 == 200
            };
            if up {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The node's process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the node a signal.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the node to end by itself.
    pub fn ended(&mut self) -> ExitStatus {
        let end = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the node did not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// What the node believes.
    pub fn beliefs(&self) -> Value {
        let mut client = Client::new(self);
        client.send(b"GET /pintally/beliefs HTTP/1.1\r\n\r\n");
        serde_json::from_slice(&client.answer().1).expect("a page of JSON")
    }

    /// Waits until the node believes something.
    pub fn until_believed(&self, what: &str, check: impl Fn(&Value) -> bool) {
        let end = Instant::now() + LONG;
        while !check(&self.beliefs()) {
            assert!(Instant::now() < end, "{what}: {}", self.beliefs());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_node(file: &std::path::Path, listen: SocketAddr, env: &[(String, String)]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_pintally"))
        .args(["--log-level", &std::env::var("PINTALLY_TEST_LOG").unwrap_or("warn".into()), "platform"])
        .env("BALANCER_CONFIG", file)
        .env("BALANCER_LISTEN", listen.to_string())
        .envs(env.iter().cloned())
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the node starts")
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

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    left: Vec<u8>,
}

impl Client {
    pub fn new(stand: &Stand) -> Client {
        Client::over(TcpStream::connect(stand.node).expect("the node listens"))
    }

    /// A client on a connection that is there already.
    pub fn over(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { stream, left: Vec::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node takes it");
    }

    /// A request of a class under an id.
    pub fn ask(&mut self, class: &str, id: &str) {
        self.send(&asked(class, id));
    }

    /// The next answer: its status, its body, whether it was whole.
    pub fn answer(&mut self) -> (u16, Vec<u8>, bool) {
        let (mut reader, mut some) = (ResponseReader::new(1 << 16), vec![0; 1 << 16]);
        let (mut status, mut body) = (0, Vec::new());
        loop {
            let left = std::mem::take(&mut self.left);
            reader.push(&left);
            loop {
                match reader.next_part() {
                    Ok(Some(Part::Head(s, _))) => status = s,
                    Ok(Some(Part::Body(b))) => body.extend(b),
                    Ok(Some(Part::End(_))) => {
                        self.left = reader.take_leftover();
                        return (status, body, true);
                    }
                    Ok(None) => break,
                    Err(e) => panic!("the node sends no HTTP: {e}"),
                }
            }
            match self.stream.read(&mut some) {
                Ok(0) => return (status, body, false),
                Ok(n) => self.left = some[..n].to_vec(),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return (status, body, false),
                // A read with a timeout is interrupted where the process was stopped and continued.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => panic!("no answer came: {e}"),
            }
        }
    }

    /// Waits until this much of an answer has come; `answer` tells it all the same.
    pub fn until_begun(&mut self, mark: &[u8]) {
        let mut some = [0; 4096];
        while !self.left.windows(mark.len()).any(|w| w == mark) {
            let n = match self.stream.read(&mut some) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other.expect("the answer begins"),
            };
            assert!(n > 0, "the connection ended");
            self.left.extend_from_slice(&some[..n]);
        }
    }

    /// Waits until the node has closed the connection.
    pub fn closed(&mut self) -> bool {
        let mut some = [0; 4096];
        loop {
            match self.stream.read(&mut some) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

/// The bytes of a request.
pub fn asked(class: &str, id: &str) -> Vec<u8> {
    asked_within(class, id, 6_000)
}

/// The bytes of a request whose client waits for so many milliseconds.
pub fn asked_within(class: &str, id: &str, ms: u64) -> Vec<u8> {
    let body = "{\"model\":\"m\",\"stream\":true}";
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Entity: {id}\r\n\
         X-Remaining-Ms: {ms}\r\nX-Labels: prompt_len=400,prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

//! Processes started by hand: whom they know, what one of them knew alone, names that are taken twice,
//! and how soon a node that lacks everything serves.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally::interface::{EndpointState, EngineId, Role};
use pintally_audit::Answer;
use pintally_config::{EngineEntry, EngineList, NodeSettings};
use pintally_mock_engine::{Engine, Fleet, Port, Recorder};
use pintally_scenario::{
    http_get, AttemptResult, Client, ClientAttempt, NodeProcess, Rig, RunningNode, Scenario,
};
use serde_json::Value;
use tempfile::TempDir;

pub const EXE: &str = env!("CARGO_BIN_EXE_pintally");

/// Some nodes that know each other by their addresses.
pub struct Nodes {
    day: Scenario,
    pub settings: Vec<NodeSettings>,
    pub running: Vec<Option<Box<NodeProcess>>>,
    folder: TempDir,
    starts: u64,
    _ports: Vec<Port>,
}

impl Nodes {
    fn new(nodes: usize) -> Nodes {
        Nodes::with(nodes, "")
    }

    /// The same with more forms in the settings.
    pub fn with(nodes: usize, more: &str) -> Nodes {
        let text = crate::text(1, nodes, 1, &format!("(tenant \"a\") {more}"));
        let day = Scenario::parse("by-hand", &text).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let ports: Vec<Port> = (0..2 * nodes).map(|_| Port::hold().unwrap()).collect();
        // Links have addresses that nobody binds by chance: a node that was killed finds its own again.
        let at = |n: usize| {
            let mut at = ports[n].address().unwrap();
            if n >= nodes {
                at.set_ip([127, 0, 2, (n - nodes) as u8 + 101].into());
            }
            at
        };
        let seeds: Vec<SocketAddr> = (0..nodes).map(|n| at(nodes + n)).collect();
        let settings = (0..nodes).map(|n| {
            let mut s = day.node(n);
            s.listen = at(n);
            s.engines_file = file(folder.path(), n).to_string_lossy().into_owned();
            let peers = s.membership.as_mut().unwrap();
            (peers.listen, peers.seeds) = (at(nodes + n), seeds.clone());
            let recovery = s.recovery.as_mut().unwrap();
            recovery.store = Some(folder.path().join(format!("state-{n}")).to_string_lossy().into_owned());
            s
        });
        let settings = settings.collect();
        let running = (0..nodes).map(|_| None).collect();
        Nodes { day, settings, running, folder, starts: 0, _ports: ports }
    }

    pub fn list(&self, node: usize, list: &EngineList) {
        fs::write(file(self.folder.path(), node), list.render()).unwrap();
    }

    /// Whether a file of the node's store holds this text.
    fn store_contains(&self, node: usize, text: &str) -> bool {
        let folder = self.folder.path().join(format!("state-{node}"));
        let files = fs::read_dir(folder).into_iter().flatten().flatten();
        let mut contents = files.filter_map(|file| fs::read(file.path()).ok());
        contents.any(|bytes| String::from_utf8_lossy(&bytes).contains(text))
    }

    pub fn start(&mut self, node: usize) {
        let settings = Arc::new(self.settings[node].clone());
        // Each life has a mark of its own.
        self.starts += 1;
        let seed = (self.starts * 16 + node as u64) << 11;
        let process = NodeProcess::start(Path::new(EXE), &settings, &self.day.shared, seed).unwrap();
        self.running[node] = Some(Box::new(process));
    }

    /// Starts all of them with one list, and waits until each knows the others.
    pub fn start_all(&mut self) {
        for node in 0..self.settings.len() {
            self.list(node, &engines(1, &[EndpointState::Serving; 4]));
            self.start(node);
        }
        until("all know all", 10, || self.is_whole());
    }

    /// Whether each sees all others alive.
    pub fn is_whole(&self) -> bool {
        let all = 0..self.settings.len();
        let sees = |n: usize, o: usize| n == o || self.sees(n, &format!("n{o}")) == "Alive";
        all.clone().all(|n| all.clone().all(|o| sees(n, o)))
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(process) = self.running[node].take() {
            process.kill();
        }
    }

    pub fn status_document(&self, node: usize, path: &str) -> Value {
        http_get(self.settings[node].listen, path)
            .and_then(|b| serde_json::from_slice(&b).ok())
            .unwrap_or(Value::Null)
    }

    /// How one node sees another.
    fn sees(&self, node: usize, other: &str) -> String {
        let document = self.status_document(node, "/pintally/peers");
        let peers = document["peers"].as_array().cloned().unwrap_or_default();
        let found = peers.iter().find(|p| p["name"] == other);
        found.and_then(|p| p["standing"].as_str()).unwrap_or("unknown").to_string()
    }

    fn serving(&self, node: usize) -> u64 {
        self.status_document(node, "/pintally/counters")["serving_engines"].as_u64().unwrap_or(0)
    }
}

fn file(folder: &Path, node: usize) -> PathBuf {
    folder.join(format!("engines-{node}.sexp"))
}

/// Waits until something holds.
pub fn until(what: &str, seconds: u64, holds: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_secs(seconds);
    while !holds() {
        assert!(Instant::now() < by, "not within {seconds} s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A stand-in as the list has it.
pub fn entry(engine: &Engine) -> EngineEntry {
    EngineEntry {
        id: EngineId(engine.spec.id.as_str().into()),
        address: engine.address,
        zone: "a".into(),
        kind: engine.spec.kind.clone(),
        rack: 0,
        cell: None,
        state: EndpointState::Serving,
        weight: 1.0,
        started_unix_ms: None,
    }
}

fn engines(version: u64, listings: &[EndpointState]) -> EngineList {
    let entry = |n: usize, listing: EndpointState| EngineEntry {
        id: EngineId(format!("e{n}").as_str().into()),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".into(),
        kind: if n.is_multiple_of(2) { "prefill" } else { "decode" }.into(),
        rack: 0,
        cell: None,
        state: listing,
        weight: 1.0,
        started_unix_ms: None,
    };
    EngineList { version, engines: listings.iter().enumerate().map(|(n, l)| entry(n, *l)).collect() }
}

#[test]
fn they_know_of_deaths_and_returns_and_the_command_line_tells() {
    let mut fleet = Nodes::new(3);
    fleet.start_all();
    fleet.kill(2);
    until("the death is known", 10, || (0..2).all(|n| fleet.sees(n, "n2") == "Dead"));
    fleet.start(2);
    until("it is back", 10, || (0..2).all(|n| fleet.sees(n, "n2") == "Alive"));
    let document = fleet.status_document(0, "/pintally/peers");
    let boot =
        document["peers"].as_array().unwrap().iter().find(|p| p["name"] == "n2").unwrap()["boot"].clone();
    assert_eq!(boot, 2, "its disk has counted its lives: {document}");
    for command in ["peers", "recovery"] {
        let at = fleet.settings[0].listen.to_string();
        let out = Command::new(EXE).args([command, "status", &at]).output().unwrap();
        let text = String::from_utf8_lossy(&out.stdout);
        assert!(out.status.success(), "{command}: {text}");
        assert!(text.contains(if command == "peers" { "n2" } else { "stage" }), "{text}");
        let gone = Command::new(EXE).args([command, "status", "127.0.0.1:9", "--json"]).output().unwrap();
        assert_eq!(gone.status.code(), Some(1), "a silent node shows in the exit code");
    }
}

/// Guards against a drain that is undone because the one node that knew it died, or because another's
/// list file is older.
#[test]
fn a_drain_that_one_node_knew_reaches_the_others_and_survives_them() {
    use EndpointState::{Draining, Serving};
    let mut fleet = Nodes::new(3);
    let old = engines(4, &[Serving; 4]);
    fleet.list(0, &engines(5, &[Draining, Serving, Serving, Serving]));
    fleet.list(1, &old);
    fleet.list(2, &old);
    (0..3).for_each(|n| fleet.start(n));
    until("all know of the drain", 15, || (0..3).all(|n| fleet.serving(n) == 3));
    // A commit waits for the disk, which takes longer than a pause of fixed length on a busy machine.
    until("the list is in each store", 15, || (0..3).all(|n| fleet.store_contains(n, "(version 5)")));
    std::thread::sleep(Duration::from_millis(300));
    (0..3).for_each(|n| fleet.kill(n));
    // The others return alone, and their files are still the old ones.
    fleet.start(1);
    // The page counts no engine until the decision thread has taken the first list, which a busy machine delays.
    until("it takes a list", 15, || fleet.serving(1) > 0);
    assert_eq!(fleet.serving(1), 3, "its disk has kept what it received");
    fs::remove_dir_all(fleet.folder.path().join("state-2")).unwrap();
    fleet.start(2);
    until("who lost its disk hears of it", 15, || fleet.serving(2) == 3);
    // The same version with another text: no drain of either is undone.
    fleet.list(1, &engines(5, &[Serving, Draining, Serving, Serving]));
    until("both drains hold everywhere", 15, || (1..3).all(|n| fleet.serving(n) == 2));
}

/// Guards against a process that was paused and, awake again, mourns everybody.
#[test]
fn a_process_that_stood_still_is_taken_back_and_harms_nobody() {
    let mut fleet = Nodes::new(3);
    fleet.start_all();
    fleet.running[1].as_ref().unwrap().pause(true);
    until("it is taken for dead", 15, || [0, 2].iter().all(|n| fleet.sees(*n, "n1") == "Dead"));
    fleet.running[1].as_ref().unwrap().pause(false);
    until("it is taken back", 15, || fleet.is_whole());
    let counters = fleet.status_document(1, "/pintally/peers")["counters"].clone();
    assert!(counters["paused"].as_u64() >= Some(1), "{counters}");
}

/// Guards against two processes under one name that take turns in everybody's eyes.
#[test]
fn a_name_that_is_taken_twice_harms_nobody_else() {
    let mut fleet = Nodes::new(3);
    fleet.start_all();
    let mut twin = fleet.settings[2].clone();
    let (front, link) = (Port::hold().unwrap(), Port::hold().unwrap());
    twin.listen = front.address().unwrap();
    let mut at = link.address().unwrap();
    at.set_ip([127, 0, 2, 99].into());
    twin.membership.as_mut().unwrap().listen = at;
    twin.engines_file = fleet.folder.path().join("engines-twin.sexp").to_string_lossy().into_owned();
    twin.recovery.as_mut().unwrap().store = None;
    fs::write(&twin.engines_file, engines(1, &[EndpointState::Serving; 4]).render()).unwrap();
    let own = Arc::new(twin.clone());
    let second = NodeProcess::start(Path::new(EXE), &own, &fleet.day.shared, 77 << 11).unwrap();
    let back = |at: SocketAddr| -> Value {
        let document: Option<Value> =
            http_get(at, "/pintally/peers").and_then(|b| serde_json::from_slice(&b).ok());
        document.map_or(Value::Null, |t| t["stepped_back"].clone())
    };
    until("one of the two steps back", 30, || {
        [back(twin.listen), back(fleet.settings[2].listen)].iter().filter(|b| **b == true).count() == 1
    });
    until("the fleet is whole", 15, || fleet.sees(0, "n1") == "Alive" && fleet.sees(0, "n2") == "Alive");
    Box::new(second).kill();
}

/// A request that asks at a node, under this number.
fn ask(node: SocketAddr, n: u32, patience: Duration) -> ClientAttempt {
    ClientAttempt {
        id: format!("c{n}"),
        node: "n0".into(),
        address: node,
        class: "hint".into(),
        tenant: None,
        session: u64::from(n),
        prefix: None,
        prefix_tokens: 0,
        prompt: "text ".repeat(100),
        max_tokens: 4,
        patience,
        streamed: true,
        leaves: None,
    }
}

/// Engines whose reader holds states for requests of node 0, which has been killed; and that reader.
fn states_of_a_killed_node(fleet: &mut Nodes) -> (Arc<Fleet>, Arc<Engine>) {
    let recorder = Recorder::default();
    let stand = Fleet::new(recorder.clone());
    let reader = stand.add(Rig::spec("r", Role::Reader), false).unwrap();
    let writers: Vec<_> =
        (0..4).map(|n| stand.add(Rig::spec(&format!("w{n}"), Role::Writer), false).unwrap()).collect();
    let engines = [&reader].into_iter().chain(&writers).map(|e| entry(e)).collect();
    let list = EngineList { version: 1, engines };
    for node in 0..fleet.settings.len() {
        fleet.list(node, &list);
        fleet.start(node);
    }
    until("all know all", 10, || fleet.is_whole());
    let at = fleet.settings[0].listen;
    let served = |n: u32| {
        let client = Client { recorder: recorder.clone() };
        matches!(
            client.attempt(&ask(at, n, Duration::from_secs(2))),
            AttemptResult::Answered(Answer::Served, _)
        )
    };
    until("it serves", 10, || served(1));
    // Prompts are read, and no writer says anything any more.
    writers.iter().for_each(|w| w.fault(|f| f.hang = true));
    let clients = |over: &Arc<AtomicBool>| -> Vec<_> {
        (100..106)
            .map(|n| {
                let (client, over) = (Client { recorder: recorder.clone() }, over.clone());
                std::thread::spawn(move || {
                    while !over.load(Ordering::SeqCst) {
                        client.attempt(&ask(at, n, Duration::from_secs(3)));
                        std::thread::sleep(Duration::from_millis(20));
                    }
                })
            })
            .collect()
    };
    let (mut rounds, mut asking) = (0, Vec::new());
    // A machine that is late may need another round: a state waits for as long as its attempts only.
    while rounds == 0 || reader.states() == 0 {
        rounds += 1;
        assert!(rounds < 6, "no state waits for long enough");
        let over = Arc::new(AtomicBool::new(false));
        asking.extend(clients(&over));
        until("a state waits", 10, || reader.states() > 0);
        // From here on nothing new is asked, and what waits is kept within a few times of 50 ms.
        over.store(true, Ordering::SeqCst);
        until("its name is on the disk", 10, || fleet.store_contains(0, "[\"r\","));
        std::thread::sleep(Duration::from_millis(400));
    }
    fleet.kill(0);
    asking.into_iter().for_each(|c| c.join().unwrap());
    assert!(reader.states() > 0, "nobody else lets go of it yet");
    (stand, reader)
}

/// Read states of requests that died with their node are let go by its next life, by what its disk has.
#[test]
fn what_a_killed_node_held_is_let_go_when_it_is_back() {
    let mut fleet = Nodes::new(1);
    let (stand, reader) = states_of_a_killed_node(&mut fleet);
    fleet.start(0);
    until("they are let go", 5, || reader.states() == 0);
    stand.shut_down();
}

/// And by its guardians, if it does not come back: they know what it held, though its disk is gone with it.
#[test]
fn what_a_node_held_that_never_returns_is_let_go_by_its_peers() {
    let mut fleet = Nodes::new(3);
    for settings in &mut fleet.settings {
        settings.recovery.as_mut().unwrap().reservation_takeover_delay = 1_500_000;
    }
    let (stand, reader) = states_of_a_killed_node(&mut fleet);
    until("its peers let go of them", 15, || reader.states() == 0);
    let inherited =
        |n: usize| fleet.status_document(n, "/pintally/counters")["inherited"].as_u64().unwrap_or(0);
    until("both have taken over what it held", 10, || inherited(1) > 0 && inherited(2) > 0);
    stand.shut_down();
}

/// With every peer, the disk and the kept list missing a node still serves, within the stated time.
#[test]
fn a_node_that_lacks_everything_serves_in_time() {
    let recorder = Recorder::default();
    let stand = Fleet::new(recorder.clone());
    let mut list = EngineList { version: 1, engines: Vec::new() };
    for (id, role) in [("r", Role::Reader), ("w", Role::Writer)] {
        let engine = stand.add(Rig::spec(id, role), false).unwrap();
        list.engines.push(entry(&engine));
    }
    let mut fleet = Nodes::new(3);
    let blocked = fleet.folder.path().join("no-folder");
    fs::write(&blocked, "a file").unwrap();
    fleet.settings[0].recovery.as_mut().unwrap().store =
        Some(blocked.join("state").to_string_lossy().into_owned());
    // Everyone's first list is empty; engines come to it a little later.
    fleet.list(0, &EngineList { version: 0, engines: Vec::new() });
    let began = Instant::now();
    fleet.start(0);
    fleet.list(0, &list);
    let client = Client { recorder };
    let mut tries = 0;
    while !matches!(
        client.attempt(&ask(fleet.settings[0].listen, tries, Duration::from_secs(2))),
        AttemptResult::Answered(Answer::Served, _)
    ) {
        tries += 1;
        assert!(began.elapsed() < Duration::from_secs(3), "nothing served after {tries} tries");
        std::thread::sleep(Duration::from_millis(20));
    }
    println!(
        "first request served {:?} after the process was started, at try {}",
        began.elapsed(),
        tries + 1
    );
    let document = fleet.status_document(0, "/pintally/recovery");
    assert!(document["lacks"].as_array().is_some_and(|l| !l.is_empty()), "it says what it lacks: {document}");
    stand.shut_down();
}

//! Individually started node processes: detection of failed and returning peers, propagation of drains, duplicate
//! node names, release of read states of a lost node, and start-up without store, peers or list of engines.

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

/// Node processes that have each other's addresses as seeds.
pub struct NodeProcesses {
    day: Scenario,
    pub settings: Vec<NodeSettings>,
    pub running: Vec<Option<Box<NodeProcess>>>,
    folder: TempDir,
    starts: u64,
    _ports: Vec<Port>,
}

impl NodeProcesses {
    fn new(nodes: usize) -> NodeProcesses {
        NodeProcesses::with(nodes, "")
    }

    /// Nodes with additional forms in the settings.
    pub fn with(nodes: usize, extra_forms: &str) -> NodeProcesses {
        let text = crate::day_text(1, nodes, 1, &format!("(tenant \"a\") {extra_forms}"));
        let day = Scenario::parse("by-hand", &text).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let ports: Vec<Port> = (0..2 * nodes).map(|_| Port::hold().unwrap()).collect();
        // Peer addresses use 127.0.2.x, which no other process binds by chance, so that a killed node can bind its
        // address again.
        let address = |n: usize| {
            let mut address = ports[n].address().unwrap();
            if n >= nodes {
                address.set_ip([127, 0, 2, (n - nodes) as u8 + 101].into());
            }
            address
        };
        let seeds: Vec<SocketAddr> = (0..nodes).map(|n| address(nodes + n)).collect();
        let settings = (0..nodes).map(|n| {
            let mut s = day.node(n);
            s.listen = address(n);
            s.engines_file = engine_list_path(folder.path(), n).to_string_lossy().into_owned();
            let peers = s.membership.as_mut().unwrap();
            (peers.listen, peers.seeds) = (address(nodes + n), seeds.clone());
            let recovery = s.recovery.as_mut().unwrap();
            recovery.store = Some(folder.path().join(format!("state-{n}")).to_string_lossy().into_owned());
            s
        });
        let settings = settings.collect();
        let running = (0..nodes).map(|_| None).collect();
        NodeProcesses { day, settings, running, folder, starts: 0, _ports: ports }
    }

    pub fn write_engine_list(&self, node: usize, list: &EngineList) {
        fs::write(engine_list_path(self.folder.path(), node), list.render()).unwrap();
    }

    /// Whether a file of the node's store contains the text.
    fn store_contains(&self, node: usize, text: &str) -> bool {
        let folder = self.folder.path().join(format!("state-{node}"));
        let files = fs::read_dir(folder).into_iter().flatten().flatten();
        let mut contents = files.filter_map(|file| fs::read(file.path()).ok());
        contents.any(|bytes| String::from_utf8_lossy(&bytes).contains(text))
    }

    pub fn start(&mut self, node: usize) {
        let settings = Arc::new(self.settings[node].clone());
        // Each process gets a seed of its own.
        self.starts += 1;
        let seed = (self.starts * 16 + node as u64) << 11;
        let process = NodeProcess::start(Path::new(EXE), &settings, &self.day.shared_settings, seed).unwrap();
        self.running[node] = Some(Box::new(process));
    }

    /// Starts all nodes with the same list and waits until each sees the others alive.
    pub fn start_all(&mut self) {
        for node in 0..self.settings.len() {
            self.write_engine_list(node, &engine_list(1, &[EndpointState::Serving; 4]));
            self.start(node);
        }
        wait_until("all nodes see each other alive", 10, || self.all_alive());
    }

    /// Whether each node sees all others alive.
    pub fn all_alive(&self) -> bool {
        let all = 0..self.settings.len();
        let sees_alive = |n: usize, o: usize| n == o || self.peer_standing(n, &format!("n{o}")) == "Alive";
        all.clone().all(|n| all.clone().all(|o| sees_alive(n, o)))
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

    /// The state of a peer in the status of a node.
    fn peer_standing(&self, node: usize, other: &str) -> String {
        let document = self.status_document(node, "/pintally/peers");
        let peers = document["peers"].as_array().cloned().unwrap_or_default();
        let found = peers.iter().find(|p| p["name"] == other);
        found.and_then(|p| p["standing"].as_str()).unwrap_or("unknown").to_string()
    }

    /// The number of commits of the node's store.
    fn commits(&self, node: usize) -> u64 {
        self.status_document(node, "/pintally/counters")["store"]["commits"].as_u64().unwrap_or(0)
    }

    /// Waits until the store has committed a record with the text. The file contains it before the commit is complete.
    fn wait_until_stored(&self, node: usize, text: &str) {
        wait_until("the record is written", 15, || self.store_contains(node, text));
        let commits = self.commits(node);
        let is_idle = |document: Value| document["store"]["uncommitted_ms"] == 0;
        wait_until("the record is committed", 15, || {
            self.commits(node) > commits || is_idle(self.status_document(node, "/pintally/counters"))
        });
    }

    /// What a node could not load at its start, for the messages of failed checks.
    fn missing_state(&self, node: usize) -> Value {
        self.status_document(node, "/pintally/recovery")["lacks"].clone()
    }

    fn set_storage_fault(&mut self, node: usize, storage_fault: Option<&str>) {
        let recovery = self.settings[node].recovery.as_mut().unwrap();
        recovery.storage_fault = storage_fault.map(|name| (name.into(), 7));
    }

    fn serving_engines(&self, node: usize) -> u64 {
        self.status_document(node, "/pintally/counters")["serving_engines"].as_u64().unwrap_or(0)
    }
}

fn engine_list_path(folder: &Path, node: usize) -> PathBuf {
    folder.join(format!("engines-{node}.sexp"))
}

/// Waits until the condition holds.
pub fn wait_until(what: &str, seconds: u64, holds: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_secs(seconds);
    while !holds() {
        assert!(Instant::now() < by, "not within {seconds} s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The list entry of a mock engine.
pub fn engine_entry(engine: &Engine) -> EngineEntry {
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

fn engine_list(version: u64, listings: &[EndpointState]) -> EngineList {
    let engine_entry = |n: usize, listing: EndpointState| EngineEntry {
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
    EngineList { version, engines: listings.iter().enumerate().map(|(n, l)| engine_entry(n, *l)).collect() }
}

#[test]
fn nodes_detect_peer_failure_and_return() {
    let mut fleet = NodeProcesses::new(3);
    fleet.start_all();
    // The first commit has the number of the start. Until it is complete a kill may lose it, as any other change.
    wait_until("the start is counted", 15, || fleet.commits(2) > 0);
    fleet.kill(2);
    wait_until("the failure is detected", 10, || (0..2).all(|n| fleet.peer_standing(n, "n2") == "Dead"));
    fleet.start(2);
    wait_until("the node is back", 10, || (0..2).all(|n| fleet.peer_standing(n, "n2") == "Alive"));
    let document = fleet.status_document(0, "/pintally/peers");
    let boot =
        document["peers"].as_array().unwrap().iter().find(|p| p["name"] == "n2").unwrap()["boot"].clone();
    assert_eq!(boot, 2, "the store counts starts, missing: {}: {document}", fleet.missing_state(2));
    for command in ["peers", "recovery"] {
        let address = fleet.settings[0].listen.to_string();
        let out = Command::new(EXE).args([command, "status", &address]).output().unwrap();
        let text = String::from_utf8_lossy(&out.stdout);
        assert!(out.status.success(), "{command}: {text}");
        assert!(text.contains(if command == "peers" { "n2" } else { "stage" }), "{text}");
        let unreachable =
            Command::new(EXE).args([command, "status", "127.0.0.1:9", "--json"]).output().unwrap();
        assert_eq!(unreachable.status.code(), Some(1), "an unreachable node is reported by the exit code");
    }
}

/// Guards against a drain that is undone because the only node that knew of it died, or because another node's
/// list file is older.
#[test]
fn drain_survives_node_restarts() {
    use EndpointState::{Draining, Serving};
    let mut fleet = NodeProcesses::new(3);
    let old = engine_list(4, &[Serving; 4]);
    fleet.write_engine_list(0, &engine_list(5, &[Draining, Serving, Serving, Serving]));
    fleet.write_engine_list(1, &old);
    fleet.write_engine_list(2, &old);
    (0..3).for_each(|n| fleet.start(n));
    wait_until("all nodes know of the drain", 15, || (0..3).all(|n| fleet.serving_engines(n) == 3));
    // A commit waits for the disk, which on a busy machine can take longer than any fixed pause.
    (0..3).for_each(|n| fleet.wait_until_stored(n, "(version 5)"));
    (0..3).for_each(|n| fleet.kill(n));
    // The other nodes start without node 0, and their list files are still the old ones.
    fleet.start(1);
    // The status counts no engine until the decision thread has applied the first list, which a busy machine delays.
    wait_until("node 1 applies a list", 15, || fleet.serving_engines(1) > 0);
    let missing = fleet.missing_state(1);
    assert_eq!(fleet.serving_engines(1), 3, "the store kept the received drain, missing: {missing}");
    fs::remove_dir_all(fleet.folder.path().join("state-2")).unwrap();
    fleet.start(2);
    wait_until("the node without a store learns of the drain", 15, || fleet.serving_engines(2) == 3);
    // A list of the same version with other contents: no drain of either list is undone.
    fleet.write_engine_list(1, &engine_list(5, &[Serving, Draining, Serving, Serving]));
    wait_until("both drains hold at both nodes", 15, || (1..3).all(|n| fleet.serving_engines(n) == 2));
}

/// Guards against a drain that is undone because the disk returns the stored list only after the start, and against an
/// older list file that replaces the stored list meanwhile.
#[test]
fn drain_survives_restart_with_slow_disk() {
    use EndpointState::{Draining, Serving};
    let mut fleet = NodeProcesses::new(1);
    fleet.write_engine_list(0, &engine_list(5, &[Draining, Serving, Serving, Serving]));
    fleet.start(0);
    wait_until("the node knows of the drain", 15, || fleet.serving_engines(0) == 3);
    fleet.wait_until_stored(0, "(version 5)");
    fleet.kill(0);
    fleet.write_engine_list(0, &engine_list(4, &[Serving; 4]));
    fleet.set_storage_fault(0, Some("slow"));
    fleet.start(0);
    wait_until("the node applies the older list", 15, || fleet.serving_engines(0) == 4);
    wait_until("the node knows of the drain again", 15, || fleet.serving_engines(0) == 3);
    fleet.kill(0);
    fleet.set_storage_fault(0, None);
    fleet.start(0);
    wait_until("the node applies a list", 15, || fleet.serving_engines(0) > 0);
    assert_eq!(fleet.serving_engines(0), 3, "the store kept the drain: {}", fleet.missing_state(0));
}

/// An operator's list with a newer version and no engine takes all engines off, unlike one from discovery of `platform`.
#[test]
fn empty_list_takes_all_engines_off() {
    let mut fleet = NodeProcesses::new(3);
    fleet.start_all();
    wait_until("the engines serve", 15, || fleet.serving_engines(0) == 4);
    fleet.write_engine_list(0, &engine_list(9, &[]));
    wait_until("no engine serves", 15, || fleet.serving_engines(0) == 0);
    fleet.write_engine_list(0, &engine_list(10, &[EndpointState::Serving; 4]));
    wait_until("the engines serve again", 15, || fleet.serving_engines(0) == 4);
}

/// Guards against a paused process that declares all its peers dead when it continues.
#[test]
fn paused_process_rejoins_without_declaring_peers_dead() {
    let mut fleet = NodeProcesses::new(3);
    fleet.start_all();
    fleet.running[1].as_ref().unwrap().pause(true);
    wait_until("it is considered dead", 15, || {
        [0, 2].iter().all(|n| fleet.peer_standing(*n, "n1") == "Dead")
    });
    fleet.running[1].as_ref().unwrap().pause(false);
    wait_until("all nodes are alive again", 15, || fleet.all_alive());
    let counters = fleet.status_document(1, "/pintally/peers")["counters"].clone();
    assert!(counters["paused"].as_u64() >= Some(1), "{counters}");
}

/// Guards against two processes with the same node name that replace each other at all peers in turns.
#[test]
fn duplicate_node_name_disturbs_no_other_node() {
    let mut fleet = NodeProcesses::new(3);
    fleet.start_all();
    let mut twin = fleet.settings[2].clone();
    let (client_port, peer_port) = (Port::hold().unwrap(), Port::hold().unwrap());
    twin.listen = client_port.address().unwrap();
    let mut address = peer_port.address().unwrap();
    address.set_ip([127, 0, 2, 99].into());
    twin.membership.as_mut().unwrap().listen = address;
    twin.engines_file = fleet.folder.path().join("engines-twin.sexp").to_string_lossy().into_owned();
    twin.recovery.as_mut().unwrap().store = None;
    fs::write(&twin.engines_file, engine_list(1, &[EndpointState::Serving; 4]).render()).unwrap();
    let own = Arc::new(twin.clone());
    let second = NodeProcess::start(Path::new(EXE), &own, &fleet.day.shared_settings, 77 << 11).unwrap();
    let stepped_back = |address: SocketAddr| -> Value {
        let document: Option<Value> =
            http_get(address, "/pintally/peers").and_then(|b| serde_json::from_slice(&b).ok());
        document.map_or(Value::Null, |t| t["stepped_back"].clone())
    };
    wait_until("one of the two processes steps back", 30, || {
        [stepped_back(twin.listen), stepped_back(fleet.settings[2].listen)]
            .iter()
            .filter(|b| **b == true)
            .count()
            == 1
    });
    wait_until("the other nodes are alive", 15, || {
        fleet.peer_standing(0, "n1") == "Alive" && fleet.peer_standing(0, "n2") == "Alive"
    });
    Box::new(second).kill();
}

/// A request to a node with a numbered id.
fn request_to_node(node: SocketAddr, n: u32, patience: Duration) -> ClientAttempt {
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
        leaves_after: None,
    }
}

/// Kills node 0 while a reader holds read states for its requests; returns the engines and the reader.
fn kill_node_holding_states(fleet: &mut NodeProcesses) -> (Arc<Fleet>, Arc<Engine>) {
    let recorder = Recorder::default();
    let mock_fleet = Fleet::new(recorder.clone());
    let reader = mock_fleet.add(Rig::spec("r", Role::Reader), false).unwrap();
    let writers: Vec<_> =
        (0..4).map(|n| mock_fleet.add(Rig::spec(&format!("w{n}"), Role::Writer), false).unwrap()).collect();
    let engines = [&reader].into_iter().chain(&writers).map(|e| engine_entry(e)).collect();
    let list = EngineList { version: 1, engines };
    for node in 0..fleet.settings.len() {
        fleet.write_engine_list(node, &list);
        fleet.start(node);
    }
    wait_until("all nodes see each other alive", 10, || fleet.all_alive());
    let address = fleet.settings[0].listen;
    let served = |n: u32| {
        let client = Client { recorder: recorder.clone() };
        matches!(
            client.attempt(&request_to_node(address, n, Duration::from_secs(2))),
            AttemptResult::Answered(Answer::Served, _)
        )
    };
    wait_until("requests are served", 10, || served(1));
    // From here on prompts are still read, but writers do not respond.
    writers.iter().for_each(|w| w.fault(|f| f.hang = true));
    let clients = |stopped: &Arc<AtomicBool>| -> Vec<_> {
        (100..106)
            .map(|n| {
                let (client, stopped) = (Client { recorder: recorder.clone() }, stopped.clone());
                std::thread::spawn(move || {
                    while !stopped.load(Ordering::SeqCst) {
                        client.attempt(&request_to_node(address, n, Duration::from_secs(3)));
                        std::thread::sleep(Duration::from_millis(20));
                    }
                })
            })
            .collect()
    };
    let (mut rounds, mut asking) = (0, Vec::new());
    // A read state exists only as long as its attempts, so a slow machine may need another round.
    while rounds == 0 || reader.states() == 0 {
        rounds += 1;
        assert!(rounds < 6, "no read state is held for long enough");
        let stopped = Arc::new(AtomicBool::new(false));
        asking.extend(clients(&stopped));
        wait_until("the reader holds a read state", 10, || reader.states() > 0);
        // From here on no request is sent; read states are recorded in the store within a few periods of 50 ms.
        stopped.store(true, Ordering::SeqCst);
        wait_until("the reader is recorded in the store", 10, || fleet.store_contains(0, "[\"r\","));
        std::thread::sleep(Duration::from_millis(400));
    }
    fleet.kill(0);
    asking.into_iter().for_each(|c| c.join().unwrap());
    assert!(reader.states() > 0, "the read states are not released yet");
    (mock_fleet, reader)
}

/// Read states of requests whose node was killed are released by its next process from the records of its store.
#[test]
fn restarted_node_releases_states_of_previous_process() {
    let mut fleet = NodeProcesses::new(1);
    let (mock_fleet, reader) = kill_node_holding_states(&mut fleet);
    fleet.start(0);
    wait_until("the read states are released", 5, || reader.states() == 0);
    mock_fleet.shut_down();
}

/// If the node does not return, its backup nodes release the read states: they have its records, although its store is
/// lost.
#[test]
fn peers_release_states_of_lost_node() {
    let mut fleet = NodeProcesses::new(3);
    for settings in &mut fleet.settings {
        settings.recovery.as_mut().unwrap().reservation_takeover_delay = 1_500_000;
    }
    let (mock_fleet, reader) = kill_node_holding_states(&mut fleet);
    wait_until("backup nodes release the read states", 15, || reader.states() == 0);
    let inherited =
        |n: usize| fleet.status_document(n, "/pintally/counters")["inherited"].as_u64().unwrap_or(0);
    wait_until("both backup nodes have inherited the records", 10, || inherited(1) > 0 && inherited(2) > 0);
    mock_fleet.shut_down();
}

/// Without any peer, store or cached list a node still serves within the documented time.
#[test]
fn node_without_store_peers_or_list_serves_in_time() {
    let recorder = Recorder::default();
    let mock_fleet = Fleet::new(recorder.clone());
    let mut list = EngineList { version: 1, engines: Vec::new() };
    for (id, role) in [("r", Role::Reader), ("w", Role::Writer)] {
        let engine = mock_fleet.add(Rig::spec(id, role), false).unwrap();
        list.engines.push(engine_entry(&engine));
    }
    let mut fleet = NodeProcesses::new(3);
    let blocked = fleet.folder.path().join("no-folder");
    fs::write(&blocked, "a file").unwrap();
    fleet.settings[0].recovery.as_mut().unwrap().store =
        Some(blocked.join("state").to_string_lossy().into_owned());
    // The first list is empty; the list with engines is written a little later.
    fleet.write_engine_list(0, &EngineList { version: 0, engines: Vec::new() });
    let start = Instant::now();
    fleet.start(0);
    fleet.write_engine_list(0, &list);
    let client = Client { recorder };
    let mut attempts = 0;
    while !matches!(
        client.attempt(&request_to_node(fleet.settings[0].listen, attempts, Duration::from_secs(2))),
        AttemptResult::Answered(Answer::Served, _)
    ) {
        attempts += 1;
        assert!(start.elapsed() < Duration::from_secs(3), "nothing served after {attempts} attempts");
        std::thread::sleep(Duration::from_millis(20));
    }
    println!(
        "first request served {:?} after the process was started, at attempt {}",
        start.elapsed(),
        attempts + 1
    );
    let document = fleet.status_document(0, "/pintally/recovery");
    assert!(
        document["lacks"].as_array().is_some_and(|l| !l.is_empty()),
        "the status names what is missing: {document}"
    );
    mock_fleet.shut_down();
}

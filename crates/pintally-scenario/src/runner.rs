//! Runs the nodes, engines and clients of a scenario and applies its scripted actions.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pintally::interface::EndpointState;
use pintally_audit::{Answer, AuditEvent, EngineLocation, Record};
use pintally_cells::{CellsFile, MovePhase, TenantMove};
use pintally_config::NodeSettings;
use pintally_mock_engine::{self as mock_engine, Engine, EngineSpec, Fleet, Port, Recorder, ReportAccuracy};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;
use tracing::{debug, warn};

use crate::client::{AttemptResult, Client, ClientAttempt};
use crate::engines;
use crate::faults::{schedule, FaultScope};
use crate::file_writer::FileWriter;
use crate::publish::Publisher;
use crate::relay::{self, Relays};
use crate::run::{NodeLauncher, RunError, RunningNode};
use crate::script::{Action, MoveStep, Script, Target};
use crate::spec::Scenario;
use crate::traffic::{RequestDraft, TrafficGenerator};

/// Stack size of a client thread.
const CLIENT_STACK_BYTES: usize = 160 << 10;
/// Maximum number of clients that wait at the same time. Further ones are not started, and a warning is
/// logged.
const MAX_CLIENTS: u64 = 20_000;

/// Second octet of the loopback blocks for source addresses and for peer addresses of nodes.
const SOURCE_BLOCK: u8 = 1;
const PEER_BLOCK: u8 = 2;

/// A node's address in a block.
fn node_address(block: u8, node: usize) -> IpAddr {
    let [_, _, high, low] = (node as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, block, high, low))
}

/// The bit that is set in the numbers of flooding clients and in no others.
const FLOOD_FLAG: u64 = 1 << 40;

/// A node of the scenario, running or not.
struct NodeSlot {
    zone: usize,
    settings: Arc<NodeSettings>,
    /// Reserves the node's port while the node is down.
    _port: Port,
    running: Option<Box<dyn RunningNode>>,
}

/// The front layer's view of the nodes, shared by the client threads.
struct FrontLayer {
    /// Zone, address, and whether the front layer sends requests there.
    nodes: Vec<(usize, SocketAddr, bool)>,
}

/// Client behavior changed by active faults.
#[derive(Default)]
struct ClientBehavior {
    ignores_retry_after: bool,
    early_leave_share: f64,
}

/// State shared by the client threads.
struct Clients {
    client: Client,
    front: Mutex<FrontLayer>,
    behavior: Mutex<ClientBehavior>,
    open: AtomicU64,
    no_node: AtomicU64,
    retries: u32,
    retry_wait: Duration,
    seed: u64,
}

/// A scenario being run.
pub(crate) struct Runner<'a> {
    scenario: &'a Scenario,
    seed: u64,
    launch: NodeLauncher<'a>,
    fleet: Arc<Fleet>,
    publisher: Publisher,
    /// Writes the published files while the scenario runs.
    files: FileWriter,
    nodes: Vec<NodeSlot>,
    clients: Arc<Clients>,
    traffic: TrafficGenerator,
    script: Script,
    started_at: Instant,
    list_delay: Duration,
    cells: Option<CellsFile>,
    flood: Option<(String, f64)>,
    rate: f64,
    hot_text_share: f64,
    /// The engine that a target refers to now.
    current_engines: BTreeMap<Target, String>,
    replaced: u64,
    starts: u64,
    /// The locations of all engines of the run, for the audit.
    engine_locations: Vec<EngineLocation>,
    /// Relays between nodes that are processes.
    relays: Option<relay::RelayHandle>,
    /// Reserve the nodes' peer ports while the nodes are down.
    peer_ports: Vec<Port>,
    /// Contains the nodes' files; deleted at the end of the run.
    _directory: TempDir,
}

impl<'a> Runner<'a> {
    pub(crate) fn new(
        scenario: &'a Scenario,
        seed: u64,
        launch: NodeLauncher<'a>,
    ) -> Result<Runner<'a>, RunError> {
        let fail = |what: &str, e: &dyn std::fmt::Display| RunError(format!("{what}: {e}"));
        let directory =
            tempfile::tempdir().map_err(|e| fail("cannot create a directory for the endpoint lists", &e))?;
        let recorder = Recorder::default();
        let fleet = Fleet::new(recorder.clone());
        let publisher = Publisher::new(directory.path(), scenario.nodes);
        let files = FileWriter::start(recorder.clone()).map_err(|e| fail("cannot start a thread", &e))?;
        let traffic = &scenario.traffic;
        let clients = Arc::new(Clients {
            client: Client { recorder },
            front: Mutex::new(FrontLayer { nodes: Vec::new() }),
            behavior: Mutex::default(),
            open: AtomicU64::new(0),
            no_node: AtomicU64::new(0),
            retries: traffic.retries,
            retry_wait: traffic.retry_wait,
            seed,
        });
        let mut runner = Runner {
            scenario,
            seed,
            launch,
            fleet,
            publisher,
            files,
            nodes: Vec::new(),
            clients,
            traffic: TrafficGenerator::new(traffic, &scenario.settings, scenario.zones.len(), seed),
            script: Script::default(),
            started_at: Instant::now(),
            list_delay: Duration::ZERO,
            cells: scenario.cells.clone(),
            flood: None,
            rate: 1.0,
            hot_text_share: 0.0,
            current_engines: BTreeMap::new(),
            replaced: 0,
            starts: 0,
            engine_locations: Vec::new(),
            relays: None,
            peer_ports: Vec::new(),
            _directory: directory,
        };
        runner.build_engines().map_err(|e| fail("an engine cannot listen", &e))?;
        let version = runner.publisher.new_version();
        for node in 0..scenario.nodes {
            let list = runner.publisher.next_list(node, version);
            let written = list.map_or(Ok(()), |list| list.write(&runner.fleet.recorder));
            written.map_err(|e| fail("the endpoint list cannot be written", &e))?;
        }
        if let Some(cells) = &runner.cells {
            runner.publisher.set_cells(cells.version, cells.render());
            for node in 0..scenario.nodes {
                let file = runner.publisher.next_cells(node, cells.version);
                let written = file.map_or(Ok(()), |file| file.write(&runner.fleet.recorder));
                written.map_err(|e| fail("the cells file cannot be written", &e))?;
            }
        }
        runner.build_nodes()?;
        runner.build_script();
        Ok(runner)
    }

    fn build_engines(&mut self) -> std::io::Result<()> {
        for spec in engines::engine_specs(self.scenario) {
            let id = spec.id.clone();
            let engine = self.fleet.add(spec, false)?;
            self.add_engine_location(&engine);
            self.publisher.set_entry(&engine, EndpointState::Serving, false);
            self.current_engines.insert(Target(id.clone()), id);
        }
        Ok(())
    }

    fn add_engine_location(&mut self, engine: &Engine) {
        let (engine, zone, rack) = (engine.spec.id.clone(), engine.spec.zone.clone(), engine.spec.rack);
        self.engine_locations.push(EngineLocation { engine, zone, rack });
    }

    /// Reserves the nodes' peer addresses and opens the relays, if the nodes have peers.
    fn build_links(&mut self) -> Result<Vec<(SocketAddr, Port)>, RunError> {
        if self.scenario.settings.membership.is_none() {
            return Ok(Vec::new());
        }
        let fail = |e: std::io::Error| RunError(format!("cannot set up links between nodes: {e}"));
        let reserved: Result<Vec<_>, _> =
            (0..self.scenario.nodes).map(|_| Port::hold().and_then(|p| Ok((p.address()?, p)))).collect();
        let mut reserved = reserved.map_err(fail)?;
        // No other socket is bound to these addresses by chance, and the ports are reserved, so a node finds
        // its address free when it restarts.
        for (number, (address, _)) in reserved.iter_mut().enumerate() {
            address.set_ip(node_address(PEER_BLOCK, number));
        }
        let listen: Vec<SocketAddr> = reserved.iter().map(|h| h.0).collect();
        self.relays = Some(Relays::open(&listen, self.seed).map_err(fail)?);
        Ok(reserved)
    }

    /// Sets a node's peer addresses, storage directory and storage fault.
    fn set_peers_and_storage(
        &self,
        number: usize,
        peer_address: Option<SocketAddr>,
        settings: &mut NodeSettings,
    ) {
        if let (Some(peers), Some(listen), Some(relays)) =
            (&mut settings.membership, peer_address, &self.relays)
        {
            peers.listen = listen;
            let peer_addresses = (0..self.scenario.nodes)
                .filter_map(|n| Some((format!("n{n}"), relays.address(n).filter(|_| n != number)?)));
            peers.address_overrides = peer_addresses.collect();
            peers.seeds = peers.address_overrides.iter().take(2).map(|r| r.1).collect();
        }
        if let Some(recovery) = &mut settings.recovery {
            let directory = self.publisher.list_file(number).with_extension("state");
            recovery.store = Some(directory.to_string_lossy().into_owned());
            recovery.storage_fault = self
                .scenario
                .storage_faults
                .get(&number)
                .map(|storage_fault| (storage_fault.clone(), self.seed & 0xffff_ffff));
        }
    }

    fn build_nodes(&mut self) -> Result<(), RunError> {
        let links = self.build_links()?;
        for number in 0..self.scenario.nodes {
            let zone = number % self.scenario.zones.len();
            let mut settings = self.scenario.node(number);
            // Each node connects from its own source address, by which engines identify it.
            let source = node_address(SOURCE_BLOCK, number);
            self.fleet.name_node(source, &settings.name, &settings.core.zone);
            let reserved = Port::hold().and_then(|p| Ok((p.address()?, p)));
            let (listen, port) =
                reserved.map_err(|e| RunError(format!("no port for node n{number}: {e}")))?;
            settings.listen = listen;
            settings.source = Some(source);
            settings.engines_file = self.publisher.list_file(number).to_string_lossy().into_owned();
            let cached = self.publisher.list_file(number).with_extension("kept");
            settings.cached_list_file = Some(cached.to_string_lossy().into_owned());
            if self.cells.is_some() {
                let (file, cached) = (self.publisher.cells_file(number), self.publisher.cells_file(number));
                settings.cells_file = Some(file.to_string_lossy().into_owned());
                settings.cached_cells_file =
                    Some(cached.with_extension("kept").to_string_lossy().into_owned());
            }
            self.set_peers_and_storage(number, links.get(number).map(|l| l.0), &mut settings);
            self.nodes.push(NodeSlot { zone, settings: Arc::new(settings), _port: port, running: None });
            self.start_node(number)?;
        }
        self.peer_ports = links.into_iter().map(|l| l.1).collect();
        Ok(())
    }

    fn start_node(&mut self, number: usize) -> Result<(), RunError> {
        if self.nodes[number].running.is_some() {
            return Ok(());
        }
        self.starts += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (self.starts << 8 | number as u64);
        let running = (self.launch)(self.nodes[number].settings.clone(), seed)
            .map_err(|e| RunError(format!("node n{number} cannot start: {e}")))?;
        let address = running.address();
        let slot = &mut self.nodes[number];
        slot.running = Some(running);
        let recorder = &self.fleet.recorder;
        recorder.note(AuditEvent::NodeUp { node: format!("n{number}") });
        let mut front = self.clients.front.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if front.nodes.len() <= number {
            front.nodes.push((slot.zone, address, true));
        }
        Ok(())
    }

    /// Schedules the actions of all faults of the scenario.
    fn build_script(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5eed);
        let engines: Vec<(String, String, Option<String>)> = self
            .current_engines
            .keys()
            .filter_map(|t| {
                self.fleet.engine(&t.0).map(|e| (t.0.clone(), e.spec.kind.clone(), e.spec.cell.clone()))
            })
            .collect();
        let tenants: Vec<String> =
            self.scenario.settings.core.tenants.iter().map(|t| t.name.clone()).collect();
        let (nodes, zones) = (self.scenario.nodes, &self.scenario.zones);
        let engine_zones: BTreeMap<String, String> = self
            .current_engines
            .keys()
            .filter_map(|t| Some((t.0.clone(), self.fleet.engine(&t.0)?.spec.zone.clone())))
            .collect();
        let scope =
            FaultScope { engines: &engines, engine_zones: &engine_zones, nodes, zones, tenants: &tenants };
        for fault in &self.scenario.faults {
            schedule(fault, &scope, &mut rng, &mut self.script);
        }
    }

    /// Starts clients and applies scripted actions until the end of the scenario, then waits for open requests
    /// for at most the settle time.
    pub(crate) fn run(&mut self) -> Result<(), RunError> {
        self.started_at = Instant::now();
        let mut next = self.traffic.next_interval(1.0);
        let mut number = 0;
        // The flood uses its own generator, so that the other clients send the same requests without it.
        let mut flood = TrafficGenerator::new(
            &self.scenario.traffic,
            &self.scenario.settings,
            self.scenario.zones.len(),
            self.seed ^ 0xf100d,
        );
        let mut next_flood = Duration::ZERO;
        while next < self.scenario.length {
            if let Some((tenant, factor)) = self.flood.clone() {
                if next_flood < next {
                    next_flood = next_flood.max(self.started_at.elapsed());
                    self.run_until(next_flood.min(next))?;
                    number += 1;
                    let draft = flood.next_request_of(&tenant);
                    self.start_client(FLOOD_FLAG | number, draft);
                    let share = self.scenario.traffic.share_of(&tenant);
                    next_flood += flood.next_interval(factor * share);
                    continue;
                }
            }
            self.run_until(next)?;
            number += 1;
            let draft = self.traffic.next_request(self.hot_text_share);
            self.start_client(number, draft);
            next += self.traffic.next_interval(self.rate);
        }
        let end = self.scenario.length + self.scenario.settle;
        while self.clients.open.load(Ordering::Acquire) > 0 && self.started_at.elapsed() < end {
            self.run_until(self.started_at.elapsed() + Duration::from_millis(20))?;
        }
        Ok(())
    }

    /// Sleeps until a time of the run, and applies the actions due before it.
    fn run_until(&mut self, until: Duration) -> Result<(), RunError> {
        loop {
            while let Some(action) = self.script.pop(self.started_at.elapsed()) {
                debug!(?action, "scripted action");
                self.apply(action)?;
            }
            let now = self.started_at.elapsed();
            if now >= until {
                return Ok(());
            }
            let wake = self.script.next().map_or(until, |at| at.min(until));
            thread::sleep(wake.saturating_sub(now));
        }
    }

    /// The engine that a target refers to now. A warning is logged if there is none.
    fn engine(&self, target: &Target) -> Option<Arc<Engine>> {
        let id = self.current_engines.get(target).unwrap_or(&target.0);
        let engine = self.fleet.engine(id);
        if engine.is_none() {
            warn!(engine = id, "a fault names an unknown engine");
        }
        engine
    }

    /// Schedules a changed endpoint list to be written for each node after the usual delay.
    fn publish(&mut self) {
        let version = self.publisher.new_version();
        let at = self.started_at.elapsed() + self.scenario.list_delay + self.list_delay;
        (0..self.scenario.nodes).for_each(|node| self.script.add(at, Action::Write(node, version)));
    }

    fn apply(&mut self, action: Action) -> Result<(), RunError> {
        let set_fault = |runner: &Self, target: &Target, f: &dyn Fn(&mut mock_engine::Faults)| {
            if let Some(engine) = runner.engine(target) {
                engine.fault(f);
            }
        };
        match action {
            Action::Crash(target) => {
                let Some(engine) = self.engine(&target) else { return Ok(()) };
                engine.crash();
                self.publisher.set_entry(&engine, EndpointState::Gone, false);
                self.publish();
            }
            Action::Start(target) => {
                let Some(engine) = self.engine(&target) else { return Ok(()) };
                engine.start(true);
                self.publisher.set_entry(&engine, EndpointState::Serving, true);
                self.publish();
            }
            Action::Hang(t, on) => set_fault(self, &t, &|f| f.hang = on),
            Action::Silent(t, on) => set_fault(self, &t, &|f| f.silent = on),
            Action::Slow(t, factor) => set_fault(self, &t, &|f| f.slowdown = factor),
            Action::SlowConnect(t, delay) => set_fault(self, &t, &|f| f.connect_delay = delay),
            Action::Links(t, factor) => set_fault(self, &t, &|f| f.link_slowdown = factor),
            Action::FailAfter(t, after) => set_fault(self, &t, &|f| f.fail_after = after),
            Action::FullFor(t, tenant) => set_fault(self, &t, &|f| f.rejected_tenant = tenant.clone()),
            Action::Stale(t, on) => set_fault(self, &t, &|f| {
                f.reports = if on { ReportAccuracy::Stale } else { ReportAccuracy::Honest }
            }),
            Action::Lie(t, on) => set_fault(self, &t, &|f| {
                f.reports = if on { ReportAccuracy::Idle } else { ReportAccuracy::Honest }
            }),
            Action::Forget(target) => {
                if let Some(engine) = self.engine(&target) {
                    engine.clear_cache();
                }
            }
            Action::Drain(target) | Action::Undrain(target)
                if self.engine(&target).is_none_or(|e| !e.is_up()) => {}
            Action::Drain(target) => self.set_listing(&target, EndpointState::Draining),
            Action::Undrain(target) => self.set_listing(&target, EndpointState::Serving),
            Action::Replace(target) => self.replace(&target)?,
            Action::Remove(target) => self.remove(&target),
            Action::Cut(zone, cut) => self.fleet.set_isolated(&zone, cut),
            Action::ListDelay(delay) => self.list_delay = delay,
            Action::Write(node, version) => {
                let list = self.publisher.next_list(node, version);
                let written = list.map_or(Ok(()), |list| self.files.replace(list));
                written.map_err(|e| RunError(format!("the endpoint list cannot be written: {e}")))?;
            }
            Action::PowerOff(target) => {
                if let Some(engine) = self.engine(&target) {
                    engine.crash();
                }
            }
            Action::Pause(node, on) => {
                if let Some(running) = &self.nodes[node].running {
                    running.pause(on);
                    self.fleet.recorder.note(AuditEvent::NodePaused { node: format!("n{node}"), paused: on });
                }
            }
            Action::Link(links, link, on) => {
                if let Some(relays) = &self.relays {
                    relays.set(links, link, on);
                }
            }
            Action::KillNode(node) => {
                let Some(running) = self.nodes[node].running.take() else { return Ok(()) };
                self.fleet.recorder.note(AuditEvent::NodeDown { node: format!("n{node}") });
                running.kill();
                self.script
                    .add(self.started_at.elapsed() + self.scenario.front_delay, Action::Front(node, false));
            }
            Action::StartNode(node) => {
                self.start_node(node)?;
                self.script
                    .add(self.started_at.elapsed() + self.scenario.front_delay, Action::Front(node, true));
            }
            Action::Front(node, up) => {
                let up = up && self.nodes[node].running.is_some();
                let down = !up && self.nodes[node].running.is_none();
                if up || down {
                    let mut front =
                        self.clients.front.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    front.nodes[node].2 = up;
                }
            }
            Action::Heedless(on) => self.update_behavior(|b| b.ignores_retry_after = on),
            Action::LeaveEarly(share) => self.update_behavior(|b| b.early_leave_share = share),
            Action::Rate(rate) => self.rate = rate,
            Action::HotText(share) => self.hot_text_share = share,
            Action::Flood(flood) => self.flood = flood,
            Action::Move(tenant, step) => self.advance_move(&tenant, step),
            Action::WriteCells(node, version) => {
                let file = self.publisher.next_cells(node, version);
                let written = file.map_or(Ok(()), |file| self.files.replace(file));
                written.map_err(|e| RunError(format!("the cells file cannot be written: {e}")))?;
            }
        }
        Ok(())
    }

    /// Advances a tenant's move by a new version of the cells file. Nodes see it one after another, the last
    /// one `CELLS_FILE_SPREAD` (five seconds) after the first.
    fn advance_move(&mut self, tenant: &str, step: MoveStep) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let Some(cells) = &mut self.cells else { return };
        cells.version += 1;
        if let MoveStep::Prepare { to, over } = step {
            cells.moves.retain(|m| m.tenant != tenant);
            let (to, over_ms) = (vec![to.as_str().into()], (over.as_millis() as u64).max(1));
            cells.moves.push(TenantMove {
                tenant: tenant.to_string(),
                to,
                over_ms,
                phase: MovePhase::Prepare,
            });
        } else if let Some(tenant_move) = cells.moves.iter_mut().find(|m| m.tenant == tenant) {
            tenant_move.phase = match (tenant_move.phase, step) {
                (MovePhase::Prepare, MoveStep::Both) => MovePhase::Both { since: now },
                (MovePhase::Both { since }, MoveStep::Done) => MovePhase::Done { since },
                (other, _) => other,
            };
        }
        let (version, text) = (cells.version, cells.render());
        self.publisher.set_cells(version, text);
        for node in 0..self.scenario.nodes {
            let delay = self.scenario.cells_file_delay(node);
            self.script.add(self.started_at.elapsed() + delay, Action::WriteCells(node, version));
        }
    }

    fn update_behavior(&self, f: impl FnOnce(&mut ClientBehavior)) {
        f(&mut self.clients.behavior.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }

    fn set_listing(&mut self, target: &Target, listing: EndpointState) {
        let Some(engine) = self.engine(target) else { return };
        self.publisher.set_entry(&engine, listing, false);
        self.publish();
    }

    /// Starts a new engine in place of an old one, which drains.
    fn replace(&mut self, target: &Target) -> Result<(), RunError> {
        let Some(old) = self.engine(target) else { return Ok(()) };
        self.replaced += 1;
        let id = format!("{}+{}", target.0, self.replaced);
        let spec = EngineSpec { id: id.clone(), ..old.spec.clone() };
        let new = self.fleet.add(spec, true).map_err(|e| RunError(format!("{id} cannot listen: {e}")))?;
        self.add_engine_location(&new);
        self.publisher.set_entry(&new, EndpointState::Serving, true);
        self.publisher.set_entry(&old, EndpointState::Draining, false);
        // From now on, faults that name the target affect the new engine; `~old` names the draining one.
        self.current_engines.insert(Target(format!("{}~old", target.0)), old.spec.id.clone());
        self.current_engines.insert(target.clone(), id);
        self.publish();
        Ok(())
    }

    /// Removes the old engine of a replacement: it is listed as gone, and stops at once.
    fn remove(&mut self, target: &Target) {
        let Some(id) = self.current_engines.remove(&Target(format!("{}~old", target.0))) else { return };
        let Some(old) = self.fleet.engine(&id) else { return };
        self.publisher.set_entry(&old, EndpointState::Gone, false);
        self.publish();
        old.crash();
    }

    /// Starts the thread of a client that makes one request.
    fn start_client(&mut self, number: u64, draft: RequestDraft) {
        if self.clients.open.fetch_add(1, Ordering::AcqRel) >= MAX_CLIENTS {
            self.clients.open.fetch_sub(1, Ordering::AcqRel);
            warn!("too many waiting clients: a client is not started");
            return;
        }
        let clients = self.clients.clone();
        let run = move || {
            clients.run_request(number, &draft);
            clients.open.fetch_sub(1, Ordering::AcqRel);
        };
        if let Err(e) = thread::Builder::new().stack_size(CLIENT_STACK_BYTES).spawn(run) {
            self.clients.open.fetch_sub(1, Ordering::AcqRel);
            warn!(error = %e, "cannot start a client thread");
        }
    }

    /// Shuts the nodes down gracefully, then the engines. Returns the engines' locations with the record, the
    /// number of attempts that found no node, and the duration.
    pub(crate) fn finish(mut self) -> ((Vec<EngineLocation>, Vec<Record>), u64, Duration) {
        let took = self.started_at.elapsed();
        for slot in &mut self.nodes {
            if let Some(running) = slot.running.take() {
                running.stop();
            }
        }
        // Nodes have sent all releases by now. The record is taken before the engines stop, so that it does
        // not contain the end of the engines.
        let record = self.fleet.recorder.take();
        self.fleet.shut_down();
        ((self.engine_locations, record), self.clients.no_node.load(Ordering::Relaxed), took)
    }
}

impl Clients {
    /// Makes one client's request with all its retries.
    fn run_request(&self, number: u64, draft: &RequestDraft) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ number.wrapping_mul(0x2545_f491_4f6c_dd1d));
        let mut attempts = 0;
        loop {
            let (ignores_retry_after, early_leave_share) = {
                let behavior = self.behavior.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                (behavior.ignores_retry_after || number & FLOOD_FLAG != 0, behavior.early_leave_share)
            };
            let Some((node, address)) = self.choose_node(draft.zone, &mut rng) else { return };
            let (leave_draw, leave_point) = draft.early_leave;
            let attempt = ClientAttempt {
                id: if attempts == 0 { format!("c{number}") } else { format!("c{number}~{attempts}") },
                node,
                address,
                class: draft.class.clone(),
                tenant: draft.tenant.clone(),
                session: draft.session,
                prefix: draft.prefix,
                prefix_tokens: draft.prefix_tokens,
                prompt: draft.prompt.clone(),
                max_tokens: draft.max_tokens,
                patience: draft.patience,
                streamed: draft.streamed,
                leaves_after: (leave_draw < early_leave_share).then(|| draft.patience.mul_f64(leave_point)),
            };
            let result = self.client.attempt(&attempt);
            attempts += 1;
            let wait = match result {
                AttemptResult::NoNode => {
                    self.no_node.fetch_add(1, Ordering::Relaxed);
                    self.retry_wait
                }
                AttemptResult::Answered(Answer::Served, _) | AttemptResult::Left => return,
                AttemptResult::Answered(Answer::Refused, after) => {
                    match after.filter(|_| draft.obeys_retry_after && !ignores_retry_after) {
                        Some(after) => after,
                        None => self.retry_wait,
                    }
                }
                // A client that retries after a failure accepts that the request may take effect twice.
                AttemptResult::Answered(..) | AttemptResult::Unanswered if ignores_retry_after => {
                    self.retry_wait
                }
                AttemptResult::Answered(..) | AttemptResult::Unanswered => return,
            };
            let max_retries = if ignores_retry_after { self.retries + 2 } else { self.retries };
            if attempts > max_retries {
                return;
            }
            thread::sleep(if ignores_retry_after { Duration::ZERO } else { wait });
        }
    }

    /// Draws a node that the front layer considers up, from the client's zone if there is one.
    fn choose_node(&self, zone: usize, rng: &mut ChaCha8Rng) -> Option<(String, SocketAddr)> {
        let front = self.front.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let up = |n: &usize| front.nodes[*n].2;
        let mut all: Vec<usize> = (0..front.nodes.len()).filter(up).collect();
        if all.is_empty() {
            // If all nodes seem down, the front layer tries all of them.
            all = (0..front.nodes.len()).collect();
        }
        let same_zone: Vec<usize> = all.iter().copied().filter(|n| front.nodes[*n].0 == zone).collect();
        let candidates = if same_zone.is_empty() { all } else { same_zone };
        let node = *candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        Some((format!("n{node}"), front.nodes[node].1))
    }
}

#[cfg(test)]
mod tests;

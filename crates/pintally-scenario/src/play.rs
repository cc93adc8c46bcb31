//! The stage of a day while it is played.

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
use pintally_mock_engine::{self as standin, Engine, EngineSpec, Fleet, Port, Recorder, ReportAccuracy};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;
use tracing::{debug, warn};

use crate::client::{AttemptResult, Client, ClientAttempt};
use crate::engines;
use crate::faults::{stage, Stage};
use crate::publish::Publisher;
use crate::relay::{self, Relays};
use crate::run::{NodeLauncher, RunError, RunningNode};
use crate::script::{Act, MoveStep, Script, Target};
use crate::spec::Scenario;
use crate::traffic::{RequestDraft, TrafficGenerator};

/// The stack of a client's thread.
const CLIENT_STACK: usize = 160 << 10;
/// Clients that wait at once; more are not made, and counted as such.
const MAX_CLIENTS: u64 = 20_000;

/// Blocks of loopback addresses: where nodes connect from, and where they reach each other.
const SOURCES: u8 = 1;
const LINKS: u8 = 2;

/// A node's own address in a block.
fn own_address(block: u8, node: usize) -> IpAddr {
    let [_, _, high, low] = (node as u32 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, block, high, low))
}

/// Marks the numbers of flooding clients.
const FLOOD: u64 = 1 << 40;

/// A node and what the front layer thinks of it.
struct Place {
    zone: usize,
    settings: Arc<NodeSettings>,
    /// Holds its port while it is down.
    _port: Port,
    running: Option<Box<dyn RunningNode>>,
}

/// What clients' threads see of the nodes.
struct Front {
    /// Zone, address and whether the front sends there.
    nodes: Vec<(usize, SocketAddr, bool)>,
}

/// What clients do at the moment, beside the usual.
#[derive(Default)]
struct Manners {
    heedless: bool,
    leave: f64,
}

/// What clients' threads share.
struct Clients {
    client: Client,
    front: Mutex<Front>,
    manners: Mutex<Manners>,
    open: AtomicU64,
    no_node: AtomicU64,
    retries: u32,
    retry_wait: Duration,
    seed: u64,
}

/// A day that is played.
pub(crate) struct Play<'a> {
    day: &'a Scenario,
    seed: u64,
    launch: NodeLauncher<'a>,
    fleet: Arc<Fleet>,
    publisher: Publisher,
    nodes: Vec<Place>,
    clients: Arc<Clients>,
    source: TrafficGenerator,
    script: Script,
    begin: Instant,
    list_delay: Duration,
    cells: Option<CellsFile>,
    flood: Option<(String, f64)>,
    rate: f64,
    hot: f64,
    /// Which engine stands for a name now.
    stand_for: BTreeMap<Target, String>,
    replaced: u64,
    starts: u64,
    figures: Vec<EngineLocation>,
    /// Between nodes that are processes.
    relays: Option<relay::Running>,
    /// Hold the ports of nodes' links while they are down.
    links: Vec<Port>,
    /// Holds the lists; removed with the day.
    _folder: TempDir,
}

impl<'a> Play<'a> {
    pub(crate) fn new(day: &'a Scenario, seed: u64, launch: NodeLauncher<'a>) -> Result<Play<'a>, RunError> {
        let fail = |what: &str, e: &dyn std::fmt::Display| RunError(format!("{what}: {e}"));
        let folder = tempfile::tempdir().map_err(|e| fail("no folder for the lists", &e))?;
        let recorder = Recorder::default();
        let fleet = Fleet::new(recorder.clone());
        let publisher = Publisher::new(folder.path(), day.nodes, recorder.clone());
        let traffic = &day.traffic;
        let clients = Arc::new(Clients {
            client: Client { recorder },
            front: Mutex::new(Front { nodes: Vec::new() }),
            manners: Mutex::default(),
            open: AtomicU64::new(0),
            no_node: AtomicU64::new(0),
            retries: traffic.retries,
            retry_wait: traffic.retry_wait,
            seed,
        });
        let mut play = Play {
            day,
            seed,
            launch,
            fleet,
            publisher,
            nodes: Vec::new(),
            clients,
            source: TrafficGenerator::new(traffic, &day.settings, day.zones.len(), seed),
            script: Script::default(),
            begin: Instant::now(),
            list_delay: Duration::ZERO,
            cells: day.cells.clone(),
            flood: None,
            rate: 1.0,
            hot: 0.0,
            stand_for: BTreeMap::new(),
            replaced: 0,
            starts: 0,
            figures: Vec::new(),
            relays: None,
            links: Vec::new(),
            _folder: folder,
        };
        play.build_engines().map_err(|e| fail("an engine cannot listen", &e))?;
        let version = play.publisher.seal();
        for node in 0..day.nodes {
            play.publisher.write(node, version).map_err(|e| fail("the list cannot be written", &e))?;
        }
        if let Some(cells) = &play.cells {
            play.publisher.set_cells(cells.version, cells.render());
            for node in 0..day.nodes {
                let written = play.publisher.write_cells(node, cells.version);
                written.map_err(|e| fail("the file of cells cannot be written", &e))?;
            }
        }
        play.build_nodes()?;
        play.write_script();
        Ok(play)
    }

    fn build_engines(&mut self) -> std::io::Result<()> {
        for spec in engines::engine_specs(self.day) {
            let id = spec.id.clone();
            let engine = self.fleet.add(spec, false)?;
            self.enter(&engine);
            self.publisher.set(&engine, EndpointState::Serving, false);
            self.stand_for.insert(Target(id.clone()), id);
        }
        Ok(())
    }

    fn enter(&mut self, engine: &Engine) {
        let (engine, zone, rack) = (engine.spec.id.clone(), engine.spec.zone.clone(), engine.spec.rack);
        self.figures.push(EngineLocation { engine, zone, rack });
    }

    /// Where nodes reach each other, if they are to: their own addresses, and a door for each pair.
    fn build_links(&mut self) -> Result<Vec<(SocketAddr, Port)>, RunError> {
        if self.day.settings.membership.is_none() {
            return Ok(Vec::new());
        }
        let fail = |e: std::io::Error| RunError(format!("no links between nodes: {e}"));
        let held: Result<Vec<_>, _> =
            (0..self.day.nodes).map(|_| Port::hold().and_then(|p| Ok((p.address()?, p)))).collect();
        let mut held = held.map_err(fail)?;
        // Addresses that nobody binds by chance, with ports that are held: a node that is down finds its
        // own free when it returns.
        for (number, (address, _)) in held.iter_mut().enumerate() {
            address.set_ip(own_address(LINKS, number));
        }
        let listen: Vec<SocketAddr> = held.iter().map(|h| h.0).collect();
        self.relays = Some(Relays::open(&listen, self.seed).map_err(fail)?);
        Ok(held)
    }

    /// The settings of one node about its peers and its disk.
    fn among_others(&self, number: usize, at: Option<SocketAddr>, settings: &mut NodeSettings) {
        if let (Some(peers), Some(at), Some(relays)) = (&mut settings.membership, at, &self.relays) {
            peers.listen = at;
            let doors = (0..self.day.nodes)
                .filter_map(|n| Some((format!("n{n}"), relays.address(n).filter(|_| n != number)?)));
            peers.address_overrides = doors.collect();
            peers.seeds = peers.address_overrides.iter().take(2).map(|r| r.1).collect();
        }
        if let Some(recovery) = &mut settings.recovery {
            let folder = self.publisher.file(number).with_extension("state");
            recovery.store = Some(folder.to_string_lossy().into_owned());
            recovery.storage_fault = self
                .day
                .disks
                .get(&number)
                .map(|storage_fault| (storage_fault.clone(), self.seed & 0xffff_ffff));
        }
    }

    fn build_nodes(&mut self) -> Result<(), RunError> {
        let links = self.build_links()?;
        for number in 0..self.day.nodes {
            let zone = number % self.day.zones.len();
            let mut settings = self.day.node(number);
            // Each node connects from an address of its own, by which engines know it.
            let source = own_address(SOURCES, number);
            self.fleet.name_node(source, &settings.name, &settings.core.zone);
            let held = Port::hold().and_then(|p| Ok((p.address()?, p)));
            let (listen, port) = held.map_err(|e| RunError(format!("no port for node n{number}: {e}")))?;
            settings.listen = listen;
            settings.source = Some(source);
            settings.engines_file = self.publisher.file(number).to_string_lossy().into_owned();
            let kept = self.publisher.file(number).with_extension("kept");
            settings.cached_list_file = Some(kept.to_string_lossy().into_owned());
            if self.cells.is_some() {
                let (file, kept) = (self.publisher.cells_file(number), self.publisher.cells_file(number));
                settings.cells_file = Some(file.to_string_lossy().into_owned());
                settings.cached_cells_file = Some(kept.with_extension("kept").to_string_lossy().into_owned());
            }
            self.among_others(number, links.get(number).map(|l| l.0), &mut settings);
            self.nodes.push(Place { zone, settings: Arc::new(settings), _port: port, running: None });
            self.start_node(number)?;
        }
        self.links = links.into_iter().map(|l| l.1).collect();
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
        let place = &mut self.nodes[number];
        place.running = Some(running);
        let recorder = &self.fleet.recorder;
        recorder.note(AuditEvent::NodeUp { node: format!("n{number}") });
        let mut front = self.clients.front.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if front.nodes.len() <= number {
            front.nodes.push((place.zone, address, true));
        }
        Ok(())
    }

    fn write_script(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5eed);
        let engines: Vec<(String, String, Option<String>)> = self
            .stand_for
            .keys()
            .filter_map(|t| {
                self.fleet.engine(&t.0).map(|e| (t.0.clone(), e.spec.kind.clone(), e.spec.cell.clone()))
            })
            .collect();
        let tenants: Vec<String> = self.day.settings.core.tenants.iter().map(|t| t.name.clone()).collect();
        let (nodes, zones) = (self.day.nodes, &self.day.zones);
        let places: BTreeMap<String, String> = self
            .stand_for
            .keys()
            .filter_map(|t| Some((t.0.clone(), self.fleet.engine(&t.0)?.spec.zone.clone())))
            .collect();
        let on = Stage { engines: &engines, places: &places, nodes, zones, tenants: &tenants };
        for fault in &self.day.faults {
            stage(fault, &on, &mut rng, &mut self.script);
        }
    }

    /// Plays acts and sends clients until the day is over and the last client is gone.
    pub(crate) fn play_whole(&mut self) -> Result<(), RunError> {
        self.begin = Instant::now();
        let mut next = self.source.gap(1.0);
        let mut number = 0;
        // The flood is drawn apart, so that the other clients send the same with it and without it.
        let mut flood = TrafficGenerator::new(
            &self.day.traffic,
            &self.day.settings,
            self.day.zones.len(),
            self.seed ^ 0xf100d,
        );
        let mut next_flood = Duration::ZERO;
        while next < self.day.length {
            if let Some((tenant, times)) = self.flood.clone() {
                if next_flood < next {
                    next_flood = next_flood.max(self.begin.elapsed());
                    self.play_until(next_flood.min(next))?;
                    number += 1;
                    let draft = flood.draw_for(&tenant);
                    self.send(FLOOD | number, draft);
                    let share = self.day.traffic.share_of(&tenant);
                    next_flood += flood.gap(times * share);
                    continue;
                }
            }
            self.play_until(next)?;
            number += 1;
            let draft = self.source.draw(self.hot);
            self.send(number, draft);
            next += self.source.gap(self.rate);
        }
        let last = self.day.length + self.day.settle;
        while self.clients.open.load(Ordering::Acquire) > 0 && self.begin.elapsed() < last {
            self.play_until(self.begin.elapsed() + Duration::from_millis(20))?;
        }
        Ok(())
    }

    /// Sleeps until a time of the day, playing what is due before it.
    fn play_until(&mut self, until: Duration) -> Result<(), RunError> {
        loop {
            while let Some(act) = self.script.pop(self.begin.elapsed()) {
                debug!(?act, "act");
                self.act(act)?;
            }
            let now = self.begin.elapsed();
            if now >= until {
                return Ok(());
            }
            let wake = self.script.next().map_or(until, |at| at.min(until));
            thread::sleep(wake.saturating_sub(now));
        }
    }

    fn engine(&self, target: &Target) -> Option<Arc<Engine>> {
        let id = self.stand_for.get(target).unwrap_or(&target.0);
        let engine = self.fleet.engine(id);
        if engine.is_none() {
            warn!(engine = id, "a fault names an engine that is not there");
        }
        engine
    }

    /// The list has changed: each node hears of it after the usual notice.
    fn publish(&mut self) {
        let version = self.publisher.seal();
        let at = self.begin.elapsed() + self.day.list_delay + self.list_delay;
        (0..self.day.nodes).for_each(|node| self.script.add(at, Act::Write(node, version)));
    }

    fn act(&mut self, act: Act) -> Result<(), RunError> {
        let with = |play: &Self, target: &Target, f: &dyn Fn(&mut standin::Faults)| {
            if let Some(engine) = play.engine(target) {
                engine.fault(f);
            }
        };
        match act {
            Act::Crash(target) => {
                let Some(engine) = self.engine(&target) else { return Ok(()) };
                engine.crash();
                self.publisher.set(&engine, EndpointState::Gone, false);
                self.publish();
            }
            Act::Start(target) => {
                let Some(engine) = self.engine(&target) else { return Ok(()) };
                engine.start(true);
                self.publisher.set(&engine, EndpointState::Serving, true);
                self.publish();
            }
            Act::Hang(t, on) => with(self, &t, &|f| f.hang = on),
            Act::Silent(t, on) => with(self, &t, &|f| f.silent = on),
            Act::Slow(t, factor) => with(self, &t, &|f| f.slowdown = factor),
            Act::SlowConnect(t, delay) => with(self, &t, &|f| f.connect_delay = delay),
            Act::Links(t, factor) => with(self, &t, &|f| f.link_slowdown = factor),
            Act::FailAfter(t, after) => with(self, &t, &|f| f.fail_after = after),
            Act::FullFor(t, tenant) => with(self, &t, &|f| f.rejected_tenant = tenant.clone()),
            Act::Stale(t, on) => with(self, &t, &|f| {
                f.reports = if on { ReportAccuracy::Stale } else { ReportAccuracy::Honest }
            }),
            Act::Lie(t, on) => with(self, &t, &|f| {
                f.reports = if on { ReportAccuracy::Idle } else { ReportAccuracy::Honest }
            }),
            Act::Forget(target) => {
                if let Some(engine) = self.engine(&target) {
                    engine.clear_cache();
                }
            }
            Act::Drain(target) | Act::Undrain(target) if self.engine(&target).is_none_or(|e| !e.is_up()) => {}
            Act::Drain(target) => self.list(&target, EndpointState::Draining),
            Act::Undrain(target) => self.list(&target, EndpointState::Serving),
            Act::Replace(target) => self.replace(&target)?,
            Act::Remove(target) => self.remove(&target),
            Act::Cut(zone, cut) => self.fleet.set_isolated(&zone, cut),
            Act::ListDelay(delay) => self.list_delay = delay,
            Act::Write(node, version) => {
                let written = self.publisher.write(node, version);
                written.map_err(|e| RunError(format!("the list cannot be written: {e}")))?;
            }
            Act::PowerOff(target) => {
                if let Some(engine) = self.engine(&target) {
                    engine.crash();
                }
            }
            Act::Pause(node, on) => {
                if let Some(running) = &self.nodes[node].running {
                    running.pause(on);
                    self.fleet.recorder.note(AuditEvent::NodePaused { node: format!("n{node}"), paused: on });
                }
            }
            Act::Link(pairs, link, on) => {
                if let Some(relays) = &self.relays {
                    relays.set(pairs, link, on);
                }
            }
            Act::KillNode(node) => {
                let Some(running) = self.nodes[node].running.take() else { return Ok(()) };
                self.fleet.recorder.note(AuditEvent::NodeDown { node: format!("n{node}") });
                running.kill();
                self.script.add(self.begin.elapsed() + self.day.front_delay, Act::Front(node, false));
            }
            Act::StartNode(node) => {
                self.start_node(node)?;
                self.script.add(self.begin.elapsed() + self.day.front_delay, Act::Front(node, true));
            }
            Act::Front(node, up) => {
                let up = up && self.nodes[node].running.is_some();
                let down = !up && self.nodes[node].running.is_none();
                if up || down {
                    let mut front =
                        self.clients.front.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    front.nodes[node].2 = up;
                }
            }
            Act::Heedless(on) => self.manners(|m| m.heedless = on),
            Act::LeaveEarly(part) => self.manners(|m| m.leave = part),
            Act::Rate(rate) => self.rate = rate,
            Act::HotText(part) => self.hot = part,
            Act::Flood(flood) => self.flood = flood,
            Act::Move(tenant, step) => self.step(&tenant, step),
            Act::WriteCells(node, version) => {
                let written = self.publisher.write_cells(node, version);
                written.map_err(|e| RunError(format!("the file of cells cannot be written: {e}")))?;
            }
        }
        Ok(())
    }

    /// A tenant's move takes a step: a version of the file that nodes see one after the other, the
    /// last of them five seconds after the first.
    fn step(&mut self, tenant: &str, step: MoveStep) {
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
        } else if let Some(one) = cells.moves.iter_mut().find(|m| m.tenant == tenant) {
            one.phase = match (one.phase, step) {
                (MovePhase::Prepare, MoveStep::Both) => MovePhase::Both { since: now },
                (MovePhase::Both { since }, MoveStep::Done) => MovePhase::Done { since },
                (other, _) => other,
            };
        }
        let (version, text) = (cells.version, cells.render());
        self.publisher.set_cells(version, text);
        for node in 0..self.day.nodes {
            let late = self.day.cells_file_delay(node);
            self.script.add(self.begin.elapsed() + late, Act::WriteCells(node, version));
        }
    }

    fn manners(&self, f: impl FnOnce(&mut Manners)) {
        f(&mut self.clients.manners.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    }

    fn list(&mut self, target: &Target, listing: EndpointState) {
        let Some(engine) = self.engine(target) else { return };
        self.publisher.set(&engine, listing, false);
        self.publish();
    }

    /// A new engine takes the place of an old one, which drains.
    fn replace(&mut self, target: &Target) -> Result<(), RunError> {
        let Some(old) = self.engine(target) else { return Ok(()) };
        self.replaced += 1;
        let id = format!("{}+{}", target.0, self.replaced);
        let spec = EngineSpec { id: id.clone(), ..old.spec.clone() };
        let fresh = self.fleet.add(spec, true).map_err(|e| RunError(format!("{id} cannot listen: {e}")))?;
        self.enter(&fresh);
        self.publisher.set(&fresh, EndpointState::Serving, true);
        self.publisher.set(&old, EndpointState::Draining, false);
        // Until the old one goes, faults that name the place mean the new one.
        self.stand_for.insert(Target(format!("{}~old", target.0)), old.spec.id.clone());
        self.stand_for.insert(target.clone(), id);
        self.publish();
        Ok(())
    }

    fn remove(&mut self, target: &Target) {
        let Some(id) = self.stand_for.remove(&Target(format!("{}~old", target.0))) else { return };
        let Some(old) = self.fleet.engine(&id) else { return };
        self.publisher.set(&old, EndpointState::Gone, false);
        self.publish();
        old.crash();
    }

    fn send(&mut self, number: u64, draft: RequestDraft) {
        if self.clients.open.fetch_add(1, Ordering::AcqRel) >= MAX_CLIENTS {
            self.clients.open.fetch_sub(1, Ordering::AcqRel);
            warn!("too many clients wait: one is not made");
            return;
        }
        let clients = self.clients.clone();
        let run = move || {
            clients.see_through(number, &draft);
            clients.open.fetch_sub(1, Ordering::AcqRel);
        };
        if let Err(e) = thread::Builder::new().stack_size(CLIENT_STACK).spawn(run) {
            self.clients.open.fetch_sub(1, Ordering::AcqRel);
            warn!(error = %e, "no thread for a client");
        }
    }

    /// Stops nodes in good order, then engines; returns the record.
    pub(crate) fn end(mut self) -> ((Vec<EngineLocation>, Vec<Record>), u64, Duration) {
        let took = self.begin.elapsed();
        for place in &mut self.nodes {
            if let Some(running) = place.running.take() {
                running.stop();
            }
        }
        // What nodes owe engines they have said by now; the record ends before the engines do.
        let record = self.fleet.recorder.take();
        self.fleet.shut_down();
        ((self.figures, record), self.clients.no_node.load(Ordering::Relaxed), took)
    }
}

impl Clients {
    /// One client's request with all of its tries.
    fn see_through(&self, number: u64, draft: &RequestDraft) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ number.wrapping_mul(0x2545_f491_4f6c_dd1d));
        let mut tries = 0;
        loop {
            let (heedless, leave) = {
                let manners = self.manners.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                (manners.heedless || number & FLOOD != 0, manners.leave)
            };
            let Some((node, address)) = self.choose(draft.zone, &mut rng) else { return };
            let (whether, when) = draft.leaves;
            let one = ClientAttempt {
                id: if tries == 0 { format!("c{number}") } else { format!("c{number}~{tries}") },
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
                leaves: (whether < leave).then(|| draft.patience.mul_f64(when)),
            };
            let ended = self.client.attempt(&one);
            tries += 1;
            let wait = match ended {
                AttemptResult::NoNode => {
                    self.no_node.fetch_add(1, Ordering::Relaxed);
                    self.retry_wait
                }
                AttemptResult::Answered(Answer::Served, _) | AttemptResult::Left => return,
                AttemptResult::Answered(Answer::Refused, after) => {
                    match after.filter(|_| draft.heeds && !heedless) {
                        Some(after) => after,
                        None => self.retry_wait,
                    }
                }
                // Whoever tries again after a failure takes the risk of a second effect upon himself.
                AttemptResult::Answered(..) | AttemptResult::Unanswered if heedless => self.retry_wait,
                AttemptResult::Answered(..) | AttemptResult::Unanswered => return,
            };
            let most = if heedless { self.retries + 2 } else { self.retries };
            if tries > most {
                return;
            }
            thread::sleep(if heedless { Duration::ZERO } else { wait });
        }
    }

    /// A node that the front believes in, of the client's zone if there is one.
    fn choose(&self, zone: usize, rng: &mut ChaCha8Rng) -> Option<(String, SocketAddr)> {
        let front = self.front.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let up = |n: &usize| front.nodes[*n].2;
        let mut all: Vec<usize> = (0..front.nodes.len()).filter(up).collect();
        if all.is_empty() {
            // With all of them down, as far as it knows, the front goes on trying.
            all = (0..front.nodes.len()).collect();
        }
        let near: Vec<usize> = all.iter().copied().filter(|n| front.nodes[*n].0 == zone).collect();
        let from = if near.is_empty() { all } else { near };
        let node = *from.get(rng.random_range(0..from.len().max(1)))?;
        Some((format!("n{node}"), front.nodes[node].1))
    }
}

#[cfg(test)]
mod tests;

//! The node among its peers: one thread that probes, spreads and asks, and what the node keeps on disk.
//!
//! The deciding thread never waits for it: it is told by messages, and asks by a bounded channel.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use pintally::interface::{EngineId, Micros, RequestId};
use pintally_config::{MembershipSettings, NodeSettings, RecoverySettings};
use pintally_consensus::ReplicaName;
use pintally_host::{Input, OrphanedReservation};
use pintally_membership::{
    Member, Membership, MembershipEvent, Output, PeerName, ProcessIncarnation, Settings, Topic,
};
use pintally_outlier_detection::{Node, OutlierReport};
use pintally_quota::{LeaseGrant, LeaseRequest, LimitStatus, PoolStatus, MAX_ENTRIES_PER_MESSAGE};
use pintally_recovery::{
    self as recovery, Answer, BackupNode, ClassPriority, Recovery, RememberedState, ReservationPublisher,
};
use pintally_storage::{Loaded, StorageFault, Store, StoreSettings};
use pintally_transport::{fetch_document, DatagramSocket, ReceiveEvent, StreamServer};
use tracing::{debug, info, warn};

use crate::keeper::{self, FromReplica, OperatorCommand, ToReplica};
use crate::regions::{self, Regions, Rehearsal, PLAN, ZONE_WORD};
use crate::shared::{spawn_small, Shared};

/// What nodes say of what they carried, and of the list that they hold.
const CARRIED: Topic = Topic(1);
const LIST: Topic = Topic(2);
/// Questions and answers of recovery.
const HOW: Topic = Topic(32);
const SO: Topic = Topic(33);
/// Who leads the keepers, in which term; what keepers, and holders and lender, tell each other.
const LENDER: Topic = Topic(3);
const EVIDENCE: Topic = Topic(4);
const CLEARED: Topic = Topic(5);
const KEEPERS: Topic = Topic(34);
/// What a node would leave at engines, told to its guardians.
const HELD: Topic = Topic(38);
const ASKS: Topic = Topic(35);
const GRANTS: Topic = Topic(36);
/// The number of people's orders among whole texts.
const ORDER: u8 = 128;
/// Engines that people may clear before the fleet's thread has told of them.
const MAX_ASKED: usize = 64;
/// An order that nobody has answered by then is of unknown effect.
const ORDER_WITHIN: Duration = Duration::from_secs(3);
/// The number of the list among whole texts.
const LIST_TEXT: u8 = 1;
/// How often rates are counted, and records of them kept.
const COUNT_EVERY: Micros = 1_000_000;
/// A new rate's weight in the mean of what is carried.
const BLEND: f64 = 0.2;
/// What was carried fades by this a second, so that a fleet that shrank is not taken for what it was.
const FADE: f64 = 0.999;
/// How often guardians are told what this node holds.
const TELL_EVERY: Micros = 100_000;
/// A turn of the thread takes no longer, so that questions of the deciding thread go out.
const TURN: Duration = Duration::from_millis(20);

/// The most read states that are kept for the next life.
pub(crate) const MAX_LEFT: usize = 4096;
/// Keys of the node's records.
const KEY_LIST: &str = "list";
const KEY_CARRIED: &str = "carried";
const KEY_BOOT: &str = "boot";
const KEY_USUAL: &str = "usual";
const KEY_PEERS: &str = "peers";
const KEY_LEFT: &str = "left";

/// What the fleet's thread and the others share.
#[derive(Default)]
pub(crate) struct FleetShared {
    /// What the node says when a peer asks it; told by the deciding thread.
    pub(crate) answer: Mutex<Option<Answer>>,
    /// Where recovery stands, as people are told.
    pub(crate) recovery: Mutex<Option<recovery::Status>>,
    /// Whom the node knows, as people are told.
    pub(crate) peers: Mutex<Option<pintally_membership::Status>>,
    /// Where the keeper stands, if this node is one.
    pub(crate) keeper: Mutex<Option<pintally_consensus::Status>>,
    /// What it lends, while it does.
    pub(crate) pools: Mutex<Option<Vec<PoolStatus>>>,
    /// How the fleet's limits stand here; told by the deciding thread.
    pub(crate) limits: Mutex<Option<Vec<LimitStatus>>>,
    /// What is believed of engines; told by the deciding thread.
    pub(crate) verdicts: Mutex<Option<pintally_outlier_detection::Status>>,
    /// Zones, the plan, and who plans, as people are told.
    pub(crate) regions: Mutex<Option<serde_json::Value>>,
    /// What people have ordered for zones, by the register.
    pub(crate) zone_orders: Mutex<BTreeMap<String, String>>,
    /// Somebody waits for a rehearsal.
    pub(crate) rehearse: Mutex<Option<Rehearsal>>,
    /// Engines that people have called well at this node, to be told to all.
    cleared: Mutex<Vec<String>>,
    /// Who lends, as far as this node knows.
    pub(crate) lender: Mutex<Option<String>>,
    /// Answers a second of one warm engine of each role; told by the deciding thread.
    pub(crate) usual: Mutex<[f64; 3]>,
    /// What this life would leave at engines if it ended now; told by the deciding thread.
    left: Mutex<Vec<OrphanedReservation>>,
    /// The list that holds, with its version and what stands for its text.
    list: Mutex<Option<(u64, u32, Arc<str>)>>,
    /// A list that a peer holds, for the thread that follows the list.
    offered: Mutex<Option<String>>,
    store: Mutex<Option<Store>>,
    /// Waiting for a text of a peer.
    fetching: AtomicBool,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl FleetShared {
    /// The list that holds from now on: spread, handed out and kept.
    pub(crate) fn hold_list(&self, version: u64, text: &str) {
        let sum = recovery_sum(text);
        *lock(&self.list) = Some((version, sum, text.into()));
        self.keep(KEY_LIST, text.as_bytes().to_vec());
    }

    /// A list that a peer has offered, if one waits.
    pub(crate) fn take_offered(&self) -> Option<String> {
        lock(&self.offered).take()
    }

    /// What the node keeps from now on goes there.
    pub(crate) fn keep_in(&self, before: &mut Before) {
        *lock(&self.store) = before.store.take();
    }

    /// Keeps what this life would leave at engines if it ended now.
    pub(crate) fn keep_left(&self, left: Vec<OrphanedReservation>) {
        let mut before = lock(&self.left);
        if *before == left {
            return;
        }
        let named: Vec<_> = left.iter().map(|(engine, name)| (&*engine.0, &*name.0)).collect();
        self.keep(KEY_LEFT, serde_json::to_vec(&named).unwrap_or_default());
        *before = left;
    }

    /// Keeps a record, if the node keeps any.
    fn keep(&self, key: &str, payload: Vec<u8>) {
        if let Some(store) = lock(&self.store).as_ref() {
            store.put(key, payload);
        }
    }
}

/// What stands for a text among peers.
fn recovery_sum(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5u32, |sum, b| (sum ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// What a start has found of the life before.
pub(crate) struct Before {
    store: Option<Store>,
    pub(crate) list: Option<String>,
    /// Answers a second of one warm engine of each role.
    pub(crate) usual: [f64; 3],
    /// Read states that the life before may have left at engines.
    pub(crate) left: Vec<OrphanedReservation>,
    memory: RememberedState,
    life: ProcessIncarnation,
    /// Where peers were.
    seen: Vec<SocketAddr>,
}

/// Opens the store and reads what it has, within the time that the settings give.
pub(crate) fn read_before(settings: &NodeSettings, seed: u64) -> Before {
    let (store, loaded) = match &settings.recovery {
        Some(recovery) => open_store(recovery),
        None => (None, Loaded::default()),
    };
    for lack in &loaded.issues {
        warn!(%lack, "something of the life before is lacking");
    }
    let text = |key: &str| loaded.get(key).and_then(|r| String::from_utf8(r.payload.clone()).ok());
    let numbers = |key: &str| -> Vec<u64> {
        let bytes = loaded.get(key).map_or(&[][..], |r| &r.payload);
        bytes.chunks_exact(8).filter_map(|c| <[u8; 8]>::try_from(c).ok()).map(u64::from_le_bytes).collect()
    };
    let number = |key: &str| numbers(key).first().copied();
    let mut issues: Vec<String> = loaded.issues.iter().map(ToString::to_string).collect();
    if loaded.is_empty() && store.is_some() {
        issues.push("there is no record of a life before".into());
    }
    let boot = loaded.latest().boot.max(number(KEY_BOOT).unwrap_or(0)) + 1;
    if let Some(store) = &store {
        store.put(KEY_BOOT, boot.to_le_bytes().to_vec());
    }
    // Without a memory the settings stand for it: what an engine carries, over all nodes.
    let carries = settings.recovery.as_ref().map_or(0.0, |r| r.requests_per_second_per_engine);
    let mut usual = [carries / f64::from(settings.core.nodes.max(1)); 3];
    let told = numbers(KEY_USUAL).into_iter().map(f64::from_bits);
    usual.iter_mut().zip(told).filter(|(_, t)| t.is_finite() && *t > 0.0).for_each(|(u, t)| *u = t);
    let seen = text(KEY_PEERS).unwrap_or_default();
    let left = text(KEY_LEFT).and_then(|t| serde_json::from_str::<Vec<(String, String)>>(&t).ok());
    let left = left.unwrap_or_default().into_iter().take(MAX_LEFT);
    Before {
        left: left.map(|(e, n)| (EngineId(e.into()), RequestId(n.into()))).collect(),
        list: text(KEY_LIST),
        usual,
        memory: RememberedState { carried: number(KEY_CARRIED).map_or(0.0, f64::from_bits), issues },
        life: ProcessIncarnation { boot, mark: seed },
        seen: seen.lines().filter_map(|a| a.parse().ok()).take(16).collect(),
        store,
    }
}

fn open_store(settings: &RecoverySettings) -> (Option<Store>, Loaded) {
    let Some(folder) = &settings.store else { return (None, Loaded::default()) };
    let (store, loaded) = Store::open(&StoreSettings {
        folder: PathBuf::from(folder),
        commit_interval: Duration::from_micros(settings.commit_interval),
        load_timeout: Duration::from_micros(settings.read_within),
        storage_fault: settings
            .storage_fault
            .as_ref()
            .and_then(|(name, seed)| Some((storage_fault(name)?, *seed))),
    });
    (Some(store), loaded)
}

/// A lying disk by its name in settings.
pub(crate) fn storage_fault(name: &str) -> Option<StorageFault> {
    Some(match name {
        "lost-syncs" => StorageFault::LostSyncs,
        "torn-write" => StorageFault::TornWrite,
        "flipped-bit" => StorageFault::FlippedBit,
        "older-image" => StorageFault::OlderImage,
        "full" => StorageFault::Full,
        "read-only" => StorageFault::ReadOnly,
        "slow" => StorageFault::Slow(Duration::from_secs(3)),
        "read-errors" => StorageFault::ReadErrors,
        _ => return None,
    })
}

/// The recovery that the settings ask for, with what was read.
pub(crate) fn recovery_of(settings: &NodeSettings, now: Micros) -> Option<Recovery> {
    let own = settings.recovery.as_ref()?;
    let core = &settings.core;
    let classes = core.classes.iter().map(|c| ClassPriority {
        priority_weight: c.priority_weight,
        at_most_once: c.effect == pintally::interface::Idempotency::NotIdempotent,
    });
    let figures = recovery::Settings {
        // Where zones have cores of their own, a zone's engines are shared by the nodes there: as many in
        // each zone, as far as a node can know.
        expected_nodes: match &settings.failover {
            Some(regions) => (core.nodes.max(1) as usize).div_ceil(regions.policy.zones.zones.len()),
            None => core.nodes.max(1) as usize,
        },
        peers: settings.membership.is_some(),
        peers_queried: own.peers_queried,
        answer_timeout: own.answer_within,
        query_rounds: own.rounds,
        max_slow_start: own.max_slow_start,
        slow_start_min_capacity: core.slow_start_min_capacity,
        slow_start_duration: core.slow_start_duration,
        requests_per_second_per_engine: own.requests_per_second_per_engine,
        uncached_capacity_fraction: own.uncached_capacity_fraction,
        max_retry_after: if core.clients_honour_retry_after { core.max_retry_after } else { 0 },
        classes: classes.collect(),
    };
    Some(Recovery::new(figures, now, own.read_within))
}

/// The fleet's side of a node.
pub(crate) struct Fleet {
    udp: DatagramSocket,
    peers: Membership,
    /// Hands out texts until it is dropped.
    _whole: StreamServer,
    memory: RememberedState,
    keeper: Option<Sender<ToReplica>>,
}

/// Opens the sockets towards peers. `keeper` is where this node's keeper hears, if it is one.
pub(crate) fn open(
    shared: &Arc<Shared>,
    settings: &MembershipSettings,
    before: &Before,
    seed: u64,
    keeper: Option<Sender<ToReplica>>,
) -> io::Result<Fleet> {
    let udp = DatagramSocket::bind(settings.listen)?;
    let own = shared.clone();
    let orders = keeper.clone();
    let whole = StreamServer::serve(settings.listen, move |what, asked| {
        if what == ORDER {
            return serde_json::to_vec(&ordered(&own, orders.as_ref(), asked)).ok();
        }
        let list = lock(&own.fleet.list).clone();
        (what == LIST_TEXT).then_some(list).flatten().map(|(_, _, text)| text.as_bytes().to_vec())
    })?;
    let node = &shared.settings;
    let mut figures =
        Settings::new(&settings.fleet, &node.name, &node.core.zone, settings.listen, settings.seeds.clone());
    figures.seeds.extend(&before.seen);
    figures.reach = settings.reach.iter().map(|(n, a)| (PeerName::from(n.as_str()), *a)).collect();
    figures.probe_interval = settings.period;
    figures.probe_timeout = settings.answer;
    figures.indirect_probes = settings.indirect;
    figures.suspicion_multiplier = settings.suspicion;
    figures.anti_entropy_interval = settings.repair;
    figures.dead_member_retention = settings.forget;
    figures.check().map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e.to_string()))?;
    let peers = Membership::new(figures, before.life, seed, shared.clock.now());
    Ok(Fleet { udp, peers, _whole: whole, memory: before.memory.clone(), keeper })
}

/// Gives the keeper an order of people, and waits for what becomes of it.
fn ordered(shared: &Shared, keeper: Option<&Sender<ToReplica>>, asked: &[u8]) -> keeper::Answer {
    let Ok(order) = serde_json::from_slice(asked) else {
        return keeper::Answer::no("there is no such order");
    };
    if let OperatorCommand::Clear(engine) = order {
        if shared.settings.outlier_detection.is_none() {
            return keeper::Answer::no("this node has no verdicts in its settings");
        }
        let mut waiting = lock(&shared.fleet.cleared);
        if waiting.len() >= MAX_ASKED {
            return keeper::Answer::no("too many engines are cleared at once");
        }
        waiting.push(engine);
        return keeper::Answer { done: true, why: "told to all".into() };
    }
    if let OperatorCommand::Rehearse(zone) = order {
        return match regions::rehearse(shared, zone, ORDER_WITHIN) {
            Some(dry) => keeper::Answer { done: true, why: serde_json::to_string(&dry).unwrap_or_default() },
            None => keeper::Answer::no("this node does not lead, or there is no such zone"),
        };
    }
    let Some(keeper) = keeper else { return keeper::Answer::no("this node is no keeper") };
    let (to, answer) = bounded(1);
    if keeper.try_send(ToReplica::OperatorCommand(order, to)).is_err() {
        return keeper::Answer::no("the keeper has too much to do");
    }
    let late = |_| keeper::Answer::no("not agreed on in time: ask whether it was made");
    answer.recv_timeout(ORDER_WITHIN).unwrap_or_else(late)
}

/// What a node without peers does at its start: it goes by what its disk has.
pub(crate) fn alone(shared: &Shared, before: &Before) {
    shared.send_input(Input::Recovery(recovery::Input::StateLoaded(before.memory.clone())));
}

struct Running<'a> {
    shared: &'a Arc<Shared>,
    fleet: Fleet,
    look: Sender<()>,
    regions: Option<Regions>,
    numbers: BTreeMap<PeerName, u64>,
    names: Vec<PeerName>,
    carried: f64,
    served: u64,
    rate: f64,
    next_count: Micros,
    wards: Option<Wards>,
}

/// What this node holds, told to its guardians, and what it keeps for its wards.
struct Wards {
    teller: ReservationPublisher,
    guardian: BackupNode,
    next: Micros,
}

/// What comes from the node's other threads.
pub(crate) struct Mail {
    /// Numbers of peers to be asked how the fleet is.
    pub(crate) ask: Receiver<u64>,
    /// Shares to be asked for.
    pub(crate) shares: Receiver<Vec<LeaseRequest>>,
    /// What this node sees of zones, and engines that take work there.
    pub(crate) zone_words: Receiver<(Vec<u8>, Vec<f64>)>,
    /// What this node saw of engines.
    pub(crate) testimonies: Receiver<Vec<u8>>,
    /// The keeper's words.
    pub(crate) keeper: Receiver<FromReplica>,
}

/// Runs until the node ends.
pub(crate) fn run(shared: &Arc<Shared>, fleet: Fleet, mail: &Mail, look: Sender<()>) {
    shared.send_input(Input::Recovery(recovery::Input::StateLoaded(fleet.memory.clone())));
    let carried = fleet.memory.carried;
    let mut running = Running {
        shared,
        fleet,
        look,
        regions: shared.settings.failover.as_ref().map(Regions::new),
        numbers: BTreeMap::new(),
        names: Vec::new(),
        carried: if carried.is_finite() { carried } else { 0.0 },
        served: 0,
        rate: 0.0,
        next_count: shared.clock.now(),
        wards: shared.settings.recovery.as_ref().filter(|r| r.inherit_after > 0).map(|r| Wards {
            teller: ReservationPublisher::default(),
            guardian: BackupNode::new(r.inherit_after),
            next: 0,
        }),
    };
    let mut leaving = false;
    while !shared.is_dead() && !leaving {
        leaving = shared.is_closing();
        running.turn(mail);
    }
    if leaving && !shared.is_dead() {
        let mut out = Vec::new();
        running.fleet.peers.leave(&mut out);
        running.carry_out(out);
    }
}

impl Running<'_> {
    fn turn(&mut self, mail: &Mail) {
        let mut out = Vec::new();
        let now = self.shared.clock.now();
        if self.fleet.peers.next_wake() <= now {
            self.fleet.peers.tick(now, &mut out);
        }
        for number in mail.ask.try_iter() {
            let Some(name) = self.names.get(number as usize).cloned() else { continue };
            self.fleet.peers.send_direct(&name, HOW, Vec::new(), &mut out);
        }
        for one in mail.keeper.try_iter() {
            self.keeper_says(one, &mut out);
        }
        for report in mail.testimonies.try_iter() {
            if self.fleet.peers.publish(EVIDENCE, report).is_err() {
                debug!("there is no room for what this node saw of engines");
            }
        }
        for (word, engines) in mail.zone_words.try_iter() {
            self.zone_word(now, word, engines, &mut out);
        }
        let plan = self.regions.as_mut().and_then(|r| r.plan(now, self.shared, &self.fleet.peers));
        if let Some(plan) = plan {
            self.shared.send_input(Input::FailoverPlan(plan.clone()));
            if self.fleet.peers.publish(PLAN, plan).is_err() {
                debug!("there is no room for the plan of zones");
            }
        }
        for engine in std::mem::take(&mut *lock(&self.shared.fleet.cleared)) {
            self.shared.send_input(Input::EngineCleared(engine.clone()));
            // Each word is another one, though it may be of the same engine.
            let mut word = now.to_le_bytes().to_vec();
            word.extend_from_slice(engine.as_bytes());
            let _ = self.fleet.peers.publish(CLEARED, word);
        }
        for asks in mail.shares.try_iter() {
            self.ask_for(&asks, &mut out);
        }
        self.wards(now, &mut out);
        self.carry_out(out);
        if now >= self.next_count {
            self.next_count = now + COUNT_EVERY;
            self.count(now);
        }
        let wake = self.shared.clock.instant(self.fleet.peers.next_wake());
        let until = wake.min(Instant::now() + TURN);
        match self.fleet.udp.receive(until) {
            // Another thread of this node has something to say.
            Ok(ReceiveEvent::Datagram(_, bytes)) if bytes.is_empty() => {}
            Ok(ReceiveEvent::Datagram(from, bytes)) => {
                let mut out = Vec::new();
                self.fleet.peers.receive(self.shared.clock.now(), from, &bytes, &mut out);
                self.carry_out(out);
            }
            Ok(ReceiveEvent::TimedOut) => {}
            Err(e) => {
                warn!(error = %e, "the link to peers cannot be read");
                std::thread::sleep(TURN);
            }
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        let mut known = false;
        for one in out {
            match one {
                Output::Datagram(to, bytes) => {
                    self.fleet.udp.send(to, &bytes);
                }
                Output::Event(notice) => known |= self.notice(notice),
            }
        }
        if known {
            self.tell_who_is_here();
        }
    }

    /// Takes a notice in; whether it changes who is here.
    fn notice(&mut self, notice: MembershipEvent) -> bool {
        match notice {
            MembershipEvent::MemberUp(name, life) => {
                info!(peer = %name, boot = life.boot, "a peer is here");
                self.guardian(|g, _| g.node_up(&name.0, life.mark));
                return true;
            }
            MembershipEvent::MemberDown(name) => {
                info!(peer = %name, "a peer is dead");
                self.guardian(|g, now| g.node_down(now, &name.0));
                return true;
            }
            MembershipEvent::MemberLeft(name) => {
                info!(peer = %name, "a peer has left");
                self.guardian(|g, _| g.node_left(&name.0));
                return true;
            }
            MembershipEvent::MemberSuspected(name) => debug!(peer = %name, "a peer is suspected"),
            MembershipEvent::FactReceived(origin, LIST) => self.list_of(&origin),
            MembershipEvent::FactReceived(origin, EVIDENCE) => self.evidence_of(&origin),
            MembershipEvent::FactReceived(origin, PLAN) => {
                let fact = self.fleet.peers.fact(&origin, PLAN);
                if let (Some(fact), Some(regions)) = (fact, &mut self.regions) {
                    let plan = fact.payload.clone();
                    if regions.heard(&plan) {
                        self.shared.send_input(Input::FailoverPlan(plan));
                    }
                }
            }
            MembershipEvent::FactReceived(origin, CLEARED) => {
                let fact = self.fleet.peers.fact(&origin, CLEARED);
                let engine = fact.and_then(|f| std::str::from_utf8(f.payload.get(8..)?).ok());
                if let Some(engine) = engine {
                    self.shared.send_input(Input::EngineCleared(engine.to_string()));
                }
            }
            MembershipEvent::FactReceived(..) => {}
            MembershipEvent::DirectMessage(from, HOW, _) => {
                let (answer, list) = (lock(&self.shared.fleet.answer).clone(), self.list_held());
                let answer = answer.map(|a| Answer { list, ..a });
                if let Some(bytes) = answer.and_then(|a| serde_json::to_vec(&a).ok()) {
                    let mut out = Vec::new();
                    self.fleet.peers.send_direct(&from, SO, bytes, &mut out);
                    self.carry_out(out);
                }
            }
            MembershipEvent::DirectMessage(from, SO, bytes) => {
                let number = self.number(&from);
                if let Ok(answer) = serde_json::from_slice::<Answer>(&bytes) {
                    // A peer in full service goes by the same list: it need not come from its source again.
                    if answer.stage == recovery::Stage::Serving
                        && answer.list.is_some()
                        && answer.list == self.list_held()
                    {
                        self.shared.send_input(Input::EndpointListConfirmed);
                    }
                    self.shared.send_input(Input::Recovery(recovery::Input::PeerAnswered(number, answer)));
                }
            }
            MembershipEvent::DirectMessage(from, HELD, bytes) => {
                self.guardian(|g, now| g.receive_reservations(now, &from.0, &bytes))
            }
            MembershipEvent::DirectMessage(from, KEEPERS, bytes) => {
                self.to_keeper(ToReplica::From(ReplicaName(from.0.clone()), bytes));
            }
            MembershipEvent::DirectMessage(from, ASKS, bytes) => {
                if let Ok((life, asks)) = postcard::from_bytes::<(u64, Vec<LeaseRequest>)>(&bytes) {
                    self.to_keeper(ToReplica::Asks(from.to_string(), life, asks));
                }
            }
            MembershipEvent::DirectMessage(_, GRANTS, bytes) => {
                if let Ok((life, grants)) = postcard::from_bytes::<(u64, Vec<LeaseGrant>)>(&bytes) {
                    self.granted(life, grants);
                }
            }
            MembershipEvent::DirectMessage(from, ZONE_WORD, word) => {
                let zone = self.fleet.peers.member(&from).map(|m| m.zone().to_string());
                if let (Some(zone), Some(regions)) = (zone, &mut self.regions) {
                    regions.word(self.shared.clock.now(), &from.0, &zone, &word);
                }
            }
            MembershipEvent::DirectMessage(..) => {}
            MembershipEvent::StoredIncarnationOutdated { own, now } => {
                warn!(own, now, "peers remember a later life of this node: its disk went back, or was lost");
                self.shared.fleet.keep(KEY_BOOT, now.to_le_bytes().to_vec());
            }
            MembershipEvent::NameYielded => {
                warn!("another process runs under this node's name: no peer is told anything")
            }
            MembershipEvent::PauseDetected(span) => warn!(ms = span / 1000, "this process has stood still"),
        }
        false
    }

    fn guardian(&mut self, what: impl FnOnce(&mut BackupNode, Micros)) {
        let now = self.shared.clock.now();
        if let Some(wards) = &mut self.wards {
            what(&mut wards.guardian, now);
        }
    }

    /// Tells guardians what this node holds, and lets go of what wards held that stayed dead.
    fn wards(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(wards) = self.wards.as_mut().filter(|w| now >= w.next) else { return };
        wards.next = now + TELL_EVERY;
        for (ward, held) in wards.guardian.take_due(now) {
            info!(peer = %ward, states = held.len(), "a peer stays dead: what it held is let go");
            self.shared.send_input(Input::ReservationsInherited(held));
        }
        let held = lock(&self.shared.fleet.left).clone();
        let here = self.fleet.peers.members().filter(|m| m.is_alive()).map(|m| &*m.name().0);
        let guardians = ReservationPublisher::backup_nodes(&self.shared.settings.name, here);
        for word in wards.teller.publish_due(now, self.fleet.peers.incarnation().mark, &held, &guardians) {
            for guardian in &guardians {
                self.fleet.peers.send_direct(&PeerName::from(guardian.as_str()), HELD, word.clone(), out);
            }
        }
    }

    /// What a node saw of engines goes to the host, with the node's zone.
    fn evidence_of(&self, origin: &PeerName) {
        let fact = self.fleet.peers.fact(origin, EVIDENCE);
        let Some(member) = self.fleet.peers.member(origin) else { return };
        let node = Node { name: origin.to_string(), zone: member.zone().to_string() };
        let report = fact.map(|f| f.payload.clone()).unwrap_or_else(|| OutlierReport::default().encode());
        self.shared.send_input(Input::OutlierReport(node, report));
    }

    fn to_keeper(&self, one: ToReplica) {
        if let Some(keeper) = &self.fleet.keeper {
            let _ = keeper.try_send(one);
        }
    }

    fn keeper_says(&mut self, one: FromReplica, out: &mut Vec<Output>) {
        match one {
            FromReplica::To(to, bytes) => {
                self.fleet.peers.send_direct(&PeerName(to.0.clone()), KEEPERS, bytes, out);
            }
            FromReplica::Grants(name, life, grants) if name == self.shared.settings.name => {
                self.granted(life, grants);
            }
            FromReplica::Grants(name, life, grants) => {
                if let Ok(bytes) = postcard::to_stdvec(&(life, grants)) {
                    self.fleet.peers.send_direct(&PeerName::from(name.as_str()), GRANTS, bytes, out);
                }
            }
            FromReplica::Leads(term) => {
                if let Some(regions) = &mut self.regions {
                    regions.leads(self.shared.clock.now(), term);
                }
                let said = term.map(|t| t.to_le_bytes().to_vec()).unwrap_or_default();
                if self.fleet.peers.publish(LENDER, said).is_err() {
                    debug!("there is no room for the word of who leads");
                }
            }
        }
    }

    /// Grants are for one life: another one of the same name holds shares of its own.
    fn granted(&self, life: u64, grants: Vec<LeaseGrant>) {
        if life == self.fleet.peers.incarnation().mark {
            self.shared.send_input(Input::QuotaGranted(grants));
        }
    }

    /// What this node sees of zones goes to whoever leads.
    fn zone_word(&mut self, now: Micros, word: Vec<u8>, engines: Vec<f64>, out: &mut Vec<Output>) {
        // Who leads in the latest term.
        let lender = self.fleet.peers.highest(LENDER).cloned();
        let Some(regions) = &mut self.regions else { return };
        regions.engines(engines);
        let own = &self.shared.settings;
        match lender {
            Some(lender) if *lender.0 == *own.name => regions.word(now, &own.name, &own.core.zone, &word),
            Some(lender) => {
                self.fleet.peers.send_direct(&lender, ZONE_WORD, word, out);
            }
            None => {}
        }
    }

    fn ask_for(&mut self, asks: &[LeaseRequest], out: &mut Vec<Output>) {
        let lender = self.fleet.peers.highest(LENDER).cloned();
        *lock(&self.shared.fleet.lender) = lender.as_ref().map(ToString::to_string);
        let (Some(lender), life) = (lender, self.fleet.peers.incarnation().mark) else { return };
        for asks in asks.chunks(MAX_ENTRIES_PER_MESSAGE) {
            if *lender.0 == *self.shared.settings.name {
                self.to_keeper(ToReplica::Asks(lender.to_string(), life, asks.to_vec()));
            } else if let Ok(bytes) = postcard::to_stdvec(&(life, asks)) {
                self.fleet.peers.send_direct(&lender, ASKS, bytes, out);
            }
        }
    }

    /// The version of the list that holds, and what stands for its text.
    fn list_held(&self) -> Option<(u64, u32)> {
        lock(&self.shared.fleet.list).as_ref().map(|(version, sum, _)| (*version, *sum))
    }

    fn number(&mut self, name: &PeerName) -> u64 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        self.names.push(name.clone());
        let number = self.names.len() as u64 - 1;
        self.numbers.insert(name.clone(), number);
        number
    }

    fn tell_who_is_here(&mut self) {
        let here: Vec<&Member> = self.fleet.peers.members().filter(|m| m.is_alive()).collect();
        let at: Vec<String> = here.iter().map(|m| self.fleet.peers.route(m).to_string()).collect();
        self.shared.fleet.keep(KEY_PEERS, at.join("\n").into_bytes());
        if self.shared.settings.outlier_detection.is_some() {
            let node = |m: &&Member| Node { name: m.name().to_string(), zone: m.zone().to_string() };
            self.shared.send_input(Input::PeersChanged(here.iter().map(node).collect()));
        }
        // Where zones have cores of their own, a node shares its zone's engines with the nodes there.
        let near: Vec<&Member> = here.iter().copied().filter(|m| self.is_near(m)).collect();
        let count = near.len() + 1;
        let asked = if near.is_empty() { here } else { near };
        let asked: Vec<PeerName> = asked.into_iter().map(|m| m.name().clone()).collect();
        let numbers: Vec<u64> = asked.iter().map(|n| self.number(n)).collect();
        self.shared.send_input(Input::Recovery(recovery::Input::Peers(count, numbers)));
    }

    /// Whether a peer sends to the same engines.
    fn is_near(&self, member: &Member) -> bool {
        self.regions.is_none() || *member.zone() == *self.shared.settings.core.zone
    }

    /// Counts what was carried, and tells and keeps it while the node serves in full.
    fn count(&mut self, now: Micros) {
        let served = self.shared.counters().host.served;
        let fresh = served.saturating_sub(std::mem::replace(&mut self.served, served));
        self.rate += BLEND * (fresh as f64 - self.rate);
        let stage = lock(&self.shared.fleet.answer).as_ref().map(|a| a.stage);
        if stage.is_none_or(|s| s == recovery::Stage::Serving) {
            let _ = self.fleet.peers.publish(CARRIED, self.rate.to_bits().to_le_bytes().to_vec());
            let here = |f: &&pintally_membership::GossipFact| {
                self.fleet.peers.member(&f.origin).is_some_and(|m| m.is_alive() && self.is_near(m))
            };
            let told = self.fleet.peers.facts(CARRIED).filter(here).filter_map(|f| {
                let bytes = <[u8; 8]>::try_from(f.payload.as_slice()).ok()?;
                Some(f64::from_bits(u64::from_le_bytes(bytes))).filter(|c| c.is_finite() && *c >= 0.0)
            });
            let whole: f64 = told.sum::<f64>() + self.rate;
            self.carried = whole.max(self.carried * FADE);
            self.shared.fleet.keep(KEY_CARRIED, self.carried.to_bits().to_le_bytes().to_vec());
            let usual = *lock(&self.shared.fleet.usual);
            self.shared.fleet.keep(KEY_USUAL, usual.iter().flat_map(|u| u.to_bits().to_le_bytes()).collect());
        }
        if let Some((version, sum)) = self.list_held() {
            let mut payload = version.to_le_bytes().to_vec();
            payload.extend(sum.to_le_bytes());
            let _ = self.fleet.peers.publish(LIST, payload);
        }
        // A list that could not be fetched when it was told of is asked for again.
        let origins: Vec<PeerName> = self.fleet.peers.facts(LIST).map(|f| f.origin.clone()).collect();
        origins.iter().for_each(|o| self.list_of(o));
        *lock(&self.shared.fleet.peers) = Some(self.fleet.peers.status(now));
    }

    /// A peer has told which list it holds: one that is newer, or another of the same version, is fetched.
    fn list_of(&mut self, origin: &PeerName) {
        let fact = self.fleet.peers.fact(origin, LIST);
        let Some(payload) = fact.map(|f| f.payload.clone()).filter(|p| p.len() == 12) else { return };
        let mut version = [0u8; 8];
        version.copy_from_slice(&payload[..8]);
        let version = u64::from_le_bytes(version);
        let sum = u32::from_le_bytes([payload[8], payload[9], payload[10], payload[11]]);
        let wanted = self.list_held().is_none_or(|(v, s)| version > v || version == v && sum != s);
        let Some(from) =
            self.fleet.peers.member(origin).filter(|m| m.is_alive()).map(|m| self.fleet.peers.route(m))
        else {
            return;
        };
        if !wanted || self.shared.fleet.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let (shared, look) = (self.shared.clone(), self.look.clone());
        let listen = self.shared.settings.membership.as_ref().map(|p| p.listen.ip());
        let own = listen.unwrap_or(Ipv4Addr::UNSPECIFIED.into());
        let spawned = spawn_small("fetch", move || {
            match fetch_document(own, from, LIST_TEXT).map(String::from_utf8) {
                Ok(Ok(text)) => {
                    *lock(&shared.fleet.offered) = Some(text);
                    let _ = look.try_send(());
                }
                Ok(Err(_)) => debug!(%from, "a peer's list is no text"),
                Err(e) => debug!(%from, error = %e, "a peer's list cannot be fetched"),
            }
            shared.fleet.fetching.store(false, Ordering::Release);
        });
        if spawned.is_err() {
            self.shared.fleet.fetching.store(false, Ordering::Release);
        }
    }
}

impl Fleet {
    /// What wakes the fleet's thread.
    pub(crate) fn waker(&self) -> io::Result<pintally_transport::Waker> {
        self.udp.waker()
    }

    /// Where peers reach it.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.udp.address()
    }
}

#[cfg(test)]
mod tests;

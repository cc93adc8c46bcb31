//! Nodes, the network between them, and what befalls them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use pintally_consensus as consensus;
use pintally_consensus::{Replica, ReplicaName};
use pintally_membership::{
    Membership, MembershipEvent, Output, PeerName, ProcessIncarnation, Settings, Topic,
};
use pintally_quota as shares;
use pintally_quota::{
    Admission, Enforcement, LeaderGranter, LeaseGrant, LeaseRequest, Limit, LimitId, LimitKind, QuotaHolder,
    MAX_ENTRIES_PER_MESSAGE,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::report::{FleetReport, Spread};

type Micros = u64;
const SECOND: Micros = 1_000_000;
const LEADER_ANNOUNCEMENT: Topic = Topic(3);
const CONSENSUS_MESSAGES: Topic = Topic(34);
const LEASE_REQUESTS: Topic = Topic(35);
const GRANTS: Topic = Topic(36);
const LIMIT: LimitId = LimitId(7);
/// How often holders look, load is drawn and sums are taken.
const STEP: Micros = 50_000;

/// A fleet to be played.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Nodes.
    pub nodes: usize,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// Seconds of calm that are counted.
    pub calm: u64,
    /// Nodes that die, one after the other; the leader of the replicas is the first and every third.
    pub deaths: usize,
    /// A hard limit of so many requests a second, under a load of 1.2 of it, skewed 1 to 20 over nodes.
    pub limit: f64,
    /// The seed.
    pub seed: u64,
}

struct Node {
    peers: Membership,
    alive: bool,
    woken_for: Micros,
    replica: Option<Replica>,
    lending: LeaderGranter,
    /// In which term it has said that it leads.
    said: Option<u64>,
    /// What each would have with the limit divided: what may be used, as of when.
    divided: (f64, Micros),
    holder: QuotaHolder,
    load: f64,
    life: u64,
}

enum Event {
    Datagram(usize, SocketAddr, Vec<u8>),
    Membership(usize),
    Replica(usize),
    Step,
}

struct World {
    spec: FleetSpec,
    now: Micros,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    queue: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    /// Of the dead: when, and who has called them dead since.
    dead: BTreeMap<usize, (Micros, BTreeSet<usize>)>,
    known: Vec<f64>,
    false_deaths: u64,
    false_suspicions: u64,
    sent: (u64, u64),
    counting: bool,
    admitted: f64,
    admitted_divided: f64,
    peak: f64,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8 + 1), 7000))
}

fn node_of(at: SocketAddr) -> Option<usize> {
    match at {
        SocketAddr::V4(at) => {
            let [_, _, high, low] = at.ip().octets();
            Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
        }
        SocketAddr::V6(_) => None,
    }
}

/// Plays a fleet: it starts at once, is counted in calm, then nodes die one after the other.
pub fn play(spec: &FleetSpec) -> FleetReport {
    let mut world = World::new(spec.clone());
    let mut report =
        FleetReport { nodes: spec.nodes, loss: spec.loss, seed: spec.seed, ..FleetReport::default() };
    while !world.is_whole() && world.now < 300 * SECOND {
        world.run(SECOND / 4);
    }
    report.discovery_complete_s = world.now as f64 / 1e6;
    world.run(20 * SECOND);
    world.counting = true;
    (world.sent, world.false_deaths, world.false_suspicions) = ((0, 0), 0, 0);
    (world.admitted, world.admitted_divided) = (0.0, 0.0);
    let began = world.now;
    world.run(spec.calm * SECOND);
    world.counting = false;
    let span = (world.now - began) as f64 / 1e6;
    let n = spec.nodes as f64;
    report.datagrams_per_s = world.sent.0 as f64 / span / n;
    report.bytes_per_s = world.sent.1 as f64 / span / n;
    report.false_deaths_per_hour = world.false_deaths as f64 / span * 3600.0;
    report.false_suspicions_per_hour = world.false_suspicions as f64 / span * 3600.0;
    report.admitted_share = world.admitted / span / spec.limit;
    report.admitted_share_divided = world.admitted_divided / span / spec.limit;
    let mut led_again = Vec::new();
    for death in 0..spec.deaths {
        let leader = world.leader();
        let victim = match leader {
            Some(leader) if death % 3 == 0 && world.keepers_alive() > 2 => leader,
            _ => loop {
                let node = world.rng.random_range(3..spec.nodes);
                if world.nodes[node].alive {
                    break node;
                }
            },
        };
        let died = world.now;
        world.kill(victim);
        while leader == Some(victim) && world.leader().is_none() && world.now < died + 30 * SECOND {
            world.run(SECOND / 50);
        }
        if leader == Some(victim) {
            led_again.push((world.now - died) as f64 / 1e6);
        }
        let until = died + 60 * SECOND;
        while world.dead.contains_key(&victim) && world.now < until {
            world.run(SECOND / 4);
        }
    }
    report.death_detection_s = Spread::of(world.known.clone());
    report.leader_failover_s = Spread::of(led_again);
    report.peak_limit_share = world.peak / spec.limit;
    report
}

impl World {
    fn new(spec: FleetSpec) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let names: Vec<String> = (0..spec.nodes).map(|n| format!("n{n}")).collect();
        let seeds: Vec<SocketAddr> = (0..3.min(spec.nodes)).map(address).collect();
        let figures = shares::Settings { node_count: spec.nodes as u32, ..shares::Settings::default() };
        let limit = Limit { kind: LimitKind::Rate, enforcement: Enforcement::Hard, amount: spec.limit };
        let weights: Vec<f64> = (0..spec.nodes).map(|n| 1.0 + 19.0 * n as f64 / spec.nodes as f64).collect();
        let sum: f64 = weights.iter().sum();
        let replicas: Vec<&str> = names.iter().take(3).map(String::as_str).collect();
        let node = |n: usize, rng: &mut ChaCha8Rng| {
            let life = rng.random();
            let zone = format!("zone-{}", n % 3);
            let settings = Settings::new("lab", &names[n], &zone, address(n), seeds.clone());
            let replica = (n < 3).then(|| {
                Replica::new(consensus::Settings::new(&names[n], &replicas), None, false, rng.random(), 1)
            });
            Node {
                peers: Membership::new(
                    settings,
                    ProcessIncarnation { boot: 1, nonce: life },
                    rng.random(),
                    1,
                ),
                alive: true,
                woken_for: Micros::MAX,
                replica,
                lending: LeaderGranter::new(figures, vec![(LIMIT, limit)]),
                said: None,
                divided: (0.0, 1),
                holder: QuotaHolder::new(figures, [(LIMIT, "limit".to_string(), limit)]),
                load: 1.2 * spec.limit * weights[n] / sum,
                life,
            }
        };
        let nodes: Vec<Node> = (0..spec.nodes).map(|n| node(n, &mut rng)).collect();
        let mut world = World {
            now: 1,
            rng,
            nodes,
            queue: BTreeMap::new(),
            serial: 0,
            dead: BTreeMap::new(),
            known: Vec::new(),
            false_deaths: 0,
            false_suspicions: 0,
            sent: (0, 0),
            counting: false,
            admitted: 0.0,
            admitted_divided: 0.0,
            peak: 0.0,
            spec,
        };
        for n in 0..world.nodes.len() {
            world.push(n as Micros * 37, Event::Membership(n));
            if world.nodes[n].replica.is_some() {
                world.push(1, Event::Replica(n));
            }
        }
        world.push(STEP, Event::Step);
        world
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + after, self.serial), event);
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > until {
                self.serial += 1;
                self.queue.insert((at, self.serial), event);
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram(to, from, bytes) if self.nodes[to].alive => {
                let mut out = Vec::new();
                self.nodes[to].peers.receive(now, from, &bytes, &mut out);
                self.carry_out(to, out);
            }
            Event::Membership(n) if self.nodes[n].alive => {
                let mut out = Vec::new();
                if self.nodes[n].peers.next_wake() <= now {
                    self.nodes[n].peers.tick(now, &mut out);
                }
                self.nodes[n].woken_for = Micros::MAX;
                self.carry_out(n, out);
            }
            Event::Replica(n) if self.nodes[n].alive => {
                let mut out = Vec::new();
                if let Some(replica) = &mut self.nodes[n].replica {
                    replica.tick(now, &mut out);
                }
                self.dispatch_replica_outputs(n, out);
                let wake = self.nodes[n].replica.as_ref().map_or(now, Replica::next_wake);
                self.push(wake.saturating_sub(now).max(1_000), Event::Replica(n));
            }
            Event::Step => {
                self.push(STEP, Event::Step);
                (0..self.nodes.len()).for_each(|n| self.load(n));
                let has =
                    |n: &Node| if n.alive { n.holder.allocation(now, LIMIT).unwrap_or(0.0) } else { 0.0 };
                self.peak = self.peak.max(self.nodes.iter().map(has).sum());
            }
            _ => {}
        }
    }

    /// Wakes a node's peers when they next have something to do, once.
    fn wake(&mut self, n: usize) {
        let at = self.nodes[n].peers.next_wake().max(self.now + 1);
        if at < self.nodes[n].woken_for {
            self.nodes[n].woken_for = at;
            self.push(at - self.now, Event::Membership(n));
        }
    }

    fn carry_out(&mut self, n: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Datagram(to, bytes) => self.datagram(n, to, bytes),
                Output::Event(notice) => self.notice(n, notice),
            }
        }
        self.wake(n);
    }

    fn datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if self.counting {
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        }
        let Some(to) = node_of(to).filter(|t| *t < self.nodes.len()) else { return };
        if self.rng.random_bool(self.spec.loss) {
            return;
        }
        // Within a zone it is near, between zones not.
        let way = if from % 3 == to % 3 { 300..1_500 } else { 4_000..9_000 };
        let after = self.rng.random_range(way);
        self.push(after, Event::Datagram(to, address(from), bytes));
    }

    fn notice(&mut self, n: usize, notice: MembershipEvent) {
        let now = self.now;
        let number = |name: &PeerName| name.0[1..].parse::<usize>().unwrap_or(0);
        match notice {
            MembershipEvent::MemberDown(name) => {
                let who = number(&name);
                if self.nodes[who].alive {
                    self.false_deaths += 1;
                }
                self.death_notified(who, n);
            }
            MembershipEvent::MemberSuspected(name) => {
                self.false_suspicions += u64::from(self.nodes[number(&name)].alive);
            }
            MembershipEvent::DirectMessage(from, CONSENSUS_MESSAGES, bytes) => {
                let (mut out, from) = (Vec::new(), ReplicaName(from.0.clone()));
                if let (Some(replica), Ok(message)) =
                    (&mut self.nodes[n].replica, postcard::from_bytes(&bytes))
                {
                    replica.receive(now, &from, message, &mut out);
                }
                self.dispatch_replica_outputs(n, out);
            }
            MembershipEvent::DirectMessage(from, LEASE_REQUESTS, bytes) => {
                if let Ok((life, asks)) = postcard::from_bytes::<(u64, Vec<LeaseRequest>)>(&bytes) {
                    self.lend(n, &from.0, life, &asks);
                }
            }
            MembershipEvent::DirectMessage(_, GRANTS, bytes) => {
                if let Ok((life, grants)) = postcard::from_bytes::<(u64, Vec<LeaseGrant>)>(&bytes) {
                    self.granted(n, life, &grants);
                }
            }
            _ => {}
        }
    }

    fn death_notified(&mut self, who: usize, by: usize) {
        let living = self.nodes.iter().filter(|n| n.alive).count();
        let Some((died, by_whom)) = self.dead.get_mut(&who) else { return };
        by_whom.insert(by);
        if by_whom.len() >= living {
            self.known.push((self.now - *died) as f64 / 1e6);
            self.dead.remove(&who);
        }
    }

    fn dispatch_replica_outputs(&mut self, n: usize, out: Vec<consensus::Output>) {
        let mut membership_outputs = Vec::new();
        for one in out {
            if let consensus::Output::Send(to, message) = one {
                let bytes = postcard::to_stdvec(&message).unwrap_or_default();
                self.nodes[n].peers.send_direct(
                    &PeerName(to.0.clone()),
                    CONSENSUS_MESSAGES,
                    bytes,
                    &mut membership_outputs,
                );
            }
        }
        self.lead(n);
        self.carry_out(n, membership_outputs);
    }

    /// Begins and ends a node's lending with its lead, and says so.
    fn lead(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let term = node.replica.as_ref().and_then(|k| k.leadership(now)).map(|l| l.0);
        node.lending.set_leadership(now, term);
        if term != node.said {
            node.said = term;
            let said = term.map(|term| term.to_le_bytes().to_vec()).unwrap_or_default();
            let _ = node.peers.publish(LEADER_ANNOUNCEMENT, said);
        }
    }

    fn lend(&mut self, n: usize, name: &str, life: u64, asks: &[LeaseRequest]) {
        self.lead(n);
        let now = self.now;
        let node = &mut self.nodes[n];
        let grants = node.lending.grant(now, name, life, asks);
        if grants.is_empty() {
            return;
        }
        if *name == format!("n{n}") {
            return self.granted(n, life, &grants);
        }
        let mut out = Vec::new();
        if let Ok(bytes) = postcard::to_stdvec(&(life, grants)) {
            node.peers.send_direct(&PeerName::from(name), GRANTS, bytes, &mut out);
        }
        self.carry_out(n, out);
    }

    fn granted(&mut self, n: usize, life: u64, grants: &[LeaseGrant]) {
        let now = self.now;
        if self.nodes[n].life == life {
            grants.iter().for_each(|g| self.nodes[n].holder.apply_grant(now, g));
        }
    }

    /// A node's clients, and what it asks of whoever lends.
    fn load(&mut self, n: usize) {
        if !self.nodes[n].alive {
            return;
        }
        let now = self.now;
        let mut expected = self.nodes[n].load * STEP as f64 / 1e6;
        while expected > 0.0 {
            let comes = expected >= 1.0 || self.rng.random_bool(expected);
            expected -= 1.0;
            if !comes {
                continue;
            }
            // The same clients under the limit divided by the number of nodes, in a bucket like a share's.
            let each = self.spec.limit / self.spec.nodes as f64;
            let (level, at) = &mut self.nodes[n].divided;
            *level = (*level + each * (now - *at) as f64 / 1e6).min(each);
            *at = now;
            if *level > 0.0 {
                *level -= 1.0;
                self.admitted_divided += 1.0;
            }
            let holder = &mut self.nodes[n].holder;
            if holder.admit(now, LIMIT, 1.0) == Admission::Admit {
                holder.consume(now, LIMIT, 1.0);
                self.admitted += 1.0;
            }
        }
        let asks = self.nodes[n].holder.lease_requests(now);
        if asks.is_empty() {
            return;
        }
        let node = &self.nodes[n];
        let own = format!("n{n}");
        let Some(leader) = node.peers.node_with_highest_number(LEADER_ANNOUNCEMENT).cloned() else { return };
        let life = node.life;
        let mut out = Vec::new();
        for asks in asks.chunks(MAX_ENTRIES_PER_MESSAGE) {
            if *leader.0 == *own {
                self.lend(n, &own, life, asks);
            } else if let Ok(bytes) = postcard::to_stdvec(&(life, asks)) {
                self.nodes[n].peers.send_direct(&leader, LEASE_REQUESTS, bytes, &mut out);
            }
        }
        self.carry_out(n, out);
    }

    fn is_whole(&self) -> bool {
        self.nodes.iter().all(|n| n.peers.alive_count() == self.nodes.len())
    }

    fn leader(&self) -> Option<usize> {
        let leads =
            |n: &Node| n.alive && n.replica.as_ref().is_some_and(|k| k.leadership(self.now).is_some());
        self.nodes.iter().position(leads)
    }

    fn keepers_alive(&self) -> usize {
        self.nodes.iter().filter(|n| n.alive && n.replica.is_some()).count()
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].alive = false;
        self.dead.insert(n, (self.now, BTreeSet::new()));
    }
}

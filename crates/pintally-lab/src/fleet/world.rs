//! The simulated fleet: nodes, the network between them, and node deaths.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use pintally_consensus as consensus;
use pintally_consensus::{Replica, ReplicaName};
use pintally_membership::{
    Membership, MembershipEvent, Output, PeerName, ProcessIncarnation, Settings, Topic,
};
use pintally_quota as quota;
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
/// The interval at which requests are drawn, holders request leases and allocations are summed.
const STEP_INTERVAL: Micros = 50_000;

/// The parameters of a fleet simulation.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Nodes.
    pub nodes: usize,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// Seconds of the quiet phase, over which traffic and admissions are measured.
    pub calm: u64,
    /// The number of nodes that die, one after another. The first death and every third one after it hit the leader,
    /// while more than two replicas live.
    pub deaths: usize,
    /// A hard limit in requests per second. The load is 1.2 times the limit, and the nodes' loads differ by up to
    /// 20 to 1.
    pub limit: f64,
    /// The seed.
    pub seed: u64,
}

struct Node {
    membership: Membership,
    alive: bool,
    /// The time of the pending membership event; `Micros::MAX` if there is none.
    scheduled_wake: Micros,
    replica: Option<Replica>,
    granter: LeaderGranter,
    /// The term for which the node has announced itself as leader.
    announced_term: Option<u64>,
    /// The token bucket of the comparison in which the limit is divided evenly: its level, and when it was updated.
    divided_bucket: (f64, Micros),
    holder: QuotaHolder,
    /// Requests per second.
    load: f64,
    incarnation_nonce: u64,
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
    /// Orders events that are due at the same time.
    event_sequence: u64,
    /// Dead nodes that not all living nodes know of: when each died, and which nodes have declared it dead.
    undetected_deaths: BTreeMap<usize, (Micros, BTreeSet<usize>)>,
    /// Seconds until all living nodes knew of a death.
    death_detection_s: Vec<f64>,
    false_deaths: u64,
    false_suspicions: u64,
    /// Datagrams and bytes sent while measuring.
    sent: (u64, u64),
    measuring: bool,
    admitted: f64,
    admitted_divided: f64,
    peak_allocated: f64,
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

/// Simulates a fleet: all nodes start at once, a quiet phase is measured, then nodes die one after another.
pub fn play(spec: &FleetSpec) -> FleetReport {
    let mut world = World::new(spec.clone());
    let mut report =
        FleetReport { nodes: spec.nodes, loss: spec.loss, seed: spec.seed, ..FleetReport::default() };
    while !world.discovery_complete() && world.now < 300 * SECOND {
        world.run(SECOND / 4);
    }
    report.discovery_complete_s = world.now as f64 / 1e6;
    world.run(20 * SECOND);
    world.measuring = true;
    (world.sent, world.false_deaths, world.false_suspicions) = ((0, 0), 0, 0);
    (world.admitted, world.admitted_divided) = (0.0, 0.0);
    let began = world.now;
    world.run(spec.calm * SECOND);
    world.measuring = false;
    let span = (world.now - began) as f64 / 1e6;
    let n = spec.nodes as f64;
    report.datagrams_per_s = world.sent.0 as f64 / span / n;
    report.bytes_per_s = world.sent.1 as f64 / span / n;
    report.false_deaths_per_hour = world.false_deaths as f64 / span * 3600.0;
    report.false_suspicions_per_hour = world.false_suspicions as f64 / span * 3600.0;
    report.admitted_share = world.admitted / span / spec.limit;
    report.admitted_share_divided = world.admitted_divided / span / spec.limit;
    let mut leader_failover_s = Vec::new();
    for death in 0..spec.deaths {
        let leader = world.leader();
        let victim = match leader {
            Some(leader) if death % 3 == 0 && world.living_replicas() > 2 => leader,
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
            leader_failover_s.push((world.now - died) as f64 / 1e6);
        }
        let until = died + 60 * SECOND;
        while world.undetected_deaths.contains_key(&victim) && world.now < until {
            world.run(SECOND / 4);
        }
    }
    report.death_detection_s = Spread::of(world.death_detection_s.clone());
    report.leader_failover_s = Spread::of(leader_failover_s);
    report.peak_limit_share = world.peak_allocated / spec.limit;
    report
}

impl World {
    fn new(spec: FleetSpec) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let names: Vec<String> = (0..spec.nodes).map(|n| format!("n{n}")).collect();
        let seeds: Vec<SocketAddr> = (0..3.min(spec.nodes)).map(address).collect();
        let quota_settings = quota::Settings { node_count: spec.nodes as u32, ..quota::Settings::default() };
        let limit = Limit { kind: LimitKind::Rate, enforcement: Enforcement::Hard, amount: spec.limit };
        let weights: Vec<f64> = (0..spec.nodes).map(|n| 1.0 + 19.0 * n as f64 / spec.nodes as f64).collect();
        let sum: f64 = weights.iter().sum();
        let replicas: Vec<&str> = names.iter().take(3).map(String::as_str).collect();
        let node = |n: usize, rng: &mut ChaCha8Rng| {
            let incarnation_nonce = rng.random();
            let zone = format!("zone-{}", n % 3);
            let settings = Settings::new("lab", &names[n], &zone, address(n), seeds.clone());
            let replica = (n < 3).then(|| {
                Replica::new(consensus::Settings::new(&names[n], &replicas), None, false, rng.random(), 1)
            });
            Node {
                membership: Membership::new(
                    settings,
                    ProcessIncarnation { boot: 1, nonce: incarnation_nonce },
                    rng.random(),
                    1,
                ),
                alive: true,
                scheduled_wake: Micros::MAX,
                replica,
                granter: LeaderGranter::new(quota_settings, vec![(LIMIT, limit)]),
                announced_term: None,
                divided_bucket: (0.0, 1),
                holder: QuotaHolder::new(quota_settings, [(LIMIT, "limit".to_string(), limit)]),
                load: 1.2 * spec.limit * weights[n] / sum,
                incarnation_nonce,
            }
        };
        let nodes: Vec<Node> = (0..spec.nodes).map(|n| node(n, &mut rng)).collect();
        let mut world = World {
            now: 1,
            rng,
            nodes,
            queue: BTreeMap::new(),
            event_sequence: 0,
            undetected_deaths: BTreeMap::new(),
            death_detection_s: Vec::new(),
            false_deaths: 0,
            false_suspicions: 0,
            sent: (0, 0),
            measuring: false,
            admitted: 0.0,
            admitted_divided: 0.0,
            peak_allocated: 0.0,
            spec,
        };
        for n in 0..world.nodes.len() {
            world.push(n as Micros * 37, Event::Membership(n));
            if world.nodes[n].replica.is_some() {
                world.push(1, Event::Replica(n));
            }
        }
        world.push(STEP_INTERVAL, Event::Step);
        world
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.event_sequence += 1;
        self.queue.insert((self.now + after, self.event_sequence), event);
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > until {
                self.event_sequence += 1;
                self.queue.insert((at, self.event_sequence), event);
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
                self.nodes[to].membership.receive(now, from, &bytes, &mut out);
                self.execute(to, out);
            }
            Event::Membership(n) if self.nodes[n].alive => {
                let mut out = Vec::new();
                if self.nodes[n].membership.next_wake() <= now {
                    self.nodes[n].membership.tick(now, &mut out);
                }
                self.nodes[n].scheduled_wake = Micros::MAX;
                self.execute(n, out);
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
                self.push(STEP_INTERVAL, Event::Step);
                (0..self.nodes.len()).for_each(|n| self.admit_requests(n));
                let allocation =
                    |n: &Node| if n.alive { n.holder.allocation(now, LIMIT).unwrap_or(0.0) } else { 0.0 };
                self.peak_allocated = self.peak_allocated.max(self.nodes.iter().map(allocation).sum());
            }
            _ => {}
        }
    }

    /// Schedules a node's next membership event, unless an earlier one is scheduled already.
    fn schedule_wake(&mut self, n: usize) {
        let at = self.nodes[n].membership.next_wake().max(self.now + 1);
        if at < self.nodes[n].scheduled_wake {
            self.nodes[n].scheduled_wake = at;
            self.push(at - self.now, Event::Membership(n));
        }
    }

    fn execute(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Datagram(to, bytes) => self.send_datagram(n, to, bytes),
                Output::Event(event) => self.handle_membership_event(n, event),
            }
        }
        self.schedule_wake(n);
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        if self.measuring {
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        }
        let Some(to) = node_of(to).filter(|t| *t < self.nodes.len()) else { return };
        if self.rng.random_bool(self.spec.loss) {
            return;
        }
        // The delay is 0.3 to 1.5 ms within a zone and 4 to 9 ms between zones.
        let delay = if from % 3 == to % 3 { 300..1_500 } else { 4_000..9_000 };
        let after = self.rng.random_range(delay);
        self.push(after, Event::Datagram(to, address(from), bytes));
    }

    fn handle_membership_event(&mut self, n: usize, event: MembershipEvent) {
        let now = self.now;
        let number = |name: &PeerName| name.0[1..].parse::<usize>().unwrap_or(0);
        match event {
            MembershipEvent::MemberDown(name) => {
                let dead = number(&name);
                if self.nodes[dead].alive {
                    self.false_deaths += 1;
                }
                self.record_death_report(dead, n);
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
                if let Ok((incarnation_nonce, requests)) =
                    postcard::from_bytes::<(u64, Vec<LeaseRequest>)>(&bytes)
                {
                    self.grant_leases(n, &from.0, incarnation_nonce, &requests);
                }
            }
            MembershipEvent::DirectMessage(_, GRANTS, bytes) => {
                if let Ok((incarnation_nonce, grants)) =
                    postcard::from_bytes::<(u64, Vec<LeaseGrant>)>(&bytes)
                {
                    self.apply_grants(n, incarnation_nonce, &grants);
                }
            }
            _ => {}
        }
    }

    fn record_death_report(&mut self, dead: usize, reporter: usize) {
        let living = self.nodes.iter().filter(|n| n.alive).count();
        let Some((died, reporters)) = self.undetected_deaths.get_mut(&dead) else { return };
        reporters.insert(reporter);
        if reporters.len() >= living {
            self.death_detection_s.push((self.now - *died) as f64 / 1e6);
            self.undetected_deaths.remove(&dead);
        }
    }

    fn dispatch_replica_outputs(&mut self, n: usize, out: Vec<consensus::Output>) {
        let mut membership_outputs = Vec::new();
        for output in out {
            if let consensus::Output::Send(to, message) = output {
                let bytes = postcard::to_stdvec(&message).unwrap_or_default();
                self.nodes[n].membership.send_direct(
                    &PeerName(to.0.clone()),
                    CONSENSUS_MESSAGES,
                    bytes,
                    &mut membership_outputs,
                );
            }
        }
        self.update_leadership(n);
        self.execute(n, membership_outputs);
    }

    /// Starts or stops a node's quota granter as the node gains or loses leadership, and announces the change.
    fn update_leadership(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let term = node.replica.as_ref().and_then(|k| k.leadership(now)).map(|l| l.0);
        node.granter.set_leadership(now, term);
        if term != node.announced_term {
            node.announced_term = term;
            let announcement = term.map(|term| term.to_le_bytes().to_vec()).unwrap_or_default();
            let _ = node.membership.publish(LEADER_ANNOUNCEMENT, announcement);
        }
    }

    fn grant_leases(&mut self, n: usize, name: &str, incarnation_nonce: u64, requests: &[LeaseRequest]) {
        self.update_leadership(n);
        let now = self.now;
        let node = &mut self.nodes[n];
        let grants = node.granter.grant(now, name, incarnation_nonce, requests);
        if grants.is_empty() {
            return;
        }
        if *name == format!("n{n}") {
            return self.apply_grants(n, incarnation_nonce, &grants);
        }
        let mut out = Vec::new();
        if let Ok(bytes) = postcard::to_stdvec(&(incarnation_nonce, grants)) {
            node.membership.send_direct(&PeerName::from(name), GRANTS, bytes, &mut out);
        }
        self.execute(n, out);
    }

    fn apply_grants(&mut self, n: usize, incarnation_nonce: u64, grants: &[LeaseGrant]) {
        let now = self.now;
        if self.nodes[n].incarnation_nonce == incarnation_nonce {
            grants.iter().for_each(|g| self.nodes[n].holder.apply_grant(now, g));
        }
    }

    /// Draws a node's requests of one step and sends the holder's lease requests to the leader.
    fn admit_requests(&mut self, n: usize) {
        if !self.nodes[n].alive {
            return;
        }
        let now = self.now;
        let mut expected = self.nodes[n].load * STEP_INTERVAL as f64 / 1e6;
        while expected > 0.0 {
            let arrives = expected >= 1.0 || self.rng.random_bool(expected);
            expected -= 1.0;
            if !arrives {
                continue;
            }
            // For comparison, the same request also goes through a token bucket with the limit divided by the number
            // of nodes.
            let node_limit = self.spec.limit / self.spec.nodes as f64;
            let (level, updated) = &mut self.nodes[n].divided_bucket;
            *level = (*level + node_limit * (now - *updated) as f64 / 1e6).min(node_limit);
            *updated = now;
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
        let requests = self.nodes[n].holder.lease_requests(now);
        if requests.is_empty() {
            return;
        }
        let node = &self.nodes[n];
        let own = format!("n{n}");
        let Some(leader) = node.membership.node_with_highest_number(LEADER_ANNOUNCEMENT).cloned() else {
            return;
        };
        let incarnation_nonce = node.incarnation_nonce;
        let mut out = Vec::new();
        for requests in requests.chunks(MAX_ENTRIES_PER_MESSAGE) {
            if *leader.0 == *own {
                self.grant_leases(n, &own, incarnation_nonce, requests);
            } else if let Ok(bytes) = postcard::to_stdvec(&(incarnation_nonce, requests)) {
                self.nodes[n].membership.send_direct(&leader, LEASE_REQUESTS, bytes, &mut out);
            }
        }
        self.execute(n, out);
    }

    /// Whether each node's membership has all nodes as alive.
    fn discovery_complete(&self) -> bool {
        self.nodes.iter().all(|n| n.membership.alive_count() == self.nodes.len())
    }

    fn leader(&self) -> Option<usize> {
        let leads =
            |n: &Node| n.alive && n.replica.as_ref().is_some_and(|k| k.leadership(self.now).is_some());
        self.nodes.iter().position(leads)
    }

    fn living_replicas(&self) -> usize {
        self.nodes.iter().filter(|n| n.alive && n.replica.is_some()).count()
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].alive = false;
        self.undetected_deaths.insert(n, (self.now, BTreeSet::new()));
    }
}

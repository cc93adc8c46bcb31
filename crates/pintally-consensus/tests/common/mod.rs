//! A cluster of replicas in virtual time: clocks that drift, a network that loses, duplicates and reorders
//! messages, disks that return older images, and processes that die or are paused. The invariants are
//! checked after every step.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pintally_consensus::{LogEntry, Message, Micros, Output, Replica, ReplicaName, Settings, Write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: Micros = 1_000;

/// The injected faults. Fractions are probabilities per message.
#[derive(Clone, Copy, Debug)]
pub struct FaultSettings {
    pub loss: f64,
    pub duplicate: f64,
    pub delay: f64,
    /// The mean time between two faults; 0 for no faults.
    pub fault_interval: Micros,
    /// The number of disks that may return an older image or nothing.
    pub faulty_disks: usize,
}

/// A network without loss, duplicates and delays, and processes without faults.
pub const NO_FAULTS: FaultSettings =
    FaultSettings { loss: 0.0, duplicate: 0.0, delay: 0.0, fault_interval: 0, faulty_disks: 0 };

pub struct Node {
    pub replica: Option<Replica>,
    /// All states that were saved, the newest last.
    pub disk: Vec<Vec<u8>>,
    pub has_faulty_disk: bool,
    /// The rate of its clock relative to true time.
    pub clock_rate: f64,
    pub clock_offset: Micros,
    pub paused_until: Micros,
    pub inbox: Vec<(ReplicaName, Message)>,
}

enum Event {
    Deliver(usize, ReplicaName, Message),
    Tick(usize),
    InjectFault,
    Propose,
    Resume(usize),
}

pub struct Cluster {
    pub now: Micros,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub names: Vec<ReplicaName>,
    pub faults: FaultSettings,
    pub disconnected: Vec<Vec<bool>>,
    pub settings: Settings,
    queue: BTreeMap<(Micros, u64), Event>,
    last_sequence: u64,
    /// The entry that was first committed at each index.
    pub committed: BTreeMap<u64, LogEntry>,
    /// The leader of each term.
    leaders: BTreeMap<u64, usize>,
    pub proposals: u64,
    pub completed: u64,
    /// Whether logs must agree; they need not if more than one disk may return older images.
    pub logs_must_agree: bool,
    seed: u64,
}

impl Cluster {
    pub fn new(n: usize, seed: u64, faults: FaultSettings) -> Cluster {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<ReplicaName> = (0..n).map(|k| ReplicaName::from(format!("k{k}").as_str())).collect();
        let mut settings = Settings::new("k0", &[]);
        settings.replicas = names.clone();
        settings.log_entries_before_snapshot = 6;
        // A disk that returns an older image while another replica is down for longer than the recovery
        // timeout is two failures at once, which three replicas do not tolerate. With one faulty disk this
        // case is excluded.
        if faults.faulty_disks == 1 {
            settings.vote_recovery_timeout = 3_600_000 * MS;
        }
        let nodes = (0..n).map(|k| Node {
            replica: None,
            disk: Vec::new(),
            has_faulty_disk: k < faults.faulty_disks,
            clock_rate: 1.0 + rng.random_range(-0.5..0.5) * settings.max_clock_drift,
            clock_offset: rng.random_range(0..1_000_000_000),
            paused_until: 0,
            inbox: Vec::new(),
        });
        let nodes = nodes.collect();
        let mut cluster = Cluster {
            now: 1,
            nodes,
            names,
            faults,
            disconnected: vec![vec![false; n]; n],
            settings,
            queue: BTreeMap::new(),
            last_sequence: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
            completed: 0,
            logs_must_agree: faults.faulty_disks <= 1,
            rng,
            seed,
        };
        for k in 0..n {
            cluster.start(k);
        }
        if faults.fault_interval > 0 {
            let at = cluster.rng.random_range(0..2 * faults.fault_interval);
            cluster.push(at, Event::InjectFault);
        }
        cluster.push(900 * MS, Event::Propose);
        cluster
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.last_sequence += 1;
        self.queue.insert((self.now + after, self.last_sequence), event);
    }

    /// The clock of a node.
    pub fn clock(&self, k: usize) -> Micros {
        self.nodes[k].clock_offset + (self.now as f64 * self.nodes[k].clock_rate) as Micros
    }

    /// Starts a process with the state that its disk returns.
    pub fn start(&mut self, k: usize) {
        let clock = self.clock(k);
        let settings = Settings { name: self.names[k].clone(), ..self.settings.clone() };
        let seed = self.rng.random();
        let node = &mut self.nodes[k];
        let saved = node.disk.last().cloned();
        node.replica = Some(Replica::new(settings, saved.as_deref(), saved.is_some(), seed, clock));
        self.schedule_tick(k);
    }

    fn schedule_tick(&mut self, k: usize) {
        let Some(replica) = &self.nodes[k].replica else { return };
        let remaining = replica.next_wake().saturating_sub(self.clock(k));
        let after = (remaining as f64 / self.nodes[k].clock_rate) as Micros + 1;
        self.push(after, Event::Tick(k));
    }

    /// Ends a process; a faulty disk returns an older image, or nothing.
    pub fn kill(&mut self, k: usize) {
        self.nodes[k].replica = None;
        if self.nodes[k].has_faulty_disk {
            let kept_states = self.rng.random_range(0..=self.nodes[k].disk.len());
            self.nodes[k].disk.truncate(kept_states);
        }
    }

    pub fn execute(&mut self, k: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Save(bytes) => self.nodes[k].disk.push(bytes),
                Output::Send(to, message) => {
                    let Some(to) = self.names.iter().position(|name| *name == to) else { continue };
                    let faults = self.faults;
                    if self.disconnected[k][to] || self.rng.random_bool(faults.loss) {
                        continue;
                    }
                    let copies = 1 + usize::from(self.rng.random_bool(faults.duplicate));
                    for _ in 0..copies {
                        let is_delayed = self.rng.random_bool(faults.delay);
                        let max_delay = if is_delayed { 3_000 * MS } else { 20 * MS };
                        let delay = self.rng.random_range(MS..max_delay);
                        let from = self.names[k].clone();
                        self.push(delay, Event::Deliver(to, from, message.clone()));
                    }
                }
                Output::ProposalApplied(..) => self.completed += 1,
                Output::ProposalRejected(..) | Output::StateChanged => {}
            }
        }
        self.check(k);
    }

    /// Runs until a time.
    pub fn run(&mut self, until: Micros) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = self.queue.pop_first().expect("the queue has an entry");
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Deliver(k, from, message) => {
                if self.now < self.nodes[k].paused_until {
                    self.nodes[k].inbox.push((from, message));
                    return;
                }
                let clock = self.clock(k);
                let Some(replica) = &mut self.nodes[k].replica else { return };
                replica.receive(clock, &from, message, &mut out);
                self.execute(k, out);
                self.schedule_tick(k);
            }
            Event::Tick(k) => {
                if self.now < self.nodes[k].paused_until {
                    return;
                }
                let clock = self.clock(k);
                let Some(replica) = &mut self.nodes[k].replica else { return };
                if clock >= replica.next_wake() {
                    replica.tick(clock, &mut out);
                    self.execute(k, out);
                    self.schedule_tick(k);
                }
            }
            Event::Propose => {
                let k = self.rng.random_range(0..self.nodes.len());
                let k = (0..self.nodes.len()).find(|k| self.is_leader(*k)).unwrap_or(k);
                self.propose(k);
                let after = self.rng.random_range(20 * MS..400 * MS);
                self.push(after, Event::Propose);
            }
            Event::Resume(k) => {
                if self.nodes[k].replica.is_none() {
                    return self.start(k);
                }
                let clock = self.clock(k);
                let inbox = std::mem::take(&mut self.nodes[k].inbox);
                for (from, message) in inbox {
                    let mut out = Vec::new();
                    if let Some(replica) = &mut self.nodes[k].replica {
                        replica.receive(clock, &from, message, &mut out);
                    }
                    self.execute(k, out);
                }
                self.schedule_tick(k);
            }
            Event::InjectFault => self.inject_fault(),
        }
    }

    pub fn propose(&mut self, k: usize) {
        let clock = self.clock(k);
        let mut out = Vec::new();
        self.proposals += 1;
        let key = format!("v{}", self.rng.random_range(0..3u32));
        let write = Write { key, value: self.proposals.to_le_bytes().to_vec(), expect: None };
        let number = self.proposals;
        let is_running = self.now >= self.nodes[k].paused_until;
        if let Some(replica) = self.nodes[k].replica.as_mut().filter(|_| is_running) {
            replica.propose(clock, number, write, &mut out);
        }
        self.execute(k, out);
    }

    fn inject_fault(&mut self) {
        let n = self.nodes.len();
        let k = self.rng.random_range(0..n);
        let duration = self.rng.random_range(100 * MS..4_000 * MS);
        match self.rng.random_range(0..6u32) {
            0 => {
                self.kill(k);
                self.push(duration, Event::Resume(k));
            }
            1 => {
                self.nodes[k].paused_until = self.now + duration;
                self.push(duration, Event::Resume(k));
            }
            2 => {
                let other = self.rng.random_range(0..n);
                self.disconnected[k][other] = true;
            }
            3 => {
                for other in 0..n {
                    (self.disconnected[k][other], self.disconnected[other][k]) = (true, true);
                }
            }
            4 => self.disconnected = vec![vec![false; n]; n],
            _ => {
                // Faults of the leader are more frequent than those of other replicas.
                if let Some(k) = (0..n).find(|k| self.is_leader(*k)) {
                    if self.rng.random_bool(0.5) {
                        self.kill(k);
                    } else {
                        self.nodes[k].paused_until = self.now + duration;
                    }
                    self.push(duration, Event::Resume(k));
                }
            }
        }
        let after = self.rng.random_range(0..2 * self.faults.fault_interval);
        self.push(after, Event::InjectFault);
    }

    pub fn is_leader(&self, k: usize) -> bool {
        let clock = self.clock(k);
        self.nodes[k].replica.as_ref().is_some_and(|replica| replica.leadership(clock).is_some())
    }

    /// Checks the invariants: one leader at a time and per term, and agreement on committed entries.
    fn check(&mut self, k: usize) {
        let seed = self.seed;
        // A paused process does nothing; when it resumes it reads its clock first.
        let leaders: Vec<usize> = (0..self.nodes.len()).filter(|k| self.is_leader(*k)).collect();
        assert!(leaders.len() <= 1, "seed {seed}: {leaders:?} lead at the same time");
        let Some(replica) = &self.nodes[k].replica else { return };
        if !self.logs_must_agree {
            return;
        }
        if leaders == [k] {
            let first_leader = *self.leaders.entry(replica.term()).or_insert(k);
            assert_eq!(first_leader, k, "seed {seed}: two leaders in term {}", replica.term());
        }
        for index in replica.last_applied().saturating_sub(8)..=replica.last_applied() {
            let Some(entry) = replica.committed_entry(index) else { continue };
            let first_committed = self.committed.entry(index).or_insert_with(|| entry.clone());
            assert_eq!(first_committed, entry, "seed {seed}: replicas disagree on entry {index}");
        }
    }

    /// Ends all faults: all processes run and are connected.
    pub fn end_faults(&mut self) {
        let n = self.nodes.len();
        self.disconnected = vec![vec![false; n]; n];
        self.faults = FaultSettings {
            loss: 0.0,
            duplicate: 0.0,
            delay: 0.0,
            fault_interval: 0,
            faulty_disks: self.faults.faulty_disks,
        };
        self.queue.retain(|_, event| !matches!(event, Event::InjectFault));
        for k in 0..n {
            self.nodes[k].paused_until = 0;
            self.step(Event::Resume(k));
        }
    }
}

/// The index of the leader, if there is one.
pub fn leader(cluster: &Cluster) -> Option<usize> {
    (0..cluster.nodes.len()).find(|k| cluster.is_leader(*k))
}

/// Runs a cluster for a number of milliseconds.
pub fn run_for(cluster: &mut Cluster, ms: u64) {
    let until = cluster.now + ms * MS;
    cluster.run(until);
}

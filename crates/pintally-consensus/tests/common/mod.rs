//! Keepers in virtual time: clocks that drift, a network that loses, doubles and reorders, disks that go
//! back, processes that die or stand still. What must hold is checked after every step.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pintally_consensus::{Entry, Message, Micros, Output, Replica, ReplicaName, Settings, Write};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: Micros = 1_000;

/// What befalls a world; parts are chances for each message.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub loss: f64,
    pub double: f64,
    pub late: f64,
    /// Mean time between two troubles, 0 for none.
    pub trouble: Micros,
    /// How many of the disks may come back older or empty.
    pub lying: usize,
}

pub struct Node {
    pub keeper: Option<Replica>,
    /// All that was ever saved, the newest last.
    pub disk: Vec<Vec<u8>>,
    pub lies: bool,
    /// Own clock against the true one.
    pub rate: f64,
    pub offset: Micros,
    pub paused_until: Micros,
    pub mail: Vec<(ReplicaName, Message)>,
}

enum Event {
    Mail(usize, ReplicaName, Message),
    Wake(usize),
    Trouble,
    Propose,
    Return(usize),
}

pub struct World {
    pub now: Micros,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub names: Vec<ReplicaName>,
    pub weather: Weather,
    pub cut: Vec<Vec<bool>>,
    pub settings: Settings,
    queue: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    /// By index: what was agreed on first.
    pub agreed: BTreeMap<u64, Entry>,
    /// Who led in a term.
    leaders: BTreeMap<u64, usize>,
    pub proposals: u64,
    pub done: u64,
    /// Whether logs must agree in this world (they need not if too many disks went back).
    pub strict: bool,
    seed: u64,
}

impl World {
    pub fn new(n: usize, seed: u64, weather: Weather) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<ReplicaName> = (0..n).map(|k| ReplicaName::from(format!("k{k}").as_str())).collect();
        let mut settings = Settings::new("k0", &[]);
        settings.replicas = names.clone();
        settings.log_entries_before_snapshot = 6;
        // A disk that went back while another keeper is dead for longer than a doubt lasts is two
        // failures at once: three keepers do not bear it, and where one disk lies it is left out.
        if weather.lying == 1 {
            settings.vote_recovery_timeout = 3_600_000 * MS;
        }
        let nodes = (0..n).map(|k| Node {
            keeper: None,
            disk: Vec::new(),
            lies: k < weather.lying,
            rate: 1.0 + rng.random_range(-0.5..0.5) * settings.max_clock_drift,
            offset: rng.random_range(0..1_000_000_000),
            paused_until: 0,
            mail: Vec::new(),
        });
        let nodes = nodes.collect();
        let mut world = World {
            now: 1,
            nodes,
            names,
            weather,
            cut: vec![vec![false; n]; n],
            settings,
            queue: BTreeMap::new(),
            serial: 0,
            agreed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
            done: 0,
            strict: weather.lying <= 1,
            rng,
            seed,
        };
        for k in 0..n {
            world.start(k);
        }
        if weather.trouble > 0 {
            let at = world.rng.random_range(0..2 * weather.trouble);
            world.push(at, Event::Trouble);
        }
        world.push(900 * MS, Event::Propose);
        world
    }

    fn push(&mut self, after: Micros, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + after, self.serial), event);
    }

    /// A node's own clock.
    pub fn clock(&self, k: usize) -> Micros {
        self.nodes[k].offset + (self.now as f64 * self.nodes[k].rate) as Micros
    }

    /// Starts a process with what its disk gives back.
    pub fn start(&mut self, k: usize) {
        let clock = self.clock(k);
        let settings = Settings { name: self.names[k].clone(), ..self.settings.clone() };
        let seed = self.rng.random();
        let node = &mut self.nodes[k];
        let saved = node.disk.last().cloned();
        node.keeper = Some(Replica::new(settings, saved.as_deref(), saved.is_some(), seed, clock));
        self.wake(k);
    }

    fn wake(&mut self, k: usize) {
        let Some(keeper) = &self.nodes[k].keeper else { return };
        let own = keeper.next_wake().saturating_sub(self.clock(k));
        let after = (own as f64 / self.nodes[k].rate) as Micros + 1;
        self.push(after, Event::Wake(k));
    }

    /// Ends a process; a disk that lies goes back, or is lost.
    pub fn kill(&mut self, k: usize) {
        self.nodes[k].keeper = None;
        if self.nodes[k].lies {
            let keep = self.rng.random_range(0..=self.nodes[k].disk.len());
            self.nodes[k].disk.truncate(keep);
        }
    }

    pub fn carry_out(&mut self, k: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Save(bytes) => self.nodes[k].disk.push(bytes),
                Output::Send(to, message) => {
                    let Some(to) = self.names.iter().position(|n| *n == to) else { continue };
                    let w = self.weather;
                    if self.cut[k][to] || self.rng.random_bool(w.loss) {
                        continue;
                    }
                    let times = 1 + usize::from(self.rng.random_bool(w.double));
                    for _ in 0..times {
                        let late = self.rng.random_bool(w.late);
                        let most = if late { 3_000 * MS } else { 20 * MS };
                        let after = self.rng.random_range(MS..most);
                        let from = self.names[k].clone();
                        self.push(after, Event::Mail(to, from, message.clone()));
                    }
                }
                Output::Done(..) => self.done += 1,
                Output::Refused(..) | Output::Changed => {}
            }
        }
        self.check(k);
    }

    /// Plays until a time.
    pub fn run(&mut self, until: Micros) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = self.queue.pop_first().expect("there is one");
            self.now = at;
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Mail(k, from, message) => {
                if self.now < self.nodes[k].paused_until {
                    self.nodes[k].mail.push((from, message));
                    return;
                }
                let clock = self.clock(k);
                let Some(keeper) = &mut self.nodes[k].keeper else { return };
                keeper.receive(clock, &from, message, &mut out);
                self.carry_out(k, out);
                self.wake(k);
            }
            Event::Wake(k) => {
                if self.now < self.nodes[k].paused_until {
                    return;
                }
                let clock = self.clock(k);
                let Some(keeper) = &mut self.nodes[k].keeper else { return };
                if clock >= keeper.next_wake() {
                    keeper.tick(clock, &mut out);
                    self.carry_out(k, out);
                    self.wake(k);
                }
            }
            Event::Propose => {
                let k = self.rng.random_range(0..self.nodes.len());
                let k = (0..self.nodes.len()).find(|k| self.leads(*k)).unwrap_or(k);
                self.propose(k);
                let after = self.rng.random_range(20 * MS..400 * MS);
                self.push(after, Event::Propose);
            }
            Event::Return(k) => {
                if self.nodes[k].keeper.is_none() {
                    return self.start(k);
                }
                let clock = self.clock(k);
                let mail = std::mem::take(&mut self.nodes[k].mail);
                for (from, message) in mail {
                    let mut out = Vec::new();
                    if let Some(keeper) = &mut self.nodes[k].keeper {
                        keeper.receive(clock, &from, message, &mut out);
                    }
                    self.carry_out(k, out);
                }
                self.wake(k);
            }
            Event::Trouble => self.trouble(),
        }
    }

    pub fn propose(&mut self, k: usize) {
        let clock = self.clock(k);
        let mut out = Vec::new();
        self.proposals += 1;
        let key = format!("v{}", self.rng.random_range(0..3u32));
        let write = Write { key, value: self.proposals.to_le_bytes().to_vec(), expect: None };
        let number = self.proposals;
        let awake = self.now >= self.nodes[k].paused_until;
        if let Some(keeper) = self.nodes[k].keeper.as_mut().filter(|_| awake) {
            keeper.propose(clock, number, write, &mut out);
        }
        self.carry_out(k, out);
    }

    fn trouble(&mut self) {
        let n = self.nodes.len();
        let k = self.rng.random_range(0..n);
        let span = self.rng.random_range(100 * MS..4_000 * MS);
        match self.rng.random_range(0..6u32) {
            0 => {
                self.kill(k);
                self.push(span, Event::Return(k));
            }
            1 => {
                self.nodes[k].paused_until = self.now + span;
                self.push(span, Event::Return(k));
            }
            2 => {
                let other = self.rng.random_range(0..n);
                self.cut[k][other] = true;
            }
            3 => {
                for other in 0..n {
                    (self.cut[k][other], self.cut[other][k]) = (true, true);
                }
            }
            4 => self.cut = vec![vec![false; n]; n],
            _ => {
                // Who leads is hit harder.
                if let Some(k) = (0..n).find(|k| self.leads(*k)) {
                    if self.rng.random_bool(0.5) {
                        self.kill(k);
                    } else {
                        self.nodes[k].paused_until = self.now + span;
                    }
                    self.push(span, Event::Return(k));
                }
            }
        }
        let after = self.rng.random_range(0..2 * self.weather.trouble);
        self.push(after, Event::Trouble);
    }

    pub fn leads(&self, k: usize) -> bool {
        let clock = self.clock(k);
        self.nodes[k].keeper.as_ref().is_some_and(|x| x.leadership(clock).is_some())
    }

    /// What must hold: one leader at a time and in a term, one agreed log.
    fn check(&mut self, k: usize) {
        let seed = self.seed;
        // A process that stands still acts on nothing: when it wakes it asks its clock first.
        let leading: Vec<usize> = (0..self.nodes.len()).filter(|k| self.leads(*k)).collect();
        assert!(leading.len() <= 1, "seed {seed}: {leading:?} lead at one time");
        let Some(keeper) = &self.nodes[k].keeper else { return };
        if !self.strict {
            return;
        }
        if leading == [k] {
            let by = *self.leaders.entry(keeper.term()).or_insert(k);
            assert_eq!(by, k, "seed {seed}: two leaders in term {}", keeper.term());
        }
        for index in keeper.applied().saturating_sub(8)..=keeper.applied() {
            let Some(entry) = keeper.committed_entry(index) else { continue };
            let first = self.agreed.entry(index).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "seed {seed}: keepers disagree on entry {index}");
        }
    }

    /// Ends all troubles: everybody is back and hears everybody.
    pub fn heal(&mut self) {
        let n = self.nodes.len();
        self.cut = vec![vec![false; n]; n];
        self.weather = Weather { loss: 0.0, double: 0.0, late: 0.0, trouble: 0, lying: self.weather.lying };
        self.queue.retain(|_, e| !matches!(e, Event::Trouble));
        for k in 0..n {
            self.nodes[k].paused_until = 0;
            self.step(Event::Return(k));
        }
    }
}

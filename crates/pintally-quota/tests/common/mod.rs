//! Nodes and a lease granter in virtual time: clocks that drift, messages that are lost, duplicated, delayed
//! and reordered, nodes that restart, are paused or run twice, and changes of leader.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pintally_quota::{
    Admission, Enforcement, LeaseGrant, LeaseGranter, LeaseRequest, Limit, LimitId, LimitKind, Micros,
    QuotaHolder, Settings,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: Micros = 1_000;
pub const LIMIT_ID: LimitId = LimitId(1);

/// A defect that is seeded on purpose to show that the checks can fail.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SeededDefect {
    None,
    /// A restarted node continues to use the allocation in an image of its disk.
    AllocationsFromDisk,
    /// Holders measure leases by wall clocks, which are sometimes set back.
    WallClock,
    /// A new granter grants before earlier leases have expired.
    NoLeaseWait,
}

pub struct Node {
    pub holder: QuotaHolder,
    pub incarnation: u64,
    /// The rate of its clock relative to true time.
    pub clock_rate: f64,
    pub clock_offset: Micros,
    pub clock_set_back: Micros,
    pub paused_until: Micros,
    pub disconnected: bool,
    /// The offered load, per second.
    pub load: f64,
    /// The end times of the running streams.
    pub running: Vec<Micros>,
    disk_image: QuotaHolder,
}

enum Event {
    LeaseRequest(usize, String, u64, LeaseRequest),
    LeaseGrant(usize, u64, LeaseGrant),
}

pub struct Fleet {
    pub now: Micros,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub limit: Limit,
    pub settings: Settings,
    pub granter: Option<LeaseGranter>,
    pub next_granter_at: Micros,
    pub defect: SeededDefect,
    pub loss: f64,
    pub inject_faults: bool,
    queue: BTreeMap<(Micros, u64), Event>,
    last_sequence: u64,
    incarnations: u64,
    /// The greatest excess over the limit in any window so far.
    pub max_excess: f64,
    /// The excess over the limit in the window with the greatest excess that ends at `excess_at`.
    current_excess: f64,
    excess_at: Micros,
    pub ended_leases: u64,
    pub admitted: f64,
    pub rejected: u64,
    /// The greatest sum of all allocations at one time.
    pub peak: f64,
    pub load_moves: u64,
}

impl Fleet {
    pub fn new(n: usize, seed: u64, limit: Limit) -> Fleet {
        let settings =
            Settings { node_count: n as u32, max_request_duration: 1_000_000, ..Settings::default() };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet {
            now: 1,
            nodes: Vec::new(),
            limit,
            settings,
            granter: None,
            next_granter_at: 1,
            defect: SeededDefect::None,
            loss: 0.0,
            inject_faults: false,
            queue: BTreeMap::new(),
            last_sequence: 0,
            incarnations: 0,
            max_excess: 0.0,
            current_excess: 0.0,
            excess_at: 1,
            ended_leases: 0,
            admitted: 0.0,
            rejected: 0,
            peak: 0.0,
            load_moves: 0,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        for _ in 0..n {
            let load = rng.random_range(0.0..2.0) * limit.amount / n as f64;
            fleet.add(load);
        }
        fleet
    }

    pub fn add(&mut self, load: f64) {
        self.incarnations += 1;
        let holder = QuotaHolder::new(self.settings, [(LIMIT_ID, "one".to_string(), self.limit)]);
        let drift = self.settings.max_clock_drift;
        self.nodes.push(Node {
            disk_image: holder.clone(),
            holder,
            incarnation: self.incarnations,
            clock_rate: 1.0 + self.rng.random_range(-0.5..0.5) * drift,
            clock_offset: self.rng.random_range(0..1_000_000_000),
            clock_set_back: 0,
            paused_until: 0,
            disconnected: false,
            load,
            running: Vec::new(),
        });
    }

    pub fn clock(&self, k: usize) -> Micros {
        let node = &self.nodes[k];
        node.clock_offset + (self.now as f64 * node.clock_rate) as Micros
            - node.clock_set_back.min(node.clock_offset)
    }

    fn push(&mut self, event: Event) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.loss));
        for _ in 0..copies {
            let is_late = self.rng.random_bool(self.loss);
            let max_delay = if is_late { 2 * self.settings.lease_duration } else { 20 * MS };
            let delay = self.rng.random_range(MS..max_delay);
            self.last_sequence += 1;
            let event = match &event {
                Event::LeaseRequest(k, name, incarnation, request) => {
                    Event::LeaseRequest(*k, name.clone(), *incarnation, *request)
                }
                Event::LeaseGrant(k, incarnation, grant) => Event::LeaseGrant(*k, *incarnation, *grant),
            };
            self.queue.insert((self.now + delay, self.last_sequence), event);
        }
    }

    pub fn restart(&mut self, k: usize) {
        self.incarnations += 1;
        let new_holder = QuotaHolder::new(self.settings, [(LIMIT_ID, "one".to_string(), self.limit)]);
        let uses_disk_image = self.defect == SeededDefect::AllocationsFromDisk;
        let node = &mut self.nodes[k];
        node.holder = if uses_disk_image { node.disk_image.clone() } else { new_holder };
        node.incarnation = self.incarnations;
        node.running.clear();
    }

    /// Changes the leader: for some time nothing is granted, then a granter without any state takes over.
    pub fn change_leader(&mut self) {
        self.granter = None;
        self.next_granter_at = self.now + self.rng.random_range(0..1_500 * MS);
    }

    /// Runs a step of 5 ms.
    pub fn step(&mut self) -> Result<(), String> {
        self.now += 5 * MS;
        if self.granter.is_none() && self.now >= self.next_granter_at {
            let set_back =
                if self.defect == SeededDefect::NoLeaseWait { self.now.min(100_000 * MS) } else { 0 };
            let started_at = self.now - set_back;
            self.granter = Some(LeaseGranter::new(self.settings, [(LIMIT_ID, self.limit)], started_at));
        }
        if self.inject_faults {
            self.inject_fault();
        }
        for k in 0..self.nodes.len() {
            self.apply_load(k)?;
        }
        while self.queue.first_key_value().is_some_and(|(at, _)| at.0 <= self.now) {
            let Some((_, event)) = self.queue.pop_first() else { break };
            match event {
                Event::LeaseRequest(k, name, incarnation, request) => {
                    let (now, disconnected) = (self.now, self.nodes[k].disconnected);
                    let grant = self
                        .granter
                        .as_mut()
                        .filter(|_| !disconnected)
                        .and_then(|granter| granter.grant(now, &name, incarnation, &request));
                    if let Some(grant) = grant {
                        self.push(Event::LeaseGrant(k, incarnation, grant));
                    }
                }
                Event::LeaseGrant(k, incarnation, grant) => {
                    let clock = self.clock(k);
                    let node = &mut self.nodes[k];
                    if node.incarnation == incarnation && !node.disconnected && self.now >= node.paused_until
                    {
                        node.holder.apply_grant(clock, &grant);
                    }
                }
            }
            self.check()?;
        }
        self.check()
    }

    /// Applies the offered load of one step at a node and sends its lease requests.
    fn apply_load(&mut self, k: usize) -> Result<(), String> {
        if self.now < self.nodes[k].paused_until {
            return Ok(());
        }
        let clock = self.clock(k);
        let had_lease = self.nodes[k].holder.leased(clock, LIMIT_ID) > 0.0;
        let mut expected_requests = self.nodes[k].load * 0.005;
        if self.limit.kind == LimitKind::Concurrency {
            // Each stream runs for half a second.
            expected_requests *= 2.0;
            let now = self.now;
            let node = &mut self.nodes[k];
            let ended = node.running.iter().filter(|end| **end <= now).count();
            node.running.retain(|end| *end > now);
            (0..ended).for_each(|_| node.holder.release(clock, LIMIT_ID, 1.0));
        }
        while expected_requests > 0.0 {
            if expected_requests < 1.0 && !self.rng.random_bool(expected_requests) {
                break;
            }
            expected_requests -= 1.0;
            let node = &mut self.nodes[k];
            if node.holder.admit(clock, LIMIT_ID, 1.0) == Admission::Admit {
                node.holder.consume(clock, LIMIT_ID, 1.0);
                node.running.push(self.now + 500 * MS);
                self.admitted += 1.0;
                let elapsed_s = (self.now - self.excess_at) as f64 / 1e6;
                self.excess_at = self.now;
                self.current_excess = (self.current_excess - self.limit.amount * elapsed_s).max(0.0) + 1.0;
                self.max_excess = self.max_excess.max(self.current_excess);
            } else {
                self.rejected += 1;
            }
        }
        if self.defect == SeededDefect::AllocationsFromDisk {
            // Keeps the image with the greatest allocation whose lease has not expired.
            let node = &mut self.nodes[k];
            if node.disk_image.leased(clock, LIMIT_ID) < node.holder.leased(clock, LIMIT_ID) {
                node.disk_image = node.holder.clone();
            }
        }
        let requests = self.nodes[k].holder.lease_requests(clock);
        let incarnation = self.nodes[k].incarnation;
        self.ended_leases += u64::from(had_lease && self.nodes[k].holder.leased(clock, LIMIT_ID) <= 0.0);
        if !self.nodes[k].disconnected {
            requests
                .into_iter()
                .for_each(|request| self.push(Event::LeaseRequest(k, format!("n{k}"), incarnation, request)));
        }
        self.check()
    }

    fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.01) {
            return;
        }
        let k = self.rng.random_range(0..self.nodes.len());
        let duration = self.rng.random_range(0..6_000 * MS);
        match self.rng.random_range(0..6u32) {
            0 => self.restart(k),
            1 => self.nodes[k].paused_until = self.now + duration,
            2 => self.nodes[k].disconnected = !self.nodes[k].disconnected,
            3 => self.change_leader(),
            4 => {
                // All load of the fleet moves to one node, or is spread evenly.
                let total_load = 2.0 * self.limit.amount;
                let node_count = self.nodes.len() as f64;
                let is_skewed = self.rng.random_bool(0.5);
                for (index, node) in self.nodes.iter_mut().enumerate() {
                    node.load = if !is_skewed {
                        total_load / node_count
                    } else if index == k {
                        total_load
                    } else {
                        0.0
                    };
                }
                self.load_moves += 1;
            }
            5 if self.defect == SeededDefect::WallClock => {
                self.nodes[k].clock_set_back += 3_600_000 * MS / 1000;
            }
            _ => {}
        }
    }

    /// The sum of the amounts that all nodes may use now.
    pub fn total_allocation(&self) -> f64 {
        (0..self.nodes.len()).filter_map(|k| self.nodes[k].holder.allocation(self.clock(k), LIMIT_ID)).sum()
    }

    /// Checks that the allocations and their use stay within the guaranteed bounds.
    fn check(&mut self) -> Result<(), String> {
        let sum = self.total_allocation();
        self.peak = self.peak.max(sum);
        let bounds = self.settings.bounds(&self.limit);
        let additional_nodes = self.nodes.len().saturating_sub(self.settings.node_count as usize) as f64;
        let max_total = bounds.max_total + additional_nodes * bounds.per_additional_node;
        if sum > max_total * (1.0 + 1e-6) {
            return Err(format!("at {} ms all nodes may use {sum:.3} of {max_total:.3}", self.now / MS));
        }
        if self.limit.kind == LimitKind::Rate {
            let single_costs = self.incarnations as f64 + self.ended_leases as f64 + self.nodes.len() as f64;
            let soft_excess = (bounds.max_total - self.limit.amount) * self.now as f64 / 1e6;
            if self.max_excess
                > bounds.max_burst
                    + single_costs
                    + soft_excess
                    + additional_nodes * bounds.per_additional_node * self.now as f64 / 1e6
            {
                return Err(format!("{:.1} beyond the limit in one window", self.max_excess));
            }
        } else {
            // A stream that a paused node still counts has ended at its engine.
            let now = self.now;
            let running: usize =
                self.nodes.iter().map(|node| node.running.iter().filter(|end| **end > now).count()).sum();
            if running as f64 > max_total + 1e-6 {
                return Err(format!("{running} streams at the same time of {max_total}"));
            }
        }
        Ok(())
    }

    pub fn run(&mut self, ms: Micros) -> Result<(), String> {
        let until = self.now + ms * MS;
        while self.now < until {
            self.step()?;
        }
        Ok(())
    }
}

pub fn rate(amount: f64, enforcement: Enforcement) -> Limit {
    Limit { kind: LimitKind::Rate, enforcement, amount }
}

pub fn concurrency(amount: f64, enforcement: Enforcement) -> Limit {
    Limit { kind: LimitKind::Concurrency, enforcement, amount }
}

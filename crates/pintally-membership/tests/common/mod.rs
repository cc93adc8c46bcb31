//! A network in virtual time: delays, loss, doubled packets, cuts, nodes that die or stand still.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use pintally_membership::{
    MemberState, Membership, MembershipEvent, Micros, Output, ProcessIncarnation, Settings,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SECOND: Micros = 1_000_000;

pub struct Node {
    pub peers: Membership,
    pub notices: Vec<(Micros, MembershipEvent)>,
    pub up: bool,
    /// It stands still until then; what comes waits.
    pub paused_until: Micros,
}

/// Whose it is, from where, to where, and what.
type Packet = (usize, SocketAddr, SocketAddr, Vec<u8>);

pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub doubled: f64,
    /// Pairs, by number, between which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Micros, u64), Packet>,
    serial: u64,
    rng: ChaCha8Rng,
    pub fleet: String,
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8 + 1], 7000))
}

pub fn settings(number: usize) -> Settings {
    Settings::new("test", &format!("n{number}"), "a", address(number), vec![address(0), address(1)])
}

impl Net {
    pub fn new(nodes: usize, seed: u64) -> Net {
        let mut net = Net {
            now: 0,
            nodes: Vec::new(),
            loss: 0.0,
            doubled: 0.0,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: "test".into(),
        };
        for number in 0..nodes {
            net.add(settings(number), ProcessIncarnation { boot: 1, mark: 1000 + number as u64 });
        }
        net
    }

    pub fn add(&mut self, settings: Settings, life: ProcessIncarnation) -> usize {
        settings.check().expect("sound settings");
        let seed = self.rng.next_u64();
        let peers = Membership::new(settings, life, seed, self.now);
        self.nodes.push(Node { peers, notices: Vec::new(), up: true, paused_until: 0 });
        self.nodes.len() - 1
    }

    /// A node starts anew in place of a dead one.
    pub fn restart(&mut self, number: usize, life: ProcessIncarnation) {
        let seed = self.rng.next_u64();
        let peers = Membership::new(settings(number), life, seed, self.now);
        self.nodes[number] = Node { peers, notices: Vec::new(), up: true, paused_until: 0 };
    }

    pub fn cut_halves(&mut self, at: usize) {
        let n = self.nodes.len();
        for a in 0..at {
            for b in at..n {
                self.cut.insert((a, b));
                self.cut.insert((b, a));
            }
        }
    }

    fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < part
    }

    fn carry_out(&mut self, number: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Event(notice) => self.nodes[number].notices.push((self.now, notice)),
                Output::Datagram(to, bytes) => {
                    let Some(target) =
                        (0..self.nodes.len()).rev().find(|n| address_of(&self.nodes[*n]) == to)
                    else {
                        continue;
                    };
                    if self.cut.contains(&(number, target)) || self.chance(self.loss) {
                        continue;
                    }
                    let times = 1 + usize::from(self.chance(self.doubled));
                    let from = address_of(&self.nodes[number]);
                    for _ in 0..times {
                        let delay = 200 + self.rng.next_u64() % 4_800;
                        self.serial += 1;
                        let at = (self.now + delay, self.serial);
                        self.queue.insert(at, (target, from, to, bytes.clone()));
                    }
                }
            }
        }
    }

    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            let mut next = until;
            if let Some((at, _)) = self.queue.keys().next() {
                next = next.min(*at);
            }
            for node in self.nodes.iter().filter(|n| n.up) {
                next = next.min(node.peers.next_wake().max(node.paused_until));
            }
            self.now = next.max(self.now);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (target, from, to, bytes) = entry.remove();
                let node = &mut self.nodes[target];
                if !node.up || address_of(node) != to {
                    continue;
                }
                if node.paused_until > self.now {
                    self.serial += 1;
                    let at = (node.paused_until + 1, self.serial);
                    self.queue.insert(at, (target, from, to, bytes));
                    continue;
                }
                let mut out = Vec::new();
                node.peers.receive(self.now, from, &bytes, &mut out);
                self.carry_out(target, out);
            }
            for number in 0..self.nodes.len() {
                let node = &mut self.nodes[number];
                if node.up && node.paused_until <= self.now && node.peers.next_wake() <= self.now {
                    let mut out = Vec::new();
                    node.peers.tick(self.now, &mut out);
                    self.carry_out(number, out);
                }
            }
        }
    }

    /// Runs until something holds, at most until a time; when it held.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&Net) -> bool) -> Option<Micros> {
        while self.now < most {
            if holds(self) {
                return Some(self.now);
            }
            let next = (self.now + 50_000).min(most);
            self.run(next);
        }
        holds(self).then_some(self.now)
    }

    /// Whether every node that runs knows every other one that runs as alive, and counts nobody else.
    pub fn whole(&self) -> bool {
        let up: Vec<&Node> = self.nodes.iter().filter(|n| n.up && !n.peers.has_yielded_name()).collect();
        up.iter().all(|n| {
            n.peers.alive_count() == up.len()
                && n.peers.members().filter(|m| m.is_alive()).all(|m| m.standing() == MemberState::Alive)
        })
    }

    pub fn downs(&self) -> usize {
        let down = |n: &&(Micros, MembershipEvent)| matches!(n.1, MembershipEvent::MemberDown(_));
        self.nodes.iter().map(|n| n.notices.iter().filter(down).count()).sum()
    }
}

fn address_of(node: &Node) -> SocketAddr {
    node.peers.address()
}

//! A simulated network in virtual time: delays, loss, duplicates, partitions, nodes that die or pause.

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
    pub membership: Membership,
    pub events: Vec<(Micros, MembershipEvent)>,
    pub up: bool,
    /// The node is paused until this time. Packets to it are delivered afterwards.
    pub paused_until: Micros,
}

/// A packet in transit.
struct Packet {
    target: usize,
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

pub struct Network {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub duplication: f64,
    /// Directed links that drop all packets: the numbers of sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
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

impl Network {
    pub fn new(nodes: usize, seed: u64) -> Network {
        let mut network = Network {
            now: 0,
            nodes: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            cut_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: "test".into(),
        };
        for number in 0..nodes {
            network.add(settings(number), ProcessIncarnation { boot: 1, nonce: 1000 + number as u64 });
        }
        network
    }

    pub fn add(&mut self, settings: Settings, incarnation: ProcessIncarnation) -> usize {
        settings.check().expect("valid settings");
        let seed = self.rng.next_u64();
        let membership = Membership::new(settings, incarnation, seed, self.now);
        self.nodes.push(Node { membership, events: Vec::new(), up: true, paused_until: 0 });
        self.nodes.len() - 1
    }

    /// Replaces a dead node's process with a new one.
    pub fn restart(&mut self, number: usize, incarnation: ProcessIncarnation) {
        let seed = self.rng.next_u64();
        let membership = Membership::new(settings(number), incarnation, seed, self.now);
        self.nodes[number] = Node { membership, events: Vec::new(), up: true, paused_until: 0 };
    }

    /// Cuts all links between the nodes below this number and the others.
    pub fn partition_at(&mut self, boundary: usize) {
        let n = self.nodes.len();
        for a in 0..boundary {
            for b in boundary..n {
                self.cut_links.insert((a, b));
                self.cut_links.insert((b, a));
            }
        }
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && (self.rng.next_u64() as f64 / u64::MAX as f64) < probability
    }

    fn execute(&mut self, number: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Event(event) => self.nodes[number].events.push((self.now, event)),
                Output::Datagram(to, bytes) => {
                    let Some(target) =
                        (0..self.nodes.len()).rev().find(|n| address_of(&self.nodes[*n]) == to)
                    else {
                        continue;
                    };
                    if self.cut_links.contains(&(number, target)) || self.random_bool(self.loss) {
                        continue;
                    }
                    let copies = 1 + usize::from(self.random_bool(self.duplication));
                    let from = address_of(&self.nodes[number]);
                    for _ in 0..copies {
                        let delay = 200 + self.rng.next_u64() % 4_800;
                        self.serial += 1;
                        let at = (self.now + delay, self.serial);
                        self.queue.insert(at, Packet { target, from, to, bytes: bytes.clone() });
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
                next = next.min(node.membership.next_wake().max(node.paused_until));
            }
            self.now = next.max(self.now);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let Packet { target, from, to, bytes } = entry.remove();
                let node = &mut self.nodes[target];
                if !node.up || address_of(node) != to {
                    continue;
                }
                if node.paused_until > self.now {
                    self.serial += 1;
                    let at = (node.paused_until + 1, self.serial);
                    self.queue.insert(at, Packet { target, from, to, bytes });
                    continue;
                }
                let mut outputs = Vec::new();
                node.membership.receive(self.now, from, &bytes, &mut outputs);
                self.execute(target, outputs);
            }
            for number in 0..self.nodes.len() {
                let node = &mut self.nodes[number];
                if node.up && node.paused_until <= self.now && node.membership.next_wake() <= self.now {
                    let mut outputs = Vec::new();
                    node.membership.tick(self.now, &mut outputs);
                    self.execute(number, outputs);
                }
            }
        }
    }

    /// Runs until a condition holds, but not beyond the deadline; returns the time at which it held.
    pub fn run_until(&mut self, deadline: Micros, condition: impl Fn(&Network) -> bool) -> Option<Micros> {
        while self.now < deadline {
            if condition(self) {
                return Some(self.now);
            }
            let next = (self.now + 50_000).min(deadline);
            self.run(next);
        }
        condition(self).then_some(self.now)
    }

    /// Whether every running node knows exactly the running nodes as alive.
    pub fn is_converged(&self) -> bool {
        let up: Vec<&Node> = self.nodes.iter().filter(|n| n.up && !n.membership.has_stopped()).collect();
        up.iter().all(|n| {
            n.membership.alive_count() == up.len()
                && n.membership.members().filter(|m| m.is_alive()).all(|m| m.state() == MemberState::Alive)
        })
    }

    pub fn member_down_count(&self) -> usize {
        let is_down = |e: &&(Micros, MembershipEvent)| matches!(e.1, MembershipEvent::MemberDown(_));
        self.nodes.iter().map(|n| n.events.iter().filter(is_down).count()).sum()
    }
}

fn address_of(node: &Node) -> SocketAddr {
    node.membership.address()
}

//! Exhaustive search over three keepers: every order of messages, each lost, late or doubled, with
//! time-outs at any instant, a crash, and a disk that goes back. States are visited once and counted.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use pintally_consensus::{
    Entry, Message, Micros, Output, Replica, ReplicaName, ReplicaState, Settings, Write,
};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// How much may happen on one path.
#[derive(Clone, Copy, Hash)]
struct Budget {
    lates: u8,
    crashes: u8,
    doubles: u8,
    writes: u8,
    /// The disk of `a` goes back to any earlier state when it crashes.
    back: bool,
}

#[derive(Clone)]
struct World {
    clocks: [Micros; 3],
    keepers: [Replica; 3],
    disks: [Vec<Vec<u8>>; 3],
    mail: Vec<(usize, usize, Message)>,
    agreed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, usize>,
    budget: Budget,
}

fn settings(k: usize) -> Settings {
    Settings { log_entries_before_snapshot: 1000, ..Settings::new(NAMES[k], &NAMES) }
}

impl World {
    fn new(budget: Budget) -> World {
        let keepers = [0, 1, 2].map(|k| Replica::new(settings(k), None, false, k as u64, 0));
        let mut world = World {
            clocks: [0; 3],
            keepers,
            disks: Default::default(),
            mail: Vec::new(),
            agreed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            budget,
        };
        // The first start is played in one order only: all ask, all answer.
        for k in 0..3 {
            world.wake(k);
        }
        while !world.mail.is_empty() {
            world.deliver(0, true);
        }
        assert!(world.keepers.iter().all(|k| !k.is_recovering_votes()));
        world.mail.clear();
        world
    }

    fn carry_out(&mut self, k: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Save(bytes) => self.disks[k].push(bytes),
                Output::Send(to, message) => {
                    let Some(to) = NAMES.iter().position(|n| *to.0 == **n) else { continue };
                    // What is on its way twice tells nothing more.
                    let entry = (k, to, message);
                    if !self.mail.contains(&entry) {
                        self.mail.push(entry);
                    }
                }
                _ => {}
            }
        }
        let keeper = &self.keepers[k];
        if keeper.status(self.clocks[k]).state == ReplicaState::Leader {
            let by = *self.leaders.entry(keeper.term()).or_insert(k);
            assert_eq!(by, k, "two leaders in term {}", keeper.term());
        }
        for index in 1..=keeper.applied() {
            let Some(entry) = keeper.committed_entry(index) else { continue };
            let first = self.agreed.entry(index).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "keepers disagree on entry {index}");
        }
    }

    fn wake(&mut self, k: usize) {
        self.clocks[k] = self.clocks[k].max(self.keepers[k].next_wake());
        let mut out = Vec::new();
        self.keepers[k].tick(self.clocks[k], &mut out);
        self.carry_out(k, out);
    }

    fn deliver(&mut self, at: usize, take: bool) {
        let (from, to, message) = if take { self.mail.remove(at) } else { self.mail[at].clone() };
        let mut out = Vec::new();
        // A little time passes with everything that happens.
        self.clocks[to] += 1;
        self.keepers[to].receive(self.clocks[to], &ReplicaName::from(NAMES[from]), message, &mut out);
        self.carry_out(to, out);
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for k in 0..3 {
            self.keepers[k].digest(self.clocks[k]).hash(&mut hasher);
            self.disks[k].len().hash(&mut hasher);
        }
        let mut mail: Vec<u64> = self
            .mail
            .iter()
            .map(|(from, to, message)| {
                let mut one = DefaultHasher::new();
                // When a leader sent it decides about its lease alone, which this search leaves out.
                (from, to, timeless(message)).hash(&mut one);
                one.finish()
            })
            .collect();
        mail.sort_unstable();
        (mail, self.budget).hash(&mut hasher);
        hasher.finish()
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        let mut with = |f: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            f(&mut world);
            all.push(world);
        };
        for at in 0..self.mail.len() {
            with(&|w| w.deliver(at, true));
            if self.budget.doubles > 0 {
                with(&|w| {
                    w.budget.doubles -= 1;
                    w.deliver(at, false);
                });
            }
            // Lost: the same as never delivered, but it makes room for what comes.
            if self.mail.len() > 3 {
                with(&|w| {
                    w.mail.remove(at);
                });
            }
        }
        for k in 0..3 {
            if self.budget.lates > 0 {
                with(&|w| {
                    // Everybody's loyalty to a leader that says nothing ends some time.
                    w.budget.lates -= 1;
                    (0..3).for_each(|k| w.clocks[k] += 2_000_000);
                    w.wake(k);
                });
            }
            if self.budget.crashes > 0 {
                let images = if self.budget.back && k == 0 { self.disks[k].len() + 1 } else { 1 };
                for image in 0..images {
                    with(&|w| {
                        w.budget.crashes -= 1;
                        let keep = w.disks[k].len() - image;
                        w.disks[k].truncate(keep);
                        let saved = w.disks[k].last().cloned();
                        let clean = saved.is_some();
                        w.keepers[k] = Replica::new(settings(k), saved.as_deref(), clean, 7, w.clocks[k]);
                        w.wake(k);
                    });
                }
            }
            if self.budget.writes > 0 && self.keepers[k].status(self.clocks[k]).state == ReplicaState::Leader
            {
                with(&|w| {
                    w.budget.writes -= 1;
                    let write = Write { key: "x".into(), value: vec![k as u8], expect: None };
                    let mut out = Vec::new();
                    w.keepers[k].propose(w.clocks[k], 1, write, &mut out);
                    w.carry_out(k, out);
                });
            }
        }
        all
    }
}

fn timeless(message: &Message) -> Message {
    let mut message = message.clone();
    match &mut message {
        Message::AppendEntries { sent_at, .. }
        | Message::AppendEntriesResponse { sent_at, .. }
        | Message::InstallSnapshot { sent_at, .. }
        | Message::InstallSnapshotResponse { sent_at, .. } => *sent_at = 0,
        _ => {}
    }
    message
}

/// Visits every state up to a depth; how many, and how deep.
fn search(budget: Budget, depth: usize) -> usize {
    let first = World::new(budget);
    let mut seen = HashSet::from([first.key()]);
    let mut queue = VecDeque::from([(first, 0)]);
    while let Some((world, at)) = queue.pop_front() {
        if at == depth {
            continue;
        }
        for next in world.next() {
            if seen.insert(next.key()) {
                queue.push_back((next, at + 1));
            }
        }
    }
    seen.len()
}

fn depth(usual: usize) -> usize {
    std::env::var("ACCORD_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(usual)
}

#[test]
fn two_that_stand_and_a_crash() {
    let budget = Budget { lates: 2, crashes: 1, doubles: 1, writes: 1, back: false };
    let states = search(budget, depth(7));
    println!("{states} states");
    assert!(states > 5_000);
}

#[test]
fn a_disk_that_goes_back() {
    let budget = Budget { lates: 2, crashes: 1, doubles: 0, writes: 1, back: true };
    let states = search(budget, depth(8));
    println!("{states} states");
    assert!(states > 5_000);
}

//! Exhaustive search over the states of three replicas: every order of messages, each lost, delayed or
//! duplicated, with timeouts at any instant, a crash, and a disk that returns an older image. Each state is
//! visited once and counted.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use pintally_consensus::{
    LogEntry, Message, Micros, Output, Replica, ReplicaName, ReplicaState, Settings, Write,
};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// How many faults and writes may happen on one path.
#[derive(Clone, Copy, Hash)]
struct Budget {
    long_pauses: u8,
    crashes: u8,
    duplicates: u8,
    writes: u8,
    /// When `a` crashes its disk returns any earlier state.
    older_images: bool,
}

#[derive(Clone)]
struct Cluster {
    clocks: [Micros; 3],
    replicas: [Replica; 3],
    disks: [Vec<Vec<u8>>; 3],
    inbox: Vec<(usize, usize, Message)>,
    committed: BTreeMap<u64, LogEntry>,
    leaders: BTreeMap<u64, usize>,
    budget: Budget,
}

fn settings(k: usize) -> Settings {
    Settings { log_entries_before_snapshot: 1000, ..Settings::new(NAMES[k], &NAMES) }
}

impl Cluster {
    fn new(budget: Budget) -> Cluster {
        let replicas = [0, 1, 2].map(|k| Replica::new(settings(k), None, false, k as u64, 0));
        let mut cluster = Cluster {
            clocks: [0; 3],
            replicas,
            disks: Default::default(),
            inbox: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            budget,
        };
        // The first start runs in one order only: all replicas ask, all answer.
        for k in 0..3 {
            cluster.schedule_tick(k);
        }
        while !cluster.inbox.is_empty() {
            cluster.deliver(0, true);
        }
        assert!(cluster.replicas.iter().all(|k| !k.is_recovering_votes()));
        cluster.inbox.clear();
        cluster
    }

    fn execute(&mut self, k: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Save(bytes) => self.disks[k].push(bytes),
                Output::Send(to, message) => {
                    let Some(to) = NAMES.iter().position(|n| *to.0 == **n) else { continue };
                    // A second copy of a message in flight adds no state.
                    let entry = (k, to, message);
                    if !self.inbox.contains(&entry) {
                        self.inbox.push(entry);
                    }
                }
                _ => {}
            }
        }
        let replica = &self.replicas[k];
        if replica.status(self.clocks[k]).state == ReplicaState::Leader {
            let by = *self.leaders.entry(replica.term()).or_insert(k);
            assert_eq!(by, k, "two leaders in term {}", replica.term());
        }
        for index in 1..=replica.last_applied() {
            let Some(entry) = replica.committed_entry(index) else { continue };
            let first = self.committed.entry(index).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "replicas disagree on entry {index}");
        }
    }

    fn schedule_tick(&mut self, k: usize) {
        self.clocks[k] = self.clocks[k].max(self.replicas[k].next_wake());
        let mut out = Vec::new();
        self.replicas[k].tick(self.clocks[k], &mut out);
        self.execute(k, out);
    }

    fn deliver(&mut self, at: usize, take: bool) {
        let (from, to, message) = if take { self.inbox.remove(at) } else { self.inbox[at].clone() };
        let mut out = Vec::new();
        // A little time passes with every event.
        self.clocks[to] += 1;
        self.replicas[to].receive(self.clocks[to], &ReplicaName::from(NAMES[from]), message, &mut out);
        self.execute(to, out);
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for k in 0..3 {
            self.replicas[k].digest(self.clocks[k]).hash(&mut hasher);
            self.disks[k].len().hash(&mut hasher);
        }
        let mut inbox: Vec<u64> = self
            .inbox
            .iter()
            .map(|(from, to, message)| {
                let mut one = DefaultHasher::new();
                // The time of sending only affects the leader's lease, which this search leaves out.
                (from, to, timeless(message)).hash(&mut one);
                one.finish()
            })
            .collect();
        inbox.sort_unstable();
        (inbox, self.budget).hash(&mut hasher);
        hasher.finish()
    }

    fn next(&self) -> Vec<Cluster> {
        let mut all = Vec::new();
        let mut with = |f: &dyn Fn(&mut Cluster)| {
            let mut cluster = self.clone();
            f(&mut cluster);
            all.push(cluster);
        };
        for at in 0..self.inbox.len() {
            with(&|w| w.deliver(at, true));
            if self.budget.duplicates > 0 {
                with(&|w| {
                    w.budget.duplicates -= 1;
                    w.deliver(at, false);
                });
            }
            // Lost: the same as never delivered, but it makes room for what comes.
            if self.inbox.len() > 3 {
                with(&|w| {
                    w.inbox.remove(at);
                });
            }
        }
        for k in 0..3 {
            if self.budget.long_pauses > 0 {
                with(&|w| {
                    // The stickiness to a silent leader ends on all replicas.
                    w.budget.long_pauses -= 1;
                    (0..3).for_each(|k| w.clocks[k] += 2_000_000);
                    w.schedule_tick(k);
                });
            }
            if self.budget.crashes > 0 {
                let images = if self.budget.older_images && k == 0 { self.disks[k].len() + 1 } else { 1 };
                for image in 0..images {
                    with(&|w| {
                        w.budget.crashes -= 1;
                        let keep = w.disks[k].len() - image;
                        w.disks[k].truncate(keep);
                        let saved = w.disks[k].last().cloned();
                        let clean = saved.is_some();
                        w.replicas[k] = Replica::new(settings(k), saved.as_deref(), clean, 7, w.clocks[k]);
                        w.schedule_tick(k);
                    });
                }
            }
            if self.budget.writes > 0 && self.replicas[k].status(self.clocks[k]).state == ReplicaState::Leader
            {
                with(&|w| {
                    w.budget.writes -= 1;
                    let write = Write { key: "x".into(), value: vec![k as u8], expect: None };
                    let mut out = Vec::new();
                    w.replicas[k].propose(w.clocks[k], 1, write, &mut out);
                    w.execute(k, out);
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

/// Visits every state up to a depth and returns how many there are.
fn search(budget: Budget, depth: usize) -> usize {
    let first = Cluster::new(budget);
    let mut seen = HashSet::from([first.key()]);
    let mut queue = VecDeque::from([(first, 0)]);
    while let Some((cluster, at)) = queue.pop_front() {
        if at == depth {
            continue;
        }
        for next in cluster.next() {
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
fn competing_candidates_and_a_crash() {
    let budget = Budget { long_pauses: 2, crashes: 1, duplicates: 1, writes: 1, older_images: false };
    let states = search(budget, depth(7));
    println!("{states} states");
    assert!(states > 5_000);
}

#[test]
fn restart_from_older_disk_image() {
    let budget = Budget { long_pauses: 2, crashes: 1, duplicates: 0, writes: 1, older_images: true };
    let states = search(budget, depth(8));
    println!("{states} states");
    assert!(states > 5_000);
}

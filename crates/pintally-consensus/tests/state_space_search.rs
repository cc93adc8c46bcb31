//! Exhaustive search of the states of three replicas: messages in every order, each of them possibly lost,
//! delayed or duplicated, timeouts at any time, a crash, and a disk that returns an older image. Each state
//! is visited once and counted.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use pintally_consensus::{
    LogEntry, Message, Micros, Output, Replica, ReplicaName, ReplicaState, Settings, Write,
};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// The number of faults and writes that may happen on one path of the search.
#[derive(Clone, Copy, Hash)]
struct EventBudget {
    long_pauses: u8,
    crashes: u8,
    duplicates: u8,
    writes: u8,
    /// Whether the disk of `a` may return any earlier state after a crash.
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
    budget: EventBudget,
}

fn settings(k: usize) -> Settings {
    Settings { log_entries_before_snapshot: 1000, ..Settings::new(NAMES[k], &NAMES) }
}

impl Cluster {
    fn new(budget: EventBudget) -> Cluster {
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
        // The first start is not searched: all replicas send recovery requests, then all answer.
        for k in 0..3 {
            cluster.tick(k);
        }
        while !cluster.inbox.is_empty() {
            cluster.deliver(0, true);
        }
        assert!(cluster.replicas.iter().all(|replica| !replica.is_recovering_votes()));
        cluster.inbox.clear();
        cluster
    }

    fn execute(&mut self, k: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Save(bytes) => self.disks[k].push(bytes),
                Output::Send(to, message) => {
                    let Some(to) = NAMES.iter().position(|name| *to.0 == **name) else { continue };
                    // A second copy of a message that is in flight does not add a state.
                    let in_flight = (k, to, message);
                    if !self.inbox.contains(&in_flight) {
                        self.inbox.push(in_flight);
                    }
                }
                _ => {}
            }
        }
        let replica = &self.replicas[k];
        if replica.status(self.clocks[k]).state == ReplicaState::Leader {
            let first_leader = *self.leaders.entry(replica.term()).or_insert(k);
            assert_eq!(first_leader, k, "two leaders in term {}", replica.term());
        }
        for index in 1..=replica.last_applied() {
            let Some(entry) = replica.committed_entry(index) else { continue };
            let first_committed = self.committed.entry(index).or_insert_with(|| entry.clone());
            assert_eq!(first_committed, entry, "replicas disagree on entry {index}");
        }
    }

    /// Advances the clock of a replica to its next wake-up time and ticks it.
    fn tick(&mut self, k: usize) {
        self.clocks[k] = self.clocks[k].max(self.replicas[k].next_wake());
        let mut out = Vec::new();
        self.replicas[k].tick(self.clocks[k], &mut out);
        self.execute(k, out);
    }

    /// Delivers a message; without `remove` it stays in flight and can be delivered again.
    fn deliver(&mut self, index: usize, remove: bool) {
        let (from, to, message) = if remove { self.inbox.remove(index) } else { self.inbox[index].clone() };
        let mut out = Vec::new();
        // Every delivery advances the clock by one microsecond.
        self.clocks[to] += 1;
        self.replicas[to].receive(self.clocks[to], &ReplicaName::from(NAMES[from]), message, &mut out);
        self.execute(to, out);
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for k in 0..3 {
            self.replicas[k].digest(self.clocks[k]).hash(&mut hasher);
            self.disks[k].len().hash(&mut hasher);
        }
        let mut inbox: Vec<u64> = self
            .inbox
            .iter()
            .map(|(from, to, message)| {
                let mut message_hasher = DefaultHasher::new();
                // The sending time only affects the leader's lease, which this search does not cover.
                (from, to, without_send_time(message)).hash(&mut message_hasher);
                message_hasher.finish()
            })
            .collect();
        inbox.sort_unstable();
        (inbox, self.budget).hash(&mut hasher);
        hasher.finish()
    }

    fn successors(&self) -> Vec<Cluster> {
        let mut successors = Vec::new();
        let mut add_successor = |apply_event: &dyn Fn(&mut Cluster)| {
            let mut cluster = self.clone();
            apply_event(&mut cluster);
            successors.push(cluster);
        };
        for index in 0..self.inbox.len() {
            add_successor(&|cluster| cluster.deliver(index, true));
            if self.budget.duplicates > 0 {
                add_successor(&|cluster| {
                    cluster.budget.duplicates -= 1;
                    cluster.deliver(index, false);
                });
            }
            // A lost message has the same effect as one that is never delivered, but it shortens the inbox
            // for the events that follow.
            if self.inbox.len() > 3 {
                add_successor(&|cluster| {
                    cluster.inbox.remove(index);
                });
            }
        }
        for k in 0..3 {
            if self.budget.long_pauses > 0 {
                add_successor(&|cluster| {
                    // Long enough for the stickiness to a silent leader to end on all replicas.
                    cluster.budget.long_pauses -= 1;
                    (0..3).for_each(|k| cluster.clocks[k] += 2_000_000);
                    cluster.tick(k);
                });
            }
            if self.budget.crashes > 0 {
                let image_count =
                    if self.budget.older_images && k == 0 { self.disks[k].len() + 1 } else { 1 };
                for image in 0..image_count {
                    add_successor(&|cluster| {
                        cluster.budget.crashes -= 1;
                        let kept_states = cluster.disks[k].len() - image;
                        cluster.disks[k].truncate(kept_states);
                        let saved = cluster.disks[k].last().cloned();
                        let disk_undamaged = saved.is_some();
                        cluster.replicas[k] =
                            Replica::new(settings(k), saved.as_deref(), disk_undamaged, 7, cluster.clocks[k]);
                        cluster.tick(k);
                    });
                }
            }
            if self.budget.writes > 0 && self.replicas[k].status(self.clocks[k]).state == ReplicaState::Leader
            {
                add_successor(&|cluster| {
                    cluster.budget.writes -= 1;
                    let write = Write { key: "x".into(), value: vec![k as u8], expect: None };
                    let mut out = Vec::new();
                    cluster.replicas[k].propose(cluster.clocks[k], 1, write, &mut out);
                    cluster.execute(k, out);
                });
            }
        }
        successors
    }
}

fn without_send_time(message: &Message) -> Message {
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

/// Visits every state up to a depth and returns the number of states.
fn search(budget: EventBudget, depth: usize) -> usize {
    let initial = Cluster::new(budget);
    let mut seen = HashSet::from([initial.state_hash()]);
    let mut queue = VecDeque::from([(initial, 0)]);
    while let Some((cluster, cluster_depth)) = queue.pop_front() {
        if cluster_depth == depth {
            continue;
        }
        for successor in cluster.successors() {
            if seen.insert(successor.state_hash()) {
                queue.push_back((successor, cluster_depth + 1));
            }
        }
    }
    seen.len()
}

/// The depth of the search: the environment can set another one than this default.
fn search_depth(default: usize) -> usize {
    std::env::var("ACCORD_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(default)
}

#[test]
fn logs_agree_with_competing_candidates_and_crash() {
    let budget = EventBudget { long_pauses: 2, crashes: 1, duplicates: 1, writes: 1, older_images: false };
    let states = search(budget, search_depth(7));
    println!("{states} states");
    assert!(states > 5_000);
}

#[test]
fn logs_agree_after_restart_from_older_disk_image() {
    let budget = EventBudget { long_pauses: 2, crashes: 1, duplicates: 0, writes: 1, older_images: true };
    let states = search(budget, search_depth(8));
    println!("{states} states");
    assert!(states > 5_000);
}

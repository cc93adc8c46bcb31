//! A replica of the group: its state, and the dispatch of events to the submodules.

mod election;
mod leadership;
mod membership_change;
mod outbox;
mod proposals;
mod recovery;
mod replication;
mod role;
mod snapshot_transfer;
mod status;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::log::{LogEntry, LogPosition};
use crate::message::Message;
use crate::output::Output;
use crate::persistence::PersistentState;
use crate::settings::Settings;
use crate::store::KeyValueStore;
use crate::vote_recovery::{StoredState, VoteRecovery};
use crate::{Micros, ReplicaName};

use outbox::Outbox;
use proposals::PendingProposal;
use replication::{AppendRequest, AppendResponse, FollowerProgress};
use role::{ElectionPhase, Role};
use snapshot_transfer::{IncomingSnapshot, SnapshotChunk, SnapshotResponse};

/// A replica of the group.
///
/// The caller passes in messages and the time, and carries out the returned [`Output`] in order. After a
/// start a replica neither votes nor acknowledges entries until it has asked the others for their state,
/// because its disk may have lost a vote or an acknowledged entry.
#[derive(Clone)]
pub struct Replica {
    settings: Settings,
    rng: ChaCha8Rng,
    persistent: PersistentState,
    store: KeyValueStore,
    commit_index: u64,
    last_applied: u64,
    role: Role,
    /// The recovery of votes after a start, while it is in progress.
    vote_recovery: Option<VoteRecovery>,
    /// Whether the disk showed no sign of loss or corruption at the start.
    disk_intact: bool,
    /// The last position of the longest log that was found in the recovery of votes, until this replica's own
    /// log reaches it. A candidate whose log ends before it gets no vote.
    min_log_position: LogPosition,
    leader: Option<ReplicaName>,
    /// No vote is granted before this time, because a leader was heard shortly before or may have been
    /// heard before the start.
    sticky_until: Micros,
    election_due: Micros,
    /// The replication progress of the other replicas and of the joining one, maintained by the leader.
    progress: BTreeMap<ReplicaName, FollowerProgress>,
    joining: Option<ReplicaName>,
    /// Pending proposals by the index of their log entry.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    incoming_snapshot: Option<IncomingSnapshot>,
    outbox: Outbox,
}

impl Replica {
    /// Creates a replica at the start of a process. `saved_state` holds the bytes of the last
    /// [`Output::Save`] that the disk returned; `disk_undamaged` says that the disk showed no sign of loss
    /// or corruption.
    pub fn new(
        settings: Settings,
        saved_state: Option<&[u8]>,
        disk_undamaged: bool,
        seed: u64,
        now: Micros,
    ) -> Replica {
        let decoded = saved_state.and_then(PersistentState::decode);
        let disk_intact = disk_undamaged && decoded.is_some();
        let (mut persistent, store) = decode_store(decoded.unwrap_or_default());
        if !persistent.initialized {
            persistent.log.snapshot_replicas = settings.replicas.clone();
        }
        let snapshot_index = persistent.log.last_included.index;
        let mut replica = Replica {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store,
            commit_index: snapshot_index,
            last_applied: snapshot_index,
            role: Role::Follower,
            vote_recovery: Some(VoteRecovery::new(now, disk_intact)),
            disk_intact,
            min_log_position: LogPosition::default(),
            leader: None,
            sticky_until: now + settings.leader_stickiness(),
            election_due: now,
            progress: BTreeMap::new(),
            joining: None,
            pending_proposals: BTreeMap::new(),
            incoming_snapshot: None,
            outbox: Outbox::default(),
            persistent,
            settings,
        };
        replica.reset_election_timer(now);
        replica
    }

    /// The store with all entries that this replica has applied. It may be behind the leader's store.
    pub fn store(&self) -> &KeyValueStore {
        &self.store
    }

    /// The index of the last entry that was applied to the store.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// A committed entry, if the log still contains it.
    pub fn committed_entry(&self, index: u64) -> Option<&LogEntry> {
        if index > self.commit_index {
            return None;
        }
        self.persistent.log.get(index)
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<&ReplicaName> {
        self.leader.as_ref()
    }

    /// The latest term that this replica knows.
    pub fn term(&self) -> u64 {
        self.persistent.current_term
    }

    /// The replicas of the group, as far as this replica knows.
    pub fn replicas(&self) -> &[ReplicaName] {
        self.persistent.log.replicas_at(u64::MAX)
    }

    /// The position of the last entry of the log.
    pub fn last_log_position(&self) -> LogPosition {
        self.persistent.log.last()
    }

    /// Whether this replica has started and does not vote yet, because its recovery of votes is in progress.
    pub fn is_recovering_votes(&self) -> bool {
        self.vote_recovery.is_some()
    }

    /// When [`Replica::tick`] has to be called next.
    pub fn next_wake(&self) -> Micros {
        match (&self.vote_recovery, &self.role) {
            (Some(recovery), _) => recovery.next_request_at,
            (None, Role::Leader { next_heartbeat, .. }) => *next_heartbeat,
            (None, Role::Follower | Role::Candidate { .. }) => self.election_due,
        }
    }

    /// Performs the actions that are due at this time.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.vote_recovery.is_some() {
            self.request_recovery(now);
            self.try_finish_recovery(now);
        } else if self.role.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_due {
            self.start_election(now, ElectionPhase::PreVote);
        }
        self.flush(out);
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Micros, from: &ReplicaName, message: Message, out: &mut Vec<Output>) {
        if *from == self.settings.name {
            return;
        }
        match message {
            Message::RecoveryRequest => self.answer_recovery_request(from),
            Message::RecoveryResponse { term, last_log, empty, replicas } => {
                let reported = StoredState { term, last_log, empty, replicas };
                self.on_recovery_response(now, from, reported);
            }
            // Until the recovery of votes ends, the replica does not know which votes it granted and which
            // entries it acknowledged before the restart, so it does neither.
            _ if self.vote_recovery.is_some() => {}
            Message::RequestVote { .. } | Message::RequestVoteResponse { .. } => {
                self.on_election_message(now, from, message);
            }
            Message::AppendEntries { .. } | Message::InstallSnapshot { .. } => {
                self.on_leader_message(now, from, message);
            }
            Message::AppendEntriesResponse { .. } | Message::InstallSnapshotResponse { .. } => {
                self.on_follower_message(now, from, message);
            }
        }
        self.flush(out);
    }

    fn on_election_message(&mut self, now: Micros, from: &ReplicaName, message: Message) {
        match message {
            Message::RequestVote { term, last_log, pre_vote } => {
                self.on_vote_request(now, from, term, last_log, ElectionPhase::new(pre_vote));
            }
            Message::RequestVoteResponse { term, granted, pre_vote } => {
                self.on_vote_response(now, from, term, granted, ElectionPhase::new(pre_vote));
            }
            _ => {}
        }
    }

    fn on_leader_message(&mut self, now: Micros, from: &ReplicaName, message: Message) {
        match message {
            Message::AppendEntries { term, prev_log, entries, leader_commit, sent_at } => {
                let request = AppendRequest { prev_log, entries, leader_commit, sent_at };
                self.on_append_entries(now, from, term, request);
            }
            Message::InstallSnapshot {
                term,
                last_included,
                replicas,
                offset,
                total_bytes,
                data,
                sent_at,
            } => {
                let chunk = SnapshotChunk { last_included, replicas, offset, total_bytes, data, sent_at };
                self.on_snapshot_chunk(now, from, term, chunk);
            }
            _ => {}
        }
    }

    fn on_follower_message(&mut self, now: Micros, from: &ReplicaName, message: Message) {
        match message {
            Message::AppendEntriesResponse { term, success, match_index, sent_at } => {
                let response = AppendResponse { success, match_index, sent_at };
                self.on_append_response(now, from, term, response);
            }
            Message::InstallSnapshotResponse { term, last_included, received_bytes, sent_at } => {
                let response = SnapshotResponse { last_included, received_bytes, sent_at };
                self.on_snapshot_response(now, from, term, response);
            }
            _ => {}
        }
    }

    fn is_voter(&self) -> bool {
        self.replicas().contains(&self.settings.name)
    }

    /// The other replicas of the group.
    fn peers(&self) -> Vec<ReplicaName> {
        self.replicas().iter().filter(|name| **name != self.settings.name).cloned().collect()
    }

    /// Adopts a term if it is later than the current one. This replica has not voted in the new term yet.
    fn adopt_term(&mut self, term: u64) {
        if term > self.persistent.current_term {
            self.persistent.current_term = term;
            self.persistent.voted_for = None;
            self.outbox.request_save();
        }
    }

    fn flush(&mut self, out: &mut Vec<Output>) {
        self.outbox.flush(&self.persistent, out);
    }
}

/// Decodes the store of a persisted state. If the snapshot is corrupt the whole state is discarded.
fn decode_store(persistent: PersistentState) -> (PersistentState, KeyValueStore) {
    match KeyValueStore::decode(&persistent.log.snapshot) {
        Some(store) => (persistent, store),
        None => (PersistentState::default(), KeyValueStore::default()),
    }
}

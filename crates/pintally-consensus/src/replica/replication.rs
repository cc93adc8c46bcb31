//! Log replication: a leader sends entries and counts acknowledgements, a follower appends entries.

use std::collections::BTreeSet;

use crate::log::{LogEntry, LogPosition};
use crate::message::{Message, MAX_PAYLOAD_BYTES};
use crate::vote_recovery::majority;
use crate::{Micros, ReplicaName};

use super::{Replica, Role};

/// The replication progress of another replica, as known to the leader.
#[derive(Clone, Debug)]
pub(super) struct FollowerProgress {
    /// The index of the next entry to send.
    pub(super) next_index: u64,
    /// The index up to which its log is known to match.
    pub(super) match_index: u64,
    /// The sending time of the latest message that it has answered.
    pub(super) acknowledged_at: Option<Micros>,
    /// Bytes of the snapshot that it has received.
    pub(super) snapshot_bytes: u32,
}

/// A leader's request to append entries.
pub(super) struct AppendRequest {
    pub(super) prev_log: LogPosition,
    pub(super) entries: Vec<LogEntry>,
    pub(super) leader_commit: u64,
    pub(super) sent_at: Micros,
}

/// A follower's answer to [`AppendRequest`].
pub(super) struct AppendResponse {
    pub(super) success: bool,
    pub(super) match_index: u64,
    pub(super) sent_at: Micros,
}

/// The follower's side of log replication.
impl Replica {
    /// Accepts the sender of a message as the leader, unless its term is outdated. Returns whether it was
    /// accepted.
    pub(super) fn accept_leader(
        &mut self,
        now: Micros,
        from: &ReplicaName,
        term: u64,
        sent_at: Micros,
    ) -> bool {
        if term < self.persistent.current_term {
            self.answer_append(from, false, 0, sent_at);
            return false;
        }
        if term > self.persistent.current_term || self.role != Role::Follower {
            self.become_follower(now, term);
        }
        self.leader = Some(from.clone());
        self.sticky_until = now + self.settings.leader_stickiness();
        self.reset_election_timer(now);
        true
    }

    pub(super) fn on_append_entries(
        &mut self,
        now: Micros,
        leader: &ReplicaName,
        term: u64,
        request: AppendRequest,
    ) {
        if self.accept_leader(now, leader, term, request.sent_at) {
            self.append_entries(now, leader, request);
        }
    }

    fn append_entries(&mut self, now: Micros, leader: &ReplicaName, request: AppendRequest) {
        let AppendRequest { prev_log, entries, leader_commit, sent_at } = request;
        let last_index = self.last_log_position().index;
        let log = &mut self.persistent.log;
        let is_in_snapshot = prev_log.index <= log.last_included.index;
        if !is_in_snapshot && log.term_of(prev_log.index) != Some(prev_log.term) {
            let match_bound = last_index.min(prev_log.index.saturating_sub(1));
            return self.answer_append(leader, false, match_bound, sent_at);
        }
        let match_index = prev_log.index + entries.len() as u64;
        let log_changed = log.merge(prev_log.index, entries);
        if log_changed || !self.persistent.initialized {
            self.persistent.initialized = true;
            self.outbox.request_save();
        }
        self.answer_append(leader, true, match_index, sent_at);
        self.clear_min_log_position_if_reached();
        let committed = leader_commit.min(match_index);
        if committed > self.commit_index {
            self.commit_index = committed;
            self.apply_committed(now);
        }
    }

    pub(super) fn answer_append(
        &mut self,
        leader: &ReplicaName,
        success: bool,
        match_index: u64,
        sent_at: Micros,
    ) {
        let term = self.persistent.current_term;
        let response = Message::AppendEntriesResponse { term, success, match_index, sent_at };
        self.outbox.send(leader.clone(), response);
    }
}

/// The leader's side of log replication.
impl Replica {
    /// Tracks the progress of the current replicas and of the joining one.
    pub(super) fn track_progress(&mut self) {
        let mut tracked: BTreeSet<ReplicaName> = self.peers().into_iter().collect();
        tracked.extend(self.joining.clone());
        tracked.remove(&self.settings.name);
        self.progress.retain(|name, _| tracked.contains(name));
        let next_index = self.last_log_position().index;
        for name in tracked {
            self.progress.entry(name).or_insert(FollowerProgress {
                next_index,
                match_index: 0,
                acknowledged_at: None,
                snapshot_bytes: 0,
            });
        }
    }

    pub(super) fn replicate_to_all(&mut self, now: Micros) {
        let names: Vec<ReplicaName> = self.progress.keys().cloned().collect();
        for name in names {
            self.replicate_to(now, &name);
        }
    }

    /// Sends a replica the next entries or the next snapshot chunk that it lacks, or else a heartbeat.
    pub(super) fn replicate_to(&mut self, now: Micros, name: &ReplicaName) {
        let Some(progress) = self.progress.get(name) else { return };
        let log = &self.persistent.log;
        let prev_index = progress.next_index - 1;
        let message = match log.term_of(prev_index) {
            Some(prev_term) => Message::AppendEntries {
                term: self.persistent.current_term,
                prev_log: LogPosition { term: prev_term, index: prev_index },
                entries: log.entries_from(progress.next_index, MAX_PAYLOAD_BYTES),
                leader_commit: self.commit_index,
                sent_at: now,
            },
            None => self.snapshot_chunk(now, progress.snapshot_bytes),
        };
        self.outbox.send(name.clone(), message);
    }

    /// Records that a follower answered. Returns whether the answer belongs to the current term of this
    /// leader.
    pub(super) fn accept_response(
        &mut self,
        now: Micros,
        from: &ReplicaName,
        term: u64,
        sent_at: Micros,
    ) -> bool {
        if term > self.persistent.current_term {
            self.become_follower(now, term);
        }
        let Role::Leader { elected_at, .. } = self.role else { return false };
        if term < self.persistent.current_term || sent_at > now {
            return false;
        }
        let Some(progress) = self.progress.get_mut(from) else { return false };
        // The answer to a message from an earlier leadership does not extend the current lease.
        if sent_at >= elected_at {
            progress.acknowledged_at = progress.acknowledged_at.max(Some(sent_at));
        }
        true
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Micros,
        from: &ReplicaName,
        term: u64,
        response: AppendResponse,
    ) {
        let AppendResponse { success, match_index, sent_at } = response;
        if !self.accept_response(now, from, term, sent_at) {
            return;
        }
        let last_index = self.last_log_position().index;
        let Some(progress) = self.progress.get_mut(from) else { return };
        if success {
            progress.match_index = progress.match_index.max(match_index.min(last_index));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_bytes = 0;
        } else {
            // Guards against a follower whose disk is restored from an older image while this leader
            // remains: the follower no longer has entries that it had acknowledged.
            progress.match_index = progress.match_index.min(match_index);
            progress.next_index = progress.next_index.min(match_index + 1).max(1);
        }
        let is_behind = progress.match_index < last_index;
        self.advance_commit_index(now);
        if is_behind && self.role.is_leader() {
            self.replicate_to(now, from);
        }
    }

    /// Commits the entries that a majority stores, if the last of them was created in this term.
    pub(super) fn advance_commit_index(&mut self, now: Micros) {
        if !self.role.is_leader() {
            return;
        }
        let majority_index = self.majority_match_index();
        let is_own_term = self.persistent.log.term_of(majority_index) == Some(self.persistent.current_term);
        if majority_index <= self.commit_index || !is_own_term {
            return;
        }
        self.commit_index = majority_index;
        self.apply_committed(now);
        if self.role.is_leader() {
            self.replicate_to_all(now);
        }
    }

    /// The greatest index that a majority of the replicas stores.
    fn majority_match_index(&self) -> u64 {
        let mut match_indices: Vec<u64> =
            self.replicas().iter().map(|name| self.match_index_of(name)).collect();
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        match_indices.get(majority(match_indices.len()) - 1).copied().unwrap_or(0)
    }

    fn match_index_of(&self, name: &ReplicaName) -> u64 {
        if *name == self.settings.name {
            return self.last_log_position().index;
        }
        self.progress.get(name).map_or(0, |progress| progress.match_index)
    }
}

//! Elections: timers, pre-votes and votes.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::log::LogPosition;
use crate::message::Message;
use crate::vote_recovery::majority;
use crate::{Micros, ReplicaName};

use super::{ElectionPhase, Replica, Role};

impl Replica {
    /// Draws the next election timeout at random between one and two times the configured one, so that two
    /// replicas rarely become candidates at the same time.
    pub(super) fn reset_election_timer(&mut self, now: Micros) {
        let timeout = self.settings.election_timeout;
        self.election_due = now + timeout + self.rng.random_range(0..=timeout);
    }

    /// Becomes a candidate, unless this replica must not lead.
    pub(super) fn start_election(&mut self, now: Micros, phase: ElectionPhase) {
        self.reset_election_timer(now);
        // Guards against a minimum log position that no replica reaches any more: it may stem from an entry
        // that was never committed and that its only holder has lost since. As there is no leader, the
        // recovery is restarted; committed entries are still stored by enough replicas.
        if self.last_log_position() < self.min_log_position {
            return self.restart_recovery(now);
        }
        // A replica outside the group, or one without any state, does not become a candidate.
        if !self.is_voter() || self.stored_state().empty {
            return;
        }
        self.leader = None;
        if phase == ElectionPhase::Vote {
            self.persistent.current_term += 1;
            self.persistent.voted_for = Some(self.settings.name.clone());
            self.outbox.request_save();
        }
        self.role = Role::Candidate { phase, votes: BTreeSet::from([self.settings.name.clone()]) };
        self.request_votes(phase);
        self.count_votes(now);
    }

    fn request_votes(&mut self, phase: ElectionPhase) {
        let term = phase.candidate_term(self.persistent.current_term);
        let (last_log, pre_vote) = (self.last_log_position(), phase.is_pre_vote());
        for peer in self.peers() {
            self.outbox.send(peer, Message::RequestVote { term, last_log, pre_vote });
        }
    }

    /// Proceeds to the next phase once a majority has granted its votes.
    fn count_votes(&mut self, now: Micros) {
        let Role::Candidate { phase, votes } = &self.role else { return };
        let replicas = self.replicas();
        let granted = votes.iter().filter(|voter| replicas.contains(voter)).count();
        if granted < majority(replicas.len()) {
            return;
        }
        match phase {
            ElectionPhase::PreVote => self.start_election(now, ElectionPhase::Vote),
            ElectionPhase::Vote => self.become_leader(now),
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Micros,
        candidate: &ReplicaName,
        term: u64,
        last_log: LogPosition,
        phase: ElectionPhase,
    ) {
        // Leader stickiness. Guards against a replica that was disconnected and deposes a healthy leader
        // when it reconnects. The leader's lease depends on it.
        if now < self.sticky_until || self.leadership(now).is_some() {
            return;
        }
        let is_up_to_date = last_log >= self.last_log_position().max(self.min_log_position);
        match phase {
            ElectionPhase::PreVote => self.answer_pre_vote(candidate, term, is_up_to_date),
            ElectionPhase::Vote => self.answer_vote(now, candidate, term, is_up_to_date),
        }
    }

    fn answer_pre_vote(&mut self, candidate: &ReplicaName, term: u64, is_up_to_date: bool) {
        let current_term = self.persistent.current_term;
        let granted = term > current_term && is_up_to_date;
        let term = if granted { term } else { current_term };
        let response = Message::RequestVoteResponse { term, granted, pre_vote: true };
        self.outbox.send(candidate.clone(), response);
    }

    fn answer_vote(&mut self, now: Micros, candidate: &ReplicaName, term: u64, is_up_to_date: bool) {
        if term > self.persistent.current_term {
            self.become_follower(now, term);
        }
        let voted_for = self.persistent.voted_for.as_ref();
        let is_vote_available = voted_for.is_none_or(|name| name == candidate);
        let granted = term == self.persistent.current_term && is_up_to_date && is_vote_available;
        if granted {
            self.persistent.voted_for = Some(candidate.clone());
            self.outbox.request_save();
            self.reset_election_timer(now);
        }
        let term = self.persistent.current_term;
        let response = Message::RequestVoteResponse { term, granted, pre_vote: false };
        self.outbox.send(candidate.clone(), response);
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Micros,
        voter: &ReplicaName,
        term: u64,
        granted: bool,
        response_phase: ElectionPhase,
    ) {
        if !granted {
            if term > self.persistent.current_term {
                self.become_follower(now, term);
            }
            return;
        }
        let Role::Candidate { phase, votes } = &mut self.role else { return };
        if *phase == response_phase && term == phase.candidate_term(self.persistent.current_term) {
            votes.insert(voter.clone());
            self.count_votes(now);
        }
    }
}

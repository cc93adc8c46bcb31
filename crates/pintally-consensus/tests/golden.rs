//! The encoding of messages and log entries does not change: nodes of different builds read each other's
//! messages.

use std::fmt::Debug;

use pintally_consensus::{
    LogCommand, LogEntry, LogPosition, Message, ProposalError, ReplicaName, VersionedValue, Write,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

const GOLDEN: &str = include_str!("golden/messages.txt");

/// The bytes that the golden file holds under a name.
fn golden(name: &str) -> Vec<u8> {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let hex = line.unwrap_or_else(|| panic!("the golden file lacks `{name}`"));
    let byte = |offset: usize| u8::from_str_radix(&hex[offset..offset + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[track_caller]
fn assert_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(bytes, golden(name), "bytes of {name}");
}

/// Asserts that a value is encoded as, and decoded from, the golden bytes of that name.
#[track_caller]
fn assert_stable<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: T) {
    assert_bytes(name, &postcard::to_stdvec(&value).unwrap());
    assert_eq!(postcard::from_bytes::<T>(&golden(name)).unwrap(), value, "value of {name}");
}

const LAST: LogPosition = LogPosition { term: 300, index: 70_000 };

fn replicas() -> Vec<ReplicaName> {
    ["n1", "n2", "n3"].map(ReplicaName::from).to_vec()
}

fn write(expect: Option<u64>) -> Write {
    Write { key: "limit/tenant-a".into(), value: vec![0, 1, 254, 255], expect }
}

fn entries() -> Vec<LogEntry> {
    let commands = [
        LogCommand::Noop,
        LogCommand::ChangeReplicas(replicas()),
        LogCommand::Write(write(None)),
        LogCommand::Write(write(Some(129))),
        LogCommand::Write(Write { key: "limit/tenant-a".into(), value: Vec::new(), expect: Some(0) }),
    ];
    commands.into_iter().zip(299..).map(|(command, term)| LogEntry { term, command }).collect()
}

#[test]
fn log_entry_bytes_are_stable() {
    let names =
        ["entry_noop", "entry_change_replicas", "entry_write", "entry_conditional_write", "entry_delete"];
    names.into_iter().zip(entries()).for_each(|(name, entry)| assert_stable(name, entry));
    assert_stable("versioned_value", VersionedValue { version: 130, bytes: vec![7, 0, 255] });
}

#[test]
fn vote_request_bytes_are_stable() {
    assert_stable("vote_request", Message::RequestVote { term: 301, last_log: LAST, pre_vote: false });
    assert_stable("pre_vote_request", Message::RequestVote { term: 301, last_log: LAST, pre_vote: true });
}

#[test]
fn vote_response_bytes_are_stable() {
    assert_stable("vote_granted", Message::RequestVoteResponse { term: 301, granted: true, pre_vote: false });
    assert_stable("vote_denied", Message::RequestVoteResponse { term: 302, granted: false, pre_vote: false });
    assert_stable(
        "pre_vote_granted",
        Message::RequestVoteResponse { term: 301, granted: true, pre_vote: true },
    );
}

#[test]
fn append_entries_request_bytes_are_stable() {
    let request = |entries| Message::AppendEntries {
        term: 301,
        prev_log: LAST,
        entries,
        leader_commit: 69_999,
        sent_at: 1 << 40,
    };
    assert_stable("append_entries", request(entries()));
    assert_stable("heartbeat", request(Vec::new()));
}

#[test]
fn append_entries_response_bytes_are_stable() {
    let response = |success| Message::AppendEntriesResponse {
        term: 301,
        success,
        match_index: 70_005,
        sent_at: 1 << 40,
    };
    assert_stable("append_entries_success", response(true));
    assert_stable("append_entries_conflict", response(false));
}

#[test]
fn install_snapshot_bytes_are_stable() {
    let chunk = Message::InstallSnapshot {
        term: 301,
        last_included: LAST,
        replicas: replicas(),
        offset: 640,
        total_bytes: 1_000,
        data: vec![0, 128, 255],
        sent_at: 1 << 40,
    };
    assert_stable("install_snapshot", chunk);
    assert_stable(
        "install_snapshot_response",
        Message::InstallSnapshotResponse {
            term: 301,
            last_included: LAST,
            received_bytes: 643,
            sent_at: 1 << 40,
        },
    );
}

#[test]
fn recovery_bytes_are_stable() {
    let response = |empty, replicas| Message::RecoveryResponse { term: 301, last_log: LAST, empty, replicas };
    assert_stable("recovery_request", Message::RecoveryRequest);
    assert_stable("recovery_response", response(false, replicas()));
    assert_stable("recovery_response_empty", response(true, Vec::new()));
}

#[test]
fn proposal_error_bytes_are_stable() {
    assert_stable("proposal_error_not_leader", ProposalError::NotLeader(Some("n2".into())));
    assert_stable("proposal_error_no_leader", ProposalError::NotLeader(None));
    assert_stable("proposal_error_leadership_lost", ProposalError::LeadershipLost);
    assert_stable("proposal_error_busy", ProposalError::Busy);
    assert_stable("proposal_error_out_of_bounds", ProposalError::OutOfBounds);
}

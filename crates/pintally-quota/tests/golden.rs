//! The encoding of messages between holders and the granter does not change: nodes of different builds read
//! each other's messages.

use std::fmt::Debug;

use pintally_quota::{Enforcement, LeaseGrant, LeaseRequest, LimitId, LimitKind};
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

const LIMIT: LimitId = LimitId(0xfedc_ba98);
/// The incarnation of the sender precedes the requests and grants of a message.
const INCARNATION: u64 = 1 << 40;

fn request() -> LeaseRequest {
    LeaseRequest { limit: LIMIT, number: 300, held: 0.1, wanted: 1.5e9 }
}

fn grant() -> LeaseGrant {
    LeaseGrant { limit: LIMIT, number: 300, granted: 12.25, limit_amount: 0.1 }
}

#[test]
fn request_bytes_are_stable() {
    assert_stable("request", request());
    let zero = LeaseRequest { limit: LimitId(0), number: 1, held: 0.0, wanted: 0.0 };
    assert_stable("request_message", (INCARNATION, vec![request(), zero]));
    assert_stable("request_message_empty", (INCARNATION, Vec::<LeaseRequest>::new()));
}

#[test]
fn grant_bytes_are_stable() {
    assert_stable("grant", grant());
    let zero = LeaseGrant { limit: LimitId(1), number: 2, granted: 0.0, limit_amount: f64::MAX };
    assert_stable("grant_message", (INCARNATION, vec![grant(), zero]));
    assert_stable("grant_message_empty", (INCARNATION, Vec::<LeaseGrant>::new()));
}

#[test]
fn limit_bytes_are_stable() {
    assert_stable("limit_id", LIMIT);
    assert_stable("kind_rate", LimitKind::Rate);
    assert_stable("kind_concurrency", LimitKind::Concurrency);
    assert_stable("enforcement_hard", Enforcement::Hard);
    assert_stable("enforcement_soft", Enforcement::Soft);
}

//! Topic numbers, record keys and hashes: nodes of different builds go by the same ones.

use super::*;
use crate::regions::{PLAN, ZONE_WORD};

#[test]
fn topic_numbers_are_stable() {
    assert_eq!([LIST_TEXT, ORDER], [1, 128]);
    assert_eq!([CARRIED, LIST, LENDER, EVIDENCE, CLEARED, PLAN].map(|t| t.0), [1, 2, 3, 4, 5, 6]);
    assert_eq!([HOW, SO, KEEPERS, ASKS, GRANTS, ZONE_WORD, HELD].map(|t| t.0), [32, 33, 34, 35, 36, 37, 38]);
}

#[test]
fn record_keys_are_stable() {
    let keys = [KEY_LIST, KEY_CARRIED, KEY_BOOT, KEY_USUAL, KEY_PEERS, KEY_LEFT];
    assert_eq!(keys, ["list", "carried", "boot", "usual", "peers", "left"]);
}

#[test]
fn list_hash_is_stable() {
    assert_eq!(recovery_sum(""), 0x811c_9dc5);
    assert_eq!(recovery_sum("(engines (version 1))"), 890_304_815);
}

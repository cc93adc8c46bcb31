//! The keys of the replica's record and of the replicated store must be stable, because disks and replicas of
//! other builds hold them.

use super::commands::{LIMIT_PREFIX, ZONE_PREFIX};
use super::state_file::STATE_KEY;
use crate::operator_command::tests::assert_bytes;

#[test]
fn store_and_record_keys_are_stable() {
    assert_bytes("record_key", STATE_KEY.as_bytes());
    assert_bytes("register_key_limit", LIMIT_PREFIX.as_bytes());
    assert_bytes("register_key_zone", ZONE_PREFIX.as_bytes());
}

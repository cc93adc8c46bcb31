//! Tests of the module `runner`.

use super::*;
use std::collections::BTreeSet;

/// Guards against two nodes of a large scenario with the same address: engines identify nodes by address.
#[test]
fn all_nodes_have_distinct_loopback_addresses() {
    let all: BTreeSet<IpAddr> = (0..crate::MAX_NODES)
        .flat_map(|n| [node_address(SOURCE_BLOCK, n), node_address(PEER_BLOCK, n)])
        .collect();
    assert_eq!(all.len(), 2 * crate::MAX_NODES);
    assert!(all.iter().all(|at| at.is_loopback() && *at != IpAddr::V4(Ipv4Addr::LOCALHOST)));
}

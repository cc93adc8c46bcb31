//! Tests of the module `play`.

use super::*;
use std::collections::BTreeSet;

/// Guards against two nodes of a large day taken for one, as engines know nodes by their addresses.
#[test]
fn a_thousand_nodes_have_addresses_of_their_own() {
    let all: BTreeSet<IpAddr> =
        (0..crate::MAX_NODES).flat_map(|n| [own_address(SOURCES, n), own_address(LINKS, n)]).collect();
    assert_eq!(all.len(), 2 * crate::MAX_NODES);
    assert!(all.iter().all(|at| at.is_loopback() && *at != IpAddr::V4(Ipv4Addr::LOCALHOST)));
}

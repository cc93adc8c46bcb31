//! Tests of the module `relay`.

use super::*;
use std::collections::HashSet;

/// Guards against a node that cannot listen because a relay has taken the port reserved for it.
#[test]
fn relay_endpoint_never_takes_a_reserved_port() {
    let reserved: Vec<Port> = (0..3000).map(|_| Port::hold().unwrap()).collect();
    let ports: HashSet<u16> = reserved.iter().map(|p| p.address().unwrap().port()).collect();
    for _ in 0..200 {
        let endpoint = RelayEndpoint::open().unwrap();
        let address = endpoint.udp.local_addr().unwrap();
        assert_eq!(address, endpoint.tcp.local_addr().unwrap());
        assert!(!ports.contains(&address.port()), "port {} is reserved by another holder", address.port());
    }
}

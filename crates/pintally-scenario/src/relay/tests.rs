//! Tests of the module `relay`.

use super::*;
use std::collections::HashSet;

/// Guards against a node that cannot listen because a relay has taken the port held for it.
#[test]
fn a_door_never_takes_a_port_that_somebody_holds() {
    let held: Vec<Port> = (0..3000).map(|_| Port::hold().unwrap()).collect();
    let ports: HashSet<u16> = held.iter().map(|p| p.address().unwrap().port()).collect();
    for _ in 0..200 {
        let door = Door::open().unwrap();
        let at = door.udp.local_addr().unwrap();
        assert_eq!(at, door.tcp.local_addr().unwrap());
        assert!(!ports.contains(&at.port()), "port {} is held by somebody else", at.port());
    }
}

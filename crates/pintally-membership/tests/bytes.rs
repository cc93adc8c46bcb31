//! Whatever bytes come: no panic, no growth beyond bounds, nothing believed that was not written whole.

use std::net::SocketAddr;

use pintally_membership::{
    Membership, Output, ProcessIncarnation, Settings, Topic, MAX_FACTS, MAX_PAYLOAD_BYTES,
};
use proptest::prelude::*;

fn node(number: u16, seed: u16) -> Membership {
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], 7000 + n));
    let settings = Settings::new("test", &format!("n{number}"), "a", at(number), vec![at(seed)]);
    Membership::new(settings, ProcessIncarnation { boot: 1, mark: number.into() }, number.into(), 0)
}

fn datagrams(out: Vec<Output>) -> Vec<Vec<u8>> {
    out.into_iter()
        .filter_map(|o| if let Output::Datagram(_, bytes) = o { Some(bytes) } else { None })
        .collect()
}

proptest! {
    #[test]
    fn any_bytes_are_taken_or_counted(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let mut one = node(1, 2);
        one.receive(5, "127.0.0.1:7002".parse().unwrap(), &bytes, &mut Vec::new());
        prop_assert_eq!(one.alive_count(), 1);
    }

    /// A packet in which one bit is flipped is never believed.
    #[test]
    fn a_flipped_bit_is_seen(place in any::<prop::sample::Index>(), bit in 0u8..8) {
        let (mut one, mut two) = (node(1, 2), node(2, 1));
        let mut out = Vec::new();
        one.publish(Topic(3), vec![9; 100]).unwrap();
        one.tick(0, &mut out);
        let mut bytes = datagrams(out).remove(0);
        let place = place.index(bytes.len());
        bytes[place] ^= 1 << bit;
        two.receive(5, "127.0.0.1:7001".parse().unwrap(), &bytes, &mut Vec::new());
        prop_assert_eq!(two.alive_count(), 1);
        prop_assert_eq!(two.facts(Topic(3)).count(), 0);
    }
}

#[test]
fn facts_are_bounded() {
    let mut one = node(1, 2);
    assert!(one.publish(Topic(0), vec![0; MAX_PAYLOAD_BYTES + 1]).is_err());
    for topic in 0..MAX_FACTS as u8 {
        one.publish(Topic(topic), vec![topic]).unwrap();
    }
    assert!(one.publish(Topic(99), vec![1]).is_err());
    let mut out = Vec::new();
    one.tick(0, &mut out);
    assert!(datagrams(out).iter().all(|d| d.len() <= pintally_membership::MAX_DATAGRAM));
}

//! Arbitrary and damaged packets cause no panic and no change of the state, and facts are bounded.

use std::net::SocketAddr;

use pintally_membership::{
    Membership, Output, ProcessIncarnation, Settings, Topic, MAX_PAYLOAD_BYTES, MAX_TOPICS_PER_NODE,
};
use proptest::prelude::*;

fn node(number: u16, seed: u16) -> Membership {
    let address = |n: u16| SocketAddr::from(([127, 0, 0, 1], 7000 + n));
    let settings = Settings::new("test", &format!("n{number}"), "a", address(number), vec![address(seed)]);
    Membership::new(settings, ProcessIncarnation { boot: 1, nonce: number.into() }, number.into(), 0)
}

fn datagrams(outputs: Vec<Output>) -> Vec<Vec<u8>> {
    outputs
        .into_iter()
        .filter_map(|output| if let Output::Datagram(_, bytes) = output { Some(bytes) } else { None })
        .collect()
}

proptest! {
    #[test]
    fn arbitrary_bytes_add_no_member(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let mut node = node(1, 2);
        node.receive(5, "127.0.0.1:7002".parse().unwrap(), &bytes, &mut Vec::new());
        prop_assert_eq!(node.alive_count(), 1);
    }

    #[test]
    fn packet_with_a_flipped_bit_is_rejected(position in any::<prop::sample::Index>(), bit in 0u8..8) {
        let (mut sender, mut receiver) = (node(1, 2), node(2, 1));
        let mut outputs = Vec::new();
        sender.publish(Topic(3), vec![9; 100]).unwrap();
        sender.tick(0, &mut outputs);
        let mut bytes = datagrams(outputs).remove(0);
        let position = position.index(bytes.len());
        bytes[position] ^= 1 << bit;
        receiver.receive(5, "127.0.0.1:7001".parse().unwrap(), &bytes, &mut Vec::new());
        prop_assert_eq!(receiver.alive_count(), 1);
        prop_assert_eq!(receiver.facts(Topic(3)).count(), 0);
    }
}

#[test]
fn fact_size_and_topic_count_are_limited() {
    let mut node = node(1, 2);
    assert!(node.publish(Topic(0), vec![0; MAX_PAYLOAD_BYTES + 1]).is_err());
    for topic in 0..MAX_TOPICS_PER_NODE as u8 {
        node.publish(Topic(topic), vec![topic]).unwrap();
    }
    assert!(node.publish(Topic(99), vec![1]).is_err());
    let mut outputs = Vec::new();
    node.tick(0, &mut outputs);
    assert!(datagrams(outputs)
        .iter()
        .all(|datagram| datagram.len() <= pintally_membership::MAX_DATAGRAM_BYTES));
}

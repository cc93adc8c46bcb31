//! Packets as bytes: nodes of different builds read each other's.

use super::*;
use crate::members::MemberState;

const GOLDEN: &str = include_str!("../../tests/golden/packets.txt");

/// The bytes that the golden file holds under a name.
fn golden(name: &str) -> Vec<u8> {
    let line = GOLDEN.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    let hex = line.unwrap_or_else(|| panic!("the golden file lacks `{name}`"));
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[track_caller]
fn assert_bytes(name: &str, bytes: &[u8]) {
    assert_eq!(bytes, golden(name), "bytes of {name}");
}

const LIFE: ProcessIncarnation = ProcessIncarnation { boot: 3, mark: 1 << 40 };

fn update(name: &str, standing: MemberState, address: &str) -> Word {
    let (address, zone) = (address.parse().unwrap(), "zone-a".into());
    Word { name: name.into(), life: LIFE, incarnation: 300, standing, accuser: u64::MAX, address, zone }
}

fn updates() -> Vec<Word> {
    vec![
        update("n1", MemberState::Alive, "10.1.2.3:7000"),
        update("n2", MemberState::Suspect, "[2001:db8::1]:65535"),
        update("n3", MemberState::Dead, "127.0.0.1:1"),
        update("n4", MemberState::Left, "127.0.0.1:2"),
    ]
}

fn fact(payload: &[u8]) -> GossipFact {
    GossipFact { origin: "n1".into(), topic: Topic(34), life: LIFE, version: 129, payload: payload.to_vec() }
}

fn packet(body: Body) -> Packet {
    let fleet = fleet_number("fleet-a");
    Packet { fleet, from: "n1".into(), life: LIFE, body, words: Vec::new(), facts: Vec::new() }
}

#[track_caller]
fn assert_packet_stable(name: &str, packet: &Packet) {
    assert_bytes(name, &packet.encode());
    assert_eq!(Packet::decode(&golden(name), packet.fleet).as_ref(), Ok(packet), "packet of {name}");
}

#[test]
fn ping_bytes_are_stable() {
    assert_packet_stable("ping", &packet(Body::Ping { number: 300, to: Some("n2".into()) }));
    assert_packet_stable("ping_anyone", &packet(Body::Ping { number: 0, to: None }));
}

#[test]
fn ack_bytes_are_stable() {
    assert_packet_stable("ack", &packet(Body::Ack { number: 300 }));
    assert_packet_stable("nack", &packet(Body::Nothing { number: u32::MAX }));
}

#[test]
fn ping_request_bytes_are_stable() {
    let request = |address: &str| {
        packet(Body::Ask { number: 300, whom: "n3".into(), address: address.parse().unwrap() })
    };
    assert_packet_stable("ping_request", &request("10.1.2.3:7000"));
    assert_packet_stable("ping_request_ipv6", &request("[2001:db8::1]:7000"));
}

#[test]
fn digest_bytes_are_stable() {
    let known = vec![(u64::MAX, u32::MAX), (1, 2)];
    assert_packet_stable("digest", &packet(Body::Digest { part: 1, of: 300, known, answer: true }));
    let empty = Body::Digest { part: 0, of: 1, known: Vec::new(), answer: false };
    assert_packet_stable("digest_empty", &packet(empty));
}

#[test]
fn direct_message_bytes_are_stable() {
    let message = Body::Word { topic: Topic(255), payload: vec![0, 127, 128, 255] };
    assert_packet_stable("direct_message", &packet(message));
}

#[test]
fn gossip_bytes_are_stable() {
    let facts = vec![fact(&[0, 127, 128, 255]), fact(&[])];
    assert_packet_stable("gossip", &Packet { words: updates(), facts, ..packet(Body::News) });
    assert_packet_stable("gossip_empty", &packet(Body::News));
}

#[test]
fn leave_bytes_are_stable() {
    assert_packet_stable("leave", &packet(Body::Leaving));
}

/// Nodes compare hashes only: those of two builds must agree, or everything is sent again and again.
#[test]
fn digest_hashes_are_stable() {
    let bytes =
        |(place, content): (u64, u32)| [&place.to_be_bytes()[..], &content.to_be_bytes()[..]].concat();
    for (name, update) in ["hash_alive", "hash_suspect", "hash_dead", "hash_left"].into_iter().zip(updates())
    {
        assert_bytes(name, &bytes(digest_of_word(&update)));
    }
    assert_bytes("hash_fact", &bytes(digest_of_fact(&fact(&[1]))));
    assert_bytes("hash_fleet", &fleet_number("fleet-a").to_be_bytes());
}

#[test]
fn packet_of_another_fleet_version_or_checksum_is_refused() {
    let ping = golden("ping");
    let fleet = fleet_number("fleet-a");
    let with = |at: usize, byte: u8| {
        let mut bytes = ping.clone();
        bytes[at] = byte;
        Packet::decode(&bytes, fleet)
    };
    assert_eq!(Packet::decode(&ping, fleet_number("fleet-b")), Err(Unread::Foreign));
    assert_eq!(with(0, VERSION + 1), Err(Unread::Foreign));
    assert_eq!(with(1, !ping[1]), Err(Unread::Garbled));
    assert_eq!(Packet::decode(&ping[..4], fleet), Err(Unread::Garbled));
}

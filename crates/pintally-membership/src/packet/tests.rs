//! The wire format is stable, so that nodes of different builds decode each other's packets.

use super::*;
use crate::member_table::MemberState;

const GOLDEN: &str = include_str!("../../tests/golden/packets.txt");

/// The bytes of an entry in the golden file.
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

const INCARNATION: ProcessIncarnation = ProcessIncarnation { boot: 3, nonce: 1 << 40 };

fn update(name: &str, state: MemberState, address: &str) -> MemberUpdate {
    let (address, zone) = (address.parse().unwrap(), "zone-a".into());
    MemberUpdate {
        name: name.into(),
        process_incarnation: INCARNATION,
        incarnation: 300,
        state,
        accuser: u64::MAX,
        address,
        zone,
    }
}

fn updates() -> Vec<MemberUpdate> {
    vec![
        update("n1", MemberState::Alive, "10.1.2.3:7000"),
        update("n2", MemberState::Suspect, "[2001:db8::1]:65535"),
        update("n3", MemberState::Dead, "127.0.0.1:1"),
        update("n4", MemberState::Left, "127.0.0.1:2"),
    ]
}

fn fact(payload: &[u8]) -> GossipFact {
    GossipFact {
        origin: "n1".into(),
        topic: Topic(34),
        process_incarnation: INCARNATION,
        version: 129,
        payload: payload.to_vec(),
    }
}

fn packet(message: Message) -> Packet {
    let fleet = hash_fleet("fleet-a");
    Packet {
        fleet,
        from: "n1".into(),
        process_incarnation: INCARNATION,
        message,
        updates: Vec::new(),
        facts: Vec::new(),
    }
}

#[track_caller]
fn assert_packet_stable(name: &str, packet: &Packet) {
    assert_bytes(name, &packet.encode());
    assert_eq!(Packet::decode(&golden(name), packet.fleet).as_ref(), Ok(packet), "packet of {name}");
}

#[test]
fn ping_bytes_are_stable() {
    assert_packet_stable("ping", &packet(Message::Ping { sequence: 300, target: Some("n2".into()) }));
    assert_packet_stable("ping_anyone", &packet(Message::Ping { sequence: 0, target: None }));
}

#[test]
fn ack_bytes_are_stable() {
    assert_packet_stable("ack", &packet(Message::Ack { sequence: 300 }));
    assert_packet_stable("nack", &packet(Message::Nack { sequence: u32::MAX }));
}

#[test]
fn ping_request_bytes_are_stable() {
    let request = |address: &str| {
        packet(Message::PingRequest { sequence: 300, target: "n3".into(), address: address.parse().unwrap() })
    };
    assert_packet_stable("ping_request", &request("10.1.2.3:7000"));
    assert_packet_stable("ping_request_ipv6", &request("[2001:db8::1]:7000"));
}

#[test]
fn digest_bytes_are_stable() {
    let entries = vec![DigestEntry { key: u64::MAX, version: u32::MAX }, DigestEntry { key: 1, version: 2 }];
    assert_packet_stable(
        "digest",
        &packet(Message::Digest { part: 1, parts: 300, entries, reply_expected: true }),
    );
    let empty = Message::Digest { part: 0, parts: 1, entries: Vec::new(), reply_expected: false };
    assert_packet_stable("digest_empty", &packet(empty));
}

#[test]
fn direct_message_bytes_are_stable() {
    let message = Message::Direct { topic: Topic(255), payload: vec![0, 127, 128, 255] };
    assert_packet_stable("direct_message", &packet(message));
}

#[test]
fn gossip_bytes_are_stable() {
    let facts = vec![fact(&[0, 127, 128, 255]), fact(&[])];
    assert_packet_stable("gossip", &Packet { updates: updates(), facts, ..packet(Message::Gossip) });
    assert_packet_stable("gossip_empty", &packet(Message::Gossip));
}

#[test]
fn leave_bytes_are_stable() {
    assert_packet_stable("leave", &packet(Message::Leave));
}

/// Nodes compare only hashes. If the hashes of two builds differed, nodes would send each other all updates
/// and facts in every exchange.
#[test]
fn digest_hashes_are_stable() {
    let bytes =
        |entry: DigestEntry| [&entry.key.to_be_bytes()[..], &entry.version.to_be_bytes()[..]].concat();
    for (name, update) in ["hash_alive", "hash_suspect", "hash_dead", "hash_left"].into_iter().zip(updates())
    {
        assert_bytes(name, &bytes(DigestEntry::of_update(&update)));
    }
    assert_bytes("hash_fact", &bytes(DigestEntry::of_fact(&fact(&[1]))));
    assert_bytes("hash_fleet", &hash_fleet("fleet-a").to_be_bytes());
}

#[test]
fn packet_of_another_fleet_version_or_checksum_is_rejected() {
    let ping = golden("ping");
    let fleet = hash_fleet("fleet-a");
    let decode_with = |position: usize, byte: u8| {
        let mut bytes = ping.clone();
        bytes[position] = byte;
        Packet::decode(&bytes, fleet)
    };
    assert_eq!(Packet::decode(&ping, hash_fleet("fleet-b")), Err(PacketError::Foreign));
    assert_eq!(decode_with(0, WIRE_VERSION + 1), Err(PacketError::Foreign));
    assert_eq!(decode_with(1, !ping[1]), Err(PacketError::Malformed));
    assert_eq!(Packet::decode(&ping[..4], fleet), Err(PacketError::Malformed));
}

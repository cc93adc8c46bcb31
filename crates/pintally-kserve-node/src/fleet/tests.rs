//! Topic numbers, record keys and hashes must be the same in all builds, because nodes of different builds
//! exchange them.

use super::endpoint_list::list_checksum;
use super::topics::{FactTopic, MessageTopic, RecordKey, StreamRequest};

#[test]
fn topic_numbers_are_stable() {
    let requests = [StreamRequest::EndpointList, StreamRequest::OperatorCommand];
    assert_eq!(requests.map(StreamRequest::number), [1, 128]);
    let facts = [
        FactTopic::ServedRate,
        FactTopic::EndpointList,
        FactTopic::Leadership,
        FactTopic::OutlierReport,
        FactTopic::EngineCleared,
        FactTopic::FailoverPlan,
    ];
    assert_eq!(facts.map(|f| f.topic().0), [1, 2, 3, 4, 5, 6]);
    let messages = [
        MessageTopic::RecoveryQuery,
        MessageTopic::RecoveryAnswer,
        MessageTopic::Consensus,
        MessageTopic::LeaseRequests,
        MessageTopic::LeaseGrants,
        MessageTopic::ZoneReport,
        MessageTopic::Reservations,
    ];
    assert_eq!(messages.map(|m| m.topic().0), [32, 33, 34, 35, 36, 37, 38]);
    for number in 0..=u8::MAX {
        let topic = pintally_membership::Topic(number);
        assert_eq!(FactTopic::from_topic(topic).is_some(), (1..=6).contains(&number), "{number}");
        assert_eq!(MessageTopic::from_topic(topic).is_some(), (32..=38).contains(&number), "{number}");
        assert_eq!(StreamRequest::from_number(number).is_some(), [1, 128].contains(&number), "{number}");
    }
}

#[test]
fn record_keys_are_stable() {
    let keys = [
        RecordKey::EndpointList,
        RecordKey::FleetRate,
        RecordKey::Boot,
        RecordKey::ServiceRates,
        RecordKey::PeerAddresses,
        RecordKey::ReservationsAtExit,
    ];
    assert_eq!(keys.map(RecordKey::as_str), ["list", "carried", "boot", "usual", "peers", "left"]);
}

#[test]
fn list_checksum_is_stable() {
    assert_eq!(list_checksum(""), 0x811c_9dc5);
    assert_eq!(list_checksum("(engines (version 1))"), 890_304_815);
}

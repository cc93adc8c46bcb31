//! Topic numbers and record keys, which are the same in all builds of the node.
//!
//! They must not be changed or reused: peers of other builds send the numbers, and stores on disk hold the
//! keys.

use pintally_membership::Topic;

/// Facts that a node gossips. Peers see the latest fact of each topic and origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum FactTopic {
    /// The rate of requests that the node serves.
    ServedRate = 1,
    /// Version and checksum of the node's endpoint list.
    EndpointList = 2,
    /// The term in which the node's replica is the leader; empty if it is not.
    Leadership = 3,
    /// The node's outlier report on engines.
    OutlierReport = 4,
    /// An engine whose ejection an operator has cleared at the node.
    EngineCleared = 5,
    /// The failover plan, from the leader.
    FailoverPlan = 6,
}

impl FactTopic {
    const ALL: [FactTopic; 6] = [
        FactTopic::ServedRate,
        FactTopic::EndpointList,
        FactTopic::Leadership,
        FactTopic::OutlierReport,
        FactTopic::EngineCleared,
        FactTopic::FailoverPlan,
    ];

    /// The number that is sent to peers.
    pub(crate) fn topic(self) -> Topic {
        Topic(self as u8)
    }

    /// The topic of a number; `None` for one that this build does not know.
    pub(crate) fn from_topic(topic: Topic) -> Option<FactTopic> {
        FactTopic::ALL.into_iter().find(|known| known.topic() == topic)
    }
}

/// Messages from one node to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum MessageTopic {
    /// A recovering node asks for a peer's recovery answer.
    RecoveryQuery = 32,
    /// The peer's answer.
    RecoveryAnswer = 33,
    /// A message of the consensus between replicas.
    Consensus = 34,
    /// Lease requests, to the lease granter.
    LeaseRequests = 35,
    /// Granted leases, to their holder.
    LeaseGrants = 36,
    /// A node's zone report, to the failover leader.
    ZoneReport = 37,
    /// The publisher's reservations, to its backup nodes.
    Reservations = 38,
}

impl MessageTopic {
    const ALL: [MessageTopic; 7] = [
        MessageTopic::RecoveryQuery,
        MessageTopic::RecoveryAnswer,
        MessageTopic::Consensus,
        MessageTopic::LeaseRequests,
        MessageTopic::LeaseGrants,
        MessageTopic::ZoneReport,
        MessageTopic::Reservations,
    ];

    /// The number that is sent to peers.
    pub(crate) fn topic(self) -> Topic {
        Topic(self as u8)
    }

    /// The topic of a number; `None` for one that this build does not know.
    pub(crate) fn from_topic(topic: Topic) -> Option<MessageTopic> {
        MessageTopic::ALL.into_iter().find(|known| known.topic() == topic)
    }
}

/// Requests that a node answers over a TCP stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum StreamRequest {
    /// The text of the node's endpoint list.
    EndpointList = 1,
    /// An operator's command, as JSON.
    OperatorCommand = 128,
}

impl StreamRequest {
    /// The number that is sent to peers.
    pub(crate) fn number(self) -> u8 {
        self as u8
    }

    /// The request of a number; `None` for one that this build does not know.
    pub(crate) fn from_number(number: u8) -> Option<StreamRequest> {
        let known = [StreamRequest::EndpointList, StreamRequest::OperatorCommand];
        known.into_iter().find(|request| request.number() == number)
    }
}

/// Records that a node stores for its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    /// The text of the endpoint list.
    EndpointList,
    /// The rate of requests that the whole fleet serves.
    FleetRate,
    /// The number of the node's latest start.
    Boot,
    /// Answers per second of one warm engine of each role.
    ServiceRates,
    /// Addresses of the live peers.
    PeerAddresses,
    /// Reservations that engines would hold if the process ended now.
    ReservationsAtExit,
}

impl RecordKey {
    /// The key in the store.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RecordKey::EndpointList => "list",
            RecordKey::FleetRate => "carried",
            RecordKey::Boot => "boot",
            RecordKey::ServiceRates => "usual",
            RecordKey::PeerAddresses => "peers",
            RecordKey::ReservationsAtExit => "left",
        }
    }
}

//! The updates that are piggybacked on other packets, with their transmission counts (SWIM's
//! infection-style dissemination).

use std::collections::BTreeMap;

use crate::fact::Topic;
use crate::identity::PeerName;

/// An update is transmitted this many times the binary logarithm of the fleet's size.
const RETRANSMIT_MULTIPLIER: f64 = 3.0;

/// The subject of an update. The content is looked up when the update is sent, so that it is always the
/// latest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum GossipItem {
    /// The state of a member.
    Member(PeerName),
    /// A fact of a member.
    Fact(PeerName, Topic),
}

/// Updates that are still disseminated, and how often each was transmitted.
#[derive(Default)]
pub(crate) struct GossipQueue {
    transmissions: BTreeMap<GossipItem, u32>,
}

impl GossipQueue {
    /// Queues an update, or restarts its count if it is queued already.
    pub(crate) fn push(&mut self, item: GossipItem) {
        self.transmissions.insert(item, 0);
    }

    pub(crate) fn remove(&mut self, item: &GossipItem) {
        self.transmissions.remove(item);
    }

    /// All queued updates, those with the fewest transmissions first.
    pub(crate) fn by_fewest_transmissions(&self) -> Vec<GossipItem> {
        let mut counted: Vec<(u32, &GossipItem)> =
            self.transmissions.iter().map(|(item, count)| (*count, item)).collect();
        counted.sort_unstable();
        counted.into_iter().map(|(_, item)| item.clone()).collect()
    }

    /// Counts a transmission; an update that has reached the retransmit limit is removed.
    pub(crate) fn record_transmission(&mut self, item: &GossipItem, peers: usize) {
        let Some(count) = self.transmissions.get_mut(item) else { return };
        *count += 1;
        if *count >= retransmit_limit(peers) {
            self.transmissions.remove(item);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.transmissions.len()
    }
}

/// How often one update is transmitted in a fleet with this many peers.
fn retransmit_limit(peers: usize) -> u32 {
    (RETRANSMIT_MULTIPLIER * ((peers + 2) as f64).log2()).ceil() as u32
}

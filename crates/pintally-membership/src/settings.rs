//! What a node is told of its fleet, and which figures go together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::identity::{sound, PeerName};
use crate::Micros;

/// What a node is told of its fleet. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name: packets of another fleet are dropped.
    pub fleet: String,
    /// This node's name.
    pub name: PeerName,
    /// Its zone.
    pub zone: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where some of the others are, at the start and whenever nobody else is known.
    pub seeds: Vec<SocketAddr>,
    /// Peers that are reached from here otherwise than they say.
    pub reach: BTreeMap<PeerName, SocketAddr>,
    /// Between two probes.
    pub probe_interval: Micros,
    /// A direct answer comes within this time; the rest of the period is for indirect ones.
    pub probe_timeout: Micros,
    /// Through so many others a silent peer is probed.
    pub indirect_probes: usize,
    /// A suspicion that nobody shares ends in death after this many periods, times the logarithm of the
    /// fleet's size; one that many share, after a sixth of it.
    pub suspicion_multiplier: f64,
    /// Between two comparisons of digests with some peer.
    pub anti_entropy_interval: Micros,
    /// What is said of a dead peer is kept for so long.
    pub dead_member_retention: Micros,
}

impl Settings {
    /// Usual figures for a node.
    pub fn new(fleet: &str, name: &str, zone: &str, address: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
        Settings {
            fleet: fleet.to_string(),
            name: name.into(),
            zone: zone.to_string(),
            address,
            seeds,
            reach: BTreeMap::new(),
            probe_interval: 500_000,
            probe_timeout: 150_000,
            indirect_probes: 3,
            suspicion_multiplier: 4.0,
            anti_entropy_interval: 2_000_000,
            dead_member_retention: 600_000_000,
        }
    }

    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(!self.fleet.is_empty() && self.fleet.len() <= 64, "the fleet's name needs 1 to 64 bytes")?;
        ensure(sound(&self.name), "a peer's name needs 1 to 64 bytes")?;
        ensure(self.zone.len() <= 64, "a zone's name has at most 64 bytes")?;
        ensure(self.probe_interval >= 1_000, "the period is under a millisecond")?;
        ensure(
            self.probe_timeout != 0 && self.probe_timeout <= self.probe_interval / 2,
            "an answer must come within half a period, so that indirect probes have the other half",
        )?;
        ensure(self.indirect_probes <= 16, "more than 16 indirect probes are a flood")?;
        ensure((1.0..=100.0).contains(&self.suspicion_multiplier), "suspicion lasts 1 to 100 periods")?;
        ensure(
            self.anti_entropy_interval >= self.probe_interval,
            "repair more often than probes is a flood",
        )?;
        ensure(
            self.dead_member_retention >= 20 * self.anti_entropy_interval,
            "what is forgotten before it is repaired comes back",
        )
    }

    /// The longest time from a peer's death to its being known to this node, with `n` nodes and no
    /// message lost: every peer is probed once in a round of `n - 1` periods, a round begins anew in
    /// another order (so two rounds at worst), then the suspicion runs out. Word of others comes sooner.
    pub fn max_failure_detection_time(&self, n: usize) -> Micros {
        let rounds = 2 * n.saturating_sub(1).max(1) as u64 * self.probe_interval;
        rounds + self.suspicion_most(n)
    }

    /// How long a suspicion lasts that nobody else shares.
    pub(crate) fn suspicion_most(&self, n: usize) -> Micros {
        let scale = ((n.max(2)) as f64).log10().max(1.0);
        (self.suspicion_multiplier * scale * self.probe_interval as f64) as Micros
    }

    /// And one that as many share as are asked.
    pub(crate) fn suspicion_least(&self, n: usize) -> Micros {
        (self.suspicion_most(n) / 6).max(self.probe_interval)
    }
}

//! The settings of a node's membership, and their validation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::identity::{is_valid_name, PeerName, MAX_NAME_BYTES};
use crate::Micros;

/// More relays per probe would flood the fleet.
const MAX_INDIRECT_PROBES: usize = 16;
/// Dead members are remembered for at least so many anti-entropy intervals: a member that is forgotten
/// before all nodes have repaired its state would come back.
const MIN_RETENTION_INTERVALS: Micros = 20;
/// The shortest probe interval.
const MIN_PROBE_INTERVAL: Micros = 1_000;
/// A fully confirmed suspicion times out in this fraction of the longest timeout.
const CONFIRMED_SUSPICION_DIVISOR: Micros = 6;

/// Settings of a node's membership. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name: packets of another fleet are dropped.
    pub fleet: String,
    /// This node's name.
    pub name: PeerName,
    /// Its zone.
    pub zone: String,
    /// The address that it advertises to its peers.
    pub address: SocketAddr,
    /// Addresses of some peers, to join the fleet at the start and whenever no other peer is known.
    pub seeds: Vec<SocketAddr>,
    /// Peers that this node reaches at another address than they advertise.
    pub address_overrides: BTreeMap<PeerName, SocketAddr>,
    /// Time between two probes (SWIM's protocol period).
    pub probe_interval: Micros,
    /// Time for a direct acknowledgement; the rest of the interval is for indirect ones.
    pub probe_timeout: Micros,
    /// Relays that are asked to probe a silent peer.
    pub indirect_probes: usize,
    /// A suspicion that nobody confirms times out after this many probe intervals, times the logarithm of
    /// the fleet's size; one that many nodes confirm, after a sixth of that.
    pub suspicion_multiplier: f64,
    /// Time between two comparisons of digests with a random peer.
    pub anti_entropy_interval: Micros,
    /// A dead member is remembered for this long.
    pub dead_member_retention: Micros,
}

impl Settings {
    /// The default settings.
    pub fn new(fleet: &str, name: &str, zone: &str, address: SocketAddr, seeds: Vec<SocketAddr>) -> Settings {
        Settings {
            fleet: fleet.to_string(),
            name: name.into(),
            zone: zone.to_string(),
            address,
            seeds,
            address_overrides: BTreeMap::new(),
            probe_interval: 500_000,
            probe_timeout: 150_000,
            indirect_probes: 3,
            suspicion_multiplier: 4.0,
            anti_entropy_interval: 2_000_000,
            dead_member_retention: 600_000_000,
        }
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// [`InvalidConfiguration`] with the first rule that is broken.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(
            !self.fleet.is_empty() && self.fleet.len() <= MAX_NAME_BYTES,
            "the fleet's name needs 1 to 64 bytes",
        )?;
        ensure(is_valid_name(&self.name), "a peer's name needs 1 to 64 bytes")?;
        ensure(self.zone.len() <= MAX_NAME_BYTES, "a zone's name has at most 64 bytes")?;
        ensure(self.probe_interval >= MIN_PROBE_INTERVAL, "the period is under a millisecond")?;
        ensure(
            self.probe_timeout != 0 && self.probe_timeout <= self.probe_interval / 2,
            "an answer must come within half a period, so that indirect probes have the other half",
        )?;
        ensure(self.indirect_probes <= MAX_INDIRECT_PROBES, "more than 16 indirect probes are a flood")?;
        ensure((1.0..=100.0).contains(&self.suspicion_multiplier), "suspicion lasts 1 to 100 periods")?;
        ensure(
            self.anti_entropy_interval >= self.probe_interval,
            "repair more often than probes is a flood",
        )?;
        ensure(
            self.dead_member_retention >= MIN_RETENTION_INTERVALS * self.anti_entropy_interval,
            "what is forgotten before it is repaired comes back",
        )
    }

    /// The longest time from a peer's death until this node detects it, with `n` nodes and no message
    /// lost: every peer is probed once in a round of `n - 1` probe intervals, a round starts again in
    /// another order (so two rounds at worst), then the suspicion times out. Gossip mostly comes sooner.
    pub fn max_failure_detection_time(&self, n: usize) -> Micros {
        let rounds = 2 * n.saturating_sub(1).max(1) as u64 * self.probe_interval;
        rounds + self.max_suspicion_timeout(n)
    }

    /// Timeout of a suspicion that no other node confirms.
    pub(crate) fn max_suspicion_timeout(&self, n: usize) -> Micros {
        let scale = ((n.max(2)) as f64).log10().max(1.0);
        (self.suspicion_multiplier * scale * self.probe_interval as f64) as Micros
    }

    /// Timeout of a suspicion that as many nodes confirm as a probe asks relays.
    pub(crate) fn min_suspicion_timeout(&self, n: usize) -> Micros {
        (self.max_suspicion_timeout(n) / CONFIRMED_SUSPICION_DIVISOR).max(self.probe_interval)
    }
}

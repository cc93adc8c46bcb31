//! The settings of a node's membership, and their validation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use pintally_validation::{ensure, InvalidConfiguration};

use crate::identity::{is_valid_name, PeerName, MAX_NAME_BYTES};
use crate::Micros;

/// Greatest number of relays per probe; more would flood the fleet.
const MAX_INDIRECT_PROBES: usize = 16;
/// Dead members are remembered for at least this many anti-entropy intervals. A member that is forgotten
/// before all nodes have repaired its state would be added again by a node that still considers it alive.
const MIN_RETENTION_INTERVALS: Micros = 20;
/// The shortest probe interval.
const MIN_PROBE_INTERVAL: Micros = 1_000;
/// The timeout of a fully confirmed suspicion is the longest timeout divided by this.
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
    /// Addresses of some peers, to join the fleet at the start and to rejoin it after a partition.
    pub seeds: Vec<SocketAddr>,
    /// Peers that this node reaches at another address than the one that they advertise.
    pub address_overrides: BTreeMap<PeerName, SocketAddr>,
    /// Time between two probes (SWIM's protocol period).
    pub probe_interval: Micros,
    /// Time for a direct acknowledgement. Indirect acknowledgements have the rest of the probe interval.
    pub probe_timeout: Micros,
    /// How many relays are asked to probe a peer that does not acknowledge.
    pub indirect_probes: usize,
    /// A suspicion that no other node confirms times out after this many probe intervals, times the decimal
    /// logarithm of the fleet's size. A suspicion that many nodes confirm times out after a sixth of that.
    pub suspicion_multiplier: f64,
    /// Time between two anti-entropy exchanges with a random peer.
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
    /// [`InvalidConfiguration`] states the first rule that is violated.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(
            !self.fleet.is_empty() && self.fleet.len() <= MAX_NAME_BYTES,
            "`fleet` must have 1 to 64 bytes",
        )?;
        ensure(is_valid_name(&self.name), "a node's name must have 1 to 64 bytes")?;
        ensure(self.zone.len() <= MAX_NAME_BYTES, "a zone's name must have at most 64 bytes")?;
        ensure(self.probe_interval >= MIN_PROBE_INTERVAL, "`period-ms` must be at least 1")?;
        ensure(
            self.probe_timeout != 0 && self.probe_timeout <= self.probe_interval / 2,
            "`answer-ms` must be above 0 and at most half of `period-ms`: indirect probes need the rest",
        )?;
        ensure(
            self.indirect_probes <= MAX_INDIRECT_PROBES,
            "`indirect` must be at most 16: more relays per probe would flood the fleet",
        )?;
        ensure((1.0..=100.0).contains(&self.suspicion_multiplier), "`suspicion` must be between 1 and 100")?;
        ensure(
            self.anti_entropy_interval >= self.probe_interval,
            "`repair-ms` must be at least `period-ms`: more frequent repairs would flood the fleet",
        )?;
        ensure(
            self.dead_member_retention >= MIN_RETENTION_INTERVALS * self.anti_entropy_interval,
            "`forget-ms` must be at least 20 times `repair-ms`: forgotten members would come back",
        )
    }

    /// The longest time from a peer's death until this node detects it, in a fleet of `node_count` nodes
    /// without lost messages. Every peer is probed once in a round of `node_count - 1` probe intervals, and
    /// each round has another order, so that two rounds pass at worst; then the suspicion times out. Most
    /// nodes learn of the death sooner, by gossip.
    pub fn max_failure_detection_time(&self, node_count: usize) -> Micros {
        let rounds = 2 * node_count.saturating_sub(1).max(1) as u64 * self.probe_interval;
        rounds + self.max_suspicion_timeout(node_count)
    }

    /// Timeout of a suspicion that no other node confirms.
    pub(crate) fn max_suspicion_timeout(&self, node_count: usize) -> Micros {
        let scale = ((node_count.max(2)) as f64).log10().max(1.0);
        (self.suspicion_multiplier * scale * self.probe_interval as f64) as Micros
    }

    /// Timeout of a suspicion that as many nodes confirm as a probe has relays.
    pub(crate) fn min_suspicion_timeout(&self, node_count: usize) -> Micros {
        (self.max_suspicion_timeout(node_count) / CONFIRMED_SUSPICION_DIVISOR).max(self.probe_interval)
    }
}

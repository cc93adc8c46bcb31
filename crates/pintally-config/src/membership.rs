//! Membership in a fleet: `(peers ...)`. Without this form a node has no peers.

use std::fmt;
use std::net::SocketAddr;

use pintally::interface::Micros;

use crate::form::{millis, quoted, Form};
use crate::ConfigError;

/// The maximum length of the name of a fleet.
const MAX_FLEET_NAME_BYTES: usize = 64;
/// Dead members are remembered for at least this number of anti-entropy exchanges.
const MIN_RETENTION_EXCHANGES: Micros = 20;

/// The settings of the membership protocol between the nodes of a fleet. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The name of the fleet.
    pub fleet: String,
    /// The address at which peers reach this node over UDP and TCP.
    pub listen: SocketAddr,
    /// Addresses of some peers, used to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Peers that this node reaches at another address than the one they advertise.
    pub address_overrides: Vec<(String, SocketAddr)>,
    /// The time between two probes.
    pub probe_interval: Micros,
    /// The time to wait for the answer to a direct probe.
    pub probe_timeout: Micros,
    /// The number of members that are asked for an indirect probe if a direct one is not answered.
    pub indirect_probes: usize,
    /// A suspicion lasts this number of probe intervals times the logarithm of the size of the fleet.
    pub suspicion_multiplier: f64,
    /// The time between two anti-entropy exchanges with a peer.
    pub anti_entropy_interval: Micros,
    /// How long dead members are remembered.
    pub dead_member_retention: Micros,
}

impl fmt::Display for MembershipSettings {
    /// Writes the form from which these settings can be read again.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "(peers (fleet {}) (listen \"{}\")", quoted(&self.fleet), self.listen)?;
        self.seeds.iter().try_for_each(|seed| write!(f, " (seed \"{seed}\")"))?;
        self.address_overrides
            .iter()
            .try_for_each(|(name, address)| write!(f, " (reach {} \"{address}\")", quoted(name)))?;
        write!(f, " (period-ms {}) (answer-ms {})", millis(self.probe_interval), millis(self.probe_timeout))?;
        write!(f, " (indirect {}) (suspicion {})", self.indirect_probes, self.suspicion_multiplier)?;
        write!(
            f,
            " (repair-ms {}) (forget-ms {}))",
            millis(self.anti_entropy_interval),
            millis(self.dead_member_retention)
        )
    }
}

/// Reads the form, if there is one.
pub(crate) fn read(root: &Form) -> Result<Option<MembershipSettings>, ConfigError> {
    root.optional_form("peers")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<MembershipSettings, ConfigError> {
    let mut seeds = Vec::new();
    for seed in form.forms_named("seed")? {
        seeds.push(address(&seed, "peers.seed", &seed.text()?)?);
        seed.finish()?;
    }
    let mut address_overrides = Vec::new();
    for peer in form.forms_named("reach")? {
        address_overrides.push((peer.text()?, address(&peer, "peers.reach", &peer.text()?)?));
        peer.finish()?;
    }
    let settings = MembershipSettings {
        fleet: form.text_or("fleet", "")?,
        listen: address(form, "peers.listen", &form.text_or("listen", "")?)?,
        seeds,
        address_overrides,
        probe_interval: form.millis_or("period-ms", 500.0, 1.0, 60_000.0)?,
        probe_timeout: form.millis_or("answer-ms", 150.0, 1.0, 60_000.0)?,
        indirect_probes: form.count_or("indirect", 3, 0, 16)? as usize,
        suspicion_multiplier: form.number_or("suspicion", 4.0, 1.0, 100.0)?,
        anti_entropy_interval: form.millis_or("repair-ms", 2_000.0, 1.0, 600_000.0)?,
        dead_member_retention: form.millis_or("forget-ms", 600_000.0, 1.0, 86_400_000.0)?,
    };
    form.finish()?;
    check_form(form, &settings)?;
    Ok(settings)
}

/// Checks that the settings are consistent with each other.
fn check_form(form: &Form, settings: &MembershipSettings) -> Result<(), ConfigError> {
    if settings.fleet.is_empty() || settings.fleet.len() > MAX_FLEET_NAME_BYTES {
        return Err(form.error("`peers.fleet`: must have 1 to 64 bytes: the name distinguishes fleets"));
    }
    if settings.probe_timeout > settings.probe_interval / 2 {
        return Err(form.error(
            "`peers.answer-ms`: must be at most half of `period-ms`: indirect probes need the other half",
        ));
    }
    if settings.anti_entropy_interval < settings.probe_interval {
        return Err(form.error("`peers.repair-ms`: must be at least `period-ms`"));
    }
    if settings.dead_member_retention < MIN_RETENTION_EXCHANGES * settings.anti_entropy_interval {
        return Err(form.error(
            "`peers.forget-ms`: must be at least 20 times `repair-ms`: a dead member that is forgotten too \
             early would be added again",
        ));
    }
    Ok(())
}

fn address(form: &Form, field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| form.error(format!("`{field}`: must be an address and port, not `{text}`")))
}

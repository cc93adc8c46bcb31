//! The node's peers: `(peers ...)`. Without it a node knows no other.

use std::fmt;
use std::net::SocketAddr;

use pintally::interface::Micros;

use crate::form::{millis, quoted, Form};
use crate::ConfigError;

/// The longest name of a fleet.
const MAX_FLEET_NAME_BYTES: usize = 64;
/// Dead members are remembered for at least so many comparisons with peers.
const MIN_REPAIRS_BEFORE_FORGETTING: Micros = 20;

/// The membership protocol between the nodes of a fleet. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The fleet's name.
    pub fleet: String,
    /// Where peers reach this node, over UDP and TCP.
    pub listen: SocketAddr,
    /// Where some of them are.
    pub seeds: Vec<SocketAddr>,
    /// Peers that are reached from here at another address than their own.
    pub address_overrides: Vec<(String, SocketAddr)>,
    /// Between two probes of a member.
    pub probe_interval: Micros,
    /// How long a direct probe waits for its answer.
    pub probe_timeout: Micros,
    /// Members asked for an indirect probe where a direct one is not answered.
    pub indirect_probes: usize,
    /// Periods that a suspicion lasts, times the logarithm of the fleet's size.
    pub suspicion_multiplier: f64,
    /// Between two anti-entropy exchanges with a peer.
    pub anti_entropy_interval: Micros,
    /// How long dead members are remembered.
    pub dead_member_retention: Micros,
}

impl fmt::Display for MembershipSettings {
    /// The form that reads back as these settings.
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

/// Reads the form, if it is there.
pub(crate) fn read(root: &Form) -> Result<Option<MembershipSettings>, ConfigError> {
    root.optional_form("peers")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<MembershipSettings, ConfigError> {
    let mut seeds = Vec::new();
    for seed in form.forms_named("seed")? {
        seeds.push(address(&seed, &seed.text()?)?);
        seed.finish()?;
    }
    let mut address_overrides = Vec::new();
    for peer in form.forms_named("reach")? {
        address_overrides.push((peer.text()?, address(&peer, &peer.text()?)?));
        peer.finish()?;
    }
    let settings = MembershipSettings {
        fleet: form.text_or("fleet", "")?,
        listen: address(form, &form.text_or("listen", "")?)?,
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

/// The settings against each other.
fn check_form(form: &Form, settings: &MembershipSettings) -> Result<(), ConfigError> {
    if settings.fleet.is_empty() || settings.fleet.len() > MAX_FLEET_NAME_BYTES {
        return Err(form.error("`fleet` needs a name of 1 to 64 bytes: it keeps fleets apart"));
    }
    if settings.probe_timeout > settings.probe_interval / 2 {
        return Err(
            form.error("`answer-ms` is over half of `period-ms`: indirect probes need the other half")
        );
    }
    if settings.anti_entropy_interval < settings.probe_interval {
        return Err(form.error("`repair-ms` is under `period-ms`"));
    }
    if settings.dead_member_retention < MIN_REPAIRS_BEFORE_FORGETTING * settings.anti_entropy_interval {
        return Err(
            form.error("`forget-ms` is under 20 times `repair-ms`: what is forgotten would come back")
        );
    }
    Ok(())
}

fn address(form: &Form, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| form.error(format!("`{text}` is not an address and port")))
}

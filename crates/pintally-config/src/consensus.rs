//! The replicas of the fleet's key-value store: `(keepers ...)`. Without this form the fleet has no such store.

use std::fmt;

use pintally::interface::Micros;
use pintally_consensus::Settings;

use crate::form::{millis, quoted, Form};
use crate::{ConfigError, NodeSettings};

/// The node name with which the settings are checked before the name of the node is known.
const PLACEHOLDER_NODE: &str = "x";

/// The replicas at the first start of the fleet, and their timing. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// The names of the nodes that run replicas.
    pub names: Vec<String>,
    /// The time between two heartbeats of the leader.
    pub heartbeat_interval: Micros,
    /// A replica that receives no heartbeat becomes a candidate after a random time between one and two times this
    /// value.
    pub election_timeout: Micros,
    /// After this time a restarted replica with an intact disk trusts its stored vote to be the latest.
    pub vote_recovery_timeout: Micros,
    /// The maximum relative difference between the rates of two clocks, as a fraction.
    pub max_clock_drift: f64,
}

impl fmt::Display for ConsensusSettings {
    /// Writes the form from which these settings can be read again.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(keepers (names")?;
        self.names.iter().try_for_each(|name| write!(f, " {}", quoted(name)))?;
        write!(
            f,
            ") (beat-ms {}) (election-ms {})",
            millis(self.heartbeat_interval),
            millis(self.election_timeout)
        )?;
        write!(f, " (doubt-ms {}) (drift {:?}))", millis(self.vote_recovery_timeout), self.max_clock_drift)
    }
}

impl ConsensusSettings {
    /// The settings of the replica on the node with this name.
    pub fn replica_settings(&self, name: &str) -> Settings {
        let names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        Settings {
            heartbeat_interval: self.heartbeat_interval,
            election_timeout: self.election_timeout,
            vote_recovery_timeout: self.vote_recovery_timeout,
            max_clock_drift: self.max_clock_drift,
            ..Settings::new(name, &names)
        }
    }
}

/// Reads the form, if there is one.
pub(crate) fn read(root: &Form) -> Result<Option<ConsensusSettings>, ConfigError> {
    root.optional_form("keepers")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<ConsensusSettings, ConfigError> {
    let mut names = Vec::new();
    if let Some(list) = form.optional_form("names")? {
        while let Some(name) = list.optional_text()? {
            names.push(name);
        }
        list.finish()?;
    }
    let settings = ConsensusSettings {
        names,
        heartbeat_interval: form.millis_or("beat-ms", 100.0, 1.0, 60_000.0)?,
        election_timeout: form.millis_or("election-ms", 600.0, 1.0, 600_000.0)?,
        vote_recovery_timeout: form.millis_or("doubt-ms", 5_000.0, 1.0, 3_600_000.0)?,
        max_clock_drift: form.number_or("drift", 0.01, 0.0, 0.2)?,
    };
    form.finish()?;
    settings.replica_settings(PLACEHOLDER_NODE).check().map_err(|error| form.error(error.to_string()))?;
    Ok(settings)
}

/// Checks the form against the other settings.
pub(crate) fn check(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    if settings.consensus.is_some() && settings.membership.is_none() {
        return Err(
            root.error_at("keepers", "`keepers`: requires `(peers ...)`: the replicas communicate as peers")?
        );
    }
    Ok(())
}

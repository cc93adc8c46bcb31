//! Recovery after a start: `(recovery ...)`. Without this form a node admits all requests immediately.

use std::fmt;

use pintally::interface::Micros;

use crate::form::{millis, quoted, Form};
use crate::{rule, ConfigError, NodeSettings};

/// The names of the storage faults that scenarios and tests can inject.
pub const STORAGE_FAULTS: [&str; 8] =
    ["lost-syncs", "torn-write", "flipped-bit", "older-image", "full", "read-only", "slow", "read-errors"];

/// The maximum time after a start in which a node serves nothing, if neither the disk nor any peer responds.
const MAX_SILENT_START_US: Micros = 10_000_000;

/// The settings of the recovery of a node after a start. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoverySettings {
    /// The directory in which the node stores its state; `None` if it stores nothing.
    pub store: Option<String>,
    /// The time between two commits; a power loss can lose the changes of this time.
    pub commit_interval: Micros,
    /// How long the start waits for the stored state to be read.
    pub disk_read_timeout: Micros,
    /// How long a round of queries to peers waits for answers.
    pub answer_timeout: Micros,
    /// The number of query rounds.
    pub query_rounds: u32,
    /// The number of peers queried in a round.
    pub peers_queried: usize,
    /// Slow start ends after this time at the latest.
    pub max_slow_start: Micros,
    /// Requests per second that a warm engine serves; used if no node remembers the rate.
    pub requests_per_second_per_engine: f64,
    /// The fraction of its usual requests that an engine serves without cached prefixes.
    pub uncached_capacity_fraction: f64,
    /// Two backup nodes release the reservations of a dead peer this long after its death; 0 for never.
    pub reservation_takeover_delay: Micros,
    /// An injected storage fault, with its name and seed; only for scenarios and tests.
    pub storage_fault: Option<(String, u64)>,
}

impl fmt::Display for RecoverySettings {
    /// Writes the form from which these settings can be read again.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "(recovery (every-ms {}) (read-within-ms {})",
            millis(self.commit_interval),
            millis(self.disk_read_timeout)
        )?;
        if let Some(store) = &self.store {
            write!(f, " (store {})", quoted(store))?;
        }
        write!(f, " (answer-within-ms {}) (rounds {})", millis(self.answer_timeout), self.query_rounds)?;
        write!(f, " (ask {}) (careful-most-ms {})", self.peers_queried, millis(self.max_slow_start))?;
        write!(
            f,
            " (per-engine-per-s {}) (textless {})",
            self.requests_per_second_per_engine, self.uncached_capacity_fraction
        )?;
        write!(f, " (inherit-after-ms {})", millis(self.reservation_takeover_delay))?;
        if let Some((storage_fault, seed)) = &self.storage_fault {
            write!(f, " (lying-disk {} (seed {seed}))", quoted(storage_fault))?;
        }
        f.write_str(")")
    }
}

/// Reads the form, if there is one.
pub(crate) fn read(root: &Form) -> Result<Option<RecoverySettings>, ConfigError> {
    root.optional_form("recovery")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<RecoverySettings, ConfigError> {
    let storage_fault = storage_fault(form)?;
    let settings = RecoverySettings {
        store: Some(form.text_or("store", "")?).filter(|s| !s.is_empty()),
        commit_interval: form.millis_or("every-ms", 200.0, 1.0, 60_000.0)?,
        disk_read_timeout: form.millis_or("read-within-ms", 300.0, 1.0, 60_000.0)?,
        answer_timeout: form.millis_or("answer-within-ms", 200.0, 1.0, 60_000.0)?,
        query_rounds: form.count_or("rounds", 2, 1, 20)? as u32,
        peers_queried: form.count_or("ask", 3, 1, 16)? as usize,
        max_slow_start: form.millis_or("careful-most-ms", 30_000.0, 1.0, 3_600_000.0)?,
        reservation_takeover_delay: form.millis_or("inherit-after-ms", 5_000.0, 0.0, 3_600_000.0)?,
        requests_per_second_per_engine: form.number_or("per-engine-per-s", 2.0, 0.001, 1e6)?,
        uncached_capacity_fraction: form.number_or("textless", 0.9, 0.01, 1.0)?,
        storage_fault,
    };
    form.finish()?;
    Ok(settings)
}

fn storage_fault(form: &Form) -> Result<Option<(String, u64)>, ConfigError> {
    let Some(fault) = form.optional_form("lying-disk")? else { return Ok(None) };
    let (name, seed) = (fault.text()?, fault.count_or("seed", 1, 0, 1 << 53)?);
    if !STORAGE_FAULTS.contains(&name.as_str()) {
        let known = STORAGE_FAULTS.join(", ");
        return Err(fault.error(format!("`recovery.lying-disk`: must be one of {known}, not `{name}`")));
    }
    fault.finish()?;
    Ok(Some((name, seed)))
}

/// Checks the form against the settings of the router, and the time that a start can take.
pub(crate) fn check(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    let Some(recovery) = &settings.recovery else { return Ok(()) };
    let form = root.optional_form("recovery")?;
    let rule_error = |rule, message: String| match &form {
        Some(form) => form.rule_error(rule, message),
        None => root.rule_error(rule, message),
    };
    if recovery.max_slow_start < settings.core.slow_start_duration {
        let message =
            "`recovery.careful-most-ms`: must be at least `rules.warm-after-ms`: otherwise all requests \
                       are admitted before engines are warm";
        return Err(rule_error(rule::COLD_ENGINES_PROTECTED, message.into()));
    }
    let silent_start =
        recovery.disk_read_timeout + recovery.answer_timeout * Micros::from(recovery.query_rounds);
    if silent_start > MAX_SILENT_START_US {
        let message = format!(
            "`recovery.read-within-ms`: with `answer-within-ms` times `rounds` must be at most 10000 ms, not {} \
             ms: nothing is served in this time if neither the disk nor any peer responds",
            silent_start / 1000
        );
        return Err(rule_error(rule::NO_REQUEST_LOST, message));
    }
    Ok(())
}

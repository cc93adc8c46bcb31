//! Recovery after a start: `(recovery ...)`. Without it a node takes all requests from the first second.

use std::fmt;

use pintally::interface::Micros;

use crate::form::{millis, quoted, Form};
use crate::{rule, ConfigError, NodeSettings};

/// Storage faults that scenarios and tests inject, by name.
pub const STORAGE_FAULTS: [&str; 8] =
    ["lost-syncs", "torn-write", "flipped-bit", "older-image", "full", "read-only", "slow", "read-errors"];

/// The longest that a node may serve nothing after its start, with every peer and disk silent.
const MAX_SILENT_START: Micros = 10_000_000;

/// Recovery of a node after a start. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoverySettings {
    /// The folder in which it stores its state; without one it stores nothing.
    pub store: Option<String>,
    /// Between two commits: what a power loss may cost.
    pub commit_interval: Micros,
    /// How long the start waits for the disk.
    pub disk_read_timeout: Micros,
    /// How long a round of questions to peers waits for answers.
    pub answer_timeout: Micros,
    /// Rounds of questions to peers.
    pub query_rounds: u32,
    /// Peers asked in a round.
    pub peers_queried: usize,
    /// Slow start ends after this time at the latest.
    pub max_slow_start: Micros,
    /// Requests a second that a warm engine serves, where nothing is remembered.
    pub requests_per_second_per_engine: f64,
    /// The fraction of that which it serves without cached prefixes.
    pub uncached_capacity_fraction: f64,
    /// So long after a peer's death two backup nodes release its reservations; 0 for never.
    pub reservation_takeover_delay: Micros,
    /// An injected storage fault, by name and seed: for scenarios and tests only.
    pub storage_fault: Option<(String, u64)>,
}

impl fmt::Display for RecoverySettings {
    /// The form that reads back as these settings.
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

/// Reads the form, if it is there.
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
        return Err(fault.error(format!("`{name}` is no kind of lying disk; there are {known}")));
    }
    fault.finish()?;
    Ok(Some((name, seed)))
}

/// The settings against those of the router.
pub(crate) fn check(root: &Form, s: &NodeSettings) -> Result<(), ConfigError> {
    let Some(recovery) = &s.recovery else { return Ok(()) };
    let form = root.optional_form("recovery")?;
    let breaks = |rule, what: String| match &form {
        Some(form) => form.rule_error(rule, what),
        None => root.rule_error(rule, what),
    };
    if recovery.max_slow_start < s.core.slow_start_duration {
        let what = "`careful-most-ms` is under `warm-after-ms`: all would be let in before engines are warm";
        return Err(breaks(rule::COLD_ENGINES_PROTECTED, what.into()));
    }
    let silent = recovery.disk_read_timeout + recovery.answer_timeout * Micros::from(recovery.query_rounds);
    if silent > MAX_SILENT_START {
        let what = format!("with every peer and disk silent nothing is served for {} ms", silent / 1000);
        return Err(breaks(rule::NO_REQUEST_LOST, what));
    }
    Ok(())
}

//! Outlier detection by all nodes of a fleet: `(verdicts ...)`. Without this form each node detects outliers on
//! its own.

use pintally_outlier_detection::Settings;

use crate::form::{millis, Form};
use crate::{ConfigError, NodeSettings};

/// Reads the form, if there is one.
pub(crate) fn read(root: &Form) -> Result<Option<Settings>, ConfigError> {
    root.optional_form("verdicts")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<Settings, ConfigError> {
    let defaults = Settings::default();
    let settings = Settings {
        evidence_retention: form.millis_or(
            "memory-ms",
            millis(defaults.evidence_retention),
            1.0,
            600_000.0,
        )?,
        consecutive_failures: form.count_or("strikes", u64::from(defaults.consecutive_failures), 1, 100)?
            as u32,
        min_reporters: form.count_or("accusers", defaults.min_reporters as u64, 1, 100)? as usize,
        base_ejection_time: form.millis_or("rest-ms", millis(defaults.base_ejection_time), 1.0, 600_000.0)?,
        max_ejection_time: form.millis_or(
            "rest-most-ms",
            millis(defaults.max_ejection_time),
            1.0,
            3_600_000.0,
        )?,
        ramp_step: form.millis_or("step-ms", millis(defaults.ramp_step), 1.0, 600_000.0)?,
        max_ejection_fraction: form.number_or("most", defaults.max_ejection_fraction, 0.0, 1.0)?,
        local_fault_fraction: form.number_or("own", defaults.local_fault_fraction, 0.0, 1.0)?,
    };
    form.finish()?;
    settings.check().map_err(|error| form.error(error.to_string()))?;
    Ok(settings)
}

/// The text of the form from which these settings can be read again.
pub fn outlier_detection_form(s: &Settings) -> String {
    format!(
        "(verdicts (memory-ms {}) (strikes {}) (accusers {}) (rest-ms {}) (rest-most-ms {}) (step-ms {}) \
         (most {:?}) (own {:?}))",
        millis(s.evidence_retention),
        s.consecutive_failures,
        s.min_reporters,
        millis(s.base_ejection_time),
        millis(s.max_ejection_time),
        millis(s.ramp_step),
        s.max_ejection_fraction,
        s.local_fault_fraction
    )
}

/// Checks the form against the other settings.
pub(crate) fn check(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    if settings.outlier_detection.is_none() {
        return Ok(());
    }
    if settings.membership.is_none() {
        let message = "`verdicts`: requires `(peers ...)`: nodes exchange their reports as peers";
        return Err(root.error_at("verdicts", message)?);
    }
    if settings.cells_file.is_some() {
        let message = "`verdicts`: must not be combined with `node.cells`, which is not supported yet";
        return Err(root.error_at("verdicts", message)?);
    }
    Ok(())
}

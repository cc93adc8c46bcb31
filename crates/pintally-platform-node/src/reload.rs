//! Reload of the configuration after a signal.

use std::path::Path;

use pintally::interface::Micros;
use pintally_platform::{Configuration, ConfigurationError};
use thiserror::Error;

use crate::node::Node;

/// Delay before the first retry of a failed reload; it doubles up to a limit.
const FIRST_RETRY_DELAY: Micros = 100_000;
const MAX_RETRY_DELAY: Micros = 800_000;
/// A reload is given up after this time, and the old configuration remains.
const RELOAD_TIMEOUT: Micros = 10_000_000;

/// The state of reloads.
#[derive(Default)]
pub(crate) struct Reload {
    pending: Option<PendingReload>,
    /// Number of successful reloads.
    pub(crate) completed: u64,
}

impl Reload {
    /// When the pending reload is tried next.
    pub(crate) fn next_attempt(&self) -> Option<Micros> {
        self.pending.as_ref().map(|reload| reload.next_attempt)
    }
}

/// A reload that has not succeeded yet.
struct PendingReload {
    next_attempt: Micros,
    retry_delay: Micros,
    give_up_at: Micros,
}

/// Why a reload has failed.
#[derive(Debug, Error)]
enum ReloadError {
    #[error(transparent)]
    Read(#[from] std::io::Error),
    #[error(transparent)]
    Invalid(#[from] ConfigurationError),
}

fn read_configuration(file: &Path) -> Result<Configuration, ReloadError> {
    let text = std::fs::read_to_string(file)?;
    Ok(Configuration::parse(&text)?)
}

impl Node {
    /// Starts a reload.
    pub(crate) fn start_reload(&mut self) {
        let now = self.clock.now();
        self.reload.pending = Some(PendingReload {
            next_attempt: now,
            retry_delay: FIRST_RETRY_DELAY,
            give_up_at: now.saturating_add(RELOAD_TIMEOUT),
        });
        self.retry_reload(now);
    }

    /// Tries the pending reload if it is due. Retries guard against a reload that is lost because the file
    /// cannot be read at the time of the signal: it is partly written, or a system call fails temporarily. An
    /// invalid configuration changes nothing.
    pub(crate) fn retry_reload(&mut self, now: Micros) {
        let pending = self.reload.pending.as_mut().filter(|reload| now >= reload.next_attempt);
        let Some(reload) = pending else { return };
        let is_first = reload.retry_delay == FIRST_RETRY_DELAY;
        let is_last = now >= reload.give_up_at;
        reload.next_attempt = now.saturating_add(reload.retry_delay);
        reload.retry_delay = (reload.retry_delay * 2).min(MAX_RETRY_DELAY);
        match read_configuration(&self.config_file) {
            Ok(config) => {
                self.reload.pending = None;
                self.reload.completed += 1;
                self.reconfigure(now, config);
            }
            Err(error) if is_last => {
                self.reload.pending = None;
                if self.log_limiter.allows(now) {
                    tracing::warn!(reason = %error, "reload failed: the old configuration remains");
                }
            }
            Err(error) if is_first => {
                if self.log_limiter.allows(now) {
                    tracing::warn!(reason = %error, "reload failed and will be retried");
                }
            }
            Err(_) => {}
        }
    }

    /// Applies the parts of a configuration that a reload may change: the address of
    /// discovery, and a newer list.
    fn reconfigure(&mut self, now: Micros, config: Configuration) {
        tracing::info!(discovery = %config.discovery, "configuration reloaded");
        if let Some(list) = config.last_known_list {
            self.apply_newer_list(list);
        }
        self.set_discovery_address(config.discovery, now);
    }
}

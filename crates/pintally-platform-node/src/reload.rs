//! New configurations, read when a signal says so.

use pintally::interface::Micros;
use pintally_platform::Configuration;

use crate::node::Node;

/// A configuration that cannot be read is read again after this time, which doubles up to a bound.
const RETRY_FIRST: Micros = 100_000;
const RETRY_MAX: Micros = 800_000;
/// After so long it is left at the old one.
const RETRY_FOR: Micros = 10_000_000;

/// A reload that has not succeeded yet.
pub(crate) struct Reload {
    due: Micros,
    pause: Micros,
    until: Micros,
}

impl Node {
    /// A signal says that there is a new configuration.
    pub(crate) fn reload(&mut self) {
        let now = self.clock.now();
        self.reloading = Some(Reload { due: now, pause: RETRY_FIRST, until: now.saturating_add(RETRY_FOR) });
        self.retry_reload(now);
    }

    /// When a reload is tried again.
    pub(crate) fn reload_due(&self) -> Option<Micros> {
        self.reloading.as_ref().map(|reload| reload.due)
    }

    /// Reads the configuration if it is time. Guards against one that is lost because it cannot be read in the moment of the
    /// signal: the file is half written, or the system refuses for a moment. An unsound one changes nothing.
    pub(crate) fn retry_reload(&mut self, now: Micros) {
        let Some(reload) = self.reloading.as_mut().filter(|reload| now >= reload.due) else { return };
        let first = reload.pause == RETRY_FIRST;
        let last = now >= reload.until;
        reload.due = now.saturating_add(reload.pause);
        reload.pause = (reload.pause * 2).min(RETRY_MAX);
        let text = std::fs::read_to_string(&self.config_file).map_err(|e| e.to_string());
        match text.and_then(|text| Configuration::parse(&text).map_err(|e| e.to_string())) {
            Ok(config) => {
                self.reloading = None;
                self.reloads += 1;
                self.reconfigure(now, config);
            }
            Err(why) if last => {
                self.reloading = None;
                self.say(now, &format!("the old configuration goes on, as the new one does not hold: {why}"));
            }
            Err(why) if first => {
                self.say(now, &format!("the new configuration does not hold, and is read again: {why}"));
            }
            Err(_) => {}
        }
    }

    /// Discovery may have moved, and the list that comes with it may be newer.
    fn reconfigure(&mut self, now: Micros, config: Configuration) {
        tracing::info!(discovery = %config.discovery, "the configuration was read again");
        if let Some(known) = config.last_known_list {
            self.take_known(known);
        }
        self.follow(config.discovery, now);
    }
}

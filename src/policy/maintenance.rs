//! Periodic maintenance: rates, discovery, health checks, and the removal of old data.

use super::prefix_affinity::AFFINITY_HALF_LIFE_US;
use super::service_rates::COUNT_DECAY;
use super::Router;
use crate::interface::*;

/// The interval of the periodic maintenance.
pub(super) const MAINTENANCE_INTERVAL_US: Micros = 500_000;
/// A prefix whose decayed count of arrivals is no greater than this is removed.
const MIN_PREFIX_ARRIVALS: f64 = 0.1;
/// A rejected prompt is recognised for this long.
const REJECTION_LIFETIME_US: Micros = AFFINITY_HALF_LIFE_US;
/// Entries of the affinity table are purged after this time: by then they have decayed to a sixteenth.
const AFFINITY_LIFETIME_US: Micros = 4 * AFFINITY_HALF_LIFE_US;

impl Router {
    /// Does the work that is due each time the maintenance timer fires, and sets the timer again.
    pub(super) fn maintain(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(Timer::Maintenance, MAINTENANCE_INTERVAL_US));
        self.update_service_rates(now);
        self.decay_demand();
        self.update_usable_engines(now);
        self.update_turns(now);
        self.log_slow_starts(now, actions);
        self.poll_discovery(now, actions);
        self.check_all_writers(now, actions);
        self.decay_arrivals(now);
        self.prefix_affinity.purge_before(now.saturating_sub(AFFINITY_LIFETIME_US));
    }

    /// Subscribes to discovery again, where that is needed: after half the longest interval between polls, or
    /// if discovery did not answer.
    fn poll_discovery(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.settings.discovery_mode != DiscoveryMode::Subscribe {
            return;
        }
        let due = now > self.measurements.polled_at + self.settings.max_discovery_poll_interval / 2;
        if due || !self.measurements.subscribed {
            self.measurements.polled_at = now;
            actions.push(Action::Subscribe);
        }
    }

    fn decay_arrivals(&mut self, now: Micros) {
        self.measurements.arrivals *= COUNT_DECAY;
        self.measurements.shared_prefix_arrivals *= COUNT_DECAY;
        self.prefix_arrivals.values_mut().for_each(|arrivals| *arrivals *= COUNT_DECAY);
        self.prefix_arrivals.retain(|_, arrivals| *arrivals > MIN_PREFIX_ARRIVALS);
        self.rejected_prompts.retain(|_, first_arrived_at| now < *first_arrived_at + REJECTION_LIFETIME_US);
    }
}

//! Periodic maintenance: rates, discovery, health checks, and what is forgotten.

use super::prefix_affinity::AFFINITY_HALF_LIFE_US;
use super::service_rates::COUNT_DECAY;
use super::Router;
use crate::interface::*;

/// How often engines and discovery are looked after.
pub(super) const MAINTENANCE_INTERVAL_US: Micros = 500_000;
/// A prefix that arrived less often than this lately is forgotten.
const MIN_PREFIX_ARRIVALS: f64 = 0.1;
/// A rejected prompt is recognised for this long.
const REJECTION_LIFETIME_US: Micros = AFFINITY_HALF_LIFE_US;
/// Table entries are purged after this time: by then they have decayed to a sixteenth.
const AFFINITY_LIFETIME_US: Micros = 4 * AFFINITY_HALF_LIFE_US;

impl Router {
    /// What is done each time the maintenance timer fires.
    pub(super) fn maintain(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(Timer::Maintenance, MAINTENANCE_INTERVAL_US));
        self.update_service_rates(now);
        self.poll_discovery(now, actions);
        self.check_all_writers(now, actions);
        self.forget_old_arrivals(now);
        self.prefix_affinity.purge_before(now.saturating_sub(AFFINITY_LIFETIME_US));
    }

    /// Asks discovery where it must be asked: at half the longest interval, or since it did not answer.
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

    fn forget_old_arrivals(&mut self, now: Micros) {
        self.measurements.arrivals *= COUNT_DECAY;
        self.measurements.shared_prefix_arrivals *= COUNT_DECAY;
        self.prefix_arrivals.values_mut().for_each(|arrivals| *arrivals *= COUNT_DECAY);
        self.prefix_arrivals.retain(|_, arrivals| *arrivals > MIN_PREFIX_ARRIVALS);
        self.rejected_prompts.retain(|_, first_arrived_at| now < *first_arrived_at + REJECTION_LIFETIME_US);
    }
}

//! Service rates: how many answers per second this node gets from a warm engine of each role.

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, Pool};

/// Counts of recent events decay by this factor at each maintenance, which halves them in twelve seconds.
pub(super) const COUNT_DECAY: f64 = 0.97;
/// Added to the observed time: rates are underestimated until engines have been observed for about this
/// many seconds.
const RATE_WARM_UP_S: f64 = 5.0;

impl Pool {
    /// The mean number of warm engines over the time in which the answers were counted. Guards against a
    /// rate that rises when engines leave, because their answers are still counted.
    fn mean_warm_engines(&self) -> f64 {
        if self.observed_s > 0.0 {
            (self.warm_engine_s / self.observed_s).max(1.0)
        } else {
            1.0
        }
    }
}

impl Router {
    /// Answers per second of one warm engine. The rate remembered from the previous incarnation applies until
    /// this one has observed a higher one.
    pub(crate) fn service_rate(&self, kind: AttemptKind) -> f64 {
        let pool = self.pool(kind);
        let remembered = self.settings.remembered_service_rates[kind.index()];
        (pool.answers / pool.mean_warm_engines() / (pool.observed_s + RATE_WARM_UP_S)).max(remembered)
    }

    /// Adds the answers since the last maintenance to the pools of their engines.
    pub(super) fn update_service_rates(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.measurements.service_rates_updated_at) as f64 / 1e6;
        self.measurements.service_rates_updated_at = now;
        let mut warm_engines = [0.0f64; 3];
        for engine in &mut self.engines {
            let answers = f64::from(std::mem::take(&mut engine.answers));
            if engine.is_serving() && now >= engine.warming_up_until {
                let pool = AttemptKind::of_role(engine.role).index();
                warm_engines[pool] += 1.0;
                self.pools[pool].answers += answers;
            }
        }
        for (pool, warm_engines) in self.pools.iter_mut().zip(warm_engines) {
            pool.answers *= COUNT_DECAY;
            pool.observed_s = (pool.observed_s + elapsed_s) * COUNT_DECAY;
            pool.warm_engine_s = (pool.warm_engine_s + elapsed_s * warm_engines.max(1.0)) * COUNT_DECAY;
        }
    }
}

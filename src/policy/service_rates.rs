//! Service rates: how many answers per second this node gets from a warm engine of each role.

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, Engine, KindService, Pool};

/// Counts of recent events decay by this factor at each maintenance, which halves them in twelve seconds.
pub(super) const COUNT_DECAY: f64 = 0.97;
/// Added to the observed time: rates are underestimated until engines have been observed for about this
/// many seconds.
const RATE_WARM_UP_S: f64 = 5.0;
/// The rate of a kind is the mean of its role until its engines have answered about this often.
const PRIOR_ANSWERS: f64 = 2.0;
/// The rate of saturated engines is known once they have been observed for this long in total.
const MIN_SATURATED_ENGINE_S: f64 = 2.0;
/// Guards against division by zero where a role has had no warm engine.
const MIN_ENGINE_TIME_S: f64 = 1e-9;

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

    /// Adds what warm engines answered while they were saturated. The counts decay only then.
    fn add_saturated(&mut self, answers: f64, engine_s: f64) {
        if engine_s > 0.0 {
            self.saturated_answers = (self.saturated_answers + answers) * COUNT_DECAY;
            self.saturated_engine_s = (self.saturated_engine_s + engine_s) * COUNT_DECAY;
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

    /// The same without allowance for a short time of observation.
    pub(super) fn observed_service_rate(&self, kind: AttemptKind) -> f64 {
        let pool = self.pool(kind);
        let remembered = self.settings.remembered_service_rates[kind.index()];
        (pool.answers / pool.mean_warm_engines() / pool.observed_s.max(MIN_ENGINE_TIME_S)).max(remembered)
    }

    /// Answers per second of one warm engine while demand exceeded capacity, if that was observed for long
    /// enough.
    pub(super) fn saturated_service_rate(&self, kind: AttemptKind) -> Option<f64> {
        let pool = self.pool(kind);
        let is_known = pool.saturated_engine_s >= MIN_SATURATED_ENGINE_S;
        is_known.then(|| pool.saturated_answers / pool.saturated_engine_s)
    }

    /// What an engine can do when warm, as a multiple of a warm engine of its role on the mean. A size says
    /// more than the kind, whose engines may have answered less only because they were sent less.
    pub(crate) fn relative_capacity(&self, engine: &Engine) -> f64 {
        let of_kind = self.kind_services[engine.kind].relative_rate;
        match (self.settings.weight_kind, self.relative_size(engine)) {
            (WeightKind::Live, Some(upper_bound)) => of_kind.min(upper_bound),
            (_, Some(relative_size)) => relative_size,
            (_, None) => self.least_relative_size(engine).map_or(of_kind, |least| of_kind.min(least)),
        }
    }

    /// Adds the answers since the last maintenance to the pools and kinds of their engines.
    pub(super) fn update_service_rates(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.measurements.service_rates_updated_at) as f64 / 1e6;
        self.measurements.service_rates_updated_at = now;
        let lacks_capacity = self.lacks_capacity();
        let is_saturated = AttemptKind::ALL.map(|kind| lacks_capacity && self.demand_exceeds_capacity(kind));
        let ejected: Vec<bool> = (0..self.engines.len()).map(|index| self.is_ejected(now, index)).collect();
        let mut saturated = [(0.0, 0.0); 3];
        let mut warm_engines = [0.0f64; 3];
        for (engine, is_ejected) in self.engines.iter_mut().zip(ejected) {
            let answers = f64::from(std::mem::take(&mut engine.answers));
            if engine.can_read() {
                self.measurements.reads_answered += answers;
            }
            if !engine.is_serving() || now < engine.warming_up_until {
                continue;
            }
            let pool = AttemptKind::of_role(engine.role).index();
            warm_engines[pool] += 1.0;
            self.pools[pool].answers += answers;
            if is_saturated[pool] && !is_ejected {
                saturated[pool].0 += answers;
                saturated[pool].1 += elapsed_s;
            }
            if let Some(size) = engine.size {
                self.pools[pool].sized_engine_s += elapsed_s;
                self.pools[pool].size_s += elapsed_s * size;
            }
            self.kind_services[engine.kind].answers += answers;
            self.kind_services[engine.kind].warm_engine_s += elapsed_s;
        }
        for (pool, (answers, engine_s)) in self.pools.iter_mut().zip(saturated) {
            pool.add_saturated(answers, engine_s);
        }
        for (pool, warm_engines) in self.pools.iter_mut().zip(warm_engines) {
            pool.answers *= COUNT_DECAY;
            pool.observed_s = (pool.observed_s + elapsed_s) * COUNT_DECAY;
            pool.warm_engine_s = (pool.warm_engine_s + elapsed_s * warm_engines.max(1.0)) * COUNT_DECAY;
            pool.sized_engine_s *= COUNT_DECAY;
            pool.size_s *= COUNT_DECAY;
        }
        self.update_kind_rates();
    }

    /// Compares the warm engines of each kind with all warm engines of the kind's role.
    fn update_kind_rates(&mut self) {
        let mut of_role = [KindService::default(); 3];
        let role_of = |kind: &EngineKind| AttemptKind::of_role(kind.role).index();
        for (kind, service) in self.settings.engine_kinds.iter().zip(&mut self.kind_services) {
            service.answers *= COUNT_DECAY;
            service.warm_engine_s *= COUNT_DECAY;
            of_role[role_of(kind)].answers += service.answers;
            of_role[role_of(kind)].warm_engine_s += service.warm_engine_s;
        }
        for (kind, service) in self.settings.engine_kinds.iter().zip(&mut self.kind_services) {
            let of_role = of_role[role_of(kind)];
            let time_fraction = service.warm_engine_s / of_role.warm_engine_s.max(MIN_ENGINE_TIME_S);
            let usual_answers = of_role.answers * time_fraction;
            service.relative_rate = (service.answers + PRIOR_ANSWERS) / (usual_answers + PRIOR_ANSWERS);
        }
    }
}

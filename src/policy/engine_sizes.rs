//! Sizes: what the registered weights tell of the sizes of engines, which `WeightKind` says how to read.

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, Engine};

/// The greatest registered weight that counts as one.
const MAX_WEIGHT: f64 = 1e12;
/// An engine that is registered as more than this many times the median of its role has an unknown size.
const MAX_MULTIPLE_OF_MEDIAN: f64 = 64.0;
/// A rough weight may differ from the true size by this factor.
const ROUGH_WEIGHT_ERROR: f64 = 1.5;

/// The weight of an entry of the endpoint list, if it has a valid one.
pub(super) fn valid_weight(weight: f64) -> Option<f64> {
    (weight > 0.0 && weight <= MAX_WEIGHT).then_some(weight)
}

/// What the registered weights of the serving engines of one role have in common.
#[derive(Clone, Copy, Default)]
struct RoleWeights {
    /// Greater weights are implausible.
    max: f64,
    /// The mean of the others, if there are any.
    mean: Option<f64>,
}

impl RoleWeights {
    fn new(mut weights: Vec<f64>, weight_kind: WeightKind) -> RoleWeights {
        let max = match weight_kind {
            WeightKind::Off => 0.0,
            // They differ as much as loads do.
            WeightKind::Live => MAX_WEIGHT,
            WeightKind::Nominal | WeightKind::Rough => MAX_MULTIPLE_OF_MEDIAN * median(&mut weights),
        };
        weights.retain(|weight| *weight <= max);
        RoleWeights { max, mean: mean(&weights) }
    }
}

/// The median; 0 without values. Changes the order of the values.
fn median(values: &mut [f64]) -> f64 {
    let middle = values.len() / 2;
    if values.is_empty() {
        return 0.0;
    }
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

impl Router {
    /// Derives sizes and relative weights from the registered weights, after each endpoint list.
    pub(super) fn update_sizes(&mut self) {
        let weight_kind = self.settings.weight_kind;
        let roles = self
            .values_by_role(|engine| engine.registered_weight)
            .map(|weights| RoleWeights::new(weights, weight_kind));
        for engine in &mut self.engines {
            let role = roles[AttemptKind::of_role(engine.role).index()];
            let weight = engine.registered_weight.filter(|weight| *weight <= role.max);
            engine.relative_weight = weight.zip(role.mean).map_or(1.0, |(weight, mean)| weight / mean);
            engine.size = match weight_kind {
                // The size is at least any weight since the start, when the engine had no load.
                WeightKind::Live => weight.into_iter().chain(engine.size).reduce(f64::max),
                _ => weight,
            };
        }
        let sizes = self.values_by_role(|engine| engine.size);
        for (pool, sizes) in self.pools.iter_mut().zip(&sizes) {
            pool.listed_mean_size = mean(sizes);
        }
        self.update_least_sizes();
    }

    /// Finds the least size of each kind of machine among the serving engines.
    fn update_least_sizes(&mut self) {
        for service in &mut self.kind_services {
            service.least_size = None;
        }
        for engine in self.engines.iter().filter(|engine| engine.is_serving()) {
            let least_size = &mut self.kind_services[engine.kind].least_size;
            *least_size = engine.size.into_iter().chain(*least_size).reduce(f64::min);
        }
    }

    /// A value of the serving engines that have one, by role.
    fn values_by_role(&self, value: impl Fn(&Engine) -> Option<f64>) -> [Vec<f64>; 3] {
        let mut values: [Vec<f64>; 3] = Default::default();
        for engine in self.engines.iter().filter(|engine| engine.is_serving()) {
            values[AttemptKind::of_role(engine.role).index()].extend(value(engine));
        }
        values
    }

    /// The size of an engine as a multiple of the warm engines of its role on the mean, where weights tell
    /// it. By live weights it is an upper bound: the load of the others hides how large they are.
    pub(super) fn relative_size(&self, engine: &Engine) -> Option<f64> {
        self.size_ratio(engine, engine.size?)
    }

    /// The relative size of the smallest engine of this one's kind. Guards against overloading an engine
    /// without a size, which may be one of the small ones. It says nothing by live weights, since the
    /// smallest may be the one with the most load.
    pub(super) fn least_relative_size(&self, engine: &Engine) -> Option<f64> {
        if self.settings.weight_kind == WeightKind::Live {
            return None;
        }
        self.size_ratio(engine, self.kind_services[engine.kind].least_size?)
    }

    /// A size as a multiple of the mean size of the warm engines of this engine's role.
    fn size_ratio(&self, engine: &Engine, size: f64) -> Option<f64> {
        let pool = self.pool(AttemptKind::of_role(engine.role));
        let observed = pool.sized_engine_s > 0.0;
        let warm_mean_size =
            if observed { Some(pool.size_s / pool.sized_engine_s) } else { pool.listed_mean_size };
        let ratio = size / warm_mean_size?;
        Some(match self.settings.weight_kind {
            WeightKind::Off => 1.0,
            WeightKind::Nominal => ratio,
            WeightKind::Rough => least_true_ratio(ratio),
            WeightKind::Live => ratio.min(1.0),
        })
    }
}

/// The least ratio that a ratio of rough weights may stand for; 1 if the engines may be equal.
fn least_true_ratio(ratio: f64) -> f64 {
    if (1.0 / ROUGH_WEIGHT_ERROR..=ROUGH_WEIGHT_ERROR).contains(&ratio) {
        1.0
    } else {
        ratio / ROUGH_WEIGHT_ERROR
    }
}

//! The usual duration of attempts, and how much slower than its pool an engine is.

use super::outlier_ejection::MAX_EJECTION_TIME_US;
use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, Pool};

/// The weight of a new sample in every moving mean, so that about the last ten samples count.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;
/// An engine's slowdown follows its samples this many times faster than the pool's mean.
const SLOWDOWN_WEIGHT_FACTOR: f64 = 3.0;
/// The bounds of one sample, as a multiple of the pool's usual time.
const MIN_SAMPLE_RATIO: f64 = 0.1;
const MAX_SAMPLE_RATIO: f64 = 10.0;
/// The fastest observed read rate decays by this factor with each sample.
const FASTEST_READ_DECAY: f64 = 0.999;

impl Router {
    /// How many times slower than its pool an engine is. The measured slowdown decays, by half in half of the
    /// longest ejection time, so that the engine is tried again.
    pub(super) fn slowdown(&self, now: Micros, index: usize) -> f64 {
        let engine = &self.engines[index];
        let age = now.saturating_sub(engine.slowdown_at) as f64 / MAX_EJECTION_TIME_US as f64;
        1.0 + (engine.slowdown - 1.0).max(0.0) * 0.5f64.powf(age * 2.0)
    }

    /// Records how long an attempt took, relative to the usual time of its pool for as much work. The usual
    /// time follows the pool, so that no engine counts as slow only because the whole pool is.
    pub(super) fn record_duration(
        &mut self,
        now: Micros,
        index: usize,
        kind: AttemptKind,
        tokens: f64,
        duration_us: f64,
    ) {
        let ratio = self.pools[kind.index()].record_duration(tokens, duration_us);
        let engine = &mut self.engines[index];
        engine.slowdown += SLOWDOWN_WEIGHT_FACTOR * SAMPLE_WEIGHT * (ratio - engine.slowdown);
        engine.slowdown_at = now;
    }
}

impl Pool {
    /// Records one duration and returns it as a multiple of the usual time.
    fn record_duration(&mut self, tokens: f64, duration_us: f64) -> f64 {
        self.tokens_per_attempt = match self.samples {
            0 => tokens,
            _ => self.tokens_per_attempt + SAMPLE_WEIGHT * (tokens - self.tokens_per_attempt),
        };
        let unit_time = duration_us / self.units_of_work(tokens);
        let tokens_per_us = tokens / duration_us.max(1.0);
        self.fastest_tokens_per_us = (self.fastest_tokens_per_us * FASTEST_READ_DECAY).max(tokens_per_us);
        if self.samples == 0 {
            self.unit_time = unit_time;
        }
        let deviation = (unit_time - self.unit_time).abs();
        self.unit_time_deviation += SAMPLE_WEIGHT * (deviation - self.unit_time_deviation);
        let ratio = (unit_time / self.unit_time.max(1.0)).clamp(MIN_SAMPLE_RATIO, MAX_SAMPLE_RATIO);
        self.unit_time += SAMPLE_WEIGHT * (unit_time - self.unit_time);
        self.samples += 1;
        ratio
    }

    /// The work of an attempt: one unit for the attempt itself and one per usual number of tokens.
    pub(super) fn units_of_work(&self, tokens: f64) -> f64 {
        1.0 + tokens / self.tokens_per_attempt.max(1.0)
    }
}

//! The admission gate while the fleet is cold: a token bucket that admits high-priority classes first and
//! spreads the retries of rejected clients over time, so that they do not all arrive at once.

use pintally::interface::Micros;

use crate::settings::ClassPriority;

const MICROS_PER_SECOND: f64 = 1e6;
/// The bucket holds the tokens of this many seconds, and at least one token.
const BURST_SECONDS: f64 = 0.25;
/// The fraction of the bucket that the lowest-priority class leaves to the other classes.
const MAX_RESERVED_FRACTION: f64 = 0.5;
/// The shortest Retry-After.
const MIN_RETRY_AFTER: Micros = 100_000;

/// What the gate admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPlan {
    /// Requests per second; `None` admits all requests.
    pub max_rate: Option<f64>,
    /// Whether requests that must not run twice are admitted.
    pub admits_at_most_once: bool,
}

/// The gate's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admit,
    /// The request is rejected, with a Retry-After if clients honor it.
    Reject(Option<Micros>),
}

/// Decisions of the gate since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdmissionCounters {
    pub(crate) admitted: u64,
    pub(crate) rejected_with_retry_after: u64,
    pub(crate) rejected_without_retry_after: u64,
}

/// The limits of a class.
#[derive(Clone, Copy, Debug)]
struct ClassLimit {
    /// The fraction of the bucket that the class leaves to classes with a higher priority.
    reserved_fraction: f64,
    at_most_once: bool,
}

/// A request without a configured class has the lowest priority and must not run twice.
const UNKNOWN_CLASS: ClassLimit = ClassLimit { reserved_fraction: MAX_RESERVED_FRACTION, at_most_once: true };

/// The admission gate.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    plan: AdmissionPlan,
    classes: Vec<ClassLimit>,
    /// The longest Retry-After; 0 if clients ignore it.
    max_retry_after: Micros,
    /// Tokens in the bucket.
    tokens: f64,
    refilled_at: Micros,
    /// The time at which the most recently rejected client is to retry.
    last_retry_at: Micros,
    pub(crate) counters: AdmissionCounters,
}

impl AdmissionGate {
    /// Creates a gate that admits nothing before its first plan.
    pub fn new(classes: &[ClassPriority], max_retry_after: Micros) -> AdmissionGate {
        AdmissionGate {
            plan: AdmissionPlan { max_rate: Some(0.0), admits_at_most_once: false },
            classes: class_limits(classes),
            max_retry_after,
            tokens: 0.0,
            refilled_at: 0,
            last_retry_at: 0,
            counters: AdmissionCounters::default(),
        }
    }

    /// The current plan.
    pub fn plan(&self) -> AdmissionPlan {
        self.plan
    }

    /// Changes the plan. The bucket keeps its relative fill level; it starts full if there was no rate
    /// before.
    pub fn set_plan(&mut self, now: Micros, plan: AdmissionPlan) {
        self.refill(now);
        let rate_before = self.plan.max_rate.unwrap_or(0.0);
        let fraction = if rate_before > 0.0 { self.tokens / bucket_size(rate_before) } else { 1.0 };
        self.plan = plan;
        self.tokens = fraction.min(1.0) * bucket_size(plan.max_rate.unwrap_or(0.0));
    }

    fn refill(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        if let Some(rate) = self.plan.max_rate {
            self.tokens = (self.tokens + seconds * rate).min(bucket_size(rate));
        }
    }

    /// Decides on a request of a class. A class that is not configured has the lowest priority, and its
    /// requests must not run twice.
    pub fn admit(&mut self, now: Micros, class: Option<usize>) -> Admission {
        let Some(rate) = self.plan.max_rate else {
            self.counters.admitted += 1;
            return Admission::Admit;
        };
        self.refill(now);
        let class = class.and_then(|index| self.classes.get(index)).unwrap_or(&UNKNOWN_CLASS);
        let needed_tokens = 1.0 + class.reserved_fraction * (bucket_size(rate) - 1.0).max(0.0);
        let is_allowed = !class.at_most_once || self.plan.admits_at_most_once;
        if is_allowed && self.tokens >= needed_tokens {
            self.tokens -= 1.0;
            self.counters.admitted += 1;
            return Admission::Admit;
        }
        Admission::Reject(self.next_retry_after(now, rate))
    }

    /// The Retry-After of a rejected client. Rejected clients retry one after the other, at the admission
    /// rate.
    fn next_retry_after(&mut self, now: Micros, rate: f64) -> Option<Micros> {
        if self.max_retry_after == 0 {
            self.counters.rejected_without_retry_after += 1;
            return None;
        }
        self.counters.rejected_with_retry_after += 1;
        let interval = if rate > 0.0 { (MICROS_PER_SECOND / rate) as Micros } else { MIN_RETRY_AFTER };
        let earliest = now + MIN_RETRY_AFTER.min(self.max_retry_after);
        let latest = now + self.max_retry_after;
        let next = self.last_retry_at.max(earliest).saturating_add(interval.min(self.max_retry_after));
        // Past the longest Retry-After the schedule continues from half of it, so that later clients are
        // spread among earlier ones instead of all retrying at the end.
        self.last_retry_at = if next > latest { now + self.max_retry_after / 2 } else { next };
        Some(self.last_retry_at - now)
    }
}

fn class_limits(classes: &[ClassPriority]) -> Vec<ClassLimit> {
    let count_higher_classes = |class: &ClassPriority| {
        classes.iter().filter(|other| other.priority_weight > class.priority_weight).count() as f64
    };
    let max_higher_classes = classes.iter().map(count_higher_classes).fold(0.0, f64::max);
    let reserved_fraction = |class: &ClassPriority| {
        if max_higher_classes > 0.0 {
            MAX_RESERVED_FRACTION * count_higher_classes(class) / max_higher_classes
        } else {
            0.0
        }
    };
    classes
        .iter()
        .map(|class| ClassLimit {
            reserved_fraction: reserved_fraction(class),
            at_most_once: class.at_most_once,
        })
        .collect()
}

fn bucket_size(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}

#[cfg(test)]
mod tests;

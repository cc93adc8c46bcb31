//! What a node has measured about its own traffic and the engines of each role.

use crate::interface::*;

/// What an engine does for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// Read the prompt.
    Read,
    /// Fetch a read state and write the answer.
    Write,
    /// Read the prompt and write the answer.
    ReadAndWrite,
}

impl AttemptKind {
    /// Every kind, in the order of [`Settings::remembered_service_rates`].
    pub(crate) const ALL: [AttemptKind; 3] =
        [AttemptKind::Read, AttemptKind::Write, AttemptKind::ReadAndWrite];

    /// The kind under which the engines of a role are measured as a pool.
    pub(crate) fn of_role(role: Role) -> AttemptKind {
        match role {
            Role::Reader => AttemptKind::Read,
            Role::Writer => AttemptKind::Write,
            Role::Mixed => AttemptKind::ReadAndWrite,
        }
    }

    /// The kind's index in arrays with one entry per kind.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// Measurements of the engines of one role, or of attempts of one kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct Pool {
    /// Moving mean of the time for one unit of work, in microseconds.
    pub(crate) unit_time: f64,
    /// Mean absolute deviation of that time, in microseconds.
    pub(crate) unit_time_deviation: f64,
    /// Moving mean of the tokens that an attempt reads.
    pub(crate) tokens_per_attempt: f64,
    /// The number of attempts measured.
    pub(crate) samples: u32,
    /// Tokens per microsecond of the fastest read so far, decayed: no queue drains faster.
    pub(crate) fastest_tokens_per_us: f64,
    /// Answers that this node got from the pool's warm engines, decayed.
    pub(crate) answers: f64,
    /// The time over which those answers were counted, in seconds, decayed alike.
    pub(crate) observed_s: f64,
    /// The sum over the pool's warm engines, at least one, of the time for which they were observed, in seconds,
    /// decayed alike.
    pub(crate) warm_engine_s: f64,
    /// Answers that this node got from warm engines while demand exceeded capacity, decayed.
    pub(crate) saturated_answers: f64,
    /// The time for which such engines were observed, in seconds, decayed alike.
    pub(crate) saturated_engine_s: f64,
    /// The part of `warm_engine_s` in which the size of the engine was known, in seconds, decayed alike.
    pub(crate) sized_engine_s: f64,
    /// The sum over that part of the engine's size times the time, decayed alike.
    pub(crate) size_s: f64,
    /// The mean size of the listed engines that serve, where any is known.
    pub(crate) listed_mean_size: Option<f64>,
}

/// What is known of the engines of one kind: their sizes, and what the warm ones have answered.
#[derive(Clone, Copy)]
pub(crate) struct KindService {
    /// Answers that this node got from the warm engines, decayed.
    pub(crate) answers: f64,
    /// The sum over the warm engines of the time for which they were observed, in seconds, decayed alike.
    pub(crate) warm_engine_s: f64,
    /// Answers per second of one warm engine, as a multiple of the mean of the role.
    pub(crate) relative_rate: f64,
    /// The least size of the listed engines that serve, where any is known.
    pub(crate) least_size: Option<f64>,
}

impl Default for KindService {
    fn default() -> KindService {
        KindService { answers: 0.0, warm_engine_s: 0.0, relative_rate: 1.0, least_size: None }
    }
}

/// An exponentially weighted mean and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    pub(crate) value: f64,
    pub(crate) updated_at: Micros,
}

impl MovingMean {
    /// Adds a sample with the given weight.
    pub(crate) fn observe(&mut self, now: Micros, sample: f64, weight: f64) {
        self.value += weight * (sample - self.value);
        self.updated_at = now;
    }
}

/// A token bucket that enforces a tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Requests that may be sent now within the quota.
    pub(crate) tokens: f64,
    /// When the bucket was last refilled.
    pub(crate) refilled_at: Micros,
}

/// What a node has measured about itself, and the state of its timers.
#[derive(Default)]
pub(crate) struct NodeMeasurements {
    /// The serial number of the last attempt sent.
    pub(crate) last_serial: u64,
    /// Whether the timer for pending requests is set.
    pub(crate) dispatch_timer_set: bool,
    /// Whether the timer for periodic maintenance is set.
    pub(crate) maintenance_timer_set: bool,
    /// Whether discovery has answered the subscription.
    pub(crate) subscribed: bool,
    /// When discovery was last polled.
    pub(crate) polled_at: Micros,
    /// When the service rates were last updated.
    pub(crate) service_rates_updated_at: Micros,
    /// When a request was last sent for the first time.
    pub(crate) last_start_at: Micros,
    /// When the in-flight limit was last adjusted.
    pub(crate) limit_adjusted_at: Micros,
    /// Requests that arrived lately, decayed.
    pub(crate) arrivals: f64,
    /// Those of them that have a shared prefix, decayed.
    pub(crate) shared_prefix_arrivals: f64,
    /// Prompts that engines have read lately, decayed.
    pub(crate) reads_answered: f64,
    /// Requests that were given up or abandoned lately, decayed.
    pub(crate) unserved_requests: f64,
    /// Requests that were sent for the first time lately, decayed.
    pub(crate) started_requests: f64,
    /// Requests that arrived in the last seconds, decayed faster.
    pub(crate) recent_arrivals: f64,
    /// Pending requests at the last dispatch, without the one that is dispatched.
    pub(crate) other_pending_requests: usize,
    /// Engines that could be sent prompts at the last dispatch.
    pub(crate) usable_readers: usize,
    /// Engines that could be sent read states at the last dispatch.
    pub(crate) usable_writers: usize,
    /// The limit of requests in flight that have no first token yet.
    pub(crate) in_flight_limit: f64,
    /// Health checks that may be sent, earned by this node's own requests.
    pub(crate) health_check_budget: f64,
    /// Usual wait for a first token when the state stays in its rack, in microseconds.
    pub(crate) same_rack_wait: MovingMean,
    /// Usual wait for a first token when the state leaves its rack, in microseconds.
    pub(crate) other_rack_wait: MovingMean,
    /// Usual time from the first send to the first token, in microseconds.
    pub(crate) time_to_first_token: f64,
}

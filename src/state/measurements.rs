//! What a node has measured of its own traffic and of the engines of each role.

use crate::interface::*;

/// What an attempt asks of its engine.
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

    /// The kind by which engines of a role are measured as a pool.
    pub(crate) fn of_role(role: Role) -> AttemptKind {
        match role {
            Role::Reader => AttemptKind::Read,
            Role::Writer => AttemptKind::Write,
            Role::Mixed => AttemptKind::ReadAndWrite,
        }
    }

    /// The kind's position in arrays that have one entry for each kind.
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// What was measured of the engines of one role, or of attempts of one kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct Pool {
    /// Usual time of one unit of work, in microseconds.
    pub(crate) unit_time: f64,
    /// Mean absolute deviation of that time.
    pub(crate) unit_time_deviation: f64,
    /// Usual tokens of an attempt.
    pub(crate) tokens_per_attempt: f64,
    /// How many attempts were measured.
    pub(crate) samples: u32,
    /// Tokens a microsecond of the fastest read seen: no queue drains faster.
    pub(crate) fastest_tokens_per_us: f64,
    /// What the pool's warm engines have answered this node lately.
    pub(crate) answers: f64,
    /// Over how many seconds those answers were counted.
    pub(crate) observed_s: f64,
    /// How many warm engines the pool has.
    pub(crate) warm_engines: f64,
}

/// An exponentially weighted mean and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    pub(crate) value: f64,
    pub(crate) updated_at: Micros,
}

impl MovingMean {
    /// Moves the mean towards a sample by the given weight.
    pub(crate) fn observe(&mut self, now: Micros, sample: f64, weight: f64) {
        self.value += weight * (sample - self.value);
        self.updated_at = now;
    }
}

/// What a tenant may still send within its quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Requests that may still be sent.
    pub(crate) tokens: f64,
    /// When the bucket was last refilled.
    pub(crate) refilled_at: Micros,
}

/// What a node has measured of itself.
#[derive(Default)]
pub(crate) struct NodeMeasurements {
    /// The serial number of the last attempt that was sent.
    pub(crate) last_serial: u64,
    /// The timer for pending requests is set.
    pub(crate) dispatch_timer_set: bool,
    /// The timer for periodic maintenance is set.
    pub(crate) maintenance_timer_set: bool,
    /// Discovery has answered the subscription.
    pub(crate) subscribed: bool,
    /// When discovery was last asked.
    pub(crate) polled_at: Micros,
    /// When the service rates were last updated.
    pub(crate) service_rates_updated_at: Micros,
    /// When the last request was started.
    pub(crate) last_start_at: Micros,
    /// When the in-flight limit was last adjusted.
    pub(crate) limit_adjusted_at: Micros,
    /// Requests that arrived lately.
    pub(crate) arrivals: f64,
    /// Those of them that have a shared prefix.
    pub(crate) shared_prefix_arrivals: f64,
    /// How many requests may be started and still without their first token.
    pub(crate) in_flight_limit: f64,
    /// Health checks that own traffic has paid for.
    pub(crate) health_check_budget: f64,
    /// Usual wait for a first token when the state stays in its rack, in microseconds.
    pub(crate) same_rack_wait: MovingMean,
    /// Usual wait for a first token when the state leaves its rack, in microseconds.
    pub(crate) other_rack_wait: MovingMean,
    /// Usual time from the first send to the first token, in microseconds.
    pub(crate) time_to_first_token: f64,
}

//! The allocation of one limit at a node: its lease, its use and its demand.

use std::f64::consts::LN_2;

use crate::limit::{Enforcement, Limit, LimitId, LimitKind, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::{Micros, MICROS_PER_SECOND};

/// The half-life of the exponential average of demand.
const DEMAND_HALF_LIFE_US: f64 = 5e5;
/// A holder requests this multiple of its current demand, so that a rise of demand finds capacity.
const HEADROOM_FACTOR: f64 = 1.25;
/// Demand below this fraction of the limit, or of one unit if the limit is greater, counts as none.
const NEGLIGIBLE_DEMAND: f64 = 1e-3;
/// The request interval is divided by this number after a rejection or after an amount was returned.
const URGENT_REQUEST_FACTOR: u64 = 5;
/// Tolerance for rounding errors in comparisons of amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The latest request for an allocation.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: u32,
    sent_at: Micros,
    /// The leased amount at that time.
    held: f32,
}

/// The state of one limit at a node.
#[derive(Clone, Debug)]
pub(super) struct HeldAllocation {
    pub(super) limit: Limit,
    /// The amount held under the lease, without the floor.
    leased_amount: f32,
    /// The smaller amount that the granter has granted since. A rate is reduced once its debt is paid, a
    /// concurrency limit as its use decreases.
    reduce_to: Option<f32>,
    /// When the lease ends, on this node's clock.
    pub(super) lease_end: Micros,
    /// When the request for the latest grant was sent.
    pub(super) granted_at: Option<Micros>,
    /// Rate: the tokens left, negative if there is a debt. Concurrency: the amount in use.
    pub(super) tokens_or_in_use: f64,
    /// The time up to which `tokens_or_in_use` is accounted for.
    settled_at: Micros,
    /// The average demand for a rate at the time `demand_at`.
    demand: f64,
    demand_at: Micros,
    /// The total cost rejected since the latest request.
    rejected_cost: f64,
    last_request: Option<SentRequest>,
    request_count: u32,
    /// Whether the next request is sent sooner.
    is_urgent: bool,
    pub(super) admitted: u64,
    pub(super) rejected: u64,
}

impl HeldAllocation {
    pub(super) fn new(limit: Limit) -> HeldAllocation {
        HeldAllocation {
            limit,
            leased_amount: 0.0,
            reduce_to: None,
            lease_end: 0,
            granted_at: None,
            tokens_or_in_use: 0.0,
            settled_at: 0,
            demand: 0.0,
            demand_at: 0,
            rejected_cost: 0.0,
            last_request: None,
            request_count: 0,
            is_urgent: false,
            admitted: 0,
            rejected: 0,
        }
    }

    /// The amount that may be used at this time in addition to the floor.
    pub(super) fn leased(&self, now: Micros, settings: &Settings) -> f64 {
        let leased = f64::from(self.leased_amount);
        if now < self.lease_end {
            return leased;
        }
        match self.limit.enforcement {
            Enforcement::Hard => 0.0,
            Enforcement::Soft => {
                let decayed = (now - self.lease_end) as f64 / settings.soft_decay_duration.max(1) as f64;
                leased * (1.0 - decayed).max(0.0)
            }
        }
    }

    /// The amount that may be used at this time, the floor included.
    pub(super) fn total(&self, now: Micros, settings: &Settings) -> f64 {
        settings.floor(&self.limit) + self.leased(now, settings)
    }

    pub(super) fn has_lease(&self) -> bool {
        self.leased_amount > 0.0
    }

    /// Brings the tokens of a rate up to date, and drops the leased amount if the lease has expired.
    pub(super) fn settle(&mut self, now: Micros, settings: &Settings) {
        if self.settled_at == 0 {
            self.settled_at = now;
        }
        if now > self.settled_at && self.limit.kind == LimitKind::Rate {
            self.refill(now, settings);
        }
        self.settled_at = self.settled_at.max(now);
        let is_expired = match self.limit.enforcement {
            Enforcement::Hard => now >= self.lease_end,
            Enforcement::Soft => now >= self.lease_end + settings.soft_decay_duration,
        };
        if is_expired {
            self.leased_amount = 0.0;
            self.reduce_to = None;
        }
        self.try_reduce(settings);
    }

    /// Adds the tokens for the time since the last settlement. A lease that ended in between counts until
    /// its end.
    fn refill(&mut self, now: Micros, settings: &Settings) {
        let lease_end = self.lease_end.clamp(self.settled_at, now);
        for (from, to) in [(self.settled_at, lease_end), (lease_end, now)] {
            if to <= from {
                continue;
            }
            let rate = self.total((from + to) / 2, settings);
            let capacity = (rate * settings.burst_window as f64 / MICROS_PER_SECOND).max(0.0);
            let refilled = self.tokens_or_in_use + rate * (to - from) as f64 / MICROS_PER_SECOND;
            // Tokens saved under a larger allocation do not outlast it.
            self.tokens_or_in_use = refilled.min(capacity);
        }
    }

    /// Carries out a reduction by the granter, as far as the current use allows.
    fn try_reduce(&mut self, settings: &Settings) {
        let Some(target) = self.reduce_to else { return };
        let floor = settings.floor(&self.limit);
        match self.limit.kind {
            // The debt is paid first: otherwise the next holder could use the tokens that this holder has
            // already used in advance.
            LimitKind::Rate if self.tokens_or_in_use < 0.0 => {}
            LimitKind::Rate => {
                let capacity = (floor + f64::from(target)) * settings.burst_window as f64 / MICROS_PER_SECOND;
                self.leased_amount = target;
                self.reduce_to = None;
                self.tokens_or_in_use = self.tokens_or_in_use.min(capacity);
                // Other holders may be waiting for this amount, so the granter is notified soon.
                self.is_urgent = true;
            }
            LimitKind::Concurrency => {
                let needed = (self.tokens_or_in_use - floor).max(0.0) as f32;
                self.leased_amount = self.leased_amount.min(target.max(needed));
                if self.leased_amount <= target {
                    self.reduce_to = None;
                }
            }
        }
    }

    /// Whether a request of this cost may start. A rate may go into debt by the cost of one request.
    pub(super) fn has_capacity(&self, now: Micros, cost: f64, settings: &Settings) -> bool {
        match self.limit.kind {
            LimitKind::Rate => self.tokens_or_in_use > 0.0,
            LimitKind::Concurrency => {
                self.tokens_or_in_use + cost <= self.total(now, settings) + ROUNDING_TOLERANCE
            }
        }
    }

    /// The time until a rate has paid its debt; `None` if it is not known.
    pub(super) fn wait_for_tokens(&self, now: Micros, settings: &Settings) -> Option<Micros> {
        let rate = self.total(now, settings);
        if self.limit.kind == LimitKind::Concurrency || rate <= 0.0 {
            return None;
        }
        let missing = -self.tokens_or_in_use + ROUNDING_TOLERANCE;
        Some((missing / rate * MICROS_PER_SECOND) as Micros)
    }

    pub(super) fn record_rejection(&mut self, cost: f64) {
        self.rejected += 1;
        self.rejected_cost += cost;
        self.is_urgent = true;
    }

    pub(super) fn consume(&mut self, cost: f64) {
        self.admitted += 1;
        match self.limit.kind {
            LimitKind::Rate => self.tokens_or_in_use -= cost,
            LimitKind::Concurrency => self.tokens_or_in_use += cost,
        }
    }

    /// Counts the end of a request under a concurrency limit.
    pub(super) fn release(&mut self, cost: f64) {
        self.tokens_or_in_use = (self.tokens_or_in_use - cost).max(0.0);
    }

    /// Counts the demand for a rate, whether or not it is admitted.
    pub(super) fn record_demand(&mut self, now: Micros, cost: f64) {
        if self.limit.kind == LimitKind::Rate {
            let half_life_s = DEMAND_HALF_LIFE_US / MICROS_PER_SECOND;
            self.demand = self.average_demand(now) + cost * LN_2 / half_life_s;
            self.demand_at = now;
        }
    }

    fn average_demand(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.demand_at) as f64;
        self.demand * 0.5f64.powf(age / DEMAND_HALF_LIFE_US)
    }

    /// The amount that could be used in addition to the floor.
    pub(super) fn wanted(&self, now: Micros, settings: &Settings) -> f64 {
        let demand = match self.limit.kind {
            LimitKind::Rate => self.average_demand(now),
            LimitKind::Concurrency => self.tokens_or_in_use + self.rejected_cost,
        };
        if demand < NEGLIGIBLE_DEMAND * self.limit.amount.min(1.0) {
            return 0.0;
        }
        let wanted = match self.limit.kind {
            LimitKind::Rate => demand * HEADROOM_FACTOR,
            LimitKind::Concurrency => (demand * HEADROOM_FACTOR).ceil(),
        };
        (wanted - settings.floor(&self.limit)).clamp(0.0, self.limit.amount)
    }

    pub(super) fn is_request_due(&self, now: Micros, settings: &Settings) -> bool {
        let interval = if self.is_urgent {
            settings.lease_request_interval / URGENT_REQUEST_FACTOR
        } else {
            settings.lease_request_interval
        };
        self.last_request.is_none_or(|request| now >= request.sent_at + interval)
    }

    /// Creates the next request. From then on a grant for an earlier request is void.
    pub(super) fn next_request(&mut self, now: Micros, limit: LimitId, wanted: f64) -> LeaseRequest {
        self.is_urgent = false;
        self.rejected_cost = 0.0;
        self.request_count += 1;
        let (number, held) = (self.request_count, self.leased_amount);
        self.last_request = Some(SentRequest { number, sent_at: now, held });
        LeaseRequest { limit, number, held, wanted: wanted as f32 }
    }

    pub(super) fn apply_grant(&mut self, now: Micros, grant: &LeaseGrant, settings: &Settings) {
        // Guards against a grant for a request that was followed by another one: the granter no longer
        // takes that grant into account.
        let Some(request) = self.last_request.filter(|request| request.number == grant.number) else {
            return;
        };
        let is_duplicate = self.granted_at == Some(request.sent_at);
        if !is_valid_amount(grant.granted.into()) || !is_valid_amount(grant.limit_amount) || is_duplicate {
            return;
        }
        self.settle(now, settings);
        // Guards against a grant that includes an amount that expired while the grant was in flight: that
        // amount may already have been granted to another holder.
        if self.leased_amount < request.held {
            return;
        }
        self.limit.amount = grant.limit_amount;
        self.granted_at = Some(request.sent_at);
        self.lease_end = request.sent_at + settings.lease_duration;
        if grant.granted >= self.leased_amount {
            self.leased_amount = grant.granted;
            self.reduce_to = None;
        } else {
            self.reduce_to = Some(grant.granted);
        }
        self.try_reduce(settings);
    }
}

fn is_valid_amount(amount: f64) -> bool {
    amount.is_finite() && amount >= 0.0
}

//! Admission by quotas of the whole fleet: computes the cost of requests and requests leases.

use pintally::interface::Micros;
use pintally_config::{NodeSettings, QuotaSettings, QuotaUnit};
use pintally_quota::{Admission, LeaseGrant, LeaseRequest, LimitId, LimitStatus, QuotaHolder};

use crate::input::IncomingRequest;

/// The node checks this many times within a request interval whether a lease request is due.
const CHECKS_PER_REQUEST_INTERVAL: Micros = 5;
/// The shortest time between two checks.
const MIN_CHECK_INTERVAL: Micros = 1_000;

/// A limit and the unit that it counts.
type CountedLimit = (LimitId, QuotaUnit);

/// The amount that a request consumes of one limit.
struct LimitCost {
    limit: LimitId,
    counts: QuotaUnit,
    cost: f64,
}

/// The amounts that a request consumes of the limits that apply to it.
#[derive(Default)]
pub(crate) struct QuotaCharge(Vec<LimitCost>);

/// Which limits apply to which requests.
struct QuotaRules {
    all_tenants: Vec<CountedLimit>,
    by_tenant: Vec<Vec<CountedLimit>>,
}

impl QuotaRules {
    fn new(settings: &NodeSettings, quotas: &QuotaSettings) -> QuotaRules {
        let tenants = &settings.core.tenants;
        let mut rules = QuotaRules { all_tenants: Vec::new(), by_tenant: vec![Vec::new(); tenants.len()] };
        for limit in &quotas.limits {
            let counted = (limit.id(), limit.unit);
            let tenant = limit.tenant.as_ref().and_then(|name| tenants.iter().position(|t| t.name == *name));
            match tenant {
                Some(tenant) => rules.by_tenant[tenant].push(counted),
                None => rules.all_tenants.push(counted),
            }
        }
        rules
    }

    /// The limits that apply to a tenant's requests.
    fn for_tenant(&self, tenant: Option<usize>) -> impl Iterator<Item = CountedLimit> + '_ {
        let of_tenant = tenant.and_then(|tenant| self.by_tenant.get(tenant)).into_iter().flatten();
        self.all_tenants.iter().chain(of_tenant).copied()
    }

    /// The limits of retries that apply to a tenant's requests.
    fn retry_limits(&self, tenant: Option<usize>) -> impl Iterator<Item = LimitId> + '_ {
        let limits = self.for_tenant(tenant).filter(|(_, counts)| *counts == QuotaUnit::Retries);
        limits.map(|(limit, _)| limit)
    }
}

/// The node's leases and the rules by which requests consume them.
pub(crate) struct QuotaAdmission {
    holder: QuotaHolder,
    check_interval: Micros,
    rules: QuotaRules,
}

impl QuotaAdmission {
    /// Admission by these quotas, with no lease yet.
    pub(crate) fn new(settings: &NodeSettings, quotas: &QuotaSettings) -> QuotaAdmission {
        let limits = quotas.limits.iter().map(|limit| (limit.id(), limit.name.clone(), limit.limit()));
        let request_interval = quotas.allocation.lease_request_interval;
        QuotaAdmission {
            holder: QuotaHolder::new(quotas.allocation, limits),
            check_interval: (request_interval / CHECKS_PER_REQUEST_INTERVAL).max(MIN_CHECK_INTERVAL),
            rules: QuotaRules::new(settings, quotas),
        }
    }

    /// The time between two checks whether a lease request is due.
    pub(crate) fn check_interval(&self) -> Micros {
        self.check_interval
    }

    /// The state of each limit on this node.
    pub(crate) fn status(&self, now: Micros) -> Vec<LimitStatus> {
        self.holder.status(now)
    }

    /// Checks that all limits have capacity for a request, and returns what it will consume once it is admitted.
    ///
    /// # Errors
    ///
    /// The time after which the request may be repeated, if a limit has no capacity for it.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        arrival: &IncomingRequest,
        max_tokens: u64,
    ) -> Result<QuotaCharge, Micros> {
        let cost_of = |counts| match counts {
            QuotaUnit::Requests | QuotaUnit::Streams => Some(1.0),
            QuotaUnit::Tokens => Some((arrival.prompt_tokens + max_tokens) as f64),
            QuotaUnit::Retries => None,
        };
        let limits = self.rules.for_tenant(arrival.tenant);
        let costs: Vec<LimitCost> = limits
            .filter_map(|(limit, counts)| Some(LimitCost { limit, counts, cost: cost_of(counts)? }))
            .collect();
        let mut retry_after = None;
        for LimitCost { limit, cost, .. } in &costs {
            if let Admission::Reject(after) = self.holder.admit(now, *limit, *cost) {
                retry_after = retry_after.max(Some(after));
            }
        }
        match retry_after {
            Some(after) => Err(after),
            None => Ok(QuotaCharge(costs)),
        }
    }

    /// Consumes the charge of an admitted request. Returns those of its limits that count concurrent requests and
    /// have to be released when the request ends.
    pub(crate) fn consume(&mut self, now: Micros, charge: &QuotaCharge) -> Vec<LimitId> {
        for LimitCost { limit, cost, .. } in &charge.0 {
            self.holder.consume(now, *limit, *cost);
        }
        charge.0.iter().filter(|c| c.counts == QuotaUnit::Streams).map(|c| c.limit).collect()
    }

    /// Releases the limits of concurrent requests that a request has consumed.
    pub(crate) fn release(&mut self, now: Micros, limits: &[LimitId]) {
        for limit in limits {
            self.holder.release(now, *limit, 1.0);
        }
    }

    /// Whether a request may be retried after a failed attempt; if so, the retry is consumed.
    pub(crate) fn admit_retry(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let QuotaAdmission { holder, rules, .. } = self;
        let is_admitted =
            rules.retry_limits(tenant).all(|limit| holder.admit(now, limit, 1.0) == Admission::Admit);
        if is_admitted {
            rules.retry_limits(tenant).for_each(|limit| holder.consume(now, limit, 1.0));
        }
        is_admitted
    }

    /// Applies the answers of the lease granter.
    pub(crate) fn apply_grants(&mut self, now: Micros, grants: &[LeaseGrant]) {
        for grant in grants {
            self.holder.apply_grant(now, grant);
        }
    }

    /// The lease requests that are due.
    pub(crate) fn lease_requests(&mut self, now: Micros) -> Vec<LeaseRequest> {
        self.holder.lease_requests(now)
    }
}

//! The host's part in limits of the whole fleet: what a request counts for, and what is asked for.

use pintally::interface::Micros;
use pintally_config::{Counts, NodeSettings, QuotaSettings};
use pintally_quota::{Admission, LeaseGrant, LeaseRequest, LimitId, LimitStatus, QuotaHolder};

use crate::host::Host;
use crate::input::{Command, IncomingRequest};
use crate::timers::TimerEvent;

/// How often, within the time between two asks, it is looked whether one is due.
const LOOKS: Micros = 5;

/// A node's shares, and the rules by which they are used.
pub(crate) struct Limiting {
    pub(crate) holder: QuotaHolder,
    every: Micros,
    rules: Rules,
}

/// Which limits count for whom.
struct Rules {
    all: Vec<(LimitId, Counts)>,
    tenants: Vec<Vec<(LimitId, Counts)>>,
}

impl Rules {
    /// The limits that count for a tenant's requests.
    fn of(&self, tenant: Option<usize>) -> impl Iterator<Item = (LimitId, Counts)> + '_ {
        let own = tenant.and_then(|t| self.tenants.get(t)).into_iter().flatten();
        self.all.iter().chain(own).copied()
    }
}

impl Limiting {
    fn new(settings: &NodeSettings, limits: &QuotaSettings) -> Limiting {
        let tenants = &settings.core.tenants;
        let mut limiting = Limiting {
            holder: QuotaHolder::new(
                limits.allocation,
                limits.limits.iter().map(|l| (l.id(), l.name.clone(), l.limit())),
            ),
            every: (limits.allocation.request_interval / LOOKS).max(1_000),
            rules: Rules { all: Vec::new(), tenants: vec![Vec::new(); tenants.len()] },
        };
        for limit in &limits.limits {
            let counts = (limit.id(), limit.counts);
            match limit.tenant.as_ref().and_then(|t| tenants.iter().position(|k| k.name == *t)) {
                Some(tenant) => limiting.rules.tenants[tenant].push(counts),
                None => limiting.rules.all.push(counts),
            }
        }
        limiting
    }
}

/// What a request takes of each limit that counts for it.
pub(crate) type Costs = Vec<(LimitId, Counts, f64)>;

impl Host {
    /// The same host under limits of the whole fleet, if the settings hold any.
    pub fn with_limits(mut self, now: Micros) -> Host {
        if let Some(limits) = &self.settings.quotas {
            let limiting = Limiting::new(&self.settings, limits);
            self.timers.set(now + limiting.every, TimerEvent::QuotaRequest);
            self.limiting = Some(limiting);
        }
        self
    }

    /// How each limit stands here.
    pub fn limits_status(&self, now: Micros) -> Option<Vec<LimitStatus>> {
        self.limiting.as_ref().map(|l| l.holder.status(now))
    }

    /// What a request costs, or, if a limit has no room for it, when it may come again.
    pub(crate) fn costs(
        &mut self,
        now: Micros,
        arrival: &IncomingRequest,
        max: u64,
    ) -> Result<Costs, Option<Micros>> {
        let Some(limiting) = &mut self.limiting else { return Ok(Vec::new()) };
        let cost = |counts| match counts {
            Counts::Requests | Counts::Streams => Some(1.0),
            Counts::Tokens => Some((arrival.prompt_tokens + max) as f64),
            Counts::Retries => None,
        };
        let costs: Costs =
            limiting.rules.of(arrival.tenant).filter_map(|(id, c)| Some((id, c, cost(c)?))).collect();
        let mut wait = None;
        for (id, _, cost) in &costs {
            if let Admission::Reject(after) = limiting.holder.admit(now, *id, *cost) {
                wait = wait.max(Some(after));
            }
        }
        let Some(after) = wait else { return Ok(costs) };
        let core = &self.settings.core;
        // Spread a little, so that those turned away together do not come back together.
        let after = after + arrival.ticket.wrapping_mul(0x9e37_79b9) % (after / 4 + 1);
        let told = core.clients_honour_retry_after && core.max_retry_after > 0;
        Err(told.then(|| after.min(core.max_retry_after)))
    }

    /// A request has come in: it counts from here on. What it holds at once is given back at its end.
    pub(crate) fn charge(&mut self, now: Micros, costs: &Costs) -> Vec<LimitId> {
        let Some(limiting) = &mut self.limiting else { return Vec::new() };
        costs.iter().for_each(|(id, _, cost)| limiting.holder.consume(now, *id, *cost));
        costs.iter().filter(|(_, counts, _)| *counts == Counts::Streams).map(|(id, ..)| *id).collect()
    }

    /// A request is over.
    pub(crate) fn give_back(&mut self, now: Micros, held: &[LimitId]) {
        if let Some(limiting) = &mut self.limiting {
            held.iter().for_each(|id| limiting.holder.release(now, *id, 1.0));
        }
    }

    /// Whether an attempt after one that failed may be made; it counts if so.
    pub(crate) fn may_retry(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let Some(limiting) = &mut self.limiting else { return true };
        let Limiting { holder, rules, .. } = limiting;
        let retries = || rules.of(tenant).filter(|(_, c)| *c == Counts::Retries).map(|(id, _)| id);
        let free = retries().all(|id| holder.admit(now, id, 1.0) == Admission::Admit);
        if free {
            retries().for_each(|id| holder.consume(now, id, 1.0));
        }
        free
    }

    /// The lender has answered.
    pub(crate) fn granted(&mut self, now: Micros, grants: &[LeaseGrant]) {
        if let Some(limiting) = &mut self.limiting {
            grants.iter().for_each(|grant| limiting.holder.apply_grant(now, grant));
        }
    }

    pub(crate) fn shares_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        let Some(limiting) = &mut self.limiting else { return };
        let asks: Vec<LeaseRequest> = limiting.holder.lease_requests(now);
        if !asks.is_empty() {
            out.push(Command::RequestQuota(asks));
        }
        let at = now + limiting.every;
        self.timers.set(at, TimerEvent::QuotaRequest);
    }
}

//! Outcome of each request of a run: when it was sent, when its answer began, and its weight.

use std::collections::{BTreeMap, BTreeSet};

use pintally_audit::{Answer, AuditEvent, Record};

use crate::spec::Scenario;

/// One attempt of a request as its client saw it.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct RequestRecord {
    pub node: String,
    pub tenant: Option<String>,
    pub sent_at_us: u64,
    pub latency_objective_us: u64,
    pub priority_weight: f64,
    pub first_token_at_us: Option<u64>,
    pub served: bool,
    /// A retry, which is not counted as a new request.
    is_retry: bool,
}

impl RequestRecord {
    /// Whether the request belongs to one of `tenants`.
    pub fn is_of_any(&self, tenants: &BTreeSet<String>) -> bool {
        self.tenant.as_ref().is_some_and(|t| tenants.contains(t))
    }

    /// Whether it was served and its answer began within the latency objective.
    pub fn in_time(&self) -> bool {
        self.served
            && self.first_token_at_us.is_some_and(|at| at <= self.sent_at_us + self.latency_objective_us)
    }
}

/// The requests of a run, in the order in which they were sent.
pub fn requests(scenario: &Scenario, record: &[Record]) -> Vec<RequestRecord> {
    let mut all: BTreeMap<&str, RequestRecord> = BTreeMap::new();
    for r in record {
        match &r.event {
            AuditEvent::RequestSent { request, node, class, tenant, .. } => {
                let Some(class) = scenario.settings.core.classes.iter().find(|c| c.name == *class) else {
                    continue;
                };
                let one = RequestRecord {
                    node: node.clone(),
                    tenant: tenant.clone(),
                    sent_at_us: r.at,
                    latency_objective_us: class.latency_objective,
                    priority_weight: class.priority_weight,
                    first_token_at_us: None,
                    served: false,
                    is_retry: request.contains('~'),
                };
                all.insert(request, one);
            }
            AuditEvent::FirstChunk { request } => {
                if let Some(one) = all.get_mut(request.as_str()) {
                    one.first_token_at_us = Some(r.at);
                }
            }
            AuditEvent::Answered { request, answer } => {
                if let Some(one) = all.get_mut(request.as_str()) {
                    one.served = *answer == Answer::Served;
                    one.first_token_at_us = one.first_token_at_us.or(Some(r.at));
                }
            }
            _ => {}
        }
    }
    let mut all: Vec<RequestRecord> = all.into_values().collect();
    all.sort_by_key(|o| o.sent_at_us);
    all
}

/// Share of the requested weight that was served in time. Retries add to the served weight only.
pub fn timely_value_share<'a>(requests: impl Iterator<Item = &'a RequestRecord>) -> f64 {
    let (mut requested, mut timely) = (0.0, 0.0);
    for one in requests {
        requested += if one.is_retry { 0.0 } else { one.priority_weight };
        timely += if one.in_time() { one.priority_weight } else { 0.0 };
    }
    timely / f64::max(requested, 1e-9)
}

//! What became of each request of a day: when it came, when its answer began, what it was worth.

use std::collections::{BTreeMap, BTreeSet};

use pintally_audit::{Answer, Record, What};

use crate::spec::Day;

/// One request as its client saw it; times in microseconds.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct One {
    pub node: String,
    pub tenant: Option<String>,
    pub at: u64,
    pub aim: u64,
    pub worth: f64,
    pub first: Option<u64>,
    pub served: bool,
    /// It is a try again, which asks for nothing new.
    again: bool,
}

impl One {
    /// Whether it is a request of one of some tenants.
    pub fn of(&self, tenants: &BTreeSet<String>) -> bool {
        self.tenant.as_ref().is_some_and(|t| tenants.contains(t))
    }

    /// Whether it was served and began in time.
    pub fn in_time(&self) -> bool {
        self.served && self.first.is_some_and(|f| f <= self.at + self.aim)
    }
}

/// The requests of a day, in the order in which they came.
pub fn requests(day: &Day, record: &[Record]) -> Vec<One> {
    let mut all: BTreeMap<&str, One> = BTreeMap::new();
    for r in record {
        match &r.what {
            What::Asked { request, node, class, tenant, .. } => {
                let Some(class) = day.settings.core.classes.iter().find(|c| c.name == *class) else {
                    continue;
                };
                let (at, aim, worth, again) =
                    (r.at, class.latency_objective, class.priority_weight, request.contains('~'));
                let (node, tenant) = (node.clone(), tenant.clone());
                let one = One { node, tenant, at, aim, worth, first: None, served: false, again };
                all.insert(request, one);
            }
            What::First { request } => {
                if let Some(one) = all.get_mut(request.as_str()) {
                    one.first = Some(r.at);
                }
            }
            What::Answered { request, answer } => {
                if let Some(one) = all.get_mut(request.as_str()) {
                    one.served = *answer == Answer::Served;
                    one.first = one.first.or(Some(r.at));
                }
            }
            _ => {}
        }
    }
    let mut all: Vec<One> = all.into_values().collect();
    all.sort_by_key(|o| o.at);
    all
}

/// The share of the worth asked that was served in time. A try again is not another request.
pub fn in_time<'a>(requests: impl Iterator<Item = &'a One>) -> f64 {
    let (mut asked, mut good) = (0.0, 0.0);
    for one in requests {
        asked += if one.again { 0.0 } else { one.worth };
        good += if one.in_time() { one.worth } else { 0.0 };
    }
    good / f64::max(asked, 1e-9)
}

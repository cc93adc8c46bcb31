//! The rule that drains are kept: a node sends an engine nothing new once the grace after the notice of its
//! drain is over.

use std::collections::BTreeMap;

use crate::index::Index;
use crate::record::{AuditEvent, ListingState};

pub(crate) fn check(index: &Index) -> Vec<String> {
    // The notifications of each node about each engine, in time order.
    let mut notified: BTreeMap<(&str, &str), Vec<(u64, ListingState)>> = BTreeMap::new();
    for r in index.record {
        if let AuditEvent::EngineListed { node, engine, listing, .. } = &r.event {
            notified.entry((node, engine)).or_default().push((r.at, *listing));
        }
    }
    notified.values_mut().for_each(|t| t.sort_by_key(|(at, _)| *at));
    let grace_us = index.parameters.drain_grace_us;
    let mut found = Vec::new();
    for attempt in &index.attempts {
        let Some(notifications) = notified.get(&(attempt.node, attempt.engine)) else { continue };
        // The first notice that the engine drains or is gone since the node last knew it as serving.
        let mut since = None;
        for (at, listing) in notifications.iter().filter(|(at, _)| *at <= attempt.at) {
            since = match listing {
                ListingState::Serving => None,
                _ => since.or(Some(*at)),
            };
        }
        if let Some(since) = since.filter(|since| {
            let paused_us = index.paused_us(attempt.node, *since, attempt.at);
            attempt.at > since + grace_us + paused_us + index.slack_us(*since, attempt.at)
        }) {
            found.push(format!(
                "{} sent request {} to {} {} ms after it was told of its drain",
                attempt.node,
                attempt.request,
                attempt.engine,
                (attempt.at - since) / 1000
            ));
        }
    }
    found
}

//! Drains are kept: nothing new to an engine later than the grace after a node was notified.

use std::collections::BTreeMap;

use crate::index::Index;
use crate::record::{AuditEvent, ListingState};

pub(crate) fn check(index: &Index) -> Vec<String> {
    // When each node was last notified that an engine takes no work, as of each time.
    let mut notified: BTreeMap<(&str, &str), Vec<(u64, ListingState)>> = BTreeMap::new();
    for r in index.record {
        if let AuditEvent::EngineListed { node, engine, listing, .. } = &r.event {
            notified.entry((node, engine)).or_default().push((r.at, *listing));
        }
    }
    notified.values_mut().for_each(|t| t.sort_by_key(|(at, _)| *at));
    let grace = index.figures.drain_grace_us;
    let mut found = Vec::new();
    for work in &index.works {
        let Some(words) = notified.get(&(work.node, work.engine)) else { continue };
        // The first word against the engine since it last took work, as the node knew it.
        let mut since = None;
        for (at, listing) in words.iter().filter(|(at, _)| *at <= work.at) {
            since = match listing {
                ListingState::Serving => None,
                _ => since.or(Some(*at)),
            };
        }
        if let Some(since) = since.filter(|since| {
            let stood = index.stood(work.node, *since, work.at);
            work.at > since + grace + stood + index.slack(*since, work.at)
        }) {
            found.push(format!(
                "{} sent request {} to {} {} ms after it was told of its drain",
                work.node,
                work.request,
                work.engine,
                (work.at - since) / 1000
            ));
        }
    }
    found
}

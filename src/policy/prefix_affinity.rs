//! Prefix affinity: how much of a prompt an engine is expected to have in its cache.

use super::Router;
use crate::interface::*;
use crate::state::{prefix_keys, CachedPrefix, PrefixKey};

/// Entries of the affinity table decay by half in this time, which is about the time between the requests
/// of a session.
pub(super) const AFFINITY_HALF_LIFE_US: Micros = 30_000_000;

impl Router {
    /// Prompt tokens of a request that an engine is expected to have in its cache, by this node's own
    /// table. At the preferred replica the shared prefix counts too, since one of many other nodes has
    /// probably sent it there: a node's own few sends must not lead it away from the replica that all
    /// others use.
    pub(super) fn expected_cached_tokens(
        &self,
        now: Micros,
        request: &Request,
        index: usize,
        preferred: Option<usize>,
    ) -> f64 {
        let mut cached_tokens = 0.0f64;
        if preferred == Some(index) {
            let shared_tokens = request.prefix.map_or(0.0, |_| request.prefix_tokens as f64);
            cached_tokens = (1.0 - self.visibility()) * shared_tokens;
        }
        for (key, prefix_tokens) in prefix_keys(request) {
            cached_tokens = self.decayed_tokens(now, key, prefix_tokens, index).fold(cached_tokens, f64::max);
        }
        cached_tokens
    }

    /// The tokens of a prefix that an engine has according to the table, decayed by the age of the entry.
    fn decayed_tokens(
        &self,
        now: Micros,
        key: PrefixKey,
        prefix_tokens: u64,
        index: usize,
    ) -> impl Iterator<Item = f64> + '_ {
        let valid_from = self.engines[index].cache_valid_from;
        let holders = self.prefix_affinity.holders(key);
        holders.filter(move |cached| cached.engine == index && cached.seen_at >= valid_from).map(
            move |cached| {
                let age = now.saturating_sub(cached.seen_at) as f64 / AFFINITY_HALF_LIFE_US as f64;
                cached.tokens.min(prefix_tokens) as f64 * 0.5f64.powf(age)
            },
        )
    }

    /// Records that an engine has, or is about to have, the request's prompt in its cache.
    pub(super) fn record_prefixes(&mut self, now: Micros, request: &Request, index: usize) {
        for (key, tokens) in prefix_keys(request) {
            self.prefix_affinity.record(key, CachedPrefix { engine: index, tokens, seen_at: now });
        }
    }
}

//! The prefix affinity table: which engines are known to have which prefixes in their cache.

use std::collections::HashMap;

use super::prune;
use crate::interface::*;

/// The maximum number of engines that are recorded for one prefix.
const MAX_ENGINES_PER_PREFIX: usize = 16;
/// Old prefixes are purged only once the table has more prefixes than this.
const MAX_PREFIXES_BEFORE_PURGE: usize = 20_000;

/// The maximum number of prefixes. Guards against clients that send ever new sessions and prefixes: the least recently
/// seen half is removed.
const MAX_PREFIXES: usize = 28_000;

/// The key of a prefix that a prompt may have in common with earlier prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PrefixKey {
    /// The prompt of a session, which its next request extends.
    Session(u64),
    /// A prefix that several sessions share.
    Shared(u64),
}

/// Identifies a prompt that a client sends again: retries have the same session and length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PromptKey {
    session: u64,
    prompt_tokens: u64,
}

impl PromptKey {
    pub(crate) fn of(request: &Request) -> PromptKey {
        PromptKey { session: request.session, prompt_tokens: request.prompt_tokens }
    }
}

/// An engine that had a prefix in its cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CachedPrefix {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// How many tokens of the prefix it had.
    pub(crate) tokens: u64,
    /// When it was last known to have them.
    pub(crate) seen_at: Micros,
}

/// The keys of a prompt's prefixes (the whole prompt and the shared prefix), each with its length in tokens.
pub(crate) fn prefix_keys(request: &Request) -> impl Iterator<Item = (PrefixKey, u64)> {
    let session = (PrefixKey::Session(request.session), request.prompt_tokens);
    let shared = request.prefix.map(|prefix| (PrefixKey::Shared(prefix), request.prefix_tokens));
    std::iter::once(session).chain(shared)
}

/// The engines that had each prefix in their cache.
#[derive(Default)]
pub(crate) struct PrefixAffinityTable(HashMap<PrefixKey, Vec<CachedPrefix>>);

impl PrefixAffinityTable {
    /// Records that an engine has a prefix in its cache.
    pub(crate) fn record(&mut self, key: PrefixKey, cached: CachedPrefix) {
        // Most prefixes have one holder.
        let entries = self.0.entry(key).or_insert_with(|| Vec::with_capacity(1));
        entries.retain(|entry| entry.engine != cached.engine);
        entries.push(cached);
        if entries.len() > MAX_ENGINES_PER_PREFIX {
            entries.remove(0);
        }
        prune(&mut self.0, MAX_PREFIXES, |entries| entries.last().map_or(0, |newest| newest.seen_at));
    }

    /// The number of prefixes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The engines that had a prefix in their cache.
    pub(crate) fn holders(&self, key: PrefixKey) -> impl Iterator<Item = &CachedPrefix> {
        self.0.get(&key).into_iter().flatten()
    }

    /// Removes prefixes without an entry after the given time, once the table is large.
    pub(crate) fn purge_before(&mut self, time: Micros) {
        if self.0.len() > MAX_PREFIXES_BEFORE_PURGE {
            self.0.retain(|_, entries| entries.iter().any(|entry| time < entry.seen_at));
        }
    }
}

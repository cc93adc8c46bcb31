//! The prefix affinity table: which engines were seen to hold which prefixes.

use std::collections::HashMap;

use crate::interface::*;

/// The most engines that are recorded for one prefix.
const MAX_ENGINES_PER_PREFIX: usize = 16;
/// The table is only purged of old prefixes once it has more entries than this.
const MAX_PREFIXES_BEFORE_PURGE: usize = 20_000;

/// What a prompt may have in common with earlier prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PrefixKey {
    /// The prompt of a session, which its next request extends.
    Session(u64),
    /// A prefix that several sessions share.
    Shared(u64),
}

/// Recognises a prompt that comes again: retries have the same session and length.
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

/// An engine that was seen to hold a prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CachedPrefix {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// How many tokens of the prefix it held.
    pub(crate) tokens: u64,
    /// When it was seen to hold them.
    pub(crate) seen_at: Micros,
}

/// The prefixes of which a prompt is made up, each with its length in tokens.
pub(crate) fn prefix_keys(request: &Request) -> impl Iterator<Item = (PrefixKey, u64)> {
    let session = (PrefixKey::Session(request.session), request.prompt_tokens);
    let shared = request.prefix.map(|prefix| (PrefixKey::Shared(prefix), request.prefix_tokens));
    std::iter::once(session).chain(shared)
}

/// Which engines were seen to hold which prefixes.
#[derive(Default)]
pub(crate) struct PrefixAffinityTable(HashMap<PrefixKey, Vec<CachedPrefix>>);

impl PrefixAffinityTable {
    /// Records that an engine holds a prefix.
    pub(crate) fn record(&mut self, key: PrefixKey, cached: CachedPrefix) {
        let entries = self.0.entry(key).or_default();
        entries.retain(|entry| entry.engine != cached.engine);
        entries.push(cached);
        if entries.len() > MAX_ENGINES_PER_PREFIX {
            entries.remove(0);
        }
    }

    /// The engines that were seen to hold a prefix.
    pub(crate) fn holders(&self, key: PrefixKey) -> impl Iterator<Item = &CachedPrefix> {
        self.0.get(&key).into_iter().flatten()
    }

    /// Removes prefixes that were last seen before that time, once the table is large.
    pub(crate) fn purge_before(&mut self, time: Micros) {
        if self.0.len() > MAX_PREFIXES_BEFORE_PURGE {
            self.0.retain(|_, entries| entries.iter().any(|entry| time < entry.seen_at));
        }
    }
}

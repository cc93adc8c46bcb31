//! Connections to engines that are not in use, newest last, and how long they may be kept.

use std::collections::HashMap;
use std::net::SocketAddr;

use pintally::interface::Micros;

use crate::conn::Key;

/// A connection is kept for so long whatever has been seen.
const MIN_IDLE_LIMIT: Micros = 10_000;
/// A connection that has just brought an answer is not used again before this time is over. Guards against a
/// second answer that its engine sends some milliseconds after the first: it would be taken for the answer
/// to the next request, which nothing in an answer could tell apart.
pub(crate) const SETTLE: Micros = 30_000;
/// What has been seen holds for so long; then connections are kept for twice as long again.
const HOLDS: Micros = 8_000_000;

/// For how long connections may be kept. Guards against engines, or a network before them, that end
/// idle connections far earlier than the settings say, with and without word: what is written to one
/// of those ends as a reset that may have run. A new connection costs little beside that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Keep {
    most: Micros,
    now: Micros,
    seen_at: Micros,
}

impl Keep {
    /// As long as the settings say.
    pub(crate) fn new(most: Micros) -> Keep {
        Keep { most, now: most, seen_at: 0 }
    }

    /// A connection was ended by its engine's side when it had been idle for so long.
    pub(crate) fn ended(&mut self, at: Micros, idle: Micros) {
        let limit = self.limit(at);
        self.now = limit.min((idle / 2).max(MIN_IDLE_LIMIT));
        self.seen_at = at;
    }

    /// How long a connection may have been idle to be used again.
    pub(crate) fn limit(&self, at: Micros) -> Micros {
        let times = at.saturating_sub(self.seen_at) / HOLDS;
        self.now.saturating_mul(1 << times.min(20)).min(self.most)
    }
}

/// Idle connections by the address they lead to.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

/// An idle connection, and since when.
struct Idle {
    key: Key,
    since: Micros,
}

impl Pool {
    /// A connection is not in use any more.
    pub(crate) fn put(&mut self, now: Micros, address: SocketAddr, key: Key) {
        self.idle.entry(address).or_default().push(Idle { key, since: now });
    }

    /// Takes out the one that was used last, of those that have settled: older ones are nearer to being
    /// closed.
    pub(crate) fn take(&mut self, now: Micros, address: SocketAddr) -> Option<Key> {
        let all = self.idle.get_mut(&address)?;
        let settled = all.iter().rposition(|idle| now >= idle.since.saturating_add(SETTLE))?;
        let key = all.remove(settled).key;
        if all.is_empty() {
            self.idle.remove(&address);
        }
        Some(key)
    }

    /// A connection has gone.
    pub(crate) fn remove(&mut self, address: SocketAddr, key: Key) {
        if let Some(all) = self.idle.get_mut(&address) {
            all.retain(|idle| idle.key != key);
            if all.is_empty() {
                self.idle.remove(&address);
            }
        }
    }

    /// The longest unused one of the address that has most of them.
    pub(crate) fn spare(&self) -> Option<Key> {
        let most = self.idle.iter().max_by_key(|(address, all)| (all.len(), **address))?;
        most.1.first().map(|idle| idle.key)
    }

    /// Addresses and connections, for a sweep.
    pub(crate) fn all(&self) -> impl Iterator<Item = (SocketAddr, Key)> + '_ {
        self.idle.iter().flat_map(|(a, all)| all.iter().map(|idle| (*a, idle.key)))
    }
}

#[cfg(test)]
mod tests;

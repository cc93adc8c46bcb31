//! Idle engine connections, and how long they may be reused.

use std::collections::HashMap;
use std::net::SocketAddr;

use pintally::interface::Micros;

use crate::connection::ConnectionKey;

/// Idle connections may be reused for at least this time.
const MIN_IDLE_LIMIT: Micros = 10_000;
/// A connection is not reused within this time of a response. Guards against a second response that its engine
/// sends some milliseconds after the first: it would be taken for the response to the next request, which nothing
/// in a response could tell apart.
const SETTLE_TIME: Micros = 30_000;
/// The limit doubles in each such interval after an early close.
const LIMIT_DOUBLING_INTERVAL: Micros = 8_000_000;
/// Keeps the doubling within the integer's range.
const MAX_DOUBLINGS: u64 = 20;

/// How long idle connections may be reused. Guards against engines, or a network before them, that close idle
/// connections far earlier than the settings say, with and without notification: what is written to one of those
/// ends as a reset that may have run. A new connection costs little beside that.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimit {
    max: Micros,
    after_close: Micros,
    closed_at: Micros,
}

impl IdleLimit {
    /// The limit in the settings, until an early close.
    pub(crate) fn new(max: Micros) -> IdleLimit {
        IdleLimit { max, after_close: max, closed_at: 0 }
    }

    /// Lowers the limit: a connection was closed by its engine's side after it had been idle for `idle`.
    pub(crate) fn record_close(&mut self, now: Micros, idle: Micros) {
        let limit = self.at(now);
        self.after_close = limit.min((idle / 2).max(MIN_IDLE_LIMIT));
        self.closed_at = now;
    }

    /// How long a connection may have been idle to be reused at this time.
    pub(crate) fn at(&self, now: Micros) -> Micros {
        let doublings = now.saturating_sub(self.closed_at) / LIMIT_DOUBLING_INTERVAL;
        self.after_close.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(self.max)
    }
}

/// Idle connections by address, the most recently used last.
#[derive(Default)]
pub(crate) struct IdlePool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
}

struct IdleConnection {
    key: ConnectionKey,
    since: Micros,
}

impl IdlePool {
    /// Adds a connection whose work has ended.
    pub(crate) fn put(&mut self, now: Micros, address: SocketAddr, key: ConnectionKey) {
        self.idle.entry(address).or_default().push(IdleConnection { key, since: now });
    }

    /// Takes the most recently used connection that has settled: older ones are closer to being closed by the
    /// engine's side.
    pub(crate) fn take(&mut self, now: Micros, address: SocketAddr) -> Option<ConnectionKey> {
        let idle = self.idle.get_mut(&address)?;
        let settled =
            idle.iter().rposition(|connection| now >= connection.since.saturating_add(SETTLE_TIME))?;
        let key = idle.remove(settled).key;
        if idle.is_empty() {
            self.idle.remove(&address);
        }
        Some(key)
    }

    /// Removes a connection that was closed.
    pub(crate) fn remove(&mut self, address: SocketAddr, key: ConnectionKey) {
        let Some(idle) = self.idle.get_mut(&address) else { return };
        idle.retain(|connection| connection.key != key);
        if idle.is_empty() {
            self.idle.remove(&address);
        }
    }

    /// The oldest connection of the address that has most of them.
    pub(crate) fn least_valuable(&self) -> Option<ConnectionKey> {
        let (_, idle) = self.idle.iter().max_by_key(|(address, idle)| (idle.len(), **address))?;
        idle.first().map(|connection| connection.key)
    }

    /// All connections, with their addresses.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (SocketAddr, ConnectionKey)> + '_ {
        self.idle.iter().flat_map(|(address, idle)| idle.iter().map(|connection| (*address, connection.key)))
    }
}

#[cfg(test)]
mod tests;

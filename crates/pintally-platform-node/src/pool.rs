//! Connections to engines that are not in use, newest last.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::conn::Key;

/// Idle connections by the address they lead to.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<Key>>,
}

impl Pool {
    /// A connection is not in use any more.
    pub(crate) fn put(&mut self, address: SocketAddr, key: Key) {
        self.idle.entry(address).or_default().push(key);
    }

    /// Takes out the one that was used last: older ones are nearer to being closed.
    pub(crate) fn take(&mut self, address: SocketAddr) -> Option<Key> {
        let keys = self.idle.get_mut(&address)?;
        let key = keys.pop();
        if keys.is_empty() {
            self.idle.remove(&address);
        }
        key
    }

    /// A connection has gone.
    pub(crate) fn remove(&mut self, address: SocketAddr, key: Key) {
        if let Some(keys) = self.idle.get_mut(&address) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.idle.remove(&address);
            }
        }
    }

    /// The longest unused one of the address that has most of them.
    pub(crate) fn spare(&self) -> Option<Key> {
        let most = self.idle.iter().max_by_key(|(address, keys)| (keys.len(), **address))?;
        most.1.first().copied()
    }

    /// Addresses and connections, for a sweep.
    pub(crate) fn all(&self) -> impl Iterator<Item = (SocketAddr, Key)> + '_ {
        self.idle.iter().flat_map(|(a, keys)| keys.iter().map(|k| (*a, *k)))
    }
}

//! Names of requests that must not run twice and that may have run: a request that comes again under such a name, after
//! the node has ended the first one, is answered as failed.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use pintally::interface::{Micros, RequestId};

/// A name is remembered for this time, which is longer than any client repeats a request.
const RETENTION: Micros = 120_000_000;
/// Maximum number of names; of more, the oldest are forgotten.
const MAX_NAMES: usize = 16_384;

/// Hashes of names, oldest first. A name of 128 bytes would cost ten times as much as its hash.
#[derive(Default)]
pub(crate) struct ExecutedRequests {
    hashes: HashSet<u64>,
    by_time: VecDeque<(Micros, u64)>,
}

impl ExecutedRequests {
    /// Records the name of a request that may have run.
    pub(crate) fn record(&mut self, now: Micros, id: &RequestId) {
        self.forget_old(now);
        let hash = hash_of(id);
        if self.hashes.insert(hash) {
            self.by_time.push_back((now, hash));
        }
    }

    /// Whether a request of this name may have run.
    pub(crate) fn contains(&self, id: &RequestId) -> bool {
        self.hashes.contains(&hash_of(id))
    }

    fn forget_old(&mut self, now: Micros) {
        let is_old = |(at, _): &mut (Micros, u64)| now >= at.saturating_add(RETENTION);
        while let Some((_, hash)) = self.by_time.pop_front_if(is_old) {
            self.hashes.remove(&hash);
        }
        while self.by_time.len() >= MAX_NAMES {
            let Some((_, hash)) = self.by_time.pop_front() else { return };
            self.hashes.remove(&hash);
        }
    }
}

/// The same in each process, so that the same inputs give the same answers.
fn hash_of(id: &RequestId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

//! Counts by kind, for status pages and for whoever judges a run.

use crate::{CloseReason, Denial};

/// Something that is counted by kind.
pub trait Counted: Copy + Eq + 'static {
    /// All kinds.
    const KINDS: &'static [Self];

    /// The kind's name.
    fn kind_name(self) -> &'static str;
}

impl Counted for Denial {
    const KINDS: &'static [Denial] = &Denial::ALL;

    fn kind_name(self) -> &'static str {
        self.name()
    }
}

impl Counted for CloseReason {
    const KINDS: &'static [CloseReason] = &CloseReason::ALL;

    fn kind_name(self) -> &'static str {
        self.name()
    }
}

/// How often each kind was counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts<K: Counted> {
    counts: Vec<u64>,
    kinds: std::marker::PhantomData<K>,
}

/// How often something was denied.
pub type Denials = Counts<Denial>;

impl<K: Counted> Default for Counts<K> {
    fn default() -> Counts<K> {
        Counts { counts: vec![0; K::KINDS.len()], kinds: std::marker::PhantomData }
    }
}

impl<K: Counted> Counts<K> {
    /// One more of a kind.
    pub fn add(&mut self, kind: K) {
        if let Some(at) = K::KINDS.iter().position(|k| *k == kind) {
            self.counts[at] += 1;
        }
    }

    /// How many of a kind there were.
    pub fn of(&self, kind: K) -> u64 {
        K::KINDS.iter().position(|k| *k == kind).map_or(0, |at| self.counts[at])
    }

    /// How many there were of all kinds.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The kinds that were counted at all, by name.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let all = K::KINDS.iter().zip(&self.counts).map(|(kind, count)| (kind.kind_name(), *count));
        all.filter(|(_, count)| *count > 0)
    }
}

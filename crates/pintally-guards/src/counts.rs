//! Counters by kind, for status documents and the checks of simulated runs.

use crate::{CloseReason, Denial};

/// An enumeration whose variants are counted.
pub trait Counted: Copy + Eq + 'static {
    /// All variants.
    const KINDS: &'static [Self];

    /// The variant's name in status documents.
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

/// A counter for each variant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts<K: Counted> {
    counts: Vec<u64>,
    kinds: std::marker::PhantomData<K>,
}

/// Violations prevented by the guards, by rule.
pub type Denials = Counts<Denial>;

impl<K: Counted> Default for Counts<K> {
    fn default() -> Counts<K> {
        Counts { counts: vec![0; K::KINDS.len()], kinds: std::marker::PhantomData }
    }
}

impl<K: Counted> Counts<K> {
    /// Increments the counter of a kind.
    pub fn add(&mut self, kind: K) {
        if let Some(index) = K::KINDS.iter().position(|k| *k == kind) {
            self.counts[index] += 1;
        }
    }

    /// The count of a kind.
    pub fn of(&self, kind: K) -> u64 {
        K::KINDS.iter().position(|k| *k == kind).map_or(0, |index| self.counts[index])
    }

    /// The sum over all kinds.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Names and counts of the kinds that were counted at least once.
    pub fn by_name(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let all = K::KINDS.iter().zip(&self.counts).map(|(kind, count)| (kind.kind_name(), *count));
        all.filter(|(_, count)| *count > 0)
    }
}

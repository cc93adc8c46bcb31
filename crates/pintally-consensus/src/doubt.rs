//! A keeper after a start does not believe its disk: what it asks, and when it may vote.
//!
//! Guards against a disk that was lost, or came back older, and with it a vote that was given and an
//! entry that was taken. Let `n` be the number of keepers and `m` a majority. Whatever this keeper
//! helped to agree on is held by `m - 1` others, so that any `n - m + 1` of the others hold it among them.

use std::collections::BTreeMap;

use crate::log::Position;
use crate::{Micros, ReplicaName};

/// What another keeper has said since the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Told {
    pub(crate) term: u64,
    pub(crate) last: Position,
    pub(crate) empty: bool,
    pub(crate) keepers: Vec<ReplicaName>,
}

/// What is known while a keeper doubts.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    pub(crate) since: Micros,
    /// The disk showed no harm.
    pub(crate) clean: bool,
    pub(crate) told: BTreeMap<ReplicaName, Told>,
    pub(crate) next_ask: Micros,
}

/// How a doubt ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The fleet's first start: nobody holds anything.
    First,
    /// The latest term that anybody knows, and what must be held by whoever gets the vote.
    Known(u64, Position),
}

/// A majority of so many.
pub(crate) fn majority(of: usize) -> usize {
    of / 2 + 1
}

impl Doubt {
    /// Whether and how it ends. `own` is what the disk had.
    pub(crate) fn end(&self, now: Micros, me: &ReplicaName, own: &Told, patience: Micros) -> Option<End> {
        // Whoever holds most knows best who the keepers are.
        let all = || self.told.values().chain([own]);
        let keepers = &all().max_by_key(|t| (!t.empty, t.last))?.keepers;
        let others: Vec<&ReplicaName> = keepers.iter().filter(|k| *k != me).collect();
        let heard = others.iter().filter(|k| self.told.contains_key(**k)).count();
        let mine = keepers.contains(me);
        if all().all(|t| t.empty) {
            let alike = all().all(|t| t.keepers == *keepers);
            return (mine && alike && heard == others.len()).then_some(End::First);
        }
        let (n, m) = (keepers.len(), majority(keepers.len()));
        let sure = if mine { (n - m + 1).min(others.len()) } else { m };
        // A disk without visible harm is believed in the end, so that one dead keeper and a restart do
        // not leave the fleet without a register.
        let late = self.clean && !own.empty && now >= self.since + patience && heard + 1 >= m;
        (heard >= sure || late).then(|| {
            let term = all().map(|t| t.term).max().unwrap_or(0);
            let last = all().map(|t| t.last).max().unwrap_or_default();
            End::Known(term, last)
        })
    }
}

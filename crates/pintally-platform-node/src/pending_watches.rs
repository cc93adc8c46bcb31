//! Watches that have been opened and have not received a message yet.
//!
//! An unanswered watch is either lost, because it was opened while discovery was down and stays silent, or
//! late, because discovery is slow. The node cannot tell which, so it opens new watches and keeps older ones:
//! the new ones find a discovery that has returned, and the older ones receive late responses.

use pintally::interface::Micros;

/// Maximum number of watches that wait for their first message.
const SLOTS: usize = 5;
const LAST_SLOT: usize = SLOTS - 1;
/// Time for which the watch in the last slot is kept.
const LAST_SLOT_TIMEOUT: Micros = 20_000_000;

/// A watch that waits for its first message.
struct PendingWatch<W> {
    watch: W,
    opened_at: Micros,
}

/// The pending watches, each in a slot.
///
/// Every second watch replaces the one in slot 0, every fourth the one in slot 1 and so on, so that a slot
/// keeps its watch for twice as long as the slot before it. The last slot, into which the first watch goes,
/// keeps its watch for at least [`LAST_SLOT_TIMEOUT`].
pub(crate) struct PendingWatches<W> {
    slots: [Option<PendingWatch<W>>; SLOTS],
    /// The slot of the latest watch.
    latest_slot: usize,
    /// The number of the latest watch; the first one has number 0.
    latest_number: u64,
}

impl<W> Default for PendingWatches<W> {
    fn default() -> PendingWatches<W> {
        PendingWatches { slots: [const { None }; SLOTS], latest_slot: LAST_SLOT, latest_number: 0 }
    }
}

impl<W> PendingWatches<W> {
    /// Adds a watch and returns the one that it replaces. If the latest watch has failed, the new one takes its
    /// number, so that failures do not shorten the time for which the others are kept.
    pub(crate) fn insert(&mut self, now: Micros, watch: W) -> Option<W> {
        if self.slots[self.latest_slot].is_some() {
            self.latest_number += 1;
        }
        self.latest_slot = self.slot(now, self.latest_number);
        let replaced = self.slots[self.latest_slot].replace(PendingWatch { watch, opened_at: now });
        replaced.map(|pending| pending.watch)
    }

    /// The slot of the watch with this number: the number of times that 2 divides it, up to the last slot.
    fn slot(&self, now: Micros, number: u64) -> usize {
        let slot = (number.trailing_zeros() as usize).min(LAST_SLOT);
        let is_kept = |pending: &PendingWatch<W>| now < pending.opened_at.saturating_add(LAST_SLOT_TIMEOUT);
        if slot == LAST_SLOT && self.slots[LAST_SLOT].as_ref().is_some_and(is_kept) {
            return LAST_SLOT - 1;
        }
        slot
    }

    /// Removes the watch that satisfies the condition.
    pub(crate) fn remove(&mut self, condition: impl Fn(&W) -> bool) -> Option<W> {
        let slot = self.slots.iter_mut().find(|slot| slot.as_ref().is_some_and(|p| condition(&p.watch)))?;
        slot.take().map(|pending| pending.watch)
    }

    /// Removes all watches; the next one is the first again.
    pub(crate) fn clear(&mut self) {
        *self = PendingWatches::default();
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &W> {
        self.slots.iter().flatten().map(|pending| &pending.watch)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut W> {
        self.slots.iter_mut().flatten().map(|pending| &mut pending.watch)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.slots.iter().all(Option::is_none)
    }
}

#[cfg(test)]
mod tests;

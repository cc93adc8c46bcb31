//! Bounds of tables whose keys come from clients.

use std::collections::HashMap;
use std::hash::Hash;

/// Removes the entries of lower rank, half of all or more, if a table has more than `max_entries`. Which entries
/// remain does not depend on the order of the table. The cost for each added entry is constant on average.
pub(crate) fn prune<K: Eq + Hash, V>(
    table: &mut HashMap<K, V>,
    max_entries: usize,
    rank: impl Fn(&V) -> u64,
) {
    if table.len() <= max_entries {
        return;
    }
    let mut ranks: Vec<u64> = table.values().map(&rank).collect();
    let middle = ranks.len() / 2;
    let (_, median, _) = ranks.select_nth_unstable(middle);
    let median = *median;
    table.retain(|_, value| rank(value) > median);
}

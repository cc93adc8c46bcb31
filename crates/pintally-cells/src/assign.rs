//! Assignment of tenants and sessions to cells by weighted rendezvous hashing.
//!
//! Each cell draws a number for each name, and the highest win. A cell that is added or removed changes only the
//! names that it wins or had won, which is its fair part and no more. A tenant of several cells takes the highest
//! few, so that two tenants seldom share all of theirs.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::file::CellSpec;
use crate::CellName;

/// A number between 0 and 1 that `place` draws for a name; the same on every node.
pub fn hash_fraction(place: &str, name: u64) -> f64 {
    // One is added so that the logarithm below is never that of zero.
    (xxh3_64_with_seed(place.as_bytes(), name) as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}

/// The number of a name in draws.
pub(crate) fn number(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// At most `count` cells for a name, the best first. Cells of weight 0 are never drawn.
pub fn cells_by_hash(cells: &[CellSpec], name: u64, count: usize) -> Vec<CellName> {
    let mut drawn: Vec<(f64, &CellName)> = cells
        .iter()
        .filter(|cell| cell.weight > 0.0)
        .map(|cell| (cell.weight / -hash_fraction(&cell.name.0, name).ln(), &cell.name))
        .collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    drawn.into_iter().take(count).map(|(_, cell)| cell.clone()).collect()
}

/// The cell among `cells` for a session: all its requests get the same one.
pub(crate) fn pick(cells: &[CellName], session: u64) -> Option<CellName> {
    let mut best: Option<(f64, &CellName)> = None;
    for cell in cells {
        let drawn = hash_fraction(&cell.0, session);
        if best.is_none_or(|(highest, first)| drawn > highest || (drawn == highest && cell < first)) {
            best = Some((drawn, cell));
        }
    }
    best.map(|(_, cell)| cell.clone())
}

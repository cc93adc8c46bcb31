//! Assignment of tenants and sessions to cells by weighted rendezvous hashing.
//!
//! Each cell has a score for each key, and a key belongs to the cells with the highest scores. Adding or removing a
//! cell changes only the keys that belong to this cell, which is its fair share. A tenant with several cells gets
//! those with the highest scores, so that two tenants seldom share all of their cells.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::file::CellSpec;
use crate::CellName;

/// A hash of a name and a key as a number between 0 and 1; the same on every node.
pub fn hash_fraction(name: &str, key: u64) -> f64 {
    // One is added so that `cells_by_hash` never takes the logarithm of zero.
    (xxh3_64_with_seed(name.as_bytes(), key) as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}

/// The hash key of a tenant or an engine.
pub(crate) fn key_of(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// The `count` cells with the highest weighted scores for a key, the highest first. Cells of weight 0 are left out.
pub fn cells_by_hash(cells: &[CellSpec], key: u64, count: usize) -> Vec<CellName> {
    let mut scored: Vec<(f64, &CellName)> = cells
        .iter()
        .filter(|cell| cell.weight > 0.0)
        .map(|cell| (cell.weight / -hash_fraction(&cell.name.0, key).ln(), &cell.name))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().take(count).map(|(_, cell)| cell.clone()).collect()
}

/// The cell among `cells` for a session, the same for all requests of the session.
pub(crate) fn cell_for_session(cells: &[CellName], session: u64) -> Option<CellName> {
    let mut best: Option<(f64, &CellName)> = None;
    for cell in cells {
        let score = hash_fraction(&cell.0, session);
        if best.is_none_or(|(highest, first)| score > highest || (score == highest && cell < first)) {
            best = Some((score, cell));
        }
    }
    best.map(|(_, cell)| cell.clone())
}

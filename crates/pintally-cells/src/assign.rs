//! Which cells a tenant or a key belongs to: weighted rendezvous hashing.
//!
//! Each cell draws a number for each name, and the highest win. A cell that comes or goes changes
//! only the names that it wins or had won, which is its fair part and no more. A tenant of several
//! cells takes the highest few, so that two tenants seldom share all of theirs.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::file::CellSpec;
use crate::CellName;

/// A number from 0 to 1 that a name draws at a place; the same on every node.
pub fn draw(place: &str, name: u64) -> f64 {
    // One is added so that the logarithm below is never that of zero.
    (xxh3_64_with_seed(place.as_bytes(), name) as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}

/// The number by which a tenant's name draws.
pub(crate) fn number(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// The cells that a name wins, the best first, at most so many; cells of weight 0 win nothing.
pub fn cells_of(cells: &[CellSpec], name: u64, many: usize) -> Vec<CellName> {
    let open = cells.iter().filter(|c| c.weight > 0.0);
    let mut drawn: Vec<(f64, &CellName)> =
        open.map(|c| (c.weight / -draw(&c.name.0, name).ln(), &c.name)).collect();
    drawn.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    drawn.into_iter().take(many).map(|(_, name)| name.clone()).collect()
}

/// The one of some cells that a key wins: turns of one session find the same cell.
pub(crate) fn pick(among: &[CellName], key: u64) -> Option<CellName> {
    let mut best: Option<(f64, &CellName)> = None;
    for name in among {
        let drawn = draw(&name.0, key);
        if best.is_none_or(|(most, first)| drawn > most || (drawn == most && name < first)) {
            best = Some((drawn, name));
        }
    }
    best.map(|(_, name)| name.clone())
}

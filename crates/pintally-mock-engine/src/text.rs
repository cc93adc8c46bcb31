//! Texts as tokens and blocks.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::BLOCK;

/// Bytes that stand for one token.
pub(crate) const BYTES: usize = 4;

/// The tokens of a text.
pub fn token_count(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES as u64)
}

/// The chain of hashes of a text's whole blocks: each stands for the text up to its end.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let size = BLOCK as usize * BYTES;
    text.as_bytes()
        .chunks_exact(size)
        .scan(0, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

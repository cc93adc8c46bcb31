//! Token counts and KV cache blocks of a text.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::BLOCK_TOKENS;

/// Bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Number of tokens of a text.
pub fn token_count(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN as u64)
}

/// Chained hashes of a text's full blocks: each identifies the whole text up to the end of its block.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let size = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    text.as_bytes()
        .chunks_exact(size)
        .scan(0, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

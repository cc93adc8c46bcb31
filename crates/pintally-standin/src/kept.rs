//! Kept texts: blocks of a prompt's beginning, the least recently used dropped first.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in a block.
pub(crate) const BLOCK: u64 = 16;
/// Bytes that stand for one token.
pub(crate) const BYTES: usize = 4;

/// The tokens of a text.
pub(crate) fn tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES as u64)
}

/// The chain of hashes of a text's whole blocks: each stands for the text up to its end.
pub(crate) fn blocks(text: &str) -> Vec<u64> {
    let size = BLOCK as usize * BYTES;
    text.as_bytes()
        .chunks_exact(size)
        .scan(0, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// Blocks by when they were last used.
#[derive(Default)]
pub(crate) struct Kept {
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    tick: u64,
}

impl Kept {
    /// How many tokens of the beginning are kept.
    pub(crate) fn found(&self, blocks: &[u64]) -> u64 {
        blocks.iter().take_while(|b| self.used.contains_key(b)).count() as u64 * BLOCK
    }

    /// Keeps blocks, within a number of tokens in all.
    pub(crate) fn keep(&mut self, blocks: &[u64], most_tokens: u64) {
        for block in blocks {
            self.tick += 1;
            if let Some(old) = self.used.insert(*block, self.tick) {
                self.order.remove(&old);
            }
            self.order.insert(self.tick, *block);
        }
        self.shrink(most_tokens);
    }

    /// Drops what is over a number of tokens.
    pub(crate) fn shrink(&mut self, most_tokens: u64) {
        while self.used.len() as u64 * BLOCK > most_tokens {
            let Some((_, block)) = self.order.pop_first() else { return };
            self.used.remove(&block);
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        *self = Kept::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_longer_prompt_finds_its_beginning_and_the_oldest_goes_first() {
        let text = "x".repeat(BYTES * BLOCK as usize * 4);
        let other = "y".repeat(BYTES * BLOCK as usize * 4);
        let mut kept = Kept::default();
        kept.keep(&blocks(&text), 1000);
        assert_eq!(kept.found(&blocks(&format!("{text}more and more"))), 64);
        assert_eq!(kept.found(&blocks(&other)), 0);
        kept.keep(&blocks(&other), 64);
        assert_eq!((kept.found(&blocks(&text)), kept.found(&blocks(&other))), (0, 64));
    }
}

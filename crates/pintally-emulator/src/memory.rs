//! Paged memory: private blocks of running work, and a prefix tree of cached blocks.
//!
//! A whole block of a prompt is identified by the hash of the text up to its end, so equal prefixes share
//! their blocks. Blocks without a holder stay cached until memory is needed. They are evicted least recently
//! used first, and a block is never evicted before the blocks that continue it.

use std::collections::{BTreeSet, HashMap};

/// Identifies a block of a prompt: the hash of the text up to its end.
pub type BlockHash = u64;

#[derive(Clone, Debug)]
struct Node {
    parent: Option<BlockHash>,
    children: u32,
    holders: u32,
    used: u64,
}

/// One engine's memory.
#[derive(Clone, Debug)]
pub struct Memory {
    blocks: u64,
    /// Blocks that work holds alone, outside the tree.
    private: u64,
    /// Blocks that are never freed.
    leaked: u64,
    nodes: HashMap<BlockHash, Node>,
    /// Number of nodes without a holder.
    unheld: u64,
    /// Nodes without a holder and without children, least recently used first.
    idle: BTreeSet<(u64, BlockHash)>,
    clock: u64,
}

impl Memory {
    /// Creates a memory whose blocks are all free.
    pub fn new(blocks: u64) -> Memory {
        Memory {
            blocks,
            private: 0,
            leaked: 0,
            nodes: HashMap::new(),
            unheld: 0,
            idle: BTreeSet::new(),
            clock: 0,
        }
    }

    /// Number of free blocks.
    pub fn free(&self) -> u64 {
        self.blocks - self.private - self.leaked - self.nodes.len() as u64
    }

    /// Number of blocks that can be allocated: free blocks and cached blocks without a holder.
    pub fn available(&self) -> u64 {
        self.free() + self.unheld
    }

    /// Share of all blocks that cannot be allocated: held, private or leaked.
    pub fn held_share(&self) -> f64 {
        1.0 - self.available() as f64 / self.blocks.max(1) as f64
    }

    /// Number of leading blocks of a chain that are cached.
    pub fn found(&self, chain: &[BlockHash]) -> usize {
        chain.iter().take_while(|h| self.nodes.contains_key(h)).count()
    }

    /// Adds a holder to cached blocks: the leading blocks of a chain, as found.
    pub fn hold(&mut self, chain: &[BlockHash]) {
        self.clock += 1;
        for hash in chain {
            let Some(node) = self.nodes.get_mut(hash) else { continue };
            if node.holders == 0 {
                self.unheld -= 1;
                self.idle.remove(&(node.used, *hash));
            }
            node.holders += 1;
            node.used = self.clock;
        }
    }

    /// Removes a holder from blocks; they stay cached until memory is needed.
    pub fn unhold(&mut self, chain: &[BlockHash]) {
        self.clock += 1;
        for hash in chain {
            let Some(node) = self.nodes.get_mut(hash) else { continue };
            node.holders -= 1;
            node.used = self.clock;
            if node.holders == 0 {
                self.unheld += 1;
                if node.children == 0 {
                    self.idle.insert((node.used, *hash));
                }
            }
        }
    }

    /// Allocates private blocks, evicting cached ones as needed. Returns `false` and allocates nothing if too
    /// few are available.
    pub fn take(&mut self, blocks: u64) -> bool {
        if self.available() < blocks {
            return false;
        }
        while self.free() < blocks {
            self.evict();
        }
        self.private += blocks;
        true
    }

    /// Frees private blocks.
    pub fn give(&mut self, blocks: u64) {
        self.private -= blocks;
    }

    /// Leaks private blocks: they are never freed.
    pub fn leak(&mut self, blocks: u64) {
        self.private -= blocks;
        self.leaked += blocks;
    }

    /// Moves a private block that now contains a whole block of a prompt into the tree, with one holder. If
    /// the tree already has the same block, that one gets the holder and the private block is freed.
    pub fn keep(&mut self, hash: BlockHash, parent: Option<BlockHash>) {
        self.private -= 1;
        if self.nodes.contains_key(&hash) {
            self.hold(&[hash]);
            return;
        }
        self.clock += 1;
        if let Some(node) = parent.and_then(|p| self.nodes.get_mut(&p)) {
            node.children += 1;
        }
        self.nodes.insert(hash, Node { parent, children: 0, holders: 1, used: self.clock });
    }

    /// Evicts every cached block without a holder.
    pub fn forget(&mut self) {
        while !self.idle.is_empty() {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let Some((_, hash)) = self.idle.pop_first() else { return };
        let Some(node) = self.nodes.remove(&hash) else { return };
        self.unheld -= 1;
        let Some(parent) = node.parent else { return };
        if let Some(above) = self.nodes.get_mut(&parent) {
            above.children -= 1;
            if above.children == 0 && above.holders == 0 {
                self.idle.insert((above.used, parent));
            }
        }
    }

    /// Checks the accounting: `private` is the number of private blocks that work has, `held` the total number
    /// of holds on cached blocks.
    pub fn check(&self, private: u64, held: u64) -> Result<(), String> {
        let own: u64 = self.nodes.values().map(|n| u64::from(n.holders)).sum();
        let unheld = self.nodes.values().filter(|n| n.holders == 0).count() as u64;
        let used = self.private + self.leaked + self.nodes.len() as u64;
        let idle = self.nodes.values().filter(|n| n.holders == 0 && n.children == 0).count();
        let orphan = self.nodes.values().any(|n| n.parent.is_some_and(|p| !self.nodes.contains_key(&p)));
        match () {
            () if used > self.blocks => Err(format!("{used} blocks in use of {}", self.blocks)),
            () if private != self.private => Err(format!("work holds {private}, counted {}", self.private)),
            () if held != own => Err(format!("kept blocks are held {held} times, counted {own}")),
            () if unheld != self.unheld => Err(format!("{unheld} unheld, counted {}", self.unheld)),
            () if idle != self.idle.len() => Err(format!("{idle} idle, counted {}", self.idle.len())),
            () if orphan => Err("a block is kept without the one that it continues".into()),
            () => Ok(()),
        }
    }
}

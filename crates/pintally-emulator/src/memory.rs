//! Paged memory: blocks that work holds for itself, and a prefix tree of blocks that are kept.
//!
//! A whole block of a prompt is named by the hash of the text up to its end, so equal beginnings share
//! their blocks. Blocks that nobody holds stay until room is needed; those unused longest go first,
//! and none goes before the blocks that continue it.

use std::collections::{BTreeSet, HashMap};

/// Names a block of a prompt: the hash of the text up to its end.
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
    /// Blocks that work holds for itself.
    private: u64,
    /// Blocks that nobody will ever give back.
    leaked: u64,
    nodes: HashMap<BlockHash, Node>,
    /// Nodes that nobody holds.
    unheld: u64,
    /// Those among them that no block continues, the longest unused first.
    idle: BTreeSet<(u64, BlockHash)>,
    clock: u64,
}

impl Memory {
    /// So many blocks, all free.
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

    /// Blocks in which nothing is.
    pub fn free(&self) -> u64 {
        self.blocks - self.private - self.leaked - self.nodes.len() as u64
    }

    /// Blocks that can be had: free ones and those that nobody holds.
    pub fn available(&self) -> u64 {
        self.free() + self.unheld
    }

    /// The share of all blocks that somebody holds.
    pub fn held_share(&self) -> f64 {
        1.0 - self.available() as f64 / self.blocks.max(1) as f64
    }

    /// How many blocks of a chain's beginning are kept.
    pub fn found(&self, chain: &[BlockHash]) -> usize {
        chain.iter().take_while(|h| self.nodes.contains_key(h)).count()
    }

    /// Holds kept blocks: a chain's beginning, as found.
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

    /// Lets go of blocks that are held; they stay until their room is needed.
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

    /// Takes blocks for work alone, evicting what must go; `false`, and nothing taken, if there are
    /// not so many.
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

    /// Gives blocks back.
    pub fn give(&mut self, blocks: u64) {
        self.private -= blocks;
    }

    /// Blocks that work held for itself are lost for good.
    pub fn leak(&mut self, blocks: u64) {
        self.private -= blocks;
        self.leaked += blocks;
    }

    /// One block that work held for itself now holds a whole block of its prompt: it joins the tree,
    /// held. Where another had computed the same meanwhile, that one is held and this one given back.
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

    /// Forgets every kept block that nobody holds.
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

    /// What does not add up, if anything, when work holds so many blocks for itself and so many
    /// times a kept one.
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

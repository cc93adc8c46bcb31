//! The engines of the endpoint list and the nodes of the fleet.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::detector::{ListedEngine, Node};
use crate::EngineIncarnation;

/// The engines of the endpoint list, each with the number of its zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoints(pub(crate) BTreeMap<EngineIncarnation, (ListedEngine, u32)>);

impl Endpoints {
    pub(crate) fn contains(&self, engine: &EngineIncarnation) -> bool {
        self.0.contains_key(engine)
    }

    /// All engines with their kinds.
    pub(crate) fn kinds(&self) -> impl Iterator<Item = (&EngineIncarnation, &str)> {
        self.0.iter().map(|(engine, (listed, _))| (engine, listed.kind.as_str()))
    }

    /// The kind of an engine; empty if it is not listed.
    pub(crate) fn kind(&self, engine: &EngineIncarnation) -> &str {
        self.0.get(engine).map_or("", |(listed, _)| listed.kind.as_str())
    }

    /// The name of an engine.
    pub(crate) fn name(&self, engine: &EngineIncarnation) -> Option<&str> {
        self.0.get(engine).map(|(listed, _)| listed.name.as_str())
    }

    /// The number of an engine's zone; 0 if it is not listed.
    pub(crate) fn zone(&self, engine: &EngineIncarnation) -> u32 {
        self.0.get(engine).map_or(0, |(_, zone)| *zone)
    }

    /// The incarnation that is listed under a name.
    pub(crate) fn incarnation(&self, name: &str) -> Option<EngineIncarnation> {
        self.0.iter().find(|(_, (listed, _))| listed.name == name).map(|(engine, _)| *engine)
    }
}

/// The nodes of the fleet that are alive, the local one among them.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    pub(crate) local: Node,
    alive: Vec<Node>,
}

impl Peers {
    pub(crate) fn new(local: Node) -> Peers {
        Peers { alive: vec![local.clone()], local }
    }

    pub(crate) fn set(&mut self, mut alive: Vec<Node>) {
        if !alive.iter().any(|node| node.name == self.local.name) {
            alive.push(self.local.clone());
        }
        alive.sort_by(|a, b| a.name.cmp(&b.name));
        self.alive = alive;
    }

    pub(crate) fn count(&self) -> usize {
        self.alive.len()
    }

    /// How many nodes are admitted to a recovering engine before the local node. The order is given by a hash
    /// of the engine and the node's name, so that it is the same at all nodes and differs between engines.
    pub(crate) fn local_rank(&self, engine: EngineIncarnation) -> usize {
        let hash = |name: &str| {
            let mut bytes = engine.0.to_le_bytes().to_vec();
            bytes.extend_from_slice(name.as_bytes());
            xxh3_64(&bytes)
        };
        let local = hash(&self.local.name);
        self.alive.iter().filter(|node| hash(&node.name) < local).count()
    }
}

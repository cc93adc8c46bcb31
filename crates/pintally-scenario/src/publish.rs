//! Publishes the endpoint list and the cells file: one file of each per node, replaced atomically.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use pintally::interface::{EndpointState, EngineId};
use pintally_audit::{AuditEvent, ListingState};
use pintally_config::{EngineEntry, EngineList};
use pintally_mock_engine::Engine;

use crate::file_writer::FileReplacement;

/// The endpoint list entry of an engine.
pub(crate) fn entry_of(engine: &Engine, listing: EndpointState, started_unix_ms: Option<u64>) -> EngineEntry {
    EngineEntry {
        id: EngineId(engine.spec.id.as_str().into()),
        address: engine.address,
        zone: engine.spec.zone.clone(),
        kind: engine.spec.kind.clone(),
        rack: engine.spec.rack,
        cell: engine.spec.cell.clone(),
        state: listing,
        weight: 1.0,
        started_unix_ms,
    }
}

/// The current endpoint list, its versions not yet written everywhere, and the files it is written to.
pub(crate) struct Publisher {
    folder: PathBuf,
    entries: BTreeMap<EngineId, EngineEntry>,
    /// Versions that some node has not received.
    versions: BTreeMap<u64, Vec<EngineEntry>>,
    version: u64,
    /// Entries last published to each node.
    published: Vec<BTreeMap<EngineId, EngineEntry>>,
    written: Vec<u64>,
    /// Texts of the cells file by version; `cells_written` is the last version that each node has.
    cells: BTreeMap<u64, String>,
    cells_written: Vec<u64>,
}

impl Publisher {
    pub(crate) fn new(folder: &Path, nodes: usize) -> Publisher {
        Publisher {
            folder: folder.to_path_buf(),
            entries: BTreeMap::new(),
            versions: BTreeMap::new(),
            version: 0,
            published: vec![BTreeMap::new(); nodes],
            written: vec![0; nodes],
            cells: BTreeMap::new(),
            cells_written: vec![0; nodes],
        }
    }

    /// The endpoint list that a node watches.
    pub(crate) fn list_file(&self, node: usize) -> PathBuf {
        self.folder.join(format!("engines-{node}.sexp"))
    }

    /// The cells file that a node watches.
    pub(crate) fn cells_file(&self, node: usize) -> PathBuf {
        self.folder.join(format!("cells-{node}.sexp"))
    }

    /// Adds a version of the cells file.
    pub(crate) fn set_cells(&mut self, version: u64, text: String) {
        self.cells.insert(version, text);
    }

    /// A version of the cells file for a node, unless the node was given the same or a newer one.
    pub(crate) fn next_cells(&mut self, node: usize, version: u64) -> Option<FileReplacement> {
        if version <= self.cells_written[node] {
            return None;
        }
        let text = self.cells.get(&version)?.clone();
        self.cells_written[node] = version;
        Some(FileReplacement { file: self.cells_file(node), text, events: Vec::new() })
    }

    /// Adds or changes an engine's entry; `started` sets its start time to now.
    pub(crate) fn set_entry(&mut self, engine: &Engine, listing: EndpointState, started: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let id = EngineId(engine.spec.id.as_str().into());
        let old = self.entries.get(&id).and_then(|e| e.started_unix_ms);
        self.entries.insert(id, entry_of(engine, listing, if started { Some(unix) } else { old }));
    }

    /// Saves the current list as a new version.
    pub(crate) fn new_version(&mut self) -> u64 {
        self.version += 1;
        self.versions.insert(self.version, self.entries.values().cloned().collect());
        self.version
    }

    /// A version of the list for a node, unless the node was given the same or a newer one.
    pub(crate) fn next_list(&mut self, node: usize, version: u64) -> Option<FileReplacement> {
        if version <= self.written[node] {
            return None;
        }
        let engines = self.versions.get(&version)?.clone();
        self.written[node] = version;
        let events = engines.iter().filter_map(|entry| self.publish_entry(node, entry)).collect();
        let least = self.written.iter().min().copied().unwrap_or(0);
        self.versions.retain(|v, _| *v >= least);
        let text = EngineList { version, engines }.render();
        Some(FileReplacement { file: self.list_file(node), text, events })
    }

    /// Notes that an entry is published to a node, and returns the event if that changes it.
    fn publish_entry(&mut self, node: usize, entry: &EngineEntry) -> Option<AuditEvent> {
        let old = self.published[node].insert(entry.id.clone(), entry.clone());
        if old.as_ref() == Some(entry) {
            return None;
        }
        let listing = match entry.state {
            EndpointState::Serving => ListingState::Serving,
            EndpointState::Draining => ListingState::Draining,
            EndpointState::Gone => ListingState::Gone,
        };
        let started =
            entry.started_unix_ms.is_some() && old.and_then(|o| o.started_unix_ms) != entry.started_unix_ms;
        let (node, engine) = (format!("n{node}"), entry.id.0.to_string());
        Some(AuditEvent::EngineListed { node, engine, listing, started })
    }
}

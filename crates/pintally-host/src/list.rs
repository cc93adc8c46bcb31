//! Follows the list of engines: each good text becomes the changes against the one before.

use std::collections::BTreeMap;

use pintally::interface::{EndpointState, EngineId, ListUpdate, Micros};
use pintally_cells::CellName;
use pintally_config::{ConfigError, EngineEntry, EngineList};

use crate::input::EngineEndpoint;

/// What a text of the list means.
#[derive(Debug)]
pub enum ListChange {
    /// The same as before.
    Same,
    /// These entries are new or other than before; what is missing is among them as gone.
    Changes(ListUpdate, Vec<EngineEndpoint>),
    /// It cannot be read: the old list holds. Told once for the same mistake.
    Bad(Option<ConfigError>),
    /// It is older than the list that holds, which goes on holding. Told once for the same version.
    Older(Option<u64>),
}

/// The list that holds.
#[derive(Default)]
pub struct ListFollower {
    version: Option<u64>,
    entries: BTreeMap<EngineId, EngineEntry>,
    complaint: Option<ConfigError>,
    older: Option<u64>,
}

impl ListFollower {
    /// Takes in a text. `clock` turns Unix milliseconds into the node's time.
    pub fn apply(&mut self, file: &str, text: &str, clock: impl Fn(u64) -> Micros) -> ListChange {
        let list = match EngineList::parse(file, text) {
            Ok(list) => list,
            Err(error) => {
                let fresh = self.complaint.as_ref() != Some(&error);
                self.complaint = Some(error.clone());
                return ListChange::Bad(fresh.then_some(error));
            }
        };
        self.complaint = None;
        // Guards against a list that goes back in time, as after a restore: a drain must not be undone.
        if self.version.is_some_and(|v| list.version < v) {
            let fresh = self.older != Some(list.version);
            self.older = Some(list.version);
            return ListChange::Older(fresh.then_some(list.version));
        }
        self.older = None;
        let first = self.version.replace(list.version).is_none();
        let form = if first { ListUpdate::Full } else { ListUpdate::Delta };
        let mut next = BTreeMap::new();
        let mut changes = Vec::new();
        for entry in list.engines {
            if first || self.entries.get(&entry.id) != Some(&entry) {
                changes.push(listed(&entry, &clock));
            }
            next.insert(entry.id.clone(), entry);
        }
        for (id, old) in &self.entries {
            if !next.contains_key(id) && old.state != EndpointState::Gone {
                let gone = EngineEntry { state: EndpointState::Gone, ..old.clone() };
                changes.push(listed(&gone, &clock));
            }
        }
        self.entries = next;
        match changes.is_empty() && !first {
            true => ListChange::Same,
            false => ListChange::Changes(form, changes),
        }
    }

    /// The list that holds, as a text to be kept over a restart.
    pub fn kept(&self) -> Option<String> {
        let engines = self.entries.values().cloned().collect();
        Some(EngineList { version: self.version?, engines }.render())
    }

    /// The version that holds, if any does.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// How many engines it names.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it names none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn listed(entry: &EngineEntry, clock: impl Fn(u64) -> Micros) -> EngineEndpoint {
    let cell = entry.cell.as_deref().map(CellName::from);
    EngineEndpoint {
        endpoint: entry.member(clock),
        address: entry.address,
        cell,
        started_unix_ms: entry.started_unix_ms,
    }
}

//! Follows the endpoint list: computes the changes of each valid version against the version in force.

use std::collections::BTreeMap;

use pintally::interface::{EndpointState, EngineId, ListUpdate, Micros};
use pintally_cells::CellName;
use pintally_config::{ConfigError, EngineEntry, EngineList};

use crate::input::EngineEndpoint;
use crate::start_times::StartTimes;

/// The changes that a version of the list makes.
#[derive(Debug)]
pub enum ListChange {
    /// Nothing.
    Unchanged,
    /// These entries are new or changed; entries that are missing in the new version are included as gone.
    Changes(ListUpdate, Vec<EngineEndpoint>),
    /// It is invalid, and the version in force remains. The error is reported once while it stays the same.
    Invalid(Option<ConfigError>),
    /// It is older than the version in force, which remains. Each older version is reported once.
    Stale(Option<u64>),
}

/// The version of the list in force.
pub struct ListFollower {
    version: Option<u64>,
    entries: BTreeMap<EngineId, EngineEntry>,
    start_times: StartTimes,
    reported_error: Option<ConfigError>,
    reported_stale: Option<u64>,
}

impl ListFollower {
    /// No version yet; engines warm up for `slow_start_duration`.
    pub fn new(slow_start_duration: Micros) -> ListFollower {
        ListFollower {
            version: None,
            entries: BTreeMap::new(),
            start_times: StartTimes::new(slow_start_duration),
            reported_error: None,
            reported_stale: None,
        }
    }

    /// Applies the content of a list file. `clock` converts Unix milliseconds to the node's time, with the
    /// error of the machine's wall clock.
    pub fn apply(
        &mut self,
        file: &str,
        text: &str,
        now: Micros,
        clock: impl Fn(u64) -> Micros,
    ) -> ListChange {
        let list = match EngineList::parse(file, text) {
            Ok(list) => list,
            Err(error) => return self.report_error(error),
        };
        self.reported_error = None;
        // An older list, as after a restore from a backup, must not undo a drain.
        if self.version.is_some_and(|version| list.version < version) {
            return self.report_stale(list.version);
        }
        self.reported_stale = None;
        let is_first = self.version.replace(list.version).is_none();
        let mut changes = self.replace_entries(list.engines, is_first, clock);
        // A file has no messages that would show how long it has been without changes.
        self.start_times.adjust(now, None, &mut changes);
        self.start_times.retain(|engine| self.entries.contains_key(engine));
        if is_first {
            return ListChange::Changes(ListUpdate::Full, changes);
        }
        if changes.is_empty() {
            return ListChange::Unchanged;
        }
        ListChange::Changes(ListUpdate::Delta, changes)
    }

    fn report_error(&mut self, error: ConfigError) -> ListChange {
        let is_new = self.reported_error.as_ref() != Some(&error);
        self.reported_error = Some(error.clone());
        ListChange::Invalid(is_new.then_some(error))
    }

    fn report_stale(&mut self, version: u64) -> ListChange {
        let is_new = self.reported_stale != Some(version);
        self.reported_stale = Some(version);
        ListChange::Stale(is_new.then_some(version))
    }

    /// Replaces the entries and returns those that have changed, which are all entries of the first version.
    fn replace_entries(
        &mut self,
        entries: Vec<EngineEntry>,
        is_first: bool,
        clock: impl Fn(u64) -> Micros,
    ) -> Vec<EngineEndpoint> {
        let mut next = BTreeMap::new();
        let mut changes = Vec::new();
        for entry in entries {
            if is_first || self.entries.get(&entry.id) != Some(&entry) {
                changes.push(to_endpoint(&entry, &clock));
            }
            next.insert(entry.id.clone(), entry);
        }
        for (id, old) in &self.entries {
            if !next.contains_key(id) && old.state != EndpointState::Gone {
                let gone = EngineEntry { state: EndpointState::Gone, ..old.clone() };
                changes.push(to_endpoint(&gone, &clock));
            }
        }
        self.entries = next;
        changes
    }

    /// Renders the version in force as the content of a list file, to be cached across a restart.
    pub fn render(&self) -> Option<String> {
        let engines = self.entries.values().cloned().collect();
        Some(EngineList { version: self.version?, engines }.render())
    }

    /// The version in force, if there is one.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The number of engines that it names.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it names none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn to_endpoint(entry: &EngineEntry, clock: impl Fn(u64) -> Micros) -> EngineEndpoint {
    EngineEndpoint {
        endpoint: entry.to_endpoint(clock),
        address: entry.address,
        cell: entry.cell.as_deref().map(CellName::from),
        started_unix_ms: entry.started_unix_ms,
    }
}

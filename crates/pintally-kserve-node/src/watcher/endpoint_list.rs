//! Applies new versions of the endpoint list, and publishes them to peers.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::atomic::Ordering;

use pintally_config::EngineList;
use pintally_host::{Input, ListChange, ListFollower};
use pintally_recovery::{merge_endpoint_lists, ListMerge};
use tracing::{info, warn};

use super::files::{read, replace_atomically};
use crate::shared::Shared;

/// Stands for the file name in messages about the list that was restored from the node's store.
const STORED_LIST: &str = "the node's store";

/// The current endpoint list.
pub(crate) struct EndpointListWatcher {
    follower: ListFollower,
}

impl EndpointListWatcher {
    /// Applies the lists that the previous process cached and stored, if there are any.
    pub(crate) fn restore(shared: &Shared, stored: Option<&str>) -> EndpointListWatcher {
        let follower = ListFollower::new(shared.settings.core.slow_start_duration);
        let mut watcher = EndpointListWatcher { follower };
        watcher.restore_cached(shared);
        if let Some(text) = stored {
            watcher.apply(shared, STORED_LIST, text.as_bytes());
        }
        if let (Some(version), Some(text)) = (watcher.follower.version(), watcher.follower.render()) {
            shared.fleet.set_endpoint_list(version, &text);
        }
        watcher
    }

    fn restore_cached(&mut self, shared: &Shared) {
        let Some(cached) = &shared.settings.cached_list_file else { return };
        match read(cached) {
            Ok(text) => {
                self.apply(shared, cached, &text);
            }
            Err(error) if error.kind() == ErrorKind::NotFound => {}
            Err(error) => warn!(file = cached, %error, "cached endpoint list not readable"),
        }
    }

    /// Applies a list from its source, and confirms the current version if the source has the same.
    pub(super) fn update_from_source(&mut self, shared: &Shared, path: &str, text: &[u8]) {
        let changed = self.merge_and_apply(shared, path, text);
        let list = EngineList::parse(path, &String::from_utf8_lossy(text)).ok();
        if list.is_some_and(|list| self.follower.version() == Some(list.version)) {
            shared.send_input(Input::EndpointListConfirmed);
        }
        if changed {
            self.publish_and_cache(shared);
        }
    }

    /// Applies a list that is not from its source.
    pub(super) fn update(&mut self, shared: &Shared, name: &str, text: &[u8]) {
        if self.merge_and_apply(shared, name, text) {
            self.publish_and_cache(shared);
        }
    }

    /// Applies the stored list of the previous process, which was read late. Guards against a drain that only the
    /// store knows. Without peers a list of the version in force says nothing new: its source has been read
    /// since.
    pub(super) fn update_from_store(&mut self, shared: &Shared, text: &str) {
        let stored = EngineList::parse(STORED_LIST, text).ok().map(|list| list.version);
        if shared.settings.membership.is_some() || stored > self.follower.version() {
            self.update(shared, STORED_LIST, text.as_bytes());
        }
    }

    /// Applies a list. If the node has peers, the list is first merged with the current one.
    fn merge_and_apply(&mut self, shared: &Shared, name: &str, text: &[u8]) -> bool {
        let merged = shared.settings.membership.as_ref().and_then(|_| self.merged(name, text));
        self.apply(shared, name, merged.as_deref().unwrap_or(text))
    }

    /// Merges a list with the current one, so that another text of the same version never undoes a drain that
    /// any node knew. Returns `None` if the list is to be applied as it is.
    fn merged(&self, name: &str, text: &[u8]) -> Option<Vec<u8>> {
        let incoming = EngineList::parse(name, &String::from_utf8_lossy(text)).ok()?;
        let current = EngineList::parse(name, &self.follower.render()?).ok()?;
        match merge_endpoint_lists(Some(&current), &incoming) {
            ListMerge::Merged(list) => Some(list.render().into_bytes()),
            ListMerge::Unchanged if current.version == incoming.version => {
                Some(current.render().into_bytes())
            }
            ListMerge::Unchanged | ListMerge::Replaced(_) => None,
        }
    }

    /// Publishes the current list to peers, and caches it.
    fn publish_and_cache(&self, shared: &Shared) {
        let Some(text) = self.follower.render() else { return };
        if let Some(version) = self.follower.version() {
            shared.fleet.set_endpoint_list(version, &text);
        }
        let Some(cached) = &shared.settings.cached_list_file else { return };
        if let Err(error) = replace_atomically(Path::new(cached), text.as_bytes()) {
            warn!(file = cached, %error, "endpoint list not cached: a restart will begin without it");
        }
    }

    /// Passes the changes of a list to the host. Returns whether there were any.
    fn apply(&mut self, shared: &Shared, name: &str, text: &[u8]) -> bool {
        let text = String::from_utf8_lossy(text);
        let clock = &shared.clock;
        let change = self.follower.apply(name, &text, clock.now(), |ms| clock.at_unix_ms(ms));
        if matches!(change, ListChange::Invalid(_) | ListChange::Stale(_)) {
            shared.counters.lists_refused.fetch_add(1, Ordering::Relaxed);
        }
        match change {
            ListChange::Changes(update, changes) => {
                info!(
                    file = name,
                    changes = changes.len(),
                    engines = self.follower.len(),
                    "endpoint list applied"
                );
                shared.send_input(Input::EndpointList(update, changes));
                return true;
            }
            ListChange::Invalid(Some(error)) => {
                warn!(%error, "endpoint list rejected: previous version stays in force");
            }
            ListChange::Stale(Some(version)) => {
                warn!(file = name, version, "endpoint list rejected: older than the one in force");
            }
            ListChange::Unchanged | ListChange::Invalid(None) | ListChange::Stale(None) => {}
        }
        false
    }
}

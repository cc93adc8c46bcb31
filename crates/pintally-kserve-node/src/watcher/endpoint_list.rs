//! Versions of the endpoint list on their way to the host and to peers.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::atomic::Ordering;

use pintally_config::EngineList;
use pintally_host::{Input, ListChange, ListFollower};
use pintally_recovery::{merge_endpoint_lists, ListMerge};
use tracing::{info, warn};

use super::files::{read, replace_atomically};
use crate::shared::Shared;

/// What stands for a file in errors about the list of the node's store.
const STORED_LIST: &str = "the kept state";

/// The endpoint list in force.
#[derive(Default)]
pub(crate) struct EndpointListWatcher {
    follower: ListFollower,
}

impl EndpointListWatcher {
    /// Takes the lists that were cached and stored before the node's last end, if there are any.
    pub(crate) fn restore(shared: &Shared, stored: Option<&str>) -> EndpointListWatcher {
        let mut watcher = EndpointListWatcher::default();
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

    /// Takes a list from its source, which confirms the version in force if it is the same.
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

    /// Takes a list from elsewhere.
    pub(super) fn update(&mut self, shared: &Shared, name: &str, text: &[u8]) {
        if self.merge_and_apply(shared, name, text) {
            self.publish_and_cache(shared);
        }
    }

    /// Where nodes have peers, a list is merged with the one in force before it is applied.
    fn merge_and_apply(&mut self, shared: &Shared, name: &str, text: &[u8]) -> bool {
        let merged = shared.settings.membership.as_ref().and_then(|_| self.merged(name, text));
        self.apply(shared, name, merged.as_deref().unwrap_or(text))
    }

    /// The merge of a list with the one in force, where it is another than the list itself: a drain that any
    /// node knew is never undone by another text of the same version.
    fn merged(&self, name: &str, text: &[u8]) -> Option<Vec<u8>> {
        let claimed = EngineList::parse(name, &String::from_utf8_lossy(text)).ok()?;
        let current = EngineList::parse(name, &self.follower.render()?).ok()?;
        match merge_endpoint_lists(Some(&current), &claimed) {
            ListMerge::Merged(list) => Some(list.render().into_bytes()),
            ListMerge::Unchanged if current.version == claimed.version => Some(current.render().into_bytes()),
            ListMerge::Unchanged | ListMerge::Replaced(_) => None,
        }
    }

    /// Hands the list in force to peers, and caches it.
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

    /// Hands a list's changes to the host; whether there were any.
    fn apply(&mut self, shared: &Shared, name: &str, text: &[u8]) -> bool {
        let text = String::from_utf8_lossy(text);
        let change = self.follower.apply(name, &text, |ms| shared.clock.at_unix_ms(ms));
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

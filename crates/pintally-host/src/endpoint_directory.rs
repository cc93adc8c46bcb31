//! The engines that the host knows: their endpoints, and the state that the endpoint list gives them.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{EndpointState, EngineId, Role};
use pintally_config::NodeSettings;
use pintally_guards::EngineFacts;

use crate::input::EngineEndpoint;

/// An engine that was listed and may still be in use.
pub(crate) struct KnownEngine {
    pub(crate) address: SocketAddr,
    pub(crate) role: Role,
    /// Number of slots, 0 if unknown.
    pub(crate) slots: u64,
    pub(crate) listing: EndpointState,
    pub(crate) zone: Arc<str>,
    pub(crate) rack: u64,
}

impl KnownEngine {
    /// The properties that the send guards depend on.
    pub(crate) fn facts(&self) -> EngineFacts<'_> {
        EngineFacts { listing: self.listing, role: self.role, zone: &self.zone, rack: self.rack }
    }
}

/// The kind of an endpoint is not defined in the settings.
#[derive(Debug)]
pub(crate) struct UnknownKind {
    engine: EngineId,
    kind: String,
}

impl fmt::Display for UnknownKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "endpoint ignored: engine={} reason=unknown_kind kind={}", self.engine.0, self.kind)
    }
}

impl std::error::Error for UnknownKind {}

/// The listed engines, and engines that have left the list but are still in use by this node.
#[derive(Default)]
pub(crate) struct EndpointDirectory {
    engines: BTreeMap<EngineId, KnownEngine>,
    endpoints: BTreeMap<EngineId, EngineEndpoint>,
    is_confirmed: bool,
}

impl EndpointDirectory {
    /// Begins a complete list: marks all engines as gone until the list registers them.
    pub(crate) fn begin_full_list(&mut self) {
        self.engines.values_mut().for_each(|engine| engine.listing = EndpointState::Gone);
        self.endpoints.clear();
    }

    /// Adds or replaces an endpoint.
    ///
    /// # Errors
    ///
    /// [`UnknownKind`] if the settings do not define its kind; the directory is unchanged then.
    pub(crate) fn register(
        &mut self,
        listed: &EngineEndpoint,
        settings: &NodeSettings,
    ) -> Result<(), UnknownKind> {
        let endpoint = &listed.endpoint;
        let kinds = &settings.core.engine_kinds;
        let Some(kind) = kinds.iter().position(|kind| kind.name == endpoint.kind) else {
            return Err(UnknownKind { engine: endpoint.engine.clone(), kind: endpoint.kind.to_string() });
        };
        let engine = KnownEngine {
            address: listed.address,
            role: kinds[kind].role,
            slots: settings.slots.get(kind).copied().unwrap_or(0),
            listing: endpoint.state,
            zone: endpoint.zone.as_str().into(),
            rack: endpoint.rack,
        };
        self.engines.insert(endpoint.engine.clone(), engine);
        self.endpoints.insert(endpoint.engine.clone(), listed.clone());
        Ok(())
    }

    /// Whether the directory contains engines that have left the list.
    pub(crate) fn has_gone_engines(&self) -> bool {
        self.engines.values().any(|engine| engine.listing == EndpointState::Gone)
    }

    /// Removes the engines that have left the list, except for those in use.
    pub(crate) fn forget_gone(&mut self, in_use: &HashSet<EngineId>) {
        self.engines.retain(|id, engine| engine.listing != EndpointState::Gone || in_use.contains(id));
        let engines = &self.engines;
        self.endpoints.retain(|id, _| engines.contains_key(id));
    }

    /// Records that the list in force was read from its source in this incarnation. Returns whether this was not
    /// recorded before.
    pub(crate) fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.is_confirmed, true)
    }

    /// Whether the list in force was read from its source in this incarnation, and is not a cached one.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// The engine of this name.
    pub(crate) fn get(&self, id: &EngineId) -> Option<&KnownEngine> {
        self.engines.get(id)
    }

    /// Whether an engine is known.
    pub(crate) fn contains(&self, id: &EngineId) -> bool {
        self.engines.contains_key(id)
    }

    /// The address of an engine.
    pub(crate) fn address(&self, id: &EngineId) -> Option<SocketAddr> {
        self.engines.get(id).map(|engine| engine.address)
    }

    /// The state that the endpoint list gives an engine.
    pub(crate) fn listing(&self, id: &EngineId) -> Option<EndpointState> {
        self.engines.get(id).map(|engine| engine.listing)
    }

    /// Whether an engine is serving according to the list.
    pub(crate) fn is_serving(&self, id: &EngineId) -> bool {
        self.listing(id) == Some(EndpointState::Serving)
    }

    /// The engines that are serving according to the list.
    pub(crate) fn serving(&self) -> impl Iterator<Item = &EngineId> {
        self.listings().filter(|(_, listing)| *listing == EndpointState::Serving).map(|(id, _)| id)
    }

    /// All known engines with the state that the list gives them.
    pub(crate) fn listings(&self) -> impl Iterator<Item = (&EngineId, EndpointState)> {
        self.engines.iter().map(|(id, engine)| (id, engine.listing))
    }

    /// The addresses of the known engines.
    pub(crate) fn addresses(&self) -> HashSet<SocketAddr> {
        self.engines.values().map(|engine| engine.address).collect()
    }

    /// The endpoint of an engine as listed.
    pub(crate) fn endpoint(&self, id: &EngineId) -> Option<&EngineEndpoint> {
        self.endpoints.get(id)
    }

    /// All endpoints as listed.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &EngineEndpoint> {
        self.endpoints.values()
    }
}

//! Parser of the endpoint lists that discovery sends, and tracking of the applied revision.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pintally::interface::{ListUpdate, Micros};
use pintally_host::EngineEndpoint;
use pintally_wire::EndpointEntry;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// An endpoint list in the platform's JSON schema.
#[derive(Clone, Debug, Deserialize)]
struct ListMessage {
    revision: u64,
    complete: bool,
    #[serde(rename = "members")]
    endpoints: Vec<EndpointMessage>,
}

/// An entry in the platform's JSON schema.
#[derive(Clone, Debug, Deserialize)]
struct EndpointMessage {
    id: String,
    #[serde(rename = "host_port")]
    address: SocketAddr,
    #[serde(rename = "locality")]
    zone: String,
    #[serde(rename = "flavor")]
    kind: String,
    #[serde(default, rename = "cell")]
    rack: u64,
    #[serde(rename = "phase")]
    state: String,
    #[serde(default, rename = "size")]
    weight: Option<f64>,
    #[serde(default)]
    up_since_ms: Option<f64>,
}

impl From<EndpointMessage> for EngineEndpoint {
    fn from(message: EndpointMessage) -> EngineEndpoint {
        let entry = EndpointEntry {
            engine: message.id,
            zone: message.zone,
            kind: message.kind,
            rack: message.rack,
            state: message.state,
            weight: message.weight.filter(|weight| weight.is_finite() && *weight > 0.0),
            started: message.up_since_ms.filter(|ms| ms.is_finite()).map(start_time),
        };
        EngineEndpoint {
            endpoint: entry.into_endpoint(),
            address: message.address,
            cell: None,
            started_unix_ms: None,
        }
    }
}

/// Converts the start time of an engine; the clocks of the node and of the platform have the same epoch.
fn start_time(up_since_ms: f64) -> Micros {
    (up_since_ms.max(0.0) * 1e3) as Micros
}

/// Why a list cannot be parsed.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// It is not JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Two entries have the same id, or an id is empty.
    #[error("endpoint id `{0}` is empty or listed twice")]
    DuplicateOrEmptyId(String),
}

/// A revision of the endpoint list: all entries, or only the changed ones.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The revision.
    pub revision: u64,
    /// Whether it contains all entries.
    pub complete: bool,
    /// The entries.
    pub endpoints: Vec<EngineEndpoint>,
}

impl EndpointList {
    /// Parses a list from a JSON value.
    ///
    /// # Errors
    ///
    /// If a field is missing or invalid, or an engine is listed twice.
    pub fn from_value(value: &Value) -> Result<EndpointList, EndpointListError> {
        EndpointList::try_from(ListMessage::deserialize(value)?)
    }

    /// Parses one object of a watch.
    ///
    /// # Errors
    ///
    /// As [`EndpointList::from_value`], and if it is not JSON.
    pub fn parse(object: &[u8]) -> Result<EndpointList, EndpointListError> {
        EndpointList::try_from(serde_json::from_slice::<ListMessage>(object)?)
    }
}

impl TryFrom<ListMessage> for EndpointList {
    type Error = EndpointListError;

    fn try_from(message: ListMessage) -> Result<EndpointList, EndpointListError> {
        let mut ids = BTreeSet::new();
        for endpoint in &message.endpoints {
            if endpoint.id.is_empty() || !ids.insert(&endpoint.id) {
                return Err(EndpointListError::DuplicateOrEmptyId(endpoint.id.clone()));
            }
        }
        Ok(EndpointList {
            revision: message.revision,
            complete: message.complete,
            endpoints: message.endpoints.into_iter().map(EngineEndpoint::from).collect(),
        })
    }
}

/// Why a list that can be parsed is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidList {
    /// A complete list has no entry.
    #[error("complete list without an engine")]
    Empty,
    /// Changes arrived before any complete list.
    #[error("changes without a preceding complete list")]
    ChangesWithoutBase,
}

/// The effect of a received list.
#[derive(Debug)]
pub enum ListChange {
    /// It contains no changes.
    Unchanged,
    /// It is older than the applied revision.
    Stale,
    /// It is inconsistent, in itself or with what was applied.
    Invalid(InvalidList),
    /// These entries are to be applied.
    Apply(ListUpdate, Vec<EngineEndpoint>),
}

/// Tracks the applied revision of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointListTracker {
    revision: Option<u64>,
}

impl EndpointListTracker {
    /// The applied revision, after which a watch resumes.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Checks a received list against the applied revision, and advances to it if it is valid.
    pub fn advance(&mut self, list: EndpointList) -> ListChange {
        // Guards against an outdated list, which could undo a drain.
        if self.revision.is_some_and(|applied| list.revision < applied) {
            return ListChange::Stale;
        }
        if list.complete && list.endpoints.is_empty() {
            return ListChange::Invalid(InvalidList::Empty);
        }
        if !list.complete && self.revision.is_none() {
            return ListChange::Invalid(InvalidList::ChangesWithoutBase);
        }
        let repeated = self.revision == Some(list.revision);
        self.revision = Some(list.revision);
        if list.complete {
            return ListChange::Apply(ListUpdate::Full, list.endpoints);
        }
        if list.endpoints.is_empty() || repeated {
            return ListChange::Unchanged;
        }
        ListChange::Apply(ListUpdate::Delta, list.endpoints)
    }
}

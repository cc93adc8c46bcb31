//! Messages of the input in the bench's protocol, and their conversion to events.

use pintally::interface::*;
use pintally_wire::{seconds_to_micros, to_count, EndpointEntry, LabelIndex};
use serde::Deserialize;
use serde_json::Value;

use crate::outgoing::{DISPATCH_TIMER, MAINTENANCE_TIMER};

/// A line of the input.
#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Incoming {
    Batch {
        clock: f64,
        round: u64,
    },
    #[serde(rename = "over_to_you")]
    EndBatch,
    #[serde(rename = "begin")]
    StartInstance {
        node: u64,
        #[serde(rename = "salt")]
        seed: u64,
        #[serde(rename = "conf")]
        settings: Value,
    },
    #[serde(rename = "teardown")]
    StopInstance {
        node: u64,
    },
    #[serde(rename = "update")]
    EndpointList {
        node: u64,
        #[serde(rename = "form")]
        update: UpdateKind,
        #[serde(default, rename = "hosts")]
        entries: Option<Vec<ListEntry>>,
    },
    #[serde(rename = "demand")]
    RequestArrived(Box<ArrivedRequest>),
    #[serde(rename = "head_received")]
    FirstToken {
        node: u64,
        #[serde(rename = "txn")]
        request_id: String,
        #[serde(rename = "try")]
        attempt: AttemptNumber,
    },
    #[serde(rename = "ended")]
    AttemptEnded(Box<EndedAttempt>),
    #[serde(rename = "withdrawn")]
    ClientLeft {
        node: u64,
        #[serde(rename = "txn")]
        request_id: String,
    },
    #[serde(rename = "elapsed")]
    TimerFired {
        node: u64,
        #[serde(rename = "ref")]
        timer: String,
    },
    #[serde(rename = "status_back")]
    HealthChecked {
        node: u64,
        #[serde(rename = "state_code")]
        code: u32,
        engine: String,
        #[serde(default, rename = "feedback")]
        load: Option<Vec<Option<f64>>>,
    },
    #[serde(other)]
    Other,
}

impl Incoming {
    /// The instance that the message is for, if any.
    pub fn node(&self) -> Option<u64> {
        match self {
            Incoming::Batch { .. } | Incoming::EndBatch | Incoming::Other => None,
            Incoming::RequestArrived(arrived) => Some(arrived.node),
            Incoming::AttemptEnded(ended) => Some(ended.node),
            Incoming::StartInstance { node, .. }
            | Incoming::StopInstance { node }
            | Incoming::EndpointList { node, .. }
            | Incoming::FirstToken { node, .. }
            | Incoming::ClientLeft { node, .. }
            | Incoming::TimerFired { node, .. }
            | Incoming::HealthChecked { node, .. } => Some(*node),
        }
    }
}

/// How an endpoint list is to be applied.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateKind {
    #[serde(rename = "update")]
    Delta,
    #[serde(rename = "replace")]
    Full,
    Restored,
    Unavailable,
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
pub struct ListEntry {
    engine: String,
    #[serde(rename = "campus")]
    zone: String,
    #[serde(rename = "hw")]
    kind: String,
    #[serde(rename = "unit_group")]
    rack: u64,
    #[serde(rename = "stage_state")]
    state: String,
    #[serde(default, rename = "power_hint")]
    weight: Option<f64>,
    #[serde(default, rename = "born")]
    started_s: Option<f64>,
}

/// A client's request.
#[derive(Deserialize)]
pub struct ArrivedRequest {
    node: u64,
    #[serde(rename = "txn")]
    id: String,
    #[serde(rename = "band")]
    class: String,
    #[serde(default, rename = "user_group")]
    tenant: Option<Value>,
    #[serde(default, rename = "dialogue")]
    session: Option<u64>,
    #[serde(rename = "ttl")]
    client_timeout_s: f64,
    #[serde(default)]
    prefix: Option<u64>,
    #[serde(default)]
    prompt_tokens: Option<f64>,
    #[serde(default, rename = "prefix_len")]
    prefix_tokens: Option<f64>,
    #[serde(default)]
    max_tokens: Option<f64>,
    #[serde(default, rename = "reconnect")]
    resumed: Option<bool>,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct EndedAttempt {
    node: u64,
    #[serde(rename = "txn")]
    request_id: String,
    #[serde(rename = "try")]
    attempt: AttemptNumber,
    #[serde(rename = "state_code")]
    code: u32,
    #[serde(default, rename = "no_more")]
    is_final: Option<bool>,
    /// The number of cached tokens; with code 254, 1 means that the state was not found.
    #[serde(default)]
    detail: Option<f64>,
    #[serde(default, rename = "feedback")]
    load: Option<Vec<Option<f64>>>,
}

/// Converts a message to an event; `None` if the router has no such event.
pub fn event(labels: &LabelIndex, message: Incoming) -> Option<Event> {
    Some(match message {
        Incoming::EndpointList { update, entries, .. } => {
            let update = match update {
                UpdateKind::Delta => ListUpdate::Delta,
                UpdateKind::Full | UpdateKind::Restored => ListUpdate::Full,
                UpdateKind::Unavailable => ListUpdate::Failed,
            };
            Event::EndpointList(update, entries.unwrap_or_default().into_iter().map(endpoint).collect())
        }
        Incoming::RequestArrived(arrived) => Event::RequestArrived(request(labels, *arrived)),
        Incoming::FirstToken { request_id, attempt, .. } => {
            Event::FirstToken(to_request_id(&request_id), attempt)
        }
        Incoming::AttemptEnded(ended) => Event::AttemptEnded(AttemptEnd {
            id: to_request_id(&ended.request_id),
            attempt: ended.attempt,
            outcome: outcome(ended.code, ended.detail)?,
            is_final: ended.is_final.unwrap_or(false),
            cached_tokens: to_count(ended.detail),
            load: ended.load.map(|row| labels.load_from_row(&row)),
        }),
        Incoming::ClientLeft { request_id, .. } => Event::ClientLeft(to_request_id(&request_id)),
        Incoming::TimerFired { timer, .. } => Event::TimerFired(timer_of(&timer)?),
        Incoming::HealthChecked { code, engine, load, .. } => {
            let load = load.map(|row| labels.load_from_row(&row));
            Event::HealthChecked(EngineId(engine.into()), code == 0, load)
        }
        _ => return None,
    })
}

fn request(labels: &LabelIndex, arrived: ArrivedRequest) -> Request {
    let tenant = arrived.tenant.as_ref().and_then(Value::as_str);
    Request {
        id: to_request_id(&arrived.id),
        class: labels.class(&arrived.class),
        tenant: tenant.and_then(|name| labels.tenant(name)),
        session: arrived.session.unwrap_or(0),
        prefix: arrived.prefix.filter(|p| *p != 0),
        prompt_tokens: to_count(arrived.prompt_tokens),
        prefix_tokens: to_count(arrived.prefix_tokens),
        max_tokens: to_count(arrived.max_tokens),
        client_timeout: seconds_to_micros(arrived.client_timeout_s),
        resumed: arrived.resumed.unwrap_or(false),
    }
}

fn to_request_id(id: &str) -> RequestId {
    RequestId(id.into())
}

fn endpoint(entry: ListEntry) -> Endpoint {
    let entry = EndpointEntry {
        engine: entry.engine,
        zone: entry.zone,
        kind: entry.kind,
        rack: entry.rack,
        state: entry.state,
        weight: entry.weight,
        started: entry.started_s.map(seconds_to_micros),
    };
    entry.into_endpoint()
}

/// The timer with a name that [`crate::outgoing`] sends.
fn timer_of(name: &str) -> Option<Timer> {
    match name {
        DISPATCH_TIMER => Some(Timer::DispatchPending),
        MAINTENANCE_TIMER => Some(Timer::Maintenance),
        _ => None,
    }
}

/// The outcome for a state code of the protocol; `None` for unknown codes.
fn outcome(code: u32, detail: Option<f64>) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        100 => Outcome::Read,
        255 => Outcome::Error,
        254 if to_count(detail) == 1 => Outcome::StateNotFound,
        254 => Outcome::Overloaded,
        253 => Outcome::TimedOut,
        252 => Outcome::Unreachable,
        251 => Outcome::ConnectionBroken,
        250 => Outcome::Cancelled,
        249 => Outcome::NeverSent,
        _ => return None,
    })
}

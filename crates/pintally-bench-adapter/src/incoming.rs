//! Messages of the input as the bench spells them, and the events that they stand for.

use pintally::interface::*;
use pintally_wire::{count, micros, Entry, LabelIndex};
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
    OverToYou,
    Begin {
        node: u64,
        salt: u64,
        conf: Value,
    },
    Teardown {
        node: u64,
    },
    Update {
        node: u64,
        form: Form,
        #[serde(default)]
        hosts: Option<Vec<Host>>,
    },
    Demand(Box<Demand>),
    HeadReceived {
        node: u64,
        txn: String,
        #[serde(rename = "try")]
        attempt: AttemptNumber,
    },
    Ended(Box<EndedLine>),
    Withdrawn {
        node: u64,
        txn: String,
    },
    Elapsed {
        node: u64,
        #[serde(rename = "ref")]
        timer: String,
    },
    StatusBack {
        node: u64,
        state_code: u32,
        engine: String,
        #[serde(default)]
        feedback: Option<Vec<Option<f64>>>,
    },
    #[serde(other)]
    Other,
}

impl Incoming {
    /// The instance for which the message is, if it is for one.
    pub fn node(&self) -> Option<u64> {
        match self {
            Incoming::Batch { .. } | Incoming::OverToYou | Incoming::Other => None,
            Incoming::Demand(demand) => Some(demand.node),
            Incoming::Ended(ended) => Some(ended.node),
            Incoming::Begin { node, .. }
            | Incoming::Teardown { node }
            | Incoming::Update { node, .. }
            | Incoming::HeadReceived { node, .. }
            | Incoming::Withdrawn { node, .. }
            | Incoming::Elapsed { node, .. }
            | Incoming::StatusBack { node, .. } => Some(*node),
        }
    }
}

/// How an endpoint list is to be taken.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    Update,
    Replace,
    Restored,
    Unavailable,
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
pub struct Host {
    engine: String,
    campus: String,
    hw: String,
    unit_group: u64,
    stage_state: String,
    #[serde(default)]
    power_hint: Option<f64>,
    #[serde(default)]
    born: Option<f64>,
}

/// A client's request.
#[derive(Deserialize)]
pub struct Demand {
    node: u64,
    txn: String,
    band: String,
    #[serde(default)]
    user_group: Option<Value>,
    #[serde(default)]
    dialogue: Option<u64>,
    ttl: f64,
    #[serde(default)]
    prefix: Option<u64>,
    #[serde(default)]
    prompt_tokens: Option<f64>,
    #[serde(default)]
    prefix_len: Option<f64>,
    #[serde(default)]
    max_tokens: Option<f64>,
    #[serde(default)]
    reconnect: Option<bool>,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct EndedLine {
    node: u64,
    txn: String,
    #[serde(rename = "try")]
    attempt: AttemptNumber,
    state_code: u32,
    #[serde(default)]
    no_more: Option<bool>,
    #[serde(default)]
    detail: Option<f64>,
    #[serde(default)]
    feedback: Option<Vec<Option<f64>>>,
}

/// The event of a message, if it is one that the router knows.
pub fn event(labels: &LabelIndex, message: Incoming) -> Option<Event> {
    Some(match message {
        Incoming::Update { form, hosts, .. } => {
            let form = match form {
                Form::Update => ListUpdate::Delta,
                Form::Replace | Form::Restored => ListUpdate::Full,
                Form::Unavailable => ListUpdate::Failed,
            };
            Event::EndpointList(form, hosts.unwrap_or_default().into_iter().map(endpoint).collect())
        }
        Incoming::Demand(demand) => Event::RequestArrived(request(labels, *demand)),
        Incoming::HeadReceived { txn, attempt, .. } => Event::FirstToken(request_id(&txn), attempt),
        Incoming::Ended(ended) => Event::AttemptEnded(AttemptEnd {
            id: request_id(&ended.txn),
            attempt: ended.attempt,
            outcome: outcome(ended.state_code, ended.detail)?,
            is_final: ended.no_more.unwrap_or(false),
            cached_tokens: count(ended.detail),
            load: ended.feedback.map(|row| labels.load(&row)),
        }),
        Incoming::Withdrawn { txn, .. } => Event::ClientLeft(request_id(&txn)),
        Incoming::Elapsed { timer, .. } => Event::TimerFired(timer_of(&timer)?),
        Incoming::StatusBack { state_code, engine, feedback, .. } => {
            let load = feedback.map(|row| labels.load(&row));
            Event::HealthChecked(EngineId(engine.into()), state_code == 0, load)
        }
        _ => return None,
    })
}

fn request(labels: &LabelIndex, demand: Demand) -> Request {
    let tenant = demand.user_group.as_ref().and_then(Value::as_str);
    Request {
        id: request_id(&demand.txn),
        class: labels.class(&demand.band),
        tenant: tenant.and_then(|name| labels.tenant(name)),
        session: demand.dialogue.unwrap_or(0),
        prefix: demand.prefix.filter(|p| *p != 0),
        prompt_tokens: count(demand.prompt_tokens),
        prefix_tokens: count(demand.prefix_len),
        max_tokens: count(demand.max_tokens),
        client_timeout: micros(demand.ttl),
        resumed: demand.reconnect.unwrap_or(false),
    }
}

fn request_id(id: &str) -> RequestId {
    RequestId(id.into())
}

fn endpoint(host: Host) -> Endpoint {
    let entry = Entry {
        engine: host.engine,
        zone: host.campus,
        kind: host.hw,
        rack: host.unit_group,
        state: host.stage_state,
        weight: host.power_hint,
        started: host.born.map(micros),
    };
    entry.member()
}

/// The timer of a name that [`crate::outgoing`] has given it.
fn timer_of(name: &str) -> Option<Timer> {
    match name {
        DISPATCH_TIMER => Some(Timer::DispatchPending),
        MAINTENANCE_TIMER => Some(Timer::Maintenance),
        _ => None,
    }
}

/// The outcome of a code of the wire; `None` for codes that the router does not know.
fn outcome(code: u32, detail: Option<f64>) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        100 => Outcome::Read,
        255 => Outcome::Error,
        254 if count(detail) == 1 => Outcome::StateNotFound,
        254 => Outcome::Overloaded,
        253 => Outcome::TimedOut,
        252 => Outcome::Unreachable,
        251 => Outcome::ConnectionBroken,
        250 => Outcome::Cancelled,
        249 => Outcome::NeverSent,
        _ => return None,
    })
}

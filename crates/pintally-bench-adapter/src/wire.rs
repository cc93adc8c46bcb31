//! The words of the wire, and their translation to and from the interface.

use pintally::interface::*;
use pintally_wire::{count, micros, seconds, Entry, LabelIndex};
use serde::{Deserialize, Serialize};
use serde_json::Value;

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
        r#try: Attempt,
    },
    Ended(Box<EndedLine>),
    Withdrawn {
        node: u64,
        txn: String,
    },
    Elapsed {
        node: u64,
        r#ref: String,
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
    /// The instance that the event is for.
    pub fn node(&self) -> Option<u64> {
        match self {
            Incoming::Batch { .. } | Incoming::OverToYou | Incoming::Other => None,
            Incoming::Demand(d) => Some(d.node),
            Incoming::Ended(e) => Some(e.node),
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

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    Update,
    Replace,
    Restored,
    Unavailable,
}

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

#[derive(Deserialize)]
pub struct EndedLine {
    node: u64,
    txn: String,
    r#try: Attempt,
    state_code: u32,
    #[serde(default)]
    no_more: Option<bool>,
    #[serde(default)]
    detail: Option<f64>,
    #[serde(default)]
    feedback: Option<Vec<Option<f64>>>,
}

/// A line of a reply.
#[derive(Serialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Outgoing {
    Ok {
        round: u64,
    },
    Broken {
        node: u64,
        reason_text: String,
    },
    Issue {
        node: u64,
        txn: RequestText,
        engine: RequestText,
        timeout: f64,
    },
    OverloadReply {
        node: u64,
        txn: RequestText,
        #[serde(skip_serializing_if = "Option::is_none")]
        pause: Option<f64>,
    },
    ReportFailure {
        node: u64,
        txn: RequestText,
    },
    Abandon {
        node: u64,
        txn: RequestText,
        r#try: Attempt,
    },
    Release {
        node: u64,
        txn: RequestText,
    },
    Ping {
        node: u64,
        engine: RequestText,
    },
    Timer {
        node: u64,
        from_now: f64,
        r#ref: &'static str,
    },
    Follow {
        node: u64,
        enable: bool,
    },
    SayLog {
        node: u64,
        reason_text: String,
    },
}

/// An id as it goes out: the text that came in.
#[derive(Serialize)]
#[serde(transparent)]
pub struct RequestText(String);

impl From<RequestId> for RequestText {
    fn from(id: RequestId) -> Self {
        RequestText(id.0.to_string())
    }
}

impl From<EngineId> for RequestText {
    fn from(id: EngineId) -> Self {
        RequestText(id.0.to_string())
    }
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
            Event::EndpointList(form, hosts.unwrap_or_default().into_iter().map(member).collect())
        }
        Incoming::Demand(d) => Event::RequestArrived(request(labels, *d)),
        Incoming::HeadReceived { txn, r#try, .. } => Event::FirstToken(request_id(&txn), r#try),
        Incoming::Ended(e) => Event::AttemptEnded(AttemptEnd {
            id: request_id(&e.txn),
            attempt: e.r#try,
            outcome: outcome(e.state_code, e.detail)?,
            is_final: e.no_more.unwrap_or(false),
            cached_tokens: count(e.detail),
            load: e.feedback.map(|row| labels.load(&row)),
        }),
        Incoming::Withdrawn { txn, .. } => Event::ClientLeft(request_id(&txn)),
        Incoming::Elapsed { r#ref, .. } => Event::TimerFired(match r#ref.as_str() {
            "sweep" => Timer::DispatchPending,
            "watch" => Timer::Maintenance,
            _ => return None,
        }),
        Incoming::StatusBack { state_code, engine, feedback, .. } => {
            let load = feedback.map(|row| labels.load(&row));
            Event::HealthChecked(EngineId(engine.into()), state_code == 0, load)
        }
        _ => return None,
    })
}

fn request(labels: &LabelIndex, d: Demand) -> Request {
    let tenant = d.user_group.as_ref().and_then(Value::as_str);
    Request {
        id: request_id(&d.txn),
        class: labels.class(&d.band),
        tenant: tenant.and_then(|name| labels.tenant(name)),
        session: d.dialogue.unwrap_or(0),
        prefix: d.prefix.filter(|p| *p != 0),
        prompt_tokens: count(d.prompt_tokens),
        prefix_tokens: count(d.prefix_len),
        max_tokens: count(d.max_tokens),
        client_timeout: micros(d.ttl),
        resumed: d.reconnect.unwrap_or(false),
    }
}

fn request_id(text: &str) -> RequestId {
    RequestId(text.into())
}

fn member(host: Host) -> Endpoint {
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

/// The line for an action of an instance.
pub fn outgoing(node: u64, action: Action) -> Outgoing {
    match action {
        Action::Send(id, engine, timeout) => {
            Outgoing::Issue { node, txn: id.into(), engine: engine.into(), timeout: seconds(timeout) }
        }
        Action::Reject(id, pause) => {
            Outgoing::OverloadReply { node, txn: id.into(), pause: pause.map(seconds) }
        }
        Action::Fail(id) => Outgoing::ReportFailure { node, txn: id.into() },
        Action::Cancel(id, attempt) => Outgoing::Abandon { node, txn: id.into(), r#try: attempt },
        Action::Release(id) => Outgoing::Release { node, txn: id.into() },
        Action::HealthCheck(engine) => Outgoing::Ping { node, engine: engine.into() },
        Action::SetTimer(timer, after) => {
            let name = match timer {
                Timer::DispatchPending => "sweep",
                Timer::Maintenance => "watch",
            };
            Outgoing::Timer { node, from_now: seconds(after), r#ref: name }
        }
        Action::Subscribe => Outgoing::Follow { node, enable: true },
        Action::Log(reason_text) => Outgoing::SayLog { node, reason_text },
    }
}

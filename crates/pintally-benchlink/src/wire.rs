//! The words of the wire, and their translation to and from the interface.

use std::collections::HashMap;

use pintally::interface::*;
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

#[derive(Deserialize)]
struct Conf {
    #[serde(default)]
    accounts: Vec<Account>,
    balancers: u32,
    discovery: String,
    family_info: FamilyInfo,
    feedback: Feedback,
    machine_types: Vec<String>,
    me: u32,
    permissions: Permissions,
    #[serde(default)]
    prices: Prices,
    profiles: Vec<Profile>,
    rules: Rules,
    weight_kind: String,
    zone: String,
}

#[derive(Deserialize)]
struct Account {
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Deserialize)]
struct FamilyInfo {
    #[serde(default)]
    aim_us_per_1000_prompt_tokens: Vec<f64>,
    duty_by_kind: Vec<String>,
    let_go_by: f64,
    #[serde(default)]
    read_in_place: bool,
    #[serde(default)]
    memory_tokens: Vec<f64>,
    #[serde(default)]
    token_aim: Vec<f64>,
}

#[derive(Deserialize)]
struct Feedback {
    #[serde(default)]
    fields: Vec<String>,
    source: String,
}

#[derive(Deserialize)]
struct Permissions {
    attempts_cap: u32,
    may_cancel: bool,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Default, Deserialize)]
struct Prices {
    /// Where no price is told a probe is taken to be free; own traffic bounds probes all the same.
    #[serde(default)]
    probe: f64,
}

#[derive(Deserialize)]
struct Profile {
    name: String,
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    dedup_window: f64,
    objective: f64,
    #[serde(default)]
    gain: f64,
    #[serde(default)]
    late_value: f64,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(default)]
    ask_within: f64,
    cold_from: f64,
    overload_for: f64,
    tip_multiple: f64,
    warm_after: f64,
}

/// What turns the names of an instance's events into indices.
pub struct Names {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    fields: Vec<String>,
}

/// Seconds on the wire as microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

fn count(value: Option<f64>) -> u64 {
    value.unwrap_or(0.0).max(0.0) as u64
}

fn index<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    names.enumerate().map(|(i, n)| (n.clone(), i)).collect()
}

/// The settings of an instance; an error says what is missing or wrong.
pub fn settings(conf: Value) -> Result<(Settings, Names), String> {
    let conf: Conf = serde_json::from_value(conf).map_err(|e| format!("settings: {e}"))?;
    if conf.me >= conf.balancers {
        return Err(format!("settings: `me` is {}, outside the {} of `balancers`", conf.me, conf.balancers));
    }
    let info = &conf.family_info;
    let mut kinds = Vec::new();
    for (i, name) in conf.machine_types.iter().enumerate() {
        let role = match info.duty_by_kind.get(i).map(String::as_str) {
            Some("read") => Role::Reader,
            Some("write") => Role::Writer,
            Some("both") => Role::Mixed,
            Some(other) => return Err(format!("settings: unknown value `{other}` in `duty_by_kind`")),
            None => return Err("settings: `duty_by_kind` is shorter than `machine_types`".into()),
        };
        let memory_tokens = count(info.memory_tokens.get(i).copied());
        kinds.push(Kind { name: name.clone(), role, memory_tokens });
    }
    let mut classes = Vec::new();
    for (i, p) in conf.profiles.iter().enumerate() {
        let effect = match (p.effect.as_str(), p.group.as_deref()) {
            ("repeatable", _) => Effect::Safe,
            ("once", _) => Effect::Unsafe,
            ("by_key", group) => {
                let group = match group {
                    Some("all") => Group::All,
                    Some("zone") => Group::Zone,
                    Some("cell") => Group::Rack,
                    _ => return Err("settings: unknown or missing `group` in `profiles`".into()),
                };
                Effect::Keyed(group, micros(p.dedup_window))
            }
            (other, _) => return Err(format!("settings: unknown value `{other}` for `effect`")),
        };
        classes.push(Class {
            name: p.name.clone(),
            effect,
            aim: micros(p.objective),
            aim_per_1000_tokens: count(info.aim_us_per_1000_prompt_tokens.get(i).copied()),
            token_aim: micros(info.token_aim.get(i).copied().unwrap_or(0.0)),
            worth: p.gain,
            late_share: p.late_value,
        });
    }
    let names = Names {
        classes: index(conf.profiles.iter().map(|p| &p.name)),
        tenants: index(conf.accounts.iter().map(|a| &a.name)),
        fields: conf.feedback.fields,
    };
    let tenants =
        conf.accounts.into_iter().map(|a| Tenant { name: a.name, quota_per_s: a.quota_rps }).collect();
    let settings = Settings {
        zone: conf.zone,
        node: conf.me,
        nodes: conf.balancers,
        classes,
        tenants,
        kinds,
        discovery: match conf.discovery.as_str() {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::OnRequest,
            other => return Err(format!("settings: unknown value `{other}` for `discovery`")),
        },
        reports: match conf.feedback.source.as_str() {
            "inline" => Reports::Inline,
            "on_probe" => Reports::OnProbe,
            _ => Reports::Off,
        },
        weights: conf.weight_kind != "off",
        writers_read: conf.family_info.read_in_place,
        may_cancel: conf.permissions.may_cancel,
        may_probe: conf.permissions.probes,
        probe_price: conf.prices.probe,
        retry_advice: conf.permissions.retry_after,
        max_retry_after: micros(conf.permissions.max_retry_after),
        max_attempts: conf.permissions.attempts_cap,
        cold_from: conf.rules.cold_from,
        warm_after: micros(conf.rules.warm_after),
        tip_multiple: conf.rules.tip_multiple,
        tip_window: micros(conf.rules.overload_for),
        release_within: micros(conf.family_info.let_go_by),
        ask_within: micros(conf.rules.ask_within),
    };
    Ok((settings, names))
}

impl Names {
    /// The event of a message, if it is one that the router knows.
    pub fn event(&self, message: Incoming) -> Option<Event> {
        Some(match message {
            Incoming::Update { form, hosts, .. } => {
                let form = match form {
                    Form::Update => ListForm::Change,
                    Form::Replace | Form::Restored => ListForm::Full,
                    Form::Unavailable => ListForm::Failed,
                };
                Event::Members(form, hosts.unwrap_or_default().into_iter().map(member).collect())
            }
            Incoming::Demand(d) => Event::Arrived(self.request(*d)),
            Incoming::HeadReceived { txn, r#try, .. } => Event::FirstToken(request_id(&txn), r#try),
            Incoming::Ended(e) => Event::Ended(Ended {
                id: request_id(&e.txn),
                attempt: e.r#try,
                outcome: outcome(e.state_code, e.detail)?,
                last: e.no_more.unwrap_or(false),
                kept: count(e.detail),
                load: e.feedback.map(|row| self.load(&row)),
            }),
            Incoming::Withdrawn { txn, .. } => Event::Withdrawn(request_id(&txn)),
            Incoming::Elapsed { r#ref, .. } => Event::Elapsed(match r#ref.as_str() {
                "sweep" => Timer::Sweep,
                "watch" => Timer::Watch,
                _ => return None,
            }),
            Incoming::StatusBack { state_code, engine, feedback, .. } => {
                let load = feedback.map(|row| self.load(&row));
                Event::Probed(EngineId(engine.into()), state_code == 0, load)
            }
            _ => return None,
        })
    }

    fn request(&self, d: Demand) -> Request {
        let tenant = d.user_group.as_ref().and_then(Value::as_str);
        Request {
            id: request_id(&d.txn),
            class: self.classes.get(&d.band).copied(),
            tenant: tenant.and_then(|name| self.tenants.get(name).copied()),
            session: d.dialogue.unwrap_or(0),
            prefix: d.prefix.filter(|p| *p != 0),
            prompt_tokens: count(d.prompt_tokens),
            prefix_tokens: count(d.prefix_len),
            max_tokens: count(d.max_tokens),
            patience: micros(d.ttl),
            resumed: d.reconnect.unwrap_or(false),
        }
    }

    fn load(&self, row: &[Option<f64>]) -> Load {
        let mut load = Load::default();
        for (name, value) in self.fields.iter().zip(row) {
            match name.as_str() {
                "busy" => load.slots = *value,
                "q" => load.queue = *value,
                "x0" => load.memory = *value,
                "x1" => load.backlog = *value,
                _ => {}
            }
        }
        load
    }
}

fn request_id(text: &str) -> RequestId {
    RequestId(text.into())
}

fn member(host: Host) -> Member {
    Member {
        engine: EngineId(host.engine.into()),
        zone: host.campus,
        kind: host.hw,
        rack: host.unit_group,
        listing: match host.stage_state.as_str() {
            "SERVING" => Listing::Serving,
            "DRAINING" => Listing::Draining,
            _ => Listing::Gone,
        },
        weight: host.power_hint.unwrap_or(1.0),
        started: host.born.filter(|b| *b > 0.0).map(micros),
    }
}

fn outcome(code: u32, detail: Option<f64>) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        100 => Outcome::Read,
        255 => Outcome::Error,
        254 if count(detail) == 1 => Outcome::NoState,
        254 => Outcome::Full,
        253 => Outcome::TimedOut,
        252 => Outcome::Unreachable,
        251 => Outcome::Broken,
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
        Action::Refuse(id, pause) => {
            Outgoing::OverloadReply { node, txn: id.into(), pause: pause.map(seconds) }
        }
        Action::Fail(id) => Outgoing::ReportFailure { node, txn: id.into() },
        Action::Cancel(id, attempt) => Outgoing::Abandon { node, txn: id.into(), r#try: attempt },
        Action::Release(id) => Outgoing::Release { node, txn: id.into() },
        Action::Probe(engine) => Outgoing::Ping { node, engine: engine.into() },
        Action::Wake(timer, after) => {
            let name = match timer {
                Timer::Sweep => "sweep",
                Timer::Watch => "watch",
            };
            Outgoing::Timer { node, from_now: seconds(after), r#ref: name }
        }
        Action::Follow => Outgoing::Follow { node, enable: true },
        Action::Log(reason_text) => Outgoing::SayLog { node, reason_text },
    }
}

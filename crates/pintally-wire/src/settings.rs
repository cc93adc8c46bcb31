//! The settings object: what an instance or a node is told when it starts.

use pintally::interface::*;
use serde::Deserialize;
use serde_json::Value;

use crate::{count, micros, LabelIndex};

/// Where the settings name no time for letting go, what the platform's deployments are given, in
/// microseconds: a state is never held without a deadline.
const LET_GO_BY: u64 = 500_000;

/// All that a settings object tells.
#[derive(Clone, Debug)]
pub struct NodeConfiguration {
    /// What the decision core is told.
    pub settings: Settings,
    /// What turns names into indices.
    pub labels: LabelIndex,
    /// What only a host with sockets needs.
    pub transport: TransportSettings,
}

/// What only a host with sockets needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// The longest time that clients of each class wait, in the order of the classes; 0 if not told.
    pub deadlines: Vec<Micros>,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Engines close connections that have been idle for so long.
    pub keep_alive: Micros,
    /// Sends to an engine stop within this time of word that it drains or is gone.
    pub drain_grace: Micros,
    /// Requests that one node may hold at once; 0 if not told.
    pub max_open: u64,
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
    /// Missing or 0: states are let go within [`LET_GO_BY`].
    #[serde(default)]
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
    #[serde(default = "connect_timeout")]
    connect_timeout: f64,
    #[serde(default = "keep_alive")]
    keepalive: f64,
    #[serde(default)]
    max_open: f64,
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
    #[serde(default)]
    deadline: f64,
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
    #[serde(default = "drain_grace")]
    stop_sending_within: f64,
    overload_for: f64,
    tip_multiple: f64,
    warm_after: f64,
}

fn connect_timeout() -> f64 {
    0.25
}

fn drain_grace() -> f64 {
    1.0
}

fn keep_alive() -> f64 {
    15.0
}

/// The settings of an instance; an error says what is missing or wrong.
pub fn settings(conf: Value) -> Result<NodeConfiguration, String> {
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
        kinds.push(EngineKind { name: name.clone(), role, memory_tokens });
    }
    let mut classes = Vec::new();
    for (i, p) in conf.profiles.iter().enumerate() {
        let effect = match (p.effect.as_str(), p.group.as_deref()) {
            ("repeatable", _) => Idempotency::Idempotent,
            ("once", _) => Idempotency::NotIdempotent,
            ("by_key", group) => {
                let group = match group {
                    Some("all") => IdempotencyScope::All,
                    Some("zone") => IdempotencyScope::Zone,
                    Some("cell") => IdempotencyScope::Rack,
                    _ => return Err("settings: unknown or missing `group` in `profiles`".into()),
                };
                Idempotency::WithKey(group, micros(p.dedup_window))
            }
            (other, _) => return Err(format!("settings: unknown value `{other}` for `effect`")),
        };
        classes.push(Class {
            name: p.name.clone(),
            effect,
            latency_objective: micros(p.objective),
            latency_objective_per_1000_tokens: count(info.aim_us_per_1000_prompt_tokens.get(i).copied()),
            token_interval_objective: micros(info.token_aim.get(i).copied().unwrap_or(0.0)),
            priority_weight: p.gain,
            late_weight_fraction: p.late_value,
        });
    }
    let transport = TransportSettings {
        deadlines: conf.profiles.iter().map(|p| micros(p.deadline)).collect(),
        connect_timeout: micros(conf.permissions.connect_timeout),
        keep_alive: micros(conf.permissions.keepalive),
        drain_grace: micros(conf.rules.stop_sending_within),
        max_open: count(Some(conf.permissions.max_open)),
    };
    let labels = LabelIndex::new(
        conf.profiles.iter().map(|p| &p.name),
        conf.accounts.iter().map(|a| &a.name),
        conf.feedback.fields,
    );
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
            "pushed" => DiscoveryMode::Push,
            "on_request" => DiscoveryMode::Subscribe,
            other => return Err(format!("settings: unknown value `{other}` for `discovery`")),
        },
        reports: match conf.feedback.source.as_str() {
            "inline" => LoadReporting::Inline,
            "on_probe" => LoadReporting::OnHealthCheck,
            _ => LoadReporting::Off,
        },
        weights: conf.weight_kind != "off",
        writers_read_prompts: conf.family_info.read_in_place,
        cancellation_allowed: conf.permissions.may_cancel,
        health_checks_allowed: conf.permissions.probes,
        health_check_price: conf.prices.probe,
        clients_honour_retry_after: conf.permissions.retry_after,
        max_retry_after: micros(conf.permissions.max_retry_after),
        max_attempts: conf.permissions.attempts_cap,
        slow_start_min_capacity: conf.rules.cold_from,
        slow_start_duration: micros(conf.rules.warm_after),
        overload_factor: conf.rules.tip_multiple,
        overload_window: micros(conf.rules.overload_for),
        connect_timeout: transport.connect_timeout,
        release_deadline: match micros(conf.family_info.let_go_by) {
            0 => LET_GO_BY,
            told => told,
        },
        max_poll_interval: micros(conf.rules.ask_within),
        remembered_service_rates: [0.0; 3],
    };
    Ok(NodeConfiguration { settings, labels, transport })
}

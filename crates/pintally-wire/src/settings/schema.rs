//! The JSON schema of the settings object. The bench defines the names of its keys and values; only this
//! file and [`super::parse_settings`] contain them. The types are named after the bench's keys, because
//! serde puts the type names into the error messages that the bench records.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct Conf {
    #[serde(default, rename = "accounts")]
    pub(super) tenants: Vec<Account>,
    #[serde(rename = "balancers")]
    pub(super) nodes: u32,
    pub(super) discovery: String,
    #[serde(rename = "family_info")]
    pub(super) family: FamilyInfo,
    #[serde(rename = "feedback")]
    pub(super) load_reports: Feedback,
    #[serde(rename = "machine_types")]
    pub(super) kinds: Vec<String>,
    #[serde(rename = "me")]
    pub(super) node: u32,
    pub(super) permissions: Permissions,
    #[serde(default)]
    pub(super) prices: Prices,
    #[serde(rename = "profiles")]
    pub(super) classes: Vec<Profile>,
    pub(super) rules: Rules,
    pub(super) weight_kind: String,
    pub(super) zone: String,
}

#[derive(Deserialize)]
pub(super) struct Account {
    pub(super) name: String,
    #[serde(default, rename = "quota_rps")]
    pub(super) quota_per_s: f64,
}

/// Settings of the engines: lists by kind of machine or by class.
#[derive(Deserialize)]
pub(super) struct FamilyInfo {
    #[serde(default, rename = "aim_us_per_1000_prompt_tokens")]
    pub(super) latency_objective_us_per_1000_tokens: Vec<f64>,
    #[serde(rename = "duty_by_kind")]
    pub(super) roles: Vec<String>,
    /// If it is missing or 0, a default release deadline applies.
    #[serde(default, rename = "let_go_by")]
    pub(super) release_deadline_s: f64,
    #[serde(default, rename = "read_in_place")]
    pub(super) writers_read_prompts: bool,
    #[serde(default)]
    pub(super) memory_tokens: Vec<f64>,
    #[serde(default, rename = "token_aim")]
    pub(super) token_interval_objective_s: Vec<f64>,
}

#[derive(Deserialize)]
pub(super) struct Feedback {
    #[serde(default)]
    pub(super) fields: Vec<String>,
    pub(super) source: String,
}

#[derive(Deserialize)]
pub(super) struct Permissions {
    #[serde(rename = "attempts_cap")]
    pub(super) max_attempts: u32,
    #[serde(default = "default_connect_timeout_s", rename = "connect_timeout")]
    pub(super) connect_timeout_s: f64,
    #[serde(default = "default_keep_alive_s", rename = "keepalive")]
    pub(super) keep_alive_s: f64,
    #[serde(default)]
    pub(super) max_open: f64,
    #[serde(rename = "may_cancel")]
    pub(super) cancellation_allowed: bool,
    #[serde(default, rename = "max_retry_after")]
    pub(super) max_retry_after_s: f64,
    #[serde(default, rename = "probes")]
    pub(super) health_checks_allowed: bool,
    #[serde(default, rename = "retry_after")]
    pub(super) clients_honour_retry_after: bool,
}

#[derive(Default, Deserialize)]
pub(super) struct Prices {
    /// If it is missing, health checks cost nothing; the node's own traffic limits their number all the same.
    #[serde(default, rename = "probe")]
    pub(super) health_check: f64,
}

#[derive(Deserialize)]
pub(super) struct Profile {
    pub(super) name: String,
    #[serde(default, rename = "deadline")]
    pub(super) deadline_s: f64,
    #[serde(rename = "effect")]
    pub(super) idempotency: String,
    #[serde(default, rename = "group")]
    pub(super) idempotency_scope: Option<String>,
    #[serde(default, rename = "dedup_window")]
    pub(super) idempotency_window_s: f64,
    #[serde(rename = "objective")]
    pub(super) latency_objective_s: f64,
    #[serde(default, rename = "gain")]
    pub(super) priority_weight: f64,
    #[serde(default, rename = "late_value")]
    pub(super) late_weight_fraction: f64,
}

#[derive(Deserialize)]
pub(super) struct Rules {
    #[serde(default, rename = "ask_within")]
    pub(super) max_poll_interval_s: f64,
    #[serde(rename = "cold_from")]
    pub(super) slow_start_min_capacity: f64,
    #[serde(default = "default_drain_grace_s", rename = "stop_sending_within")]
    pub(super) drain_grace_s: f64,
    #[serde(rename = "overload_for")]
    pub(super) overload_window_s: f64,
    #[serde(rename = "tip_multiple")]
    pub(super) overload_factor: f64,
    #[serde(rename = "warm_after")]
    pub(super) slow_start_duration_s: f64,
}

fn default_connect_timeout_s() -> f64 {
    0.25
}

fn default_drain_grace_s() -> f64 {
    1.0
}

fn default_keep_alive_s() -> f64 {
    15.0
}

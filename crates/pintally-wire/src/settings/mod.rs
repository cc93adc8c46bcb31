//! The settings object that an instance of the adapter or a node is given when it starts.

mod error;
mod form;

use pintally::interface::*;
use serde_json::Value;

pub use self::error::SettingsError;
use self::form::{Conf, Profile};
use crate::{count, micros, LabelIndex};

/// The release deadline where the settings name none, which is what the platform's deployments are
/// given: a state is never reserved without a deadline.
const DEFAULT_RELEASE_DEADLINE_US: Micros = 500_000;

/// All that a settings object holds.
#[derive(Clone, Debug)]
pub struct NodeConfiguration {
    /// The settings of the decision core.
    pub settings: Settings,
    /// What turns labels into indices.
    pub labels: LabelIndex,
    /// What only a host with sockets needs.
    pub transport: TransportSettings,
}

/// What only a host with sockets needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// The longest time that clients of each class wait, in the order of the classes; 0 if unknown.
    pub deadlines: Vec<Micros>,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Engines close connections that have been idle for so long.
    pub keep_alive: Micros,
    /// Sends to an engine stop within this time of the watch event that it is draining or gone.
    pub drain_grace: Micros,
    /// Requests that one node may have open at once; 0 if unlimited by the settings.
    pub max_open: u64,
}

/// Reads a settings object.
///
/// # Errors
///
/// Says which key is missing or which value is not known.
pub fn settings(object: Value) -> Result<NodeConfiguration, SettingsError> {
    let form: Conf = serde_json::from_value(object)?;
    if form.node >= form.nodes {
        return Err(SettingsError::NodeOutOfRange { node: form.node, nodes: form.nodes });
    }
    let kinds = engine_kinds(&form)?;
    let classes = classes(&form)?;
    let discovery = discovery_mode(&form.discovery)?;
    let transport = transport_settings(&form);
    let labels = LabelIndex::new(
        form.classes.iter().map(|class| &class.name),
        form.tenants.iter().map(|tenant| &tenant.name),
        form.load_reports.fields.clone(),
    );
    let settings = core_settings(form, kinds, classes, discovery);
    Ok(NodeConfiguration { settings, labels, transport })
}

fn core_settings(
    form: Conf,
    kinds: Vec<EngineKind>,
    classes: Vec<Class>,
    discovery: DiscoveryMode,
) -> Settings {
    let Conf { tenants, family, permissions, rules, .. } = form;
    let tenants = tenants
        .into_iter()
        .map(|tenant| Tenant { name: tenant.name, quota_per_s: tenant.quota_per_s })
        .collect();
    Settings {
        zone: form.zone,
        node_index: form.node,
        node_count: form.nodes,
        classes,
        tenants,
        engine_kinds: kinds,
        discovery_mode: discovery,
        load_reporting: load_reporting(&form.load_reports.source),
        use_registered_weights: form.weight_kind != "off",
        writers_read_prompts: family.writers_read_prompts,
        cancellation_allowed: permissions.cancellation_allowed,
        health_checks_allowed: permissions.health_checks_allowed,
        health_check_cost: form.prices.health_check,
        clients_honour_retry_after: permissions.clients_honour_retry_after,
        max_retry_after: micros(permissions.max_retry_after_s),
        max_attempts: permissions.max_attempts,
        slow_start_min_capacity: rules.slow_start_min_capacity,
        slow_start_duration: micros(rules.slow_start_duration_s),
        overload_factor: rules.overload_factor,
        overload_window: micros(rules.overload_window_s),
        connect_timeout: micros(permissions.connect_timeout_s),
        release_deadline: release_deadline(family.release_deadline_s),
        max_discovery_poll_interval: micros(rules.max_poll_interval_s),
        remembered_service_rates: [0.0; 3],
    }
}

fn transport_settings(form: &Conf) -> TransportSettings {
    TransportSettings {
        deadlines: form.classes.iter().map(|class| micros(class.deadline_s)).collect(),
        connect_timeout: micros(form.permissions.connect_timeout_s),
        keep_alive: micros(form.permissions.keep_alive_s),
        drain_grace: micros(form.rules.drain_grace_s),
        max_open: count(Some(form.permissions.max_open)),
    }
}

fn engine_kinds(form: &Conf) -> Result<Vec<EngineKind>, SettingsError> {
    let kinds = form.kinds.iter().enumerate();
    kinds
        .map(|(index, name)| {
            let role = form.family.roles.get(index).ok_or(SettingsError::MissingRole)?;
            let memory_tokens = count(form.family.memory_tokens.get(index).copied());
            Ok(EngineKind { name: name.clone(), role: engine_role(role)?, memory_tokens })
        })
        .collect()
}

fn engine_role(value: &str) -> Result<Role, SettingsError> {
    match value {
        "read" => Ok(Role::Reader),
        "write" => Ok(Role::Writer),
        "both" => Ok(Role::Mixed),
        other => Err(SettingsError::UnknownRole(other.into())),
    }
}

fn classes(form: &Conf) -> Result<Vec<Class>, SettingsError> {
    let family = &form.family;
    let classes = form.classes.iter().enumerate();
    classes
        .map(|(index, class)| {
            let per_1000_tokens = family.latency_objective_us_per_1000_tokens.get(index).copied();
            let token_interval = family.token_interval_objective_s.get(index).copied();
            Ok(Class {
                name: class.name.clone(),
                idempotency: idempotency(class)?,
                latency_objective: micros(class.latency_objective_s),
                latency_objective_per_1000_tokens: count(per_1000_tokens),
                token_interval_objective: micros(token_interval.unwrap_or(0.0)),
                priority_weight: class.priority_weight,
                late_weight_fraction: class.late_weight_fraction,
            })
        })
        .collect()
}

fn idempotency(class: &Profile) -> Result<Idempotency, SettingsError> {
    match class.idempotency.as_str() {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NotIdempotent),
        "by_key" => {
            let scope = idempotency_scope(class.idempotency_scope.as_deref())?;
            Ok(Idempotency::WithKey(scope, micros(class.idempotency_window_s)))
        }
        other => Err(SettingsError::UnknownIdempotency(other.into())),
    }
}

fn idempotency_scope(value: Option<&str>) -> Result<IdempotencyScope, SettingsError> {
    match value {
        Some("all") => Ok(IdempotencyScope::All),
        Some("zone") => Ok(IdempotencyScope::Zone),
        Some("cell") => Ok(IdempotencyScope::Rack),
        _ => Err(SettingsError::UnknownIdempotencyScope),
    }
}

fn discovery_mode(value: &str) -> Result<DiscoveryMode, SettingsError> {
    match value {
        "pushed" => Ok(DiscoveryMode::Push),
        "on_request" => Ok(DiscoveryMode::Subscribe),
        other => Err(SettingsError::UnknownDiscoveryMode(other.into())),
    }
}

fn load_reporting(value: &str) -> LoadReporting {
    match value {
        "inline" => LoadReporting::Inline,
        "on_probe" => LoadReporting::OnHealthCheck,
        _ => LoadReporting::Off,
    }
}

fn release_deadline(seconds: f64) -> Micros {
    match micros(seconds) {
        0 => DEFAULT_RELEASE_DEADLINE_US,
        deadline => deadline,
    }
}

//! Parser of the settings object that a node, or an instance in the adapter, is started with.

mod error;
mod schema;

use pintally::interface::*;
use serde_json::Value;

pub use self::error::SettingsError;
use self::schema::{Conf, Profile};
use crate::{seconds_to_micros, to_count, LabelIndex};

/// The release deadline if the settings state none, as in the platform's deployments: a state is never
/// reserved without a deadline.
const DEFAULT_RELEASE_DEADLINE_US: Micros = 500_000;

/// The contents of a settings object.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The settings of the decision core.
    pub settings: Settings,
    /// The indices of classes, tenants and load fields by label.
    pub labels: LabelIndex,
    /// The settings that only a host with sockets needs.
    pub transport: TransportSettings,
}

/// The settings that only a host with sockets needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// The maximum time that clients of each class wait, in the order of the classes; 0 if unknown.
    pub deadlines: Vec<Micros>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Engines close connections that have been idle for this time.
    pub keep_alive: Micros,
    /// Sends to an engine stop within this time of the watch event that it is draining or gone.
    pub drain_grace: Micros,
    /// Maximum number of open requests of one node; 0 if the settings state no limit.
    pub max_open: u64,
}

/// Parses a settings object.
///
/// # Errors
///
/// If a key is missing, or a value is malformed, out of range or unknown.
pub fn parse_settings(value: Value) -> Result<ParsedSettings, SettingsError> {
    let object: Conf = serde_json::from_value(value)?;
    if object.node >= object.nodes {
        return Err(SettingsError::NodeOutOfRange { node: object.node, nodes: object.nodes });
    }
    let kinds = engine_kinds(&object)?;
    let classes = classes(&object)?;
    let discovery = discovery_mode(&object.discovery)?;
    let transport = transport_settings(&object);
    let labels = LabelIndex::new(
        object.classes.iter().map(|class| &class.name),
        object.tenants.iter().map(|tenant| &tenant.name),
        object.load_reports.fields.clone(),
    );
    let settings = core_settings(object, kinds, classes, discovery);
    Ok(ParsedSettings { settings, labels, transport })
}

fn core_settings(
    object: Conf,
    kinds: Vec<EngineKind>,
    classes: Vec<Class>,
    discovery: DiscoveryMode,
) -> Settings {
    let Conf { tenants, family, permissions, rules, .. } = object;
    let tenants = tenants
        .into_iter()
        .map(|tenant| Tenant { name: tenant.name, quota_per_s: tenant.quota_per_s })
        .collect();
    Settings {
        zone: object.zone,
        node_index: object.node,
        node_count: object.nodes,
        classes,
        tenants,
        engine_kinds: kinds,
        discovery_mode: discovery,
        load_reporting: load_reporting(&object.load_reports.source),
        weight_kind: weight_kind(&object.weight_kind),
        writers_read_prompts: family.writers_read_prompts,
        cancellation_allowed: permissions.cancellation_allowed,
        health_checks_allowed: permissions.health_checks_allowed,
        health_check_cost: object.prices.health_check,
        clients_honour_retry_after: permissions.clients_honour_retry_after,
        max_retry_after: seconds_to_micros(permissions.max_retry_after_s),
        max_attempts: permissions.max_attempts,
        slow_start_min_capacity: rules.slow_start_min_capacity,
        slow_start_duration: seconds_to_micros(rules.slow_start_duration_s),
        overload_factor: rules.overload_factor,
        overload_window: seconds_to_micros(rules.overload_window_s),
        connect_timeout: seconds_to_micros(permissions.connect_timeout_s),
        release_deadline: release_deadline(family.release_deadline_s),
        max_discovery_poll_interval: seconds_to_micros(rules.max_poll_interval_s),
        remembered_service_rates: [0.0; 3],
    }
}

fn transport_settings(object: &Conf) -> TransportSettings {
    TransportSettings {
        deadlines: object.classes.iter().map(|class| seconds_to_micros(class.deadline_s)).collect(),
        connect_timeout: seconds_to_micros(object.permissions.connect_timeout_s),
        keep_alive: seconds_to_micros(object.permissions.keep_alive_s),
        drain_grace: seconds_to_micros(object.rules.drain_grace_s),
        max_open: to_count(Some(object.permissions.max_open)),
    }
}

fn engine_kinds(object: &Conf) -> Result<Vec<EngineKind>, SettingsError> {
    let kinds = object.kinds.iter().enumerate();
    kinds
        .map(|(index, name)| {
            let role = object.family.roles.get(index).ok_or(SettingsError::MissingRole)?;
            let memory_tokens = to_count(object.family.memory_tokens.get(index).copied());
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

fn classes(object: &Conf) -> Result<Vec<Class>, SettingsError> {
    let family = &object.family;
    let classes = object.classes.iter().enumerate();
    classes
        .map(|(index, class)| {
            let per_1000_tokens = family.latency_objective_us_per_1000_tokens.get(index).copied();
            let token_interval = family.token_interval_objective_s.get(index).copied();
            Ok(Class {
                name: class.name.clone(),
                idempotency: idempotency(class)?,
                latency_objective: seconds_to_micros(class.latency_objective_s),
                latency_objective_per_1000_tokens: to_count(per_1000_tokens),
                token_interval_objective: seconds_to_micros(token_interval.unwrap_or(0.0)),
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
            Ok(Idempotency::WithKey(scope, seconds_to_micros(class.idempotency_window_s)))
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

fn weight_kind(value: &str) -> WeightKind {
    match value {
        "nominal" => WeightKind::Nominal,
        "rough" => WeightKind::Rough,
        "live" => WeightKind::Live,
        _ => WeightKind::Off,
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
    match seconds_to_micros(seconds) {
        0 => DEFAULT_RELEASE_DEADLINE_US,
        deadline => deadline,
    }
}

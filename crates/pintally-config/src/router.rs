//! The settings of the routing core: `(rules ...)` and some keys of `(node ...)`.

use pintally::interface::{DiscoveryMode, LoadReporting, Settings, WeightKind};

use crate::form::{millis, Document, Form};
use crate::{check, ConfigError};

/// The maximum number of nodes of a fleet.
const MAX_NODES: u64 = 100_000;

/// Reads the core's settings, without classes, tenants and engine kinds.
pub(crate) fn read(root: &Form, node: &Form) -> Result<Settings, ConfigError> {
    let nodes = node.count_or("of", 1, 1, MAX_NODES)? as u32;
    let number = node.count_or("number", 0, 0, MAX_NODES)? as u32;
    if number >= nodes {
        return Err(node.error(format!(
            "`node.number`: must be below `node.of` ({nodes}), not {number}: nodes are counted from 0"
        )));
    }
    let mut settings = defaults(node.text_or("zone", "")?, number, nodes);
    let empty = Document::parse("", "(rules)")?;
    let rules = match root.optional_form("rules")? {
        Some(form) => form,
        None => empty.only_form("rules")?,
    };
    read_rules(&rules, &mut settings)?;
    rules.finish()?;
    Ok(settings)
}

/// The default settings of a node, with its zone, its index and the number of nodes.
fn defaults(zone: String, node_index: u32, node_count: u32) -> Settings {
    Settings {
        zone,
        node_index,
        node_count,
        classes: Vec::new(),
        tenants: Vec::new(),
        engine_kinds: Vec::new(),
        discovery_mode: DiscoveryMode::Push,
        load_reporting: LoadReporting::Inline,
        weight_kind: WeightKind::Nominal,
        writers_read_prompts: false,
        cancellation_allowed: true,
        health_checks_allowed: true,
        health_check_cost: 0.0,
        clients_honour_retry_after: true,
        max_retry_after: 2_000_000,
        max_attempts: 6,
        slow_start_min_capacity: 0.3,
        slow_start_duration: 14_000_000,
        overload_factor: 2.5,
        overload_window: 2_000_000,
        connect_timeout: 250_000,
        release_deadline: 500_000,
        max_discovery_poll_interval: 0,
        remembered_service_rates: [0.0; 3],
    }
}

/// Reads the keys of a `(rules ...)` form into the settings; a setting whose key is missing keeps its value.
/// The form may hold further keys, so the caller finishes it.
///
/// # Errors
///
/// Fails if a value is invalid or if values are inconsistent with each other.
pub fn read_rules(form: &Form, settings: &mut Settings) -> Result<(), ConfigError> {
    settings.load_reporting = load_reporting(form, settings.load_reporting)?;
    settings.weight_kind = weight_kind(form, settings.weight_kind)?;
    settings.writers_read_prompts = form.boolean_or("writers-read", settings.writers_read_prompts)?;
    settings.cancellation_allowed = form.boolean_or("cancel", settings.cancellation_allowed)?;
    settings.health_checks_allowed = form.boolean_or("probes", settings.health_checks_allowed)?;
    settings.health_check_cost = form.number_or("probe-price", settings.health_check_cost, 0.0, 100.0)?;
    settings.clients_honour_retry_after =
        form.boolean_or("retry-after", settings.clients_honour_retry_after)?;
    settings.max_retry_after =
        form.millis_or("retry-after-most-ms", millis(settings.max_retry_after), 0.0, 600_000.0)?;
    settings.max_attempts = form.count_or("attempts", settings.max_attempts.into(), 1, 100)? as u32;
    settings.slow_start_min_capacity =
        form.number_or("cold-from", settings.slow_start_min_capacity, 0.001, 1.0)?;
    settings.slow_start_duration =
        form.millis_or("warm-after-ms", millis(settings.slow_start_duration), 0.0, 3_600_000.0)?;
    settings.overload_factor = form.number_or("tip-multiple", settings.overload_factor, 0.1, 1000.0)?;
    settings.overload_window =
        form.millis_or("tip-window-ms", millis(settings.overload_window), 1.0, 600_000.0)?;
    settings.release_deadline =
        form.millis_or("release-within-ms", millis(settings.release_deadline), 1.0, 600_000.0)?;
    check::rules(form, settings)
}

fn weight_kind(form: &Form, default: WeightKind) -> Result<WeightKind, ConfigError> {
    let Some(weights) = form.optional_form("weights")? else { return Ok(default) };
    let kind = match weights.text()?.as_str() {
        "yes" => WeightKind::Nominal,
        "rough" => WeightKind::Rough,
        "live" => WeightKind::Live,
        "no" => WeightKind::Off,
        other => {
            let message = format!("`weights`: must be yes, rough, live or no, not `{other}`");
            return Err(weights.error(message));
        }
    };
    weights.finish()?;
    Ok(kind)
}

fn load_reporting(form: &Form, default: LoadReporting) -> Result<LoadReporting, ConfigError> {
    let default = match default {
        LoadReporting::Inline => "inline",
        LoadReporting::OnHealthCheck => "on-probe",
        LoadReporting::Off => "off",
    };
    match form.text_or("reports", default)?.as_str() {
        "inline" => Ok(LoadReporting::Inline),
        "on-probe" => Ok(LoadReporting::OnHealthCheck),
        "off" => Ok(LoadReporting::Off),
        other => Err(form.error(format!("`reports`: must be inline, on-probe or off, not `{other}`"))),
    }
}

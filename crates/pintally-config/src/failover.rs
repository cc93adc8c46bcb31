//! Failover between zones: `(regions ...)`. Without this form the engines of all zones serve all requests.

use std::fmt;

use pintally::interface::Micros;
use pintally_failover::{Settings, Zone, ZoneMap};

use crate::form::{millis, quoted, Form};
use crate::{rule, ConfigError, NodeSettings};

/// The maximum price of routing a request between two zones.
const MAX_PRICE: f64 = 1e6;
/// The number of steps of the recovery ramp, in which the requests of a zone return to it.
const RAMP_STEPS: Micros = 4;

/// The settings of failover, and the classes and tenants whose requests may not leave their region.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    /// The settings of the failover policy, with the zones.
    pub policy: Settings,
    /// Classes whose requests may not leave their region.
    pub pinned_classes: Vec<String>,
    /// Tenants whose requests may not leave their region.
    pub pinned_tenants: Vec<String>,
}

impl fmt::Display for FailoverSettings {
    /// Writes the form from which these settings can be read again.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = &self.policy;
        write!(
            f,
            "(regions (per-engine-per-s {:?}) (fill {:?}) (floor {:?})",
            policy.requests_per_second_per_engine, policy.max_utilization, policy.local_reserve
        )?;
        write!(
            f,
            " (every-ms {}) (lasts-ms {}) (grace-ms {})",
            millis(policy.plan_interval),
            millis(policy.plan_lifetime),
            millis(policy.failure_grace)
        )?;
        write!(
            f,
            " (hold-ms {}) (hold-most-ms {}) (step-ms {})",
            millis(policy.base_hold_down),
            millis(policy.max_hold_down),
            millis(policy.ramp_step)
        )?;
        for zone in &policy.zones.zones {
            write!(f, " (zone {} {})", quoted(&zone.name), quoted(&zone.region))?;
        }
        let name = |zone: usize| quoted(&policy.zones.zones[zone].name);
        for (a, b, price) in &policy.zones.prices {
            if price.is_finite() {
                write!(f, " (price {} {} {price:?})", name(*a), name(*b))?;
            } else {
                write!(f, " (no-way {} {})", name(*a), name(*b))?;
            }
        }
        self.pinned_classes.iter().try_for_each(|c| write!(f, " (class-stays {})", quoted(c)))?;
        self.pinned_tenants.iter().try_for_each(|t| write!(f, " (tenant-stays {})", quoted(t)))?;
        f.write_str(")")
    }
}

/// Reads the form, if there is one.
pub(crate) fn read(root: &Form) -> Result<Option<FailoverSettings>, ConfigError> {
    root.optional_form("regions")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<FailoverSettings, ConfigError> {
    let policy = policy(form, zone_map(form)?)?;
    let (pinned_classes, pinned_tenants) = (names(form, "class-stays")?, names(form, "tenant-stays")?);
    form.finish()?;
    Ok(FailoverSettings { policy, pinned_classes, pinned_tenants })
}

/// Reads the zones with their regions and the prices between them. A `no-way` pair has an infinite price.
fn zone_map(form: &Form) -> Result<ZoneMap, ConfigError> {
    let mut map = ZoneMap::default();
    for zone in form.forms_named("zone")? {
        map.zones.push(Zone { name: zone.text()?, region: zone.text()? });
        zone.finish()?;
    }
    for pair in form.forms_named("price")? {
        let (a, b) = (known_zone(&map, &pair)?, known_zone(&map, &pair)?);
        let price = pair.number(0.0, MAX_PRICE)?;
        pair.finish()?;
        map.prices.push((a, b, price));
    }
    for pair in form.forms_named("no-way")? {
        let (a, b) = (known_zone(&map, &pair)?, known_zone(&map, &pair)?);
        pair.finish()?;
        map.prices.push((a, b, f64::INFINITY));
    }
    Ok(map)
}

/// Reads the next value of a form, which must name a zone.
fn known_zone(map: &ZoneMap, form: &Form) -> Result<usize, ConfigError> {
    let name = form.text()?;
    map.zone_index(&name)
        .ok_or_else(|| form.error(format!("`regions.{}`: no `zone` is named `{name}`", form.name())))
}

fn policy(form: &Form, map: ZoneMap) -> Result<Settings, ConfigError> {
    let defaults = Settings::new(map);
    let requests_per_second_per_engine =
        form.number_or("per-engine-per-s", defaults.requests_per_second_per_engine, 0.001, 1e6)?;
    let policy = Settings {
        requests_per_second_per_engine,
        max_utilization: form.number_or("fill", defaults.max_utilization, 0.0, 1.0)?,
        local_reserve: form.number_or("floor", defaults.local_reserve, 0.0, 1.0)?,
        plan_interval: form.millis_or("every-ms", millis(defaults.plan_interval), 10.0, 60_000.0)?,
        plan_lifetime: form.millis_or("lasts-ms", millis(defaults.plan_lifetime), 10.0, 600_000.0)?,
        failure_grace: form.millis_or("grace-ms", millis(defaults.failure_grace), 10.0, 600_000.0)?,
        base_hold_down: form.millis_or("hold-ms", millis(defaults.base_hold_down), 10.0, 3_600_000.0)?,
        max_hold_down: form.millis_or("hold-most-ms", millis(defaults.max_hold_down), 10.0, 86_400_000.0)?,
        ramp_step: form.millis_or("step-ms", millis(defaults.ramp_step), 10.0, 3_600_000.0)?,
        ..defaults
    };
    policy.check().map_err(|error| form.error(error.to_string()))?;
    Ok(policy)
}

/// Reads the names in all inner forms with this key.
fn names(form: &Form, key: &str) -> Result<Vec<String>, ConfigError> {
    let mut names = Vec::new();
    for named in form.forms_named(key)? {
        names.push(named.text()?);
        named.finish()?;
    }
    Ok(names)
}

/// Checks the form against the other settings.
pub(crate) fn check(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    let (Some(regions), Some(form)) = (&settings.failover, root.optional_form("regions")?) else {
        return Ok(());
    };
    if settings.consensus.is_none() {
        return Err(
            form.error("`regions`: requires `(keepers ...)`: the leader of the replicas decides on failover")
        );
    }
    if settings.cells_file.is_some() {
        return Err(
            form.error("`regions`: must not be combined with `node.cells`, which is not supported yet")
        );
    }
    let unknown =
        regions.pinned_classes.iter().find(|c| !settings.core.classes.iter().any(|known| known.name == **c));
    if let Some(class) = unknown {
        return Err(form.error(format!("`regions.class-stays`: no `class` is named `{class}`")));
    }
    let unknown =
        regions.pinned_tenants.iter().find(|t| !settings.core.tenants.iter().any(|known| known.name == **t));
    if let Some(tenant) = unknown {
        return Err(form.error(format!("`regions.tenant-stays`: no `tenant` is named `{tenant}`")));
    }
    let home = &settings.core.zone;
    if !home.is_empty() && regions.policy.zones.zone_index(home).is_none() {
        return Err(
            form.error(format!("`node.zone`: must be a zone of `regions`, but `{home}` is in no region"))
        );
    }
    if RAMP_STEPS * regions.policy.ramp_step < settings.core.slow_start_duration {
        let message =
            "`regions.step-ms`: must be at least a quarter of `rules.warm-after-ms`: otherwise all \
                       requests return before engines are warm";
        return Err(form.rule_error(rule::COLD_ENGINES_PROTECTED, message));
    }
    Ok(())
}

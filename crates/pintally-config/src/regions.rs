//! Zones and regions: `(regions ...)`. Without it every zone's engines serve everyone.

use std::fmt;

use pintally::interface::Micros;
use pintally_failover::{Settings, Zone, ZoneMap};

use crate::form::{quoted, Form};
use crate::{ConfigError, NodeSettings};

const COLD: &str = "a cold engine is not pushed over";

/// Zones, regions, and what must stay.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverSettings {
    /// How failover goes.
    pub policy: Settings,
    /// Classes whose requests may not leave their region.
    pub pinned_classes: Vec<String>,
    /// Tenants whose requests may not.
    pub pinned_tenants: Vec<String>,
}

impl fmt::Display for FailoverSettings {
    /// The form that reads back as these settings.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (s, ms) = (&self.policy, |span: Micros| span as f64 / 1e3);
        write!(
            f,
            "(regions (per-engine-per-s {:?}) (fill {:?}) (floor {:?})",
            s.requests_per_second_per_engine, s.max_utilization, s.local_reserve
        )?;
        write!(
            f,
            " (every-ms {}) (lasts-ms {}) (grace-ms {})",
            ms(s.plan_interval),
            ms(s.plan_lifetime),
            ms(s.failure_grace)
        )?;
        write!(
            f,
            " (hold-ms {}) (hold-most-ms {}) (step-ms {})",
            ms(s.base_hold_down),
            ms(s.max_hold_down),
            ms(s.ramp_step)
        )?;
        for zone in &s.zones.zones {
            write!(f, " (zone {} {})", quoted(&zone.name), quoted(&zone.region))?;
        }
        let name = |zone: usize| quoted(&s.zones.zones[zone].name);
        for (a, b, price) in &s.zones.prices {
            match price.is_finite() {
                true => write!(f, " (price {} {} {price:?})", name(*a), name(*b))?,
                false => write!(f, " (no-way {} {})", name(*a), name(*b))?,
            }
        }
        self.pinned_classes.iter().try_for_each(|c| write!(f, " (class-stays {})", quoted(c)))?;
        self.pinned_tenants.iter().try_for_each(|t| write!(f, " (tenant-stays {})", quoted(t)))?;
        f.write_str(")")
    }
}

/// Reads the form, if it is there.
pub(crate) fn read(root: &Form) -> Result<Option<FailoverSettings>, ConfigError> {
    root.maybe("regions")?.map(|form| regions(&form)).transpose()
}

fn regions(form: &Form) -> Result<FailoverSettings, ConfigError> {
    let mut map = ZoneMap::default();
    for one in form.all("zone")? {
        map.zones.push(Zone { name: one.text()?, region: one.text()? });
        one.finish()?;
    }
    for (key, forbids) in [("price", false), ("no-way", true)] {
        for one in form.all(key)? {
            let zone = |name: String| {
                map.zone(&name).ok_or_else(|| one.error(format!("no zone of a region is named `{name}`")))
            };
            let (a, b) = (zone(one.text()?)?, zone(one.text()?)?);
            let price = if forbids { f64::INFINITY } else { one.number(0.0, 1e6)? };
            one.finish()?;
            map.prices.push((a, b, price));
        }
    }
    let usual = Settings::new(map);
    let ms = |span: Micros| span as f64 / 1e3;
    let figures = Settings {
        requests_per_second_per_engine: form.number_or(
            "per-engine-per-s",
            usual.requests_per_second_per_engine,
            0.001,
            1e6,
        )?,
        max_utilization: form.number_or("fill", usual.max_utilization, 0.0, 1.0)?,
        local_reserve: form.number_or("floor", usual.local_reserve, 0.0, 1.0)?,
        plan_interval: form.millis_or("every-ms", ms(usual.plan_interval), 10.0, 60_000.0)?,
        plan_lifetime: form.millis_or("lasts-ms", ms(usual.plan_lifetime), 10.0, 600_000.0)?,
        failure_grace: form.millis_or("grace-ms", ms(usual.failure_grace), 10.0, 600_000.0)?,
        base_hold_down: form.millis_or("hold-ms", ms(usual.base_hold_down), 10.0, 3_600_000.0)?,
        max_hold_down: form.millis_or("hold-most-ms", ms(usual.max_hold_down), 10.0, 86_400_000.0)?,
        ramp_step: form.millis_or("step-ms", ms(usual.ramp_step), 10.0, 3_600_000.0)?,
        ..usual
    };
    figures.check().map_err(|e| form.error(e.to_string()))?;
    let names = |key: &str| -> Result<Vec<String>, ConfigError> {
        let mut names = Vec::new();
        for one in form.all(key)? {
            names.push(one.text()?);
            one.finish()?;
        }
        Ok(names)
    };
    let (stay_classes, stay_tenants) = (names("class-stays")?, names("tenant-stays")?);
    form.finish()?;
    Ok(FailoverSettings { policy: figures, pinned_classes: stay_classes, pinned_tenants: stay_tenants })
}

/// What the form needs beside it.
pub(crate) fn check(root: &Form, s: &NodeSettings) -> Result<(), ConfigError> {
    let (Some(regions), Some(form)) = (&s.failover, root.maybe("regions")?) else { return Ok(()) };
    if s.consensus.is_none() {
        return Err(form.error("regions need `(keepers ...)`: their leader decides what is given up"));
    }
    if s.cells_file.is_some() {
        return Err(form.error("regions and cells do not go together yet"));
    }
    let unknown = regions.pinned_classes.iter().find(|c| !s.core.classes.iter().any(|k| k.name == **c));
    if let Some(class) = unknown {
        return Err(form.error(format!("no `class` is named `{class}`")));
    }
    let unknown = regions.pinned_tenants.iter().find(|t| !s.core.tenants.iter().any(|k| k.name == **t));
    if let Some(tenant) = unknown {
        return Err(form.error(format!("no `tenant` is named `{tenant}`")));
    }
    let home = &s.core.zone;
    if !home.is_empty() && regions.policy.zones.zone(home).is_none() {
        return Err(form.error(format!("the node's zone `{home}` is in no region")));
    }
    let figures = &regions.policy;
    if 4 * figures.ramp_step < s.core.slow_start_duration {
        let what =
            "four times `step-ms` is under `warm-after-ms`: all work would be back before engines are warm";
        return Err(form.breaks(COLD, what));
    }
    Ok(())
}

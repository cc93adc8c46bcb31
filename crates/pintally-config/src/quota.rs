//! Limits that apply to the whole fleet: `(shared-limits ...)`.

use std::fmt;

use pintally_quota::{Enforcement, Limit, LimitId, LimitKind, Settings};
use xxhash_rust::xxh3::xxh3_64;

use crate::form::{millis, quoted, Form};
use crate::{ConfigError, NodeSettings};

/// The maximum length of the name of a limit.
const MAX_LIMIT_NAME_BYTES: usize = 64;
/// The maximum amount of a limit.
const MAX_LIMIT_AMOUNT: f64 = 1e9;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests started per second.
    Requests,
    /// Tokens per second, of prompts and of answers at their maximum length.
    Tokens,
    /// Requests in flight at the same time.
    Streams,
    /// Retries per second.
    Retries,
}

impl QuotaUnit {
    const NAMES: [(&'static str, QuotaUnit); 4] = [
        ("requests", QuotaUnit::Requests),
        ("tokens", QuotaUnit::Tokens),
        ("streams", QuotaUnit::Streams),
        ("retries", QuotaUnit::Retries),
    ];

    /// The name of the unit in settings files.
    pub fn name(self) -> &'static str {
        QuotaUnit::NAMES.iter().find(|(_, unit)| *unit == self).map_or("", |(name, _)| name)
    }
}

/// A limit that applies to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSpec {
    /// The name of the limit.
    pub name: String,
    /// The tenant whose requests the limit counts; all requests if `None`.
    pub tenant: Option<String>,
    /// What the limit counts.
    pub unit: QuotaUnit,
    /// Whether the limit or availability takes precedence when nodes are disconnected.
    pub enforcement: Enforcement,
    /// The amount for the whole fleet.
    pub limit: f64,
}

impl QuotaSpec {
    /// The id of the limit in messages between nodes.
    pub fn id(&self) -> LimitId {
        LimitId(xxh3_64(self.name.as_bytes()) as u32)
    }

    /// The limit in the form that the lease granter and the holders use.
    pub fn limit(&self) -> Limit {
        let kind = if self.unit == QuotaUnit::Streams { LimitKind::Concurrency } else { LimitKind::Rate };
        Limit { kind, enforcement: self.enforcement, amount: self.limit }
    }
}

/// The limits of the fleet and the settings for their allocation to nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The settings for the allocation of the limits to nodes.
    pub allocation: Settings,
    /// The limits.
    pub limits: Vec<QuotaSpec>,
}

impl fmt::Display for QuotaSettings {
    /// Writes the form from which these settings can be read again.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = &self.allocation;
        write!(
            f,
            "(shared-limits (lease-ms {}) (every-ms {})",
            millis(s.lease_duration),
            millis(s.lease_request_interval)
        )?;
        write!(
            f,
            " (reserve {:?}) (over {:?}) (burst-ms {})",
            s.reserved_fraction,
            s.soft_excess_fraction,
            millis(s.burst_window)
        )?;
        write!(
            f,
            " (hold-ms {}) (fade-ms {}) (drift {:?})",
            millis(s.max_request_duration),
            millis(s.soft_decay_duration),
            s.max_clock_drift
        )?;
        for limit in &self.limits {
            write!(f, " (limit {} (counts {})", quoted(&limit.name), limit.unit.name())?;
            if let Some(tenant) = &limit.tenant {
                write!(f, " (tenant {})", quoted(tenant))?;
            }
            let enforcement = enforcement_name(limit.enforcement);
            write!(f, " (bound {enforcement}) (most {:?}))", limit.limit)?;
        }
        f.write_str(")")
    }
}

/// Reads the form, if there is one.
pub(crate) fn read(root: &Form) -> Result<Option<QuotaSettings>, ConfigError> {
    root.optional_form("shared-limits")?.map(|form| read_form(&form)).transpose()
}

fn read_form(form: &Form) -> Result<QuotaSettings, ConfigError> {
    let allocation = allocation(form)?;
    let mut limits: Vec<QuotaSpec> = Vec::new();
    for limit_form in form.forms_named("limit")? {
        let limit = limit(&limit_form)?;
        if let Some(other) = limits.iter().find(|other| other.id() == limit.id()) {
            return Err(limit_form.error(format!(
                "`limit`: names must have different ids, but `{}` and `{}` have the same: rename one",
                other.name, limit.name
            )));
        }
        limits.push(limit);
    }
    form.finish()?;
    Ok(QuotaSettings { allocation, limits })
}

fn allocation(form: &Form) -> Result<Settings, ConfigError> {
    let defaults = Settings::default();
    let allocation = Settings {
        lease_duration: form.millis_or("lease-ms", 4_000.0, 1.0, 3_600_000.0)?,
        lease_request_interval: form.millis_or("every-ms", 400.0, 1.0, 600_000.0)?,
        reserved_fraction: form.number_or("reserve", defaults.reserved_fraction, 0.0, 1.0)?,
        soft_excess_fraction: form.number_or("over", defaults.soft_excess_fraction, 0.0, 1.0)?,
        burst_window: form.millis_or("burst-ms", 1_000.0, 1.0, 3_600_000.0)?,
        max_request_duration: form.millis_or("hold-ms", 30_000.0, 0.0, 86_400_000.0)?,
        soft_decay_duration: form.millis_or("fade-ms", 4_000.0, 0.0, 3_600_000.0)?,
        max_clock_drift: form.number_or("drift", 0.01, 0.0, 0.2)?,
        ..defaults
    };
    allocation.check().map_err(|error| form.error(error.to_string()))?;
    Ok(allocation)
}

fn limit(form: &Form) -> Result<QuotaSpec, ConfigError> {
    let name = form.text()?;
    if name.is_empty() || name.len() > MAX_LIMIT_NAME_BYTES {
        return Err(form.error(format!("`limit`: the name must have 1 to {MAX_LIMIT_NAME_BYTES} bytes")));
    }
    let unit = unit(form)?;
    let enforcement = enforcement(form)?;
    let amount = form.required_form("most")?;
    let limit = amount.number(0.0, MAX_LIMIT_AMOUNT)?;
    amount.finish()?;
    let tenant = Some(form.text_or("tenant", "")?).filter(|tenant| !tenant.is_empty());
    form.finish()?;
    Ok(QuotaSpec { name, tenant, unit, enforcement, limit })
}

fn unit(form: &Form) -> Result<QuotaUnit, ConfigError> {
    let counts_form = form.required_form("counts")?;
    let name = counts_form.text()?;
    counts_form.finish()?;
    let known = QuotaUnit::NAMES.iter().find(|(known, _)| *known == name).map(|(_, unit)| *unit);
    known.ok_or_else(|| {
        counts_form
            .error(format!("`limit.counts`: must be requests, tokens, streams or retries, not `{name}`"))
    })
}

fn enforcement(form: &Form) -> Result<Enforcement, ConfigError> {
    match form.text_or("bound", "hard")?.as_str() {
        "hard" => Ok(Enforcement::Hard),
        "soft" => Ok(Enforcement::Soft),
        other => Err(form.error(format!("`limit.bound`: must be hard or soft, not `{other}`"))),
    }
}

fn enforcement_name(enforcement: Enforcement) -> &'static str {
    match enforcement {
        Enforcement::Hard => "hard",
        Enforcement::Soft => "soft",
    }
}

/// Sets the number of nodes and checks the form against the other settings.
pub(crate) fn check(root: &Form, settings: &mut NodeSettings) -> Result<(), ConfigError> {
    let Some(quotas) = &mut settings.quotas else { return Ok(()) };
    quotas.allocation.node_count = settings.core.node_count.max(1);
    if settings.consensus.is_none() {
        let message =
            "`shared-limits`: requires `(keepers ...)`: the leader of the replicas grants the leases";
        return Err(root.error_at("shared-limits", message)?);
    }
    let tenants = &settings.core.tenants;
    for limit in &quotas.limits {
        let Some(tenant) = &limit.tenant else { continue };
        if !tenants.iter().any(|known| known.name == *tenant) {
            let message = format!(
                "`limit.tenant`: limit `{}` names `{tenant}`, but no `tenant` has this name",
                limit.name
            );
            return Err(root.error_at("shared-limits", message)?);
        }
    }
    Ok(())
}

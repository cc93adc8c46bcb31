//! What holds for the whole fleet: `(keepers ...)` and `(shared-limits ...)`. Without them a node keeps
//! to itself.

use std::fmt;

use pintally::interface::Micros;
use pintally_consensus as accord;
use pintally_quota as shares;
use pintally_quota::{Enforcement, LimitId, LimitKind};
use xxhash_rust::xxh3::xxh3_64;

use crate::form::{quoted, Form};
use crate::{ConfigError, NodeSettings};

/// Who the keepers are at the fleet's first start, and their figures. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// Names of nodes.
    pub names: Vec<String>,
    /// Between two words of the leader.
    pub heartbeat_interval: Micros,
    /// Without a leader's word for so long another stands.
    pub election_timeout: Micros,
    /// A disk without visible harm is believed after this time.
    pub vote_recovery_timeout: Micros,
    /// The most by which clocks differ, as a part.
    pub max_clock_drift: f64,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counts {
    /// Requests that begin, a second.
    Requests,
    /// Tokens of prompts and the most of answers, a second.
    Tokens,
    /// Requests that run, at once.
    Streams,
    /// Attempts after one that failed, a second.
    Retries,
}

impl Counts {
    const NAMES: [(&'static str, Counts); 4] = [
        ("requests", Counts::Requests),
        ("tokens", Counts::Tokens),
        ("streams", Counts::Streams),
        ("retries", Counts::Retries),
    ];

    /// Its word in settings.
    pub fn name(self) -> &'static str {
        Counts::NAMES.iter().find(|(_, c)| *c == self).map_or("", |(name, _)| name)
    }
}

/// One limit of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSpec {
    /// Its name.
    pub name: String,
    /// Whose requests it counts; everybody's if not told.
    pub tenant: Option<String>,
    /// What it counts.
    pub counts: Counts,
    /// What gives way when nodes cannot hear each other.
    pub enforcement: Enforcement,
    /// How much for the whole fleet.
    pub limit: f64,
}

impl QuotaSpec {
    /// What stands for it among nodes.
    pub fn id(&self) -> LimitId {
        LimitId(xxh3_64(self.name.as_bytes()) as u32)
    }

    /// As the lender and the holders take it.
    pub fn limit(&self) -> shares::Limit {
        let kind = if self.counts == Counts::Streams { LimitKind::Concurrency } else { LimitKind::Rate };
        shares::Limit { kind, enforcement: self.enforcement, amount: self.limit }
    }
}

/// Limits of the fleet and how they are shared.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// How they are shared.
    pub allocation: shares::Settings,
    /// The limits.
    pub limits: Vec<QuotaSpec>,
}

impl fmt::Display for ConsensusSettings {
    /// The form that reads back as these settings.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |span: Micros| span as f64 / 1e3;
        f.write_str("(keepers (names")?;
        self.names.iter().try_for_each(|name| write!(f, " {}", quoted(name)))?;
        write!(f, ") (beat-ms {}) (election-ms {})", ms(self.heartbeat_interval), ms(self.election_timeout))?;
        write!(f, " (doubt-ms {}) (drift {:?}))", ms(self.vote_recovery_timeout), self.max_clock_drift)
    }
}

impl fmt::Display for QuotaSettings {
    /// The form that reads back as these settings.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (s, ms) = (&self.allocation, |span: Micros| span as f64 / 1e3);
        write!(
            f,
            "(shared-limits (lease-ms {}) (every-ms {})",
            ms(s.lease_duration),
            ms(s.request_interval)
        )?;
        write!(
            f,
            " (reserve {:?}) (over {:?}) (burst-ms {})",
            s.reserved_fraction,
            s.soft_excess_fraction,
            ms(s.burst)
        )?;
        write!(
            f,
            " (hold-ms {}) (fade-ms {}) (drift {:?})",
            ms(s.max_hold),
            ms(s.soft_decay),
            s.max_clock_drift
        )?;
        for limit in &self.limits {
            write!(f, " (limit {} (counts {})", quoted(&limit.name), limit.counts.name())?;
            if let Some(tenant) = &limit.tenant {
                write!(f, " (tenant {})", quoted(tenant))?;
            }
            let bound = if limit.enforcement == Enforcement::Hard { "hard" } else { "soft" };
            write!(f, " (bound {bound}) (most {:?}))", limit.limit)?;
        }
        f.write_str(")")
    }
}

impl ConsensusSettings {
    /// As the register takes them, for the node of this name.
    pub fn figures(&self, name: &str) -> accord::Settings {
        let names: Vec<&str> = self.names.iter().map(String::as_str).collect();
        let usual = accord::Settings::new(name, &names);
        let (beat, election, doubt, drift) = (
            self.heartbeat_interval,
            self.election_timeout,
            self.vote_recovery_timeout,
            self.max_clock_drift,
        );
        accord::Settings {
            heartbeat_interval: beat,
            election_timeout: election,
            vote_recovery_timeout: doubt,
            max_clock_drift: drift,
            ..usual
        }
    }
}

/// What was read, if it was there.
type Shared =
    (Option<ConsensusSettings>, Option<QuotaSettings>, Option<pintally_outlier_detection::Settings>);

/// Reads the forms that are there.
pub(crate) fn read(root: &Form) -> Result<Shared, ConfigError> {
    let keepers = root.maybe("keepers")?.map(|form| keepers(&form)).transpose()?;
    let limits = root.maybe("shared-limits")?.map(|form| limits(&form)).transpose()?;
    let verdicts = root.maybe("verdicts")?.map(|form| verdicts(&form)).transpose()?;
    Ok((keepers, limits, verdicts))
}

fn verdicts(form: &Form) -> Result<pintally_outlier_detection::Settings, ConfigError> {
    let usual = pintally_outlier_detection::Settings::default();
    let ms = |span: Micros| span as f64 / 1e3;
    let settings = pintally_outlier_detection::Settings {
        evidence_retention: form.millis_or("memory-ms", ms(usual.evidence_retention), 1.0, 600_000.0)?,
        consecutive_failures: form.count_or("strikes", u64::from(usual.consecutive_failures), 1, 100)? as u32,
        min_reporters: form.count_or("accusers", usual.min_reporters as u64, 1, 100)? as usize,
        base_ejection_time: form.millis_or("rest-ms", ms(usual.base_ejection_time), 1.0, 600_000.0)?,
        max_ejection_time: form.millis_or("rest-most-ms", ms(usual.max_ejection_time), 1.0, 3_600_000.0)?,
        ramp_step: form.millis_or("step-ms", ms(usual.ramp_step), 1.0, 600_000.0)?,
        max_ejection_fraction: form.number_or("most", usual.max_ejection_fraction, 0.0, 1.0)?,
        self_doubt_fraction: form.number_or("own", usual.self_doubt_fraction, 0.0, 1.0)?,
    };
    form.finish()?;
    settings.check().map_err(|e| form.error(e.to_string()))?;
    Ok(settings)
}

/// The form of verdicts that reads back as these settings.
pub fn verdicts_form(s: &pintally_outlier_detection::Settings) -> String {
    let ms = |span: Micros| span as f64 / 1e3;
    format!(
        "(verdicts (memory-ms {}) (strikes {}) (accusers {}) (rest-ms {}) (rest-most-ms {}) (step-ms {}) \
         (most {:?}) (own {:?}))",
        ms(s.evidence_retention),
        s.consecutive_failures,
        s.min_reporters,
        ms(s.base_ejection_time),
        ms(s.max_ejection_time),
        ms(s.ramp_step),
        s.max_ejection_fraction,
        s.self_doubt_fraction
    )
}

fn keepers(form: &Form) -> Result<ConsensusSettings, ConfigError> {
    let mut names = Vec::new();
    if let Some(list) = form.maybe("names")? {
        while let Some(name) = list.maybe_text()? {
            names.push(name);
        }
        list.finish()?;
    }
    let settings = ConsensusSettings {
        names,
        heartbeat_interval: form.millis_or("beat-ms", 100.0, 1.0, 60_000.0)?,
        election_timeout: form.millis_or("election-ms", 600.0, 1.0, 600_000.0)?,
        vote_recovery_timeout: form.millis_or("doubt-ms", 5_000.0, 1.0, 3_600_000.0)?,
        max_clock_drift: form.number_or("drift", 0.01, 0.0, 0.2)?,
    };
    form.finish()?;
    settings.figures("x").check().map_err(|e| form.error(e.to_string()))?;
    Ok(settings)
}

fn limits(form: &Form) -> Result<QuotaSettings, ConfigError> {
    let usual = shares::Settings::default();
    let figures = shares::Settings {
        lease_duration: form.millis_or("lease-ms", 4_000.0, 1.0, 3_600_000.0)?,
        request_interval: form.millis_or("every-ms", 400.0, 1.0, 600_000.0)?,
        reserved_fraction: form.number_or("reserve", usual.reserved_fraction, 0.0, 1.0)?,
        soft_excess_fraction: form.number_or("over", usual.soft_excess_fraction, 0.0, 1.0)?,
        burst: form.millis_or("burst-ms", 1_000.0, 1.0, 3_600_000.0)?,
        max_hold: form.millis_or("hold-ms", 30_000.0, 0.0, 86_400_000.0)?,
        soft_decay: form.millis_or("fade-ms", 4_000.0, 0.0, 3_600_000.0)?,
        max_clock_drift: form.number_or("drift", 0.01, 0.0, 0.2)?,
        ..usual
    };
    figures.check().map_err(|e| form.error(e.to_string()))?;
    let mut limits: Vec<QuotaSpec> = Vec::new();
    for one in form.all("limit")? {
        let limit = limit(&one)?;
        if let Some(other) = limits.iter().find(|l| l.id() == limit.id()) {
            return Err(one.error(format!(
                "limits `{}` and `{}` cannot be told apart among nodes: another name is needed",
                other.name, limit.name
            )));
        }
        limits.push(limit);
    }
    form.finish()?;
    Ok(QuotaSettings { allocation: figures, limits })
}

fn limit(form: &Form) -> Result<QuotaSpec, ConfigError> {
    let name = form.text()?;
    if name.is_empty() || name.len() > 64 {
        return Err(form.error("a limit's name needs 1 to 64 bytes"));
    }
    let counts = form.need("counts")?;
    let word = counts.text()?;
    counts.finish()?;
    let known = Counts::NAMES.iter().find(|(n, _)| *n == word);
    let Some((_, counted)) = known else {
        return Err(counts.error(format!("`{word}` is not requests, tokens, streams or retries")));
    };
    let bound = match form.text_or("bound", "hard")?.as_str() {
        "hard" => Enforcement::Hard,
        "soft" => Enforcement::Soft,
        other => return Err(form.error(format!("`bound` is `{other}`, not hard or soft"))),
    };
    let most = form.need("most")?;
    let much = most.number(0.0, 1e9)?;
    most.finish()?;
    let tenant = Some(form.text_or("tenant", "")?).filter(|t| !t.is_empty());
    form.finish()?;
    Ok(QuotaSpec { name, tenant, counts: *counted, enforcement: bound, limit: much })
}

/// What the forms need beside them.
pub(crate) fn check(root: &Form, s: &mut NodeSettings) -> Result<(), ConfigError> {
    let at = |name: &str, what: String| -> Result<(), ConfigError> {
        Err(root.maybe(name)?.map_or_else(|| root.error(what.clone()), |form| form.error(what.clone())))
    };
    if s.consensus.is_some() && s.membership.is_none() {
        return at("keepers", "keepers need `(peers ...)`: they talk to each other".into());
    }
    if s.outlier_detection.is_some() && s.membership.is_none() {
        return at("verdicts", "verdicts need `(peers ...)`: nodes tell each other what they saw".into());
    }
    if s.outlier_detection.is_some() && s.cells_file.is_some() {
        return at("verdicts", "verdicts and cells do not go together yet".into());
    }
    let Some(limits) = &mut s.quotas else { return Ok(()) };
    limits.allocation.nodes = s.core.nodes.max(1);
    if s.consensus.is_none() {
        return at("shared-limits", "shared limits need `(keepers ...)`: their leader lends".into());
    }
    let tenants = &s.core.tenants;
    let unknown =
        |l: &&QuotaSpec| l.tenant.as_ref().is_some_and(|t| !tenants.iter().any(|known| known.name == *t));
    if let Some(limit) = limits.limits.iter().find(unknown) {
        let tenant = limit.tenant.as_deref().unwrap_or("");
        return at("shared-limits", format!("limit `{}`: no `tenant` is named `{tenant}`", limit.name));
    }
    Ok(())
}

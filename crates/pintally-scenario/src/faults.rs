//! The kinds of trouble: their names in a file, their defaults, and what they become in a script.

use std::collections::BTreeMap;
use std::time::Duration;

use pintally_cells::CellsFile;
use pintally_config::form::Form;
use pintally_config::{ConfigError, NodeSettings};
use rand::seq::SliceRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::script::{Act, Link, MoveStep, Pairs, Script, Target};
use crate::spec::{Fault, FaultKind};

/// Name, kind, and the usual size.
const KINDS: [(&str, FaultKind, f64); 33] = [
    ("crash", FaultKind::Crash, 0.0),
    ("restart", FaultKind::Restart, 0.0),
    ("hang", FaultKind::Hang, 0.0),
    ("silent", FaultKind::Silent, 0.0),
    ("slow", FaultKind::Slow, 4.0),
    ("replace", FaultKind::Replace, 1500.0),
    ("drain", FaultKind::Drain, 0.0),
    ("forget", FaultKind::Forget, 0.0),
    ("slow-connect", FaultKind::SlowConnect, 150.0),
    ("full-for-tenant", FaultKind::FullForTenant, 0.0),
    ("slow-links", FaultKind::SlowLinks, 5.0),
    ("zone-cut", FaultKind::ZoneCut, 0.0),
    ("late-list", FaultKind::LateList, 2000.0),
    ("stale-reports", FaultKind::StaleReports, 0.0),
    ("lying-reports", FaultKind::LyingReports, 0.0),
    ("node-kill", FaultKind::NodeKill, 0.0),
    ("node-roll", FaultKind::NodeRoll, 500.0),
    ("heedless-retries", FaultKind::HeedlessRetries, 0.0),
    ("leave-early", FaultKind::LeaveEarly, 0.3),
    ("burst", FaultKind::Burst, 3.0),
    ("hot-text", FaultKind::HotText, 0.3),
    ("tenant-flood", FaultKind::TenantFlood, 10.0),
    ("move-tenant", FaultKind::MoveTenant, 0.0),
    ("bad-release", FaultKind::BadRelease, 400.0),
    ("power", FaultKind::Power, 0.0),
    ("zone-power", FaultKind::ZonePower, 0.0),
    ("zone-dark", FaultKind::ZoneDark, 0.0),
    ("node-pause", FaultKind::NodePause, 0.0),
    ("peer-cut", FaultKind::PeerCut, 0.0),
    ("peer-one-way", FaultKind::PeerOneWay, 0.0),
    ("peer-side", FaultKind::PeerSide, 0.0),
    ("peer-stall", FaultKind::PeerStall, 0.0),
    ("peer-loss", FaultKind::PeerLoss, 0.2),
];

/// The name of a kind.
pub(crate) fn name(kind: FaultKind) -> &'static str {
    KINDS.iter().find(|k| k.1 == kind).map_or("", |k| k.0)
}

/// Reads one `(fault ...)`.
pub(crate) fn parse(
    form: &Form,
    zones: &[String],
    settings: &NodeSettings,
    cells: Option<&CellsFile>,
) -> Result<Fault, ConfigError> {
    let kind = form.text()?;
    let Some((_, kind, size)) = KINDS.iter().find(|k| k.0 == kind) else {
        let names: Vec<&str> = KINDS.iter().map(|k| k.0).collect();
        return Err(form.error(format!("unknown kind of fault `{kind}`; there are {}", names.join(", "))));
    };
    let mut engines = Vec::new();
    if let Some(inner) = form.optional_form("engines")? {
        while let Some(engine) = inner.optional_text()? {
            engines.push(engine);
        }
        inner.finish()?;
    }
    let optional_text = |key: &str| -> Result<Option<String>, ConfigError> {
        Ok(Some(form.text_or(key, "")?).filter(|t| !t.is_empty()))
    };
    let (of, zone, tenant) = (optional_text("of")?, optional_text("zone")?, optional_text("tenant")?);
    if let Some(of) = of.as_ref().filter(|of| !settings.core.engine_kinds.iter().any(|k| k.name == **of)) {
        return Err(form.error(format!("no `kind` is named `{of}`")));
    }
    if let Some(zone) = zone.as_ref().filter(|z| !zones.contains(z)) {
        return Err(form.error(format!("no zone is named `{zone}`")));
    }
    if let Some(tenant) = tenant.as_ref().filter(|t| !settings.core.tenants.iter().any(|o| o.name == **t)) {
        return Err(form.error(format!("no `tenant` is named `{tenant}`")));
    }
    let cell = optional_text("cell")?;
    if let Some(cell) =
        cell.as_ref().filter(|c| !cells.is_some_and(|f| f.cells.iter().any(|o| *o.name.0 == ***c)))
    {
        return Err(form.error(format!("no cell is named `{cell}`")));
    }
    if *kind == FaultKind::MoveTenant && (cell.is_none() || tenant.is_none()) {
        return Err(form.error("`move-tenant` needs a `tenant` and the `cell` that it moves to"));
    }
    if *kind == FaultKind::TenantFlood && tenant.is_none() {
        return Err(form.error("`tenant-flood` needs a `tenant`"));
    }
    if *kind == FaultKind::FullForTenant && settings.core.tenants.is_empty() {
        return Err(form.error("`full-for-tenant` needs a `tenant` in the day"));
    }
    if *kind == FaultKind::ZoneCut && zones.len() < 2 {
        return Err(form.error("`zone-cut` needs two zones"));
    }
    let seconds = |key: &str, default: f64| -> Result<Duration, ConfigError> {
        Ok(Duration::from_secs_f64(form.number_or(key, default, 0.0, 86_400.0)?))
    };
    let fault = Fault {
        kind: *kind,
        start: seconds("at", 0.0)?,
        duration: seconds("for", 5.0)?,
        fraction: form.number_or("part", 0.2, 0.0, 1.0)?,
        engine_kind: of,
        cell,
        engines,
        zone_or_tenant: zone.or(tenant),
        magnitude: form.number_or("size", *size, 0.0, 1e6)?,
        batch_size: form.count_or("batch", 1, 1, 10_000)? as usize,
    };
    form.finish()?;
    Ok(fault)
}

/// What a fault can strike.
pub(crate) struct Stage<'a> {
    /// Engines with their kinds and cells.
    pub(crate) engines: &'a [(String, String, Option<String>)],
    /// In which zone each engine stands.
    pub(crate) places: &'a BTreeMap<String, String>,
    pub(crate) nodes: usize,
    pub(crate) zones: &'a [String],
    pub(crate) tenants: &'a [String],
}

impl Stage<'_> {
    fn draw(&self, fault: &Fault, rng: &mut ChaCha8Rng) -> Vec<Target> {
        if !fault.engines.is_empty() {
            return fault.engines.iter().cloned().map(Target).collect();
        }
        let fits = |kind: &str| fault.engine_kind.as_deref().is_none_or(|of| of == kind);
        let inside = |cell: &Option<String>| fault.cell.is_none() || fault.cell == *cell;
        let struck = self.engines.iter().filter(|e| fits(&e.1) && inside(&e.2));
        let mut all: Vec<Target> = struck.map(|e| Target(e.0.clone())).collect();
        all.shuffle(rng);
        let many = (all.len() as f64 * fault.fraction).round().max(1.0) as usize;
        all.truncate(many);
        all
    }
}

/// Puts a fault into a script.
pub(crate) fn stage(fault: &Fault, on: &Stage, rng: &mut ChaCha8Rng, script: &mut Script) {
    let (from, to) = (fault.start, fault.start + fault.duration);
    let mut pick = |names: &[String]| match &fault.zone_or_tenant {
        Some(name) => name.clone(),
        None if names.is_empty() => String::new(),
        None => names[rng.random_range(0..names.len())].clone(),
    };
    match fault.kind {
        FaultKind::ZoneCut => {
            let zone = pick(on.zones);
            script.add(from, Act::Cut(zone.clone(), true));
            script.add(to, Act::Cut(zone, false));
        }
        FaultKind::LateList => {
            script.add(from, Act::ListDelay(Duration::from_secs_f64(fault.magnitude / 1e3)));
            script.add(to, Act::ListDelay(Duration::ZERO));
        }
        FaultKind::HeedlessRetries => {
            script.add(from, Act::Heedless(true));
            script.add(to, Act::Heedless(false));
        }
        FaultKind::LeaveEarly => {
            script.add(from, Act::LeaveEarly(fault.magnitude.min(1.0)));
            script.add(to, Act::LeaveEarly(0.0));
        }
        FaultKind::Burst => {
            script.add(from, Act::Rate(fault.magnitude));
            script.add(to, Act::Rate(1.0));
        }
        FaultKind::TenantFlood => {
            let tenant = fault.zone_or_tenant.clone().unwrap_or_default();
            script.add(from, Act::Flood(Some((tenant, fault.magnitude))));
            script.add(to, Act::Flood(None));
        }
        FaultKind::MoveTenant => {
            let (tenant, to_cell) =
                (fault.zone_or_tenant.clone().unwrap_or_default(), fault.cell.clone().unwrap_or_default());
            // Announced, then all sessions go, over a third of the time by default, then it is done.
            let span = Duration::from_secs_f64(fault.magnitude / 1e3);
            let over = if span.is_zero() { fault.duration / 3 } else { span };
            script.add(from, Act::Move(tenant.clone(), MoveStep::Prepare { to: to_cell, over }));
            script.add(from + fault.duration / 3, Act::Move(tenant.clone(), MoveStep::Both));
            script.add(to, Act::Move(tenant, MoveStep::Done));
        }
        FaultKind::HotText => {
            script.add(from, Act::HotText(fault.magnitude.min(1.0)));
            script.add(to, Act::HotText(0.0));
        }
        FaultKind::NodeKill => {
            let mut nodes: Vec<usize> = (0..on.nodes).collect();
            nodes.shuffle(rng);
            // One node is left to serve, where there is more than one.
            let most = on.nodes.saturating_sub(1).max(1);
            let many = ((on.nodes as f64 * fault.fraction).round() as usize).clamp(1, most);
            for node in nodes.into_iter().take(many) {
                script.add(from, Act::KillNode(node));
                script.add(to, Act::StartNode(node));
            }
        }
        FaultKind::NodeRoll => {
            let step = fault.duration / on.nodes.max(1) as u32;
            for node in 0..on.nodes {
                let at = from + step * node as u32;
                script.add(at, Act::KillNode(node));
                script.add(at + Duration::from_secs_f64(fault.magnitude / 1e3), Act::StartNode(node));
            }
        }
        FaultKind::Power => power(fault, on, rng, script),
        FaultKind::ZonePower | FaultKind::ZoneDark => {
            let zone = pick(on.zones);
            let number = on.zones.iter().position(|z| *z == zone);
            let nodes = if fault.kind == FaultKind::ZonePower { on.nodes } else { 0 };
            for node in (0..nodes).filter(|n| Some(n % on.zones.len()) == number) {
                script.add(from, Act::KillNode(node));
                script.add(to, Act::StartNode(node));
            }
            for (engine, _) in on.places.iter().filter(|(_, at)| **at == zone) {
                script.add(from, Act::PowerOff(Target(engine.clone())));
                script.add(to, Act::Start(Target(engine.clone())));
            }
        }
        FaultKind::NodePause => {
            let mut nodes: Vec<usize> = (0..on.nodes).collect();
            nodes.shuffle(rng);
            let many = ((on.nodes as f64 * fault.fraction).round() as usize).max(1);
            for node in nodes.into_iter().take(many) {
                script.add(from, Act::Pause(node, true));
                script.add(to, Act::Pause(node, false));
            }
        }
        FaultKind::PeerCut
        | FaultKind::PeerOneWay
        | FaultKind::PeerSide
        | FaultKind::PeerStall
        | FaultKind::PeerLoss => {
            let cut = Link { cut: true, ..Link::default() };
            let (pairs, link) = match fault.kind {
                FaultKind::PeerCut => (Pairs::Across, cut),
                FaultKind::PeerOneWay => (Pairs::OneWay, cut),
                FaultKind::PeerSide => (Pairs::Side, cut),
                FaultKind::PeerStall => (Pairs::All, Link { stalled: true, ..Link::default() }),
                _ => (Pairs::All, Link { loss: fault.magnitude.min(1.0), ..Link::default() }),
            };
            script.add(from, Act::Link(pairs, link, true));
            script.add(to, Act::Link(pairs, link, false));
        }
        FaultKind::FullForTenant => {
            let tenant = pick(on.tenants);
            for target in on.draw(fault, rng) {
                script.add(from, Act::FullFor(target.clone(), Some(tenant.clone())));
                script.add(to, Act::FullFor(target, None));
            }
        }
        _ => engines(fault, on, rng, script),
    }
}

/// The power fails for every node and engine at once, and each comes back at a time of its own within
/// the fault's length; the first `size` nodes, in the order drawn, never do.
fn power(fault: &Fault, on: &Stage, rng: &mut ChaCha8Rng, script: &mut Script) {
    for node in 0..on.nodes {
        script.add(fault.start, Act::KillNode(node));
    }
    let mut nodes: Vec<usize> = (0..on.nodes).collect();
    nodes.shuffle(rng);
    for node in nodes.into_iter().skip(fault.magnitude as usize) {
        script.add(fault.start + fault.duration.mul_f64(rng.random_range(0.05..1.0)), Act::StartNode(node));
    }
    for (engine, _, _) in on.engines {
        script.add(fault.start, Act::PowerOff(Target(engine.clone())));
        let back = fault.start + fault.duration.mul_f64(rng.random_range(0.05..1.0));
        script.add(back, Act::Start(Target(engine.clone())));
    }
}

/// Faults of engines, one by one.
fn engines(fault: &Fault, on: &Stage, rng: &mut ChaCha8Rng, script: &mut Script) {
    let (from, to) = (fault.start, fault.start + fault.duration);
    let targets = on.draw(fault, rng);
    let batches = targets.len().div_ceil(fault.batch_size).max(1) as u32;
    for (place, target) in targets.into_iter().enumerate() {
        let turn = from + fault.duration / batches * (place / fault.batch_size) as u32;
        let both = |script: &mut Script, begin: Act, end: Act| {
            script.add(from, begin);
            script.add(to, end);
        };
        match fault.kind {
            FaultKind::Crash => both(script, Act::Crash(target.clone()), Act::Start(target)),
            FaultKind::Restart => {
                // Down for a moment only: most nodes hear of it when it is back.
                script.add(turn, Act::Crash(target.clone()));
                script.add(turn + Duration::from_millis(100), Act::Start(target));
            }
            FaultKind::Hang => both(script, Act::Hang(target.clone(), true), Act::Hang(target, false)),
            FaultKind::Silent => both(script, Act::Silent(target.clone(), true), Act::Silent(target, false)),
            FaultKind::Slow => {
                both(script, Act::Slow(target.clone(), fault.magnitude.max(1.0)), Act::Slow(target, 1.0));
            }
            FaultKind::SlowConnect => {
                let delay = Duration::from_secs_f64(fault.magnitude / 1e3);
                both(
                    script,
                    Act::SlowConnect(target.clone(), delay),
                    Act::SlowConnect(target, Duration::ZERO),
                );
            }
            FaultKind::SlowLinks => {
                both(script, Act::Links(target.clone(), fault.magnitude.max(1.0)), Act::Links(target, 1.0));
            }
            FaultKind::BadRelease => {
                let after = Some(Duration::from_secs_f64(fault.magnitude / 1e3));
                both(script, Act::FailAfter(target.clone(), after), Act::FailAfter(target, None));
            }
            FaultKind::StaleReports => {
                both(script, Act::Stale(target.clone(), true), Act::Stale(target, false));
            }
            FaultKind::LyingReports => both(script, Act::Lie(target.clone(), true), Act::Lie(target, false)),
            FaultKind::Drain => both(script, Act::Drain(target.clone()), Act::Undrain(target)),
            FaultKind::Forget => script.add(turn, Act::Forget(target)),
            FaultKind::Replace => {
                let drain = Duration::from_secs_f64(fault.magnitude / 1e3);
                script.add(turn, Act::Replace(target.clone()));
                script.add(turn + drain, Act::Remove(target));
            }
            _ => {}
        }
    }
}

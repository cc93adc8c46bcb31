//! The kinds of faults: their names in scenario files, their default magnitudes, and the scripted actions
//! that they expand to.

use std::collections::BTreeMap;
use std::time::Duration;

use pintally_cells::CellsFile;
use pintally_config::form::Form;
use pintally_config::{ConfigError, NodeSettings};
use rand::seq::SliceRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::script::{Action, Link, LinkSet, MoveStep, Script, Target};
use crate::spec::{Fault, FaultKind};

/// Name in scenario files, kind, and default magnitude.
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

/// The name of a kind in scenario files.
pub(crate) fn kind_name(kind: FaultKind) -> &'static str {
    KINDS.iter().find(|k| k.1 == kind).map_or("", |k| k.0)
}

/// Parses one `(fault ...)` form.
pub(crate) fn parse(
    form: &Form,
    zones: &[String],
    settings: &NodeSettings,
    cells: Option<&CellsFile>,
) -> Result<Fault, ConfigError> {
    let kind = form.text()?;
    let Some((_, kind, default_magnitude)) = KINDS.iter().find(|k| k.0 == kind) else {
        let names: Vec<&str> = KINDS.iter().map(|k| k.0).collect();
        return Err(
            form.error(format!("unknown kind of fault `{kind}`; expected one of {}", names.join(", ")))
        );
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
        return Err(form.error("`full-for-tenant` needs a `tenant` in the scenario"));
    }
    if *kind == FaultKind::ZoneCut && zones.len() < 2 {
        return Err(form.error("`zone-cut` needs at least two zones"));
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
        magnitude: form.number_or("size", *default_magnitude, 0.0, 1e6)?,
        batch_size: form.count_or("batch", 1, 1, 10_000)? as usize,
    };
    form.finish()?;
    Ok(fault)
}

/// AuditEvent the faults of a scenario can affect.
pub(crate) struct FaultScope<'a> {
    /// Engine ids with their kinds and cells.
    pub(crate) engines: &'a [(String, String, Option<String>)],
    /// Zone of each engine.
    pub(crate) engine_zones: &'a BTreeMap<String, String>,
    pub(crate) nodes: usize,
    pub(crate) zones: &'a [String],
    pub(crate) tenants: &'a [String],
}

impl FaultScope<'_> {
    fn choose_engines(&self, fault: &Fault, rng: &mut ChaCha8Rng) -> Vec<Target> {
        if !fault.engines.is_empty() {
            return fault.engines.iter().cloned().map(Target).collect();
        }
        let of_kind = |kind: &str| fault.engine_kind.as_deref().is_none_or(|of| of == kind);
        let in_cell = |cell: &Option<String>| fault.cell.is_none() || fault.cell == *cell;
        let eligible = self.engines.iter().filter(|e| of_kind(&e.1) && in_cell(&e.2));
        let mut all: Vec<Target> = eligible.map(|e| Target(e.0.clone())).collect();
        all.shuffle(rng);
        let count = (all.len() as f64 * fault.fraction).round().max(1.0) as usize;
        all.truncate(count);
        all
    }
}

/// Adds the actions of a fault to a script.
pub(crate) fn schedule(fault: &Fault, scope: &FaultScope, rng: &mut ChaCha8Rng, script: &mut Script) {
    let (start, end) = (fault.start, fault.start + fault.duration);
    let mut pick_or_default = |names: &[String]| match &fault.zone_or_tenant {
        Some(name) => name.clone(),
        None if names.is_empty() => String::new(),
        None => names[rng.random_range(0..names.len())].clone(),
    };
    match fault.kind {
        FaultKind::ZoneCut => {
            let zone = pick_or_default(scope.zones);
            script.add(start, Action::Cut(zone.clone(), true));
            script.add(end, Action::Cut(zone, false));
        }
        FaultKind::LateList => {
            script.add(start, Action::ListDelay(Duration::from_secs_f64(fault.magnitude / 1e3)));
            script.add(end, Action::ListDelay(Duration::ZERO));
        }
        FaultKind::HeedlessRetries => {
            script.add(start, Action::Heedless(true));
            script.add(end, Action::Heedless(false));
        }
        FaultKind::LeaveEarly => {
            script.add(start, Action::LeaveEarly(fault.magnitude.min(1.0)));
            script.add(end, Action::LeaveEarly(0.0));
        }
        FaultKind::Burst => {
            script.add(start, Action::Rate(fault.magnitude));
            script.add(end, Action::Rate(1.0));
        }
        FaultKind::TenantFlood => {
            let tenant = fault.zone_or_tenant.clone().unwrap_or_default();
            script.add(start, Action::Flood(Some((tenant, fault.magnitude))));
            script.add(end, Action::Flood(None));
        }
        FaultKind::MoveTenant => {
            let (tenant, to_cell) =
                (fault.zone_or_tenant.clone().unwrap_or_default(), fault.cell.clone().unwrap_or_default());
            // The move is announced at the start. After a third of the duration the sessions begin to move, by
            // default over a third of the duration. The move is completed at the end.
            let span = Duration::from_secs_f64(fault.magnitude / 1e3);
            let over = if span.is_zero() { fault.duration / 3 } else { span };
            script.add(start, Action::Move(tenant.clone(), MoveStep::Prepare { to: to_cell, over }));
            script.add(start + fault.duration / 3, Action::Move(tenant.clone(), MoveStep::Both));
            script.add(end, Action::Move(tenant, MoveStep::Done));
        }
        FaultKind::HotText => {
            script.add(start, Action::HotText(fault.magnitude.min(1.0)));
            script.add(end, Action::HotText(0.0));
        }
        FaultKind::NodeKill => {
            let mut nodes: Vec<usize> = (0..scope.nodes).collect();
            nodes.shuffle(rng);
            // At least one node is left running if there is more than one.
            let most = scope.nodes.saturating_sub(1).max(1);
            let count = ((scope.nodes as f64 * fault.fraction).round() as usize).clamp(1, most);
            for node in nodes.into_iter().take(count) {
                script.add(start, Action::KillNode(node));
                script.add(end, Action::StartNode(node));
            }
        }
        FaultKind::NodeRoll => {
            let step = fault.duration / scope.nodes.max(1) as u32;
            for node in 0..scope.nodes {
                let at = start + step * node as u32;
                script.add(at, Action::KillNode(node));
                script.add(at + Duration::from_secs_f64(fault.magnitude / 1e3), Action::StartNode(node));
            }
        }
        FaultKind::Power => schedule_power_loss(fault, scope, rng, script),
        FaultKind::ZonePower | FaultKind::ZoneDark => {
            let zone = pick_or_default(scope.zones);
            let number = scope.zones.iter().position(|z| *z == zone);
            let nodes = if fault.kind == FaultKind::ZonePower { scope.nodes } else { 0 };
            for node in (0..nodes).filter(|n| Some(n % scope.zones.len()) == number) {
                script.add(start, Action::KillNode(node));
                script.add(end, Action::StartNode(node));
            }
            for (engine, _) in scope.engine_zones.iter().filter(|(_, at)| **at == zone) {
                script.add(start, Action::PowerOff(Target(engine.clone())));
                script.add(end, Action::Start(Target(engine.clone())));
            }
        }
        FaultKind::NodePause => {
            let mut nodes: Vec<usize> = (0..scope.nodes).collect();
            nodes.shuffle(rng);
            let count = ((scope.nodes as f64 * fault.fraction).round() as usize).max(1);
            for node in nodes.into_iter().take(count) {
                script.add(start, Action::Pause(node, true));
                script.add(end, Action::Pause(node, false));
            }
        }
        FaultKind::PeerCut
        | FaultKind::PeerOneWay
        | FaultKind::PeerSide
        | FaultKind::PeerStall
        | FaultKind::PeerLoss => {
            let cut = Link { cut: true, ..Link::default() };
            let (links, link) = match fault.kind {
                FaultKind::PeerCut => (LinkSet::Across, cut),
                FaultKind::PeerOneWay => (LinkSet::OneWay, cut),
                FaultKind::PeerSide => (LinkSet::Side, cut),
                FaultKind::PeerStall => (LinkSet::All, Link { stalled: true, ..Link::default() }),
                _ => (LinkSet::All, Link { loss: fault.magnitude.min(1.0), ..Link::default() }),
            };
            script.add(start, Action::Link(links, link, true));
            script.add(end, Action::Link(links, link, false));
        }
        FaultKind::FullForTenant => {
            let tenant = pick_or_default(scope.tenants);
            for target in scope.choose_engines(fault, rng) {
                script.add(start, Action::FullFor(target.clone(), Some(tenant.clone())));
                script.add(end, Action::FullFor(target, None));
            }
        }
        _ => schedule_engine_faults(fault, scope, rng, script),
    }
}

/// All nodes and engines lose power at once. Each returns at a random time within the fault's duration,
/// except the first `magnitude` nodes in the drawn order, which never return.
fn schedule_power_loss(fault: &Fault, scope: &FaultScope, rng: &mut ChaCha8Rng, script: &mut Script) {
    for node in 0..scope.nodes {
        script.add(fault.start, Action::KillNode(node));
    }
    let mut nodes: Vec<usize> = (0..scope.nodes).collect();
    nodes.shuffle(rng);
    for node in nodes.into_iter().skip(fault.magnitude as usize) {
        script
            .add(fault.start + fault.duration.mul_f64(rng.random_range(0.05..1.0)), Action::StartNode(node));
    }
    for (engine, _, _) in scope.engines {
        script.add(fault.start, Action::PowerOff(Target(engine.clone())));
        let restart_at = fault.start + fault.duration.mul_f64(rng.random_range(0.05..1.0));
        script.add(restart_at, Action::Start(Target(engine.clone())));
    }
}

/// Adds the actions of a fault that affects engines one by one.
fn schedule_engine_faults(fault: &Fault, scope: &FaultScope, rng: &mut ChaCha8Rng, script: &mut Script) {
    let (start, end) = (fault.start, fault.start + fault.duration);
    let targets = scope.choose_engines(fault, rng);
    let batches = targets.len().div_ceil(fault.batch_size).max(1) as u32;
    for (index, target) in targets.into_iter().enumerate() {
        let batch_start = start + fault.duration / batches * (index / fault.batch_size) as u32;
        let both = |script: &mut Script, begin_action: Action, end_action: Action| {
            script.add(start, begin_action);
            script.add(end, end_action);
        };
        match fault.kind {
            FaultKind::Crash => both(script, Action::Crash(target.clone()), Action::Start(target)),
            FaultKind::Restart => {
                // Down for 100 ms only, so most nodes learn of the restart after the engine is back.
                script.add(batch_start, Action::Crash(target.clone()));
                script.add(batch_start + Duration::from_millis(100), Action::Start(target));
            }
            FaultKind::Hang => both(script, Action::Hang(target.clone(), true), Action::Hang(target, false)),
            FaultKind::Silent => {
                both(script, Action::Silent(target.clone(), true), Action::Silent(target, false));
            }
            FaultKind::Slow => {
                both(
                    script,
                    Action::Slow(target.clone(), fault.magnitude.max(1.0)),
                    Action::Slow(target, 1.0),
                );
            }
            FaultKind::SlowConnect => {
                let delay = Duration::from_secs_f64(fault.magnitude / 1e3);
                both(
                    script,
                    Action::SlowConnect(target.clone(), delay),
                    Action::SlowConnect(target, Duration::ZERO),
                );
            }
            FaultKind::SlowLinks => {
                both(
                    script,
                    Action::Links(target.clone(), fault.magnitude.max(1.0)),
                    Action::Links(target, 1.0),
                );
            }
            FaultKind::BadRelease => {
                let after = Some(Duration::from_secs_f64(fault.magnitude / 1e3));
                both(script, Action::FailAfter(target.clone(), after), Action::FailAfter(target, None));
            }
            FaultKind::StaleReports => {
                both(script, Action::Stale(target.clone(), true), Action::Stale(target, false));
            }
            FaultKind::LyingReports => {
                both(script, Action::Lie(target.clone(), true), Action::Lie(target, false));
            }
            FaultKind::Drain => both(script, Action::Drain(target.clone()), Action::Undrain(target)),
            FaultKind::Forget => script.add(batch_start, Action::Forget(target)),
            FaultKind::Replace => {
                let drain = Duration::from_secs_f64(fault.magnitude / 1e3);
                script.add(batch_start, Action::Replace(target.clone()));
                script.add(batch_start + drain, Action::Remove(target));
            }
            _ => {}
        }
    }
}

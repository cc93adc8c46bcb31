//! Faults of a day as acts in virtual time.

use pintally_scenario::{Fault, FaultKind, Scenario};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// One act; engines by their numbers, times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// An engine dies, or starts cold.
    SetRunning(usize, bool),
    /// An engine is so many times slower.
    SetSlowdown(usize, f64),
    /// An engine's links are so many times slower.
    SetLinkSlowdown(usize, f64),
    /// An engine drains, or serves again.
    SetDraining(usize, bool),
    /// An engine forgets what it keeps.
    ClearCache(usize),
    /// An engine's load reports are as they are, old, or say that it idles.
    SetReportAccuracy(usize, pintally_emulator::ReportAccuracy),
    /// An engine does nothing for a time.
    PauseUntil(usize, u64),
    /// Clients send so many times as much.
    SetTrafficRate(f64),
    /// A tenant's move takes a step: announced, into a cell within so many microseconds,
    AnnounceMove(String, String, u64),
    /// begun, or done.
    AdvanceMove(String, bool),
    /// This share of the requests begins with one text.
    SetHotTextShare(f64),
}

/// Whether a kind of fault can be played in virtual time.
pub fn is_supported(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::Crash
            | FaultKind::Restart
            | FaultKind::Hang
            | FaultKind::Slow
            | FaultKind::SlowLinks
            | FaultKind::Drain
            | FaultKind::Forget
            | FaultKind::StaleReports
            | FaultKind::LyingReports
            | FaultKind::Burst
            | FaultKind::HotText
            | FaultKind::MoveTenant
    )
}

/// The acts of a day's faults, in order of time. Engines come with their kinds and cells.
pub(crate) fn script(
    day: &Scenario,
    engines: &[(String, Option<String>)],
    rng: &mut ChaCha8Rng,
) -> Vec<(u64, FaultAction)> {
    let mut acts = Vec::new();
    for fault in day.faults.iter().filter(|f| is_supported(f.kind)) {
        let (from, to) = (fault.start.as_micros() as u64, (fault.start + fault.duration).as_micros() as u64);
        match fault.kind {
            FaultKind::Burst => acts.extend([
                (from, FaultAction::SetTrafficRate(fault.magnitude)),
                (to, FaultAction::SetTrafficRate(1.0)),
            ]),
            FaultKind::MoveTenant => {
                let (tenant, cell) = (
                    fault.zone_or_tenant.clone().unwrap_or_default(),
                    fault.cell.clone().unwrap_or_default(),
                );
                let size_ms = (fault.magnitude * 1e3) as u64;
                let third = (to - from) / 3;
                let over = if size_ms == 0 { third } else { size_ms };
                acts.push((from, FaultAction::AnnounceMove(tenant.clone(), cell, over)));
                acts.push((from + third, FaultAction::AdvanceMove(tenant.clone(), false)));
                acts.push((to, FaultAction::AdvanceMove(tenant, true)));
            }
            FaultKind::HotText => acts.extend([
                (from, FaultAction::SetHotTextShare(fault.magnitude.min(1.0))),
                (to, FaultAction::SetHotTextShare(0.0)),
            ]),
            _ => {
                for engine in struck(fault, engines, rng) {
                    acts.extend(of_engine(fault, engine, from, to));
                }
            }
        }
    }
    acts.sort_by_key(|a| a.0);
    acts
}

fn struck(fault: &Fault, engines: &[(String, Option<String>)], rng: &mut ChaCha8Rng) -> Vec<usize> {
    let fits = |(kind, cell): &(String, Option<String>)| {
        fault.engine_kind.as_ref().is_none_or(|of| of == kind)
            && (fault.cell.is_none() || fault.cell == *cell)
    };
    let mut all: Vec<usize> = (0..engines.len()).filter(|n| fits(&engines[*n])).collect();
    all.shuffle(rng);
    all.truncate((all.len() as f64 * fault.fraction).round().max(1.0) as usize);
    all
}

fn of_engine(fault: &Fault, engine: usize, from: u64, to: u64) -> Vec<(u64, FaultAction)> {
    use pintally_emulator::ReportAccuracy;
    let both = |begin: FaultAction, end: FaultAction| vec![(from, begin), (to, end)];
    match fault.kind {
        FaultKind::Crash => {
            both(FaultAction::SetRunning(engine, false), FaultAction::SetRunning(engine, true))
        }
        FaultKind::Restart => vec![
            (from, FaultAction::SetRunning(engine, false)),
            (from + 100_000, FaultAction::SetRunning(engine, true)),
        ],
        FaultKind::Slow => both(
            FaultAction::SetSlowdown(engine, fault.magnitude.max(1.0)),
            FaultAction::SetSlowdown(engine, 1.0),
        ),
        FaultKind::SlowLinks => both(
            FaultAction::SetLinkSlowdown(engine, fault.magnitude.max(1.0)),
            FaultAction::SetLinkSlowdown(engine, 1.0),
        ),
        FaultKind::Drain => {
            both(FaultAction::SetDraining(engine, true), FaultAction::SetDraining(engine, false))
        }
        FaultKind::Hang => vec![(from, FaultAction::PauseUntil(engine, to))],
        FaultKind::Forget => vec![(from, FaultAction::ClearCache(engine))],
        FaultKind::StaleReports => both(
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Stale),
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Honest),
        ),
        FaultKind::LyingReports => both(
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Idle),
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Honest),
        ),
        _ => Vec::new(),
    }
}

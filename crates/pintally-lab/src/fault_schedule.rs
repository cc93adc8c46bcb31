//! Translates a scenario's faults into timed actions of the simulation.

use pintally_scenario::{Fault, FaultKind, Scenario};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// One action of a fault. Engines are given by their index, times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Crashes an engine (`false`), or starts it with an empty cache (`true`).
    SetRunning(usize, bool),
    /// Makes an engine slower by this factor.
    SetSlowdown(usize, f64),
    /// Makes an engine's network links slower by this factor.
    SetLinkSlowdown(usize, f64),
    /// Lists an engine as draining (`true`), or as serving again (`false`).
    SetDraining(usize, bool),
    /// Clears an engine's prefix cache.
    ClearCache(usize),
    /// Makes an engine's load reports correct, stale, or always idle.
    SetReportAccuracy(usize, pintally_emulator::ReportAccuracy),
    /// Makes an engine do no work until this time.
    PauseUntil(usize, u64),
    /// Multiplies the clients' request rate by this factor.
    SetTrafficRate(f64),
    /// Announces that a tenant moves into a cell, and the time in microseconds over which its sessions move.
    AnnounceMove(String, String, u64),
    /// Starts an announced move of a tenant (`false`), or completes it (`true`).
    AdvanceMove(String, bool),
    /// Makes this share of the requests begin with the same text.
    SetHotTextShare(f64),
}

/// Whether the simulation can play a kind of fault.
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

/// The actions of a scenario's faults, ordered by time. Each engine is given by its kind and cell.
pub(crate) fn schedule_faults(
    scenario: &Scenario,
    engines: &[(String, Option<String>)],
    rng: &mut ChaCha8Rng,
) -> Vec<(u64, FaultAction)> {
    let mut actions = Vec::new();
    for fault in scenario.faults.iter().filter(|f| is_supported(f.kind)) {
        let (from, to) = (fault.start.as_micros() as u64, (fault.start + fault.duration).as_micros() as u64);
        match fault.kind {
            FaultKind::Burst => actions.extend([
                (from, FaultAction::SetTrafficRate(fault.magnitude)),
                (to, FaultAction::SetTrafficRate(1.0)),
            ]),
            FaultKind::MoveTenant => {
                let (tenant, cell) = (
                    fault.zone_or_tenant.clone().unwrap_or_default(),
                    fault.cell.clone().unwrap_or_default(),
                );
                let magnitude_us = (fault.magnitude * 1e3) as u64;
                let third = (to - from) / 3;
                let over_us = if magnitude_us == 0 { third } else { magnitude_us };
                actions.push((from, FaultAction::AnnounceMove(tenant.clone(), cell, over_us)));
                actions.push((from + third, FaultAction::AdvanceMove(tenant.clone(), false)));
                actions.push((to, FaultAction::AdvanceMove(tenant, true)));
            }
            FaultKind::HotText => actions.extend([
                (from, FaultAction::SetHotTextShare(fault.magnitude.min(1.0))),
                (to, FaultAction::SetHotTextShare(0.0)),
            ]),
            _ => {
                for engine in affected_engines(fault, engines, rng) {
                    actions.extend(engine_actions(fault, engine, from, to));
                }
            }
        }
    }
    actions.sort_by_key(|action| action.0);
    actions
}

/// The engines that a fault hits: a random share of those of its kind and cell, and at least one.
fn affected_engines(fault: &Fault, engines: &[(String, Option<String>)], rng: &mut ChaCha8Rng) -> Vec<usize> {
    let matches_fault = |(kind, cell): &(String, Option<String>)| {
        fault.engine_kind.as_ref().is_none_or(|of| of == kind)
            && (fault.cell.is_none() || fault.cell == *cell)
    };
    let mut candidates: Vec<usize> = (0..engines.len()).filter(|n| matches_fault(&engines[*n])).collect();
    candidates.shuffle(rng);
    candidates.truncate((candidates.len() as f64 * fault.fraction).round().max(1.0) as usize);
    candidates
}

fn engine_actions(fault: &Fault, engine: usize, from: u64, to: u64) -> Vec<(u64, FaultAction)> {
    use pintally_emulator::ReportAccuracy;
    let for_duration = |start: FaultAction, end: FaultAction| vec![(from, start), (to, end)];
    match fault.kind {
        FaultKind::Crash => {
            for_duration(FaultAction::SetRunning(engine, false), FaultAction::SetRunning(engine, true))
        }
        FaultKind::Restart => vec![
            (from, FaultAction::SetRunning(engine, false)),
            (from + 100_000, FaultAction::SetRunning(engine, true)),
        ],
        FaultKind::Slow => for_duration(
            FaultAction::SetSlowdown(engine, fault.magnitude.max(1.0)),
            FaultAction::SetSlowdown(engine, 1.0),
        ),
        FaultKind::SlowLinks => for_duration(
            FaultAction::SetLinkSlowdown(engine, fault.magnitude.max(1.0)),
            FaultAction::SetLinkSlowdown(engine, 1.0),
        ),
        FaultKind::Drain => {
            for_duration(FaultAction::SetDraining(engine, true), FaultAction::SetDraining(engine, false))
        }
        FaultKind::Hang => vec![(from, FaultAction::PauseUntil(engine, to))],
        FaultKind::Forget => vec![(from, FaultAction::ClearCache(engine))],
        FaultKind::StaleReports => for_duration(
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Stale),
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Honest),
        ),
        FaultKind::LyingReports => for_duration(
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Idle),
            FaultAction::SetReportAccuracy(engine, ReportAccuracy::Honest),
        ),
        _ => Vec::new(),
    }
}

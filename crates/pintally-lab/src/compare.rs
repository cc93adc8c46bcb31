//! Days of several policies side by side, paired by seed, on all cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::{audit, Record, Report};
use pintally_benchmarks::{Interval, Spread};
use pintally_scenario::{requests, timely_value_share, with_figures, Scenario};

use crate::policy::PolicyKind;
use crate::world::World;

/// What came of one day.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    /// Share of the worth asked that was served in time.
    pub timely_share: f64,
    /// Milliseconds to the first token, 99th percentile of what was served.
    pub p99_ms: f64,
    /// Rules that were broken, each as often as it was, in words.
    pub violations: Vec<String>,
    /// Engines that fell over.
    pub overload_crashes: u64,
    /// Seconds of the wall's clock for each of the day's.
    pub wall_share: f64,
}

/// Plays one day and audits it; also tells how many engines fell over, and how long the playing took.
fn audited(
    day: &Scenario,
    policy: PolicyKind,
    seed: u64,
) -> Result<(Vec<Record>, Report, u64, Duration), String> {
    let begun = Instant::now();
    let (record, engines, overload_crashes) = World::new(day, policy, seed).play();
    let wall = begun.elapsed();
    let times = (day.drain_grace.as_micros() as u64, day.slack.as_micros() as u64);
    let record = with_figures(&day.settings, times, engines, record);
    let report = audit(&record).map_err(|e| e.to_string())?;
    Ok((record, report, overload_crashes, wall))
}

/// Plays one day in virtual time; its record, and whether all rules were kept.
pub fn record(day: &Scenario, policy: PolicyKind, seed: u64) -> Result<(Vec<Record>, bool), String> {
    let (record, report, ..) = audited(day, policy, seed)?;
    Ok((record, report.rules.kept()))
}

/// Plays one day in virtual time.
pub fn play(day: &Scenario, policy: PolicyKind, seed: u64) -> Result<ScenarioResult, String> {
    let (record, report, overload_crashes, wall) = audited(day, policy, seed)?;
    let span = record.last().map_or(1.0, |r| r.at as f64 / 1e6).max(1e-9);
    let all = requests(day, &record);
    let served =
        all.iter().filter(|o| o.served).filter_map(|o| o.first_token_at_us.map(|f| f - o.sent_at_us));
    let mut firsts: Vec<u64> = served.collect();
    firsts.sort_unstable();
    let place = ((firsts.len() as f64 * 0.99) as usize).min(firsts.len().max(1) - 1);
    Ok(ScenarioResult {
        timely_share: timely_value_share(all.iter()),
        p99_ms: firsts.get(place).map_or(f64::NAN, |f| *f as f64 / 1e3),
        violations: report
            .rules
            .each()
            .iter()
            .flat_map(|(rule, found)| found.iter().map(move |what| format!("{rule}: {what}")))
            .collect(),
        overload_crashes,
        wall_share: wall.as_secs_f64().max(1e-9) / span,
    })
}

/// A policy at a load, against the module at the same load and seeds.
#[derive(Clone, Debug)]
pub struct PolicyComparison {
    /// The policy.
    pub policy: PolicyKind,
    /// Times the day's rate.
    pub load: f64,
    /// Share of the worth asked that was served in time.
    pub timely_share: Spread,
    /// Less what the module's was, seed by seed, in parts of one.
    pub against_module: Interval,
    /// Milliseconds to the first token, 99th percentile.
    pub p99_ms: Spread,
    /// Runs in which a rule was broken.
    pub runs_with_violations: usize,
    /// What was broken first, if anything.
    pub first_violation: Option<String>,
    /// Engines that fell over.
    pub overload_crashes: u64,
}

/// Plays a day under all policies at several loads, over seeds.
pub fn compare(
    day: &Scenario,
    loads: &[f64],
    seeds: std::ops::Range<u64>,
) -> Result<Vec<PolicyComparison>, String> {
    let seeds: Vec<u64> = seeds.collect();
    let mut jobs = Vec::new();
    for load in loads {
        for policy in PolicyKind::ALL {
            jobs.extend(seeds.iter().map(|seed| (*load, policy, *seed)));
        }
    }
    let results: Mutex<Vec<Option<Result<ScenarioResult, String>>>> = Mutex::new(vec![None; jobs.len()]);
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, std::num::NonZero::get) {
            scope.spawn(|| {
                let mut at = next.fetch_add(1, Ordering::Relaxed);
                while let Some((load, policy, seed)) = jobs.get(at) {
                    let mut day = day.clone();
                    day.traffic.per_second *= load;
                    let played = play(&day, *policy, *seed);
                    results.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[at] = Some(played);
                    at = next.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut played = Vec::with_capacity(results.len());
    for result in results {
        played.push(result.ok_or("a run ended by a panic")??);
    }
    let mut found = Vec::new();
    for (l, load) in loads.iter().enumerate() {
        let of = |w: usize| {
            let from = (l * PolicyKind::ALL.len() + w) * seeds.len();
            &played[from..from + seeds.len()]
        };
        for (w, policy) in PolicyKind::ALL.into_iter().enumerate() {
            let differences: Vec<f64> =
                of(w).iter().zip(of(0)).map(|(own, module)| own.timely_share - module.timely_share).collect();
            found.push(PolicyComparison {
                policy,
                load: *load,
                timely_share: Spread::of(of(w).iter().map(|p| p.timely_share)),
                against_module: Interval::of(&differences),
                p99_ms: Spread::of(of(w).iter().map(|p| p.p99_ms)),
                runs_with_violations: of(w).iter().filter(|p| !p.violations.is_empty()).count(),
                first_violation: of(w).iter().flat_map(|p| p.violations.first()).next().cloned(),
                overload_crashes: of(w).iter().map(|p| p.overload_crashes).sum(),
            });
        }
    }
    Ok(found)
}

/// How fast a day goes at a size.
#[derive(Clone, Debug)]
pub struct SizeResult {
    /// Engines and nodes.
    pub engines: usize,
    /// Nodes.
    pub nodes: usize,
    /// Requests a second.
    pub per_second: f64,
    /// Seconds of the day for each of the wall's clock.
    pub speed: Spread,
    /// Share of the worth asked that was served in time.
    pub timely_share: Spread,
    /// Runs in which a rule was broken.
    pub runs_with_violations: usize,
    /// What was broken first, if anything.
    pub first_violation: Option<String>,
}

/// Plays a day one after the other, scaled to so many engines and nodes at the same load for each
/// engine.
pub fn play_at_size(day: &Scenario, engines: usize, nodes: usize, seeds: u64) -> Result<SizeResult, String> {
    let mut day = day.clone();
    let all: usize = day.engines.iter().map(|e| e.count).sum();
    let times = engines as f64 / all.max(1) as f64;
    day.engines.iter_mut().for_each(|e| e.count = ((e.count as f64 * times).round() as usize).max(1));
    let made: usize = day.engines.iter().map(|e| e.count).sum();
    day.traffic.per_second *= times;
    day.nodes = nodes;
    let played =
        (0..seeds).map(|s| play(&day, PolicyKind::Module, day.seed + s)).collect::<Result<Vec<_>, _>>()?;
    Ok(SizeResult {
        engines: made,
        nodes,
        per_second: day.traffic.per_second,
        speed: Spread::of(played.iter().map(|p| 1.0 / p.wall_share)),
        timely_share: Spread::of(played.iter().map(|p| p.timely_share)),
        runs_with_violations: played.iter().filter(|p| !p.violations.is_empty()).count(),
        first_violation: played.iter().flat_map(|p| p.violations.first()).next().cloned(),
    })
}

//! Compares policies on the same scenario and seeds, with runs in parallel on all cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::{audit, Record, Report};
use pintally_benchmarks::{Interval, Spread};
use pintally_scenario::{requests, timely_value_share, with_figures, Scenario};

use crate::policy::PolicyKind;
use crate::world::World;

/// The results of one simulated run.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    /// The value of the requests that were served in time, as a share of the value of all requests.
    pub timely_share: f64,
    /// The 99th percentile of the time to first token over served requests, in milliseconds.
    pub p99_ms: f64,
    /// One line for each violation of a rule.
    pub violations: Vec<String>,
    /// Engine crashes by overload.
    pub overload_crashes: u64,
    /// Wall-clock seconds for each simulated second.
    pub wall_seconds_per_simulated: f64,
}

/// Simulates one run and audits its record. Also returns the number of engine crashes by overload and the
/// wall-clock time of the simulation.
fn play_and_audit(
    scenario: &Scenario,
    policy: PolicyKind,
    seed: u64,
) -> Result<(Vec<Record>, Report, u64, Duration), String> {
    let wall_start = Instant::now();
    let (record, engines, overload_crashes) = World::new(scenario, policy, seed).play();
    let wall = wall_start.elapsed();
    let tolerances = (scenario.drain_grace.as_micros() as u64, scenario.slack.as_micros() as u64);
    let record = with_figures(&scenario.settings, tolerances, engines, record);
    let report = audit(&record).map_err(|e| e.to_string())?;
    Ok((record, report, overload_crashes, wall))
}

/// Simulates one run; returns its record and whether all rules were kept.
pub fn record(scenario: &Scenario, policy: PolicyKind, seed: u64) -> Result<(Vec<Record>, bool), String> {
    let (record, report, ..) = play_and_audit(scenario, policy, seed)?;
    Ok((record, report.rules.kept()))
}

/// Simulates one run and summarizes it.
pub fn play(scenario: &Scenario, policy: PolicyKind, seed: u64) -> Result<ScenarioResult, String> {
    let (record, report, overload_crashes, wall) = play_and_audit(scenario, policy, seed)?;
    let simulated_seconds = record.last().map_or(1.0, |r| r.at as f64 / 1e6).max(1e-9);
    let outcomes = requests(scenario, &record);
    let times_to_first_token =
        outcomes.iter().filter(|o| o.served).filter_map(|o| o.first_token_at_us.map(|f| f - o.sent_at_us));
    let mut sorted_us: Vec<u64> = times_to_first_token.collect();
    sorted_us.sort_unstable();
    let p99_index = ((sorted_us.len() as f64 * 0.99) as usize).min(sorted_us.len().max(1) - 1);
    Ok(ScenarioResult {
        timely_share: timely_value_share(outcomes.iter()),
        p99_ms: sorted_us.get(p99_index).map_or(f64::NAN, |us| *us as f64 / 1e3),
        violations: report
            .rules
            .each()
            .iter()
            .flat_map(|(rule, found)| found.iter().map(move |violation| format!("{rule}: {violation}")))
            .collect(),
        overload_crashes,
        wall_seconds_per_simulated: wall.as_secs_f64().max(1e-9) / simulated_seconds,
    })
}

/// A policy at one load, compared with the router module at the same load and seeds.
#[derive(Clone, Debug)]
pub struct PolicyComparison {
    /// The policy.
    pub policy: PolicyKind,
    /// The factor on the scenario's request rate.
    pub load: f64,
    /// The value of the requests that were served in time, as a share of the value of all requests.
    pub timely_share: Spread,
    /// The difference from the module's share, paired by seed, as a fraction of 1.
    pub against_module: Interval,
    /// The 99th percentile of the time to first token, in milliseconds.
    pub p99_ms: Spread,
    /// The number of runs that broke a rule.
    pub runs_with_violations: usize,
    /// The first violation of the first run that broke a rule.
    pub first_violation: Option<String>,
    /// Engine crashes by overload.
    pub overload_crashes: u64,
}

/// Simulates a scenario with each policy at each load and seed.
pub fn compare(
    scenario: &Scenario,
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
    let next_job = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, std::num::NonZero::get) {
            scope.spawn(|| {
                let mut job = next_job.fetch_add(1, Ordering::Relaxed);
                while let Some((load, policy, seed)) = jobs.get(job) {
                    let mut scenario = scenario.clone();
                    scenario.traffic.per_second *= load;
                    let played = play(&scenario, *policy, *seed);
                    results.lock().unwrap_or_else(std::sync::PoisonError::into_inner)[job] = Some(played);
                    job = next_job.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut played = Vec::with_capacity(results.len());
    for result in results {
        played.push(result.ok_or("a run ended by a panic")??);
    }
    let mut comparisons = Vec::new();
    for (load_index, load) in loads.iter().enumerate() {
        let runs_of = |policy_index: usize| {
            let from = (load_index * PolicyKind::ALL.len() + policy_index) * seeds.len();
            &played[from..from + seeds.len()]
        };
        for (policy_index, policy) in PolicyKind::ALL.into_iter().enumerate() {
            let differences: Vec<f64> = runs_of(policy_index)
                .iter()
                .zip(runs_of(0))
                .map(|(own, module)| own.timely_share - module.timely_share)
                .collect();
            comparisons.push(PolicyComparison {
                policy,
                load: *load,
                timely_share: Spread::of(runs_of(policy_index).iter().map(|p| p.timely_share)),
                against_module: Interval::of(&differences),
                p99_ms: Spread::of(runs_of(policy_index).iter().map(|p| p.p99_ms)),
                runs_with_violations: runs_of(policy_index)
                    .iter()
                    .filter(|p| !p.violations.is_empty())
                    .count(),
                first_violation: runs_of(policy_index)
                    .iter()
                    .flat_map(|p| p.violations.first())
                    .next()
                    .cloned(),
                overload_crashes: runs_of(policy_index).iter().map(|p| p.overload_crashes).sum(),
            });
        }
    }
    Ok(comparisons)
}

/// The speed of the simulation at a fleet size.
#[derive(Clone, Debug)]
pub struct SizeResult {
    /// Engines.
    pub engines: usize,
    /// Nodes.
    pub nodes: usize,
    /// Requests per second.
    pub per_second: f64,
    /// Simulated seconds for each wall-clock second.
    pub speed: Spread,
    /// The value of the requests that were served in time, as a share of the value of all requests.
    pub timely_share: Spread,
    /// The number of runs that broke a rule.
    pub runs_with_violations: usize,
    /// The first violation of the first run that broke a rule.
    pub first_violation: Option<String>,
}

/// Simulates a scenario, scaled to this many engines and nodes at the same load for each engine, over several seeds
/// one after another.
pub fn play_at_size(
    scenario: &Scenario,
    engines: usize,
    nodes: usize,
    seeds: u64,
) -> Result<SizeResult, String> {
    let mut scenario = scenario.clone();
    let scenario_engines: usize = scenario.engines.iter().map(|e| e.count).sum();
    let scale = engines as f64 / scenario_engines.max(1) as f64;
    scenario.engines.iter_mut().for_each(|e| e.count = ((e.count as f64 * scale).round() as usize).max(1));
    let scaled_engines: usize = scenario.engines.iter().map(|e| e.count).sum();
    scenario.traffic.per_second *= scale;
    scenario.nodes = nodes;
    let played = (0..seeds)
        .map(|s| play(&scenario, PolicyKind::Module, scenario.seed + s))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(SizeResult {
        engines: scaled_engines,
        nodes,
        per_second: scenario.traffic.per_second,
        speed: Spread::of(played.iter().map(|p| 1.0 / p.wall_seconds_per_simulated)),
        timely_share: Spread::of(played.iter().map(|p| p.timely_share)),
        runs_with_violations: played.iter().filter(|p| !p.violations.is_empty()).count(),
        first_violation: played.iter().flat_map(|p| p.violations.first()).next().cloned(),
    })
}

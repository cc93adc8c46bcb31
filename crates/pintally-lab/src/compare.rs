//! Days of several policies side by side, paired by seed, on all cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::{audit, Record, Report};
use pintally_benchmarks::{Interval, Spread};
use pintally_scenario::{requests, timely_value_share, with_figures, Scenario};

use crate::policy::Which;
use crate::world::World;

/// What came of one day.
#[derive(Clone, Debug)]
pub struct Played {
    /// Share of the worth asked that was served in time.
    pub in_time: f64,
    /// Milliseconds to the first token, 99th percentile of what was served.
    pub p99_ms: f64,
    /// Rules that were broken, each as often as it was, in words.
    pub broken: Vec<String>,
    /// Engines that fell over.
    pub fell: u64,
    /// Seconds of the wall's clock for each of the day's.
    pub wall_share: f64,
}

/// Plays one day and audits it; also tells how many engines fell over, and how long the playing took.
fn audited(day: &Scenario, which: Which, seed: u64) -> Result<(Vec<Record>, Report, u64, Duration), String> {
    let begun = Instant::now();
    let (record, engines, fell) = World::new(day, which, seed).play();
    let wall = begun.elapsed();
    let times = (day.drain_grace.as_micros() as u64, day.slack.as_micros() as u64);
    let record = with_figures(&day.settings, times, engines, record);
    let report = audit(&record).map_err(|e| e.to_string())?;
    Ok((record, report, fell, wall))
}

/// Plays one day in virtual time; its record, and whether all rules were kept.
pub fn record(day: &Scenario, which: Which, seed: u64) -> Result<(Vec<Record>, bool), String> {
    let (record, report, ..) = audited(day, which, seed)?;
    Ok((record, report.rules.kept()))
}

/// Plays one day in virtual time.
pub fn play(day: &Scenario, which: Which, seed: u64) -> Result<Played, String> {
    let (record, report, fell, wall) = audited(day, which, seed)?;
    let span = record.last().map_or(1.0, |r| r.at as f64 / 1e6).max(1e-9);
    let all = requests(day, &record);
    let served =
        all.iter().filter(|o| o.served).filter_map(|o| o.first_token_at_us.map(|f| f - o.sent_at_us));
    let mut firsts: Vec<u64> = served.collect();
    firsts.sort_unstable();
    let place = ((firsts.len() as f64 * 0.99) as usize).min(firsts.len().max(1) - 1);
    Ok(Played {
        in_time: timely_value_share(all.iter()),
        p99_ms: firsts.get(place).map_or(f64::NAN, |f| *f as f64 / 1e3),
        broken: report
            .rules
            .each()
            .iter()
            .flat_map(|(rule, found)| found.iter().map(move |what| format!("{rule}: {what}")))
            .collect(),
        fell,
        wall_share: wall.as_secs_f64().max(1e-9) / span,
    })
}

/// A policy at a load, against the module at the same load and seeds.
#[derive(Clone, Debug)]
pub struct Compared {
    /// The policy.
    pub which: Which,
    /// Times the day's rate.
    pub load: f64,
    /// Share of the worth asked that was served in time.
    pub in_time: Spread,
    /// Less what the module's was, seed by seed, in parts of one.
    pub against_module: Interval,
    /// Milliseconds to the first token, 99th percentile.
    pub p99_ms: Spread,
    /// Runs in which a rule was broken.
    pub broken: usize,
    /// What was broken first, if anything.
    pub first: Option<String>,
    /// Engines that fell over.
    pub fell: u64,
}

/// Plays a day under all policies at several loads, over seeds.
pub fn compare(day: &Scenario, loads: &[f64], seeds: std::ops::Range<u64>) -> Result<Vec<Compared>, String> {
    let seeds: Vec<u64> = seeds.collect();
    let mut jobs = Vec::new();
    for load in loads {
        for which in Which::ALL {
            jobs.extend(seeds.iter().map(|seed| (*load, which, *seed)));
        }
    }
    let results: Mutex<Vec<Option<Result<Played, String>>>> = Mutex::new(vec![None; jobs.len()]);
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, std::num::NonZero::get) {
            scope.spawn(|| {
                let mut at = next.fetch_add(1, Ordering::Relaxed);
                while let Some((load, which, seed)) = jobs.get(at) {
                    let mut day = day.clone();
                    day.traffic.per_second *= load;
                    let played = play(&day, *which, *seed);
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
            let from = (l * Which::ALL.len() + w) * seeds.len();
            &played[from..from + seeds.len()]
        };
        for (w, which) in Which::ALL.into_iter().enumerate() {
            let differences: Vec<f64> =
                of(w).iter().zip(of(0)).map(|(own, module)| own.in_time - module.in_time).collect();
            found.push(Compared {
                which,
                load: *load,
                in_time: Spread::of(of(w).iter().map(|p| p.in_time)),
                against_module: Interval::of(&differences),
                p99_ms: Spread::of(of(w).iter().map(|p| p.p99_ms)),
                broken: of(w).iter().filter(|p| !p.broken.is_empty()).count(),
                first: of(w).iter().flat_map(|p| p.broken.first()).next().cloned(),
                fell: of(w).iter().map(|p| p.fell).sum(),
            });
        }
    }
    Ok(found)
}

/// How fast a day goes at a size.
#[derive(Clone, Debug)]
pub struct Size {
    /// Engines and nodes.
    pub engines: usize,
    /// Nodes.
    pub nodes: usize,
    /// Requests a second.
    pub per_second: f64,
    /// Seconds of the day for each of the wall's clock.
    pub speed: Spread,
    /// Share of the worth asked that was served in time.
    pub in_time: Spread,
    /// Runs in which a rule was broken.
    pub broken: usize,
    /// What was broken first, if anything.
    pub first: Option<String>,
}

/// Plays a day one after the other, scaled to so many engines and nodes at the same load for each
/// engine.
pub fn size(day: &Scenario, engines: usize, nodes: usize, seeds: u64) -> Result<Size, String> {
    let mut day = day.clone();
    let all: usize = day.engines.iter().map(|e| e.count).sum();
    let times = engines as f64 / all.max(1) as f64;
    day.engines.iter_mut().for_each(|e| e.count = ((e.count as f64 * times).round() as usize).max(1));
    let made: usize = day.engines.iter().map(|e| e.count).sum();
    day.traffic.per_second *= times;
    day.nodes = nodes;
    let played =
        (0..seeds).map(|s| play(&day, Which::Module, day.seed + s)).collect::<Result<Vec<_>, _>>()?;
    Ok(Size {
        engines: made,
        nodes,
        per_second: day.traffic.per_second,
        speed: Spread::of(played.iter().map(|p| 1.0 / p.wall_share)),
        in_time: Spread::of(played.iter().map(|p| p.in_time)),
        broken: played.iter().filter(|p| !p.broken.is_empty()).count(),
        first: played.iter().flat_map(|p| p.broken.first()).next().cloned(),
    })
}

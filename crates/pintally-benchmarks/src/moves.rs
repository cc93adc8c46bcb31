//! Measures what the move of a tenant to another cell costs the tenant and its neighbours: the time to the first
//! token before, during and after the move.
//!
//! Each seed is played without the move, with sessions moving gradually, and with all sessions moving at once; the
//! three runs take place at the same time on the same machine.

use std::collections::BTreeSet;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use pintally_audit::Record;
use pintally_cells::CellName;
use pintally_scenario::{requests, run, Fault, FaultKind, RequestRecord, Scenario, CELLS_FILE_SPREAD};

use crate::report::Spread;
use crate::{error, MeasureError};

/// Times to the first token of some tenants in one part of the run, over groups of seeds.
#[derive(Clone, Debug)]
pub struct Part {
    /// Without the move, with a gradual move, or with a move at once.
    pub how: &'static str,
    /// The tenant that moves, its neighbours in the old cell, or its neighbours in the new cell.
    pub who: &'static str,
    /// Before, during or after the move.
    pub when: &'static str,
    /// Number of requests.
    pub requests: usize,
    /// Median of the milliseconds to the first token, over groups of seeds.
    pub p50_ms: Spread,
    /// 99th percentile of the milliseconds to the first token, over groups of seeds.
    pub p99_ms: Spread,
    /// Requests that were late or not served.
    pub late: usize,
}

/// The results of moves over seeds.
#[derive(Clone, Debug)]
pub struct Moves {
    /// The results by kind of move, tenants and part of the run.
    pub parts: Vec<Part>,
    /// Number of moves played.
    pub moves: usize,
    /// Number of runs that broke a rule.
    pub broken: usize,
}

/// The record of a run, and whether it kept all rules.
pub type Recorded = Result<(Vec<Record>, bool), MeasureError>;

/// Plays a scenario with a seed.
pub type Recorder<'a> = &'a (dyn Fn(&Scenario, u64) -> Recorded + Sync);

/// Plays a scenario over sockets.
pub fn recorded(day: &Scenario, seed: u64) -> Recorded {
    let result = run(day, seed, None).map_err(error)?;
    let kept = result.kept();
    Ok((result.record, kept))
}

/// Plays moves over some seeds, which are divided into groups to measure the spread. `at_once` seeds run at the same
/// time.
pub fn moves(
    day: &Scenario,
    tenant: &str,
    to: &str,
    seeds: Range<u64>,
    groups: usize,
    (at_once, play): (usize, Recorder),
) -> Result<Moves, MeasureError> {
    let Some(cells) = &day.cells else { return Err(error("the scenario has no cells")) };
    let home: BTreeSet<CellName> = cells.home(tenant).into_iter().collect();
    let target = CellName::from(to);
    if home.contains(&target) {
        return Err(error(format!("tenant `{tenant}` is already in cell `{to}`")));
    }
    let tenants_of = |inside: &dyn Fn(&CellName) -> bool| -> BTreeSet<String> {
        let names = day.traffic.tenants.iter().map(|(name, _)| name.clone());
        names.filter(|n| n != tenant && cells.home(n).iter().any(inside)).collect()
    };
    let tenant_groups: [(&'static str, BTreeSet<String>); 3] = [
        ("the one that moves", BTreeSet::from([tenant.to_string()])),
        ("neighbours at home", tenants_of(&|c| home.contains(c))),
        ("neighbours over there", tenants_of(&|c| *c == target)),
    ];
    // The move starts after an eighth of the run, in which caches fill. Sessions begin to move a third of the fault's
    // duration later, about a fifth of the run.
    let (from, length) = (day.length / 8, day.length * 5 / 8);
    let (begin, over) = (from + length / 3, length / 3);
    let settled_at = begin + over + CELLS_FILE_SPREAD + day.list_delay;
    if settled_at + Duration::from_secs(1) > day.length {
        return Err(error("the scenario is too short: it must last at least 1 s longer than the move"));
    }
    let with_move = |over: Duration| {
        let mut day = day.clone();
        day.faults = vec![Fault {
            kind: FaultKind::MoveTenant,
            start: from,
            duration: length,
            fraction: 0.0,
            engine_kind: None,
            cell: Some(to.to_string()),
            engines: Vec::new(),
            zone_or_tenant: Some(tenant.to_string()),
            magnitude: over.as_secs_f64() * 1e3,
            batch_size: 1,
        }];
        day
    };
    let mut quiet = day.clone();
    quiet.faults.clear();
    let arms = [
        ("no move", quiet),
        ("at its pace", with_move(over)),
        ("at once", with_move(Duration::from_millis(1))),
    ];
    let mut requests_by_arm: Vec<Vec<Vec<RequestRecord>>> = vec![Vec::new(); arms.len()];
    let mut broken = 0;
    let all: Vec<u64> = seeds.collect();
    for chunk in all.chunks(at_once.max(1)) {
        let results: Vec<(usize, Recorded)> = thread::scope(|scope| {
            let mut runs = Vec::new();
            for seed in chunk {
                for (arm, (_, day)) in arms.iter().enumerate() {
                    runs.push((arm, scope.spawn(move || play(day, *seed))));
                }
            }
            let panicked = || Err(error("a run panicked"));
            runs.into_iter().map(|(arm, r)| (arm, r.join().unwrap_or_else(|_| panicked()))).collect()
        });
        for (arm, result) in results {
            let (record, kept) = result?;
            broken += usize::from(!kept);
            requests_by_arm[arm].push(requests(&arms[arm].1, &record));
        }
    }
    let periods =
        [("before", from, begin), ("during", begin, settled_at), ("after", settled_at, day.length * 2)];
    let mut parts = Vec::new();
    for (who, tenants) in &tenant_groups {
        for (when, from, to) in periods {
            for (arm, (how, _)) in arms.iter().enumerate() {
                parts.push(part((how, who, when), tenants, (from, to), &requests_by_arm[arm], groups));
            }
        }
    }
    Ok(Moves { parts, moves: 2 * all.len(), broken })
}

fn part(
    (how, who, when): (&'static str, &'static str, &'static str),
    tenants: &BTreeSet<String>,
    (from, to): (Duration, Duration),
    seeds: &[Vec<RequestRecord>],
    groups: usize,
) -> Part {
    let (mut p50, mut p99, mut count, mut late) = (Vec::new(), Vec::new(), 0, 0);
    for group in seeds.chunks(seeds.len().div_ceil(groups.max(1)).max(1)) {
        let mut waits_ms = Vec::new();
        for run in group {
            // Time counts from the first request of the run.
            let begin = run.first().map_or(0, |o| o.sent_at_us);
            let inside = |o: &&RequestRecord| {
                let at = Duration::from_micros(o.sent_at_us.saturating_sub(begin));
                o.is_of_any(tenants) && at >= from && at < to
            };
            for request in run.iter().filter(inside) {
                count += 1;
                late += usize::from(!request.in_time());
                // A request that was not served counts as an infinite wait.
                waits_ms.push(
                    request
                        .first_token_at_us
                        .filter(|_| request.served)
                        .map_or(f64::INFINITY, |f| (f - request.sent_at_us) as f64 / 1e3),
                );
            }
        }
        waits_ms.sort_by(f64::total_cmp);
        let at = |q: f64| {
            waits_ms.get(((waits_ms.len() as f64 * q) as usize).min(waits_ms.len().max(1) - 1)).copied()
        };
        p50.extend(at(0.5));
        p99.extend(at(0.99));
    }
    Part { how, who, when, requests: count, p50_ms: Spread::of(p50), p99_ms: Spread::of(p99), late }
}

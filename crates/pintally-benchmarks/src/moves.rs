//! What a tenant's move costs it and its neighbours: first tokens before, during and after.
//!
//! Each seed is played without the move, with it at its pace, and with all sessions at once, on the
//! same machine at the same time.

use std::collections::BTreeSet;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use pintally_audit::Record;
use pintally_cells::CellName;
use pintally_scenario::{requests, run, Fault, FaultKind, RequestRecord, Scenario, CELLS_FILE_SPREAD};

use crate::report::Spread;
use crate::{error, MeasureError};

/// First tokens of some tenants in one part of the day, over groups of seeds.
#[derive(Clone, Debug)]
pub struct Part {
    /// Without the move, at its pace, or at once.
    pub how: &'static str,
    /// The tenant that moves, its neighbours at home, or those where it goes.
    pub who: &'static str,
    /// Before, during or after.
    pub when: &'static str,
    /// Requests in all.
    pub requests: usize,
    /// Milliseconds to the first token, of each group of seeds.
    pub p50_ms: Spread,
    /// The same, 99th percentile.
    pub p99_ms: Spread,
    /// Requests that were late or not served.
    pub late: usize,
}

/// What came of some seeded moves.
#[derive(Clone, Debug)]
pub struct Moves {
    /// By manner, tenants and part of the day.
    pub parts: Vec<Part>,
    /// Moves played.
    pub moves: usize,
    /// Runs in which a rule was broken.
    pub broken: usize,
}

/// What a player of a day gives: its record, and whether all rules were kept.
pub type Recorded = Result<(Vec<Record>, bool), MeasureError>;

/// Plays a day with a seed.
pub type Recorder<'a> = &'a (dyn Fn(&Scenario, u64) -> Recorded + Sync);

/// Plays a day over sockets.
pub fn recorded(day: &Scenario, seed: u64) -> Recorded {
    let result = run(day, seed, None).map_err(error)?;
    let kept = result.kept();
    Ok((result.record, kept))
}

/// Plays moves over some seeds, in groups for the spread; so many seeds at the same time.
pub fn moves(
    day: &Scenario,
    tenant: &str,
    to: &str,
    seeds: Range<u64>,
    groups: usize,
    (at_once, play): (usize, Recorder),
) -> Result<Moves, MeasureError> {
    let Some(cells) = &day.cells else { return Err(error("the day has no cells")) };
    let home: BTreeSet<CellName> = cells.home(tenant).into_iter().collect();
    let goal = CellName::from(to);
    if home.contains(&goal) {
        return Err(error(format!("tenant `{tenant}` is in cell `{to}` already")));
    }
    let others = |inside: &dyn Fn(&CellName) -> bool| -> BTreeSet<String> {
        let names = day.traffic.tenants.iter().map(|(name, _)| name.clone());
        names.filter(|n| n != tenant && cells.home(n).iter().any(inside)).collect()
    };
    let people: [(&'static str, BTreeSet<String>); 3] = [
        ("the one that moves", BTreeSet::from([tenant.to_string()])),
        ("neighbours at home", others(&|c| home.contains(c))),
        ("neighbours over there", others(&|c| *c == goal)),
    ];
    // Prepared after an eighth of the day, before which caches fill; a quarter of it after that sessions begin to go.
    let (from, length) = (day.length / 8, day.length * 5 / 8);
    let (begin, over) = (from + length / 3, length / 3);
    let settled = begin + over + CELLS_FILE_SPREAD + day.list_delay;
    if settled + Duration::from_secs(1) > day.length {
        return Err(error("the day is too short: nothing would be left after the move"));
    }
    let with = |over: Duration| {
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
    let arms = [("no move", quiet), ("at its pace", with(over)), ("at once", with(Duration::from_millis(1)))];
    let mut heard: Vec<Vec<Vec<RequestRecord>>> = vec![Vec::new(); arms.len()];
    let mut broken = 0;
    let all: Vec<u64> = seeds.collect();
    for pair in all.chunks(at_once.max(1)) {
        let results: Vec<(usize, Recorded)> = thread::scope(|scope| {
            let mut runs = Vec::new();
            for seed in pair {
                for (arm, (_, day)) in arms.iter().enumerate() {
                    runs.push((arm, scope.spawn(move || play(day, *seed))));
                }
            }
            let panicked = || Err(error("a run ended by a panic"));
            runs.into_iter().map(|(arm, r)| (arm, r.join().unwrap_or_else(|_| panicked()))).collect()
        });
        for (arm, result) in results {
            let (record, kept) = result?;
            broken += usize::from(!kept);
            heard[arm].push(requests(&arms[arm].1, &record));
        }
    }
    let whens = [("before", from, begin), ("during", begin, settled), ("after", settled, day.length * 2)];
    let mut parts = Vec::new();
    for (who, tenants) in &people {
        for (when, from, to) in whens {
            for (arm, (how, _)) in arms.iter().enumerate() {
                parts.push(part((how, who, when), tenants, (from, to), &heard[arm], groups));
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
        let mut firsts = Vec::new();
        for run in group {
            // Days begin with their first request.
            let begin = run.first().map_or(0, |o| o.sent_at_us);
            let inside = |o: &&RequestRecord| {
                let at = Duration::from_micros(o.sent_at_us.saturating_sub(begin));
                o.is_of_any(tenants) && at >= from && at < to
            };
            for one in run.iter().filter(inside) {
                count += 1;
                late += usize::from(!one.in_time());
                // Who was not served waited for ever.
                firsts.push(
                    one.first_token_at_us
                        .filter(|_| one.served)
                        .map_or(f64::INFINITY, |f| (f - one.sent_at_us) as f64 / 1e3),
                );
            }
        }
        firsts.sort_by(f64::total_cmp);
        let at =
            |q: f64| firsts.get(((firsts.len() as f64 * q) as usize).min(firsts.len().max(1) - 1)).copied();
        p50.extend(at(0.5));
        p99.extend(at(0.99));
    }
    Part { how, who, when, requests: count, p50_ms: Spread::of(p50), p99_ms: Spread::of(p99), late }
}

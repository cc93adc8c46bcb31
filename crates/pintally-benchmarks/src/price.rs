//! The price of cells: the value of requests served in time without faults, as one pool and divided into cells, and
//! how much of the difference the use of spare engines recovers.

use std::ops::Range;
use std::thread;

use pintally::interface::Role;
use pintally_cells::{CellName, CellSpec, CellsFile, HomeCells, RequiredEngines, TenantHome};
use pintally_scenario::{requests, run, timely_value_share, Scenario};

use crate::flood::Interval;
use crate::report::Spread;
use crate::{error, MeasureError};

/// One way to divide a fleet.
#[derive(Clone, Debug)]
pub struct Price {
    /// The description of the division.
    pub name: String,
    /// Share of the value of all requests that was served in time.
    pub in_time: Spread,
    /// The relative change against one pool of the same engines, seed by seed.
    pub change: Interval,
    /// Whether no run broke a rule.
    pub kept: bool,
}

/// Plays a scenario with a seed. Returns the share of the value of all requests that was served in time, and whether
/// all rules were kept.
pub type Player<'a> = &'a (dyn Fn(&Scenario, u64) -> Result<(f64, bool), MeasureError> + Sync);

/// Plays a scenario over sockets.
pub fn over_sockets(day: &Scenario, seed: u64) -> Result<(f64, bool), MeasureError> {
    let result = run(day, seed, None).map_err(error)?;
    Ok((timely_value_share(requests(day, &result.record).iter()), result.kept()))
}

/// Measures a scenario without cells as one pool and divided into each number of cells. The engines of a group that
/// the largest number does not divide evenly are spare: each division is measured with the spare engines lent to
/// cells and without them. `at_once` runs are played at the same time.
pub fn price(
    day: &Scenario,
    numbers: &[usize],
    seeds: Range<u64>,
    at_once: usize,
    play: Player,
) -> Result<Vec<Price>, MeasureError> {
    if day.cells.is_some() || day.traffic.tenants.is_empty() {
        return Err(error(
            "the scenario must have tenants and no cells: the measurement divides it into cells",
        ));
    }
    let most = numbers.iter().copied().max().unwrap_or(1).max(1);
    let mut base = day.clone();
    base.faults.clear();
    let mut divisions = vec![
        ("one pool, spare ones left out".to_string(), pool(&base, most, false), None),
        ("one pool of all engines".to_string(), pool(&base, most, true), None),
    ];
    for number in numbers {
        for (how, lends) in [("spare ones left out", false), ("spare ones lent", true)] {
            let divided = divide(&base, *number, most, lends)?;
            divisions.push((format!("{number} cells, {how}"), divided, Some(usize::from(lends))));
        }
    }
    let mut results: Vec<(Vec<f64>, bool)> = vec![(Vec::new(), true); divisions.len()];
    for seed in seeds {
        for (chunk, members) in divisions.chunks(at_once.max(1)).enumerate() {
            let chunk_results: Vec<_> = thread::scope(|scope| {
                let runs: Vec<_> =
                    members.iter().map(|(_, day, _)| scope.spawn(move || play(day, seed))).collect();
                runs.into_iter().map(|r| r.join()).collect()
            });
            for (position, result) in chunk_results.into_iter().enumerate() {
                let (share, kept) = result.map_err(|_| error("a run panicked"))??;
                let result = &mut results[chunk * at_once.max(1) + position];
                result.0.push(share);
                result.1 &= kept;
            }
        }
    }
    let changes = |own: &[f64], pool: &[f64]| -> Vec<f64> {
        own.iter().zip(pool).map(|(own, pool)| own / pool.max(1e-9) - 1.0).collect()
    };
    let prices = divisions.iter().enumerate().map(|(n, (name, _, against))| Price {
        name: name.clone(),
        in_time: Spread::of(results[n].0.iter().copied()),
        change: Interval::of(&changes(&results[n].0, &results[against.unwrap_or(0)].0)),
        kept: results[n].1,
    });
    Ok(prices.collect())
}

/// The scenario as one pool. Without `include_spare`, each group keeps only the engines that divide evenly into `most`
/// cells.
fn pool(day: &Scenario, most: usize, include_spare: bool) -> Scenario {
    let mut day = day.clone();
    if !include_spare {
        day.engines.iter_mut().for_each(|e| e.count -= e.count % most);
    }
    day
}

/// The scenario in a number of cells. Each gets the same number of engines, and tenants with about the same total
/// share of the traffic.
fn divide(day: &Scenario, number: usize, most: usize, lends: bool) -> Result<Scenario, MeasureError> {
    let mut day = day.clone();
    let name = |n: usize| format!("cell-{n}");
    let (mut groups, mut required) = (Vec::new(), RequiredEngines::default());
    for group in &day.engines {
        let spare = group.count % most;
        let each = (group.count - spare) / number;
        match group.role {
            Role::Reader => required.readers += each,
            Role::Writer => required.writers += each,
            Role::Mixed => {
                (required.readers, required.writers) = (required.readers + each, required.writers + each);
            }
        }
        for n in 0..number {
            let mut own = group.clone();
            (own.cell, own.count) = (Some(name(n)), each);
            groups.push(own);
        }
        if lends && spare > 0 {
            let mut own = group.clone();
            own.count = spare;
            groups.push(own);
        }
    }
    if required.readers == 0 || required.writers == 0 {
        return Err(error(format!("not enough engines for {number} cells: each needs readers and writers")));
    }
    let mut shares = day.traffic.tenants.clone();
    shares.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let (mut loads, mut tenants) = (vec![0.0; number], Vec::new());
    for (tenant, share) in shares {
        let least = (0..number).min_by(|a, b| f64::total_cmp(&loads[*a], &loads[*b])).unwrap_or(0);
        loads[least] += share;
        let home = HomeCells::Pinned(vec![CellName::from(name(least).as_str())]);
        tenants.push(TenantHome { tenant, home });
    }
    let cell = |n| CellSpec {
        name: CellName::from(name(n).as_str()),
        weight: 1.0,
        required_engines: required,
        fallback: None,
    };
    let cells = (0..number).map(cell).collect();
    day.engines = groups;
    day.cells = Some(CellsFile { version: 1, cells, tenants, moves: Vec::new() });
    Ok(day)
}

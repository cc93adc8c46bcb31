//! The price of cells: worth served in time without any trouble, as one pool and as so many cells,
//! and what lending spare engines wins back.

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
    /// How.
    pub name: String,
    /// Share of the worth asked that was served in time.
    pub in_time: Spread,
    /// The change against one pool of the same engines, seed by seed.
    pub change: Interval,
    /// All rules were kept in all runs.
    pub kept: bool,
}

/// Plays a day with a seed: the share of the worth asked that was served in time, and whether all rules
/// were kept.
pub type Player<'a> = &'a (dyn Fn(&Scenario, u64) -> Result<(f64, bool), MeasureError> + Sync);

/// Plays a day over sockets.
pub fn over_sockets(day: &Scenario, seed: u64) -> Result<(f64, bool), MeasureError> {
    let result = run(day, seed, None).map_err(error)?;
    Ok((timely_value_share(requests(day, &result.record).iter()), result.kept()))
}

/// Measures a day without cells as one pool and divided into each number of cells. Of each group of
/// engines what a number does not divide is spare: lent in one of the two ways, left out in the other.
/// `at_once` runs are played at the same time.
pub fn price(
    day: &Scenario,
    numbers: &[usize],
    seeds: Range<u64>,
    at_once: usize,
    play: Player,
) -> Result<Vec<Price>, MeasureError> {
    if day.cells.is_some() || day.traffic.tenants.is_empty() {
        return Err(error("the day must have tenants and no cells: cells are made here"));
    }
    let most = numbers.iter().copied().max().unwrap_or(1).max(1);
    let mut base = day.clone();
    base.faults.clear();
    let mut all = vec![
        ("one pool, spare ones left out".to_string(), pool(&base, most, false), None),
        ("one pool of all engines".to_string(), pool(&base, most, true), None),
    ];
    for number in numbers {
        for (how, lends) in [("spare ones left out", false), ("spare ones lent", true)] {
            let divided = divide(&base, *number, most, lends)?;
            all.push((format!("{number} cells, {how}"), divided, Some(usize::from(lends))));
        }
    }
    let mut found: Vec<(Vec<f64>, bool)> = vec![(Vec::new(), true); all.len()];
    for seed in seeds {
        for (chunk, some) in all.chunks(at_once.max(1)).enumerate() {
            let results: Vec<_> = thread::scope(|scope| {
                let runs: Vec<_> =
                    some.iter().map(|(_, day, _)| scope.spawn(move || play(day, seed))).collect();
                runs.into_iter().map(|r| r.join()).collect()
            });
            for (place, result) in results.into_iter().enumerate() {
                let (share, kept) = result.map_err(|_| error("a run ended by a panic"))??;
                let one = &mut found[chunk * at_once.max(1) + place];
                one.0.push(share);
                one.1 &= kept;
            }
        }
    }
    let changes = |own: &[f64], pool: &[f64]| -> Vec<f64> {
        own.iter().zip(pool).map(|(own, pool)| own / pool.max(1e-9) - 1.0).collect()
    };
    let prices = all.iter().enumerate().map(|(n, (name, _, against))| Price {
        name: name.clone(),
        in_time: Spread::of(found[n].0.iter().copied()),
        change: Interval::of(&changes(&found[n].0, &found[against.unwrap_or(0)].0)),
        kept: found[n].1,
    });
    Ok(prices.collect())
}

/// What all numbers of cells divide, and with the rest of the engines if given.
fn pool(day: &Scenario, most: usize, rest: bool) -> Scenario {
    let mut day = day.clone();
    if !rest {
        day.engines.iter_mut().for_each(|e| e.count -= e.count % most);
    }
    day
}

/// The day in so many cells: each with an even part of the engines, tenants so that shares are even.
fn divide(day: &Scenario, number: usize, most: usize, lends: bool) -> Result<Scenario, MeasureError> {
    let mut day = day.clone();
    let name = |n: usize| format!("cell-{n}");
    let (mut groups, mut needs) = (Vec::new(), RequiredEngines::default());
    for group in &day.engines {
        let spare = group.count % most;
        let each = (group.count - spare) / number;
        match group.role {
            Role::Reader => needs.readers += each,
            Role::Writer => needs.writers += each,
            Role::Mixed => (needs.readers, needs.writers) = (needs.readers + each, needs.writers + each),
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
    if needs.readers == 0 || needs.writers == 0 {
        return Err(error(format!("there are not enough engines for {number} cells")));
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
        required_engines: needs,
        fallback: None,
    };
    let cells = (0..number).map(cell).collect();
    day.engines = groups;
    day.cells = Some(CellsFile { version: 1, cells, tenants, moves: Vec::new() });
    Ok(day)
}

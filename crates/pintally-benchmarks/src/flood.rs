//! Measures what a flood of requests from one tenant costs the tenants of other cells, with cells and with the same
//! fleet as one pool.
//!
//! Each seed is a pair of runs, with and without the flood. Both run at the same time on the same machine, so that
//! disturbances of the machine affect both.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::thread;

use pintally_scenario::{requests, run, timely_value_share, Fault, FaultKind, Scenario};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::report::Spread;
use crate::{error, MeasureError};

/// A mean of paired differences with its 95% interval, by Student's t.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Interval {
    pub mean: f64,
    pub least: f64,
    pub most: f64,
}

impl Interval {
    /// The interval of some differences; infinite with fewer than two of them.
    pub fn of(values: &[f64]) -> Interval {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n.max(1.0);
        if values.len() < 2 {
            return Interval { mean, least: f64::NEG_INFINITY, most: f64::INFINITY };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        let half = t * (variance / n).sqrt();
        Interval { mean, least: mean - half, most: mean + half }
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:+.2}% ({:+.2}% to {:+.2}%)", self.mean * 100.0, self.least * 100.0, self.most * 100.0)
    }
}

/// The cost of a flood for the tenants of other cells.
#[derive(Clone, Debug)]
pub struct Flood {
    /// With cells, or as one pool.
    pub name: &'static str,
    /// Share of the value of their requests that was served in time without the flood.
    pub quiet: Spread,
    /// The same share with the flood.
    pub flood: Spread,
    /// The relative change of the share through the flood, pair by pair.
    pub change: Interval,
    /// Pairs of runs.
    pub pairs: usize,
    /// Whether no run broke a rule.
    pub kept: bool,
}

/// Measures a flood over some seeds, with and without the cells of the scenario.
pub fn flood(
    day: &Scenario,
    tenant: &str,
    times: f64,
    seeds: Range<u64>,
) -> Result<Vec<Flood>, MeasureError> {
    let Some(cells) = &day.cells else { return Err(error("the scenario has no cells")) };
    let home_cells: BTreeSet<_> = cells.home(tenant).into_iter().collect();
    let others: BTreeSet<String> = day
        .traffic
        .tenants
        .iter()
        .map(|(name, _)| name.clone())
        .filter(|name| cells.home(name).iter().all(|c| !home_cells.contains(c)))
        .collect();
    if others.is_empty() {
        return Err(error(format!("all tenants share a cell with `{tenant}`")));
    }
    let mut quiet = day.clone();
    quiet.faults.clear();
    let mut flooded = quiet.clone();
    flooded.faults.push(Fault {
        kind: FaultKind::TenantFlood,
        start: day.length / 6,
        duration: day.length,
        fraction: 0.0,
        engine_kind: None,
        cell: None,
        engines: Vec::new(),
        zone_or_tenant: Some(tenant.to_string()),
        magnitude: times,
        batch_size: 1,
    });
    let mut results = Vec::new();
    for (name, divided) in [("cells", true), ("one pool", false)] {
        let (mut quiet, mut flooded) = (quiet.clone(), flooded.clone());
        if !divided {
            for day in [&mut quiet, &mut flooded] {
                day.cells = None;
                day.engines.iter_mut().for_each(|e| e.cell = None);
            }
        }
        let (mut quiet_shares, mut flood_shares, mut kept) = (Vec::new(), Vec::new(), true);
        for seed in seeds.clone() {
            let (a, b) = thread::scope(|scope| {
                let other = scope.spawn(|| run(&flooded, seed, None));
                (run(&quiet, seed, None), other.join())
            });
            let b = b.map_err(|_| error("a run panicked"))?;
            let (a, b) = (a.map_err(error)?, b.map_err(error)?);
            kept &= a.kept() && b.kept();
            quiet_shares
                .push(timely_value_share(requests(day, &a.record).iter().filter(|r| r.is_of_any(&others))));
            flood_shares
                .push(timely_value_share(requests(day, &b.record).iter().filter(|r| r.is_of_any(&others))));
        }
        let changes: Vec<f64> =
            quiet_shares.iter().zip(&flood_shares).map(|(a, b)| b / a.max(1e-9) - 1.0).collect();
        results.push(Flood {
            name,
            quiet: Spread::of(quiet_shares),
            flood: Spread::of(flood_shares),
            change: Interval::of(&changes),
            pairs: changes.len(),
            kept,
        });
    }
    Ok(results)
}

#[cfg(test)]
mod tests;

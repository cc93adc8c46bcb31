//! What a node adds to the first token, how much it carries, and how long it decides.

use std::time::{Duration, Instant};

use crate::load::drive;
use crate::report::{Spread, Stats};
use crate::stage::{goals, stage};
use crate::{error, MeasureError};

/// Time to a first token through the node and without it, over blocks.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Added {
    pub per_second: f64,
    pub direct_p50_us: Spread,
    pub direct_p99_us: Spread,
    pub node_p50_us: Spread,
    pub node_p99_us: Spread,
    /// Node less direct, block by block.
    pub added_p50_us: Spread,
    pub added_p99_us: Spread,
    /// Node over direct, block by block.
    pub ratio_p50: Spread,
    pub ratio_p99: Spread,
    pub failed: u64,
    /// The load tool's own lateness at its worst: where it is large the run says little.
    pub own_lateness_us: f64,
}

/// Measures the latency that a node adds at a rate, in alternating blocks.
pub fn added_latency(per_second: f64, blocks: usize, span: Duration) -> Result<Added, MeasureError> {
    let rig = stage(9)?;
    let (node, direct) = goals(&rig);
    let mut first = 0;
    let mut block = |goal, span: Duration| {
        let stats = drive(goal, per_second, span, first);
        first += 10_000_000;
        // The record of the stand-ins is not read here and must not grow.
        rig.fleet.recorder.take();
        stats
    };
    // Connections are made and code is warm before anything counts.
    let warm = Duration::from_secs(1).min(span);
    block(&direct, warm);
    block(&node, warm);
    let pairs: Vec<(Stats, Stats)> =
        (0..blocks).map(|_| (block(&direct, span), block(&node, span))).collect();
    let over = |f: &dyn Fn(&(Stats, Stats)) -> f64| Spread::of(pairs.iter().map(f));
    Ok(Added {
        per_second,
        direct_p50_us: over(&|p| p.0.p50),
        direct_p99_us: over(&|p| p.0.p99),
        node_p50_us: over(&|p| p.1.p50),
        node_p99_us: over(&|p| p.1.p99),
        added_p50_us: over(&|p| p.1.p50 - p.0.p50),
        added_p99_us: over(&|p| p.1.p99 - p.0.p99),
        ratio_p50: over(&|p| p.1.p50 / p.0.p50.max(1.0)),
        ratio_p99: over(&|p| p.1.p99 / p.0.p99.max(1.0)),
        failed: pairs.iter().map(|p| p.0.failed + p.1.failed).sum(),
        own_lateness_us: pairs.iter().map(|p| p.0.own_lateness.max(p.1.own_lateness)).fold(0.0, f64::max),
    })
}

/// How much one node carries.
#[derive(Clone, Debug)]
pub struct Saturation {
    /// Each step's rate and what was added at it.
    pub steps: Vec<Added>,
    /// The largest rate at which the added p99 stayed under the limit.
    pub carried: Option<f64>,
}

/// Raises the rate step by step until the added p99 passes a limit or requests fail.
pub fn saturation(rates: &[f64], limit: Duration, span: Duration) -> Result<Saturation, MeasureError> {
    let (mut steps, mut carried) = (Vec::new(), None);
    for rate in rates {
        let added = added_latency(*rate, 3, span)?;
        let well = added.added_p99_us.median < limit.as_micros() as f64 && added.failed == 0;
        steps.push(added);
        if !well {
            break;
        }
        carried = Some(*rate);
    }
    Ok(Saturation { steps, carried })
}

/// The deciding thread's share of time.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Deciding {
    pub engines: usize,
    pub per_second: f64,
    pub share: Spread,
    /// Microseconds of deciding for each request.
    pub per_request_us: Spread,
}

/// Measures how long the deciding thread decides, at so many engines and a rate.
pub fn deciding(
    engines: usize,
    per_second: f64,
    blocks: usize,
    span: Duration,
) -> Result<Deciding, MeasureError> {
    let rig = stage(engines)?;
    let (node, _) = goals(&rig);
    drive(&node, per_second, Duration::from_secs(1).min(span), 0);
    let mut shares = Vec::new();
    let mut each = Vec::new();
    for block in 0..blocks {
        let counted = || rig.node().map(|n| n.counters()).ok_or_else(|| error("the node is gone"));
        let (before, begin) = (counted()?, Instant::now());
        let stats = drive(&node, per_second, span, 10_000_000 * (block as u64 + 1));
        let after = counted()?;
        let busy = (after.deciding - before.deciding).as_secs_f64();
        shares.push(busy / begin.elapsed().as_secs_f64());
        each.push(busy * 1e6 / stats.answered.max(1) as f64);
        rig.fleet.recorder.take();
    }
    Ok(Deciding { engines, per_second, share: Spread::of(shares), per_request_us: Spread::of(each) })
}

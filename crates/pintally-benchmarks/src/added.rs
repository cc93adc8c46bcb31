//! Measures the latency that a node adds to the first token, the rate that it sustains, and the time that it spends
//! on routing decisions.

use std::time::{Duration, Instant};

use crate::load::drive;
use crate::report::{Spread, Stats};
use crate::rig::{start_rig, targets};
use crate::{error, MeasureError};

/// Time to the first token through the node and directly from the engines, over blocks.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Added {
    pub per_second: f64,
    pub direct_p50_us: Spread,
    pub direct_p99_us: Spread,
    pub node_p50_us: Spread,
    pub node_p99_us: Spread,
    /// Node minus direct, block by block.
    pub added_p50_us: Spread,
    pub added_p99_us: Spread,
    /// Node divided by direct, block by block.
    pub ratio_p50: Spread,
    pub ratio_p99: Spread,
    pub failed: u64,
    /// The maximum delay with which the load generator sent a request; if it is large, the results are unreliable.
    pub own_lateness_us: f64,
}

/// Measures the latency that a node adds at a rate, in alternating blocks.
pub fn added_latency(per_second: f64, blocks: usize, span: Duration) -> Result<Added, MeasureError> {
    let rig = start_rig(9)?;
    let (node, direct) = targets(&rig);
    let mut first = 0;
    let mut block = |target, span: Duration| {
        let stats = drive(target, per_second, span, first);
        first += 10_000_000;
        // The record of the mock engines is not used here and must not grow.
        rig.fleet.recorder.take();
        stats
    };
    // Opens connections and warms up caches before measuring.
    let warmup = Duration::from_secs(1).min(span);
    block(&direct, warmup);
    block(&node, warmup);
    let pairs: Vec<(Stats, Stats)> =
        (0..blocks).map(|_| (block(&direct, span), block(&node, span))).collect();
    let spread = |f: &dyn Fn(&(Stats, Stats)) -> f64| Spread::of(pairs.iter().map(f));
    Ok(Added {
        per_second,
        direct_p50_us: spread(&|p| p.0.p50),
        direct_p99_us: spread(&|p| p.0.p99),
        node_p50_us: spread(&|p| p.1.p50),
        node_p99_us: spread(&|p| p.1.p99),
        added_p50_us: spread(&|p| p.1.p50 - p.0.p50),
        added_p99_us: spread(&|p| p.1.p99 - p.0.p99),
        ratio_p50: spread(&|p| p.1.p50 / p.0.p50.max(1.0)),
        ratio_p99: spread(&|p| p.1.p99 / p.0.p99.max(1.0)),
        failed: pairs.iter().map(|p| p.0.failed + p.1.failed).sum(),
        own_lateness_us: pairs.iter().map(|p| p.0.own_lateness.max(p.1.own_lateness)).fold(0.0, f64::max),
    })
}

/// The rate that one node sustains.
#[derive(Clone, Debug)]
pub struct Saturation {
    /// The result of each rate.
    pub steps: Vec<Added>,
    /// The highest rate at which the added p99 stayed under the limit.
    pub carried: Option<f64>,
}

/// Raises the rate step by step until the added p99 passes a limit or requests fail.
pub fn saturation(rates: &[f64], limit: Duration, span: Duration) -> Result<Saturation, MeasureError> {
    let (mut steps, mut carried) = (Vec::new(), None);
    for rate in rates {
        let added = added_latency(*rate, 3, span)?;
        let within_limit = added.added_p99_us.median < limit.as_micros() as f64 && added.failed == 0;
        steps.push(added);
        if !within_limit {
            break;
        }
        carried = Some(*rate);
    }
    Ok(Saturation { steps, carried })
}

/// The share of time that the decision thread is busy.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Deciding {
    pub engines: usize,
    pub per_second: f64,
    pub share: Spread,
    /// Decision time per request in microseconds.
    pub per_request_us: Spread,
}

/// Measures how long the decision thread is busy with this many engines at a rate.
pub fn deciding(
    engines: usize,
    per_second: f64,
    blocks: usize,
    span: Duration,
) -> Result<Deciding, MeasureError> {
    let rig = start_rig(engines)?;
    let (node, _) = targets(&rig);
    drive(&node, per_second, Duration::from_secs(1).min(span), 0);
    let mut shares = Vec::new();
    let mut each = Vec::new();
    for block in 0..blocks {
        let counters = || rig.node().map(|n| n.counters()).ok_or_else(|| error("the node is not running"));
        let (before, begin) = (counters()?, Instant::now());
        let stats = drive(&node, per_second, span, 10_000_000 * (block as u64 + 1));
        let after = counters()?;
        let busy = (after.deciding - before.deciding).as_secs_f64();
        shares.push(busy / begin.elapsed().as_secs_f64());
        each.push(busy * 1e6 / stats.answered.max(1) as f64);
        rig.fleet.recorder.take();
    }
    Ok(Deciding { engines, per_second, share: Spread::of(shares), per_request_us: Spread::of(each) })
}

//! The division of the requests that arrive in one zone over the zones that serve them.

use std::cmp::Reverse;

use crate::plan::{FULL_PARTS, MAX_ROUTES_PER_ZONE};

/// The division changes only if the parts of a zone (of 255) change by more than this, so that noise in the measured
/// rates moves no sessions.
const HYSTERESIS_PARTS: i32 = 10;

/// A zone that is offered at most this many requests per second has none to divide.
const MIN_OFFERED_PER_S: f64 = 1e-6;

/// If at least this fraction of the requests is placed, the rest counts as a rounding error.
const MIN_PLACED_FRACTION: f64 = 0.995;

/// A zone and the parts (of 255) of the requests that it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ZoneShare {
    zone: u8,
    parts: u8,
}

/// The zones that serve the requests of one zone; the zone itself comes first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutingRow {
    shares: Vec<ZoneShare>,
}

/// The load and the capacity of the zone whose requests are divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneLoad {
    /// Requests per second that clients send to the zone.
    pub(crate) offered: f64,
    /// Requests per second that its engines can serve, as far as the zone is open.
    pub(crate) capacity: f64,
    /// The part of `offered` that the zone serves itself.
    pub(crate) local: f64,
}

impl ZoneLoad {
    pub(crate) fn new(offered: f64, capacity: f64) -> ZoneLoad {
        ZoneLoad { offered, capacity, local: offered.min(capacity) }
    }

    /// The part of `offered` that other zones must serve.
    pub(crate) fn excess(&self) -> f64 {
        self.offered - self.local
    }
}

/// What happens to the requests for which no zone has capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Excess {
    /// They stay in the zone, which is fully open. Guards against rejecting requests because of an inaccurate
    /// estimate: the zone's own queues show more precisely than the estimated capacity what it can still admit.
    StaysLocal,
    /// They are rejected.
    Rejected,
}

impl RoutingRow {
    /// The row with this content in a plan.
    pub(crate) fn from_plan(row: &[(u8, u8)]) -> RoutingRow {
        let shares = row.iter().map(|(zone, parts)| ZoneShare { zone: *zone, parts: *parts }).collect();
        RoutingRow { shares }
    }

    /// The row in the form in which a plan carries it.
    pub(crate) fn to_plan(&self) -> Vec<(u8, u8)> {
        self.shares.iter().map(|share| (share.zone, share.parts)).collect()
    }

    /// The zones with the fractions that they serve.
    pub(crate) fn fractions(&self) -> impl Iterator<Item = (usize, f64)> + '_ {
        self.shares
            .iter()
            .map(|share| (usize::from(share.zone), f64::from(share.parts) / f64::from(FULL_PARTS)))
    }

    /// Divides the requests of `zone`: it serves `load.local` itself, and sends `flow` to the other zones.
    pub(crate) fn divide(zone: usize, load: &ZoneLoad, flow: &[f64], excess: Excess) -> RoutingRow {
        let zone = zone as u8;
        if load.offered <= MIN_OFFERED_PER_S || load.local >= load.offered {
            let all = ZoneShare { zone, parts: FULL_PARTS };
            let shares = if load.capacity > 0.0 { vec![all] } else { Vec::new() };
            return RoutingRow { shares };
        }
        let parts = |amount: f64| {
            let full = f64::from(FULL_PARTS);
            (full * amount / load.offered).floor().clamp(0.0, full) as u8
        };
        let mut row = RoutingRow { shares: vec![ZoneShare { zone, parts: parts(load.local) }] };
        row.shares.extend(largest_shares(flow, parts));
        row.shares.retain(|share| share.parts > 0);
        let placed = load.local + flow.iter().sum::<f64>();
        match excess {
            Excess::StaysLocal => row.add_rest_to(zone),
            Excess::Rejected if placed >= load.offered * MIN_PLACED_FRACTION => row.add_rest_to_first(),
            Excess::Rejected => {}
        }
        row.shares.truncate(MAX_ROUTES_PER_ZONE);
        row
    }

    /// The parts that are assigned to no zone.
    fn rest(&self) -> u8 {
        let sum: u32 = self.shares.iter().map(|share| u32::from(share.parts)).sum();
        let full = u32::from(FULL_PARTS);
        (full - sum.min(full)) as u8
    }

    fn add_rest_to(&mut self, zone: u8) {
        let rest = self.rest();
        match self.shares.iter_mut().find(|share| share.zone == zone) {
            Some(share) => share.parts = share.parts.saturating_add(rest),
            None => self.shares.insert(0, ZoneShare { zone, parts: rest }),
        }
    }

    /// Adds the rest, which is a rounding error, to the first zone, so that no request is rejected because of it.
    fn add_rest_to_first(&mut self) {
        let rest = self.rest();
        if let Some(first) = self.shares.first_mut() {
            first.parts = first.parts.saturating_add(rest);
        }
    }

    fn parts_of(&self, zone: u8) -> i32 {
        self.shares.iter().find(|share| share.zone == zone).map_or(0, |share| i32::from(share.parts))
    }

    /// Replaces the row by a new one if they differ by more than noise.
    pub(crate) fn update(&mut self, new: RoutingRow) {
        let mut zones = self.shares.iter().chain(&new.shares).map(|share| share.zone);
        let differs = zones.any(|zone| (self.parts_of(zone) - new.parts_of(zone)).abs() > HYSTERESIS_PARTS);
        // The change to a single zone, or to none, is made even if it is within the noise.
        let reaches_end = new.shares.len() <= 1 && self.shares.len() != new.shares.len();
        if differs || reaches_end {
            *self = new;
        }
    }
}

/// The other zones with the largest parts, as many as fit into a row beside the zone itself.
fn largest_shares(flow: &[f64], parts: impl Fn(f64) -> u8) -> Vec<ZoneShare> {
    let mut shares: Vec<ZoneShare> = flow
        .iter()
        .enumerate()
        .map(|(zone, amount)| ZoneShare { zone: zone as u8, parts: parts(*amount) })
        .filter(|share| share.parts > 0)
        .collect();
    shares.sort_by_key(|share| (Reverse(share.parts), share.zone));
    shares.truncate(MAX_ROUTES_PER_ZONE - 1);
    shares
}

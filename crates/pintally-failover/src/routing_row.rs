//! How the requests that arrive in one zone are divided over zones.

use std::cmp::Reverse;

use crate::plan::{FULL_PARTS, MAX_ROUTES_PER_ZONE};

/// The division changes only if a zone's parts change by more than this, so that noise moves no session.
const HYSTERESIS_PARTS: i32 = 10;

/// A zone to which less than this is offered a second gets no request.
const MIN_OFFERED: f64 = 1e-6;

/// From this fraction of placed requests on, the rest is taken for rounding errors.
const MIN_PLACED_FRACTION: f64 = 0.995;

/// A zone that serves a part of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ZoneShare {
    zone: u8,
    parts: u8,
}

/// The zones that serve the requests of one zone, the own one first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutingRow {
    shares: Vec<ZoneShare>,
}

/// What is known of the zone whose requests are divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneLoad {
    /// Requests a second that clients send to the zone.
    pub(crate) offered: f64,
    /// Requests a second that its engines carry, as far as the zone is open.
    pub(crate) capacity: f64,
    /// The offered requests that the zone serves itself.
    pub(crate) local: f64,
}

impl ZoneLoad {
    pub(crate) fn new(offered: f64, capacity: f64) -> ZoneLoad {
        ZoneLoad { offered, capacity, local: offered.min(capacity) }
    }

    /// The offered requests that other zones must serve.
    pub(crate) fn excess(&self) -> f64 {
        self.offered - self.local
    }
}

/// What becomes of the requests that found no capacity anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Excess {
    /// They stay in the zone, which is fully open. Guards against rejecting requests because of an estimate:
    /// the zone's own queues know better than the estimated capacity what it can still take.
    StaysLocal,
    /// They are rejected.
    Rejected,
}

impl RoutingRow {
    /// The row of a plan.
    pub(crate) fn from_plan(row: &[(u8, u8)]) -> RoutingRow {
        let shares = row.iter().map(|(zone, parts)| ZoneShare { zone: *zone, parts: *parts }).collect();
        RoutingRow { shares }
    }

    /// The row as it is sent in a plan.
    pub(crate) fn to_plan(&self) -> Vec<(u8, u8)> {
        self.shares.iter().map(|share| (share.zone, share.parts)).collect()
    }

    /// The zones with the fractions that they serve.
    pub(crate) fn fractions(&self) -> impl Iterator<Item = (usize, f64)> + '_ {
        self.shares
            .iter()
            .map(|share| (usize::from(share.zone), f64::from(share.parts) / f64::from(FULL_PARTS)))
    }

    /// Divides the requests of `zone`: its own part, and `flow` to other zones.
    pub(crate) fn divide(zone: usize, load: &ZoneLoad, flow: &[f64], excess: Excess) -> RoutingRow {
        let zone = zone as u8;
        if load.offered <= MIN_OFFERED || load.local >= load.offered {
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

    /// The parts that no zone serves.
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

    /// Adds rounding errors to the first zone, so that no request is rejected for them.
    fn add_rest_to_first(&mut self) {
        let rest = self.rest();
        if let Some(first) = self.shares.first_mut() {
            first.parts = first.parts.saturating_add(rest);
        }
    }

    fn parts_of(&self, zone: u8) -> i32 {
        self.shares.iter().find(|share| share.zone == zone).map_or(0, |share| i32::from(share.parts))
    }

    /// Replaces the row by a new one, unless they differ by noise only.
    pub(crate) fn update(&mut self, new: RoutingRow) {
        let mut zones = self.shares.iter().chain(&new.shares).map(|share| share.zone);
        let differs = zones.any(|zone| (self.parts_of(zone) - new.parts_of(zone)).abs() > HYSTERESIS_PARTS);
        // The ends are reached whatever the noise: all requests in one zone, or none anywhere.
        let reaches_end = new.shares.len() <= 1 && self.shares.len() != new.shares.len();
        if differs || reaches_end {
            *self = new;
        }
    }
}

/// The other zones with the largest parts, as many as a row has space for beside the own one.
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

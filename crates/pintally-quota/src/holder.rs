//! A node's shares: what it admits by them, and what it asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::limit::{Enforcement, Limit, LimitId, LimitKind, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

/// Demand is counted with this half-life.
const HALF_LIFE: f64 = 5e5;
/// A holder asks for this much more than it could use now, so that growth finds room.
const HEADROOM: f64 = 1.25;
/// Demand below this is none.
const NONE: f64 = 1e-3;
/// After a refusal a share is asked for anew this many times sooner.
const SOONER: u64 = 5;

/// Whether something may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admit,
    /// It may not; asking again after this time may help.
    Reject(Micros),
}

/// How one limit stands at this node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LimitStatus {
    /// Its name.
    pub name: Arc<str>,
    /// `hard` or `soft`.
    pub bound: &'static str,
    /// `a second` or `at once`.
    pub counts: &'static str,
    /// The whole limit as this node knows it.
    pub most: f64,
    /// What the node has now, its floor included.
    pub has: f64,
    /// Of this its floor.
    pub floor: f64,
    /// What it could use.
    pub wants: f64,
    /// What runs, if it counts at once; what a rate owes, if it is below zero.
    pub in_use: f64,
    /// How old what it holds is, in milliseconds: none if no lender ever answered.
    pub age_ms: Option<u64>,
    /// Whether its lease holds.
    pub leased: bool,
    /// Let in and turned away so far.
    pub admitted: u64,
    /// Turned away for it.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Held {
    limit: Limit,
    share: f32,
    /// What it is to come down to, once it owes nothing.
    down_to: Option<f32>,
    /// By the own clock: the lease's end.
    until: Micros,
    /// When what it holds was asked for.
    told: Option<Micros>,
    /// Rate: what may be used now; below zero it is owed. Level: how much is in use.
    level: f64,
    at: Micros,
    demand: f64,
    demand_at: Micros,
    turned_away: f64,
    /// The latest ask: its number, when, and what was held.
    asked: Option<(u32, Micros, f32)>,
    number: u32,
    urgent: bool,
    admitted: u64,
    refused: u64,
}

/// A node's shares of all limits.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    settings: Settings,
    held: BTreeMap<LimitId, Held>,
    names: BTreeMap<LimitId, Arc<str>>,
    /// Those that are in use: the others cost nothing.
    active: BTreeSet<LimitId>,
}

impl QuotaHolder {
    /// A node that holds nothing but its floors. What it held in a life before is never taken up again:
    /// it stays debited until its lease is over.
    pub fn new(
        settings: Settings,
        limits: impl IntoIterator<Item = (LimitId, String, Limit)>,
    ) -> QuotaHolder {
        let (held, names, active) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        let mut holder = QuotaHolder { settings, held, names, active };
        for (id, name, limit) in limits {
            holder.names.insert(id, name.into());
            holder.held.insert(id, Held::new(limit));
        }
        holder
    }

    /// Whether something that costs so much may begin under a limit. It is not counted yet: that is
    /// [`QuotaHolder::take`], once all limits that it falls under have room.
    pub fn admit(&mut self, now: Micros, id: LimitId, cost: f64) -> Admission {
        let settings = self.settings;
        let Some(held) = self.held.get_mut(&id) else { return Admission::Admit };
        self.active.insert(id);
        held.settle(now, &settings);
        held.offered(now, cost);
        let has = held.has(now, &settings);
        let (room, lacks) = match held.limit.kind {
            LimitKind::Rate => (held.level > 0.0, -held.level + 1e-6),
            LimitKind::Concurrency => (held.level + cost <= has + 1e-6, 0.0),
        };
        if room {
            return Admission::Admit;
        }
        held.refused += 1;
        held.turned_away += cost;
        held.urgent = true;
        let soon = 2 * settings.request_interval;
        let after = match held.limit.kind {
            LimitKind::Rate if has > 0.0 => (lacks / has * 1e6) as Micros,
            _ => soon,
        };
        Admission::Reject(after.clamp(1_000, settings.lease_duration.max(soon)))
    }

    /// Counts what begins.
    pub fn consume(&mut self, now: Micros, id: LimitId, cost: f64) {
        let settings = self.settings;
        let Some(held) = self.held.get_mut(&id) else { return };
        held.settle(now, &settings);
        held.admitted += 1;
        held.level += if held.limit.kind == LimitKind::Concurrency { cost } else { -cost };
    }

    /// Counts what has ended of what is counted at once.
    pub fn release(&mut self, now: Micros, id: LimitId, cost: f64) {
        let settings = self.settings;
        let Some(held) = self.held.get_mut(&id).filter(|h| h.limit.kind == LimitKind::Concurrency) else {
            return;
        };
        held.settle(now, &settings);
        held.level = (held.level - cost).max(0.0);
    }

    /// What is to be asked for now.
    pub fn lease_requests(&mut self, now: Micros) -> Vec<LeaseRequest> {
        let settings = self.settings;
        let mut asks = Vec::new();
        let mut resting = Vec::new();
        for id in &self.active {
            let Some(held) = self.held.get_mut(id) else { continue };
            held.settle(now, &settings);
            let wants = held.wants(now, &settings);
            if wants <= 0.0 && held.share <= 0.0 {
                resting.push(*id);
                continue;
            }
            let pause =
                if held.urgent { settings.request_interval / SOONER } else { settings.request_interval };
            if held.asked.is_some_and(|(_, at, _)| now < at + pause) {
                continue;
            }
            held.urgent = false;
            held.turned_away = 0.0;
            held.number += 1;
            held.asked = Some((held.number, now, held.share));
            asks.push(LeaseRequest {
                limit: *id,
                number: held.number,
                held: held.share,
                wanted: wants as f32,
            });
        }
        resting.iter().for_each(|id| {
            self.active.remove(id);
        });
        asks
    }

    /// Takes a lender's answer in.
    pub fn apply_grant(&mut self, now: Micros, grant: &LeaseGrant) {
        let settings = self.settings;
        let Some(held) = self.held.get_mut(&grant.limit) else { return };
        // Guards against a grant for an ask that another has followed: the lender does not reckon with
        // it any more.
        let Some((_, asked, held_then)) = held.asked.filter(|(number, ..)| *number == grant.number) else {
            return;
        };
        let sound = grant.granted.is_finite() && grant.granted >= 0.0 && grant.most.is_finite();
        if !sound || grant.most < 0.0 || held.told == Some(asked) {
            return;
        }
        held.settle(now, &settings);
        // Guards against a grant that rests on what has run out on the way: it may be lent anew already.
        if held.share < held_then {
            return;
        }
        held.limit.amount = grant.most;
        held.told = Some(asked);
        held.until = asked + settings.lease_duration;
        if grant.granted >= held.share {
            (held.share, held.down_to) = (grant.granted, None);
        } else {
            held.down_to = Some(grant.granted);
        }
        held.come_down(&settings);
    }

    /// What the node has of a limit now, its floor included; none if there is no such limit.
    pub fn allocation(&self, now: Micros, id: LimitId) -> Option<f64> {
        self.held.get(&id).map(|h| h.has(now, &self.settings))
    }

    /// What of the limit's floor and lease is not of its own, for audits: the share alone.
    pub fn leased(&self, now: Micros, id: LimitId) -> f64 {
        self.held.get(&id).map_or(0.0, |h| h.leased(now, &self.settings))
    }

    /// How each limit stands here.
    pub fn status(&self, now: Micros) -> Vec<LimitStatus> {
        let one = |(id, h): (&LimitId, &Held)| LimitStatus {
            name: self.names.get(id).cloned().unwrap_or_else(|| "".into()),
            bound: if h.limit.enforcement == Enforcement::Hard { "hard" } else { "soft" },
            counts: if h.limit.kind == LimitKind::Rate { "a second" } else { "at once" },
            most: h.limit.amount,
            has: h.has(now, &self.settings),
            floor: self.settings.floor(&h.limit),
            wants: h.wants(now, &self.settings),
            in_use: h.level,
            age_ms: h.told.map(|at| now.saturating_sub(at) / 1000),
            leased: now < h.until && h.told.is_some(),
            admitted: h.admitted,
            refused: h.refused,
        };
        self.held.iter().map(one).collect()
    }
}

impl Held {
    fn new(limit: Limit) -> Held {
        Held {
            limit,
            share: 0.0,
            down_to: None,
            until: 0,
            told: None,
            level: 0.0,
            at: 0,
            demand: 0.0,
            demand_at: 0,
            turned_away: 0.0,
            asked: None,
            number: 0,
            urgent: false,
            admitted: 0,
            refused: 0,
        }
    }

    /// The share at a time, without the floor.
    fn leased(&self, now: Micros, settings: &Settings) -> f64 {
        let share = f64::from(self.share);
        if now < self.until {
            return share;
        }
        match self.limit.enforcement {
            Enforcement::Hard => 0.0,
            Enforcement::Soft => {
                let gone = (now - self.until) as f64 / settings.soft_decay.max(1) as f64;
                share * (1.0 - gone).max(0.0)
            }
        }
    }

    fn has(&self, now: Micros, settings: &Settings) -> f64 {
        settings.floor(&self.limit) + self.leased(now, settings)
    }

    /// Brings what may be used up to a time.
    fn settle(&mut self, now: Micros, settings: &Settings) {
        if self.at == 0 {
            self.at = now;
        }
        if now > self.at && self.limit.kind == LimitKind::Rate {
            // A lease that ended in between counts up to its end.
            let middle = self.until.clamp(self.at, now);
            for (from, to) in [(self.at, middle), (middle, now)] {
                let rate = self.has((from + to) / 2, settings);
                let cap = (rate * settings.burst as f64 / 1e6).max(0.0);
                let gained = self.level + rate * (to - from) as f64 / 1e6;
                // What was saved under a greater share does not outlast it.
                if to > from {
                    self.level = gained.min(cap);
                }
            }
        }
        self.at = self.at.max(now);
        let lost = match self.limit.enforcement {
            Enforcement::Hard => now >= self.until,
            Enforcement::Soft => now >= self.until + settings.soft_decay,
        };
        if lost {
            (self.share, self.down_to) = (0.0, None);
        }
        self.come_down(settings);
    }

    /// Gives back what was asked back, as far as it owes nothing by it.
    fn come_down(&mut self, settings: &Settings) {
        let Some(target) = self.down_to else { return };
        match self.limit.kind {
            // What is owed is paid first: otherwise the next holder would begin where this one went ahead.
            LimitKind::Rate if self.level < 0.0 => {}
            LimitKind::Rate => {
                let cap = (settings.floor(&self.limit) + f64::from(target)) * settings.burst as f64 / 1e6;
                (self.share, self.down_to, self.level) = (target, None, self.level.min(cap));
                // Others wait for it: the lender hears of it soon.
                self.urgent = true;
            }
            LimitKind::Concurrency => {
                let needed = (self.level - settings.floor(&self.limit)).max(0.0) as f32;
                self.share = self.share.min(target.max(needed));
                if self.share <= target {
                    self.down_to = None;
                }
            }
        }
    }

    fn offered(&mut self, now: Micros, cost: f64) {
        if self.limit.kind == LimitKind::Rate {
            self.demand = self.demand_now(now) + cost * std::f64::consts::LN_2 / (HALF_LIFE / 1e6);
            self.demand_at = now;
        }
    }

    fn demand_now(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.demand_at) as f64;
        self.demand * 0.5f64.powf(age / HALF_LIFE)
    }

    /// What it could use beside its floor.
    fn wants(&self, now: Micros, settings: &Settings) -> f64 {
        let use_now = match self.limit.kind {
            LimitKind::Rate => self.demand_now(now),
            LimitKind::Concurrency => self.level + self.turned_away,
        };
        if use_now < NONE * self.limit.amount.min(1.0) {
            return 0.0;
        }
        let wanted = match self.limit.kind {
            LimitKind::Rate => use_now * HEADROOM,
            LimitKind::Concurrency => (use_now * HEADROOM).ceil(),
        };
        (wanted - settings.floor(&self.limit)).clamp(0.0, self.limit.amount)
    }
}

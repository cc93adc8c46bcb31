//! What a node itself sees of engines.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::{Observation, OutlierReport, MAX_OBSERVATIONS};
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// How an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It could not be reached.
    Unreachable = 1,
    /// It broke off.
    Broke = 2,
    /// It did not answer in time.
    Late = 3,
    /// It answered that it failed, or wrongly.
    Wrong = 4,
}

impl Fault {
    /// By its number.
    pub(crate) fn of(number: u8) -> Option<Fault> {
        [Fault::Unreachable, Fault::Broke, Fault::Late, Fault::Wrong].into_iter().find(|f| *f as u8 == number)
    }

    /// In words.
    pub fn word(self) -> &'static str {
        match self {
            Fault::Unreachable => "cannot be reached",
            Fault::Broke => "breaks off",
            Fault::Late => "does not answer in time",
            Fault::Wrong => "answers wrongly",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    zone: u32,
    bad: u8,
    good: u8,
    bad_at: Micros,
    good_at: Micros,
    fault: u8,
}

/// A node's own evidence.
#[derive(Clone, Debug)]
pub struct Observer {
    settings: Settings,
    counts: BTreeMap<EngineIncarnation, Count>,
}

impl Observer {
    /// One that has seen nothing.
    pub fn new(settings: Settings) -> Observer {
        Observer { settings, counts: BTreeMap::new() }
    }

    /// An attempt has ended well, or by a fault. `zone` stands for the engine's zone.
    pub fn record(&mut self, now: Micros, engine: EngineIncarnation, zone: u32, fault: Option<Fault>) {
        let count = self.counts.entry(engine).or_default();
        count.zone = zone;
        match fault {
            Some(fault) => {
                // A failure after a success begins anew: strikes are failures in a row.
                if count.good_at > count.bad_at {
                    count.bad = 0;
                }
                (count.bad, count.bad_at) = (count.bad.saturating_add(1), now);
                count.fault = fault as u8;
            }
            None => {
                if count.bad_at > count.good_at {
                    count.good = 0;
                }
                (count.good, count.good_at) = (count.good.saturating_add(1), now);
            }
        }
    }

    /// What it saw of an engine is forgotten.
    pub fn clear(&mut self, engine: EngineIncarnation) {
        self.counts.remove(&engine);
    }

    /// Its report: engines that fail it, and what it saw of those that `others` accuse.
    pub fn report(&mut self, now: Micros, others: &BTreeSet<EngineIncarnation>) -> OutlierReport {
        let memory = self.settings.evidence_retention;
        self.counts.retain(|_, c| now.saturating_sub(c.bad_at.max(c.good_at)) <= memory);
        let fails = |c: &Count| c.bad_at > c.good_at && now.saturating_sub(c.bad_at) <= memory;
        let mut report = OutlierReport::default();
        let mut zones: BTreeMap<u32, (u8, u8)> = BTreeMap::new();
        for count in self.counts.values() {
            let zone = zones.entry(count.zone).or_default();
            zone.0 = zone.0.saturating_add(1);
            zone.1 = zone.1.saturating_add(u8::from(fails(count)));
        }
        report.zones =
            zones.into_iter().take(16).map(|(zone, (used, failing))| (zone, used, failing)).collect();
        let wanted = self.counts.iter().filter(|(e, c)| fails(c) || others.contains(e));
        let mut seen: Vec<Observation> = wanted
            .map(|(engine, c)| {
                let age = |at: Micros| (now.saturating_sub(at) / 10_000).min(u64::from(u16::MAX)) as u16;
                let (bad_age, good_age) = (age(c.bad_at), age(c.good_at));
                Observation { engine: *engine, bad: c.bad, good: c.good, bad_age, good_age, fault: c.fault }
            })
            .collect();
        // The freshest failures first, then the freshest words in favour.
        seen.sort_by_key(|s| (s.bad_age.min(s.good_age), s.engine));
        seen.truncate(MAX_OBSERVATIONS);
        report.seen = seen;
        report
    }
}

//! How far each engine can be counted on, by how its attempts end.
//!
//! The list of engines says who is there; a bad release is there and fails. An engine's weight falls
//! with the share of its attempts that end badly, and rises again as good ends come or old ones fade.
//! Each tenant has one vote, however much it sends: requests of one tenant that no engine can serve
//! must not take a whole cell from the others.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, LoadReport, Micros, Outcome};

/// Ends count for half after this time.
const HALF: f64 = 10_000_000.0;
/// An engine of which nothing is known counts as if it had had so many good ends.
const PRIOR: f64 = 3.0;
/// Below this weight an engine counts for nothing.
const NOTHING: f64 = 0.1;
/// It is failing below this weight,
const FAILING: f64 = 0.5;
/// and no longer above this one.
const SOUND: f64 = 0.75;
/// An engine that fails again soon after it was sound is forgiven more slowly, so many times at most.
const RELAPSES: u32 = 4;
/// From so many good ends in a row on each further one leaves only this part of the bad ones: an engine
/// that has been mended is not held to its past.
const MENDED: (u32, f64) = (3, 0.6);
/// Good ends in a row after which earlier failures do not count as the beginning of a relapse.
const CURED: u32 = 20;
/// Tenants that have a vote at one engine; the one with the least to say makes room.
const VOTERS: usize = 32;

/// How a tenant's attempts ended at one engine, faded.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    good: f64,
    /// With an error, or too late.
    failed: f64,
    /// Without a connection, or with one that broke.
    cut: f64,
}

impl Ends {
    fn all(&self) -> f64 {
        self.good + self.failed + self.cut
    }
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
struct Seen {
    at: Micros,
    by: BTreeMap<Option<usize>, Ends>,
    /// When it started, as the list says.
    started: Option<Micros>,
    /// It was out of room when it last reported; unknown before any report.
    full: Option<bool>,
    failing: bool,
    has_failed: bool,
    relapses: u32,
    good_run: u32,
}

impl Seen {
    fn faded(&self, now: Micros) -> f64 {
        let half = HALF * f64::from(1u32 << self.relapses);
        0.5f64.powf(now.saturating_sub(self.at) as f64 / half)
    }

    fn weight(&self, now: Micros) -> f64 {
        let (fade, prior) = (self.faded(now), PRIOR / self.by.len().max(1) as f64);
        let vote = |e: &Ends| (e.good * fade + prior) / (e.all() * fade + prior);
        let votes: f64 = self.by.values().map(vote).sum();
        let weight = if self.by.is_empty() { 1.0 } else { votes / self.by.len() as f64 };
        if weight < NOTHING {
            0.0
        } else {
            weight
        }
    }

    fn fade(&mut self, now: Micros) {
        let fade = self.faded(now);
        for e in self.by.values_mut() {
            *e = Ends { good: e.good * fade, failed: e.failed * fade, cut: e.cut * fade };
        }
        self.by.retain(|_, e| e.all() > 0.01);
        self.at = self.at.max(now);
    }

    fn judge(&mut self, now: Micros) {
        let weight = self.weight(now);
        if self.failing {
            self.failing = weight < SOUND;
        } else if weight < FAILING {
            self.failing = true;
            let again = std::mem::replace(&mut self.has_failed, true);
            self.relapses = (self.relapses + u32::from(again)).min(RELAPSES);
        }
    }
}

/// What is known of all engines.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    engines: BTreeMap<EngineId, Seen>,
}

impl Trust {
    /// Takes in how an attempt of a tenant ended at an engine, and the load that came with it.
    pub fn ended(
        &mut self,
        now: Micros,
        engine: &EngineId,
        tenant: Option<usize>,
        outcome: Outcome,
        load: Option<&LoadReport>,
    ) {
        let seen = self.engines.entry(engine.clone()).or_default();
        if let Some(load) = load {
            seen.full = Some(load.queue.is_some_and(|q| q >= 1.0) || load.slots.is_some_and(|s| s >= 0.95));
        }
        let one = match outcome {
            Outcome::Served | Outcome::Read => Ends { good: 1.0, ..Ends::default() },
            Outcome::Error => Ends { failed: 1.0, ..Ends::default() },
            Outcome::ConnectionBroken | Outcome::Unreachable => Ends { cut: 1.0, ..Ends::default() },
            // Too late from an engine that had room is its fault. Where it was full, or says nothing
            // of its load, it may be ours: a flood must not pass for a bad release.
            Outcome::TimedOut if seen.full == Some(false) => Ends { failed: 1.0, ..Ends::default() },
            _ => return,
        };
        seen.fade(now);
        if !seen.by.contains_key(&tenant) && seen.by.len() >= VOTERS {
            let least = seen.by.iter().min_by(|a, b| a.1.all().total_cmp(&b.1.all()));
            if let Some(least) = least.map(|(t, _)| *t) {
                seen.by.remove(&least);
            }
        }
        let ends = seen.by.entry(tenant).or_default();
        ends.good += one.good;
        ends.failed += one.failed;
        ends.cut += one.cut;
        if one.good > 0.0 {
            seen.good_run += 1;
            if seen.good_run > MENDED.0 {
                for ends in seen.by.values_mut() {
                    ends.failed *= MENDED.1;
                    ends.cut *= MENDED.1;
                }
            }
            if seen.good_run >= CURED {
                (seen.has_failed, seen.relapses) = (false, 0);
            }
        } else {
            seen.good_run = 0;
        }
        seen.judge(now);
    }

    /// An engine has answered a probe: it can be reached again, whatever it answers to work.
    pub fn reached(&mut self, now: Micros, engine: &EngineId) {
        let Some(seen) = self.engines.get_mut(engine) else { return };
        seen.by.values_mut().for_each(|e| e.cut = 0.0);
        seen.judge(now);
    }

    /// The list says when an engine started: one that has started anew has no past.
    pub fn listed(&mut self, engine: &EngineId, started: Option<Micros>) {
        let Some(seen) = self.engines.get_mut(engine) else { return };
        if seen.started != started && started.is_some() {
            *seen = Seen { started, full: seen.full, ..Seen::default() };
        }
    }

    /// Time has passed: an engine may be sound again.
    pub fn tick(&mut self, now: Micros) {
        self.engines.values_mut().for_each(|s| s.judge(now));
    }

    /// What an engine counts for, from 0 to 1.
    pub fn weight(&self, now: Micros, engine: &EngineId) -> f64 {
        self.engines.get(engine).map_or(1.0, |s| s.weight(now))
    }

    /// Whether an engine is failing: it may be listed, but another has to stand in.
    pub fn is_failing(&self, engine: &EngineId) -> bool {
        self.engines.get(engine).is_some_and(|s| s.failing)
    }

    /// Whether some engine counts for less than whole, so that time alone changes something.
    pub fn is_uneasy(&self, now: Micros) -> bool {
        self.engines.values().any(|s| s.failing || s.weight(now) < SOUND)
    }

    /// Forgets engines that are not there any more.
    pub fn keep(&mut self, known: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|e, _| known(e));
    }
}

//! What a cold fleet can carry, and which part of it is this node's.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EngineId, Micros};

use crate::settings::Settings;

/// Who is back, as far as a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Nodes that are here, this one included.
    pub here: usize,
    /// Nodes by the settings.
    pub expected: usize,
}

/// This node's part of what all nodes together may let in.
///
/// Nodes that see a majority of the fleet share all of it among those that they see; others take the
/// part that they would have if everybody were there. In any partition at most one side sees a
/// majority, so the parts of all nodes add up to at most `1 + (expected - majority) / expected`, under
/// one and a half; without a partition, to one.
pub fn share(fleet: Fleet) -> f64 {
    let expected = fleet.expected.max(1);
    let here = fleet.here.clamp(1, expected);
    match here * 2 > expected {
        true => 1.0 / here as f64,
        false => 1.0 / expected as f64,
    }
}

/// Which engines have answered since the start, and since when. One that nobody has tried yet counts as
/// cold: the core keeps every cold engine's own budget. One that could not be reached counts for nothing
/// until it answers.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    heard: BTreeMap<EngineId, Micros>,
    missing: BTreeSet<EngineId>,
    listed: usize,
}

impl Capacity {
    /// The list names so many engines that take work.
    pub fn listed(&mut self, engines: usize) {
        self.listed = engines;
    }

    /// An engine has answered.
    pub fn heard(&mut self, now: Micros, engine: &EngineId) {
        self.missing.remove(engine);
        self.heard.entry(engine.clone()).or_insert(now);
    }

    /// An engine could not be reached, or is gone.
    pub fn lost(&mut self, engine: &EngineId) {
        self.heard.remove(engine);
        self.missing.insert(engine.clone());
    }

    /// Engines heard and listed.
    pub fn count(&self) -> (usize, usize) {
        (self.heard.len().min(self.listed), self.listed)
    }

    /// The part of the warm fleet's work that its engines can do now. An engine warms from when it was
    /// first heard, which is never earlier than its start.
    pub fn warm_part(&self, now: Micros, s: &Settings) -> f64 {
        let of = |since: &Micros| {
            let age = now.saturating_sub(*since) as f64 / s.warm_after.max(1) as f64;
            s.cold_from + (1.0 - s.cold_from) * age.min(1.0)
        };
        let untried = self.listed.saturating_sub(self.heard.len() + self.missing.len());
        let sum = self.heard.values().map(of).sum::<f64>() + untried as f64 * s.cold_from;
        match self.listed {
            0 => 0.0,
            listed => (sum / listed as f64).min(1.0),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against halves that each take the whole: whatever the partition, the parts add up to
    /// under one and a half.
    #[test]
    fn parts_add_up_in_every_partition() {
        for expected in 1..=9usize {
            for halves in 0..(1u32 << expected) {
                let one = halves.count_ones() as usize;
                let parts = [one, expected - one].into_iter().filter(|n| *n > 0);
                let sum: f64 = parts.map(|here| here as f64 * share(Fleet { here, expected })).sum();
                assert!(sum < 1.5 + 1e-9, "{one} of {expected}: {sum}");
            }
        }
    }

    /// Guards against a fleet that counts on engines which are not back yet.
    #[test]
    fn engines_count_by_what_is_known_of_them() {
        let s = Settings {
            expected: 1,
            peers: false,
            ask: 1,
            answer_within: 1,
            rounds: 1,
            careful_most: 10_000_000,
            cold_from: 0.25,
            warm_after: 8_000_000,
            per_engine: 1.0,
            textless: 1.0,
            retry_most: 0,
            classes: Vec::new(),
        };
        let engine = |n: usize| EngineId(format!("e{n}").as_str().into());
        let mut capacity = Capacity::default();
        assert_eq!(capacity.warm_part(0, &s), 0.0, "no list");
        capacity.listed(4);
        assert_eq!(capacity.warm_part(0, &s), 0.25, "untried ones are cold");
        (0..4).for_each(|n| capacity.lost(&engine(n)));
        assert_eq!(capacity.warm_part(0, &s), 0.0);
        capacity.heard(1_000_000, &engine(0));
        capacity.heard(5_000_000, &engine(0));
        assert_eq!(
            capacity.warm_part(9_000_000, &s),
            0.25,
            "one of four is warm, by when it was first heard"
        );
        capacity.lost(&engine(0));
        capacity.heard(9_000_000, &engine(0));
        assert_eq!(capacity.warm_part(9_000_000, &s), 0.0625, "and cold again after it was lost");
    }

    #[test]
    fn two_that_never_return_leave_their_part_to_the_rest() {
        assert_eq!(share(Fleet { here: 3, expected: 5 }), 1.0 / 3.0);
        assert_eq!(share(Fleet { here: 2, expected: 5 }), 1.0 / 5.0);
        assert_eq!(share(Fleet { here: 1, expected: 1 }), 1.0);
        // More than expected, as while the settings lag behind: no more than the whole.
        assert_eq!(share(Fleet { here: 7, expected: 5 }), 1.0 / 5.0);
    }
}

//! What a cold fleet can carry, and which part of it is this node's.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EngineId, Micros};
use xxhash_rust::xxh3::xxh3_64;

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

/// What stands for an engine among nodes. Two that share a mark count as one and are told of as one.
pub(crate) type Mark = u32;

pub(crate) fn mark(engine: &EngineId) -> Mark {
    xxh3_64(engine.0.as_bytes()) as Mark
}

/// Engines in one telling: so many fit into a word between peers.
pub(crate) const MAX_TOLD: usize = 56;
/// Ages are told in so many microseconds, up to the largest that fits.
const AGE_UNIT: Micros = 10_000;

/// Which engines have answered anybody since the start, and since when. One that nobody has tried yet counts
/// as cold: the core keeps every cold engine's own budget. One that could not be reached counts for nothing
/// until it answers.
///
/// A node of a large fleet meets few engines while they warm. So nodes tell each other which have answered
/// and how long ago; whatever a word takes on its way makes an engine younger and never older.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    listed: BTreeSet<Mark>,
    heard: BTreeMap<Mark, Micros>,
    /// When engines were last lost to this node, kept though they have come back: word of before that says
    /// nothing of what runs now.
    lost: BTreeMap<Mark, Micros>,
}

impl Capacity {
    /// The list names these engines that take work.
    pub fn listed<'a>(&mut self, engines: impl Iterator<Item = &'a EngineId>) {
        self.listed = engines.map(mark).collect();
        let listed = &self.listed;
        self.lost.retain(|mark, _| listed.contains(mark));
    }

    /// An engine has answered.
    pub fn heard(&mut self, now: Micros, engine: &EngineId) {
        self.heard.entry(mark(engine)).or_insert(now);
    }

    /// An engine could not be reached, or is gone.
    pub fn lost(&mut self, now: Micros, engine: &EngineId) {
        self.heard.remove(&mark(engine));
        self.lost.insert(mark(engine), now);
    }

    /// What others are told of: some engines that have answered and how long ago, others each second where
    /// there are more than fit.
    pub(crate) fn tell(&self, now: Micros) -> Vec<u64> {
        let turn = match self.heard.len() {
            0..=MAX_TOLD => 0,
            more => (now / 1_000_000) as usize * MAX_TOLD % more,
        };
        let all = self.heard.iter().cycle().skip(turn).take(self.heard.len().min(MAX_TOLD));
        let age = |since: Micros| (now.saturating_sub(since) / AGE_UNIT).min(u64::from(u16::MAX));
        all.map(|(mark, since)| u64::from(*mark) << 16 | age(*since)).collect()
    }

    /// What somebody has told.
    pub(crate) fn told(&mut self, now: Micros, told: &[u64]) {
        for one in told.iter().take(MAX_TOLD) {
            let (mark, age) = ((one >> 16) as Mark, (one & 0xffff) * AGE_UNIT);
            let since = now.saturating_sub(age);
            let stale = self.lost.get(&mark).is_some_and(|lost| since <= *lost);
            if stale || !self.listed.contains(&mark) {
                continue;
            }
            let known = self.heard.entry(mark).or_insert(since);
            *known = since.min(*known);
        }
    }

    /// Engines heard and listed.
    pub fn count(&self) -> (usize, usize) {
        (self.listed.iter().filter(|m| self.heard.contains_key(m)).count(), self.listed.len())
    }

    /// The part of the warm fleet's work that its engines can do now. An engine warms from when it was
    /// first heard, which is never earlier than its start.
    pub fn warm_part(&self, now: Micros, s: &Settings) -> f64 {
        let part = |mark: &Mark| match (self.heard.get(mark), self.lost.contains_key(mark)) {
            (Some(since), _) => {
                let age = now.saturating_sub(*since) as f64 / s.slow_start_duration.max(1) as f64;
                s.slow_start_min_capacity + (1.0 - s.slow_start_min_capacity) * age.min(1.0)
            }
            (None, true) => 0.0,
            (None, false) => s.slow_start_min_capacity,
        };
        match self.listed.len() {
            0 => 0.0,
            listed => (self.listed.iter().map(part).sum::<f64>() / listed as f64).min(1.0),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        Settings {
            expected_nodes: 1,
            peers: false,
            peers_queried: 1,
            answer_timeout: 1,
            query_rounds: 1,
            max_slow_start: 10_000_000,
            slow_start_min_capacity: 0.25,
            slow_start_duration: 8_000_000,
            requests_per_second_per_engine: 1.0,
            uncached_capacity_fraction: 1.0,
            max_retry_after: 0,
            classes: Vec::new(),
        }
    }

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
        let s = settings();
        let engine = |n: usize| EngineId(format!("e{n}").as_str().into());
        let mut capacity = Capacity::default();
        assert_eq!(capacity.warm_part(0, &s), 0.0, "no list");
        capacity.listed((0..4).map(engine).collect::<Vec<_>>().iter());
        assert_eq!(capacity.warm_part(0, &s), 0.25, "untried ones are cold");
        (0..4).for_each(|n| capacity.lost(500_000, &engine(n)));
        assert_eq!(capacity.warm_part(0, &s), 0.0);
        capacity.heard(1_000_000, &engine(0));
        capacity.heard(5_000_000, &engine(0));
        assert_eq!(
            capacity.warm_part(9_000_000, &s),
            0.25,
            "one of four is warm, by when it was first heard"
        );
        capacity.lost(9_000_000, &engine(0));
        capacity.heard(9_000_000, &engine(0));
        assert_eq!(capacity.warm_part(9_000_000, &s), 0.0625, "and cold again after it was lost");
    }

    /// Guards against a large fleet that takes itself for cold, as each node has met few engines, and against
    /// word of before a restart: what a node lost itself is younger than that.
    #[test]
    fn what_others_have_heard_counts_from_then_on_unless_it_was_lost_since() {
        let s = settings();
        let engines: Vec<EngineId> = (0..200).map(|n| EngineId(format!("e{n}").as_str().into())).collect();
        let all = || {
            let mut capacity = Capacity::default();
            capacity.listed(engines.iter());
            capacity
        };
        let (mut teller, mut node) = (all(), all());
        engines.iter().for_each(|e| teller.heard(1_000_000, e));
        assert!(teller.tell(2_000_000).len() <= MAX_TOLD);
        // One engine was lost here after the other node had heard it.
        node.lost(3_000_000, &engines[7]);
        for second in 4..9 {
            let now = second * 1_000_000;
            node.told(now + 30_000, &teller.tell(now));
        }
        assert_eq!(node.count(), (199, 200));
        let part = node.warm_part(9_000_000, &s);
        // All others are warm but for the 30 ms that the words took.
        assert!((0.99..0.995).contains(&part), "{part}");
        // Heard again it is as young as that, whatever is told of its life before.
        node.heard(9_000_000, &engines[7]);
        (9..15).for_each(|second| node.told(second * 1_000_000, &teller.tell(second * 1_000_000)));
        assert!(node.warm_part(9_000_000, &s) < 0.9975);
        // And of engines that no list names nothing is believed.
        node.told(9_000_000, &[u64::MAX]);
        assert_eq!(node.count(), (200, 200));
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

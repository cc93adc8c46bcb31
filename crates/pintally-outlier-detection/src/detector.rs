//! Reports of all nodes, merged.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::evidence::{FaultScope, Word};
use crate::observer::Fault;
use crate::recovery_ramp::{Step, WayBack};
use crate::report::OutlierReport;
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// Whoever clears an engine weighs as much as so many that accuse it.
const CLEAR_WEIGHS: usize = 4;
/// From this part of the engines of a kind on, lateness is overload and nobody's sickness.
const OVERLOAD: f64 = 0.34;
/// Reports of so many nodes are kept.
const MAX_NODES: usize = 4096;

/// A node that reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// An engine of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEngine {
    /// Its name.
    pub name: String,
    /// Its kind: engines of a kind are alike.
    pub kind: String,
}

/// What is believed of one engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Its name.
    pub engine: String,
    /// What it does.
    pub fault: Option<&'static str>,
    /// How far that reaches; none if it is on its way back and nobody accuses it now.
    pub reach: Option<FaultScope>,
    /// Who says so.
    pub accusers: Vec<String>,
    /// Who says otherwise.
    pub clear: Vec<String>,
    /// `rests`, `on trial`, `a quarter` or `back`, if it was held back.
    pub step: Option<&'static str>,
    /// Whether this node sends nothing to it.
    pub held_back: bool,
    /// How old the step is, in milliseconds.
    pub for_ms: u64,
}

/// What is believed as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Engines that anybody accuses, or that are on their way back.
    pub engines: Vec<EngineStatus>,
    /// Nodes whose failures tell of themselves.
    pub unsound: Vec<String>,
    /// Zones that cannot reach others: whose nodes, and where to, as the number of the engines' zone.
    pub cut: Vec<(String, u32)>,
    /// Engine-seconds for which engines were held back at this node.
    pub held_s: f64,
    /// How often an engine was held back anew.
    pub verdicts: u64,
}

#[derive(Clone, Debug)]
struct Told {
    zone: String,
    at: Micros,
    words: BTreeMap<EngineIncarnation, Word>,
    zones: Vec<(u32, u8, u8)>,
}

/// All reports, and what follows from them.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: Settings,
    me: Node,
    told: BTreeMap<String, Told>,
    engines: BTreeMap<EngineIncarnation, (ListedEngine, u32)>,
    here: Vec<Node>,
    back: BTreeMap<EngineIncarnation, WayBack>,
    held: BTreeSet<EngineIncarnation>,
    /// What was cleared by people, and when: older words do not count.
    cleared: BTreeMap<EngineIncarnation, Micros>,
    looked: Micros,
    held_s: f64,
    verdicts: u64,
}

impl OutlierDetector {
    /// A node that has heard nothing.
    pub fn new(settings: Settings, me: Node) -> OutlierDetector {
        OutlierDetector {
            settings,
            here: vec![me.clone()],
            me,
            told: BTreeMap::new(),
            engines: BTreeMap::new(),
            back: BTreeMap::new(),
            held: BTreeSet::new(),
            cleared: BTreeMap::new(),
            looked: 0,
            held_s: 0.0,
            verdicts: 0,
        }
    }

    /// The engines that take work, with the number that stands for their zone. Whatever is known of
    /// others, or of former lives, is dropped.
    pub fn set_endpoints(&mut self, engines: BTreeMap<EngineIncarnation, (ListedEngine, u32)>) {
        self.engines = engines;
        let known = &self.engines;
        self.back.retain(|e, _| known.contains_key(e));
        self.cleared.retain(|e, _| known.contains_key(e));
        self.held.retain(|e| known.contains_key(e));
    }

    /// The nodes that are here, this one among them or not.
    pub fn set_peers(&mut self, mut here: Vec<Node>) {
        if !here.iter().any(|n| n.name == self.me.name) {
            here.push(self.me.clone());
        }
        here.sort_by(|a, b| a.name.cmp(&b.name));
        self.here = here;
    }

    /// A node's report has come.
    pub fn receive_report(&mut self, now: Micros, from: &Node, report: &OutlierReport) {
        if self.told.len() >= MAX_NODES && !self.told.contains_key(&from.name) {
            return;
        }
        let words = report.seen.iter().map(|s| (s.engine, Word::told(now, s))).collect();
        let told = Told { zone: from.zone.clone(), at: now, words, zones: report.zones.clone() };
        self.told.insert(from.name.clone(), told);
    }

    /// People say that an engine is well: what was said of it so far does not count any more.
    pub fn clear(&mut self, now: Micros, engine: EngineIncarnation) {
        self.cleared.insert(engine, now);
        self.back.remove(&engine);
        self.held.remove(&engine);
    }

    /// The life of an engine that is listed by this name.
    pub fn incarnation(&self, name: &str) -> Option<EngineIncarnation> {
        self.engines.iter().find(|(_, (l, _))| l.name == name).map(|(life, _)| *life)
    }

    /// Engines that somebody accuses: what this node saw of them others want to know.
    pub fn reported_engines(&self, now: Micros) -> BTreeSet<EngineIncarnation> {
        let words = self.told.values().flat_map(|t| &t.words);
        let accused = words.filter(|(_, w)| w.accuses(now, &self.settings)).map(|(e, _)| *e);
        accused.chain(self.back.keys().copied()).collect()
    }

    /// Weighs everything anew; the engines to which this node sends nothing.
    pub fn tick(&mut self, now: Micros) -> &BTreeSet<EngineIncarnation> {
        let span = if self.looked == 0 { 0 } else { now.saturating_sub(self.looked) };
        self.looked = now;
        self.held_s += self.held.len() as f64 * span as f64 / 1e6;
        let memory = self.settings.evidence_retention;
        self.told.retain(|_, t| now.saturating_sub(t.at) <= 2 * memory);
        let unsound = self.unsound();
        let mut sick = BTreeMap::new();
        // Nothing is to be weighed of the others: in calm this is nobody.
        for engine in self.reported_engines(now).iter().filter(|e| self.engines.contains_key(e)) {
            let (accusers, clear) = self.heard(now, *engine, 0, &unsound);
            let reach = self.reach(&accusers, &clear);
            // For whom it works, while it fails others, it goes on by its own evidence.
            let own = clear.contains(&self.me.name);
            if !own && reach.as_ref().is_some_and(|r| self.concerns(r)) {
                sick.insert(*engine, accusers.iter().any(|(_, w)| Fault::of(w.fault) == Some(Fault::Late)));
            }
        }
        self.spare_the_overloaded(&mut sick);
        for engine in sick.keys() {
            if !self.back.contains_key(engine) {
                self.verdicts += 1;
                self.back.insert(*engine, WayBack::new(now, &self.settings));
            }
        }
        let words: Vec<(EngineIncarnation, bool, bool)> = self
            .back
            .iter()
            .map(|(engine, way)| {
                let (accusers, clear) = self.heard(now, *engine, way.since, &unsound);
                (*engine, !accusers.is_empty(), !clear.is_empty())
            })
            .collect();
        for (engine, accused, cleared) in words {
            let settings = self.settings;
            if let Some(way) = self.back.get_mut(&engine) {
                if way.hear(now, accused, cleared, &settings) {
                    self.back.remove(&engine);
                }
            }
        }
        self.hold();
        &self.held
    }

    /// Nodes of which most of what they use fails: they tell of themselves.
    fn unsound(&self) -> BTreeSet<String> {
        let own = |t: &Told| {
            let (used, failing) =
                t.zones.iter().fold((0u32, 0u32), |s, z| (s.0 + u32::from(z.1), s.1 + u32::from(z.2)));
            used >= 3 && f64::from(failing) >= self.settings.self_doubt_fraction * f64::from(used)
        };
        self.told.iter().filter(|(_, t)| own(t)).map(|(name, _)| name.clone()).collect()
    }

    /// Whether a node cannot reach a zone as a whole: then it says nothing of one engine there.
    fn cut_from(&self, told: &Told, zone: u32) -> bool {
        let there = told.zones.iter().find(|z| z.0 == zone);
        there.is_some_and(|(_, used, failing)| {
            *used >= 3 && f64::from(*failing) >= self.settings.self_doubt_fraction * f64::from(*used)
        })
    }

    /// Who accuses an engine, and who clears it, by words later than a time.
    fn heard(
        &self,
        now: Micros,
        engine: EngineIncarnation,
        after: Micros,
        unsound: &BTreeSet<String>,
    ) -> (Vec<(String, Word)>, Vec<String>) {
        let zone = self.engines.get(&engine).map_or(0, |(_, zone)| *zone);
        let after = after.max(self.cleared.get(&engine).copied().unwrap_or(0));
        let (mut accusers, mut clear) = (Vec::new(), Vec::new());
        for (name, told) in &self.told {
            let Some(word) = told.words.get(&engine) else { continue };
            let sound = !unsound.contains(name) && !self.cut_from(told, zone);
            if sound && word.accuses(now, &self.settings) && word.bad_at > after {
                accusers.push((name.clone(), *word));
            }
        }
        // Who saw it work before it failed the others says nothing for it.
        let failed = accusers.iter().map(|(_, w)| w.bad_at).min().unwrap_or(0).max(after);
        for (name, told) in &self.told {
            let word = told.words.get(&engine).filter(|w| w.clears(now, &self.settings));
            clear.extend(word.filter(|w| w.good_at > failed).map(|_| name.clone()));
        }
        (accusers, clear)
    }

    /// How far what is said reaches; none if it is too little.
    fn reach(&self, accusers: &[(String, Word)], clear: &[String]) -> Option<FaultScope> {
        let needed = if self.here.len() < 3 { 1 } else { self.settings.min_reporters };
        if accusers.is_empty() {
            return None;
        }
        let enough = |accusers: usize, clear: usize| accusers >= needed && accusers >= CLEAR_WEIGHS * clear;
        if enough(accusers.len(), clear.len()) {
            return Some(FaultScope::Everyone);
        }
        let zone_of = |name: &str| self.told.get(name).map_or("", |t| t.zone.as_str());
        let zones: BTreeSet<&str> = accusers.iter().map(|(n, _)| zone_of(n)).collect();
        for zone in zones {
            let there = accusers.iter().filter(|(n, _)| zone_of(n) == zone).count();
            let against = clear.iter().filter(|n| zone_of(n) == zone).count();
            if enough(there, against) {
                return Some(FaultScope::Zone(zone.to_string()));
            }
        }
        Some(FaultScope::Link)
    }

    /// Whether it is a reason for this node to hold an engine back. Its own link it judges by itself.
    fn concerns(&self, reach: &FaultScope) -> bool {
        match reach {
            FaultScope::Everyone => true,
            FaultScope::Zone(zone) => *zone == self.me.zone,
            FaultScope::Link => false,
        }
    }

    /// What is late everywhere is overloaded: no verdict on any of those.
    fn spare_the_overloaded(&self, sick: &mut BTreeMap<EngineIncarnation, bool>) {
        let mut kinds: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (engine, (listed, _)) in &self.engines {
            let count = kinds.entry(&listed.kind).or_default();
            count.0 += 1;
            count.1 += usize::from(sick.get(engine) == Some(&true));
        }
        let kind = |e: &EngineIncarnation| self.engines.get(e).map_or("", |(l, _)| l.kind.as_str());
        sick.retain(|engine, late| {
            let (all, lates) = kinds.get(kind(engine)).copied().unwrap_or((1, 0));
            !*late || (lates as f64) < OVERLOAD * all as f64
        });
    }

    /// Which engines this node holds back: by its turn, and never too many of a kind.
    fn hold(&mut self) {
        let mut wanted: Vec<(Micros, EngineIncarnation)> = Vec::new();
        for (engine, way) in &self.back {
            if self.turn(*engine) >= way.lets_in(self.here.len()) {
                wanted.push((way.since, *engine));
            }
        }
        wanted.sort_unstable();
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        for (listed, _) in self.engines.values() {
            *kinds.entry(&listed.kind).or_default() += 1;
        }
        let mut room: BTreeMap<&str, usize> = kinds
            .into_iter()
            .map(|(k, n)| (k, (n as f64 * self.settings.max_ejection_fraction) as usize))
            .collect();
        let mut held = BTreeSet::new();
        for (_, engine) in wanted {
            let kind = self.engines.get(&engine).map_or("", |(l, _)| l.kind.as_str());
            if let Some(left) = room.get_mut(kind).filter(|left| **left > 0) {
                *left -= 1;
                held.insert(engine);
            }
        }
        self.held = held;
    }

    /// This node's turn at an engine: all nodes work out the same order, another for each engine.
    fn turn(&self, engine: EngineIncarnation) -> usize {
        let rank = |name: &str| {
            let mut bytes = engine.0.to_le_bytes().to_vec();
            bytes.extend_from_slice(name.as_bytes());
            xxh3_64(&bytes)
        };
        let own = rank(&self.me.name);
        self.here.iter().filter(|n| rank(&n.name) < own).count()
    }

    /// What is believed, for people.
    pub fn status(&self, now: Micros) -> Status {
        let unsound = self.unsound();
        let mut status = Status { held_s: self.held_s, verdicts: self.verdicts, ..Status::default() };
        for engine in &self.reported_engines(now) {
            let Some((listed, _)) = self.engines.get(engine) else { continue };
            let (accusers, clear) = self.heard(now, *engine, 0, &unsound);
            let way = self.back.get(engine);
            if accusers.is_empty() && way.is_none() {
                continue;
            }
            let last = accusers.iter().max_by_key(|(_, w)| w.bad_at);
            status.engines.push(EngineStatus {
                engine: listed.name.clone(),
                fault: last.and_then(|(_, w)| Fault::of(w.fault)).map(Fault::word),
                reach: self.reach(&accusers, &clear),
                accusers: accusers.iter().map(|(n, _)| n.clone()).collect(),
                clear,
                step: way.map(|w| match w.step {
                    Step::Rests => "rests",
                    Step::Trial => "on trial",
                    Step::Quarter => "a quarter",
                    Step::Back => "back",
                }),
                held_back: self.held.contains(engine),
                for_ms: way.map_or(0, |w| now.saturating_sub(w.since) / 1000),
            });
        }
        let mut cut = BTreeSet::new();
        for told in self.told.values() {
            for (zone, ..) in &told.zones {
                if self.cut_from(told, *zone) {
                    cut.insert((told.zone.clone(), *zone));
                }
            }
        }
        status.cut = cut.into_iter().collect();
        status.unsound = unsound.into_iter().collect();
        status
    }
}

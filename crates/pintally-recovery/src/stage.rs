//! The stages from a start to full service.

use std::collections::{BTreeMap, BTreeSet};

use pintally::interface::{EngineId, Micros};
use serde::{Deserialize, Serialize};

use crate::capacity::{share, Capacity, Fleet};
use crate::gate::{Admission, AdmissionPlan, Gate};
use crate::settings::Settings;
use crate::status::Status;

/// How often the rate is found anew in the careful stage.
const REPLAN: Micros = 250_000;
/// How often somebody is asked again there whether the fleet serves.
const ASK_AGAIN: Micros = 1_000_000;
/// While no engine can be reached so much of what they can do cold is tried all the same, since nobody
/// is heard who is not asked.
const UNHEARD: f64 = 0.25;

/// Where a node stands on its way to full service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The disk is asked.
    Reading,
    /// Peers are asked.
    Asking,
    /// The fleet is cold: so much is let in as it can carry.
    Careful,
    /// Everybody is let in.
    Serving,
}

/// What a peer says when it is asked. It answers in every stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The stage it is in.
    pub stage: Stage,
    /// The version of its list, and what stands for its text.
    pub list: Option<(u64, u32)>,
    /// Requests a second that the whole fleet carried, as it remembers; 0 if it does not.
    pub carried: f64,
    /// Some engines that have answered it or others, by what stands for them, and how long ago; empty in full
    /// service.
    pub heard: Vec<u64>,
}

/// What the disk remembers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RememberedState {
    /// Requests a second that the whole fleet carried; 0 if nothing is known.
    pub carried: f64,
    /// What is lacking, in words.
    pub issues: Vec<String>,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The disk has told, or is given up on.
    StateLoaded(RememberedState),
    /// So many nodes are here, this one included, and these may be asked, by number.
    Peers(usize, Vec<u64>),
    /// Somebody has answered.
    PeerAnswered(u64, Answer),
    /// The list holds these engines that take work; whether it came from its source in this life.
    EndpointsListed(Vec<EngineId>, bool),
    /// An engine has answered.
    EngineAnswered(EngineId),
    /// An engine could not be reached, or is gone.
    EngineUnreachable(EngineId),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Ask this peer.
    QueryPeer(u64),
    /// A stage has begun.
    Stage(Stage),
    /// The whole fleet has lost its power: engines count as cold, and as holding no texts, from now on.
    TreatEnginesAsCold,
}

/// A node's way back to full service.
#[derive(Clone, Debug)]
pub struct Recovery {
    settings: Settings,
    stage: Stage,
    since: Micros,
    memory: RememberedState,
    fleet: Fleet,
    known: Vec<u64>,
    /// Peers asked in this round and not heard, and all that were asked.
    open: BTreeSet<u64>,
    asked: BTreeSet<u64>,
    round: u32,
    due: Micros,
    answers: BTreeMap<u64, Answer>,
    capacity: Capacity,
    /// The list came from its source in this life, or a peer that serves holds the same.
    list_sound: bool,
    lost_power: Option<bool>,
    gate: Gate,
    next_ask: Micros,
}

impl Recovery {
    /// A node that has just started. Its disk is given `read_within` to tell.
    pub fn new(settings: Settings, now: Micros, read_within: Micros) -> Recovery {
        let gate = Gate::new(&settings.classes, settings.max_retry_after);
        let fleet = Fleet { here: 1, expected: settings.expected_nodes };
        Recovery {
            stage: Stage::Reading,
            since: now,
            memory: RememberedState::default(),
            fleet,
            known: Vec::new(),
            open: BTreeSet::new(),
            asked: BTreeSet::new(),
            round: 0,
            due: now + read_within,
            answers: BTreeMap::new(),
            capacity: Capacity::default(),
            list_sound: false,
            lost_power: None,
            gate,
            next_ask: now,
            settings,
        }
    }

    /// The stage it is in.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The gate, as it stands.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// When [`Recovery::tick`] has something to do; never in full service.
    pub fn next_wake(&self) -> Option<Micros> {
        (self.stage != Stage::Serving).then_some(self.due)
    }

    /// The longest time until some requests are let in, whatever is silent: the disk's time and that
    /// of the peers asked.
    pub fn first_within(&self, read_within: Micros) -> Micros {
        read_within + self.settings.asking_most()
    }

    /// What it says when it is asked.
    pub fn answer(&self, now: Micros, list: Option<(u64, u32)>) -> Answer {
        Answer {
            stage: self.stage,
            list,
            carried: self.carried(),
            heard: match self.stage {
                Stage::Serving => Vec::new(),
                _ => self.capacity.tell(now),
            },
        }
    }

    /// Whether a request is let in.
    pub fn admit(&mut self, now: Micros, class: Option<usize>) -> Admission {
        self.gate.ask(now, class)
    }

    /// Takes something in.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::StateLoaded(memory) => {
                // What comes after its time is still better than nothing.
                self.memory = memory;
                if self.stage == Stage::Reading {
                    self.begin_asking(now, out);
                }
            }
            Input::Peers(here, known) => {
                self.fleet.here = here.max(1);
                self.known = known;
                // Whoever is heard of late in a round is asked in it, and the round grows no longer.
                if self.stage == Stage::Asking && self.asked.is_empty() {
                    self.ask_some(out);
                }
            }
            Input::PeerAnswered(peer, answer) => {
                self.open.remove(&peer);
                self.capacity.told(now, &answer.heard);
                self.answers.insert(peer, answer);
                self.judge(now, out);
            }
            Input::EndpointsListed(engines, sound) => {
                self.capacity.listed(engines.iter());
                self.list_sound |= sound;
            }
            Input::EngineAnswered(engine) => self.capacity.heard(now, &engine),
            Input::EngineUnreachable(engine) => self.capacity.lost(now, &engine),
        }
        self.replan(now);
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.due {
            return;
        }
        match self.stage {
            Stage::Reading => {
                self.memory.issues.push("the disk did not tell in time".into());
                self.begin_asking(now, out);
            }
            Stage::Asking if self.round < self.settings.query_rounds => self.ask_more(now, out),
            Stage::Asking => self.begin_careful(now, out),
            Stage::Careful => {
                self.due = now + REPLAN;
                if now >= self.next_ask && self.settings.peers {
                    self.next_ask = now + ASK_AGAIN;
                    // One at a time, each in turn: a fleet that recovers is not flooded with questions.
                    let turn = (now / ASK_AGAIN) as usize % self.known.len().max(1);
                    out.extend(self.known.get(turn).map(|peer| Output::QueryPeer(*peer)));
                }
                let warm = self.capacity.warm_part(now, &self.settings) >= 1.0;
                if warm || now >= self.since + self.settings.max_slow_start {
                    self.enter(now, Stage::Serving, out);
                }
            }
            Stage::Serving => {}
        }
        self.replan(now);
    }

    fn enter(&mut self, now: Micros, stage: Stage, out: &mut Vec<Output>) {
        (self.stage, self.since) = (stage, now);
        out.push(Output::Stage(stage));
    }

    fn begin_asking(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !self.settings.peers {
            // Nobody can tell whether others went on: as if all had lost their power.
            return self.begin_careful(now, out);
        }
        self.enter(now, Stage::Asking, out);
        self.ask_more(now, out);
    }

    /// The next round: peers that were not asked yet, or the wait for somebody to be heard of.
    fn ask_more(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.round += 1;
        self.due = now + self.settings.answer_timeout;
        self.ask_some(out);
    }

    fn ask_some(&mut self, out: &mut Vec<Output>) {
        let fresh = self.known.iter().filter(|p| !self.asked.contains(p));
        self.open = fresh.take(self.settings.peers_queried).copied().collect();
        self.asked.extend(&self.open);
        out.extend(self.open.iter().map(|peer| Output::QueryPeer(*peer)));
    }

    /// A peer that serves says that the fleet is not cold: either it never lost its power, or it is over.
    fn judge(&mut self, now: Micros, out: &mut Vec<Output>) {
        let serves = self.answers.values().any(|a| a.stage == Stage::Serving);
        match self.stage {
            Stage::Asking if serves => {
                self.lost_power = Some(false);
                self.enter(now, Stage::Serving, out);
            }
            Stage::Asking
                if self.open.is_empty()
                    && self.answers.len() >= self.settings.peers_queried.min(self.known.len()) =>
            {
                self.begin_careful(now, out);
            }
            Stage::Careful if serves => self.enter(now, Stage::Serving, out),
            _ => {}
        }
    }

    fn begin_careful(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.lost_power = Some(true);
        self.enter(now, Stage::Careful, out);
        out.push(Output::TreatEnginesAsCold);
        self.due = now + REPLAN;
        self.next_ask = now + ASK_AGAIN;
        self.replan(now);
    }

    /// What the fleet carried, by the best memory that anybody has; none may be trusted alone, so the
    /// middle one of those told counts.
    fn carried(&self) -> f64 {
        let mut told: Vec<f64> = self.answers.values().map(|a| a.carried).filter(|c| *c > 0.0).collect();
        told.extend(Some(self.memory.carried).filter(|c| *c > 0.0));
        told.retain(|c| c.is_finite());
        told.sort_by(f64::total_cmp);
        match told.is_empty() {
            true => 0.0,
            false => told[(told.len() - 1) / 2],
        }
    }

    fn replan(&mut self, now: Micros) {
        let plan = match self.stage {
            Stage::Serving => AdmissionPlan { max_rate: None, once: true },
            Stage::Careful => AdmissionPlan { max_rate: Some(self.rate(now)), once: self.list_sound },
            Stage::Reading | Stage::Asking => AdmissionPlan { max_rate: Some(0.0), once: false },
        };
        if plan != self.gate.plan() {
            self.gate.set(now, plan);
        }
    }

    /// Requests a second for this node: what the fleet carried, times the part that its engines can do,
    /// times what engines without texts do, times this node's part of the fleet.
    fn rate(&self, now: Micros) -> f64 {
        let s = &self.settings;
        let (_, listed) = self.capacity.count();
        let whole = match self.carried() {
            0.0 => s.requests_per_second_per_engine * listed as f64,
            carried => carried,
        };
        let warm = self.capacity.warm_part(now, s).clamp(s.slow_start_min_capacity * UNHEARD, 1.0);
        let age = now.saturating_sub(self.since) as f64 / s.max_slow_start.max(1) as f64;
        let texts = s.uncached_capacity_fraction + (1.0 - s.uncached_capacity_fraction) * age.min(1.0);
        whole * warm * texts * share(self.fleet)
    }

    /// What it tells people.
    pub fn status(&self, now: Micros) -> Status {
        let waits_for = match self.stage {
            Stage::Reading => "its disk".to_string(),
            Stage::Asking => format!("answers of {} peers", self.open.len()),
            Stage::Careful => {
                let (heard, listed) = self.capacity.count();
                format!("engines to be warm: {heard} of {listed} have answered")
            }
            Stage::Serving => String::new(),
        };
        let (admitted, told_when, told_nothing) = self.gate.counts;
        Status {
            stage: self.stage,
            for_ms: now.saturating_sub(self.since) / 1000,
            waits_for,
            issues: self.memory.issues.clone(),
            fleet_lost_power: self.lost_power,
            here: self.fleet.here,
            expected: self.fleet.expected,
            engines: self.capacity.count(),
            rate: self.gate.plan().max_rate,
            admitted,
            told_when,
            told_nothing,
        }
    }
}

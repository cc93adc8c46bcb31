//! Ejected engines: their recovery ramps, and the bound on how many of them this node ejects at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoints::{Endpoints, Peers};
use crate::recovery_ramp::{RampEvidence, RampProgress, RecoveryRamp};
use crate::settings::Settings;
use crate::{EngineIncarnation, Micros};

/// Ejected and recovering engines, with totals for the status document.
#[derive(Clone, Debug)]
pub(crate) struct Ejections {
    settings: Settings,
    ramps: BTreeMap<EngineIncarnation, RecoveryRamp>,
    ejected: BTreeSet<EngineIncarnation>,
    /// Time up to which `total_ejection_seconds` is accounted; 0 before the first evaluation.
    accounted_until: Micros,
    /// Engine-seconds of ejection at this node.
    pub(crate) total_ejection_seconds: f64,
    /// How often an engine was ejected, without repeated ejections during a recovery.
    pub(crate) total_ejections: u64,
}

impl Ejections {
    pub(crate) fn new(settings: Settings) -> Ejections {
        Ejections {
            settings,
            ramps: BTreeMap::new(),
            ejected: BTreeSet::new(),
            accounted_until: 0,
            total_ejection_seconds: 0.0,
            total_ejections: 0,
        }
    }

    /// Engines that this node does not use now.
    pub(crate) fn ejected(&self) -> &BTreeSet<EngineIncarnation> {
        &self.ejected
    }

    /// All ejected and recovering engines.
    pub(crate) fn ramps(&self) -> &BTreeMap<EngineIncarnation, RecoveryRamp> {
        &self.ramps
    }

    /// Forgets engines that are no longer listed.
    pub(crate) fn retain_listed(&mut self, endpoints: &Endpoints) {
        self.ramps.retain(|engine, _| endpoints.contains(engine));
        self.ejected.retain(|engine| endpoints.contains(engine));
    }

    /// Ends an engine's ejection and forgets it.
    pub(crate) fn remove(&mut self, engine: EngineIncarnation) {
        self.ramps.remove(&engine);
        self.ejected.remove(&engine);
    }

    /// Adds the time since the last call to the total ejection time.
    pub(crate) fn add_elapsed_time(&mut self, now: Micros) {
        let elapsed = if self.accounted_until == 0 { 0 } else { now.saturating_sub(self.accounted_until) };
        self.accounted_until = now;
        self.total_ejection_seconds += self.ejected.len() as f64 * elapsed as f64 / 1e6;
    }

    /// Ejects an engine, unless it is ejected or recovering already.
    pub(crate) fn eject(&mut self, now: Micros, engine: EngineIncarnation) {
        if !self.ramps.contains_key(&engine) {
            self.total_ejections += 1;
            self.ramps.insert(engine, RecoveryRamp::new(now, &self.settings));
        }
    }

    /// Advances an engine's recovery ramp.
    pub(crate) fn advance(&mut self, now: Micros, engine: EngineIncarnation, evidence: RampEvidence) {
        let Some(ramp) = self.ramps.get_mut(&engine) else { return };
        if ramp.advance(now, evidence, &self.settings) == RampProgress::Forgotten {
            self.ramps.remove(&engine);
        }
    }

    /// Recomputes which engines this node does not use: those whose ramp does not admit this node yet, but at
    /// most `max_ejection_fraction` of the engines of each kind. Engines that entered their step first take
    /// precedence.
    pub(crate) fn select(&mut self, peers: &Peers, endpoints: &Endpoints) {
        let mut candidates: Vec<(Micros, EngineIncarnation)> = self
            .ramps
            .iter()
            .filter(|(engine, ramp)| peers.local_rank(**engine) >= ramp.admitted_nodes(peers.count()))
            .map(|(engine, ramp)| (ramp.since, *engine))
            .collect();
        candidates.sort_unstable();
        let mut remaining_by_kind = self.max_ejected_by_kind(endpoints);
        self.ejected = BTreeSet::new();
        for (_, engine) in candidates {
            let Some(remaining) = remaining_by_kind.get_mut(endpoints.kind(&engine)) else { continue };
            if *remaining > 0 {
                *remaining -= 1;
                self.ejected.insert(engine);
            }
        }
    }

    fn max_ejected_by_kind<'a>(&self, endpoints: &'a Endpoints) -> BTreeMap<&'a str, usize> {
        let mut engines: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, kind) in endpoints.kinds() {
            *engines.entry(kind).or_default() += 1;
        }
        let fraction = self.settings.max_ejection_fraction;
        engines.into_iter().map(|(kind, count)| (kind, (count as f64 * fraction) as usize)).collect()
    }
}

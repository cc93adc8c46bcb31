//! The way back of one engine: rest, one trial for the fleet, a quarter of the nodes, everyone.

use crate::settings::Settings;
use crate::Micros;

/// Where an engine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Nobody sends to it.
    Rests,
    /// One node tries it.
    Trial,
    /// A quarter of the nodes do.
    Quarter,
    /// Everyone may; it is remembered that it failed.
    Back,
}

/// An engine that was held back, from its verdict until it is forgotten.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WayBack {
    pub(crate) step: Step,
    /// Since when it is at this step.
    pub(crate) since: Micros,
    /// How long it rests.
    pub(crate) rest: Micros,
}

impl WayBack {
    pub(crate) fn new(now: Micros, settings: &Settings) -> WayBack {
        WayBack { step: Step::Rests, since: now, rest: settings.base_ejection_time }
    }

    /// Word of it since the step began: fresh failures, or a success. Whether it is forgotten.
    pub(crate) fn hear(&mut self, now: Micros, accused: bool, cleared: bool, settings: &Settings) -> bool {
        let (at, go) = (now.saturating_sub(self.since), |step| WayBack { step, since: now, rest: self.rest });
        *self = match self.step {
            Step::Rests if at >= self.rest => go(Step::Trial),
            Step::Rests => *self,
            _ if accused => {
                let rest = (2 * self.rest).min(settings.max_ejection_time);
                WayBack { step: Step::Rests, since: now, rest }
            }
            // Where nobody has had anything to send to it, the next node has its turn, and in the end
            // the verdict dies by itself.
            Step::Trial if cleared || at >= 2 * self.rest => go(Step::Quarter),
            Step::Quarter if at >= settings.ramp_step => go(Step::Back),
            Step::Back if at >= settings.max_ejection_time => return true,
            _ => *self,
        };
        false
    }

    /// Of so many nodes, those whose turn comes before this number may send to it.
    pub(crate) fn lets_in(&self, nodes: usize) -> usize {
        match self.step {
            Step::Rests => 0,
            Step::Trial => 1,
            Step::Quarter => nodes.div_ceil(4),
            Step::Back => nodes,
        }
    }
}

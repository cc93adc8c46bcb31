//! The figures of verdicts.

use pintally_validation::{ensure, InvalidConfiguration};

use crate::Micros;

/// The figures of verdicts. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Evidence counts for so long.
    pub memory: Micros,
    /// A node accuses after so many failures that no success has followed.
    pub strikes: u32,
    /// So many sound nodes must accuse; in a fleet of one or two, one.
    pub accusers: usize,
    /// An engine that is held back rests for so long before its trial; doubled each time it fails again.
    pub rest: Micros,
    /// And no longer than this.
    pub rest_most: Micros,
    /// How long a step of the way back lasts.
    pub step: Micros,
    /// Of the engines of one kind no more than this part is held back at once.
    pub most: f64,
    /// From this part of the engines that a node uses on, its failures tell of itself.
    pub own: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            memory: 5_000_000,
            strikes: 2,
            accusers: 2,
            rest: 1_000_000,
            rest_most: 16_000_000,
            step: 1_000_000,
            most: 0.5,
            own: 0.5,
        }
    }
}

impl Settings {
    /// Checks that the figures go together.
    pub fn check(&self) -> Result<(), InvalidConfiguration> {
        ensure(self.strikes != 0, "no failure at all accuses an engine")?;
        ensure(self.accusers != 0, "nobody needs to accuse an engine")?;
        ensure(self.memory >= 2 * self.step, "evidence is forgotten within a step of the way back")?;
        ensure(self.rest != 0 && self.rest <= self.rest_most, "the rest is nothing, or over its most")?;
        ensure((0.0..=0.9).contains(&self.most), "nearly all engines of a kind could be held back")?;
        ensure((0.1..=1.0).contains(&self.own), "one failure would tell of the node itself")
    }

    /// Failed attempts that the whole fleet pays until an engine is held back, beside what is sent while
    /// the reports are on their way.
    pub fn price(&self) -> u32 {
        self.strikes * self.accusers as u32
    }

    /// The longest time for which a verdict outlives all evidence: nobody tries the engine, and it comes
    /// back by itself.
    pub fn max_ejection_time(&self) -> Micros {
        self.memory + 2 * self.rest_most + 2 * self.step
    }
}

//! Nodes that act together: `(peers ...)` and `(recovery ...)`. Without them a node knows no other.

use std::fmt;
use std::net::SocketAddr;

use pintally::interface::Micros;

use crate::form::{quoted, Form};
use crate::{ConfigError, NodeSettings};

const LOST: &str = "no request is lost";
const COLD: &str = "a cold engine is not pushed over";

/// The kinds of disks that lie, which days and tests name.
pub const STORAGE_FAULTS: [&str; 8] =
    ["lost-syncs", "torn-write", "flipped-bit", "older-image", "full", "read-only", "slow", "read-errors"];

/// What a node is told of its peers. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The fleet's name.
    pub fleet: String,
    /// Where peers reach this node, over UDP and TCP.
    pub listen: SocketAddr,
    /// Where some of them are.
    pub seeds: Vec<SocketAddr>,
    /// Peers that are reached from here otherwise than they say.
    pub reach: Vec<(String, SocketAddr)>,
    /// Between two probes.
    pub period: Micros,
    /// For a direct answer.
    pub answer: Micros,
    /// Helpers of a probe that is not answered.
    pub indirect: usize,
    /// Periods that a suspicion lasts, times the logarithm of the fleet's size.
    pub suspicion: f64,
    /// Between two comparisons of what is known.
    pub repair: Micros,
    /// What is said of the dead is kept for so long.
    pub forget: Micros,
}

/// How a node comes back after a start. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoverySettings {
    /// The folder in which it keeps its state; none keeps nothing.
    pub store: Option<String>,
    /// Between two commits: what a power loss may cost.
    pub commit_interval: Micros,
    /// The disk is waited for so long at the start.
    pub read_within: Micros,
    /// And a round of answers of peers.
    pub answer_within: Micros,
    /// Rounds of questions.
    pub rounds: u32,
    /// Peers asked in a round.
    pub peers_queried: usize,
    /// The careful stage ends after this time at the latest.
    pub max_slow_start: Micros,
    /// Requests a second that a warm engine carries, where nothing is remembered.
    pub requests_per_second_per_engine: f64,
    /// The part of that which it carries without texts.
    pub uncached_capacity_fraction: f64,
    /// So long behind a peer's death two others let go of what it held; 0 for never.
    pub inherit_after: Micros,
    /// A disk that lies, by name and seed: for days and tests only.
    pub storage_fault: Option<(String, u64)>,
}

impl fmt::Display for MembershipSettings {
    /// The form that reads back as these settings.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |span: Micros| span as f64 / 1e3;
        write!(f, "(peers (fleet {}) (listen \"{}\")", quoted(&self.fleet), self.listen)?;
        self.seeds.iter().try_for_each(|seed| write!(f, " (seed \"{seed}\")"))?;
        self.reach.iter().try_for_each(|(name, at)| write!(f, " (reach {} \"{at}\")", quoted(name)))?;
        write!(f, " (period-ms {}) (answer-ms {})", ms(self.period), ms(self.answer))?;
        write!(f, " (indirect {}) (suspicion {})", self.indirect, self.suspicion)?;
        write!(f, " (repair-ms {}) (forget-ms {}))", ms(self.repair), ms(self.forget))
    }
}

impl fmt::Display for RecoverySettings {
    /// The form that reads back as these settings.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |span: Micros| span as f64 / 1e3;
        write!(
            f,
            "(recovery (every-ms {}) (read-within-ms {})",
            ms(self.commit_interval),
            ms(self.read_within)
        )?;
        if let Some(store) = &self.store {
            write!(f, " (store {})", quoted(store))?;
        }
        write!(f, " (answer-within-ms {}) (rounds {})", ms(self.answer_within), self.rounds)?;
        write!(f, " (ask {}) (careful-most-ms {})", self.peers_queried, ms(self.max_slow_start))?;
        write!(
            f,
            " (per-engine-per-s {}) (textless {})",
            self.requests_per_second_per_engine, self.uncached_capacity_fraction
        )?;
        write!(f, " (inherit-after-ms {})", ms(self.inherit_after))?;
        if let Some((storage_fault, seed)) = &self.storage_fault {
            write!(f, " (lying-disk {} (seed {seed}))", quoted(storage_fault))?;
        }
        f.write_str(")")
    }
}

/// Reads both forms, if they are there.
pub(crate) fn read(
    root: &Form,
) -> Result<(Option<MembershipSettings>, Option<RecoverySettings>), ConfigError> {
    let peers = root.maybe("peers")?.map(|form| peers(&form)).transpose()?;
    let recovery = root.maybe("recovery")?.map(|form| recovery(&form)).transpose()?;
    Ok((peers, recovery))
}

fn address(form: &Form, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| form.error(format!("`{text}` is not an address and port")))
}

fn peers(form: &Form) -> Result<MembershipSettings, ConfigError> {
    let mut seeds = Vec::new();
    for seed in form.all("seed")? {
        seeds.push(address(&seed, &seed.text()?)?);
        seed.finish()?;
    }
    let mut reach = Vec::new();
    for one in form.all("reach")? {
        reach.push((one.text()?, address(&one, &one.text()?)?));
        one.finish()?;
    }
    let settings = MembershipSettings {
        fleet: form.text_or("fleet", "")?,
        listen: address(form, &form.text_or("listen", "")?)?,
        seeds,
        reach,
        period: form.millis_or("period-ms", 500.0, 1.0, 60_000.0)?,
        answer: form.millis_or("answer-ms", 150.0, 1.0, 60_000.0)?,
        indirect: form.count_or("indirect", 3, 0, 16)? as usize,
        suspicion: form.number_or("suspicion", 4.0, 1.0, 100.0)?,
        repair: form.millis_or("repair-ms", 2_000.0, 1.0, 600_000.0)?,
        forget: form.millis_or("forget-ms", 600_000.0, 1.0, 86_400_000.0)?,
    };
    form.finish()?;
    if settings.fleet.is_empty() || settings.fleet.len() > 64 {
        return Err(form.error("`fleet` needs a name of 1 to 64 bytes: it keeps fleets apart"));
    }
    if settings.answer > settings.period / 2 {
        return Err(
            form.error("`answer-ms` is over half of `period-ms`: indirect probes need the other half")
        );
    }
    if settings.repair < settings.period {
        return Err(form.error("`repair-ms` is under `period-ms`"));
    }
    if settings.forget < 20 * settings.repair {
        return Err(
            form.error("`forget-ms` is under 20 times `repair-ms`: what is forgotten would come back")
        );
    }
    Ok(settings)
}

fn recovery(form: &Form) -> Result<RecoverySettings, ConfigError> {
    let storage_fault = match form.maybe("lying-disk")? {
        None => None,
        Some(storage_fault) => {
            let named = (storage_fault.text()?, storage_fault.count_or("seed", 1, 0, 1 << 53)?);
            if !STORAGE_FAULTS.contains(&named.0.as_str()) {
                return Err(storage_fault.error(format!(
                    "`{}` is no kind of lying disk; there are {}",
                    named.0,
                    STORAGE_FAULTS.join(", ")
                )));
            }
            storage_fault.finish()?;
            Some(named)
        }
    };
    let settings = RecoverySettings {
        store: Some(form.text_or("store", "")?).filter(|s| !s.is_empty()),
        commit_interval: form.millis_or("every-ms", 200.0, 1.0, 60_000.0)?,
        read_within: form.millis_or("read-within-ms", 300.0, 1.0, 60_000.0)?,
        answer_within: form.millis_or("answer-within-ms", 200.0, 1.0, 60_000.0)?,
        rounds: form.count_or("rounds", 2, 1, 20)? as u32,
        peers_queried: form.count_or("ask", 3, 1, 16)? as usize,
        max_slow_start: form.millis_or("careful-most-ms", 30_000.0, 1.0, 3_600_000.0)?,
        inherit_after: form.millis_or("inherit-after-ms", 5_000.0, 0.0, 3_600_000.0)?,
        requests_per_second_per_engine: form.number_or("per-engine-per-s", 2.0, 0.001, 1e6)?,
        uncached_capacity_fraction: form.number_or("textless", 0.9, 0.01, 1.0)?,
        storage_fault,
    };
    form.finish()?;
    Ok(settings)
}

/// What both say against the rules' figures.
pub(crate) fn check(root: &Form, s: &NodeSettings) -> Result<(), ConfigError> {
    let Some(recovery) = &s.recovery else { return Ok(()) };
    let form = root.maybe("recovery")?;
    let breaks = |rule, what: String| match &form {
        Some(form) => form.breaks(rule, what),
        None => root.breaks(rule, what),
    };
    if recovery.max_slow_start < s.core.slow_start_duration {
        let what = "`careful-most-ms` is under `warm-after-ms`: all would be let in before engines are warm";
        return Err(breaks(COLD, what.into()));
    }
    let silent = recovery.read_within + recovery.answer_within * Micros::from(recovery.rounds);
    if silent > 10_000_000 {
        let what = format!("with every peer and disk silent nothing is served for {} ms", silent / 1000);
        return Err(breaks(LOST, what));
    }
    Ok(())
}

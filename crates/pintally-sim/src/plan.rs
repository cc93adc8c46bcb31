//! What happens on a day, drawn from a seed.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What one call to let go frees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frees {
    /// One state, at its engine.
    State,
    /// All of a request, at whatever engine; any engine takes the call.
    Request,
}

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FaultKind {
    /// A machine says nothing more, and nothing reaches it; its engine goes on.
    Vanish,
    /// An engine's process dies and refuses; it is back, empty, at the end.
    Die,
    /// An engine takes connections and requests and does nothing until the end.
    Hang,
    /// A node and a zone cannot reach each other.
    Cut,
    /// Answers of an engine are lost with their connections.
    LoseAnswers,
    /// Connections to an engine come up late, or never.
    LateConnections,
    /// An engine drains, leaves the list at the end, and comes back a second later.
    Drain,
    /// A node hears of the list only at the end.
    LateLists,
    /// A node gets SIGTERM, and starts again.
    Stop,
    /// A node dies, and starts again at the end.
    Kill,
    /// An engine turns requests away.
    Full,
    /// An engine fails requests that it may have run.
    Errors,
    /// An engine hears calls to let go, and its word of that is lost.
    DeafCalls,
    /// An engine stops in the middle of its streams.
    BreakStreams,
}

/// All kinds.
pub const FAULT_KINDS: [FaultKind; 14] = [
    FaultKind::Vanish,
    FaultKind::Die,
    FaultKind::Hang,
    FaultKind::Cut,
    FaultKind::LoseAnswers,
    FaultKind::LateConnections,
    FaultKind::Drain,
    FaultKind::LateLists,
    FaultKind::Stop,
    FaultKind::Kill,
    FaultKind::Full,
    FaultKind::Errors,
    FaultKind::DeafCalls,
    FaultKind::BreakStreams,
];

/// A trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Trouble")]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// When it begins and ends, in milliseconds.
    pub from_ms: u64,
    #[allow(missing_docs)]
    pub to_ms: u64,
    /// The engine or node, or the node of a cut; counted round where there are fewer.
    pub whom: usize,
    /// The zone of a cut.
    pub zone: usize,
    /// The part of requests, calls or connections that it strikes.
    pub part: f64,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Ask")]
pub struct PlannedRequest {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The node to which its client goes, if it runs.
    pub node: usize,
    /// The class: 0 may be repeated, 1 by its key, 2 never.
    pub class: usize,
    /// Its session.
    pub session: u64,
    /// Its prompt, in tokens.
    pub prompt: u64,
    /// How long its client waits for the first token, in milliseconds.
    pub patience_ms: u64,
    /// Its client leaves after so long, if it has no token by then.
    pub leaves_ms: Option<u64>,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Draws what the plan leaves open: how long work takes, which requests a trouble strikes.
    pub seed: u64,
    /// What one call to let go frees.
    pub frees: Frees,
    #[allow(missing_docs)]
    pub nodes: usize,
    #[allow(missing_docs)]
    pub readers: usize,
    #[allow(missing_docs)]
    pub writers: usize,
    #[allow(missing_docs)]
    pub zones: usize,
    /// Within which what is held has to be let go, in milliseconds.
    pub release_ms: u64,
    /// For so long engines drop repeats of a keyed request, in milliseconds.
    pub window_ms: u64,
    /// Engines warm up for so long, in milliseconds.
    pub warm_ms: u64,
    /// Requests, by time.
    pub asks: Vec<PlannedRequest>,
    /// Troubles.
    pub troubles: Vec<Fault>,
}

impl Plan {
    /// The day of a seed: some 20 s with two to four nodes and four to twelve engines.
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length = rng.random_range(8_000..24_000);
        let nodes = rng.random_range(2..=4);
        let (readers, writers) = (rng.random_range(2..=6), rng.random_range(2..=6));
        let patience = rng.random_range(1_500..8_000);
        let rate = rng.random_range(4.0..40.0f64);
        let mut asks = Vec::new();
        let mut at = 100.0;
        while at < length as f64 {
            let leaves = rng.random_bool(0.08).then(|| rng.random_range(5..patience));
            asks.push(PlannedRequest {
                at_ms: at as u64,
                node: rng.random_range(0..nodes),
                class: rng.random_range(0..3),
                session: rng.random_range(0..40),
                prompt: rng.random_range(50..6_000),
                patience_ms: patience,
                leaves_ms: leaves,
            });
            at += rng.random_range(0.0..2_000.0 / rate);
        }
        let mut plan = Plan {
            seed,
            frees: if rng.random_bool(0.6) { Frees::Request } else { Frees::State },
            nodes,
            readers,
            writers,
            zones: rng.random_range(1..=3),
            release_ms: [250, 500, 500, 1000][rng.random_range(0..4)],
            window_ms: [600, 2_000, 5_000][rng.random_range(0..3)],
            warm_ms: [0, 3_000][rng.random_range(0..2)],
            asks,
            troubles: Vec::new(),
        };
        let mean = rng.random_range(0.5..4.0f64);
        for kind in FAULT_KINDS {
            if rng.random_bool(0.55) {
                continue;
            }
            for _ in 0..rng.random_range(1..=(2.0 * mean) as usize + 1) {
                plan.troubles.push(trouble(kind, length, &mut rng));
            }
        }
        plan
    }

    /// Whether a day that was written by hand can be played; an error says what is wrong.
    pub fn check(&self) -> Result<(), String> {
        let within = |what: &str, n: u64, least: u64, most: u64| {
            if (least..=most).contains(&n) {
                Ok(())
            } else {
                Err(format!("`{what}` is {n}, from {least} to {most} can be played"))
            }
        };
        within("nodes", self.nodes as u64, 1, 1024)?;
        within("readers", self.readers as u64, 1, 1024)?;
        within("writers", self.writers as u64, 1, 1024)?;
        within("zones", self.zones as u64, 1, 64)?;
        within("release_ms", self.release_ms, 50, 600_000)?;
        within("window_ms", self.window_ms, 1, 600_000)?;
        within("warm_ms", self.warm_ms, 0, 600_000)?;
        for ask in &self.asks {
            within("at_ms", ask.at_ms, 0, 3_600_000)?;
            within("class", ask.class as u64, 0, 2)?;
            within("patience_ms", ask.patience_ms, 1, 600_000)?;
        }
        for t in &self.troubles {
            within("to_ms", t.to_ms, t.from_ms, 3_600_000)?;
            if !(0.0..=1.0).contains(&t.part) {
                return Err(format!("`part` is {}, from 0 to 1 can be played", t.part));
            }
        }
        Ok(())
    }

    /// How long one call to let go may take, in milliseconds.
    pub(crate) fn errand_ms(&self) -> u64 {
        (self.release_ms / 4).clamp(50, 500)
    }

    /// When the last trouble is over, in milliseconds.
    pub fn over_ms(&self) -> u64 {
        let troubles = self.troubles.iter().map(|t| t.to_ms + 1_000);
        troubles.chain(self.asks.iter().map(|a| a.at_ms)).max().unwrap_or(0)
    }
}

fn trouble(kind: FaultKind, length: u64, rng: &mut impl Rng) -> Fault {
    let from_ms = rng.random_range(200..length);
    let longest = if rng.random_bool(0.3) { 8_000 } else { 2_500 };
    Fault {
        kind,
        from_ms,
        to_ms: from_ms + rng.random_range(30..longest),
        whom: rng.random_range(0..64),
        zone: rng.random_range(0..8),
        part: [0.1, 0.4, 1.0][rng.random_range(0..3)],
    }
}

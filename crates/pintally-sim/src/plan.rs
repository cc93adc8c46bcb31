//! The requests and faults of one simulated run, drawn from a seed.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The states that one release call frees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum Frees")]
pub enum FreeScope {
    /// One state, at the engine that holds it.
    State,
    /// All states of a request, at all engines; any engine accepts the call.
    Request,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FaultKind {
    /// An engine's machine neither sends nor receives; the engine process continues to run.
    Vanish,
    /// An engine's process dies and its port refuses connections; at the end it restarts without states.
    Die,
    /// An engine accepts connections and requests but does no work until the end.
    Hang,
    /// A node and a zone cannot reach each other.
    Cut,
    /// Connections to an engine break before they deliver a completed response.
    LoseAnswers,
    /// Connections to an engine are established late, or never.
    LateConnections,
    /// An engine drains, leaves the endpoint list at the end, and returns a second later.
    Drain,
    /// A node receives endpoint lists only at the end.
    LateLists,
    /// A node receives SIGTERM and restarts.
    Stop,
    /// A node's process dies and restarts after a fixed delay.
    Kill,
    /// An engine rejects requests as overloaded.
    Full,
    /// An engine fails requests that it may have run.
    Errors,
    /// An engine performs release calls, but its responses to them are lost.
    DeafCalls,
    /// An engine breaks response streams off.
    BreakStreams,
}

/// All kinds, in the order in which [`Plan::from_seed`] draws them.
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

/// A fault and its time span.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Trouble")]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it begins, in milliseconds.
    pub from_ms: u64,
    /// When it ends, in milliseconds.
    pub to_ms: u64,
    /// Number of the engine or node (for [`FaultKind::Cut`], the node), modulo how many there are.
    #[serde(rename = "whom")]
    pub target: usize,
    /// The zone of a [`FaultKind::Cut`], modulo how many there are.
    pub zone: usize,
    /// Share of the requests, calls or connections that are affected.
    #[serde(rename = "part")]
    pub share: f64,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Ask")]
pub struct PlannedRequest {
    /// When the client sends it, in milliseconds.
    pub at_ms: u64,
    /// The node that its client prefers; if that node does not run, the next one is taken.
    pub node: usize,
    /// The class: 0 is safe to repeat, 1 is repeated with its idempotency key, 2 must not be repeated.
    pub class: usize,
    /// Session number.
    pub session: u64,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// How long the client waits for the first token, in milliseconds.
    pub patience_ms: u64,
    /// The client disconnects after this many milliseconds if it has received no token by then.
    pub leaves_ms: Option<u64>,
}

/// All input of one simulated run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Seeds what the plan leaves open: how long work takes, which requests a fault affects.
    pub seed: u64,
    /// The states that one release call frees.
    #[serde(rename = "frees")]
    pub free_scope: FreeScope,
    #[allow(missing_docs)]
    pub nodes: usize,
    #[allow(missing_docs)]
    pub readers: usize,
    #[allow(missing_docs)]
    pub writers: usize,
    #[allow(missing_docs)]
    pub zones: usize,
    /// Time within which an unused state must be released, in milliseconds.
    pub release_ms: u64,
    /// Time for which engines drop repeats of a keyed request, in milliseconds.
    pub window_ms: u64,
    /// Warm-up time of engines, in milliseconds.
    pub warm_ms: u64,
    /// Client requests, ordered by time.
    #[serde(rename = "asks")]
    pub requests: Vec<PlannedRequest>,
    /// Faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan from a seed: some 20 s with two to four nodes and four to twelve engines.
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length = rng.random_range(8_000..24_000);
        let nodes = rng.random_range(2..=4);
        let (readers, writers) = (rng.random_range(2..=6), rng.random_range(2..=6));
        let patience = rng.random_range(1_500..8_000);
        let rate = rng.random_range(4.0..40.0f64);
        let mut requests = Vec::new();
        let mut at = 100.0;
        while at < length as f64 {
            let leaves = rng.random_bool(0.08).then(|| rng.random_range(5..patience));
            requests.push(PlannedRequest {
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
            free_scope: if rng.random_bool(0.6) { FreeScope::Request } else { FreeScope::State },
            nodes,
            readers,
            writers,
            zones: rng.random_range(1..=3),
            release_ms: [250, 500, 500, 1000][rng.random_range(0..4)],
            window_ms: [600, 2_000, 5_000][rng.random_range(0..3)],
            warm_ms: [0, 3_000][rng.random_range(0..2)],
            requests,
            faults: Vec::new(),
        };
        let mean = rng.random_range(0.5..4.0f64);
        for kind in FAULT_KINDS {
            if rng.random_bool(0.55) {
                continue;
            }
            for _ in 0..rng.random_range(1..=(2.0 * mean) as usize + 1) {
                plan.faults.push(random_fault(kind, length, &mut rng));
            }
        }
        plan
    }

    /// Checks that a hand-written plan can be played; the error names the field that is out of range.
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
        for request in &self.requests {
            within("at_ms", request.at_ms, 0, 3_600_000)?;
            within("class", request.class as u64, 0, 2)?;
            within("patience_ms", request.patience_ms, 1, 600_000)?;
        }
        for t in &self.faults {
            within("to_ms", t.to_ms, t.from_ms, 3_600_000)?;
            if !(0.0..=1.0).contains(&t.share) {
                return Err(format!("`part` is {}, from 0 to 1 can be played", t.share));
            }
        }
        Ok(())
    }

    /// Timeout of one release call, in milliseconds.
    pub(crate) fn release_call_timeout_ms(&self) -> u64 {
        (self.release_ms / 4).clamp(50, 500)
    }

    /// When the last fault has ended (with 1 s added) and the last request has been sent, in milliseconds.
    pub fn last_event_ms(&self) -> u64 {
        let faults = self.faults.iter().map(|t| t.to_ms + 1_000);
        faults.chain(self.requests.iter().map(|a| a.at_ms)).max().unwrap_or(0)
    }
}

fn random_fault(kind: FaultKind, length: u64, rng: &mut impl Rng) -> Fault {
    let from_ms = rng.random_range(200..length);
    let longest = if rng.random_bool(0.3) { 8_000 } else { 2_500 };
    Fault {
        kind,
        from_ms,
        to_ms: from_ms + rng.random_range(30..longest),
        target: rng.random_range(0..64),
        zone: rng.random_range(0..8),
        share: [0.1, 0.4, 1.0][rng.random_range(0..3)],
    }
}

//! Troubles of a run, drawn by its seed: several at once, some of them close upon another.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Something that goes wrong, at a time since the run's start.
#[derive(Clone, Debug)]
pub(crate) struct InjectedFault {
    pub(crate) at: Duration,
    pub(crate) what: FaultAction,
}

/// What goes wrong. Nodes and engines are numbers that are taken modulo how many there are.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    /// A node is sent SIGTERM, killed at the end of its grace, and started again.
    Stop { node: usize },
    /// A node is killed and started again after this time.
    Kill { node: usize, down: Duration },
    /// A node stands still.
    Pause { node: usize, span: Duration },
    /// A new configuration moves a node's discovery; the file may be whole only after the signal.
    Reload { node: usize, half_written: bool },
    /// New configurations for many nodes, one upon another.
    ReloadMany { nodes: usize, times: usize },
    /// Discovery of all nodes is down.
    DiscoveryDown { span: Duration },
    /// Discovery answers late.
    DiscoverySlow { span: Duration, late: Duration },
    /// Discovery refuses connections, and watches that are open are reset.
    DiscoveryRefuses { span: Duration },
    /// All open watches fall silent.
    WatchesSilent,
    /// All open watches are reset.
    WatchesReset,
    /// An engine drains, leaves and is replaced by a new one.
    Replace { engine: usize, after: Duration },
    /// Some engines hang in their work.
    Hang { engines: Vec<usize>, span: Duration },
    /// Some engines vanish without a word and come back.
    Vanish { engines: Vec<usize>, span: Duration },
    /// An engine's connections are reset.
    Reset { engine: usize },
    /// Idle connections fill a node's descriptors.
    Crowd { node: usize, connections: usize, span: Duration },
}

/// How many groups of faults a run of this length has.
const GROUP_EVERY: Duration = Duration::from_millis(1_100);
/// The first moments are quiet, and so are the last.
const QUIET: Duration = Duration::from_millis(900);

/// The faults of a run.
pub(crate) fn draw(dice: &mut ChaCha8Rng, span: Duration) -> Vec<InjectedFault> {
    let mut faults = Vec::new();
    let mut from = QUIET;
    while from + QUIET < span {
        // One to three, within a moment of each other.
        for _ in 0..dice.random_range(1..4) {
            let at = from + Duration::from_millis(dice.random_range(0..400));
            faults.push(InjectedFault { at, what: draw_one(dice) });
        }
        from += GROUP_EVERY.mul_f64(f64::from(dice.random_range(6..14)) / 10.0);
    }
    faults.sort_by_key(|inject| inject.at);
    faults
}

fn draw_one(dice: &mut ChaCha8Rng) -> FaultAction {
    let node = dice.random_range(0..1_000);
    let engine = dice.random_range(0..1_000);
    let span = Duration::from_millis(dice.random_range(300..3_000));
    let many = dice.random_range(1..5);
    let engines: Vec<usize> = (0..many).map(|n| engine + n).collect();
    match dice.random_range(0..20) {
        0..3 => FaultAction::Stop { node },
        3 => FaultAction::Kill { node, down: span / 4 },
        4 => FaultAction::Pause { node, span: Duration::from_millis(dice.random_range(50..150)) },
        5 => FaultAction::Reload { node, half_written: false },
        6 => FaultAction::Reload { node, half_written: true },
        7 => FaultAction::ReloadMany { nodes: dice.random_range(2..8), times: dice.random_range(1..4) },
        8 => FaultAction::DiscoveryDown { span },
        9 => FaultAction::DiscoverySlow { span, late: Duration::from_millis(dice.random_range(100..900)) },
        10 => FaultAction::WatchesSilent,
        11 => FaultAction::WatchesReset,
        12..15 => FaultAction::Replace { engine, after: span },
        15 => FaultAction::Hang { engines, span },
        16 => FaultAction::Vanish { engines, span },
        17 => FaultAction::Reset { engine },
        18 => FaultAction::DiscoveryRefuses { span: span / 2 },
        _ => FaultAction::Crowd { node, connections: dice.random_range(50..300), span },
    }
}

//! The faults of a run, drawn from the seed. Several are active at once, and some follow each other closely.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A fault, and its time since the start of the clients.
#[derive(Clone, Debug)]
pub(crate) struct InjectedFault {
    pub(crate) at: Duration,
    pub(crate) action: FaultAction,
}

/// The kinds of faults. The numbers of nodes and engines are taken modulo the number that exist. The `Debug` text is
/// part of the run's report.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    /// A node is sent SIGTERM, killed at the end of its grace, and started again.
    Stop { node: usize },
    /// A node is killed and started again after this time.
    Kill { node: usize, down: Duration },
    /// A node is paused with SIGSTOP.
    Pause { node: usize, span: Duration },
    /// A node reloads a configuration with a new discovery address. The file may be complete only after the signal.
    Reload { node: usize, half_written: bool },
    /// Many nodes reload new configurations in quick succession.
    ReloadMany { nodes: usize, times: usize },
    /// Discovery of all nodes is down.
    DiscoveryDown { span: Duration },
    /// Discovery of all nodes is down for a long time, and never answers the watches that were opened until its return.
    DiscoveryOutage { span: Duration },
    /// Discovery answers with a delay.
    DiscoverySlow { span: Duration, late: Duration },
    /// Discovery refuses connections, and watches that are open are reset.
    DiscoveryRefuses { span: Duration },
    /// All open watches stop sending, but stay open.
    WatchesSilent,
    /// All open watches are reset.
    WatchesReset,
    /// An engine drains, is removed, and is replaced by a new one.
    Replace { engine: usize, after: Duration },
    /// Some engines stop processing requests for a time.
    Hang { engines: Vec<usize>, span: Duration },
    /// Some engines become unreachable without closing their connections, and come back.
    Vanish { engines: Vec<usize>, span: Duration },
    /// An engine's connections are reset.
    Reset { engine: usize },
    /// Idle connections use up a node's file descriptors.
    Crowd { node: usize, connections: usize, span: Duration },
}

/// The interval between groups of faults, before the random factor of 0.6 to 1.3.
const GROUP_INTERVAL: Duration = Duration::from_millis(1_100);
/// No fault starts in this time after the start and before the end of the clients.
const QUIET_PERIOD: Duration = Duration::from_millis(900);

/// A long outage lasts at least this long: nodes have noticed by then that their watches are silent.
const MIN_LONG_OUTAGE: Duration = Duration::from_millis(3_500);
/// Clients go on for at least this long after a long outage.
const MIN_TIME_AFTER_LONG_OUTAGE: Duration = Duration::from_secs(3);

/// Draws a long outage of discovery, in a run that is long enough for one. Two of three seeds have one.
pub(crate) fn draw_long_outage(rng: &mut ChaCha8Rng, run: Duration) -> Option<InjectedFault> {
    let latest_end = run.checked_sub(MIN_TIME_AFTER_LONG_OUTAGE)?;
    let latest_start = latest_end.checked_sub(MIN_LONG_OUTAGE)?;
    if latest_start <= QUIET_PERIOD || rng.random_range(0..3) == 0 {
        return None;
    }
    let at = rng.random_range(QUIET_PERIOD..latest_start);
    let span = rng.random_range(MIN_LONG_OUTAGE..=latest_end - at);
    Some(InjectedFault { at, action: FaultAction::DiscoveryOutage { span } })
}

/// Draws the faults of a run, ordered by time.
pub(crate) fn draw_faults(rng: &mut ChaCha8Rng, span: Duration) -> Vec<InjectedFault> {
    let mut faults = Vec::new();
    let mut from = QUIET_PERIOD;
    while from + QUIET_PERIOD < span {
        // Each group has one to three faults that start within 400 ms.
        for _ in 0..rng.random_range(1..4) {
            let at = from + Duration::from_millis(rng.random_range(0..400));
            faults.push(InjectedFault { at, action: draw_fault(rng) });
        }
        from += GROUP_INTERVAL.mul_f64(f64::from(rng.random_range(6..14)) / 10.0);
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_fault(rng: &mut ChaCha8Rng) -> FaultAction {
    let node = rng.random_range(0..1_000);
    let engine = rng.random_range(0..1_000);
    let span = Duration::from_millis(rng.random_range(300..3_000));
    let engine_count = rng.random_range(1..5);
    let engines: Vec<usize> = (0..engine_count).map(|n| engine + n).collect();
    match rng.random_range(0..20) {
        0..3 => FaultAction::Stop { node },
        3 => FaultAction::Kill { node, down: span / 4 },
        4 => FaultAction::Pause { node, span: Duration::from_millis(rng.random_range(50..150)) },
        5 => FaultAction::Reload { node, half_written: false },
        6 => FaultAction::Reload { node, half_written: true },
        7 => FaultAction::ReloadMany { nodes: rng.random_range(2..8), times: rng.random_range(1..4) },
        8 => FaultAction::DiscoveryDown { span },
        9 => FaultAction::DiscoverySlow { span, late: Duration::from_millis(rng.random_range(100..900)) },
        10 => FaultAction::WatchesSilent,
        11 => FaultAction::WatchesReset,
        12..15 => FaultAction::Replace { engine, after: span },
        15 => FaultAction::Hang { engines, span },
        16 => FaultAction::Vanish { engines, span },
        17 => FaultAction::Reset { engine },
        18 => FaultAction::DiscoveryRefuses { span: span / 2 },
        _ => FaultAction::Crowd { node, connections: rng.random_range(50..300), span },
    }
}

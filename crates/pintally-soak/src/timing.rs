//! Durations in the settings of a run's nodes, drawn from the seed: some runs have tight limits.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The durations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// How long clients wait for a first token.
    pub(crate) client_timeout: Duration,
    /// A held state is fetched or released within this time.
    pub(crate) release: Duration,
    /// A node stops sending attempts to an engine within this time after it was notified that the engine drains.
    pub(crate) drain_grace: Duration,
    /// The window in which repeats of a keyed request are deduplicated.
    pub(crate) keyed_window: Duration,
    /// The timeout for connecting to an engine.
    pub(crate) connect: Duration,
}

impl Timing {
    /// Every third seed has the default durations, the others have shorter ones.
    pub(crate) fn draw(seed: u64) -> Timing {
        if seed % 3 == 1 {
            return Timing::typical();
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7131);
        let mut ms = |min: u64, max: u64| Duration::from_millis(rng.random_range(min..max));
        Timing {
            client_timeout: ms(900, 2_500),
            release: ms(160, 500),
            drain_grace: ms(250, 1_000),
            keyed_window: ms(400, 1_200),
            connect: ms(100, 250),
        }
    }

    /// The shortest time between SIGTERM and SIGKILL on the platform: the longest deadline, of which at most 3 s count,
    /// and 0.7 s.
    pub(crate) fn stop_grace(&self) -> Duration {
        const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
        self.client_timeout.min(MAX_COUNTED_DEADLINE) + Duration::from_millis(700)
    }

    /// The durations of a typical deployment.
    pub(crate) fn typical() -> Timing {
        Timing {
            client_timeout: Duration::from_millis(2_500),
            release: Duration::from_millis(500),
            drain_grace: Duration::from_secs(1),
            keyed_window: Duration::from_millis(1_200),
            connect: Duration::from_millis(250),
        }
    }
}

//! Times that the settings of a run's nodes name, drawn by its seed: some runs have little room.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What the settings name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// How long clients wait for a first token.
    pub(crate) client_timeout: Duration,
    /// What is held is fetched or let go within this time.
    pub(crate) release: Duration,
    /// Sends to an engine stop within this time of word of its drain.
    pub(crate) drain_grace: Duration,
    /// Repeats of a keyed request are dropped for so long.
    pub(crate) keyed_window: Duration,
    /// A connection to an engine is up within this time.
    pub(crate) connect: Duration,
}

impl Timing {
    /// Every third seed has the usual times, the others shorter ones.
    pub(crate) fn draw(seed: u64) -> Timing {
        if seed % 3 == 1 {
            return Timing::usual();
        }
        let mut dice = ChaCha8Rng::seed_from_u64(seed ^ 0x7131);
        let mut ms = |least: u64, most: u64| Duration::from_millis(dice.random_range(least..most));
        Timing {
            client_timeout: ms(900, 2_500),
            release: ms(160, 500),
            drain_grace: ms(250, 1_000),
            keyed_window: ms(400, 1_200),
            connect: ms(100, 250),
        }
    }

    /// Those of a deployment with room.
    pub(crate) fn usual() -> Timing {
        Timing {
            client_timeout: Duration::from_millis(2_500),
            release: Duration::from_millis(500),
            drain_grace: Duration::from_secs(1),
            keyed_window: Duration::from_millis(1_200),
            connect: Duration::from_millis(250),
        }
    }
}

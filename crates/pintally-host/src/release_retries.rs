//! Retries of releases where each release frees one reservation and only its engine can execute it.
//!
//! If a release call is lost with its connection, the reservation occupies the engine's memory until the engine
//! expires it. An unacknowledged release is therefore retried with exponential backoff and a bounded number of
//! attempts, also at an engine that is no longer listed. An engine that was unreachable for longer than that is
//! called again as soon as anything is received from it.
//!
//! A read that ended without an outcome from its engine may still be in transit on a stalled connection or wait at
//! an engine that hangs, and the release can overtake it. The release of such a reservation is therefore repeated
//! after a call was acknowledged.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, RequestId};

use crate::timers::TimerKey;

/// The first backoff between two attempts; it doubles with each attempt.
const INITIAL_BACKOFF: Micros = 50_000;
/// Attempts after which no acknowledgement is expected any more: the last one is made about twelve seconds after
/// the first.
const MAX_RELEASE_ATTEMPTS: u32 = 9;
/// From this number of attempts on, a release is retried as soon as anything is received from its engine.
const MIN_ATTEMPTS_BEFORE_WAKEUP: u32 = 4;
/// Shortest time between the last attempt and such a retry.
const MIN_WAKEUP_DELAY: Micros = 250_000;
/// Limit of the releases retried when an engine responds again, so that one message causes a bounded burst.
const MAX_WAKEUPS: usize = 512;
/// Additional acknowledged calls for a reservation that may be created after a call was acknowledged. The delay
/// before each of them is half of the release deadline longer than the delay before the previous one.
const UNCERTAIN_RELEASE_REPEATS: u32 = 3;
/// Limit of the releases that wait for an acknowledgement. Releases beyond it are not retried.
const MAX_PENDING: usize = 65_536;

/// Whether an engine is known to have the reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Certainty {
    /// The engine has confirmed it.
    Confirmed,
    /// A read that ended without an outcome may have created it.
    Uncertain,
}

/// A release that its engine has not acknowledged.
struct PendingRelease {
    attempts: u32,
    /// Calls that have to be acknowledged after the current one.
    remaining_repeats: u32,
    last_attempt: Micros,
    timer: Option<TimerKey>,
}

/// Releases that are not acknowledged, by engine.
#[derive(Default)]
pub(crate) struct ReleaseRetries {
    pending: BTreeMap<EngineId, BTreeMap<RequestId, PendingRelease>>,
    len: usize,
}

/// The next step after the result of a release call.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReleaseProgress {
    /// None: the release was acknowledged or is not pending.
    Done,
    /// Another call is due after this time.
    RetryAfter(Micros),
    /// The last attempt failed.
    GivenUp,
}

/// A release whose backoff is cut short because its engine, or any engine that can execute it, has responded.
pub(crate) struct Wakeup {
    /// The name of what is released.
    pub(crate) name: RequestId,
    /// The timer of the retry that it replaces.
    pub(crate) replaced_timer: Option<TimerKey>,
    /// When the retry is due.
    pub(crate) at: Micros,
}

impl ReleaseRetries {
    /// Records the first attempt of a release.
    pub(crate) fn begin(&mut self, now: Micros, name: &RequestId, engine: &EngineId, certainty: Certainty) {
        if self.len >= MAX_PENDING {
            return;
        }
        let remaining_repeats = match certainty {
            Certainty::Confirmed => 0,
            Certainty::Uncertain => UNCERTAIN_RELEASE_REPEATS,
        };
        let release = PendingRelease { attempts: 1, remaining_repeats, last_attempt: now, timer: None };
        let before = self.pending.entry(engine.clone()).or_default().insert(name.clone(), release);
        self.len += usize::from(before.is_none());
    }

    /// Records that an engine has acknowledged a release.
    pub(crate) fn acknowledge(
        &mut self,
        now: Micros,
        name: &RequestId,
        engine: &EngineId,
        release_deadline: Micros,
    ) -> ReleaseProgress {
        let Some(releases) = self.pending.get_mut(engine) else { return ReleaseProgress::Done };
        let Some(release) = releases.get_mut(name) else { return ReleaseProgress::Done };
        if release.remaining_repeats > 0 {
            release.remaining_repeats -= 1;
            release.attempts = 1;
            release.last_attempt = now;
            let repeat = UNCERTAIN_RELEASE_REPEATS - release.remaining_repeats;
            return ReleaseProgress::RetryAfter(release_deadline / 2 * Micros::from(repeat));
        }
        releases.remove(name);
        self.len -= 1;
        if releases.is_empty() {
            self.pending.remove(engine);
        }
        ReleaseProgress::Done
    }

    /// Records that a release call has failed.
    pub(crate) fn fail(&mut self, now: Micros, name: &RequestId, engine: &EngineId) -> ReleaseProgress {
        let Some(release) = self.pending_mut(name, engine) else { return ReleaseProgress::Done };
        release.last_attempt = now;
        if release.attempts >= MAX_RELEASE_ATTEMPTS {
            return ReleaseProgress::GivenUp;
        }
        let backoff = INITIAL_BACKOFF << (release.attempts - 1);
        release.attempts += 1;
        ReleaseProgress::RetryAfter(backoff)
    }

    /// Stores the timer of the next attempt.
    pub(crate) fn set_timer(&mut self, name: &RequestId, engine: &EngineId, timer: TimerKey) {
        if let Some(release) = self.pending_mut(name, engine) {
            release.timer = Some(timer);
        }
    }

    /// Cuts short the backoff of the releases at an engine that has responded.
    pub(crate) fn wake(&mut self, now: Micros, engine: &EngineId) -> Vec<Wakeup> {
        let Some(releases) = self.pending.get_mut(engine) else { return Vec::new() };
        let backed_off =
            releases.iter_mut().filter(|(_, release)| release.attempts >= MIN_ATTEMPTS_BEFORE_WAKEUP);
        let wake = |(name, release): (&RequestId, &mut PendingRelease)| {
            release.attempts = 1;
            Wakeup {
                name: name.clone(),
                replaced_timer: release.timer.take(),
                at: release.last_attempt.saturating_add(MIN_WAKEUP_DELAY).max(now),
            }
        };
        backed_off.take(MAX_WAKEUPS).map(wake).collect()
    }

    /// Whether the next attempt uses a new connection. Every other attempt does, because pooled connections may be
    /// dead and new ones slow to be established.
    pub(crate) fn needs_new_connection(&self, name: &RequestId, engine: &EngineId) -> bool {
        let release = self.pending.get(engine).and_then(|releases| releases.get(name));
        release.is_some_and(|release| release.attempts.is_multiple_of(2))
    }

    /// Whether a release is pending; its engine may have left the endpoint list meanwhile.
    pub(crate) fn is_pending(&self, name: &RequestId, engine: &EngineId) -> bool {
        self.pending.get(engine).is_some_and(|releases| releases.contains_key(name))
    }

    /// All pending releases.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&EngineId, &RequestId)> {
        self.pending.iter().flat_map(|(engine, releases)| releases.keys().map(move |name| (engine, name)))
    }

    /// The engines at which a release is pending.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &EngineId> {
        self.pending.keys()
    }

    /// The number of pending releases.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The number of pending releases for which an acknowledgement is still expected.
    pub(crate) fn awaiting_acknowledgement(&self) -> usize {
        let releases = self.pending.values().flat_map(BTreeMap::values);
        releases.filter(|release| release.attempts < MAX_RELEASE_ATTEMPTS).count()
    }

    fn pending_mut(&mut self, name: &RequestId, engine: &EngineId) -> Option<&mut PendingRelease> {
        self.pending.get_mut(engine).and_then(|releases| releases.get_mut(name))
    }
}

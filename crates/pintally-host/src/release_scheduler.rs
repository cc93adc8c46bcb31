//! Release scheduler where one release frees all reservations of a request and any engine can execute it:
//! when calls go out, to which engines, and until when.
//!
//! The reservations of a request have to be released within a stated time, `release_deadline`, of its last
//! outcome, whatever has happened to their engine, its zone or the connections there. A call over one
//! connection proves nothing until it is answered, and an engine that is partitioned or hangs does not answer
//! for any length of time. So calls do not wait for each other: the next one goes out after a fixed interval,
//! to another engine, until one has been acknowledged. With `R` of the time left at the first call the interval
//! is `min(release_deadline / 8, R / 4)`, 10 ms at least: four calls before the deadline, and as many engines in
//! a row may be silent without harm. Later calls continue at that interval for as long again, then with
//! exponential backoff.
//!
//! A node that is partitioned from every engine reaches none for as long as the partition lasts, and has to
//! reach one soon after: releases in backoff are called again as soon as any engine is heard, and a few of them,
//! the scouts, continue calling for all, so that a node without traffic notices the end of the partition.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pintally::interface::{EndpointState, EngineId, Micros, RequestId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::release_retries::Wakeup;
use crate::timers::TimerKey;

/// The time left at the first call is divided among this number of calls.
const CALLS_BEFORE_DEADLINE: Micros = 4;
/// The longest interval between two calls is the release deadline divided by this.
const MAX_INTERVAL_DIVISOR: Micros = 8;
/// The shortest interval between two calls.
const MIN_INTERVAL: Micros = 10_000;
/// Calls at the fixed interval; the interval doubles with each further one.
const FIXED_INTERVAL_CALLS: u32 = 16;
/// Calls after which no acknowledgement is expected any more.
const MAX_RELEASE_CALLS: u32 = 23;
/// Releases in backoff that continue calling on behalf of all.
const MAX_SCOUTS: usize = 2;
/// The interval between the calls of a scout is the release deadline divided by this.
const SCOUT_INTERVAL_DIVISOR: Micros = 4;
/// Calls at the fixed interval that a release gets again when an engine has been heard.
const CALLS_AFTER_WAKEUP: u32 = 4;
/// Distance between the releases that are woken together, so that they do not form a burst.
const WAKEUP_SPACING: Micros = 1_000;
/// Limit of the releases woken when an engine is heard.
const MAX_WAKEUPS: usize = 512;
/// While an attempt is in flight, calls begin this many eighths of the release deadline after the last outcome.
const IN_FLIGHT_EIGHTHS: Micros = 5;
/// An attempt that was just sent gets the release deadline divided by this to arrive before a release.
const SETTLE_DIVISOR: Micros = 16;
/// Limit of pending releases; those beyond it are called once and not repeated.
const MAX_PENDING: usize = 65_536;

/// When something last arrived from an engine, and when a call to it last failed.
#[derive(Clone, Copy, Default)]
struct EngineContact {
    heard: Option<Micros>,
    failed: Option<Micros>,
}

impl EngineContact {
    /// Whether the engine has answered since its last failure, is unknown, or has failed.
    fn rank(&self) -> ContactRank {
        match (self.heard, self.failed) {
            (Some(heard), failed) if failed.is_none_or(|failed| failed < heard) => ContactRank::Answering,
            (None, None) => ContactRank::Unknown,
            _ => ContactRank::Failing,
        }
    }
}

/// Engines in the order in which they are called, by what is known about their reachability.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ContactRank {
    Answering,
    Unknown,
    Failing,
}

/// Engines in the order in which they are called, by their state in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ListingRank {
    ServingOrHolder,
    Draining,
    Gone,
}

/// The order in which engines are called for a release; the smallest one is called first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EngineRank {
    /// How often the engine was called already: no engine is called twice before all were called.
    calls: u32,
    listing: ListingRank,
    contact: ContactRank,
    /// Age of the last contact in multiples of the release deadline: spreads calls over all that were heard
    /// lately.
    contact_age: Micros,
    /// The engine that has the reservation is called before its equals.
    is_not_holder: bool,
    /// Spreads requests over equal engines, the same way each time.
    spread: u64,
}

/// A request whose release no engine has acknowledged.
struct PendingRelease {
    holder: EngineId,
    interval: Micros,
    calls: u32,
    /// Calls to each engine since the last wakeup.
    calls_by_engine: HashMap<EngineId, u32>,
    /// The sum of these.
    calls_since_wakeup: u64,
    timer: Option<TimerKey>,
    last_call: Micros,
    /// It was reported that no acknowledgement is expected any more.
    reported_lost: bool,
}

impl PendingRelease {
    fn rank(
        &self,
        engine: &EngineId,
        listing: EndpointState,
        contact: EngineContact,
        spread_seed: u64,
        age_of: impl Fn(Micros) -> Micros,
    ) -> EngineRank {
        let listing = match listing {
            EndpointState::Serving => ListingRank::ServingOrHolder,
            _ if *engine == self.holder && listing != EndpointState::Gone => ListingRank::ServingOrHolder,
            EndpointState::Draining => ListingRank::Draining,
            EndpointState::Gone => ListingRank::Gone,
        };
        EngineRank {
            calls: self.calls_by_engine.get(engine).copied().unwrap_or(0),
            listing,
            contact: contact.rank(),
            contact_age: contact.heard.map_or(Micros::MAX, age_of),
            is_not_holder: *engine != self.holder,
            spread: xxh3_64_with_seed(engine.0.as_bytes(), spread_seed),
        }
    }

    /// Counts a call; whether it is the one after which no acknowledgement is expected. Reported once.
    fn count_call(&mut self, now: Micros, engine: Option<&EngineId>) -> bool {
        self.last_call = now;
        self.calls = (self.calls + 1).min(MAX_RELEASE_CALLS);
        if let Some(engine) = engine {
            *self.calls_by_engine.entry(engine.clone()).or_default() += 1;
            self.calls_since_wakeup += 1;
        }
        self.calls == MAX_RELEASE_CALLS && !std::mem::replace(&mut self.reported_lost, true)
    }
}

/// A call that is due.
pub(crate) struct ReleaseCall {
    /// The engine to call, if any is known at present.
    pub(crate) engine: Option<EngineId>,
    /// Whether the call goes out on a new connection, as pooled ones may be silent.
    pub(crate) new_connection: bool,
    /// Time until the next call; none if the limit of pending releases leaves no capacity for it.
    pub(crate) next_call_after: Option<Micros>,
    /// No acknowledgement is expected after this call. Set once for each release.
    pub(crate) is_last_expected: bool,
}

/// A release that is no longer pending.
pub(crate) struct EndedRelease {
    /// How many calls went out.
    pub(crate) calls: u32,
    /// The timer of the next call.
    pub(crate) timer: Option<TimerKey>,
}

/// All releases that are pending.
pub(crate) struct ReleaseScheduler {
    release_deadline: Micros,
    pending: BTreeMap<RequestId, PendingRelease>,
    /// Releases whose calls at the fixed interval were not acknowledged: they wait until any engine is heard.
    backed_off: BTreeSet<RequestId>,
    /// Those of them that continue calling until then.
    scouts: BTreeSet<RequestId>,
    contacts: HashMap<EngineId, EngineContact>,
}

impl ReleaseScheduler {
    /// A scheduler for reservations that have to be released within the deadline after the last outcome.
    pub(crate) fn new(release_deadline: Micros) -> ReleaseScheduler {
        ReleaseScheduler {
            release_deadline,
            pending: BTreeMap::new(),
            backed_off: BTreeSet::new(),
            scouts: BTreeSet::new(),
            contacts: HashMap::new(),
        }
    }

    /// When reservations pending since then are released although an attempt is in flight: an attempt that is
    /// sent into a partition or on a connection that never comes up does not stop the deadline.
    pub(crate) fn in_flight_deadline(&self, pending_since: Micros) -> Micros {
        pending_since.saturating_add(self.release_deadline / 8 * IN_FLIGHT_EIGHTHS)
    }

    /// How long a connection probe may take to be answered.
    pub(crate) fn probe_timeout(&self) -> Micros {
        self.release_deadline / MAX_INTERVAL_DIVISOR
    }

    /// How long an attempt that was just sent may take to arrive.
    pub(crate) fn settle_time(&self) -> Micros {
        self.release_deadline / SETTLE_DIVISOR
    }

    /// Adds a request whose reservations are released from now on and have been pending since then.
    pub(crate) fn begin(&mut self, now: Micros, id: &RequestId, holder: EngineId, pending_since: Micros) {
        let time_left = pending_since.saturating_add(self.release_deadline).saturating_sub(now);
        let max_interval = self.release_deadline / MAX_INTERVAL_DIVISOR;
        let interval = (time_left / CALLS_BEFORE_DEADLINE).min(max_interval).max(MIN_INTERVAL);
        let release = PendingRelease {
            holder,
            interval,
            calls: 0,
            calls_by_engine: HashMap::new(),
            calls_since_wakeup: 0,
            timer: None,
            last_call: now,
            reported_lost: false,
        };
        self.pending.insert(id.clone(), release);
    }

    /// Whether the release of a request is pending.
    pub(crate) fn is_pending(&self, id: &RequestId) -> bool {
        self.pending.contains_key(id)
    }

    /// Removes a release that was acknowledged or withdrawn.
    pub(crate) fn end(&mut self, id: &RequestId) -> Option<EndedRelease> {
        self.backed_off.remove(id);
        self.scouts.remove(id);
        self.pending.remove(id).map(|release| EndedRelease { calls: release.calls, timer: release.timer })
    }

    /// Cuts short the backoff of releases, now that an engine has been heard.
    pub(crate) fn wake(&mut self, now: Micros) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        for id in self.backed_off.iter().take(MAX_WAKEUPS).cloned().collect::<Vec<_>>() {
            self.backed_off.remove(&id);
            self.scouts.remove(&id);
            let Some(release) = self.pending.get_mut(&id) else { continue };
            release.calls = FIXED_INTERVAL_CALLS - CALLS_AFTER_WAKEUP;
            release.interval = release.interval.max(self.release_deadline / MAX_INTERVAL_DIVISOR);
            release.calls_by_engine.clear();
            release.calls_since_wakeup = 0;
            // Guards against calls without end where engines are heard but calls fail.
            let earliest = release.last_call.saturating_add(self.release_deadline / 2);
            let spaced = now.saturating_add(WAKEUP_SPACING * wakeups.len() as Micros);
            let replaced_timer = release.timer.take();
            wakeups.push(Wakeup { name: id, replaced_timer, at: spaced.max(earliest) });
        }
        wakeups
    }

    /// Stores the timer of the next call.
    pub(crate) fn set_timer(&mut self, id: &RequestId, timer: TimerKey) {
        if let Some(release) = self.pending.get_mut(id) {
            release.timer = Some(timer);
        }
    }

    /// The number of pending releases.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// The number of pending releases for which an acknowledgement is still expected.
    pub(crate) fn awaiting_acknowledgement(&self) -> usize {
        self.pending.values().filter(|release| release.calls < MAX_RELEASE_CALLS).count()
    }

    /// Records that something arrived from an engine.
    pub(crate) fn record_heard(&mut self, now: Micros, engine: &EngineId) {
        self.contacts.entry(engine.clone()).or_default().heard = Some(now);
    }

    /// Records that something sent to an engine failed.
    pub(crate) fn record_failure(&mut self, now: Micros, engine: &EngineId) {
        self.contacts.entry(engine.clone()).or_default().failed = Some(now);
    }

    /// When something last arrived from an engine.
    pub(crate) fn last_heard(&self, engine: &EngineId) -> Option<Micros> {
        self.contacts.get(engine).and_then(|contact| contact.heard)
    }

    /// Forgets engines that are not known any more.
    pub(crate) fn retain_engines(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.contacts.retain(|engine, _| is_known(engine));
    }

    /// Makes the next call for a request, to one of the known engines. None if the release is not pending, or
    /// waits until an engine is heard.
    pub(crate) fn next_call<'a>(
        &mut self,
        now: Micros,
        id: &RequestId,
        engines: impl Iterator<Item = (&'a EngineId, EndpointState)>,
    ) -> Option<ReleaseCall> {
        let has_capacity = self.pending.len() <= MAX_PENDING;
        let interval = self.interval_after_call(id)?;
        let engine = self.best_engine(now, id, engines);
        let release = self.pending.get_mut(id)?;
        // Guards against both: pooled connections that are silent in a partition, and new ones that come up late.
        let new_connection = release.calls_since_wakeup % 2 == 1;
        let is_last_expected = release.count_call(now, engine.as_ref());
        let next_call_after = has_capacity.then_some(interval);
        Some(ReleaseCall { engine, new_connection, next_call_after, is_last_expected })
    }

    /// The time from the call that is due now to the one after it. None if the release is not pending or makes
    /// no call now but waits until an engine is heard.
    fn interval_after_call(&mut self, id: &RequestId) -> Option<Micros> {
        let release = self.pending.get_mut(id)?;
        release.timer = None;
        if release.calls >= FIXED_INTERVAL_CALLS {
            self.backed_off.insert(id.clone());
            if self.scouts.len() < MAX_SCOUTS {
                self.scouts.insert(id.clone());
            }
        }
        if self.scouts.contains(id) {
            return Some((self.release_deadline / SCOUT_INTERVAL_DIVISOR).max(MIN_INTERVAL));
        }
        if release.calls >= MAX_RELEASE_CALLS {
            return None;
        }
        Some(release.interval << release.calls.saturating_sub(FIXED_INTERVAL_CALLS - 1))
    }

    /// The engine to call. Guards against a call into the partition that the last one went into: engines that
    /// answered last come first, those whose last call failed come last.
    fn best_engine<'a>(
        &self,
        now: Micros,
        id: &RequestId,
        engines: impl Iterator<Item = (&'a EngineId, EndpointState)>,
    ) -> Option<EngineId> {
        let release = self.pending.get(id)?;
        let spread_seed = xxh3_64(id.0.as_bytes());
        let age_unit = self.release_deadline.max(1);
        let age_of = |heard| now.saturating_sub(heard) / age_unit;
        let rank = |engine: &EngineId, listing| {
            let contact = self.contacts.get(engine).copied().unwrap_or_default();
            release.rank(engine, listing, contact, spread_seed, age_of)
        };
        let best = engines.min_by_key(|(engine, listing)| rank(engine, *listing));
        best.map(|(engine, _)| engine.clone())
    }
}

#[cfg(test)]
mod tests;

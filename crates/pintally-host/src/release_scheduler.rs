//! Schedules release calls where one release frees all reservations of a request and any engine can execute it:
//! when calls are made, to which engines, and for how long.
//!
//! The reservations of a request have to be released within the time `release_deadline` after its last outcome,
//! whatever has happened to their engine, its zone or the connections there. A call proves nothing until it is
//! answered, and an engine that is partitioned or hangs may never answer. Calls therefore do not wait for each
//! other: after a fixed interval the next call is made to another engine, until one call has been acknowledged.
//! With the time `R` left at the first call, the interval is `min(release_deadline / 8, R / 4)`, but at least
//! 10 ms: four calls are made before the deadline, and as many engines in a row may be unresponsive without harm.
//! Later calls continue at that interval for as long again, then with exponential backoff.
//!
//! A node that is partitioned from every engine reaches none while the partition lasts, and has to reach one soon
//! after its end. Releases in backoff are therefore called again as soon as any engine responds. A few of them,
//! the reachability probes, continue calling on behalf of all, so that a node without traffic notices the end of
//! the partition.

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
/// Limit of the releases in backoff that continue calling on behalf of all.
const MAX_REACHABILITY_PROBES: usize = 2;
/// The interval between the calls of a reachability probe is the release deadline divided by this.
const REACHABILITY_PROBE_INTERVAL_DIVISOR: Micros = 4;
/// Calls at the fixed interval that a release gets again when an engine has responded.
const CALLS_AFTER_WAKEUP: u32 = 4;
/// Distance between the releases that are woken together, so that they do not form a burst.
const WAKEUP_SPACING: Micros = 1_000;
/// Limit of the releases woken when an engine responds.
const MAX_WAKEUPS: usize = 512;
/// While an attempt is in flight, calls begin this number of eighths of the release deadline after the last outcome.
const IN_FLIGHT_DEADLINE_EIGHTHS: Micros = 5;
/// An attempt that was just sent has the release deadline divided by this to reach its engine before a release.
const DELIVERY_ALLOWANCE_DIVISOR: Micros = 16;
/// Limit of pending releases; those beyond it are called once and not repeated.
const MAX_PENDING: usize = 65_536;

/// When something was last received from an engine, and when a call to it last failed.
#[derive(Clone, Copy, Default)]
struct EngineContact {
    last_response: Option<Micros>,
    last_failure: Option<Micros>,
}

impl EngineContact {
    /// Ranks the engine by whether it has responded since its last failure.
    fn rank(&self) -> ContactRank {
        match (self.last_response, self.last_failure) {
            (Some(response), failure) if failure.is_none_or(|failure| failure < response) => {
                ContactRank::Responding
            }
            (None, None) => ContactRank::Unknown,
            _ => ContactRank::Failing,
        }
    }
}

/// The order in which engines are called, by what is known about their reachability.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ContactRank {
    Responding,
    Unknown,
    Failing,
}

/// The order in which engines are called, by their state in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ListingRank {
    ServingOrHolder,
    Draining,
    Gone,
}

/// The order in which engines are called for a release; the smallest one is called first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EngineRank {
    /// Number of calls to the engine: no engine is called twice before all were called.
    calls: u32,
    listing: ListingRank,
    contact: ContactRank,
    /// Age of the last response in multiples of the release deadline, so that calls are spread over all engines
    /// that have responded recently.
    response_age_in_deadlines: Micros,
    /// The engine that has the reservation is called before engines of equal rank.
    is_not_holder: bool,
    /// Spreads requests over engines of equal rank, deterministically.
    spread_hash: u64,
}

/// A request whose release no engine has acknowledged.
struct PendingRelease {
    holder: EngineId,
    interval: Micros,
    calls: u32,
    /// Number of calls to each engine since the last wakeup.
    calls_by_engine: HashMap<EngineId, u32>,
    /// The sum of `calls_by_engine`.
    calls_since_wakeup: u64,
    timer: Option<TimerKey>,
    last_call: Micros,
    /// Reaching the limit of calls was reported.
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
            response_age_in_deadlines: contact.last_response.map_or(Micros::MAX, age_of),
            is_not_holder: *engine != self.holder,
            spread_hash: xxh3_64_with_seed(engine.0.as_bytes(), spread_seed),
        }
    }

    /// Counts a call. Returns whether the call has reached the limit after which no acknowledgement is expected;
    /// this is reported once for each release.
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
    /// The engine to call, if any engine is known.
    pub(crate) engine: Option<EngineId>,
    /// Whether the call uses a new connection, as pooled ones may be dead.
    pub(crate) new_connection: bool,
    /// Time until the next call; none if the limit of pending releases leaves no capacity for it.
    pub(crate) next_call_after: Option<Micros>,
    /// The call has reached the limit after which no acknowledgement is expected. Set once for each release.
    pub(crate) is_call_limit_reached: bool,
}

/// A release that is no longer pending.
pub(crate) struct EndedRelease {
    /// Number of calls made.
    pub(crate) calls: u32,
    /// The timer of the next call.
    pub(crate) timer: Option<TimerKey>,
}

/// All releases that are pending.
pub(crate) struct ReleaseScheduler {
    release_deadline: Micros,
    pending: BTreeMap<RequestId, PendingRelease>,
    /// Releases whose calls at the fixed interval were not acknowledged. They are woken when any engine responds.
    backed_off: BTreeSet<RequestId>,
    /// Those of them that continue calling until then.
    reachability_probes: BTreeSet<RequestId>,
    contacts: HashMap<EngineId, EngineContact>,
}

impl ReleaseScheduler {
    /// Creates a scheduler for reservations that have to be released within the deadline after the last outcome.
    pub(crate) fn new(release_deadline: Micros) -> ReleaseScheduler {
        ReleaseScheduler {
            release_deadline,
            pending: BTreeMap::new(),
            backed_off: BTreeSet::new(),
            reachability_probes: BTreeSet::new(),
            contacts: HashMap::new(),
        }
    }

    /// The time at which reservations that have been pending since the given time are released although an attempt
    /// is in flight. An attempt that is sent into a partition, or on a connection that is never established, does
    /// not stop the deadline.
    pub(crate) fn in_flight_deadline(&self, pending_since: Micros) -> Micros {
        pending_since.saturating_add(self.release_deadline / 8 * IN_FLIGHT_DEADLINE_EIGHTHS)
    }

    /// Time within which a connection probe has to be answered.
    pub(crate) fn connection_probe_timeout(&self) -> Micros {
        self.release_deadline / MAX_INTERVAL_DIVISOR
    }

    /// Time that an attempt that was just sent has to reach its engine.
    pub(crate) fn delivery_allowance(&self) -> Micros {
        self.release_deadline / DELIVERY_ALLOWANCE_DIVISOR
    }

    /// Begins the release of a request whose reservations have been pending since the given time.
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
        self.reachability_probes.remove(id);
        self.pending.remove(id).map(|release| EndedRelease { calls: release.calls, timer: release.timer })
    }

    /// Cuts short the backoff of releases after an engine has responded.
    pub(crate) fn wake(&mut self, now: Micros) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        for id in self.backed_off.iter().take(MAX_WAKEUPS).cloned().collect::<Vec<_>>() {
            self.backed_off.remove(&id);
            self.reachability_probes.remove(&id);
            let Some(release) = self.pending.get_mut(&id) else { continue };
            release.calls = FIXED_INTERVAL_CALLS - CALLS_AFTER_WAKEUP;
            release.interval = release.interval.max(self.release_deadline / MAX_INTERVAL_DIVISOR);
            release.calls_by_engine.clear();
            release.calls_since_wakeup = 0;
            // Limits the rate of calls where engines respond but release calls fail.
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

    /// Records that something was received from an engine.
    pub(crate) fn record_response(&mut self, now: Micros, engine: &EngineId) {
        self.contacts.entry(engine.clone()).or_default().last_response = Some(now);
    }

    /// Records that an attempt at an engine, or a call to it, has failed.
    pub(crate) fn record_failure(&mut self, now: Micros, engine: &EngineId) {
        self.contacts.entry(engine.clone()).or_default().last_failure = Some(now);
    }

    /// When something was last received from an engine.
    pub(crate) fn last_response(&self, engine: &EngineId) -> Option<Micros> {
        self.contacts.get(engine).and_then(|contact| contact.last_response)
    }

    /// Removes the contacts of engines that are no longer known.
    pub(crate) fn retain_engines(&mut self, is_known: impl Fn(&EngineId) -> bool) {
        self.contacts.retain(|engine, _| is_known(engine));
    }

    /// Selects one of the known engines for the next call of a request. `None` if the release is not pending, or
    /// waits until an engine responds.
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
        // Calls alternate between pooled connections, which may be dead after a partition, and new ones, which may be
        // established late.
        let new_connection = release.calls_since_wakeup % 2 == 1;
        let is_call_limit_reached = release.count_call(now, engine.as_ref());
        let next_call_after = has_capacity.then_some(interval);
        Some(ReleaseCall { engine, new_connection, next_call_after, is_call_limit_reached })
    }

    /// Records that the last call of a request to an engine was not sent.
    pub(crate) fn call_not_sent(&mut self, id: &RequestId, engine: &EngineId) {
        let Some(release) = self.pending.get_mut(id) else { return };
        if let Some(calls) = release.calls_by_engine.get_mut(engine) {
            *calls = calls.saturating_sub(1);
        }
    }

    /// The time from the call that is due now to the next one. `None` if the release is not pending, or makes no call
    /// now because it waits until an engine responds.
    fn interval_after_call(&mut self, id: &RequestId) -> Option<Micros> {
        let release = self.pending.get_mut(id)?;
        release.timer = None;
        if release.calls >= FIXED_INTERVAL_CALLS {
            self.backed_off.insert(id.clone());
            if self.reachability_probes.len() < MAX_REACHABILITY_PROBES {
                self.reachability_probes.insert(id.clone());
            }
        }
        if self.reachability_probes.contains(id) {
            return Some((self.release_deadline / REACHABILITY_PROBE_INTERVAL_DIVISOR).max(MIN_INTERVAL));
        }
        if release.calls >= MAX_RELEASE_CALLS {
            return None;
        }
        Some(release.interval << release.calls.saturating_sub(FIXED_INTERVAL_CALLS - 1))
    }

    /// The engine to call. Engines that have responded recently come first and those whose last call failed come
    /// last, so that consecutive calls do not go into the same partition.
    fn best_engine<'a>(
        &self,
        now: Micros,
        id: &RequestId,
        engines: impl Iterator<Item = (&'a EngineId, EndpointState)>,
    ) -> Option<EngineId> {
        let release = self.pending.get(id)?;
        let spread_seed = xxh3_64(id.0.as_bytes());
        let age_unit = self.release_deadline.max(1);
        let age_of = |response| now.saturating_sub(response) / age_unit;
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

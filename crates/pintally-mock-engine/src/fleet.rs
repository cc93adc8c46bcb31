//! All mock engines of a run, the record they write, the isolated zones, and the nodes by their source
//! addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, RwLock, Weak};
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::{lateness_allowance_us, AuditEvent, Record};

use pintally_emulator::{NetworkSpec, Place};

use crate::driver::EmulatorDriver;
use crate::engine::emulator_spec;
use crate::{Engine, EngineSpec};

/// How often the machine's lateness is measured; a shorter lateness does not count.
const LATENESS_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long a measured lateness extends the timeouts of waiting clients.
const LATENESS_RETENTION: Duration = Duration::from_secs(3);

/// Link rates between racks and zones. A state counts one byte per token, so the unit is tokens per
/// microsecond.
pub const LINK_RATES: NetworkSpec = NetworkSpec { rack: 2.0, zone: 1.0, token_bytes: 1.0 };

/// Collects the record of a run; clones share it.
#[derive(Clone)]
pub struct Recorder {
    begin: Instant,
    disabled: bool,
    records: Arc<(Mutex<Vec<Record>>, Condvar)>,
    lateness: Arc<Mutex<Lateness>>,
}

/// How late the machine wakes sleeping threads.
#[derive(Default)]
struct Lateness {
    /// Largest lateness within `LATENESS_RETENTION`, in microseconds, and when it was measured.
    largest: Option<(u64, Instant)>,
    /// When the measuring thread is due to wake next.
    due: Option<Instant>,
}

impl Lateness {
    /// The lateness that applies now, in microseconds. After a stall of the machine a client may wake before
    /// the measuring thread, so the time by which that thread is overdue counts before it is recorded.
    fn current_us(&self) -> u64 {
        let noted = self.largest.filter(|(_, at)| at.elapsed() < LATENESS_RETENTION).map_or(0, |(us, _)| us);
        let due = self.due.map_or(0, |due| due.elapsed().as_micros() as u64);
        noted.max(if due > LATENESS_CHECK_INTERVAL.as_micros() as u64 { due } else { 0 })
    }
}

impl Default for Recorder {
    fn default() -> Recorder {
        let recorder = Recorder { disabled: false, ..Recorder::disabled() };
        let (records, lateness) = (Arc::downgrade(&recorder.records), Arc::downgrade(&recorder.lateness));
        let begin = recorder.begin;
        // If the thread cannot start, no lateness is allowed for: the checks are stricter then.
        let _ = thread::Builder::new()
            .stack_size(64 << 10)
            .spawn(move || measure_lateness(begin, &records, &lateness));
        recorder
    }
}

/// Measures how late the machine wakes this thread, until the recorder is dropped.
fn measure_lateness(
    begin: Instant,
    records: &Weak<(Mutex<Vec<Record>>, Condvar)>,
    lateness: &Weak<Mutex<Lateness>>,
) {
    loop {
        let due = Instant::now() + LATENESS_CHECK_INTERVAL;
        match lateness.upgrade() {
            Some(lateness) => lock(&lateness).due = Some(due),
            None => return,
        }
        thread::sleep(LATENESS_CHECK_INTERVAL);
        let late_by = due.elapsed();
        let (Some(records), Some(lateness)) = (records.upgrade(), lateness.upgrade()) else { return };
        if late_by > LATENESS_CHECK_INTERVAL {
            let us = late_by.as_micros() as u64;
            let mut records = lock(&records.0);
            let at = begin.elapsed().as_micros() as u64;
            records.push(Record { at, event: AuditEvent::MachineLate { us } });
            drop(records);
            let mut lateness = lock(&lateness);
            if lateness.largest.is_none_or(|(largest, at)| us >= largest || at.elapsed() > LATENESS_RETENTION)
            {
                lateness.largest = Some((us, Instant::now()));
            }
        }
    }
}

impl Recorder {
    /// A recorder that discards everything, for engines that run indefinitely.
    pub fn disabled() -> Recorder {
        Recorder { begin: Instant::now(), disabled: true, records: Arc::default(), lateness: Arc::default() }
    }

    /// The time that the machine's recent lateness may add to a duration, by the audit's rule.
    pub fn lateness(&self) -> Duration {
        Duration::from_micros(lateness_allowance_us(lock(&self.lateness).current_us()))
    }

    /// Adds an event with the current time.
    pub fn note(&self, event: AuditEvent) {
        if self.disabled {
            return;
        }
        let mut records = lock(&self.records.0);
        let at = self.begin.elapsed().as_micros() as u64;
        records.push(Record { at, event });
        self.records.1.notify_all();
    }

    /// Returns the first recorded event that matches, waiting up to `max_wait` for one.
    pub fn wait_for(&self, max_wait: Duration, matches: impl Fn(&AuditEvent) -> bool) -> Option<Record> {
        let deadline = Instant::now() + max_wait;
        let mut records = lock(&self.records.0);
        let mut seen = 0;
        loop {
            if let Some(found) = records[seen..].iter().find(|r| matches(&r.event)) {
                return Some(found.clone());
            }
            seen = records.len();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            records = self
                .records
                .1
                .wait_timeout(records, left)
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .0;
        }
    }

    /// A copy of everything recorded so far.
    pub fn snapshot(&self) -> Vec<Record> {
        lock(&self.records.0).clone()
    }

    /// Microseconds since the record began.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    /// Removes and returns everything recorded so far.
    pub fn take(&self) -> Vec<Record> {
        std::mem::take(&mut *lock(&self.records.0))
    }
}

/// All engines of a run.
pub struct Fleet {
    /// Receives all events.
    pub recorder: Recorder,
    driver: Arc<EmulatorDriver>,
    /// Zone names; the index is the emulator's zone number.
    zones: Mutex<Vec<String>>,
    engines: RwLock<BTreeMap<String, Arc<Engine>>>,
    /// Names and zones of nodes by their source address.
    nodes: RwLock<BTreeMap<IpAddr, (String, String)>>,
    /// Zones that are isolated from all others.
    isolated: RwLock<BTreeSet<String>>,
}

impl Fleet {
    /// Creates a fleet without engines.
    pub fn new(recorder: Recorder) -> Arc<Fleet> {
        Arc::new(Fleet {
            driver: EmulatorDriver::start(LINK_RATES, 1, recorder.clone()),
            zones: Mutex::default(),
            recorder,
            engines: RwLock::default(),
            nodes: RwLock::default(),
            isolated: RwLock::default(),
        })
    }

    /// Adds an engine and starts it, cold or warm.
    pub fn add(self: &Arc<Self>, spec: EngineSpec, cold: bool) -> std::io::Result<Arc<Engine>> {
        let place = Place { zone: self.zone(&spec.zone), rack: spec.rack as u32 };
        let number = self.driver.add(emulator_spec(&spec), place);
        let emulator_spec = (self.driver.clone(), number);
        let engine = Engine::new(Arc::downgrade(self), spec, self.recorder.clone(), emulator_spec)?;
        self.engines
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(engine.spec.id.clone(), engine.clone());
        engine.start(cold);
        Ok(engine)
    }

    /// The emulator's number of a zone; assigns one to a new zone.
    fn zone(&self, name: &str) -> u32 {
        let mut zones = lock(&self.zones);
        let at = zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_string());
            zones.len() - 1
        });
        at as u32
    }

    /// An engine by its id.
    pub fn engine(&self, id: &str) -> Option<Arc<Engine>> {
        self.engines.read().unwrap_or_else(std::sync::PoisonError::into_inner).get(id).cloned()
    }

    /// All engines, by id.
    pub fn engines(&self) -> Vec<Arc<Engine>> {
        self.engines.read().unwrap_or_else(std::sync::PoisonError::into_inner).values().cloned().collect()
    }

    /// Registers the name and zone of the node that connects from an address.
    pub fn name_node(&self, address: IpAddr, name: &str, zone: &str) {
        let mut nodes = self.nodes.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        nodes.insert(address, (name.to_string(), zone.to_string()));
    }

    /// Name and zone of the node at an address; the address itself if it is not registered.
    pub(crate) fn node(&self, address: IpAddr) -> (String, String) {
        let nodes = self.nodes.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        nodes.get(&address).cloned().unwrap_or_else(|| (address.to_string(), String::new()))
    }

    /// Isolates a zone from all others, or reconnects it.
    pub fn set_isolated(&self, zone: &str, isolated: bool) {
        let mut zones = self.isolated.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if isolated {
            zones.insert(zone.to_string())
        } else {
            zones.remove(zone)
        };
        drop(zones);
        let number = self.zone(zone);
        let times = if isolated { f64::INFINITY } else { 1.0 };
        self.driver.with_fleet(|fleet, now, _| fleet.slow_zone(now, number, times));
        self.engines().iter().for_each(|e| e.record_reachability());
    }

    /// Whether two zones cannot reach each other.
    pub fn are_separated(&self, a: &str, b: &str) -> bool {
        let zones = self.isolated.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        a != b && (zones.contains(a) || zones.contains(b))
    }

    /// Whether any zone is isolated.
    pub(crate) fn any_zone_isolated(&self) -> bool {
        !self.isolated.read().unwrap_or_else(std::sync::PoisonError::into_inner).is_empty()
    }

    /// Stops all engines and their threads.
    pub fn shut_down(&self) {
        self.engines().iter().for_each(|e| e.crash());
        self.driver.stop();
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;

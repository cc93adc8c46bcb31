//! All stand-in engines of a run: the record they write, the zones that are cut off, and the nodes
//! by their addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, RwLock, Weak};
use std::thread;
use std::time::{Duration, Instant};

use pintally_audit::{late_allowance, Record, What};

use pintally_emulator::{Place, Wires};

use crate::clock::Clock;
use crate::engine::emulator_spec;
use crate::{Engine, EngineSpec};

/// How often the machine's lateness is looked at; less than this does not count.
const BEAT: Duration = Duration::from_millis(5);
/// For so long a lateness is remembered for clients that wait.
const LATE_FOR: Duration = Duration::from_secs(3);

/// What joins racks and zones: states weigh one a token, so these are tokens a microsecond.
pub const LINK_RATES: Wires = Wires { rack: 2.0, zone: 1.0, token_bytes: 1.0 };

/// A record in the making.
#[derive(Clone)]
pub struct Recorder {
    begin: Instant,
    off: bool,
    lines: Arc<(Mutex<Vec<Record>>, Condvar)>,
    late: Arc<Mutex<Late>>,
}

/// How late the machine wakes threads.
#[derive(Default)]
struct Late {
    /// The largest lateness of the last seconds, in microseconds, and when it was.
    largest: Option<(u64, Instant)>,
    /// When the thread that looks is to be awake again.
    due: Option<Instant>,
}

impl Late {
    /// Guards against clients that wake before the thread that looks, when the machine has stood still:
    /// what it is late by now counts, though it has noted nothing yet.
    fn now(&self) -> u64 {
        let noted = self.largest.filter(|(_, at)| at.elapsed() < LATE_FOR).map_or(0, |(us, _)| us);
        let due = self.due.map_or(0, |due| due.elapsed().as_micros() as u64);
        noted.max(if due > BEAT.as_micros() as u64 { due } else { 0 })
    }
}

impl Default for Recorder {
    fn default() -> Recorder {
        let recorder = Recorder { off: false, ..Recorder::off() };
        let (lines, late) = (Arc::downgrade(&recorder.lines), Arc::downgrade(&recorder.late));
        let begin = recorder.begin;
        // Without the thread nothing is excused, which errs on the strict side.
        let _ = thread::Builder::new().stack_size(64 << 10).spawn(move || heartbeat(begin, &lines, &late));
        recorder
    }
}

/// Looks how late the machine wakes a thread, until nobody records any more.
fn heartbeat(begin: Instant, lines: &Weak<(Mutex<Vec<Record>>, Condvar)>, late: &Weak<Mutex<Late>>) {
    loop {
        let due = Instant::now() + BEAT;
        match late.upgrade() {
            Some(late) => lock(&late).due = Some(due),
            None => return,
        }
        thread::sleep(BEAT);
        let over = due.elapsed();
        let (Some(lines), Some(late)) = (lines.upgrade(), late.upgrade()) else { return };
        if over > BEAT {
            let us = over.as_micros() as u64;
            let mut lines = lock(&lines.0);
            let at = begin.elapsed().as_micros() as u64;
            lines.push(Record { at, what: What::Late { us } });
            drop(lines);
            let mut late = lock(&late);
            if late.largest.is_none_or(|(most, at)| us >= most || at.elapsed() > LATE_FOR) {
                late.largest = Some((us, Instant::now()));
            }
        }
    }
}

impl Recorder {
    /// A recorder that keeps nothing, for engines that run without end.
    pub fn off() -> Recorder {
        Recorder { begin: Instant::now(), off: true, lines: Arc::default(), late: Arc::default() }
    }

    /// What the machine's lateness of the last seconds may add to a time, as the audit counts it.
    pub fn lateness(&self) -> Duration {
        Duration::from_micros(late_allowance(lock(&self.late).now()))
    }

    /// Notes what happens now.
    pub fn note(&self, what: What) {
        if self.off {
            return;
        }
        let mut lines = lock(&self.lines.0);
        let at = self.begin.elapsed().as_micros() as u64;
        lines.push(Record { at, what });
        self.lines.1.notify_all();
    }

    /// Waits until something that was or will be noted fits, for a time at most; returns the first
    /// that does.
    pub fn wait_for(&self, most: Duration, fits: impl Fn(&What) -> bool) -> Option<Record> {
        let by = Instant::now() + most;
        let mut lines = lock(&self.lines.0);
        let mut seen = 0;
        loop {
            if let Some(found) = lines[seen..].iter().find(|r| fits(&r.what)) {
                return Some(found.clone());
            }
            seen = lines.len();
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            lines =
                self.lines.1.wait_timeout(lines, left).unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    /// Everything so far, without taking it.
    pub fn so_far(&self) -> Vec<Record> {
        lock(&self.lines.0).clone()
    }

    /// The time now, as the record counts it.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    /// Everything so far.
    pub fn take(&self) -> Vec<Record> {
        std::mem::take(&mut *lock(&self.lines.0))
    }
}

/// All engines of a run.
pub struct Fleet {
    /// Where everything is noted.
    pub recorder: Recorder,
    clock: Arc<Clock>,
    /// Zones, by the numbers that the emulator knows them by.
    zones: Mutex<Vec<String>>,
    engines: RwLock<BTreeMap<String, Arc<Engine>>>,
    /// Names and zones of nodes by the address from which they connect.
    nodes: RwLock<BTreeMap<IpAddr, (String, String)>>,
    /// Zones that are cut off from the others.
    cut: RwLock<BTreeSet<String>>,
}

impl Fleet {
    /// A fleet without engines.
    pub fn new(recorder: Recorder) -> Arc<Fleet> {
        Arc::new(Fleet {
            clock: Clock::start(LINK_RATES, 1, recorder.clone()),
            zones: Mutex::default(),
            recorder,
            engines: RwLock::default(),
            nodes: RwLock::default(),
            cut: RwLock::default(),
        })
    }

    /// Adds an engine that listens at once; `cold` if it begins as one that has just started.
    pub fn add(self: &Arc<Self>, spec: EngineSpec, cold: bool) -> std::io::Result<Arc<Engine>> {
        let place = Place { zone: self.zone(&spec.zone), rack: spec.rack as u32 };
        let number = self.clock.add(emulator_spec(&spec), place);
        let emulator_spec = (self.clock.clone(), number);
        let engine = Engine::new(Arc::downgrade(self), spec, self.recorder.clone(), emulator_spec)?;
        self.engines
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(engine.spec.id.clone(), engine.clone());
        engine.start(cold);
        Ok(engine)
    }

    /// The number of a zone.
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

    /// Names the node that connects from an address.
    pub fn name_node(&self, address: IpAddr, name: &str, zone: &str) {
        let mut nodes = self.nodes.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        nodes.insert(address, (name.to_string(), zone.to_string()));
    }

    /// The name and zone of the node at an address.
    pub(crate) fn node(&self, address: IpAddr) -> (String, String) {
        let nodes = self.nodes.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        nodes.get(&address).cloned().unwrap_or_else(|| (address.to_string(), String::new()))
    }

    /// Cuts a zone off from the others, or joins it again.
    pub fn cut(&self, zone: &str, cut: bool) {
        let mut zones = self.cut.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if cut {
            zones.insert(zone.to_string())
        } else {
            zones.remove(zone)
        };
        drop(zones);
        let number = self.zone(zone);
        let times = if cut { f64::INFINITY } else { 1.0 };
        self.clock.act(|fleet, now, _| fleet.slow_zone(now, number, times));
        self.engines().iter().for_each(|e| e.note_deafness());
    }

    /// Whether two zones cannot hear each other.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        let zones = self.cut.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        a != b && (zones.contains(a) || zones.contains(b))
    }

    /// Whether anything is cut off now.
    pub(crate) fn any_cut(&self) -> bool {
        !self.cut.read().unwrap_or_else(std::sync::PoisonError::into_inner).is_empty()
    }

    /// Ends all engines and their threads.
    pub fn shut_down(&self) {
        self.engines().iter().for_each(|e| e.crash());
        self.clock.end();
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;

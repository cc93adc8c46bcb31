//! Engines connected by links over which read states are transferred.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine::{Arrival, Engine, Work, WorkId};
use crate::links::{FlowId, LinkId, Links};
use crate::notice::Notice;
use crate::spec::{NetworkSpec, Spec};
use crate::Micros;

/// Location of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Zone number.
    pub zone: u32,
    /// Rack number; the same number in another zone is another rack.
    pub rack: u32,
}

/// A transfer of a read state.
#[derive(Clone, Debug)]
struct Transfer {
    work: WorkId,
    state: WorkId,
    from: usize,
    to: usize,
    /// The transfer breaks off once its (halved) bytes have been sent.
    breaks: bool,
}

/// Engines, by number, and the links between them.
pub struct Fleet {
    engines: Vec<Engine>,
    places: Vec<Place>,
    network: NetworkSpec,
    links: Links,
    ports: Vec<(LinkId, LinkId)>,
    racks: BTreeMap<Place, (LinkId, LinkId)>,
    zones: BTreeMap<(u32, u32), LinkId>,
    /// Engine and read state from which each piece of work is to fetch.
    sources: BTreeMap<WorkId, (usize, WorkId)>,
    transfers: BTreeMap<FlowId, Transfer>,
    next_flow: FlowId,
    /// Times at which engines have something to do.
    wakes: BTreeSet<(Micros, usize)>,
    wake_of: Vec<Option<Micros>>,
    seed: u64,
    rng: ChaCha8Rng,
    notices: Vec<Notice>,
}

impl Fleet {
    /// Creates a fleet without engines.
    pub fn new(network: NetworkSpec, seed: u64) -> Fleet {
        Fleet {
            engines: Vec::new(),
            places: Vec::new(),
            network,
            links: Links::default(),
            ports: Vec::new(),
            racks: BTreeMap::new(),
            zones: BTreeMap::new(),
            sources: BTreeMap::new(),
            transfers: BTreeMap::new(),
            next_flow: 0,
            wakes: BTreeSet::new(),
            wake_of: Vec::new(),
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            notices: Vec::new(),
        }
    }

    /// Adds an engine that runs and is warm; returns its number.
    pub fn add(&mut self, spec: Spec, place: Place) -> usize {
        let (number, port) = (self.engines.len(), spec.port);
        self.engines
            .push(Engine::new(spec, self.seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        self.places.push(place);
        self.ports.push((self.links.add(port), self.links.add(port)));
        if !self.racks.contains_key(&place) {
            let pair = (self.links.add(self.network.rack), self.links.add(self.network.rack));
            self.racks.insert(place, pair);
        }
        for other in 0..number {
            let (a, b) = (self.places[other].zone, place.zone);
            if a != b && !self.zones.contains_key(&(a.min(b), a.max(b))) {
                let link = self.links.add(self.network.zone);
                self.zones.insert((a.min(b), a.max(b)), link);
            }
        }
        self.wake_of.push(None);
        number
    }

    /// Returns an engine.
    pub fn engine(&self, number: usize) -> &Engine {
        &self.engines[number]
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Number of transfers in progress.
    pub fn moving(&self) -> usize {
        self.transfers.len()
    }

    /// Changes the active faults of an engine.
    pub fn fault(&mut self, number: usize, change: impl FnOnce(&mut crate::Faults)) {
        change(self.engines[number].faults());
        self.rewake(number);
    }

    /// Divides the bandwidth of a zone's links to all other zones by `times`; infinity cuts the zone off.
    pub fn slow_zone(&mut self, now: Micros, zone: u32, times: f64) {
        let links: Vec<LinkId> =
            self.zones.iter().filter(|((a, b), _)| *a == zone || *b == zone).map(|(_, l)| *l).collect();
        links.into_iter().for_each(|l| self.links.set(now, l, self.network.zone / times.max(1e-9)));
    }

    /// Divides the bandwidth of an engine's port by `times`.
    pub fn slow_port(&mut self, now: Micros, number: usize, times: f64) {
        let (out, into) = self.ports[number];
        let capacity = self.engines[number].spec().port / times.max(1e-9);
        [out, into].into_iter().for_each(|l| self.links.set(now, l, capacity));
    }

    /// Returns the load report of an engine.
    pub fn report(&mut self, now: Micros, number: usize) -> crate::Report {
        self.engines[number].report(now)
    }

    /// Submits work to an engine. For work that fetches, `source` is the engine that holds the read state.
    pub fn submit(
        &mut self,
        now: Micros,
        number: usize,
        work: Work,
        source: Option<usize>,
        out: &mut Vec<(usize, Notice)>,
    ) {
        if let (Some(state), Some(source)) = (work.fetches, source) {
            self.sources.insert(work.id, (source, state));
        }
        self.with_engine(now, number, out, |engine, notices| engine.submit(now, work, notices));
    }

    /// Cancels work at an engine, with its transfer.
    pub fn cancel(&mut self, now: Micros, number: usize, work: WorkId, out: &mut Vec<(usize, Notice)>) {
        let flow = self.transfers.iter().find(|(_, t)| t.work == work && t.to == number).map(|(f, _)| *f);
        if let Some(flow) = flow {
            self.end_flow(now, flow, None, out);
        }
        self.sources.remove(&work);
        self.with_engine(now, number, out, |engine, notices| engine.cancel(now, work, notices));
    }

    /// Releases a read state at an engine.
    pub fn release(&mut self, now: Micros, number: usize, state: WorkId, out: &mut Vec<(usize, Notice)>) {
        self.with_engine(now, number, out, |engine, notices| engine.release(now, state, notices));
    }

    /// Crashes an engine; transfers from it and to it end.
    pub fn crash(&mut self, now: Micros, number: usize, out: &mut Vec<(usize, Notice)>) {
        self.with_engine(now, number, out, super::engine::Engine::crash);
    }

    /// Starts an engine, cold or warm.
    pub fn start(&mut self, now: Micros, number: usize, cold: bool) {
        self.engines[number].start(now, cold);
        self.rewake(number);
    }

    /// Evicts all cached blocks of an engine that are not held.
    pub fn forget(&mut self, number: usize) {
        self.engines[number].forget();
    }

    /// Time at which [`Fleet::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Micros> {
        let engines = self.wakes.first().map(|w| w.0);
        [engines, self.links.next()].into_iter().flatten().min()
    }

    /// Processes everything that is due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(usize, Notice)>) {
        loop {
            for flow in self.links.finished(now) {
                let whole = self.transfers.get(&flow).is_some_and(|t| !t.breaks);
                self.end_flow(now, flow, Some(whole), out);
            }
            let Some((_, number)) = self.wakes.first().copied().filter(|w| w.0 <= now) else { return };
            self.with_engine(now, number, out, |engine, notices| engine.tick(now, notices));
            if self.wake_of[number].is_some_and(|w| w <= now) {
                // An engine whose wake time has not advanced would otherwise make this loop spin.
                self.set_wake(number, Some(now + 1));
            }
        }
    }

    /// Checks that the memory accounting of each engine is consistent.
    pub fn check(&self) -> Result<(), String> {
        self.engines
            .iter()
            .enumerate()
            .try_for_each(|(n, e)| e.check().map_err(|w| format!("engine {n}: {w}")))
    }

    /// Runs an operation on an engine and processes the notices that it emits.
    fn with_engine(
        &mut self,
        now: Micros,
        number: usize,
        out: &mut Vec<(usize, Notice)>,
        operation: impl FnOnce(&mut Engine, &mut Vec<Notice>),
    ) {
        let was_up = self.engines[number].is_up();
        let mut notices = std::mem::take(&mut self.notices);
        operation(&mut self.engines[number], &mut notices);
        self.rewake(number);
        let emitted: Vec<Notice> = std::mem::take(&mut notices);
        self.notices = notices;
        for notice in emitted {
            match notice {
                Notice::FetchNeeded(work, tokens) => self.begin_flow(now, number, work, tokens, out),
                Notice::Refused(work, _) | Notice::Broken(work) => {
                    self.sources.remove(&work);
                    out.push((number, notice));
                }
                _ => out.push((number, notice)),
            }
        }
        if was_up && !self.engines[number].is_up() {
            let ended = self.transfers.iter().filter(|(_, t)| t.from == number || t.to == number);
            for flow in ended.map(|(f, _)| *f).collect::<Vec<_>>() {
                self.end_flow(now, flow, Some(false), out);
            }
        }
    }

    fn begin_flow(
        &mut self,
        now: Micros,
        to: usize,
        work: WorkId,
        tokens: u64,
        out: &mut Vec<(usize, Notice)>,
    ) {
        let source =
            self.sources.remove(&work).filter(|(from, state)| self.engines[*from].begin_move(*state));
        let Some((from, state)) = source else {
            return self
                .with_engine(now, to, out, |e, notices| e.arrived(now, work, Arrival::Missing, notices));
        };
        self.rewake(from);
        let chance = self.engines[to].faults().breaks;
        let breaks = chance > 0.0 && self.rng.random::<f64>() < chance;
        let bytes = tokens as f64 * self.network.token_bytes * if breaks { 0.5 } else { 1.0 };
        let flow = self.next_flow;
        self.next_flow += 1;
        self.transfers.insert(flow, Transfer { work, state, from, to, breaks });
        let path = self.path(from, to);
        self.links.begin(now, flow, path, bytes);
    }

    /// Ends a transfer: complete (`Some(true)`), broken off (`Some(false)`) or cancelled by its work (`None`).
    fn end_flow(&mut self, now: Micros, flow: FlowId, whole: Option<bool>, out: &mut Vec<(usize, Notice)>) {
        let Some(t) = self.transfers.remove(&flow) else { return };
        self.links.cancel(now, flow);
        let done = whole == Some(true);
        self.with_engine(now, t.from, out, |e, notices| e.end_move(now, t.state, done, notices));
        if let Some(whole) = whole {
            let how = if whole { Arrival::Whole } else { Arrival::Broken };
            self.with_engine(now, t.to, out, |e, notices| e.arrived(now, t.work, how, notices));
        }
    }

    fn path(&self, from: usize, to: usize) -> Vec<LinkId> {
        if from == to {
            return Vec::new();
        }
        let (a, b) = (self.places[from], self.places[to]);
        let mut path = vec![self.ports[from].0, self.ports[to].1];
        if a != b {
            path.extend([self.racks[&a].0, self.racks[&b].1]);
        }
        if a.zone != b.zone {
            path.extend(self.zones.get(&(a.zone.min(b.zone), a.zone.max(b.zone))));
        }
        path
    }

    fn rewake(&mut self, number: usize) {
        let wake = self.engines[number].next_wake();
        self.set_wake(number, wake);
    }

    fn set_wake(&mut self, number: usize, wake: Option<Micros>) {
        if let Some(old) = self.wake_of[number] {
            self.wakes.remove(&(old, number));
        }
        if let Some(at) = wake {
            self.wakes.insert((at, number));
        }
        self.wake_of[number] = wake;
    }
}

impl Notice {
    /// The work that this notice ends, if it ends any.
    pub fn ends(&self) -> Option<WorkId> {
        match self {
            Notice::Refused(id, _) | Notice::Read(id, _) | Notice::Done(id, _) | Notice::Broken(id) => {
                Some(*id)
            }
            _ => None,
        }
    }
}

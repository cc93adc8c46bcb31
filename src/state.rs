//! What the decision module keeps in mind: plain data and its bookkeeping, no decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::interface::*;
use crate::rules::Router;

/// A request's step at an engine, for the pools' usual times.
pub(crate) const READ: usize = 0;
pub(crate) const WRITE: usize = 1;
pub(crate) const BOTH: usize = 2;

/// An engine, how many tokens of a text it was seen to hold, and when.
pub(crate) type Kept = (usize, u64, Micros);
/// A session or, with `true`, a shared beginning.
pub(crate) type TextKey = (bool, u64);
/// The most engines that are kept for one text.
const ENGINES_PER_TEXT: usize = 16;
/// Texts that are kept before old ones are looked for.
const TEXTS: usize = 20_000;

/// The texts of which a prompt is made up, each with its length in tokens.
pub(crate) fn keys(request: &Request) -> impl Iterator<Item = (TextKey, u64)> {
    let session = ((false, request.session), request.prompt_tokens);
    let prefix = request.prefix.map(|p| ((true, p), request.prefix_tokens));
    std::iter::once(session).chain(prefix)
}

/// Which engines were seen to hold which texts.
#[derive(Default)]
pub(crate) struct Table(HashMap<TextKey, Vec<Kept>>);

impl Table {
    /// Takes in that an engine holds a text now.
    pub(crate) fn remember(&mut self, key: TextKey, kept: Kept) {
        let held = self.0.entry(key).or_default();
        held.retain(|(engine, _, _)| *engine != kept.0);
        held.push(kept);
        if held.len() > ENGINES_PER_TEXT {
            held.remove(0);
        }
    }

    /// The engines that were seen to hold a text.
    pub(crate) fn kept(&self, key: TextKey) -> impl Iterator<Item = &Kept> {
        self.0.get(&key).into_iter().flatten()
    }

    /// Forgets texts that were last seen before that time, once there are many.
    pub(crate) fn forget_before(&mut self, time: Micros) {
        if self.0.len() > TEXTS {
            self.0.retain(|_, held| held.iter().any(|(_, _, at)| time < *at));
        }
    }
}

#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: String,
    pub(crate) rack: u64,
    pub(crate) role: Role,
    /// As the list tells it, and against the mean of its role.
    pub(crate) registered: f64,
    pub(crate) weight: f64,
    pub(crate) listing: EndpointState,
    /// Cold until then: told by discovery, or seen to come back after failing.
    pub(crate) cold_until: Micros,
    pub(crate) started: Option<Micros>,
    /// Own sends inside the tip window.
    pub(crate) sends: VecDeque<Micros>,
    /// Own attempts that have brought no read and no first token yet, by send time.
    /// With each: whether a state has to cross racks for it.
    pub(crate) pending: BTreeMap<(Micros, u64), (RequestId, bool)>,
    /// Reads and first tokens since the last watch.
    pub(crate) answers: u32,
    /// Prompt tokens that own attempts have yet to read here.
    pub(crate) unread: f64,
    /// Own attempts that answer or are to answer here.
    pub(crate) streams: u32,
    /// When it was last probed.
    pub(crate) probed: Micros,
    /// No connection could be had or it broke: the process may be gone.
    pub(crate) down: bool,
    pub(crate) fails: u32,
    pub(crate) shut_until: Micros,
    pub(crate) full_until: Micros,
    /// The tenant that was turned away for itself, and until when that counts.
    pub(crate) spurned: (Option<usize>, Micros),
    pub(crate) report: Option<(Micros, LoadReport)>,
    /// How many times slower than its pool, and when that was last seen.
    pub(crate) lag: f64,
    pub(crate) lag_at: Micros,
    /// What the table says of this engine from before this time does not hold.
    pub(crate) void_before: Micros,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Pool {
    /// Usual time of one unit of work, its deviation, and the usual tokens of an attempt.
    pub(crate) time: f64,
    pub(crate) deviation: f64,
    pub(crate) tokens: f64,
    pub(crate) samples: u32,
    /// Tokens a microsecond of the fastest read seen: no line drains faster.
    pub(crate) pace: f64,
    /// What its warm engines have answered this node lately, over how many seconds, and their number.
    pub(crate) answers: f64,
    pub(crate) watched: f64,
    pub(crate) engines: f64,
}

/// What the list says of a rack: its engines that only read and those that write.
#[derive(Default)]
pub(crate) struct Rack {
    pub(crate) readers: f64,
    pub(crate) writers: f64,
    /// Usual wait for a first token when a state leaves the rack over its link.
    pub(crate) far: (f64, Micros),
    /// How many such states in a row that is made of.
    pub(crate) heard: u32,
}

/// Counts the listed engines of each rack anew, and takes their weights against their role's mean.
pub(crate) fn count(racks: &mut BTreeMap<u64, Rack>, engines: &mut [Engine]) {
    for rack in racks.values_mut() {
        (rack.readers, rack.writers) = (0.0, 0.0);
    }
    let mut sums = [(0.0, 0.0); 3];
    for engine in engines.iter().filter(|e| e.serving()) {
        let rack = racks.entry(engine.rack).or_default();
        rack.readers += f64::from(engine.role == Role::Reader);
        rack.writers += f64::from(engine.role != Role::Reader);
        let sum = &mut sums[step_of(engine.role)];
        *sum = (sum.0 + engine.registered, sum.1 + 1.0);
    }
    for engine in engines {
        let (sum, count) = sums[step_of(engine.role)];
        engine.weight = if sum > 0.0 { engine.registered * count / sum } else { 1.0 };
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Out {
    pub(crate) attempt: Attempt,
    pub(crate) engine: usize,
    pub(crate) sent: Micros,
    pub(crate) serial: u64,
    pub(crate) step: usize,
    /// Prompt tokens expected to be read.
    pub(crate) unread: f64,
    pub(crate) started: bool,
}

pub(crate) struct Live {
    pub(crate) request: Request,
    pub(crate) effect: Idempotency,
    pub(crate) arrived: Micros,
    /// When the client first asked, as far as this node knows.
    pub(crate) first: Micros,
    /// When its first attempt was sent.
    pub(crate) begun: Micros,
    pub(crate) aim_at: Micros,
    /// Its class's aim for a prompt of its length.
    pub(crate) aim: Micros,
    pub(crate) deadline: Micros,
    pub(crate) over_share: bool,
    pub(crate) attempts: u32,
    pub(crate) out: Option<Out>,
    /// The reader at which the read state waits.
    pub(crate) state: Option<usize>,
    /// A state was read at some time: it may outlast what the outcomes tell, so every end releases.
    pub(crate) read: bool,
    /// The engine of the first attempt that may have run, and when it was sent.
    pub(crate) ran: Option<(usize, Micros)>,
    pub(crate) tried: Vec<usize>,
    pub(crate) waiting: bool,
    /// When engines were probed for it before its read.
    pub(crate) looked: Option<Micros>,
    pub(crate) done: bool,
}

/// What a node has measured of itself.
#[derive(Default)]
pub(crate) struct Gauges {
    pub(crate) serial: u64,
    /// A timer is out: for held requests, and for the watch over engines.
    pub(crate) sweeping: bool,
    pub(crate) watching: bool,
    pub(crate) subscribed: bool,
    pub(crate) asked_at: Micros,
    pub(crate) rated_at: Micros,
    /// When the last request was started, and when a first token was last taken in.
    pub(crate) begun_at: Micros,
    pub(crate) paced_at: Micros,
    /// Requests that came lately.
    pub(crate) arrivals: f64,
    /// Those of them that begin with a shared text.
    pub(crate) shared: f64,
    /// How many requests may be on their way to a first token.
    pub(crate) flight: f64,
    /// Probes that own traffic has paid for.
    pub(crate) probes: f64,
    /// Usual wait for a first token when the state stays in its rack and when it leaves it.
    pub(crate) near: (f64, Micros),
    pub(crate) far: (f64, Micros),
    /// Usual time from the first send to the first token.
    pub(crate) lead: f64,
}

impl Live {
    /// A request that waits for its first attempt.
    pub(crate) fn new(
        now: Micros,
        request: Request,
        effect: Idempotency,
        first: Micros,
        aim: Micros,
        over_share: bool,
    ) -> Live {
        let deadline = now.saturating_add(request.client_timeout);
        Live {
            effect,
            arrived: now,
            begun: now,
            aim_at: first.saturating_add(aim).min(deadline),
            aim,
            first,
            deadline,
            over_share,
            request,
            attempts: 0,
            out: None,
            state: None,
            read: false,
            ran: None,
            tried: Vec::new(),
            waiting: true,
            looked: None,
            done: false,
        }
    }

    /// The places of the engines that it knows.
    fn places(&self) -> impl Iterator<Item = usize> + '_ {
        let ran = self.ran.map(|(engine, _)| engine);
        let out = self.out.map(|out| out.engine);
        [ran, out, self.state].into_iter().flatten().chain(self.tried.iter().copied())
    }
}

impl Engine {
    pub(crate) fn new(now: Micros, member: &Endpoint, role: Role) -> Engine {
        Engine {
            id: member.engine.clone(),
            zone: member.zone.clone(),
            rack: member.rack,
            role,
            lag: 1.0,
            // What was remembered of its place was another engine's.
            void_before: now,
            ..Engine::default()
        }
    }

    /// An attempt has begun to answer, or has ended: it is in no line any more.
    pub(crate) fn begun(&mut self, out: &Out) {
        if self.pending.remove(&(out.sent, out.serial)).is_some() {
            self.unread = if self.pending.is_empty() { 0.0 } else { self.unread - out.unread };
        }
    }

    /// The share of slots or memory in use that the engine told within this time.
    pub(crate) fn told(&self, now: Micros, within: Micros) -> Option<f64> {
        let (_, load) = self.report.filter(|(at, _)| now < at.saturating_add(within))?;
        Some(load.slots.unwrap_or(0.0).max(load.memory.unwrap_or(0.0)))
    }

    /// Whether it turned this request's tenant away lately.
    pub(crate) fn spurns(&self, now: Micros, live: &Live) -> bool {
        now < self.spurned.1 && self.spurned.0 == live.request.tenant
    }

    pub(crate) fn serving(&self) -> bool {
        self.listing == EndpointState::Serving
    }
}

/// Gives an engine that is new a place. Guards against a day of ever new engines: the place of one
/// that is gone, and with which no request has anything to do any more, is used again.
pub(crate) fn settle(router: &mut Router, engine: Engine) -> usize {
    let used: BTreeSet<usize> = router.live.values().flat_map(Live::places).collect();
    let free = |i: &usize| router.engines[*i].listing == EndpointState::Gone && !used.contains(i);
    let index = (0..router.engines.len()).find(free).unwrap_or(router.engines.len());
    router.by_id.insert(engine.id.clone(), index);
    match router.engines.get_mut(index) {
        Some(old) => {
            router.by_id.remove(&old.id);
            *old = engine;
        }
        None => router.engines.push(engine),
    }
    index
}

/// The pool of an engine's role.
pub(crate) fn step_of(role: Role) -> usize {
    match role {
        Role::Reader => READ,
        Role::Writer => WRITE,
        Role::Mixed => BOTH,
    }
}

/// A seeded sequence of numbers (splitmix64).
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// The next number.
    pub(crate) fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

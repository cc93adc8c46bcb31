//! The decisions of pintally. Types, events, actions and settings: `src/interface.rs`.
//!
//! Ordinary path: a prompt goes to the reader expected to hold most of it, an unseen one to its
//! hashed home, spilling along the key's ring over a bounded-load cap; after the read the least-loaded
//! writer takes the state, near ones first. All else departs from it where it breaks: `docs/design.md`.

use crate::interface::*;
use crate::state::*;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The cap's factor: a reader may hold this multiple of its even share of the reads under way.
const CAP_FACTOR: f64 = 1.25;
/// Expected kept tokens under this count as no match (the paper's smallest block).
const MIN_MATCH: f64 = 16.0;
/// Homes of every beginning where nodes are blind.
const BLIND_HOMES: f64 = 2.0;
/// Of so few nodes each sees enough of the traffic to go by its own table alone.
const FEW_NODES: f64 = 2.5;
/// Table entries fade by half in this time: about the time in which sessions come again.
const FADE_HALF: Micros = 30_000_000;
/// Weight of a new sample in every moving mean: about the last ten samples count.
const BLEND: f64 = 0.1;
/// An attempt may take this many times its usual time before it is given up for another engine.
const PATIENCE: f64 = 4.0;
/// First and longest time for which a failing engine is left alone.
const SHUT_FIRST: Micros = 500_000;
const MAX_SHUT: Micros = 8_000_000;
/// How often engines and discovery are looked after, and how often held requests are.
const WATCH_EVERY: Micros = 500_000;
const SWEEP_EVERY: Micros = 50_000;
/// What a pool has answered fades by this at each watch (half in twelve seconds).
const RATE_FADE: f64 = 0.97;
/// Rates are taken as low until engines have been seen for about this many seconds each.
const RATE_AFTER: f64 = 5.0;
/// Part of the budget given out by estimate; of it where all want one engine, as where MOST begin alike.
const COLD_SPREAD: f64 = 0.8;
const COLD_HERD: f64 = 0.75;
const MAJORITY_SHARE: f64 = 0.5;
/// Share of a cold engine's budget in use: a warm engine answers less on the mean than it could.
const COLD_SHARE: f64 = 1.2;
/// A report of this occupancy, or a mark of fullness younger than this, counts as full.
const FULL_FROM: f64 = 0.9;
const CROWDED: f64 = 0.75;
const BUSY: f64 = 0.2;
const LONG: f64 = 0.25;
const FULL_FOR: Micros = 300_000;
/// The fastest read seen fades by this with each sample.
const PACE_FADE: f64 = 0.999;
/// A load report counts for this long.
const REPORT_FOR: Micros = 3_000_000;
/// First tokens are to come within this part of the tightest aim; what the rest of the line would
/// add is spent waiting at the node, where the order can still be chosen.
const TARGET: f64 = 0.5;
/// A full engine's report weighs at least as much as this many own streams.
const MIN_STREAMS: f64 = 8.0;
/// What a request's probes may cost, in points, and the most of them.
const PROBE_COST: f64 = 0.01;
const PROBES: f64 = 3.0;
/// A prompt waits this long for word of the engines that could read it, and so many at once.
const LOOK: Micros = 30_000;
const LOOKS: usize = 4;
/// Writers that have up to this part more than the least load count as least loaded: near ones win.
const NEAR: f64 = 0.25;
/// Links that cost more than this part of the target count as slow.
const LINK_SLOW: f64 = 0.5;
/// And up to so many own streams more where no engine tells its load: own ones tell little of it.
const NEAR_SILENT: f64 = 5.0;
/// A reader without writers in its rack has so much writing at hand, and none has more, in writers.
const MIN_AT_HAND: f64 = 0.02;
const MAX_AT_HAND: f64 = 1.3;
/// How evenly prompts without a shared beginning are read, though rather where little is at hand.
const EVEN: f64 = 0.5;
/// A mixed engine's own writing at hand, in writers: what it reads itself slows its answers.
const MIXED_AT_HAND: f64 = 0.25;
/// How fast the number of requests before their first token grows while on target, and shrinks.
const GROW: f64 = 2.0;
/// This part of the requests has its first token within the time that counts as the usual lead.
const LEAD: f64 = 0.75;
const SHRINK: f64 = 0.94;
/// And no more and no fewer of them than these for each reader that is well, over all nodes.
const FLIGHT_EACH: f64 = 15.0;
const MIN_FLIGHT: f64 = 4.0;
/// While no engine that writes has room, no more than this for each of them.
const FLIGHT_FULL: f64 = 2.5;
/// First tokens further apart than this count as several, up to so many.
const SAMPLE_EVERY: f64 = 100_000.0;
const MAX_SAMPLES: f64 = 5.0;

/// Decides for one node. Feed it every event with the time at which it came.
pub struct Router {
    settings: Settings,
    random: Random,
    pub(crate) engines: Vec<Engine>,
    pub(crate) by_id: HashMap<EngineId, usize>,
    pools: [Pool; 3],
    /// What the list says of each rack.
    pub(crate) racks: BTreeMap<u64, Rack>,
    table: Table,
    pub(crate) live: HashMap<RequestId, Live>,
    waiting: Vec<RequestId>,
    /// Prompts turned away lately, by session and length, and when they first came.
    turned: HashMap<(u64, u64), Micros>,
    /// How often each shared beginning came lately.
    popular: HashMap<u64, f64>,
    /// What each tenant may still send within its share, and as of when.
    buckets: Vec<(f64, Micros)>,
    pub(crate) gauges: Gauges,
}

impl Router {
    /// A router that knows its settings and nothing of the fleet.
    pub fn new(settings: Settings, seed: u64) -> Router {
        Router {
            buckets: vec![(1.0, 0); settings.tenants.len()],
            settings,
            random: Random(seed),
            engines: Vec::new(),
            by_id: HashMap::new(),
            pools: [Pool::default(); 3],
            racks: BTreeMap::new(),
            popular: HashMap::new(),
            table: Table::default(),
            live: HashMap::new(),
            waiting: Vec::new(),
            turned: HashMap::new(),
            // A fresh node may meet a burst: the limit starts wide and evidence shrinks it.
            gauges: Gauges { flight: f64::INFINITY, ..Gauges::default() },
        }
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::EndpointList(form, members) => self.members(now, form, members, acts),
            Event::RequestArrived(request) => self.arrived(now, request),
            Event::FirstToken(id, attempt) => self.first_token(now, &id, attempt),
            Event::AttemptEnded(ended) => self.ended(now, ended, acts),
            Event::ClientLeft(id) => self.close(&id, None, acts),
            Event::HealthChecked(id, answered, load) => self.probed(now, &id, answered, load),
            Event::TimerFired(Timer::DispatchPending) => self.gauges.sweeping = false,
            Event::TimerFired(Timer::Maintenance) => self.watch(now, acts),
        }
        self.pump(now, acts);
    }

    fn members(&mut self, now: Micros, form: ListUpdate, members: Vec<Endpoint>, acts: &mut Vec<Action>) {
        if !self.gauges.watching {
            self.gauges.watching = true;
            self.gauges.rated_at = now;
            acts.push(Action::SetTimer(Timer::Maintenance, WATCH_EVERY));
            if self.settings.discovery == DiscoveryMode::Subscribe {
                self.gauges.asked_at = now;
                acts.push(Action::Subscribe);
            }
        } else {
            self.gauges.subscribed = form != ListUpdate::Failed;
        }
        if form == ListUpdate::Failed {
            return;
        }
        let mut seen = BTreeSet::new();
        for member in members {
            let Some(kind) = self.settings.kinds.iter().find(|k| k.name == member.kind) else { continue };
            let index = match self.by_id.get(&member.engine) {
                Some(&index) => index,
                None => settle(self, Engine::new(now, &member, kind.role)),
            };
            seen.insert(index);
            let engine = &mut self.engines[index];
            engine.listing = member.state;
            engine.registered = if member.weight > 0.0 { member.weight } else { 1.0 };
            // Guards against a cold engine being pushed over, and against a table that tells of
            // texts which a restart has wiped.
            if let Some(started) = member.started.filter(|_| engine.started != member.started) {
                engine.started = member.started;
                engine.cold_until =
                    engine.cold_until.max(started.saturating_add(self.settings.slow_start_duration));
                engine.void_before = engine.void_before.max(started);
                engine.fails = 0;
                engine.shut_until = 0;
            }
        }
        let missing = |index: &usize| form == ListUpdate::Full && !seen.contains(index);
        for index in (0..self.engines.len()).filter(missing) {
            self.engines[index].listing = EndpointState::Gone;
        }
        count(&mut self.racks, &mut self.engines);
    }

    /// Whether one more send keeps a cold engine's budget. The budget is all nodes' together and no
    /// capacity is told: what a warm engine of the pool answers on the mean, this node's part times
    /// the nodes, stands for it. Each node may use an even part of the budget in a window. Where that
    /// is no whole send, its own rate is too low to tell. Reads are spread then: of an even share each node
    /// admits the same part by lot, which sums to the budget's part. All else herds: nodes take turns.
    fn within_cold_budget(&self, now: Micros, live: &Live, index: usize) -> bool {
        let engine = &self.engines[index];
        if now >= engine.cold_until {
            return true;
        }
        // What other engines turned away must not crowd onto the cold ones.
        if !live.tried.is_empty() {
            return false;
        }
        let s = &self.settings;
        let recent = engine.sends.iter().filter(|at| **at + s.overload_window > now).count();
        let window = s.overload_window.max(1) as f64;
        let usual = self.usual(step_of(engine.role)) * window / 1e6;
        let own = (COLD_SHARE * s.slow_start_min_capacity * s.overload_factor * usual)
            .max(1.0 / f64::from(s.nodes.max(1)));
        let lot = |id: &str, seed| xxh3_64_with_seed(id.as_bytes(), seed) as f64 / u64::MAX as f64;
        if own < 1.0 && live.state.is_none() {
            // The same for all cold engines: what one of them does not get must not crowd onto the next.
            let drawn = lot(&live.request.id.0, s.node.into()) * self.crowd(&live.request);
            return recent == 0 && drawn < COLD_SPREAD * s.slow_start_min_capacity * s.overload_factor;
        }
        let part = if own < 1.0 { (own * COLD_HERD).min(1.0) } else { own.fract() };
        let place = lot(&engine.id.0, 0);
        let number = f64::from(s.node) / f64::from(s.nodes.max(1));
        let turn = (now as f64 / window * part + number + place).fract() < part;
        recent < own as usize + usize::from(turn)
    }

    /// Answers a second of one warm engine: as remembered from the life before, until more were seen.
    pub(crate) fn usual(&self, step: usize) -> f64 {
        let (pool, told) = (&self.pools[step], self.settings.remembered_service_rates[step]);
        (pool.answers / pool.engines.max(1.0) / (pool.watched + RATE_AFTER)).max(told)
    }

    /// Guards against engines that are dead, cut off or silent, whatever the cause: each failure in
    /// a row doubles the time for which the engine gets trial work only.
    fn strike(&mut self, now: Micros, index: usize, acts: &mut Vec<Action>) {
        let engine = &mut self.engines[index];
        if engine.fails == 2 {
            acts.push(Action::Log(format!("engine {} fails: left alone for a while", engine.id.0)));
        }
        let span = (SHUT_FIRST << engine.fails.min(8)).min(MAX_SHUT);
        engine.fails += 1;
        engine.shut_until = engine.shut_until.max(now + span);
    }

    /// An engine has answered. One that comes back after failing may have restarted unseen.
    fn answered(&mut self, now: Micros, index: usize) {
        let warm_after = self.settings.slow_start_duration;
        let engine = &mut self.engines[index];
        if engine.down {
            engine.cold_until = engine.cold_until.max(now + warm_after);
        }
        engine.fails = 0;
        engine.shut_until = 0;
        engine.down = false;
    }

    /// Whether an engine gets no new work but one trial at a time.
    fn shut(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        now < engine.shut_until || (engine.fails > 0 && !engine.pending.is_empty())
    }

    /// How many times slower than its pool an engine is; an old finding fades, so it is tried again.
    fn lag(&self, now: Micros, index: usize) -> f64 {
        let engine = &self.engines[index];
        let age = now.saturating_sub(engine.lag_at) as f64 / MAX_SHUT as f64;
        1.0 + (engine.lag - 1.0).max(0.0) * 0.5f64.powf(age * 2.0)
    }

    /// Takes in how long an attempt took, against what its pool usually takes for as much work. The
    /// usual time moves with a pool that is slow as a whole.
    fn timed(&mut self, now: Micros, index: usize, step: usize, tokens: f64, took: f64) {
        let pool = &mut self.pools[step];
        pool.tokens = if pool.samples == 0 { tokens } else { pool.tokens + BLEND * (tokens - pool.tokens) };
        let unit = took / (1.0 + tokens / pool.tokens.max(1.0));
        pool.pace = (pool.pace * PACE_FADE).max(tokens / took.max(1.0));
        if pool.samples == 0 {
            pool.time = unit;
        }
        pool.deviation += BLEND * ((unit - pool.time).abs() - pool.deviation);
        let ratio = (unit / pool.time.max(1.0)).clamp(0.1, 10.0);
        pool.time += BLEND * (unit - pool.time);
        pool.samples += 1;
        let engine = &mut self.engines[index];
        engine.lag += 3.0 * BLEND * (ratio - engine.lag);
        engine.lag_at = now;
    }

    /// Time after which an attempt is better made elsewhere, once enough are known.
    fn patience(&self, step: usize, tokens: f64) -> Option<Micros> {
        let pool = &self.pools[step];
        let usual = (pool.time + pool.deviation) * (1.0 + tokens / pool.tokens.max(1.0));
        (pool.samples >= 5).then(|| usual.mul_add(PATIENCE, self.tightest() * TARGET) as Micros)
    }

    fn probed(&mut self, now: Micros, id: &EngineId, answered: bool, load: Option<LoadReport>) {
        let Some(&index) = self.by_id.get(id) else { return };
        if let Some(load) = load {
            self.engines[index].report = Some((now, load));
        }
        if !answered {
            // A probe that is turned away or waits too long tells of a full engine, if of none worse.
            self.engines[index].full_until = now + WATCH_EVERY;
        }
    }

    fn watch(&mut self, now: Micros, acts: &mut Vec<Action>) {
        acts.push(Action::SetTimer(Timer::Maintenance, WATCH_EVERY));
        let span = now.saturating_sub(self.gauges.rated_at) as f64 / 1e6;
        self.gauges.rated_at = now;
        let mut warm = [0.0f64; 3];
        for engine in &mut self.engines {
            let answers = f64::from(std::mem::take(&mut engine.answers));
            if engine.serving() && now >= engine.cold_until {
                warm[step_of(engine.role)] += 1.0;
                self.pools[step_of(engine.role)].answers += answers;
            }
        }
        for (pool, warm) in self.pools.iter_mut().zip(warm) {
            pool.answers *= RATE_FADE;
            pool.watched = (pool.watched + span) * RATE_FADE;
            pool.engines = warm.max(1.0);
        }
        let s = &self.settings;
        if s.discovery == DiscoveryMode::Subscribe
            && (!self.gauges.subscribed || now > self.gauges.asked_at + s.max_poll_interval / 2)
        {
            self.gauges.asked_at = now;
            acts.push(Action::Subscribe);
        }
        if s.health_checks_allowed && s.reports == LoadReporting::OnHealthCheck {
            // All engines that write, where own traffic pays for it: over many nodes it would outweigh it.
            let wants = |i: &usize| self.engines[*i].serving() && self.engines[*i].role != Role::Reader;
            let all: Vec<usize> = (0..self.engines.len()).filter(wants).collect();
            if self.gauges.probes >= all.len() as f64 {
                self.gauges.probes -= all.len() as f64;
                self.probe(now, all, acts);
            }
        }
        self.gauges.arrivals *= RATE_FADE;
        self.gauges.shared *= RATE_FADE;
        self.popular.values_mut().for_each(|seen| *seen *= RATE_FADE);
        self.popular.retain(|_, seen| *seen > 0.1);
        self.turned.retain(|_, first| now < *first + FADE_HALF);
        self.table.forget_before(now.saturating_sub(4 * FADE_HALF));
    }

    /// Prompt tokens of the request that the engine is expected to hold: by this node's own table, and
    /// at its home also the shared beginning, which of many nodes another has probably sent there.
    /// Guards against following one's own few sends away from the home that all others use.
    fn expected(&self, now: Micros, request: &Request, index: usize, home: Option<usize>) -> f64 {
        let mut best = 0.0f64;
        if home == Some(index) {
            best = (1.0 - self.few()) * request.prefix.map_or(0.0, |_| request.prefix_tokens as f64);
        }
        for (key, most) in keys(request) {
            for (engine, tokens, at) in self.table.kept(key) {
                if *engine == index && *at >= self.engines[index].void_before {
                    let age = now.saturating_sub(*at) as f64 / FADE_HALF as f64;
                    best = best.max((*tokens).min(most) as f64 * 0.5f64.powf(age));
                }
            }
        }
        best
    }

    fn remember(&mut self, now: Micros, request: &Request, index: usize) {
        for (key, tokens) in keys(request) {
            self.table.remember(key, (index, tokens, now));
        }
    }

    /// The readers and mixed engines in the order of the key's ring, the home first. Every node
    /// gets the same order from the same list, in whatever order the list came. What is mostly kept
    /// at its home moves far more than it reads: a shared beginning's place on the ring is weighed by
    /// the writing at hand there, so that states need not cross their rack's one link.
    fn ring(&self, request: &Request) -> Vec<usize> {
        let key = request.prefix.unwrap_or(request.session);
        let readers = self.engines.iter().enumerate().filter(|(_, e)| e.serving() && e.role != Role::Writer);
        let place = |e: &Engine| {
            let drawn = (xxh3_64_with_seed(e.id.0.as_bytes(), key) as f64 + 1.0) / u64::MAX as f64;
            let hand = match e.role {
                Role::Mixed => MIXED_AT_HAND,
                _ => self.racks.get(&e.rack).map_or(MIN_AT_HAND, at_hand),
            };
            -drawn.ln() / if request.prefix.is_some() { hand } else { 1.0 / (EVEN + hand) }
        };
        let mut ring: Vec<_> = readers.map(|(i, e)| (place(e), &e.id, i)).collect();
        ring.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let mut ring: Vec<usize> = ring.into_iter().map(|(_, _, i)| i).collect();
        // Guards against beginnings too popular for one rack's writers: the first few share them.
        let homes = (self.homes(request) as usize).min(ring.len());
        if homes > 1 {
            ring[..homes].rotate_left(request.session as usize % homes);
        }
        ring
    }

    /// How many writers' worth of all requests begin as this one does: each has a home of its own.
    fn worth(&self, request: &Request) -> f64 {
        let seen = request.prefix.and_then(|p| self.popular.get(&p)).map_or(0.0, |n| (n - 1.0).max(0.0));
        seen / self.gauges.arrivals.max(1.0) * self.writers()
    }

    /// Homes of a request's beginning; where nodes are blind each would have others by its few counts.
    fn homes(&self, request: &Request) -> f64 {
        self.worth(request).ceil().max(if self.blind() { BLIND_HOMES } else { 1.0 })
    }

    /// How many even shares of all requests a home of this one's beginning gets: the less seen, the more.
    fn crowd(&self, request: &Request) -> f64 {
        let seen = request.prefix.and_then(|p| self.popular.get(&p)).map_or(0.0, |n| *n);
        let part = seen / self.gauges.arrivals.max(1.0);
        (part * self.writers() / self.homes(request)).max(if part > MAJORITY_SHARE {
            1.0 / COLD_HERD
        } else {
            1.0
        })
    }

    /// Listed engines that write.
    fn writers(&self) -> f64 {
        self.racks.values().map(|r| r.writers).sum()
    }

    fn choose_reader(&self, now: Micros, live: &Live) -> Option<usize> {
        let mut ring = self.ring(&live.request);
        let home = ring.first().copied();
        let held: Vec<f64> = ring.iter().map(|&i| self.expected(now, &live.request, i, home)).collect();
        // Of several homes of a beginning each session has its own, though another be the fresher one.
        let band = if self.worth(&live.request) > 1.0 { 1.0 + NEAR } else { 1.0 };
        let mut start = 0;
        for (place, tokens) in held.iter().enumerate() {
            if *tokens >= MIN_MATCH && (held[start] < MIN_MATCH || *tokens > held[start] * band) {
                start = place;
            }
        }
        ring.rotate_left(start);
        ring.retain(|&i| self.lawful(now, live, i));
        let well =
            |i: usize| !self.shut(now, i) && !live.tried.contains(&i) && !self.engines[i].spurns(now, live);
        let mut open: Vec<usize> = ring.iter().copied().filter(|&i| well(i)).collect();
        // Guards against homes behind a slow link with too few writers before it: what is read there stays.
        let slow = |rack: u64| self.knows(now, rack).is_some() && self.far_cost(now, rack) > LINK_SLOW;
        let free = |i: &usize| !slow(self.engines[*i].rack) || self.drawn(self.engines[*i].rack) < CAP_FACTOR;
        // Guards against spills that only read the same text again: the other line has to be shorter.
        let whole = live.request.prompt_tokens as f64;
        let own = |i: usize| whole - self.expected(now, &live.request, i, home);
        let line = |i: usize| ((self.line(now, i) + own(i)) * self.lag(now, i)) as u64;
        let sums = self.sums(now);
        let room = |i: &usize| !self.over_cap(now, &live.request, *i, own(*i), sums);
        // Nor may what is left drown in reads: a link is slow for seconds, a line that long for longer.
        if live.request.prefix.is_some() && open.iter().any(|i| free(i) && room(i) && !self.full(now, *i)) {
            open.retain(free);
        }
        let first = open.first().map_or(0, |&i| line(i));
        let fits = |i: &usize| room(i) && line(*i) <= first;
        let under = open.iter().copied().find(fits);
        // Where every reader is over its cap the shortest line serves; where none is well, the one
        // that has failed least: backing off all of them would be the harm.
        let shortest = |&i: &usize| (self.full(now, i), line(i));
        let least_bad = |&i: &usize| (live.tried.contains(&i), self.engines[i].shut_until);
        under
            .or_else(|| open.iter().copied().min_by_key(shortest))
            .or_else(|| ring.iter().copied().min_by_key(least_bad))
    }

    /// The bounded-load cap. A slow engine has a smaller share; a mixed one is also bounded in
    /// its streams, so that reads do not pile onto engines that write.
    fn over_cap(&self, now: Micros, request: &Request, index: usize, own: f64, sums: [f64; 2]) -> bool {
        let engine = &self.engines[index];
        let [lines, streams] = sums;
        let (lag, line) = (self.lag(now, index), self.line(now, index));
        let cap = (CAP_FACTOR * (lines + own) / lag).max(request.prompt_tokens as f64);
        let write_cap = (CAP_FACTOR * streams).ceil().max(1.0);
        // Reading slows every answer of a mixed engine: a busy or silent one takes only what it mostly holds.
        let busy = self.silent() || engine.told(now, REPORT_FOR).is_some_and(|told| told >= BUSY);
        let long = busy && own > request.prompt_tokens as f64 * LONG;
        let writes_over = engine.role == Role::Mixed
            && (long || f64::from(engine.streams) >= write_cap || self.full(now, index));
        (line > 0.0 && line + own > cap) || writes_over
    }

    /// Tokens that wait to be read at an engine: this node's, or what it has told of all nodes', less
    /// what it can have read since. Guards against keys and engines that are hot by what others send.
    fn line(&self, now: Micros, index: usize) -> f64 {
        let engine = &self.engines[index];
        let Some((at, load)) = engine.report.filter(|r| now < r.0 + FADE_HALF) else { return engine.unread };
        let queue = load.queue.map(|q| q * self.pools[READ].tokens);
        let told = load.backlog.map(|b| b * 1000.0).or(queue).unwrap_or(0.0);
        let read = now.saturating_sub(at) as f64 * self.pools[step_of(engine.role)].pace;
        engine.unread.max((told - read) * (1.0 - self.few()))
    }

    /// The mean line of the readers that are well, and the mean of own streams at engines that write.
    fn sums(&self, now: Micros) -> [f64; 2] {
        let (mut lines, mut readers, mut streams, mut writers) = (0.0, 0.0f64, 1.0, 0.0f64);
        for (i, e) in self.engines.iter().enumerate().filter(|(_, e)| e.serving()) {
            if e.role != Role::Writer && !self.shut(now, i) {
                lines += self.line(now, i);
                readers += 1.0;
            }
            if e.role != Role::Reader {
                streams += f64::from(e.streams);
                writers += 1.0;
            }
        }
        [lines / readers.max(1.0), streams / writers.max(1.0)]
    }

    /// Guards against writers without room: told by refusals and reports, or by own sends that wait
    /// far longer than is usual for a first token.
    fn full(&self, now: Micros, index: usize) -> bool {
        let engine = &self.engines[index];
        let limit = (self.tightest() / 3.0) as Micros;
        let stalled = engine.pending.iter().any(|((sent, _), (_, far))| !far && now > sent + limit);
        let queue = engine.report.map_or(0.0, |(_, load)| load.queue.unwrap_or(0.0));
        let most = if queue >= 1.0 { CROWDED } else { FULL_FROM };
        let told = engine.told(now, REPORT_FOR).is_some_and(|t| t >= most);
        now < engine.full_until || (engine.role != Role::Reader && (stalled || told))
    }

    /// No engine tells its load.
    fn silent(&self) -> bool {
        self.settings.reports == LoadReporting::Off
    }

    /// How far a node sees the fleet's traffic in its own: 1 for few nodes, next to 0 for many.
    fn few(&self) -> f64 {
        (FEW_NODES / f64::from(self.settings.nodes.max(1))).min(1.0)
    }

    /// One of so many nodes that it seldom knows how the engine it sends to is doing.
    fn blind(&self) -> bool {
        self.few() < 0.1
    }

    /// The tightest aim of any class.
    fn tightest(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1_000_000) as f64
    }

    /// Without reports the list stands in for them: how many times an even part of the fleet's
    /// streams a rack's writers get if all that is read there stays there. Guards against near
    /// writers that all nodes prefer, which one of many nodes cannot see.
    fn drawn(&self, rack: u64) -> f64 {
        let Some(own) = self.racks.get(&rack) else { return 0.0 };
        let sum = |of: fn(&Rack) -> f64| self.racks.values().map(of).sum::<f64>().max(1e-9);
        let homes = |r: &Rack| r.readers * at_hand(r);
        let plain = |r: &Rack| r.readers / (EVEN + at_hand(r));
        let shared = self.gauges.shared / self.gauges.arrivals.max(1.0);
        let part = shared * homes(own) / sum(homes) + (1.0 - shared) * plain(own) / sum(plain);
        part * sum(|r| r.writers) / own.writers.max(1e-9)
    }

    /// A writer's load in this node's streams: its own, and as much again as reports tell. An old
    /// report says less and less, and where none is known the mean of the others stands for it.
    fn load(&self, now: Micros, index: usize, mean: Option<f64>, scale: f64) -> f64 {
        let engine = &self.engines[index];
        let own = f64::from(engine.streams);
        let told = mean.map(|mean| {
            let at = engine.report.map_or(0, |(at, _)| at);
            let fresh = 0.5f64.powf(now.saturating_sub(at) as f64 / REPORT_FOR as f64);
            (mean + (engine.told(now, Micros::MAX).unwrap_or(mean) - mean) * fresh) * scale
        });
        (own + told.unwrap_or(own)) / engine.weight * self.lag(now, index)
    }

    /// How much longer first tokens take when the state leaves its rack, in parts of the target.
    /// Guards against slow links, whatever slows them; it fades, so that far writers are tried again.
    fn far_cost(&self, now: Micros, rack: u64) -> f64 {
        let near = self.gauges.near.0;
        let part = |(far, at): (f64, Micros)| {
            let age = now.saturating_sub(at) as f64 / MAX_SHUT as f64;
            ((far - near) / (self.tightest() * TARGET)).clamp(0.0, 2.0) * 0.5f64.powf(age)
        };
        // A rack's own link where this node knows it, else the mean of all.
        self.knows(now, rack).map_or(part(self.gauges.far), |r| part(r.far))
    }

    /// A rack whose link this node has seen two states or more cross lately.
    fn knows(&self, now: Micros, rack: u64) -> Option<&Rack> {
        self.racks.get(&rack).filter(|r| r.heard >= 2 && now < r.far.1 + MAX_SHUT)
    }

    fn choose_writer(&mut self, now: Micros, live: &Live) -> Option<usize> {
        let reader = live.state?;
        let able: Vec<usize> = (0..self.engines.len())
            .filter(|&i| self.engines[i].role != Role::Reader)
            .filter(|&i| self.lawful(now, live, i) && !live.tried.contains(&i))
            .collect();
        let (mut told, mut own, mut known) = (0.0, 0.0, 0.0);
        for engine in able.iter().map(|&i| &self.engines[i]) {
            if let Some(share) = engine.told(now, FADE_HALF) {
                told += share;
                own += f64::from(engine.streams);
                known += 1.0;
            }
        }
        // Of many nodes each has next to no streams: reports keep a least weight against them.
        let scale = if told > 0.0 { (own / told).max(MIN_STREAMS) } else { 0.0 };
        let mean = (known > 0.0).then(|| told / known);
        // Pure writers first; a failing one last.
        let rack = self.engines[reader].rack;
        let far_cost = self.far_cost(now, rack);
        let rank = |i: usize| {
            let e = &self.engines[i];
            let full = self.full(now, i) || e.spurns(now, live);
            let mixed = e.role == Role::Mixed && !self.silent();
            (self.shut(now, i), full, far_cost > LINK_SLOW && e.rack != rack, mixed)
        };
        let best = able.iter().map(|&i| rank(i)).min()?;
        let peers: Vec<(usize, f64)> =
            able.iter().filter(|&&i| rank(i) == best).map(|&i| (i, self.load(now, i, mean, scale))).collect();
        let least = peers.iter().map(|p| p.1).fold(f64::INFINITY, f64::min);
        let band = if self.silent() { NEAR_SILENT } else { 1.0 } + least * (NEAR + far_cost);
        let zone = &self.engines[reader].zone;
        let far = |i: usize| (self.engines[i].rack != rack, self.engines[i].zone != *zone);
        let mut near: Vec<usize> = peers.iter().filter(|p| p.1 <= least + band).map(|p| p.0).collect();
        let here = near.iter().any(|&i| self.engines[i].rack == rack);
        let chance = if here && self.silent() { self.random.draw() as f64 / u64::MAX as f64 } else { 0.0 };
        let spare = |i: &usize| self.drawn(self.engines[*i].rack) < 1.0;
        if chance * self.drawn(rack) > CAP_FACTOR && near.iter().any(spare) {
            near.retain(spare);
        }
        let nearest = near.iter().map(|&i| far(i)).min()?;
        near.retain(|&i| far(i) == nearest);
        let pick = self.random.draw() as usize % near.len();
        Some(near[pick])
    }

    fn arrived(&mut self, now: Micros, request: Request) {
        let class = request.class.and_then(|c| self.settings.classes.get(c));
        let aim = class.map_or(request.client_timeout / 2, |c| {
            c.latency_objective.saturating_add(
                c.latency_objective_per_1000_tokens.saturating_mul(request.prompt_tokens) / 1000,
            )
        });
        let aim = if request.resumed { request.client_timeout } else { aim };
        // A class that nobody named must not run twice.
        let effect = class.map_or(Idempotency::NotIdempotent, |c| c.effect);
        let over_share = self.over_share(now, request.tenant);
        // Guards against retry storms: a prompt that was turned away lately has its aim counted from
        // its first try, so that a retry that can only be late does not go before fresh requests.
        let prompt = (request.session, request.prompt_tokens);
        let first = self.turned.get(&prompt).map_or(now, |first| *first);
        self.gauges.arrivals += 1.0;
        if let Some(prefix) = request.prefix {
            *self.popular.entry(prefix).or_default() += 1.0;
            self.gauges.shared += 1.0;
        }
        let id = request.id.clone();
        let live = Live::new(now, request, effect, first, aim, over_share);
        if let Entry::Vacant(place) = self.live.entry(id.clone()) {
            place.insert(live);
            self.waiting.push(id);
        }
    }

    /// The one gate of every send: drains, cold budgets, effects, attempts, overlap and time left.
    fn lawful(&self, now: Micros, live: &Live, index: usize) -> bool {
        let engine = &self.engines[index];
        let steps = if engine.role == Role::Reader { 2 } else { 1 };
        let effect_kept = match (live.ran, live.effect) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NotIdempotent) => false,
            (Some((first, sent)), Idempotency::WithKey(group, window)) => {
                let first = &self.engines[first];
                let inside = match group {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => first.zone == engine.zone,
                    IdempotencyScope::Rack => first.rack == engine.rack,
                };
                // Guards against a repeat that connects so late that its engine has forgotten the first.
                inside && now + self.settings.connect_timeout < sent + window
            }
        };
        engine.serving()
            && effect_kept
            && !live.done
            && live.out.is_none()
            && live.attempts + steps <= self.settings.max_attempts
            && now < live.deadline
            && self.within_cold_budget(now, live, index)
    }

    fn send(&mut self, now: Micros, id: &RequestId, index: usize, acts: &mut Vec<Action>) {
        let Some(mut live) = self.live.remove(id) else { return };
        let fetches = live.state.is_some();
        let role = self.engines[index].role;
        let step = match role {
            Role::Reader => READ,
            _ if fetches => WRITE,
            _ => BOTH,
        };
        let home = if fetches { None } else { self.ring(&live.request).first().copied() };
        let expected = self.expected(now, &live.request, index, home);
        let left = live.deadline.saturating_sub(now);
        let unread = if fetches { 0.0 } else { (live.request.prompt_tokens as f64 - expected).max(0.0) };
        // Time-outs guard against engines that fall silent. What might have run and must not run
        // twice keeps the whole time: giving it up early would gain nothing. A blind node knows of no
        // better reader, and what it moves is read twice and crowds out what others keep.
        let repeatable = step == READ || live.effect == Idempotency::Idempotent;
        let timeout = match self.patience(step, unread) {
            _ if step == READ && self.blind() => left,
            Some(span) if repeatable && live.attempts + 2 < self.settings.max_attempts => span.min(left),
            None if repeatable => (live.aim_at.saturating_sub(now) / 2).clamp(left / 4, left),
            _ => left,
        };
        self.gauges.serial += 1;
        let serial = self.gauges.serial;
        let out =
            Out { attempt: live.attempts, engine: index, sent: now, serial, step, unread, started: false };
        if live.attempts == 0 {
            live.begun = now;
            self.gauges.begun_at = now;
        }
        live.attempts += 1;
        live.out = Some(out);
        live.waiting = false;
        let window = self.settings.overload_window;
        let far = live.state.is_some_and(|reader| self.engines[reader].rack != self.engines[index].rack);
        let engine = &mut self.engines[index];
        engine.pending.insert((now, serial), (id.clone(), far));
        engine.unread += unread;
        engine.sends.push_back(now);
        while engine.sends.front().is_some_and(|at| at + window < now) {
            engine.sends.pop_front();
        }
        if step != READ {
            engine.streams += 1;
        }
        acts.push(Action::Send(id.clone(), engine.id.clone(), timeout));
        if step != WRITE {
            self.remember(now, &live.request, index);
        }
        self.live.insert(id.clone(), live);
        if step == READ {
            self.look_ahead(now, index, acts);
        }
    }

    /// Guards against a choice of writer by reports that are old or missing: while a prompt is read
    /// a few likely writers are probed, near ones first, as far as the price allows.
    fn look_ahead(&mut self, now: Micros, reader: usize, acts: &mut Vec<Action>) {
        if !self.settings.health_checks_allowed || self.silent() {
            return;
        }
        let each = self.probes_each();
        self.gauges.probes = (self.gauges.probes + each).min(self.writers().max(each));
        let (rack, zone) = (self.engines[reader].rack, self.engines[reader].zone.clone());
        let seed = self.random.draw();
        let mut likely: Vec<_> = (0..self.engines.len())
            .filter(|&i| self.engines[i].serving() && self.engines[i].role == Role::Writer)
            .filter(|&i| !self.shut(now, i) && now > self.engines[i].probed + WATCH_EVERY)
            .map(|i| {
                let e = &self.engines[i];
                (e.rack != rack, e.zone != zone, xxh3_64_with_seed(e.id.0.as_bytes(), seed), i)
            })
            .collect();
        likely.sort_unstable();
        // The last one is looked for outside the rack, so that there is a choice.
        let most = (each as usize).min(self.gauges.probes as usize);
        let outside = likely.iter().position(|l| l.0).filter(|&at| at >= most).into_iter();
        let picks: Vec<usize> = outside.chain(0..likely.len()).take(most).map(|at| likely[at].3).collect();
        self.gauges.probes -= picks.len() as f64;
        self.probe(now, picks, acts);
    }

    fn probe(&mut self, now: Micros, engines: Vec<usize>, acts: &mut Vec<Action>) {
        for index in engines {
            self.engines[index].probed = now;
            acts.push(Action::HealthCheck(self.engines[index].id.clone()));
        }
    }

    fn first_token(&mut self, now: Micros, id: &RequestId, attempt: Attempt) {
        let Some(live) = self.live.get_mut(id) else { return };
        let aim = live.aim as f64 * TARGET;
        let Some(out) = live.out.as_mut().filter(|o| o.attempt == attempt && !o.started) else { return };
        out.started = true;
        let out = *out;
        let reader = live.state.take();
        self.engines[out.engine].begun(&out);
        // Guards against lines that build up at engines, whatever fills them. What a failed attempt
        // has cost tells nothing of the lines.
        let lead = now.saturating_sub(live.begun) as f64;
        let gauges = &mut self.gauges;
        if live.attempts == if out.step == WRITE { 2 } else { 1 } {
            let step = if lead > gauges.lead { BLEND * LEAD } else { BLEND * (LEAD - 1.0) };
            gauges.lead = if gauges.lead == 0.0 { lead } else { gauges.lead * (1.0 + step) };
            self.paced(now, lead < aim);
        }
        self.moved(now, reader, out.engine, now.saturating_sub(out.sent) as f64);
        self.answered(now, out.engine);
        self.engines[out.engine].answers += 1;
        self.timed(now, out.engine, out.step, out.unread, now.saturating_sub(out.sent) as f64);
    }

    /// Takes in whether a first token came on target. A node that has few of them takes longer steps.
    fn paced(&mut self, now: Micros, on_target: bool) {
        let readers = self.engines.iter().filter(|e| e.serving() && e.role != Role::Writer).count() as f64;
        let nodes = f64::from(self.settings.nodes.max(1));
        let most_steps = MAX_SAMPLES - (MAX_SAMPLES - 1.0) * self.few();
        let gauges = &mut self.gauges;
        let many = (now.saturating_sub(gauges.paced_at) as f64 / SAMPLE_EVERY).clamp(1.0, most_steps);
        gauges.paced_at = now;
        gauges.flight = match on_target {
            true => gauges.flight + (GROW * many / gauges.flight.max(1.0)).min(gauges.flight / 2.0),
            false => gauges.flight * SHRINK.powf(many),
        };
        let (least, most) = (MIN_FLIGHT * readers / nodes, FLIGHT_EACH * readers / nodes);
        gauges.flight = gauges.flight.max(least).min(most.max(MIN_FLIGHT));
    }

    /// Takes in how long a state took to where its answer began, or did not begin.
    fn moved(&mut self, now: Micros, reader: Option<usize>, writer: usize, took: f64) {
        let Some(rack) = reader.map(|reader| self.engines[reader].rack) else { return };
        let blend = |usual: &mut (f64, Micros)| *usual = (usual.0 + 2.0 * BLEND * (took - usual.0), now);
        if rack == self.engines[writer].rack {
            return blend(&mut self.gauges.near);
        }
        let own = self.racks.entry(rack).or_default();
        if now >= own.far.1 + MAX_SHUT {
            (own.far, own.heard) = (self.gauges.far, 0);
        }
        own.heard += 1;
        blend(&mut own.far);
        blend(&mut self.gauges.far);
    }

    fn ended(&mut self, now: Micros, ended: AttemptEnd, acts: &mut Vec<Action>) {
        let AttemptEnd { id, attempt, outcome, is_final: last, cached_tokens: kept, load } = ended;
        let Some(mut live) = self.live.remove(&id) else {
            // An attempt of a request that is long over may still leave a state behind.
            if outcome == Outcome::Read {
                acts.push(Action::Release(id));
            }
            return;
        };
        let Some(out) = live.out.filter(|o| o.attempt == attempt) else {
            self.live.insert(id, live);
            return;
        };
        live.out = None;
        let index = out.engine;
        let engine = &mut self.engines[index];
        engine.begun(&out);
        if out.step != READ {
            engine.streams = engine.streams.saturating_sub(1);
        }
        if let Some(load) = load {
            engine.report = Some((now, load));
        }
        let took = now.saturating_sub(out.sent) as f64;
        match outcome {
            Outcome::Read => {
                self.answered(now, index);
                self.engines[index].answers += 1;
                let tokens = live.request.prompt_tokens.saturating_sub(kept) as f64;
                self.timed(now, index, out.step, tokens, took);
                self.remember(now, &live.request, index);
                live.state = Some(index);
                live.read = true;
                live.tried.clear();
            }
            Outcome::Served => self.answered(now, index),
            Outcome::Overloaded => {
                // Guards against engines that are full for one tenant only: they have told room.
                let room = engine.told(now, REPORT_FOR).is_some_and(|told| told < CROWDED);
                if room && live.request.tenant.is_some() {
                    engine.spurned = (live.request.tenant, now + MAX_SHUT);
                } else {
                    engine.full_until = now + FULL_FOR;
                }
                live.tried.push(index);
            }
            // A state that cannot be fetched may still wait at a reader that is cut off.
            Outcome::StateNotFound => {
                live.state = None;
                acts.push(Action::Release(id.clone()));
            }
            Outcome::Unreachable | Outcome::ConnectionBroken | Outcome::TimedOut | Outcome::Error => {
                // A time-out at the client's deadline tells of a long line as often as of the engine.
                let late = outcome == Outcome::TimedOut && now >= live.deadline;
                if outcome == Outcome::TimedOut {
                    // Of many nodes each may see next to no first tokens: what never had one counts as late.
                    if self.few() < 0.5 {
                        self.paced(now, false);
                    }
                    self.timed(now, index, out.step, 0.0, took);
                    self.moved(now, live.state, index, took);
                }
                // Guards against reading anew elsewhere what is kept by now where its answer got lost.
                let (first, warm) = (self.engines[index].fails == 0, now >= self.engines[index].cold_until);
                let again = out.step == READ && outcome != Outcome::Unreachable && first && warm;
                // A single error may be the request's own, a single break the connection's: the next counts.
                if again || (first && matches!(outcome, Outcome::Error | Outcome::ConnectionBroken)) {
                    self.engines[index].fails = 1;
                } else if !late {
                    self.strike(now, index, acts);
                }
                // Guards against sound engines that count as cold: one that restarts refuses, time and again.
                let refused = outcome == Outcome::Unreachable && self.engines[index].fails > 1;
                self.engines[index].down |= refused;
                // Guards against writers that read a whole prompt between the steps of their answers:
                // after a lost answer the state may be fetched and gone, and nobody turns the next one
                // away. The reader still keeps the text, so reading it there again costs next to nothing.
                let gone = self.settings.writers_read_prompts && outcome != Outcome::Unreachable;
                if gone && live.state.take().is_some() {
                    acts.push(Action::Release(id.clone()));
                }
                if !again {
                    live.tried.push(index);
                }
            }
            Outcome::Cancelled => live.tried.push(index),
            Outcome::NeverSent => {}
        }
        let harmless = matches!(
            outcome,
            Outcome::Read
                | Outcome::Overloaded
                | Outcome::StateNotFound
                | Outcome::Unreachable
                | Outcome::NeverSent
        );
        if !harmless && out.step != READ && live.ran.is_none() {
            live.ran = Some((index, out.sent));
        }
        if live.done {
            // The request is over; whatever this attempt has left is let go.
            acts.push(Action::Release(id));
            return;
        }
        if last {
            if !out.started && live.read {
                acts.push(Action::Release(id));
            }
            return;
        }
        self.live.insert(id.clone(), live);
        self.advance(now, &id, acts);
    }

    /// The next step of a request that has no attempt out.
    fn advance(&mut self, now: Micros, id: &RequestId, acts: &mut Vec<Action>) {
        let Some(live) = self.live.remove(id) else { return };
        let reading = live.state.is_none();
        let choice = if reading { self.choose_reader(now, &live) } else { self.choose_writer(now, &live) };
        let waits = reading && live.ran.is_none() && now + 2 * SWEEP_EVERY < live.aim_at;
        let attempts_left = live.attempts + 2 <= self.settings.max_attempts;
        self.live.insert(id.clone(), live);
        match choice {
            Some(index) if reading && waits && self.looks(now, id, index, acts) => {}
            Some(index) => self.send(now, id, index, acts),
            // Nothing may be sent to just now: wait while it pays and there is time for another look.
            None if waits && attempts_left => {
                if let Some(live) = self.live.get_mut(id).filter(|l| !l.waiting) {
                    live.waiting = true;
                    self.waiting.push(id.clone());
                }
            }
            None => self.finish(id, acts),
        }
    }

    /// Guards against engines that other nodes fill, which one of many nodes cannot see: before a read
    /// the engine and the next ones are probed, and the prompt waits a moment for their word.
    fn looks(&mut self, now: Micros, id: &RequestId, index: usize, acts: &mut Vec<Action>) -> bool {
        let stale = |e: &Engine| e.report.is_none_or(|(at, _)| now > at + WATCH_EVERY);
        let Some(live) = self.live.get(id) else { return false };
        let blind = self.few() < 0.5 && self.settings.health_checks_allowed && !self.silent();
        let fresh = live.attempts == 0 && !live.request.resumed;
        // In a burst a node is not blind, and nothing is gained by looking again and again for each.
        let waited = self.waiting.len() >= LOOKS || live.looked.is_some_and(|at| now >= at + LOOK);
        if !blind || !fresh || waited || !stale(&self.engines[index]) {
            return false;
        }
        if live.looked.is_none() {
            let mut ring = self.ring(&live.request);
            let start = ring.iter().position(|&i| i == index).unwrap_or(0);
            ring.rotate_left(start);
            ring.retain(|&i| !self.shut(now, i) && stale(&self.engines[i]));
            ring.truncate(self.probes_each() as usize);
            self.probe(now, ring, acts);
        }
        if let Some(live) = self.live.get_mut(id) {
            live.looked = live.looked.or(Some(now));
            live.waiting = true;
            self.waiting.push(id.clone());
        }
        true
    }

    /// How many probes the price leaves a request.
    fn probes_each(&self) -> f64 {
        (PROBE_COST / self.settings.health_check_price.max(PROBE_COST / PROBES)).min(PROBES)
    }

    /// The one exit: the final answer, as the class allows, and the release of what is held.
    fn finish(&mut self, id: &RequestId, acts: &mut Vec<Action>) {
        let Some(live) = self.live.get(id) else { return };
        self.turned.insert((live.request.session, live.request.prompt_tokens), live.first);
        let refusable = match live.effect {
            Idempotency::Idempotent | Idempotency::WithKey(IdempotencyScope::All, _) => true,
            _ => live.ran.is_none(),
        };
        let answer =
            if refusable { Action::Reject(id.clone(), self.advice()) } else { Action::Fail(id.clone()) };
        self.close(id, Some(answer), acts);
    }

    /// Ends a request; attempts still out are called off and watched until their outcome.
    fn close(&mut self, id: &RequestId, answer: Option<Action>, acts: &mut Vec<Action>) {
        let Some(live) = self.live.get_mut(id).filter(|l| !l.done) else { return };
        acts.extend(answer);
        live.done = true;
        live.waiting = false;
        match live.out {
            Some(out) => {
                if self.settings.cancellation_allowed && !out.started {
                    acts.push(Action::Cancel(id.clone(), out.attempt));
                }
            }
            None => {
                if live.read {
                    acts.push(Action::Release(id.clone()));
                }
                self.live.remove(id);
            }
        }
    }

    fn advice(&mut self) -> Option<Micros> {
        let most = self.settings.max_retry_after;
        let jitter = self.random.draw();
        (self.settings.clients_honour_retry_after && most > 0).then(|| most / 4 + jitter % (most / 4).max(1))
    }

    /// Whether a tenant has used up this node's part of its share.
    fn over_share(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let Some(index) = tenant else { return false };
        let Some(tenant) = self.settings.tenants.get(index) else { return false };
        let rate = tenant.quota_per_s / f64::from(self.settings.nodes);
        if rate <= 0.0 {
            return false;
        }
        let (level, at) = &mut self.buckets[index];
        let gained = now.saturating_sub(*at) as f64 / 1e6 * rate;
        *level = (*level + gained).min((2.0 * rate).max(1.0)) - 1.0;
        *at = now;
        let over = *level < 0.0;
        *level = level.max(-1.0);
        over
    }

    /// Requests that may still be started before earlier ones get their first tokens. Guards against
    /// reads that land while no writer has room: held back before the read, not after.
    /// Of many nodes each may have less than one on its way: then there is time between its starts.
    fn room(&self, now: Micros) -> usize {
        // What is over the target at a slow engine takes no room from others, where a node has but little.
        let recent = now.saturating_sub((self.tightest() * TARGET) as Micros);
        let (mut open, mut flight, mut late, mut able, mut readers, mut ready) = (0, 0, 0, 0u32, 0u32, 0);
        for (index, engine) in self.engines.iter().enumerate().filter(|(_, e)| e.serving()) {
            let (well, full) = (!self.shut(now, index), self.full(now, index));
            // What hangs at an engine that has failed takes no room from the others.
            let fresh = engine.pending.range((recent, 0)..).count();
            flight += if well { fresh } else { 0 };
            late += if well { engine.pending.len() - fresh } else { 0 };
            let reads = engine.role != Role::Writer && now >= engine.full_until;
            ready += usize::from(reads);
            readers += u32::from(reads && well);
            able += u32::from(engine.role != Role::Reader && well);
            open += usize::from(engine.role != Role::Reader && well && !full);
        }
        let nodes = f64::from(self.settings.nodes.max(1));
        let most = match (open, ready) {
            (0, _) => FLIGHT_FULL / nodes * f64::from(able),
            (_, 0) => 0.0,
            _ => self.gauges.flight.max(MIN_FLIGHT / nodes * f64::from(readers)),
        };
        let most = most.max(FLIGHT_FULL / nodes);
        let gap = self.gauges.lead.max(self.tightest() * TARGET) / most.fract();
        let one_more = now.saturating_sub(self.gauges.begun_at) as f64 >= gap;
        (most as usize + usize::from(one_more)).saturating_sub(flight + (late as f64 * self.few()) as usize)
    }

    /// Starts held requests as there is room, and gives up those that cannot be in time any more.
    fn pump(&mut self, now: Micros, acts: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let live = &self.live;
        self.waiting.retain(|id| live.get(id).is_some_and(|l| l.waiting));
        self.waiting.sort_by_key(|id| {
            let l = &live[id];
            // A stream that comes back has had its first token, and its pace leaves it some time: it
            // lets fresh requests go first, but not for long, as half its work is done.
            let due = now >= l.arrived + (l.deadline - l.arrived) / 3;
            let turn = if !l.request.resumed { 1 } else { 2 * i32::from(!due) };
            (l.over_share, turn, std::cmp::Reverse(l.first), l.request.id.clone())
        });
        let mut room = self.room(now);
        // A held request is given up when its first token would come late as things go: serving it makes
        // the next one late. No later than two looks before: no deadline must fall between two of them.
        let lead = (self.gauges.lead as Micros).max(2 * SWEEP_EVERY);
        for id in std::mem::take(&mut self.waiting) {
            let Some(live) = self.live.get_mut(&id) else { continue };
            let late = now.saturating_add(lead) >= live.aim_at;
            if room > 0 && now < live.deadline && (!late || now == live.arrived) {
                live.waiting = false;
                let before = acts.len();
                self.advance(now, &id, acts);
                if acts[before..].iter().any(|a| matches!(a, Action::Send(..))) {
                    room -= 1;
                }
            } else if late || now >= live.deadline {
                self.finish(&id, acts);
            } else {
                self.waiting.push(id);
            }
        }
        if !self.waiting.is_empty() && !self.gauges.sweeping {
            self.gauges.sweeping = true;
            acts.push(Action::SetTimer(Timer::DispatchPending, SWEEP_EVERY));
        }
    }
}

/// Writers of a rack for each of its readers: what one of them can feed from near.
fn at_hand(rack: &Rack) -> f64 {
    (rack.writers / rack.readers.max(1.0)).clamp(MIN_AT_HAND, MAX_AT_HAND)
}

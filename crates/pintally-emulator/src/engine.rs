//! One engine: a queue, a batch that runs step by step, and memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cold::WarmUp;
use crate::faults::Faults;
use crate::memory::{BlockHash, Memory};
use crate::notice::{FreedBy, Notice, Refusal};
use crate::report::{LoadReporter, Report};
use crate::spec::{EngineRole, Spec};
use crate::Micros;

/// Identifies one piece of work within a run.
pub type WorkId = u64;

/// One piece of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Its identifier, which also identifies the read state that it leaves.
    pub id: WorkId,
    /// Whether it only reads its prompt and leaves a read state.
    pub reads_only: bool,
    /// The read state that it fetches instead of reading its prompt.
    pub fetches: Option<WorkId>,
    /// Hashes of the whole blocks of its prompt, in order.
    pub chain: Vec<BlockHash>,
    /// Length of its prompt in tokens.
    pub prompt: u64,
    /// Length of its answer in tokens.
    pub answer: u64,
    /// Idempotency key: work with the same key within the deduplication window is refused as a repeat.
    pub key: Option<u64>,
}

/// Blocks that one piece of work or one state holds.
#[derive(Clone, Debug, Default)]
struct BlockHold {
    /// Blocks that it holds in the prefix tree: the first blocks of its chain.
    kept: Vec<BlockHash>,
    /// Blocks outside the prefix tree that it holds alone.
    private: u64,
}

impl BlockHold {
    fn blocks(&self) -> u64 {
        self.kept.len() as u64 + self.private
    }
}

/// Work that waits or runs.
#[derive(Clone, Debug)]
struct Sequence {
    work: Work,
    hold: BlockHold,
    /// Tokens whose state is in memory.
    done: u64,
    /// Tokens whose state must be in memory before the next token of the answer can be generated.
    target: u64,
    /// Tokens of the answer generated so far.
    generated: u64,
    /// Tokens that were found in the prefix tree on the first admission.
    cached_tokens: Option<u64>,
    /// The state that it fetches has arrived; later state is computed by this engine.
    state_present: bool,
    /// It was cancelled while it ran; it is removed at the end of the current step.
    cancelled: bool,
}

impl Sequence {
    /// Whether its next token belongs to the answer rather than the prompt.
    fn writes(&self) -> bool {
        self.target - self.done == 1 && (self.generated > 0 || self.state_present)
    }
}

/// How a transfer of a state has ended for the work that wanted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The state has arrived in full.
    Whole,
    /// The transfer broke off.
    Broken,
    /// The state no longer existed.
    Missing,
}

/// A read state that waits to be fetched.
#[derive(Clone, Debug)]
struct State {
    hold: BlockHold,
    since: Micros,
    /// Number of transfers in progress; the state is not freed before they end.
    moving: u32,
    released: bool,
}

/// The step that is running.
#[derive(Clone, Debug)]
struct Step {
    until: Micros,
    /// Tokens that each running piece of work processes, by its position in the batch.
    share: Vec<u64>,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    faults: Faults,
    up: bool,
    warm_up: WarmUp,
    memory: Memory,
    waiting: VecDeque<Sequence>,
    /// Work whose read state is being transferred to this engine.
    fetching: BTreeMap<WorkId, Sequence>,
    running: Vec<Sequence>,
    step: Option<Step>,
    states: BTreeMap<WorkId, State>,
    /// Keys accepted within the deduplication window, and the same in order of arrival.
    recent_keys: BTreeSet<u64>,
    key_arrivals: VecDeque<(Micros, u64)>,
    /// End of the pause that delays the next step.
    held_back: Option<Micros>,
    reporter: LoadReporter,
    rng: ChaCha8Rng,
    /// Total duration of steps in microseconds, and tokens read and written in them.
    busy: u64,
    read: u64,
    written: u64,
    preempted: u64,
}

impl Engine {
    /// Creates an engine that runs and is warm.
    pub fn new(spec: Spec, seed: u64) -> Engine {
        Engine {
            memory: Memory::new(spec.blocks),
            spec,
            faults: Faults::default(),
            up: true,
            warm_up: WarmUp::default(),
            waiting: VecDeque::new(),
            fetching: BTreeMap::new(),
            running: Vec::new(),
            step: None,
            states: BTreeMap::new(),
            recent_keys: BTreeSet::new(),
            key_arrivals: VecDeque::new(),
            held_back: None,
            reporter: LoadReporter::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            busy: 0,
            read: 0,
            written: 0,
            preempted: 0,
        }
    }

    /// Returns its specification.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Whether the engine runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns its active faults.
    pub fn faults(&mut self) -> &mut Faults {
        &mut self.faults
    }

    /// Totals so far: microseconds of steps, tokens read, tokens written, and preemptions.
    pub fn totals(&self) -> (u64, u64, u64, u64) {
        (self.busy, self.read, self.written, self.preempted)
    }

    /// Number of pieces of work that wait, fetch or run.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.fetching.len() + self.running.len()
    }

    /// Number of read states that wait to be fetched.
    pub fn states(&self) -> usize {
        self.states.len()
    }

    /// Number of tokens of a prompt that are cached.
    pub fn kept(&self, work: &Work) -> u64 {
        self.memory.found(&work.chain) as u64 * self.spec.block_tokens
    }

    /// Crashes at once: all work ends, and all read states and cached blocks are lost.
    pub fn crash(&mut self, out: &mut Vec<Notice>) {
        if !std::mem::replace(&mut self.up, false) {
            return;
        }
        let broken = self.running.drain(..).chain(self.waiting.drain(..)).filter(|s| !s.cancelled);
        out.extend(broken.map(|s| Notice::Broken(s.work.id)));
        out.extend(std::mem::take(&mut self.fetching).into_keys().map(Notice::Broken));
        out.extend(std::mem::take(&mut self.states).into_keys().map(|id| Notice::Freed(id, FreedBy::Died)));
        self.memory = Memory::new(self.spec.blocks);
        self.step = None;
        self.held_back = None;
        self.reporter = LoadReporter::default();
    }

    /// Starts the engine, either cold as specified or warm.
    pub fn start(&mut self, now: Micros, cold: bool) {
        self.up = true;
        self.warm_up = WarmUp::default();
        if cold {
            self.warm_up.start(now);
        }
    }

    /// Evicts all cached blocks that are not held.
    pub fn forget(&mut self) {
        self.memory.forget();
    }

    /// Accepts or refuses work.
    pub fn submit(&mut self, now: Micros, work: Work, out: &mut Vec<Notice>) {
        let refuse = |why| Notice::Refused(work.id, why);
        let fits = match self.spec.kind {
            EngineRole::Reader => work.reads_only,
            EngineRole::Writer => work.fetches.is_some(),
            EngineRole::Mixed => true,
        };
        if !self.up {
            return out.push(refuse(Refusal::Down));
        }
        if !fits || work.prompt == 0 || (work.answer == 0 && !work.reads_only) {
            return out.push(refuse(Refusal::NoState));
        }
        let ends = work.prompt + if work.reads_only { 0 } else { work.answer };
        if self.blocks_for(ends) > self.spec.blocks {
            return out.push(refuse(Refusal::TooLong));
        }
        if self.held() >= self.spec.slots + self.spec.queue {
            return out.push(refuse(Refusal::Full));
        }
        if let Some(key) = work.key.filter(|_| self.spec.dedup > 0 && !work.reads_only) {
            while self.key_arrivals.front().is_some_and(|(at, _)| at + self.spec.dedup <= now) {
                if let Some((_, old)) = self.key_arrivals.pop_front() {
                    self.recent_keys.remove(&old);
                }
            }
            if !self.recent_keys.insert(key) {
                return out.push(refuse(Refusal::Repeat));
            }
            self.key_arrivals.push_back((now, key));
        }
        let cost = self.estimate(&work);
        if self.warm_up.sent(self.spec.cold.as_ref(), now, cost) {
            out.push(refuse(Refusal::Down));
            out.push(Notice::Overloaded);
            return self.crash(out);
        }
        let target = work.prompt;
        let hold = BlockHold::default();
        self.waiting.push_back(Sequence {
            work,
            hold,
            done: 0,
            target,
            generated: 0,
            cached_tokens: None,
            state_present: false,
            cancelled: false,
        });
        self.advance(now, out);
    }

    /// Estimates the duration of work at full speed, in microseconds.
    fn estimate(&self, work: &Work) -> f64 {
        let cost = &self.spec.cost;
        let unread = work.prompt.saturating_sub(self.kept(work)) as f64;
        let reads = if work.fetches.is_none() { unread * cost.read_token } else { 0.0 };
        let each = cost.step / self.spec.slots.max(1) as f64 + cost.write_token;
        reads + if work.reads_only { 0.0 } else { work.answer as f64 * each }
    }

    /// Cancels work. Work in the running step is removed at the end of that step.
    pub fn cancel(&mut self, now: Micros, id: WorkId, out: &mut Vec<Notice>) {
        if let Some(at) = self.waiting.iter().position(|s| s.work.id == id) {
            self.waiting.remove(at);
        } else if let Some(seq) = self.fetching.remove(&id) {
            self.drop_hold(seq.hold);
        } else if let Some(seq) = self.running.iter_mut().find(|s| s.work.id == id) {
            seq.cancelled = true;
        }
        self.advance(now, out);
    }

    /// Releases a read state; one that is being transferred is freed when the transfer ends.
    pub fn release(&mut self, now: Micros, id: WorkId, out: &mut Vec<Notice>) {
        match self.states.get_mut(&id) {
            Some(state) if state.moving > 0 => state.released = true,
            Some(_) => self.free_state(id, FreedBy::Released, out),
            None => {}
        }
        self.advance(now, out);
    }

    /// Begins a transfer of a read state to another engine; `false` if the state is not available.
    pub fn begin_move(&mut self, id: WorkId) -> bool {
        match self.states.get_mut(&id).filter(|s| !s.released) {
            Some(state) => {
                state.moving += 1;
                true
            }
            None => false,
        }
    }

    /// Ends a transfer of a read state; `whole` tells whether it was complete.
    pub fn end_move(&mut self, now: Micros, id: WorkId, whole: bool, out: &mut Vec<Notice>) {
        let Some(state) = self.states.get_mut(&id) else { return };
        state.moving -= 1;
        if state.moving == 0 && (whole || state.released) {
            let by = if whole { FreedBy::Fetched } else { FreedBy::Released };
            self.free_state(id, by, out);
        }
        self.advance(now, out);
    }

    /// Handles the end of the transfer for which work has waited.
    pub fn arrived(&mut self, now: Micros, id: WorkId, how: Arrival, out: &mut Vec<Notice>) {
        let Some(mut seq) = self.fetching.remove(&id) else { return };
        if how == Arrival::Whole {
            (seq.done, seq.state_present) = (seq.target - 1, true);
            self.keep(&mut seq);
            out.push(Notice::Started(id));
            self.running.push(seq);
        } else {
            self.drop_hold(seq.hold);
            let missing = Notice::Refused(id, Refusal::NoState);
            out.push(if how == Arrival::Missing { missing } else { Notice::Broken(id) });
        }
        self.advance(now, out);
    }

    /// Time at which [`Engine::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Micros> {
        let step = self.step.as_ref().map(|s| s.until);
        let moving = |s: &&State| s.moving == 0;
        let expiry = self.states.values().filter(moving).map(|s| s.since + self.spec.state_ttl).min();
        [step, self.held_back, expiry].into_iter().flatten().min()
    }

    /// Processes everything that is due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Notice>) {
        let late = |s: &State| s.moving == 0 && now >= s.since + self.spec.state_ttl;
        let late: Vec<WorkId> = self.states.iter().filter(|(_, s)| late(s)).map(|(id, _)| *id).collect();
        late.into_iter().for_each(|id| self.free_state(id, FreedBy::Expired, out));
        if self.step.as_ref().is_some_and(|s| s.until <= now) {
            self.end_step(now, out);
        }
        if self.step.is_none() {
            self.begin_step(now, out);
        }
    }

    /// Returns its load report.
    pub fn report(&mut self, now: Micros) -> Report {
        let Engine { reporter, spec, faults, rng, .. } = self;
        reporter.report(&spec.load_reporting, now, faults.reports, || rng.random_range(-1.0..=1.0))
    }

    /// Returns its actual load.
    pub fn load(&self) -> Report {
        let unread = |s: &Sequence| s.target.saturating_sub(s.done) as f64;
        let all = self.waiting.iter().chain(self.running.iter()).chain(self.fetching.values());
        Report {
            running: (self.running.len() + self.fetching.len()) as f64,
            waiting: self.waiting.len() as f64,
            memory: self.memory.held_share(),
            backlog: all.map(unread).sum(),
        }
    }

    /// Checks that its memory accounting is consistent.
    pub fn check(&self) -> Result<(), String> {
        let work = self.waiting.iter().chain(&self.running).chain(self.fetching.values()).map(|s| &s.hold);
        let holds = work.chain(self.states.values().map(|s| &s.hold));
        let (own, kept) = holds.fold((0, 0), |(o, k), h| (o + h.private, k + h.kept.len() as u64));
        self.memory.check(own, kept)?;
        let short = |s: &Sequence| s.hold.blocks() < self.blocks_for(s.done);
        match self.running.iter().find(|s| short(s)) {
            Some(seq) => Err(format!("work {} has more tokens done than blocks for them", seq.work.id)),
            None => Ok(()),
        }
    }

    /// Records a change of load and begins a step if none is running.
    fn advance(&mut self, now: Micros, out: &mut Vec<Notice>) {
        self.record_load(now);
        if self.step.is_none() {
            self.begin_step(now, out);
        }
    }

    // ---- steps ----

    fn begin_step(&mut self, now: Micros, out: &mut Vec<Notice>) {
        self.held_back = None;
        if !self.up {
            return;
        }
        if now < self.faults.paused_until {
            self.held_back = (self.held() > 0).then_some(self.faults.paused_until);
            return;
        }
        self.admit(out);
        let Some(share) = self.plan_step(out) else { return };
        let cost = &self.spec.cost;
        let mut took = cost.step;
        for (seq, tokens) in self.running.iter().zip(&share) {
            if seq.writes() && *tokens == 1 {
                took += cost.write_token + cost.context * seq.done as f64 / 1000.0;
            } else {
                took += cost.read_token * *tokens as f64;
            }
        }
        let drawn = if self.faults.noisy > 0.0 { self.rng.random::<f64>() } else { 0.0 };
        took *= self.faults.factor(now, drawn) / self.warm_up.share(self.spec.cold.as_ref(), now).max(1e-3);
        let took = (took.round() as u64).max(1);
        self.busy += took;
        self.step = Some(Step { until: now + took, share });
        self.record_load(now);
    }

    /// Admits work from the queue to the batch in order of arrival, while slots and memory last.
    fn admit(&mut self, out: &mut Vec<Notice>) {
        while self.running.len() + self.fetching.len() < self.spec.slots {
            let Some(front) = self.waiting.front() else { return };
            let found = self.memory.found(&front.work.chain);
            // The last token is always read, because the first token of the answer follows from it.
            let most = ((front.target - 1) / self.spec.block_tokens) as usize;
            let found = found.min(most);
            let need = self.blocks_for(front.target) - found as u64;
            // The cached blocks are held first so that they cannot be evicted to make room for its other blocks.
            let Some(mut seq) = self.waiting.pop_front() else { return };
            let kept = seq.work.chain[..found].to_vec();
            self.memory.hold(&kept);
            if !self.memory.take(need) {
                self.memory.unhold(&kept);
                self.waiting.push_front(seq);
                return;
            }
            seq.hold = BlockHold { kept, private: need };
            seq.done = found as u64 * self.spec.block_tokens;
            let first = seq.cached_tokens.is_none();
            seq.cached_tokens.get_or_insert(seq.done);
            if seq.work.fetches.is_some() && !seq.state_present {
                out.push(Notice::FetchNeeded(seq.work.id, seq.target - seq.done));
                self.fetching.insert(seq.work.id, seq);
            } else {
                if first && !seq.work.reads_only {
                    out.push(Notice::Started(seq.work.id));
                }
                self.running.push(seq);
            }
        }
    }

    /// Plans the tokens that each piece of work processes in the next step: one for each answer, then
    /// chunks of prompts while the budget lasts. `None` if there is nothing to do.
    fn plan_step(&mut self, out: &mut Vec<Notice>) -> Option<Vec<u64>> {
        loop {
            // If an answer has no block for its next token, the newest piece of work is preempted.
            let lacks = self
                .running
                .iter()
                .position(|s| s.done + 1 == s.target && s.hold.blocks() < self.blocks_for(s.target));
            let Some(at) = lacks else { break };
            if self.memory.take(1) {
                self.running[at].hold.private += 1;
                continue;
            }
            self.preempt(out);
        }
        let mut left = self.spec.budget.max(1);
        let mut share = vec![0; self.running.len()];
        for pass in [true, false] {
            for (seq, tokens) in self.running.iter().zip(&mut share) {
                if seq.writes() == pass && left > 0 {
                    *tokens = (seq.target - seq.done).min(left);
                    left -= *tokens;
                }
            }
        }
        share.iter().any(|t| *t > 0).then_some(share)
    }

    /// Preempts the newest piece of work: it gives up its memory and returns to the front of the queue.
    fn preempt(&mut self, out: &mut Vec<Notice>) {
        let Some(mut seq) = self.running.pop() else { return };
        self.preempted += 1;
        self.drop_hold(std::mem::take(&mut seq.hold));
        if seq.cancelled {
            return;
        }
        out.push(Notice::Preempted(seq.work.id));
        seq.done = 0;
        // Tokens already generated are not generated again, but their state must be recomputed.
        self.waiting.push_front(seq);
    }

    fn end_step(&mut self, now: Micros, out: &mut Vec<Notice>) {
        let Some(step) = self.step.take() else { return };
        let mut still = Vec::with_capacity(self.running.len());
        for (at, mut seq) in std::mem::take(&mut self.running).into_iter().enumerate() {
            let tokens = step.share.get(at).copied().unwrap_or(0);
            if seq.cancelled {
                self.drop_hold(seq.hold);
                continue;
            }
            if seq.writes() {
                self.written += tokens;
            } else {
                self.read += tokens;
            }
            seq.done += tokens;
            self.keep(&mut seq);
            if seq.done < seq.target || tokens == 0 {
                still.push(seq);
                continue;
            }
            let id = seq.work.id;
            if seq.work.reads_only {
                out.push(Notice::Read(id, seq.cached_tokens.unwrap_or(0)));
                let state = State { hold: seq.hold, since: now, moving: 0, released: false };
                self.states.insert(id, state);
                continue;
            }
            seq.generated += 1;
            seq.target += 1;
            out.push(Notice::Token(id, seq.generated));
            if seq.generated >= seq.work.answer {
                out.push(Notice::Done(id, seq.cached_tokens.unwrap_or(0)));
                self.drop_hold(seq.hold);
            } else {
                still.push(seq);
            }
        }
        self.running = still;
        self.record_load(now);
    }

    /// Adds the whole blocks of a prompt that have been processed to the prefix tree.
    fn keep(&mut self, seq: &mut Sequence) {
        let whole = (seq.done.min(seq.work.prompt) / self.spec.block_tokens) as usize;
        for at in seq.hold.kept.len()..whole.min(seq.work.chain.len()) {
            let hash = seq.work.chain[at];
            self.memory.keep(hash, at.checked_sub(1).map(|p| seq.work.chain[p]));
            seq.hold.kept.push(hash);
            seq.hold.private -= 1;
        }
    }

    // ---- memory ----

    fn blocks_for(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.spec.block_tokens)
    }

    fn drop_hold(&mut self, hold: BlockHold) {
        self.memory.unhold(&hold.kept);
        self.memory.give(hold.private);
    }

    fn free_state(&mut self, id: WorkId, by: FreedBy, out: &mut Vec<Notice>) {
        let Some(state) = self.states.remove(&id) else { return };
        if self.faults.leaks > 0.0 && self.rng.random::<f64>() < self.faults.leaks {
            self.memory.unhold(&state.hold.kept);
            self.memory.leak(state.hold.private);
        } else {
            self.drop_hold(state.hold);
        }
        out.push(Notice::Freed(id, by));
    }

    fn record_load(&mut self, now: Micros) {
        let load = self.load();
        self.reporter.record_load(&self.spec.load_reporting, now, load);
    }
}

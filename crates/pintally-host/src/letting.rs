//! Letting go where any engine takes it: when calls go out, to which engines, and until when.
//!
//! What is held has to be let go within a stated time, `within`, of the last outcome, whatever has become
//! of its holder, its zone or the connections there. A call over one connection proves nothing until it is
//! answered, and an engine that is cut off or hangs answers nothing for as long as one cares to wait. So
//! calls do not wait for each other: the next one goes out after a fixed distance, to another engine,
//! until one has been answered. With `R` of the time left at the first call the distance is
//! `min(within / 8, R / 4)`, 10 ms at least: four calls before the time is up, and as many engines as
//! that in a row may be silent without harm. Later ones go on at that distance for as long again, then
//! at growing ones.
//!
//! A node that is cut off from every engine is not heard by anybody for as long as that lasts, and has to be
//! heard soon after: what waits at growing distances is called anew as soon as any engine is heard, and a few
//! go on calling for all, so that a node without traffic hears one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pintally::interface::{EndpointState, EngineId, Micros, RequestId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What has to be left at the first call of the time is spent on so many calls.
const CALLS: Micros = 4;
/// The longest distance between two calls is this part of the time.
const EVERY_PART: Micros = 8;
/// The shortest distance.
const MIN_EVERY: Micros = 10_000;
/// Calls at the fixed distance; further ones at distances that double.
const STEADY: u32 = 16;
/// Calls after which nobody expects a word any more.
const MAX_RELEASE_CALLS: u32 = 23;
/// So many of those that wait go on calling for all, at this part of the time each.
const SCOUTS: usize = 2;
const SCOUT_PART: Micros = 4;
/// When an engine has been heard, so many calls go out again at the fixed distance.
const ANEW: u32 = 4;
/// What waits is called anew a little apart, and so much at one word.
const APART: Micros = 1_000;
const MAX_ANEW: usize = 512;
/// Calls may begin this part of the time after the last outcome while an attempt is out, in eighths.
const GUARD_EIGHTHS: Micros = 5;
/// What has just been sent is given this part of the time to arrive before a state is let go.
const SETTLE_PART: Micros = 16;
/// The most that are let go at once; what comes beyond it is called once and not repeated.
const MAX_OPEN: usize = 65_536;

/// A timer of the host.
pub(crate) type Timer = (Micros, u64);

/// When an engine was last heard, and when something sent to it last failed.
#[derive(Clone, Copy, Default)]
struct Reach {
    heard: Option<Micros>,
    failed: Option<Micros>,
}

/// A request for which no engine has confirmed yet that everything is let go.
struct Open {
    holder: EngineId,
    every: Micros,
    calls: u32,
    /// How often each engine was called, and all together.
    asked: HashMap<EngineId, u32>,
    made: u64,
    timer: Option<Timer>,
    /// When the last call went out.
    last: Micros,
    /// It was said that no word is expected any more.
    told: bool,
}

/// What is to be done when a call has come due.
pub(crate) struct Call {
    /// Whom to call, if any engine is known just now.
    pub(crate) engine: Option<EngineId>,
    /// On a connection opened for it, as those that are kept may be silent.
    pub(crate) anew: bool,
    /// Look again after this time; never if there is no room for it to wait.
    pub(crate) after: Option<Micros>,
    /// From here on no word is expected. Said once.
    pub(crate) last: bool,
}

/// Everything that is being let go.
pub(crate) struct Letting {
    within: Micros,
    open: BTreeMap<RequestId, Open>,
    /// Those whose calls went out at the fixed distance in vain: they wait for a word of any engine.
    late: BTreeSet<RequestId>,
    /// Those of them that go on calling until there is one.
    scouts: BTreeSet<RequestId>,
    reach: HashMap<EngineId, Reach>,
}

impl Letting {
    /// For states that have to be let go within so long.
    pub(crate) fn new(within: Micros) -> Letting {
        Letting {
            within,
            open: BTreeMap::new(),
            late: BTreeSet::new(),
            scouts: BTreeSet::new(),
            reach: HashMap::new(),
        }
    }

    /// When a state whose time runs since then is let go although an attempt is out: what is sent into
    /// a cut or to a connection that never comes up does not stop that time.
    pub(crate) fn guard(&self, since: Micros) -> Micros {
        since.saturating_add(self.within / 8 * GUARD_EIGHTHS)
    }

    /// How long a connection probe may take to be answered.
    pub(crate) fn patience(&self) -> Micros {
        self.within / EVERY_PART
    }

    /// How long what has just gone out may take to arrive.
    pub(crate) fn settling(&self) -> Micros {
        self.within / SETTLE_PART
    }

    /// Everything of a request is let go from now on; its time runs since then.
    pub(crate) fn begin(&mut self, now: Micros, id: &RequestId, holder: EngineId, since: Micros) {
        let left = since.saturating_add(self.within).saturating_sub(now);
        let every = (left / CALLS).min(self.within / EVERY_PART).max(MIN_EVERY);
        let open = Open {
            holder,
            every,
            calls: 0,
            asked: HashMap::new(),
            made: 0,
            timer: None,
            last: now,
            told: false,
        };
        self.open.insert(id.clone(), open);
    }

    /// Whether everything of a request is being let go.
    pub(crate) fn waits(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Nothing more is to be done for a request: how many calls went out, and the timer of the next.
    pub(crate) fn end(&mut self, id: &RequestId) -> Option<(u32, Option<Timer>)> {
        self.late.remove(id);
        self.scouts.remove(id);
        self.open.remove(id).map(|open| (open.calls, open.timer))
    }

    /// What is to be called anew now that an engine has been heard, and when. Whatever timers they have are
    /// void then.
    pub(crate) fn anew(&mut self, now: Micros) -> Vec<(RequestId, Option<Timer>, Micros)> {
        let mut anew = Vec::new();
        for id in self.late.iter().take(MAX_ANEW).cloned().collect::<Vec<_>>() {
            self.late.remove(&id);
            self.scouts.remove(&id);
            let Some(open) = self.open.get_mut(&id) else { continue };
            open.calls = STEADY - ANEW;
            open.every = open.every.max(self.within / EVERY_PART);
            open.asked.clear();
            open.made = 0;
            // Guards against calls without end where engines are heard and calls are not.
            let rested = open.last.saturating_add(self.within / 2);
            let at = now.saturating_add(APART * anew.len() as Micros).max(rested);
            anew.push((id, open.timer.take(), at));
        }
        anew
    }

    /// The timer of the next call.
    pub(crate) fn timer(&mut self, id: &RequestId, timer: Timer) {
        if let Some(open) = self.open.get_mut(id) {
            open.timer = Some(timer);
        }
    }

    /// How many requests wait for an engine's word.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// And how many of them an engine's word is still expected for.
    pub(crate) fn expected(&self) -> usize {
        self.open.values().filter(|open| open.calls < MAX_RELEASE_CALLS).count()
    }

    /// Something came from an engine, or something sent to it failed.
    pub(crate) fn saw(&mut self, now: Micros, engine: &EngineId, heard: bool) {
        let reach = self.reach.entry(engine.clone()).or_default();
        match heard {
            true => reach.heard = Some(now),
            false => reach.failed = Some(now),
        }
    }

    /// When something last came from an engine.
    pub(crate) fn heard_at(&self, engine: &EngineId) -> Option<Micros> {
        self.reach.get(engine).and_then(|reach| reach.heard)
    }

    /// Forgets engines that are not known any more.
    pub(crate) fn retain(&mut self, known: impl Fn(&EngineId) -> bool) {
        self.reach.retain(|engine, _| known(engine));
    }

    /// The next call for a request, among the engines that are known.
    pub(crate) fn call<'a>(
        &mut self,
        now: Micros,
        id: &RequestId,
        engines: impl Iterator<Item = (&'a EngineId, EndpointState)>,
    ) -> Option<Call> {
        let spare = self.open.len() <= MAX_OPEN;
        let open = self.open.get_mut(id)?;
        open.timer = None;
        let spent = open.calls >= MAX_RELEASE_CALLS;
        if open.calls >= STEADY {
            self.late.insert(id.clone());
            // A few look out for all that wait.
            if self.scouts.len() < SCOUTS {
                self.scouts.insert(id.clone());
            }
        }
        let after = match self.scouts.contains(id) {
            true => (self.within / SCOUT_PART).max(MIN_EVERY),
            // It waits until an engine is heard.
            false if spent => return None,
            false => open.every << open.calls.saturating_sub(STEADY - 1),
        };
        let (reach, within) = (&self.reach, self.within.max(1));
        // Spreads requests over engines that are as good as each other, the same way each time.
        let scatter = xxh3_64(id.0.as_bytes());
        // Guards against a call into the same cut: first those that answered last, spread over all that
        // did so lately; those behind whose last word something failed come last, and none comes twice
        // before all have been called.
        let rank = |engine: &EngineId, listing: EndpointState| {
            let seen = reach.get(engine).copied().unwrap_or_default();
            let sound = match (seen.heard, seen.failed) {
                (Some(heard), failed) if failed.is_none_or(|f| f < heard) => 0,
                (None, None) => 1,
                _ => 2,
            };
            let listed = match listing {
                EndpointState::Serving => 0,
                _ if *engine == open.holder && listing != EndpointState::Gone => 0,
                EndpointState::Draining => 1,
                EndpointState::Gone => 2,
            };
            let age = seen.heard.map_or(Micros::MAX, |at| now.saturating_sub(at) / within);
            let again = open.asked.get(engine).copied().unwrap_or(0);
            (
                again,
                listed,
                sound,
                age,
                *engine != open.holder,
                xxh3_64_with_seed(engine.0.as_bytes(), scatter),
            )
        };
        let best = engines.min_by_key(|(engine, listing)| rank(engine, *listing));
        open.last = now;
        // Guards against both: kept connections that are silent behind a cut, and new ones that come up late.
        let anew = open.made % 2 == 1;
        open.calls = (open.calls + 1).min(MAX_RELEASE_CALLS);
        let last = open.calls == MAX_RELEASE_CALLS && !std::mem::replace(&mut open.told, true);
        let engine = best.map(|(engine, _)| engine.clone());
        if let Some(engine) = &engine {
            *open.asked.entry(engine.clone()).or_default() += 1;
            open.made += 1;
        }
        Some(Call { engine, anew, after: spare.then_some(after), last })
    }
}

#[cfg(test)]
mod tests;

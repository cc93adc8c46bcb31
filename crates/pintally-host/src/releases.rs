//! Letting go of read states until the engine has heard it.
//!
//! One message can be lost with its connection, and what it should have let go would stay in the
//! engine's memory until the engine itself gives up on it. So an unheard release is repeated, at
//! growing distances and a bounded number of times, also at an engine that has left the list. An engine that
//! was cut off for longer than that is called anew as soon as it is heard.
//!
//! A read that ended without a word may still be on its way, on a connection that is silent or at an engine
//! that hangs, and a call can overtake it. So such a one is called for again when a call has been heard.

use std::collections::BTreeMap;

use pintally::interface::{EngineId, Micros, RequestId};

use crate::letting::Timer;

/// The first distance between two tries; it doubles with each.
const FIRST: Micros = 50_000;
/// Tries after which no word is expected any more: the last one is some twelve seconds after the first.
const MAX_RELEASE_ATTEMPTS: u32 = 9;
/// From so many on an engine that is heard is called anew, this long after the last try at the soonest.
const LATE: u32 = 4;
const RESTED: Micros = 250_000;
/// And so many of its states at one word.
const MAX_ANEW: usize = 512;
/// Further calls for a state that may come into being behind one that was heard, each half of the time for
/// what is held later than the one before.
const BEHIND: u32 = 3;
/// The most releases that wait for an answer; beyond it they are not repeated.
const MAX_OPEN: usize = 65_536;

/// A release that was not heard yet.
struct Open {
    tries: u32,
    /// Calls that are to be heard still, beside this one.
    behind: u32,
    last: Micros,
    timer: Option<Timer>,
}

/// Releases that no engine has confirmed, by engine.
#[derive(Default)]
pub(crate) struct Releases {
    open: BTreeMap<EngineId, BTreeMap<RequestId, Open>>,
    len: usize,
}

/// What is to be done about a release that was not heard.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing: it was heard, or nobody waits for it.
    Done,
    /// Try again after this time.
    Again(Micros),
    /// It has been tried often enough.
    Lost,
}

impl Releases {
    /// A release goes out for the first time.
    pub(crate) fn begin(&mut self, now: Micros, id: &RequestId, engine: &EngineId, sure: bool) {
        if self.len < MAX_OPEN {
            let behind = if sure { 0 } else { BEHIND };
            let open = Open { tries: 1, behind, last: now, timer: None };
            let before = self.open.entry(engine.clone()).or_default().insert(id.clone(), open);
            self.len += usize::from(before.is_none());
        }
    }

    /// Word of a release.
    pub(crate) fn heard(
        &mut self,
        now: Micros,
        id: &RequestId,
        engine: &EngineId,
        heard: bool,
        within: Micros,
    ) -> Verdict {
        let Some(all) = self.open.get_mut(engine) else { return Verdict::Done };
        let Some(open) = all.get_mut(id) else { return Verdict::Done };
        if heard && open.behind > 0 {
            (open.behind, open.tries, open.last) = (open.behind - 1, 1, now);
            return Verdict::Again(within / 2 * Micros::from(BEHIND - open.behind));
        }
        if heard {
            all.remove(id);
            self.len -= 1;
            if all.is_empty() {
                self.open.remove(engine);
            }
            return Verdict::Done;
        }
        open.last = now;
        if open.tries >= MAX_RELEASE_ATTEMPTS {
            return Verdict::Lost;
        }
        let after = FIRST << (open.tries - 1);
        open.tries += 1;
        Verdict::Again(after)
    }

    /// The timer of the next try.
    pub(crate) fn timer(&mut self, id: &RequestId, engine: &EngineId, timer: Timer) {
        if let Some(open) = self.open.get_mut(engine).and_then(|all| all.get_mut(id)) {
            open.timer = Some(timer);
        }
    }

    /// What is to be tried anew at an engine that has been heard, with timers that are void then, and when.
    pub(crate) fn anew(&mut self, now: Micros, engine: &EngineId) -> Vec<(RequestId, Option<Timer>, Micros)> {
        let Some(all) = self.open.get_mut(engine) else { return Vec::new() };
        let late = all.iter_mut().filter(|(_, open)| open.tries >= LATE).take(MAX_ANEW);
        late.map(|(id, open)| {
            open.tries = 1;
            (id.clone(), open.timer.take(), open.last.saturating_add(RESTED).max(now))
        })
        .collect()
    }

    /// Whether the next try goes out on a connection opened for it: every other one does, as kept connections
    /// may be silent and new ones late.
    pub(crate) fn on_a_new_one(&self, id: &RequestId, engine: &EngineId) -> bool {
        let open = self.open.get(engine).and_then(|all| all.get(id));
        open.is_some_and(|open| open.tries.is_multiple_of(2))
    }

    /// Whether a release still waits; the engine may have left the list meanwhile.
    pub(crate) fn waits(&self, id: &RequestId, engine: &EngineId) -> bool {
        self.open.get(engine).is_some_and(|all| all.contains_key(id))
    }

    /// All that wait.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&EngineId, &RequestId)> {
        self.open.iter().flat_map(|(engine, all)| all.keys().map(move |id| (engine, id)))
    }

    /// The engines for which any waits.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &EngineId> {
        self.open.keys()
    }

    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// And for how many of them a word is still expected.
    pub(crate) fn expected(&self) -> usize {
        self.open.values().flat_map(BTreeMap::values).filter(|open| open.tries < MAX_RELEASE_ATTEMPTS).count()
    }
}

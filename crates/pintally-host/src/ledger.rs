//! What is kept of each request until its answer is given and its last attempt has ended.

use std::sync::Arc;

use pintally::interface::{Attempt, EngineId, Idempotency, Micros, Outcome, RequestId};
use pintally_cells::CellName;
use pintally_engine::Step;
use pintally_guards::{MayHaveRun, RequestFacts};
use pintally_quota::LimitId;
use serde_json::Value;

use crate::timers::TimerKey;

/// Connection probes to an engine that has not shown yet that it has an attempt.
pub(crate) const FIRST_PROBES: u8 = 1;
/// And to one that has: a connection that comes up late must not undo what an earlier one has shown.
pub(crate) const FURTHER_PROBES: u8 = 2;

/// An attempt that is out.
pub(crate) struct Out {
    pub(crate) attempt: Attempt,
    pub(crate) engine: EngineId,
    pub(crate) step: Step,
    /// When it was sent, and the zone and rack of its engine.
    pub(crate) sent: MayHaveRun,
    pub(crate) started: bool,
    /// Connection probes that may still go out before what it may be waiting for is let go.
    pub(crate) probes_left: u8,
    /// A connection probe has shown that its engine's machine is there.
    pub(crate) arrived: bool,
}

/// A read state that waits at an engine.
pub(crate) struct HeldState {
    pub(crate) engine: EngineId,
    /// The attempt that read it.
    pub(crate) attempt: Attempt,
    /// What fetches it; absent where a read may have left one without telling.
    pub(crate) state: Option<Arc<Value>>,
}

/// One request.
pub(crate) struct Entry {
    pub(crate) id: RequestId,
    /// The cell in which it lives, from its arrival to its end.
    pub(crate) cell: CellName,
    pub(crate) tenant: Option<usize>,
    /// What running it twice would do.
    pub(crate) effect: Idempotency,
    /// Its first attempt that may have run.
    pub(crate) may_have_run: Option<MayHaveRun>,
    /// Bytes that it holds.
    pub(crate) bytes: usize,
    /// Its answer begins in time if it begins by then.
    pub(crate) aim: Micros,
    /// Its cell has heard whether it began in time.
    pub(crate) heard: bool,
    pub(crate) streamed: bool,
    pub(crate) max_tokens: u64,
    pub(crate) deadline: Micros,
    /// The timer that guards the deadline.
    pub(crate) guard: TimerKey,
    pub(crate) attempts: Attempt,
    pub(crate) out: Option<Out>,
    pub(crate) held: Vec<HeldState>,
    /// The time of what is held runs since then: the last outcome that an engine gave. An attempt that
    /// never reached one does not stop it.
    pub(crate) since: Micros,
    /// What is held has been let go while an attempt was out that may have been waiting for it.
    pub(crate) gone: bool,
    /// When what is held is let go although an attempt is out: the timer, and the time it follows from.
    pub(crate) let_go: Option<(TimerKey, Micros)>,
    /// The state that the core means to have fetched has been let go, or is about to be.
    pub(crate) lost: bool,
    /// The final answer is given, or the client has left and none is owed.
    pub(crate) over: bool,
    /// An attempt of it has failed: the next one is made again.
    pub(crate) failed: bool,
    /// Limits of what runs at once that count it.
    pub(crate) counted: Vec<LimitId>,
}

impl Entry {
    /// The state that a fetch can use.
    pub(crate) fn usable(&self) -> Option<&HeldState> {
        self.held.iter().rev().find(|h| h.state.is_some())
    }

    /// What permits go by.
    pub(crate) fn facts(&self, max_attempts: u32) -> RequestFacts<'_> {
        RequestFacts {
            idempotency: self.effect,
            closed: self.over,
            attempt_in_flight: self.out.is_some(),
            attempts: self.attempts,
            max_attempts,
            deadline: self.deadline,
            may_have_run: self.may_have_run.as_ref(),
        }
    }

    /// Takes in how an attempt has ended: whether it may have had an effect.
    pub(crate) fn note_effect(&mut self, out: &Out, outcome: Outcome) {
        let never_ran = matches!(
            outcome,
            Outcome::Read
                | Outcome::Overloaded
                | Outcome::StateNotFound
                | Outcome::Unreachable
                | Outcome::NeverSent
        );
        if !never_ran && out.step != Step::Read && self.may_have_run.is_none() {
            self.may_have_run = Some(out.sent.clone());
        }
    }

    /// Whether this attempt is out.
    pub(crate) fn has_out(&self, attempt: Attempt) -> bool {
        self.out.as_ref().is_some_and(|out| out.attempt == attempt)
    }

    /// The attempt that is out was with its engine then: the time of what is held rests up to there.
    pub(crate) fn seen_at_engine(&mut self, at: Micros) {
        let Some(out) = self.out.as_mut() else { return };
        out.arrived = true;
        out.probes_left = FURTHER_PROBES;
        self.since = self.since.max(at);
    }

    /// Since when something waits to be fetched or let go, if anything does.
    pub(crate) fn waits_since(&self) -> Option<Micros> {
        (!self.held.is_empty() && !self.gone).then_some(self.since)
    }

    /// Whether nothing more can happen to it.
    pub(crate) fn finished(&self) -> bool {
        self.over && self.out.is_none()
    }
}

//! The rules, held against the truth that no node sees, after every step.

use std::collections::BTreeMap;
use std::fmt;

use pintally::interface::RequestId;
use pintally_host::RequestNumber;

use crate::{Micros, MS};

/// What the protocol's pages allow beside the settings' time for what is held.
const HELD_SLACK: Micros = 300 * MS;
/// And beside the window of keyed requests.
const WINDOW_SLACK: Micros = 50 * MS;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer, before the client gives up, and nothing sent after it.
    Lost,
    /// No effect twice, never two attempts of a request out together.
    Twice,
    /// Nothing new for an engine that the node was notified is draining or gone.
    Drain,
    /// What is held is fetched or let go in time.
    Pinned,
    /// Each request and each attempt ends once; at the end of a day nothing is left.
    Accounts,
    /// With all troubles over, service is back.
    Service,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// The step at which it was found.
    pub step: u64,
    /// The request, if it is one's.
    pub request: Option<String>,
    /// In words.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at as f64 / 1e6;
        write!(f, "{:?} at step {}, {at:.3} s: {}", self.rule, self.step, self.what)
    }
}

/// A request as its client and the engines know it.
pub(crate) struct Known {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) at: Micros,
    /// By when its client must have a sign of an answer.
    pub(crate) by: Micros,
    pub(crate) answers: u32,
    pub(crate) over: u32,
    pub(crate) begun: bool,
    pub(crate) left: bool,
    /// Its node has died with it.
    pub(crate) died: bool,
    /// Attempts that came whole to an engine that writes, and were not turned away with the node's knowledge.
    pub(crate) ran: Vec<(u64, Micros)>,
}

/// A request's place: its node, that node's life, and its number there.
pub(crate) type Place = (usize, u32, RequestNumber);

/// The truth about requests, and what is broken.
#[derive(Default)]
pub(crate) struct Checks {
    pub(crate) known: BTreeMap<Place, Known>,
    pub(crate) violation: Option<Violation>,
    pub(crate) step: u64,
    pub(crate) now: Micros,
    /// Since when something is held for a request with no attempt of it out.
    idle: BTreeMap<RequestId, Micros>,
}

impl Checks {
    /// Notes a broken rule; the first one counts.
    pub(crate) fn record_violation(&mut self, rule: Rule, request: Option<&RequestId>, what: String) {
        if self.violation.is_none() {
            let request = request.map(|r| r.0.to_string());
            self.violation = Some(Violation { rule, at: self.now, step: self.step, request, what });
        }
    }

    pub(crate) fn answered(&mut self, place: Place) {
        let Some(known) = self.known.get_mut(&place) else {
            return self.record_violation(
                Rule::Accounts,
                None,
                format!("an answer for ticket {} that nobody asked", place.2),
            );
        };
        known.answers += 1;
        let (id, answers, late) = (known.id.clone(), known.answers, !known.begun && self.now > known.by);
        if answers > 1 {
            self.record_violation(
                Rule::Lost,
                Some(&id),
                format!("request {} was answered more than once", id.0),
            );
        } else if late {
            self.record_violation(Rule::Lost, Some(&id), format!("request {} was answered late", id.0));
        }
    }

    /// A client's time is up.
    pub(crate) fn time_is_up(&mut self, place: Place) {
        let Some(known) = self.known.get(&place) else { return };
        if known.answers == 0 && !known.begun && !known.left && !known.died {
            let id = known.id.clone();
            self.record_violation(Rule::Lost, Some(&id), format!("request {} got no answer", id.0));
        }
    }

    pub(crate) fn over(&mut self, place: Place) {
        let Some(known) = self.known.get_mut(&place) else { return };
        known.over += 1;
        let (id, over, answered) = (known.id.clone(), known.over, known.answers > 0 || known.left);
        if over > 1 || !answered {
            self.record_violation(
                Rule::Accounts,
                Some(&id),
                format!("request {} was over {over} times", id.0),
            );
        }
    }

    /// An attempt goes out; `open` is another of the same request that is out.
    pub(crate) fn sent(&mut self, place: Place, open: bool) {
        let Some(known) = self.known.get(&place) else {
            return self.record_violation(
                Rule::Accounts,
                None,
                format!("an attempt for ticket {} that nobody asked", place.2),
            );
        };
        let (id, done) = (known.id.clone(), known.answers > 0 || known.over > 0);
        if open {
            self.record_violation(Rule::Twice, Some(&id), format!("request {} has two attempts out", id.0));
        }
        if done {
            self.record_violation(
                Rule::Lost,
                Some(&id),
                format!("request {} was sent after its answer", id.0),
            );
        }
    }

    /// The last byte of an attempt that may have an effect has come to an engine.
    pub(crate) fn came(&mut self, place: Place, flight: u64, window: Micros) {
        let Some(known) = self.known.get_mut(&place) else { return };
        let first = known.ran.first().map(|r| r.1);
        known.ran.push((flight, self.now));
        let (id, class) = (known.id.clone(), known.class);
        match (first, class) {
            (Some(_), 2) => {
                self.record_violation(
                    Rule::Twice,
                    Some(&id),
                    format!("request {} was sent again and may have run", id.0),
                );
            }
            (Some(at), 1) if self.now > at + window + WINDOW_SLACK => {
                self.record_violation(
                    Rule::Twice,
                    Some(&id),
                    format!("request {} was sent again after its window", id.0),
                );
            }
            _ => {}
        }
    }

    /// The node knows that this attempt never ran.
    pub(crate) fn never_ran(&mut self, place: Place, flight: u64) {
        if let Some(known) = self.known.get_mut(&place) {
            known.ran.retain(|r| r.0 != flight);
        }
    }

    /// What is held, for whom, and whether an attempt of it is out at an engine, or no engine could hear a
    /// call: looked at every few milliseconds.
    pub(crate) fn held(&mut self, held: &BTreeMap<RequestId, bool>, within: Micros) {
        self.idle.retain(|id, _| held.get(id) == Some(&false));
        for (id, rests) in held {
            if *rests {
                continue;
            }
            let since = *self.idle.entry(id.clone()).or_insert(self.now);
            if self.now > since + within + HELD_SLACK {
                let ms = (self.now - since) / MS;
                self.record_violation(
                    Rule::Pinned,
                    Some(id),
                    format!("request {} holds a state for {ms} ms", id.0),
                );
            }
        }
    }
}

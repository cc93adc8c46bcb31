//! The rules, checked after every step against the full state of the simulation, which no node sees.

use std::collections::BTreeMap;
use std::fmt;

use pintally::interface::RequestId;
use pintally_host::RequestNumber;

use crate::{Micros, MS};

/// Time that the protocol allows for a held state in addition to the configured release time.
const HELD_SLACK: Micros = 300 * MS;
/// Time allowed in addition to the idempotency window of keyed requests.
const WINDOW_SLACK: Micros = 50 * MS;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer before its client's deadline, and no attempt afterwards.
    Lost,
    /// No request takes effect twice, and no two attempts of a request are open at the same time.
    Twice,
    /// A node sends no new work to an engine after it was notified that the engine is draining or gone.
    Drain,
    /// A held state is fetched or released in time.
    Pinned,
    /// Each request and each attempt ends once, and nothing is left at the end of the run.
    Accounts,
    /// Requests are served again once all faults are over.
    Service,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// Virtual time of the violation.
    pub at: Micros,
    /// The step at which it was found.
    pub step: u64,
    /// The affected request, if the violation concerns one.
    pub request: Option<String>,
    /// Description of the violation.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at as f64 / 1e6;
        write!(f, "{:?} at step {}, {at:.3} s: {}", self.rule, self.step, self.what)
    }
}

/// A request as its client and the engines see it.
pub(crate) struct TrackedRequest {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) at: Micros,
    /// Deadline of the client for the first token or the final answer.
    pub(crate) by: Micros,
    pub(crate) answers: u32,
    pub(crate) over: u32,
    pub(crate) answer_begun: bool,
    pub(crate) client_left: bool,
    /// The node that handled the request has died.
    pub(crate) node_died: bool,
    /// Attempts delivered in full to an engine that writes, with their times; without those that the node
    /// knows were rejected.
    pub(crate) deliveries: Vec<(u64, Micros)>,
}

/// Identifies a request: its node, that node's incarnation, and its number there.
pub(crate) type RequestKey = (usize, u32, RequestNumber);

/// What actually happened to each request, and the first violation.
#[derive(Default)]
pub(crate) struct Checks {
    pub(crate) requests: BTreeMap<RequestKey, TrackedRequest>,
    pub(crate) violation: Option<Violation>,
    pub(crate) step: u64,
    pub(crate) now: Micros,
    /// Time since which an engine holds a state for a request that has no open attempt.
    idle_since: BTreeMap<RequestId, Micros>,
}

impl Checks {
    /// Records a violation; only the first one is kept.
    pub(crate) fn record_violation(&mut self, rule: Rule, request: Option<&RequestId>, what: String) {
        if self.violation.is_none() {
            let request = request.map(|r| r.0.to_string());
            self.violation = Some(Violation { rule, at: self.now, step: self.step, request, what });
        }
    }

    pub(crate) fn answered(&mut self, key: RequestKey) {
        let Some(known) = self.requests.get_mut(&key) else {
            return self.record_violation(
                Rule::Accounts,
                None,
                format!("an answer for ticket {} that nobody asked", key.2),
            );
        };
        known.answers += 1;
        let (id, answers, late) =
            (known.id.clone(), known.answers, !known.answer_begun && self.now > known.by);
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

    /// Handles the deadline of a client.
    pub(crate) fn client_deadline(&mut self, key: RequestKey) {
        let Some(known) = self.requests.get(&key) else { return };
        if known.answers == 0 && !known.answer_begun && !known.client_left && !known.node_died {
            let id = known.id.clone();
            self.record_violation(Rule::Lost, Some(&id), format!("request {} got no answer", id.0));
        }
    }

    pub(crate) fn completed(&mut self, key: RequestKey) {
        let Some(known) = self.requests.get_mut(&key) else { return };
        known.over += 1;
        let (id, over, answered) = (known.id.clone(), known.over, known.answers > 0 || known.client_left);
        if over > 1 || !answered {
            self.record_violation(
                Rule::Accounts,
                Some(&id),
                format!("request {} was over {over} times", id.0),
            );
        }
    }

    /// Handles an attempt that is sent; `open` tells whether another attempt of the request is open.
    pub(crate) fn attempt_sent(&mut self, key: RequestKey, open: bool) {
        let Some(known) = self.requests.get(&key) else {
            return self.record_violation(
                Rule::Accounts,
                None,
                format!("an attempt for ticket {} that nobody asked", key.2),
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

    /// Handles the delivery of an attempt's last byte to an engine, after which it may take effect.
    pub(crate) fn delivered(&mut self, key: RequestKey, attempt_id: u64, window: Micros) {
        let Some(known) = self.requests.get_mut(&key) else { return };
        let first = known.deliveries.first().map(|r| r.1);
        known.deliveries.push((attempt_id, self.now));
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

    /// Removes an attempt that the node knows never ran.
    pub(crate) fn never_ran(&mut self, key: RequestKey, attempt_id: u64) {
        if let Some(known) = self.requests.get_mut(&key) {
            known.deliveries.retain(|r| r.0 != attempt_id);
        }
    }

    /// Checks how long states are held; called every few milliseconds. `held` maps each request with a held
    /// state to `true` if the time does not count: an attempt of the request is open at an engine, or too few
    /// engines can receive a release call.
    pub(crate) fn check_held(&mut self, held: &BTreeMap<RequestId, bool>, within: Micros) {
        self.idle_since.retain(|id, _| held.get(id) == Some(&false));
        for (id, rests) in held {
            if *rests {
                continue;
            }
            let since = *self.idle_since.entry(id.clone()).or_insert(self.now);
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

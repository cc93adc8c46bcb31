//! The invariants of a run, judged by its record.

use std::fmt;
use std::time::Duration;

use crate::record::{At, AttemptRecord, Class, ClientRequest, Incarnation, RequestOutcome, RunRecord};
use crate::timing::Timing;

/// A request has its final answer so long after its time at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
const CLIENT_LEFT_SLACK: Duration = Duration::from_millis(100);
/// And tell so much more than is left.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);
/// What the platform allows beside the settings' grace of drains, time of what is held, and window of repeats.
const DRAIN_SLACK: Duration = Duration::from_millis(50);
const RESERVATION_SLACK: Duration = Duration::from_millis(300);
const WINDOW_SLACK: Duration = Duration::from_millis(150);
/// What came so long after the signal to stop is owed an answer up to the kill.
const STOPPED_FROM: Duration = Duration::from_millis(700);
/// New connections come for so long after it.
const CONNECT_AFTER_STOP: Duration = Duration::from_millis(400);
/// An event is passed on within this time.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);
/// One stream in so many may be late.
const STREAMS_PER_DELAYED: usize = 20;
/// A watch is opened so long after discovery is back at the latest: a quarter of the longest grace, and some time to ask.
const DISCOVERY_POLL_GRACE: Duration = Duration::from_millis(300);
/// A bad client gets an error or an end within this time.
const MALFORMED_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Which invariant was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A request got no final answer, or too late.
    Lost,
    /// A request that must not run twice did, or two attempts were out at once.
    Duplicate,
    /// It was refused, or served as a failure, in a way that its effect does not allow.
    RejectedAfterEffect,
    /// An attempt began after its client had left.
    AttemptAfterClientLeft,
    /// An attempt stated more remaining time to its engine than was left.
    RemainingTimeOverstated,
    /// An attempt went to an engine that was known to drain or to be gone.
    SentToDrainingEndpoint,
    /// Something stayed held.
    ReservationLeaked,
    /// A stream that its engine had finished, or went on writing, was cut off.
    StreamCut,
    /// Too many streams had an event held back.
    EventsDelayed,
    /// A bad client was left without an error and without an end.
    BadClient,
    /// A process crashed, was late or went over a limit.
    Process,
    /// A node itself counted something that is not permitted.
    GuardViolation,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub kind: ViolationKind,
    /// Whose: a request's id, a node.
    pub subject: String,
    /// What was seen.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.kind, self.subject, self.details)
    }
}

/// What a run is judged with: its books and how late threads of this machine were woken.
pub(crate) struct InvariantChecker<'a> {
    pub(crate) books: &'a RunRecord,
    pub(crate) late: Duration,
    pub(crate) timing: Timing,
}

impl InvariantChecker<'_> {
    /// All violations.
    pub(crate) fn verdict(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (id, ask) in &self.books.requests {
            let attempt_started = self.books.attempt_started.get(id).map_or(&[][..], Vec::as_slice);
            self.judge_answer(id, ask, attempt_started, &mut found);
            self.judge_effects(id, ask, attempt_started, &mut found);
            self.judge_attempts(id, ask, attempt_started, &mut found);
        }
        self.judge_held(&mut found);
        self.judge_streams(&mut found);
        for bad in &self.books.bad_clients {
            let by = bad.connected + MALFORMED_ANSWER_TIMEOUT + self.late;
            if bad.served_at.is_none_or(|at| at > by) && !self.node_ended(bad.node, bad.connected, by) {
                found.push(violation(
                    ViolationKind::BadClient,
                    format!("node {}", bad.node),
                    format!("{bad:?}"),
                ));
            }
        }
        for (node, what) in &self.books.process_faults {
            found.push(violation(ViolationKind::Process, format!("node {node}"), what.clone()));
        }
        for (node, what) in &self.books.denied {
            found.push(violation(ViolationKind::GuardViolation, format!("node {node}"), what.clone()));
        }
        found
    }

    fn incarnation(&self, node: usize, at: At) -> Option<&Incarnation> {
        self.books.incarnations.iter().rfind(|i| i.node == node && i.started <= at)
    }

    /// Whether a node's process ended between two times.
    fn node_ended(&self, node: usize, from: At, to: At) -> bool {
        let ended = self.books.incarnations.iter().filter(|i| i.node == node).filter_map(|i| i.ended);
        ended.into_iter().any(|at| at >= from.saturating_sub(self.late) && at <= to + self.late)
    }

    fn judge_answer(
        &self,
        id: &str,
        ask: &ClientRequest,
        attempt_started: &[AttemptRecord],
        found: &mut Vec<Violation>,
    ) {
        let by = ask.sent + ask.client_timeout + ANSWER_SLACK + self.late;
        let lost = |seen: String| violation(ViolationKind::Lost, id.into(), seen);
        match ask.end {
            RequestOutcome::Unsent => {}
            RequestOutcome::Open | RequestOutcome::Dropped { .. } if ask.left.is_some() => {}
            RequestOutcome::Open => {
                if !self.excused_by_end(ask, by) {
                    found.push(lost(format!("no answer: {ask:?}; {attempt_started:?}")));
                }
            }
            RequestOutcome::Dropped { at } => {
                let crossed = !ask.on_new_connection && attempt_started.is_empty();
                let closing = self.incarnation(ask.node, ask.sent).and_then(|i| i.stop_requested_at);
                let stops =
                    closing.is_some_and(|notified| ask.sent + self.late >= notified + CONNECT_AFTER_STOP);
                let unread = attempt_started.is_empty() && (stops || crossed);
                if !unread && !self.excused_by_end(ask, at) {
                    found.push(lost(format!(
                        "its connection ended without an answer: {ask:?}; {attempt_started:?}"
                    )));
                }
            }
            RequestOutcome::Answered { status, whole, first, at } => {
                if first > by {
                    found.push(lost(format!("answered {status} late: {ask:?}; {attempt_started:?}")));
                }
                let finished = attempt_started.iter().filter_map(|b| b.finished).max();
                if let Some(finished) = finished.filter(|_| !whole && ask.left.is_none()) {
                    if !self.excused_by_end(ask, at) {
                        found.push(violation(
                            ViolationKind::StreamCut,
                            id.into(),
                            format!("finished at {finished:?}, and cut off: {ask:?}; {attempt_started:?}"),
                        ));
                    }
                }
                // The client's stream is that of the last attempt that took effect; earlier ones were given up.
                let own =
                    attempt_started.iter().filter(|b| b.effect.is_some()).max_by_key(|b| b.attempt_started);
                let cut = own.is_some_and(|b| b.cut_by_node.is_some());
                if cut && !whole && ask.left.is_none() && ask.prompt_reader && !self.excused_by_end(ask, at) {
                    found.push(violation(
                        ViolationKind::StreamCut,
                        id.into(),
                        format!("cut off while its engine wrote: {ask:?}; {attempt_started:?}"),
                    ));
                }
            }
        }
    }

    /// Whether the process that had a request was killed, or ended in the time that it is given.
    fn excused_by_end(&self, ask: &ClientRequest, by: At) -> bool {
        let Some(own) = self.incarnation(ask.node, ask.sent + self.late) else { return true };
        let Some(ended) = own.ended.filter(|ended| *ended <= by + self.late) else { return false };
        match own.stop_requested_at {
            None => ended + self.late >= ask.sent,
            // What came in the first moments after the signal may be left over at the kill.
            Some(notified) => ask.sent <= notified + STOPPED_FROM + self.late,
        }
    }

    fn judge_effects(
        &self,
        id: &str,
        ask: &ClientRequest,
        attempt_started: &[AttemptRecord],
        found: &mut Vec<Violation>,
    ) {
        if let Some(second) = attempt_started.iter().find(|b| b.second_copy) {
            found.push(violation(
                ViolationKind::Duplicate,
                id.into(),
                format!("a second copy: {second:?}; {attempt_started:?}"),
            ));
        }
        // A repeat counts by when it began: its engine may hang before the effect.
        let effects: Vec<At> =
            attempt_started.iter().filter(|b| b.effect.is_some()).map(|b| b.attempt_started).collect();
        let (Some(first), Some(last)) = (effects.iter().min(), effects.iter().max()) else { return };
        let twice = match ask.class {
            Class::Safe => false,
            Class::Once => effects.len() > 1,
            Class::Keyed => *last > *first + self.timing.keyed_window + WINDOW_SLACK + self.late,
        };
        if twice {
            found.push(violation(
                ViolationKind::Duplicate,
                id.into(),
                format!("{:?}: {attempt_started:?}", ask.class),
            ));
        }
        if ask.class == Class::Once
            && matches!(ask.end, RequestOutcome::Answered { status: 503 | 429, .. })
            && ask.left.is_none()
        {
            found.push(violation(
                ViolationKind::RejectedAfterEffect,
                id.into(),
                format!("{ask:?}; {attempt_started:?}"),
            ));
        }
    }

    fn judge_attempts(
        &self,
        id: &str,
        ask: &ClientRequest,
        attempt_started: &[AttemptRecord],
        found: &mut Vec<Violation>,
    ) {
        for attempt in attempt_started {
            if ask.left.is_some_and(|left| attempt.attempt_started > left + CLIENT_LEFT_SLACK + self.late) {
                found.push(violation(
                    ViolationKind::AttemptAfterClientLeft,
                    id.into(),
                    format!("{ask:?}; {attempt:?}"),
                ));
            }
            // A resent request's first sending is not known any more.
            let left = (ask.sent + ask.client_timeout).saturating_sub(attempt.attempt_started);
            let remaining_overstated = attempt
                .remaining_stated
                .is_some_and(|notified| notified > left + REMAINING_TIME_SLACK + self.late);
            if remaining_overstated && !ask.resent {
                found.push(violation(
                    ViolationKind::RemainingTimeOverstated,
                    id.into(),
                    format!("{ask:?}; {attempt:?}"),
                ));
            }
            let notified = self
                .books
                .notified
                .iter()
                .filter(|(node, engine, _)| *node == attempt.node && *engine == attempt.engine);
            let counts = notified.map(|(_, _, at)| *at).min();
            let started = self.incarnation(attempt.node, attempt.head).map_or(At::ZERO, |i| i.started);
            let could_ask = self.discovery_back(started);
            if counts.is_some_and(|at| {
                attempt.head
                    > self.discovery_back(at).max(could_ask)
                        + self.timing.drain_grace
                        + DRAIN_SLACK
                        + self.late
            }) {
                found.push(violation(
                    ViolationKind::SentToDrainingEndpoint,
                    id.into(),
                    format!("notified at {counts:?}: {attempt:?}"),
                ));
            }
        }
    }

    /// The first moment from then on at which discovery could be asked, and stayed so for long enough to be: a process
    /// that starts while it is down knows the list that it was given.
    fn discovery_back(&self, at: At) -> At {
        let mut downs = self.books.discovery_down.clone();
        downs.sort_unstable();
        downs
            .iter()
            .fold(at, |at, (from, to)| if *from <= at + DISCOVERY_POLL_GRACE && at < *to { *to } else { at })
    }

    fn judge_held(&self, found: &mut Vec<Violation>) {
        for (id, held) in &self.books.held {
            let Some(ask) = self.books.requests.get(id) else { continue };
            // What a process held when it ended is no duty of its next one.
            let from = ask.sent;
            let to = from + ask.client_timeout + Duration::from_secs(10);
            if held.longest > self.timing.release + RESERVATION_SLACK + self.late
                && !self.node_ended(ask.node, from, to)
            {
                let seen =
                    format!("for {:?}: {ask:?}; {:?}", held.longest, self.books.attempt_started.get(id));
                found.push(violation(ViolationKind::ReservationLeaked, id.clone(), seen));
            }
        }
    }

    fn judge_streams(&self, found: &mut Vec<Violation>) {
        let streams: Vec<(&String, &ClientRequest)> = self
            .books
            .requests
            .iter()
            .filter(|(_, a)| a.prompt_reader && matches!(a.end, RequestOutcome::Answered { status: 200, .. }))
            .collect();
        let late: Vec<&String> = streams
            .iter()
            .filter(|(_, ask)| ask.most_held_back > MAX_EVENT_DELAY + self.late)
            .map(|(id, _)| *id)
            .collect();
        if late.len() * STREAMS_PER_DELAYED > streams.len() {
            let seen = format!("{} of {} streams: {late:?}", late.len(), streams.len());
            found.push(violation(ViolationKind::EventsDelayed, "all".into(), seen));
        }
    }
}

fn violation(kind: ViolationKind, subject: String, details: String) -> Violation {
    Violation { kind, subject, details }
}

#[cfg(test)]
mod tests;

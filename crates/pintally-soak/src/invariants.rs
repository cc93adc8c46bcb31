//! The invariants of a run, checked on its record.

use std::fmt;
use std::time::Duration;

use crate::record::{At, AttemptRecord, Class, ClientRequest, Incarnation, RequestOutcome, RunRecord};
use crate::timing::Timing;

/// A request gets its final answer at most this long after its client timeout.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An attempt may still start this long after its client has left.
const CLIENT_LEFT_SLACK: Duration = Duration::from_millis(100);
/// An attempt may overstate the remaining time by this much.
const REMAINING_TIME_SLACK: Duration = Duration::from_millis(150);
/// What the platform allows in addition to the settings' drain grace, release time and deduplication window.
const DRAIN_SLACK: Duration = Duration::from_millis(50);
const RESERVATION_SLACK: Duration = Duration::from_millis(300);
const WINDOW_SLACK: Duration = Duration::from_millis(150);
/// Requests that arrive later than this after SIGTERM must be answered before SIGKILL.
const STOP_GRACE_START: Duration = Duration::from_millis(700);
/// New connections are expected for this long after SIGTERM. Later requests may be dropped unread.
const CONNECT_AFTER_STOP: Duration = Duration::from_millis(400);
/// A node forwards a stream's event within this time.
const MAX_EVENT_DELAY: Duration = Duration::from_millis(300);
/// One stream in this many may have a delayed event.
const STREAMS_PER_DELAYED: usize = 20;
/// A node opens a watch at most this long after discovery is back: a quarter of the longest drain grace, and time for
/// the request.
const DISCOVERY_POLL_GRACE: Duration = Duration::from_millis(300);
/// A client that sends malformed data gets an error or the end of its connection within this time.
const MALFORMED_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The violated invariant. The `Debug` text is part of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A request got no final answer, or got it too late.
    Lost,
    /// A request that must not run twice did, or two attempts were in progress at the same time.
    Duplicate,
    /// A request that must run at most once was rejected after it had taken effect.
    RejectedAfterEffect,
    /// An attempt began after its client had left.
    AttemptAfterClientLeft,
    /// An attempt stated more remaining time to its engine than was left.
    RemainingTimeOverstated,
    /// An attempt went to an engine after the node was notified that it drains or is gone.
    SentToDrainingEndpoint,
    /// A read state was held too long.
    ReservationLeaked,
    /// A node cut a stream that its engine had finished or was still writing.
    StreamCut,
    /// Too many streams had a delayed event.
    EventsDelayed,
    /// A client that sent malformed data got neither an error nor the end of its connection.
    BadClient,
    /// A process crashed, was ready too late or exceeded a limit.
    Process,
    /// A node counted a guard violation itself.
    GuardViolation,
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub kind: ViolationKind,
    /// The request id or the node.
    pub subject: String,
    /// What was observed.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.kind, self.subject, self.details)
    }
}

/// Checks a run's record. The tolerance covers late wake-ups of threads on this machine.
pub(crate) struct InvariantChecker<'a> {
    pub(crate) record: &'a RunRecord,
    pub(crate) tolerance: Duration,
    pub(crate) timing: Timing,
}

impl InvariantChecker<'_> {
    /// Returns all violations.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (id, request) in &self.record.requests {
            let attempts = self.record.attempts.get(id).map_or(&[][..], Vec::as_slice);
            self.check_answer(id, request, attempts, &mut found);
            self.check_effects(id, request, attempts, &mut found);
            self.check_attempts(id, request, attempts, &mut found);
        }
        self.check_held_states(&mut found);
        self.check_streams(&mut found);
        for bad in &self.record.bad_clients {
            let by = bad.connected + MALFORMED_ANSWER_TIMEOUT + self.tolerance;
            if bad.served_at.is_none_or(|at| at > by) && !self.node_ended(bad.node, bad.connected, by) {
                found.push(violation(
                    ViolationKind::BadClient,
                    format!("node {}", bad.node),
                    format!("{bad:?}"),
                ));
            }
        }
        for (node, fault) in &self.record.process_faults {
            found.push(violation(ViolationKind::Process, format!("node {node}"), fault.clone()));
        }
        for (node, guard) in &self.record.guard_violations {
            found.push(violation(ViolationKind::GuardViolation, format!("node {node}"), guard.clone()));
        }
        found
    }

    fn incarnation(&self, node: usize, at: At) -> Option<&Incarnation> {
        self.record.incarnations.iter().rfind(|i| i.node == node && i.started <= at)
    }

    /// Whether a node's process ended between two times.
    fn node_ended(&self, node: usize, from: At, to: At) -> bool {
        let ended = self.record.incarnations.iter().filter(|i| i.node == node).filter_map(|i| i.ended);
        ended.into_iter().any(|at| at >= from.saturating_sub(self.tolerance) && at <= to + self.tolerance)
    }

    fn check_answer(
        &self,
        id: &str,
        request: &ClientRequest,
        attempts: &[AttemptRecord],
        found: &mut Vec<Violation>,
    ) {
        let by = request.sent + request.client_timeout + ANSWER_SLACK + self.tolerance;
        let lost = |details: String| violation(ViolationKind::Lost, id.into(), details);
        match request.end {
            RequestOutcome::Unsent => {}
            RequestOutcome::Open | RequestOutcome::Dropped { .. } if request.left.is_some() => {}
            RequestOutcome::Open => {
                if !self.lost_with_process(request, by) {
                    found.push(lost(format!("no answer: {request:?}; {attempts:?}")));
                }
            }
            RequestOutcome::Dropped { at } => {
                let crossed_close = !request.on_new_connection && attempts.is_empty();
                let stop_requested_at =
                    self.incarnation(request.node, request.sent).and_then(|i| i.stop_requested_at);
                let stopping = stop_requested_at
                    .is_some_and(|stopped| request.sent + self.tolerance >= stopped + CONNECT_AFTER_STOP);
                let may_be_unread = attempts.is_empty() && (stopping || crossed_close);
                if !may_be_unread && !self.lost_with_process(request, at) {
                    found.push(lost(format!(
                        "its connection ended without an answer: {request:?}; {attempts:?}"
                    )));
                }
            }
            RequestOutcome::Answered { status, whole, first, at } => {
                if first > by {
                    found.push(lost(format!("answered {status} late: {request:?}; {attempts:?}")));
                }
                let finished = attempts.iter().filter_map(|b| b.finished).max();
                if let Some(finished) = finished.filter(|_| !whole && request.left.is_none()) {
                    if !self.lost_with_process(request, at) {
                        found.push(violation(
                            ViolationKind::StreamCut,
                            id.into(),
                            format!("finished at {finished:?}, and cut off: {request:?}; {attempts:?}"),
                        ));
                    }
                }
                // The client receives the stream of the last attempt that took effect; the node gave up earlier ones.
                let forwarded =
                    attempts.iter().filter(|b| b.effect.is_some()).max_by_key(|b| b.attempt_started);
                let cut = forwarded.is_some_and(|b| b.cut_by_node.is_some());
                if cut
                    && !whole
                    && request.left.is_none()
                    && request.prompt_reader
                    && !self.lost_with_process(request, at)
                {
                    found.push(violation(
                        ViolationKind::StreamCut,
                        id.into(),
                        format!("cut off while its engine wrote: {request:?}; {attempts:?}"),
                    ));
                }
            }
        }
    }

    /// Whether the process that had a request was killed, or ended within its grace period after SIGTERM.
    fn lost_with_process(&self, request: &ClientRequest, by: At) -> bool {
        let Some(incarnation) = self.incarnation(request.node, request.sent + self.tolerance) else {
            return true;
        };
        let Some(ended) = incarnation.ended.filter(|ended| *ended <= by + self.tolerance) else {
            return false;
        };
        match incarnation.stop_requested_at {
            None => ended + self.tolerance >= request.sent,
            // Requests that arrive shortly after SIGTERM may still be open at SIGKILL.
            Some(stopped) => request.sent <= stopped + STOP_GRACE_START + self.tolerance,
        }
    }

    fn check_effects(
        &self,
        id: &str,
        request: &ClientRequest,
        attempts: &[AttemptRecord],
        found: &mut Vec<Violation>,
    ) {
        if let Some(second) = attempts.iter().find(|b| b.second_copy) {
            found.push(violation(
                ViolationKind::Duplicate,
                id.into(),
                format!("a second copy: {second:?}; {attempts:?}"),
            ));
        }
        // Effects are compared by the arrival of their attempts, as an engine may hang before the effect.
        let effects: Vec<At> =
            attempts.iter().filter(|b| b.effect.is_some()).map(|b| b.attempt_started).collect();
        let (Some(first), Some(last)) = (effects.iter().min(), effects.iter().max()) else { return };
        let ran_again = match request.class {
            Class::Safe => false,
            Class::Once => effects.len() > 1,
            Class::Keyed => *last > *first + self.timing.keyed_window + WINDOW_SLACK + self.tolerance,
        };
        if ran_again {
            found.push(violation(
                ViolationKind::Duplicate,
                id.into(),
                format!("{:?}: {attempts:?}", request.class),
            ));
        }
        if request.class == Class::Once
            && matches!(request.end, RequestOutcome::Answered { status: 503 | 429, .. })
            && request.left.is_none()
        {
            found.push(violation(
                ViolationKind::RejectedAfterEffect,
                id.into(),
                format!("{request:?}; {attempts:?}"),
            ));
        }
    }

    fn check_attempts(
        &self,
        id: &str,
        request: &ClientRequest,
        attempts: &[AttemptRecord],
        found: &mut Vec<Violation>,
    ) {
        for attempt in attempts {
            if request
                .left
                .is_some_and(|left| attempt.attempt_started > left + CLIENT_LEFT_SLACK + self.tolerance)
            {
                found.push(violation(
                    ViolationKind::AttemptAfterClientLeft,
                    id.into(),
                    format!("{request:?}; {attempt:?}"),
                ));
            }
            // For a resent request, the time of the first send is not known any more.
            let left = (request.sent + request.client_timeout).saturating_sub(attempt.attempt_started);
            let remaining_overstated = attempt
                .remaining_stated
                .is_some_and(|stated| stated > left + REMAINING_TIME_SLACK + self.tolerance);
            if remaining_overstated && !request.resent {
                found.push(violation(
                    ViolationKind::RemainingTimeOverstated,
                    id.into(),
                    format!("{request:?}; {attempt:?}"),
                ));
            }
            let notified = self
                .record
                .notified
                .iter()
                .filter(|(node, engine, _)| *node == attempt.node && *engine == attempt.engine);
            let notified_at = notified.map(|(_, _, at)| *at).min();
            let started = self.incarnation(attempt.node, attempt.head).map_or(At::ZERO, |i| i.started);
            let discovery_reachable = self.discovery_back(started);
            if notified_at.is_some_and(|at| {
                attempt.head
                    > self.discovery_back(at).max(discovery_reachable)
                        + self.timing.drain_grace
                        + DRAIN_SLACK
                        + self.tolerance
            }) {
                found.push(violation(
                    ViolationKind::SentToDrainingEndpoint,
                    id.into(),
                    format!("notified at {notified_at:?}: {attempt:?}"),
                ));
            }
        }
    }

    /// The first time from `at` on when discovery is reachable and stays so for at least `DISCOVERY_POLL_GRACE`. A
    /// process that starts while discovery is down knows only the list in its configuration.
    fn discovery_back(&self, at: At) -> At {
        let mut downs = self.record.discovery_down.clone();
        downs.sort_unstable();
        downs
            .iter()
            .fold(at, |at, (from, to)| if *from <= at + DISCOVERY_POLL_GRACE && at < *to { *to } else { at })
    }

    fn check_held_states(&self, found: &mut Vec<Violation>) {
        for (id, held) in &self.record.held {
            let Some(request) = self.record.requests.get(id) else { continue };
            // A process is not responsible for states that its previous incarnation held.
            let from = request.sent;
            let to = from + request.client_timeout + Duration::from_secs(10);
            if held.longest > self.timing.release + RESERVATION_SLACK + self.tolerance
                && !self.node_ended(request.node, from, to)
            {
                let details =
                    format!("for {:?}: {request:?}; {:?}", held.longest, self.record.attempts.get(id));
                found.push(violation(ViolationKind::ReservationLeaked, id.clone(), details));
            }
        }
    }

    fn check_streams(&self, found: &mut Vec<Violation>) {
        let streams: Vec<(&String, &ClientRequest)> = self
            .record
            .requests
            .iter()
            .filter(|(_, a)| a.prompt_reader && matches!(a.end, RequestOutcome::Answered { status: 200, .. }))
            .collect();
        let delayed: Vec<&String> = streams
            .iter()
            .filter(|(_, request)| request.most_held_back > MAX_EVENT_DELAY + self.tolerance)
            .map(|(id, _)| *id)
            .collect();
        if delayed.len() * STREAMS_PER_DELAYED > streams.len() {
            let details = format!("{} of {} streams: {delayed:?}", delayed.len(), streams.len());
            found.push(violation(ViolationKind::EventsDelayed, "all".into(), details));
        }
    }
}

fn violation(kind: ViolationKind, subject: String, details: String) -> Violation {
    Violation { kind, subject, details }
}

#[cfg(test)]
mod tests;

//! The invariants of a run, judged by its record.

use std::fmt;
use std::time::Duration;

use crate::record::{Ask, AskEnd, At, Begun, Books, Class, Incarnation};
use crate::timing::Timing;

/// A request has its final answer so long after its time at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// And tell so much more than is left.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// What the platform allows beside the settings' grace of drains, time of what is held, and window of repeats.
const DRAIN_SLACK: Duration = Duration::from_millis(50);
const HELD_SLACK: Duration = Duration::from_millis(300);
const WINDOW_SLACK: Duration = Duration::from_millis(150);
/// What came so long after the signal to stop is owed an answer up to the kill.
const STOPPED_FROM: Duration = Duration::from_millis(700);
/// New connections come for so long after it.
const STILL_CONNECT: Duration = Duration::from_millis(400);
/// An event is passed on within this time.
const HELD_BACK: Duration = Duration::from_millis(300);
/// One stream in so many may be late.
const STREAMS_PER_LATE: usize = 20;
/// A watch is opened so long after discovery is back at the latest: a quarter of the longest grace, and some time to ask.
const ASKED_WITHIN: Duration = Duration::from_millis(300);
/// A bad client gets an error or an end within this time.
const BAD_OWED: Duration = Duration::from_secs(3);

/// Which invariant was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A request got no final answer, or too late.
    Lost,
    /// A request that must not run twice did, or two attempts were out at once.
    Duplicate,
    /// It was refused, or served as a failure, in a way that its effect does not allow.
    RefusedAfterEffect,
    /// An attempt began after its client had left.
    BegunForNobody,
    /// An attempt told its engine more than was left.
    ToldTooMuch,
    /// An attempt went to an engine that was known to drain or to be gone.
    Drain,
    /// Something stayed held.
    Pinned,
    /// A stream that its engine had finished, or went on writing, was cut off.
    StreamCut,
    /// Too many streams had an event held back.
    HeldBack,
    /// A bad client was left without an error and without an end.
    BadClient,
    /// A process crashed, was late or went over a limit.
    Process,
    /// A node itself counted something that is not permitted.
    Denied,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub kind: FaultKind,
    /// Whose: a request's id, a node.
    pub whose: String,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.kind, self.whose, self.seen)
    }
}

/// What a run is judged with: its books and how late threads of this machine were woken.
pub(crate) struct Judge<'a> {
    pub(crate) books: &'a Books,
    pub(crate) late: Duration,
    pub(crate) timing: Timing,
}

impl Judge<'_> {
    /// All violations.
    pub(crate) fn verdict(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (id, ask) in &self.books.asks {
            let begun = self.books.begun.get(id).map_or(&[][..], Vec::as_slice);
            self.judge_answer(id, ask, begun, &mut found);
            self.judge_effects(id, ask, begun, &mut found);
            self.judge_attempts(id, ask, begun, &mut found);
        }
        self.judge_held(&mut found);
        self.judge_streams(&mut found);
        for bad in &self.books.bad_clients {
            let by = bad.connected + BAD_OWED + self.late;
            if bad.served_at.is_none_or(|at| at > by) && !self.node_ended(bad.node, bad.connected, by) {
                found.push(violation(FaultKind::BadClient, format!("node {}", bad.node), format!("{bad:?}")));
            }
        }
        for (node, what) in &self.books.process_faults {
            found.push(violation(FaultKind::Process, format!("node {node}"), what.clone()));
        }
        for (node, what) in &self.books.denied {
            found.push(violation(FaultKind::Denied, format!("node {node}"), what.clone()));
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

    fn judge_answer(&self, id: &str, ask: &Ask, begun: &[Begun], found: &mut Vec<Violation>) {
        let by = ask.sent + ask.patience + ANSWER_SLACK + self.late;
        let lost = |seen: String| violation(FaultKind::Lost, id.into(), seen);
        match ask.end {
            AskEnd::Unsent => {}
            AskEnd::Open | AskEnd::Dropped { .. } if ask.left.is_some() => {}
            AskEnd::Open => {
                if !self.excused_by_end(ask, by) {
                    found.push(lost(format!("no answer: {ask:?}; {begun:?}")));
                }
            }
            AskEnd::Dropped { at } => {
                let crossed = !ask.on_new_connection && begun.is_empty();
                let closing = self.incarnation(ask.node, ask.sent).and_then(|i| i.told_to_stop);
                let stops = closing.is_some_and(|told| ask.sent + self.late >= told + STILL_CONNECT);
                let unread = begun.is_empty() && (stops || crossed);
                if !unread && !self.excused_by_end(ask, at) {
                    found.push(lost(format!("its connection ended without an answer: {ask:?}; {begun:?}")));
                }
            }
            AskEnd::Answered { status, whole, first, at } => {
                if first > by {
                    found.push(lost(format!("answered {status} late: {ask:?}; {begun:?}")));
                }
                let finished = begun.iter().filter_map(|b| b.finished).max();
                if let Some(finished) = finished.filter(|_| !whole && ask.left.is_none()) {
                    if !self.excused_by_end(ask, at) {
                        found.push(violation(
                            FaultKind::StreamCut,
                            id.into(),
                            format!("finished at {finished:?}, and cut off: {ask:?}; {begun:?}"),
                        ));
                    }
                }
                // The client's stream is that of the last attempt that took effect; earlier ones were given up.
                let own = begun.iter().filter(|b| b.effect.is_some()).max_by_key(|b| b.begun);
                let cut = own.is_some_and(|b| b.cut_by_node.is_some());
                if cut && !whole && ask.left.is_none() && ask.prompt_reader && !self.excused_by_end(ask, at) {
                    found.push(violation(
                        FaultKind::StreamCut,
                        id.into(),
                        format!("cut off while its engine wrote: {ask:?}; {begun:?}"),
                    ));
                }
            }
        }
    }

    /// Whether the process that had a request was killed, or ended in the time that it is given.
    fn excused_by_end(&self, ask: &Ask, by: At) -> bool {
        let Some(own) = self.incarnation(ask.node, ask.sent + self.late) else { return true };
        let Some(ended) = own.ended.filter(|ended| *ended <= by + self.late) else { return false };
        match own.told_to_stop {
            None => ended + self.late >= ask.sent,
            // What came in the first moments after the signal may be left over at the kill.
            Some(told) => ask.sent <= told + STOPPED_FROM + self.late,
        }
    }

    fn judge_effects(&self, id: &str, ask: &Ask, begun: &[Begun], found: &mut Vec<Violation>) {
        if let Some(second) = begun.iter().find(|b| b.second_copy) {
            found.push(violation(
                FaultKind::Duplicate,
                id.into(),
                format!("a second copy: {second:?}; {begun:?}"),
            ));
        }
        // A repeat counts by when it began: its engine may hang before the effect.
        let effects: Vec<At> = begun.iter().filter(|b| b.effect.is_some()).map(|b| b.begun).collect();
        let (Some(first), Some(last)) = (effects.iter().min(), effects.iter().max()) else { return };
        let twice = match ask.class {
            Class::Safe => false,
            Class::Once => effects.len() > 1,
            Class::Keyed => *last > *first + self.timing.keyed_window + WINDOW_SLACK + self.late,
        };
        if twice {
            found.push(violation(FaultKind::Duplicate, id.into(), format!("{:?}: {begun:?}", ask.class)));
        }
        if ask.class == Class::Once
            && matches!(ask.end, AskEnd::Answered { status: 503 | 429, .. })
            && ask.left.is_none()
        {
            found.push(violation(FaultKind::RefusedAfterEffect, id.into(), format!("{ask:?}; {begun:?}")));
        }
    }

    fn judge_attempts(&self, id: &str, ask: &Ask, begun: &[Begun], found: &mut Vec<Violation>) {
        for attempt in begun {
            if ask.left.is_some_and(|left| attempt.begun > left + LEFT_SLACK + self.late) {
                found.push(violation(FaultKind::BegunForNobody, id.into(), format!("{ask:?}; {attempt:?}")));
            }
            // A resent request's first sending is not known any more.
            let left = (ask.sent + ask.patience).saturating_sub(attempt.begun);
            let told_too_much = attempt.told_left.is_some_and(|told| told > left + TOLD_SLACK + self.late);
            if told_too_much && !ask.resent {
                found.push(violation(FaultKind::ToldTooMuch, id.into(), format!("{ask:?}; {attempt:?}")));
            }
            let told = self
                .books
                .told
                .iter()
                .filter(|(node, engine, _)| *node == attempt.node && *engine == attempt.engine);
            let counts = told.map(|(_, _, at)| *at).min();
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
                    FaultKind::Drain,
                    id.into(),
                    format!("told at {counts:?}: {attempt:?}"),
                ));
            }
        }
    }

    /// The first moment from then on at which discovery could be asked, and stayed so for long enough to be: a process
    /// that starts while it is down knows the list that it was given.
    fn discovery_back(&self, at: At) -> At {
        let mut downs = self.books.discovery_down.clone();
        downs.sort_unstable();
        downs.iter().fold(at, |at, (from, to)| if *from <= at + ASKED_WITHIN && at < *to { *to } else { at })
    }

    fn judge_held(&self, found: &mut Vec<Violation>) {
        for (id, held) in &self.books.held {
            let Some(ask) = self.books.asks.get(id) else { continue };
            // What a process held when it ended is no duty of its next one.
            let from = ask.sent;
            let to = from + ask.patience + Duration::from_secs(10);
            if held.longest > self.timing.release + HELD_SLACK + self.late
                && !self.node_ended(ask.node, from, to)
            {
                let seen = format!("for {:?}: {ask:?}; {:?}", held.longest, self.books.begun.get(id));
                found.push(violation(FaultKind::Pinned, id.clone(), seen));
            }
        }
    }

    fn judge_streams(&self, found: &mut Vec<Violation>) {
        let streams: Vec<(&String, &Ask)> = self
            .books
            .asks
            .iter()
            .filter(|(_, a)| a.prompt_reader && matches!(a.end, AskEnd::Answered { status: 200, .. }))
            .collect();
        let late: Vec<&String> = streams
            .iter()
            .filter(|(_, ask)| ask.most_held_back > HELD_BACK + self.late)
            .map(|(id, _)| *id)
            .collect();
        if late.len() * STREAMS_PER_LATE > streams.len() {
            let seen = format!("{} of {} streams: {late:?}", late.len(), streams.len());
            found.push(violation(FaultKind::HeldBack, "all".into(), seen));
        }
    }
}

fn violation(kind: FaultKind, whose: String, seen: String) -> Violation {
    Violation { kind, whose, seen }
}

#[cfg(test)]
mod tests;

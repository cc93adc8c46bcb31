//! A record put in order by request, attempt, state, engine and node.

use std::collections::BTreeMap;

use crate::record::*;
use crate::Report;

/// Lateness counts for what happened so near to it,
const LATE_NEAR: u64 = 1_000_000;
/// and this many times, as a message passes several threads on its way,
const LATE_HOPS: u64 = 8;
/// beside itself this much at the most.
const MAX_LATE: u64 = 2_000_000;

/// What a lateness of the machine may have added to a time, both in microseconds.
///
/// Guards against a verdict on the machine: where it stood still for a second, nodes, engines and clients
/// stood with it, and the whole second is nobody's. The hops behind it are bounded.
pub fn lateness_allowance_us(us: u64) -> u64 {
    us + (us * (LATE_HOPS - 1)).min(MAX_LATE)
}

/// One try of a client.
pub(crate) struct Try<'a> {
    pub(crate) request: &'a str,
    pub(crate) node: &'a str,
    pub(crate) class: &'a str,
    pub(crate) at: u64,
    pub(crate) patience: u64,
    pub(crate) streamed: bool,
    pub(crate) first: Option<u64>,
    pub(crate) answers: Vec<(u64, Answer)>,
    pub(crate) extra: bool,
    pub(crate) left: Option<u64>,
    pub(crate) unanswered: Option<u64>,
}

/// One attempt as the engines saw it.
pub(crate) struct Work<'a> {
    pub(crate) at: u64,
    pub(crate) engine: &'a str,
    pub(crate) node: &'a str,
    pub(crate) request: &'a str,
    pub(crate) attempt: &'a str,
    pub(crate) step: Step,
    pub(crate) done: Option<u64>,
    pub(crate) turned_away: bool,
    pub(crate) ran: bool,
}

/// A record in order.
pub(crate) struct Index<'a> {
    pub(crate) figures: &'a RuleParameters,
    pub(crate) record: &'a [Record],
    pub(crate) tries: BTreeMap<&'a str, Try<'a>>,
    /// In the order in which they came to engines.
    pub(crate) works: Vec<Work<'a>>,
    /// Indices of works by request.
    pub(crate) by_request: BTreeMap<&'a str, Vec<usize>>,
    /// When each node went down.
    downs: BTreeMap<&'a str, Vec<u64>>,
    /// When each node's process stood still.
    stood: BTreeMap<&'a str, Vec<(u64, u64)>>,
    /// When the machine was late, and by how much.
    late: Vec<(u64, u64)>,
    /// The most that it was late by.
    latest: u64,
    /// The record's last time.
    pub(crate) end: u64,
}

impl<'a> Index<'a> {
    pub(crate) fn new(record: &'a [Record]) -> Result<Index<'a>, RecordError> {
        let fail = |message: &str| RecordError { line: 0, message: message.to_string() };
        let Some(Record { event: AuditEvent::Parameters(figures), .. }) = record.first() else {
            return Err(fail("a record must begin with its figures"));
        };
        let end = record.iter().map(|r| r.at).max().unwrap_or(0);
        let mut index = Index {
            figures,
            record,
            tries: BTreeMap::new(),
            works: Vec::new(),
            by_request: BTreeMap::new(),
            downs: BTreeMap::new(),
            stood: BTreeMap::new(),
            late: Vec::new(),
            latest: 0,
            end,
        };
        let mut open: BTreeMap<&str, usize> = BTreeMap::new();
        // Ends write with their own clocks' readings, one lock apart: time decides, not the line.
        let mut sorted: Vec<&Record> = record.iter().collect();
        sorted.sort_by_key(|r| r.at);
        // A try exists before anything of it, whichever thread wrote first.
        for r in &sorted {
            if let AuditEvent::RequestSent { request, node, class, patience_us, streamed, .. } = &r.event {
                let fresh = Try {
                    request,
                    node,
                    class,
                    at: r.at,
                    patience: *patience_us,
                    streamed: *streamed,
                    first: None,
                    answers: Vec::new(),
                    extra: false,
                    left: None,
                    unanswered: None,
                };
                if index.tries.insert(request, fresh).is_some() {
                    return Err(fail(&format!("request {request} was asked twice: ids must be of one try")));
                }
            }
        }
        for r in sorted {
            index.take(r, &mut open);
        }
        Ok(index)
    }

    fn take(&mut self, r: &'a Record, open: &mut BTreeMap<&'a str, usize>) {
        let at = r.at;
        match &r.event {
            AuditEvent::FirstChunk { request } => self.of(request, |t| t.first = t.first.or(Some(at))),
            AuditEvent::Answered { request, answer } => self.of(request, |t| t.answers.push((at, *answer))),
            AuditEvent::ExtraAnswer { request } => self.of(request, |t| t.extra = true),
            AuditEvent::ClientLeft { request } => self.of(request, |t| t.left = Some(at)),
            AuditEvent::Unanswered { request } => self.of(request, |t| t.unanswered = Some(at)),
            AuditEvent::AttemptArrived { engine, node, request, attempt, step, .. } => {
                let step = *step;
                let (done, turned_away, ran) = (None, false, false);
                open.insert(attempt, self.works.len());
                self.by_request.entry(request).or_default().push(self.works.len());
                let work = Work { at, engine, node, request, attempt, step, done, turned_away, ran };
                self.works.push(work);
            }
            AuditEvent::AttemptEnded { attempt, .. } => {
                self.with(open.get(attempt.as_str()), |w| w.done = Some(at))
            }
            AuditEvent::AttemptRejected { attempt, .. } => {
                self.with(open.get(attempt.as_str()), |w| w.turned_away = true);
            }
            AuditEvent::AttemptRan { attempt, .. } => self.with(open.get(attempt.as_str()), |w| w.ran = true),
            AuditEvent::MachineLate { us } => {
                self.late.push((at, *us));
                self.latest = self.latest.max(*us);
            }
            AuditEvent::NodePaused { node, paused: true } => {
                self.stood.entry(node).or_default().push((at, self.end));
            }
            AuditEvent::NodePaused { node, paused: false } => {
                if let Some(last) = self.stood.get_mut(node.as_str()).and_then(|s| s.last_mut()) {
                    last.1 = at;
                }
            }
            AuditEvent::NodeDown { node } => self.downs.entry(node).or_default().push(at),
            _ => {}
        }
    }

    fn of(&mut self, request: &str, f: impl FnOnce(&mut Try<'a>)) {
        if let Some(one) = self.tries.get_mut(request) {
            f(one);
        }
    }

    fn with(&mut self, at: Option<&usize>, f: impl FnOnce(&mut Work<'a>)) {
        if let Some(work) = at.and_then(|i| self.works.get_mut(*i)) {
            f(work);
        }
    }

    /// What the measuring may have added to a time that was taken inside a span. A message passes
    /// several threads on its way: where the machine wakes one late it may wake each of them so.
    pub(crate) fn slack(&self, from: u64, to: u64) -> u64 {
        let (from, to) = (from.saturating_sub(LATE_NEAR), to.saturating_add(LATE_NEAR));
        let first = self.late.partition_point(|(at, _)| *at < from);
        // A lateness is noted at its end, and what it was late by lies before.
        let near = self.late[first..].iter().take_while(|(at, _)| at.saturating_sub(self.latest) <= to);
        let near = near.filter(|(at, us)| at.saturating_sub(*us) <= to);
        self.figures.slack_us + near.map(|(_, us)| lateness_allowance_us(*us)).max().unwrap_or(0)
    }

    /// For how long of a span a node's process stood still.
    pub(crate) fn stood(&self, node: &str, from: u64, to: u64) -> u64 {
        let spans = self.stood.get(node).into_iter().flatten();
        spans.map(|(begin, end)| (*end).min(to).saturating_sub((*begin).max(from))).sum()
    }

    /// Whether a node went down in a span.
    pub(crate) fn went_down(&self, node: &str, from: u64, to: u64) -> bool {
        self.downs.get(node).is_some_and(|downs| downs.iter().any(|at| (from..=to).contains(at)))
    }

    /// Whether a try was in the hands of a node that was killed.
    pub(crate) fn died(&self, t: &Try) -> bool {
        let slack = self.slack(t.at, t.at + t.patience);
        let to = t.unanswered.unwrap_or(t.at + t.patience).max(t.at) + slack;
        t.answers.is_empty() && self.went_down(t.node, t.at.saturating_sub(slack), to)
    }

    pub(crate) fn effect(&self, class: &str) -> Idempotency {
        // A class without a name is handled as one that must not run twice.
        self.figures.classes.iter().find(|c| c.name == class).map_or(Idempotency::NotIdempotent, |c| c.effect)
    }

    pub(crate) fn engine(&self, name: &str) -> Option<&EngineLocation> {
        self.figures.engines.iter().find(|e| e.engine == name)
    }

    pub(crate) fn count(&self, report: &mut Report) {
        for t in self.tries.values() {
            report.requests += 1;
            match t.answers.first() {
                Some((_, Answer::Served)) => report.served += 1,
                Some((_, Answer::Refused)) => report.refused += 1,
                Some((_, Answer::Failed | Answer::Cut)) => report.failed += 1,
                None if t.left.is_some() => report.left += 1,
                None if self.died(t) => report.died += 1,
                None => {}
            }
        }
    }
}

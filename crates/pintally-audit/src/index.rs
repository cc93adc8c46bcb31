//! The events of a record in time order, indexed by client request, attempt and node.

use std::collections::BTreeMap;

use crate::record::*;
use crate::Report;

/// Lateness of the machine extends the allowed times of events up to this long before or after it.
const LATENESS_RANGE_US: u64 = 1_000_000;
/// Lateness counts this many times, as a message passes through several threads on its way.
const LATENESS_HOPS: u64 = 8;
/// The maximum that the repeated counting adds to the lateness itself.
const MAX_EXTRA_LATENESS_US: u64 = 2_000_000;

/// The time that a lateness of the machine may add to a measured time, both in microseconds.
///
/// Without it the audit would blame nodes for faults of the machine: when the machine stalls for a second,
/// nodes, engines and clients all stall with it, so the whole second is excused. What further threads add
/// is bounded.
pub fn lateness_allowance_us(us: u64) -> u64 {
    us + (us * (LATENESS_HOPS - 1)).min(MAX_EXTRA_LATENESS_US)
}

/// One try of a client request. Times are in microseconds since the start of the record.
pub(crate) struct Try<'a> {
    pub(crate) request: &'a str,
    pub(crate) node: &'a str,
    pub(crate) class: &'a str,
    pub(crate) at: u64,
    pub(crate) patience_us: u64,
    pub(crate) streamed: bool,
    pub(crate) first: Option<u64>,
    pub(crate) answers: Vec<(u64, Answer)>,
    pub(crate) extra: bool,
    pub(crate) left: Option<u64>,
    pub(crate) unanswered: Option<u64>,
}

/// One attempt as the engines saw it. Times are in microseconds since the start of the record.
pub(crate) struct Attempt<'a> {
    pub(crate) at: u64,
    pub(crate) engine: &'a str,
    pub(crate) node: &'a str,
    pub(crate) request: &'a str,
    pub(crate) name: &'a str,
    pub(crate) step: Step,
    pub(crate) done: Option<u64>,
    pub(crate) turned_away: bool,
    pub(crate) ran: bool,
}

/// The indexed record.
pub(crate) struct Index<'a> {
    pub(crate) parameters: &'a RuleParameters,
    pub(crate) record: &'a [Record],
    pub(crate) tries: BTreeMap<&'a str, Try<'a>>,
    /// In the order of their arrival at engines.
    pub(crate) attempts: Vec<Attempt<'a>>,
    /// Indices into `attempts` by request.
    pub(crate) attempts_by_request: BTreeMap<&'a str, Vec<usize>>,
    /// When each node was killed or received SIGTERM.
    node_down_times: BTreeMap<&'a str, Vec<u64>>,
    /// Start and end of each pause of a node's process.
    pauses: BTreeMap<&'a str, Vec<(u64, u64)>>,
    /// When the machine was late, and by how many microseconds.
    lateness: Vec<(u64, u64)>,
    /// The maximum lateness in microseconds.
    max_lateness_us: u64,
    /// The time of the last event.
    pub(crate) end_us: u64,
}

impl<'a> Index<'a> {
    pub(crate) fn new(record: &'a [Record]) -> Result<Index<'a>, RecordError> {
        let fail = |message: &str| RecordError { line: 0, message: message.to_string() };
        let Some(Record { event: AuditEvent::Parameters(parameters), .. }) = record.first() else {
            return Err(fail("the first line of a record must hold its `figures`"));
        };
        let end_us = record.iter().map(|r| r.at).max().unwrap_or(0);
        let mut index = Index {
            parameters,
            record,
            tries: BTreeMap::new(),
            attempts: Vec::new(),
            attempts_by_request: BTreeMap::new(),
            node_down_times: BTreeMap::new(),
            pauses: BTreeMap::new(),
            lateness: Vec::new(),
            max_lateness_us: 0,
            end_us,
        };
        let mut index_by_name: BTreeMap<&str, usize> = BTreeMap::new();
        // Lines may be out of time order, as several threads write them: the times decide.
        let mut sorted: Vec<&Record> = record.iter().collect();
        sorted.sort_by_key(|r| r.at);
        // Creates all tries first, as another event of a try may be written before its `RequestSent`.
        for r in &sorted {
            if let AuditEvent::RequestSent { request, node, class, patience_us, streamed, .. } = &r.event {
                let new_try = Try {
                    request,
                    node,
                    class,
                    at: r.at,
                    patience_us: *patience_us,
                    streamed: *streamed,
                    first: None,
                    answers: Vec::new(),
                    extra: false,
                    left: None,
                    unanswered: None,
                };
                if index.tries.insert(request, new_try).is_some() {
                    return Err(fail(&format!(
                        "request {request} was asked twice: each try must have its own id"
                    )));
                }
            }
        }
        for r in sorted {
            index.add_event(r, &mut index_by_name);
        }
        Ok(index)
    }

    fn add_event(&mut self, r: &'a Record, index_by_name: &mut BTreeMap<&'a str, usize>) {
        let at = r.at;
        match &r.event {
            AuditEvent::FirstChunk { request } => self.with_try(request, |t| t.first = t.first.or(Some(at))),
            AuditEvent::Answered { request, answer } => {
                self.with_try(request, |t| t.answers.push((at, *answer)));
            }
            AuditEvent::ExtraAnswer { request } => self.with_try(request, |t| t.extra = true),
            AuditEvent::ClientLeft { request } => self.with_try(request, |t| t.left = Some(at)),
            AuditEvent::Unanswered { request } => self.with_try(request, |t| t.unanswered = Some(at)),
            AuditEvent::AttemptArrived { engine, node, request, attempt, step, .. } => {
                let step = *step;
                let (done, turned_away, ran) = (None, false, false);
                index_by_name.insert(attempt, self.attempts.len());
                self.attempts_by_request.entry(request).or_default().push(self.attempts.len());
                let attempt =
                    Attempt { at, engine, node, request, name: attempt, step, done, turned_away, ran };
                self.attempts.push(attempt);
            }
            AuditEvent::AttemptEnded { attempt, .. } => {
                self.with_attempt(index_by_name.get(attempt.as_str()), |w| w.done = Some(at));
            }
            AuditEvent::AttemptRejected { attempt, .. } => {
                self.with_attempt(index_by_name.get(attempt.as_str()), |w| w.turned_away = true);
            }
            AuditEvent::AttemptRan { attempt, .. } => {
                self.with_attempt(index_by_name.get(attempt.as_str()), |w| w.ran = true);
            }
            AuditEvent::MachineLate { us } => {
                self.lateness.push((at, *us));
                self.max_lateness_us = self.max_lateness_us.max(*us);
            }
            AuditEvent::NodePaused { node, paused: true } => {
                self.pauses.entry(node).or_default().push((at, self.end_us));
            }
            AuditEvent::NodePaused { node, paused: false } => {
                if let Some(last) = self.pauses.get_mut(node.as_str()).and_then(|s| s.last_mut()) {
                    last.1 = at;
                }
            }
            AuditEvent::NodeDown { node } => self.node_down_times.entry(node).or_default().push(at),
            _ => {}
        }
    }

    fn with_try(&mut self, request: &str, f: impl FnOnce(&mut Try<'a>)) {
        if let Some(found) = self.tries.get_mut(request) {
            f(found);
        }
    }

    fn with_attempt(&mut self, index: Option<&usize>, f: impl FnOnce(&mut Attempt<'a>)) {
        if let Some(attempt) = index.and_then(|i| self.attempts.get_mut(*i)) {
            f(attempt);
        }
    }

    /// The maximum error, in microseconds, of a time measured within a span. A message passes through
    /// several threads on its way, and a machine that wakes one of them late may wake each of them late.
    pub(crate) fn slack_us(&self, from: u64, to: u64) -> u64 {
        let (from, to) = (from.saturating_sub(LATENESS_RANGE_US), to.saturating_add(LATENESS_RANGE_US));
        let first = self.lateness.partition_point(|(at, _)| *at < from);
        // Lateness is recorded at the end of the delay, which therefore lies before the recorded time.
        let near =
            self.lateness[first..].iter().take_while(|(at, _)| at.saturating_sub(self.max_lateness_us) <= to);
        let near = near.filter(|(at, us)| at.saturating_sub(*us) <= to);
        self.parameters.slack_us + near.map(|(_, us)| lateness_allowance_us(*us)).max().unwrap_or(0)
    }

    /// How many microseconds of a span a node's process was paused.
    pub(crate) fn paused_us(&self, node: &str, from: u64, to: u64) -> u64 {
        let spans = self.pauses.get(node).into_iter().flatten();
        spans.map(|(begin, end)| (*end).min(to).saturating_sub((*begin).max(from))).sum()
    }

    /// Whether a node was killed or received SIGTERM in a span.
    pub(crate) fn went_down(&self, node: &str, from: u64, to: u64) -> bool {
        self.node_down_times.get(node).is_some_and(|times| times.iter().any(|at| (from..=to).contains(at)))
    }

    /// Whether a try has no answer because its node was killed or received SIGTERM.
    pub(crate) fn died_with_node(&self, t: &Try) -> bool {
        let slack_us = self.slack_us(t.at, t.at + t.patience_us);
        let to = t.unanswered.unwrap_or(t.at + t.patience_us).max(t.at) + slack_us;
        t.answers.is_empty() && self.went_down(t.node, t.at.saturating_sub(slack_us), to)
    }

    pub(crate) fn idempotency(&self, class: &str) -> Idempotency {
        // An unknown class is treated as not idempotent.
        self.parameters
            .classes
            .iter()
            .find(|c| c.name == class)
            .map_or(Idempotency::NotIdempotent, |c| c.effect)
    }

    pub(crate) fn engine(&self, name: &str) -> Option<&EngineLocation> {
        self.parameters.engines.iter().find(|e| e.engine == name)
    }

    pub(crate) fn count(&self, report: &mut Report) {
        for t in self.tries.values() {
            report.requests += 1;
            match t.answers.first() {
                Some((_, Answer::Served)) => report.served += 1,
                Some((_, Answer::Refused)) => report.refused += 1,
                Some((_, Answer::Failed | Answer::Cut)) => report.failed += 1,
                None if t.left.is_some() => report.left += 1,
                None if self.died_with_node(t) => report.died += 1,
                None => {}
            }
        }
    }
}

//! Dispatch: the order of pending requests, the next step of each request, and the send.

use std::cmp::Reverse;

use super::Router;
use crate::interface::*;
use crate::state::{AttemptKind, InFlightAttempt, RequestState, WaitingAttempt};

/// The interval at which pending requests are reconsidered.
const DISPATCH_INTERVAL_US: Micros = 50_000;
/// A pending request is given up at least this long before its objective, so that no objective passes
/// between two dispatches.
const MIN_DISPATCH_MARGIN_US: Micros = 2 * DISPATCH_INTERVAL_US;
/// A resumed request is dispatched before fresh ones once it has waited for its client's timeout divided
/// by this.
const RESUMED_DUE_DIVISOR: Micros = 3;

/// The dispatch priority among requests within quota, or among those over quota; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DispatchPriority {
    /// A resumed request that has waited long enough.
    ResumedDue,
    Fresh,
    /// A resumed request. It has had its first token and the pace of its stream leaves some time, so fresh
    /// requests go first, but not for long, because half of its work is done.
    Resumed,
}

/// The sort key of pending requests; the least is dispatched first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DispatchOrder {
    over_quota: bool,
    priority: DispatchPriority,
    newest_first: Reverse<Micros>,
    id: RequestId,
}

impl DispatchOrder {
    fn of(now: Micros, request: &RequestState) -> DispatchOrder {
        let due_at = request.arrived_at + (request.deadline - request.arrived_at) / RESUMED_DUE_DIVISOR;
        let priority = if !request.request.resumed {
            DispatchPriority::Fresh
        } else if now >= due_at {
            DispatchPriority::ResumedDue
        } else {
            DispatchPriority::Resumed
        };
        DispatchOrder {
            over_quota: request.over_quota,
            priority,
            newest_first: Reverse(request.first_arrived_at),
            id: request.request.id.clone(),
        }
    }
}

impl Router {
    /// Starts pending requests while there is capacity, and gives up those that can no longer be in time.
    pub(super) fn dispatch_pending(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.pending_requests.is_empty() {
            return;
        }
        let requests = &self.requests;
        self.pending_requests.retain(|id| requests.get(id).is_some_and(|request| request.pending));
        self.pending_requests.sort_by_key(|id| DispatchOrder::of(now, &requests[id]));
        self.measurements.other_pending_requests = self.pending_requests.len().saturating_sub(1);
        self.update_usable_engines(now);
        let mut capacity = self.dispatch_capacity(now).saturating_add(self.needed_turns(now));
        // A pending request is given up when its first token is expected to be late: serving it would make
        // the next one late too.
        let usual_wait = (self.measurements.time_to_first_token as Micros).max(MIN_DISPATCH_MARGIN_US);
        for id in std::mem::take(&mut self.pending_requests) {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let late = now.saturating_add(usual_wait) >= request.first_token_due_at;
            let expired = now >= request.deadline;
            let worth_starting = !late || now == request.arrived_at;
            if capacity > 0 && !expired && worth_starting {
                request.pending = false;
                let actions_before = actions.len();
                self.advance(now, &id, actions);
                let sent = actions[actions_before..].iter().any(|action| matches!(action, Action::Send(..)));
                capacity -= usize::from(sent);
            } else if late || expired {
                self.give_up(&id, actions);
            } else {
                self.pending_requests.push(id);
            }
        }
        if !self.pending_requests.is_empty() && !self.measurements.dispatch_timer_set {
            self.measurements.dispatch_timer_set = true;
            actions.push(Action::SetTimer(Timer::DispatchPending, DISPATCH_INTERVAL_US));
        }
    }

    /// Takes the next step of a request that has no attempt in flight.
    pub(super) fn advance(&mut self, now: Micros, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(id) else { return };
        let reading = request.state_reader.is_none();
        let choice =
            if reading { self.choose_reader(now, &request) } else { self.choose_writer(now, &request) };
        let may_wait = reading
            && request.first_execution.is_none()
            && now + MIN_DISPATCH_MARGIN_US < request.first_token_due_at;
        let attempts_left = request.attempts + 2 <= self.settings.max_attempts;
        self.requests.insert(id.clone(), request);
        let Some(index) = choice else {
            // No engine may be sent to now: the request waits if there is time for another dispatch and
            // attempts are left.
            if may_wait && attempts_left {
                self.requeue(id);
            } else {
                self.give_up(id, actions);
            }
            return;
        };
        if reading && may_wait && self.waits_for_health_checks(now, id, index, actions) {
            return;
        }
        self.send(now, id, index, actions);
    }

    /// Puts a request back among the pending ones.
    fn requeue(&mut self, id: &RequestId) {
        if let Some(request) = self.requests.get_mut(id).filter(|request| !request.pending) {
            request.pending = true;
            self.pending_requests.push(id.clone());
        }
    }

    /// Sends a request to an engine.
    fn send(&mut self, now: Micros, id: &RequestId, index: usize, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(id) else { return };
        let kind = match (self.engines[index].role, request.state_reader) {
            (Role::Reader, _) => AttemptKind::Read,
            (_, Some(_)) => AttemptKind::Write,
            (_, None) => AttemptKind::ReadAndWrite,
        };
        let unread_tokens = self.tokens_to_read(now, &request, index);
        let timeout = self.attempt_timeout(now, &request, kind, unread_tokens);
        self.measurements.last_serial += 1;
        let attempt = InFlightAttempt {
            number: request.attempts,
            engine: index,
            sent_at: now,
            serial: self.measurements.last_serial,
            kind,
            unread_tokens,
            started: false,
        };
        if request.attempts == 0 {
            request.started_at = now;
            self.measurements.started_requests += 1.0;
            self.measurements.last_start_at = now;
        }
        request.attempts += 1;
        request.in_flight = Some(attempt);
        request.pending = false;
        self.count_slow_start_send(now, index);
        self.record_send(&request, &attempt);
        actions.push(Action::Send(id.clone(), self.engines[index].id.clone(), timeout));
        if kind != AttemptKind::Write {
            self.record_prefixes(now, &request.request, index);
        }
        self.requests.insert(id.clone(), request);
        if kind == AttemptKind::Read {
            self.check_likely_writers(now, index, actions);
        }
    }

    /// Prompt tokens that an engine is expected to read for a request: none if it fetches a state.
    fn tokens_to_read(&self, now: Micros, request: &RequestState, index: usize) -> f64 {
        if request.state_reader.is_some() {
            return 0.0;
        }
        let preferred = self.ring(&request.request).first().copied();
        let cached = self.expected_cached_tokens(now, &request.request, index, preferred);
        (request.request.prompt_tokens as f64 - cached).max(0.0)
    }

    /// Adds an attempt to the counts of its engine.
    fn record_send(&mut self, request: &RequestState, attempt: &InFlightAttempt) {
        let now = attempt.sent_at;
        let window = self.settings.overload_window;
        let rack = self.engines[attempt.engine].rack;
        let crosses_racks = request.state_reader.is_some_and(|reader| self.engines[reader].rack != rack);
        let engine = &mut self.engines[attempt.engine];
        engine.waiting.insert((now, attempt.serial), WaitingAttempt { crosses_racks });
        engine.unread_tokens += attempt.unread_tokens;
        engine.recent_sends.push_back(now);
        while engine.recent_sends.front().is_some_and(|at| at + window < now) {
            engine.recent_sends.pop_front();
        }
        if attempt.kind != AttemptKind::Read {
            engine.streams += 1;
        }
    }
}

//! Start, cancellation and end of attempts.

use std::sync::Arc;

use pintally::interface::{AttemptNumber, EngineId, LoadReport, Micros, Outcome};
use pintally_host::{AttemptOrder, Input, RequestNumber};
use pintally_platform::encode_attempt_head;
use serde_json::Value;

use crate::connection::{Connection, ConnectionKey};
use crate::engine_connect::Reuse;
use crate::engine_connection::{AttemptCall, EngineCall, OutgoingRequest};
use crate::node::Node;

/// Delay between the close of an abandoned attempt's connection and its notification to the host.
/// Guards against accidental hedging: the next attempt, or the answer to the client, uses another
/// connection and could overtake the close, so that the engine, or a counter of attempts there, would
/// see two attempts at once.
const ABANDON_NOTIFY_DELAY: Micros = 2_000;

/// The result of a call on an engine connection.
pub(crate) struct CallResult {
    pub(crate) outcome: Outcome,
    pub(crate) cached_tokens: u64,
    pub(crate) load: Option<LoadReport>,
    /// Whether the response leaves the connection reusable.
    pub(crate) reusable: bool,
}

impl CallResult {
    /// The result of a call without a complete response.
    fn without_response(outcome: Outcome) -> CallResult {
        CallResult { outcome, cached_tokens: 0, load: None, reusable: false }
    }
}

impl Node {
    pub(crate) fn start_attempt(&mut self, order: AttemptOrder) {
        let now = self.clock.now();
        // Guards against two attempts at once: an attempt in flight is cancelled before the next one starts.
        self.cancel_attempt(order.number);
        if !self.confirm_client(order.number) {
            return self.fail_unsent(order.number, order.attempt, Outcome::NeverSent);
        }
        let Some(request) = self.requests.get(order.number) else {
            return self.fail_unsent(order.number, order.attempt, Outcome::NeverSent);
        };
        let timeout_ms = order.timeout / 1000;
        let head = encode_attempt_head(&request.head, timeout_ms, request.body.len());
        let outgoing = OutgoingRequest::new(head, Some(request.body.clone()));
        let call = EngineCall::Attempt(AttemptCall {
            number: order.number,
            attempt: order.attempt,
            step: order.step,
            timeout_at: now.saturating_add(order.timeout),
            has_started: false,
        });
        match self.assign_connection(order.address, &order.engine, outgoing, call, Reuse::Allowed) {
            Ok(key) => self.attempt_assigned(&order, key),
            Err(outcome) => self.fail_unsent(order.number, order.attempt, outcome),
        }
    }

    fn attempt_assigned(&mut self, order: &AttemptOrder, key: ConnectionKey) {
        if let Some(request) = self.requests.get_mut(order.number) {
            request.attempt = Some((order.attempt, key));
        }
        tracing::debug!(request = order.number, attempt = order.attempt, engine = %order.engine.0,
            step = ?order.step, timeout_ms = order.timeout / 1000, "attempt started");
        let counters = self.engines.counters_of(&order.engine);
        counters.sent += 1;
        counters.in_flight += 1;
        self.write_engine(key);
    }

    /// Notifies the host of an attempt that got no connection.
    fn fail_unsent(&mut self, number: RequestNumber, attempt: AttemptNumber, outcome: Outcome) {
        self.host_queue.push(Input::AttemptEnded {
            number,
            attempt,
            outcome,
            cached_tokens: 0,
            load: None,
            state: None,
        });
    }

    /// Whether an attempt is in flight and completely written on a connection that was opened for it.
    /// Guards against a reused connection that is dead although its engine's machine is up, for
    /// example after a restart.
    pub(crate) fn is_attempt_written(&self, number: RequestNumber, attempt: AttemptNumber) -> bool {
        let in_flight = self.requests.attempt_of(number).filter(|(in_flight, _)| *in_flight == attempt);
        let connection = in_flight.and_then(|(_, key)| self.connections.get(key));
        matches!(connection, Some(Connection::Engine(engine)) if engine.is_written() && engine.idle_before.is_none())
    }

    /// Cancels the request's attempt, if one is in flight, by closing its connection.
    pub(crate) fn cancel_attempt(&mut self, number: RequestNumber) {
        let Some((_, key)) = self.requests.attempt_of(number) else { return };
        self.abandon(key, Outcome::Cancelled);
    }

    /// Ends the call on a connection without a response, and closes the connection.
    pub(crate) fn abandon(&mut self, key: ConnectionKey, outcome: Outcome) {
        self.finish_call(key, CallResult::without_response(outcome));
    }

    /// Ends the call on a connection: notifies the host, and returns the connection to the
    /// pool if it is reusable.
    pub(crate) fn finish_call(&mut self, key: ConnectionKey, result: CallResult) {
        let Some(connection) = self.engine_mut(key) else { return };
        let reusable = result.reusable && connection.is_written();
        let Some(call) = connection.call.take() else { return self.close_engine(key) };
        let outcome = result.outcome;
        match call {
            EngineCall::Attempt(call) => self.attempt_ended(key, &call, CallResult { reusable, ..result }),
            EngineCall::Release { id, engine, .. } => {
                tracing::debug!(request_id = %id.0, engine = %engine.0, ?outcome, "release call ended");
                let released = Input::Released(id, engine, outcome == Outcome::Served);
                self.host_queue.push(released);
            }
            EngineCall::ConnectionProbe { .. } => {}
        }
        match outcome {
            Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled | Outcome::Unreachable => {
                self.reset_engine(key);
            }
            _ => self.release_connection(key, reusable),
        }
    }

    fn attempt_ended(&mut self, key: ConnectionKey, call: &AttemptCall, result: CallResult) {
        let (number, attempt) = (call.number, call.attempt);
        if let Some(request) = self.requests.get_mut(number) {
            request.attempt.take_if(|in_flight| *in_flight == (attempt, key));
        }
        self.log_attempt_end(key, call, &result);
        let CallResult { outcome, cached_tokens, load, .. } = result;
        let state = (outcome == Outcome::Read).then(|| Arc::new(Value::Null));
        let ended = Input::AttemptEnded { number, attempt, outcome, cached_tokens, load, state };
        match outcome {
            Outcome::TimedOut | Outcome::ConnectionBroken | Outcome::Cancelled => {
                let notify_at = self.clock.now().saturating_add(ABANDON_NOTIFY_DELAY);
                self.host_queue.push_delayed(notify_at, ended);
            }
            _ => self.host_queue.push(ended),
        }
    }

    /// Counts and logs the end of an attempt.
    fn log_attempt_end(&mut self, key: ConnectionKey, call: &AttemptCall, result: &CallResult) {
        let Some(Connection::Engine(connection)) = self.connections.get(key) else { return };
        let engine = connection.engine.clone();
        let reason = connection.reader.error();
        let idle_before_ms = connection.idle_before.map(|idle| idle / 1000);
        self.count_outcome(&engine, result.outcome);
        tracing::debug!(request = call.number, attempt = call.attempt, engine = %engine.0, step = ?call.step,
            outcome = ?result.outcome, cached_tokens = result.cached_tokens, load = ?result.load,
            reusable = result.reusable, reason, idle_before_ms, "attempt ended");
    }

    fn count_outcome(&mut self, engine: &EngineId, outcome: Outcome) {
        let counters = self.engines.counters_of(engine);
        counters.in_flight = counters.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Served => counters.served += 1,
            Outcome::Read => counters.read += 1,
            Outcome::Overloaded | Outcome::StateNotFound => counters.rejected += 1,
            Outcome::Cancelled | Outcome::NeverSent => {}
            _ => counters.failed += 1,
        }
    }
}

//! Handling of parsed engine responses: forwarding of streams to clients, and the end of calls.

use pintally::interface::Outcome;
use pintally_host::{Input, RequestNumber};
use pintally_platform::{outcome_of_failure, ResponseEvent};

use crate::attempts::CallResult;
use crate::client_response::ClientPace;
use crate::connection::ConnectionKey;
use crate::engine_connection::EngineCall;
use crate::node::Node;

impl Node {
    pub(crate) fn handle_response_event(&mut self, key: ConnectionKey, event: ResponseEvent) {
        match event {
            ResponseEvent::Events(events) => self.handle_stream_events(key, &events),
            ResponseEvent::Ended { outcome, cached_tokens, load, reusable } => {
                let Some(outcome) = self.outcome_of_call(key, outcome) else { return };
                self.finish_call(key, CallResult { outcome, cached_tokens, load, reusable });
            }
        }
    }

    /// The outcome of a call, given the outcome of its response.
    fn outcome_of_call(&mut self, key: ConnectionKey, outcome: Outcome) -> Option<Outcome> {
        let connection = self.engine_mut(key)?;
        // A release call succeeds with any 2xx status; for attempts see `outcome_of_response`.
        if matches!(connection.call, Some(EngineCall::Release { .. })) && connection.reader.is_success() {
            return Some(Outcome::Served);
        }
        // Guards against a request that was not written completely being taken for one that may have run.
        match outcome {
            Outcome::ConnectionBroken => Some(outcome_of_failure(connection.phase(), false)),
            other => Some(other),
        }
    }

    fn handle_stream_events(&mut self, key: ConnectionKey, events: &[u8]) {
        let now = self.clock.now();
        let Some(connection) = self.engine_mut(key) else { return };
        let Some(EngineCall::Attempt(call)) = &mut connection.call else { return };
        let number = call.number;
        connection.last_progress = now;
        if !std::mem::replace(&mut call.has_started, true) {
            self.stream_started(key, events.len());
        }
        match self.forward_events(number, events) {
            None => self.abandon(key, Outcome::Cancelled),
            Some(ClientPace::Slow) => self.pause_stream(key),
            Some(ClientPace::KeepsUp) => {}
        }
    }

    /// Handles the first event of a stream.
    fn stream_started(&mut self, key: ConnectionKey, bytes: usize) {
        let Some(connection) = self.engine_mut(key) else { return };
        let Some(EngineCall::Attempt(call)) = &connection.call else { return };
        let (number, attempt, engine) = (call.number, call.attempt, connection.engine.clone());
        self.engines.counters_of(&engine).started += 1;
        self.schedule_deadline(key);
        tracing::debug!(request = number, attempt, bytes, "stream started");
        // The body is no longer needed: a stream that has started is not retried.
        self.requests.discard_body(number);
        self.handle_input(Input::FirstToken(number, attempt));
    }

    /// Stops reading a stream whose client is slow.
    fn pause_stream(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.engine_mut(key) {
            connection.is_paused = true;
        }
        self.update_engine_interest(key);
    }

    /// Resumes reading the request's stream after its client has read the pending output.
    pub(crate) fn resume_stream(&mut self, number: RequestNumber) {
        let Some((_, key)) = self.requests.attempt_of(number) else { return };
        let now = self.clock.now();
        let Some(connection) = self.engine_mut(key).filter(|connection| connection.is_paused) else { return };
        connection.is_paused = false;
        connection.last_active = now;
        connection.last_progress = now;
        self.update_engine_interest(key);
    }
}

//! The first token of an attempt.

use super::admission::RequestTiming;
use super::Router;
use crate::interface::*;

impl Router {
    /// Handles the first token of an attempt.
    pub(super) fn first_token(&mut self, now: Micros, id: &RequestId, number: AttemptNumber) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let timing = RequestTiming::of(request);
        let Some(attempt) = request.in_flight.as_mut() else { return };
        if attempt.number != number || attempt.started {
            return;
        }
        attempt.started = true;
        let attempt = *attempt;
        let reader = request.state_reader.take();
        self.engines[attempt.engine].remove_waiting(&attempt);
        self.record_time_to_first_token(now, &timing, &attempt);
        let duration_us = now.saturating_sub(attempt.sent_at) as f64;
        self.record_transfer(now, reader, attempt.engine, duration_us);
        self.record_success(now, attempt.engine);
        self.engines[attempt.engine].answers += 1;
        self.record_duration(now, attempt.engine, attempt.kind, attempt.unread_tokens, duration_us);
    }
}

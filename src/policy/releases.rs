//! The end of a request: its final answer and the release of what engines have reserved for it.

use super::Router;
use crate::interface::*;
use crate::state::{prune, PromptKey, RequestState};

/// The shortest Retry-After is the longest that clients honour divided by this; the jitter added to it is
/// less than the same amount.
const RETRY_AFTER_DIVISOR: Micros = 4;

/// The maximum number of rejected prompts that are recognised; of more, the half that arrived first is
/// forgotten.
const MAX_REJECTED_PROMPTS: usize = 14_000;

impl Router {
    /// Ends a request that cannot be served: it is rejected if the client may repeat it, else it fails.
    pub(super) fn give_up(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        self.rejected_prompts.insert(PromptKey::of(&request.request), request.first_arrived_at);
        prune(&mut self.rejected_prompts, MAX_REJECTED_PROMPTS, |first_arrived_at| *first_arrived_at);
        let answer = if is_safe_to_repeat(request) {
            Action::Reject(id.clone(), self.retry_after())
        } else {
            Action::Fail(id.clone())
        };
        self.close(id, Some(answer), actions);
    }

    /// Ends a request. An attempt in flight is cancelled where possible, and the request is kept until the
    /// outcome of that attempt.
    pub(super) fn close(&mut self, id: &RequestId, answer: Option<Action>, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.closed) else { return };
        actions.extend(answer);
        request.closed = true;
        request.pending = false;
        if !request.in_flight.is_some_and(|attempt| attempt.started) {
            self.measurements.unserved_requests += 1.0;
        }
        if let Some(attempt) = request.in_flight {
            if self.settings.cancellation_allowed && !attempt.started {
                actions.push(Action::Cancel(id.clone(), attempt.number));
            }
            return;
        }
        if request.was_read {
            actions.push(Action::Release(id.clone()));
        }
        self.requests.remove(id);
    }

    /// The time after which a rejected client should retry, with jitter so that not all retry at once.
    fn retry_after(&mut self) -> Option<Micros> {
        let longest = self.settings.max_retry_after;
        let drawn = self.random.next_u64();
        if !self.settings.clients_honour_retry_after || longest == 0 {
            return None;
        }
        let shortest = longest / RETRY_AFTER_DIVISOR;
        Some(shortest + drawn % shortest.max(1))
    }
}

/// Whether the client may send a request again, given that it may have run at an engine already.
fn is_safe_to_repeat(request: &RequestState) -> bool {
    match request.idempotency {
        Idempotency::Idempotent | Idempotency::WithKey(IdempotencyScope::All, _) => true,
        Idempotency::WithKey(..) | Idempotency::NotIdempotent => request.first_execution.is_none(),
    }
}

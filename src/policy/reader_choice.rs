//! The choice of the engine that reads a prompt.

use super::spill::LOAD_BOUND_FACTOR;
use super::Router;
use crate::interface::*;
use crate::state::RequestState;

/// An engine with fewer expected cached tokens than this counts as one without a match. The value is the
/// smallest cache block size in the paper.
const MIN_MATCH_TOKENS: f64 = 16.0;
/// If a prefix has several replicas, a session switches from its own replica to another one only if the other
/// is expected to have more than this many times as many tokens of the prompt in its cache.
const REPLICA_SWITCH_FACTOR: f64 = 1.25;

impl Router {
    /// Chooses the engine that reads a request's prompt, if the request may be sent to any.
    pub(super) fn choose_reader(&self, now: Micros, request: &RequestState) -> Option<usize> {
        let mut ring = self.ring(&request.request);
        let preferred = ring.first().copied();
        let start = self.best_match(now, request, &ring);
        ring.rotate_left(start);
        self.retain_sampled(now, request, &mut ring);
        ring.retain(|&index| self.may_send(now, request, index));
        let usable = self.usable_readers(now, request, &ring, preferred);
        let wait = |&index: &usize| self.expected_wait(now, &request.request, index, preferred);
        let first_wait = usable.first().map_or(0, wait);
        // A spill must shorten the wait: otherwise it only reads the same prefix again at another engine.
        let shares = self.even_shares(now);
        let fits = |index: &usize| {
            let uncached = self.uncached_tokens(now, &request.request, *index, preferred);
            !self.is_over_cap(now, &request.request, *index, uncached, shares) && wait(index) <= first_wait
        };
        // If every usable reader is over its cap, the one with the shortest wait is chosen. If no reader is
        // usable, the one whose ejection ends first is chosen, if possible one that was not tried: using no
        // reader at all would do more harm.
        let shortest_wait = |index: &usize| (self.is_overloaded(now, *index), wait(index));
        let earliest_ejection_end =
            |index: &usize| (request.tried.contains(index), self.engines[*index].ejected_until);
        // While requests wait, the little that an engine in slow start can do must not stay unused.
        let is_needed = |index: &usize| {
            let uncached = self.uncached_tokens(now, &request.request, *index, preferred);
            self.is_slow_start_budget_needed(now, *index)
                && !self.is_over_cap(now, &request.request, *index, uncached, shares)
        };
        if let Some(index) = usable.iter().copied().find(is_needed) {
            return Some(index);
        }
        let under_cap = usable.iter().copied().find(fits);
        under_cap
            .or_else(|| usable.iter().copied().min_by_key(shortest_wait))
            .or_else(|| ring.iter().copied().min_by_key(earliest_ejection_end))
    }

    /// The position on the ring of the reader that is expected to have most of the prompt in its cache;
    /// the first where none has a match.
    fn best_match(&self, now: Micros, request: &RequestState, ring: &[usize]) -> usize {
        let preferred = ring.first().copied();
        // If a prefix has several replicas, each session keeps its own, even if another one was used later.
        let several_replicas = self.prefix_demand(&request.request) > 1.0;
        let switch_factor = if several_replicas { REPLICA_SWITCH_FACTOR } else { 1.0 };
        let tokens_at = |&index: &usize| self.expected_cached_tokens(now, &request.request, index, preferred);
        let expected: Vec<f64> = ring.iter().map(tokens_at).collect();
        let mut best = 0;
        for (position, &tokens) in expected.iter().enumerate() {
            let better = expected[best] < MIN_MATCH_TOKENS || tokens > expected[best] * switch_factor;
            if tokens >= MIN_MATCH_TOKENS && better {
                best = position;
            }
        }
        best
    }

    /// The readers of the ring that are not ejected, were not tried and do not reject the request's tenant.
    /// For a shared prefix, readers whose states cannot reach a writer in time are left out as well, if
    /// another reader has capacity.
    fn usable_readers(
        &self,
        now: Micros,
        request: &RequestState,
        ring: &[usize],
        preferred: Option<usize>,
    ) -> Vec<usize> {
        let is_usable = |&index: &usize| {
            !self.is_ejected(now, index)
                && !request.tried.contains(&index)
                && !self.engines[index].rejects_tenant_of(now, request)
        };
        let mut usable: Vec<usize> = ring.iter().copied().filter(is_usable).collect();
        if request.request.prefix.is_none() {
            return usable;
        }
        // Avoids replicas behind a slow link in a rack with too few writers: the states that they read cannot
        // leave the rack in time. They are avoided only while another reader has capacity: a link is slow for
        // seconds, but the queue of an overloaded reader would last longer.
        let shares = self.even_shares(now);
        let has_capacity = |index: &usize| {
            let uncached = self.uncached_tokens(now, &request.request, *index, preferred);
            !self.is_over_cap(now, &request.request, *index, uncached, shares)
                && !self.is_overloaded(now, *index)
        };
        let has_reachable_writers = |index: &usize| self.has_reachable_writers(now, *index);
        if usable.iter().any(|index| has_reachable_writers(index) && has_capacity(index)) {
            usable.retain(has_reachable_writers);
        }
        usable
    }

    /// Whether states that are read at an engine can reach a writer: the link of its rack is not known to be
    /// slow, or the rack's own writers have enough capacity.
    fn has_reachable_writers(&self, now: Micros, index: usize) -> bool {
        let rack = self.engines[index].rack;
        let slow = self.rack_with_known_link(now, rack).is_some() && self.is_slow_link(now, rack);
        !slow || self.expected_rack_load(rack) < LOAD_BOUND_FACTOR
    }

    /// Prompt tokens that an engine would have to read.
    fn uncached_tokens(&self, now: Micros, request: &Request, index: usize, preferred: Option<usize>) -> f64 {
        request.prompt_tokens as f64 - self.expected_cached_tokens(now, request, index, preferred)
    }

    /// The expected time until a read at an engine is complete, as the number of tokens that an engine of
    /// usual speed reads in that time.
    fn expected_wait(&self, now: Micros, request: &Request, index: usize, preferred: Option<usize>) -> u64 {
        let tokens = self.read_queue(now, index) + self.uncached_tokens(now, request, index, preferred);
        (tokens * self.slowdown(now, index)) as u64
    }
}

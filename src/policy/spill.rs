//! Spilling: when a reader has so much to read that a prompt goes to the next reader on the ring.

use super::overload::BUSY_OCCUPANCY;
use super::prefix_affinity::AFFINITY_HALF_LIFE_US;
use super::Router;
use crate::interface::*;
use crate::state::AttemptKind;

/// The factor of the bounded-load cap: a reader may have this multiple of its even share of the reads in
/// flight.
pub(super) const LOAD_BOUND_FACTOR: f64 = 1.25;
/// A busy mixed engine gets a prompt only if it has to read no more than this fraction of it.
const MAX_UNCACHED_FRACTION_AT_BUSY_MIXED: f64 = 0.25;
/// A load report shows the occupancy of an engine for this long.
pub(super) const REPORT_LIFETIME_US: Micros = 3_000_000;

/// An engine's even share of the work in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvenShares {
    /// The mean read queue of the readers that are not ejected, in tokens.
    read_queue: f64,
    /// The mean number of this node's streams per engine that writes, including the next one.
    streams: f64,
}

impl Router {
    /// Whether an engine would be over the bounded-load cap with a prompt. A slow engine has a smaller share;
    /// a mixed engine is also bounded in its streams, so that engines that write do not get too many reads.
    pub(super) fn is_over_cap(
        &self,
        now: Micros,
        request: &Request,
        index: usize,
        uncached_tokens: f64,
        shares: EvenShares,
    ) -> bool {
        let queue = self.read_queue(now, index);
        let share = LOAD_BOUND_FACTOR * (shares.read_queue + uncached_tokens) / self.slowdown(now, index);
        let cap = share.max(request.prompt_tokens as f64);
        let over_read_cap = queue > 0.0 && queue + uncached_tokens > cap;
        over_read_cap || self.is_mixed_over_write_cap(now, request, index, uncached_tokens, shares)
    }

    /// Whether a mixed engine writes too much to be sent a prompt. Reading slows every answer of a mixed
    /// engine, so one that is busy or whose load is not reported gets only prompts that it mostly has in its
    /// cache.
    fn is_mixed_over_write_cap(
        &self,
        now: Micros,
        request: &Request,
        index: usize,
        uncached_tokens: f64,
        shares: EvenShares,
    ) -> bool {
        let engine = &self.engines[index];
        if engine.role != Role::Mixed {
            return false;
        }
        let reported = engine.reported_occupancy(now, REPORT_LIFETIME_US);
        let busy = self.without_load_reports() || reported.is_some_and(|share| share >= BUSY_OCCUPANCY);
        let max_uncached = request.prompt_tokens as f64 * MAX_UNCACHED_FRACTION_AT_BUSY_MIXED;
        let write_cap = (LOAD_BOUND_FACTOR * shares.streams).ceil().max(1.0);
        (busy && uncached_tokens > max_uncached)
            || f64::from(engine.streams) >= write_cap
            || self.is_overloaded(now, index)
    }

    /// Tokens queued to be read at an engine: those of this node or, if that is more, those that the engine
    /// has reported for all nodes, less what it can have read since. The report covers load that other nodes
    /// put on keys and engines; it counts the less, the more of the traffic this node sees itself.
    pub(super) fn read_queue(&self, now: Micros, index: usize) -> f64 {
        let engine = &self.engines[index];
        let Some(report) = engine.report.filter(|report| now < report.at + AFFINITY_HALF_LIFE_US) else {
            return engine.unread_tokens;
        };
        let tokens_per_read = self.pool(AttemptKind::Read).tokens_per_attempt;
        let queued = report.load.queue.map(|requests| requests * tokens_per_read);
        let reported = report.load.backlog.map(|thousands| thousands * 1000.0).or(queued).unwrap_or(0.0);
        let pool = self.pool(AttemptKind::of_role(engine.role));
        let read_since = now.saturating_sub(report.at) as f64 * pool.fastest_tokens_per_us;
        engine.unread_tokens.max((reported - read_since) * (1.0 - self.visibility()))
    }

    /// Computes the even shares over all serving engines.
    pub(super) fn even_shares(&self, now: Micros) -> EvenShares {
        let mut queues = 0.0;
        let mut readers = 0.0f64;
        let mut streams = 1.0;
        let mut writers = 0.0f64;
        for (index, engine) in self.engines.iter().enumerate().filter(|(_, engine)| engine.is_serving()) {
            if engine.can_read() && !self.is_ejected(now, index) {
                queues += self.read_queue(now, index);
                readers += 1.0;
            }
            if engine.can_write() {
                streams += f64::from(engine.streams);
                writers += 1.0;
            }
        }
        EvenShares { read_queue: queues / readers.max(1.0), streams: streams / writers.max(1.0) }
    }
}

//! The status document of a node, `GET /pintally/beliefs`.
//!
//! Operators' tools read its field names and the texts under `counters` and `pace`: these must not change
//! when the types behind them are renamed.

use std::fmt;

use pintally::interface::{EndpointState, Micros};
use pintally::{AdmissionEstimate, EngineEstimate, SlowStartControl, SlowStartEstimate};
use pintally_host::Counters;
use serde_json::{json, Map, Value};

use crate::engines::EngineCounters;
use crate::node::Node;

impl Node {
    /// The status document, with the core's estimates of each engine next to the counters of its sockets.
    pub(crate) fn status_document(&self) -> Value {
        let engines: Vec<Value> = self
            .engine_estimates(self.clock.now())
            .map(|(estimate, sockets)| engine_status(&estimate, &sockets))
            .collect();
        let denials = self.host.denials().by_name().chain(self.clients.denied_closes.by_name());
        json!({
            "held": self.host.open_requests(),
            "clients": self.clients.count,
            "connections": self.connections.len(),
            "bytes": self.held_bytes(),
            "bytes_limit": self.config.memory_budget(),
            "memory": self.memory_status(),
            "paused_reads": self.paused_reads().count(),
            "pace": admission_text(&self.host.admission_estimates()),
            "counters": counters_text(&self.host.counters()),
            "closes": counts_by_name(self.clients.closes.by_name()),
            "refusals": counts_by_name(self.host.rejections().by_name()),
            "denied": counts_by_name(denials),
            "accept_failures": self.accept_failures(),
            "reloads": self.reload.completed,
            "withheld": counts_by_name(self.host.withheld().by_name()),
            "watches": self.watch_status(),
            "clock_corrections": self.watch.start_times.corrections(),
            "engines": engines,
        })
    }

    fn watch_status(&self) -> Value {
        let now = self.clock.now();
        json!({
            "opened": self.watch.opened,
            "failed": self.watch.failed,
            "pending": self.watch.pending_count(),
            "last_message_age_ms": self.watch.last_message.map(|at| now.saturating_sub(at) / 1000),
        })
    }

    fn accept_failures(&self) -> Map<String, Value> {
        let failures = self.acceptor.failures.iter();
        failures.map(|(errno, count)| (errno.to_string(), (*count).into())).collect()
    }

    /// The core's estimates of each engine, and the counters of its sockets.
    pub(crate) fn engine_estimates(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (EngineEstimate, EngineCounters)> + '_ {
        self.host.engine_estimates(now).into_iter().map(|estimate| {
            let counters = self.engines.counters.get(&estimate.engine).copied().unwrap_or_default();
            (estimate, counters)
        })
    }
}

fn engine_status(estimate: &EngineEstimate, sockets: &EngineCounters) -> Value {
    let mut status = json!({
        "engine": estimate.engine.0.as_ref(),
        "believed": {
            "listing": state_name(estimate.state),
            "out": estimate.in_flight,
            "streams": estimate.streams,
            "load": estimate.load,
            "down": estimate.unreachable,
            "shut_ms": estimate.ejected_for / 1000,
            "full_ms": estimate.overloaded_for / 1000,
            "capacity_ratio": estimate.relative_capacity,
            "cold_budget": estimate.slow_start_budget,
            "cold_ms": estimate.warming_up_for / 1000,
            "report_age_ms": estimate.report_age.map(|age| age / 1000),
        },
        "sockets": {
            "out": sockets.in_flight,
            "sent": sockets.sent,
            "begun": sockets.started,
            "served": sockets.served,
            "read": sockets.read,
            "turned_away": sockets.rejected,
            "failed": sockets.failed,
            "connections": sockets.connections,
        },
    });
    if let Some(slow_start) = &estimate.slow_start {
        status["slow_start"] = slow_start_status(slow_start);
    }
    status
}

/// An engine's slow start: what its budget rests on, and what was sent or withheld.
fn slow_start_status(slow_start: &SlowStartEstimate) -> Value {
    let control = match slow_start.control {
        SlowStartControl::Sampling => "sampling",
        SlowStartControl::Turns => "turns",
        SlowStartControl::Window => "window",
    };
    json!({
        "elapsed_ms": slow_start.elapsed / 1000,
        "control": control,
        "budget": slow_start.usable_budget,
        "service_rate": slow_start.service_rate,
        "nodes": slow_start.nodes,
        "sent_in_window": slow_start.sent_in_window,
        "sent": slow_start.sent,
        "withheld": slow_start.withheld,
    })
}

fn counts_by_name(counts: impl Iterator<Item = (&'static str, u64)>) -> Map<String, Value> {
    counts.map(|(name, count)| (name.to_string(), count.into())).collect()
}

/// The name of an endpoint's state in the document.
fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "Serving",
        EndpointState::Draining => "Draining",
        EndpointState::Gone => "Gone",
    }
}

/// The counters as one string: `Counters { taken: 0, ... }`.
fn counters_text(counters: &Counters) -> String {
    format!("{:?}", CountersText(counters))
}

/// The admission estimates of all cores as one string: `[Pace { flight: inf, ... }]`.
fn admission_text(estimates: &[AdmissionEstimate]) -> String {
    let texts: Vec<AdmissionText<'_>> = estimates.iter().map(AdmissionText).collect();
    format!("{texts:?}")
}

struct CountersText<'a>(&'a Counters);

impl fmt::Debug for CountersText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counters = self.0;
        f.debug_struct("Counters")
            .field("taken", &counters.accepted)
            .field("turned_away", &counters.rejected_before_dispatch)
            .field("at_the_edge", &counters.rejected_by_cell)
            .field("kept_out", &counters.rejected_during_recovery)
            .field("limited", &counters.rejected_over_quota)
            .field("retries_limited", &counters.retries_over_quota)
            .field("no_zone", &counters.rejected_no_zone)
            .field("led_far", &counters.routed_to_other_zone)
            .field("gave_way", &counters.preempted_while_queued)
            .field("served", &counters.served)
            .field("refused", &counters.rejected)
            .field("failed", &counters.failed)
            .field("cut", &counters.streams_cut)
            .field("left", &counters.clients_left)
            .field("attempts", &counters.attempts)
            .field("never_sent", &counters.never_sent)
            .field("overdue", &counters.overdue)
            .field("releases", &counters.releases)
            .field("releases_by_host", &counters.releases_by_host)
            .field("releases_guarded", &counters.releases_guarded)
            .field("releases_of_left", &counters.orphaned_releases)
            .field("inherited", &counters.reservations_inherited)
            .field("release_calls", &counters.release_calls)
            .field("releases_lost", &counters.releases_lost)
            .field("stray", &counters.unmatched_inputs)
            .finish()
    }
}

struct AdmissionText<'a>(&'a AdmissionEstimate);

impl fmt::Debug for AdmissionText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let estimate = self.0;
        f.debug_struct("Pace")
            .field("flight", &estimate.in_flight_limit)
            .field("lead", &estimate.time_to_first_token)
            .field("live", &estimate.requests)
            .field("waiting", &estimate.waiting)
            .field("near", &estimate.time_to_first_token_same_rack)
            .field("far", &estimate.time_to_first_token_other_rack)
            .field("racks", &estimate.racks)
            .finish()
    }
}

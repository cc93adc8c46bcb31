//! The status document of a node, `GET /pintally/beliefs`.
//!
//! Its field names, and the texts under `counters` and `pace`, are read by on-call tools: they keep their
//! spelling whatever the types behind them are called.

use std::fmt;

use pintally::interface::EndpointState;
use pintally::AdmissionEstimate;
use pintally_host::Counters;

use crate::node::Node;

impl Node {
    /// The status document: what is estimated of each engine, beside what passed on its sockets.
    pub(crate) fn status_document(&self) -> serde_json::Value {
        let engines: Vec<serde_json::Value> = self
            .believed(self.clock.now())
            .map(|(b, t)| {
                serde_json::json!({
                    "engine": b.engine.0.as_ref(),
                    "believed": {
                        "listing": state_name(b.state), "out": b.in_flight, "streams": b.streams,
                        "load": b.load, "down": b.unreachable, "shut_ms": b.ejected_for / 1000, "full_ms": b.overloaded_for / 1000,
                        "cold_ms": b.warming_up_for / 1000, "report_age_ms": b.report_age.map(|a| a / 1000),
                    },
                    "sockets": {
                        "out": t.out, "sent": t.sent, "begun": t.begun, "served": t.served, "read": t.read,
                        "turned_away": t.turned_away, "failed": t.failed, "connections": t.connections,
                    },
                })
            })
            .collect();
        let counters = counters_text(&self.host.counters());
        let by_name = |counts: Vec<(&'static str, u64)>| {
            serde_json::Map::from_iter(
                counts.into_iter().map(|(name, count)| (name.to_string(), count.into())),
            )
        };
        let closes = by_name(self.closes.by_name().collect());
        let accept_failures: serde_json::Map<String, serde_json::Value> = self
            .accepting
            .failures
            .iter()
            .map(|(errno, count)| (errno.to_string(), (*count).into()))
            .collect();
        let withheld = by_name(self.host.withheld().by_name().collect());
        let refusals = by_name(self.host.rejections().by_name().collect());
        let denied = by_name(self.host.denials().by_name().chain(self.denied_closes.by_name()).collect());
        serde_json::json!({
            "held": self.host.open_requests(), "clients": self.clients, "connections": self.conns.len(),
            "bytes": self.bytes, "pace": admission_text(&self.host.admission_estimates()), "counters": counters,
            "closes": closes, "refusals": refusals, "denied": denied, "accept_failures": accept_failures, "reloads": self.reloads,
            "withheld": withheld, "watches": {"opened": self.watch.opened, "failed": self.watch.failed},
            "clock_corrections": self.watch.starts.corrections, "engines": engines,
        })
    }
}

/// An endpoint's state as the document spells it.
fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "Serving",
        EndpointState::Draining => "Draining",
        EndpointState::Gone => "Gone",
    }
}

/// The counters as one text: `Counters { taken: 0, ... }`.
fn counters_text(counters: &Counters) -> String {
    format!("{:?}", CountersText(counters))
}

/// The admission estimates of all cores as one text: `[Pace { flight: inf, ... }]`.
fn admission_text(estimates: &[AdmissionEstimate]) -> String {
    let texts: Vec<AdmissionText<'_>> = estimates.iter().map(AdmissionText).collect();
    format!("{texts:?}")
}

struct CountersText<'a>(&'a Counters);

impl fmt::Debug for CountersText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = self.0;
        f.debug_struct("Counters")
            .field("taken", &c.accepted)
            .field("turned_away", &c.rejected_before_dispatch)
            .field("at_the_edge", &c.rejected_by_cell)
            .field("kept_out", &c.rejected_during_recovery)
            .field("limited", &c.rejected_over_quota)
            .field("retries_limited", &c.retries_over_quota)
            .field("no_zone", &c.rejected_no_zone)
            .field("led_far", &c.routed_to_other_zone)
            .field("gave_way", &c.preempted_while_queued)
            .field("served", &c.served)
            .field("refused", &c.rejected)
            .field("failed", &c.failed)
            .field("cut", &c.streams_cut)
            .field("left", &c.clients_left)
            .field("attempts", &c.attempts)
            .field("never_sent", &c.never_sent)
            .field("overdue", &c.overdue)
            .field("releases", &c.releases)
            .field("releases_by_host", &c.releases_by_host)
            .field("releases_guarded", &c.releases_guarded)
            .field("releases_of_left", &c.orphaned_releases)
            .field("inherited", &c.reservations_inherited)
            .field("release_calls", &c.release_calls)
            .field("releases_lost", &c.releases_lost)
            .field("stray", &c.unmatched_inputs)
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

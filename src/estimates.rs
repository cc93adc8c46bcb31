//! What a router believes of each engine, for people on call and for checks against the sockets.

use crate::interface::*;
use crate::Router;

/// What a router believes of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEstimate {
    /// The engine.
    pub engine: EngineId,
    /// What the list says of it.
    pub state: EndpointState,
    /// Attempts that are out there and have not begun to answer.
    pub in_flight: usize,
    /// Attempts that write there.
    pub streams: u32,
    /// The last report of its load: memory held, work that waits.
    pub load: Option<(f64, f64)>,
    /// How old that is.
    pub report_age: Option<Micros>,
    /// It was last found unreachable or broken.
    pub unreachable: bool,
    /// For how long it is still left alone.
    pub ejected_for: Micros,
    /// For how long it still counts as full.
    pub overloaded_for: Micros,
    /// For how long it still counts as cold.
    pub warming_up_for: Micros,
}

/// What a router believes of the way of requests as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionEstimate {
    /// How many requests may be on their way to a first token.
    pub in_flight_limit: f64,
    /// The usual time from the first send to the first token.
    pub time_to_first_token: Micros,
    /// Requests that it knows.
    pub requests: usize,
    /// Those of them that wait unsent.
    pub waiting: usize,
    /// The usual time to a first token when the state stays in its rack, and when it leaves it.
    pub time_to_first_token_same_rack: Micros,
    /// See `near`.
    pub time_to_first_token_other_rack: Micros,
    /// The same for each rack that states leave, with how many were heard of.
    pub racks: Vec<(u64, Micros, u32)>,
}

impl Router {
    /// What it believes of the way of requests as a whole.
    pub fn admission_estimate(&self) -> AdmissionEstimate {
        AdmissionEstimate {
            in_flight_limit: self.gauges.flight,
            time_to_first_token: self.gauges.lead as Micros,
            requests: self.live.len(),
            waiting: self.live.values().filter(|l| l.waiting).count(),
            time_to_first_token_same_rack: self.gauges.near.0 as Micros,
            time_to_first_token_other_rack: self.gauges.far.0 as Micros,
            racks: self.racks.iter().map(|(rack, r)| (*rack, r.far.0 as Micros, r.heard)).collect(),
        }
    }

    /// Answers a second that it has had from one warm engine of each role lately, to be remembered over
    /// a restart; 0 where too little was seen.
    pub fn service_rates(&self) -> [f64; 3] {
        [crate::state::READ, crate::state::WRITE, crate::state::BOTH].map(|step| self.usual(step))
    }

    /// What it believes now of each engine that it knows.
    pub fn engine_estimates(&self, now: Micros) -> Vec<EngineEstimate> {
        let belief = |e: &crate::state::Engine| EngineEstimate {
            engine: e.id.clone(),
            state: e.listing,
            in_flight: e.pending.len(),
            streams: e.streams,
            load: e.report.map(|(_, l)| (l.memory.unwrap_or(0.0), l.backlog.unwrap_or(0.0))),
            report_age: e.report.map(|(at, _)| now.saturating_sub(at)),
            unreachable: e.down,
            ejected_for: e.shut_until.saturating_sub(now),
            overloaded_for: e.full_until.saturating_sub(now),
            warming_up_for: e.cold_until.saturating_sub(now),
        };
        self.engines.iter().map(belief).collect()
    }
}

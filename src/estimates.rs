//! A router's estimates of engines and of its own admission, for operators and for checks against
//! what engines measure of themselves.

use crate::interface::*;
use crate::state::{AttemptKind, Engine};
use crate::Router;

/// A router's estimate of one engine's state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEstimate {
    /// The engine.
    pub engine: EngineId,
    /// Its state by the endpoint list.
    pub state: EndpointState,
    /// Attempts in flight that have not begun to answer.
    pub in_flight: usize,
    /// Attempts in flight that write or are to write an answer.
    pub streams: u32,
    /// The last report of its load: memory in use, and work that waits.
    pub load: Option<(f64, f64)>,
    /// How old that report is.
    pub report_age: Option<Micros>,
    /// It was last found to refuse connections.
    pub unreachable: bool,
    /// For how long it remains ejected.
    pub ejected_for: Micros,
    /// For how long it still counts as overloaded.
    pub overloaded_for: Micros,
    /// For how long it remains in slow start.
    pub warming_up_for: Micros,
}

/// A router's estimate of how requests as a whole are doing.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionEstimate {
    /// How many requests may be in flight before their first token.
    pub in_flight_limit: f64,
    /// The usual time from the first send to the first token.
    pub time_to_first_token: Micros,
    /// Requests that have not ended.
    pub requests: usize,
    /// Those of them that wait to be dispatched.
    pub waiting: usize,
    /// The usual time to a first token when the state stays in its rack.
    pub time_to_first_token_same_rack: Micros,
    /// The usual time to a first token when the state leaves its rack.
    pub time_to_first_token_other_rack: Micros,
    /// The same for each rack that states leave, with the number of transfers observed.
    pub racks: Vec<(u64, Micros, u32)>,
}

impl Router {
    /// How requests as a whole are doing.
    pub fn admission_estimate(&self) -> AdmissionEstimate {
        let measured = &self.measurements;
        AdmissionEstimate {
            in_flight_limit: measured.in_flight_limit,
            time_to_first_token: measured.time_to_first_token as Micros,
            requests: self.requests.len(),
            waiting: self.requests.values().filter(|request| request.pending).count(),
            time_to_first_token_same_rack: measured.same_rack_wait.value as Micros,
            time_to_first_token_other_rack: measured.other_rack_wait.value as Micros,
            racks: self
                .racks
                .iter()
                .map(|(name, rack)| (*name, rack.outbound_wait.value as Micros, rack.transfers))
                .collect(),
        }
    }

    /// Answers a second that one warm engine of each role has given lately, to be remembered over a
    /// restart; 0 where too little was seen.
    pub fn service_rates(&self) -> [f64; 3] {
        AttemptKind::ALL.map(|kind| self.service_rate(kind))
    }

    /// The estimates of all engines that the router knows.
    pub fn engine_estimates(&self, now: Micros) -> Vec<EngineEstimate> {
        self.engines.iter().map(|engine| engine.estimate(now)).collect()
    }
}

impl Engine {
    fn estimate(&self, now: Micros) -> EngineEstimate {
        let occupancy = |load: LoadReport| (load.memory.unwrap_or(0.0), load.backlog.unwrap_or(0.0));
        EngineEstimate {
            engine: self.id.clone(),
            state: self.listing,
            in_flight: self.pending.len(),
            streams: self.streams,
            load: self.report.map(|report| occupancy(report.load)),
            report_age: self.report.map(|report| now.saturating_sub(report.at)),
            unreachable: self.unreachable,
            ejected_for: self.ejected_until.saturating_sub(now),
            overloaded_for: self.overloaded_until.saturating_sub(now),
            warming_up_for: self.warming_up_until.saturating_sub(now),
        }
    }
}

//! What a router believes of each engine, for people on call and for checks against the sockets.

use crate::interface::*;
use crate::Router;

/// What a router believes of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEstimate {
    /// The engine.
    pub engine: EngineId,
    /// What the list says of it.
    pub listing: EndpointState,
    /// Attempts that are out there and have not begun to answer.
    pub out: usize,
    /// Attempts that write there.
    pub streams: u32,
    /// The last report of its load: memory held, work that waits.
    pub load: Option<(f64, f64)>,
    /// How old that is.
    pub report_age: Option<Micros>,
    /// It was last found unreachable or broken.
    pub down: bool,
    /// For how long it is still left alone.
    pub shut: Micros,
    /// For how long it still counts as full.
    pub full: Micros,
    /// For how long it still counts as cold.
    pub cold: Micros,
}

/// What a router believes of the way of requests as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionEstimate {
    /// How many requests may be on their way to a first token.
    pub flight: f64,
    /// The usual time from the first send to the first token.
    pub lead: Micros,
    /// Requests that it knows.
    pub live: usize,
    /// Those of them that wait unsent.
    pub waiting: usize,
    /// The usual time to a first token when the state stays in its rack, and when it leaves it.
    pub near: Micros,
    /// See `near`.
    pub far: Micros,
    /// The same for each rack that states leave, with how many were heard of.
    pub racks: Vec<(u64, Micros, u32)>,
}

impl Router {
    /// What it believes of the way of requests as a whole.
    pub fn pace(&self) -> AdmissionEstimate {
        AdmissionEstimate {
            flight: self.gauges.flight,
            lead: self.gauges.lead as Micros,
            live: self.live.len(),
            waiting: self.live.values().filter(|l| l.waiting).count(),
            near: self.gauges.near.0 as Micros,
            far: self.gauges.far.0 as Micros,
            racks: self.racks.iter().map(|(rack, r)| (*rack, r.far.0 as Micros, r.heard)).collect(),
        }
    }

    /// Answers a second that it has had from one warm engine of each role lately, to be remembered over
    /// a restart; 0 where too little was seen.
    pub fn usual_all(&self) -> [f64; 3] {
        [crate::state::READ, crate::state::WRITE, crate::state::BOTH].map(|step| self.usual(step))
    }

    /// What it believes now of each engine that it knows.
    pub fn beliefs(&self, now: Micros) -> Vec<EngineEstimate> {
        let belief = |e: &crate::state::Engine| EngineEstimate {
            engine: e.id.clone(),
            listing: e.listing,
            out: e.pending.len(),
            streams: e.streams,
            load: e.report.map(|(_, l)| (l.memory.unwrap_or(0.0), l.backlog.unwrap_or(0.0))),
            report_age: e.report.map(|(at, _)| now.saturating_sub(at)),
            down: e.down,
            shut: e.shut_until.saturating_sub(now),
            full: e.full_until.saturating_sub(now),
            cold: e.cold_until.saturating_sub(now),
        };
        self.engines.iter().map(belief).collect()
    }
}

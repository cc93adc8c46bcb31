//! A router's estimates of engines and of its own admission, for operators and for comparison with
//! what engines measure themselves.

use std::iter::Sum;

use crate::interface::*;
use crate::state::{AttemptKind, Engine};
use crate::Router;

/// A router's estimate of one engine's state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEstimate {
    /// The engine.
    pub engine: EngineId,
    /// Its state according to the endpoint list.
    pub state: EndpointState,
    /// This node's attempts in flight without a completed read or first token.
    pub in_flight: usize,
    /// This node's attempts in flight that write an answer or will write one.
    pub streams: u32,
    /// Its last load report: fraction of memory in use, and thousands of prompt tokens waiting.
    pub load: Option<(f64, f64)>,
    /// The age of that report.
    pub report_age: Option<Micros>,
    /// It refused connections when it was last used.
    pub unreachable: bool,
    /// How long it remains ejected.
    pub ejected_for: Micros,
    /// How long it still counts as overloaded.
    pub overloaded_for: Micros,
    /// How long it remains in slow start.
    pub warming_up_for: Micros,
    /// What it can do when warm, as a multiple of a warm engine of its role on the mean.
    pub relative_capacity: f64,
    /// The sends per overload window that this node may make to it while it is in slow start.
    pub slow_start_budget: f64,
    /// Its slow start, while it is in one.
    pub slow_start: Option<SlowStartEstimate>,
}

/// How a node controls its sends to an engine in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartControl {
    /// A fraction of the reads is sent.
    Sampling,
    /// The nodes take turns.
    Turns,
    /// A number of sends in each overload window.
    Window,
}

/// A router's estimate of an engine's slow start, and what it has sent there.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartEstimate {
    /// The time since this node learned of it.
    pub elapsed: Micros,
    /// How sends are controlled now.
    pub control: SlowStartControl,
    /// The sends per overload window that this node may make now without sampling.
    pub usable_budget: f64,
    /// Answers per second of a warm engine of the role to this node, on which the budget rests.
    pub service_rate: f64,
    /// The number of nodes that share the engine's capacity.
    pub nodes: u32,
    /// Sends in the current overload window.
    pub sent_in_window: usize,
    /// Sends since the slow start began.
    pub sent: u64,
    /// Decisions in which the budget left the engine out.
    pub withheld: u64,
}

/// A router's estimate of its admission limits and latencies over all requests.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionEstimate {
    /// The limit of requests in flight that have no first token yet.
    pub in_flight_limit: f64,
    /// The usual time from a request's first send to its first token.
    pub time_to_first_token: Micros,
    /// Requests that have not been completed.
    pub requests: usize,
    /// Those of them that are waiting to be dispatched.
    pub waiting: usize,
    /// The usual wait for a first token when the state stays in its rack.
    pub time_to_first_token_same_rack: Micros,
    /// The usual wait for a first token when the state leaves its rack.
    pub time_to_first_token_other_rack: Micros,
    /// For each rack: the usual wait for a first token when a state leaves it, and the number of transfers
    /// observed.
    pub racks: Vec<(u64, Micros, u32)>,
}

/// The number of entries in each table of a router that grows with the names in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Prefixes and sessions in the prefix affinity table.
    pub prefixes: usize,
    /// Shared prefixes whose arrivals are counted.
    pub prefix_arrivals: usize,
    /// Prompts that were rejected lately.
    pub rejected_prompts: usize,
}

impl Sum for TableSizes {
    fn sum<I: Iterator<Item = TableSizes>>(sizes: I) -> TableSizes {
        sizes.fold(TableSizes::default(), |sum, size| TableSizes {
            prefixes: sum.prefixes + size.prefixes,
            prefix_arrivals: sum.prefix_arrivals + size.prefix_arrivals,
            rejected_prompts: sum.rejected_prompts + size.rejected_prompts,
        })
    }
}

impl Router {
    /// The sizes of the tables that grow with the names in requests.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            prefixes: self.prefix_affinity.len(),
            prefix_arrivals: self.prefix_arrivals.len(),
            rejected_prompts: self.rejected_prompts.len(),
        }
    }

    /// The current estimate over all requests.
    pub fn admission_estimate(&self) -> AdmissionEstimate {
        let measurements = &self.measurements;
        AdmissionEstimate {
            in_flight_limit: measurements.in_flight_limit,
            time_to_first_token: measurements.time_to_first_token as Micros,
            requests: self.requests.len(),
            waiting: self.requests.values().filter(|request| request.pending).count(),
            time_to_first_token_same_rack: measurements.same_rack_wait.value as Micros,
            time_to_first_token_other_rack: measurements.other_rack_wait.value as Micros,
            racks: self
                .racks
                .iter()
                .map(|(name, rack)| (*name, rack.outbound_wait.value as Micros, rack.transfers))
                .collect(),
        }
    }

    /// Answers per second that one warm engine of each role has given lately, for
    /// [`Settings::remembered_service_rates`] after a restart; 0 where none were observed or
    /// remembered.
    pub fn service_rates(&self) -> [f64; 3] {
        AttemptKind::ALL.map(|kind| self.service_rate(kind))
    }

    /// The estimates of all engines that the router knows.
    pub fn engine_estimates(&self, now: Micros) -> Vec<EngineEstimate> {
        let estimate = |(index, engine): (usize, &Engine)| EngineEstimate {
            relative_capacity: self.relative_capacity(engine),
            slow_start_budget: self.own_slow_start_budget(engine),
            slow_start: (now < engine.warming_up_until).then(|| self.slow_start_estimate(now, index)),
            ..engine.estimate(now)
        };
        self.engines.iter().enumerate().map(estimate).collect()
    }

    fn slow_start_estimate(&self, now: Micros, index: usize) -> SlowStartEstimate {
        let engine = &self.engines[index];
        SlowStartEstimate {
            elapsed: now.saturating_sub(engine.slow_start.began_at),
            control: self.slow_start_control(index),
            usable_budget: self.usable_slow_start_budget(index),
            service_rate: self.service_rate(AttemptKind::of_role(engine.role)),
            nodes: self.node_count(),
            sent_in_window: self.sends_in_window(now, engine),
            sent: engine.slow_start.sent,
            withheld: engine.slow_start.withheld.get(),
        }
    }
}

impl Engine {
    /// The estimate without what depends on other engines.
    fn estimate(&self, now: Micros) -> EngineEstimate {
        let occupancy = |load: LoadReport| (load.memory.unwrap_or(0.0), load.backlog.unwrap_or(0.0));
        EngineEstimate {
            engine: self.id.clone(),
            state: self.endpoint_state,
            in_flight: self.waiting.len(),
            streams: self.streams,
            load: self.report.map(|report| occupancy(report.load)),
            report_age: self.report.map(|report| now.saturating_sub(report.at)),
            unreachable: self.unreachable,
            ejected_for: self.ejected_until.saturating_sub(now),
            overloaded_for: self.overloaded_until.saturating_sub(now),
            warming_up_for: self.warming_up_until.saturating_sub(now),
            relative_capacity: 1.0,
            slow_start_budget: 0.0,
            slow_start: None,
        }
    }
}

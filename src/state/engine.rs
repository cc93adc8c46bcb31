//! What a node knows about one engine.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

use super::{InFlightAttempt, RequestState};
use crate::interface::*;

/// A load report and when it was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) at: Micros,
    pub(crate) load: LoadReport,
}

/// A rejection that concerned one tenant, not the engine as a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TenantRejection {
    pub(crate) tenant: Option<usize>,
    /// The engine gets no requests of the tenant until then.
    pub(crate) until: Micros,
}

/// One of this node's attempts without a completed read or first token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingAttempt {
    /// Whether its state has to be transferred from another rack.
    pub(crate) crosses_racks: bool,
}

/// A node's turns at an engine in slow start. Each begins where the position passes a whole number.
#[derive(Clone, Copy, Default)]
pub(crate) struct TurnSchedule {
    /// The number of turns that have begun, with the part of the time to the next one that has passed.
    pub(crate) position: f64,
    /// When the position was calculated.
    pub(crate) updated_at: Micros,
    /// Turns per microsecond since then.
    pub(crate) per_us: f64,
    /// The last turn that was used or passed.
    pub(crate) last_ended: f64,
}

/// A change of an engine's slow start.
#[derive(Clone, Copy)]
pub(crate) enum SlowStartChange {
    /// It began.
    Began,
    /// It ended.
    Ended,
}

/// What this node has done during an engine's current or last slow start.
#[derive(Clone, Default)]
pub(crate) struct SlowStartRecord {
    /// The next change of it that is to be logged.
    pub(crate) unlogged: Option<SlowStartChange>,
    /// When this node learned of it.
    pub(crate) began_at: Micros,
    /// Requests sent to the engine.
    pub(crate) sent: u64,
    /// Decisions in which the budget left the engine out.
    pub(crate) withheld: Cell<u64>,
}

impl TurnSchedule {
    /// The position at a time.
    pub(crate) fn position_at(&self, now: Micros) -> f64 {
        self.position + now.saturating_sub(self.updated_at) as f64 * self.per_us
    }
}

/// What a node knows about one engine.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: String,
    pub(crate) rack: u64,
    pub(crate) role: Role,
    /// Index of its kind in the settings.
    pub(crate) kind: usize,
    /// The weight in the endpoint list, if it has a valid one.
    pub(crate) registered_weight: Option<f64>,
    /// The registered weight divided by the mean of the engine's role; 1 if it is unknown.
    pub(crate) relative_weight: f64,
    /// Its size in the unit of the registered weights, as far as these tell it.
    pub(crate) size: Option<f64>,
    pub(crate) endpoint_state: EndpointState,
    /// In slow start until then, because discovery states a recent start or because the engine answered
    /// again after it had refused connections.
    pub(crate) warming_up_until: Micros,
    /// This node's turns while it is in slow start.
    pub(crate) turns: TurnSchedule,
    /// This node's record of its slow start.
    pub(crate) slow_start: SlowStartRecord,
    /// Its last start according to discovery.
    pub(crate) started_at: Option<Micros>,
    /// When this node sent requests to it within the overload window.
    pub(crate) recent_sends: VecDeque<Micros>,
    /// This node's attempts without a completed read or first token, by send time and serial number.
    pub(crate) waiting: BTreeMap<(Micros, u64), WaitingAttempt>,
    /// Completed reads and first tokens since the last maintenance.
    pub(crate) answers: u32,
    /// Prompt tokens that this node's attempts still have to read here.
    pub(crate) unread_tokens: f64,
    /// This node's attempts that write an answer here or will write one.
    pub(crate) streams: u32,
    /// When it was last health-checked.
    pub(crate) health_checked_at: Micros,
    /// It refused connections repeatedly, so its process may have stopped.
    pub(crate) unreachable: bool,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Micros,
    pub(crate) overloaded_until: Micros,
    pub(crate) tenant_rejection: TenantRejection,
    pub(crate) report: Option<ReceivedReport>,
    /// How many times slower it is than the mean of its pool.
    pub(crate) slowdown: f64,
    /// When the slowdown was last measured.
    pub(crate) slowdown_at: Micros,
    /// Entries of the affinity table from before this time do not apply to it.
    pub(crate) cache_valid_from: Micros,
}

impl Engine {
    pub(crate) fn new(now: Micros, endpoint: &Endpoint, role: Role, kind: usize) -> Engine {
        Engine {
            id: endpoint.engine.clone(),
            zone: endpoint.zone.clone(),
            rack: endpoint.rack,
            role,
            kind,
            relative_weight: 1.0,
            slowdown: 1.0,
            // Entries of the affinity table for its index may belong to an engine that had the index before.
            cache_valid_from: now,
            ..Engine::default()
        }
    }

    /// Removes an attempt that has had its first token or has ended from the attempts waiting here.
    pub(crate) fn remove_waiting(&mut self, attempt: &InFlightAttempt) {
        if self.waiting.remove(&(attempt.sent_at, attempt.serial)).is_none() {
            return;
        }
        self.unread_tokens =
            if self.waiting.is_empty() { 0.0 } else { self.unread_tokens - attempt.unread_tokens };
    }

    /// The fraction of slots or memory in use, whichever is greater, by a report no older than `max_age`.
    pub(crate) fn reported_occupancy(&self, now: Micros, max_age: Micros) -> Option<f64> {
        let report = self.report.filter(|report| now < report.at.saturating_add(max_age))?;
        Some(report.load.slots.unwrap_or(0.0).max(report.load.memory.unwrap_or(0.0)))
    }

    /// Whether it rejected a request of this request's tenant lately.
    pub(crate) fn rejects_tenant_of(&self, now: Micros, request: &RequestState) -> bool {
        now < self.tenant_rejection.until && self.tenant_rejection.tenant == request.request.tenant
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.endpoint_state == EndpointState::Serving
    }

    /// Whether it can read prompts.
    pub(crate) fn can_read(&self) -> bool {
        self.role != Role::Writer
    }

    /// Whether it can write answers.
    pub(crate) fn can_write(&self) -> bool {
        self.role != Role::Reader
    }
}

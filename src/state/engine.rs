//! What a node knows of one engine.

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
    /// The engine is passed over for the tenant until then.
    pub(crate) until: Micros,
}

/// An own attempt that has brought neither a read nor a first token yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingAttempt {
    /// Whether a state has to cross racks for it.
    pub(crate) crosses_racks: bool,
}

/// What a node knows of one engine.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: String,
    pub(crate) rack: u64,
    pub(crate) role: Role,
    /// The weight in the endpoint list.
    pub(crate) registered_weight: f64,
    /// The registered weight against the mean of the engine's role.
    pub(crate) relative_weight: f64,
    pub(crate) listing: EndpointState,
    /// In slow start until then: by its start time in discovery, or because it was seen to come back
    /// after failing.
    pub(crate) warming_up_until: Micros,
    pub(crate) started_at: Option<Micros>,
    /// Own sends inside the overload window.
    pub(crate) recent_sends: VecDeque<Micros>,
    /// Own attempts without a read or first token yet, by send time and serial number.
    pub(crate) pending: BTreeMap<(Micros, u64), PendingAttempt>,
    /// Reads and first tokens since the last maintenance.
    pub(crate) answers: u32,
    /// Prompt tokens that own attempts have yet to read here.
    pub(crate) unread_tokens: f64,
    /// Own attempts that answer or are to answer here.
    pub(crate) streams: u32,
    /// When it was last health-checked.
    pub(crate) health_checked_at: Micros,
    /// It refuses connections: the process may be gone.
    pub(crate) unreachable: bool,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Micros,
    pub(crate) overloaded_until: Micros,
    pub(crate) tenant_rejection: TenantRejection,
    pub(crate) report: Option<ReceivedReport>,
    /// How many times slower than its pool it is.
    pub(crate) slowdown: f64,
    /// When the slowdown was last measured.
    pub(crate) slowdown_at: Micros,
    /// Entries of the affinity table from before this time do not hold for it.
    pub(crate) cache_valid_from: Micros,
}

impl Engine {
    pub(crate) fn new(now: Micros, endpoint: &Endpoint, role: Role) -> Engine {
        Engine {
            id: endpoint.engine.clone(),
            zone: endpoint.zone.clone(),
            rack: endpoint.rack,
            role,
            slowdown: 1.0,
            // The table's entries for its index may be of the engine that had the index before.
            cache_valid_from: now,
            ..Engine::default()
        }
    }

    /// An attempt has begun to answer, or has ended: it waits in no queue any more.
    pub(crate) fn remove_pending(&mut self, attempt: &InFlightAttempt) {
        if self.pending.remove(&(attempt.sent_at, attempt.serial)).is_none() {
            return;
        }
        self.unread_tokens =
            if self.pending.is_empty() { 0.0 } else { self.unread_tokens - attempt.unread_tokens };
    }

    /// The share of slots or memory in use by a report no older than `max_age`.
    pub(crate) fn reported_occupancy(&self, now: Micros, max_age: Micros) -> Option<f64> {
        let report = self.report.filter(|report| now < report.at.saturating_add(max_age))?;
        Some(report.load.slots.unwrap_or(0.0).max(report.load.memory.unwrap_or(0.0)))
    }

    /// Whether it rejected this request's tenant lately.
    pub(crate) fn rejects_tenant_of(&self, now: Micros, request: &RequestState) -> bool {
        now < self.tenant_rejection.until && self.tenant_rejection.tenant == request.request.tenant
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.listing == EndpointState::Serving
    }

    /// Whether it can read prompts.
    pub(crate) fn reads(&self) -> bool {
        self.role != Role::Writer
    }

    /// Whether it can write answers.
    pub(crate) fn writes(&self) -> bool {
        self.role != Role::Reader
    }
}

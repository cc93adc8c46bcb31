//! Routing of requests to cells, and their admission.

use pintally::interface::Micros;

use crate::cell_health::{CellHealth, ServiceLevel};
use crate::cells::Cells;
use crate::edge::EdgeDecision;
use crate::tenant_move::TenantMove;
use crate::CellName;

/// A cell serves requests of an unavailable cell only while it uses less than this fraction of its own quota.
const MAX_FALLBACK_UTILIZATION: f64 = 0.7;
/// A client whose cell is unavailable may retry after this time, in milliseconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 2000;
/// A client may retry after this time if its request is shed or there is no space for the body, in milliseconds.
const SHED_RETRY_AFTER_MS: u64 = 1000;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its tenant, if any.
    pub tenant: Option<&'a str>,
    /// Its session.
    pub session: u64,
    /// The index of its class, if it has one.
    pub class: Option<usize>,
    /// Bytes of its body.
    pub bytes: usize,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No cell serves it.
    NoCell,
    /// Its class is shed.
    Shed,
    /// There is no space for its body.
    NoBodyCapacity,
    /// Its tenant or cell is over its quota.
    OverQuota,
    /// Its cell is unavailable.
    CellUnavailable,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellAdmission {
    /// This cell serves it.
    Admit(CellName),
    /// `cell` serves it once a waiting request of the heaviest tenant of `displaced` has been displaced.
    Displace {
        /// The cell that serves the request.
        cell: CellName,
        /// The cell whose request is displaced.
        displaced: CellName,
    },
    /// It is rejected.
    Reject {
        /// The cell that it belongs to, if any.
        cell: Option<CellName>,
        /// When the client may retry, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: RejectionReason,
    },
}

impl CellAdmission {
    fn reject(cell: &CellName, retry_after_ms: u64, reason: RejectionReason) -> CellAdmission {
        CellAdmission::Reject { cell: Some(cell.clone()), retry_after_ms, reason }
    }
}

impl Cells {
    /// Decides on a request, and reserves a slot if it is admitted; [`Cells::release`] frees the slot.
    pub fn admit(&mut self, now: Micros, request: AdmissionRequest, unix_ms: u64) -> CellAdmission {
        let Some(home) = self.cell_of(now, request, unix_ms) else {
            return CellAdmission::Reject {
                cell: None,
                retry_after_ms: UNAVAILABLE_RETRY_AFTER_MS,
                reason: RejectionReason::NoCell,
            };
        };
        let Some(health) = self.health.get_mut(&home) else {
            return CellAdmission::reject(&home, UNAVAILABLE_RETRY_AFTER_MS, RejectionReason::NoCell);
        };
        health.update_admission(now, self.overload.is_overloaded(now, &home));
        let admits_class = health.admits(request.class);
        let usable = health.usable_fraction();
        if health.level() == ServiceLevel::Unavailable {
            return self.admit_to_unavailable(now, home, request);
        }
        if !admits_class {
            return CellAdmission::reject(&home, SHED_RETRY_AFTER_MS, RejectionReason::Shed);
        }
        if !self.edge.fits_body(&home, request.bytes) {
            return CellAdmission::reject(&home, SHED_RETRY_AFTER_MS, RejectionReason::NoBodyCapacity);
        }
        match self.edge.decide(&home, request.tenant, usable) {
            EdgeDecision::Admit => self.reserve(home, request),
            EdgeDecision::Displace(displaced) => {
                self.edge.reserve(&home, request.tenant, request.bytes);
                CellAdmission::Displace { cell: home, displaced }
            }
            EdgeDecision::Reject(after) => CellAdmission::reject(&home, after, RejectionReason::OverQuota),
        }
    }

    fn reserve(&mut self, cell: CellName, request: AdmissionRequest) -> CellAdmission {
        self.edge.reserve(&cell, request.tenant, request.bytes);
        CellAdmission::Admit(cell)
    }

    /// Admits a request of an unavailable cell: as a trial to the cell itself if one is due, otherwise to its fallback.
    fn admit_to_unavailable(
        &mut self,
        now: Micros,
        home: CellName,
        request: AdmissionRequest,
    ) -> CellAdmission {
        let idempotent = request.class.and_then(|class| self.idempotent.get(class)) == Some(&true);
        let has_capacity = self.edge.used_slots() < self.slots && self.edge.fits_body(&home, request.bytes);
        let health = self.health.get_mut(&home);
        if idempotent && has_capacity && health.is_some_and(|health| health.admit_trial(now)) {
            return self.reserve(home, request);
        }
        match self.fallback(now, &home, request) {
            Some(fallback) => self.reserve(fallback, request),
            None => {
                CellAdmission::reject(&home, UNAVAILABLE_RETRY_AFTER_MS, RejectionReason::CellUnavailable)
            }
        }
    }

    /// The fallback that serves a request of an unavailable cell; `None` if there is none or it lacks spare capacity.
    fn fallback(&self, now: Micros, home: &CellName, request: AdmissionRequest) -> Option<CellName> {
        let fallback = self.file.cell_named(home)?.fallback.clone()?;
        let is_normal =
            self.health.get(&fallback).is_some_and(|health| health.level() == ServiceLevel::Normal);
        let usage = self.edge.usage(&fallback);
        let has_slots = (usage.used as f64) < usage.quota as f64 * MAX_FALLBACK_UTILIZATION
            && self.edge.used_slots() < self.slots;
        let accepts = is_normal
            && has_slots
            && !self.overload.is_overloaded(now, &fallback)
            && self.edge.fits_body(&fallback, request.bytes);
        accepts.then_some(fallback)
    }

    /// The cell of a request according to the file and to the progress of the tenant's move at this node.
    fn cell_of(&mut self, now: Micros, request: AdmissionRequest, unix_ms: u64) -> Option<CellName> {
        let Cells { file, move_rate, health, overload, paused_moves, .. } = self;
        file.cell_for_share(request.tenant, request.session, |tenant_move: &TenantMove| {
            let level =
                |cell: &CellName| health.get(cell).map_or(ServiceLevel::Unavailable, CellHealth::level);
            let worst =
                |cells: &[CellName]| cells.iter().map(level).max().unwrap_or(ServiceLevel::Unavailable);
            let target_level = worst(&tenant_move.to);
            let target_overloaded = tenant_move.to.iter().any(|cell| overload.is_overloaded(now, cell));
            // A move out of a cell that is worse off than the target is not paused.
            let home_is_worse = worst(&file.home(&tenant_move.tenant)) > target_level;
            let paused = (target_overloaded || target_level > ServiceLevel::Normal) && !home_is_worse;
            let is_listed = paused_moves.contains(&tenant_move.tenant);
            if paused && !is_listed {
                paused_moves.push(tenant_move.tenant.clone());
            } else if !paused && is_listed {
                paused_moves.retain(|tenant| *tenant != tenant_move.tenant);
            }
            move_rate.update_share(tenant_move, unix_ms, paused)
        })
    }

    /// Tenants whose moves this node has paused.
    pub fn paused_moves(&self) -> &[String] {
        &self.paused_moves
    }

    /// Releases the slot of a request.
    pub fn release(&mut self, cell: &CellName, tenant: Option<&str>, bytes: usize) {
        self.edge.release(cell, tenant, bytes);
    }

    /// The tenant that uses the most slots of a cell.
    pub fn heaviest_tenant(&self, cell: &CellName) -> Option<Option<String>> {
        self.edge.heaviest_tenant(cell)
    }
}

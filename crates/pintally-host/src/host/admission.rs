//! Admission of requests: the steps from the arrival of a request until a core gets it.

use pintally::interface::{Event, Idempotency, Micros, Request, RequestId};
use pintally_cells::{AdmissionRequest, CellAdmission, CellName};
use pintally_recovery::Admission;

use super::{Host, Lifecycle};
use crate::command::{Command, FinalAnswer};
use crate::input::{IncomingRequest, RequestNumber};
use crate::quota_admission::QuotaCharge;
use crate::rejections::{Rejection, RejectionReason};
use crate::request_record::RequestRecord;
use crate::reservations::RequestReservations;
use crate::timers::TimerEvent;

/// Retry-After of requests that arrive before a cells file is loaded, or are preempted for another tenant.
const CELL_RETRY_AFTER: Micros = 1_000_000;
/// Client timeout if the settings define no class.
const DEFAULT_CLIENT_TIMEOUT: Micros = 1_000_000;
/// Limit of answer tokens of a request without a class.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Set in the sessions of requests that name none, so that these differ from all named sessions.
const UNNAMED_SESSION_BIT: u64 = 1 << 52;
/// Multiplier that spreads consecutive request numbers evenly (the fractional part of the golden ratio).
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9;

/// Why a request was not admitted.
enum NotAdmitted {
    /// A request with its number is open already: the input is a repetition.
    DuplicateNumber,
    /// A request of its name may have run and must not run twice.
    MayHaveRun,
    Rejected(Rejection),
}

impl From<Rejection> for NotAdmitted {
    fn from(rejection: Rejection) -> NotAdmitted {
        NotAdmitted::Rejected(rejection)
    }
}

/// The time and the answer tokens that a request may use.
struct RequestBudget {
    /// Time until the deadline of its answer.
    time_left: Micros,
    max_tokens: u64,
}

/// A request that has passed all steps of admission.
struct AdmittedRequest {
    id: RequestId,
    cell: CellName,
    session: u64,
    budget: RequestBudget,
    quota_charge: QuotaCharge,
}

impl Host {
    pub(super) fn on_request_arrived(&mut self, arrival: IncomingRequest, out: &mut Vec<Command>) {
        self.counters.accepted += 1;
        match self.admit(&arrival, out) {
            Ok(admitted) => self.start_request(&arrival, admitted, out),
            Err(NotAdmitted::DuplicateNumber) => self.counters.unmatched_inputs += 1,
            Err(NotAdmitted::MayHaveRun) => self.fail_before_dispatch(arrival.number, out),
            Err(NotAdmitted::Rejected(rejection)) => {
                self.reject_before_dispatch(arrival.number, rejection, out);
            }
        }
    }

    fn admit(
        &mut self,
        arrival: &IncomingRequest,
        out: &mut Vec<Command>,
    ) -> Result<AdmittedRequest, NotAdmitted> {
        // Before all else: a rejection would promise that a retry is harmless.
        if arrival.name.as_ref().is_some_and(|name| self.may_have_run(name)) {
            return Err(NotAdmitted::MayHaveRun);
        }
        let budget = self.request_budget(arrival);
        self.check_node_limits(&budget)?;
        if self.requests.contains(arrival.number) {
            return Err(NotAdmitted::DuplicateNumber);
        }
        self.check_recovery(arrival)?;
        let quota_charge = self.check_quota(arrival, budget.max_tokens)?;
        let session = arrival.session.unwrap_or(arrival.number | UNNAMED_SESSION_BIT);
        let cell = self.route(arrival, session, out)?;
        let id = self.name_request(arrival)?;
        Ok(AdmittedRequest { id, cell, session, budget, quota_charge })
    }

    fn request_budget(&self, arrival: &IncomingRequest) -> RequestBudget {
        let classes = &self.settings.classes;
        let class = arrival.class.and_then(|class| classes.get(class));
        let class_timeout = match class {
            Some(class) => class.default_client_timeout,
            // A request without a class gets the shortest timeout of all classes.
            None => {
                let timeouts = classes.iter().map(|class| class.default_client_timeout);
                timeouts.min().unwrap_or(DEFAULT_CLIENT_TIMEOUT)
            }
        };
        let client_timeout = arrival.client_timeout.map_or(class_timeout, |stated| stated.min(class_timeout));
        let class_max_tokens = class.map_or(DEFAULT_MAX_TOKENS, |class| class.max_tokens);
        RequestBudget {
            time_left: client_timeout.saturating_sub(self.settings.limits.answer_margin),
            max_tokens: arrival.max_tokens.unwrap_or(class_max_tokens),
        }
    }

    fn check_node_limits(&self, budget: &RequestBudget) -> Result<(), Rejection> {
        // If a cells file is loaded, the cells limit the number of open requests.
        let is_full =
            !self.cells.is_loaded() && self.requests.len() >= self.settings.limits.max_open_requests;
        if self.lifecycle != Lifecycle::Running {
            return Err(Rejection::without_retry_after(RejectionReason::Stopping));
        }
        if budget.time_left == 0 {
            return Err(Rejection::without_retry_after(RejectionReason::NoTimeLeft));
        }
        if is_full {
            return Err(Rejection::without_retry_after(RejectionReason::TooManyOpen));
        }
        Ok(())
    }

    fn check_recovery(&mut self, arrival: &IncomingRequest) -> Result<(), Rejection> {
        let Some(recovery) = &mut self.recovery else { return Ok(()) };
        match recovery.admit(self.now, arrival.class) {
            Admission::Admit => Ok(()),
            Admission::Reject(retry_after) => {
                self.counters.rejected_during_recovery += 1;
                Err(Rejection { reason: RejectionReason::Recovering, retry_after })
            }
        }
    }

    fn check_quota(&mut self, arrival: &IncomingRequest, max_tokens: u64) -> Result<QuotaCharge, Rejection> {
        let Some(quota) = &mut self.quota else { return Ok(QuotaCharge::default()) };
        quota.admit(self.now, arrival, max_tokens).map_err(|after| {
            self.counters.rejected_over_quota += 1;
            // Jitter of up to a quarter, so that requests rejected together are not repeated together.
            let jitter = arrival.number.wrapping_mul(SPREAD_MULTIPLIER) % (after / 4 + 1);
            let retry_after = self.advertised_retry_after(after + jitter);
            Rejection { reason: RejectionReason::OverQuota, retry_after }
        })
    }

    /// Selects the cell or zone whose core gets a request, and reserves capacity there.
    fn route(
        &mut self,
        arrival: &IncomingRequest,
        session: u64,
        out: &mut Vec<Command>,
    ) -> Result<CellName, Rejection> {
        if let Some(zones) = &mut self.zones {
            return zones.route(self.now, arrival, session).map_err(|after| {
                self.counters.rejected_no_zone += 1;
                let retry_after = self.advertised_retry_after(after);
                Rejection { reason: RejectionReason::NoCapacity, retry_after }
            });
        }
        if !self.cells.has_cells_file() {
            let only_cell = CellName::default();
            self.cores.ensure(&only_cell);
            return Ok(only_cell);
        }
        self.route_to_cell(arrival, session, out)
    }

    fn route_to_cell(
        &mut self,
        arrival: &IncomingRequest,
        session: u64,
        out: &mut Vec<Command>,
    ) -> Result<CellName, Rejection> {
        let tenant = arrival.tenant.and_then(|tenant| self.settings.core.tenants.get(tenant));
        let request = AdmissionRequest {
            tenant: tenant.map(|tenant| tenant.name.as_str()),
            session,
            class: arrival.class,
            bytes: arrival.bytes,
        };
        let rejected =
            |retry_after| Rejection { reason: RejectionReason::NoCapacity, retry_after: Some(retry_after) };
        match self.cells.admit(self.now, request, arrival.unix_ms) {
            // Until the file is loaded, the cells of tenants are unknown. Requests are rejected rather than sent to
            // any cell.
            None => Err(rejected(CELL_RETRY_AFTER)),
            Some(CellAdmission::Admit(cell)) => Ok(cell),
            Some(CellAdmission::Displace { cell, displaced: preempted }) => {
                self.preempt_queued_request(&preempted, out);
                Ok(cell)
            }
            Some(CellAdmission::Reject { retry_after_ms, .. }) => {
                self.counters.rejected_by_cell += 1;
                Err(rejected(retry_after_ms * 1000))
            }
        }
    }

    /// Preempts the youngest request of a cell's heaviest tenant that has had no attempt yet. If all have had one,
    /// none is preempted, so that no work is discarded.
    fn preempt_queued_request(&mut self, cell: &CellName, out: &mut Vec<Command>) {
        let Some(heaviest) = self.cells.heaviest_tenant(cell) else { return };
        let tenants = &self.settings.core.tenants;
        let is_heaviest = |tenant: Option<usize>| {
            tenant.and_then(|tenant| tenants.get(tenant)).map(|t| &t.name) == heaviest.as_ref()
        };
        let is_queued = |record: &RequestRecord| {
            record.cell == *cell
                && !record.is_closed
                && record.attempts == 0
                && record.in_flight.is_none()
                && is_heaviest(record.tenant)
        };
        let youngest: Option<(RequestNumber, RequestId)> = self
            .requests
            .iter()
            .rev()
            .find(|(_, record)| is_queued(record))
            .map(|(number, record)| (number, record.id.clone()));
        let Some((number, id)) = youngest else { return };
        self.counters.preempted_while_queued += 1;
        self.requests.mark_changed(number);
        self.answer(&id, FinalAnswer::Rejected(Some(CELL_RETRY_AFTER)), out);
        self.handle_event(cell, Event::ClientLeft(id), out);
    }

    /// Returns the name that the client has given a request, or generates one. A name in use is rejected: of two
    /// open requests with one name, the first would never end.
    fn name_request(&mut self, arrival: &IncomingRequest) -> Result<RequestId, Rejection> {
        let generated_name = || RequestId(format!("{}-{}", self.request_id_prefix, arrival.number).into());
        let id = arrival.name.clone().unwrap_or_else(generated_name);
        if self.requests.contains_id(&id) {
            self.counters.unmatched_inputs += 1;
            return Err(Rejection::without_retry_after(RejectionReason::NameInUse));
        }
        Ok(id)
    }

    fn start_request(
        &mut self,
        arrival: &IncomingRequest,
        admitted: AdmittedRequest,
        out: &mut Vec<Command>,
    ) {
        let request = Request {
            id: admitted.id.clone(),
            class: arrival.class,
            tenant: arrival.tenant,
            session: admitted.session,
            prefix: arrival.prefix,
            prompt_tokens: arrival.prompt_tokens,
            prefix_tokens: arrival.prefix_tokens.min(arrival.prompt_tokens),
            max_tokens: admitted.budget.max_tokens,
            client_timeout: admitted.budget.time_left,
            resumed: arrival.resumed,
        };
        let cell = admitted.cell.clone();
        let record = self.new_record(arrival, admitted);
        self.requests.insert(arrival.number, record);
        self.handle_event(&cell, Event::RequestArrived(request), out);
    }

    fn new_record(&mut self, arrival: &IncomingRequest, admitted: AdmittedRequest) -> RequestRecord {
        let AdmittedRequest { id, cell, budget, quota_charge, .. } = admitted;
        let now = self.now;
        let concurrency_limits = match &mut self.quota {
            Some(quota) => quota.consume(now, &quota_charge),
            None => Vec::new(),
        };
        // The core answers by the deadline. The timer expires after that and before the client times out.
        let deadline = now.saturating_add(budget.time_left);
        let overdue_at = deadline + self.settings.limits.answer_margin / 2;
        let class = arrival.class.and_then(|class| self.settings.core.classes.get(class));
        let latency_objective = class.map_or(budget.time_left, |class| {
            class.latency_objective + class.latency_objective_per_1000_tokens * arrival.prompt_tokens / 1000
        });
        RequestRecord {
            id,
            cell,
            tenant: arrival.tenant,
            // A request without a class must not run twice.
            idempotency: class.map_or(Idempotency::NotIdempotent, |class| class.idempotency),
            may_have_run: None,
            body_bytes: arrival.bytes,
            latency_deadline: now.saturating_add(latency_objective),
            is_latency_recorded: false,
            streamed: arrival.streamed,
            max_tokens: budget.max_tokens,
            deadline,
            overdue_timer: self.timers.set(overdue_at, TimerEvent::AnswerOverdue(arrival.number)),
            attempts: 0,
            in_flight: None,
            reservations: RequestReservations::new(now),
            is_closed: false,
            has_failed_attempt: false,
            concurrency_limits,
        }
    }
}

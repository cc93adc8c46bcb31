//! The host itself: dispatches inputs to its components and turns the actions of the decision cores into commands.

mod admission;
mod attempts;
mod coordination;
mod final_answers;
mod fleet;
mod recovery;
mod releases;
mod request_releases;
mod reservation_deadlines;
mod reservation_releases;
mod status;

use std::sync::Arc;

use pintally::interface::{Action, EngineId, Event, Idempotency, LoadReport, Micros, RequestId};
use pintally_cells::CellName;
use pintally_config::NodeSettings;
use pintally_guards::{may_start, Denial, Denials};
use pintally_recovery::Recovery;

use crate::cell_routing::CellRouting;
use crate::command::{Command, FinalAnswer};
use crate::cores::DecisionCores;
use crate::counters::Counters;
use crate::endpoint_directory::EndpointDirectory;
use crate::executed_requests::ExecutedRequests;
use crate::input::{Input, ReleaseScope, RequestNumber};
use crate::ledger::RequestLedger;
use crate::orphaned_reservations::OrphanedReservations;
use crate::outlier_detection::{OutlierEjection, EVALUATION_INTERVAL};
use crate::quota_admission::QuotaAdmission;
use crate::recovery_admission::RecoveryAdmission;
use crate::rejections::Rejections;
use crate::release_retries::ReleaseRetries;
use crate::release_scheduler::ReleaseScheduler;
use crate::timers::{TimerEvent, Timers};
use crate::zone_routing::ZoneRouting;
use crate::OrphanedReservation;

/// Whether the host accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Running,
    /// Graceful shutdown: no new requests are accepted, those in flight are completed.
    Draining,
    Stopped,
}

/// Owns the decision cores and executes their actions.
pub struct Host {
    settings: Arc<NodeSettings>,
    /// The time of the last input.
    now: Micros,
    lifecycle: Lifecycle,
    release_scope: ReleaseScope,
    /// Prefix of the names that this incarnation generates for requests without a name.
    request_id_prefix: String,
    requests: RequestLedger,
    executed: ExecutedRequests,
    timers: Timers,
    cores: DecisionCores,
    endpoints: EndpointDirectory,
    /// Engines or cells have changed since [`Host::take_fleet_change`].
    has_fleet_changed: bool,
    cells: CellRouting,
    zones: Option<ZoneRouting>,
    outliers: Option<OutlierEjection>,
    quota: Option<QuotaAdmission>,
    recovery: Option<RecoveryAdmission>,
    /// Releases of single reservations, with [`ReleaseScope::Attempt`].
    release_retries: ReleaseRetries,
    /// Releases of all reservations of a request, with [`ReleaseScope::Request`].
    release_scheduler: ReleaseScheduler,
    orphaned: OrphanedReservations,
    counters: Counters,
    /// Violations that the guards have prevented.
    denials: Denials,
    /// Attempts that the guards no longer permitted when their connections were established.
    withheld: Denials,
    rejections: Rejections,
}

impl Host {
    /// Creates a host that knows no engines yet.
    pub fn new(settings: Arc<NodeSettings>, seed: u64) -> Host {
        Host {
            now: 0,
            lifecycle: Lifecycle::Running,
            release_scope: ReleaseScope::default(),
            request_id_prefix: format!("{}-{:08x}", settings.name, seed as u32),
            requests: RequestLedger::default(),
            executed: ExecutedRequests::default(),
            timers: Timers::default(),
            cores: DecisionCores::new(settings.clone(), seed),
            endpoints: EndpointDirectory::default(),
            has_fleet_changed: true,
            cells: CellRouting::new(&settings),
            zones: None,
            outliers: None,
            quota: None,
            recovery: None,
            release_retries: ReleaseRetries::default(),
            release_scheduler: ReleaseScheduler::new(settings.core.release_deadline),
            orphaned: OrphanedReservations::default(),
            counters: Counters::default(),
            denials: Denials::default(),
            withheld: Denials::default(),
            rejections: Rejections::default(),
            settings,
        }
    }

    /// Sets which reservations one release frees.
    pub fn with_release_scope(mut self, scope: ReleaseScope) -> Host {
        self.release_scope = scope;
        self
    }

    /// Adds quotas of the whole fleet, if the settings define any.
    pub fn with_quotas(mut self, now: Micros) -> Host {
        if let Some(quotas) = &self.settings.quotas {
            let quota = QuotaAdmission::new(&self.settings, quotas);
            self.timers.set(now + quota.check_interval(), TimerEvent::QuotaRequest);
            self.quota = Some(quota);
        }
        self
    }

    /// Adds outlier detection by the whole fleet, if the settings define it.
    pub fn with_outlier_detection(mut self, now: Micros) -> Host {
        if let Some(outliers) = OutlierEjection::new(&self.settings) {
            self.outliers = Some(outliers);
            self.timers.set(now + EVALUATION_INTERVAL, TimerEvent::OutlierEvaluation);
        }
        self
    }

    /// Adds a core for each zone, if the settings define a failover policy that contains the node's zone.
    pub fn with_failover(mut self, now: Micros) -> Host {
        if let Some(zones) = ZoneRouting::new(&self.settings) {
            self.zones = Some(zones);
            self.timers.set(now + 1, TimerEvent::ZoneReport);
        }
        self
    }

    /// Adds the recovery after a start. Without it the host admits requests at once.
    pub fn with_recovery(mut self, machine: Recovery) -> Host {
        let mut recovery = RecoveryAdmission::new(machine);
        recovery.update_timer(&mut self.timers);
        self.recovery = Some(recovery);
        self
    }

    /// Adds reservations that an earlier incarnation may have left. They are released when an endpoint list names
    /// their engine. Those whose engine is missing in a list that was read from its source are dropped, as they
    /// are gone with the engine.
    pub fn with_orphaned_reservations(mut self, orphaned: Vec<OrphanedReservation>) -> Host {
        // After a start with the same seed, names of the earlier incarnation may equal those of this one. Releasing
        // them would free reservations of this incarnation.
        let mut others = orphaned;
        others.retain(|(_, name)| !self.is_own_name(name));
        self.orphaned = OrphanedReservations::new(others);
        self
    }

    /// Handles one input and appends the resulting commands.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        self.now = now;
        self.dispatch_input(input, out);
        self.finish_changed_requests(out);
    }

    /// Handles the timers that have expired.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.now = now;
        while let Some(event) = self.timers.pop_expired(now) {
            self.dispatch_timer(event, out);
            self.finish_changed_requests(out);
        }
    }

    /// The time at which [`Host::tick`] has to be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next_expiry()
    }

    /// Checks that the attempt in flight of a request may still start now, for example when its connection was
    /// established late. A denial is counted as withheld.
    ///
    /// # Errors
    ///
    /// The rule that the attempt would break.
    pub fn may_start(&mut self, now: Micros, number: RequestNumber) -> Result<(), Denial> {
        let record = self.requests.get(number).ok_or(Denial::RequestClosed)?;
        let in_flight = record.in_flight.as_ref().ok_or(Denial::RequestClosed)?;
        let facts = record.facts(self.settings.core.max_attempts);
        let engine = self.endpoints.get(&in_flight.engine).ok_or(Denial::EngineNotServing);
        let permission = engine.and_then(|engine| may_start(now, &facts, &engine.facts()));
        permission.inspect_err(|denial| self.withheld.add(*denial))
    }

    fn dispatch_input(&mut self, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::EndpointList(update, endpoints) => self.on_endpoint_list(update, endpoints, out),
            Input::EndpointListConfirmed => self.on_endpoint_list_confirmed(out),
            Input::Cells(file) => self.on_cells_file(*file, out),
            Input::Recovery(input) => self.handle_recovery(input, out),
            Input::ReservationsInherited(orphaned) => self.on_reservations_inherited(orphaned, out),
            Input::QuotaGranted(grants) => self.on_quota_granted(&grants),
            Input::OutlierReport(from, report) => self.on_outlier_report(&from, &report),
            Input::PeersChanged(nodes) => self.on_peers_changed(nodes),
            Input::EngineCleared(engine) => self.on_engine_cleared(&engine),
            Input::FailoverPlan(bytes) => self.on_failover_plan(&bytes),
            Input::RequestArrived(arrival) => self.on_request_arrived(arrival, out),
            Input::DeliveryConfirmed(number, attempt) => self.on_delivery_confirmed(number, attempt),
            Input::FirstToken(number, attempt) => self.on_first_token(number, attempt, out),
            Input::AttemptEnded { number, attempt, outcome, cached_tokens, load, state } => {
                let result = attempts::AttemptResult { attempt, outcome, cached_tokens, load, state };
                self.on_attempt_ended(number, result, out);
            }
            Input::ClientLeft(number) => self.on_client_left(number, out),
            Input::ClientUnconfirmed(number) => self.on_client_unconfirmed(number, out),
            Input::HealthChecked(engine, answered, load) => {
                self.on_health_checked(engine, answered, load, out);
            }
            Input::Released(name, engine, acknowledged) => {
                self.on_release_result(name, engine, acknowledged, out);
            }
            Input::ReleaseNotSent(name, engine) => self.on_release_not_sent(name, engine, out),
            Input::Stop => self.on_stop(),
        }
    }

    fn dispatch_timer(&mut self, event: TimerEvent, out: &mut Vec<Command>) {
        match event {
            TimerEvent::Core(cell, timer) => self.handle_event(&cell, Event::TimerFired(timer), out),
            TimerEvent::CellAssignment => self.on_cell_timer(out),
            TimerEvent::AnswerOverdue(number) => self.on_answer_overdue(number, out),
            TimerEvent::ReservationRelease(name, engine) => self.retry_release(name, engine, out),
            TimerEvent::ReservationDeadline(number) => self.on_reservation_deadline(number, out),
            TimerEvent::RequestRelease(id) => self.call_release(id, out),
            TimerEvent::Recovery => self.on_recovery_timer(out),
            TimerEvent::QuotaRequest => self.request_quota(out),
            TimerEvent::OutlierEvaluation => self.evaluate_outliers(out),
            TimerEvent::ZoneReport => self.publish_zone_report(out),
            TimerEvent::ShutdownTimeout => self.abort_all(out),
        }
    }

    /// Passes an event to a cell's core and executes its actions, then handles the events that these have queued.
    fn handle_event(&mut self, cell: &CellName, event: Event, out: &mut Vec<Command>) {
        let mut next = Some((cell.clone(), event));
        while let Some((cell, event)) = next {
            let mut actions = self.cores.handle(self.now, &cell, event);
            for action in actions.drain(..) {
                self.execute_action(&cell, action, out);
            }
            self.cores.recycle(actions);
            next = self.cores.next_event();
        }
    }

    fn execute_action(&mut self, cell: &CellName, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send(id, engine, timeout) => self.send(cell, id, engine, timeout, out),
            Action::Reject(id, retry_after) => self.answer(&id, FinalAnswer::Rejected(retry_after), out),
            Action::Fail(id) => self.answer(&id, FinalAnswer::Failed, out),
            Action::Cancel(id, attempt) => self.cancel(&id, attempt, out),
            Action::Release(id) => self.release(&id, out),
            Action::HealthCheck(engine) => self.check_health(cell, engine, out),
            Action::SetTimer(timer, after) => {
                let at = self.now.saturating_add(after);
                self.timers.set(at, TimerEvent::Core(cell.clone(), timer));
            }
            Action::Subscribe => out.push(Command::ReloadEndpointList),
            Action::Log(message) if cell.0.is_empty() => out.push(Command::Log(message)),
            Action::Log(message) => out.push(Command::Log(format!("cell {cell}: {message}"))),
        }
    }

    fn check_health(&mut self, cell: &CellName, engine: EngineId, out: &mut Vec<Command>) {
        match self.endpoints.get(&engine) {
            Some(known) => out.push(Command::HealthCheck(engine, known.address, known.slots)),
            None => {
                let unanswered = Event::HealthChecked(engine, false, None);
                self.cores.queue_event(cell.clone(), unanswered);
            }
        }
    }

    fn on_health_checked(
        &mut self,
        engine: EngineId,
        answered: bool,
        load: Option<LoadReport>,
        out: &mut Vec<Command>,
    ) {
        if answered {
            self.record_engine_response(&engine);
            self.cells.record_health_check(self.now, &engine);
        }
        // Only the core of the cell that has the engine has requested the check; all others ignore the result.
        for cell in self.cores.cells() {
            self.handle_event(&cell, Event::HealthChecked(engine.clone(), answered, load), out);
        }
    }

    fn on_stop(&mut self) {
        if self.lifecycle == Lifecycle::Running {
            self.lifecycle = Lifecycle::Draining;
            let at = self.now.saturating_add(self.settings.limits.shutdown_timeout);
            self.timers.set(at, TimerEvent::ShutdownTimeout);
        }
    }

    /// Removes the requests that are complete, releases what remains of them, and reports the end of a graceful
    /// shutdown.
    fn finish_changed_requests(&mut self, out: &mut Vec<Command>) {
        for number in self.requests.take_changed() {
            self.finish_if_complete(number, out);
        }
        self.cells.update_timer_after_fault(self.now, &mut self.timers);
        let is_drained = self.requests.is_empty() && self.releases_awaiting_acknowledgement() == 0;
        if self.lifecycle == Lifecycle::Draining && is_drained {
            self.lifecycle = Lifecycle::Stopped;
            out.push(Command::Stopped);
        }
    }

    fn finish_if_complete(&mut self, number: RequestNumber, out: &mut Vec<Command>) {
        let Some(record) = self.requests.remove_complete(number) else {
            self.update_reservation_deadline(number);
            return;
        };
        if record.idempotency == Idempotency::NotIdempotent && record.may_have_run.is_some() {
            self.executed.record(self.now, &record.id);
        }
        let tenant = record.tenant.and_then(|tenant| self.settings.core.tenants.get(tenant));
        self.cells.release(&record.cell, tenant.map(|tenant| tenant.name.as_str()), record.body_bytes);
        self.timers.cancel(record.overdue_timer);
        if let Some(quota) = &mut self.quota {
            quota.release(self.now, &record.concurrency_limits);
        }
        out.push(Command::RequestComplete(number));
        self.release_remaining(record, out);
    }

    /// Counts and logs a violation that a guard has prevented.
    fn report_denial(&mut self, id: &RequestId, action: &str, denial: Denial, out: &mut Vec<Command>) {
        self.denials.add(denial);
        out.push(Command::Log(format!(
            "violation prevented: request_id={} action={action} reason={denial}",
            id.0
        )));
    }

    /// Whether a name begins like the names that this incarnation generates for requests.
    fn is_own_name(&self, name: &RequestId) -> bool {
        name.0.strip_prefix(&self.request_id_prefix).is_some_and(|rest| rest.starts_with('-'))
    }
}

//! The decision thread: the only thread that accesses the host. It never waits for a socket.

use std::collections::HashMap;
use std::ops::ControlFlow;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pintally::interface::{Micros, Outcome};
use pintally_host::{AttemptOrder, Command, Host, Input, RequestNumber};
use tracing::{info, warn};

use crate::background_calls::{BackgroundCall, CallSender};
use crate::fleet::{FleetSenders, MAX_STORED_RESERVATIONS};
use crate::shared::{DecisionMessage, OutgoingZoneReport, RequestMailbox, RequestMessage, Shared};
use crate::sync::lock;

/// Maximum number of messages that are handled before the host's timers are checked again.
const MAX_BATCH: usize = 256;
/// How often the recovery status is refreshed, in addition to each change of stage.
const RECOVERY_STATUS_INTERVAL_US: Micros = 20_000;
/// How often the status documents of quota and outlier detection are refreshed.
const QUOTA_STATUS_INTERVAL_US: Micros = 200_000;

/// Channels for the commands that are not for a request's thread.
pub(crate) struct DecisionOutputs {
    pub(crate) background_calls: CallSender,
    /// Makes the watcher reload the endpoint list at once.
    pub(crate) reload_list: Sender<()>,
    /// Signals that the host has finished its shutdown.
    pub(crate) stopped: Sender<()>,
    /// Messages for the fleet thread.
    pub(crate) fleet: FleetSenders,
}

/// The state of the decision thread.
struct DecisionThread<'a> {
    shared: &'a Shared,
    host: Host,
    mailboxes: HashMap<RequestNumber, RequestMailbox>,
    outputs: DecisionOutputs,
    /// Commands of the host that are not carried out yet.
    commands: Vec<Command>,
}

/// Runs until the node is killed or all senders of messages are dropped.
pub(crate) fn run(
    shared: &Shared,
    host: Host,
    messages: &Receiver<DecisionMessage>,
    outputs: DecisionOutputs,
) {
    let mailboxes = HashMap::new();
    let mut thread = DecisionThread { shared, host, mailboxes, outputs, commands: Vec::new() };
    let mut reservations = ReservationRecord::new(shared);
    let mut status = StatusPublisher::default();
    loop {
        let next_wake = [thread.host.next_wake(), reservations.due()].into_iter().flatten().min();
        let message = match next_wake {
            Some(at) => messages.recv_deadline(shared.clock.instant(at)),
            None => messages.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        let started = Instant::now();
        match message {
            Ok(message) => {
                let batch = std::iter::once(message).chain(messages.try_iter().take(MAX_BATCH));
                if thread.handle_batch(batch).is_break() {
                    return;
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        thread.tick();
        let busy_ns = started.elapsed().as_nanos() as u64;
        shared.counters.deciding_ns.fetch_add(busy_ns, Ordering::Relaxed);
        status.publish_counters(shared, &mut thread.host);
        let now = shared.clock.now();
        reservations.write(shared, now, &thread.host);
        status.publish_quota(shared, now, &thread.host);
        status.publish_recovery(shared, now, &thread.host);
    }
}

impl DecisionThread<'_> {
    /// Handles messages; breaks on [`DecisionMessage::Kill`].
    fn handle_batch(&mut self, messages: impl Iterator<Item = DecisionMessage>) -> ControlFlow<()> {
        for message in messages {
            match message {
                DecisionMessage::Host(input) => self.handle(input),
                DecisionMessage::RequestArrived(request, mailbox) => {
                    self.mailboxes.insert(request.number, mailbox);
                    self.handle(Input::RequestArrived(request));
                }
                DecisionMessage::Kill => return ControlFlow::Break(()),
            }
        }
        ControlFlow::Continue(())
    }

    fn handle(&mut self, input: Input) {
        let now = self.shared.clock.now();
        self.host.handle(now, input, &mut self.commands);
        self.carry_out();
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.host.tick(now, &mut self.commands);
        self.carry_out();
    }

    /// Carries out all commands. Those that fail at once are reported to the host as inputs, which may lead
    /// to new commands.
    fn carry_out(&mut self) {
        while !self.commands.is_empty() {
            let commands = std::mem::take(&mut self.commands);
            let failures: Vec<Input> =
                commands.into_iter().filter_map(|command| self.execute(command)).collect();
            let now = self.shared.clock.now();
            for input in failures {
                self.host.handle(now, input, &mut self.commands);
            }
        }
    }

    /// Carries out a command. Returns the input for the host if the command failed at once.
    fn execute(&mut self, command: Command) -> Option<Input> {
        match command {
            Command::Attempt(order) => return self.start_attempt(order),
            Command::Cancel(request_number, attempt) => {
                self.send_to_request(request_number, RequestMessage::Cancel(attempt));
            }
            Command::Answer(request_number, answer) => {
                self.send_to_request(request_number, RequestMessage::Answer(answer));
            }
            Command::RequestComplete(request_number) => {
                self.send_to_request(request_number, RequestMessage::Finished);
                self.mailboxes.remove(&request_number);
            }
            Command::Release { .. } | Command::HealthCheck(..) | Command::ProbeConnection(..) => {
                return self.start_background_call(command);
            }
            // Nothing to withdraw: each release call names one reservation, so a late one cannot release a
            // newer one.
            Command::WithdrawReleases(_) => {}
            Command::ReloadEndpointList => {
                let _ = self.outputs.reload_list.try_send(());
            }
            Command::QueryPeer(peer) => {
                let _ = self.outputs.fleet.peer_queries.try_send(peer);
            }
            Command::RequestQuota(requests) => {
                let _ = self.outputs.fleet.lease_requests.try_send(requests);
            }
            Command::PublishZoneReport(encoded, engines_per_zone) => {
                let report = OutgoingZoneReport { encoded, engines_per_zone };
                let _ = self.outputs.fleet.zone_reports.try_send(report);
            }
            Command::PublishOutlierReport(report) => {
                let _ = self.outputs.fleet.outlier_reports.try_send(report);
            }
            Command::RecoveryStage(stage) => info!(?stage, "recovery stage changed"),
            Command::Log(message) => info!("{message}"),
            Command::Stopped => {
                let _ = self.outputs.stopped.try_send(());
            }
        }
        None
    }

    /// Passes an attempt to its request's thread. If the thread is gone, the attempt ends as never sent.
    fn start_attempt(&mut self, order: AttemptOrder) -> Option<Input> {
        let (request_number, attempt) = (order.number, order.attempt);
        if self.send_to_request(request_number, RequestMessage::Attempt(order)) {
            return None;
        }
        Some(Input::AttemptEnded {
            number: request_number,
            attempt,
            outcome: Outcome::NeverSent,
            cached_tokens: 0,
            load: None,
            state: None,
        })
    }

    /// Queues a background call. If too many calls wait, health checks and releases fail at once. Connection
    /// probes are dropped, because a probe that was not made says nothing about the attempt.
    fn start_background_call(&mut self, command: Command) -> Option<Input> {
        let call = match command {
            Command::Release { name, engine, address, new_connection } => {
                BackgroundCall::Release { name, engine, address, new_connection }
            }
            Command::HealthCheck(engine, address, slots) => {
                BackgroundCall::HealthCheck { engine, address, slots }
            }
            Command::ProbeConnection(request_number, attempt, _, address) => {
                BackgroundCall::ConnectionProbe { request_number, attempt, address }
            }
            _ => return None,
        };
        match self.outputs.background_calls.send(call).err()? {
            BackgroundCall::Release { name, engine, .. } => Some(Input::Released(name, engine, false)),
            BackgroundCall::HealthCheck { engine, .. } => Some(Input::HealthChecked(engine, false, None)),
            BackgroundCall::ConnectionProbe { .. } => None,
        }
    }

    /// Sends a message to a request's thread; `false` if the thread is gone. The mailbox has capacity for all
    /// messages to a request that can be unread at the same time.
    fn send_to_request(&mut self, request_number: RequestNumber, message: RequestMessage) -> bool {
        let Some(mailbox) = self.mailboxes.get(&request_number) else { return false };
        let sent = mailbox.sender.try_send(message).is_ok();
        // After a kill this is expected, because the request threads may end before this one.
        if !sent && !self.shared.is_dead() {
            warn!(request_number, "request thread is gone: message dropped");
        }
        mailbox.waker.wake();
        sent
    }
}

/// Periodically stores the reservations that engines would hold if the process ended now, for the next start.
/// They are written once per commit interval of the settings, and only if something may have changed.
struct ReservationRecord {
    /// `None` if the node has neither a store nor backup nodes.
    interval: Option<Micros>,
    written_at: Micros,
    dirty: bool,
}

impl ReservationRecord {
    fn new(shared: &Shared) -> ReservationRecord {
        let has_peers = shared.settings.membership.is_some();
        let recovery = shared.settings.recovery.as_ref();
        let recovery =
            recovery.filter(|r| r.store.is_some() || has_peers && r.reservation_takeover_delay > 0);
        ReservationRecord { interval: recovery.map(|r| r.commit_interval), written_at: 0, dirty: true }
    }

    /// When the next write is due; `None` if nothing can have changed.
    fn due(&self) -> Option<Micros> {
        let interval = self.interval.filter(|_| self.dirty)?;
        Some(self.written_at.saturating_add(interval))
    }

    /// Writes the reservations if that is due. Otherwise marks them dirty, because anything that wakes the
    /// decision thread may have changed them.
    fn write(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let due = self.due().is_some_and(|due| now >= due);
        self.dirty = !due;
        if due {
            self.written_at = now;
            let reservations = host.reservations_at_exit(MAX_STORED_RESERVATIONS);
            shared.fleet.store_reservations_at_exit(reservations);
        }
    }
}

/// Publishes copies of the host's state for status documents and for the fleet thread.
#[derive(Default)]
struct StatusPublisher {
    recovery_published_at: Micros,
    quota_published_at: Micros,
}

impl StatusPublisher {
    /// Publishes the counters, and the status of cells, migrations and engines if it has changed.
    fn publish_counters(&self, shared: &Shared, host: &mut Host) {
        *lock(&shared.host_counters) = host.counters();
        if host.take_fleet_change() {
            *lock(&shared.cells) = host.cells_status();
            *lock(&shared.migrations) = host.migration_status(shared.clock.unix_ms());
            shared.serving_engines.store(host.serving_engines(), Ordering::Relaxed);
        }
    }

    /// Publishes the status of quotas and of outlier detection, once per interval.
    fn publish_quota(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let enabled = shared.settings.quotas.is_some() || shared.settings.outlier_detection.is_some();
        if enabled && now >= self.quota_published_at + QUOTA_STATUS_INTERVAL_US {
            self.quota_published_at = now;
            *lock(&shared.fleet.outlier_status) = host.outlier_status(now);
            *lock(&shared.fleet.limit_status) = host.quota_status(now);
        }
    }

    /// Publishes the answer to peers each time, and the status document and stored service rates once per
    /// interval or when the stage changes.
    fn publish_recovery(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let Some(answer) = host.recovery_answer(now) else { return };
        let stage = answer.stage;
        let previous = lock(&shared.fleet.recovery_answer).replace(answer);
        let same_stage = previous.is_some_and(|previous| previous.stage == stage);
        if same_stage && now < self.recovery_published_at + RECOVERY_STATUS_INTERVAL_US {
            return;
        }
        self.recovery_published_at = now;
        *lock(&shared.fleet.recovery_status) = host.recovery_status(now);
        *lock(&shared.fleet.service_rates) = host.service_rates();
    }
}

//! The decision thread: the only one that touches the host. It never waits for a socket.

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

/// Messages taken in one go before timers are looked at.
const MAX_BATCH: usize = 256;
/// How often the status of recovery is refreshed, beside each change of stage.
const RECOVERY_STATUS_INTERVAL_US: Micros = 20_000;
/// How often the status of quota and of outlier detection is refreshed.
const QUOTA_STATUS_INTERVAL_US: Micros = 200_000;

/// Where commands that are not for a request go.
pub(crate) struct DecisionOutputs {
    pub(crate) background_calls: CallSender,
    /// Has the endpoint list looked at again at once.
    pub(crate) reload_list: Sender<()>,
    /// The node has shut down.
    pub(crate) stopped: Sender<()>,
    /// Messages for peers.
    pub(crate) fleet: FleetSenders,
}

/// The state of the decision thread.
struct DecisionThread<'a> {
    shared: &'a Shared,
    host: Host,
    mailboxes: HashMap<RequestNumber, RequestMailbox>,
    outputs: DecisionOutputs,
    /// Commands of the host that are to be carried out.
    commands: Vec<Command>,
}

/// Runs until it is killed or nobody can send any more.
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
        let wake = [thread.host.next_wake(), reservations.due()].into_iter().flatten().min();
        let message = match wake {
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
    /// Takes in messages; breaks if the thread is to end.
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

    /// Carries out all commands. What does not fit is an input to the host at once, which may command
    /// something else.
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

    /// Carries out a command; the host's input about it if it failed at once.
    fn execute(&mut self, command: Command) -> Option<Input> {
        match command {
            Command::Attempt(order) => return self.start_attempt(order),
            Command::Cancel(ticket, attempt) => {
                self.send_to_request(ticket, RequestMessage::Cancel(attempt));
            }
            Command::Answer(ticket, answer) => {
                self.send_to_request(ticket, RequestMessage::Answer(answer));
            }
            Command::RequestComplete(ticket) => {
                self.send_to_request(ticket, RequestMessage::Finished);
                self.mailboxes.remove(&ticket);
            }
            Command::Release { .. } | Command::HealthCheck(..) | Command::ProbeConnection(..) => {
                return self.start_background_call(command);
            }
            // Its releases are one reservation's each and harm no younger one.
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

    /// Hands an attempt to its request's thread. Where that is gone nothing was sent.
    fn start_attempt(&mut self, order: AttemptOrder) -> Option<Input> {
        let (ticket, attempt) = (order.number, order.attempt);
        if self.send_to_request(ticket, RequestMessage::Attempt(order)) {
            return None;
        }
        Some(Input::AttemptEnded {
            number: ticket,
            attempt,
            outcome: Outcome::NeverSent,
            cached_tokens: 0,
            load: None,
            state: None,
        })
    }

    /// Hands in a background call. Where there are too many of them a health check and a release have
    /// failed. A connection probe has no answer then: nothing is known of the attempt.
    fn start_background_call(&mut self, command: Command) -> Option<Input> {
        let call = match command {
            Command::Release { name, engine, address, new_connection } => {
                BackgroundCall::Release { name, engine, address, new_connection }
            }
            Command::HealthCheck(engine, address, slots) => {
                BackgroundCall::HealthCheck { engine, address, slots }
            }
            Command::ProbeConnection(ticket, attempt, _, address) => {
                BackgroundCall::ConnectionProbe { ticket, attempt, address }
            }
            _ => return None,
        };
        match self.outputs.background_calls.send(call).err()? {
            BackgroundCall::Release { name, engine, .. } => Some(Input::Released(name, engine, false)),
            BackgroundCall::HealthCheck { engine, .. } => Some(Input::HealthChecked(engine, false, None)),
            BackgroundCall::ConnectionProbe { .. } => None,
        }
    }

    /// Sends to a request's thread; `false` if it is gone. The mailbox has room for all that a request can
    /// have open.
    fn send_to_request(&mut self, ticket: RequestNumber, message: RequestMessage) -> bool {
        let Some(mailbox) = self.mailboxes.get(&ticket) else { return false };
        let sent = mailbox.sender.try_send(message).is_ok();
        // Threads of a node that was killed end before this one does.
        if !sent && !self.shared.is_dead() {
            warn!(ticket, "request thread is gone: message dropped");
        }
        mailbox.waker.wake();
        sent
    }
}

/// The reservations that engines would hold if the process ended now, stored for the next start: as often
/// as the settings say, and only if something may have changed.
struct ReservationRecord {
    /// `None` without a store and without backup nodes.
    interval: Option<Micros>,
    written_at: Micros,
    stale: bool,
}

impl ReservationRecord {
    fn new(shared: &Shared) -> ReservationRecord {
        let has_peers = shared.settings.membership.is_some();
        let recovery = shared.settings.recovery.as_ref();
        let recovery =
            recovery.filter(|r| r.store.is_some() || has_peers && r.reservation_takeover_delay > 0);
        ReservationRecord { interval: recovery.map(|r| r.commit_interval), written_at: 0, stale: true }
    }

    /// When it has to be written, if something may have changed.
    fn due(&self) -> Option<Micros> {
        let interval = self.interval.filter(|_| self.stale)?;
        Some(self.written_at.saturating_add(interval))
    }

    /// Writes it if it is due; everything that wakes the decision thread may change it.
    fn write(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let due = self.due().is_some_and(|due| now >= due);
        self.stale = !due;
        if due {
            self.written_at = now;
            let reservations = host.reservations_at_exit(MAX_STORED_RESERVATIONS);
            shared.fleet.store_reservations_at_exit(reservations);
        }
    }
}

/// Copies of the host's state for status documents and for the fleet thread.
#[derive(Default)]
struct StatusPublisher {
    recovery_at: Micros,
    quota_at: Micros,
}

impl StatusPublisher {
    /// Counters, and cells and moves where they have changed.
    fn publish_counters(&self, shared: &Shared, host: &mut Host) {
        *lock(&shared.host_counters) = host.counters();
        if host.take_fleet_change() {
            *lock(&shared.cells) = host.cells_status();
            *lock(&shared.moves) = host.migration_status(shared.clock.unix_ms());
            shared.serving.store(host.serving_engines(), Ordering::Relaxed);
        }
    }

    fn publish_quota(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let enabled = shared.settings.quotas.is_some() || shared.settings.outlier_detection.is_some();
        if enabled && now >= self.quota_at + QUOTA_STATUS_INTERVAL_US {
            self.quota_at = now;
            *lock(&shared.fleet.outlier_status) = host.outlier_status(now);
            *lock(&shared.fleet.limit_status) = host.quota_status(now);
        }
    }

    /// The answer to peers, each time; what only operators and the disk want, once an interval.
    fn publish_recovery(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let Some(answer) = host.recovery_answer(now) else { return };
        let stage = answer.stage;
        let before = lock(&shared.fleet.recovery_answer).replace(answer);
        let same_stage = before.is_some_and(|before| before.stage == stage);
        if same_stage && now < self.recovery_at + RECOVERY_STATUS_INTERVAL_US {
            return;
        }
        self.recovery_at = now;
        *lock(&shared.fleet.recovery_status) = host.recovery_status(now);
        *lock(&shared.fleet.service_rates) = host.service_rates();
    }
}

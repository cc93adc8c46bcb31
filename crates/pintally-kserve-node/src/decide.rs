//! The deciding thread: the only one that touches the host. It never waits for a socket.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pintally::interface::{Micros, Outcome};
use pintally_host::{Command, Host, Input, RequestNumber};
use tracing::{info, warn};

use crate::errand::{Errand, Errands};
use crate::fleet::MAX_LEFT;
use crate::shared::{Mail, Mailbox, Message, Shared};

/// Messages taken in one go before timers are looked at.
const BATCH: usize = 256;
/// How often it is told where recovery stands, beside each new stage.
const TELL_EVERY: Micros = 20_000;
/// How often it is told how the fleet's limits stand here.
const LIMITS_EVERY: Micros = 200_000;

/// Where commands that are not for a request go.
pub(crate) struct Ends {
    pub(crate) errands: Errands,
    pub(crate) look: Sender<()>,
    pub(crate) stopped: Sender<()>,
    pub(crate) ask: Sender<u64>,
    pub(crate) shares: Sender<Vec<pintally_quota::LeaseRequest>>,
    pub(crate) testify: Sender<Vec<u8>>,
    pub(crate) zones: Sender<(Vec<u8>, Vec<f64>)>,
}

struct Decider<'a> {
    shared: &'a Shared,
    host: Host,
    boxes: HashMap<RequestNumber, Mailbox>,
    ends: Ends,
    commands: Vec<Command>,
}

/// Decides until it is killed or nobody can send any more.
pub(crate) fn run(shared: &Shared, host: Host, messages: &Receiver<Message>, ends: Ends) {
    let mut decider = Decider { shared, host, boxes: HashMap::new(), ends, commands: Vec::new() };
    let (mut told_at, mut limits_at) = (0, 0);
    let mut record = Record::new(shared);
    loop {
        let next = match [decider.host.next_wake(), record.due()].into_iter().flatten().min() {
            Some(at) => messages.recv_deadline(shared.clock.instant(at)),
            None => messages.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        let began = Instant::now();
        match next {
            Ok(message) => {
                if !decider.take(message) {
                    return;
                }
                for message in messages.try_iter().take(BATCH) {
                    if !decider.take(message) {
                        return;
                    }
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        decider.tick();
        let busy = began.elapsed().as_nanos() as u64;
        shared.counts.busy_ns.fetch_add(busy, Ordering::Relaxed);
        *shared.host_counters.lock().unwrap_or_else(|e| e.into_inner()) = decider.host.counters();
        if decider.host.take_fleet_change() {
            *shared.cells.lock().unwrap_or_else(|e| e.into_inner()) = decider.host.cells_status();
            let moves = decider.host.migration_status(shared.clock.unix_ms());
            *shared.moves.lock().unwrap_or_else(|e| e.into_inner()) = moves;
            shared.serving.store(decider.host.serving(), Ordering::Relaxed);
        }
        let now = shared.clock.now();
        record.write(shared, now, &decider.host);
        let tells = shared.settings.quotas.is_some() || shared.settings.outlier_detection.is_some();
        if tells && now >= limits_at + LIMITS_EVERY {
            limits_at = now;
            *shared.fleet.verdicts.lock().unwrap_or_else(|e| e.into_inner()) =
                decider.host.outlier_status(now);
            *shared.fleet.limits.lock().unwrap_or_else(|e| e.into_inner()) = decider.host.quota_status(now);
        }
        if let Some(answer) = decider.host.recovery_answer(now) {
            let stage = answer.stage;
            let before = shared.fleet.answer.lock().unwrap_or_else(|e| e.into_inner()).replace(answer);
            // What only people and the disk want is not made anew for every batch.
            if now < told_at + TELL_EVERY && before.is_some_and(|b| b.stage == stage) {
                continue;
            }
            told_at = now;
            *shared.fleet.recovery.lock().unwrap_or_else(|e| e.into_inner()) =
                decider.host.recovery_status(now);
            *shared.fleet.usual.lock().unwrap_or_else(|e| e.into_inner()) = decider.host.service_rates();
        }
    }
}

/// What this life would leave at engines, kept for the next one: as often as the settings say, and only
/// if something may have changed and has.
struct Record {
    /// None without a store and without peers to be told.
    every: Option<Micros>,
    at: Micros,
    stale: bool,
}

impl Record {
    fn new(shared: &Shared) -> Record {
        let peers = shared.settings.membership.is_some();
        let recovery = shared.settings.recovery.as_ref();
        let recovery = recovery.filter(|r| r.store.is_some() || peers && r.inherit_after > 0);
        Record { every: recovery.map(|r| r.commit_interval), at: 0, stale: true }
    }

    /// When it has to be written, if something may have changed.
    fn due(&self) -> Option<Micros> {
        self.every.filter(|_| self.stale).map(|every| self.at.saturating_add(every))
    }

    /// Writes it if it is time; everything that wakes the deciding thread may change it.
    fn write(&mut self, shared: &Shared, now: Micros, host: &Host) {
        let due = self.due().is_some_and(|due| now >= due);
        self.stale = !due;
        if !due {
            return;
        }
        self.at = now;
        shared.fleet.keep_left(host.reservations_at_exit(MAX_LEFT));
    }
}

impl Decider<'_> {
    /// Takes in one message; `false` ends the thread.
    fn take(&mut self, message: Message) -> bool {
        match message {
            Message::Host(input) => self.handle(input),
            Message::Arrived(arrival, mailbox) => {
                self.boxes.insert(arrival.ticket, mailbox);
                self.handle(Input::RequestArrived(arrival));
            }
            Message::Kill => return false,
        }
        true
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

    fn carry_out(&mut self) {
        // What does not fit is told to the host at once, which may command something else.
        while !self.commands.is_empty() {
            let mut unsent = Vec::new();
            for command in std::mem::take(&mut self.commands) {
                match command {
                    Command::Attempt(order) => {
                        let (ticket, attempt, outcome) = (order.ticket, order.attempt, Outcome::NeverSent);
                        if !self.mail(ticket, Mail::Attempt(order)) {
                            let (kept, load, state) = (0, None, None);
                            unsent.push(Input::AttemptEnded {
                                ticket,
                                attempt,
                                outcome,
                                cached_tokens: kept,
                                load,
                                state,
                            });
                        }
                    }
                    Command::Cancel(ticket, attempt) => {
                        self.mail(ticket, Mail::Cancel(attempt));
                    }
                    Command::Answer(ticket, answer) => {
                        self.mail(ticket, Mail::Answer(answer));
                    }
                    Command::Over(ticket) => {
                        self.mail(ticket, Mail::Over);
                        self.boxes.remove(&ticket);
                    }
                    Command::Release { name, engine, address, new_connection } => {
                        let errand = Errand::Release(name, engine, address, new_connection);
                        if let Err(Errand::Release(name, engine, ..)) = self.ends.errands.send(errand) {
                            unsent.push(Input::Released(name, engine, false));
                        }
                    }
                    // Its releases are one state's each and harm no younger one.
                    Command::WithdrawReleases(_) => {}
                    // One that finds no room is not answered: nothing is known of the attempt then.
                    Command::ProbeConnection(ticket, attempt, _, address) => {
                        let _ = self.ends.errands.send(Errand::ConnectionProbe(ticket, attempt, address));
                    }
                    Command::HealthCheck(engine, address, slots) => {
                        let errand = Errand::Probe(engine.clone(), address, slots);
                        if self.ends.errands.send(errand).is_err() {
                            unsent.push(Input::HealthChecked(engine, false, None));
                        }
                    }
                    Command::ReloadEndpointList => {
                        let _ = self.ends.look.try_send(());
                    }
                    Command::QueryPeer(peer) => {
                        let _ = self.ends.ask.try_send(peer);
                    }
                    Command::RequestQuota(asks) => {
                        let _ = self.ends.shares.try_send(asks);
                    }
                    Command::PublishZoneReport(word, engines) => {
                        let _ = self.ends.zones.try_send((word, engines));
                    }
                    Command::PublishOutlierReport(report) => {
                        let _ = self.ends.testify.try_send(report);
                    }
                    Command::RecoveryStage(stage) => info!(?stage, "recovery"),
                    Command::Log(text) => info!("{text}"),
                    Command::Stopped => {
                        let _ = self.ends.stopped.try_send(());
                    }
                }
            }
            let now = self.shared.clock.now();
            for input in unsent {
                self.host.handle(now, input, &mut self.commands);
            }
        }
    }

    /// Mails a request's thread; `false` if it is gone. The box holds all that a request can have open.
    fn mail(&mut self, ticket: RequestNumber, mail: Mail) -> bool {
        let Some(mailbox) = self.boxes.get(&ticket) else { return false };
        let mailed = mailbox.mail.try_send(mail).is_ok();
        // Threads of a node that was killed end before the deciding one does.
        if !mailed && !self.shared.is_dead() {
            warn!(ticket, "mail for a request that nobody serves any more");
        }
        mailbox.waker.wake();
        mailed
    }
}

//! The keeper's thread: votes and the log go to disk before anything is said, and whoever leads lends
//! the limits' shares. Nobody on a request's way waits for it.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pintally::interface::Micros;
use pintally_config::ConsensusSettings;
use pintally_consensus::{Message, Output, Replica, ReplicaName, Write};
use pintally_quota::{LeaderGranter, LeaseRequest};
use pintally_storage::{Store, StoreSettings};
use pintally_transport::Waker;
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::fleet::{lock, storage_fault};
use crate::shared::Shared;

/// The key of a keeper's state on its disk, and of limits in the register.
const KEY: &str = "accord";
const LIMIT: &str = "limit/";
const ZONE: &str = "zone/";
/// A disk that takes longer for a vote is one that failed: the keeper says nothing.
const SAVE_WITHIN: Duration = Duration::from_secs(2);
/// A disk that has told nothing by then is lost.
const OPEN_WITHIN: Duration = Duration::from_secs(10);
/// How often it is told where the keeper stands.
const TELL_EVERY: Micros = 100_000;
/// Orders that wait for what becomes of them.
const MAX_ORDERS: usize = 64;

/// To the keeper.
pub(crate) enum ToReplica {
    /// Another keeper's message.
    From(ReplicaName, Vec<u8>),
    /// A holder asks for shares: its name, its life, what it asks for.
    Asks(String, u64, Vec<LeaseRequest>),
    /// People's order, and where the answer goes.
    OperatorCommand(OperatorCommand, Sender<Answer>),
}

/// From the keeper, to the fleet's thread.
pub(crate) enum FromReplica {
    /// A message for another keeper.
    To(ReplicaName, Vec<u8>),
    /// Grants for a holder of this name and life.
    Grants(String, u64, Vec<pintally_quota::LeaseGrant>),
    /// In which term it leads and lends, if it does.
    Leads(Option<u64>),
}

/// What people may order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum OperatorCommand {
    /// A limit is another from now on.
    Limit(String, f64),
    /// The keepers are these from now on: one more or one fewer than before.
    Keepers(Vec<String>),
    /// An engine is well, whatever was said of it.
    Clear(String),
    /// A zone is given up (`out`), left as it is (`hold`), or the program's again (empty).
    Zone(String, String),
    /// What the plan would be without a zone.
    Rehearse(String),
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Answer {
    pub(crate) done: bool,
    pub(crate) why: String,
}

impl Answer {
    pub(crate) fn no(why: impl Into<String>) -> Answer {
        Answer { done: false, why: why.into() }
    }
}

struct Running<'a> {
    shared: &'a Arc<Shared>,
    keeper: Replica,
    store: Option<Store>,
    /// What could not be made safe yet: until it is, nothing is said.
    unsaved: Option<Vec<u8>>,
    lending: Option<LeaderGranter>,
    out: Sender<FromReplica>,
    waker: Waker,
    orders: VecDeque<(u64, Sender<Answer>)>,
    number: u64,
    leads: Option<u64>,
    told_at: Micros,
}

/// Runs until the node ends.
pub(crate) fn run(
    shared: &Arc<Shared>,
    settings: &ConsensusSettings,
    seed: u64,
    mail: &Receiver<ToReplica>,
    (out, waker): (Sender<FromReplica>, Waker),
) {
    let recovery = shared.settings.recovery.as_ref();
    let folder = recovery.and_then(|r| r.store.as_ref()).map(|s| PathBuf::from(s).join("keeper"));
    let opened = folder.map(|folder| {
        Store::open(&StoreSettings {
            folder,
            every: Duration::from_millis(1),
            // Nobody waits for this thread. Guards against a disk that is slow at the start and taken for lost:
            // the keeper would have no vote until all others had answered.
            within: OPEN_WITHIN,
            storage_fault: recovery
                .and_then(|r| r.storage_fault.as_ref())
                .and_then(|(name, seed)| Some((storage_fault(name)?, *seed))),
        })
    });
    let (store, loaded) = opened.map_or((None, None), |(store, loaded)| (Some(store), Some(loaded)));
    let saved = loaded.as_ref().and_then(|l| l.get(KEY)).map(|r| r.payload.clone());
    for lack in loaded.iter().flat_map(|l| &l.issues) {
        warn!(%lack, "the keeper's disk lacks something: it is not believed");
    }
    let clean = loaded.as_ref().is_some_and(|l| l.issues.is_empty());
    let figures = settings.figures(&shared.settings.name);
    let keeper = Replica::new(figures, saved.as_deref(), clean, seed, shared.clock.now());
    let mut running = Running {
        shared,
        keeper,
        store,
        unsaved: None,
        lending: shared.settings.quotas.as_ref().map(|limits| {
            let known = limits.limits.iter().map(|l| (l.id(), l.limit()));
            LeaderGranter::new(limits.allocation, known.collect())
        }),
        out,
        waker,
        orders: VecDeque::new(),
        number: 0,
        leads: None,
        told_at: 0,
    };
    while !shared.is_dead() && !shared.is_closing() {
        let now = shared.clock.now();
        let wake = running.keeper.next_wake().min(now + TELL_EVERY);
        match mail.recv_deadline(shared.clock.instant(wake)) {
            Ok(one) => running.take(one),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        running.tick();
    }
}

impl Running<'_> {
    fn take(&mut self, one: ToReplica) {
        let now = self.shared.clock.now();
        let mut out = Vec::new();
        match one {
            ToReplica::From(from, bytes) => match postcard::from_bytes::<Message>(&bytes) {
                Ok(message) => self.keeper.receive(now, &from, message, &mut out),
                Err(_) => return,
            },
            ToReplica::Asks(name, life, asks) => return self.lend(&name, life, &asks),
            ToReplica::OperatorCommand(order, answer) => {
                self.number += 1;
                if self.orders.len() >= MAX_ORDERS {
                    self.orders.pop_front();
                }
                self.orders.push_back((self.number, answer));
                self.order(now, order, &mut out);
            }
        }
        self.carry_out(out);
    }

    fn order(&mut self, now: Micros, order: OperatorCommand, out: &mut Vec<Output>) {
        match order {
            // The fleet's thread takes it.
            OperatorCommand::Clear(_) | OperatorCommand::Rehearse(_) => {}
            OperatorCommand::Zone(zone, word) => self.order_zone(now, zone, word, out),
            OperatorCommand::Keepers(names) => {
                let names = names.iter().map(|n| ReplicaName::from(n.as_str())).collect();
                self.keeper.propose_replicas(now, self.number, names, out);
            }
            OperatorCommand::Limit(name, most) => {
                let known = self.shared.settings.quotas.iter().flat_map(|l| &l.limits);
                if !known.clone().any(|l| l.name == name) || !(0.0..=1e9).contains(&most) {
                    return self.answer(self.number, Answer::no(format!("there is no limit `{name}`")));
                }
                self.write(now, format!("{LIMIT}{name}"), most.to_string(), out);
            }
        }
    }

    fn order_zone(&mut self, now: Micros, zone: String, word: String, out: &mut Vec<Output>) {
        let map = self.shared.settings.failover.as_ref().map(|r| &r.policy.zones);
        if map.and_then(|m| m.zone(&zone)).is_none() || !["out", "hold", ""].contains(&word.as_str()) {
            return self.answer(self.number, Answer::no(format!("no zone of a region is named `{zone}`")));
        }
        self.write(now, format!("{ZONE}{zone}"), word, out);
    }

    fn write(&mut self, now: Micros, key: String, value: String, out: &mut Vec<Output>) {
        self.keeper.propose(now, self.number, Write { key, value: value.into(), expect: None }, out);
    }

    fn answer(&mut self, number: u64, answer: Answer) {
        if let Some(at) = self.orders.iter().position(|(n, _)| *n == number) {
            if let Some((_, to)) = self.orders.remove(at) {
                let _ = to.try_send(answer);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        let mut out = Vec::new();
        if self.keeper.next_wake() <= now {
            self.keeper.tick(now, &mut out);
        }
        self.carry_out(out);
        self.lead(now);
        if now >= self.told_at + TELL_EVERY {
            self.told_at = now;
            *lock(&self.shared.fleet.keeper) = Some(self.keeper.status(now));
            *lock(&self.shared.fleet.pools) = self.lending.as_ref().and_then(LeaderGranter::status);
        }
    }

    /// Begins to lend with a lead, and ends with it.
    fn lead(&mut self, now: Micros) {
        let leads = self.keeper.leadership(now).filter(|_| self.unsaved.is_none());
        let term = leads.map(|(term, _)| term);
        if self.lending.as_mut().is_some_and(|lending| lending.set_leadership(now, term)) {
            self.changed();
        }
        if term != self.leads {
            self.leads = term;
            match term {
                Some(term) => info!(term, "this node leads the keepers"),
                None => info!("this node leads the keepers no more"),
            }
            self.send(FromReplica::Leads(term));
        }
    }

    /// Limits as the register has them hold from now on.
    fn changed(&mut self) {
        let values = self.keeper.store().iter();
        let orders = values.filter_map(|(key, value)| {
            let word = String::from_utf8(value.bytes.clone()).ok()?;
            Some((key.strip_prefix(ZONE)?.to_string(), word))
        });
        *lock(&self.shared.fleet.zone_orders) = orders.collect();
        let Some(lending) = &mut self.lending else { return };
        let Some(limits) = &self.shared.settings.quotas else { return };
        for limit in &limits.limits {
            let told = self.keeper.store().get(&format!("{LIMIT}{}", limit.name));
            let most = told.and_then(|v| std::str::from_utf8(&v.bytes).ok()).and_then(|t| t.parse().ok());
            lending.set_limit_amount(limit.id(), most.unwrap_or(limit.limit));
        }
    }

    fn lend(&mut self, name: &str, life: u64, asks: &[LeaseRequest]) {
        // Guards against a keeper that was paused between its last look and this ask.
        let now = self.shared.clock.now();
        self.lead(now);
        let Some(lending) = &mut self.lending else { return };
        let grants = lending.grant(now, name, life, asks);
        if !grants.is_empty() {
            self.send(FromReplica::Grants(name.to_string(), life, grants));
        }
    }

    fn send(&self, one: FromReplica) {
        let _ = self.out.try_send(one);
        self.waker.wake();
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for one in out {
            if let Output::Save(bytes) = one {
                self.unsaved = Some(bytes);
                continue;
            }
            // Guards against a vote, or a confirmation, that a loss of power would undo.
            if !self.safe() {
                if let Output::ProposalApplied(number, _) = one {
                    self.answer(
                        number,
                        Answer::no("this keeper's disk does not take it: ask whether it was made"),
                    );
                }
                continue;
            }
            match one {
                Output::Save(_) => {}
                Output::Send(to, message) => {
                    if let Ok(bytes) = postcard::to_stdvec(&message) {
                        self.send(FromReplica::To(to, bytes));
                    }
                }
                Output::ProposalApplied(number, Ok(_)) => {
                    self.answer(number, Answer { done: true, why: "made".into() })
                }
                Output::ProposalApplied(number, Err(at)) => {
                    self.answer(number, Answer::no(format!("version {at} stands in its way")));
                }
                Output::ProposalRejected(number, why) => self.answer(number, Answer::no(why.to_string())),
                Output::Changed => self.changed(),
            }
        }
    }

    /// Whether all that was to be saved is safe.
    fn safe(&mut self) -> bool {
        let (Some(store), Some(bytes)) = (&self.store, &self.unsaved) else {
            self.unsaved = None;
            return true;
        };
        let before = store.health().commits;
        store.put(KEY, bytes.clone());
        let began = Instant::now();
        let done = store.flush(SAVE_WITHIN) && store.health().commits > before;
        if done {
            self.unsaved = None;
        } else {
            warn!(
                ms = began.elapsed().as_millis() as u64,
                "a keeper's vote cannot be made safe: it says nothing"
            );
        }
        done
    }
}

#[cfg(test)]
mod tests;

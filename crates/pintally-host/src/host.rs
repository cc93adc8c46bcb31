//! The host: inputs to events of the core, actions of the core to commands.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{
    Action, EndpointState, EngineId, Event, Idempotency, Micros, Request, RequestId, Role,
};
use pintally::Router;
use pintally_cells::{CellName, Cells};
use pintally_config::NodeSettings;
use pintally_guards::{may_start, Denial, Denials, EngineFacts};

use crate::input::{
    Command, EngineEndpoint, FinalAnswer, IncomingRequest, Input, ReleaseScope, RequestNumber,
};
use crate::judged::Judging;
use crate::ledger::Entry;
use crate::left::OrphanedReservation;
use crate::limits::Limiting;
use crate::recover::Recovering;
use crate::refusal::{RefusalReason, Refusals};
use crate::regional::Regional;
use crate::release_retries::ReleaseRetries;
use crate::release_scheduler::ReleaseScheduler;
use crate::timers::{TimerEvent, TimerKey, Timers};
use crate::Counters;

/// What the host knows of an engine.
pub(crate) struct Place {
    pub(crate) address: SocketAddr,
    pub(crate) role: Role,
    pub(crate) slots: u64,
    pub(crate) listing: EndpointState,
    pub(crate) zone: Arc<str>,
    pub(crate) rack: u64,
}

impl Place {
    pub(crate) fn facts(&self) -> EngineFacts<'_> {
        EngineFacts { listing: self.listing, role: self.role, zone: &self.zone, rack: self.rack }
    }
}

/// Owns a router, and answers for what its actions become.
pub struct Host {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) routers: BTreeMap<CellName, Router>,
    /// The cells; without a file of them there is one, which has no name and every engine.
    pub(crate) cells: Option<Cells>,
    pub(crate) members: BTreeMap<EngineId, EngineEndpoint>,
    /// The fleet has changed since it was last asked.
    pub(crate) fleet_changed: bool,
    /// The engines that each cell's core was last told of, and when they started: all that time alone
    /// can change of them.
    pub(crate) handed: BTreeMap<CellName, Vec<(EngineId, Option<Micros>)>>,
    /// Something has gone wrong since cells were last looked at.
    pub(crate) uneasy: bool,
    /// The time of the last input.
    pub(crate) now: Micros,
    /// A timer for cells is out.
    pub(crate) cells_due: Option<TimerKey>,
    pub(crate) seed: u64,
    /// Begins the names of this start's requests.
    stamp: String,
    pub(crate) places: BTreeMap<EngineId, Place>,
    pub(crate) entries: BTreeMap<RequestNumber, Entry>,
    pub(crate) by_id: HashMap<RequestId, RequestNumber>,
    pub(crate) release_retries: ReleaseRetries,
    pub(crate) release_scheduler: ReleaseScheduler,
    pub(crate) scope: ReleaseScope,
    pub(crate) timers: Timers,
    /// Events that the host itself owes the core.
    pub(crate) owed: VecDeque<(CellName, Event)>,
    /// Requests that the current input has touched.
    pub(crate) touched: Vec<RequestNumber>,
    actions: Vec<Action>,
    stopping: bool,
    pub(crate) stopped: bool,
    /// The way back to service after a start, if there is one.
    pub(crate) recovering: Option<Recovering>,
    /// Limits of the whole fleet, if there are any.
    pub(crate) limiting: Option<Limiting>,
    /// Verdicts of the whole fleet on engines, if there are any.
    pub(crate) judging: Option<Judging>,
    /// Zones with a core each, if there are any.
    pub(crate) regional: Option<Regional>,
    /// Read states that a life before has left and that are still to be let go.
    pub(crate) left_before: Vec<OrphanedReservation>,
    /// The list that holds has come from its source in this life.
    pub(crate) list_fresh: bool,
    pub(crate) counters: Counters,
    denials: Denials,
    withheld: Denials,
    pub(crate) refusals: Refusals,
}

impl Host {
    /// A host that knows its settings and nothing of the fleet.
    pub fn new(settings: Arc<NodeSettings>, seed: u64) -> Host {
        Host {
            routers: BTreeMap::new(),
            cells: None,
            members: BTreeMap::new(),
            fleet_changed: true,
            handed: BTreeMap::new(),
            uneasy: false,
            now: 0,
            cells_due: None,
            seed,
            stamp: format!("{}-{:08x}", settings.name, seed as u32),
            release_scheduler: ReleaseScheduler::new(settings.core.release_deadline),
            settings,
            places: BTreeMap::new(),
            entries: BTreeMap::new(),
            by_id: HashMap::new(),
            release_retries: ReleaseRetries::default(),
            scope: ReleaseScope::default(),
            timers: Timers::default(),
            owed: VecDeque::new(),
            touched: Vec::new(),
            actions: Vec::new(),
            stopping: false,
            stopped: false,
            recovering: None,
            limiting: None,
            judging: None,
            regional: None,
            left_before: Vec::new(),
            list_fresh: false,
            counters: Counters::default(),
            denials: Denials::default(),
            withheld: Denials::default(),
            refusals: Refusals::default(),
        }
    }

    /// The same host where one release lets go of so much.
    pub fn with_scope(mut self, scope: ReleaseScope) -> Host {
        self.scope = scope;
        self
    }

    /// Whether a request of this name has its answer or its last attempt outstanding.
    pub fn knows(&self, name: &RequestId) -> bool {
        self.by_id.contains_key(name)
    }

    /// What it has counted.
    pub fn counters(&self) -> Counters {
        Counters { routed_to_other_zone: self.routed_to_other_zone(), ..self.counters }
    }

    /// What cores wanted and the rules did not permit: each is an error of ours.
    pub fn denials(&self) -> &Denials {
        &self.denials
    }

    /// Refusals, by reason.
    pub fn rejections(&self) -> &Refusals {
        &self.refusals
    }

    /// Attempts that were sent and not started, as the rules did not permit it any more when their connections
    /// came up. That is no error.
    pub fn withheld(&self) -> &Denials {
        &self.withheld
    }

    /// Whether the attempt of a request that is out may still start now, as when its connection has come up
    /// late; a denial is counted as withheld.
    pub fn may_start(&mut self, now: Micros, ticket: RequestNumber) -> Result<(), Denial> {
        let entry = self.entries.get(&ticket);
        let out = entry.and_then(|e| e.out.as_ref().map(|out| (e, out)));
        let Some((entry, out)) = out else { return Err(Denial::RequestOver) };
        let place = self.places.get(&out.engine).ok_or(Denial::EngineNotServing);
        let most = self.settings.core.max_attempts;
        let permit = place.and_then(|place| may_start(now, &entry.facts(most), &place.facts()));
        permit.inspect_err(|denial| self.withheld.add(*denial))
    }

    /// Counts and tells what the rules did not permit.
    pub(crate) fn deny(&mut self, id: &RequestId, what: &str, denial: Denial, out: &mut Vec<Command>) {
        self.denials.add(denial);
        out.push(Command::Log(format!("request {}: {what} is not permitted: {denial}", id.0)));
    }

    /// Requests whose answer or last attempt is outstanding.
    pub fn open_requests(&self) -> usize {
        self.entries.len()
    }

    /// Whether engines or cells may stand otherwise than when this was last asked.
    pub fn take_fleet_change(&mut self) -> bool {
        std::mem::take(&mut self.fleet_changed)
    }

    /// What the list says of an engine, if it knows it.
    pub fn listing(&self, engine: &EngineId) -> Option<EndpointState> {
        self.places.get(engine).map(|p| p.listing)
    }

    /// Where the engines that it knows listen.
    pub fn addresses(&self) -> std::collections::HashSet<SocketAddr> {
        self.places.values().map(|p| p.address).collect()
    }

    /// What its cores believe of the engines that they know.
    pub fn engine_estimates(&self, now: Micros) -> Vec<pintally::EngineEstimate> {
        self.routers.values().flat_map(|r| r.engine_estimates(now)).collect()
    }

    /// What its cores believe of the way of requests as a whole.
    pub fn admission_estimates(&self) -> Vec<pintally::AdmissionEstimate> {
        self.routers.values().map(pintally::Router::admission_estimate).collect()
    }

    /// Engines that take work, by the list.
    pub fn serving(&self) -> usize {
        self.places.values().filter(|p| p.listing == EndpointState::Serving).count()
    }

    /// Whether a name is one of this life's own requests.
    pub(crate) fn names_own(&self, name: &RequestId) -> bool {
        name.0.strip_prefix(&self.stamp).is_some_and(|rest| rest.starts_with('-'))
    }

    /// Timers set and releases not yet heard, for audits of what it holds.
    pub fn open(&self) -> (usize, usize) {
        (self.timers.len(), self.release_retries.len() + self.release_scheduler.len())
    }

    /// ReleaseRetries for which an engine's word is still expected.
    fn expected(&self) -> usize {
        self.release_retries.awaiting_acknowledgement() + self.release_scheduler.awaiting_acknowledgement()
    }

    /// When [`Host::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next_expiry()
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.now = now;
        while let Some(due) = self.timers.pop_expired(now) {
            match due {
                TimerEvent::Core(cell, timer) => self.event(now, &cell, Event::TimerFired(timer), out),
                TimerEvent::CellAssignment => self.cells_due(now, out),
                TimerEvent::AnswerOverdue(ticket) => self.overdue(now, ticket, out),
                TimerEvent::ReservationRelease(id, engine) => self.release_again(id, engine, out),
                TimerEvent::ReservationDeadline(ticket) => self.guard_due(ticket, out),
                TimerEvent::RequestRelease(id) => self.call(id, out),
                TimerEvent::Recovery => self.recovery_due(now, out),
                TimerEvent::QuotaRequest => self.shares_due(now, out),
                TimerEvent::OutlierEvaluation => self.verdicts_due(now, out),
                TimerEvent::ZoneReport => self.regions_due(now, out),
                TimerEvent::ShutdownTimeout => self.give_up_all(now, out),
            }
            self.settle(out);
        }
    }

    /// Takes in one input and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        self.now = now;
        match input {
            Input::EndpointList(form, members) => {
                self.list(now, form, members, out);
                self.relist();
                self.recount(now, out);
                self.let_go_of_left(out);
            }
            Input::EndpointListConfirmed => {
                if !std::mem::replace(&mut self.list_fresh, true) {
                    self.recount(now, out);
                    self.let_go_of_left(out);
                }
            }
            Input::Recovery(heard) => self.recover(now, heard, out),
            Input::ReservationsInherited(left) => self.inherit(left, out),
            Input::QuotaGranted(grants) => self.granted(now, &grants),
            Input::OutlierReport(from, report) => self.evidence(now, &from, &report),
            Input::PeersChanged(nodes) => self.nodes_here(nodes),
            Input::EngineCleared(engine) => self.cleared(now, &engine),
            Input::FailoverPlan(bytes) => self.planned(now, &bytes),
            Input::Cells(file) => self.take_cells(now, *file, out),
            Input::RequestArrived(arrival) => self.arrived(now, arrival, out),
            Input::DeliveryConfirmed(ticket, attempt) => {
                let entry = self.entries.get_mut(&ticket).filter(|e| e.has_out(attempt));
                if let Some(entry) = entry {
                    entry.seen_at_engine(now);
                    self.touched.push(ticket);
                }
            }
            Input::FirstToken(ticket, attempt) => self.first_token(now, ticket, attempt, out),
            Input::AttemptEnded { ticket, attempt, outcome, cached_tokens: kept, load, state } => {
                self.ended(now, ticket, attempt, outcome, (kept, load, state), out)
            }
            Input::ClientLeft(ticket) => self.left(now, ticket, out),
            Input::HealthChecked(engine, answered, load) => {
                if answered {
                    self.saw(&engine, true);
                }
                if let Some(cells) = self.cells.as_mut().filter(|_| answered) {
                    cells.reached(now, &engine);
                }
                // Whoever has the engine has asked; a second cell hears of it in vain.
                for cell in self.routers.keys().cloned().collect::<Vec<_>>() {
                    self.event(now, &cell, Event::HealthChecked(engine.clone(), answered, load), out);
                }
            }
            Input::Released(id, engine, heard) => self.released(id, engine, heard, out),
            Input::Stop => {
                if !self.stopping {
                    self.stopping = true;
                    self.timers.set(
                        now.saturating_add(self.settings.limits.shutdown_timeout),
                        TimerEvent::ShutdownTimeout,
                    );
                }
            }
        }
        self.settle(out);
    }

    /// Hands a cell's core an event and carries out its actions, and what they in turn owe the cores.
    pub(crate) fn event(&mut self, now: Micros, cell: &CellName, event: Event, out: &mut Vec<Command>) {
        let mut next = Some((cell.clone(), event));
        while let Some((cell, event)) = next {
            let mut actions = std::mem::take(&mut self.actions);
            if let Some(router) = self.routers.get_mut(&cell) {
                router.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.action(now, &cell, action, out);
            }
            self.actions = actions;
            next = self.owed.pop_front();
        }
    }

    fn action(&mut self, now: Micros, cell: &CellName, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send(id, engine, timeout) => self.send(now, cell, id, engine, timeout, out),
            Action::Reject(id, after) => self.answer(&id, FinalAnswer::Rejected(after), out),
            Action::Fail(id) => self.answer(&id, FinalAnswer::Failed, out),
            Action::Cancel(id, attempt) => {
                let Some(&ticket) = self.by_id.get(&id) else { return };
                let entry = self.entries.get(&ticket);
                if entry.and_then(|e| e.out.as_ref()).is_some_and(|o| o.attempt == attempt && !o.started) {
                    out.push(Command::Cancel(ticket, attempt));
                }
            }
            Action::Release(id) => self.release(&id, out),
            Action::HealthCheck(engine) => match self.places.get(&engine) {
                Some(place) => out.push(Command::HealthCheck(engine, place.address, place.slots)),
                None => self.owed.push_back((cell.clone(), Event::HealthChecked(engine, false, None))),
            },
            Action::SetTimer(timer, after) => {
                self.timers.set(now.saturating_add(after), TimerEvent::Core(cell.clone(), timer));
            }
            Action::Subscribe => out.push(Command::ReloadEndpointList),
            Action::Log(text) if cell.0.is_empty() => out.push(Command::Log(text)),
            Action::Log(text) => out.push(Command::Log(format!("cell {cell}: {text}"))),
        }
    }

    // ---- the fleet ----

    // ---- requests ----

    fn arrived(&mut self, now: Micros, arrival: IncomingRequest, out: &mut Vec<Command>) {
        self.counters.accepted += 1;
        let limits = &self.settings.limits;
        let class = arrival.class.and_then(|c| self.settings.classes.get(c));
        let usual = match class {
            Some(class) => class.default_client_timeout,
            // A class that nobody named waits as long as the least patient one.
            None => self.settings.classes.iter().map(|c| c.default_client_timeout).min().unwrap_or(1_000_000),
        };
        let max_tokens = arrival.max_tokens.unwrap_or(class.map_or(256, |c| c.max_tokens));
        let patience = arrival.client_timeout.map_or(usual, |own| own.min(usual));
        let left = patience.saturating_sub(limits.answer_margin);
        let full = self.cells.is_none() && self.entries.len() >= limits.max_open_requests;
        let reason = match (self.stopping, left, full) {
            (true, ..) => Some(RefusalReason::Stopping),
            (_, 0, _) => Some(RefusalReason::NoTimeLeft),
            (.., true) => Some(RefusalReason::TooManyHeld),
            _ => None,
        };
        if let Some(reason) = reason {
            return self.turn_away(arrival.ticket, reason, None, out);
        }
        if self.entries.contains_key(&arrival.ticket) {
            self.counters.unmatched_inputs += 1;
            return;
        }
        let margin = limits.answer_margin;
        if let Some(after) = self.kept_out(now, &arrival) {
            self.counters.rejected_during_recovery += 1;
            return self.turn_away(arrival.ticket, RefusalReason::Recovering, after, out);
        }
        let costs = match self.costs(now, &arrival, max_tokens) {
            Ok(costs) => costs,
            Err(after) => {
                self.counters.rejected_over_quota += 1;
                return self.turn_away(arrival.ticket, RefusalReason::OverLimit, after, out);
            }
        };
        let session = arrival.session.unwrap_or(arrival.ticket | 1 << 52);
        let Some(cell) = self.cell_for(now, &arrival, session, out) else { return };
        let own = || RequestId(format!("{}-{}", self.stamp, arrival.ticket).into());
        let id = arrival.name.clone().unwrap_or_else(own);
        // Guards against two requests of one name: the first would never be ended.
        if self.by_id.contains_key(&id) {
            self.counters.unmatched_inputs += 1;
            return self.turn_away(arrival.ticket, RefusalReason::NameInUse, None, out);
        }
        let counted = self.charge(now, &costs);
        // The core answers by the deadline; the guard stands behind it, before the client gives up.
        let deadline = now.saturating_add(left);
        let guard = self.timers.set(deadline + margin / 2, TimerEvent::AnswerOverdue(arrival.ticket));
        let aims = arrival.class.and_then(|c| self.settings.core.classes.get(c));
        let aim = aims.map_or(left, |c| {
            c.latency_objective + c.latency_objective_per_1000_tokens * arrival.prompt_tokens / 1000
        });
        let entry = Entry {
            id: id.clone(),
            cell: cell.clone(),
            tenant: arrival.tenant,
            // A class that nobody named must not run twice.
            effect: aims.map_or(Idempotency::NotIdempotent, |class| class.effect),
            may_have_run: None,
            bytes: arrival.bytes,
            aim: now.saturating_add(aim),
            heard: false,
            streamed: arrival.streamed,
            max_tokens,
            deadline,
            guard,
            attempts: 0,
            out: None,
            held: Vec::new(),
            since: now,
            gone: false,
            let_go: None,
            lost: false,
            over: false,
            failed: false,
            counted,
        };
        self.entries.insert(arrival.ticket, entry);
        self.by_id.insert(id.clone(), arrival.ticket);
        self.touched.push(arrival.ticket);
        let request = Request {
            id,
            class: arrival.class,
            tenant: arrival.tenant,
            session,
            prefix: arrival.prefix,
            prompt_tokens: arrival.prompt_tokens,
            prefix_tokens: arrival.prefix_tokens.min(arrival.prompt_tokens),
            max_tokens,
            client_timeout: left,
            resumed: arrival.resumed,
        };
        self.event(now, &cell, Event::RequestArrived(request), out);
    }

    fn left(&mut self, now: Micros, ticket: RequestNumber, out: &mut Vec<Command>) {
        let Some(entry) = self.entries.get_mut(&ticket).filter(|e| !e.over) else {
            self.counters.unmatched_inputs += 1;
            return;
        };
        self.touched.push(ticket);
        entry.over = true;
        self.counters.clients_left += 1;
        let (id, cell) = (entry.id.clone(), entry.cell.clone());
        self.timers.cancel(entry.guard);
        self.event(now, &cell, Event::ClientLeft(id), out);
    }

    // ---- bookkeeping ----

    /// Drops what is finished, and sees to it that nothing of it is left pinned.
    fn settle(&mut self, out: &mut Vec<Command>) {
        for ticket in std::mem::take(&mut self.touched) {
            if !self.entries.get(&ticket).is_some_and(Entry::finished) {
                self.watch_held(ticket);
                continue;
            }
            let Some(mut entry) = self.entries.remove(&ticket) else { continue };
            self.by_id.remove(&entry.id);
            if let Some(cells) = &mut self.cells {
                let tenant = entry.tenant.and_then(|t| self.settings.core.tenants.get(t));
                cells.give_back(&entry.cell, tenant.map(|t| t.name.as_str()), entry.bytes);
            }
            self.timers.cancel(entry.guard);
            self.give_back(self.now, &std::mem::take(&mut entry.counted));
            out.push(Command::Over(ticket));
            self.release_left(entry, out);
        }
        if std::mem::take(&mut self.uneasy) {
            self.watch_cells(self.now);
        }
        if self.stopping && !self.stopped && self.entries.is_empty() && self.expected() == 0 {
            self.stopped = true;
            out.push(Command::Stopped);
        }
    }
}

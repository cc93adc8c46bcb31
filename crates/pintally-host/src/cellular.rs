//! The host's cells: one core for each, the engines that each has, and where requests go.

use pintally::interface::{EndpointState, EngineId, Event, ListUpdate, Micros, Role};
use pintally::Router;
use pintally_cells::{
    AdmissionRequest, CellAdmission, CellName, CellStatus, Cells, CellsFile, EngineAssignment,
};

use crate::host::{Host, Place};
use crate::input::{Command, EngineEndpoint, FinalAnswer, IncomingRequest, RequestNumber};
use crate::refusal::RefusalReason;
use crate::timers::Due;

/// Whoever comes before any file of cells is known is told to come back after this time.
const UNKNOWN: Micros = 1_000_000;

impl Host {
    /// Where each cell stands.
    pub fn cells_status(&self) -> Vec<CellStatus> {
        self.cells.as_ref().map(|c| c.status(self.now)).unwrap_or_default()
    }

    /// Tenants on the move, the share of their sessions that this node has let go, and whether it
    /// holds the others back.
    pub fn moves_status(&self, unix_ms: u64) -> Vec<(String, f64, bool)> {
        let Some(cells) = &self.cells else { return Vec::new() };
        let status = |(tenant, share)| {
            let held = cells.paused_moves().contains(&tenant);
            (tenant, share, held)
        };
        cells.moves(unix_ms).into_iter().map(status).collect()
    }

    /// The cell's requests hear how one of them fared: its answer has begun, or never will.
    pub(crate) fn hear(&mut self, now: Micros, cell: &CellName, late: bool) {
        if late {
            self.zone_late(now, cell);
        }
        if let Some(cells) = &mut self.cells {
            cells.record_response(now, cell, late);
            self.uneasy |= late;
        }
    }

    /// Whether the settings name a file of cells: without one, one cell without a name has all.
    fn divided(&self) -> bool {
        self.settings.cells_file.is_some()
    }

    /// Makes sure that a cell has a core. Each begins with a seed of its own.
    pub(crate) fn core_of(&mut self, cell: &CellName) {
        if !self.routers.contains_key(cell) {
            let own =
                cell.0.bytes().fold(self.seed, |seed, b| (seed ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
            let seed = if cell.0.is_empty() { self.seed } else { own };
            self.routers.insert(cell.clone(), Router::new(self.settings.core.clone(), seed));
        }
    }

    pub(crate) fn list(
        &mut self,
        now: Micros,
        form: ListUpdate,
        list: Vec<EngineEndpoint>,
        out: &mut Vec<Command>,
    ) {
        self.fleet_changed = true;
        if form == ListUpdate::Full {
            self.places.values_mut().for_each(|p| p.listing = EndpointState::Gone);
            self.members.clear();
        }
        let mut list = list;
        for one in &mut list {
            one.endpoint.started = self.started(one.endpoint.started);
        }
        for one in &list {
            let core = &self.settings.core;
            let member = &one.endpoint;
            let Some(kind) = core.kinds.iter().position(|k| k.name == member.kind) else {
                out.push(Command::Log(format!(
                    "engine {} is of the unknown kind `{}` and is left out",
                    member.engine.0, member.kind
                )));
                continue;
            };
            let place = Place {
                address: one.address,
                role: core.kinds[kind].role,
                slots: self.settings.slots.get(kind).copied().unwrap_or(0),
                listing: member.state,
                zone: member.zone.as_str().into(),
                rack: member.rack,
            };
            self.places.insert(member.engine.clone(), place);
            self.members.insert(member.engine.clone(), one.clone());
        }
        if !self.divided() {
            self.list_to_cores(now, form, list, out);
        } else if form != ListUpdate::Failed {
            self.list_to_cells(now, out);
        }
        // An engine that has left the list may still run and hold something of this node.
        if self.places.values().any(|p| p.listing == EndpointState::Gone) {
            let used = self.engines_in_use();
            self.places.retain(|engine, p| p.listing != EndpointState::Gone || used.contains(engine));
            let places = &self.places;
            self.members.retain(|engine, _| places.contains_key(engine));
            self.letting.retain(|engine| places.contains_key(engine));
        }
    }

    fn list_to_cells(&mut self, now: Micros, out: &mut Vec<Command>) {
        let places = &self.places;
        let role = |e: &EngineId| places.get(e).map_or(Role::Reader, |p| p.role);
        let listed = self.members.values();
        let all = listed.map(|l| (l.endpoint.clone(), role(&l.endpoint.engine), l.cell.clone())).collect();
        let Some(cells) = &mut self.cells else { return };
        let spread = cells.set_engines(now, all);
        self.hand_out(now, spread, true, out);
    }

    /// A version of the cells file has come.
    pub(crate) fn take_cells(&mut self, now: Micros, file: CellsFile, out: &mut Vec<Command>) {
        let version = file.version;
        match &mut self.cells {
            None => {
                let limits = &self.settings.limits;
                let (places, room) = (limits.max_open_requests, limits.max_total_body_bytes);
                self.cells = Some(Cells::new(file, places, room, &self.settings.core));
                self.list_to_cells(now, out);
            }
            Some(cells) => match cells.replace_file(now, file) {
                Ok(spread) => self.hand_out(now, spread, true, out),
                Err(why) => {
                    out.push(Command::Log(format!(
                        "version {version} of the cells file does not hold: {why}"
                    )));
                }
            },
        }
    }

    /// Time alone may have changed something.
    pub(crate) fn cells_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.cells_due = None;
        if let Some(cells) = &mut self.cells {
            let spread = cells.reassign(now);
            self.hand_out(now, spread, false, out);
        }
    }

    /// Gives each cell's core its engines. A cell that is no more keeps none; its core ends what it
    /// has in hand. Where only time has passed a core hears of what has changed, and of nothing else.
    fn hand_out(&mut self, now: Micros, spread: EngineAssignment, all: bool, out: &mut Vec<Command>) {
        self.fleet_changed = true;
        out.extend(spread.notes.into_iter().map(Command::Log));
        for cell in spread.cells.keys() {
            self.core_of(cell);
        }
        for cell in self.routers.keys().cloned().collect::<Vec<_>>() {
            let members = spread.cells.get(&cell).cloned().unwrap_or_default();
            let shape = members.iter().map(|m| (m.engine.clone(), m.started)).collect();
            let before = self.handed.insert(cell.clone(), shape);
            if !all && before.as_ref() == self.handed.get(&cell) {
                continue;
            }
            self.event(now, &cell, Event::EndpointList(ListUpdate::Full, members), out);
        }
        self.watch_cells(now);
    }

    /// Sees to it that cells are looked at when time alone may change something.
    pub(crate) fn watch_cells(&mut self, now: Micros) {
        let Some(at) = self.cells.as_ref().and_then(|c| c.next_change(now)) else { return };
        let at = at.max(now + 1);
        if let Some(set) = self.cells_due {
            if set.0 <= at {
                return;
            }
            self.timers.unset(set);
        }
        self.cells_due = Some(self.timers.set(at, Due::Cells));
    }

    /// The cell for a request, with a place in it; `None` if it was turned away.
    pub(crate) fn cell_for(
        &mut self,
        now: Micros,
        arrival: &IncomingRequest,
        session: u64,
        out: &mut Vec<Command>,
    ) -> Option<CellName> {
        match self.zone_for(now, arrival, session) {
            Some(Ok(zone)) => return Some(zone),
            Some(Err(after)) => {
                let core = &self.settings.core;
                let told = core.clients_honour_retry_after && core.max_retry_after > 0;
                self.counters.rejected_no_zone += 1;
                let after = told.then(|| after.min(core.max_retry_after));
                self.turn_away(arrival.ticket, RefusalReason::NoPlace, after, out);
                return None;
            }
            None => {}
        }
        if !self.divided() {
            let whole = CellName::default();
            self.core_of(&whole);
            return Some(whole);
        }
        let tenant = arrival.tenant.and_then(|t| self.settings.core.tenants.get(t)).map(|t| t.name.as_str());
        let Some(cells) = &mut self.cells else {
            // Without the file nobody knows whose engine is whose: better nobody than everybody.
            self.turn_away(arrival.ticket, RefusalReason::NoPlace, Some(UNKNOWN), out);
            return None;
        };
        let ask = AdmissionRequest { tenant, session, class: arrival.class, bytes: arrival.bytes };
        match cells.admit(now, ask, arrival.unix_ms) {
            CellAdmission::Admit(cell) => Some(cell),
            CellAdmission::Displace { cell, displaced: other } => {
                self.give_way(now, &other, out);
                Some(cell)
            }
            CellAdmission::Reject { retry_after_ms: after_ms, .. } => {
                self.counters.rejected_by_cell += 1;
                self.turn_away(arrival.ticket, RefusalReason::NoPlace, Some(after_ms * 1000), out);
                None
            }
        }
    }

    /// The youngest request that waits unsent, of the heaviest tenant of a cell, gives up its place.
    /// Where all of them are under way none does: what has cost work is not thrown away.
    fn give_way(&mut self, now: Micros, cell: &CellName, out: &mut Vec<Command>) {
        let Some(heaviest) = self.cells.as_ref().and_then(|c| c.heaviest_tenant(cell)) else { return };
        let tenants = &self.settings.core.tenants;
        let named = |t: Option<usize>| t.and_then(|t| tenants.get(t)).map(|t| t.name.clone());
        let waits = |e: &crate::ledger::Entry| {
            e.cell == *cell && !e.over && e.attempts == 0 && e.out.is_none() && named(e.tenant) == heaviest
        };
        let youngest: Option<(RequestNumber, _)> =
            self.entries.iter().rev().find(|(_, e)| waits(e)).map(|(t, e)| (*t, e.id.clone()));
        let Some((ticket, id)) = youngest else { return };
        self.counters.preempted_while_queued += 1;
        self.touched.push(ticket);
        self.answer(&id, FinalAnswer::Rejected(Some(UNKNOWN)), out);
        self.event(now, cell, Event::ClientLeft(id), out);
    }
}

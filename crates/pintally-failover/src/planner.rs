//! The leader's part: words of all nodes become a plan.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::flow::{place, FlowAssignment};
use crate::local::ZoneReport;
use crate::map::Settings;
use crate::plan::FailoverPlan;
use crate::zone_state::{Way, ZoneHealth};
use crate::Micros;

/// Words older than this count for nothing.
const WORD_LASTS: Micros = 3_000_000;
/// From this part of failures on a zone is failing, and from this on grey; the same of lateness.
const FAILING: f64 = 0.5;
const GREY: f64 = 0.05;
const LATE: f64 = 0.5;
/// Fewer requests than this say nothing of a zone.
const ENOUGH: f64 = 4.0;
/// Parts of a plan change only by more than this, of 255, so that noise moves nothing.
const STILL: i32 = 10;

/// What people order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOrder {
    /// Give it up, and leave it so.
    Evacuate,
    /// Leave it as it is, whatever the program wants.
    Hold,
}

/// Of all attempts at a zone that nodes saw lately: how many, which part failed, which was late.
#[derive(Clone, Copy, Debug)]
struct Seen {
    all: f64,
    failed: f64,
    late: f64,
}

#[derive(Clone, Debug)]
struct Told {
    zone: usize,
    at: Micros,
    word: ZoneReport,
}

/// One zone, for people.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// Its name.
    pub zone: String,
    /// What is known of it.
    pub known: ZoneHealth,
    /// Nodes of it that are here.
    pub nodes: usize,
    /// What it carries a second if all is well, as far as it is in use, and what comes there.
    pub room: f64,
    /// How much of its room is in use.
    pub open: f64,
    /// Requests a second that clients bring there.
    pub offered: f64,
    /// What it serves of others' by the plan.
    pub takes: f64,
    /// The part of attempts there that fail, as all nodes see it.
    pub failing: f64,
    /// Why it stands so.
    pub why: String,
    /// How often it was given up or came a step back.
    pub moves: u64,
}

/// All zones and the plan, for people.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// By zone.
    pub zones: Vec<ZoneStatus>,
    /// By zone: where its requests go, in parts of one.
    pub goes: Vec<Vec<(String, f64)>>,
    /// Requests a second for which there is no room anywhere.
    pub refused: f64,
}

/// The leader's planner. A new leader begins with a new one, from the latest plan that it knows.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    term: u64,
    number: u64,
    told: BTreeMap<String, Told>,
    here: Vec<usize>,
    engines: Vec<f64>,
    ways: Vec<Way>,
    orders: Vec<Option<OperatorOrder>>,
    rows: Vec<Vec<(u8, u8)>>,
    status: Status,
    since: Micros,
}

impl Planner {
    /// A planner of a lead that began now.
    pub fn new(settings: Settings, term: u64, before: Option<&FailoverPlan>, now: Micros) -> Planner {
        let zones = settings.zones.zones.len();
        let way = |zone: usize| match before.and_then(|p| p.open.get(zone)) {
            Some(open) => Way::resume(now, *open, &settings),
            None => Way::new(now, &settings),
        };
        Planner {
            ways: (0..zones).map(way).collect(),
            rows: before.map_or_else(|| vec![Vec::new(); zones], |p| p.rows.clone()),
            settings,
            term,
            // Guards against a lead that lapses and goes on in its term: plans that count anew would be taken
            // for old ones.
            number: before.filter(|p| p.term == term).map_or(0, |p| p.number),
            told: BTreeMap::new(),
            here: vec![0; zones],
            engines: vec![0.0; zones],
            orders: vec![None; zones],
            status: Status::default(),
            since: now,
        }
    }

    /// A node has told what it sees. It is in this zone.
    pub fn receive_report(&mut self, now: Micros, name: &str, zone: usize, word: ZoneReport) {
        if zone < self.here.len() && (self.told.len() < 4096 || self.told.contains_key(name)) {
            self.told.insert(name.to_string(), Told { zone, at: now, word });
        }
    }

    /// How many nodes of each zone are here, and how many engines the list has there.
    pub fn update_zones(&mut self, here: &[usize], engines: &[f64]) {
        self.here.iter_mut().zip(here).for_each(|(h, n)| *h = *n);
        self.engines.iter_mut().zip(engines).for_each(|(e, n)| *e = *n);
    }

    /// What people order for a zone; none lets the program decide.
    pub fn order(&mut self, zone: usize, order: Option<OperatorOrder>) {
        if let Some(known) = self.orders.get_mut(zone) {
            *known = order;
        }
    }

    fn seen(&self, zone: usize) -> Seen {
        let (mut all, mut failed, mut late) = (0.0, 0.0, 0.0);
        for told in self.told.values() {
            let Some((ended, fails, lates)) = told.word.zones.get(zone) else { continue };
            let ended = f64::from(*ended);
            all += ended;
            failed += ended * f64::from(*fails) / 255.0;
            late += ended * f64::from(*lates) / 255.0;
        }
        Seen { all, failed: failed / all.max(1e-9), late: late / all.max(1e-9) }
    }

    fn known(&self, zone: usize, seen: &Seen) -> ZoneHealth {
        let Seen { all, failed, late } = *seen;
        let here = self.here[zone] > 0;
        match (here, all >= ENOUGH) {
            (false, true) if failed >= FAILING => ZoneHealth::Gone,
            (true, true) if failed >= FAILING => ZoneHealth::Failing,
            (_, true) if failed >= GREY || late >= LATE => ZoneHealth::Grey,
            (_, true) | (true, false) => ZoneHealth::Alive,
            (false, false) => ZoneHealth::Unknown,
        }
    }

    /// Makes the next plan.
    pub fn plan(&mut self, now: Micros) -> FailoverPlan {
        self.told.retain(|_, t| now.saturating_sub(t.at) <= WORD_LASTS);
        let zones = self.here.len();
        let seen: Vec<Seen> = (0..zones).map(|z| self.seen(z)).collect();
        let known: Vec<ZoneHealth> = (0..zones).map(|z| self.known(z, &seen[z])).collect();
        for (zone, known) in known.iter().enumerate() {
            match self.orders[zone] {
                Some(OperatorOrder::Evacuate) => self.ways[zone].put_out(now),
                Some(OperatorOrder::Hold) => {}
                // A new lead hears the words first.
                None if now < self.since + self.settings.failure_grace => {}
                None => {
                    let late = seen[zone].late >= LATE;
                    self.ways[zone].look(now, *known, late, &self.settings);
                }
            }
        }
        let mut offered = vec![0.0; zones];
        for told in self.told.values() {
            offered[told.zone] += f64::from(told.word.offered);
        }
        let room: Vec<f64> = (0..zones).map(|z| self.room(z, &seen[z])).collect();
        let own: Vec<f64> = (0..zones).map(|z| offered[z].min(room[z])).collect();
        let needs: Vec<f64> = (0..zones).map(|z| offered[z] - own[z]).collect();
        // A zone's floor is its own, whether it is asked for or not; a zone on its way back, or of which
        // nothing is known, takes nobody else's work.
        let offer = |z: usize| match (self.ways[z].open(), known[z]) {
            (255, ZoneHealth::Alive | ZoneHealth::Grey) => {
                (room[z] - own[z].max(self.settings.local_reserve * room[z])).max(0.0)
            }
            _ => 0.0,
        };
        let offers: Vec<f64> = (0..zones).map(offer).collect();
        let map = &self.settings.zones;
        let placed = place(&needs, &offers, |a, b| if a == b { f64::INFINITY } else { map.price(a, b) });
        let rows = (0..zones)
            .map(|z| row(z, offered[z], own[z], &placed.flow[z], (room[z], self.ways[z].open() == 255)))
            .collect();
        self.keep_still(rows);
        self.tell((&known, &seen), &offered, &room, &placed);
        self.number += 1;
        let open = self.ways.iter().map(Way::open).collect();
        FailoverPlan { term: self.term, number: self.number, rows: self.rows.clone(), open }
    }

    /// What a zone carries as it is: its engines, less what fails there, as far as it is in use.
    fn room(&self, zone: usize, seen: &Seen) -> f64 {
        let sound = if seen.all >= ENOUGH && seen.failed >= GREY { 1.0 - seen.failed } else { 1.0 };
        let open = f64::from(self.ways[zone].open()) / 255.0;
        self.engines[zone]
            * self.settings.requests_per_second_per_engine
            * self.settings.max_utilization
            * sound
            * open
    }

    fn keep_still(&mut self, rows: Vec<Vec<(u8, u8)>>) {
        for (held, fresh) in self.rows.iter_mut().zip(rows) {
            let part =
                |row: &[(u8, u8)], zone: u8| row.iter().find(|r| r.0 == zone).map_or(0, |r| i32::from(r.1));
            let zones: Vec<u8> = held.iter().chain(&fresh).map(|r| r.0).collect();
            let moved = zones.iter().any(|z| (part(held, *z) - part(&fresh, *z)).abs() > STILL);
            // The ends are reached whatever the noise: all at home, or nothing.
            let end = fresh.len() <= 1 && held.len() != fresh.len();
            if moved || end {
                *held = fresh;
            }
        }
    }

    fn tell(
        &mut self,
        (known, seen): (&[ZoneHealth], &[Seen]),
        offered: &[f64],
        room: &[f64],
        placed: &FlowAssignment,
    ) {
        let names = &self.settings.zones.zones;
        let status = |z: usize| {
            let Seen { all, failed: failing, late } = seen[z];
            let why = match (self.orders[z], self.ways[z].open()) {
                (Some(OperatorOrder::Evacuate), _) => "people gave it up".to_string(),
                (Some(OperatorOrder::Hold), _) => "people hold it as it is".to_string(),
                (None, 0) => format!(
                    "{:.0}% of {all:.0} attempts there failed; it is tried again later",
                    failing * 100.0
                ),
                (None, 255) if known[z] == ZoneHealth::Grey => {
                    format!(
                        "{:.0}% of attempts fail, {:.0}% of requests are late",
                        failing * 100.0,
                        late * 100.0
                    )
                }
                (None, 255) => String::new(),
                (None, _) => "on its way back".to_string(),
            };
            ZoneStatus {
                zone: names[z].name.clone(),
                known: known[z],
                nodes: self.here[z],
                room: room[z],
                open: f64::from(self.ways[z].open()) / 255.0,
                offered: offered[z],
                takes: placed.flow.iter().map(|row| row[z]).sum(),
                failing,
                why,
                moves: self.ways[z].moves,
            }
        };
        let goes = |row: &Vec<(u8, u8)>| {
            let part =
                |(zone, part): &(u8, u8)| (names[usize::from(*zone)].name.clone(), f64::from(*part) / 255.0);
            row.iter().map(part).collect()
        };
        self.status = Status {
            zones: (0..names.len()).map(status).collect(),
            goes: self.rows.iter().map(goes).collect(),
            refused: placed.left.iter().sum(),
        };
    }

    /// What it goes by, as of its last plan.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// What the plan would be if a zone were gone: nothing is changed by it.
    pub fn dry_run(&self, now: Micros, zone: usize) -> Status {
        let mut dry = self.clone();
        dry.order(zone, Some(OperatorOrder::Evacuate));
        dry.plan(now);
        dry.status
    }
}

/// One zone's row: how its requests are divided, its own part first.
fn row(zone: usize, offered: f64, own: f64, flow: &[f64], (room, whole): (f64, bool)) -> Vec<(u8, u8)> {
    let part = |x: f64| (255.0 * x / offered).floor().clamp(0.0, 255.0) as u8;
    if offered <= 1e-6 || own >= offered {
        // All at home, if there is any room at all.
        return if room > 0.0 { vec![(zone as u8, 255)] } else { Vec::new() };
    }
    let mut row = vec![(zone as u8, part(own))];
    let mut others: Vec<(u8, u8)> =
        flow.iter().enumerate().map(|(to, amount)| (to as u8, part(*amount))).filter(|r| r.1 > 0).collect();
    others.sort_by_key(|(to, part)| (std::cmp::Reverse(*part), *to));
    others.truncate(3);
    row.extend(others);
    row.retain(|(_, part)| *part > 0);
    let sum: u32 = row.iter().map(|r| u32::from(r.1)).sum();
    let placed = own + flow.iter().sum::<f64>();
    let rest = (255 - sum.min(255)) as u8;
    if whole {
        // Guards against refusing by a figure: room is reckoned, and a zone that is in full use knows
        // better by its own lines what it can still take.
        match row.iter_mut().find(|r| usize::from(r.0) == zone) {
            Some(near) => near.1 = near.1.saturating_add(rest),
            None => row.insert(0, (zone as u8, rest)),
        }
    } else if placed >= offered * 0.995 {
        // Roundings go to the first, so that what is whole stays whole.
        if let Some(first) = row.first_mut() {
            first.1 = first.1.saturating_add(rest);
        }
    }
    row.truncate(4);
    row
}

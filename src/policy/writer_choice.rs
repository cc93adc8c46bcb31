//! The choice of the engine that fetches a read state and writes the answer.

use super::prefix_affinity::AFFINITY_HALF_LIFE_US;
use super::spill::{LOAD_BOUND_FACTOR, REPORT_LIFETIME_US};
use super::Router;
use crate::interface::*;
use crate::state::RequestState;

/// An overloaded engine's report weighs at least as much as this many own streams.
const MIN_STREAMS_PER_REPORT: f64 = 8.0;
/// Writers that have up to this part more than the least load count as least loaded: near ones win.
const NEAR_WRITER_BONUS: f64 = 0.25;
/// Near writers may have this many own streams more.
const NEAR_WRITER_BONUS_STREAMS: f64 = 1.0;
/// And this many where no engine reports its load: own streams show little of it.
const NEAR_WRITER_BONUS_STREAMS_WITHOUT_REPORTS: f64 = 5.0;

/// How far a writer is from being a sound choice; the least of all is chosen among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WriterRank {
    ejected: bool,
    without_capacity: bool,
    behind_slow_link: bool,
    /// Pure writers first: reading slows every answer of a mixed engine.
    mixed: bool,
}

/// How far a writer is from the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    other_rack: bool,
    other_zone: bool,
}

/// What load reports say of writers, made comparable with own streams.
#[derive(Clone, Copy, Debug)]
struct ReportedLoads {
    /// The mean occupancy, if any is known.
    mean: Option<f64>,
    /// Own streams that count as much as full occupancy.
    streams_per_occupancy: f64,
}

/// A writer and its load in this node's streams.
#[derive(Clone, Copy, Debug)]
struct LoadedWriter {
    index: usize,
    load: f64,
}

impl Router {
    /// The engine to fetch a request's state and write its answer, if any may be sent to.
    pub(super) fn choose_writer(&mut self, now: Micros, request: &RequestState) -> Option<usize> {
        let reader = request.state_reader?;
        let rack = self.engines[reader].rack;
        let candidates = self.writers_for(now, request);
        let reported = self.reported_loads(now, &candidates);
        let slow_link = self.is_slow_link(now, rack);
        let rank = |index: usize| {
            let engine = &self.engines[index];
            WriterRank {
                ejected: self.is_ejected(now, index),
                without_capacity: self.is_overloaded(now, index) || engine.rejects_tenant_of(now, request),
                behind_slow_link: slow_link && engine.rack != rack,
                mixed: engine.role == Role::Mixed && !self.without_load_reports(),
            }
        };
        let best_rank = candidates.iter().map(|&index| rank(index)).min()?;
        let writers: Vec<LoadedWriter> = candidates
            .into_iter()
            .filter(|&index| rank(index) == best_rank)
            .map(|index| LoadedWriter { index, load: self.writer_load(now, index, reported) })
            .collect();
        let mut least_loaded = self.least_loaded(now, rack, &writers);
        self.relieve_rack(rack, &mut least_loaded);
        let nearest = least_loaded.iter().map(|&index| self.distance(reader, index)).min()?;
        least_loaded.retain(|&index| self.distance(reader, index) == nearest);
        let pick = self.random.draw() as usize % least_loaded.len();
        Some(least_loaded[pick])
    }

    /// The engines that write and to which the request may be sent.
    fn writers_for(&self, now: Micros, request: &RequestState) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|&index| self.engines[index].writes())
            .filter(|&index| self.may_send(now, request, index) && !request.tried.contains(&index))
            .collect()
    }

    fn reported_loads(&self, now: Micros, candidates: &[usize]) -> ReportedLoads {
        let (mut occupancy, mut own_streams, mut reports) = (0.0, 0.0, 0.0);
        for engine in candidates.iter().map(|&index| &self.engines[index]) {
            if let Some(reported) = engine.reported_occupancy(now, AFFINITY_HALF_LIFE_US) {
                occupancy += reported;
                own_streams += f64::from(engine.streams);
                reports += 1.0;
            }
        }
        // Of many nodes each has next to no streams: reports have a least weight against them.
        let streams_per_occupancy =
            if occupancy > 0.0 { (own_streams / occupancy).max(MIN_STREAMS_PER_REPORT) } else { 0.0 };
        ReportedLoads { mean: (reports > 0.0).then(|| occupancy / reports), streams_per_occupancy }
    }

    /// A writer's load in this node's streams: its own, and as much again as reports say. An old
    /// report says less and less, and where none is known the mean of the others stands for it.
    fn writer_load(&self, now: Micros, index: usize, reported: ReportedLoads) -> f64 {
        let engine = &self.engines[index];
        let own = f64::from(engine.streams);
        let others = reported.mean.map(|mean| {
            let reported_at = engine.report.map_or(0, |report| report.at);
            let age = now.saturating_sub(reported_at) as f64 / REPORT_LIFETIME_US as f64;
            let freshness = 0.5f64.powf(age);
            let occupancy = engine.reported_occupancy(now, Micros::MAX).unwrap_or(mean);
            (mean + (occupancy - mean) * freshness) * reported.streams_per_occupancy
        });
        (own + others.unwrap_or(own)) / engine.relative_weight * self.slowdown(now, index)
    }

    /// The writers that count as least loaded. The more a transfer out of the rack costs, the more load
    /// a near writer may have.
    fn least_loaded(&self, now: Micros, rack: u64, writers: &[LoadedWriter]) -> Vec<usize> {
        let least = writers.iter().map(|writer| writer.load).fold(f64::INFINITY, f64::min);
        let bonus_streams = if self.without_load_reports() {
            NEAR_WRITER_BONUS_STREAMS_WITHOUT_REPORTS
        } else {
            NEAR_WRITER_BONUS_STREAMS
        };
        let bonus = bonus_streams + least * (NEAR_WRITER_BONUS + self.link_cost(now, rack));
        writers.iter().filter(|writer| writer.load <= least + bonus).map(|writer| writer.index).collect()
    }

    /// Without reports near writers would take all that is read in their rack: by lot a part of it goes
    /// to racks that get less than their even part, so far as the list shows.
    fn relieve_rack(&mut self, rack: u64, writers: &mut Vec<usize>) {
        let some_here = writers.iter().any(|&index| self.engines[index].rack == rack);
        if !some_here || !self.without_load_reports() {
            return;
        }
        let drawn = self.random.draw_fraction();
        let has_capacity = |index: &usize| self.expected_rack_load(self.engines[*index].rack) < 1.0;
        if drawn * self.expected_rack_load(rack) > LOAD_BOUND_FACTOR && writers.iter().any(has_capacity) {
            writers.retain(has_capacity);
        }
    }

    fn distance(&self, reader: usize, writer: usize) -> Distance {
        let (reader, writer) = (&self.engines[reader], &self.engines[writer]);
        Distance { other_rack: writer.rack != reader.rack, other_zone: writer.zone != reader.zone }
    }
}

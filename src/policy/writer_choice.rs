//! The choice of the engine that fetches a read state and writes the answer.

use super::prefix_affinity::AFFINITY_HALF_LIFE_US;
use super::spill::{LOAD_BOUND_FACTOR, REPORT_LIFETIME_US};
use super::Router;
use crate::interface::*;
use crate::state::RequestState;

/// Full occupancy in a report counts as at least this many of this node's streams.
const MIN_STREAMS_PER_REPORT: f64 = 8.0;
/// Writers whose load is up to this fraction above the least count as least loaded; the nearest of them are
/// preferred.
const NEAR_WRITER_BONUS: f64 = 0.25;
/// Added to that bonus, in streams of this node.
const NEAR_WRITER_BONUS_STREAMS: f64 = 1.0;
/// Added instead where no engine reports its load, of which this node's streams show little.
const NEAR_WRITER_BONUS_STREAMS_WITHOUT_REPORTS: f64 = 5.0;

/// How unsuitable a writer is. Only writers of the lowest rank are considered; earlier fields weigh more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WriterRank {
    ejected: bool,
    without_capacity: bool,
    behind_slow_link: bool,
    /// Mixed engines come last, because reading slows all their answers.
    mixed: bool,
}

/// The distance of a writer from the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    other_rack: bool,
    other_zone: bool,
}

/// Summary of the writers' load reports, which makes them comparable with this node's streams.
#[derive(Clone, Copy, Debug)]
struct ReportedLoads {
    /// The mean occupancy, if any is known.
    mean: Option<f64>,
    /// The number of this node's streams that corresponds to full occupancy.
    streams_per_occupancy: f64,
}

/// A writer and its load, in streams of this node.
#[derive(Clone, Copy, Debug)]
struct LoadedWriter {
    index: usize,
    load: f64,
}

impl Router {
    /// Chooses the engine that fetches a request's state and writes its answer, if the request may be sent to
    /// any.
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
        // While requests wait, the little that an engine in slow start can do must not stay unused.
        let is_needed = |writer: &&LoadedWriter| self.is_slow_start_budget_needed(now, writer.index);
        if let Some(needed) = writers.iter().find(is_needed) {
            return Some(needed.index);
        }
        let mut least_loaded = self.least_loaded(now, rack, &writers);
        self.shift_load_to_other_racks(rack, &mut least_loaded);
        let nearest = least_loaded.iter().map(|&index| self.distance(reader, index)).min()?;
        least_loaded.retain(|&index| self.distance(reader, index) == nearest);
        let pick = self.random.next_u64() as usize % least_loaded.len();
        Some(least_loaded[pick])
    }

    /// The engines that write and to which the request may be sent.
    fn writers_for(&self, now: Micros, request: &RequestState) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|&index| self.engines[index].can_write())
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
        // Each of many nodes has next to no streams, so reports have a minimum weight relative to them.
        let streams_per_occupancy =
            if occupancy > 0.0 { (own_streams / occupancy).max(MIN_STREAMS_PER_REPORT) } else { 0.0 };
        ReportedLoads { mean: (reports > 0.0).then(|| occupancy / reports), streams_per_occupancy }
    }

    /// A writer's load in streams of this node: the node's own and those that correspond to the load report.
    /// The older a report is, the more it is replaced by the mean of all reports, which also stands in for
    /// a missing one; without any report the node's own streams count twice.
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

    /// The writers that count as least loaded. The more a transfer out of the rack costs, the more load a
    /// near writer may have.
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

    /// Removes the writers of loaded racks from the choice, at random and only where no engine reports its
    /// load. Near writers would otherwise get everything that is read in their rack: a part of it goes to
    /// racks that get less than their even share according to the endpoint list.
    fn shift_load_to_other_racks(&mut self, rack: u64, writers: &mut Vec<usize>) {
        let any_in_rack = writers.iter().any(|&index| self.engines[index].rack == rack);
        if !any_in_rack || !self.without_load_reports() {
            return;
        }
        let drawn = self.random.next_fraction();
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

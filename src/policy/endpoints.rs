//! The endpoint list: engines that join, change and leave.

use std::collections::BTreeSet;

use super::engine_sizes::valid_weight;
use super::maintenance::MAINTENANCE_INTERVAL_US;
use super::Router;
use crate::interface::*;
use crate::state::{update_racks, Engine};

impl Router {
    /// Applies an endpoint list, or notes that none could be obtained.
    pub(super) fn update_endpoints(
        &mut self,
        now: Micros,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if self.measurements.maintenance_timer_set {
            self.measurements.subscribed = update != ListUpdate::Failed;
        } else {
            self.start_maintenance(now, actions);
        }
        if update == ListUpdate::Failed {
            return;
        }
        let mut listed = BTreeSet::new();
        for endpoint in endpoints {
            if let Some(index) = self.update_endpoint(now, &endpoint) {
                listed.insert(index);
            }
        }
        if update == ListUpdate::Full {
            let unlisted = |(index, _): &(usize, &mut Engine)| !listed.contains(index);
            for (_, engine) in self.engines.iter_mut().enumerate().filter(unlisted) {
                engine.endpoint_state = EndpointState::Gone;
            }
        }
        update_racks(&mut self.racks, &self.engines);
        self.update_sizes();
        self.update_usable_engines(now);
        self.update_turns(now);
        self.log_slow_starts(now, actions);
    }

    /// Starts the periodic maintenance, at the first list, and subscribes to discovery where it is needed.
    fn start_maintenance(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.measurements.maintenance_timer_set = true;
        self.measurements.service_rates_updated_at = now;
        actions.push(Action::SetTimer(Timer::Maintenance, MAINTENANCE_INTERVAL_US));
        if self.settings.discovery_mode == DiscoveryMode::Subscribe {
            self.measurements.polled_at = now;
            actions.push(Action::Subscribe);
        }
    }

    /// Applies one entry and returns the engine's index; an entry of an unknown kind is skipped.
    fn update_endpoint(&mut self, now: Micros, endpoint: &Endpoint) -> Option<usize> {
        let kind = self.settings.engine_kinds.iter().position(|kind| kind.name == endpoint.kind)?;
        let role = self.settings.engine_kinds[kind].role;
        let index = match self.engine_indices.get(&endpoint.engine) {
            Some(&index) => index,
            None => self.insert_engine(Engine::new(now, endpoint, role, kind)),
        };
        let engine = &mut self.engines[index];
        engine.endpoint_state = endpoint.state;
        // An entry without a weight says nothing of it.
        engine.registered_weight = valid_weight(endpoint.weight).or(engine.registered_weight);
        if let Some(started) = endpoint.started.filter(|_| engine.started_at != endpoint.started) {
            // Guards against overloading an engine that has restarted, and against affinity entries for
            // prefixes that the restart has removed from its cache.
            let warm_at = started.saturating_add(self.settings.slow_start_duration);
            engine.started_at = endpoint.started;
            engine.cache_valid_from = engine.cache_valid_from.max(started);
            engine.consecutive_failures = 0;
            engine.ejected_until = 0;
            // Its size before the restart no longer bounds it.
            engine.size = None;
            self.begin_slow_start(now, index, warm_at);
        }
        Some(index)
    }

    /// Assigns an index to a new engine. The index of an engine that has left, and to which no request
    /// refers any more, is reused, so that memory does not grow without bound as engines are replaced.
    fn insert_engine(&mut self, engine: Engine) -> usize {
        let used: BTreeSet<usize> = self.requests.values().flat_map(|request| request.engines()).collect();
        let is_free = |index: &usize| {
            self.engines[*index].endpoint_state == EndpointState::Gone && !used.contains(index)
        };
        let index = (0..self.engines.len()).find(is_free).unwrap_or(self.engines.len());
        self.engine_indices.insert(engine.id.clone(), index);
        match self.engines.get_mut(index) {
            Some(old) => {
                self.engine_indices.remove(&old.id);
                *old = engine;
            }
            None => self.engines.push(engine),
        }
        index
    }
}

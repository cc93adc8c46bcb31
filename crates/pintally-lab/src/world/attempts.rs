//! Attempts between nodes and engines.

use std::sync::Arc;

use pintally::interface::{LoadReport, Micros, Outcome};
use pintally_audit::{AuditEvent, Step as AuditStep};
use pintally_emulator::{Work, WorkId};
use pintally_engine::Step;
use pintally_host::{AttemptOrder, Input};
use pintally_mock_engine::token_count;
use serde_json::json;

use super::{Attempt, AttemptKey, Event, World, NETWORK_DELAY};

impl World<'_> {
    /// Sends an attempt to its engine, where it arrives after the network delay.
    pub(super) fn send_attempt(&mut self, node: usize, order: AttemptOrder) {
        let Some(&engine) = self.index.get(&order.engine) else { return };
        let request = self.tries.get(&(node, order.number)).map_or(String::new(), |t| t.id.clone());
        let new_attempt = Attempt {
            engine,
            work: None,
            first_token: false,
            is_read: order.step == Step::Read,
            request,
            name: format!("{}.{}", order.request.0, order.attempt),
        };
        self.attempts.insert((node, order.number, order.attempt), new_attempt);
        self.schedule(
            self.now + order.timeout,
            Event::AttemptTimeout(node, order.number, order.attempt, false),
        );
        if let Some(completion_timeout) = order.completion_timeout {
            self.schedule(
                self.now + completion_timeout,
                Event::AttemptTimeout(node, order.number, order.attempt, true),
            );
        }
        self.schedule(self.now + NETWORK_DELAY, Event::AttemptArrived(node, Box::new(order)));
    }

    pub(super) fn start_attempt(&mut self, node: usize, order: AttemptOrder) {
        let key = (node, order.number, order.attempt);
        let Some(attempt_in_flight) = self.attempts.get_mut(&key) else { return };
        let Some(client_try) = self.tries.get(&(node, order.number)) else { return };
        let engine = attempt_in_flight.engine;
        let state = order.state.as_ref().and_then(|s| Some((s["engine"].as_u64()?, s["work"].as_u64()?)));
        let id = self.next_work;
        self.next_work += 1;
        attempt_in_flight.work = Some(id);
        let (min_answer, prompt) =
            (order.max_tokens.div_ceil(2), token_count(&client_try.draft.prompt).max(1));
        let answer = min_answer
            + client_try.request_number.wrapping_mul(0x9e37_79b9) % (order.max_tokens - min_answer + 1);
        let work = Work {
            id,
            reads_only: order.step == Step::Read,
            fetches: state.map(|s| s.1).filter(|_| order.step == Step::Fetch),
            chain: client_try.block_hashes.as_ref().clone(),
            prompt,
            answer: if order.step == Step::Read { 0 } else { answer },
            key: None,
        };
        let (request, attempt) = (attempt_in_flight.request.clone(), attempt_in_flight.name.clone());
        let step = match order.step {
            Step::Read => AuditStep::Read,
            Step::Fetch => AuditStep::Fetch,
            Step::Both => AuditStep::Both,
        };
        let (engine_id, node_name) = (self.specs[engine].id.clone(), format!("n{node}"));
        self.record_event(AuditEvent::AttemptArrived {
            engine: engine_id,
            node: node_name,
            request,
            attempt,
            step,
            reached: true,
        });
        self.attempt_by_work.insert(id, key);
        let source = state.map(|s| s.0 as usize).filter(|_| work.fetches.is_some());
        self.fleet.submit(self.now, engine, work, source, &mut self.notices);
    }

    /// Aborts an attempt because its node cancelled it or its timeout expired. The node learns of the end at once.
    pub(super) fn abort_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt_in_flight) = self.attempts.get(&key) else { return };
        if let Some(work) = attempt_in_flight.work {
            self.fleet.cancel(self.now, attempt_in_flight.engine, work, &mut self.notices);
        }
        self.end_attempt(key, outcome, 0, None, 0);
    }

    /// Ends an attempt. The node learns its outcome after `delay`.
    pub(super) fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        cached_tokens: u64,
        state: Option<WorkId>,
        delay: Micros,
    ) {
        let Some(attempt_in_flight) = self.attempts.remove(&key) else { return };
        if let Some(work) = attempt_in_flight.work {
            self.attempt_by_work.remove(&work);
            let (engine, attempt) =
                (self.specs[attempt_in_flight.engine].id.clone(), attempt_in_flight.name.clone());
            self.record_event(AuditEvent::AttemptEnded { engine, attempt });
        }
        let has_load_report =
            matches!(outcome, Outcome::Read | Outcome::Served | Outcome::Overloaded | Outcome::StateNotFound);
        let load = has_load_report.then(|| self.load(attempt_in_flight.engine));
        let state = state.map(|work| Arc::new(json!({ "engine": attempt_in_flight.engine, "work": work })));
        let (node, number, attempt) = key;
        let input = Input::AttemptEnded { number, attempt, outcome, cached_tokens, load, state };
        self.schedule(self.now + delay, Event::NodeInput(node, Box::new(input)));
    }

    pub(super) fn load(&mut self, engine: usize) -> LoadReport {
        let r = self.fleet.report(self.now, engine);
        let slots = self.specs[engine].slots.max(1) as f64;
        LoadReport {
            slots: Some(r.running / slots),
            queue: Some(r.waiting),
            memory: Some(r.memory),
            backlog: Some(r.backlog / 1000.0),
        }
    }
}

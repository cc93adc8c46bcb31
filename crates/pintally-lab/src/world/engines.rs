//! The engines: what they notify of, and releases of what they hold.

use pintally::interface::{EndpointState, EngineId, Outcome, RequestId};
use pintally_audit::AuditEvent;
use pintally_emulator::{Notice, Refusal, WorkId};
use pintally_host::Input;
use pintally_mock_engine::audit_freed_by;

use crate::fault_schedule::FaultAction;

use super::{AttemptKey, Event, World, ENGINE_RESTART_DELAY, NETWORK_DELAY};

impl World<'_> {
    pub(super) fn handle_notice(&mut self, engine: usize, notice: Notice) {
        match notice {
            Notice::Freed(work, by) => {
                let Some((engine, name)) = self.state_by_work.remove(&work) else { return };
                self.states.remove(&(engine, name.clone()));
                let (engine, by) = (self.specs[engine].id.clone(), audit_freed_by(by));
                self.record_event(AuditEvent::StateFreed { engine, state: name, by });
            }
            Notice::Overloaded => {
                self.overload_crashes += 1;
                self.listing[engine] = EndpointState::Gone;
                self.publish_endpoint_list();
                self.schedule(
                    self.now + ENGINE_RESTART_DELAY,
                    Event::Fault(FaultAction::SetRunning(engine, true)),
                );
            }
            Notice::Read(id, cached_tokens) => self.handle_read(engine, id, cached_tokens),
            Notice::Started(id) => {
                let Some(attempt_in_flight) =
                    self.attempt_by_work.get(&id).and_then(|k| self.attempts.get(k))
                else {
                    return;
                };
                let (request, attempt) = (attempt_in_flight.request.clone(), attempt_in_flight.name.clone());
                self.record_event(AuditEvent::AttemptRan {
                    engine: self.specs[engine].id.clone(),
                    request,
                    attempt,
                });
            }
            Notice::Token(id, 1) => self.handle_first_token(id),
            Notice::Done(id, cached_tokens) => {
                if let Some(&key) = self.attempt_by_work.get(&id) {
                    self.end_attempt(key, Outcome::Served, cached_tokens, None, NETWORK_DELAY);
                }
            }
            Notice::Refused(id, why) => {
                let Some(&key) = self.attempt_by_work.get(&id) else { return };
                let outcome = match why {
                    Refusal::Full | Refusal::TooLong => Outcome::Overloaded,
                    Refusal::NoState | Refusal::Repeat => Outcome::StateNotFound,
                    Refusal::Down => Outcome::Unreachable,
                };
                self.record_rejection(engine, key);
                self.end_attempt(key, outcome, 0, None, NETWORK_DELAY);
            }
            Notice::Broken(id) => {
                let Some(&key) = self.attempt_by_work.get(&id) else { return };
                let up = self.fleet.engine(engine).is_up();
                if up {
                    self.record_rejection(engine, key);
                }
                self.end_attempt(
                    key,
                    if up { Outcome::StateNotFound } else { Outcome::ConnectionBroken },
                    0,
                    None,
                    NETWORK_DELAY,
                );
            }
            Notice::Token(..) | Notice::FetchNeeded(..) | Notice::Preempted(_) => {}
        }
    }

    /// Handles a read that has ended; its engine holds the state.
    fn handle_read(&mut self, engine: usize, id: WorkId, cached_tokens: u64) {
        // A cancelled read may still complete. The engine then holds a state that no attempt wants: release it.
        let Some(&key) = self.attempt_by_work.get(&id) else {
            self.fleet.release(self.now, engine, id, &mut self.notices);
            return;
        };
        let Some(attempt_in_flight) = self.attempts.get(&key) else { return };
        let (state, request) = (attempt_in_flight.name.clone(), attempt_in_flight.request.clone());
        self.states.insert((engine, state.clone()), id);
        self.state_by_work.insert(id, (engine, state.clone()));
        let (engine, node) = (self.specs[engine].id.clone(), format!("n{}", key.0));
        self.record_event(AuditEvent::StateHeld { engine, node, request, state });
        self.end_attempt(key, Outcome::Read, cached_tokens, Some(id), NETWORK_DELAY);
    }

    fn handle_first_token(&mut self, id: WorkId) {
        let Some(&key) = self.attempt_by_work.get(&id) else { return };
        let Some(attempt_in_flight) = self.attempts.get_mut(&key).filter(|a| !a.is_read) else { return };
        attempt_in_flight.first_token = true;
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::NodeInput(key.0, Box::new(Input::FirstToken(key.1, key.2))),
        );
        let at = self.now + 2 * NETWORK_DELAY;
        let Some(client_try) = self.tries.get_mut(&(key.0, key.1)).filter(|t| !t.done) else { return };
        if client_try.draft.streamed && !std::mem::replace(&mut client_try.first_token_received, true) {
            let request = client_try.id.clone();
            self.record_event_at(at, AuditEvent::FirstChunk { request });
        }
    }

    /// Records that an engine confirmed that it ran nothing of an attempt.
    fn record_rejection(&mut self, engine: usize, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key).map(|a| a.name.clone()) else { return };
        self.record_event(AuditEvent::AttemptRejected { engine: self.specs[engine].id.clone(), attempt });
    }

    pub(super) fn handle_release(&mut self, node: usize, name: RequestId, engine: EngineId) {
        let Some(&number) = self.index.get(&engine) else { return };
        let up = self.fleet.engine(number).is_up();
        if up {
            let state = name.0.to_string();
            self.record_event(AuditEvent::ReleaseArrived {
                engine: engine.0.to_string(),
                state: state.clone(),
            });
            if let Some(work) = self.states.get(&(number, state)).copied() {
                self.fleet.release(self.now, number, work, &mut self.notices);
            }
        }
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::NodeInput(node, Box::new(Input::Released(name, engine, up))),
        );
    }
}

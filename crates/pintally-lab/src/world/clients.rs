//! The clients: their requests, retries and answers.

use std::rc::Rc;

use pintally::interface::Micros;
use pintally_audit::{Answer, AuditEvent};
use pintally_host::{FinalAnswer, IncomingRequest, Input, RequestNumber};
use pintally_mock_engine::{block_hashes, token_count};
use pintally_scenario::RequestDraft;
use rand::RngExt;

use crate::clients::{request_id, Try};

use super::{Event, World, NETWORK_DELAY, START_UNIX_MS};

impl World<'_> {
    /// Sends a try of a client request to a random node, in the client's zone if that has nodes.
    pub(super) fn send_request(&mut self, request_number: u64, retry: u32, draft: Rc<RequestDraft>) {
        let zones = self.scenario.zones.len();
        let nodes_in_zone: Vec<usize> = (0..self.nodes.len()).filter(|n| n % zones == draft.zone).collect();
        let node = if nodes_in_zone.is_empty() {
            self.rng.random_range(0..self.nodes.len())
        } else {
            nodes_in_zone[self.rng.random_range(0..nodes_in_zone.len())]
        };
        self.last_request_numbers[node] += 1;
        let (number, core) = (self.last_request_numbers[node], &self.scenario.settings.core);
        let client_timeout = draft.patience.as_micros() as Micros;
        let arrival = IncomingRequest {
            number,
            name: None,
            class: core.classes.iter().position(|c| c.name == draft.class),
            tenant: core.tenants.iter().position(|t| Some(&t.name) == draft.tenant.as_ref()),
            session: Some(draft.session),
            prefix: draft.prefix,
            prompt_tokens: token_count(&draft.prompt),
            prefix_tokens: draft.prefix_tokens,
            max_tokens: Some(draft.max_tokens),
            client_timeout: Some(client_timeout),
            streamed: draft.streamed,
            resumed: false,
            bytes: draft.prompt.len(),
            unix_ms: START_UNIX_MS + self.now / 1000,
        };
        let client_try = Try {
            id: request_id(request_number, retry),
            request_number,
            retry,
            block_hashes: Rc::new(block_hashes(&draft.prompt)),
            first_token_received: false,
            done: false,
            draft,
        };
        self.record_event(AuditEvent::RequestSent {
            request: client_try.id.clone(),
            node: format!("n{node}"),
            class: client_try.draft.class.clone(),
            tenant: client_try.draft.tenant.clone(),
            patience_us: client_timeout,
            streamed: client_try.draft.streamed,
        });
        self.schedule(self.now + client_timeout, Event::ClientTimeout(node, number));
        self.tries.insert((node, number), client_try);
        self.schedule(
            self.now + NETWORK_DELAY,
            Event::NodeInput(node, Box::new(Input::RequestArrived(arrival))),
        );
    }

    pub(super) fn receive_answer(&mut self, node: usize, number: RequestNumber, answer: FinalAnswer) {
        let Some(client_try) = self.tries.get_mut(&(node, number)).filter(|t| !t.done) else { return };
        client_try.done = true;
        let client_try = client_try.clone();
        let reported = match answer {
            FinalAnswer::Served => Answer::Served,
            FinalAnswer::Rejected(_) => Answer::Refused,
            FinalAnswer::Failed => Answer::Failed,
            FinalAnswer::StreamCut => Answer::Cut,
        };
        self.record_event_at(
            self.now + NETWORK_DELAY,
            AuditEvent::Answered { request: client_try.id, answer: reported },
        );
        if let FinalAnswer::Rejected(after) = answer {
            let traffic = &self.scenario.traffic;
            let default_wait = traffic.retry_wait.as_micros() as Micros;
            let wait = after.filter(|_| client_try.draft.obeys_retry_after).unwrap_or(default_wait);
            if client_try.retry < traffic.retries {
                self.schedule(
                    self.now + NETWORK_DELAY + wait,
                    Event::ClientRequest(client_try.request_number, client_try.retry + 1, client_try.draft),
                );
            }
        }
    }
}

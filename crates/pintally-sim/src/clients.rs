//! Clients: their requests and the answers that they receive.

use pintally::interface::{Outcome, RequestId};
use pintally_host::{FinalAnswer, IncomingRequest, Input};
use rand::RngExt;

use crate::check::{RequestKey, TrackedRequest};
use crate::mutation::Mutation;
use crate::plan::PlannedRequest;
use crate::world::{Event, World};
use crate::MS;

impl World<'_> {
    pub(crate) fn start_request(&mut self, request: &PlannedRequest) {
        let all = self.nodes.len();
        let runs = |n: &usize| self.nodes[*n].host.is_some() && !self.nodes[*n].stopping;
        let Some(node) = (0..all).map(|n| (request.node + n) % all).find(runs) else { return };
        let n = &mut self.nodes[node];
        n.last_request_number += 1;
        let (number, incarnation) = (n.last_request_number, n.incarnation);
        let key = (node, incarnation, number);
        self.asked += 1;
        let id = RequestId(format!("q{}", self.asked).as_str().into());
        let patience = request.patience_ms * MS;
        let known = TrackedRequest {
            id: id.clone(),
            class: request.class,
            at: self.now,
            by: self.now + patience,
            answers: 0,
            over: 0,
            answer_begun: false,
            client_left: false,
            node_died: false,
            deliveries: Vec::new(),
        };
        self.checks.requests.insert(key, known);
        self.record(format!("{} asked at n{node}, class {}", id.0, request.class));
        self.schedule_after(patience, Event::ClientDeadline(key));
        if let Some(leaves) = request.leaves_ms {
            self.schedule_after(leaves * MS, Event::ClientLeaves(key));
        }
        let arrival = IncomingRequest {
            number,
            name: Some(id),
            class: Some(request.class),
            session: Some(request.session),
            prompt_tokens: request.prompt,
            client_timeout: Some(patience),
            streamed: true,
            ..IncomingRequest::default()
        };
        self.deliver_input(node, incarnation, Input::RequestArrived(arrival));
    }

    pub(crate) fn client_leaves(&mut self, key: RequestKey) {
        let Some(known) = self.checks.requests.get_mut(&key) else { return };
        if known.answers > 0 || known.answer_begun || known.node_died {
            return;
        }
        known.client_left = true;
        let id = known.id.clone();
        self.record(format!("{} is left by its client", id.0));
        self.deliver_input(key.0, key.1, Input::ClientLeft(key.2));
        // The open attempts of the request are cancelled, as a node does.
        let out: Vec<u64> =
            self.attempts.iter().filter(|(_, f)| f.key == key && !f.closed).map(|(n, _)| *n).collect();
        out.into_iter().for_each(|attempt_id| self.end_attempt(attempt_id, Outcome::Cancelled, false));
    }

    pub(crate) fn final_answer(&mut self, key: RequestKey, answer: FinalAnswer) {
        let known = self.checks.requests.get(&key);
        let (id, asked) = known.map_or((String::new(), 0), |k| (k.id.0.to_string(), k.at));
        self.record(format!("{id} is answered: {answer:?}"));
        if self.has_mutation(Mutation::AnswersNever) && self.rng.random_bool(0.02) {
            return;
        }
        self.checks.answered(key);
        if self.has_mutation(Mutation::AnswersTwice) && self.rng.random_bool(0.02) {
            self.checks.answered(key);
        }
        if answer == FinalAnswer::Served {
            self.served += 1;
            self.final_served += u32::from(asked >= self.final_requests_from);
        }
    }
}

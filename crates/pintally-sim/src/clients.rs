//! Clients: what they ask, and what comes back.

use pintally::interface::{Outcome, RequestId};
use pintally_host::{FinalAnswer, IncomingRequest, Input};
use rand::RngExt;

use crate::check::{Known, Place};
use crate::mutation::Mutation;
use crate::plan::PlannedRequest;
use crate::world::{Event, World};
use crate::MS;

impl World<'_> {
    pub(crate) fn ask(&mut self, ask: &PlannedRequest) {
        let all = self.nodes.len();
        let runs = |n: &usize| self.nodes[*n].host.is_some() && !self.nodes[*n].stopping;
        let Some(node) = (0..all).map(|n| (ask.node + n) % all).find(runs) else { return };
        let n = &mut self.nodes[node];
        n.tickets += 1;
        let (ticket, life) = (n.tickets, n.life);
        let place = (node, life, ticket);
        self.asked += 1;
        let id = RequestId(format!("q{}", self.asked).as_str().into());
        let patience = ask.patience_ms * MS;
        let known = Known {
            id: id.clone(),
            class: ask.class,
            at: self.now,
            by: self.now + patience,
            answers: 0,
            over: 0,
            begun: false,
            left: false,
            died: false,
            ran: Vec::new(),
        };
        self.checks.known.insert(place, known);
        self.say(format!("{} asked at n{node}, class {}", id.0, ask.class));
        self.soon(patience, Event::TimeIsUp(place));
        if let Some(leaves) = ask.leaves_ms {
            self.soon(leaves * MS, Event::Leave(place));
        }
        let arrival = IncomingRequest {
            number: ticket,
            name: Some(id),
            class: Some(ask.class),
            session: Some(ask.session),
            prompt_tokens: ask.prompt,
            client_timeout: Some(patience),
            streamed: true,
            ..IncomingRequest::default()
        };
        self.tell(node, life, Input::RequestArrived(arrival));
    }

    pub(crate) fn leave(&mut self, place: Place) {
        let Some(known) = self.checks.known.get_mut(&place) else { return };
        if known.answers > 0 || known.begun || known.died {
            return;
        }
        known.left = true;
        let id = known.id.clone();
        self.say(format!("{} is left by its client", id.0));
        self.tell(place.0, place.1, Input::ClientLeft(place.2));
        // As a node does: what is out for it is called off.
        let out: Vec<u64> =
            self.flights.iter().filter(|(_, f)| f.place == place && !f.closed).map(|(n, _)| *n).collect();
        out.into_iter().for_each(|flight| self.end(flight, Outcome::Cancelled, false));
    }

    pub(crate) fn answer(&mut self, place: Place, answer: FinalAnswer) {
        let known = self.checks.known.get(&place);
        let (id, asked) = known.map_or((String::new(), 0), |k| (k.id.0.to_string(), k.at));
        self.say(format!("{id} is answered: {answer:?}"));
        if self.is(Mutation::AnswersNever) && self.rng.random_bool(0.02) {
            return;
        }
        self.checks.answered(place);
        if self.is(Mutation::AnswersTwice) && self.rng.random_bool(0.02) {
            self.checks.answered(place);
        }
        if answer == FinalAnswer::Served {
            self.served += 1;
            self.probes_served += u32::from(asked >= self.count_from);
        }
    }
}

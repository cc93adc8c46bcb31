//! Handling of client requests: readiness and status requests are answered directly, inference requests go to
//! the host.

use pintally::interface::Micros;
use pintally_host::{IncomingRequest, Input, RequestNumber};
use pintally_http::{response, Request};
use pintally_platform::{parse_client_request, ClientRequest, InferenceRequest, RequestError};

use crate::client_connection::ClientState;
use crate::connection::ConnectionKey;
use crate::node::Node;

impl Node {
    pub(crate) fn handle_request(&mut self, key: ConnectionKey, request: Request) {
        let number = self.requests.next_number();
        match parse_client_request(&self.config.settings.labels, number, request) {
            Ok(ClientRequest::Readiness) => {
                let status = if self.is_ready() { 200 } else { 503 };
                self.respond(key, response(status, &[], b""));
            }
            Ok(ClientRequest::Status) => {
                let document = self.status_document().to_string();
                let headers = [("content-type", "application/json")];
                self.respond(key, response(200, &headers, document.as_bytes()));
            }
            Ok(ClientRequest::Inference(request)) => self.start_request(key, number, *request),
            Err(error) => self.reject(key, error),
        }
    }

    fn start_request(&mut self, key: ConnectionKey, number: RequestNumber, request: InferenceRequest) {
        let queueing_time = self.queueing_time(key);
        let InferenceRequest { mut arrival, head, body } = request;
        arrival.client_timeout =
            self.client_timeout(&arrival).map(|timeout| timeout.saturating_sub(queueing_time));
        if arrival.name.as_ref().is_some_and(|name| self.host.is_request_open(name)) {
            return self.reject(key, RequestError { status: 409, message: "this id is in use" });
        }
        if !self.has_memory_for(head.len() + body.len()) || self.has_unread_input(key) {
            let may_have_run = arrival.name.as_ref().is_some_and(|name| self.host.may_have_run(name));
            return self.respond(key, response(if may_have_run { 502 } else { 503 }, &[], b"no room\n"));
        }
        self.requests.insert(key, head, body);
        let Some(client) = self.client_mut(key) else { return };
        client.state = ClientState::Active(number);
        client.streaming = false;
        client.request_count += 1;
        log_arrival(number, &arrival);
        self.handle_input(Input::RequestArrived(arrival));
    }

    /// Whether input of the connection is unread because the budget had no room for it. Guards against an attempt for
    /// a client whose disconnect is behind that input: requests are rejected until the node has read all of it.
    fn has_unread_input(&mut self, key: ConnectionKey) -> bool {
        let now = self.clock.now();
        self.client_mut(key).is_some_and(|client| client.arrivals.is_paused(now))
    }

    /// The timeout that the client states, or the one of its class if that is shorter or none is stated. Guards against
    /// a request whose wait behind other requests is not counted because the class's timeout applies to it.
    fn client_timeout(&self, arrival: &IncomingRequest) -> Option<Micros> {
        let class = arrival.class.and_then(|class| self.settings.classes.get(class));
        let class_timeout = class.map(|class| class.default_client_timeout);
        [arrival.client_timeout, class_timeout].into_iter().flatten().min()
    }

    /// How long the request that was parsed last has waited on its connection behind other requests.
    fn queueing_time(&mut self, key: ConnectionKey) -> Micros {
        let now = self.clock.now();
        let Some(client) = self.client_mut(key) else { return 0 };
        let bytes_behind = client.reader.buffered_bytes();
        client.arrivals.last_before(bytes_behind).map_or(0, |arrived| now.saturating_sub(arrived))
    }
}

fn log_arrival(number: RequestNumber, arrival: &IncomingRequest) {
    tracing::debug!(
        request = number,
        request_id = arrival.name.as_ref().map(|name| name.0.as_ref()),
        class = arrival.class,
        prompt_tokens = arrival.prompt_tokens,
        session = arrival.session,
        prefix = arrival.prefix,
        timeout_ms = arrival.client_timeout.map(|timeout| timeout / 1000),
        "request received"
    );
}

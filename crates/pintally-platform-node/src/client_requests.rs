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
        arrival.client_timeout = arrival.client_timeout.map(|timeout| timeout.saturating_sub(queueing_time));
        if arrival.name.as_ref().is_some_and(|name| self.host.is_request_open(name)) {
            return self.reject(key, RequestError { status: 409, message: "this id is in use" });
        }
        if self.requests.body_bytes() + body.len() > self.config.max_total_body_bytes() {
            return self.respond(key, response(503, &[], b"no room\n"));
        }
        self.requests.insert(key, head, body);
        let Some(client) = self.client_mut(key) else { return };
        client.state = ClientState::Active(number);
        client.streaming = false;
        client.request_count += 1;
        log_arrival(number, &arrival);
        self.handle_input(Input::RequestArrived(arrival));
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

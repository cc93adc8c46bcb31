//! One client connection: reads requests and writes their responses, one at a time.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_host::IncomingRequest;
use pintally_http::{response, HttpError, Request, RequestReader};
use pintally_kserve::{self as kserve, InferenceEndpoint, InferenceRequest, Route, DEADLINE_HEADER};
use tracing::debug;

use crate::body_capacity::{BodyCapacity, BodyCapacityExhausted};
use crate::client_input::ClientInput;
use crate::request_session::{self, ClientRequest, ConnectionAction};
use crate::shared::Shared;
use crate::status::{self, StatusResponse};
use crate::wait::{wait, ClientInterest, Waker};

/// Maximum bytes read from a client after a rejection. Unread bytes would reset the connection, and the
/// client might not see the rejection.
const MAX_DRAIN_BYTES: usize = 1 << 20;
/// Maximum time for reading from a client after a rejection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Estimated bytes per token of a prompt whose length in tokens the client does not state: the node does
/// not count tokens itself.
const PROMPT_BYTES_PER_TOKEN: u64 = 4;
const MICROS_PER_MILLI: u64 = 1000;

/// The response to a request that could not be read, or for which there is no capacity.
struct Rejection {
    status: u16,
    message: String,
}

impl Rejection {
    fn receive_timeout() -> Rejection {
        Rejection { status: 408, message: "the request did not come in time".into() }
    }

    /// Whether the request is rejected for the node's load and not because it is invalid.
    fn is_overload(&self) -> bool {
        self.status == 503
    }
}

impl From<BodyCapacityExhausted> for Rejection {
    fn from(_: BodyCapacityExhausted) -> Rejection {
        Rejection { status: 503, message: "no room for more requests' bodies".into() }
    }
}

impl From<HttpError> for Rejection {
    fn from(error: HttpError) -> Rejection {
        Rejection { status: error.status(), message: error.to_string() }
    }
}

/// Serves a connection until it closes.
pub(crate) fn run(shared: &Shared, mut stream: TcpStream, waker: &Arc<Waker>) {
    let limits = &shared.settings.limits;
    let mut reader = RequestReader::new(limits.max_head_bytes, limits.max_body_bytes);
    loop {
        let mut capacity = BodyCapacity::new(shared);
        match next_request(shared, &mut stream, waker, &mut reader, &mut capacity) {
            Ok(Some(request)) => {
                let input = ClientInput { reader: &mut reader, capacity };
                let connection = serve(shared, &mut stream, waker, &request, input);
                if connection == ConnectionAction::Close || !request.keep_alive {
                    return;
                }
            }
            Ok(None) => return,
            Err(rejection) => return reject(shared, &mut stream, &rejection),
        }
    }
}

/// Reads the next complete request; `None` if the connection is to be closed.
fn next_request(
    shared: &Shared,
    stream: &mut TcpStream,
    waker: &Waker,
    reader: &mut RequestReader,
    capacity: &mut BodyCapacity,
) -> Result<Option<Request>, Rejection> {
    let limits = &shared.settings.limits;
    let mut deadline = Instant::now() + Duration::from_micros(limits.idle_timeout);
    let mut receiving = false;
    let mut buffer = [0u8; READ_BUFFER_BYTES];
    loop {
        if let Some(request) = reader.next_request()? {
            capacity.resize(reader.buffered_bytes() + request.body.len())?;
            return Ok(Some(request));
        }
        capacity.resize(reader.buffered_bytes())?;
        if reader.take_expects_continue() && stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
            return Ok(None);
        }
        if reader.is_partial() && !std::mem::replace(&mut receiving, true) {
            deadline = Instant::now() + Duration::from_micros(limits.receive_timeout);
        }
        if shared.is_dead() || (shared.is_closing() && !receiving) {
            return Ok(None);
        }
        let interest = Some((stream.as_fd(), ClientInterest::Readable));
        let Ok(ready) = wait(waker, interest, None, Some(deadline)) else { return Ok(None) };
        if !ready.client {
            if Instant::now() < deadline {
                continue;
            }
            return if receiving { Err(Rejection::receive_timeout()) } else { Ok(None) };
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(None),
            Ok(count) => reader.push(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(None),
        }
    }
}

/// Writes a rejection and drains the connection, which is then closed.
fn reject(shared: &Shared, stream: &mut TcpStream, rejection: &Rejection) {
    let overload = rejection.is_overload();
    let counters = &shared.counters;
    let counter = if overload { &counters.turned_away } else { &counters.bad_requests };
    counter.fetch_add(1, Ordering::Relaxed);
    debug!(status = rejection.status, reason = rejection.message, "request rejected");
    let _ = reply(stream, rejection.status, &kserve::error_body(&rejection.message, overload), false);
    drain(stream);
}

/// Serves one request.
fn serve(
    shared: &Shared,
    stream: &mut TcpStream,
    waker: &Arc<Waker>,
    request: &Request,
    input: ClientInput,
) -> ConnectionAction {
    let route = kserve::route(&request.method, &request.target);
    if let Route::Inference(model, endpoint) = &route {
        if *model == shared.settings.model {
            return infer(shared, stream, waker, *endpoint, request, input);
        }
    }
    let response = respond(shared, route);
    if response.status >= 400 && response.status != 503 {
        shared.counters.bad_requests.fetch_add(1, Ordering::Relaxed);
    }
    ConnectionAction::after_write(reply(stream, response.status, &response.body, request.keep_alive))
}

/// The response of every endpoint except inference.
fn respond(shared: &Shared, route: Route) -> StatusResponse {
    let fleet = &shared.fleet;
    let is_served = |model: &str| model == shared.settings.model;
    match route {
        Route::Live => StatusResponse::ok("{\"live\":true}"),
        Route::Ready => status::readiness(shared),
        Route::ModelReady(model) if is_served(&model) => status::readiness(shared),
        Route::Counters => status::counters(shared),
        Route::Membership => {
            status::published(&fleet.membership_status, "this node has no peers in its settings")
        }
        Route::Recovery => {
            status::published(&fleet.recovery_status, "this node has no recovery in its settings")
        }
        Route::Consensus => status::published(&fleet.consensus_status, "this node is no keeper"),
        Route::Limits => status::limits(shared),
        Route::Failover => {
            status::published(&fleet.failover_status, "this node has no regions in its settings")
        }
        Route::OutlierDetection => {
            status::published(&fleet.outlier_status, "this node has no verdicts in its settings")
        }
        Route::ServerMetadata => StatusResponse::ok(kserve::server_metadata(env!("CARGO_PKG_VERSION"))),
        Route::ModelMetadata(model) if is_served(&model) => {
            StatusResponse::ok(kserve::model_metadata(&model))
        }
        Route::ModelMetadata(model) | Route::ModelReady(model) | Route::Inference(model, _) => {
            StatusResponse::error(404, &format!("unknown model `{model}`"))
        }
        Route::MethodNotAllowed => StatusResponse::error(405, "this endpoint has another method"),
        Route::NotFound => StatusResponse::error(404, "no such endpoint"),
    }
}

/// Serves an inference request.
fn infer(
    shared: &Shared,
    stream: &mut TcpStream,
    waker: &Arc<Waker>,
    endpoint: InferenceEndpoint,
    request: &Request,
    input: ClientInput,
) -> ConnectionAction {
    let inference =
        match InferenceRequest::parse(endpoint, &request.body, request.headers.get(DEADLINE_HEADER)) {
            Ok(inference) => inference,
            Err(error) => return bad_request(shared, stream, &error.0, request.keep_alive),
        };
    match incoming_request(shared, endpoint, &inference, request.body.len()) {
        Ok(incoming) => {
            let model = shared.settings.model.clone();
            let client_request = ClientRequest { inference, endpoint, model, keep_alive: request.keep_alive };
            request_session::run(shared, stream, waker, &client_request, input, incoming)
        }
        Err(message) => bad_request(shared, stream, &message, request.keep_alive),
    }
}

fn bad_request(shared: &Shared, stream: &mut TcpStream, message: &str, keep_alive: bool) -> ConnectionAction {
    shared.counters.bad_requests.fetch_add(1, Ordering::Relaxed);
    ConnectionAction::after_write(reply(stream, 400, &kserve::error_body(message, false), keep_alive))
}

/// Converts a request to the host's input; the error names an unknown class or tenant.
fn incoming_request(
    shared: &Shared,
    endpoint: InferenceEndpoint,
    inference: &InferenceRequest,
    body_bytes: usize,
) -> Result<IncomingRequest, String> {
    let core = &shared.settings.core;
    let class = match &inference.class {
        Some(name) => {
            let class = core.classes.iter().position(|class| class.name == *name);
            Some(class.ok_or_else(|| format!("unknown class `{name}`"))?)
        }
        None => None,
    };
    let tenant = match &inference.tenant {
        Some(name) if !core.tenants.is_empty() => {
            let tenant = core.tenants.iter().position(|tenant| tenant.name == *name);
            Some(tenant.ok_or_else(|| format!("unknown tenant `{name}`"))?)
        }
        _ => None,
    };
    let estimated_tokens = (inference.prompt.len() as u64).div_ceil(PROMPT_BYTES_PER_TOKEN);
    Ok(IncomingRequest {
        number: shared.next_request_number.fetch_add(1, Ordering::Relaxed),
        name: None,
        class,
        tenant,
        session: inference.session,
        prefix: inference.prefix,
        prompt_tokens: inference.prompt_tokens.unwrap_or(estimated_tokens),
        prefix_tokens: inference.prefix_tokens,
        max_tokens: inference.max_tokens,
        client_timeout: inference.deadline_ms.map(|ms| ms * MICROS_PER_MILLI),
        streamed: endpoint == InferenceEndpoint::GenerateStream,
        resumed: inference.resumed,
        bytes: body_bytes,
        unix_ms: shared.clock.unix_ms(),
    })
}

/// Writes a complete response.
fn reply(stream: &mut TcpStream, status: u16, body: &str, keep_alive: bool) -> io::Result<()> {
    let mut headers = vec![("content-type", "application/json")];
    if !keep_alive {
        headers.push(("connection", "close"));
    }
    stream.write_all(&response(status, &headers, body.as_bytes()))
}

/// Reads what the client still sends, within limits, because closing a connection with unread bytes would
/// reset it and could discard the response.
fn drain(stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(DRAIN_TIMEOUT));
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    let mut remaining = MAX_DRAIN_BYTES;
    let mut buffer = [0u8; READ_BUFFER_BYTES];
    while remaining > 0 && Instant::now() < deadline {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => remaining = remaining.saturating_sub(count),
            _ => return,
        }
    }
}

//! One client connection: requests in, answers out, one after the other.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_host::IncomingRequest;
use pintally_http::{response, HttpError, Request, RequestReader};
use pintally_kserve::{self as kserve, Form, InferenceRequest, Route, DEADLINE_HEADER};
use tracing::debug;

use crate::life::{self, Asked};
use crate::shared::Shared;
use crate::sync::lock;
use crate::wait::{wait, Client, Waker};

/// What is read from a client after a refusal, so that it sees the refusal before a reset.
const MAX_DRAIN: usize = 1 << 20;
const DRAIN_FOR: Duration = Duration::from_millis(500);

/// Room that a connection's request takes; given back when it is dropped.
struct Room<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl Room<'_> {
    /// Makes the room as large as what is held; `false` if there is no more.
    fn fit(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes && !self.shared.take_room(bytes - self.bytes) {
            return false;
        }
        self.shared.give_room(self.bytes.saturating_sub(bytes));
        self.bytes = bytes;
        true
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.shared.give_room(self.bytes);
    }
}

/// Serves a connection until it closes.
pub(crate) fn run(shared: &Shared, mut stream: TcpStream, waker: &Arc<Waker>) {
    let limits = &shared.settings.limits;
    let mut reader = RequestReader::new(limits.max_head_bytes, limits.max_body_bytes);
    loop {
        let mut room = Room { shared, bytes: 0 };
        match next_request(shared, &mut stream, waker, &mut reader, &mut room) {
            Ok(Some(request)) => {
                let keep = request.keep_alive;
                if !answer(shared, &mut stream, waker, request) || !keep {
                    return;
                }
            }
            Ok(None) => return,
            Err(refusal) => {
                let counts = &shared.counts;
                let count = if refusal.0 == 503 { &counts.turned_away } else { &counts.bad_requests };
                count.fetch_add(1, Ordering::Relaxed);
                debug!(status = refusal.0, what = refusal.1, "a request was not understood");
                let retry = refusal.0 == 503;
                let _ = reply(&mut stream, refusal.0, &kserve::error(&refusal.1, retry), false);
                drain(&mut stream);
                return;
            }
        }
    }
}

/// The next whole request; `None` if the connection is over.
fn next_request(
    shared: &Shared,
    stream: &mut TcpStream,
    waker: &Waker,
    reader: &mut RequestReader,
    room: &mut Room,
) -> Result<Option<Request>, (u16, String)> {
    let limits = &shared.settings.limits;
    let mut by = Instant::now() + Duration::from_micros(limits.idle_timeout);
    let mut begun = false;
    let mut buffer = [0u8; 16 << 10];
    loop {
        match reader.next_request() {
            Ok(Some(request)) if room.fit(reader.held_bytes() + request.body.len()) => {
                return Ok(Some(request))
            }
            Ok(Some(_)) => return Err(no_room()),
            Ok(None) => {}
            Err(e) => return Err((HttpError::status(&e), e.to_string())),
        }
        if !room.fit(reader.held_bytes()) {
            return Err(no_room());
        }
        if reader.wants_continue() && stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").is_err() {
            return Ok(None);
        }
        if reader.is_partial() && !std::mem::replace(&mut begun, true) {
            by = Instant::now() + Duration::from_micros(limits.receive_timeout);
        }
        if shared.is_dead() || (shared.is_closing() && !begun) {
            return Ok(None);
        }
        let Ok(ready) = wait(waker, Some((stream, Client::Readable)), None, Some(by)) else {
            return Ok(None);
        };
        if !ready.client {
            if Instant::now() < by {
                continue;
            }
            return if begun { Err((408, "the request did not come in time".into())) } else { Ok(None) };
        }
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(None),
            Ok(n) => reader.push(&buffer[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Ok(None),
        }
    }
}

fn no_room() -> (u16, String) {
    (503, "no room for more requests' bodies".into())
}

/// Answers one request; `false` if the connection is of no more use.
fn answer(shared: &Shared, stream: &mut TcpStream, waker: &Arc<Waker>, request: Request) -> bool {
    let settings = &shared.settings;
    let keep = request.keep_alive;
    let known = |model: &str| model == settings.model;
    let (status, body) = match kserve::route(&request.method, &request.target) {
        Route::Live => (200, "{\"live\":true}".to_string()),
        Route::Ready => ready(shared),
        Route::ModelReady(model) if known(&model) => ready(shared),
        Route::Counters => (200, counters(shared)),
        Route::Peers => told(&shared.fleet.membership_status, "this node has no peers in its settings"),
        Route::Recovery => told(&shared.fleet.recovery_status, "this node has no recovery in its settings"),
        Route::Keepers => told(&shared.fleet.consensus_status, "this node is no keeper"),
        Route::Limits => limits(shared),
        Route::Regions => told(&shared.fleet.failover_status, "this node has no regions in its settings"),
        Route::Verdicts => told(&shared.fleet.outlier_status, "this node has no verdicts in its settings"),
        Route::Server => (200, kserve::metadata(env!("CARGO_PKG_VERSION"))),
        Route::Model(model) if known(&model) => (200, kserve::model_metadata(&model)),
        Route::Work(model, form) if known(&model) => return work(shared, stream, waker, form, &request),
        Route::Model(model) | Route::ModelReady(model) | Route::Work(model, _) => {
            (404, kserve::error(&format!("unknown model `{model}`"), false))
        }
        Route::WrongMethod => (405, kserve::error("this endpoint has another method", false)),
        Route::Unknown => (404, kserve::error("no such endpoint", false)),
    };
    if status >= 400 && status != 503 {
        shared.counts.bad_requests.fetch_add(1, Ordering::Relaxed);
    }
    reply(stream, status, &body, keep).is_ok()
}

fn ready(shared: &Shared) -> (u16, String) {
    match shared.serving.load(Ordering::Relaxed) > 0 && !shared.is_closing() {
        true => (200, "{\"ready\":true}".into()),
        false => (503, "{\"ready\":false}".into()),
    }
}

/// What another thread has told last, as it is told to people.
fn told<T: serde::Serialize>(what: &std::sync::Mutex<Option<T>>, none: &str) -> (u16, String) {
    let told = what.lock().unwrap_or_else(|e| e.into_inner());
    match told.as_ref().and_then(|t| serde_json::to_string(t).ok()) {
        Some(text) => (200, text),
        None => (404, kserve::error(none, false)),
    }
}

/// How the fleet's limits stand here, who lends, and what this node lends if it does.
fn limits(shared: &Shared) -> (u16, String) {
    let limits = lock(&shared.fleet.limit_status);
    let Some(limits) = limits.as_ref() else {
        return (404, kserve::error("this node has no shared limits in its settings", false));
    };
    let body = serde_json::json!({
        "node": shared.settings.name, "lender": *lock(&shared.fleet.lease_granter),
        "limits": limits, "lends": *lock(&shared.fleet.granted_pools),
    });
    (200, body.to_string())
}

/// A cell's level as the counters document spells it, whatever the variant is called.
fn cell_level_name(level: pintally_cells::Level) -> &'static str {
    match level {
        pintally_cells::Level::Well => "Well",
        pintally_cells::Level::Thin => "Thin",
        pintally_cells::Level::Shed => "Shed",
        pintally_cells::Level::Lost => "Lost",
    }
}

fn counters(shared: &Shared) -> String {
    let c = shared.counters();
    let h = c.host;
    let cells = shared.cells.lock().unwrap_or_else(|e| e.into_inner());
    let cells: Vec<_> = cells
        .iter()
        .map(|c| {
            serde_json::json!({
                "cell": &*c.cell.0, "level": cell_level_name(c.level), "share": c.capacity,
                "borrowed": c.borrowed, "strained": c.strained, "failing": c.failing,
            })
        })
        .collect();
    let moves = shared.moves.lock().unwrap_or_else(|e| e.into_inner());
    let moves: Vec<_> = moves
        .iter()
        .map(|(tenant, share, held)| serde_json::json!({ "tenant": tenant, "share": share, "held": held }))
        .collect();
    serde_json::json!({
        "cells": cells, "moves": moves, "at_the_edge": h.rejected_by_cell, "gave_way": h.preempted_while_queued,
        "connections": c.connections, "open_connections": shared.open_connections(),
        "over_limit": c.over_limit, "bad_requests": c.bad_requests, "turned_away": c.turned_away,
        "unwritten": c.unwritten, "lists_refused": c.lists_refused,
        "deciding_us": c.deciding.as_micros() as u64, "serving_engines": shared.serving.load(Ordering::Relaxed),
        "taken": h.accepted, "served": h.served, "refused": h.rejected, "failed": h.failed, "cut": h.streams_cut,
        "left": h.clients_left, "kept_out": h.rejected_during_recovery, "limited": h.rejected_over_quota, "retries_limited": h.retries_over_quota,
        "no_zone": h.rejected_no_zone, "led_far": h.routed_to_other_zone, "attempts": h.attempts, "never_sent": h.never_sent, "overdue": h.overdue,
        "releases": h.releases, "releases_by_host": h.releases_by_host,
        "releases_lost": h.releases_lost, "releases_of_left": h.orphaned_releases, "inherited": h.reservations_inherited,
        "stray": h.unmatched_inputs,
    })
    .to_string()
}

fn work(shared: &Shared, stream: &mut TcpStream, waker: &Arc<Waker>, form: Form, request: &Request) -> bool {
    let settings = &shared.settings;
    let asked = InferenceRequest::parse(form, &request.body, request.headers.get(DEADLINE_HEADER))
        .map_err(|e| e.0)
        .and_then(|ask| arrival(shared, form, &ask, request.body.len()).map(|arrival| (ask, arrival)));
    match asked {
        Ok((ask, arrival)) => {
            let asked = Asked { ask, form, model: settings.model.clone(), keep_alive: request.keep_alive };
            life::run(shared, stream, waker, &asked, arrival)
        }
        Err(what) => {
            shared.counts.bad_requests.fetch_add(1, Ordering::Relaxed);
            reply(stream, 400, &kserve::error(&what, false), request.keep_alive).is_ok()
        }
    }
}

/// What the host is told of a request; an error says which name is not known.
fn arrival(
    shared: &Shared,
    form: Form,
    ask: &InferenceRequest,
    bytes: usize,
) -> Result<IncomingRequest, String> {
    let core = &shared.settings.core;
    let class = match &ask.class {
        None => None,
        Some(name) => match core.classes.iter().position(|c| c.name == *name) {
            Some(class) => Some(class),
            None => return Err(format!("unknown class `{name}`")),
        },
    };
    let tenant = match &ask.tenant {
        Some(name) if !core.tenants.is_empty() => match core.tenants.iter().position(|t| t.name == *name) {
            Some(tenant) => Some(tenant),
            None => return Err(format!("unknown tenant `{name}`")),
        },
        _ => None,
    };
    // Until the node counts tokens itself, four bytes stand for one.
    let estimate = (ask.prompt.len() as u64).div_ceil(4);
    Ok(IncomingRequest {
        ticket: shared.next_ticket.fetch_add(1, Ordering::Relaxed),
        name: None,
        class,
        tenant,
        session: ask.session,
        prefix: ask.prefix,
        prompt_tokens: ask.prompt_tokens.unwrap_or(estimate),
        prefix_tokens: ask.prefix_tokens,
        max_tokens: ask.max_tokens,
        client_timeout: ask.deadline_ms.map(|ms| ms * 1000),
        streamed: form == Form::Stream,
        resumed: ask.resumed,
        bytes,
        unix_ms: shared.clock.unix_ms(),
    })
}

/// Writes a whole answer.
pub(crate) fn reply(stream: &mut TcpStream, status: u16, body: &str, keep: bool) -> io::Result<()> {
    let mut headers = vec![("content-type", "application/json")];
    if !keep {
        headers.push(("connection", "close"));
    }
    stream.write_all(&response(status, &headers, body.as_bytes()))
}

/// Takes what the client still sends, within bounds, so that closing does not reset the answer away.
fn drain(stream: &mut TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(DRAIN_FOR));
    let (by, mut left, mut buffer) = (Instant::now() + DRAIN_FOR, MAX_DRAIN, [0u8; 16 << 10]);
    while left > 0 && Instant::now() < by {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
    }
}

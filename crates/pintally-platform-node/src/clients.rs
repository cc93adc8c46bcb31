//! Clients' connections: requests in, answers out, one after the other.

use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::rc::Rc;

use pintally::interface::Micros;
use pintally_guards::CloseReason;
use pintally_host::{FinalAnswer, Input, RequestNumber};
use pintally_http::{chunk, response, response_head, LAST_CHUNK};
use pintally_platform::{parse_client_request, ClientRequest, InferenceRequest, RequestError};

use crate::conn::{Client, Conn, Key, Stage, SLOW, SLOW_NO_MORE};
use crate::node::{Job, Node};
use crate::poll::Flags;
use crate::system::is_not_yet;

/// Requests of one connection that are looked at in one turn.
const MAX_REQUESTS: usize = 8;
/// A connection whose end has been written is read and dropped for so long.
pub(crate) const LINGER: Micros = 400_000;

impl Node {
    pub(crate) fn client(&mut self, key: Key) -> Option<&mut Client> {
        match self.conns.get_mut(key) {
            Some(Conn::Client(c)) => Some(c),
            _ => None,
        }
    }

    /// Something has happened to a client that has not left, as [`Node::clients_that_left`] has seen.
    pub(crate) fn client_event(&mut self, key: Key, flags: Flags) {
        let Some(client) = self.client(key) else { return };
        let reads = client.reads();
        if flags.contains(Flags::OUT) {
            self.dirty.push(key);
        }
        if flags.intersects(Flags::IN | Flags::RDHUP) && reads {
            self.client_reads(key);
        }
    }

    fn client_reads(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(Conn::Client(client)) = self.conns.get_mut(key) else { return };
        let n = match client.stream.read(&mut self.buffer) {
            Ok(0) => return self.client_gone(key, CloseReason::ClientLeft),
            Ok(n) => n,
            Err(e) if is_not_yet(&e) => return,
            Err(_) => return self.client_gone(key, CloseReason::Broken),
        };
        // What comes behind the end is dropped: the client shall read its answer before a reset.
        if client.stage == Stage::Closing {
            return;
        }
        if !client.reader.is_partial() && client.served > 0 {
            client.since = now;
        }
        client.reader.push(&self.buffer[..n]);
        client.arrivals.push(now, n);
        self.requests(key);
    }

    /// Counts what a client's request holds while it comes in; whether it is within bounds.
    fn count(&mut self, key: Key) -> bool {
        let most = self.config.max_total_body_bytes();
        let Some(Conn::Client(client)) = self.conns.get_mut(key) else { return true };
        let held = client.reader.held_bytes();
        self.bytes = self.bytes + held - client.counted;
        client.counted = held;
        self.bytes <= most
    }

    /// Looks at the requests that are there, until one is held.
    pub(crate) fn requests(&mut self, key: Key) {
        for _ in 0..MAX_REQUESTS {
            let open = |c: &&mut Client| c.stage == Stage::Open && c.takes_answers();
            let Some(client) = self.client(key).filter(open) else { break };
            match client.reader.next_request() {
                Ok(Some(request)) => {
                    client.last |= !request.keep_alive;
                    self.request(key, request);
                }
                Ok(None) => {
                    if client.reader.wants_continue() {
                        client.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                        self.dirty.push(key);
                    }
                    if !self.count(key) {
                        self.reject(key, RequestError { status: 503, message: "no room for the body" });
                    }
                    return self.client_waits(key);
                }
                Err(e) => {
                    let message = match e.status() {
                        413 => "the body is too long",
                        431 => "the head is too long",
                        501 => "this transfer encoding is not served",
                        _ => "not a request that can be read",
                    };
                    self.reject(key, RequestError { status: e.status(), message });
                    return self.client_waits(key);
                }
            }
        }
        self.look_again(key);
        self.count(key);
        self.client_waits(key);
    }

    /// The next requests of a connection are looked at in the next iteration, if it may go on.
    fn look_again(&mut self, key: Key) {
        let Some(client) = self.client(key) else { return };
        let waits = client.stage == Stage::Open && client.takes_answers();
        if waits && !std::mem::replace(&mut client.ready, true) {
            self.ready.push(key);
        }
    }

    /// What the connection is waited on for, by its stage.
    fn client_waits(&mut self, key: Key) {
        let Some(client) = self.client(key) else { return };
        let mut flags = Flags::RDHUP;
        if client.reads() {
            flags |= Flags::IN;
        }
        if client.gone < client.out.len() {
            flags |= Flags::OUT;
        }
        self.interest(key, flags);
    }

    fn request(&mut self, key: Key, request: pintally_http::Request) {
        let ticket = self.next_ticket;
        match parse_client_request(&self.config.settings.names, ticket, request) {
            Ok(ClientRequest::Readiness) => {
                let status = if self.is_ready() { 200 } else { 503 };
                self.answer_whole(key, response(status, &[], b""));
            }
            Ok(ClientRequest::Status) => {
                let page = self.status_document().to_string();
                let kind = [("content-type", "application/json")];
                self.answer_whole(key, response(200, &kind, page.as_bytes()));
            }
            Ok(ClientRequest::Inference(ask)) => self.work(key, ticket, *ask),
            Err(rejected) => self.reject(key, rejected),
        }
    }

    fn work(&mut self, key: Key, ticket: RequestNumber, mut ask: InferenceRequest) {
        let waited = self.waited(key);
        ask.arrival.client_timeout =
            ask.arrival.client_timeout.map(|patience| patience.saturating_sub(waited));
        if ask.arrival.name.as_ref().is_some_and(|name| self.host.knows(name)) {
            return self.reject(key, RequestError { status: 409, message: "this id is in use" });
        }
        if self.bytes + ask.body.len() > self.config.max_total_body_bytes() {
            return self.answer_whole(key, response(503, &[], b"no room\n"));
        }
        self.next_ticket += 1;
        self.bytes += ask.body.len();
        let job = Job { client: Some(key), head: ask.head, body: Rc::from(ask.body), out: None };
        self.jobs.insert(ticket, job);
        let Some(client) = self.client(key) else { return };
        client.stage = Stage::Busy(ticket);
        client.streaming = false;
        client.served += 1;
        tracing::debug!(
            ticket,
            id = ask.arrival.name.as_ref().map(|n| n.0.as_ref()),
            class = ask.arrival.class,
            prompt = ask.arrival.prompt_tokens,
            session = ask.arrival.session,
            prefix = ask.arrival.prefix,
            patience_ms = ask.arrival.client_timeout.map(|p| p / 1000),
            "a request"
        );
        self.feed(Input::RequestArrived(ask.arrival));
    }

    /// For how long the request that was read last has waited on its connection, behind others.
    fn waited(&mut self, key: Key) -> Micros {
        let now = self.clock.now();
        let Some(client) = self.client(key) else { return 0 };
        let behind = client.reader.held_bytes();
        client.arrivals.last_before(behind).map_or(0, |came| now.saturating_sub(came))
    }

    /// An answer that no engine has a part in.
    fn answer_whole(&mut self, key: Key, bytes: Vec<u8>) {
        let Some(client) = self.client(key) else { return };
        client.out.extend_from_slice(&bytes);
        self.answered(key);
    }

    /// An error for what cannot be used; the connection ends behind it.
    pub(crate) fn reject(&mut self, key: Key, rejected: RequestError) {
        let Some(client) = self.client(key) else { return };
        let body = format!("{}\n", rejected.message);
        client.out.extend_from_slice(&response(rejected.status, &[("connection", "close")], body.as_bytes()));
        client.last = true;
        self.answered(key);
        // Guards against bad clients that use up the lines that people on call need.
        if tracing::enabled!(tracing::Level::DEBUG) && self.quota.allows(self.clock.now()) {
            tracing::debug!(status = rejected.status, why = rejected.message, "a request got an error");
        }
    }

    /// Whether a connection ends behind the answer that is given now. A node that is about to end still answers
    /// what it has read behind that: a request that was read and gets no answer would be lost. So would one
    /// that comes behind a stream whose head has not told that the connection ends: that is closed unread.
    fn ends_behind_answer(&mut self, key: Key) -> bool {
        let stopping = self.stopping.is_some();
        let may_tell = |client: &Client| !client.streaming && !client.reader.is_partial();
        self.client(key).is_some_and(|client| client.last || stopping && may_tell(client))
    }

    /// The answer to a connection's request is written in full.
    fn answered(&mut self, key: Key) {
        let (now, ends) = (self.clock.now(), self.ends_behind_answer(key));
        let stopping = self.stopping.is_some();
        let Some(client) = self.client(key) else { return };
        client.ends_at_rest = stopping && !ends;
        client.streaming = false;
        client.used = now;
        client.since = now;
        client.stage = match ends {
            true => Stage::Closing,
            false => Stage::Open,
        };
        self.dirty.push(key);
        self.look_again(key);
    }

    /// The final answer of a request.
    pub(crate) fn final_answer(&mut self, ticket: RequestNumber, answer: FinalAnswer) {
        let Some(key) = self.jobs.get_mut(&ticket).and_then(|job| job.client.take()) else { return };
        let ends = self.ends_behind_answer(key);
        let Some(client) = self.client(key).filter(|c| c.stage == Stage::Busy(ticket)) else { return };
        tracing::debug!(ticket, ?answer, "a final answer");
        let close: &[(&str, &str)] = if ends { &[("connection", "close")] } else { &[] };
        match answer {
            FinalAnswer::Served => client.out.extend_from_slice(LAST_CHUNK),
            FinalAnswer::Rejected(after) => {
                let after = after.map(|span| format!("{:.3}", span as f64 / 1e6));
                let mut headers = close.to_vec();
                headers.extend(after.as_deref().map(|a| ("retry-after", a)));
                client.out.extend_from_slice(&response(503, &headers, b"turned away\n"));
            }
            FinalAnswer::Failed => client.out.extend_from_slice(&response(502, close, b"failed\n")),
            // What had begun is cut off: the end of the connection without the last chunk says so.
            FinalAnswer::StreamCut => client.last = true,
        }
        let cut = answer == FinalAnswer::StreamCut;
        self.answered(key);
        if cut {
            self.flush(key);
            self.close_client(key, CloseReason::StreamCut);
        }
    }

    /// Passes on events of the engine's stream, if there is a client; whether it is slow to take them.
    pub(crate) fn pass_on(&mut self, ticket: RequestNumber, events: &[u8]) -> Option<bool> {
        let key = self.jobs.get(&ticket)?.client?;
        let ends = self.ends_behind_answer(key);
        let client = self.client(key)?;
        if !std::mem::replace(&mut client.streaming, true) {
            client.last |= ends;
            let mut headers = vec![("content-type", "text/event-stream")];
            headers.extend(ends.then_some(("connection", "close")));
            client.out.extend_from_slice(&response_head(200, &headers));
        }
        client.out.extend_from_slice(&chunk(events));
        let slow = client.out.len() - client.gone > SLOW;
        self.dirty.push(key);
        Some(slow)
    }

    pub(crate) fn flush_dirty(&mut self) {
        for key in std::mem::take(&mut self.dirty) {
            self.flush(key);
        }
    }

    /// Writes what there is to write.
    fn flush(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(client) = self.client(key) else { return };
        while client.gone < client.out.len() {
            match client.stream.write(&client.out[client.gone..]) {
                Ok(0) => break,
                Ok(n) => {
                    client.gone += n;
                    client.stuck = None;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return self.client_gone(key, CloseReason::Broken),
            }
        }
        let left = client.out.len() - client.gone;
        if left == 0 {
            client.out.clear();
            client.gone = 0;
            client.out.shrink_to(SLOW_NO_MORE);
            client.stuck = None;
            if client.stage == Stage::Closing && !std::mem::replace(&mut client.shut, true) {
                client.used = now;
                let _ = client.stream.shutdown(Shutdown::Write);
            }
        } else {
            client.stuck = client.stuck.or(Some(now));
            if client.gone > SLOW {
                client.out.drain(..client.gone);
                client.gone = 0;
            }
        }
        let (stage, partial) = (client.stage, client.reader.is_partial());
        let at_rest = client.ends_at_rest && !partial;
        match stage {
            Stage::Busy(ticket) if left < SLOW_NO_MORE => self.resume(ticket),
            Stage::Open if left < SLOW_NO_MORE && partial => self.look_again(key),
            // Closed unread, its client sends what crosses the close once more, elsewhere.
            Stage::Open if left == 0 && at_rest && self.close_client(key, CloseReason::Stopping) => return,
            _ => {}
        }
        self.client_waits(key);
    }

    /// The client has left, or cannot be written to.
    pub(crate) fn client_gone(&mut self, key: Key, reason: CloseReason) {
        let busy = match self.client(key).map(|c| c.stage) {
            Some(Stage::Busy(ticket)) => Some(ticket),
            _ => None,
        };
        self.close_client(key, reason);
        let Some(ticket) = busy else { return };
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.client = None;
        }
        self.feed(Input::ClientLeft(ticket));
        self.call_off(ticket);
        self.work_off();
    }
}

//! One connection to an engine: completions, streaming, releases and probes.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_audit::{AuditEvent, Step};
use pintally_emulator::{self as emulator, Notice, Refusal};
use pintally_engine::{extension, LOAD_HEADER};
use pintally_http::{chunk, response, response_head, sse_event, Request, RequestReader, LAST_CHUNK};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::RecvFlags;
use serde_json::{json, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::driver::SubmittedWork;
use crate::engine::{Engine, POLL_INTERVAL};
use crate::text::{block_hashes, token_count};

/// Tokens sent in one event of a stream; the first event carries one.
const TOKENS_PER_EVENT: u64 = 4;
/// How often an idle connection checks whether the engine still runs.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// An idle connection is closed after this time.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(15);

/// The client has gone, or the engine has ended.
struct ConnectionClosed;

struct Connection<'a> {
    engine: &'a Arc<Engine>,
    stream: TcpStream,
    node: String,
    zone: String,
    incarnation: u64,
}

/// One completion request as received.
struct CompletionRequest {
    attempt: String,
    key: String,
    tenant: Option<String>,
    prompt: String,
    max_tokens: u64,
    step: Step,
    /// Engine that holds the read state, and the state's name there.
    source: Option<(String, String)>,
}

/// Serves a connection until it closes or the engine ends.
pub(crate) fn connection(engine: &Arc<Engine>, stream: TcpStream, peer: IpAddr, incarnation: u64) {
    let Some(fleet) = engine.fleet.upgrade() else { return };
    let (node, zone) = fleet.node(peer);
    drop(fleet);
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let mut connection = Connection { engine, stream, node, zone, incarnation };
    let mut reader = RequestReader::new(16 << 10, 16 << 20);
    while let Ok(request) = connection.next_request(&mut reader) {
        if connection.handle(&request).is_err() {
            break;
        }
    }
    if !connection.engine_is_running() {
        // Resets the connection, as the end of a real process would.
        let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Connection<'_> {
    fn engine_is_running(&self) -> bool {
        self.engine.lock().incarnation == self.incarnation
    }

    /// Whether the client has closed its end.
    fn peer_closed(&self) -> bool {
        let peeked =
            rustix::net::recv(&self.stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
        !matches!(peeked, Err(rustix::io::Errno::AGAIN)) && !matches!(peeked, Ok((1, _)))
    }

    /// Whether a fault keeps data from passing between this engine and the node.
    fn is_unreachable(&self) -> bool {
        let faults = &self.engine.lock().faults;
        if faults.hang || faults.silent {
            return true;
        }
        let zone = &self.engine.spec.zone;
        self.engine.fleet.upgrade().is_some_and(|f| f.are_separated(zone, &self.zone))
    }

    /// Waits until data can pass. A request received while the engine is silent is never answered, even
    /// after the fault ends.
    fn wait_until_reachable(&self) -> Result<(), ConnectionClosed> {
        let mut was_silent = false;
        loop {
            if !self.engine_is_running() || self.peer_closed() {
                return Err(ConnectionClosed);
            }
            was_silent |= self.engine.lock().faults.silent;
            if !was_silent && !self.is_unreachable() {
                return Ok(());
            }
            drop(self.engine.wait(self.engine.lock(), POLL_INTERVAL));
        }
    }

    fn next_request(&mut self, reader: &mut RequestReader) -> Result<Request, ConnectionClosed> {
        let idle_deadline = Instant::now() + KEEP_ALIVE_TIMEOUT;
        let mut buffer = [0u8; 16 << 10];
        loop {
            match reader.next_request() {
                Ok(Some(request)) => return Ok(request),
                Ok(None) => {}
                Err(_) => return Err(ConnectionClosed),
            }
            let timeout = Timespec { tv_sec: 0, tv_nsec: IDLE_POLL_INTERVAL.as_nanos() as i64 };
            let mut fds = [PollFd::new(&self.stream, PollFlags::IN)];
            let ready = poll(&mut fds, Some(&timeout)).unwrap_or(0) > 0;
            if !self.engine_is_running() || (!ready && Instant::now() > idle_deadline) {
                return Err(ConnectionClosed);
            }
            if ready {
                match self.stream.read(&mut buffer) {
                    Ok(0) => return Err(ConnectionClosed),
                    Ok(n) => reader.push(&buffer[..n]),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return Err(ConnectionClosed),
                }
            }
        }
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionClosed> {
        self.stream.write_all(bytes).map_err(|_| ConnectionClosed)
    }

    fn handle(&mut self, request: &Request) -> Result<(), ConnectionClosed> {
        match (request.method.as_str(), request.target.as_str()) {
            ("POST", "/v1/completions") => {
                let Some(work) = parse(request) else { return self.respond_error(400, "bad_request", false) };
                self.handle_completion(&work)
            }
            ("POST", extension::RELEASE_PATH) => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let name = body["request_id"].as_str().unwrap_or("").to_string();
                let engine = self.engine.spec.id.clone();
                self.engine.recorder.note(AuditEvent::ReleaseArrived { engine, state: name.clone() });
                self.wait_until_reachable()?;
                self.engine.driver.release(self.engine.emulator_index, &name);
                self.write(&response(200, &[("content-type", "application/json")], b"{}"))
            }
            ("GET", "/metrics") => {
                self.wait_until_reachable()?;
                let [running, waiting, memory, backlog] = self.engine.report();
                let page = format!(
                    "vllm:num_requests_running {running}\nvllm:num_requests_waiting {waiting}\n\
                     vllm:kv_cache_usage_perc {memory}\nvllm:prompt_tokens_waiting_thousands {backlog}\n"
                );
                self.write(&response(200, &[("content-type", "text/plain")], page.as_bytes()))
            }
            ("GET", "/health") => {
                self.wait_until_reachable()?;
                self.write(&response(200, &[], b""))
            }
            _ => self.respond_error(404, "not_found", false),
        }
    }

    fn load_report(&self) -> String {
        let [running, waiting, memory, backlog] = self.engine.report();
        let named_metrics = json!({
            "num_requests_running": running,
            "num_requests_waiting": waiting,
            "kv_cache_usage_perc": memory,
            "prompt_tokens_waiting_thousands": backlog,
        });
        format!("JSON {}", json!({ "named_metrics": named_metrics }))
    }

    fn respond_error(&mut self, status: u16, kind: &str, not_run: bool) -> Result<(), ConnectionClosed> {
        let load_report = self.load_report();
        let mut headers = vec![("content-type", "application/json"), (LOAD_HEADER, load_report.as_str())];
        if not_run {
            headers.push((extension::NOT_RUN, "1"));
        }
        let body = json!({ "error": { "type": kind, "message": kind } }).to_string();
        self.write(&response(status, &headers, body.as_bytes()))
    }

    fn handle_completion(&mut self, work: &CompletionRequest) -> Result<(), ConnectionClosed> {
        let engine = self.engine.spec.id.clone();
        self.engine.recorder.note(AuditEvent::AttemptArrived {
            engine: engine.clone(),
            node: self.node.clone(),
            request: work.key.clone(),
            attempt: work.attempt.clone(),
            step: work.step,
            reached: !self.is_unreachable(),
        });
        let done = self.wait_until_reachable().and_then(|()| self.serve(work));
        self.engine.recorder.note(AuditEvent::AttemptEnded { engine, attempt: work.attempt.clone() });
        done
    }

    fn serve(&mut self, work: &CompletionRequest) -> Result<(), ConnectionClosed> {
        let spec = &self.engine.spec;
        let token_gap_s = spec.token_gap.as_secs_f64();
        let answer_tokens = answer_tokens_of(work);
        let emulator_work = self.emulator_work(work, answer_tokens);
        let cached = self
            .engine
            .driver
            .with_fleet(|fleet, _, _| fleet.engine(self.engine.emulator_index).kept(&emulator_work));
        let unread = emulator_work.prompt.saturating_sub(cached);
        let read_cost = unread as f64 / spec.read_tokens_per_s;
        let write_cost = answer_tokens as f64 * token_gap_s / spec.slots.max(1) as f64;
        let cost = match work.step {
            Step::Read => read_cost,
            Step::Fetch => write_cost,
            Step::Both => read_cost + write_cost,
        };
        self.engine.record_work(&self.node, cost);
        if !self.engine_is_running() {
            return Err(ConnectionClosed);
        }
        let tenant_rejected = {
            let state = self.engine.lock();
            state.faults.rejected_tenant.is_some() && state.faults.rejected_tenant == work.tenant
        };
        if tenant_rejected {
            return self.reject(work, 429, "full");
        }
        let fail_after = self.engine.lock().faults.fail_after;
        if let Some(after) = fail_after {
            return self.fail_at(Instant::now() + after);
        }
        self.run(work, emulator_work, answer_tokens)
    }

    /// Converts a request to the emulator's form.
    fn emulator_work(&self, work: &CompletionRequest, answer_tokens: u64) -> emulator::Work {
        emulator::Work {
            id: 0,
            reads_only: work.step == Step::Read,
            fetches: None,
            chain: block_hashes(&work.prompt),
            prompt: token_count(&work.prompt).max(1),
            answer: if work.step == Step::Read { 0 } else { answer_tokens },
            key: None,
        }
    }

    /// Submits work to the emulator and sends its notices to the client as responses.
    fn run(
        &mut self,
        work: &CompletionRequest,
        emulator_work: emulator::Work,
        answer_tokens: u64,
    ) -> Result<(), ConnectionClosed> {
        let submitted = SubmittedWork {
            engine: self.engine.spec.id.clone(),
            node: self.node.clone(),
            request: work.key.clone(),
            attempt: work.attempt.clone(),
        };
        let (driver, emulator_index) = (&self.engine.driver, self.engine.emulator_index);
        let source = match &work.source {
            _ if work.step != Step::Fetch => None,
            None => return self.reject(work, 409, extension::NO_STATE),
            Some((engine, name)) => {
                let other = self.engine.fleet.upgrade().and_then(|f| f.engine(engine));
                match other {
                    Some(other) => Some((other.emulator_index, name.as_str())),
                    None => return self.reject(work, 409, extension::NO_STATE),
                }
            }
        };
        let Some((id, notices)) = driver.submit(emulator_index, submitted, emulator_work, source) else {
            return self.reject(work, 409, extension::NO_STATE);
        };
        let driver = driver.clone();
        let mut answer = StreamProgress { sent: 0, generated: 0, total: answer_tokens };
        let done = loop {
            match notices.recv_timeout(POLL_INTERVAL) {
                Ok(notice) => match self.handle_notice(work, &mut answer, notice) {
                    Ok(false) => {}
                    Ok(true) => break Ok(()),
                    Err(ConnectionClosed) => break Err(ConnectionClosed),
                },
                // Once the answer has begun, a closed connection shows as a write error.
                Err(_) if !self.engine_is_running() || (answer.sent == 0 && self.peer_closed()) => {
                    break Err(ConnectionClosed)
                }
                Err(_) => {}
            }
        };
        if done.is_err() {
            driver.cancel(emulator_index, id);
        }
        done
    }

    /// Handles one notice; returns whether it was the last.
    fn handle_notice(
        &mut self,
        work: &CompletionRequest,
        answer: &mut StreamProgress,
        notice: Notice,
    ) -> Result<bool, ConnectionClosed> {
        match notice {
            Notice::Refused(_, Refusal::Full | Refusal::TooLong) => self.reject(work, 429, "full")?,
            Notice::Refused(_, Refusal::NoState | Refusal::Repeat) => {
                self.reject(work, 409, extension::NO_STATE)?;
            }
            Notice::Refused(_, Refusal::Down) => return Err(ConnectionClosed),
            // Either the engine crashed, or the state was lost in transfer; in the latter case nothing was run.
            Notice::Broken(_) if !self.engine_is_running() => return Err(ConnectionClosed),
            Notice::Broken(_) => self.reject(work, 409, extension::NO_STATE)?,
            Notice::Read(_, cached) => self.respond_read_done(work, cached)?,
            Notice::Token(_, generated) => {
                answer.generated = generated;
                let batch = if answer.sent == 0 { 1 } else { TOKENS_PER_EVENT };
                if generated - answer.sent >= batch {
                    self.stream(answer)?;
                }
                return Ok(false);
            }
            Notice::Done(_, cached) => {
                self.stream(answer)?;
                self.stream_end(work, answer.total, cached)?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Waits until `at`, then answers with an error that does not tell whether the request was run.
    fn fail_at(&mut self, at: Instant) -> Result<(), ConnectionClosed> {
        loop {
            let remaining = at.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return self.respond_error(500, "internal", false);
            }
            if !self.engine_is_running() || self.peer_closed() {
                return Err(ConnectionClosed);
            }
            drop(self.engine.wait(self.engine.lock(), remaining));
        }
    }

    fn reject(&mut self, work: &CompletionRequest, status: u16, kind: &str) -> Result<(), ConnectionClosed> {
        let (engine, attempt) = (self.engine.spec.id.clone(), work.attempt.clone());
        self.engine.recorder.note(AuditEvent::AttemptRejected { engine, attempt });
        self.respond_error(status, kind, status == 429)
    }

    /// Responds that the prompt is read and its state waits to be fetched.
    fn respond_read_done(&mut self, work: &CompletionRequest, cached: u64) -> Result<(), ConnectionClosed> {
        let (engine, prompt) = (self.engine.spec.id.clone(), token_count(&work.prompt));
        self.wait_until_reachable()?;
        let body = json!({
            "object": "text_completion",
            "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": 1,
                "prompt_tokens_details": { "cached_tokens": cached },
            },
            "kv_transfer_params": {
                "do_remote_prefill": true,
                "do_remote_decode": false,
                "remote_engine_id": engine,
                "remote_request_id": work.attempt,
                "remote_host": self.engine.address.ip().to_string(),
                "remote_port": self.engine.address.port(),
            },
        });
        let load_report = self.load_report();
        let headers = [("content-type", "application/json"), (LOAD_HEADER, load_report.as_str())];
        self.write(&response(200, &headers, body.to_string().as_bytes()))
    }

    /// Sends the tokens that are generated but not yet sent.
    fn stream(&mut self, answer: &mut StreamProgress) -> Result<(), ConnectionClosed> {
        if answer.generated == answer.sent {
            return Ok(());
        }
        self.wait_until_reachable()?;
        let mut bytes = Vec::new();
        if answer.sent == 0 {
            let load_report = self.load_report();
            let headers = [("content-type", "text/event-stream"), (LOAD_HEADER, load_report.as_str())];
            bytes = response_head(200, &headers);
        }
        let text: String = (answer.sent..answer.generated).map(|n| format!("{:03} ", n % 1000)).collect();
        answer.sent = answer.generated;
        let finish = (answer.sent == answer.total).then_some("length");
        let event = json!({ "choices": [{ "index": 0, "text": text, "finish_reason": finish }] });
        bytes.extend(chunk(&sse_event(&event.to_string())));
        self.write(&bytes)
    }

    fn stream_end(
        &mut self,
        work: &CompletionRequest,
        answer_tokens: u64,
        cached: u64,
    ) -> Result<(), ConnectionClosed> {
        let usage = json!({
            "choices": [],
            "usage": {
                "prompt_tokens": token_count(&work.prompt),
                "completion_tokens": answer_tokens,
                "prompt_tokens_details": { "cached_tokens": cached },
            },
        });
        let mut bytes = chunk(&sse_event(&usage.to_string()));
        bytes.extend(chunk(&sse_event("[DONE]")));
        bytes.extend_from_slice(LAST_CHUNK);
        self.write(&bytes)
    }
}

/// Progress of a streamed answer, in tokens.
struct StreamProgress {
    sent: u64,
    generated: u64,
    total: u64,
}

/// Length of an answer in tokens: derived from the prompt's hash, between half of `max_tokens` and all of it.
fn answer_tokens_of(work: &CompletionRequest) -> u64 {
    let half = work.max_tokens.div_ceil(2);
    half + xxh3_64(work.prompt.as_bytes()) % (work.max_tokens - half + 1)
}

fn parse(request: &Request) -> Option<CompletionRequest> {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    let transfer = &body["kv_transfer_params"];
    let step = if transfer["do_remote_decode"] == json!(true) {
        Step::Read
    } else if transfer["do_remote_prefill"] == json!(true) {
        Step::Fetch
    } else {
        Step::Both
    };
    let text = |v: &Value| v.as_str().map(str::to_string);
    let source = text(&transfer["remote_engine_id"]).zip(text(&transfer["remote_request_id"]));
    Some(CompletionRequest {
        attempt: request.headers.get("x-request-id")?.to_string(),
        key: request.headers.get(extension::KEY).unwrap_or("").to_string(),
        tenant: request.headers.get(extension::TENANT).map(str::to_string),
        prompt: text(&body["prompt"])?,
        max_tokens: body["max_tokens"].as_u64().unwrap_or(16).clamp(1, 1 << 16),
        step,
        source,
    })
}

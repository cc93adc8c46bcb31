//! One connection to an engine: reads, fetches, streams, releases and probes.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_audit::{Step, What};
use pintally_emulator::{self as emulator, Notice, Refusal};
use pintally_engine::{extension, LOAD_HEADER};
use pintally_http::{chunk, response, response_head, sse_event, Request, RequestReader, LAST_CHUNK};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::RecvFlags;
use serde_json::{json, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::SubmittedWork;
use crate::engine::{Engine, SLICE};
use crate::text::{block_hashes, token_count};

/// Tokens that go out at once in a stream.
const CHUNK: u64 = 4;
/// How long an idle connection waits before it looks whether the engine lives.
const IDLE_SLICE: Duration = Duration::from_millis(200);
/// A connection that nothing comes on is closed after this time.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Why a connection is of no more use.
struct Gone;

struct Connection<'a> {
    engine: &'a Arc<Engine>,
    stream: TcpStream,
    node: String,
    zone: String,
    life: u64,
}

/// One completion as it came.
struct Work {
    attempt: String,
    key: String,
    tenant: Option<String>,
    prompt: String,
    max_tokens: u64,
    step: Step,
    /// Where the state is, and its name there.
    source: Option<(String, String)>,
}

/// Serves a connection until it closes or the engine ends.
pub(crate) fn connection(engine: &Arc<Engine>, stream: TcpStream, peer: IpAddr, life: u64) {
    let Some(fleet) = engine.fleet.upgrade() else { return };
    let (node, zone) = fleet.node(peer);
    drop(fleet);
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let mut connection = Connection { engine, stream, node, zone, life };
    let mut reader = RequestReader::new(16 << 10, 16 << 20);
    while let Ok(request) = connection.next(&mut reader) {
        if connection.answer(&request).is_err() {
            break;
        }
    }
    if !connection.lives() {
        // A process that dies resets its connections.
        let _ = socket2::SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
    }
}

impl Connection<'_> {
    fn lives(&self) -> bool {
        self.engine.lock().life == self.life
    }

    /// Whether the other end has closed.
    fn left(&self) -> bool {
        let peeked =
            rustix::net::recv(&self.stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
        !matches!(peeked, Err(rustix::io::Errno::AGAIN)) && !matches!(peeked, Ok((1, _)))
    }

    /// Whether nothing gets through between this engine and the node.
    fn deaf(&self) -> bool {
        let faults = &self.engine.lock().faults;
        if faults.hang || faults.silent {
            return true;
        }
        let zone = &self.engine.spec.zone;
        self.engine.fleet.upgrade().is_some_and(|f| f.is_cut(zone, &self.zone))
    }

    /// Waits while nothing gets through. What a silent engine has taken is never answered.
    fn hear(&self) -> Result<(), Gone> {
        let mut silenced = false;
        loop {
            if !self.lives() || self.left() {
                return Err(Gone);
            }
            silenced |= self.engine.lock().faults.silent;
            if !silenced && !self.deaf() {
                return Ok(());
            }
            drop(self.engine.wait(self.engine.lock(), SLICE));
        }
    }

    fn next(&mut self, reader: &mut RequestReader) -> Result<Request, Gone> {
        let by = Instant::now() + KEEP_ALIVE;
        let mut buffer = [0u8; 16 << 10];
        loop {
            match reader.next_request() {
                Ok(Some(request)) => return Ok(request),
                Ok(None) => {}
                Err(_) => return Err(Gone),
            }
            let slice = Timespec { tv_sec: 0, tv_nsec: IDLE_SLICE.as_nanos() as i64 };
            let mut fds = [PollFd::new(&self.stream, PollFlags::IN)];
            let ready = poll(&mut fds, Some(&slice)).unwrap_or(0) > 0;
            if !self.lives() || (!ready && Instant::now() > by) {
                return Err(Gone);
            }
            if ready {
                match self.stream.read(&mut buffer) {
                    Ok(0) => return Err(Gone),
                    Ok(n) => reader.push(&buffer[..n]),
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return Err(Gone),
                }
            }
        }
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), Gone> {
        self.stream.write_all(bytes).map_err(|_| Gone)
    }

    fn answer(&mut self, request: &Request) -> Result<(), Gone> {
        match (request.method.as_str(), request.target.as_str()) {
            ("POST", "/v1/completions") => {
                let Some(work) = parse(request) else { return self.refuse(400, "bad_request", false) };
                self.completion(&work)
            }
            ("POST", extension::RELEASE_PATH) => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let name = body["request_id"].as_str().unwrap_or("").to_string();
                let engine = self.engine.spec.id.clone();
                self.engine.recorder.note(What::ReleaseSeen { engine, state: name.clone() });
                self.hear()?;
                self.engine.clock.release(self.engine.number, &name);
                self.write(&response(200, &[("content-type", "application/json")], b"{}"))
            }
            ("GET", "/metrics") => {
                self.hear()?;
                let [running, waiting, memory, backlog] = self.engine.report();
                let page = format!(
                    "vllm:num_requests_running {running}\nvllm:num_requests_waiting {waiting}\n\
                     vllm:kv_cache_usage_perc {memory}\nvllm:prompt_tokens_waiting_thousands {backlog}\n"
                );
                self.write(&response(200, &[("content-type", "text/plain")], page.as_bytes()))
            }
            ("GET", "/health") => {
                self.hear()?;
                self.write(&response(200, &[], b""))
            }
            _ => self.refuse(404, "not_found", false),
        }
    }

    fn load(&self) -> String {
        let [running, waiting, memory, backlog] = self.engine.report();
        let named = json!({
            "num_requests_running": running,
            "num_requests_waiting": waiting,
            "kv_cache_usage_perc": memory,
            "prompt_tokens_waiting_thousands": backlog,
        });
        format!("JSON {}", json!({ "named_metrics": named }))
    }

    fn refuse(&mut self, status: u16, kind: &str, not_run: bool) -> Result<(), Gone> {
        let load = self.load();
        let mut headers = vec![("content-type", "application/json"), (LOAD_HEADER, load.as_str())];
        if not_run {
            headers.push((extension::NOT_RUN, "1"));
        }
        let body = json!({ "error": { "type": kind, "message": kind } }).to_string();
        self.write(&response(status, &headers, body.as_bytes()))
    }

    fn completion(&mut self, work: &Work) -> Result<(), Gone> {
        let engine = self.engine.spec.id.clone();
        self.engine.recorder.note(What::Took {
            engine: engine.clone(),
            node: self.node.clone(),
            request: work.key.clone(),
            attempt: work.attempt.clone(),
            step: work.step,
            reached: !self.deaf(),
        });
        let done = self.hear().and_then(|()| self.serve(work));
        self.engine.recorder.note(What::Done { engine, attempt: work.attempt.clone() });
        done
    }

    fn serve(&mut self, work: &Work) -> Result<(), Gone> {
        let spec = &self.engine.spec;
        let gap = spec.token_gap.as_secs_f64();
        let answers = answer_tokens(work);
        let whole = self.emulator_spec(work, answers);
        let kept = self.engine.clock.act(|fleet, _, _| fleet.engine(self.engine.number).kept(&whole));
        let unread = whole.prompt.saturating_sub(kept);
        let read_cost = unread as f64 / spec.read_tokens_per_s;
        let write_cost = answers as f64 * gap / spec.slots.max(1) as f64;
        let cost = match work.step {
            Step::Read => read_cost,
            Step::Fetch => write_cost,
            Step::Both => read_cost + write_cost,
        };
        self.engine.sent(&self.node, cost);
        if !self.lives() {
            return Err(Gone);
        }
        let tenant_full = {
            let state = self.engine.lock();
            state.faults.full_for.is_some() && state.faults.full_for == work.tenant
        };
        if tenant_full {
            return self.turn_away(work, 429, "full");
        }
        let fails = self.engine.lock().faults.fail_after;
        if let Some(after) = fails {
            return self.fail(Instant::now() + after);
        }
        self.carry(work, whole, answers)
    }

    /// A piece of work as the emulator takes it.
    fn emulator_spec(&self, work: &Work, answers: u64) -> emulator::Work {
        emulator::Work {
            id: 0,
            reads_only: work.step == Step::Read,
            fetches: None,
            chain: block_hashes(&work.prompt),
            prompt: token_count(&work.prompt).max(1),
            answer: if work.step == Step::Read { 0 } else { answers },
            key: None,
        }
    }

    /// Hands work to the emulator and passes on what comes of it.
    fn carry(&mut self, work: &Work, whole: emulator::Work, answers: u64) -> Result<(), Gone> {
        let submitted = SubmittedWork {
            engine: self.engine.spec.id.clone(),
            node: self.node.clone(),
            request: work.key.clone(),
            attempt: work.attempt.clone(),
        };
        let (clock, number) = (&self.engine.clock, self.engine.number);
        let source = match &work.source {
            _ if work.step != Step::Fetch => None,
            None => return self.turn_away(work, 409, extension::NO_STATE),
            Some((engine, name)) => {
                let other = self.engine.fleet.upgrade().and_then(|f| f.engine(engine));
                match other {
                    Some(other) => Some((other.number, name.as_str())),
                    None => return self.turn_away(work, 409, extension::NO_STATE),
                }
            }
        };
        let Some((id, mail)) = clock.submit(number, submitted, whole, source) else {
            return self.turn_away(work, 409, extension::NO_STATE);
        };
        let clock = clock.clone();
        let mut answer = Answer { sent: 0, made: 0, of: answers };
        let done = loop {
            match mail.recv_timeout(SLICE) {
                Ok(notice) => match self.heard(work, &mut answer, notice) {
                    Ok(false) => {}
                    Ok(true) => break Ok(()),
                    Err(Gone) => break Err(Gone),
                },
                // A running answer notices a client that is gone when it writes.
                Err(_) if !self.lives() || (answer.sent == 0 && self.left()) => break Err(Gone),
                Err(_) => {}
            }
        };
        if done.is_err() {
            clock.cancel(number, id);
        }
        done
    }

    /// Passes one notice on; whether it was the last.
    fn heard(&mut self, work: &Work, answer: &mut Answer, notice: Notice) -> Result<bool, Gone> {
        match notice {
            Notice::Refused(_, Refusal::Full | Refusal::TooLong) => self.turn_away(work, 429, "full")?,
            Notice::Refused(_, Refusal::NoState | Refusal::Repeat) => {
                self.turn_away(work, 409, extension::NO_STATE)?;
            }
            Notice::Refused(_, Refusal::Down) => return Err(Gone),
            // The engine died, or its state broke off on the way: then nothing was run of it.
            Notice::Broken(_) if !self.lives() => return Err(Gone),
            Notice::Broken(_) => self.turn_away(work, 409, extension::NO_STATE)?,
            Notice::Read(_, kept) => self.read_done(work, kept)?,
            Notice::Token(_, made) => {
                answer.made = made;
                let group = if answer.sent == 0 { 1 } else { CHUNK };
                if made - answer.sent >= group {
                    self.stream(answer)?;
                }
                return Ok(false);
            }
            Notice::Done(_, kept) => {
                self.stream(answer)?;
                self.stream_end(work, answer.of, kept)?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Ends with an error once a time has come: nobody can tell whether anything was done.
    fn fail(&mut self, at: Instant) -> Result<(), Gone> {
        loop {
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.refuse(500, "internal", false);
            }
            if !self.lives() || self.left() {
                return Err(Gone);
            }
            drop(self.engine.wait(self.engine.lock(), left));
        }
    }

    fn turn_away(&mut self, work: &Work, status: u16, kind: &str) -> Result<(), Gone> {
        let (engine, attempt) = (self.engine.spec.id.clone(), work.attempt.clone());
        self.engine.recorder.note(What::TurnedAway { engine, attempt });
        self.refuse(status, kind, status == 429)
    }

    /// Tells that a prompt is read and its state waits.
    fn read_done(&mut self, work: &Work, kept: u64) -> Result<(), Gone> {
        let (engine, prompt) = (self.engine.spec.id.clone(), token_count(&work.prompt));
        self.hear()?;
        let body = json!({
            "object": "text_completion",
            "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": 1,
                "prompt_tokens_details": { "cached_tokens": kept },
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
        let load = self.load();
        let headers = [("content-type", "application/json"), (LOAD_HEADER, load.as_str())];
        self.write(&response(200, &headers, body.to_string().as_bytes()))
    }

    /// Sends the tokens that are made and have not gone out.
    fn stream(&mut self, answer: &mut Answer) -> Result<(), Gone> {
        if answer.made == answer.sent {
            return Ok(());
        }
        self.hear()?;
        let mut bytes = Vec::new();
        if answer.sent == 0 {
            let load = self.load();
            let headers = [("content-type", "text/event-stream"), (LOAD_HEADER, load.as_str())];
            bytes = response_head(200, &headers);
        }
        let text: String = (answer.sent..answer.made).map(|n| format!("{:03} ", n % 1000)).collect();
        answer.sent = answer.made;
        let finish = (answer.sent == answer.of).then_some("length");
        let event = json!({ "choices": [{ "index": 0, "text": text, "finish_reason": finish }] });
        bytes.extend(chunk(&sse_event(&event.to_string())));
        self.write(&bytes)
    }

    fn stream_end(&mut self, work: &Work, answers: u64, kept: u64) -> Result<(), Gone> {
        let usage = json!({
            "choices": [],
            "usage": {
                "prompt_tokens": token_count(&work.prompt),
                "completion_tokens": answers,
                "prompt_tokens_details": { "cached_tokens": kept },
            },
        });
        let mut bytes = chunk(&sse_event(&usage.to_string()));
        bytes.extend(chunk(&sse_event("[DONE]")));
        bytes.extend_from_slice(LAST_CHUNK);
        self.write(&bytes)
    }
}

/// How far an answer has come.
struct Answer {
    sent: u64,
    made: u64,
    of: u64,
}

/// How many tokens an answer has: the same for the same prompt, between half and all of the most.
fn answer_tokens(work: &Work) -> u64 {
    let half = work.max_tokens.div_ceil(2);
    half + xxh3_64(work.prompt.as_bytes()) % (work.max_tokens - half + 1)
}

fn parse(request: &Request) -> Option<Work> {
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
    Some(Work {
        attempt: request.headers.get("x-request-id")?.to_string(),
        key: request.headers.get(extension::KEY).unwrap_or("").to_string(),
        tenant: request.headers.get(extension::TENANT).map(str::to_string),
        prompt: text(&body["prompt"])?,
        max_tokens: body["max_tokens"].as_u64().unwrap_or(16).clamp(1, 1 << 16),
        step,
        source,
    })
}

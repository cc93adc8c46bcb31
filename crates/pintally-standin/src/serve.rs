//! One connection to an engine: reads, fetches, streams, releases and probes.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pintally_audit::{FreedBy, Step, What};
use pintally_engine::{extension, LOAD_HEADER};
use pintally_http::{chunk, response, response_head, sse_event, Request, RequestReader, LAST_CHUNK};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::RecvFlags;
use serde_json::{json, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::engine::{Engine, ReadState, SLICE};
use crate::kept::{blocks, tokens};

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
                self.let_go(&name, FreedBy::Released);
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

    fn let_go(&self, name: &str, by: FreedBy) {
        let mut state = self.engine.lock();
        let Some(old) = state.states.remove(name) else { return };
        state.memory = state.memory.saturating_sub(old.tokens);
        drop(state);
        self.engine.freed(name.to_string(), by);
        self.engine.changed.notify_all();
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
        let unread = {
            let state = self.engine.lock();
            tokens(&work.prompt).saturating_sub(state.kept.found(&blocks(&work.prompt)))
        };
        let read_cost = unread as f64 / spec.read_per_s;
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
        let able = if work.step == Step::Fetch { self.engine.writes() } else { self.engine.reads() };
        if !able {
            return self.turn_away(work, 409, extension::NO_STATE);
        }
        if tenant_full {
            return self.turn_away(work, 429, "full");
        }
        let fails = self.engine.lock().faults.fail_after;
        if let Some(after) = fails {
            return self.fail(Instant::now() + after);
        }
        match work.step {
            Step::Read => self.read(work),
            Step::Fetch | Step::Both => self.write_answer(work, answers),
        }
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

    /// Takes a prompt into the line of reads and waits until it is read; `None` if there is no room.
    fn take_read(&mut self, work: &Work) -> Result<Option<u64>, Gone> {
        let spec = &self.engine.spec;
        let chain = blocks(&work.prompt);
        let prompt = tokens(&work.prompt);
        let mut state = self.engine.lock();
        if state.reading >= spec.slots + spec.queue || state.memory + prompt > spec.memory_tokens {
            return Ok(None);
        }
        let kept = state.kept.found(&chain).min(prompt.saturating_sub(1));
        let unread = prompt - kept;
        let speed = spec.read_per_s * self.engine.share(&state) / state.faults.slow;
        let now = Instant::now();
        let from = state.read_until.map_or(now, |until| until.max(now));
        let until = from + Duration::from_secs_f64(unread as f64 / speed);
        state.read_until = Some(until);
        state.reading += 1;
        state.unread += unread;
        state.memory += prompt;
        let mut gone = false;
        while state.life == self.life {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.engine.wait(state, left);
            // Work that nobody waits for goes on, as a step that runs cannot be taken back.
            gone = gone || (state.life == self.life && left > SLICE && self.left());
        }
        if state.life != self.life {
            return Err(Gone);
        }
        state.reading -= 1;
        state.unread = state.unread.saturating_sub(unread);
        let room = spec.memory_tokens.saturating_sub(state.memory);
        state.kept.keep(&chain, room);
        if gone || self.left() {
            state.memory = state.memory.saturating_sub(prompt);
            return Err(Gone);
        }
        Ok(Some(kept))
    }

    fn read(&mut self, work: &Work) -> Result<(), Gone> {
        let Some(kept) = self.take_read(work)? else { return self.turn_away(work, 429, "full") };
        let prompt = tokens(&work.prompt);
        {
            let mut state = self.engine.lock();
            if state.life != self.life {
                return Err(Gone);
            }
            let held = ReadState { tokens: prompt, since: Instant::now() };
            state.states.insert(work.attempt.clone(), held);
        }
        let engine = self.engine.spec.id.clone();
        self.engine.recorder.note(What::Held {
            engine: engine.clone(),
            node: self.node.clone(),
            request: work.key.clone(),
            state: work.attempt.clone(),
        });
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

    fn write_answer(&mut self, work: &Work, answers: u64) -> Result<(), Gone> {
        let mut kept = 0;
        if work.step == Step::Both {
            match self.take_read(work)? {
                None => return self.turn_away(work, 429, "full"),
                Some(found) => kept = found,
            }
        }
        let hold = tokens(&work.prompt) + answers;
        let own = if work.step == Step::Both { tokens(&work.prompt) } else { 0 };
        let slot = self.take_slot(hold, own)?;
        if !slot {
            if work.step == Step::Both {
                let mut state = self.engine.lock();
                state.memory = state.memory.saturating_sub(own);
            }
            return self.turn_away(work, 429, "full");
        }
        let answered = match self.fetch(work) {
            Ok(true) => self.stream(work, answers, kept),
            Ok(false) => self.turn_away(work, 409, extension::NO_STATE),
            Err(Gone) => Err(Gone),
        };
        let mut state = self.engine.lock();
        if state.life == self.life {
            state.streams -= 1;
            state.memory = state.memory.saturating_sub(hold);
            drop(state);
            self.engine.changed.notify_all();
        }
        answered
    }

    /// Waits for a slot and memory; `false` if there is no room to wait either.
    fn take_slot(&mut self, hold: u64, own: u64) -> Result<bool, Gone> {
        let spec = &self.engine.spec;
        let mut state = self.engine.lock();
        state.serial += 1;
        let serial = state.serial;
        loop {
            if state.life != self.life {
                return Err(Gone);
            }
            let slots = ((spec.slots as f64 * self.engine.share(&state)).ceil() as usize).max(1);
            let first = state.waiting.front().is_none_or(|s| *s == serial);
            if first && state.streams < slots && state.memory - own + hold <= spec.memory_tokens {
                if state.waiting.front() == Some(&serial) {
                    state.waiting.pop_front();
                }
                state.streams += 1;
                state.memory = state.memory - own + hold;
                let room = spec.memory_tokens - state.memory;
                state.kept.shrink(room);
                drop(state);
                self.engine.changed.notify_all();
                return Ok(true);
            }
            if !state.waiting.contains(&serial) {
                if state.waiting.len() >= spec.queue {
                    return Ok(false);
                }
                state.waiting.push_back(serial);
            }
            state = self.engine.wait(state, SLICE);
            if state.life == self.life && self.left() {
                state.waiting.retain(|s| *s != serial);
                state.memory = state.memory.saturating_sub(own);
                return Err(Gone);
            }
        }
    }

    /// Moves the read state here; `false` if there is none.
    fn fetch(&mut self, work: &Work) -> Result<bool, Gone> {
        let Some((source, name)) = &work.source else { return Ok(work.step == Step::Both) };
        let Some(fleet) = self.engine.fleet.upgrade() else { return Err(Gone) };
        let Some(reader) = fleet.engine(source) else { return Ok(false) };
        let (own, other) = (&self.engine.spec, &reader.spec);
        let mut moved = 0.0;
        let mut last = Instant::now();
        loop {
            let tokens = match reader.lock().states.get(name) {
                Some(state) => state.tokens as f64,
                None => return Ok(false),
            };
            // The link is the reader's; further away it is slower, and over a cut nothing moves.
            let distance = match (own.zone == other.zone, own.rack == other.rack) {
                (true, true) => 1.0,
                (true, false) => 2.0,
                _ => 4.0,
            };
            // One lock at a time: a mixed engine may fetch from itself.
            let theirs = reader.lock().faults.links;
            let slow = theirs.max(self.engine.lock().faults.links);
            let now = Instant::now();
            if !fleet.is_cut(&own.zone, &other.zone) {
                moved += (now - last).as_secs_f64() * other.link_per_s / (distance * slow);
            }
            last = now;
            if moved >= tokens {
                break;
            }
            let left = Duration::from_secs_f64((tokens - moved) * distance * slow / other.link_per_s);
            drop(self.engine.wait(self.engine.lock(), left));
            if !self.lives() || self.left() {
                return Err(Gone);
            }
        }
        let mut state = reader.lock();
        let Some(old) = state.states.remove(name) else { return Ok(false) };
        state.memory = state.memory.saturating_sub(old.tokens);
        drop(state);
        reader.freed(name.clone(), FreedBy::Fetched);
        reader.changed.notify_all();
        Ok(true)
    }

    fn stream(&mut self, work: &Work, answers: u64, kept: u64) -> Result<(), Gone> {
        self.engine.recorder.note(What::Ran {
            engine: self.engine.spec.id.clone(),
            request: work.key.clone(),
            attempt: work.attempt.clone(),
        });
        let load = self.load();
        let headers = [("content-type", "text/event-stream"), (LOAD_HEADER, load.as_str())];
        let mut bytes = response_head(200, &headers);
        let mut sent = 0;
        while sent < answers {
            // The first token comes after one gap, the others in small groups.
            let group = if sent == 0 { 1 } else { CHUNK.min(answers - sent) };
            let slow = self.engine.lock().faults.slow;
            let until = Instant::now() + self.engine.spec.token_gap.mul_f64(group as f64 * slow);
            loop {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                drop(self.engine.wait(self.engine.lock(), left));
                if !self.lives() {
                    return Err(Gone);
                }
            }
            self.hear()?;
            let text: String = (sent..sent + group).map(|n| format!("{:03} ", n % 1000)).collect();
            sent += group;
            let finish = (sent == answers).then_some("length");
            let event = json!({ "choices": [{ "index": 0, "text": text, "finish_reason": finish }] });
            bytes.extend(chunk(&sse_event(&event.to_string())));
            self.write(&bytes)?;
            bytes.clear();
        }
        let usage = json!({
            "choices": [],
            "usage": {
                "prompt_tokens": tokens(&work.prompt),
                "completion_tokens": answers,
                "prompt_tokens_details": { "cached_tokens": kept },
            },
        });
        bytes.extend(chunk(&sse_event(&usage.to_string())));
        bytes.extend(chunk(&sse_event("[DONE]")));
        bytes.extend_from_slice(LAST_CHUNK);
        self.write(&bytes)
    }
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

//! Open-loop load: each request is sent when it is due, whether or not earlier requests are answered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use hdrhistogram::Histogram;
use pintally_engine::{completion, AttemptReader, Completion, Progress, Step};
use pintally_http::{request, Part, ResponseReader};
use serde_json::{json, Value};

use crate::report::Stats;

/// Threads that send requests.
const WORKERS: usize = 128;
/// A request that takes longer counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The destination of requests.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// Through the node.
    Node(SocketAddr),
    /// Directly to readers and writers, each chosen in turn.
    Direct(Vec<SocketAddr>, Vec<SocketAddr>),
}

/// A histogram for latencies up to one minute, in microseconds. An auto-resizing histogram must not be used with
/// `saturating_record`: it records values above its initial 2,047 as its minimum, so a slow node would look
/// like the fastest.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order")
}

/// Sends requests at a rate for a time span and measures the time to each first token. Request numbers start
/// at `first`.
pub(crate) fn drive(target: &Target, per_second: f64, span: Duration, first: u64) -> Stats {
    let histogram = Mutex::new(new_histogram());
    let (failed, max_delay_us) = (AtomicU64::new(0), AtomicU64::new(0));
    let (queue_sender, queue) = bounded::<(u64, Instant)>(1 << 16);
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            let (queue, histogram, failed) = (queue.clone(), &histogram, &failed);
            let run = move || {
                let mut client = RequestSender::default();
                let mut own = new_histogram();
                for (number, due) in queue {
                    match client.send(target, number) {
                        Some(at) => own.saturating_record(at.duration_since(due).as_micros() as u64),
                        None => {
                            failed.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
                let _ = histogram.lock().unwrap_or_else(|e| e.into_inner()).add(&own);
            };
            let _ = thread::Builder::new().stack_size(160 << 10).spawn_scoped(scope, run);
        }
        let begin = Instant::now();
        let total = (per_second * span.as_secs_f64()) as u64;
        for number in 0..total {
            let due = begin + Duration::from_secs_f64(number as f64 / per_second);
            if let Some(left) = due.checked_duration_since(Instant::now()) {
                thread::sleep(left);
            }
            max_delay_us.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            if queue_sender.try_send((first + number, due)).is_err() {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
        drop(queue_sender);
    });
    let histogram = histogram.into_inner().unwrap_or_else(|e| e.into_inner());
    Stats::of(&histogram, failed.into_inner(), max_delay_us.into_inner())
}

/// Sends the requests of one worker over its idle connections.
#[derive(Default)]
struct RequestSender {
    idle: std::collections::HashMap<SocketAddr, TcpStream>,
}

impl RequestSender {
    /// Sends one request and returns the arrival time of its first token.
    fn send(&mut self, target: &Target, number: u64) -> Option<Instant> {
        let id = format!("m{number}");
        let prompt = format!("{id} ").repeat(20);
        match target {
            Target::Node(address) => self.through_node(*address, &id, &prompt),
            Target::Direct(readers, writers) => {
                let reader = readers[number as usize % readers.len()];
                let writer = writers[number as usize % writers.len()];
                self.direct(reader, writer, &id, &prompt)
            }
        }
    }

    fn connection(&mut self, address: SocketAddr) -> Option<TcpStream> {
        match self.idle.remove(&address) {
            Some(stream) => Some(stream),
            None => {
                let stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
                Some(stream)
            }
        }
    }

    fn through_node(&mut self, address: SocketAddr, id: &str, prompt: &str) -> Option<Instant> {
        let body = json!({
            "id": id, "text_input": prompt,
            "parameters": { "class": "hint", "max_tokens": 2, "session": id },
        });
        let headers = [("host", "n"), ("content-type", "application/json")];
        let path = "/v2/models/default/generate_stream";
        let bytes = request("POST", path, &headers, body.to_string().as_bytes());
        let mut stream = self.connection(address)?;
        stream.write_all(&bytes).ok()?;
        let (mut reader, mut buffer, mut first, mut succeeded) =
            (ResponseReader::new(16 << 10), [0u8; 8192], None, false);
        loop {
            match reader.next_part().ok()? {
                Some(Part::Head(status, _)) => succeeded = status == 200,
                Some(Part::Body(_)) => first = first.or(Some(Instant::now())),
                Some(Part::End(reusable)) => {
                    if reusable {
                        self.idle.insert(address, stream);
                    }
                    return first.filter(|_| succeeded);
                }
                None => {
                    let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
                    reader.push(&buffer[..n]);
                }
            }
        }
    }

    fn direct(&mut self, reader: SocketAddr, writer: SocketAddr, id: &str, prompt: &str) -> Option<Instant> {
        let (_, state) = self.attempt(reader, id, 0, Step::Read, prompt, None)?;
        let state = state?;
        let (first, _) = self.attempt(writer, id, 1, Step::Fetch, prompt, Some(&state))?;
        first
    }

    /// Makes one attempt at an engine. Returns the arrival time of its first token and the parameters that fetch its
    /// state.
    fn attempt(
        &mut self,
        address: SocketAddr,
        id: &str,
        attempt: u32,
        step: Step,
        prompt: &str,
        state: Option<&Value>,
    ) -> Option<(Option<Instant>, Option<Value>)> {
        let (model, key, tenant, max_tokens) = ("default", id, None, 2);
        let bytes =
            completion(&Completion { step, model, id, attempt, key, tenant, prompt, max_tokens, state });
        let mut stream = self.connection(address)?;
        stream.write_all(&bytes).ok()?;
        let (mut reader, mut buffer) = (AttemptReader::new(step, 0), [0u8; 8192]);
        let (mut first, mut out) = (None, Vec::new());
        loop {
            let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
            reader.push(&buffer[..n], &mut out);
            for progress in out.drain(..) {
                match progress {
                    Progress::Text(_) => first = first.or(Some(Instant::now())),
                    Progress::Ended { outcome, state, reusable, .. } => {
                        if reusable {
                            self.idle.insert(address, stream);
                        }
                        let succeeded = matches!(
                            outcome,
                            pintally::interface::Outcome::Read | pintally::interface::Outcome::Served
                        );
                        return succeeded.then_some((first, state));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

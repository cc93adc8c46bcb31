//! Open-loop load: requests go out when they are due, whatever became of those before.

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

/// Threads that carry requests.
const WORKERS: usize = 128;
/// A request that takes longer counts as failed.
const PATIENCE: Duration = Duration::from_secs(5);

/// Whom requests go to.
#[derive(Clone, Debug)]
pub(crate) enum Goal {
    /// The node.
    Node(SocketAddr),
    /// A reader and a writer, drawn in turn.
    Direct(Vec<SocketAddr>, Vec<SocketAddr>),
}

/// A histogram that holds every latency up to a minute. One that grows by itself must not be used with
/// saturating records: it files whatever is beyond its first 2,047 under its least value, so that a
/// node that is late looks like the fastest.
fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order")
}

/// Sends so many requests a second for a time and takes the time to each first token.
pub(crate) fn drive(goal: &Goal, per_second: f64, span: Duration, first: u64) -> Stats {
    let histogram = Mutex::new(latencies());
    let (failed, late) = (AtomicU64::new(0), AtomicU64::new(0));
    let (sender, queue) = bounded::<(u64, Instant)>(1 << 16);
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            let (queue, histogram, failed) = (queue.clone(), &histogram, &failed);
            let run = move || {
                let mut carrier = Carrier::default();
                let mut own = latencies();
                for (number, due) in queue {
                    match carrier.carry(goal, number) {
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
            late.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            if sender.try_send((first + number, due)).is_err() {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
        drop(sender);
    });
    let histogram = histogram.into_inner().unwrap_or_else(|e| e.into_inner());
    Stats::of(&histogram, failed.into_inner(), late.into_inner())
}

/// One worker's connections.
#[derive(Default)]
struct Carrier {
    open: std::collections::HashMap<SocketAddr, TcpStream>,
}

impl Carrier {
    /// Makes one request; the time at which its first token came.
    fn carry(&mut self, goal: &Goal, number: u64) -> Option<Instant> {
        let id = format!("m{number}");
        let prompt = format!("{id} ").repeat(20);
        match goal {
            Goal::Node(address) => self.through_node(*address, &id, &prompt),
            Goal::Direct(readers, writers) => {
                let reader = readers[number as usize % readers.len()];
                let writer = writers[number as usize % writers.len()];
                self.direct(reader, writer, &id, &prompt)
            }
        }
    }

    fn take(&mut self, address: SocketAddr) -> Option<TcpStream> {
        match self.open.remove(&address) {
            Some(stream) => Some(stream),
            None => {
                let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(PATIENCE)).ok()?;
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
        let target = "/v2/models/default/generate_stream";
        let bytes = request("POST", target, &headers, body.to_string().as_bytes());
        let mut stream = self.take(address)?;
        stream.write_all(&bytes).ok()?;
        let (mut reader, mut buffer, mut first, mut good) =
            (ResponseReader::new(16 << 10), [0u8; 8192], None, false);
        loop {
            match reader.next_part().ok()? {
                Some(Part::Head(status, _)) => good = status == 200,
                Some(Part::Body(_)) => first = first.or(Some(Instant::now())),
                Some(Part::End(reusable)) => {
                    if reusable {
                        self.open.insert(address, stream);
                    }
                    return first.filter(|_| good);
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

    /// One exchange with an engine: when its first token came, and what fetches its state.
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
        let mut stream = self.take(address)?;
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
                            self.open.insert(address, stream);
                        }
                        let good = matches!(
                            outcome,
                            pintally::interface::Outcome::Read | pintally::interface::Outcome::Served
                        );
                        return good.then_some((first, state));
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;

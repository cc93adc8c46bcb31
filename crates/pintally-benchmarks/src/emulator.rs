//! The cost of the emulator itself: runs a fleet without sockets in virtual time, as fast as possible.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pintally_emulator::{
    Cost, EngineRole, Fleet, LoadReporting, Micros, NetworkSpec, Notice, Place, Spec, Work, WorkId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::report::Spread;

/// The cost of emulating a fleet.
#[derive(Clone, Debug)]
pub struct Emulated {
    /// Engines, a third of them readers.
    pub engines: usize,
    /// Requests per second of virtual time.
    pub per_second: f64,
    /// Virtual seconds per second of wall-clock time.
    pub speed: Spread,
    /// Nanoseconds of wall-clock time for each token read or written.
    pub token_ns: Spread,
    /// Share of requests that were answered completely.
    pub served: Spread,
}

/// Runs a fleet of this many engines at a request rate, over some seeds.
pub fn emulated(engines: usize, per_second: f64, span: Duration, seeds: u64) -> Emulated {
    let (mut speed, mut token_ns, mut served) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..seeds {
        let begun = Instant::now();
        let (tokens, sent, answered) = run(engines, per_second, span, seed);
        let took = begun.elapsed();
        speed.push(span.as_secs_f64() / took.as_secs_f64());
        token_ns.push(took.as_nanos() as f64 / tokens.max(1) as f64);
        served.push(answered as f64 / sent.max(1) as f64);
    }
    let (speed, token_ns, served) = (Spread::of(speed), Spread::of(token_ns), Spread::of(served));
    Emulated { engines, per_second, speed, token_ns, served }
}

fn spec(kind: EngineRole) -> Spec {
    Spec {
        kind,
        slots: 64,
        queue: 256,
        blocks: 8000,
        block_tokens: 16,
        budget: 2048,
        cost: Cost { step: 8000.0, read_token: 40.0, write_token: 60.0, context: 30.0 },
        cold: None,
        state_ttl: 10_000_000,
        load_reporting: LoadReporting { every: 100_000, delay: 100_000, noise: 0.05 },
        port: 12_000.0,
        dedup: 0,
    }
}

/// Sends each request to a reader and a writer chosen at random, as this measures the emulator and not a policy.
/// Returns the number of tokens read and written, of requests sent, and of requests answered completely.
fn run(engines: usize, per_second: f64, span: Duration, seed: u64) -> (u64, u64, u64) {
    let network = NetworkSpec { rack: 50_000.0, zone: 100_000.0, token_bytes: 100_000.0 };
    let mut fleet = Fleet::new(network, seed);
    let readers = (engines / 3).max(1);
    for n in 0..engines.max(2) {
        let kind = if n < readers { EngineRole::Reader } else { EngineRole::Writer };
        fleet.add(spec(kind), Place { zone: n as u32 % 3, rack: n as u32 % 12 });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let gaps = Exp::new(per_second / 1e6).unwrap_or_else(|_| Exp::new(1e-6).expect("the rate is positive"));
    let texts = Zipf::new(200.0, 1.0).expect("the parameters are valid");
    let end = span.as_micros() as Micros;
    let (mut next, mut sent, mut answered, mut out) = (0.0f64, 0, 0, Vec::new());
    let mut reads: BTreeMap<WorkId, (Work, usize)> = BTreeMap::new();
    loop {
        let arrival = next as Micros;
        let at = fleet.next_wake().map_or(arrival, |w| w.min(arrival));
        if at >= end {
            break;
        }
        if at == arrival {
            sent += 1;
            next += gaps.sample(&mut rng);
            let text = texts.sample(&mut rng) as u64;
            let (shared, own) = (400 + text * 7 % 800, rng.random_range(50..400));
            let prompt: u64 = shared + own;
            let names = |b: u64| if b < shared / 16 { text << 32 | b } else { sent << 40 | b };
            let chain: Vec<u64> = (0..prompt / 16).map(names).collect();
            let work =
                Work { id: sent * 2, reads_only: true, fetches: None, chain, prompt, answer: 0, key: None };
            let reader = rng.random_range(0..readers);
            reads.insert(work.id, (work.clone(), reader));
            fleet.submit(at, reader, work, None, &mut out);
        } else {
            fleet.tick(at, &mut out);
        }
        // Handling a notice may produce further notices.
        while !out.is_empty() {
            for (_, notice) in std::mem::take(&mut out) {
                match notice {
                    Notice::Read(id, _) => {
                        let Some((work, reader)) = reads.remove(&id) else { continue };
                        let writer = rng.random_range(readers..engines.max(2));
                        let answer = rng.random_range(20..300);
                        let work = Work { id: id + 1, reads_only: false, fetches: Some(id), answer, ..work };
                        fleet.submit(at, writer, work, Some(reader), &mut out);
                    }
                    Notice::Done(..) => answered += 1,
                    Notice::Refused(id, _) | Notice::Broken(id) => {
                        reads.remove(&id);
                    }
                    _ => {}
                }
            }
        }
    }
    let totals = (0..fleet.len()).map(|n| fleet.engine(n).totals());
    let tokens = totals.map(|(_, read, written, _)| read + written).sum();
    (tokens, sent, answered)
}

#[cfg(test)]
mod tests;

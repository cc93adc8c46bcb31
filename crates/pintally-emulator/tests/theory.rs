//! Compares the emulator with queueing theory, in configurations that form a known queue.
//!
//! With one token per step, steps of fixed duration and prompts of one token, an engine with k slots is a
//! queue with k servers: service takes as many steps as the answer has tokens. Arrivals are Poisson. Each
//! figure comes from runs of several seeds; its 99% confidence interval must contain the theoretical value.

mod common;

use common::*;
use pintally_emulator::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Geometric};
use statrs::distribution::{ContinuousCDF, StudentsT};

const STEP: u64 = 1000;

/// Measurements of one run, times in seconds.
struct Measurements {
    /// Mean time in the queue.
    wait: f64,
    /// Mean time in the system, arrivals per second, and mean number in the system.
    time: f64,
    rate: f64,
    inside: f64,
}

fn play(
    slots: usize,
    load: f64,
    mean: f64,
    tokens: impl Fn(&mut ChaCha8Rng) -> u64,
    jobs: u64,
    seed: u64,
) -> Measurements {
    let cost = Cost { step: STEP as f64, read_token: 0.0, write_token: 0.0, context: 0.0 };
    let queue =
        Spec { slots, queue: 1 << 20, blocks: 1 << 20, budget: 1 << 20, cost, ..spec(EngineRole::Mixed) };
    let mut engine = Engine::new(queue, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_micro = load * slots as f64 / (mean * STEP as f64);
    let gaps = Exp::new(per_micro).unwrap();
    let (mut now, mut next, mut came, mut out) = (0u64, 0.0f64, 0u64, Vec::new());
    let (mut area, mut last) = (0.0, 0u64);
    let mut arrived = vec![0u64; jobs as usize];
    let (mut waits, mut times, mut done) = (0.0, 0.0, 0u64);
    while done < jobs {
        let arrival = (came < jobs).then_some(next as u64);
        let wake = engine.next_wake();
        let at = [arrival, wake].into_iter().flatten().min().unwrap();
        area += engine.held() as f64 * (at - last) as f64;
        (now, last) = (now.max(at), at);
        if wake == Some(at) {
            engine.tick(now, &mut out);
        } else {
            arrived[came as usize] = now;
            engine.submit(now, both(came, came + 1, 1, tokens(&mut rng)), &mut out);
            came += 1;
            next += gaps.sample(&mut rng);
        }
        for notice in out.drain(..) {
            match notice {
                // The first token comes a step after service began.
                Notice::Token(id, 1) => waits += (now - STEP - arrived[id as usize]) as f64,
                Notice::Done(id, _) => {
                    times += (now - arrived[id as usize]) as f64;
                    done += 1;
                }
                Notice::Token(..) | Notice::Started(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }
    let (jobs, span) = (jobs as f64, last as f64);
    Measurements {
        wait: waits / jobs / 1e6,
        time: times / jobs / 1e6,
        rate: jobs / span * 1e6,
        inside: area / span,
    }
}

/// Mean over seeds, with its 99% confidence interval.
fn interval(values: &[f64]) -> (f64, f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = StudentsT::new(0.0, 1.0, n - 1.0).unwrap().inverse_cdf(0.995);
    let half = t * (variance / n).sqrt();
    (mean, mean - half, mean + half)
}

/// Runs several seeds, checks Little's law on each, and the mean wait against theory, within `bias` seconds.
fn assert_wait_matches(
    name: &str,
    slots: usize,
    load: f64,
    mean: f64,
    theory: f64,
    bias: f64,
    tokens: impl Fn(&mut ChaCha8Rng) -> u64 + Copy,
) {
    let runs: Vec<Measurements> =
        (0..8).map(|seed| play(slots, load, mean, tokens, 6000, seed + 11)).collect();
    for r in &runs {
        let little = r.rate * r.time;
        assert!((r.inside - little).abs() < 1e-6 * little, "{name}: {} inside, {little} by Little", r.inside);
    }
    let (wait, least, most) = interval(&runs.iter().map(|r| r.wait).collect::<Vec<_>>());
    println!("{name} at {load}: waits {wait:.4} ({least:.4} to {most:.4}) s, theory {theory:.4} s");
    assert!(
        least - bias <= theory && theory <= most + bias,
        "{name} at {load}: {wait} ({least} to {most}), theory {theory}"
    );
    // An interval that is too wide would contain any value.
    assert!(most - least < 0.5 * theory + bias, "{name} at {load}: the interval is too wide");
}

/// Erlang C formula: the share of arrivals that wait.
fn erlang_c(servers: usize, load: f64) -> f64 {
    let offered = load * servers as f64;
    // Erlang B by its recursion, then Erlang C from it.
    let blocked = (1..=servers).fold(1.0, |b, n| offered * b / (n as f64 + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

const MEAN: f64 = 20.0;

fn geometric(rng: &mut ChaCha8Rng) -> u64 {
    Geometric::new(1.0 / MEAN).unwrap().sample(rng) + 1
}

#[test]
fn fixed_service_matches_md1_queue() {
    for load in [0.3, 0.6, 0.8] {
        let service = MEAN * STEP as f64 / 1e6;
        let theory = load * service / (2.0 * (1.0 - load));
        assert_wait_matches("M/D/1", 1, load, MEAN, theory, 0.0, |_| MEAN as u64);
    }
}

#[test]
fn geometric_service_matches_mm1_queue() {
    for load in [0.3, 0.6, 0.8] {
        let service = MEAN * STEP as f64 / 1e6;
        // The geometric distribution is the exponential one in steps; its second moment is known, so the
        // Pollaczek-Khinchine formula applies.
        let second = service * service * (2.0 - 1.0 / MEAN);
        let theory = load / service * second / (2.0 * (1.0 - load));
        let exponential = load * service / (1.0 - load);
        assert!((theory / exponential - 1.0).abs() < 0.03);
        assert_wait_matches("M/M/1", 1, load, MEAN, theory, 0.0, geometric);
    }
}

#[test]
fn several_slots_match_several_servers() {
    for (servers, load) in [(2, 0.6), (4, 0.8), (8, 0.85)] {
        let service = MEAN * STEP as f64 / 1e6;
        let exponential = erlang_c(servers, load) * service / (servers as f64 * (1.0 - load));
        // Arrivals join at the next step, which adds up to one step, half a step on average, that theory lacks.
        let bias = STEP as f64 / 1e6;
        assert_wait_matches("M/M/k", servers, load, MEAN, exponential, bias, geometric);
        // General service times: scaled by their variation, the approximation by Lee and Longton.
        let uniform = |rng: &mut ChaCha8Rng| rng.random_range(1..=39);
        let (mean, second) = (20.0, (1..=39).map(|n| (n * n) as f64).sum::<f64>() / 39.0);
        let scaled = exponential * (second / (mean * mean)) / 2.0;
        assert_wait_matches("M/G/k", servers, load, MEAN, scaled, bias + 0.1 * scaled, uniform);
    }
}

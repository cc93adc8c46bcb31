//! Engines and their links: the guarantees of the model, and difficult cases.

mod common;

use std::collections::BTreeMap;

use common::*;
use pintally_emulator::*;
use proptest::prelude::*;

#[test]
fn reads_prompts_in_chunks_and_reuses_cached_blocks() {
    let mut w = World::new(&[spec(EngineRole::Reader)], 1);
    w.submit(0, read(1, 7, 1280), None);
    w.until(1_000_000);
    // Chunks of 512, 512 and 256 tokens: three steps.
    assert_eq!(w.at(|n| *n == Notice::Read(1, 0)), Some(3 * 4000 + 1280 * 50));
    w.submit(0, read(2, 7, 1280), None);
    w.until(2_000_000);
    // All blocks but the last were cached; the last one is always read.
    assert_eq!(w.at(|n| *n == Notice::Read(2, 1264)), Some(1_000_000 + 4000 + 16 * 50));
}

#[test]
fn concurrent_answers_and_long_contexts_slow_steps() {
    let alone = |answers: u64, prompt: u64| {
        let mut w = World::new(&[Spec { budget: 100_000, blocks: 4000, ..spec(EngineRole::Mixed) }], 1);
        (0..answers).for_each(|n| w.submit(0, both(n, n + 1, prompt, 100), None));
        w.until(60_000_000);
        w.at(|n| *n == Notice::Done(0, 0)).unwrap() - w.at(|n| *n == Notice::Token(0, 1)).unwrap()
    };
    let (one, eight, long) = (alone(1, 64), alone(8, 64), alone(1, 4096));
    assert!((99 * 4100..99 * 4110).contains(&one), "{one}");
    assert!(eight > one + 99 * 600, "{eight} against {one}");
    assert!(long > one + 99 * 80, "{long} against {one}");
}

#[test]
fn state_transfers_from_reader_to_writer_once() {
    let mut w = World::new(&[spec(EngineRole::Reader), spec(EngineRole::Writer)], 1);
    w.submit(0, read(1, 7, 320), None);
    w.until(500_000);
    w.submit(1, fetch(2, 1, 7, 320, 5), Some(0));
    w.until(1_000_000);
    // 320 tokens of 20,000 bytes over the port, the slowest link of the path: 6,400 us.
    assert_eq!(w.at(|n| *n == Notice::Freed(1, FreedBy::Fetched)), Some(506_400));
    assert_eq!(w.at(|n| *n == Notice::Token(2, 1)), Some(506_400 + 4106));
    assert!(w.at(|n| *n == Notice::Done(2, 0)).is_some());
    assert_eq!((w.fleet.engine(0).states(), w.fleet.moving()), (0, 0));
    w.submit(1, fetch(3, 1, 7, 320, 5), Some(0));
    w.until(1_100_000);
    assert_eq!(w.ends()[&3], [Notice::Refused(3, Refusal::NoState)]);
}

#[test]
fn refuses_repeats_within_the_window_only() {
    let mut w = World::new(&[Spec { dedup: 1_000_000, ..spec(EngineRole::Mixed) }], 1);
    let keyed = |id| Work { key: Some(9), ..both(id, 1, 64, 2) };
    w.submit(0, keyed(1), None);
    w.until(900_000);
    w.submit(0, keyed(2), None);
    w.until(1_100_000);
    w.submit(0, keyed(3), None);
    w.until(2_000_000);
    let ends = w.ends();
    assert!(matches!(ends[&1][..], [Notice::Done(..)]) && matches!(ends[&3][..], [Notice::Done(..)]));
    assert_eq!(ends[&2], [Notice::Refused(2, Refusal::Repeat)]);
}

#[test]
fn load_reports_are_delayed_as_configured() {
    let mut w = World::new(&[Spec { slots: 2, ..spec(EngineRole::Mixed) }], 1);
    w.until(1_000_000);
    (0..6).for_each(|n| w.submit(0, both(n, n + 1, 64, 400), None));
    // The first piece of work began a step at once; the second joins when that step ends.
    assert_eq!(w.fleet.engine(0).load().waiting, 5.0);
    assert_eq!(w.fleet.report(w.now, 0).waiting, 0.0);
    w.until(1_090_000);
    assert_eq!(w.fleet.engine(0).load().waiting, 4.0);
    // The load is sampled every 100 ms and reported 50 ms late: from 1,150,000 on.
    assert_eq!(w.fleet.report(1_149_999, 0).waiting, 0.0);
    assert_eq!(w.fleet.report(1_150_000, 0).waiting, 4.0);
    for (how, waiting) in [(ReportAccuracy::Idle, 0.0), (ReportAccuracy::Full, 1e3)] {
        w.fleet.fault(0, |f| f.reports = how);
        assert_eq!(w.fleet.report(1_150_000, 0).waiting, waiting);
    }
}

// ---- difficult cases ----

/// The prompt of a waiting answer is cached when it arrives and evicted before it is admitted. The whole state
/// must then be transferred, and the answer completes.
#[test]
fn cached_prompt_evicted_while_writer_waits_for_state() {
    let small = Spec { slots: 1, blocks: 60, ..spec(EngineRole::Mixed) };
    let mut w = World::new(&[spec(EngineRole::Reader), small], 1);
    w.submit(1, both(1, 7, 320, 1), None);
    w.submit(0, read(2, 7, 320), None);
    w.until(500_000);
    let waits = fetch(3, 2, 7, 320, 4);
    assert_eq!(w.fleet.engine(1).kept(&waits), 320);
    // A long answer takes the slot and gradually nearly all memory.
    w.submit(1, both(4, 8, 480, 400), None);
    w.submit(1, waits.clone(), Some(0));
    w.until(1_500_000);
    assert!(w.fleet.engine(1).kept(&waits) < 320, "nothing was evicted");
    w.until(4_000_000);
    assert!(matches!(w.ends()[&3][..], [Notice::Done(3, found)] if found < 304));
    assert!(matches!(w.ends()[&4][..], [Notice::Done(..)]));
}

#[test]
fn cold_engine_is_slow_and_crashes_when_overloaded() {
    let cold = ColdStart {
        initial_capacity: 0.2,
        warm_after: 10_000_000,
        overload_factor: 2.0,
        overload_window: 1_000_000,
    };
    let fresh = Spec { cold: Some(cold), blocks: 4000, queue: 64, ..spec(EngineRole::Reader) };
    let play = |reads: u64| {
        let mut w = World::new(std::slice::from_ref(&fresh), 1);
        w.act(|f, now, out| f.crash(now, 0, out));
        w.act(|f, now, _| f.start(now, 0, true));
        (0..reads).for_each(|n| w.submit(0, read(n, n + 1, 1600), None));
        w.until(20_000_000);
        w
    };
    // Each read takes 80 ms at full speed. Twice a fifth of full speed allows 0.4 s of work in a second, and
    // one more read is tolerated.
    let fits = play(6);
    assert!(fits.at(|n| *n == Notice::Overloaded).is_none());
    let first = fits.at(|n| *n == Notice::Read(0, 0)).unwrap();
    assert!(first > 4 * 96_000, "cold, it read as fast as a warm one: {first}");
    let falls = play(30);
    assert!(falls.at(|n| *n == Notice::Overloaded).is_some());
    assert!(!falls.fleet.engine(0).is_up());
    // All work that it had has ended, each piece once.
    let ends = falls.ends();
    assert!(ends.len() == 30 && ends.values().all(|e| e.len() == 1));
}

#[test]
fn expired_states_free_memory() {
    let mut w = World::new(&[Spec { blocks: 100, ..spec(EngineRole::Reader) }], 1);
    (0..5).for_each(|n| w.submit(0, read(n, n + 1, 320), None));
    w.until(1_000_000);
    assert_eq!(w.fleet.engine(0).states(), 5);
    assert!(w.fleet.engine(0).load().memory > 0.99);
    // The next read waits as long as the states stay in memory.
    w.submit(0, read(9, 99, 320), None);
    w.until(4_900_000);
    assert!(!w.ends().contains_key(&9));
    w.until(6_000_000);
    assert!(matches!(w.ends()[&9][..], [Notice::Read(..)]));
    let expired = w.notices.iter().filter(|(.., n)| matches!(n, Notice::Freed(_, FreedBy::Expired)));
    assert_eq!(expired.count(), 5);
    // Leaked memory is never freed.
    let mut leaky = World::new(&[Spec { blocks: 100, ..spec(EngineRole::Reader) }], 1);
    leaky.fleet.fault(0, |f| f.leaks = 1.0);
    (0..5).for_each(|n| leaky.submit(0, read(n, n + 1, 330), None));
    leaky.until(20_000_000);
    assert!(leaky.fleet.engine(0).states() == 0 && leaky.fleet.engine(0).load().memory >= 0.04);
}

#[test]
fn reader_crash_during_transfer_ends_its_work() {
    let mut w = World::new(&[spec(EngineRole::Reader), spec(EngineRole::Writer)], 1);
    w.submit(0, read(1, 7, 3200), None);
    w.until(1_000_000);
    w.submit(1, fetch(2, 1, 7, 3200, 5), Some(0));
    w.until(1_030_000);
    assert_eq!(w.fleet.moving(), 1);
    w.act(|f, now, out| f.crash(now, 0, out));
    assert_eq!(w.ends()[&2], [Notice::Broken(2)]);
    assert!(w.at(|n| *n == Notice::Freed(1, FreedBy::Died)).is_some());
    assert_eq!((w.fleet.moving(), w.fleet.engine(1).held()), (0, 0));
    assert_eq!(w.fleet.engine(1).load().memory, 0.0);
}

#[test]
fn broken_transfer_leaves_state_at_reader() {
    let mut w = World::new(&[spec(EngineRole::Reader), spec(EngineRole::Writer)], 1);
    w.fleet.fault(1, |f| f.breaks = 1.0);
    w.submit(0, read(1, 7, 320), None);
    w.until(500_000);
    w.submit(1, fetch(2, 1, 7, 320, 5), Some(0));
    w.until(600_000);
    assert_eq!(w.at(|n| *n == Notice::Broken(2)), Some(503_200));
    assert_eq!(w.fleet.engine(0).states(), 1);
    w.fleet.fault(1, |f| f.breaks = 0.0);
    w.submit(1, fetch(3, 1, 7, 320, 5), Some(0));
    w.until(1_000_000);
    assert!(matches!(w.ends()[&3][..], [Notice::Done(..)]));
}

#[test]
fn pause_delays_and_ageing_slows_steps() {
    let mut w = World::new(&[spec(EngineRole::Mixed)], 1);
    w.fleet.fault(0, |f| f.paused_until = 700_000);
    w.submit(0, both(1, 1, 64, 2), None);
    w.until(2_000_000);
    assert_eq!(w.at(|n| *n == Notice::Token(1, 1)), Some(700_000 + 4000 + 64 * 50));
    w.fleet.fault(0, |f| f.ageing = Some((2_000_000, 0.5)));
    w.until(4_000_000);
    w.submit(0, both(2, 2, 64, 2), None);
    w.until(6_000_000);
    assert_eq!(w.at(|n| *n == Notice::Token(2, 1)), Some(4_000_000 + 2 * (4000 + 64 * 50)));
}

/// Three answers outgrow memory together: the newest is preempted, and all complete in the end.
#[test]
fn preempted_answer_resumes_without_repeating_tokens() {
    let mut w = World::new(&[Spec { blocks: 60, ..spec(EngineRole::Mixed) }], 1);
    (0..3).for_each(|n| w.submit(0, both(n, n + 1, 160, 400), None));
    w.until(30_000_000);
    assert!(w.notices.iter().any(|(.., n)| matches!(n, Notice::Preempted(_))));
    for id in 0..3 {
        let tokens: Vec<u64> = w
            .notices
            .iter()
            .filter_map(|(.., n)| match n {
                Notice::Token(of, count) if *of == id => Some(*count),
                _ => None,
            })
            .collect();
        assert_eq!(tokens, (1..=400).collect::<Vec<_>>());
        assert_eq!(w.ends()[&id].len(), 1);
    }
}

// ---- links ----

#[test]
fn flows_share_links_max_min_fairly() {
    let mut links = Links::default();
    let (narrow, wide) = (links.add(10.0), links.add(100.0));
    links.begin(0, 1, vec![narrow, wide], 1000.0);
    links.begin(0, 2, vec![narrow, wide], 1000.0);
    links.begin(0, 3, vec![wide], 9000.0);
    assert_eq!([1, 2, 3].map(|f| links.rate(f).unwrap()), [5.0, 5.0, 90.0]);
    assert_eq!(links.next(), Some(100));
    assert_eq!(links.finished(100), [3]);
    links.set(100, narrow, 0.0);
    assert_eq!(links.next(), None);
    links.set(300, narrow, 10.0);
    assert_eq!(links.next(), Some(400));
    assert_eq!(links.finished(400), [1, 2]);
    assert!(links.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 80, ..ProptestConfig::default() })]

    /// No link exceeds its capacity, and every flow is limited by a full link on which no other flow has a
    /// higher rate.
    #[test]
    fn shares_are_max_min(capacities in prop::collection::vec(1u32..100, 3..7), paths in prop::collection::vec(prop::collection::btree_set(0usize..6, 1..4), 1..12)) {
        let mut links = Links::default();
        capacities.iter().for_each(|c| { links.add(f64::from(*c)); });
        let paths: Vec<Vec<usize>> = paths.iter().map(|p| {
            let mut path: Vec<usize> = p.iter().map(|l| l % capacities.len()).collect();
            path.sort_unstable();
            path.dedup();
            path
        }).collect();
        for (id, path) in paths.iter().enumerate() {
            links.begin(0, id as u64, path.clone(), 1e6);
        }
        let rate = |id: usize| links.rate(id as u64).unwrap();
        let load = |l: usize| -> f64 { (0..paths.len()).filter(|f| paths[*f].contains(&l)).map(rate).sum() };
        for (l, c) in capacities.iter().enumerate() {
            prop_assert!(load(l) <= f64::from(*c) + 1e-6);
        }
        for (id, path) in paths.iter().enumerate() {
            let bound = path.iter().any(|l| {
                let most = (0..paths.len()).filter(|f| paths[*f].contains(l)).map(rate).fold(0.0, f64::max);
                load(*l) >= f64::from(capacities[*l]) - 1e-6 && rate(id) >= most - 1e-6
            });
            prop_assert!(bound, "flow {} could have more", id);
        }
    }

    /// For any sequence of submissions, cancellations, crashes and broken transfers: memory accounting is
    /// consistent after every step (checked by `World`), each piece of work ends at most once, and nothing is
    /// left at the end. The same sequence again gives the same record.
    #[test]
    fn any_sequence_keeps_accounting_consistent(seed in any::<u64>(), steps in prop::collection::vec((0u8..12, 0u64..6, 1u64..500, 0u64..300_000), 1..120)) {
        let play = || {
            let small = |kind| Spec { blocks: 80, slots: 3, queue: 4, dedup: 2_000_000, ..spec(kind) };
            let mut w = World::new(&[small(EngineRole::Reader), small(EngineRole::Writer), small(EngineRole::Mixed), small(EngineRole::Mixed)], seed);
            w.fleet.fault(1, |f| f.breaks = 0.3);
            w.fleet.fault(2, |f| f.noisy = 0.5);
            let mut id = 0;
            let mut cancelled = Vec::new();
            for (what, text, size, passes) in &steps {
                id += 1;
                let at = (*size % 4) as usize;
                match what {
                    0..=2 => w.submit(if *what == 0 { 0 } else { 3 }, read(id, *text, *size), None),
                    3..=5 => {
                        let read = w.notices.iter().rev().find_map(|(_, n, notice)| match notice {
                            Notice::Read(state, _) => Some((*state, *n)),
                            _ => None,
                        });
                        let (state, from) = read.unwrap_or((0, 0));
                        w.submit(if *what == 3 { 1 } else { 2 }, fetch(id, state, *text, *size, 1 + *size % 60), Some(from));
                    }
                    6 | 7 => w.submit(2, Work { key: (*what == 7).then_some(*text), ..both(id, *text, *size, 1 + *size % 90) }, None),
                    8 => {
                        let target = id.saturating_sub(*size % 5 + 1);
                        (0..4).for_each(|n| w.act(|f, now, out| f.cancel(now, n, target, out)));
                        cancelled.push(target);
                    }
                    9 => {
                        w.act(|f, now, out| f.crash(now, at, out));
                        w.act(|f, now, _| f.start(now, at, true));
                    }
                    10 => w.act(|f, now, out| f.release(now, at, id.saturating_sub(2), out)),
                    _ => {
                        let until = w.now + *passes;
                        w.fleet.fault(at, |f| f.paused_until = until);
                        w.fleet.forget(at);
                    }
                }
                let until = w.now + *passes;
                w.until(until);
            }
            let until = w.now + 600_000_000;
            w.until(until);
            (w, id, cancelled)
        };
        let (w, _, cancelled) = play();
        let mut sent: BTreeMap<WorkId, u64> = BTreeMap::new();
        w.ends().iter().for_each(|(id, ends)| { sent.insert(*id, ends.len() as u64); });
        prop_assert!(sent.values().all(|n| *n == 1), "{:?}", w.ends());
        for (n, (what, ..)) in steps.iter().enumerate() {
            let id = n as u64 + 1;
            if *what <= 7 && !cancelled.contains(&id) {
                prop_assert!(sent.contains_key(&id), "work {} never ended", id);
            }
        }
        for n in 0..w.fleet.len() {
            prop_assert_eq!((w.fleet.engine(n).held(), w.fleet.engine(n).states()), (0, 0));
            prop_assert_eq!(w.fleet.engine(n).load().memory, 0.0);
        }
        prop_assert_eq!(w.fleet.moving(), 0);
        prop_assert!(w.record() == play().0.record(), "the same again gave another record");
    }
}

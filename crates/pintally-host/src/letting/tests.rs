//! Calls that let go, and whom they go to.

use super::*;

fn id(name: &str) -> RequestId {
    RequestId(name.into())
}

fn engines(n: usize) -> Vec<EngineId> {
    (0..n).map(|i| EngineId(format!("e{i:04}").into())).collect()
}

/// The calls of one release that nobody answers: when and to whom.
fn calls(letting: &mut Letting, from: Micros, name: &str, known: &[EngineId]) -> Vec<(Micros, EngineId)> {
    let (mut now, mut calls) = (from, Vec::new());
    loop {
        match letting.call(now, &id(name), known.iter().map(|e| (e, EndpointState::Serving))) {
            Some(Call { engine, after, last, .. }) => {
                calls.push((now, engine.expect("some are known")));
                now += after.expect("it is repeated");
                if last {
                    return calls;
                }
            }
            None => return calls,
        }
    }
}

/// Holds the code to the bound of docs/platform.md, for short and long times.
#[test]
fn four_calls_to_different_engines_fit_into_what_is_left() {
    for within in [40_000, 100_000, 250_000, 500_000, 2_000_000] {
        let mut letting = Letting::new(within);
        let known = engines(12);
        let since = 1_000_000;
        for first in [since, letting.guard(since)] {
            letting.begin(first, &id("x"), known[3].clone(), since);
            let all = calls(&mut letting, first, "x", &known);
            // The shortest distance keeps four calls out of less than 40 ms.
            let fit = if since + within - first >= 40_000 { 4 } else { 1 };
            let before: Vec<_> = all.iter().filter(|c| c.0 <= since + within).collect();
            assert!(before.len() >= fit, "{} calls of {within} us from {first}", before.len());
            let different: std::collections::BTreeSet<_> = before.iter().map(|c| &c.1).collect();
            assert_eq!(different.len(), before.len());
            assert_eq!(all.len(), MAX_RELEASE_CALLS as usize);
            letting.end(&id("x"));
        }
    }
}

/// Guards against calls that follow each other into a cut while others answer.
#[test]
fn those_that_answered_lately_are_called_first_and_those_that_failed_last() {
    let mut letting = Letting::new(500_000);
    let known = engines(6);
    for engine in &known[..4] {
        letting.saw(1_000_000, engine, true);
    }
    letting.saw(1_100_000, &known[4], false);
    letting.saw(1_200_000, &known[0], false);
    letting.begin(1_300_000, &id("x"), known[0].clone(), 1_200_000);
    let order: Vec<usize> = calls(&mut letting, 1_300_000, "x", &known)
        .iter()
        .take(6)
        .map(|c| known.iter().position(|e| *e == c.1).expect("it is known"))
        .collect();
    let mut sound = order[..3].to_vec();
    sound.sort_unstable();
    assert_eq!(sound, [1, 2, 3], "{order:?}");
    assert_eq!(order[3], 5, "of which nothing is known");
    let mut last = order[4..].to_vec();
    last.sort_unstable();
    assert_eq!(last, [0, 4]);
}

/// Guards against hundreds of states that end in one turn being let go at one engine.
#[test]
fn many_at_once_are_spread_over_engines() {
    let mut letting = Letting::new(500_000);
    let known = engines(20);
    for engine in &known {
        letting.saw(1_000_000, engine, true);
    }
    let mut counts: HashMap<EngineId, u32> = HashMap::new();
    let gone = EngineId("gone".into());
    for n in 0..400 {
        let name = format!("request-{n}");
        letting.begin(1_000_000, &id(&name), gone.clone(), 1_000_000);
        let now = known.iter().map(|e| (e, EndpointState::Serving));
        if let Some(Call { engine: Some(engine), .. }) = letting.call(1_000_000, &id(&name), now) {
            *counts.entry(engine).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(counts.len() == 20 && most < 60, "{counts:?}");
}

/// Guards against states that stay held when a node was cut off from every engine for longer than all
/// its calls take: a few go on, and a word of any engine calls for all of them.
#[test]
fn without_any_word_a_few_go_on_and_the_first_word_calls_for_all() {
    let mut letting = Letting::new(500_000);
    let known = engines(3);
    let all = || known.iter().map(|e| (e, EndpointState::Serving));
    let mut now = 0;
    for n in 0..40 {
        letting.begin(0, &id(&format!("x{n}")), known[0].clone(), 0);
        calls(&mut letting, 0, &format!("x{n}"), &known);
    }
    for _ in 0..10 {
        now += 20_000_000;
        let going = (0..40).filter(|n| letting.call(now, &id(&format!("x{n}")), all()).is_some());
        assert_eq!(going.count(), SCOUTS);
    }
    assert_eq!((letting.len(), letting.expected()), (40, 0));
    // However long it lasts, what is kept of the calls grows no further than the engines that are known.
    assert!(letting.open.values().all(|open| open.asked.len() <= known.len()));
    letting.saw(now, &known[2], true);
    let anew = letting.anew(now);
    assert_eq!(anew.len(), 40);
    assert!(letting.anew(now).is_empty());
    // A word right behind a call is no reason for another one at once.
    assert_eq!(anew.iter().filter(|a| a.2 == now + 250_000).count(), SCOUTS);
    for (id, _, at) in anew {
        let Some(Call { engine, after, .. }) = letting.call(at, &id, all()) else { panic!("no call") };
        assert_eq!(
            (engine.as_ref(), after),
            (Some(&known[2]), Some(62_500)),
            "whoever was heard comes first"
        );
        letting.end(&id);
    }
    assert_eq!(letting.len(), 0);
}

#[test]
fn without_any_engine_it_goes_on_looking() {
    let mut letting = Letting::new(500_000);
    letting.begin(0, &id("x"), EngineId("e".into()), 0);
    for n in 0..MAX_RELEASE_CALLS + 5 {
        let call = letting.call(0, &id("x"), std::iter::empty());
        let Some(Call { engine: None, after: Some(after), .. }) = call else { panic!("it ends") };
        match n {
            0..STEADY => assert_eq!(after, 62_500),
            // The only one looks out for itself.
            _ => assert_eq!(after, 125_000),
        }
    }
}

//! Order, timing and targets of release calls.

use super::*;

fn id(name: &str) -> RequestId {
    RequestId(name.into())
}

fn engines(n: usize) -> Vec<EngineId> {
    (0..n).map(|i| EngineId(format!("e{i:04}").into())).collect()
}

/// The times and engines of the calls of one release that no engine acknowledges.
fn unacknowledged_calls(
    scheduler: &mut ReleaseScheduler,
    from: Micros,
    name: &str,
    known: &[EngineId],
) -> Vec<(Micros, EngineId)> {
    let (mut now, mut calls) = (from, Vec::new());
    loop {
        match scheduler.next_call(now, &id(name), known.iter().map(|e| (e, EndpointState::Serving))) {
            Some(ReleaseCall { engine, next_call_after, is_call_limit_reached, .. }) => {
                calls.push((now, engine.expect("engines are known")));
                now += next_call_after.expect("the release is repeated");
                if is_call_limit_reached {
                    return calls;
                }
            }
            None => return calls,
        }
    }
}

/// Checks the bound stated in docs/platform.md for short and long release deadlines.
#[test]
fn four_calls_to_different_engines_before_the_deadline() {
    for release_deadline in [40_000, 100_000, 250_000, 500_000, 2_000_000] {
        let mut scheduler = ReleaseScheduler::new(release_deadline);
        let known = engines(12);
        let pending_since = 1_000_000;
        for first in [pending_since, scheduler.in_flight_deadline(pending_since)] {
            scheduler.begin(first, &id("x"), known[3].clone(), pending_since);
            let all = unacknowledged_calls(&mut scheduler, first, "x", &known);
            // Less than 40 ms leave no time for four calls at the shortest interval.
            let min_calls = if pending_since + release_deadline - first >= 40_000 { 4 } else { 1 };
            let before: Vec<_> = all.iter().filter(|c| c.0 <= pending_since + release_deadline).collect();
            assert!(
                before.len() >= min_calls,
                "{} calls of {release_deadline} us from {first}",
                before.len()
            );
            let different: std::collections::BTreeSet<_> = before.iter().map(|c| &c.1).collect();
            assert_eq!(different.len(), before.len());
            assert_eq!(all.len(), MAX_RELEASE_CALLS as usize);
            scheduler.end(&id("x"));
        }
    }
}

/// Guards against consecutive calls into a partition while other engines answer.
#[test]
fn engines_are_ordered_by_reachability() {
    let mut scheduler = ReleaseScheduler::new(500_000);
    let known = engines(6);
    for engine in &known[..4] {
        scheduler.record_response(1_000_000, engine);
    }
    scheduler.record_failure(1_100_000, &known[4]);
    scheduler.record_failure(1_200_000, &known[0]);
    scheduler.begin(1_300_000, &id("x"), known[0].clone(), 1_200_000);
    let order: Vec<usize> = unacknowledged_calls(&mut scheduler, 1_300_000, "x", &known)
        .iter()
        .take(6)
        .map(|c| known.iter().position(|e| *e == c.1).expect("it is known"))
        .collect();
    let mut responding = order[..3].to_vec();
    responding.sort_unstable();
    assert_eq!(responding, [1, 2, 3], "{order:?}");
    assert_eq!(order[3], 5, "nothing is known of it");
    let mut last = order[4..].to_vec();
    last.sort_unstable();
    assert_eq!(last, [0, 4]);
}

/// Guards against hundreds of releases in one event-loop iteration that all go to one engine.
#[test]
fn simultaneous_releases_are_spread_over_engines() {
    let mut scheduler = ReleaseScheduler::new(500_000);
    let known = engines(20);
    for engine in &known {
        scheduler.record_response(1_000_000, engine);
    }
    let mut counts: HashMap<EngineId, u32> = HashMap::new();
    let gone = EngineId("gone".into());
    for n in 0..400 {
        let name = format!("request-{n}");
        scheduler.begin(1_000_000, &id(&name), gone.clone(), 1_000_000);
        let listed = known.iter().map(|e| (e, EndpointState::Serving));
        if let Some(ReleaseCall { engine: Some(engine), .. }) =
            scheduler.next_call(1_000_000, &id(&name), listed)
        {
            *counts.entry(engine).or_default() += 1;
        }
    }
    let max_calls = counts.values().max().copied().unwrap_or(0);
    assert!(counts.len() == 20 && max_calls < 60, "{counts:?}");
}

/// Guards against reservations that are never released when a node was partitioned from every engine for longer
/// than all its calls take: reachability probes continue calling, and a response of any engine wakes all releases.
#[test]
fn probes_continue_and_any_response_wakes_all_releases() {
    let mut scheduler = ReleaseScheduler::new(500_000);
    let known = engines(3);
    let all = || known.iter().map(|e| (e, EndpointState::Serving));
    let mut now = 0;
    for n in 0..40 {
        scheduler.begin(0, &id(&format!("x{n}")), known[0].clone(), 0);
        unacknowledged_calls(&mut scheduler, 0, &format!("x{n}"), &known);
    }
    for _ in 0..10 {
        now += 20_000_000;
        let still_calling =
            (0..40).filter(|n| scheduler.next_call(now, &id(&format!("x{n}")), all()).is_some());
        assert_eq!(still_calling.count(), MAX_REACHABILITY_PROBES);
    }
    assert_eq!((scheduler.len(), scheduler.awaiting_acknowledgement()), (40, 0));
    // However long the partition lasts, calls are counted for no more than the known engines.
    assert!(scheduler.pending.values().all(|release| release.calls_by_engine.len() <= known.len()));
    scheduler.record_response(now, &known[2]);
    let wakeups = scheduler.wake(now);
    assert_eq!(wakeups.len(), 40);
    assert!(scheduler.wake(now).is_empty());
    // A response right after a call does not cause another call at once.
    assert_eq!(wakeups.iter().filter(|wakeup| wakeup.at == now + 250_000).count(), MAX_REACHABILITY_PROBES);
    for Wakeup { name: id, at, .. } in wakeups {
        let Some(ReleaseCall { engine, next_call_after, .. }) = scheduler.next_call(at, &id, all()) else {
            panic!("no call was made")
        };
        assert_eq!(
            (engine.as_ref(), next_call_after),
            (Some(&known[2]), Some(62_500)),
            "the engine that has responded is called first"
        );
        scheduler.end(&id);
    }
    assert_eq!(scheduler.len(), 0);
}

#[test]
fn calls_continue_without_known_engines() {
    let mut scheduler = ReleaseScheduler::new(500_000);
    scheduler.begin(0, &id("x"), EngineId("e".into()), 0);
    for n in 0..MAX_RELEASE_CALLS + 5 {
        let call = scheduler.next_call(0, &id("x"), std::iter::empty());
        let Some(ReleaseCall { engine: None, next_call_after: Some(after), .. }) = call else {
            panic!("calls ended")
        };
        match n {
            0..FIXED_INTERVAL_CALLS => assert_eq!(after, 62_500),
            // The only release is itself a reachability probe.
            _ => assert_eq!(after, 125_000),
        }
    }
}

/// Guards against a release that calls all unreachable engines once more before the only one that responds, because a
/// call to that one was not sent.
#[test]
fn engine_whose_call_was_not_sent_is_called_next() {
    let mut scheduler = ReleaseScheduler::new(500_000);
    let known = engines(7);
    scheduler.record_response(1_000_000, &known[0]);
    scheduler.begin(1_100_000, &id("x"), known[0].clone(), 1_000_000);
    let mut call = |now| {
        let engines = known.iter().map(|e| (e, EndpointState::Serving));
        let engine =
            scheduler.next_call(now, &id("x"), engines).and_then(|call| call.engine).expect("a call");
        if now < 1_200_000 {
            scheduler.call_not_sent(&id("x"), &engine);
        }
        engine
    };
    let called: Vec<EngineId> = (0..4).map(|n| call(1_100_000 + n * 50_000)).collect();
    assert_eq!(called[..3], [known[0].clone(), known[0].clone(), known[0].clone()]);
    assert_ne!(called[3], known[0]);
}

//! The hard cases of a running node, each end to end on loopback: what went over the sockets is
//! recorded at the engines' and the client's ends and audited.

use std::thread;
use std::time::{Duration, Instant};

use pintally::interface::{EndpointState, Role};
use pintally_audit::{Answer, AuditEvent, Report, Step};
use pintally_scenario::{run_steady, AttemptResult, Rig, Scenario};

const WAIT: Duration = Duration::from_secs(20);

/// Settings of a rig; `more` goes into the limits.
fn settings(more: &str) -> String {
    format!(
        r#"(pintally
  (node (name "n0") (engines "set by the rig" (every-ms 20)))
  (limits (answer-margin-ms 500) {more})
  (rules (warm-after-ms 5000))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 6000))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (patience-ms 6000))
  (kind "prefill" (role reader) (slots 8) (memory-tokens 200000))
  (kind "decode" (role writer) (slots 32) (memory-tokens 200000)))"#
    )
}

fn rig(readers: usize, writers: usize) -> Rig {
    let readers = (0..readers).map(|i| Rig::spec(&format!("r{i}"), Role::Reader));
    let writers = (0..writers).map(|i| Rig::spec(&format!("w{i}"), Role::Writer));
    Rig::new(&settings(""), readers.chain(writers).collect()).unwrap()
}

fn kept(report: &Report) {
    assert!(report.rules.kept(), "{:#?}", report.rules);
}

fn took(step: Step) -> impl Fn(&AuditEvent) -> bool {
    move |w| matches!(w, AuditEvent::AttemptArrived { step: s, .. } if *s == step)
}

#[test]
fn one_request_goes_through_reader_and_writer_and_back() {
    let rig = rig(1, 1);
    for (id, streamed) in [("a", true), ("b", false)] {
        let mut ask = rig.ask(id, "hint");
        ask.streamed = streamed;
        assert_eq!(rig.client.attempt(&ask), AttemptResult::Answered(Answer::Served, None));
    }
    let record = rig.fleet.recorder.snapshot();
    assert_eq!(record.iter().filter(|r| took(Step::Read)(&r.event)).count(), 2);
    assert_eq!(record.iter().filter(|r| took(Step::Fetch)(&r.event)).count(), 2);
    let report = rig.finish().unwrap();
    kept(&report);
    assert_eq!((report.requests, report.served), (2, 2));
}

/// Guards against an unsafe request that runs twice: its writer dies after it has begun to work.
#[test]
fn an_unsafe_request_whose_writer_dies_fails_and_is_not_sent_again() {
    let rig = rig(2, 2);
    let mut ask = rig.ask("g", "graded-submit");
    ask.max_tokens = 2000;
    let client = rig.client.clone();
    let waits = thread::spawn(move || client.attempt(&ask));
    let ran = rig
        .fleet
        .recorder
        .wait_for(WAIT, |w| matches!(w, AuditEvent::AttemptRan { .. }))
        .expect("it never ran");
    let AuditEvent::AttemptRan { engine, .. } = ran.event else { unreachable!() };
    rig.engine(&engine).unwrap().crash();
    let ended = waits.join().unwrap();
    assert!(matches!(ended, AttemptResult::Answered(Answer::Cut | Answer::Failed, _)), "{ended:?}");
    let runs = rig.fleet.recorder.snapshot().iter().filter(|r| took(Step::Fetch)(&r.event)).count();
    assert_eq!(runs, 1, "it went to a second writer");
    kept(&rig.finish().unwrap());
}

/// Guards against the same before the first token, where the client could not tell.
#[test]
fn an_unsafe_request_whose_writer_dies_before_the_first_token_fails() {
    let rig = rig(1, 2);
    // The state takes seconds to move: the writer dies while it fetches.
    rig.engine("r0").unwrap().fault(|f| f.link_slowdown = 20_000.0);
    let ask = rig.ask("g", "graded-submit");
    let client = rig.client.clone();
    let waits = thread::spawn(move || client.attempt(&ask));
    let fetch = rig.fleet.recorder.wait_for(WAIT, took(Step::Fetch)).expect("it was never fetched");
    let AuditEvent::AttemptArrived { engine, .. } = fetch.event else { unreachable!() };
    rig.engine(&engine).unwrap().crash();
    assert_eq!(waits.join().unwrap(), AttemptResult::Answered(Answer::Failed, None));
    kept(&rig.finish().unwrap());
}

/// Guards against a request that hangs on a state which has died with its reader.
#[test]
fn a_reader_that_dies_before_its_state_is_fetched_is_replaced_by_another_read() {
    let rig = rig(2, 1);
    rig.fleet.engines().iter().for_each(|e| e.fault(|f| f.link_slowdown = 1000.0));
    let ask = rig.ask("h", "hint");
    let client = rig.client.clone();
    let waits = thread::spawn(move || client.attempt(&ask));
    rig.fleet.recorder.wait_for(WAIT, took(Step::Fetch)).expect("it was never fetched");
    let held = rig
        .fleet
        .recorder
        .wait_for(WAIT, |w| matches!(w, AuditEvent::StateHeld { .. }))
        .expect("nothing was held");
    let AuditEvent::StateHeld { engine, .. } = held.event else { unreachable!() };
    rig.fleet.engines().iter().for_each(|e| e.fault(|f| f.link_slowdown = 1.0));
    rig.engine(&engine).unwrap().crash();
    assert_eq!(waits.join().unwrap(), AttemptResult::Answered(Answer::Served, None));
    let reads = rig.fleet.recorder.snapshot().iter().filter(|r| took(Step::Read)(&r.event)).count();
    assert!(reads >= 2, "it was read only once");
    kept(&rig.finish().unwrap());
}

/// Guards against answers that come when the client is gone: its own deadline is shorter than ours.
#[test]
fn a_client_deadline_shorter_than_ours_wins() {
    for streamed in [true, false] {
        let rig = rig(1, 1);
        rig.engine("w0").unwrap().fault(|f| f.hang = true);
        let mut ask = rig.ask("short", "hint");
        ask.patience = Duration::from_millis(1500);
        ask.streamed = streamed;
        let begin = Instant::now();
        let ended = rig.client.attempt(&ask);
        assert!(matches!(ended, AttemptResult::Answered(Answer::Refused | Answer::Failed, _)), "{ended:?}");
        // The class waits six seconds.
        assert!(
            begin.elapsed() < Duration::from_millis(2500) + rig.fleet.recorder.lateness(),
            "{:?}",
            begin.elapsed()
        );
        rig.engine("w0").unwrap().fault(|f| f.hang = false);
        kept(&rig.finish().unwrap());
    }
}

/// Guards against work for clients that have left, and states that stay behind for them.
#[test]
fn a_client_that_leaves_while_it_waits_frees_what_is_held_for_it() {
    let rig = rig(1, 1);
    rig.engine("w0").unwrap().fault(|f| f.hang = true);
    let mut ask = rig.ask("leaves", "hint");
    ask.leaves = Some(Duration::from_millis(300));
    assert_eq!(rig.client.attempt(&ask), AttemptResult::Left);
    // Freed, not only asked to: the message is seen a moment before the state is gone.
    let freed = |w: &AuditEvent| matches!(w, AuditEvent::StateFreed { .. });
    assert!(rig.fleet.recorder.wait_for(WAIT, freed).is_some(), "the state was never let go");
    assert_eq!(rig.engine("r0").unwrap().states(), 0);
    kept(&rig.finish().unwrap());
}

/// Guards against a client that reads nothing: it holds its own thread and nobody else.
#[test]
fn a_slow_client_holds_nobody_else() {
    let rig = rig(1, 1);
    let mut slow = std::net::TcpStream::connect(rig.address()).unwrap();
    let body = br#"{"text_input":"x","parameters":{"class":"hint","max_tokens":60000,"deadline_ms":6000}}"#;
    let bytes = pintally_http::request("POST", "/v2/models/default/generate_stream", &[], body);
    std::io::Write::write_all(&mut slow, &bytes).unwrap();
    rig.fleet.recorder.wait_for(WAIT, |w| matches!(w, AuditEvent::AttemptRan { .. })).expect("it never ran");
    for n in 0..20 {
        let begin = Instant::now();
        assert_eq!(
            rig.client.attempt(&rig.ask(&format!("q{n}"), "hint")),
            AttemptResult::Answered(Answer::Served, None)
        );
        assert!(begin.elapsed() < Duration::from_secs(3) + rig.fleet.recorder.lateness());
    }
    drop(slow);
}

/// Guards against a node that goes on with what its predecessor knew wrongly, or with nothing.
#[test]
fn a_killed_node_comes_back_with_the_list_it_had() {
    let mut rig = rig(1, 1);
    assert_eq!(rig.client.attempt(&rig.ask("before", "hint")), AttemptResult::Answered(Answer::Served, None));
    rig.engine("w0").unwrap().fault(|f| f.hang = true);
    let ask = rig.ask("inside", "hint");
    let client = rig.client.clone();
    let waits = thread::spawn(move || client.attempt(&ask));
    let inside = |w: &AuditEvent| matches!(w, AuditEvent::AttemptArrived { request, step: Step::Fetch, .. } if request == "inside");
    rig.fleet.recorder.wait_for(WAIT, inside).expect("it was never sent");
    rig.kill_node();
    assert_eq!(waits.join().unwrap(), AttemptResult::Unanswered);
    rig.engine("w0").unwrap().fault(|f| f.hang = false);
    // The list itself is gone: what was kept is all there is.
    std::fs::remove_file(rig.list_file()).unwrap();
    rig.start_node().unwrap();
    assert_eq!(rig.client.attempt(&rig.ask("after", "hint")), AttemptResult::Answered(Answer::Served, None));
    let report = rig.finish().unwrap();
    kept(&report);
    assert_eq!((report.served, report.died), (2, 1));
}

/// Guards against a half-written list that empties the fleet.
#[test]
fn a_malformed_list_changes_nothing() {
    let mut rig = rig(1, 1);
    let whole = std::fs::read_to_string(rig.list_file()).unwrap();
    for (n, text) in ["", "(engines", &whole[..whole.len() / 2], "(something)"].iter().enumerate() {
        std::fs::write(rig.list_file(), text).unwrap();
        let by = Instant::now() + WAIT;
        while rig.node().unwrap().counters().lists_refused <= n as u64 {
            assert!(Instant::now() < by, "the node never looked at `{text}`");
            thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(rig.node().unwrap().serving_engines(), 2, "{text}");
    }
    rig.publish().unwrap();
    let by = Instant::now() + WAIT;
    while rig.node().unwrap().serving_engines() != 2 {
        assert!(Instant::now() < by, "the sound list was not taken in");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(rig.client.attempt(&rig.ask("x", "hint")), AttemptResult::Answered(Answer::Served, None));
    kept(&rig.finish().unwrap());
}

/// Guards against new work for an engine that drains, in the middle of a burst.
#[test]
fn a_drain_announced_during_a_burst_is_honoured() {
    let mut rig = rig(2, 3);
    let burst: Vec<_> = (0..60)
        .map(|n| {
            let (client, ask) = (rig.client.clone(), rig.ask(&format!("b{n}"), "hint"));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(n * 10));
                client.attempt(&ask)
            })
        })
        .collect();
    rig.fleet
        .recorder
        .wait_for(WAIT, |w| matches!(w, AuditEvent::AttemptRan { engine, .. } if engine == "w1"))
        .expect("w1 idles");
    rig.list("w1", EndpointState::Draining, false).unwrap();
    for one in burst {
        assert_eq!(one.join().unwrap(), AttemptResult::Answered(Answer::Served, None));
    }
    // Every millisecond counts against the drain, not only the grace.
    let record = rig.fleet.recorder.snapshot();
    let notified = record.iter().find(|r| matches!(&r.event, AuditEvent::EngineListed { engine, listing: pintally_audit::ListingState::Draining, .. } if engine == "w1"));
    let notified = notified.expect("it was never notified").at;
    let late = record.iter().filter(|r| r.at > notified + 500_000);
    let late = late
        .filter(|r| matches!(&r.event, AuditEvent::AttemptArrived { engine, .. } if engine == "w1"))
        .count();
    assert_eq!(late, 0, "{late} attempts came to the drained engine");
    kept(&rig.finish().unwrap());
}

const DAY: &str = r#"
  (zones "a" "b") (racks 2) (slack-ms 800)
  (rules (warm-after-ms 3000))
  (limits (answer-margin-ms 500) (connect-ms 200) (errand-ms 200))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 3000))
  (class "keyed" (effect keyed (group all) (window-ms 9000)) (aim-ms 1500) (patience-ms 3000))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (patience-ms 3000))
  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 24) (memory-tokens 60000))
  (engines "decode" (count 6) (queue 12) (token-gap-ms 5))"#;

fn day(name: &str, more: &str, rate: u32) -> Report {
    let text = format!(
        r#"(day (name "{name}") (seconds 6) (settle-seconds 10) {DAY} {more}
  (traffic (per-second {rate}) (retries 1) (retry-wait-ms 100)
    (class "hint" (share 40)) (class "keyed" (share 30)) (class "graded-submit" (share 30))))"#
    );
    let day = Scenario::parse(name, &text).unwrap();
    for seed in [1, 2] {
        println!("day {name}, seed {seed}");
        let result = run_steady(&day, seed, None).unwrap();
        kept(&result.report);
        let r = &result.report;
        assert!(r.requests > u64::from(rate), "too few requests: {r:?}");
        if seed == 2 {
            return result.report;
        }
    }
    unreachable!()
}

#[test]
fn nodes_killed_with_requests_in_hand_while_others_serve() {
    let more = r#"(nodes 3 (notice-ms 200) (front-ms 300)) (engines "prefill" (count 4) (queue 30))
      (fault node-kill (at 1) (for 1.5) (part 0.34)) (fault node-roll (at 3) (for 2) (size 300))"#;
    let report = day("kills", more, 60);
    assert!(report.died > 0, "no node held anything when it was killed: {report:?}");
}

#[test]
fn a_third_of_the_engines_is_replaced_one_by_one() {
    let more = r#"(nodes 2 (notice-ms 200)) (engines "prefill" (count 6) (queue 30))
      (fault replace (at 0.5) (for 4) (part 0.34) (batch 1) (size 800))"#;
    let report = day("rolling", more, 60);
    assert!(report.served * 100 >= report.requests * 95, "{report:?}");
}

#[test]
fn all_readers_slow_at_once() {
    let more = r#"(nodes 2 (notice-ms 200)) (engines "prefill" (count 4) (queue 30) (read-per-s 8000))
      (fault slow (at 1) (for 3) (part 1) (of "prefill") (size 12))"#;
    day("slow", more, 60);
}

#[test]
fn mixed_classes_at_full_queues_get_exactly_one_answer_each() {
    let more = r#"(nodes 2 (notice-ms 200)) (engines "prefill" (count 2) (queue 4) (read-per-s 6000))
      (fault burst (at 1) (for 3) (size 3)) (fault leave-early (at 1) (for 4) (size 0.2))"#;
    let report = day("full", more, 80);
    assert!(report.refused + report.failed > 0, "the queues were never full: {report:?}");
    assert!(report.left > 0, "nobody left: {report:?}");
}

/// Guards against an engine that trickles: the attempt's time is up however slowly bytes come.
#[test]
fn an_engine_that_sends_a_byte_now_and_then_does_not_hold_an_attempt() {
    use std::io::{Read, Write};
    let mut rig = rig(1, 1);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let _ = stream.read(&mut [0u8; 4096]);
                for byte in b"HTTP/1.1 200 OK\r\nx-long: ".iter().chain(std::iter::repeat(&b'y')) {
                    if stream.write_all(&[*byte]).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    // The trickling engine is the only reader left.
    let list = std::fs::read_to_string(rig.list_file()).unwrap();
    let mut list = pintally_config::EngineList::parse("list", &list).unwrap();
    list.version += 1;
    list.engines[0].address = address;
    std::fs::write(rig.list_file(), list.render()).unwrap();
    let by = Instant::now() + WAIT;
    let mut n = 0;
    loop {
        // Until the node has read the list, the sound reader still serves.
        n += 1;
        let mut ask = rig.ask(&format!("t{n}"), "hint");
        ask.patience = Duration::from_millis(2000);
        let begin = Instant::now();
        match rig.client.attempt(&ask) {
            AttemptResult::Answered(Answer::Served, _) => {
                assert!(Instant::now() < by, "the list was not taken in");
            }
            ended => {
                assert!(
                    matches!(ended, AttemptResult::Answered(Answer::Refused | Answer::Failed, _)),
                    "{ended:?}"
                );
                assert!(
                    begin.elapsed() < Duration::from_millis(3000) + rig.fleet.recorder.lateness(),
                    "{:?}",
                    begin.elapsed()
                );
                break;
            }
        }
    }
    rig.publish().unwrap();
    kept(&rig.finish().unwrap());
}

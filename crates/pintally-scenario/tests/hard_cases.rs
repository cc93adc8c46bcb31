//! Failures and races of a running node, end to end on loopback. The engines and the client record what
//! crosses the sockets, and the record is audited.

use std::thread;
use std::time::{Duration, Instant};

use pintally::interface::{EndpointState, Role};
use pintally_audit::{Answer, AuditEvent, Report, Step};
use pintally_scenario::{run_steady, AttemptResult, Rig, Scenario};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a rig; `more` is added to the limits.
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

fn assert_rules_kept(report: &Report) {
    assert!(report.rules.kept(), "{:#?}", report.rules);
}

fn is_attempt_of(step: Step) -> impl Fn(&AuditEvent) -> bool {
    move |w| matches!(w, AuditEvent::AttemptArrived { step: s, .. } if *s == step)
}

#[test]
fn request_is_served_by_reader_and_writer() {
    let rig = rig(1, 1);
    for (id, streamed) in [("a", true), ("b", false)] {
        let mut attempt = rig.new_attempt(id, "hint");
        attempt.streamed = streamed;
        assert_eq!(rig.client.attempt(&attempt), AttemptResult::Answered(Answer::Served, None));
    }
    let record = rig.fleet.recorder.snapshot();
    assert_eq!(record.iter().filter(|r| is_attempt_of(Step::Read)(&r.event)).count(), 2);
    assert_eq!(record.iter().filter(|r| is_attempt_of(Step::Fetch)(&r.event)).count(), 2);
    let report = rig.finish().unwrap();
    assert_rules_kept(&report);
    assert_eq!((report.requests, report.served), (2, 2));
}

/// Guards against an unsafe request that runs twice: its writer crashes after it has started the request.
#[test]
fn unsafe_request_is_not_retried_after_writer_crash() {
    let rig = rig(2, 2);
    let mut attempt = rig.new_attempt("g", "graded-submit");
    attempt.max_tokens = 2000;
    let client = rig.client.clone();
    let waiting = thread::spawn(move || client.attempt(&attempt));
    let ran = rig
        .fleet
        .recorder
        .wait_for(WAIT_TIMEOUT, |w| matches!(w, AuditEvent::AttemptRan { .. }))
        .expect("it never ran");
    let AuditEvent::AttemptRan { engine, .. } = ran.event else { unreachable!() };
    rig.engine(&engine).unwrap().crash();
    let result = waiting.join().unwrap();
    assert!(matches!(result, AttemptResult::Answered(Answer::Cut | Answer::Failed, _)), "{result:?}");
    let runs = rig.fleet.recorder.snapshot().iter().filter(|r| is_attempt_of(Step::Fetch)(&r.event)).count();
    assert_eq!(runs, 1, "it went to a second writer");
    assert_rules_kept(&rig.finish().unwrap());
}

/// Guards against the same before the first token, when the client has received nothing.
#[test]
fn unsafe_request_fails_if_writer_crashes_before_first_token() {
    let rig = rig(1, 2);
    // The state takes seconds to move, so the writer crashes while it fetches.
    rig.engine("r0").unwrap().fault(|f| f.link_slowdown = 20_000.0);
    let attempt = rig.new_attempt("g", "graded-submit");
    let client = rig.client.clone();
    let waiting = thread::spawn(move || client.attempt(&attempt));
    let fetch =
        rig.fleet.recorder.wait_for(WAIT_TIMEOUT, is_attempt_of(Step::Fetch)).expect("it was never fetched");
    let AuditEvent::AttemptArrived { engine, .. } = fetch.event else { unreachable!() };
    rig.engine(&engine).unwrap().crash();
    assert_eq!(waiting.join().unwrap(), AttemptResult::Answered(Answer::Failed, None));
    assert_rules_kept(&rig.finish().unwrap());
}

/// Guards against a request that waits forever for a state lost with its reader.
#[test]
fn state_lost_with_its_reader_is_read_again() {
    let rig = rig(2, 1);
    rig.fleet.engines().iter().for_each(|e| e.fault(|f| f.link_slowdown = 1000.0));
    let attempt = rig.new_attempt("h", "hint");
    let client = rig.client.clone();
    let waiting = thread::spawn(move || client.attempt(&attempt));
    rig.fleet.recorder.wait_for(WAIT_TIMEOUT, is_attempt_of(Step::Fetch)).expect("it was never fetched");
    let held = rig
        .fleet
        .recorder
        .wait_for(WAIT_TIMEOUT, |w| matches!(w, AuditEvent::StateHeld { .. }))
        .expect("nothing was held");
    let AuditEvent::StateHeld { engine, .. } = held.event else { unreachable!() };
    rig.fleet.engines().iter().for_each(|e| e.fault(|f| f.link_slowdown = 1.0));
    rig.engine(&engine).unwrap().crash();
    assert_eq!(waiting.join().unwrap(), AttemptResult::Answered(Answer::Served, None));
    let reads = rig.fleet.recorder.snapshot().iter().filter(|r| is_attempt_of(Step::Read)(&r.event)).count();
    assert!(reads >= 2, "it was read only once");
    assert_rules_kept(&rig.finish().unwrap());
}

/// Guards against answers after the client's deadline, which is shorter than the class's patience.
#[test]
fn shorter_client_deadline_applies() {
    for streamed in [true, false] {
        let rig = rig(1, 1);
        rig.engine("w0").unwrap().fault(|f| f.hang = true);
        let mut attempt = rig.new_attempt("short", "hint");
        attempt.patience = Duration::from_millis(1500);
        attempt.streamed = streamed;
        let begin = Instant::now();
        let result = rig.client.attempt(&attempt);
        assert!(matches!(result, AttemptResult::Answered(Answer::Refused | Answer::Failed, _)), "{result:?}");
        // The class's patience is six seconds.
        assert!(
            begin.elapsed() < Duration::from_millis(2500) + rig.fleet.recorder.lateness(),
            "{:?}",
            begin.elapsed()
        );
        rig.engine("w0").unwrap().fault(|f| f.hang = false);
        assert_rules_kept(&rig.finish().unwrap());
    }
}

/// Guards against work for disconnected clients, and against states that are not released for them.
#[test]
fn client_disconnect_releases_the_read_state() {
    let rig = rig(1, 1);
    rig.engine("w0").unwrap().fault(|f| f.hang = true);
    let mut attempt = rig.new_attempt("leaves", "hint");
    attempt.leaves_after = Some(Duration::from_millis(300));
    assert_eq!(rig.client.attempt(&attempt), AttemptResult::Left);
    // Waits for the state to be freed, not only for the release message, which arrives a moment earlier.
    let freed = |w: &AuditEvent| matches!(w, AuditEvent::StateFreed { .. });
    assert!(rig.fleet.recorder.wait_for(WAIT_TIMEOUT, freed).is_some(), "the state was never let go");
    assert_eq!(rig.engine("r0").unwrap().states(), 0);
    assert_rules_kept(&rig.finish().unwrap());
}

/// Guards against a client that reads nothing: it may occupy its own thread only.
#[test]
fn slow_client_does_not_delay_others() {
    let rig = rig(1, 1);
    let mut slow = std::net::TcpStream::connect(rig.address()).unwrap();
    let body = br#"{"text_input":"x","parameters":{"class":"hint","max_tokens":60000,"deadline_ms":6000}}"#;
    let bytes = pintally_http::request("POST", "/v2/models/default/generate_stream", &[], body);
    std::io::Write::write_all(&mut slow, &bytes).unwrap();
    rig.fleet
        .recorder
        .wait_for(WAIT_TIMEOUT, |w| matches!(w, AuditEvent::AttemptRan { .. }))
        .expect("it never ran");
    for n in 0..20 {
        let begin = Instant::now();
        assert_eq!(
            rig.client.attempt(&rig.new_attempt(&format!("q{n}"), "hint")),
            AttemptResult::Answered(Answer::Served, None)
        );
        assert!(begin.elapsed() < Duration::from_secs(3) + rig.fleet.recorder.lateness());
    }
    drop(slow);
}

/// Guards against a restarted node without a list, or with wrong state from its previous run.
#[test]
fn killed_node_restarts_with_the_cached_list() {
    let mut rig = rig(1, 1);
    assert_eq!(
        rig.client.attempt(&rig.new_attempt("before", "hint")),
        AttemptResult::Answered(Answer::Served, None)
    );
    rig.engine("w0").unwrap().fault(|f| f.hang = true);
    let attempt = rig.new_attempt("inside", "hint");
    let client = rig.client.clone();
    let waiting = thread::spawn(move || client.attempt(&attempt));
    let inside = |w: &AuditEvent| matches!(w, AuditEvent::AttemptArrived { request, step: Step::Fetch, .. } if request == "inside");
    rig.fleet.recorder.wait_for(WAIT_TIMEOUT, inside).expect("it was never sent");
    rig.kill_node();
    assert_eq!(waiting.join().unwrap(), AttemptResult::Unanswered);
    rig.engine("w0").unwrap().fault(|f| f.hang = false);
    // The list is deleted, so only the cached copy is left.
    std::fs::remove_file(rig.list_file()).unwrap();
    rig.start_node().unwrap();
    assert_eq!(
        rig.client.attempt(&rig.new_attempt("after", "hint")),
        AttemptResult::Answered(Answer::Served, None)
    );
    let report = rig.finish().unwrap();
    assert_rules_kept(&report);
    assert_eq!((report.served, report.died), (2, 1));
}

/// Guards against a truncated or malformed list that removes all engines.
#[test]
fn malformed_list_is_ignored() {
    let mut rig = rig(1, 1);
    let whole = std::fs::read_to_string(rig.list_file()).unwrap();
    for (n, text) in ["", "(engines", &whole[..whole.len() / 2], "(something)"].iter().enumerate() {
        std::fs::write(rig.list_file(), text).unwrap();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while rig.node().unwrap().counters().lists_refused <= n as u64 {
            assert!(Instant::now() < deadline, "the node never looked at `{text}`");
            thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(rig.node().unwrap().serving_engines(), 2, "{text}");
    }
    rig.publish().unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while rig.node().unwrap().serving_engines() != 2 {
        assert!(Instant::now() < deadline, "the sound list was not taken in");
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(
        rig.client.attempt(&rig.new_attempt("x", "hint")),
        AttemptResult::Answered(Answer::Served, None)
    );
    assert_rules_kept(&rig.finish().unwrap());
}

/// Guards against new work for a draining engine during a burst.
#[test]
fn drain_during_a_burst_is_obeyed() {
    let mut rig = rig(2, 3);
    let burst: Vec<_> = (0..60)
        .map(|n| {
            let (client, attempt) = (rig.client.clone(), rig.new_attempt(&format!("b{n}"), "hint"));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(n * 10));
                client.attempt(&attempt)
            })
        })
        .collect();
    rig.fleet
        .recorder
        .wait_for(WAIT_TIMEOUT, |w| matches!(w, AuditEvent::AttemptRan { engine, .. } if engine == "w1"))
        .expect("w1 idles");
    rig.list("w1", EndpointState::Draining, false).unwrap();
    for one in burst {
        assert_eq!(one.join().unwrap(), AttemptResult::Answered(Answer::Served, None));
    }
    // Stricter than the audit: no attempt may arrive later than 500 ms after the drain was published.
    let record = rig.fleet.recorder.snapshot();
    let notified = record.iter().find(|r| matches!(&r.event, AuditEvent::EngineListed { engine, listing: pintally_audit::ListingState::Draining, .. } if engine == "w1"));
    let notified = notified.expect("it was never notified").at;
    let late = record.iter().filter(|r| r.at > notified + 500_000);
    let late = late
        .filter(|r| matches!(&r.event, AuditEvent::AttemptArrived { engine, .. } if engine == "w1"))
        .count();
    assert_eq!(late, 0, "{late} attempts came to the drained engine");
    assert_rules_kept(&rig.finish().unwrap());
}

const BASE: &str = r#"
  (zones "a" "b") (racks 2) (slack-ms 800)
  (rules (warm-after-ms 3000))
  (limits (answer-margin-ms 500) (connect-ms 200) (errand-ms 200))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 3000))
  (class "keyed" (effect keyed (group all) (window-ms 9000)) (aim-ms 1500) (patience-ms 3000))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (patience-ms 3000))
  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 24) (memory-tokens 60000))
  (engines "decode" (count 6) (queue 12) (token-gap-ms 5))"#;

fn run_scenario(name: &str, more: &str, rate: u32) -> Report {
    let text = format!(
        r#"(day (name "{name}") (seconds 6) (settle-seconds 10) {BASE} {more}
  (traffic (per-second {rate}) (retries 1) (retry-wait-ms 100)
    (class "hint" (share 40)) (class "keyed" (share 30)) (class "graded-submit" (share 30))))"#
    );
    let scenario = Scenario::parse(name, &text).unwrap();
    for seed in [1, 2] {
        println!("day {name}, seed {seed}");
        let result = run_steady(&scenario, seed, None).unwrap();
        assert_rules_kept(&result.report);
        let r = &result.report;
        assert!(r.requests > u64::from(rate), "too few requests: {r:?}");
        if seed == 2 {
            return result.report;
        }
    }
    unreachable!()
}

#[test]
fn node_kills_lose_only_the_requests_in_progress() {
    let more = r#"(nodes 3 (notice-ms 200) (front-ms 300)) (engines "prefill" (count 4) (queue 30))
      (fault node-kill (at 1) (for 1.5) (part 0.34)) (fault node-roll (at 3) (for 2) (size 300))"#;
    let report = run_scenario("kills", more, 60);
    assert!(report.died > 0, "no node held anything when it was killed: {report:?}");
}

#[test]
fn rolling_replacement_serves_nearly_all_requests() {
    let more = r#"(nodes 2 (notice-ms 200)) (engines "prefill" (count 6) (queue 30))
      (fault replace (at 0.5) (for 4) (part 0.34) (batch 1) (size 800))"#;
    let report = run_scenario("rolling", more, 60);
    assert!(report.served * 100 >= report.requests * 95, "{report:?}");
}

#[test]
fn all_readers_slow_keeps_the_rules() {
    let more = r#"(nodes 2 (notice-ms 200)) (engines "prefill" (count 4) (queue 30) (read-per-s 8000))
      (fault slow (at 1) (for 3) (part 1) (of "prefill") (size 12))"#;
    run_scenario("slow", more, 60);
}

#[test]
fn full_queues_give_each_request_one_answer() {
    let more = r#"(nodes 2 (notice-ms 200)) (engines "prefill" (count 2) (queue 4) (read-per-s 6000))
      (fault burst (at 1) (for 3) (size 3)) (fault leave-early (at 1) (for 4) (size 0.2))"#;
    let report = run_scenario("full", more, 80);
    assert!(report.refused + report.failed > 0, "the queues were never full: {report:?}");
    assert!(report.left > 0, "nobody left: {report:?}");
}

/// Guards against an engine that sends single bytes: the attempt times out even though data keeps arriving.
#[test]
fn trickling_engine_does_not_extend_the_attempt_timeout() {
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
    // The trickling engine replaces the only reader.
    let list = std::fs::read_to_string(rig.list_file()).unwrap();
    let mut list = pintally_config::EngineList::parse("list", &list).unwrap();
    list.version += 1;
    list.engines[0].address = address;
    std::fs::write(rig.list_file(), list.render()).unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut n = 0;
    loop {
        // Until the node loads the list, the normal reader still serves.
        n += 1;
        let mut attempt = rig.new_attempt(&format!("t{n}"), "hint");
        attempt.patience = Duration::from_millis(2000);
        let begin = Instant::now();
        match rig.client.attempt(&attempt) {
            AttemptResult::Answered(Answer::Served, _) => {
                assert!(Instant::now() < deadline, "the list was not taken in");
            }
            result => {
                assert!(
                    matches!(result, AttemptResult::Answered(Answer::Refused | Answer::Failed, _)),
                    "{result:?}"
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
    assert_rules_kept(&rig.finish().unwrap());
}

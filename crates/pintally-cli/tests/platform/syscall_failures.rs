//! Temporary failures of system calls, injected by a library that is loaded before the C library.

use std::time::{Duration, Instant};

use crate::attempted_engines;
use crate::harness::*;

/// How long calls fail.
const FAILURE_DURATION: Duration = Duration::from_millis(600);

/// The processor time that a process has used.
fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    // User and system time, in hundredths of a second (clock ticks).
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

/// Guards against closing client connections because `accept` fails temporarily, whatever the cause, and against a
/// node that busy-waits during the failure.
#[test]
fn failed_accept_keeps_client_connections() {
    let harness = Harness::with_failing_calls(&["r0", "w0"], "accept4", false);
    let mut silent: Vec<Client> = (0..20).map(|_| Client::new(&harness)).collect();
    harness.wait_until_status("all clients are accepted", |b| b["clients"].as_u64() == Some(21));
    std::fs::write(&harness.faults_file, "").unwrap();
    let used = processor_time(harness.pid());
    let mut late_client = Client::new(&harness);
    late_client.send_request("once", "late");
    std::thread::sleep(FAILURE_DURATION);
    let used = processor_time(harness.pid()) - used;
    std::fs::remove_file(&harness.faults_file).unwrap();
    assert_eq!(late_client.receive_response(), (200, [TOKEN, TOKEN, DONE].concat(), true));
    for (n, client) in silent.iter_mut().enumerate() {
        client.send_request("once", &format!("a{n}"));
        assert_eq!(client.receive_response(), (200, [TOKEN, TOKEN, DONE].concat(), true), "client {n}");
    }
    assert!(used < FAILURE_DURATION / 3, "the node used {used:?} of processor time in {FAILURE_DURATION:?}");
}

/// Guards against a node that fails to start because system calls fail temporarily.
#[test]
fn node_starts_after_socket_calls_recover() {
    let harness = Harness::with_failing_calls(&["r0", "w0"], "socket", true);
    std::thread::sleep(FAILURE_DURATION);
    std::fs::remove_file(&harness.faults_file).unwrap();
    harness.wait_until_ready();
    let mut client = Client::new(&harness);
    client.send_request("once", "a");
    assert!(client.receive_response().2);
}

/// Guards against a node that never receives the list of engines because its request to discovery is written in parts.
#[test]
fn opens_watch_with_short_writes() {
    let harness = Harness::with_failing_calls(&["r0", "w0"], "send:short", true);
    harness.wait_until_ready();
    harness.discovery.wait_for_watches(1);
}

/// Guards against a signal that is lost because the call that wakes the event loop fails at that moment.
#[test]
fn handles_signal_when_wakeup_call_fails() {
    let mut harness = Harness::with_failing_calls(&["r0", "w0"], "send", false);
    harness.discovery.wait_for_watches(1);
    std::fs::write(&harness.faults_file, "").unwrap();
    harness.signal("-TERM");
    std::thread::sleep(FAILURE_DURATION / 3);
    std::fs::remove_file(&harness.faults_file).unwrap();
    assert!(harness.wait_for_exit().success());
}

/// While every call of one kind fails for a moment, each request is still served completely and exactly once.
#[test]
fn interrupted_calls_lose_no_requests() {
    for call in ["recv", "send", "writev"] {
        let harness = Harness::with_failing_calls(&["r0", "w0"], call, false);
        harness.discovery.wait_for_watches(1);
        std::fs::write(&harness.faults_file, "").unwrap();
        let by = Instant::now() + FAILURE_DURATION;
        let mut n = 0;
        while Instant::now() < by {
            let mut client = Client::new(&harness);
            let id = format!("a{n}");
            n += 1;
            client.send_request("once", &id);
            std::thread::sleep(Duration::from_millis(20));
            std::fs::remove_file(&harness.faults_file).unwrap();
            let (status, body, complete) = client.receive_response();
            assert_eq!((status, complete), (200, true), "{call} {id}: {}", String::from_utf8_lossy(&body));
            assert_eq!(body, [TOKEN, TOKEN, DONE].concat(), "{call} {id}");
            assert_eq!(attempted_engines(&harness, &id), ["r0", "w0"], "{call} {id}");
            std::fs::write(&harness.faults_file, "").unwrap();
        }
    }
}

/// Guards against a log that ends the process or stops it: nobody reads it and its pipe is full, or it is closed.
#[test]
fn full_or_closed_log_does_not_stop_node() {
    const REQUESTS: usize = 300;
    let mut harness = Harness::new(&["r0", "w0"], 256);
    for is_closed in [false, true] {
        let (reader, writer) = std::io::pipe().unwrap();
        let reader = (!is_closed).then_some(reader);
        harness.restart_with_verbose_log(writer);
        for n in 0..REQUESTS {
            let mut client = Client::new(&harness);
            client.send_request("safe", &format!("a{n}"));
            assert!(client.receive_response().2, "closed: {is_closed}, request {n}");
        }
        drop(reader);
    }
}

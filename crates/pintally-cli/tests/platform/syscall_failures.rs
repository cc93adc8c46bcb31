//! System calls that fail for a moment, by a library that is loaded before the C library.

use std::time::{Duration, Instant};

use crate::posts;
use crate::stand::*;

/// For so long calls fail.
const FAILING_FOR: Duration = Duration::from_millis(600);

/// Processor time that a process has used.
fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    // User and system time, in hundredths of a second.
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

/// Guards against clients that are turned out because a connection cannot be accepted for a moment, whatever the
/// cause, and against a node that spins meanwhile.
#[test]
fn a_failed_accept_ends_no_clients_connection() {
    let stand = Stand::under_faults(&["r0", "w0"], "accept4", false);
    let mut silent: Vec<Client> = (0..20).map(|_| Client::new(&stand)).collect();
    stand.until_believed("all are accepted", |b| b["clients"].as_u64() == Some(21));
    std::fs::write(&stand.faults, "").unwrap();
    let used = processor_time(stand.pid());
    let mut late = Client::new(&stand);
    late.ask("once", "late");
    std::thread::sleep(FAILING_FOR);
    let used = processor_time(stand.pid()) - used;
    std::fs::remove_file(&stand.faults).unwrap();
    assert_eq!(late.answer(), (200, [TOKEN, TOKEN, DONE].concat(), true));
    for (n, client) in silent.iter_mut().enumerate() {
        client.ask("once", &format!("a{n}"));
        assert_eq!(client.answer(), (200, [TOKEN, TOKEN, DONE].concat(), true), "client {n}");
    }
    assert!(used < FAILING_FOR / 3, "it used {used:?} of {FAILING_FOR:?}");
}

/// Guards against a refusal to start.
#[test]
fn a_node_starts_when_calls_do_not_fail_any_more() {
    let stand = Stand::under_faults(&["r0", "w0"], "socket", true);
    std::thread::sleep(FAILING_FOR);
    std::fs::remove_file(&stand.faults).unwrap();
    stand.until_ready();
    let mut client = Client::new(&stand);
    client.ask("once", "a");
    assert!(client.answer().2);
}

/// Guards against a node that never hears of the list of engines where its requests go out in pieces.
#[test]
fn a_watch_whose_request_is_written_in_pieces_is_opened() {
    let stand = Stand::under_faults(&["r0", "w0"], "send:short", true);
    stand.until_ready();
    stand.discovery.until_watched(1);
}

/// Guards against a signal that is lost because the call that wakes the loop for it fails in that moment.
#[test]
fn a_signal_is_heard_although_the_call_that_wakes_the_loop_fails() {
    let mut stand = Stand::under_faults(&["r0", "w0"], "send", false);
    stand.discovery.until_watched(1);
    std::fs::write(&stand.faults, "").unwrap();
    stand.signal("-TERM");
    std::thread::sleep(FAILING_FOR / 3);
    std::fs::remove_file(&stand.faults).unwrap();
    assert!(stand.ended().success());
}

/// Calls of one kind are interrupted for a moment, each time, and what is served is served whole and once.
#[test]
fn calls_that_are_interrupted_lose_nothing() {
    for call in ["recv", "send", "writev"] {
        let stand = Stand::under_faults(&["r0", "w0"], call, false);
        stand.discovery.until_watched(1);
        std::fs::write(&stand.faults, "").unwrap();
        let by = Instant::now() + FAILING_FOR;
        let mut n = 0;
        while Instant::now() < by {
            let mut client = Client::new(&stand);
            let id = format!("a{n}");
            n += 1;
            client.ask("once", &id);
            std::thread::sleep(Duration::from_millis(20));
            std::fs::remove_file(&stand.faults).unwrap();
            let (status, body, whole) = client.answer();
            assert_eq!((status, whole), (200, true), "{call} {id}: {}", String::from_utf8_lossy(&body));
            assert_eq!(body, [TOKEN, TOKEN, DONE].concat(), "{call} {id}");
            assert_eq!(posts(&stand, &id), ["r0", "w0"], "{call} {id}");
            std::fs::write(&stand.faults, "").unwrap();
        }
    }
}

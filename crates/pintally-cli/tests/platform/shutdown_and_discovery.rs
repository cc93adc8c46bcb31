//! Ends and changes while something is owed: signals, kills, reloads, and a discovery that fails.

use std::time::{Duration, Instant};

use pintally_http::response;
use serde_json::{json, Value};

use crate::stand::*;
use crate::{at, posts};

/// A change counts as notified this long after discovery had it.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Sooner than a watch that has merely gone silent is opened anew.
const SOON: Duration = Duration::from_secs(3);

// ---- SIGTERM ----

#[test]
fn a_request_between_prefill_and_decode_at_sigterm_is_served() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("r0", &[Does::SaysThen(Vec::new(), read_answer())]);
    let mut client = Client::new(&stand);
    client.ask("once", "a");
    stand.seen.until("the read", |came| !at(came, "a").is_empty());
    // The signal and the read's answer come in the same iteration.
    stand.pause();
    stand.signal("-TERM");
    stand.seen.go_on_and_write();
    stand.wake();
    assert_eq!(client.answer(), (200, [TOKEN, TOKEN, DONE].concat(), true));
    assert!(client.closed());
    assert!(stand.ended().success());
}

/// A client whose request `a` is answered up to its first event; the rest comes when the test lets it go on.
fn stream_under_way(stand: &Stand) -> Client {
    let rest = stream(&[TOKEN, DONE])[begun(&[TOKEN]).len()..].to_vec();
    stand.seen.let_do("w0", &[Does::SaysThen(begun(&[TOKEN]), rest)]);
    let mut client = Client::new(stand);
    client.ask("safe", "a");
    client.until_begun(TOKEN);
    client
}

#[test]
fn a_stream_in_flight_at_sigterm_is_forwarded_to_its_end() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let mut client = stream_under_way(&stand);
    stand.tell_to_stop("b");
    stand.seen.go_on_and_write();
    assert_eq!(client.answer(), (200, [TOKEN, DONE].concat(), true));
    assert!(stand.ended().success());
    assert!(posts(&stand, "b").is_empty());
}

#[test]
fn a_request_half_read_at_sigterm_is_rejected_and_not_forwarded() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let mut client = Client::new(&stand);
    let whole = asked("once", "a");
    client.send(&whole[..whole.len() / 2]);
    let clients = |stand: &Stand| stand.beliefs()["clients"].as_u64();
    assert_eq!(clients(&stand), Some(2));
    stand.tell_to_stop("b");
    client.send(&whole[whole.len() / 2..]);
    assert_eq!(client.answer().0, 503);
    assert!(client.closed());
    assert!(stand.ended().success());
    assert!(posts(&stand, "a").is_empty());
}

/// Requests that were read behind a stream at SIGTERM are each refused, not dropped.
#[test]
fn requests_read_behind_a_stream_at_sigterm_are_rejected() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let rest = stream(&[TOKEN, DONE])[begun(&[TOKEN]).len()..].to_vec();
    stand.seen.let_do("w0", &[Does::SaysThen(begun(&[TOKEN]), rest)]);
    let mut client = Client::new(&stand);
    client.send(&[asked("safe", "a"), asked("safe", "b"), asked("once", "c")].concat());
    client.until_begun(TOKEN);
    stand.tell_to_stop("d");
    stand.seen.go_on_and_write();
    assert!(client.answer().2);
    assert_eq!((client.answer().0, client.answer().0), (503, 503));
    assert!(client.closed());
    assert!(stand.ended().success());
    assert!(posts(&stand, "b").is_empty() && posts(&stand, "c").is_empty());
}

/// A request that comes behind the last answer of a connection, as the node has ended its sending there, is
/// dropped: its client sends it again elsewhere.
#[test]
fn a_request_read_after_the_node_has_shut_a_connection_is_not_sent_on() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let rest = stream(&[TOKEN, DONE])[begun(&[TOKEN]).len()..].to_vec();
    stand.seen.let_do("w0", &[Does::SaysThen(begun(&[TOKEN]), rest), Does::streams()]);
    let mut client = Client::new(&stand);
    client.ask("safe", "a");
    client.until_begun(TOKEN);
    stand.tell_to_stop("b");
    // The stream's end and the next request come in the same iteration, and one more behind the shutdown.
    stand.pause();
    stand.seen.go_on_and_write();
    client.ask("once", "c");
    stand.wake();
    assert!(client.answer().2);
    let _ = std::io::Write::write_all(&mut client.stream, &asked("once", "d"));
    assert!(client.closed());
    assert!(stand.ended().success());
    assert!(posts(&stand, "c").is_empty() && posts(&stand, "d").is_empty());
}

/// Guards against a request that is read and dropped behind the end of a stream whose head said that the connection
/// stays: its client cannot know that it has to send it again. It is refused, or the connection is closed unread, and
/// then the system resets it as soon as anything comes.
#[test]
fn a_request_behind_a_stream_that_was_to_keep_its_connection_is_refused_or_never_read() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let mut client = stream_under_way(&stand);
    stand.tell_to_stop("b");
    stand.seen.go_on_and_write();
    assert!(client.answer().2);
    let first = std::io::Write::write_all(&mut client.stream, &asked("once", "c"));
    let (status, _, whole) = client.answer();
    if !whole {
        // Where the node reads and drops what comes, this arrives as well.
        let second = first.and_then(|()| std::io::Write::write_all(&mut client.stream, b"more"));
        assert!(second.is_err(), "it was read, and got no answer");
    } else {
        assert_eq!(status, 503);
    }
    assert!(stand.ended().success());
    assert!(posts(&stand, "c").is_empty());
}

/// A request on a connection that has rested, in the instant in which the node closes it: either it is
/// answered, or the connection ends and no engine has seen it.
#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_answered_or_never_sent_on() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    let mut resting: Vec<Client> = (0..20).map(|_| Client::new(&stand)).collect();
    for (n, client) in resting.iter_mut().enumerate() {
        client.ask("safe", &format!("before-{n}"));
        assert!(client.answer().2);
    }
    stand.signal("-TERM");
    // Half a second later the node closes what rests; requests come all the time.
    let mut crossed = 0;
    for (n, client) in resting.iter_mut().enumerate() {
        std::thread::sleep(Duration::from_millis(35));
        let id = format!("a{n}");
        if std::io::Write::write_all(&mut client.stream, &asked("once", &id)).is_err() {
            crossed += 1;
            continue;
        }
        let (status, _, whole) = client.answer();
        if whole {
            assert_eq!(status, 503);
        } else {
            crossed += 1;
        }
        assert!(posts(&stand, &id).is_empty(), "{id}");
    }
    println!("{crossed} of 20 crossed the close");
    assert!(stand.ended().success());
}

#[test]
fn a_release_in_flight_at_sigterm_is_retried_until_acknowledged() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("w0", &[Does::Hangs]);
    for engine in ["r0", "w0"] {
        let late = Does::SaysThen(Vec::new(), response(204, &[], b""));
        stand.seen.let_do(&format!("{engine} releases"), &[late, Does::Says(response(204, &[], b""))]);
    }
    let mut client = Client::new(&stand);
    client.ask("safe", "a");
    stand.seen.until("the write", |came| at(came, "a").contains(&("w0", "POST")));
    drop(client);
    stand.seen.until("a release", |came| at(came, "a").iter().any(|c| c.1 == "DELETE"));
    stand.signal("-TERM");
    // The first calls say nothing; the node goes on calling before it ends.
    assert!(stand.ended().success());
    let came = stand.seen.came();
    assert!(at(&came, "a").iter().filter(|c| c.1 == "DELETE").count() >= 2);
}

// ---- SIGKILL ----

#[test]
fn a_node_that_was_killed_with_states_held_starts_again_at_once() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("w0", &[Does::Hangs, Does::streams()]);
    let mut client = Client::new(&stand);
    client.ask("once", "a");
    stand.seen.until("the write", |came| at(came, "a").contains(&("w0", "POST")));
    let since = Instant::now();
    stand.kill_and_restart();
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
    assert!(client.closed());
    // The id of what was under way is free again, and nothing of it is done twice by itself.
    let mut client = Client::new(&stand);
    client.ask("safe", "b");
    assert!(client.answer().2);
    assert_eq!(posts(&stand, "a"), ["r0", "w0"]);
    assert_eq!(stand.beliefs()["held"], 0);
}

/// A node that starts while discovery is silent is ready by the list that it had, however long that is.
#[test]
fn a_node_is_ready_with_discovery_silent_and_a_thousand_engines() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let names: Vec<String> = (0..1_024).map(|n| format!("{}{n}", ["r", "w"][n % 2])).collect();
    let known: Vec<Value> = names.iter().map(|name| member(name, address, "up")).collect();
    let discovery = std::sync::Arc::new(Discovery::default());
    discovery.be_silent(true);
    let since = Instant::now();
    let stand = Stand::configured(&[], 256, discovery.clone(), |config| {
        config["known"] = json!({"revision": 7, "complete": true, "members": known});
    });
    assert!(since.elapsed() < TOLD_AFTER, "{:?}", since.elapsed());
    assert_eq!(stand.beliefs()["engines"].as_array().map(Vec::len), Some(1_024));
    discovery.until_unanswered(2);
}

/// Guards against sends by a list that is out of date: a node that was down while an engine drained is notified late,
/// and clients must not come before.
#[test]
fn a_node_that_starts_is_ready_when_it_has_heard_of_the_list() {
    const GRACE: Duration = Duration::from_secs(1);
    let (seen, engines) = serve_engines(&["r0", "w0", "w1"]);
    let discovery = std::sync::Arc::new(Discovery::default());
    discovery.answer_after(Duration::from_millis(1_500));
    let listed = [engines[0], engines[2]];
    let known: Vec<Value> = engines.iter().map(|(id, address)| member(id, *address, "up")).collect();
    let stand = Stand::configured(&listed, 256, discovery, |config| {
        config["known"] = json!({"revision": 1, "complete": true, "members": known});
    });
    std::thread::sleep(GRACE);
    let mut client = Client::new(&stand);
    for n in 0..12 {
        client.ask("safe", &format!("a{n}"));
        assert!(client.answer().2, "request {n}");
    }
    let sent_on: Vec<Came> = seen.came().into_iter().filter(|came| came.0 == "w0").collect();
    assert!(sent_on.is_empty(), "{sent_on:?}");
}

// ---- discovery ----

/// Guards against a watch that says nothing any more and a node that waits for it: what it missed counts as
/// notified six seconds after it fell silent.
#[test]
fn a_silent_watch_is_reopened_before_missed_changes_count_as_notified() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    stand.discovery.until_watched(1);
    let silent_since = Instant::now();
    stand.discovery.change_unheard(member("w1", stand.engines["w1"], "draining"));
    stand.until_believed("the drain", |b| is_listed(b, "w1", "Draining"));
    assert!(silent_since.elapsed() < TOLD_AFTER, "{:?}", silent_since.elapsed());
}

/// The same after a reload and a restart, and while discovery does not answer for a while.
#[test]
fn watches_are_opened_anew_after_a_reload_a_restart_and_a_silence() {
    let mut stand = Stand::new(&["r0", "w0", "w1"], 256);
    stand.discovery.until_watched(1);
    stand.discovery.be_silent(true);
    stand.move_discovery();
    stand.discovery.until_unanswered(1);
    // What is asked for while nobody answers is served by the list that holds.
    let mut client = Client::new(&stand);
    client.ask("safe", "a");
    assert!(client.answer().2);
    stand.discovery.change_unheard(member("w1", stand.engines["w1"], "draining"));
    stand.discovery.be_silent(false);
    let back = Instant::now();
    stand.until_believed("the drain", |b| is_listed(b, "w1", "Draining"));
    assert!(back.elapsed() < TOLD_AFTER, "{:?}", back.elapsed());
    // A new process asks at once.
    stand.discovery.change_unheard(member("w1", stand.engines["w1"], "up"));
    let restart = Instant::now();
    stand.kill_and_restart();
    stand.until_believed("w1 is up", |b| is_listed(b, "w1", "Serving"));
    assert!(restart.elapsed() < SOON, "{:?}", restart.elapsed());
}

#[test]
fn watches_that_are_reset_are_opened_anew_at_once() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    for (n, phase) in ["draining", "up", "draining"].into_iter().enumerate() {
        stand.discovery.until_watched(n + 1);
        stand.discovery.change_unheard(member("w1", stand.engines["w1"], phase));
        let reset = Instant::now();
        stand.discovery.reset_watches();
        let listing = if phase == "up" { "Serving" } else { "Draining" };
        stand.until_believed(phase, |b| is_listed(b, "w1", listing));
        assert!(reset.elapsed() < SOON, "{:?}", reset.elapsed());
    }
}

/// Guards against the end of the watch being taken for the end of a client: what is waited on goes by numbers,
/// and those of the listener, signals and the watch are like those of a node's first connections.
/// Guards against a drain that is heard too late because the watch is opened at growing distances: what discovery has
/// at its return counts as notified at once, and sends have to stop within the settings' grace of that.
#[test]
fn a_watch_that_was_refused_is_open_soon_after_discovery_is_back() {
    const GRACE_MS: u64 = 250;
    let discovery = std::sync::Arc::new(Discovery::default());
    let stand = Stand::configured(&[], 256, discovery.clone(), |config| {
        config["settings"]["rules"]["stop_sending_within"] = json!(GRACE_MS as f64 / 1e3);
        config["known"] = json!({"revision": 1, "complete": true,
            "members": [member("r0", "127.0.0.1:9".parse().unwrap(), "up")]});
    });
    stand.discovery.until_watched(1);
    // Where discovery is from now on nobody listens, for a while.
    let held = pintally_mock_engine::Port::hold().unwrap();
    let address = held.address().unwrap();
    let mut config = stand.config.clone();
    config["discovery"] = json!(address);
    std::fs::write(&stand.file, config.to_string()).unwrap();
    stand.signal("-HUP");
    let mut latest = Duration::ZERO;
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(2_300));
        let listener = std::net::TcpListener::bind(address).unwrap();
        let back = Instant::now();
        drop(listener.accept().unwrap());
        latest = latest.max(back.elapsed());
        drop(listener);
    }
    println!("a watch came {latest:?} after discovery was back at the latest");
    assert!(latest < Duration::from_millis(GRACE_MS), "{latest:?}");
}

/// Guards against a node that never hears of the list because discovery takes longer to answer a watch than the node
/// waits for word on one that is open.
#[test]
fn a_watch_that_is_answered_late_is_heard() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    stand.discovery.until_watched(1);
    stand.discovery.answer_after(Duration::from_secs(4));
    stand.discovery.reset_watches();
    stand.discovery.change_unheard(member("w1", stand.engines["w1"], "draining"));
    let since = Instant::now();
    stand.until_believed("the drain", |b| is_listed(b, "w1", "Draining"));
    println!("heard after {:?}", since.elapsed());
}

#[test]
fn the_end_of_a_watch_ends_no_clients_connection() {
    let mut stand = Stand::new(&["r0", "w0"], 256);
    stand.discovery.until_watched(1);
    let mut first = stand.restart_with_first_clients(4);
    stand.discovery.until_watched(2);
    stand.until_believed("all are there", |b| b["clients"] == 5);
    stand.discovery.reset_watches();
    stand.discovery.until_watched(3);
    for (n, client) in first.iter_mut().enumerate() {
        client.ask("safe", &format!("a{n}"));
        assert!(client.answer().2, "client {n}");
    }
}

/// A whole list that does not name an engine, byte by byte: it is gone, and gets nothing from then on.
#[test]
fn an_engine_that_a_whole_list_leaves_out_gets_nothing_more() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    stand.discovery.until_watched(1);
    stand.discovery.write_by_bytes();
    stand.discovery.forget("w1");
    stand.discovery.reset_watches();
    stand.until_believed("it is gone", |b| is_listed(b, "w1", "Gone"));
    let mut client = Client::new(&stand);
    for n in 0..8 {
        client.ask("safe", &format!("a{n}"));
        assert!(client.answer().2);
        assert!(!posts(&stand, &format!("a{n}")).contains(&"w1".to_string()));
    }
}

/// A drain that is notified in the same iteration in which requests come: what the node sends behind it goes
/// elsewhere.
#[test]
fn a_drain_received_in_the_iteration_of_a_send_applies_to_the_next_one() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    stand.discovery.until_watched(1);
    let mut clients: Vec<Client> = (0..12).map(|_| Client::new(&stand)).collect();
    stand.pause();
    for (n, client) in clients.iter_mut().enumerate() {
        client.ask("safe", &format!("a{n}"));
    }
    stand.discovery.change(member("w1", stand.engines["w1"], "draining"));
    stand.wake();
    // Their reads end after the list was taken in, and so do all their fetches begin.
    clients.iter_mut().for_each(|client| assert!(client.answer().2));
    let came = stand.seen.came();
    assert!(came.iter().all(|c| c.0 != "w1"), "{came:?}");
}

/// Guards against a new configuration that is lost because it cannot be read in the moment of the signal: the file is
/// missing, or half written, and whole a little later.
#[test]
fn a_configuration_that_cannot_be_read_for_a_moment_is_read_soon() {
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.discovery.until_watched(1);
    let old = std::fs::read_to_string(&stand.file).unwrap();
    for broken in [None, Some(&old[..old.len() / 2])] {
        match broken {
            None => std::fs::remove_file(&stand.file).unwrap(),
            Some(half) => std::fs::write(&stand.file, half).unwrap(),
        }
        stand.signal("-HUP");
        std::thread::sleep(Duration::from_millis(300));
        let moved_to = std::sync::Arc::new(Discovery::default());
        let mut config = stand.config.clone();
        config["discovery"] = json!(moved_to.serve());
        std::fs::write(&stand.file, config.to_string()).unwrap();
        moved_to.until_watched(1);
    }
}

#[test]
fn a_reload_with_a_release_and_a_watch_outstanding_loses_neither() {
    let stand = Stand::new(&["r0", "w0", "w1"], 256);
    stand.discovery.until_watched(1);
    stand.seen.let_do("w0", &[Does::Hangs]);
    stand.seen.let_do("w1", &[Does::Hangs]);
    for engine in ["r0", "w0", "w1"] {
        stand.seen.let_do(&format!("{engine} releases"), &[Does::Hangs, Does::Says(response(204, &[], b""))]);
    }
    let mut client = Client::new(&stand);
    client.ask("once", "a");
    stand.seen.until("the write", |came| at(came, "a").iter().any(|c| c.0.starts_with('w')));
    drop(client);
    stand.seen.until("a release", |came| at(came, "a").iter().any(|c| c.1 == "DELETE"));
    stand.discovery.be_silent(true);
    stand.move_discovery();
    stand.discovery.until_unanswered(1);
    stand.seen.until("more calls", |came| at(came, "a").iter().filter(|c| c.1 == "DELETE").count() >= 2);
    stand.discovery.change_unheard(member("w1", stand.engines["w1"], "draining"));
    stand.discovery.be_silent(false);
    stand.until_believed("the drain", |b| is_listed(b, "w1", "Draining") && b["held"] == 0);
}

// ---- descriptors ----

/// Idle clients fill the descriptors while discovery is down: engines, releases and the watch get theirs all
/// the same, and the node recovers.
#[test]
fn idle_clients_take_no_descriptor_from_engines_releases_and_the_watch() {
    let stand = Stand::new(&["r0", "w0", "w1"], 64);
    stand.discovery.until_watched(1);
    stand.discovery.be_silent(true);
    stand.discovery.reset_watches();
    let idle: Vec<Client> = (0..150).map(|_| Client::new(&stand)).collect();
    stand.discovery.until_unanswered(1);
    // A request is served, and one whose client leaves is released.
    let mut client = Client::new(&stand);
    client.ask("safe", "a");
    assert!(client.answer().2);
    stand.seen.let_do("w0", &[Does::Hangs]);
    stand.seen.let_do("w1", &[Does::Hangs]);
    client.ask("safe", "b");
    stand.seen.until("the write", |came| at(came, "b").iter().any(|c| c.0.starts_with('w')));
    drop(client);
    stand.seen.until("the release", |came| at(came, "b").iter().any(|c| c.1 == "DELETE"));
    stand.discovery.change_unheard(member("w1", stand.engines["w1"], "draining"));
    stand.discovery.be_silent(false);
    stand.until_believed("the drain", |b| is_listed(b, "w1", "Draining"));
    drop(idle);
    stand.until_believed("they have gone", |b| b["clients"] == 1 && b["held"] == 0);
}

// ---- many commands at once ----

/// Guards against a request that waited behind another on its connection and is given the time that it had when
/// it was sent.
#[test]
fn a_request_that_waited_behind_another_tells_what_is_left_of_its_time() {
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("w0", &[Does::SaysThen(Vec::new(), stream(&[TOKEN, DONE])), Does::streams()]);
    let mut client = Client::new(&stand);
    client.send(&[asked("once", "a"), asked("once", "b"), asked_within("once", "c", 300)].concat());
    stand.seen.until("the write", |came| at(came, "a").contains(&("w0", "POST")));
    let came = Instant::now();
    let waits = Duration::from_millis(400);
    std::thread::sleep(waits);
    stand.seen.go_on_and_write();
    assert!(client.answer().2 && client.answer().2);
    let stated = stand.seen.remaining("w0", "b").expect("it was written");
    println!("{stated} ms stated of 6000 after {:?}", came.elapsed());
    assert!(stated <= 6_000 - waits.as_millis() as u64, "{stated} ms stated");
    // The time of the last one was over before its turn came.
    assert_eq!(client.answer().0, 503);
    assert!(posts(&stand, "c").is_empty());
}

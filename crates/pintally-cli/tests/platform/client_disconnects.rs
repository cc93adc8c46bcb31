//! Clients that leave, at every point of a request's life: nothing more is begun for them.
//!
//! What has to come to the node at once is brought about by stopping its process: all that happens
//! meanwhile is there, in the order in which it happened, when it goes on.

use std::net::Shutdown;

use crate::stand::*;
use crate::{at, posts};

/// Requests are served again, in order behind all that had come to the node before.
fn serve_another(stand: &Stand, id: &str) {
    let mut client = Client::new(stand);
    client.ask("safe", id);
    assert!(client.answer().2, "{id} is served");
}

/// A node that has a kept connection to each engine: what it sends there next is written at once.
fn stand_with_kept_connections() -> Stand {
    let stand = Stand::new(&["r0", "w0"], 256);
    serve_another(&stand, "first");
    std::thread::sleep(crate::SETTLED);
    stand
}

/// Guards against an attempt for a client whose end stands unread behind its request. A client that ends its
/// sending has left, whether or not it still reads: `docs/platform.md`.
#[test]
fn a_request_behind_which_the_client_has_left_is_not_sent_on() {
    let stand = stand_with_kept_connections();
    let mut clients: Vec<Client> = (0..3).map(|_| Client::new(&stand)).collect();
    stand.pause();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&[asked("safe", &format!("a{n}")), asked("safe", &format!("b{n}"))].concat());
    }
    clients[0].stream.shutdown(Shutdown::Write).unwrap();
    let mut last = clients.pop().unwrap();
    drop(clients.pop());
    stand.wake();
    // The last one stays, and both of its requests are served.
    assert!(last.answer().2 && last.answer().2);
    assert!(clients[0].closed());
    serve_another(&stand, "c");
    for id in ["a0", "b0", "a1", "b1"] {
        assert_eq!(posts(&stand, id), Vec::<String>::new(), "{id}");
    }
    stand.until_believed("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
}

/// Guards against a write that begins because the read's answer was looked at before the client's end, which
/// had come in the same iteration.
#[test]
fn a_client_that_leaves_between_the_stages_gets_no_write() {
    let stand = stand_with_kept_connections();
    stand.seen.let_do("r0", &[Does::SaysThen(Vec::new(), read_answer()), Does::reads()]);
    let mut client = Client::new(&stand);
    client.ask("safe", "a");
    stand.seen.until("the read", |came| at(came, "a").contains(&("r0", "POST")));
    stand.pause();
    stand.seen.go_on_and_write();
    drop(client);
    stand.wake();
    stand.seen.until("the release", |came| at(came, "a").iter().any(|c| c.1 == "DELETE"));
    serve_another(&stand, "b");
    assert_eq!(posts(&stand, "a"), ["r0"]);
    stand.until_believed("nothing is held", |b| b["held"] == 0);
}

#[test]
fn a_client_that_leaves_while_its_request_waits_gets_no_attempt() {
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.discovery.until_watched(1);
    let phase = |phase: &str, listing: &str| {
        stand.discovery.change(member("r0", stand.engines["r0"], phase));
        stand.until_believed(phase, |b| is_listed(b, "r0", listing));
    };
    // No engine reads: requests wait for one.
    phase("draining", "Draining");
    let (mut leaves, mut stays) = (Client::new(&stand), Client::new(&stand));
    leaves.ask("safe", "a");
    stays.ask("safe", "b");
    stand.until_believed("both wait", |b| b["held"] == 2);
    stand.pause();
    drop(leaves);
    stand.discovery.change(member("r0", stand.engines["r0"], "up"));
    stand.wake();
    assert!(stays.answer().2);
    assert_eq!((posts(&stand, "a"), posts(&stand, "b").len()), (vec![], 2));
}

#[test]
fn a_client_that_leaves_during_the_first_event_ends_its_stream() {
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("w0", &[Does::SaysThen(Vec::new(), begun(&[TOKEN])), Does::streams()]);
    let mut client = Client::new(&stand);
    client.ask("once", "a");
    stand.seen.until("the write", |came| at(came, "a").contains(&("w0", "POST")));
    stand.pause();
    stand.seen.go_on_and_write();
    drop(client);
    stand.wake();
    stand.until_believed("nothing is held", |b| {
        let engines = b["engines"].as_array().expect("engines");
        b["held"] == 0 && engines.iter().all(|e| e["sockets"]["out"] == 0 && e["believed"]["streams"] == 0)
    });
    serve_another(&stand, "b");
    assert_eq!(posts(&stand, "a"), ["r0", "w0"]);
}

/// Guards against attempts that begin for clients at the end of a long line of clients that all leave.
#[test]
fn many_clients_that_leave_in_one_iteration_get_no_write() {
    const MANY: usize = 12;
    let stand = stand_with_kept_connections();
    let plan: Vec<Does> = (0..MANY).map(|_| Does::SaysThen(Vec::new(), read_answer())).collect();
    stand.seen.let_do("r0", &[plan, vec![Does::reads()]].concat());
    let mut clients: Vec<Client> = (0..MANY).map(|_| Client::new(&stand)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.ask("safe", &format!("a{n}"));
    }
    let read_by =
        |came: &[Came]| came.iter().filter(|c| c.0 == "r0" && c.1 == "POST" && c.3 != "first").count();
    stand.seen.until("reads", |came| read_by(came) == MANY);
    stand.pause();
    (0..MANY).for_each(|_| stand.seen.go_on_and_write());
    drop(clients);
    stand.wake();
    stand.until_believed("nothing is held", |b| b["held"] == 0);
    serve_another(&stand, "b");
    let came = stand.seen.came();
    let writes = came.iter().filter(|c| c.0 == "w0" && c.1 == "POST" && c.3.starts_with('a')).count();
    assert_eq!((writes, read_by(&came)), (0, MANY + 1));
}

/// Hundreds of requests at once on one connection, and then its end: one was begun, and no other is.
#[test]
fn a_flood_that_leaves_is_dropped_whole() {
    let stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("r0", &[Does::Hangs, Does::reads()]);
    let mut flood = Client::new(&stand);
    flood.send(&(0..300).flat_map(|n| asked("safe", &format!("f{n}"))).collect::<Vec<u8>>());
    stand.seen.until("the first read", |came| !at(came, "f0").is_empty());
    drop(flood);
    stand.until_believed("nothing is held", |b| b["held"] == 0 && b["bytes"] == 0);
    serve_another(&stand, "b");
    let came = stand.seen.came();
    let begun: std::collections::BTreeSet<&str> =
        came.iter().filter(|c| c.3.starts_with('f')).map(|c| c.3.as_str()).collect();
    assert_eq!(begun.into_iter().collect::<Vec<_>>(), ["f0"]);
}

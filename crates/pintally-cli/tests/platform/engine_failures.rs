//! Engines with responses that break, end late, never end, or belong to another request.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use pintally_http::chunk;

use crate::harness::*;
use crate::state_release::{StateTracker, UnreliableEngine};
use crate::{attempted_engines, requests_for};

/// Guards against a surplus second response that arrives some milliseconds late and is taken for the response to the
/// next request on that connection.
#[test]
fn late_second_response_is_not_used_for_next_request() {
    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script(
        "r0",
        &[
            EngineAction::RespondInSteps(vec![read_response(), read_response()]),
            EngineAction::read_response(),
        ],
    );
    let (mut one, mut two) = (Client::new(&harness), Client::new(&harness));
    one.send_request("once", "a");
    harness.mock_engines.wait_until("the read", |received| !requests_for(received, "a").is_empty());
    // The response to the first read and then the second request reach the node in the same iteration.
    harness.pause_process();
    harness.mock_engines.resume_and_wait();
    two.send_request("once", "b");
    harness.resume_process();
    harness.mock_engines.wait_until("the second read", |received| !requests_for(received, "b").is_empty());
    harness.mock_engines.resume_and_wait();
    assert!(one.receive_response().2 && two.receive_response().2);
    assert_eq!(
        (attempted_engines(&harness, "a"), attempted_engines(&harness, "b")),
        (vec!["r0".into(), "w0".into()], vec!["r0".into(), "w0".into()])
    );
}

/// A connection that ends inside a line of an event: before the first event the attempt fails, after it the stream
/// is cut.
#[test]
fn close_inside_line_fails_attempt_or_cuts_stream() {
    let partial_line = b"data: {\"choices\":[{\"ind";
    let with_partial_line =
        |whole: &[&[u8]]| EngineAction::RespondAndClose([open_stream(whole), chunk(partial_line)].concat());
    for (class, status, writes) in [("safe", 200, 2), ("once", 502, 1)] {
        let harness = Harness::new(&["r0", "w0", "w1"], 256);
        let actions = [with_partial_line(&[]), EngineAction::stream_response()];
        harness.mock_engines.script("w0", &actions[..1]);
        harness.mock_engines.script("w1", &actions[..1]);
        if class == "safe" {
            harness.mock_engines.script("w1", &[EngineAction::stream_response()]);
            harness.mock_engines.script("w0", &actions);
        }
        let mut client = Client::new(&harness);
        client.send_request(class, "a");
        assert_eq!(client.receive_response().0, status, "{class}");
        let writes_tried =
            attempted_engines(&harness, "a").iter().filter(|engine| engine.starts_with('w')).count();
        assert!(writes_tried <= writes, "{class}: {writes_tried} writes");
    }
    let harness = Harness::new(&["r0", "w0", "w1"], 256);
    ["w0", "w1"].iter().for_each(|w| harness.mock_engines.script(w, &[with_partial_line(&[TOKEN])]));
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    // The complete event is forwarded, the partial line is not.
    assert_eq!(client.receive_response(), (200, TOKEN.to_vec(), false));
    assert_eq!(attempted_engines(&harness, "a").len(), 2);
}

/// A response that is cut inside a chunk, before and after the first event.
#[test]
fn response_cut_inside_chunk_is_not_complete() {
    let whole = complete_stream(&[TOKEN, DONE]);
    let head_len = open_stream(&[]).len();
    let first_event = open_stream(&[TOKEN]).len();
    // An event is complete when all its bytes have arrived, whether or not its chunk has ended.
    for cut_at in
        [head_len + 1, head_len + 20, first_event - 3, first_event - 1, first_event + 5, whole.len() - 1]
    {
        let harness = Harness::new(&["r0", "w0"], 256);
        harness.mock_engines.script("w0", &[EngineAction::RespondAndClose(whole[..cut_at].to_vec())]);
        let mut client = Client::new(&harness);
        client.send_request("once", "a");
        let (status, body, complete) = client.receive_response();
        if cut_at > first_event - 3 {
            assert!(status == 200 && body.starts_with(TOKEN) && !complete, "cut at {cut_at}");
        } else {
            assert_eq!(status, 502, "cut at {cut_at}");
        }
        assert_eq!(attempted_engines(&harness, "a"), ["r0", "w0"], "cut at {cut_at}");
    }
}

/// Responses that never end: a head, the body of a read, a chunk. Each request still gets its final answer within the
/// time of its client.
#[test]
fn endless_response_is_abandoned_in_time() {
    let head = b"HTTP/1.1 200 OK\r\nX-Pad: aaaa".to_vec();
    let body = b"HTTP/1.1 202 Accepted\r\nContent-Length: 4000000000\r\n\r\n{".to_vec();
    let stream_chunk =
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".as_slice(), b"ff\r\ndata: {"].concat();
    for (engine, bytes) in [("w0", &head), ("r0", &body), ("w0", &stream_chunk)] {
        let harness = Harness::new(&["r0", "w0"], 256);
        harness.mock_engines.script(engine, &[EngineAction::Respond(bytes.clone())]);
        let mut client = Client::new(&harness);
        let since = Instant::now();
        client.send(&request_bytes_with_timeout("once", "a", 900));
        let status = client.receive_response().0;
        assert!(matches!(status, 502 | 503), "{engine}: {status}");
        // At most half a second after the deadline; the last second allows for a machine that stalls meanwhile.
        assert!(
            since.elapsed() < Duration::from_millis(900 + 500 + 1_000),
            "{engine}: {:?}",
            since.elapsed()
        );
        harness.wait_until_status("nothing is held", |b| b["held"] == 0);
    }
}

/// Guards against a stream that is kept open by bytes that never complete an event: the time limit is 5 s after the
/// last event.
#[test]
fn trickling_stream_without_event_is_cut_in_time() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let open = [open_stream(&[TOKEN]), b"ffff\r\ndata: {\"pad\":\"".to_vec()].concat();
    harness.mock_engines.script("w0", &[EngineAction::RespondAndTrickle(open)]);
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    client.wait_for_bytes(TOKEN);
    let since = Instant::now();
    assert_eq!(client.receive_response(), (200, TOKEN.to_vec(), false));
    // The last second allows for a machine that stalls meanwhile.
    assert!(since.elapsed() < Duration::from_secs(5 + 1), "{:?}", since.elapsed());
    harness.wait_until_status("nothing is held", |b| b["held"] == 0);
}

/// A connection that is reset long after the first event: the stream is cut and the request is not retried.
#[test]
fn reset_after_first_event_cuts_stream_once() {
    for class in ["safe", "once"] {
        let harness = Harness::new(&["r0", "w0", "w1"], 256);
        ["w0", "w1"].iter().for_each(|w| {
            harness.mock_engines.script(w, &[EngineAction::RespondAndReset(open_stream(&[TOKEN]))]);
        });
        let mut client = Client::new(&harness);
        client.send_request(class, "a");
        client.wait_for_bytes(TOKEN);
        harness.mock_engines.resume_and_wait();
        assert_eq!(client.receive_response(), (200, TOKEN.to_vec(), false));
        assert!(client.wait_for_close());
        assert_eq!(attempted_engines(&harness, "a").len(), 2, "{class}");
    }
    // Before the first event an effect may have happened: only safe requests are retried.
    for (class, status) in [("safe", 200), ("once", 502)] {
        let harness = Harness::new(&["r0", "w0", "w1"], 256);
        let plans = [vec![EngineAction::RespondAndReset(Vec::new())], vec![EngineAction::stream_response()]];
        harness.mock_engines.script("w0", &plans[0]);
        harness.mock_engines.script("w1", &plans[usize::from(class == "safe")]);
        let mut client = Client::new(&harness);
        client.send_request(class, "a");
        harness.mock_engines.wait_until("a write", |received| {
            requests_for(received, "a").iter().any(|c| c.0.starts_with('w'))
        });
        harness.mock_engines.resume();
        assert_eq!(client.receive_response().0, status, "{class}");
    }
}

/// Messages in single bytes and with unusual but valid syntax are understood in the same way.
#[test]
fn serves_single_byte_and_unusual_responses() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let unusual_read_response = b"HTTP/1.1 202 Accepted\r\ncontent-LENGTH:  20 \r\nX-pressure:\t x0=0.5,x1=1\r\n\r\n{\"cached_tokens\":16}";
    let parts = [
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200\r\n".as_slice(),
        b"Transfer-Encoding: Chunked\r\nContent-Type: text/event-stream\r\n\r\n",
    ];
    let mut answer = parts.concat();
    for event in [TOKEN, DONE] {
        answer.extend(format!("{:04X};part=1\r\n", event.len()).bytes());
        answer.extend(event);
        answer.extend(b"\r\n");
    }
    answer.extend(b"000;last\r\nX-Trailer: y\r\n\r\n");
    harness.mock_engines.script("r0", &[EngineAction::RespondByteByByte(unusual_read_response.to_vec())]);
    harness
        .mock_engines
        .script("w0", &[EngineAction::RespondByteByByte(answer.clone()), EngineAction::Respond(answer)]);
    let mut client = Client::new(&harness);
    for n in 0..3 {
        for byte in request_bytes("once", &format!("a{n}")) {
            client.send(&[byte]);
        }
        assert_eq!(client.receive_response(), (200, [TOKEN, DONE].concat(), true));
    }
}

/// A connection to an engine that is established a second late: the attempt is made elsewhere in time, and nothing of
/// the cancelled attempt reaches the engine afterwards.
#[test]
fn late_connection_carries_no_cancelled_attempt() {
    let tracker = std::sync::Arc::new(StateTracker::default());
    let engines: Vec<_> =
        ["r0", "w0", "w1"].iter().map(|name| UnreliableEngine::start(name, &tracker, 5 << 20)).collect();
    let addresses: Vec<_> = ["r0", "w0", "w1"].iter().zip(&engines).map(|(n, e)| (*n, e.address)).collect();
    let harness = Harness::with_engines(&addresses, 256);
    engines[1].vanish();
    let mut clients: Vec<Client> = (0..6).map(|_| Client::new(&harness)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_request("once", &format!("a{n}"));
    }
    let answered =
        clients.iter_mut().map(|client| client.receive_response().0).filter(|status| *status == 200).count();
    assert!(answered >= 4, "only {answered} of 6 were served by the other writer");
    let fetched = tracker.fetches.load(std::sync::atomic::Ordering::Relaxed);
    engines[1].recover();
    harness.wait_until_status("nothing is held", |b| b["held"] == 0);
    // Anything still in transit to the engine would arrive now, before its next response.
    let mut client = Client::new(&harness);
    client.send_request("once", "b");
    client.receive_response();
    let now = tracker.fetches.load(std::sync::atomic::Ordering::Relaxed);
    assert!(now <= fetched + 1, "{} fetches arrived late", now - fetched);
}

/// Guards against an attempt that states more time than its client has left, because the time to establish the
/// connection is not subtracted.
#[test]
fn attempt_states_remaining_time_after_slow_connect() {
    let tracker = std::sync::Arc::new(StateTracker::default());
    let reader = UnreliableEngine::start("r0", &tracker, 6 << 20);
    let late_writer = UnreliableEngine::start("w0", &tracker, 7 << 20);
    let harness = Harness::with_config(
        &[("r0", reader.address), ("w0", late_writer.address)],
        256,
        std::sync::Arc::new(Discovery::default()),
        |config| config["settings"]["permissions"]["connect_timeout"] = serde_json::json!(4.0),
    );
    late_writer.vanish();
    let mut client = Client::new(&harness);
    let since = Instant::now();
    // A request that must not run twice gets all the remaining time.
    client.send_request("once", "a");
    harness.wait_until_status("the fetch is in flight", |b| {
        let all = b["engines"].as_array().expect("engines");
        all.iter().any(|e| e["engine"] == "w0" && e["sockets"]["out"] == 1)
    });
    // The system repeats the connection attempt after a second, and only then the connection is established.
    late_writer.recover();
    client.receive_response();
    let waited_ms = since.elapsed().as_millis() as u64;
    let stated_ms = *tracker.stated_remaining_ms("a").get(1).expect("the fetch was received");
    println!("answered after {waited_ms} ms; the fetch stated {stated_ms} ms of 6000");
    assert!(waited_ms >= 500, "the connection was not late: {waited_ms} ms");
    assert!(stated_ms <= 6_000 - 500, "{stated_ms} of 6000 ms stated {waited_ms} ms after the request");
}

/// The time from an invalid response to the first byte of the next attempt, and whether the connection of the failed
/// attempt was closed by then.
fn time_until_next_attempt() -> (Duration, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let harness = Harness::with_engines(&[("r0", listener.local_addr().unwrap())], 256);
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    let mut buffer = [0; 4096];
    let (mut first, _) = listener.accept().unwrap();
    assert!(first.read(&mut buffer).unwrap() > 0);
    let invalid_response_sent = Instant::now();
    first.write_all(b"\x01 noise\r\n\r\n").unwrap();
    let (mut second, _) = listener.accept().unwrap();
    assert!(second.read(&mut buffer).unwrap() > 0, "the attempt is retried");
    let took = invalid_response_sent.elapsed();
    first.set_nonblocking(true).unwrap();
    let closed = !matches!(first.read(&mut buffer), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
    (took, closed)
}

/// Guards against an attempt, or a final answer, that overtakes the close of the previous attempt's connection: an
/// engine would see a second copy of a request that must not run twice. The close precedes the next attempt by 2 ms; a
/// slow machine can only make this longer.
#[test]
fn connection_closes_before_next_attempt_starts() {
    let measured: Vec<(Duration, bool)> = (0..15).map(|_| time_until_next_attempt()).collect();
    println!("{measured:?}");
    assert!(
        measured.iter().all(|(took, closed)| *closed && *took >= Duration::from_millis(2)),
        "{measured:?}"
    );
}

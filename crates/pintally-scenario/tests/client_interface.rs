//! The client interface of a node: every message gets a clear answer, blocks no other client, and leaks no
//! resources.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use pintally::interface::Role;
use pintally_audit::{Answer, AuditEvent, Step};
use pintally_scenario::{AttemptResult, Rig};

const SETTINGS: &str = r#"(pintally
  (node (name "n0") (engines "set by the rig" (every-ms 20)))
  (limits (head-bytes 2048) (body-bytes 65536) (bodies-bytes 100000) (receive-ms 400) (idle-ms 5000) (connections 40) (held 40)
          (answer-margin-ms 500) (stop-ms 3000))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 5000))
  (tenant "t" (quota-per-s 100))
  (kind "prefill" (role reader) (slots 8)) (kind "decode" (role writer) (slots 32)))"#;

fn rig() -> Rig {
    Rig::new(SETTINGS, vec![Rig::spec("r0", Role::Reader), Rig::spec("w0", Role::Writer)]).unwrap()
}

/// Sends bytes and returns the status and the text of the answer.
fn exchange(rig: &Rig, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(rig.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0u8; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => answer.extend_from_slice(&buffer[..n]),
            _ => break,
        }
        let text = String::from_utf8_lossy(&answer);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length =
                head.lines().find_map(|l| l.strip_prefix("content-length: ")).and_then(|n| n.parse().ok());
            if length.is_some_and(|n: usize| body.len() >= n) {
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, text)
}

fn post(target: &str, body: &str) -> Vec<u8> {
    pintally_http::request("POST", target, &[("host", "n")], body.as_bytes())
}

#[test]
fn each_bad_request_gets_its_own_error() {
    let rig = rig();
    let generate = "/v2/models/default/generate";
    let long = "x".repeat(70_000);
    let chunked = "POST /v2/models/default/generate HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    let smuggled = "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    let doubled = "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd";
    let cases: Vec<(Vec<u8>, u16, &str)> = vec![
        (b"NONSENSE\r\n\r\n".to_vec(), 400, "malformed"),
        (b"\x00\x01\x02\x03\r\n\r\n".to_vec(), 400, "malformed"),
        (chunked.as_bytes().to_vec(), 400, "chunk"),
        (smuggled.as_bytes().to_vec(), 400, "length"),
        (doubled.as_bytes().to_vec(), 400, "different"),
        (format!("GET /v2 HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(4000)).into_bytes(), 431, "head"),
        (post(generate, &long), 413, "body"),
        (post(generate, "{"), 400, "not JSON"),
        (post(generate, "[1]"), 400, "object"),
        (post(generate, "{}"), 400, "text_input"),
        (post(generate, r#"{"text_input":"x","parameters":{"class":"none"}}"#), 400, "unknown class"),
        (post(generate, r#"{"text_input":"x","parameters":{"tenant":"none"}}"#), 400, "unknown tenant"),
        (post(generate, r#"{"text_input":"x","parameters":{"deadline_ms":0}}"#), 400, "deadline"),
        (post("/v2/models/other/generate", "{}"), 404, "unknown model"),
        (post("/v3", "{}"), 404, "no such endpoint"),
        (post("/v2", "{}"), 405, "method"),
        (pintally_http::request("GET", generate, &[], b""), 405, "method"),
    ];
    for (bytes, status, reason) in &cases {
        let (got, text) = exchange(&rig, bytes);
        assert_eq!(got, *status, "{}: {text}", String::from_utf8_lossy(&bytes[..bytes.len().min(80)]));
        assert!(text.contains(reason), "{text}");
    }
    let counters = rig.node().unwrap().counters();
    assert_eq!(counters.bad_requests, cases.len() as u64);
    assert_eq!(counters.host.accepted, 0, "a bad message reached the host");
    // The node still serves.
    assert_eq!(
        rig.client.attempt(&rig.new_attempt("good", "hint")),
        AttemptResult::Answered(Answer::Served, None)
    );
}

#[test]
fn health_and_metadata_endpoints_answer() {
    let rig = rig();
    let get = |target: &str| exchange(&rig, &pintally_http::request("GET", target, &[("host", "n")], b""));
    assert_eq!(get("/v2/health/live").0, 200);
    assert_eq!(get("/v2/health/ready").0, 200);
    assert_eq!(get("/v2/models/default/ready").0, 200);
    assert_eq!(get("/v2/models/other/ready").0, 404);
    assert!(get("/v2").1.contains("pintally"));
    assert!(get("/v2/models/default/versions/1").1.contains("text_input"));
}

/// Guards against connections that never complete a request.
#[test]
fn incomplete_request_times_out_with_408() {
    let rig = rig();
    for part in
        ["POST /v2/models/default/generate HTTP/1.1\r\n", "POST /x HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc"]
    {
        let begin = Instant::now();
        assert_eq!(exchange(&rig, part.as_bytes()).0, 408);
        assert!(begin.elapsed() >= Duration::from_millis(390), "{:?}", begin.elapsed());
    }
}

/// Guards against connections above the limit, and against slots that are not freed.
#[test]
fn connections_over_the_limit_are_refused_and_slots_freed() {
    let rig = rig();
    let full = |rig: &Rig| rig.node().unwrap().open_connections() == 40;
    let held: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(rig.address()).unwrap()).collect();
    let deadline = Instant::now() + Duration::from_secs(10);
    while !full(&rig) {
        assert!(Instant::now() < deadline);
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(exchange(&rig, b"GET /v2 HTTP/1.1\r\n\r\n").0, 503);
    drop(held);
    while rig.node().unwrap().open_connections() > 0 {
        assert!(Instant::now() < deadline, "connection slots were not freed");
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(exchange(&rig, b"GET /v2 HTTP/1.1\r\n\r\n").0, 200);
    assert_eq!(rig.node().unwrap().counters().over_limit, 1);
}

/// Guards against bodies that exhaust memory together although each is below its own limit.
#[test]
fn bodies_over_the_shared_limit_are_refused_and_space_freed() {
    let rig = rig();
    let half = "x".repeat(60_000);
    let head = format!("POST /v2/models/default/generate HTTP/1.1\r\ncontent-length: 65000\r\n\r\n{half}");
    let mut first = TcpStream::connect(rig.address()).unwrap();
    first.write_all(head.as_bytes()).unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    // Space for the first body is reserved while it arrives; from then on a second body does not fit.
    loop {
        let (status, text) = exchange(&rig, head.as_bytes());
        if status == 503 {
            assert!(text.contains("room") && text.contains("\"retry_is_harmless\":true"), "{text}");
            break;
        }
        assert!(Instant::now() < deadline, "both bodies were taken: {status}");
        first = TcpStream::connect(rig.address()).unwrap();
        first.write_all(head.as_bytes()).unwrap();
    }
    drop(first);
    while rig.node().unwrap().open_connections() > 0 {
        assert!(Instant::now() < deadline, "the first connection was not closed");
        std::thread::sleep(Duration::from_millis(2));
    }
    // A machine that stalls for longer than `receive-ms` can make a request time out, so it is repeated.
    let whole = post("/v2/models/default/generate", &format!("{{\"text_input\":\"{half}\"}}"));
    while exchange(&rig, &whole).0 != 200 {
        assert!(Instant::now() < deadline, "the space for bodies was not freed");
    }
}

/// Pipelined requests on one connection are answered in order.
#[test]
fn requests_on_one_connection_are_answered_in_order() {
    let rig = rig();
    let mut stream = TcpStream::connect(rig.address()).unwrap();
    let body = r#"{"id":"first","text_input":"x","parameters":{"class":"hint","max_tokens":4}}"#;
    let mut bytes = post("/v2/models/default/generate", body);
    bytes.extend(post("/v2/models/default/infer", &infer("second")));
    bytes.extend(b"GET /v2/health/live HTTP/1.1\r\nconnection: close\r\n\r\n");
    stream.write_all(&bytes).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let positions: Vec<_> = ["first", "second", "live"].iter().map(|w| text.find(w).expect(&text)).collect();
    assert!(positions.is_sorted(), "{text}");
    assert!(text.contains("\"outputs\""), "{text}");
}

fn infer(id: &str) -> String {
    format!(
        r#"{{"id":"{id}","inputs":[{{"name":"text_input","datatype":"BYTES","shape":[1],"data":["x"]}}],"parameters":{{"class":"hint","max_tokens":4}}}}"#
    )
}

/// A graceful stop ends the waiting requests within its time limit and releases their read states.
#[test]
fn graceful_stop_ends_waiting_requests_in_time() {
    let rig = rig();
    rig.engine("w0").unwrap().fault(|f| f.hang = true);
    let (client, attempt) = (rig.client.clone(), rig.new_attempt("held", "hint"));
    let waiting = std::thread::spawn(move || client.attempt(&attempt));
    let is_fetch = |w: &AuditEvent| matches!(w, AuditEvent::AttemptArrived { step: Step::Fetch, .. });
    rig.fleet.recorder.wait_for(Duration::from_secs(10), is_fetch).expect("it was never sent");
    let begin = Instant::now();
    let report = rig.finish().unwrap();
    assert!(begin.elapsed() < Duration::from_secs(5), "{:?}", begin.elapsed());
    assert!(matches!(waiting.join().unwrap(), AttemptResult::Answered(Answer::Failed | Answer::Refused, _)));
    assert!(report.rules.kept(), "{:#?}", report.rules);
}

/// A client that shuts down its sending side after the request counts as disconnected.
#[test]
fn half_closed_client_counts_as_disconnected() {
    let rig = rig();
    rig.engine("w0").unwrap().fault(|f| f.hang = true);
    let mut stream = TcpStream::connect(rig.address()).unwrap();
    let body = r#"{"text_input":"x","parameters":{"class":"hint"}}"#;
    stream.write_all(&post("/v2/models/default/generate", body)).unwrap();
    let took = |w: &AuditEvent| matches!(w, AuditEvent::AttemptArrived { .. });
    rig.fleet.recorder.wait_for(Duration::from_secs(10), took).expect("it was never sent");
    stream.shutdown(Shutdown::Write).unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    while rig.node().unwrap().counters().host.clients_left == 0 {
        assert!(Instant::now() < deadline, "the node never saw it leave");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends the same bytes again and again until the connection takes no more.
fn fill_connection(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nonblocking(true).unwrap();
    let (mut sent, mut last_sent) = (0, Instant::now());
    while last_sent.elapsed() < Duration::from_millis(50) {
        match stream.write(&bytes[sent % bytes.len()..]) {
            Ok(count) => (sent, last_sent) = (sent + count, Instant::now()),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => panic!("the node closed the connection: {e}"),
        }
    }
}

/// Waits until a read has arrived at its engine.
fn wait_for_read(rig: &Rig) {
    let is_read = |event: &AuditEvent| matches!(event, AuditEvent::AttemptArrived { step: Step::Read, .. });
    rig.fleet.recorder.wait_for(Duration::from_secs(10), is_read).expect("the read");
}

/// Guards against the write of a request whose client has disconnected behind bytes that the node has not read: its
/// system keeps the end of the stream back, and no event reports it.
#[test]
fn disconnect_behind_a_full_connection_prevents_write() {
    let rig = rig();
    rig.engine("r0").unwrap().fault(|f| f.hang = true);
    let mut stream = TcpStream::connect(rig.address()).unwrap();
    let body = r#"{"text_input":"x","parameters":{"class":"hint"}}"#;
    let request = post("/v2/models/default/generate", body);
    stream.write_all(&request).unwrap();
    wait_for_read(&rig);
    fill_connection(&mut stream, &request.repeat(100));
    drop(stream);
    std::thread::sleep(Duration::from_millis(200));
    rig.engine("r0").unwrap().fault(|f| f.hang = false);
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let host = rig.node().unwrap().counters().host;
        if host.rejected + host.clients_left > 0 {
            break;
        }
        assert!(Instant::now() < deadline, "the request did not end: {host:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
    let is_write = |event: &AuditEvent| matches!(event, AuditEvent::AttemptArrived { step: Step::Fetch, .. });
    let write = rig.fleet.recorder.wait_for(Duration::from_millis(300), is_write);
    assert!(write.is_none(), "a write started");
}

/// A client that sends its next request early gets both answers: what it has sent is read ahead.
#[test]
fn early_request_does_not_end_the_one_before() {
    let rig = rig();
    rig.engine("r0").unwrap().fault(|f| f.hang = true);
    let mut stream = TcpStream::connect(rig.address()).unwrap();
    stream.write_all(&post("/v2/models/default/infer", &infer("first"))).unwrap();
    wait_for_read(&rig);
    let long = format!(r#"{{"text_input":"{}","parameters":{{"max_tokens":4}}}}"#, "x ".repeat(20_000));
    stream.write_all(&post("/v2/models/default/generate", &long)).unwrap();
    stream.write_all(b"GET /v2/health/live HTTP/1.1\r\nconnection: close\r\n\r\n").unwrap();
    rig.engine("r0").unwrap().fault(|f| f.hang = false);
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 3, "{text}");
}

/// Guards against an engine that stays down for the rest of a scenario because its address is in use for a moment when it
/// starts again.
#[test]
fn engine_starts_when_its_address_is_free_again() {
    let rig = rig();
    let engine = rig.engine("w0").unwrap();
    engine.crash();
    let deadline = Instant::now() + Duration::from_secs(10);
    let other = loop {
        match std::net::TcpListener::bind(engine.address) {
            Ok(listener) => break listener,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
    };
    let release = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        drop(other);
    });
    engine.start(false);
    assert!(engine.is_up());
    release.join().unwrap();
}

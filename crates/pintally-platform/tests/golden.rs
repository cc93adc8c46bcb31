//! Golden files of the platform protocol: the bytes sent to engines and discovery, error responses, and the
//! values parsed from a configuration, a client request, engine responses and endpoint lists.

use std::fmt::Write;
use std::path::Path;

use pintally::interface::{EndpointState, ListUpdate, LoadReport, Outcome};
use pintally_http::{Request, RequestReader};
use pintally_platform::*;

const CONFIGURATION: &str = include_str!("golden/configuration.json");
const CLIENT_REQUEST: &str = include_str!("golden/client_request.http");

/// Compares with a golden file, byte by byte.
fn assert_golden(file: &str, got: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let want = std::fs::read_to_string(&path).expect("the golden file");
    assert_eq!(got, want, "{file}");
}

fn configuration() -> Configuration {
    Configuration::parse(CONFIGURATION).expect("a valid configuration")
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Read => "read",
        Outcome::StateNotFound => "state not found",
        Outcome::Overloaded => "overloaded",
        Outcome::Error => "error",
        Outcome::Unreachable => "unreachable",
        Outcome::ConnectionBroken => "connection broken",
        Outcome::TimedOut => "timed out",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never sent",
    }
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "gone",
    }
}

fn load_text(load: Option<LoadReport>) -> String {
    load.map_or("none".into(), |l| {
        format!("slots={:?} queue={:?} memory={:?} backlog={:?}", l.slots, l.queue, l.memory, l.backlog)
    })
}

fn request(bytes: &[u8]) -> Request {
    let mut reader = RequestReader::new(MAX_HEAD_BYTES, MAX_BODY_BYTES);
    reader.push(bytes);
    reader.next_request().expect("a readable request").expect("a complete request")
}

fn parse_request(bytes: &[u8]) -> Result<ClientRequest, RequestError> {
    parse_client_request(&configuration().settings.labels, 7, request(bytes))
}

#[test]
fn configuration_values() {
    let config = configuration();
    assert_eq!(config.name, "n0");
    assert_eq!(config.listen.to_string(), "127.0.0.1:3000");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.limits.cores, config.limits.memory_mb, config.limits.sockets), (0.5, 32, 256));
    assert_eq!((config.max_client_connections(), config.memory_budget()), (120, 8 << 20));
    let list = config.last_known_list.as_ref().expect("a list");
    assert_eq!((list.revision, list.complete, list.endpoints.len()), (4, true, 1));
    let engine = &list.endpoints[0];
    assert_eq!((&*engine.endpoint.engine.0, engine.address.to_string()), ("s-1", "127.0.0.1:3001".into()));
    assert_eq!(
        (engine.endpoint.rack, engine.endpoint.weight, engine.endpoint.started),
        (3, 1.5, Some(7_000))
    );

    let node = config.node_settings();
    assert_eq!((node.name.as_str(), node.listen), ("n0", config.listen));
    let limits = &node.limits;
    assert_eq!(
        (
            limits.max_connections,
            limits.max_open_requests,
            limits.max_streams_per_engine,
            limits.max_background_calls
        ),
        (120, 40, 256, 1)
    );
    assert_eq!((limits.max_head_bytes, limits.max_body_bytes), (16 << 10, 256 << 10));
    assert_eq!(limits.max_total_body_bytes, 8 << 20);
    assert_eq!(
        (limits.receive_timeout, limits.write_timeout, limits.idle_timeout),
        (2_500_000, 10_000_000, 10_000_000)
    );
    assert_eq!(
        (limits.connect_timeout, limits.keep_alive, limits.background_call_timeout),
        (200_000, 6_000_000, 100_000)
    );
    assert_eq!(
        (limits.stall_timeout, limits.answer_margin, limits.shutdown_timeout),
        (4_600_000, 20_000, 3_600_000_000)
    );
    let classes: Vec<_> = node.classes.iter().map(|c| (c.default_client_timeout, c.max_tokens)).collect();
    assert_eq!(classes, [(5_000_000, 256), (60_000_000, 256)]);
    assert_eq!(node.slots, [0, 0, 0]);
    assert_eq!((node.core.node_index, node.core.node_count, node.core.zone.as_str()), (1, 3, "a"));
}

#[test]
fn configuration_seeds() {
    for (written, seed) in [("\"0x1f\"", 0x1f), ("31", 31), ("\"31\"", 0x31)] {
        let text = CONFIGURATION.replace("\"8c1f30d27a5be964\"", written);
        assert_eq!(Configuration::parse(&text).expect("a valid configuration").seed, seed, "{written}");
    }
}

#[test]
fn configuration_errors() {
    let mut got = String::new();
    for (from, to) in [
        ("\"name\": \"n0\"", "\"nome\": \"n0\""),
        ("\"name\": \"n0\"", "\"name\": 3"),
        ("\"127.0.0.1:3000\"", "\"here\""),
        ("\"127.0.0.1:8500\"", "null"),
        ("\"8c1f30d27a5be964\"", "\"xyz\""),
        ("\"cores\": 0.5", "\"cores\": 0"),
        ("\"memory_mb\": 32", "\"memory_mb\": 8"),
        ("\"sockets\": 256", "\"sockets\": 63"),
        ("\"127.0.0.1:3001\"", "\"nowhere\""),
        ("\"me\": 1", "\"me\": 3"),
        ("\"cold_from\": 0.3, ", ""),
        ("\"discovery\": \"pushed\"", "\"discovery\": \"guessed\""),
        ("\"effect\": \"once\"", "\"effect\": \"twice\""),
        ("\"effect\": \"once\"", "\"effect\": \"by_key\""),
        ("\"write\", \"both\"", "\"write\", \"all\""),
        ("\"write\", \"both\"", "\"write\""),
    ] {
        assert!(CONFIGURATION.contains(from), "{from}");
        let error = Configuration::parse(&CONFIGURATION.replacen(from, to, 1)).expect_err(to);
        let _ = writeln!(got, "{error}");
    }
    assert_golden("configuration_errors.txt", &got);
}

#[test]
fn client_request_values() {
    let Ok(ClientRequest::Inference(inference)) = parse_request(CLIENT_REQUEST.as_bytes()) else {
        panic!("not an inference request")
    };
    let a = &inference.arrival;
    assert_eq!(a.number, 7);
    assert_eq!(a.name.as_ref().map(|n| n.0.as_ref()), Some("9b1f03aa5c7e2d41"));
    assert_eq!((a.class, a.tenant), (Some(0), Some(0)));
    assert_eq!((a.session, a.prefix), (Some(0x7f3a_9c21_e0b4_d655), Some(0x5c0f_6e1a_2b3d_4c59)));
    assert_eq!((a.prompt_tokens, a.prefix_tokens, a.max_tokens), (5120, 2048, Some(800)));
    assert_eq!((a.client_timeout, a.streamed, a.resumed, a.bytes), (Some(4_800_000), true, true, 30));
    assert_eq!(inference.body, b"{\"model\":\"chat\",\"stream\":true}");

    // Headers with a default, and names that are not hexadecimal numbers.
    let minimal =
        "POST /v1/chat/completions HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: batch\r\nX-Entity: somebody\r\n\
                 X-Labels: prefix=somewhere\r\nContent-Length: 9\r\n\r\n{\"a\":\"b\"}";
    let Ok(ClientRequest::Inference(inference)) = parse_request(minimal.as_bytes()) else {
        panic!("not an inference request")
    };
    let a = &inference.arrival;
    assert_eq!((a.class, a.tenant, a.client_timeout, a.max_tokens), (Some(1), None, None, None));
    assert_eq!((a.prompt_tokens, a.prefix_tokens, a.resumed), (2, 0, false));
    assert_eq!((a.session, a.prefix), (Some(12_888_409_040_968_592_598), Some(13_161_270_434_569_206_740)));
}

#[test]
fn attempt_bytes() {
    let Ok(ClientRequest::Inference(inference)) = parse_request(CLIENT_REQUEST.as_bytes()) else {
        panic!("not an inference request")
    };
    let mut attempt = encode_attempt_head(&inference.head, 900, inference.body.len());
    attempt.extend_from_slice(&inference.body);
    assert_golden("attempt.http", &String::from_utf8(attempt).expect("text"));
}

#[test]
fn release_and_watch_bytes() {
    let all = [encode_release("9b1f03aa5c7e2d41"), encode_watch(None), encode_watch(Some(17))].concat();
    assert_golden("release_and_watch.http", &String::from_utf8(all).expect("text"));
}

#[test]
fn client_request_errors() {
    let inference = "POST /v1/chat/completions HTTP/1.1";
    let valid = "X-Txn: a1\r\nX-Lane: chat\r\n";
    let with = |lines: &str| format!("{valid}{lines}");
    let cases = [
        (inference, "X-Lane: chat\r\n".to_string(), "{}"),
        (inference, "X-Txn: a/b\r\nX-Lane: chat\r\n".to_string(), "{}"),
        (inference, "X-Txn: a1\r\n".to_string(), "{}"),
        (inference, "X-Txn: a1\r\nX-Lane: none\r\n".to_string(), "{}"),
        (inference, with("X-Org: nobody\r\n"), "{}"),
        (inference, with("X-Remaining-Ms: soon\r\n"), "{}"),
        (inference, with("X-Txn: a2\r\n"), "{}"),
        (inference, with("X-Labels: prompt_len\r\n"), "{}"),
        (inference, with("X-Labels: prompt_len=long\r\n"), "{}"),
        (inference, with("X-Labels: prefix_len=-1\r\n"), "{}"),
        (inference, with("X-Labels: max_out=inf\r\n"), "{}"),
        (inference, valid.to_string(), "{\"cut\":"),
        ("GET /v1/chat/completions HTTP/1.1", String::new(), ""),
        ("POST /up HTTP/1.1", String::new(), ""),
        ("HEAD /pintally/beliefs HTTP/1.1", String::new(), ""),
        ("GET /v1/models HTTP/1.1", String::new(), ""),
    ];
    let mut got = String::new();
    for (line, headers, body) in cases {
        let bytes = format!("{line}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        let rejected = parse_request(bytes.as_bytes()).expect_err(&bytes);
        let _ = writeln!(got, "{} {}", rejected.status, rejected.message);
    }
    assert_golden("client_request_errors.txt", &got);
}

#[test]
fn request_paths() {
    let parse = |line: &str| parse_request(format!("{line} HTTP/1.1\r\n\r\n").as_bytes());
    assert!(matches!(parse("GET /up"), Ok(ClientRequest::Readiness)));
    assert!(matches!(parse("HEAD /up?x=1"), Ok(ClientRequest::Readiness)));
    assert!(matches!(parse("GET /pintally/beliefs"), Ok(ClientRequest::Status)));
}

/// Parses an engine's response byte by byte and formats the result.
fn response_text(bytes: &[u8]) -> String {
    let (labels, mut reader, mut events) =
        (configuration().settings.labels, EngineResponseReader::default(), Vec::new());
    bytes.iter().for_each(|b| reader.push(&[*b], &labels, &mut events));
    let mut got = String::new();
    for event in events {
        let _ = match event {
            ResponseEvent::Events(bytes) => write!(got, "events:\n{}", String::from_utf8_lossy(&bytes)),
            ResponseEvent::Ended { outcome, cached_tokens, load, reusable } => writeln!(
                got,
                "outcome: {}\ncached tokens: {cached_tokens}\nload: {}\nreusable: {reusable}",
                outcome_name(outcome),
                load_text(load)
            ),
        };
    }
    got
}

#[test]
fn engine_responses() {
    let responses = [
        ("engine_stream.txt", &include_bytes!("golden/engine_stream.http")[..]),
        ("engine_read.txt", include_bytes!("golden/engine_read.http")),
        ("engine_rejected.txt", include_bytes!("golden/engine_rejected.http")),
    ];
    for (expected, bytes) in responses {
        assert_golden(expected, &response_text(bytes));
    }
}

#[test]
fn outcomes_of_statuses_and_failures() {
    let mut got = String::new();
    for status in [200, 202, 400, 404, 409, 410, 429, 500, 502, 503, 504] {
        let names = [false, true].map(|rejected| outcome_name(outcome_of_response(status, rejected)));
        let _ = writeln!(got, "{status}: {}; rejected: {}", names[0], names[1]);
    }
    for (phase, name) in [(Phase::Unwritten, "unwritten"), (Phase::Written, "written")] {
        let names = [false, true].map(|timed_out| outcome_name(outcome_of_failure(phase, timed_out)));
        let _ = writeln!(got, "{name}: {}; timed out: {}", names[0], names[1]);
    }
    assert_golden("outcomes.txt", &got);
}

#[test]
fn endpoint_list_messages() {
    let (mut decoder, mut tracker, mut got) =
        (WatchDecoder::default(), EndpointListTracker::default(), String::new());
    decoder.push(include_bytes!("golden/endpoint_list_messages.txt")).expect("short");
    while let Some(line) = decoder.next_object() {
        let list = match EndpointList::parse(&line) {
            Ok(list) => list,
            Err(error) => {
                let _ = writeln!(got, "error: {error}");
                continue;
            }
        };
        let _ = writeln!(got, "revision {}, complete {}:", list.revision, list.complete);
        let _ = match tracker.advance(list) {
            ListChange::Unchanged => writeln!(got, "  unchanged"),
            ListChange::Stale => writeln!(got, "  stale"),
            ListChange::Invalid(reason) => writeln!(got, "  invalid: {reason}"),
            ListChange::Apply(update, members) => {
                let is_full = matches!(update, ListUpdate::Full);
                let _ = writeln!(got, "  apply, {}", if is_full { "full" } else { "delta" });
                members.iter().try_for_each(|listed| {
                    let m = &listed.endpoint;
                    let (id, address, state) = (&m.engine.0, listed.address, state_name(m.state));
                    let _ = write!(got, "  {id} {address} zone={:?} kind={} rack={}", m.zone, m.kind, m.rack);
                    writeln!(got, " {state} weight={} started={:?}", m.weight, m.started)
                })
            }
        };
        let _ = writeln!(got, "  applied revision {:?}", tracker.revision());
    }
    assert_golden("endpoint_lists_applied.txt", &got);
}

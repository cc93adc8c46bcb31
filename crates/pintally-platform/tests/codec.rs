//! Tests of the codec with messages split at any byte, arbitrary bytes, and invalid fields.

use pintally::interface::{EndpointState, Outcome};
use pintally_http::{chunk, response, response_head, RequestReader, LAST_CHUNK};
use pintally_platform::*;
use proptest::prelude::*;
use serde_json::{json, Value};

fn configuration() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:3000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
        "known": {"revision": 4, "complete": true, "members": [member("s-1", "up", 7)]},
        "settings": {
            "balancers": 2, "me": 0, "zone": "a", "discovery": "pushed", "weight_kind": "nominal",
            "family_info": {"duty_by_kind": ["read", "write"], "let_go_by": 0.5},
            "feedback": {"fields": ["x0", "x1"], "source": "inline"}, "machine_types": ["m1", "m2"],
            "permissions": {"attempts_cap": 6, "may_cancel": true, "connect_timeout": 0.25, "keepalive": 15.0},
            "profiles": [{"name": "chat", "deadline": 5.0, "effect": "repeatable", "objective": 1.0}],
            "rules": {"cold_from": 0.3, "overload_for": 1.5, "tip_multiple": 2.5, "warm_after": 14.0},
        },
    })
}

fn member(id: &str, phase: &str, started: u64) -> Value {
    json!({"id": id, "host_port": "127.0.0.1:3001", "locality": "a", "flavor": "m1", "cell": 3,
           "phase": phase, "size": 1.0, "up_since_ms": started})
}

fn config() -> Configuration {
    Configuration::parse(&configuration().to_string()).expect("a valid configuration")
}

/// Guards against reservations without a deadline: a release deadline that is missing or not above 0 means
/// the default; a short one is applied unchanged, and one that is not a number is rejected with its value.
#[test]
fn release_deadline_default_and_limits() {
    let parse_with = |deadline_s: Option<serde_json::Value>| {
        let mut all = configuration();
        let info = all["settings"]["family_info"].as_object_mut().expect("an object");
        info.remove("let_go_by");
        if let Some(deadline_s) = deadline_s {
            info.insert("let_go_by".into(), deadline_s);
        }
        Configuration::parse(&all.to_string())
    };
    let release_deadline = |deadline_s| {
        parse_with(deadline_s).expect("a valid configuration").settings.settings.release_deadline
    };
    assert_eq!(release_deadline(None), 500_000);
    assert_eq!(release_deadline(Some(0.into())), 500_000);
    assert_eq!(release_deadline(Some((-1).into())), 500_000);
    assert_eq!(release_deadline(Some(0.001.into())), 1_000);
    assert!(parse_with(Some("soon".into())).unwrap_err().to_string().contains("soon"));
}

/// Outcome, cached tokens, and whether the connection is reusable.
type AttemptEnd = Option<(Outcome, u64, bool)>;

/// Parses a response byte by byte. Returns its events, its end, and the memory in its load report.
fn read_response(bytes: &[u8], closed: bool) -> (Vec<u8>, AttemptEnd, Option<f64>) {
    let (labels, mut reader, mut out) =
        (config().settings.labels, EngineResponseReader::default(), Vec::new());
    bytes.iter().for_each(|b| reader.push(&[*b], &labels, &mut out));
    if closed {
        reader.connection_closed(&labels, &mut out);
    }
    let (mut events, mut end, mut memory) = (Vec::new(), None, None);
    for event in out {
        match event {
            ResponseEvent::Events(bytes) => {
                assert!(end.is_none(), "events after the end");
                events.extend(bytes);
            }
            ResponseEvent::Ended { outcome, cached_tokens, load, reusable } => {
                assert!(end.replace((outcome, cached_tokens, reusable)).is_none(), "two ends");
                memory = load.and_then(|l| l.memory);
            }
        }
    }
    (events, end, memory)
}

const TOKEN: &[u8] = b"data: {\"choices\":[{\"index\":0}]}\n\n";
const USAGE: &[u8] =
    b"data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n";
const DONE: &[u8] = b"data: [DONE]\n\n";

fn stream(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
    parts.iter().for_each(|p| bytes.extend(chunk(p)));
    bytes.extend_from_slice(LAST_CHUNK);
    bytes
}

#[test]
fn complete_stream_is_served_unchanged() {
    let report: &[u8] = b": X-Pressure: x0=0.5,x1=3\n\n";
    // One event in two chunks, two events in one chunk, and a load report at the end.
    let two = [TOKEN, USAGE].concat();
    let bytes = stream(&[&TOKEN[..9], &TOKEN[9..], &two, DONE, report]);
    let (events, end, memory) = read_response(&bytes, false);
    assert_eq!(events, [TOKEN, TOKEN, USAGE, DONE, report].concat());
    assert_eq!(end, Some((Outcome::Served, 4096, true)));
    assert_eq!(memory, Some(0.5));
    for cut in 1..bytes.len() {
        assert_eq!(
            read_response(&bytes[..cut], true).1.map(|e| e.0),
            Some(Outcome::ConnectionBroken),
            "cut at {cut}"
        );
    }
    // An informational response before it changes nothing; a malformed load report is ignored.
    let informational =
        [b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), stream(&[TOKEN, DONE, b": X-Pressure: x0=?\n\n"])];
    let (_, end, memory) = read_response(&informational.concat(), false);
    assert_eq!((end, memory), (Some((Outcome::Served, 0, true)), None));
}

/// Guards against a second response being taken for the response to the next request; here both arrive in
/// one read.
#[test]
fn connection_with_surplus_bytes_is_not_reusable() {
    let (labels, mut reader, mut out) =
        (config().settings.labels, EngineResponseReader::default(), Vec::new());
    let twice = [stream(&[TOKEN, DONE]), stream(&[TOKEN, DONE])].concat();
    reader.push(&twice, &labels, &mut out);
    assert!(matches!(
        out.last(),
        Some(ResponseEvent::Ended { outcome: Outcome::Served, reusable: false, .. })
    ));
}

/// Guards against garbage that reaches a client as if it were output of an engine.
#[test]
fn malformed_response_is_broken_and_not_forwarded() {
    let head = response_head(200, &[]);
    let with = |body: &[u8]| [head.clone(), chunk(TOKEN), body.to_vec()].concat();
    let mut covers_next_header = format!("{:x}\r\n", TOKEN.len() + 40).into_bytes();
    covers_next_header.extend([TOKEN, b"\r\n", &chunk(TOKEN)[..], &chunk(TOKEN)[..]].concat());
    for malformed in [
        with(b"zz\r\n"),
        with(b"-5\r\n"),
        with(b"C0000000\r\ndata: {}\n\n"),
        with(&[b"5\r\n".as_slice(), TOKEN].concat()),
        with(&chunk(b"\x00\xff\x13noise\n\n")),
    ] {
        let (events, end, _) = read_response(&malformed, false);
        assert_eq!(events, TOKEN);
        assert_eq!(end, Some((Outcome::ConnectionBroken, 0, false)));
    }
    // A chunk whose size covers the header of the next chunk: events that were complete before that header
    // are forwarded, the rest is not.
    let (events, end, _) = read_response(&with(&covers_next_header), false);
    assert_eq!((events, end), ([TOKEN, TOKEN].concat(), Some((Outcome::ConnectionBroken, 0, false))));
    let endless = [b"HTTP/1.1 200 OK\r\n".to_vec(), b"x: y\r\n".repeat(4000)].concat();
    for opening in [b"\x16\x03\x01 noise\r\n\r\n".to_vec(), endless, b"HTTP/1.1 200 OK\r\n\r\n".to_vec()] {
        let (events, end, _) = read_response(&opening, true);
        assert_eq!((events.len(), end), (0, Some((Outcome::ConnectionBroken, 0, false))));
    }
    // An event that never ends, such as one of 3 GB.
    let mut long = [head, b"10000\r\n".to_vec()].concat();
    long.extend(vec![b'a'; 0x10000]);
    long.extend(b"\r\n10000\r\naaaa");
    assert_eq!(read_response(&long, false).1, Some((Outcome::ConnectionBroken, 0, false)));
}

#[test]
fn prefill_and_rejection_outcomes() {
    let outcome = |status, headers: &[(&str, &str)], body: &[u8]| {
        read_response(&response(status, headers, body), false).1
    };
    let rejected: &[(&str, &str)] = &[("X-Turned-Away", "1")];
    assert_eq!(outcome(202, &[], b"{\"cached_tokens\":77}"), Some((Outcome::Read, 77, true)));
    assert_eq!(outcome(202, &[], b"what"), Some((Outcome::Read, 0, true)));
    assert_eq!(outcome(410, rejected, b""), Some((Outcome::StateNotFound, 0, true)));
    assert_eq!(outcome(503, rejected, b""), Some((Outcome::Overloaded, 0, true)));
    assert_eq!(outcome(504, rejected, b""), Some((Outcome::Overloaded, 0, true)));
    assert_eq!(outcome(503, &[], b""), Some((Outcome::Error, 0, true)));
    assert_eq!(outcome(500, &[], b""), Some((Outcome::Error, 0, true)));
    let loaded = response(503, &[("X-Turned-Away", "1"), ("X-Pressure", "x0=0.9,x1=12")], b"");
    assert_eq!(read_response(&loaded, false).2, Some(0.9));
}

fn parse_request(head: &str, body: &str) -> Result<ClientRequest, RequestError> {
    let (config, mut reader) = (config(), RequestReader::new(MAX_HEAD_BYTES, MAX_BODY_BYTES));
    reader.push(format!("{head}content-length: {}\r\n\r\n{body}", body.len()).as_bytes());
    let request = reader.next_request().expect("a readable request").expect("a complete request");
    parse_client_request(&config.settings.labels, 7, request)
}

const REQUEST_LINE_AND_HOST: &str = "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: service.internal\r\n";

#[test]
fn client_request_headers() {
    let head = format!(
        "{REQUEST_LINE_AND_HOST}X-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: chat\r\nX-Entity: 7f3a9c21e0b4d655\r\nX-Remaining-Ms: 4800\r\n\
         X-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800\r\nX-Resent: again\r\n"
    );
    let Ok(ClientRequest::Inference(inference)) = parse_request(&head, "{\"model\":\"chat\"}") else {
        panic!("not an inference request")
    };
    let a = &inference.arrival;
    assert_eq!(a.name.as_ref().map(|n| n.0.as_ref()), Some("9b1f03aa5c7e2d41"));
    assert_eq!(
        (a.class, a.session, a.prefix),
        (Some(0), Some(0x7f3a_9c21_e0b4_d655), Some(0x5c0f_6e1a_2b3d_4c59))
    );
    assert_eq!((a.prompt_tokens, a.prefix_tokens, a.max_tokens), (5120, 2048, Some(800)));
    assert_eq!((a.client_timeout, a.resumed, a.streamed), (Some(4_800_000), true, true));
    let out =
        String::from_utf8(encode_attempt_head(&inference.head, 900, inference.body.len())).expect("text");
    assert!(out.starts_with("POST /v1/chat/completions?a=b HTTP/1.1\r\n"), "{out}");
    assert!(
        out.contains("\r\nx-txn: 9b1f03aa5c7e2d41\r\n") && out.ends_with("Content-Length: 16\r\n\r\n"),
        "{out}"
    );
    assert_eq!(out.to_lowercase().matches("content-length").count(), 1);
    assert_eq!(out.to_lowercase().matches("x-remaining-ms: 900").count(), 1);
}

#[test]
fn invalid_client_requests() {
    let valid = "X-Txn: a1\r\nX-Lane: chat\r\nX-Remaining-Ms: 900\r\n";
    assert!(parse_request(&format!("{REQUEST_LINE_AND_HOST}{valid}"), "{}").is_ok());
    for (lines, body) in [
        ("X-Lane: chat\r\n", "{}"),
        ("X-Txn: \r\nX-Lane: chat\r\n", "{}"),
        ("X-Txn: a/../b\r\nX-Lane: chat\r\n", "{}"),
        ("X-Txn: a1\r\n", "{}"),
        ("X-Txn: a1\r\nX-Lane: none such\r\n", "{}"),
        ("X-Txn: a1\r\nX-Lane: chat\r\nX-Remaining-Ms: soon\r\n", "{}"),
        ("X-Txn: a1\r\nX-Lane: chat\r\nX-Remaining-Ms: -4\r\n", "{}"),
        ("X-Txn: a1\r\nX-Lane: chat\r\nX-Remaining-Ms: 1e9\r\n", "{}"),
        ("X-Txn: a1\r\nX-Txn: a2\r\nX-Lane: chat\r\n", "{}"),
        ("X-Txn: a1\r\nX-Lane: chat\r\nX-Labels: prompt_len=-1\r\n", "{}"),
        ("X-Txn: a1\r\nX-Lane: chat\r\nX-Labels: prompt_len\r\n", "{}"),
        (valid, "{\"cut\":"),
        (valid, ""),
    ] {
        let status = parse_request(&format!("{REQUEST_LINE_AND_HOST}{lines}"), body)
            .map(|_| 0)
            .unwrap_or_else(|r| r.status);
        assert_eq!(status, 400, "{lines} {body}");
    }
    let status = |head: &str| parse_request(head, "").map(|_| 0).unwrap_or_else(|r| r.status);
    assert_eq!(status("GET /nowhere HTTP/1.1\r\n"), 404);
    assert_eq!(status("GET /v1/chat/completions HTTP/1.1\r\n"), 405);
    assert_eq!(status("GET /up HTTP/1.1\r\n"), 0);
}

#[test]
fn invalid_configuration_names_its_field() {
    for (path, value, expected) in [
        ("/seed", json!("xyz"), "seed"),
        ("/listen", json!("here"), "listen"),
        ("/discovery", Value::Null, "discovery"),
        ("/limits/sockets", json!(3), "limits.sockets"),
        ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
        ("/known/members/0/host_port", json!("nowhere"), "known"),
        ("/settings/rules", json!({}), "cold_from"),
        ("/settings/me", json!(2), "me"),
    ] {
        let mut config = configuration();
        *config.pointer_mut(path).expect("the field") = value;
        let error = Configuration::parse(&config.to_string()).expect_err(path);
        assert!(error.to_string().contains(expected), "{path}: {error}");
    }
    assert!(Configuration::parse("{").is_err());
    let config = config();
    let node = config.node_settings();
    assert!(
        node.limits.max_connections + config.limits.sockets / 3 < config.limits.sockets,
        "the clients leave descriptors for engines"
    );
}

#[test]
fn endpoint_list_revisions_are_monotonic() {
    let list = |revision: u64, complete: bool, members: Vec<Value>| {
        EndpointList::parse(
            json!({"revision": revision, "complete": complete, "members": members}).to_string().as_bytes(),
        )
    };
    let (up, removed) = (member("s-1", "up", 7), member("s-1", "removed", 0));
    let mut tracker = EndpointListTracker::default();
    assert!(matches!(tracker.advance(list(3, false, vec![up.clone()]).unwrap()), ListChange::Invalid(_)));
    let ListChange::Apply(_, members) = tracker.advance(list(3, true, vec![up.clone()]).unwrap()) else {
        panic!()
    };
    assert_eq!(
        (members[0].endpoint.state, members[0].endpoint.started),
        (EndpointState::Serving, Some(7000))
    );
    assert!(matches!(tracker.advance(list(3, false, vec![]).unwrap()), ListChange::Unchanged));
    assert!(matches!(tracker.advance(list(2, true, vec![up.clone()]).unwrap()), ListChange::Stale));
    assert!(matches!(tracker.advance(list(9, true, vec![]).unwrap()), ListChange::Invalid(_)));
    assert_eq!(tracker.revision(), Some(3));
    let ListChange::Apply(_, members) = tracker.advance(list(4, false, vec![removed]).unwrap()) else {
        panic!()
    };
    assert_eq!(members[0].endpoint.state, EndpointState::Gone);
    assert!(list(5, true, vec![up.clone(), up]).is_err(), "an engine listed twice");
    assert!(EndpointList::parse(b"{\"revision\":1}").is_err());
}

#[test]
fn watch_decoder_framing_and_limit() {
    let mut decoder = WatchDecoder::default();
    let mut got = Vec::new();
    for byte in b"{\"a\":1}\n\n\r\n{}\n{" {
        decoder.push(&[*byte]).expect("short");
        got.extend(decoder.next_object());
    }
    assert_eq!(got, [b"{\"a\":1}".to_vec(), b"{}".to_vec()]);
    let mut decoder = WatchDecoder::default();
    assert!((0..200).any(|_| decoder.push(&[b'x'; 64 << 10]).is_err()), "an endless line");
    // A line that is not an object ends at its newline, even inside an unterminated string.
    let mut decoder = WatchDecoder::default();
    decoder.push(b"no \"object\n{\"b\":\"}\\\"{\"}\n").expect("short");
    assert_eq!(decoder.next_object().as_deref(), Some(&b"no \"object"[..]));
    assert_eq!(decoder.next_object().as_deref(), Some(&b"{\"b\":\"}\\\"{\"}"[..]));
    assert_eq!(decoder.next_object(), None);
}

/// Guards against part of an object, or an HTTP chunk without a complete line, being taken for a heartbeat.
#[test]
fn watch_decoder_heartbeats() {
    let heartbeats = |pieces: &[&[u8]]| {
        let mut decoder = WatchDecoder::default();
        pieces
            .iter()
            .filter(|piece| {
                decoder.push(piece).expect("short");
                while decoder.next_object().is_some() {}
                decoder.take_heartbeat()
            })
            .count()
    };
    assert_eq!(heartbeats(&[b"\n", b"\r\n", b" \n"]), 3);
    assert_eq!(heartbeats(&[b"\r", b"\n"]), 1);
    assert_eq!(heartbeats(&[b" ", b" ", b"\t"]), 0);
    assert_eq!(heartbeats(&[b"{\n", b"\n", b"\"a\":\n1"]), 0, "inside an object");
    assert_eq!(heartbeats(&[b"text", b"\n"]), 0, "a line that is not blank");
    assert_eq!(heartbeats(&[b"{}\n"]), 1, "the line break behind an object");
}

/// Guards against the list of a large fleet that exceeds the size limit or, if it is indented, is split at a
/// line break: 1,024 and 4,096 engines, on one line and indented, at once and in pieces of a few bytes.
#[test]
fn large_endpoint_lists() {
    for engine_count in [1_024, 4_096] {
        let members: Vec<_> = (0..engine_count)
            .map(|n| {
                serde_json::json!({"id": format!("s-{n:08x}"), "host_port": format!("10.{}.{}.7:3000", n / 256, n % 256),
                    "locality": "zone-\"a\" {", "flavor": "m1", "cell": n % 64, "phase": "up", "size": 1.0, "up_since_ms": 0})
            })
            .collect();
        let list = serde_json::json!({"revision": 7, "complete": true, "members": members});
        let single_line = format!("{list}\n\n");
        let indented = format!("{}\n\n", serde_json::to_string_pretty(&list).expect("JSON"));
        for text in [single_line, indented] {
            for piece in [text.len(), 16 << 10, 7] {
                let mut decoder = WatchDecoder::default();
                let mut got = Vec::new();
                for bytes in text.as_bytes().chunks(piece) {
                    decoder.push(bytes).expect("it fits");
                    while let Some(line) = decoder.next_object() {
                        got.push(EndpointList::parse(&line).expect("a valid list"));
                    }
                }
                assert_eq!(got.len(), 1, "{engine_count} engines in pieces of {piece}");
                assert_eq!(got[0].endpoints.len(), engine_count);
            }
        }
    }
    // Above the limit there is an error that says so, and never a truncated list.
    let mut decoder = WatchDecoder::default();
    let endless = (0..200).find_map(|_| decoder.push(&[b'['; 64 << 10]).err()).expect("an error");
    assert!(endless.to_string().contains("longer than"), "{endless}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes do not make a parser panic, and a response has exactly one end.
    #[test]
    fn arbitrary_bytes(noise in prop::collection::vec(any::<u8>(), 0..600), at in 0usize..400) {
        let labels = config().settings.labels;
        let valid = stream(&[TOKEN, USAGE, DONE]);
        let at = at.min(valid.len());
        let mixed = [&valid[..at], &noise[..], &valid[at..]].concat();
        let (mut reader, mut out) = (EngineResponseReader::default(), Vec::new());
        reader.push(&mixed, &labels, &mut out);
        reader.connection_closed(&labels, &mut out);
        let ends = out.iter().filter(|p| matches!(p, ResponseEvent::Ended { .. })).count();
        prop_assert_eq!(ends, 1);
        let mut decoder = WatchDecoder::default();
        if decoder.push(&noise).is_ok() {
            while let Some(line) = decoder.next_object() {
                let _ = EndpointList::parse(&line);
            }
        }
        let _ = Configuration::parse(&String::from_utf8_lossy(&noise));
    }
}

//! Golden files of a running node: the bytes of each kind of response, and the names and order of the fields of its
//! status document.

use std::io::Read;
use std::path::Path;
use std::sync::Arc;

use crate::harness::*;

/// Compares with a golden file, byte by byte.
fn assert_golden(file: &str, got: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let want = std::fs::read_to_string(&path).expect("the golden file");
    assert_eq!(got, want, "{file}");
}

/// Replaces each number by `#`: counts and times differ between runs, names must not.
fn without_numbers(text: &str) -> String {
    let (mut out, mut in_number) = (String::new(), false);
    for c in text.chars() {
        let is_part = c.is_ascii_digit() || c == '.' && in_number;
        if !is_part {
            out.push(c);
        } else if !in_number {
            out.push('#');
        }
        in_number = is_part;
    }
    out
}

/// All bytes of the response to a request that closes the connection.
fn response_bytes(harness: &Harness, request: &str) -> String {
    let mut client = Client::new(harness);
    client.send(request.as_bytes());
    let mut bytes = Vec::new();
    client.stream.read_to_end(&mut bytes).expect("an answer");
    String::from_utf8(bytes).expect("text")
}

/// An inference request that closes the connection after the response.
fn inference_request(class: &str, id: &str) -> String {
    let request = String::from_utf8(request_bytes(class, id)).expect("text");
    request.replace("\r\nHost: s\r\n", "\r\nHost: s\r\nConnection: close\r\n")
}

#[test]
fn responses_without_attempts() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let line = "POST /v1/chat/completions HTTP/1.1\r\n";
    let mut got = String::new();
    for request in [
        "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n".to_string(),
        "GET /nowhere HTTP/1.1\r\n\r\n".to_string(),
        "PUT /up HTTP/1.1\r\n\r\n".to_string(),
        format!("{line}X-Lane: safe\r\nContent-Length: 2\r\n\r\n{{}}"),
        format!("{line}Content-Length: -1\r\n\r\n"),
        format!("{line}Content-Length: 62914560\r\n\r\n"),
        format!("{line}Transfer-Encoding: chunked, gzip\r\n\r\n"),
        format!("{line}{}", "X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n".repeat(1000)),
        format!("{line}Content-Length: 40\r\n\r\n{{"),
    ] {
        got.push_str(&response_bytes(&harness, &request));
        got.push_str("----\n");
    }
    assert_golden("platform_answers.http", &got);
}

/// Each response comes from a new node, so that the behaviour of an engine does not affect the next response.
#[test]
fn responses_to_inference_requests() {
    let mut got = String::new();
    // The division of the events into chunks depends on the sockets; the head and the last chunk do not.
    let served = response_bytes(&Harness::new(&["r0", "w0"], 256), &inference_request("safe", "served"));
    let (head, body) = served.split_once("\r\n\r\n").expect("a head");
    assert!(body.ends_with("\r\n0\r\n\r\n"), "{body}");
    got.push_str(&format!("{head}\r\n\r\n----\n"));

    let harness = Harness::new(&["r0", "w0"], 256);
    harness.mock_engines.script("w0", &[EngineAction::RespondAndClose(Vec::new())]);
    got.push_str(&format!("{}----\n", response_bytes(&harness, &inference_request("once", "failed"))));

    for retry_after in [false, true] {
        let (mock_engines, engines) = serve_engines(&["r0", "w0"]);
        let harness = Harness::with_config(&engines, 256, Arc::default(), |configuration| {
            let permissions = &mut configuration["settings"]["permissions"];
            permissions["retry_after"] = retry_after.into();
            permissions["max_retry_after"] = 1.5.into();
        });
        mock_engines.script("w0", &vec![EngineAction::reject(503); 64]);
        let refused = response_bytes(&harness, &inference_request("safe", "refused"));
        let is_advice = |line: &str| line.starts_with("retry-after");
        for line in refused.split_inclusive('\n') {
            got.push_str(&if is_advice(line) { without_numbers(line) } else { line.to_string() });
        }
        // Seconds with three decimal places.
        if let Some(line) = refused.lines().find(|line| is_advice(line)) {
            let seconds = line.trim_start_matches("retry-after: ");
            assert_eq!(seconds.split_once('.').map(|(_, digits)| digits.len()), Some(3), "{line}");
        }
        got.push_str("----\n");
    }
    assert_golden("platform_work_answers.http", &got);
}

/// The document contains texts derived from names in the code, so the golden file covers them too.
#[test]
fn status_document() {
    let harness = Harness::new(&["r0", "w0"], 256);
    let page = || response_bytes(&harness, "GET /pintally/beliefs HTTP/1.1\r\nConnection: close\r\n\r\n");
    let mut got = without_numbers(&page());
    let mut client = Client::new(&harness);
    client.send_request("safe", "a");
    assert!(client.receive_response().2);
    got.push('\n');
    got.push_str(&without_numbers(&page()));
    got.push('\n');
    assert_golden("platform_beliefs.http", &got);
}

//! Golden files of what a running node sends: the bytes of each kind of answer, and the names and the order
//! of all that its status document holds.

use std::io::Read;
use std::path::Path;
use std::sync::Arc;

use crate::stand::*;

/// Compares with a golden file, byte by byte.
fn assert_golden(file: &str, got: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let want = std::fs::read_to_string(&path).expect("the golden file");
    assert_eq!(got, want, "{file}");
}

/// Each number becomes `#`: counts and times differ from run to run, names must not.
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

/// All bytes of the answer to a request that asks for the connection to be closed.
fn answer_bytes(stand: &Stand, request: &str) -> String {
    let mut client = Client::new(stand);
    client.send(request.as_bytes());
    let mut bytes = Vec::new();
    client.stream.read_to_end(&mut bytes).expect("an answer");
    String::from_utf8(bytes).expect("text")
}

/// A request for work whose connection is to be closed behind the answer.
fn work(class: &str, id: &str) -> String {
    let request = String::from_utf8(asked(class, id)).expect("text");
    request.replace("\r\nHost: s\r\n", "\r\nHost: s\r\nConnection: close\r\n")
}

#[test]
fn answers_without_work() {
    let stand = Stand::new(&["r0", "w0"], 256);
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
        got.push_str(&answer_bytes(&stand, &request));
        got.push_str("----\n");
    }
    assert_golden("platform_answers.http", &got);
}

/// Each answer comes from a node of its own: what one engine did must not shape the next answer.
#[test]
fn answers_to_work() {
    let mut got = String::new();
    // How many chunks the events come in depends on the sockets; the head and the last chunk do not.
    let served = answer_bytes(&Stand::new(&["r0", "w0"], 256), &work("safe", "served"));
    let (head, body) = served.split_once("\r\n\r\n").expect("a head");
    assert!(body.ends_with("\r\n0\r\n\r\n"), "{body}");
    got.push_str(&format!("{head}\r\n\r\n----\n"));

    let stand = Stand::new(&["r0", "w0"], 256);
    stand.seen.let_do("w0", &[Does::SaysAndEnds(Vec::new())]);
    got.push_str(&format!("{}----\n", answer_bytes(&stand, &work("once", "failed"))));

    for retry_after in [false, true] {
        let (seen, engines) = serve_engines(&["r0", "w0"]);
        let stand = Stand::configured(&engines, 256, Arc::default(), |configuration| {
            let permissions = &mut configuration["settings"]["permissions"];
            permissions["retry_after"] = retry_after.into();
            permissions["max_retry_after"] = 1.5.into();
        });
        seen.let_do("w0", &vec![Does::turns_away(503); 64]);
        let refused = answer_bytes(&stand, &work("safe", "refused"));
        let is_advice = |line: &str| line.starts_with("retry-after");
        for line in refused.split_inclusive('\n') {
            got.push_str(&if is_advice(line) { without_numbers(line) } else { line.to_string() });
        }
        // Seconds with three digits behind the point.
        if let Some(line) = refused.lines().find(|line| is_advice(line)) {
            let seconds = line.trim_start_matches("retry-after: ");
            assert_eq!(seconds.split_once('.').map(|(_, digits)| digits.len()), Some(3), "{line}");
        }
        got.push_str("----\n");
    }
    assert_golden("platform_work_answers.http", &got);
}

/// The document holds texts made of names in the code: the golden file holds them too.
#[test]
fn status_document() {
    let stand = Stand::new(&["r0", "w0"], 256);
    let page = || answer_bytes(&stand, "GET /pintally/beliefs HTTP/1.1\r\nConnection: close\r\n\r\n");
    let mut got = without_numbers(&page());
    let mut client = Client::new(&stand);
    client.ask("safe", "a");
    assert!(client.answer().2);
    got.push('\n');
    got.push_str(&without_numbers(&page()));
    got.push('\n');
    assert_golden("platform_beliefs.http", &got);
}

//! Golden files of the serialized messages and of the error messages.

use std::path::Path;

use pintally_http::{chunk, header_line, request, response, response_head, sse_event, HttpError, LAST_CHUNK};

fn assert_golden(file: &str, got: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let want = std::fs::read_to_string(&path).expect("the golden file");
    assert_eq!(String::from_utf8_lossy(got), want, "{file}");
}

#[test]
fn messages() {
    let mut got = response_head(200, &[("content-type", "text/event-stream"), ("connection", "close")]);
    got.extend(chunk(&sse_event("{\"a\":1}")));
    got.extend(chunk(&[b'x'; 300]));
    got.extend_from_slice(LAST_CHUNK);
    got.extend(request("POST", "/v1/completions", &[("host", "engine")], b"{}"));
    got.extend(request("GET", "/metrics", &[], b""));
    let mut line = String::new();
    header_line(&mut line, "x-note", "one\r\ntwo\u{7f}");
    got.extend(line.into_bytes());
    assert_golden("messages.http", &got);
}

#[test]
fn status_lines() {
    let statuses = [200, 202, 400, 404, 405, 408, 409, 410, 413, 429, 431, 500, 501, 502, 503, 504];
    let got: Vec<u8> = statuses.iter().flat_map(|status| response(*status, &[], b"")).collect();
    assert_golden("status_lines.http", &got);
}

#[test]
fn errors() {
    let errors =
        [HttpError::Malformed("why"), HttpError::HeadTooLarge, HttpError::BodyTooLarge, HttpError::Encoding];
    let got: String = errors.iter().map(|error| format!("{} {error}\n", error.status())).collect();
    assert_golden("errors.txt", got.as_bytes());
}

//! Responses of engines: complete, truncated and invalid.

use pintally_http::{chunk, response, response_head, sse_event, LAST_CHUNK};

use super::*;

fn outcome(step: Step, bytes: &[u8], closed: bool) -> (String, Outcome) {
    let (mut reader, mut out) = (AttemptReader::new(step, 0), Vec::new());
    // Pushes one byte at a time: the result must not depend on how the response is split.
    bytes.iter().for_each(|b| reader.push(&[*b], &mut out));
    if closed {
        reader.closed(&mut out);
    }
    let mut text = String::new();
    let mut end = None;
    for progress in out {
        match progress {
            Progress::Text(t) => text.push_str(&t),
            Progress::Ended { outcome, .. } => {
                assert!(end.replace(outcome).is_none(), "the attempt ended twice");
            }
        }
    }
    (text, end.expect("the attempt has an end"))
}

fn stream(events: &[&str]) -> Vec<u8> {
    let mut bytes = response_head(200, &[("content-type", "text/event-stream")]);
    events.iter().for_each(|e| bytes.extend(chunk(&sse_event(e))));
    bytes.extend_from_slice(LAST_CHUNK);
    bytes
}

#[test]
fn truncated_streams_are_broken() {
    let (text, end) = (
        r#"{"choices":[{"text":"ab","finish_reason":null}]}"#,
        r#"{"choices":[{"text":"c","finish_reason":"length"}]}"#,
    );
    assert_eq!(outcome(Step::Both, &stream(&[text, end, "[DONE]"]), false), ("abc".into(), Outcome::Served));
    assert_eq!(outcome(Step::Both, &stream(&[text, end]), false), ("abc".into(), Outcome::ConnectionBroken));
    assert_eq!(
        outcome(Step::Fetch, &stream(&[text, "[DONE]"]), false),
        ("ab".into(), Outcome::ConnectionBroken)
    );
    let complete = &stream(&[text, end, "[DONE]"]);
    assert_eq!(outcome(Step::Fetch, &complete[..complete.len() - 8], true).1, Outcome::ConnectionBroken);
}

#[test]
fn read_without_state_is_an_error() {
    let read = response(200, &[], br#"{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens":4}}"#);
    assert_eq!(outcome(Step::Read, &read, false).1, Outcome::Read);
    assert_eq!(outcome(Step::Read, &response(200, &[], b"{}"), false).1, Outcome::Error);
    assert_eq!(outcome(Step::Read, &response(429, &[], b"{}"), false).1, Outcome::Overloaded);
    let none = response(409, &[], br#"{"error":{"type":"no_state"}}"#);
    assert_eq!(outcome(Step::Fetch, &none, false).1, Outcome::StateNotFound);
    assert_eq!(outcome(Step::Fetch, b"garbage\r\n\r\n", false).1, Outcome::ConnectionBroken);
}

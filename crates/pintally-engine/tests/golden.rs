//! Golden files of the requests to engines, and the names of headers, metrics and error types.

use std::path::Path;

use pintally::interface::Outcome;
use pintally_engine::{
    completion, health_check, load_from_header, load_from_metrics, release, AttemptReader, Completion,
    Progress, Step,
};
use serde_json::json;

fn assert_golden(file: &str, got: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let want = std::fs::read_to_string(&path).expect("the golden file");
    assert_eq!(String::from_utf8_lossy(got), want, "{file}");
}

#[test]
fn requests() {
    let state = json!({"do_remote_prefill": true, "remote_block_ids": [1, 2]});
    let attempt = |step, tenant, state| {
        completion(&Completion {
            step,
            model: "m",
            id: "n0-7",
            attempt: 2,
            key: "k1",
            tenant,
            prompt: "say \"a\"",
            max_tokens: 64,
            state,
        })
    };
    let mut got = Vec::new();
    for bytes in [
        attempt(Step::Read, Some("north"), None),
        attempt(Step::Fetch, None, Some(&state)),
        attempt(Step::Both, None, None),
        release("n0-7.2"),
        health_check(),
    ] {
        got.extend(bytes);
        got.extend(b"\n----\n");
    }
    assert_golden("requests.http", &got);
}

#[test]
fn load_reports() {
    let header = "JSON {\"named_metrics\":{\"num_requests_running\":4,\"num_requests_waiting\":2,\
                  \"kv_cache_usage_perc\":0.5,\"prompt_tokens_waiting_thousands\":3.5}}";
    let page = "vllm:num_requests_running 4\nvllm:num_requests_waiting 2\nvllm:kv_cache_usage_perc 0.5\n\
                vllm:prompt_tokens_waiting_thousands 3.5\n";
    for load in [load_from_header(header, 8), load_from_metrics(page, 8)] {
        let load = load.expect("a report");
        assert_eq!((load.slots, load.queue), (Some(0.5), Some(2.0)));
        assert_eq!((load.memory, load.backlog), (Some(0.5), Some(3.5)));
    }
}

/// The names by which an engine reports that a request did not run, or that there was no read state.
#[test]
fn error_names() {
    let outcome = |answer: &str| {
        let (mut reader, mut progress) = (AttemptReader::new(Step::Fetch, 0), Vec::new());
        reader.push(answer.as_bytes(), &mut progress);
        match progress.pop() {
            Some(Progress::Ended { outcome, .. }) => outcome,
            other => panic!("no end: {other:?}"),
        }
    };
    let not_run = "HTTP/1.1 503 Full\r\nx-pintally-not-run: 1\r\ncontent-length: 2\r\n\r\n{}";
    assert!(matches!(outcome(not_run), Outcome::Overloaded));
    let may_have_run = "HTTP/1.1 500 Failed\r\ncontent-length: 2\r\n\r\n{}";
    assert!(matches!(outcome(may_have_run), Outcome::Error));
    let body = "{\"error\":{\"type\":\"no_state\"}}";
    let no_state = format!("HTTP/1.1 409 Conflict\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    assert!(matches!(outcome(&no_state), Outcome::StateNotFound));
}

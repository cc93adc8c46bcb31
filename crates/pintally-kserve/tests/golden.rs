//! Golden files of the KServe endpoints' response bodies and of the error texts sent to clients.

use std::fmt::Write;
use std::path::Path;

use pintally_kserve::{
    error_body, generate_response, infer_response, model_metadata, server_metadata, stream_end, stream_error,
    stream_part, InferenceEndpoint, InferenceRequest, DEADLINE_HEADER,
};

fn assert_golden(file: &str, got: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let want = std::fs::read_to_string(&path).expect("the golden file");
    assert_eq!(got, want, "{file}");
}

#[test]
fn response_bodies() {
    let bodies = [
        error_body("what is wrong", true),
        generate_response("m", "a1", "a \"text\""),
        infer_response("m", "a1", "a \"text\""),
        stream_part("m", "a1", "a"),
        stream_end("m", "a1"),
        stream_error("what is wrong"),
        server_metadata("1.2.3"),
        model_metadata("m"),
    ];
    assert_golden("answers.jsonl", &(bodies.join("\n") + "\n"));
}

#[test]
fn request_fields() {
    let body = br#"{"id":"a1","text_input":"hi","parameters":{"class":"hint","tenant":"north","session":5,
        "prefix":"somewhere","prefix_tokens":100,"prompt_tokens":200,"max_tokens":64,"deadline_ms":900,
        "resumed":true}}"#;
    let request =
        InferenceRequest::parse(InferenceEndpoint::Generate, body, Some("800")).expect("a valid body");
    assert_eq!((request.id.as_deref(), request.prompt.as_str()), (Some("a1"), "hi"));
    assert_eq!((request.class.as_deref(), request.tenant.as_deref()), (Some("hint"), Some("north")));
    assert_eq!((request.session, request.prefix), (Some(5), Some(6_426_401_579_379_495)));
    assert_eq!(
        (request.prefix_tokens, request.prompt_tokens, request.max_tokens),
        (100, Some(200), Some(64))
    );
    assert_eq!((request.deadline_ms, request.resumed), (Some(800), true));
    assert_eq!(DEADLINE_HEADER, "x-request-timeout-ms");
}

#[test]
fn request_errors() {
    let mut got = String::new();
    for body in [
        "[",
        "[]",
        "{}",
        r#"{"text_input":"x","id":7}"#,
        r#"{"text_input":"x","parameters":3}"#,
        r#"{"text_input":"x","parameters":{"max_tokens":0}}"#,
        r#"{"text_input":"x","parameters":{"max_tokens":-1}}"#,
        r#"{"text_input":"x","parameters":{"prompt_tokens":"many"}}"#,
        r#"{"text_input":"x","parameters":{"deadline_ms":0}}"#,
        r#"{"text_input":"x","parameters":{"deadline_ms":3600001}}"#,
        r#"{"text_input":"x","parameters":{"class":[]}}"#,
        r#"{"text_input":"x","parameters":{"resumed":"yes"}}"#,
    ] {
        let _ = writeln!(
            got,
            "{}",
            InferenceRequest::parse(InferenceEndpoint::Generate, body.as_bytes(), None).expect_err(body)
        );
    }
    let header = InferenceRequest::parse(InferenceEndpoint::Generate, br#"{"text_input":"x"}"#, Some("soon"))
        .expect_err("a header");
    let _ = writeln!(got, "{header}");
    for body in [
        "{}",
        r#"{"inputs":[]}"#,
        r#"{"inputs":[{"datatype":"FP32"}]}"#,
        r#"{"inputs":[{"datatype":"BYTES","shape":[2]}]}"#,
        r#"{"inputs":[{"datatype":"BYTES","shape":[1],"data":[1]}]}"#,
    ] {
        let _ = writeln!(
            got,
            "{}",
            InferenceRequest::parse(InferenceEndpoint::Infer, body.as_bytes(), None).expect_err(body)
        );
    }
    assert_golden("request_errors.txt", &got);
}

//! Parsing of valid and invalid request bodies.

use super::*;

#[test]
fn shorter_deadline_applies() {
    let body = br#"{"id":"a","text_input":"hi","parameters":{"class":"c","session":"s","deadline_ms":900}}"#;
    let request = InferenceRequest::parse(InferenceEndpoint::Generate, body, Some("300")).unwrap();
    assert_eq!((request.class.as_deref(), request.deadline_ms), (Some("c"), Some(300)));
    assert_eq!(
        request.session,
        InferenceRequest::parse(InferenceEndpoint::GenerateStream, body, None).unwrap().session
    );
}

#[test]
fn infer_accepts_one_text_tensor() {
    let body = br#"{"inputs":[{"name":"text_input","shape":[1,1],"datatype":"BYTES","data":[["x"]]}]}"#;
    assert_eq!(InferenceRequest::parse(InferenceEndpoint::Infer, body, None).unwrap().prompt, "x");
}

#[test]
fn invalid_body_error_names_reason() {
    for (body, reason) in [
        ("[", "not JSON"),
        ("[]", "object"),
        ("{}", "text_input"),
        (r#"{"text_input":1}"#, "text_input"),
        (r#"{"text_input":"x","parameters":3}"#, "parameters"),
        (r#"{"text_input":"x","parameters":{"max_tokens":0}}"#, "max_tokens"),
        (r#"{"text_input":"x","parameters":{"max_tokens":-1}}"#, "max_tokens"),
        (r#"{"text_input":"x","parameters":{"deadline_ms":0}}"#, "deadline"),
        (r#"{"text_input":"x","parameters":{"class":[]}}"#, "class"),
    ] {
        let error = InferenceRequest::parse(InferenceEndpoint::Generate, body.as_bytes(), None).unwrap_err();
        assert!(error.0.contains(reason), "{body}: {error}");
    }
}

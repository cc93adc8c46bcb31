//! Requests to engines as bytes.

use pintally_http::request;
use serde_json::{json, Value};

use crate::extension;

/// What an attempt does at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the prompt; the state stays for a fetch.
    Read,
    /// Fetch the state and answer.
    Fetch,
    /// Read and answer in one.
    Both,
}

/// One attempt as it goes to an engine.
#[derive(Clone, Debug)]
pub struct Completion<'a> {
    /// What the engine is to do.
    pub step: Step,
    /// The model's name.
    pub model: &'a str,
    /// The node's id of the request, the same for all of its attempts.
    pub id: &'a str,
    /// The attempt's number.
    pub attempt: u32,
    /// The client's id of the request.
    pub key: &'a str,
    /// The tenant, if any.
    pub tenant: Option<&'a str>,
    /// The prompt.
    pub prompt: &'a str,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// `kv_transfer_params` as the reader gave them, for [`Step::Fetch`].
    pub state: Option<&'a Value>,
}

/// An attempt as bytes.
pub fn completion(completion: &Completion) -> Vec<u8> {
    let mut body = json!({ "model": completion.model, "prompt": completion.prompt });
    match completion.step {
        Step::Read => {
            body["max_tokens"] = json!(1);
            body["stream"] = json!(false);
            body["kv_transfer_params"] = json!({ "do_remote_decode": true, "do_remote_prefill": false });
        }
        Step::Fetch | Step::Both => {
            body["max_tokens"] = json!(completion.max_tokens);
            body["stream"] = json!(true);
            body["stream_options"] = json!({ "include_usage": true });
            if let (Step::Fetch, Some(state)) = (completion.step, completion.state) {
                body["kv_transfer_params"] = state.clone();
            }
        }
    }
    let id = format!("{}.{}", completion.id, completion.attempt);
    let mut headers = vec![
        ("host", "engine"),
        ("content-type", "application/json"),
        ("x-request-id", id.as_str()),
        ("endpoint-load-metrics-format", "json"),
        (extension::KEY, completion.key),
    ];
    headers.extend(completion.tenant.map(|tenant| (extension::TENANT, tenant)));
    request("POST", "/v1/completions", &headers, body.to_string().as_bytes())
}

/// A request to release a read state, as bytes.
pub fn release(id: &str) -> Vec<u8> {
    let body = json!({ "request_id": id }).to_string();
    let headers = [("host", "engine"), ("content-type", "application/json")];
    request("POST", extension::RELEASE_PATH, &headers, body.as_bytes())
}

/// A health check, as bytes.
pub fn health_check() -> Vec<u8> {
    request("GET", "/metrics", &[("host", "engine")], b"")
}

//! Serialization of requests to engines.

use pintally_http::request;
use serde_json::{json, Value};

use crate::extension;

/// The part of a request that an attempt performs at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the prompt; the engine keeps the read state until it is fetched or released.
    Read,
    /// Fetch the read state and write the answer.
    Fetch,
    /// Read the prompt and write the answer at the same engine.
    Both,
}

/// The contents of a completion request for one attempt.
#[derive(Clone, Debug)]
pub struct Completion<'a> {
    /// The part of the request to perform.
    pub step: Step,
    /// The name of the model.
    pub model: &'a str,
    /// The node's id of the request, which is the same for all of its attempts.
    pub id: &'a str,
    /// The number of the attempt.
    pub attempt: u32,
    /// The client's id of the request, sent as [`extension::KEY`].
    pub key: &'a str,
    /// The tenant, if any.
    pub tenant: Option<&'a str>,
    /// The prompt.
    pub prompt: &'a str,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// The `kv_transfer_params` returned by the reader, for [`Step::Fetch`].
    pub state: Option<&'a Value>,
}

/// The completion request for an attempt.
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

/// A request to release the read state with this id.
pub fn release(id: &str) -> Vec<u8> {
    let body = json!({ "request_id": id }).to_string();
    let headers = [("host", "engine"), ("content-type", "application/json")];
    request("POST", extension::RELEASE_PATH, &headers, body.as_bytes())
}

/// A health check, which requests the metrics of the engine.
pub fn health_check() -> Vec<u8> {
    request("GET", "/metrics", &[("host", "engine")], b"")
}

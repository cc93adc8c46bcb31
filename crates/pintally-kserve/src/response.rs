//! JSON response bodies.

use serde_json::{json, Value};

/// The body of an error response. `retry_is_harmless` tells the client whether it can safely retry.
pub fn error_body(message: &str, retry_is_harmless: bool) -> String {
    json!({ "error": message, "retry_is_harmless": retry_is_harmless }).to_string()
}

/// The response body of `generate`.
pub fn generate_response(model: &str, id: &str, text: &str) -> String {
    json!({ "model_name": model, "id": id, "text_output": text }).to_string()
}

/// The response body of `infer`.
pub fn infer_response(model: &str, id: &str, text: &str) -> String {
    let output = json!({ "name": "text_output", "datatype": "BYTES", "shape": [1], "data": [text] });
    json!({ "model_name": model, "id": id, "outputs": [output] }).to_string()
}

/// An event with the next part of a streamed response's text.
pub fn stream_part(model: &str, id: &str, text: &str) -> String {
    json!({ "model_name": model, "id": id, "text_output": text }).to_string()
}

/// The last event of a streamed response that is complete.
pub fn stream_end(model: &str, id: &str) -> String {
    json!({ "model_name": model, "id": id, "text_output": "", "finished": true }).to_string()
}

/// The last event of a streamed response that was cut off.
pub fn stream_error(message: &str) -> String {
    json!({ "error": message, "finished": false }).to_string()
}

/// The response body of `GET /v2`.
pub fn server_metadata(version: &str) -> String {
    json!({ "name": "pintally", "version": version, "extensions": ["generate"] }).to_string()
}

/// The response body of `GET /v2/models/{model}`.
pub fn model_metadata(model: &str) -> String {
    let tensor = |name: &str| -> Value { json!({ "name": name, "datatype": "BYTES", "shape": [1] }) };
    json!({
        "name": model,
        "versions": ["1"],
        "platform": "pintally",
        "inputs": [tensor("text_input")],
        "outputs": [tensor("text_output")],
    })
    .to_string()
}

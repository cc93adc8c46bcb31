//! Parses inference requests from the JSON bodies of `infer`, `generate` and `generate_stream`.

#[cfg(test)]
mod tests;

use std::fmt;

use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// The header with the client's timeout in milliseconds. The shorter of it and the parameter `deadline_ms`
/// applies.
pub const DEADLINE_HEADER: &str = "x-request-timeout-ms";
/// Maximum length of an id, class, tenant, session or prefix that is given as text.
const MAX_NAME_BYTES: usize = 256;
/// The longest timeout that a client may request: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Exclusive upper bound of JSON integers: not every client represents larger ones exactly.
const INTEGER_LIMIT: u64 = 1 << 53;
/// Low bits dropped from the 64-bit hash of a text, so that the result is below [`INTEGER_LIMIT`].
const HASH_SHIFT_BITS: u32 = 11;

/// The inference endpoint of a request, which decides the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InferenceEndpoint {
    /// Tensors in, tensors out.
    Infer,
    /// Text in, the complete text out in one response.
    Generate,
    /// Text in, a stream of server-sent events out.
    GenerateStream,
}

/// A parsed inference request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InferenceRequest {
    /// The request id chosen by the client.
    pub id: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The name of the request class.
    pub class: Option<String>,
    /// The name of the tenant.
    pub tenant: Option<String>,
    /// The session: an integer, or the hash of a text.
    pub session: Option<u64>,
    /// The shared prefix: an integer, or the hash of a text. `None` also for 0.
    pub prefix: Option<u64>,
    /// Length of the shared prefix in tokens.
    pub prefix_tokens: u64,
    /// Length of the prompt in tokens, if the client states it.
    pub prompt_tokens: Option<u64>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u64>,
    /// The client's timeout in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the client resumes a request whose stream broke.
    pub resumed: bool,
}

/// The reason why a request is invalid, as sent to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRequest(pub String);

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidRequest {}

fn invalid<T>(message: impl Into<String>) -> Result<T, InvalidRequest> {
    Err(InvalidRequest(message.into()))
}

impl InferenceRequest {
    /// Parses a request body. `header_ms` is the value of [`DEADLINE_HEADER`], if the request has it.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a JSON object or a field is invalid.
    pub fn parse(
        endpoint: InferenceEndpoint,
        body: &[u8],
        header_ms: Option<&str>,
    ) -> Result<InferenceRequest, InvalidRequest> {
        let value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => return invalid(format!("the body is not JSON: {error}")),
        };
        let Value::Object(root) = value else { return invalid("the body must be a JSON object") };
        let mut request = InferenceRequest { id: optional_name(&root, "id")?, ..InferenceRequest::default() };
        request.prompt = prompt(endpoint, &root)?;
        let empty = Map::new();
        let parameters = match root.get("parameters") {
            None | Some(Value::Null) => &empty,
            Some(Value::Object(map)) => map,
            Some(_) => return invalid("`parameters` must be an object"),
        };
        request.read_parameters(parameters)?;
        request.apply_deadline_header(header_ms)?;
        if request.max_tokens == Some(0) {
            return invalid("`max_tokens` must be at least 1");
        }
        Ok(request)
    }

    fn read_parameters(&mut self, parameters: &Map<String, Value>) -> Result<(), InvalidRequest> {
        self.class = optional_name(parameters, "class")?;
        self.tenant = optional_name(parameters, "tenant")?;
        self.session = optional_integer_or_hash(parameters, "session")?;
        self.prefix = optional_integer_or_hash(parameters, "prefix")?.filter(|prefix| *prefix != 0);
        self.prefix_tokens = optional_integer(parameters, "prefix_tokens")?.unwrap_or(0);
        self.prompt_tokens = optional_integer(parameters, "prompt_tokens")?;
        self.max_tokens = optional_integer(parameters, "max_tokens")?;
        self.deadline_ms = optional_integer(parameters, "deadline_ms")?;
        self.resumed = match parameters.get("resumed") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(resumed)) => *resumed,
            Some(_) => return invalid("`resumed` must be true or false"),
        };
        Ok(())
    }

    /// Replaces the deadline by that of the header if it is shorter, and checks the range of the result.
    fn apply_deadline_header(&mut self, header_ms: Option<&str>) -> Result<(), InvalidRequest> {
        if let Some(text) = header_ms {
            let Ok(ms) = text.trim().parse::<u64>() else {
                return invalid(format!("header `{DEADLINE_HEADER}` must be whole milliseconds"));
            };
            self.deadline_ms = Some(self.deadline_ms.map_or(ms, |parameter_ms| parameter_ms.min(ms)));
        }
        match self.deadline_ms {
            Some(0) => invalid("the deadline is 0 ms"),
            Some(ms) if ms > MAX_DEADLINE_MS => invalid(format!("the deadline is over {MAX_DEADLINE_MS} ms")),
            _ => Ok(()),
        }
    }
}

fn prompt(endpoint: InferenceEndpoint, root: &Map<String, Value>) -> Result<String, InvalidRequest> {
    match endpoint {
        InferenceEndpoint::Infer => tensor_text(root),
        InferenceEndpoint::Generate | InferenceEndpoint::GenerateStream => match root.get("text_input") {
            Some(Value::String(text)) => Ok(text.clone()),
            _ => invalid("`text_input` must be a text"),
        },
    }
}

/// Reads a short text without control characters; `None` if it is absent, null or empty.
fn optional_name(map: &Map<String, Value>, key: &str) -> Result<Option<String>, InvalidRequest> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if s.len() <= MAX_NAME_BYTES && !s.chars().any(char::is_control) => {
            Ok(Some(s.clone()).filter(|s| !s.is_empty()))
        }
        Some(_) => invalid(format!("`{key}` must be a text of at most {MAX_NAME_BYTES} bytes")),
    }
}

/// Reads an integer, or a text that is hashed to one; `None` if it is absent or null.
fn optional_integer_or_hash(map: &Map<String, Value>, key: &str) -> Result<Option<u64>, InvalidRequest> {
    match map.get(key) {
        Some(Value::String(s)) if s.len() <= MAX_NAME_BYTES => {
            Ok(Some(xxh3_64(s.as_bytes()) >> HASH_SHIFT_BITS))
        }
        Some(Value::String(_)) => invalid(format!("`{key}` is longer than {MAX_NAME_BYTES} bytes")),
        _ => optional_integer(map, key),
    }
}

fn optional_integer(map: &Map<String, Value>, key: &str) -> Result<Option<u64>, InvalidRequest> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(n)) => match n.as_u64().filter(|n| *n < INTEGER_LIMIT) {
            Some(n) => Ok(Some(n)),
            None => invalid(format!("`{key}` must be a whole number from 0 to 2^53")),
        },
        Some(_) => invalid(format!("`{key}` must be a whole number")),
    }
}

/// Reads the prompt of an `infer` request, which has exactly one BYTES tensor with one element.
fn tensor_text(root: &Map<String, Value>) -> Result<String, InvalidRequest> {
    let Some(Value::Array(inputs)) = root.get("inputs") else { return invalid("`inputs` must be a list") };
    let [input] = &inputs[..] else { return invalid("there must be one input, the prompt") };
    if input.get("datatype").and_then(Value::as_str) != Some("BYTES") {
        return invalid("the input's `datatype` must be BYTES");
    }
    let shape = input.get("shape").and_then(Value::as_array);
    if !shape.is_some_and(|s| !s.is_empty() && s.iter().all(|n| n.as_u64() == Some(1))) {
        return invalid("the input's `shape` must be [1]");
    }
    match input.get("data").and_then(Value::as_array).map(Vec::as_slice) {
        Some([Value::String(text)]) => Ok(text.clone()),
        Some([Value::Array(inner)]) => match &inner[..] {
            [Value::String(text)] => Ok(text.clone()),
            _ => invalid("the input's `data` must hold one text"),
        },
        _ => invalid("the input's `data` must hold one text"),
    }
}

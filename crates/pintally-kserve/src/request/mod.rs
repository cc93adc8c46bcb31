//! Requests for inference, from the JSON of `infer`, `generate` or `generate_stream`.

#[cfg(test)]
mod tests;

use std::fmt;

use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// A header with the milliseconds that the client waits; the shorter of it and the parameter counts.
pub const DEADLINE_HEADER: &str = "x-request-timeout-ms";
/// The longest id, class or tenant name.
const MAX_NAME_BYTES: usize = 256;
/// The longest wait that a client may ask for: an hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Integers in JSON are below this: larger ones are not exact in every client.
const INTEGER_LIMIT: u64 = 1 << 53;
/// Bits of a text's hash that are dropped, so that it is below [`INTEGER_LIMIT`].
const HASH_SHIFT: u32 = 11;

/// The inference endpoint of a request, which decides the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InferenceEndpoint {
    /// Tensors in, tensors out.
    Infer,
    /// Text in, the complete text out.
    Generate,
    /// Text in, server-sent events out.
    GenerateStream,
}

/// A request for inference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InferenceRequest {
    /// The client's own id of the request.
    pub id: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The class's name.
    pub class: Option<String>,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// The session, as a number.
    pub session: Option<u64>,
    /// The shared prefix, as a number.
    pub prefix: Option<u64>,
    /// How many tokens of the prompt are the shared prefix.
    pub prefix_tokens: u64,
    /// The prompt's length in tokens, if the client knows it.
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer.
    pub max_tokens: Option<u64>,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The client resumes after a broken stream.
    pub resumed: bool,
}

/// Why a request is not valid.
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
    /// Reads a body. `header_ms` is the value of [`DEADLINE_HEADER`], if it came.
    ///
    /// # Errors
    ///
    /// A body that is not JSON, or a field that is not valid.
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
        request.limit_deadline(header_ms)?;
        if request.max_tokens == Some(0) {
            return invalid("`max_tokens` must be at least 1");
        }
        Ok(request)
    }

    fn read_parameters(&mut self, parameters: &Map<String, Value>) -> Result<(), InvalidRequest> {
        self.class = optional_name(parameters, "class")?;
        self.tenant = optional_name(parameters, "tenant")?;
        self.session = optional_key(parameters, "session")?;
        self.prefix = optional_key(parameters, "prefix")?.filter(|prefix| *prefix != 0);
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

    /// Takes the header's deadline where it is shorter, and checks the result.
    fn limit_deadline(&mut self, header_ms: Option<&str>) -> Result<(), InvalidRequest> {
        if let Some(text) = header_ms {
            let Ok(ms) = text.trim().parse::<u64>() else {
                return invalid(format!("header `{DEADLINE_HEADER}` must be whole milliseconds"));
            };
            self.deadline_ms = Some(self.deadline_ms.map_or(ms, |own| own.min(ms)));
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

/// A short text; absent and null are the same.
fn optional_name(map: &Map<String, Value>, key: &str) -> Result<Option<String>, InvalidRequest> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if s.len() <= MAX_NAME_BYTES && !s.chars().any(char::is_control) => {
            Ok(Some(s.clone()).filter(|s| !s.is_empty()))
        }
        Some(_) => invalid(format!("`{key}` must be a text of at most {MAX_NAME_BYTES} bytes")),
    }
}

/// A number, or a text whose hash is one.
fn optional_key(map: &Map<String, Value>, key: &str) -> Result<Option<u64>, InvalidRequest> {
    match map.get(key) {
        Some(Value::String(s)) if s.len() <= MAX_NAME_BYTES => Ok(Some(xxh3_64(s.as_bytes()) >> HASH_SHIFT)),
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

/// The text of the one BYTES tensor of an `infer` request.
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

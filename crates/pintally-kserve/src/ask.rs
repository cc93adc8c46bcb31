//! What a client asks, out of the JSON of `infer`, `generate` or `generate_stream`.

use std::fmt;

use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// A header with the milliseconds that the client waits; the shorter of it and the parameter holds.
pub const DEADLINE_HEADER: &str = "x-request-timeout-ms";
/// The longest id, class or tenant name that is taken.
const MAX_NAME: usize = 256;
/// The longest wait that a client may ask for: an hour.
const MAX_DEADLINE: u64 = 3_600_000;

/// The endpoint, which settles the form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Tensors in, tensors out.
    Infer,
    /// Text in, the whole text out.
    Generate,
    /// Text in, server-sent events out.
    Stream,
}

/// What a client asks.
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
    /// The shared beginning, as a number.
    pub prefix: Option<u64>,
    /// How many tokens of the prompt are the shared beginning.
    pub prefix_tokens: u64,
    /// The prompt's length in tokens, if the client knows it.
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer.
    pub max_tokens: Option<u64>,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The client comes back after a broken stream.
    pub resumed: bool,
}

/// Why a request cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskError(pub String);

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for AskError {}

fn wrong<T>(what: impl Into<String>) -> Result<T, AskError> {
    Err(AskError(what.into()))
}

impl InferenceRequest {
    /// Reads a body. `header_ms` is the value of [`DEADLINE_HEADER`], if it came.
    pub fn parse(form: Form, body: &[u8], header_ms: Option<&str>) -> Result<InferenceRequest, AskError> {
        let value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(e) => return wrong(format!("the body is not JSON: {e}")),
        };
        let Value::Object(root) = value else { return wrong("the body must be a JSON object") };
        let mut ask = InferenceRequest { id: name(&root, "id")?, ..InferenceRequest::default() };
        ask.prompt = match form {
            Form::Infer => tensor_text(&root)?,
            Form::Generate | Form::Stream => match root.get("text_input") {
                Some(Value::String(text)) => text.clone(),
                _ => return wrong("`text_input` must be a text"),
            },
        };
        let empty = Map::new();
        let parameters = match root.get("parameters") {
            None | Some(Value::Null) => &empty,
            Some(Value::Object(map)) => map,
            Some(_) => return wrong("`parameters` must be an object"),
        };
        ask.class = name(parameters, "class")?;
        ask.tenant = name(parameters, "tenant")?;
        ask.session = key(parameters, "session")?;
        ask.prefix = key(parameters, "prefix")?.filter(|p| *p != 0);
        ask.prefix_tokens = whole(parameters, "prefix_tokens")?.unwrap_or(0);
        ask.prompt_tokens = whole(parameters, "prompt_tokens")?;
        ask.max_tokens = whole(parameters, "max_tokens")?;
        ask.deadline_ms = whole(parameters, "deadline_ms")?;
        ask.resumed = match parameters.get("resumed") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(yes)) => *yes,
            Some(_) => return wrong("`resumed` must be true or false"),
        };
        if let Some(text) = header_ms {
            let Ok(ms) = text.trim().parse::<u64>() else {
                return wrong(format!("header `{DEADLINE_HEADER}` must be whole milliseconds"));
            };
            ask.deadline_ms = Some(ask.deadline_ms.map_or(ms, |own| own.min(ms)));
        }
        match ask.deadline_ms {
            Some(0) => return wrong("the deadline is 0 ms"),
            Some(ms) if ms > MAX_DEADLINE => return wrong(format!("the deadline is over {MAX_DEADLINE} ms")),
            _ => {}
        }
        if ask.max_tokens == Some(0) {
            return wrong("`max_tokens` must be at least 1");
        }
        Ok(ask)
    }
}

/// A short text; absent and null are the same.
fn name(map: &Map<String, Value>, key: &str) -> Result<Option<String>, AskError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) if s.len() <= MAX_NAME && !s.chars().any(char::is_control) => {
            Ok(Some(s.clone()).filter(|s| !s.is_empty()))
        }
        Some(_) => wrong(format!("`{key}` must be a text of at most {MAX_NAME} bytes")),
    }
}

/// A key that is a number, or a text whose hash serves as one.
fn key(map: &Map<String, Value>, key: &str) -> Result<Option<u64>, AskError> {
    match map.get(key) {
        Some(Value::String(s)) if s.len() <= MAX_NAME => Ok(Some(xxh3_64(s.as_bytes()) >> 11)),
        Some(Value::String(_)) => wrong(format!("`{key}` is longer than {MAX_NAME} bytes")),
        _ => whole(map, key),
    }
}

fn whole(map: &Map<String, Value>, key: &str) -> Result<Option<u64>, AskError> {
    match map.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(n)) => match n.as_u64().filter(|n| *n < 1 << 53) {
            Some(n) => Ok(Some(n)),
            None => wrong(format!("`{key}` must be a whole number from 0 to 2^53")),
        },
        Some(_) => wrong(format!("`{key}` must be a whole number")),
    }
}

/// The text of the one BYTES tensor of an `infer` request.
fn tensor_text(root: &Map<String, Value>) -> Result<String, AskError> {
    let Some(Value::Array(inputs)) = root.get("inputs") else { return wrong("`inputs` must be a list") };
    let [input] = &inputs[..] else { return wrong("there must be one input, the prompt") };
    if input.get("datatype").and_then(Value::as_str) != Some("BYTES") {
        return wrong("the input's `datatype` must be BYTES");
    }
    let shape = input.get("shape").and_then(Value::as_array);
    if !shape.is_some_and(|s| !s.is_empty() && s.iter().all(|n| n.as_u64() == Some(1))) {
        return wrong("the input's `shape` must be [1]");
    }
    match input.get("data").and_then(Value::as_array).map(Vec::as_slice) {
        Some([Value::String(text)]) => Ok(text.clone()),
        Some([Value::Array(inner)]) => match &inner[..] {
            [Value::String(text)] => Ok(text.clone()),
            _ => wrong("the input's `data` must hold one text"),
        },
        _ => wrong("the input's `data` must hold one text"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parameters_and_the_shorter_deadline() {
        let body =
            br#"{"id":"a","text_input":"hi","parameters":{"class":"c","session":"s","deadline_ms":900}}"#;
        let ask = InferenceRequest::parse(Form::Generate, body, Some("300")).unwrap();
        assert_eq!((ask.class.as_deref(), ask.deadline_ms), (Some("c"), Some(300)));
        assert_eq!(ask.session, InferenceRequest::parse(Form::Stream, body, None).unwrap().session);
    }

    #[test]
    fn infer_takes_one_text() {
        let body = br#"{"inputs":[{"name":"text_input","shape":[1,1],"datatype":"BYTES","data":[["x"]]}]}"#;
        assert_eq!(InferenceRequest::parse(Form::Infer, body, None).unwrap().prompt, "x");
    }

    #[test]
    fn each_bad_body_says_why() {
        for (body, why) in [
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
            let error = InferenceRequest::parse(Form::Generate, body.as_bytes(), None).unwrap_err();
            assert!(error.0.contains(why), "{body}: {error}");
        }
    }
}

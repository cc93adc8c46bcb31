//! Codec of KServe v2 (Open Inference Protocol) messages over HTTP: maps request lines to endpoints, parses
//! inference requests and writes response bodies. It does no I/O and makes no routing decisions.

#![deny(missing_docs)]

mod request;
mod response;
mod route;

pub use request::{InferenceEndpoint, InferenceRequest, InvalidRequest, DEADLINE_HEADER};
pub use response::{
    error_body, generate_response, infer_response, model_metadata, server_metadata, stream_end, stream_error,
    stream_part,
};
pub use route::{route, Route};

//! KServe v2 (Open Inference Protocol) over HTTP: which endpoint a request names, requests for
//! inference, and response bodies. No input or output, no decisions.

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

//! KServe v2 (Open Inference Protocol) over HTTP: which endpoint a request names, requests for
//! inference, and response bodies. No input or output, no decisions.

#![deny(missing_docs)]

mod request;
mod response;
mod route;

pub use request::{Form, InferenceRequest, InvalidRequest, DEADLINE_HEADER};
pub use response::{
    error, generate_answer, infer_answer, metadata, model_metadata, stream_end, stream_error, stream_part,
};
pub use route::{route, Route};

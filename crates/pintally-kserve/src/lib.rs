//! KServe v2 (Open Inference Protocol) over HTTP: which endpoint a request names, what a client asks,
//! and how answers are written. No input or output, no decisions.

mod answer;
mod ask;
mod route;

pub use answer::{
    error, generate_answer, infer_answer, metadata, model_metadata, stream_end, stream_error, stream_part,
};
pub use ask::{AskError, Form, InferenceRequest, DEADLINE_HEADER};
pub use route::{route, Route};

//! Codec of the operators' platform protocol: parses received bytes into typed messages and events for the
//! host, and encodes requests.
//!
//! It performs no input or output, reads no clock and makes no routing decisions: the event loop of
//! `pintally-platform-node` transfers the bytes.

#![deny(missing_docs)]

mod client_request;
mod configuration;
mod encode;
mod endpoint_list;
mod endpoint_watch;
mod engine_response;
mod outcome;

pub use client_request::{parse_client_request, ClientRequest, InferenceRequest, RequestError};
pub use configuration::{Configuration, ConfigurationError, Limits, RESERVED_DESCRIPTORS};
pub use encode::{encode_attempt_head, encode_release, encode_watch};
pub use endpoint_list::{EndpointList, EndpointListError, EndpointListTracker, InvalidList, ListChange};
pub use endpoint_watch::{ObjectTooLong, WatchDecoder};
pub use engine_response::{EngineResponseReader, ResponseEvent};
pub use outcome::{outcome_of_failure, outcome_of_response, Phase};

/// Maximum size of a message body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Maximum size of a message head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

//! Helpers of the tests of cells.

use pintally::interface::{Endpoint, EndpointState, EngineId};

/// An engine that serves.
pub fn member(name: &str) -> Endpoint {
    Endpoint {
        engine: EngineId(name.into()),
        zone: String::new(),
        kind: String::new(),
        rack: 0,
        state: EndpointState::Serving,
        weight: 1.0,
        started: None,
    }
}

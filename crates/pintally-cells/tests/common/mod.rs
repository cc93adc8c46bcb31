//! Helpers shared by the tests.

use pintally::interface::{Endpoint, EndpointState, EngineId};

/// The endpoint of a serving engine.
pub fn serving_endpoint(name: &str) -> Endpoint {
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

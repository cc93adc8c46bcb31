//! What tests of cells share.

use pintally::interface::{EngineId, Listing, Member};

/// An engine that serves.
pub fn member(name: &str) -> Member {
    Member {
        engine: EngineId(name.into()),
        zone: String::new(),
        kind: String::new(),
        rack: 0,
        listing: Listing::Serving,
        weight: 1.0,
        started: None,
    }
}

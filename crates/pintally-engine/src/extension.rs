//! The smallest additions to the published interface; the names are this project's own.
//!
//! | what | why |
//! | --- | --- |
//! | header [`KEY`] on a completion | the client's id of the request, by which repeats of requests with an idempotency key are dropped |
//! | header [`TENANT`] on a completion | engines may have quotas for tenants |
//! | status 409 with error type [`NO_STATE`] | there was no read state to fetch, nothing ran |
//! | header [`NOT_RUN`] on an error | the engine vouches that nothing ran |
//! | `POST` [`RELEASE_PATH`] with `{"request_id": ..}` | releases a read state; does nothing if there is none |

/// The client's id of a request, by which repeats are dropped.
pub const KEY: &str = "x-pintally-key";
/// The tenant for whom a completion is.
pub const TENANT: &str = "x-pintally-tenant";
/// On an error: the engine vouches that nothing ran.
pub const NOT_RUN: &str = "x-pintally-not-run";
/// The error type of an answer that says there is no state to fetch.
pub const NO_STATE: &str = "no_state";
/// The path to which releases of read states are posted.
pub const RELEASE_PATH: &str = "/pintally/release";

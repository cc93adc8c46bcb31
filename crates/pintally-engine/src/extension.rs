//! The additions to the published interface, kept as few as possible; their names are specific to this project.
//!
//! | addition | purpose |
//! | --- | --- |
//! | header [`KEY`] on a completion | the client's id of the request, by which engines drop repeats of requests with an idempotency key |
//! | header [`TENANT`] on a completion | engines can enforce quotas of tenants |
//! | status 409 with error type [`NO_STATE`] | there was no read state to fetch, and the request did not run |
//! | header [`NOT_RUN`] on an error | the engine guarantees that the request did not run |
//! | `POST` [`RELEASE_PATH`] with `{"request_id": ..}` | releases a read state; has no effect if there is none |

/// The header with the client's id of a request, by which repeats are dropped.
pub const KEY: &str = "x-pintally-key";
/// The header with the tenant of a completion.
pub const TENANT: &str = "x-pintally-tenant";
/// The header of an error response by which the engine guarantees that the request did not run.
pub const NOT_RUN: &str = "x-pintally-not-run";
/// The error type of a response if there is no read state to fetch.
pub const NO_STATE: &str = "no_state";
/// The path of requests to release a read state.
pub const RELEASE_PATH: &str = "/pintally/release";

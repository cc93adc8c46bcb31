//! Limits on what clients and engines may use: `(limits ...)`.

use pintally::interface::Micros;

use crate::form::{Document, Form};
use crate::ConfigError;

/// Limits on what clients and engines may use. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections at once.
    pub max_connections: usize,
    /// Requests in flight at once; more are rejected before the host sees them.
    pub max_open_requests: usize,
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of all requests' bodies together; a request that would exceed it is rejected.
    pub max_total_body_bytes: usize,
    /// Time for a head and body to come in.
    pub receive_timeout: Micros,
    /// Time for a client to take what is written to it before it counts as gone.
    pub write_timeout: Micros,
    /// Time after which an idle client connection is closed.
    pub idle_timeout: Micros,
    /// Time to connect to an engine.
    pub connect_timeout: Micros,
    /// Time after which an idle engine connection is closed.
    pub keep_alive: Micros,
    /// Attempts at one engine at once from this node.
    pub max_streams_per_engine: usize,
    /// Time for a background call: a health check, a release or a connection probe.
    pub background_call_timeout: Micros,
    /// Background calls in flight at once, each with a connection.
    pub max_background_calls: usize,
    /// A silence inside a running answer that ends it.
    pub stall_timeout: Micros,
    /// Answers leave this long before the client's time is up.
    pub answer_margin: Micros,
    /// Shutting down takes this long at most.
    pub shutdown_timeout: Micros,
}

/// Reads the form, or the defaults if it is not there.
pub(crate) fn read(root: &Form) -> Result<Limits, ConfigError> {
    match root.optional_form("limits")? {
        Some(form) => read_form(&form),
        None => read_form(&Document::parse("", "(limits)")?.only_form("limits")?),
    }
}

fn read_form(form: &Form) -> Result<Limits, ConfigError> {
    let limits = Limits {
        max_connections: form.count_or("connections", 16_384, 1, 1 << 20)? as usize,
        max_open_requests: form.count_or("held", 12_288, 1, 1 << 20)? as usize,
        max_head_bytes: form.count_or("head-bytes", 16_384, 256, 1 << 20)? as usize,
        max_body_bytes: form.count_or("body-bytes", 4 << 20, 1, 1 << 30)? as usize,
        max_total_body_bytes: form.count_or("bodies-bytes", 512 << 20, 1, 1 << 40)? as usize,
        receive_timeout: form.millis_or("receive-ms", 10_000.0, 1.0, 600_000.0)?,
        write_timeout: form.millis_or("write-ms", 10_000.0, 1.0, 600_000.0)?,
        idle_timeout: form.millis_or("idle-ms", 60_000.0, 1.0, 3_600_000.0)?,
        connect_timeout: form.millis_or("connect-ms", 250.0, 1.0, 60_000.0)?,
        keep_alive: form.millis_or("keep-alive-ms", 15_000.0, 0.0, 3_600_000.0)?,
        max_streams_per_engine: form.count_or("streams", 1024, 1, 1 << 20)? as usize,
        background_call_timeout: form.millis_or("errand-ms", 250.0, 1.0, 60_000.0)?,
        max_background_calls: form.count_or("errands", 256, 1, 16_384)? as usize,
        stall_timeout: form.millis_or("stall-ms", 30_000.0, 1.0, 3_600_000.0)?,
        answer_margin: form.millis_or("answer-margin-ms", 50.0, 0.0, 60_000.0)?,
        shutdown_timeout: form.millis_or("stop-ms", 10_000.0, 1.0, 600_000.0)?,
    };
    form.finish()?;
    Ok(limits)
}

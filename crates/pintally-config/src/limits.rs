//! Limits on connections, requests and their sizes, and timeouts: `(limits ...)`.

use pintally::interface::Micros;

use crate::form::{Document, Form};
use crate::ConfigError;

/// Limits on connections, requests and their sizes, and timeouts. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of client connections.
    pub max_connections: usize,
    /// The maximum number of requests in flight; further ones are rejected before they reach the host.
    pub max_open_requests: usize,
    /// The maximum size of the head of a request.
    pub max_head_bytes: usize,
    /// The maximum size of the body of a request.
    pub max_body_bytes: usize,
    /// The maximum total size of the bodies of all requests; a request that would exceed it is rejected.
    pub max_total_body_bytes: usize,
    /// The time in which the head and body of a request must arrive.
    pub receive_timeout: Micros,
    /// The time in which a client must accept written data; after it the client counts as disconnected.
    pub write_timeout: Micros,
    /// An idle client connection is closed after this time.
    pub idle_timeout: Micros,
    /// The time in which a connection to an engine must be established.
    pub connect_timeout: Micros,
    /// An idle connection to an engine is closed after this time.
    pub keep_alive: Micros,
    /// The maximum number of attempts in flight from this node to one engine.
    pub max_streams_per_engine: usize,
    /// The timeout of a background call: a health check, a release or a connection probe.
    pub background_call_timeout: Micros,
    /// The maximum number of background calls in flight, each of which uses a connection.
    pub max_background_calls: usize,
    /// An answer that receives no data for this long is ended.
    pub stall_timeout: Micros,
    /// An answer is sent at least this long before the client's deadline.
    pub answer_margin: Micros,
    /// The maximum duration of a shutdown.
    pub shutdown_timeout: Micros,
}

/// Reads the form; returns the defaults if there is none.
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

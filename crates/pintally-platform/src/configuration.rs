//! A node's configuration file: limits, settings, and the last known endpoint list.

use std::net::SocketAddr;

use pintally::interface::Micros;
use pintally_config::{ClassSettings, Limits as HostLimits, NodeSettings};
use pintally_wire::ParsedSettings;
use serde_json::Value;
use thiserror::Error;

use crate::endpoint_list::{EndpointList, EndpointListError};
use crate::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Minimum number of file descriptors that a node needs.
const MIN_SOCKETS: u64 = 64;
/// Maximum number of file descriptors that a node uses, however high its limit is.
const MAX_SOCKETS: u64 = 1 << 20;
/// Descriptors that are not used by client or engine connections: standard streams, epoll, listener, signals, watch, and
/// a few for files.
pub const RESERVED_DESCRIPTORS: usize = 20;
/// With less than 32 MB the budget is seven sixteenths of the memory less this, since the process itself needs most of a
/// small memory.
const SMALL_MEMORY_OFFSET_BYTES: usize = 6 << 20;
/// Minimum memory for the system's buffers of one connection. Smaller buffers cost a system call for every few bytes.
const MIN_SOCKET_BUFFER_BYTES: usize = 2_560;
/// Minimum memory that a node needs, in megabytes.
const MIN_MEMORY_MB: u64 = 16;
/// Bounds of the timeout of a release call.
const MIN_RELEASE_TIMEOUT: Micros = 50_000;
const MAX_RELEASE_TIMEOUT: Micros = 500_000;
/// Timeout of a class without a deadline.
const DEFAULT_CLIENT_TIMEOUT: Micros = 60_000_000;
/// Output limit of a request that does not state one.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Maximum time in which a request has to arrive completely.
const RECEIVE_TIMEOUT: Micros = 2_500_000;
/// Maximum time in which a client has to read some of its response.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// Maximum time for which a client connection may be idle.
const IDLE_TIMEOUT: Micros = 10_000_000;
/// A stream that makes no progress is ended before its client has waited 5 s.
const STALL_TIMEOUT: Micros = 4_600_000;
/// The final answer of a request is sent this long before the client's deadline.
const ANSWER_MARGIN: Micros = 20_000;
/// A graceful shutdown answers all accepted requests, however long that takes; the platform ends the process.
const SHUTDOWN_TIMEOUT: Micros = 3_600_000_000;

/// Why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// It is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field is not a string.
    #[error("`{0}` must be a string")]
    NotAString(&'static str),
    /// A field is not a socket address.
    #[error("`{field}` is `{value}`, expected an IP address and port")]
    NotAnAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is not an unsigned 64-bit number.
    #[error("`seed` must be an unsigned 64-bit integer, as a number or a hexadecimal string")]
    Seed,
    /// A limit is missing or not a positive number.
    #[error("`limits.{0}` is missing or not a number greater than 0")]
    Limit(&'static str),
    /// A limit is too low.
    #[error("`limits.{field}` is {value}, expected at least {min}")]
    LimitTooLow {
        /// The field in `limits`.
        field: &'static str,
        /// Its value.
        value: u64,
        /// The minimum.
        min: u64,
    },
    /// The endpoint list is invalid.
    #[error("`known`: {0}")]
    EndpointList(#[from] EndpointListError),
    /// The settings object is invalid.
    #[error(transparent)]
    Settings(#[from] pintally_wire::SettingsError),
}

/// Resource limits of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of cores, which may be a fraction.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Limits {
    fn parse(value: &Value) -> Result<Limits, ConfigurationError> {
        let cores = positive_number(value, "cores")?;
        let memory_mb = positive_number(value, "memory_mb")? as u64;
        let sockets = positive_number(value, "sockets")? as u64;
        ensure_min("sockets", sockets, MIN_SOCKETS)?;
        ensure_min("memory_mb", memory_mb, MIN_MEMORY_MB)?;
        Ok(Limits { cores, memory_mb, sockets: sockets.min(MAX_SOCKETS) as usize })
    }
}

fn positive_number(limits: &Value, field: &'static str) -> Result<f64, ConfigurationError> {
    let number = limits.get(field).and_then(Value::as_f64);
    number.filter(|n| n.is_finite() && *n > 0.0).ok_or(ConfigurationError::Limit(field))
}

fn ensure_min(field: &'static str, value: u64, min: u64) -> Result<(), ConfigurationError> {
    if value < min {
        return Err(ConfigurationError::LimitTooLow { field, value, min });
    }
    Ok(())
}

/// A node's configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The node's name.
    pub name: String,
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Resource limits.
    pub limits: Limits,
    /// The endpoint list that this node knew last (`known`).
    pub last_known_list: Option<EndpointList>,
    /// The settings object.
    pub settings: ParsedSettings,
}

impl Configuration {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// If a field is missing or invalid; the error names the first such field.
    pub fn parse(text: &str) -> Result<Configuration, ConfigurationError> {
        let root: Value = serde_json::from_str(text)?;
        let seed = parse_seed(field(&root, "seed")?);
        let limits = Limits::parse(field(&root, "limits")?)?;
        let last_known_list = match root.get("known") {
            None | Some(Value::Null) => None,
            Some(value) => Some(EndpointList::from_value(value)?),
        };
        Ok(Configuration {
            name: string(&root, "name")?.to_string(),
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            seed: seed.ok_or(ConfigurationError::Seed)?,
            limits,
            last_known_list,
            settings: pintally_wire::parse_settings(field(&root, "settings")?.clone())?,
        })
    }

    /// Maximum number of client connections. Clients usually use at most a third of all descriptors, each of
    /// their requests needs one more for its engine, and the rest is for idle clients.
    pub fn max_client_connections(&self) -> usize {
        self.usable_descriptors() / 2 - 8
    }

    /// The number of descriptors that the node uses: fewer than its limit if the memory has no room for the buffers of
    /// so many connections.
    pub fn usable_descriptors(&self) -> usize {
        let max_connections = self.memory_budget() / MIN_SOCKET_BUFFER_BYTES;
        self.limits.sockets.min(max_connections + RESERVED_DESCRIPTORS)
    }

    /// Memory for the system's buffers of one connection: all connections together have as much as the memory budget.
    pub fn socket_buffer_bytes(&self) -> usize {
        self.memory_budget() / (self.usable_descriptors() - RESERVED_DESCRIPTORS)
    }

    /// Memory for the system's buffer of a stream that waits for its client: all streams together have as much as the
    /// memory budget.
    pub fn stream_buffer_bytes(&self) -> usize {
        self.memory_budget() / self.max_client_connections()
    }

    /// Maximum memory for everything that is received and not yet answered, in bytes: a quarter of the memory, less with
    /// under 32 MB.
    pub fn memory_budget(&self) -> usize {
        let memory = (self.limits.memory_mb as usize) << 20;
        (memory / 16 * 7 - SMALL_MEMORY_OFFSET_BYTES).min(memory / 4)
    }

    /// The settings of the host.
    pub fn node_settings(&self) -> NodeSettings {
        NodeSettings {
            name: self.name.clone(),
            listen: self.listen,
            source: None,
            model: String::new(),
            engines_file: String::new(),
            engines_poll_interval: 0,
            cached_list_file: None,
            cells_file: None,
            cached_cells_file: None,
            membership: None,
            recovery: None,
            consensus: None,
            quotas: None,
            outlier_detection: None,
            failover: None,
            limits: self.host_limits(),
            core: self.settings.settings.clone(),
            classes: self.settings.transport.deadlines.iter().copied().map(class_settings).collect(),
            slots: vec![0; self.settings.settings.engine_kinds.len()],
        }
    }

    fn host_limits(&self) -> HostLimits {
        let max_connections = self.max_client_connections();
        let max_open_requests = match self.settings.transport.max_open {
            0 => max_connections,
            max => max_connections.min(max as usize),
        };
        // A release call that is not answered within this time counts as failed; the next ones
        // do not wait for it.
        let release_timeout =
            (self.settings.settings.release_deadline / 4).clamp(MIN_RELEASE_TIMEOUT, MAX_RELEASE_TIMEOUT);
        HostLimits {
            max_connections,
            max_open_requests,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            max_total_body_bytes: self.memory_budget(),
            receive_timeout: RECEIVE_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            connect_timeout: self.settings.transport.connect_timeout,
            // Idle connections are closed well before the engine may close them: a request written
            // after that is lost.
            keep_alive: self.settings.transport.keep_alive / 2,
            max_streams_per_engine: self.limits.sockets,
            background_call_timeout: release_timeout,
            max_background_calls: 1,
            stall_timeout: STALL_TIMEOUT,
            answer_margin: ANSWER_MARGIN,
            shutdown_timeout: SHUTDOWN_TIMEOUT,
        }
    }
}

fn field<'a>(root: &'a Value, name: &'static str) -> Result<&'a Value, ConfigurationError> {
    root.get(name).ok_or(ConfigurationError::Missing(name))
}

fn string<'a>(root: &'a Value, name: &'static str) -> Result<&'a str, ConfigurationError> {
    field(root, name)?.as_str().ok_or(ConfigurationError::NotAString(name))
}

fn address(root: &Value, name: &'static str) -> Result<SocketAddr, ConfigurationError> {
    let value = string(root, name)?;
    let not_an_address = |_| ConfigurationError::NotAnAddress { field: name, value: value.to_string() };
    value.parse().map_err(not_an_address)
}

/// Parses a seed: a number, or a string of hexadecimal digits.
fn parse_seed(value: &Value) -> Option<u64> {
    match value {
        Value::Number(number) => number.as_u64(),
        Value::String(text) => u64::from_str_radix(text.trim_start_matches("0x"), 16).ok(),
        _ => None,
    }
}

/// The settings of a class with this deadline; 0 means that it has none.
fn class_settings(deadline: Micros) -> ClassSettings {
    let default_client_timeout = if deadline == 0 { DEFAULT_CLIENT_TIMEOUT } else { deadline };
    ClassSettings { default_client_timeout, max_tokens: DEFAULT_MAX_TOKENS }
}

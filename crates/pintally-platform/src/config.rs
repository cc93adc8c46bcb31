//! The file that tells a node all that it is told: limits, settings, the list as it was last known.

use std::net::SocketAddr;

use pintally_config::{ClassSettings, Limits as HostLimits, NodeSettings};
use pintally_wire::NodeConfiguration;
use serde_json::Value;

use crate::discovery::List;
use crate::{MAX_BODY, MAX_HEAD};

/// What the machine lets a node use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Part of a core.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// All of it.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the machine lets it use.
    pub limits: Limits,
    /// The list as this node last had it.
    pub known: Option<List>,
    /// The settings object.
    pub told: NodeConfiguration,
}

/// The fewest descriptors and megabytes with which a node can do its work.
const MIN_SOCKETS: u64 = 64;
/// The least and the most time for the answer to a call that lets go.
const MIN_CALL: u64 = 50_000;
const MAX_CALL: u64 = 500_000;
const MIN_MEMORY: u64 = 16;

impl Configuration {
    /// Reads the file's text; an error names the field and what is wrong with it.
    pub fn parse(text: &str) -> Result<Configuration, String> {
        let root: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let field = |name: &str| root.get(name).ok_or_else(|| format!("`{name}` is missing"));
        let text_of = |name: &str| -> Result<&str, String> {
            field(name)?.as_str().ok_or_else(|| format!("`{name}` is no text"))
        };
        let address = |name: &str| -> Result<SocketAddr, String> {
            let text = text_of(name)?;
            text.parse().map_err(|_| format!("`{name}` is `{text}`, not an address and port"))
        };
        let seed = match field("seed")? {
            Value::Number(n) => n.as_u64(),
            Value::String(s) => u64::from_str_radix(s.trim_start_matches("0x"), 16).ok(),
            _ => None,
        };
        let limits = field("limits")?;
        let number = |name: &str| -> Result<f64, String> {
            let value = limits.get(name).and_then(Value::as_f64).filter(|v| v.is_finite() && *v > 0.0);
            value.ok_or_else(|| format!("`limits.{name}` is missing or not a number above 0"))
        };
        let (cores, memory_mb, sockets) =
            (number("cores")?, number("memory_mb")? as u64, number("sockets")? as u64);
        if sockets < MIN_SOCKETS {
            return Err(format!("`limits.sockets` is {sockets}, at least {MIN_SOCKETS} are needed"));
        }
        if memory_mb < MIN_MEMORY {
            return Err(format!("`limits.memory_mb` is {memory_mb}, at least {MIN_MEMORY} are needed"));
        }
        let known = match root.get("known") {
            None | Some(Value::Null) => None,
            Some(value) => Some(List::of(value).map_err(|e| format!("`known`: {e}"))?),
        };
        Ok(Configuration {
            name: text_of("name")?.to_string(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: seed.ok_or("`seed` is no hexadecimal number")?,
            limits: Limits { cores, memory_mb, sockets: sockets.min(1 << 20) as usize },
            known,
            told: pintally_wire::settings(field("settings")?.clone())?,
        })
    }

    /// Descriptors for clients' connections: usual clients hold a third of all at most, each of their
    /// requests needs one towards an engine, and the rest is for those that only sit there.
    pub fn clients_most(&self) -> usize {
        self.limits.sockets / 2 - 8
    }

    /// Bytes of all requests' bodies together.
    pub fn bodies_most(&self) -> usize {
        (self.limits.memory_mb as usize) << 18
    }

    /// What a host needs to know.
    pub fn node(&self) -> NodeSettings {
        let told = &self.told;
        let patience = |ms: u64| if ms == 0 { 60_000_000 } else { ms };
        let held = match told.transport.max_open {
            0 => self.clients_most(),
            most => self.clients_most().min(most as usize),
        };
        let limits = HostLimits {
            max_connections: self.clients_most(),
            max_open_requests: held,
            max_head_bytes: MAX_HEAD,
            max_body_bytes: MAX_BODY,
            max_total_body_bytes: self.bodies_most(),
            receive_timeout: 2_500_000,
            write_timeout: 10_000_000,
            idle_timeout: 10_000_000,
            connect_timeout: told.transport.connect_timeout,
            // Closed well before the engine may close it itself: what is written after that is lost.
            keep_alive: told.transport.keep_alive / 2,
            max_streams_per_engine: self.limits.sockets,
            // A call to let go that is not answered by then is counted as unheard; the next ones do not
            // wait for it.
            background_call_timeout: (told.settings.release_deadline / 4).clamp(MIN_CALL, MAX_CALL),
            max_background_calls: 1,
            // A stream that has gone silent has to end before its client has waited 5 s.
            stall_timeout: 4_600_000,
            answer_margin: 20_000,
            // What was taken is answered, however long that takes; the platform ends the rest.
            shutdown_timeout: 3_600_000_000,
        };
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
            limits,
            core: told.settings.clone(),
            classes: told
                .transport
                .deadlines
                .iter()
                .map(|d| ClassSettings { default_client_timeout: patience(*d), max_tokens: 256 })
                .collect(),
            slots: vec![0; told.settings.kinds.len()],
        }
    }
}

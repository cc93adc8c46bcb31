//! The memory of the node's process, and its parts as far as the node counts them, for status and log.

use serde_json::{json, Value};

use crate::node::Node;

/// Where Linux states the memory of this process.
const PROCESS_STATUS_FILE: &str = "/proc/self/status";
/// The peak is logged when it exceeds another eighth of the limit, from half of the limit on.
const LOGGED_PARTS: usize = 8;

/// Resident memory of this process.
#[derive(Clone, Copy, Debug)]
struct ProcessMemory {
    resident_bytes: usize,
    peak_bytes: usize,
}

impl ProcessMemory {
    /// Reads the system's figures; `None` if that fails.
    fn read() -> Option<ProcessMemory> {
        let text = std::fs::read_to_string(PROCESS_STATUS_FILE).ok()?;
        let field = |name: &str| {
            let value = text.lines().find_map(|line| line.strip_prefix(name))?;
            let kilobytes = value.split_whitespace().next()?.parse::<usize>().ok()?;
            Some(kilobytes << 10)
        };
        Some(ProcessMemory { resident_bytes: field("VmRSS:")?, peak_bytes: field("VmHWM:")? })
    }
}

/// The part of the memory limit whose excess was logged last, in eighths.
#[derive(Default)]
pub(crate) struct MemoryLog {
    logged_part: usize,
}

impl Node {
    fn memory_limit(&self) -> usize {
        (self.config.limits.memory_mb as usize) << 20
    }

    /// The memory of the process, and its parts.
    pub(crate) fn memory_status(&self) -> Value {
        let process = ProcessMemory::read();
        let tables = self.host.table_sizes();
        json!({
            "limit": self.memory_limit(),
            "resident": process.map(|memory| memory.resident_bytes),
            "peak": process.map(|memory| memory.peak_bytes),
            "requests": self.requests.held_bytes(),
            "clients": self.clients.held_bytes,
            "engines": self.engines.held_bytes,
            "socket_buffers_each": self.config.socket_buffer_bytes(),
            "prefixes": tables.prefixes,
            "prefix_arrivals": tables.prefix_arrivals,
            "rejected_prompts": tables.rejected_prompts,
        })
    }

    /// Logs a peak of the process's memory that has come closer to the limit, with the parts that the node counts, so
    /// that a node that is killed for its memory leaves the reason in its log.
    pub(crate) fn log_memory(&mut self) {
        let Some(memory) = ProcessMemory::read() else { return };
        let part = memory.peak_bytes * LOGGED_PARTS / self.memory_limit();
        if part < LOGGED_PARTS / 2 || part <= self.memory_log.logged_part {
            return;
        }
        self.memory_log.logged_part = part;
        tracing::warn!(peak_kb = memory.peak_bytes >> 10, resident_kb = memory.resident_bytes >> 10,
            limit_kb = self.memory_limit() >> 10, requests_bytes = self.requests.held_bytes(),
            clients_bytes = self.clients.held_bytes, engines_bytes = self.engines.held_bytes, clients = self.clients.count,
            connections = self.connections.len(), in_flight = self.host.open_requests(),
            tables = ?self.host.table_sizes(), "memory of the process is over half of its limit");
    }
}

//! The list of engines as discovery tells it, and what a line of a watch changes.

use std::net::SocketAddr;

use pintally::interface::ListUpdate;
use pintally_host::EngineEndpoint;
use pintally_wire::Entry;
use serde::Deserialize;
use serde_json::Value;

/// The most bytes of one object of a watch: indented entries take some 400 bytes each, so that 20,000
/// engines fit.
const MAX_LINE: usize = 8 << 20;

#[derive(Clone, Debug, Deserialize)]
struct Raw {
    revision: u64,
    complete: bool,
    members: Vec<RawMember>,
}

#[derive(Clone, Debug, Deserialize)]
struct RawMember {
    id: String,
    host_port: SocketAddr,
    locality: String,
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: String,
    #[serde(default)]
    size: Option<f64>,
    #[serde(default)]
    up_since_ms: Option<f64>,
}

/// A version of the list, or what changed with it.
#[derive(Clone, Debug)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    pub complete: bool,
    /// Its entries.
    pub members: Vec<EngineEndpoint>,
}

impl List {
    /// Reads a list; an error names what is wrong.
    pub fn of(value: &Value) -> Result<List, String> {
        Raw::deserialize(value).map_err(|e| e.to_string()).and_then(List::from_raw)
    }

    /// Reads a line of a watch.
    pub fn parse(line: &[u8]) -> Result<List, String> {
        serde_json::from_slice(line).map_err(|e| e.to_string()).and_then(List::from_raw)
    }

    fn from_raw(raw: Raw) -> Result<List, String> {
        let mut seen = std::collections::BTreeSet::new();
        let mut members = Vec::with_capacity(raw.members.len());
        for m in raw.members {
            if m.id.is_empty() || !seen.insert(m.id.clone()) {
                return Err(format!("engine `{}` is listed twice or has no name", m.id));
            }
            let weight = m.size.filter(|w| w.is_finite() && *w > 0.0);
            let entry = Entry {
                engine: m.id,
                zone: m.locality,
                kind: m.flavor,
                rack: m.cell,
                state: m.phase,
                weight,
                // The node's clock counts from the same beginning as the platform's.
                started: m.up_since_ms.filter(|ms| ms.is_finite()).map(|ms| (ms.max(0.0) * 1e3) as u64),
            };
            members.push(EngineEndpoint {
                endpoint: entry.member(),
                address: m.host_port,
                cell: None,
                started_unix_ms: None,
            });
        }
        Ok(List { revision: raw.revision, complete: raw.complete, members })
    }
}

/// What became of a list.
#[derive(Debug)]
pub enum Taken {
    /// It tells nothing new.
    Same,
    /// It is older than what holds.
    Older,
    /// It contradicts itself.
    InvalidConfiguration(&'static str),
    /// These entries are to be taken.
    Holds(ListUpdate, Vec<EngineEndpoint>),
}

/// The version that holds.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    revision: Option<u64>,
}

impl Follower {
    /// The version that holds, from which a watch goes on.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Takes in a list.
    pub fn take(&mut self, list: List) -> Taken {
        // Guards against a list that goes back in time: a drain must not be undone.
        if self.revision.is_some_and(|r| list.revision < r) {
            return Taken::Older;
        }
        if list.complete && list.members.is_empty() {
            return Taken::InvalidConfiguration("a whole list without an engine");
        }
        let first = self.revision.is_none();
        if !list.complete && first {
            return Taken::InvalidConfiguration("changes to a list that was never told");
        }
        if !list.complete && (list.members.is_empty() || self.revision == Some(list.revision)) {
            self.revision = Some(list.revision);
            return Taken::Same;
        }
        self.revision = Some(list.revision);
        let form = if list.complete { ListUpdate::Full } else { ListUpdate::Delta };
        Taken::Holds(form, list.members)
    }
}

/// Cuts a watch's body into its objects. Each stands on a line of its own, or, where the list comes
/// indented, over as many lines as it takes; every byte is looked at once, however small the pieces.
#[derive(Default)]
pub struct Lines {
    buffer: Vec<u8>,
    /// How much of it has been looked at, how many braces and brackets are open there, and whether that
    /// is inside a text, or behind the backslash of one.
    seen: usize,
    open: u32,
    text: bool,
    escaped: bool,
}

impl Lines {
    /// Takes in bytes; an object over the bound is an error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        if self.buffer.len() > MAX_LINE {
            return Err(format!("an object of the list is longer than {MAX_LINE} bytes"));
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next object, or whatever else stands on a line.
    pub fn next_line(&mut self) -> Option<Vec<u8>> {
        while let Some(byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            if self.escaped {
                self.escaped = false;
                continue;
            }
            match byte {
                // A line that is no object ends as a line; inside an object nothing hangs on lines.
                b'\n' if self.open == 0 => {
                    self.text = false;
                    if let Some(line) = self.cut() {
                        return Some(line);
                    }
                }
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.open += 1,
                b'}' | b']' if !self.text => {
                    self.open = self.open.saturating_sub(1);
                    if self.open == 0 {
                        return self.cut();
                    }
                }
                _ => {}
            }
        }
        None
    }

    /// Takes out what has been looked at, unless it is empty.
    fn cut(&mut self) -> Option<Vec<u8>> {
        let cut: Vec<u8> = self.buffer.drain(..std::mem::take(&mut self.seen)).collect();
        let cut = cut.trim_ascii();
        (!cut.is_empty()).then(|| cut.to_vec())
    }
}

//! The list of engines as a file: read whole or not at all, and written the same way.

use std::fmt::Write;
use std::net::SocketAddr;

use pintally::interface::{Endpoint, EndpointState, EngineId, Micros};

use crate::form::{quoted, Document};
use crate::ConfigError;

/// A list of engines with its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineList {
    /// Grows with each change.
    pub version: u64,
    /// The engines, in the file's order.
    pub engines: Vec<EngineEntry>,
}

/// One engine of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// Its id: a replaced engine comes with a new one.
    pub id: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind, as the settings name it.
    pub kind: String,
    /// The rack whose link it shares.
    pub rack: u64,
    /// The cell that it belongs to; spare if none.
    pub cell: Option<String>,
    /// Whether it takes work.
    pub state: EndpointState,
    /// Its registered weight.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; `None` if long ago.
    pub started_unix_ms: Option<u64>,
}

impl EngineList {
    /// Reads a list. `file` is used in errors only.
    pub fn parse(file: &str, text: &str) -> Result<EngineList, ConfigError> {
        let document = Document::parse(file, text)?;
        let root = document.only("engines")?;
        let version = root.need("version")?;
        let mut list = EngineList { version: version.count(0, 1 << 52)?, engines: Vec::new() };
        version.finish()?;
        let mut seen = std::collections::BTreeSet::new();
        for form in root.all("engine")? {
            let id = form.text()?;
            if id.is_empty() || id.len() > 256 {
                return Err(form.error("an engine's id must have 1 to 256 bytes"));
            }
            if !seen.insert(id.clone()) {
                return Err(form.error(format!("engine `{id}` is listed twice")));
            }
            let address = form.text_or("address", "")?;
            let address = address
                .parse()
                .map_err(|_| form.error(format!("`address` is `{address}`, not an address and port")))?;
            let listing = match form.text_or("state", "serving")?.as_str() {
                "serving" => EndpointState::Serving,
                "draining" => EndpointState::Draining,
                "gone" => EndpointState::Gone,
                other => {
                    return Err(form.error(format!("`state` is `{other}`, not serving, draining or gone")))
                }
            };
            let cell = Some(form.text_or("cell", "")?).filter(|c| !c.is_empty());
            let started = form.count_or("started-unix-ms", 0, 0, 1 << 52)?;
            list.engines.push(EngineEntry {
                id: EngineId(id.into()),
                address,
                zone: form.text_or("zone", "")?,
                kind: form.text_or("kind", "")?,
                rack: form.count_or("rack", 0, 0, 1 << 52)?,
                cell,
                state: listing,
                weight: form.number_or("weight", 1.0, 0.0, 1e9)?,
                started_unix_ms: (started > 0).then_some(started),
            });
            form.finish()?;
        }
        root.finish()?;
        Ok(list)
    }

    /// The list as a file's text; [`EngineList::parse`] reads it back.
    pub fn render(&self) -> String {
        let mut out = format!("(engines (version {})", self.version);
        for e in &self.engines {
            let state = match e.state {
                EndpointState::Serving => "serving",
                EndpointState::Draining => "draining",
                EndpointState::Gone => "gone",
            };
            let _ = write!(
                out,
                "\n  (engine {} (address \"{}\") (zone {}) (kind {}) (rack {}) (state {state}) (weight {})",
                quoted(&e.id.0),
                e.address,
                quoted(&e.zone),
                quoted(&e.kind),
                e.rack,
                e.weight
            );
            if let Some(cell) = &e.cell {
                let _ = write!(out, " (cell {})", quoted(cell));
            }
            if let Some(at) = e.started_unix_ms {
                let _ = write!(out, " (started-unix-ms {at})");
            }
            out.push(')');
        }
        out.push_str(")\n");
        out
    }
}

impl EngineEntry {
    /// The entry as the core takes it; `clock` turns Unix milliseconds into the node's time.
    pub fn member(&self, clock: impl Fn(u64) -> Micros) -> Endpoint {
        Endpoint {
            engine: self.id.clone(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            rack: self.rack,
            state: self.state,
            weight: self.weight,
            started: self.started_unix_ms.map(clock).filter(|at| *at > 0),
        }
    }
}

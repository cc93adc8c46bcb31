//! The file format of the endpoint list. A file with an error is rejected as a whole.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;

use pintally::interface::{Endpoint, EndpointState, EngineId, Micros};

use crate::form::{quoted, Document, Form};
use crate::ConfigError;

/// The maximum integer in a file: numbers are read as floating point, which represents integers up to this exactly.
const MAX_EXACT_INTEGER: u64 = 1 << 52;
/// The maximum length of the id of an engine.
const MAX_ENGINE_ID_BYTES: usize = 256;
/// The maximum registered weight of an engine.
const MAX_WEIGHT: f64 = 1e9;

/// An endpoint list with its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineList {
    /// The version, which increases with each change.
    pub version: u64,
    /// The engines, in the file's order.
    pub engines: Vec<EngineEntry>,
}

/// An engine of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineEntry {
    /// The id; the replacement of an engine has a new id.
    pub id: EngineId,
    /// The address and port on which the engine listens.
    pub address: SocketAddr,
    /// The zone.
    pub zone: String,
    /// The name of the engine kind in the settings.
    pub kind: String,
    /// The rack, whose network link the engine shares with the other engines of the rack.
    pub rack: u64,
    /// The cell; an engine without a cell is a spare.
    pub cell: Option<String>,
    /// Whether the engine accepts new requests.
    pub state: EndpointState,
    /// The registered weight; 0 if unknown.
    pub weight: f64,
    /// The time of its last start, in milliseconds since the Unix epoch; `None` if unknown or long ago.
    pub started_unix_ms: Option<u64>,
}

impl EngineList {
    /// Reads a list. `file` is the name of the file in errors.
    ///
    /// # Errors
    ///
    /// Fails at the first error, with its position.
    pub fn parse(file: &str, text: &str) -> Result<EngineList, ConfigError> {
        let document = Document::parse(file, text)?;
        let root = document.only_form("engines")?;
        let version = root.required_form("version")?;
        let mut list = EngineList { version: version.count(0, MAX_EXACT_INTEGER)?, engines: Vec::new() };
        version.finish()?;
        let mut seen = BTreeSet::new();
        for form in root.forms_named("engine")? {
            let id = engine_id(&form)?;
            if !seen.insert(id.clone()) {
                return Err(form.error(format!("`engine`: the id `{id}` must not be listed twice")));
            }
            list.engines.push(EngineEntry::read(&form, id)?);
            form.finish()?;
        }
        root.finish()?;
        Ok(list)
    }

    /// The text of a file with this list, which [`EngineList::parse`] can read.
    pub fn render(&self) -> String {
        let mut out = format!("(engines (version {})", self.version);
        for entry in &self.engines {
            let state = state_name(entry.state);
            let _ = write!(
                out,
                "\n  (engine {} (address \"{}\") (zone {}) (kind {}) (rack {}) (state {state})",
                quoted(&entry.id.0),
                entry.address,
                quoted(&entry.zone),
                quoted(&entry.kind),
                entry.rack
            );
            if entry.weight > 0.0 {
                let _ = write!(out, " (weight {})", entry.weight);
            }
            if let Some(cell) = &entry.cell {
                let _ = write!(out, " (cell {})", quoted(cell));
            }
            if let Some(started_unix_ms) = entry.started_unix_ms {
                let _ = write!(out, " (started-unix-ms {started_unix_ms})");
            }
            out.push(')');
        }
        out.push_str(")\n");
        out
    }
}

impl EngineEntry {
    /// Reads the keys of the form; `id` has already been read.
    fn read(form: &Form, id: String) -> Result<EngineEntry, ConfigError> {
        let address = form.text_or("address", "")?;
        let address = address.parse().map_err(|_| {
            form.error(format!("`engine.address`: must be an address and port, not `{address}`"))
        })?;
        let state = engine_state(form)?;
        let cell = Some(form.text_or("cell", "")?).filter(|cell| !cell.is_empty());
        let started_unix_ms = form.count_or("started-unix-ms", 0, 0, MAX_EXACT_INTEGER)?;
        Ok(EngineEntry {
            id: EngineId(id.into()),
            address,
            zone: form.text_or("zone", "")?,
            kind: form.text_or("kind", "")?,
            rack: form.count_or("rack", 0, 0, MAX_EXACT_INTEGER)?,
            cell,
            state,
            weight: form.number_or("weight", 0.0, 0.0, MAX_WEIGHT)?,
            started_unix_ms: (started_unix_ms > 0).then_some(started_unix_ms),
        })
    }

    /// The entry in the form that the core uses. `clock` converts milliseconds since the Unix epoch to the node's
    /// time.
    pub fn to_endpoint(&self, clock: impl Fn(u64) -> Micros) -> Endpoint {
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

fn engine_id(form: &Form) -> Result<String, ConfigError> {
    let id = form.text()?;
    if id.is_empty() || id.len() > MAX_ENGINE_ID_BYTES {
        return Err(form.error(format!("`engine`: the id must have 1 to {MAX_ENGINE_ID_BYTES} bytes")));
    }
    Ok(id)
}

fn engine_state(form: &Form) -> Result<EndpointState, ConfigError> {
    match form.text_or("state", "serving")?.as_str() {
        "serving" => Ok(EndpointState::Serving),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Gone),
        other => Err(form.error(format!("`engine.state`: must be serving, draining or gone, not `{other}`"))),
    }
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "gone",
    }
}

//! The endpoint list as a file: read completely or not at all, and written the same way.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;

use pintally::interface::{Endpoint, EndpointState, EngineId, Micros};

use crate::form::{quoted, Document, Form};
use crate::ConfigError;

/// The largest integer that files hold: numbers are read as floating point, which is exact up to here.
const MAX_EXACT_INTEGER: u64 = 1 << 52;
/// The longest id of an engine.
const MAX_ID_BYTES: usize = 256;
/// The largest registered weight.
const MAX_WEIGHT: f64 = 1e9;

/// An endpoint list with its version.
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
    /// The cell that it belongs to; without one it is spare.
    pub cell: Option<String>,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Its registered weight.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; `None` if long ago.
    pub started_unix_ms: Option<u64>,
}

impl EngineList {
    /// Reads a list. `file` is used in errors only.
    ///
    /// # Errors
    ///
    /// The first mistake in the text, with its position.
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
                return Err(form.error(format!("engine `{id}` is listed twice")));
            }
            list.engines.push(EngineEntry::read(&form, id)?);
            form.finish()?;
        }
        root.finish()?;
        Ok(list)
    }

    /// The list as a file's text; [`EngineList::parse`] reads it back.
    pub fn render(&self) -> String {
        let mut out = format!("(engines (version {})", self.version);
        for e in &self.engines {
            let state = state_name(e.state);
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
    /// Reads the form behind the engine's id.
    fn read(form: &Form, id: String) -> Result<EngineEntry, ConfigError> {
        let address = form.text_or("address", "")?;
        let address = address
            .parse()
            .map_err(|_| form.error(format!("`address` is `{address}`, not an address and port")))?;
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
            weight: form.number_or("weight", 1.0, 0.0, MAX_WEIGHT)?,
            started_unix_ms: (started_unix_ms > 0).then_some(started_unix_ms),
        })
    }

    /// The entry as the core takes it; `clock` turns Unix milliseconds into the node's time.
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
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(form.error(format!("an engine's id must have 1 to {MAX_ID_BYTES} bytes")));
    }
    Ok(id)
}

fn engine_state(form: &Form) -> Result<EndpointState, ConfigError> {
    match form.text_or("state", "serving")?.as_str() {
        "serving" => Ok(EndpointState::Serving),
        "draining" => Ok(EndpointState::Draining),
        "gone" => Ok(EndpointState::Gone),
        other => Err(form.error(format!("`state` is `{other}`, not serving, draining or gone"))),
    }
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "gone",
    }
}

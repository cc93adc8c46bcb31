//! Labels in events and endpoint lists: classes, tenants, fields of load reports, states of engines.

use std::collections::HashMap;

use pintally::interface::{Endpoint, EndpointState, EngineId, LoadReport, Micros};

/// Maps the labels in events to indices in the settings.
#[derive(Clone, Debug, Default)]
pub struct LabelIndex {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    /// The labels of the columns of load reports that are sent as rows.
    load_fields: Vec<String>,
}

impl LabelIndex {
    pub(crate) fn new<'a>(
        classes: impl Iterator<Item = &'a String>,
        tenants: impl Iterator<Item = &'a String>,
        load_fields: Vec<String>,
    ) -> LabelIndex {
        LabelIndex { classes: by_name(classes), tenants: by_name(tenants), load_fields }
    }

    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }

    /// Parses a load report that is sent as a row of values, in the order of `fields` in the settings.
    pub fn load_from_row(&self, row: &[Option<f64>]) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in self.load_fields.iter().zip(row) {
            set_field(&mut load, name, *value);
        }
        load
    }

    /// Parses a load report that is sent as `name=value` pairs; `None` if any pair is malformed or no
    /// known field is reported.
    pub fn load_from_pairs(&self, text: &str) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value: f64 = value.trim().parse().ok()?;
            if !value.is_finite() || value < 0.0 {
                return None;
            }
            set_field(&mut load, name.trim(), Some(value));
        }
        (load != LoadReport::default()).then_some(load)
    }
}

/// The position of each name.
fn by_name<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    names.enumerate().map(|(index, name)| (name.clone(), index)).collect()
}

/// Sets the field of a load report that has this label; unknown labels are ignored.
fn set_field(load: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "busy" | "util" => load.slots = value,
        "q" | "queue" => load.queue = value,
        "x0" => load.memory = value,
        "x1" => load.backlog = value,
        _ => {}
    }
}

/// Maps the label of an engine's state in an endpoint list; an unknown label takes the engine out of service.
pub fn endpoint_state(label: &str) -> EndpointState {
    match label {
        "SERVING" | "up" => EndpointState::Serving,
        "DRAINING" | "draining" => EndpointState::Draining,
        _ => EndpointState::Gone,
    }
}

/// An entry of an endpoint list, independent of the field names in its source.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The engine's id.
    pub engine: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its rack.
    pub rack: u64,
    /// The label of its state.
    pub state: String,
    /// Its registered weight, if it has one.
    pub weight: Option<f64>,
    /// Its last start time; 0 or `None` if it is unknown or long ago.
    pub started: Option<Micros>,
}

impl EndpointEntry {
    /// Converts the entry to the type of the decision core.
    pub fn into_endpoint(self) -> Endpoint {
        Endpoint {
            engine: EngineId(self.engine.into()),
            zone: self.zone,
            kind: self.kind,
            rack: self.rack,
            state: endpoint_state(&self.state),
            weight: self.weight.unwrap_or(0.0),
            started: self.started.filter(|at| *at > 0),
        }
    }
}

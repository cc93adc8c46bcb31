//! LabelIndex and labels of events: classes, tenants, load fields, states of engines.

use std::collections::HashMap;

use pintally::interface::{Endpoint, EndpointState, EngineId, LoadReport, Micros};

/// What turns the names of an instance's events into indices.
#[derive(Clone, Debug, Default)]
pub struct LabelIndex {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    fields: Vec<String>,
}

impl LabelIndex {
    pub(crate) fn new<'a>(
        classes: impl Iterator<Item = &'a String>,
        tenants: impl Iterator<Item = &'a String>,
        fields: Vec<String>,
    ) -> LabelIndex {
        let index = |names: &mut dyn Iterator<Item = &'a String>| {
            names.enumerate().map(|(i, n)| (n.clone(), i)).collect()
        };
        let (mut classes, mut tenants) = (classes, tenants);
        LabelIndex { classes: index(&mut classes), tenants: index(&mut tenants), fields }
    }

    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }

    /// A load report as a row, in the order of the settings' fields.
    pub fn load(&self, row: &[Option<f64>]) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in self.fields.iter().zip(row) {
            put(&mut load, name, *value);
        }
        load
    }

    /// A load report as `name=value` pairs; `None` if any of it cannot be read or nothing is told.
    pub fn load_of_pairs(&self, text: &str) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value: f64 = value.trim().parse().ok()?;
            if !value.is_finite() || value < 0.0 {
                return None;
            }
            put(&mut load, name.trim(), Some(value));
        }
        (load != LoadReport::default()).then_some(load)
    }
}

fn put(load: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "busy" | "util" => load.slots = value,
        "q" | "queue" => load.queue = value,
        "x0" => load.memory = value,
        "x1" => load.backlog = value,
        _ => {}
    }
}

/// What a list's word for an engine's state means; an unknown word takes it out of service.
pub fn listing(word: &str) -> EndpointState {
    match word {
        "SERVING" | "up" => EndpointState::Serving,
        "DRAINING" | "draining" => EndpointState::Draining,
        _ => EndpointState::Gone,
    }
}

/// An entry of a list of engines, whatever names its fields have on the way.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The engine's id.
    pub engine: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its rack.
    pub rack: u64,
    /// The word for its state.
    pub state: String,
    /// Its registered weight, if told.
    pub weight: Option<f64>,
    /// Its last start, 0 or absent if long ago.
    pub started: Option<Micros>,
}

impl Entry {
    /// The entry as the core takes it.
    pub fn member(self) -> Endpoint {
        Endpoint {
            engine: EngineId(self.engine.into()),
            zone: self.zone,
            kind: self.kind,
            rack: self.rack,
            state: listing(&self.state),
            weight: self.weight.unwrap_or(1.0),
            started: self.started.filter(|at| *at > 0),
        }
    }
}

//! The racks of the endpoint list.

use std::collections::BTreeMap;

use super::{Engine, MovingMean};
use crate::interface::*;

/// A rack with its engines and its link to other racks.
#[derive(Default)]
pub(crate) struct Rack {
    /// The number of serving engines that only read.
    pub(crate) readers: f64,
    /// The number of serving engines that write.
    pub(crate) writers: f64,
    /// Moving mean of the wait for a first token when a state leaves the rack over its link, in microseconds.
    pub(crate) outbound_wait: MovingMean,
    /// The number of transfers in that mean since it was last reset.
    pub(crate) transfers: u32,
}

/// Recounts the serving engines of each rack.
pub(crate) fn update_racks(racks: &mut BTreeMap<u64, Rack>, engines: &[Engine]) {
    for rack in racks.values_mut() {
        rack.readers = 0.0;
        rack.writers = 0.0;
    }
    for engine in engines.iter().filter(|engine| engine.is_serving()) {
        let rack = racks.entry(engine.rack).or_default();
        rack.readers += f64::from(engine.role == Role::Reader);
        rack.writers += f64::from(engine.role != Role::Reader);
    }
}

//! The racks of the endpoint list and the relative weights of their engines.

use std::collections::BTreeMap;

use super::{AttemptKind, Engine, MovingMean};
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

/// The registered weights of the serving engines of one role.
#[derive(Clone, Copy, Default)]
struct RoleWeights {
    sum: f64,
    engines: f64,
}

/// Recounts the serving engines of each rack, and divides each engine's weight by the mean of its role.
pub(crate) fn update_racks_and_weights(racks: &mut BTreeMap<u64, Rack>, engines: &mut [Engine]) {
    for rack in racks.values_mut() {
        rack.readers = 0.0;
        rack.writers = 0.0;
    }
    let mut weights = [RoleWeights::default(); 3];
    for engine in engines.iter().filter(|engine| engine.is_serving()) {
        let rack = racks.entry(engine.rack).or_default();
        rack.readers += f64::from(engine.role == Role::Reader);
        rack.writers += f64::from(engine.role != Role::Reader);
        let role_weights = &mut weights[AttemptKind::of_role(engine.role).index()];
        role_weights.sum += engine.registered_weight;
        role_weights.engines += 1.0;
    }
    for engine in engines {
        let RoleWeights { sum, engines } = weights[AttemptKind::of_role(engine.role).index()];
        engine.relative_weight = if sum > 0.0 { engine.registered_weight * engines / sum } else { 1.0 };
    }
}

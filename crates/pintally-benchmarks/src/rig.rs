//! The test setup that measurements share: engines so fast that the node dominates the measured times.

use std::net::SocketAddr;
use std::time::Duration;

use pintally::interface::Role;
use pintally_mock_engine::EngineSpec;
use pintally_scenario::Rig;

use crate::load::Target;
use crate::{error, MeasureError};

const SETTINGS: &str = r#"(pintally
  (node (name "n0") (engines "set by the rig"))
  (rules (attempts 6) (warm-after-ms 0) (tip-window-ms 1))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 5000))
  (kind "prefill" (role reader) (slots 512) (memory-tokens 50000000))
  (kind "decode" (role writer) (slots 2048) (memory-tokens 50000000)))"#;

/// Starts a node with this many engines, a third of them readers.
pub(crate) fn start_rig(engines: usize) -> Result<Rig, MeasureError> {
    let readers = (engines / 3).max(1);
    let spec = |i: usize| {
        let (id, role) =
            if i < readers { (format!("r{i}"), Role::Reader) } else { (format!("w{i}"), Role::Writer) };
        EngineSpec {
            slots: 2048,
            queue: 1 << 16,
            memory_tokens: 50_000_000,
            read_tokens_per_s: 1e9,
            link_tokens_per_s: 1e9,
            token_gap: Duration::from_micros(10),
            ..Rig::spec(&id, role)
        }
    };
    Rig::new(SETTINGS, (0..engines).map(spec).collect()).map_err(error)
}

/// The target that sends requests through the node, and the one that sends them directly to the engines.
pub(crate) fn targets(rig: &Rig) -> (Target, Target) {
    let engines = rig.fleet.engines();
    let addresses = |kind: &str| -> Vec<SocketAddr> {
        engines.iter().filter(|e| e.spec.kind == kind).map(|e| e.address).collect()
    };
    (Target::Node(rig.address()), Target::Direct(addresses("prefill"), addresses("decode")))
}

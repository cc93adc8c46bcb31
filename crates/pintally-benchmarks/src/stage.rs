//! The rig that measurements share: fast engines, so that what is seen is the node.

use std::net::SocketAddr;
use std::time::Duration;

use pintally::interface::Role;
use pintally_mock_engine::EngineSpec;
use pintally_scenario::Rig;

use crate::load::Goal;
use crate::{error, MeasureError};

const SETTINGS: &str = r#"(pintally
  (node (name "n0") (engines "set by the rig"))
  (rules (attempts 6) (warm-after-ms 0) (tip-window-ms 1))
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 5000))
  (kind "prefill" (role reader) (slots 512) (memory-tokens 50000000))
  (kind "decode" (role writer) (slots 2048) (memory-tokens 50000000)))"#;

/// A node with so many engines, a third of them readers.
pub(crate) fn stage(engines: usize) -> Result<Rig, MeasureError> {
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

/// The node, and the engines themselves.
pub(crate) fn goals(rig: &Rig) -> (Goal, Goal) {
    let engines = rig.fleet.engines();
    let of = |kind: &str| -> Vec<SocketAddr> {
        engines.iter().filter(|e| e.spec.kind == kind).map(|e| e.address).collect()
    };
    (Goal::Node(rig.address()), Goal::Direct(of("prefill"), of("decode")))
}

//! Golden text of the cells file: later builds must parse what earlier ones have written, cached copies included.

use pintally::interface::{DiscoveryMode, LoadReporting, Settings, Tenant, WeightKind};
use pintally_cells::{CellSpec, CellsFile, HomeCells, MovePhase, RequiredEngines, TenantHome, TenantMove};

const GOLDEN: &str = include_str!("golden/cells.txt");

fn core_settings() -> Settings {
    let tenant = |name: &str| Tenant { name: name.to_string(), quota_per_s: 0.0 };
    Settings {
        zone: String::new(),
        node_index: 0,
        node_count: 1,
        classes: Vec::new(),
        tenants: ["t", "u", "v\"w", "x"].map(tenant).to_vec(),
        engine_kinds: Vec::new(),
        discovery_mode: DiscoveryMode::Push,
        load_reporting: LoadReporting::Inline,
        weight_kind: WeightKind::Nominal,
        writers_read_prompts: false,
        cancellation_allowed: true,
        health_checks_allowed: true,
        health_check_cost: 0.0,
        clients_honour_retry_after: true,
        max_retry_after: 1_000_000,
        max_attempts: 6,
        slow_start_min_capacity: 0.3,
        slow_start_duration: 0,
        overload_factor: 2.5,
        overload_window: 1,
        connect_timeout: 0,
        release_deadline: 500_000,
        max_discovery_poll_interval: 0,
        remembered_service_rates: [0.0; 3],
    }
}

fn cell(name: &str, weight: f64, readers: usize, fallback: Option<&str>) -> CellSpec {
    let required_engines = RequiredEngines { readers, writers: 3 };
    CellSpec { name: name.into(), weight, required_engines, fallback: fallback.map(Into::into) }
}

fn tenant_move(tenant: &str, phase: MovePhase) -> TenantMove {
    TenantMove { tenant: tenant.into(), to: vec!["b".into(), "c d".into()], over_ms: 1_000, phase }
}

fn file() -> CellsFile {
    let home = |tenant: &str, home| TenantHome { tenant: tenant.into(), home };
    CellsFile {
        version: 300,
        cells: vec![cell("a", 1.0, 2, Some("b")), cell("b", 0.25, 1, None), cell("c d", 0.0, 100, None)],
        tenants: vec![
            home("t", HomeCells::Pinned(vec!["a".into(), "b".into()])),
            home("v\"w", HomeCells::Shards(2)),
        ],
        moves: vec![
            tenant_move("t", MovePhase::Prepare),
            tenant_move("u", MovePhase::Both { since: 5_000 }),
            tenant_move("v\"w", MovePhase::Done { since: 5_000 }),
            tenant_move("x", MovePhase::Back { since: 5_000, at: 6_000 }),
        ],
    }
}

#[test]
fn cells_file_text_is_stable() {
    assert_eq!(file().render(), GOLDEN);
    assert_eq!(CellsFile::parse("cells", GOLDEN, &core_settings()).unwrap(), file());
}

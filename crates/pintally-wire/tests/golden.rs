//! A golden settings object with every key and value, and the labels of load reports and endpoint lists.

use pintally::interface::{
    DiscoveryMode, EndpointState, Idempotency, IdempotencyScope, LoadReporting, Role, WeightKind,
};
use pintally_wire::{endpoint_state, parse_settings, ParsedSettings};
use serde_json::Value;

const SETTINGS: &str = include_str!("golden/settings.json");

fn read(json: &str) -> ParsedSettings {
    parse_settings(serde_json::from_str::<Value>(json).expect("JSON")).expect("valid settings")
}

#[test]
fn settings_object() {
    let s = read(SETTINGS).settings;
    assert_eq!((s.node_index, s.node_count, s.zone.as_str()), (1, 3, "a"));
    assert!(matches!(
        (s.discovery_mode, s.load_reporting),
        (DiscoveryMode::Subscribe, LoadReporting::OnHealthCheck)
    ));
    assert_eq!(
        (
            s.weight_kind == WeightKind::Off,
            s.writers_read_prompts,
            s.cancellation_allowed,
            s.health_checks_allowed
        ),
        (true, true, true, true)
    );
    assert_eq!(
        (s.health_check_cost, s.clients_honour_retry_after, s.max_retry_after),
        (0.25, true, 1_500_000)
    );
    assert_eq!((s.max_attempts, s.slow_start_min_capacity, s.slow_start_duration), (5, 0.3, 14_000_000));
    assert_eq!((s.overload_factor, s.overload_window), (2.5, 1_500_000));
    assert_eq!(
        (s.connect_timeout, s.release_deadline, s.max_discovery_poll_interval),
        (200_000, 400_000, 700_000)
    );
    assert_eq!(s.remembered_service_rates, [0.0; 3]);
    let tenants: Vec<_> = s.tenants.iter().map(|t| (t.name.as_str(), t.quota_per_s)).collect();
    assert_eq!(tenants, [("acme", 12.5)]);
    let kinds: Vec<_> = s.engine_kinds.iter().map(|k| (k.name.as_str(), k.memory_tokens)).collect();
    assert_eq!(kinds, [("m1", 200_000), ("m2", 100_000), ("m3", 0)]);
    let roles: Vec<_> = s.engine_kinds.iter().map(|k| k.role).collect();
    assert!(matches!(roles[..], [Role::Reader, Role::Writer, Role::Mixed]));
    let names: Vec<_> = s.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(names, ["chat", "once", "all", "zone", "cell"]);
    let effects: Vec<&Idempotency> = s.classes.iter().map(|c| &c.idempotency).collect();
    assert!(matches!(effects[0], Idempotency::Idempotent));
    assert!(matches!(effects[1], Idempotency::NotIdempotent));
    assert!(matches!(effects[2], Idempotency::WithKey(IdempotencyScope::All, 9_100_000)));
    assert!(matches!(effects[3], Idempotency::WithKey(IdempotencyScope::Zone, 9_200_000)));
    assert!(matches!(effects[4], Idempotency::WithKey(IdempotencyScope::Rack, 9_300_000)));
    let chat = &s.classes[0];
    assert_eq!(
        (chat.latency_objective, chat.latency_objective_per_1000_tokens, chat.token_interval_objective),
        (1_000_000, 40_000, 60_000)
    );
    assert_eq!((chat.priority_weight, chat.late_weight_fraction), (2.0, 0.2));
}

#[test]
fn transport_settings() {
    let transport = read(SETTINGS).transport;
    assert_eq!(transport.deadlines, [5_000_000, 0, 0, 0, 0]);
    assert_eq!((transport.connect_timeout, transport.keep_alive), (200_000, 12_000_000));
    assert_eq!((transport.drain_grace, transport.max_open), (800_000, 40));
}

#[test]
fn alternative_values() {
    let json = SETTINGS.replace("\"on_request\"", "\"pushed\"").replace("\"on_probe\"", "\"inline\"");
    let s = read(&json.replace("\"off\"", "\"nominal\"")).settings;
    assert!(matches!((s.discovery_mode, s.load_reporting), (DiscoveryMode::Push, LoadReporting::Inline)));
    assert_eq!(s.weight_kind, WeightKind::Nominal);
    assert!(matches!(
        read(&SETTINGS.replace("\"on_probe\"", "\"none\"")).settings.load_reporting,
        LoadReporting::Off
    ));
}

#[test]
fn labels_of_load_reports_and_states() {
    let labels = read(SETTINGS).labels;
    assert_eq!((labels.class("cell"), labels.class("none")), (Some(4), None));
    assert_eq!((labels.tenant("acme"), labels.tenant("none")), (Some(0), None));
    let row = labels.load_from_row(&[Some(0.5), Some(2.0), Some(0.25), Some(3.0), Some(9.0)]);
    let pairs = labels.load_from_pairs("busy=0.5, q=2,x0=0.25,x1=3,other=9").expect("a report");
    let more = labels.load_from_pairs("util=0.5,queue=2,x0=0.25,x1=3").expect("a report");
    for load in [row, pairs, more] {
        assert_eq!((load.slots, load.queue), (Some(0.5), Some(2.0)));
        assert_eq!((load.memory, load.backlog), (Some(0.25), Some(3.0)));
    }
    for label in ["SERVING", "up"] {
        assert!(matches!(endpoint_state(label), EndpointState::Serving), "{label}");
    }
    for label in ["DRAINING", "draining"] {
        assert!(matches!(endpoint_state(label), EndpointState::Draining), "{label}");
    }
    assert!(matches!(endpoint_state("removed"), EndpointState::Gone));
}

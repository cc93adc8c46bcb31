//! Golden files of every form of settings: each key and word is read as the same value, defaults do not change,
//! and invalid files are rejected with the same messages.

use std::fmt::Write;
use std::path::Path;

use pintally::interface::{
    DiscoveryMode, EndpointState, Idempotency, IdempotencyScope, LoadReporting, Role, WeightKind,
};
use pintally_config::{outlier_detection_form, EngineList, NodeSettings, QuotaUnit};
use pintally_quota::Enforcement;

fn golden(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    std::fs::read_to_string(path).expect("the golden file")
}

fn read(file: &str) -> NodeSettings {
    NodeSettings::parse(file, &golden(file)).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn node_form() {
    let s = read("node.sexp");
    assert_eq!((s.name.as_str(), s.listen.to_string().as_str()), ("n2", "127.0.0.1:8181"));
    assert_eq!(s.source.map(|ip| ip.to_string()).as_deref(), Some("127.0.0.9"));
    assert_eq!((s.engines_file.as_str(), s.engines_poll_interval), ("engines.sexp", 120_000));
    assert_eq!(s.cached_list_file.as_deref(), Some("kept/list.sexp"));
    assert_eq!(s.cells_file.as_deref(), Some("cells.sexp"));
    assert_eq!(s.cached_cells_file.as_deref(), Some("kept/cells.sexp"));
    assert_eq!((s.core.zone.as_str(), s.model.as_str()), ("a", "chat-large"));
    assert_eq!((s.core.node_index, s.core.node_count), (2, 5));
    assert!(s.membership.is_none() && s.recovery.is_none() && s.consensus.is_none());
    assert!(s.quotas.is_none() && s.outlier_detection.is_none() && s.failover.is_none());
}

#[test]
fn limits_form() {
    let limits = read("node.sexp").limits;
    assert_eq!((limits.max_connections, limits.max_open_requests), (1000, 900));
    assert_eq!(
        (limits.max_head_bytes, limits.max_body_bytes, limits.max_total_body_bytes),
        (8192, 100_000, 2_000_000)
    );
    assert_eq!(
        (limits.receive_timeout, limits.write_timeout, limits.idle_timeout),
        (5_001_000, 5_002_000, 5_003_000)
    );
    assert_eq!(
        (limits.connect_timeout, limits.keep_alive, limits.max_streams_per_engine),
        (204_000, 5_005_000, 706)
    );
    assert_eq!(
        (limits.background_call_timeout, limits.max_background_calls, limits.stall_timeout),
        (207_000, 208, 5_009_000)
    );
    assert_eq!((limits.answer_margin, limits.shutdown_timeout), (60_000, 5_011_000));
}

#[test]
fn rules_form() {
    let core = read("node.sexp").core;
    assert!(matches!(core.load_reporting, LoadReporting::OnHealthCheck));
    assert!(matches!(core.discovery_mode, DiscoveryMode::Push));
    assert_eq!(
        (
            core.weight_kind == WeightKind::Off,
            core.writers_read_prompts,
            core.cancellation_allowed,
            core.health_checks_allowed
        ),
        (true, true, false, false)
    );
    assert_eq!(
        (core.health_check_cost, core.clients_honour_retry_after, core.max_retry_after),
        (0.5, true, 1_500_000)
    );
    assert_eq!(
        (core.max_attempts, core.slow_start_min_capacity, core.slow_start_duration),
        (4, 0.25, 9_000_000)
    );
    assert_eq!(
        (core.overload_factor, core.overload_window, core.release_deadline),
        (3.5, 1_700_000, 450_000)
    );
    assert_eq!((core.connect_timeout, core.max_discovery_poll_interval), (204_000, 0));
    assert!(matches!(read("fleet.sexp").core.load_reporting, LoadReporting::Off));
    assert!(!read("fleet.sexp").core.clients_honour_retry_after);
}

#[test]
fn class_tenant_and_kind_forms() {
    let s = read("node.sexp");
    let names: Vec<_> = s.core.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(names, ["hint", "all", "zone", "rack", "mark"]);
    let hint = &s.core.classes[0];
    assert_eq!(
        (hint.latency_objective, hint.latency_objective_per_1000_tokens, hint.token_interval_objective),
        (900_000, 40_000, 60_000)
    );
    assert_eq!((hint.priority_weight, hint.late_weight_fraction), (2.5, 0.2));
    assert_eq!((s.classes[0].default_client_timeout, s.classes[0].max_tokens), (4_000_000, 128));
    let effects: Vec<&Idempotency> = s.core.classes.iter().map(|c| &c.idempotency).collect();
    assert!(matches!(effects[0], Idempotency::Idempotent));
    assert!(matches!(effects[1], Idempotency::WithKey(IdempotencyScope::All, 9_001_000)));
    assert!(matches!(effects[2], Idempotency::WithKey(IdempotencyScope::Zone, 9_002_000)));
    assert!(matches!(effects[3], Idempotency::WithKey(IdempotencyScope::Rack, 9_003_000)));
    assert!(matches!(effects[4], Idempotency::NotIdempotent));
    let tenants: Vec<_> = s.core.tenants.iter().map(|t| (t.name.as_str(), t.quota_per_s)).collect();
    assert_eq!(tenants, [("north", 12.5), ("south", 0.0)]);
    let kinds: Vec<_> = s.core.engine_kinds.iter().map(|k| (k.name.as_str(), k.memory_tokens)).collect();
    assert_eq!(kinds, [("prefill", 120_000), ("decode", 90_000), ("both", 0)]);
    let roles: Vec<_> = s.core.engine_kinds.iter().map(|k| k.role).collect();
    assert!(matches!(roles[..], [Role::Reader, Role::Writer, Role::Mixed]));
    assert_eq!(s.slots, [8, 48, 0]);
}

#[test]
fn node_defaults() {
    let s = read("least.sexp");
    assert_eq!((s.name.as_str(), s.listen.to_string().as_str()), ("node", "127.0.0.1:8080"));
    assert_eq!((s.source, s.engines_poll_interval, s.model.as_str()), (None, 100_000, "default"));
    assert_eq!((&s.cached_list_file, &s.cells_file, &s.cached_cells_file), (&None, &None, &None));
    let limits = &s.limits;
    assert_eq!(
        (
            limits.max_connections,
            limits.max_open_requests,
            limits.max_streams_per_engine,
            limits.max_background_calls
        ),
        (16_384, 12_288, 1024, 256)
    );
    assert_eq!(
        (limits.max_head_bytes, limits.max_body_bytes, limits.max_total_body_bytes),
        (16_384, 4 << 20, 512 << 20)
    );
    assert_eq!(
        (limits.receive_timeout, limits.write_timeout, limits.idle_timeout),
        (10_000_000, 10_000_000, 60_000_000)
    );
    assert_eq!(
        (limits.connect_timeout, limits.keep_alive, limits.background_call_timeout),
        (250_000, 15_000_000, 250_000)
    );
    assert_eq!(
        (limits.stall_timeout, limits.answer_margin, limits.shutdown_timeout),
        (30_000_000, 50_000, 10_000_000)
    );
    let core = &s.core;
    assert_eq!((core.zone.as_str(), core.node_index, core.node_count), ("", 0, 1));
    assert!(matches!(core.load_reporting, LoadReporting::Inline));
    assert_eq!(
        (
            core.weight_kind == WeightKind::Nominal,
            core.writers_read_prompts,
            core.cancellation_allowed,
            core.health_checks_allowed
        ),
        (true, false, true, true)
    );
    assert_eq!(
        (core.health_check_cost, core.clients_honour_retry_after, core.max_retry_after),
        (0.0, true, 2_000_000)
    );
    assert_eq!(
        (core.max_attempts, core.slow_start_min_capacity, core.slow_start_duration),
        (6, 0.3, 14_000_000)
    );
    assert_eq!(
        (core.overload_factor, core.overload_window, core.release_deadline),
        (2.5, 2_000_000, 500_000)
    );
    assert_eq!(core.remembered_service_rates, [0.0; 3]);
    let class = &core.classes[0];
    assert_eq!(
        (class.latency_objective, class.latency_objective_per_1000_tokens, class.token_interval_objective),
        (1_000_000, 0, 0)
    );
    assert_eq!((class.priority_weight, class.late_weight_fraction), (1.0, 0.0));
    assert_eq!((s.classes[0].default_client_timeout, s.classes[0].max_tokens), (5_000_000, 256));
    assert_eq!((core.engine_kinds[0].memory_tokens, s.slots[0]), (0, 0));
}

#[test]
fn peers_and_recovery_forms() {
    let s = read("fleet.sexp");
    let peers = s.membership.expect("peers");
    assert_eq!((peers.fleet.as_str(), peers.listen.to_string().as_str()), ("golden", "127.0.0.1:7000"));
    let seeds: Vec<_> = peers.seeds.iter().map(std::string::ToString::to_string).collect();
    assert_eq!(seeds, ["127.0.0.1:7001", "127.0.0.1:7002"]);
    assert_eq!(peers.address_overrides, [("n1".to_string(), "127.0.0.1:7101".parse().expect("an address"))]);
    assert_eq!((peers.probe_interval, peers.probe_timeout, peers.indirect_probes), (400_000, 120_000, 2));
    assert_eq!(
        (peers.suspicion_multiplier, peers.anti_entropy_interval, peers.dead_member_retention),
        (5.5, 1_900_000, 500_000_000)
    );
    let recovery = s.recovery.expect("recovery");
    assert_eq!((recovery.store.as_deref(), recovery.commit_interval), (Some("state"), 150_000));
    assert_eq!((recovery.disk_read_timeout, recovery.answer_timeout), (310_000, 210_000));
    assert_eq!((recovery.query_rounds, recovery.peers_queried, recovery.max_slow_start), (4, 5, 20_000_000));
    assert_eq!(
        (
            recovery.requests_per_second_per_engine,
            recovery.uncached_capacity_fraction,
            recovery.reservation_takeover_delay
        ),
        (6.5, 0.8, 4_000_000)
    );
    assert_eq!(recovery.storage_fault, Some(("torn-write".to_string(), 11)));

    let s = read("fleet_defaults.sexp");
    let peers = s.membership.expect("peers");
    assert!(peers.seeds.is_empty() && peers.address_overrides.is_empty());
    assert_eq!((peers.probe_interval, peers.probe_timeout, peers.indirect_probes), (500_000, 150_000, 3));
    assert_eq!(
        (peers.suspicion_multiplier, peers.anti_entropy_interval, peers.dead_member_retention),
        (4.0, 2_000_000, 600_000_000)
    );
    let recovery = s.recovery.expect("recovery");
    assert_eq!((recovery.store, recovery.commit_interval, recovery.storage_fault), (None, 200_000, None));
    assert_eq!((recovery.disk_read_timeout, recovery.answer_timeout), (300_000, 200_000));
    assert_eq!((recovery.query_rounds, recovery.peers_queried, recovery.max_slow_start), (2, 3, 30_000_000));
    assert_eq!(
        (
            recovery.requests_per_second_per_engine,
            recovery.uncached_capacity_fraction,
            recovery.reservation_takeover_delay
        ),
        (2.0, 0.9, 5_000_000)
    );
}

/// Each name of a storage fault is accepted by `lying-disk`.
#[test]
fn storage_faults() {
    let words = [
        "lost-syncs",
        "torn-write",
        "flipped-bit",
        "older-image",
        "full",
        "read-only",
        "slow",
        "read-errors",
    ];
    let text = golden("fleet.sexp");
    for word in words {
        let text = text.replace("\"torn-write\"", &format!("\"{word}\""));
        let recovery = NodeSettings::parse("fleet.sexp", &text).expect(word).recovery.expect("recovery");
        assert_eq!(recovery.storage_fault, Some((word.to_string(), 11)));
    }
}

#[test]
fn keepers_and_shared_limits_forms() {
    let s = read("fleet.sexp");
    let keepers = s.consensus.expect("keepers");
    assert_eq!(keepers.names, ["n0", "n1", "n2"]);
    assert_eq!(
        (keepers.heartbeat_interval, keepers.election_timeout, keepers.vote_recovery_timeout),
        (60_000, 400_000, 1_500_000)
    );
    assert_eq!(keepers.max_clock_drift, 0.02);
    let shared = s.quotas.expect("shared limits");
    let f = &shared.allocation;
    assert_eq!(
        (f.node_count, f.lease_duration, f.lease_request_interval, f.burst_window),
        (3, 3_000_000, 300_000, 900_000)
    );
    assert_eq!(
        (
            f.max_request_duration,
            f.soft_decay_duration,
            f.reserved_fraction,
            f.soft_excess_fraction,
            f.max_clock_drift
        ),
        (20_000_000, 2_500_000, 0.2, 0.15, 0.02)
    );
    let names: Vec<_> = shared.limits.iter().map(|l| (l.name.as_str(), l.limit)).collect();
    assert_eq!(names, [("requests", 100.5), ("tokens", 5000.0), ("streams", 64.0), ("retries", 10.0)]);
    let counted: Vec<_> = shared.limits.iter().map(|l| l.unit).collect();
    assert_eq!(counted, [QuotaUnit::Requests, QuotaUnit::Tokens, QuotaUnit::Streams, QuotaUnit::Retries]);
    let bounds: Vec<_> = shared.limits.iter().map(|l| l.enforcement).collect();
    assert_eq!(bounds, [Enforcement::Hard, Enforcement::Soft, Enforcement::Hard, Enforcement::Soft]);
    let tenants: Vec<_> = shared.limits.iter().map(|l| l.tenant.as_deref()).collect();
    assert_eq!(tenants, [None, Some("north"), None, None]);

    let s = read("fleet_defaults.sexp");
    let keepers = s.consensus.expect("keepers");
    assert_eq!(
        (keepers.heartbeat_interval, keepers.election_timeout, keepers.vote_recovery_timeout),
        (100_000, 600_000, 5_000_000)
    );
    assert_eq!(keepers.max_clock_drift, 0.01);
    let shared = s.quotas.expect("shared limits");
    let f = &shared.allocation;
    assert_eq!((f.lease_duration, f.lease_request_interval, f.burst_window), (4_000_000, 400_000, 1_000_000));
    assert_eq!(
        (
            f.max_request_duration,
            f.soft_decay_duration,
            f.reserved_fraction,
            f.soft_excess_fraction,
            f.max_clock_drift
        ),
        (30_000_000, 4_000_000, 0.2, 0.25, 0.01)
    );
    assert!(shared.limits.is_empty());
}

#[test]
fn verdicts_form() {
    let v = read("fleet.sexp").outlier_detection.expect("verdicts");
    assert_eq!((v.evidence_retention, v.consecutive_failures, v.min_reporters), (9_000_000, 4, 3));
    assert_eq!((v.base_ejection_time, v.max_ejection_time, v.ramp_step), (2_100_000, 31_000_000, 2_200_000));
    assert_eq!((v.max_ejection_fraction, v.local_fault_fraction), (0.25, 0.4));
    let v = read("fleet_defaults.sexp").outlier_detection.expect("verdicts");
    assert_eq!((v.evidence_retention, v.consecutive_failures, v.min_reporters), (5_000_000, 2, 2));
    assert_eq!((v.base_ejection_time, v.max_ejection_time, v.ramp_step), (1_000_000, 16_000_000, 1_000_000));
    assert_eq!((v.max_ejection_fraction, v.local_fault_fraction), (0.5, 0.5));
}

#[test]
fn regions_form() {
    let regions = read("fleet.sexp").failover.expect("regions");
    let f = &regions.policy;
    let zones: Vec<_> = f.zones.zones.iter().map(|z| (z.name.as_str(), z.region.as_str())).collect();
    assert_eq!(zones, [("a", "north"), ("b", "north"), ("c", "south")]);
    assert_eq!(f.zones.prices, [(0, 1, 2.5), (1, 2, f64::INFINITY)]);
    assert_eq!((f.requests_per_second_per_engine, f.max_utilization, f.local_reserve), (5.5, 0.85, 0.25));
    assert_eq!((f.plan_interval, f.plan_lifetime, f.failure_grace), (400_000, 2_500_000, 1_100_000));
    assert_eq!((f.base_hold_down, f.max_hold_down, f.ramp_step), (3_000_000, 50_000_000, 2_300_000));
    assert_eq!((regions.pinned_classes, regions.pinned_tenants), (vec!["mark".into()], vec!["north".into()]));

    let regions = read("fleet_defaults.sexp").failover.expect("regions");
    let f = &regions.policy;
    assert_eq!((f.requests_per_second_per_engine, f.max_utilization, f.local_reserve), (4.0, 0.9, 0.3));
    assert_eq!((f.plan_interval, f.plan_lifetime, f.failure_grace), (500_000, 3_000_000, 1_500_000));
    assert_eq!((f.base_hold_down, f.max_hold_down, f.ramp_step), (4_000_000, 60_000_000, 2_000_000));
    assert!(regions.pinned_classes.is_empty() && regions.pinned_tenants.is_empty());
}

/// The forms that the program writes use the same keys and words.
#[test]
fn written_forms() {
    let s = read("fleet.sexp");
    let forms = [
        s.membership.as_ref().expect("peers").to_string(),
        s.recovery.as_ref().expect("recovery").to_string(),
        s.consensus.as_ref().expect("keepers").to_string(),
        s.quotas.as_ref().expect("shared limits").to_string(),
        outlier_detection_form(s.outlier_detection.as_ref().expect("verdicts")),
        s.failover.as_ref().expect("regions").to_string(),
    ];
    assert_eq!(forms.join("\n") + "\n", golden("written_forms.sexp"));
}

#[test]
fn endpoint_list() {
    let list = EngineList::parse("engines.sexp", &golden("engines.sexp")).expect("a valid list");
    assert_eq!((list.version, list.engines.len()), (4, 3));
    let [first, second, third] = &list.engines[..] else { panic!("three engines") };
    assert_eq!((&*first.id.0, first.address.to_string().as_str()), ("s-1", "127.0.0.1:3001"));
    assert_eq!((first.zone.as_str(), first.kind.as_str(), first.rack), ("a", "prefill", 3));
    assert_eq!((first.cell.as_deref(), first.weight), (Some("blue"), 1.5));
    assert_eq!((first.started_unix_ms, second.started_unix_ms), (Some(1_700_000_000_000), None));
    assert!(matches!(first.state, EndpointState::Serving));
    assert!(matches!(second.state, EndpointState::Draining));
    assert!(matches!(third.state, EndpointState::Gone));
    assert_eq!((third.zone.as_str(), third.kind.as_str(), third.rack), ("", "", 0));
    assert_eq!((third.cell.as_deref(), third.weight), (None, 0.0));
    assert_eq!(list.render(), golden("engines_written.sexp"));
}

/// Each line of the golden file is the error for a valid file in which one part is replaced.
#[test]
fn error_messages() {
    let cases = [
        ("node.sexp", "(name \"n2\")", "(nam \"n2\")"),
        ("node.sexp", "(name \"n2\")", "(name \"n 2\")"),
        ("node.sexp", "\"127.0.0.1:8181\"", "\"somewhere\""),
        ("node.sexp", "\"127.0.0.9\"", "\"somewhere\""),
        ("node.sexp", "(engines \"engines.sexp\" (every-ms 120))", ""),
        ("node.sexp", "(every-ms 120)", "(every-ms 5000)"),
        ("node.sexp", "(number 2)", "(number 5)"),
        ("node.sexp", "(held 900)", "(held 1001)"),
        ("node.sexp", "(connect-ms 204)", "(connect-ms 3990)"),
        ("node.sexp", "(connect-ms 204)", "(connect-ms soon)"),
        ("node.sexp", "(errand-ms 207)", "(errand-ms 500)"),
        ("node.sexp", "(body-bytes 100000)", "(body-bytes 3000000)"),
        ("node.sexp", "(reports on-probe)", "(reports sometimes)"),
        ("node.sexp", "(weights no)", "(weights perhaps)"),
        ("node.sexp", "(attempts 4)", "(attempts 0)"),
        ("node.sexp", "(attempts 4)", "(attempts 2.5)"),
        ("node.sexp", "(tip-multiple 3.5)", "(tip-multiple 0.5)"),
        ("node.sexp", "(tip-window-ms 1700)", "(tip-window-ms 17000)"),
        ("node.sexp", "(retry-after-most-ms 1500)", "(retry-after-most-ms 0)"),
        ("node.sexp", "(effect safe)", "(effect maybe)"),
        ("node.sexp", "(effect safe)", ""),
        ("node.sexp", "(second-copies no)", "(second-copies yes)"),
        ("node.sexp", "(aim-ms 900)", "(aim-ms 9000)"),
        ("node.sexp", "(group zone)", "(group planet)"),
        ("node.sexp", "(window-ms 9002)", "(window-ms 902)"),
        ("node.sexp", "(class \"all\"", "(class \"hint\""),
        ("node.sexp", "(tenant \"south\")", "(tenant \"north\")"),
        ("node.sexp", "(role reader)", "(role king)"),
        ("node.sexp", "(role reader)", "(role reader) 7"),
        ("node.sexp", "(kind \"decode\" (role writer)", "(kind \"decode\" (role reader)"),
        ("node.sexp", "(pintally", "(pintally (pintally)"),
        ("least.sexp", "(role mixed)", "(role reader)"),
        ("least.sexp", "(role mixed)", "(role writer)"),
        ("least.sexp", "(class \"hint\" (effect safe))", ""),
        ("least.sexp", "(role mixed)))", "(role mixed))"),
        ("fleet_defaults.sexp", "(keepers (names \"n0\"))", ""),
        ("fleet_defaults.sexp", "(peers (fleet \"golden\") (listen \"127.0.0.1:7000\"))", ""),
        ("fleet.sexp", "(fleet \"golden\")", ""),
        ("fleet.sexp", "(answer-ms 120)", "(answer-ms 220)"),
        ("fleet.sexp", "(repair-ms 1900)", "(repair-ms 190)"),
        ("fleet.sexp", "(forget-ms 500000)", "(forget-ms 5000)"),
        ("fleet.sexp", "\"torn-write\"", "\"torn\""),
        ("fleet.sexp", "(careful-most-ms 20000)", "(careful-most-ms 2000)"),
        ("fleet.sexp", "(read-within-ms 310)", "(read-within-ms 31000)"),
        ("fleet.sexp", "(counts tokens)", "(counts sheep)"),
        ("fleet.sexp", "(bound hard)", "(bound elastic)"),
        ("fleet.sexp", "(tenant \"north\") (bound soft)", "(tenant \"west\") (bound soft)"),
        ("fleet.sexp", "(limit \"tokens\"", "(limit \"requests\""),
        ("fleet.sexp", "(price \"a\" \"b\" 2.5)", "(price \"a\" \"z\" 2.5)"),
        ("fleet.sexp", "(class-stays \"mark\")", "(class-stays \"none\")"),
        ("fleet.sexp", "(tenant-stays \"north\")", "(tenant-stays \"none\")"),
        ("fleet.sexp", "(engines \"engines.sexp\")", "(engines \"engines.sexp\") (cells \"cells.sexp\")"),
        ("fleet.sexp", "(step-ms 2300)", "(step-ms 1000)"),
        (
            "fleet.sexp",
            "(zone \"a\" \"north\")",
            "(zone \"d\" \"north\") (zone \"a\" \"north\") (zone \"a\" \"south\")",
        ),
        ("fleet.sexp", "(election-ms 400)", "(election-ms 40)"),
        ("fleet.sexp", "(lease-ms 3000)", "(lease-ms 30)"),
        ("fleet.sexp", "(rest-ms 2100)", "(rest-ms 210000)"),
    ];
    let mut got = String::new();
    for (file, from, to) in cases {
        let text = golden(file);
        assert!(text.contains(from), "{from}");
        let error = NodeSettings::parse(file, &text.replacen(from, to, 1)).expect_err(to);
        let _ = writeln!(got, "{error}");
    }
    for (from, to) in [
        ("(version 4)", ""),
        ("\"s-2\"", "\"s-1\""),
        ("\"s-2\"", "\"\""),
        ("\"[::1]:3002\"", "\"nowhere\""),
        ("(state gone)", "(state asleep)"),
        ("(state gone)", "(colour red)"),
    ] {
        let text = golden("engines.sexp").replacen(from, to, 1);
        let _ = writeln!(got, "{}", EngineList::parse("engines.sexp", &text).expect_err(to));
    }
    assert_eq!(got, golden("errors.txt"));
}

//! Fleets in virtual time: the same seed gives the same fleet, and what is promised holds in it.

use pintally_lab::fleet::{play, FleetSpec};

#[test]
fn a_small_fleet_keeps_its_promises_and_is_the_same_each_time() {
    let spec = FleetSpec { nodes: 12, loss: 0.05, calm: 20, deaths: 3, limit: 100.0, seed: 3 };
    let report = play(&spec);
    println!("{report:?}");
    assert_eq!(report, play(&spec), "one seed, one fleet");
    assert!(report.peak_limit_share <= 1.0 + 1e-6, "a hard limit is never exceeded: {report:?}");
    assert!(
        report.admitted_share > 0.9 && report.admitted_share > report.admitted_share_divided,
        "{report:?}"
    );
    assert_eq!(report.death_detection_s.count, 3, "all deaths are known to all");
    assert!(report.leader_failover_s.count > 0 && report.leader_failover_s.worst < 5.0, "{report:?}");
    assert_eq!(report.false_deaths_per_hour, 0.0, "{report:?}");
}

/// Guards against a lead that lapses for a moment, as under heavy loss, and a granter that begins anew in
/// the same term and lends a second time what is lent: at 47 nodes all had 1.65 of a hard limit.
#[test]
fn a_hard_limit_holds_while_the_lead_lapses_and_goes_on() {
    let spec = FleetSpec { nodes: 47, loss: 0.2, calm: 60, deaths: 0, limit: 200.0, seed: 1 };
    let report = play(&spec);
    assert!(report.peak_limit_share <= 1.0 + 1e-6, "{report:?}");
}

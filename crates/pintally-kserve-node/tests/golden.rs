//! Golden file of the parts of status documents that a healthy fleet does not show: constructed values as the
//! node serializes them, and the name of every state.

use pintally_failover::ZoneHealth;
use pintally_membership::MemberState;
use pintally_outlier_detection::{EngineStatus, FaultScope};
use pintally_quota::PoolStatus;
use pintally_recovery::Stage;
use serde::Serialize;

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("serializable") + "\n"
}

#[test]
fn parts_of_status_documents() {
    let engine = EngineStatus {
        engine: "s-1".into(),
        fault: Some("fails"),
        scope: Some(FaultScope::Zone("a".into())),
        reporters: vec!["n0".into()],
        working_for: vec!["n1".into()],
        recovery_step: Some("rests"),
        ejected: true,
        step_age_ms: 5,
    };
    let pool = PoolStatus {
        limit: 7,
        limit_amount: 12.0,
        granted: 3.0,
        wanted: 4.5,
        holders: vec![("n0".into(), 3.0)],
    };
    let got = [
        line(&engine),
        line(&pool),
        line(&[FaultScope::Link, FaultScope::Zone("a".into()), FaultScope::AllNodes]),
        line(&[MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left]),
        line(&[Stage::LoadingState, Stage::QueryingPeers, Stage::SlowStart, Stage::Serving]),
        line(&[
            ZoneHealth::Healthy,
            ZoneHealth::Degraded,
            ZoneHealth::Failing,
            ZoneHealth::Lost,
            ZoneHealth::Unknown,
        ]),
    ];
    assert_eq!(got.concat(), include_str!("golden/status_parts.jsonl"));
}

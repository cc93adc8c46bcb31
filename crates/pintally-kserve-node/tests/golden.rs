//! The golden file of those parts of the status documents that a healthy fleet does not show: built values as
//! the node writes them, and every word for a state.

use pintally_failover::Known;
use pintally_membership::MemberState;
use pintally_outlier_detection::{EngineVerdict, Reach};
use pintally_quota::PoolStatus;
use pintally_recovery::Stage;
use serde::Serialize;

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("it is written") + "\n"
}

#[test]
fn parts_of_status_documents() {
    let verdict = EngineVerdict {
        engine: "s-1".into(),
        fault: Some("fails"),
        reach: Some(Reach::Zone("a".into())),
        accusers: vec!["n0".into()],
        clear: vec!["n1".into()],
        step: Some("rests"),
        held_back: true,
        for_ms: 5,
    };
    let pool = PoolStatus { limit: 7, most: 12.0, lent: 3.0, wanted: 4.5, holders: vec![("n0".into(), 3.0)] };
    let got = [
        line(&verdict),
        line(&pool),
        line(&[Reach::Link, Reach::Zone("a".into()), Reach::Everyone]),
        line(&[MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left]),
        line(&[Stage::Reading, Stage::Asking, Stage::Careful, Stage::Serving]),
        line(&[Known::Alive, Known::Grey, Known::Failing, Known::Gone, Known::Unknown]),
    ];
    assert_eq!(got.concat(), include_str!("golden/status_parts.jsonl"));
}

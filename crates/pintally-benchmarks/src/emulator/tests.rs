//! Tests of the module `emulator`.

use super::*;

#[test]
fn a_fleet_with_room_answers_nearly_all() {
    let (tokens, came, done) = run(6, 20.0, Duration::from_secs(20), 1);
    assert!(came > 300 && tokens > 50_000, "{came} came, {tokens} tokens");
    // Those of the last seconds are still under way.
    assert!(done * 10 > came * 8, "{done} of {came}");
}

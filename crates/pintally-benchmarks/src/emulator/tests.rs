//! Tests of the module `emulator`.

use super::*;

#[test]
fn fleet_with_capacity_answers_most_requests() {
    let (tokens, sent, answered) = run(6, 20.0, Duration::from_secs(20), 1);
    assert!(sent > 300 && tokens > 50_000, "{sent} requests, {tokens} tokens");
    // Requests of the last seconds are still in progress.
    assert!(answered * 10 > sent * 8, "{answered} of {sent}");
}

//! The quota holder of a node: retry times of rejections, and the cost of a decision.

mod common;

use common::{rate, LIMIT_ID, MS};
use pintally_quota::{Admission, Enforcement, Limit, LimitId, QuotaHolder, Settings};

#[test]
fn admits_retry_after_stated_time() {
    let settings = Settings { node_count: 1, ..Settings::default() };
    let limit = Limit { amount: 10.0, ..rate(10.0, Enforcement::Hard) };
    let mut holder = QuotaHolder::new(settings, [(LIMIT_ID, "one".into(), limit)]);
    assert!(matches!(holder.admit(1_000, LIMIT_ID, 1.0), Admission::Reject(_)), "a new holder has no tokens");
    assert_eq!(holder.admit(1_000 * MS, LIMIT_ID, 1.0), Admission::Admit);
    (0..4).for_each(|_| holder.consume(1_000 * MS, LIMIT_ID, 1.0));
    let Admission::Reject(retry_after) = holder.admit(1_000 * MS, LIMIT_ID, 1.0) else {
        panic!("there is a debt")
    };
    let retry_at = 1_000 * MS + retry_after + 1_000;
    assert_eq!(holder.admit(retry_at, LIMIT_ID, 1.0), Admission::Admit);
}

/// The cost of a decision with 10,000 limits, of which 16 are in use, is printed and stays below a loose
/// bound. Only the limits in use are requested.
#[test]
fn decision_cost_is_bounded_with_many_limits() {
    let settings = Settings { node_count: 40, ..Settings::default() };
    let limits = (0..10_000u32).map(|n| (LimitId(n), format!("limit-{n}"), rate(1_000.0, Enforcement::Hard)));
    let mut holder = QuotaHolder::new(settings, limits);
    let mut now = 1_000 * MS;
    let start = std::time::Instant::now();
    let mut admitted = 0u32;
    for n in 0..200_000u32 {
        now += 50;
        let id = LimitId(n % 16);
        if holder.admit(now, id, 1.0) == Admission::Admit {
            holder.consume(now, id, 1.0);
            admitted += 1;
        }
    }
    let ns_per_decision = start.elapsed().as_nanos() / 200_000;
    let start = std::time::Instant::now();
    let requests = holder.lease_requests(now).len();
    println!(
        "{ns_per_decision} ns per decision, {:?} for {requests} requests, {admitted} admitted",
        start.elapsed()
    );
    assert_eq!(requests, 16, "unused limits are not requested");
    assert!(ns_per_decision < 20_000, "{ns_per_decision} ns");
}

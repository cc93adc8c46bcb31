//! The quota holder of a node: rejections and the cost of a decision.

mod common;

use common::{rate, MS, ONE};
use pintally_quota::{Admission, Enforcement, Limit, LimitId, QuotaHolder, Settings};

#[test]
fn rejection_carries_a_useful_retry_time() {
    let settings = Settings { node_count: 1, ..Settings::default() };
    let limit = Limit { amount: 10.0, ..rate(10.0, Enforcement::Hard) };
    let mut holder = QuotaHolder::new(settings, [(ONE, "one".into(), limit)]);
    assert!(matches!(holder.admit(1_000, ONE, 1.0), Admission::Reject(_)), "a new holder has no tokens");
    assert_eq!(holder.admit(1_000 * MS, ONE, 1.0), Admission::Admit);
    (0..4).for_each(|_| holder.consume(1_000 * MS, ONE, 1.0));
    let Admission::Reject(after) = holder.admit(1_000 * MS, ONE, 1.0) else { panic!("there is a debt") };
    let then = 1_000 * MS + after + 1_000;
    assert_eq!(holder.admit(then, ONE, 1.0), Admission::Admit);
}

/// The cost of a decision with 10,000 limits of which 16 are in use; printed, and bounded loosely.
#[test]
fn decision_cost_does_not_depend_on_number_of_limits() {
    let settings = Settings { node_count: 40, ..Settings::default() };
    let limits = (0..10_000u32).map(|n| (LimitId(n), format!("limit-{n}"), rate(1_000.0, Enforcement::Hard)));
    let mut holder = QuotaHolder::new(settings, limits);
    let mut now = 1_000 * MS;
    let began = std::time::Instant::now();
    let mut admitted = 0u32;
    for n in 0..200_000u32 {
        now += 50;
        let id = LimitId(n % 16);
        if holder.admit(now, id, 1.0) == Admission::Admit {
            holder.consume(now, id, 1.0);
            admitted += 1;
        }
    }
    let each = began.elapsed().as_nanos() / 200_000;
    let began = std::time::Instant::now();
    let requests = holder.lease_requests(now).len();
    println!("{each} ns per decision, {:?} for {requests} requests, {admitted} admitted", began.elapsed());
    assert_eq!(requests, 16, "limits that nobody uses are not requested");
    assert!(each < 20_000, "{each} ns");
}

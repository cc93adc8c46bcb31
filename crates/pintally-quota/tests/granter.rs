//! The lease granter: expiry of leases, delayed messages and interruptions of leadership.

mod common;

use common::{rate, LIMIT_ID, MS};
use pintally_quota::{
    Enforcement, LeaderGranter, LeaseGrant, LeaseGranter, LeaseRequest, LimitId, QuotaHolder, Settings,
};

/// A node that its peers consider dead may still use its allocation: no other holder gets it before the
/// lease has certainly expired.
#[test]
fn allocation_of_dead_node_is_regranted_after_lease() {
    let settings = Settings { node_count: 2, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut granter = LeaseGranter::new(settings, [(LIMIT_ID, limit)], 0);
    let mut now = settings.debit_duration(&limit) + 1;
    let request = |number, held| LeaseRequest { limit: LIMIT_ID, number, held, wanted: 100.0 };
    let first_grant = granter.grant(now, "a", 1, &request(1, 0.0)).unwrap();
    assert!(f64::from(first_grant.granted) <= 80.0 && first_grant.granted > 79.0, "{first_grant:?}");
    let died_at = now;
    // The restarted node is another holder.
    now += 10 * MS;
    let next_grant = granter.grant(now, "a", 2, &request(1, 0.0)).unwrap();
    assert_eq!(next_grant.granted, 0.0, "the allocation of the former incarnation is not granted again");
    let mut number = 1;
    let mut regranted_after = None;
    while regranted_after.is_none() {
        now += 100 * MS;
        number += 1;
        let grant = granter.grant(now, "a", 2, &request(number, 0.0)).unwrap();
        regranted_after = (grant.granted > 0.0).then_some(now - died_at);
    }
    let bound = settings.bounds(&limit).max_reallocation_delay;
    assert!(
        regranted_after >= Some(settings.lease_duration) && regranted_after <= Some(bound + 200 * MS),
        "{regranted_after:?} of {bound}"
    );
}

/// Guards against delayed or duplicated requests, and against a grant for a request that was followed by
/// another one.
#[test]
fn ignores_delayed_and_duplicated_messages() {
    let settings = Settings { node_count: 1, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut granter = LeaseGranter::new(settings, [(LIMIT_ID, limit)], 0);
    let mut holder = QuotaHolder::new(settings, [(LIMIT_ID, "one".into(), limit)]);
    let mut now = 10_000 * MS;
    for _ in 0..50 {
        holder.admit(now, LIMIT_ID, 1.0);
    }
    let first_request = holder.lease_requests(now)[0];
    let grant = granter.grant(now, "a", 1, &first_request).unwrap();
    assert_eq!(granter.grant(now, "a", 1, &first_request), None, "duplicated");
    holder.apply_grant(now + 1, &grant);
    let held = holder.leased(now + 1, LIMIT_ID);
    assert!(held > 0.0);
    now += 1_000 * MS;
    let second_request = holder.lease_requests(now)[0];
    holder.apply_grant(now, &LeaseGrant { granted: 1e9, ..grant });
    assert_eq!(holder.leased(now, LIMIT_ID), held, "a grant for an earlier request is void");
    granter.grant(now, "a", 1, &second_request).unwrap();
    assert_eq!(granter.grant(now, "a", 1, &first_request), None, "delayed");
    for invalid in [f32::NAN, -1.0, f32::INFINITY] {
        assert_eq!(
            granter.grant(now, "a", 1, &LeaseRequest { number: 99, held: invalid, ..second_request }),
            None
        );
        holder.apply_grant(now, &LeaseGrant { granted: invalid, number: second_request.number, ..grant });
        assert_eq!(holder.leased(now, LIMIT_ID), held);
    }
    assert_eq!(granter.grant(now, "a", 1, &LeaseRequest { limit: LimitId(77), ..second_request }), None);
}

/// An interruption of leadership within a term keeps the state of the granter; the granter of a new term
/// waits for the leases to expire.
#[test]
fn interrupted_leadership_grants_nothing_twice() {
    let settings = Settings { node_count: 2, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut granter = LeaderGranter::new(settings, vec![(LIMIT_ID, limit)]);
    assert!(granter.set_leadership(0, Some(3)));
    let mut now = settings.debit_duration(&limit) + 1;
    let request = |number| [LeaseRequest { limit: LIMIT_ID, number, held: 0.0, wanted: 100.0 }];
    assert!(granter.grant(now, "a", 1, &request(1))[0].granted > 79.0);
    now += 100 * MS;
    assert!(!granter.set_leadership(now, None));
    assert!(granter.grant(now, "b", 2, &request(1)).is_empty(), "it is not the leader");
    assert!(!granter.set_leadership(now + 1, Some(3)), "the same term, the same granter");
    assert_eq!(
        granter.grant(now + 2, "b", 2, &request(2))[0].granted,
        0.0,
        "everything is granted to another holder"
    );
    assert!(granter.set_leadership(now + 3, Some(5)));
    assert_eq!(
        granter.grant(now + 4, "b", 2, &request(3))[0].granted,
        0.0,
        "a new granter waits for leases to expire"
    );
}

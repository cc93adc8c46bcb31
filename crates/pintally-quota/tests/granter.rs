//! The lease granter: expiry, delayed messages and lapses of leadership.

mod common;

use common::{rate, MS, ONE};
use pintally_quota::{
    Enforcement, LeaderGranter, LeaseGrant, LeaseGranter, LeaseRequest, LimitId, QuotaHolder, Settings,
};

/// A node that its peers consider dead may go on using its allocation: nobody else gets it before the
/// lease has certainly expired.
#[test]
fn allocation_of_dead_node_is_granted_again_after_its_lease() {
    let settings = Settings { node_count: 2, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut granter = LeaseGranter::new(settings, [(ONE, limit)], 0);
    let mut now = settings.debit_duration(&limit) + 1;
    let request = |number, holds| LeaseRequest { limit: ONE, number, held: holds, wanted: 100.0 };
    let first = granter.grant(now, "a", 1, &request(1, 0.0)).unwrap();
    assert!(f64::from(first.granted) <= 80.0 && first.granted > 79.0, "{first:?}");
    let died = now;
    // The restarted node is another holder.
    now += 10 * MS;
    let next = granter.grant(now, "a", 2, &request(1, 0.0)).unwrap();
    assert_eq!(next.granted, 0.0, "the allocation of the former incarnation is not granted again");
    let mut number = 1;
    let mut returned_after = None;
    while returned_after.is_none() {
        now += 100 * MS;
        number += 1;
        let grant = granter.grant(now, "a", 2, &request(number, 0.0)).unwrap();
        returned_after = (grant.granted > 0.0).then_some(now - died);
    }
    let bound = settings.bounds(&limit).max_reallocation_delay;
    assert!(
        returned_after >= Some(settings.lease_duration) && returned_after <= Some(bound + 200 * MS),
        "{returned_after:?} of {bound}"
    );
}

/// Guards against a delayed or duplicated request, and a grant for a request that another has followed.
#[test]
fn delayed_and_duplicated_messages_change_nothing() {
    let settings = Settings { node_count: 1, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut granter = LeaseGranter::new(settings, [(ONE, limit)], 0);
    let mut holder = QuotaHolder::new(settings, [(ONE, "one".into(), limit)]);
    let mut now = 10_000 * MS;
    for _ in 0..50 {
        holder.admit(now, ONE, 1.0);
    }
    let first = holder.lease_requests(now)[0];
    let grant = granter.grant(now, "a", 1, &first).unwrap();
    assert_eq!(granter.grant(now, "a", 1, &first), None, "duplicated");
    holder.apply_grant(now + 1, &grant);
    let held = holder.leased(now + 1, ONE);
    assert!(held > 0.0);
    now += 1_000 * MS;
    let second = holder.lease_requests(now)[0];
    holder.apply_grant(now, &LeaseGrant { granted: 1e9, ..grant });
    assert_eq!(holder.leased(now, ONE), held, "a grant for an earlier request is void");
    granter.grant(now, "a", 1, &second).unwrap();
    assert_eq!(granter.grant(now, "a", 1, &first), None, "delayed");
    for bad in [f32::NAN, -1.0, f32::INFINITY] {
        assert_eq!(granter.grant(now, "a", 1, &LeaseRequest { number: 99, held: bad, ..second }), None);
        holder.apply_grant(now, &LeaseGrant { granted: bad, number: second.number, ..grant });
        assert_eq!(holder.leased(now, ONE), held);
    }
    assert_eq!(granter.grant(now, "a", 1, &LeaseRequest { limit: LimitId(77), ..second }), None);
}

/// A lapse of leadership within a term forgets nothing; a new term waits for the leases to expire.
#[test]
fn lapse_of_leadership_grants_nothing_twice() {
    let settings = Settings { node_count: 2, ..Settings::default() };
    let limit = rate(100.0, Enforcement::Hard);
    let mut granter = LeaderGranter::new(settings, vec![(ONE, limit)]);
    assert!(granter.set_leadership(0, Some(3)));
    let mut now = settings.debit_duration(&limit) + 1;
    let request = |number| [LeaseRequest { limit: ONE, number, held: 0.0, wanted: 100.0 }];
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

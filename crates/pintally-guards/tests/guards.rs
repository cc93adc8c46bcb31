//! Each guard by a case that it must deny and the nearest case that it must allow.

use pintally::interface::{EndpointState, Idempotency, IdempotencyScope, Micros, Role};
use pintally_guards::{
    may_close, may_reject, may_send, may_start, CloseReason, ConnectionFacts, Denial, Denials, EngineFacts,
    RequestFacts, SentAttempt,
};
use proptest::prelude::*;

const WINDOW: Micros = 500_000;
const DEADLINE: Micros = 5_000_000;
const NOW: Micros = 1_000_000;

fn request(idempotency: Idempotency, may_have_run: Option<&SentAttempt>) -> RequestFacts<'_> {
    RequestFacts {
        idempotency,
        closed: false,
        attempt_in_flight: false,
        attempts: 1,
        max_attempts: 6,
        deadline: DEADLINE,
        may_have_run,
    }
}

fn engine(role: Role) -> EngineFacts<'static> {
    EngineFacts { listing: EndpointState::Serving, role, zone: "a", rack: 1 }
}

fn ran(sent_at: Micros, zone: &str, rack: u64) -> SentAttempt {
    SentAttempt { sent_at, zone: zone.into(), rack }
}

#[test]
fn send_requires_open_request_and_serving_engine() {
    let good = request(Idempotency::NotIdempotent, None);
    let writer = engine(Role::Writer);
    assert_eq!(may_send(NOW, &good, &writer), Ok(()));
    let closed = RequestFacts { closed: true, ..good };
    assert_eq!(may_send(NOW, &closed, &writer), Err(Denial::RequestClosed));
    assert_eq!(may_start(NOW, &closed, &writer), Err(Denial::RequestClosed));
    let in_flight = RequestFacts { attempt_in_flight: true, ..good };
    assert_eq!(may_send(NOW, &in_flight, &writer), Err(Denial::AttemptInFlight));
    assert_eq!(may_start(NOW, &in_flight, &writer), Ok(()), "the attempt in flight is the one that starts");
    let spent = RequestFacts { attempts: 6, ..good };
    assert_eq!(may_send(NOW, &spent, &writer), Err(Denial::AttemptsExhausted));
    assert_eq!(may_send(DEADLINE - 1, &good, &writer), Ok(()));
    assert_eq!(may_send(DEADLINE, &good, &writer), Err(Denial::NoTimeLeft));
    for listing in [EndpointState::Draining, EndpointState::Gone] {
        for role in [Role::Reader, Role::Writer, Role::Mixed] {
            let gone = EngineFacts { listing, ..engine(role) };
            assert_eq!(may_send(NOW, &good, &gone), Err(Denial::EngineNotServing));
            assert_eq!(may_start(NOW, &good, &gone), Err(Denial::EngineNotServing));
        }
    }
}

#[test]
fn repetition_requires_idempotency_at_the_engine() {
    let (writer, first) = (engine(Role::Writer), ran(NOW, "a", 1));
    assert_eq!(may_send(NOW, &request(Idempotency::Idempotent, Some(&first)), &writer), Ok(()));
    assert_eq!(
        may_send(NOW, &request(Idempotency::NotIdempotent, Some(&first)), &writer),
        Err(Denial::MayRunTwice)
    );
    let mixed = engine(Role::Mixed);
    assert_eq!(
        may_send(NOW, &request(Idempotency::NotIdempotent, Some(&first)), &mixed),
        Err(Denial::MayRunTwice)
    );
    assert_eq!(
        may_send(NOW, &request(Idempotency::NotIdempotent, Some(&first)), &engine(Role::Reader)),
        Ok(())
    );
    for (group, zone, rack, inside) in [
        (IdempotencyScope::All, "b", 2, true),
        (IdempotencyScope::Zone, "a", 2, true),
        (IdempotencyScope::Zone, "b", 1, false),
        (IdempotencyScope::Rack, "b", 1, true),
        (IdempotencyScope::Rack, "a", 2, false),
    ] {
        let first = ran(NOW, zone, rack);
        let keyed = request(Idempotency::WithKey(group, WINDOW), Some(&first));
        let expected = if inside { Ok(()) } else { Err(Denial::OutsideKeyScope) };
        assert_eq!(may_send(NOW + WINDOW - 1, &keyed, &writer), expected);
        let expected = if inside { Err(Denial::KeyWindowExpired) } else { expected };
        assert_eq!(may_send(NOW + WINDOW, &keyed, &writer), expected);
        assert_eq!(may_start(NOW + WINDOW, &keyed, &writer), expected);
    }
}

#[test]
fn rejection_requires_that_repetition_is_harmless() {
    let first = ran(NOW, "a", 1);
    for (effect, after_effect) in [
        (Idempotency::Idempotent, true),
        (Idempotency::WithKey(IdempotencyScope::All, WINDOW), true),
        (Idempotency::WithKey(IdempotencyScope::Zone, WINDOW), false),
        (Idempotency::WithKey(IdempotencyScope::Rack, WINDOW), false),
        (Idempotency::NotIdempotent, false),
    ] {
        assert_eq!(may_reject(&request(effect, None)), Ok(()));
        let expected = if after_effect { Ok(()) } else { Err(Denial::RejectionAfterEffect) };
        assert_eq!(may_reject(&request(effect, Some(&first))), expected);
    }
}

#[test]
fn denials_are_counted_by_kind() {
    let mut denials = Denials::default();
    denials.add(Denial::KeyWindowExpired);
    denials.add(Denial::KeyWindowExpired);
    denials.add(Denial::AnswerPending);
    assert_eq!(
        (denials.of(Denial::KeyWindowExpired), denials.of(Denial::NoTimeLeft), denials.total()),
        (2, 0, 3)
    );
    let named: Vec<_> = denials.by_name().collect();
    assert_eq!(named, [("window_over", 2), ("answer_owed", 1)]);
}

proptest! {
    /// The node's own reasons never close a connection with a pending answer; reasons on the client's side always do.
    #[test]
    fn node_closes_only_connections_without_pending_data(
        answer_pending: bool, unwritten_bytes in 0usize..3, has_unread_input: bool, reason in 0usize..CloseReason::ALL.len()
    ) {
        use CloseReason::{ClientLeft, IoError, StreamAborted, WriteTimeout};
        let facts = ConnectionFacts { answer_pending, unwritten_bytes, has_unread_input };
        let reason = CloseReason::ALL[reason];
        let prevents_delivery = [ClientLeft, IoError, WriteTimeout, StreamAborted].contains(&reason);
        let clean = facts == ConnectionFacts::default();
        prop_assert_eq!(may_close(&facts, reason).is_ok(), prevents_delivery || clean);
    }
}

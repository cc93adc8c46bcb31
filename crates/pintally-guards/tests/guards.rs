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

fn sent_attempt(sent_at: Micros, zone: &str, rack: u64) -> SentAttempt {
    SentAttempt { sent_at, zone: zone.into(), rack }
}

#[test]
fn send_requires_open_request_and_serving_engine() {
    let open = request(Idempotency::NotIdempotent, None);
    let writer = engine(Role::Writer);
    assert_eq!(may_send(NOW, &open, &writer), Ok(()));
    let closed = RequestFacts { closed: true, ..open };
    assert_eq!(may_send(NOW, &closed, &writer), Err(Denial::RequestClosed));
    assert_eq!(may_start(NOW, &closed, &writer), Err(Denial::RequestClosed));
    let in_flight = RequestFacts { attempt_in_flight: true, ..open };
    assert_eq!(may_send(NOW, &in_flight, &writer), Err(Denial::AttemptInFlight));
    assert_eq!(may_start(NOW, &in_flight, &writer), Ok(()), "the attempt in flight is the one that starts");
    let exhausted = RequestFacts { attempts: 6, ..open };
    assert_eq!(may_send(NOW, &exhausted, &writer), Err(Denial::AttemptsExhausted));
    assert_eq!(may_send(DEADLINE - 1, &open, &writer), Ok(()));
    assert_eq!(may_send(DEADLINE, &open, &writer), Err(Denial::NoTimeLeft));
    for listing in [EndpointState::Draining, EndpointState::Gone] {
        for role in [Role::Reader, Role::Writer, Role::Mixed] {
            let not_serving = EngineFacts { listing, ..engine(role) };
            assert_eq!(may_send(NOW, &open, &not_serving), Err(Denial::EngineNotServing));
            assert_eq!(may_start(NOW, &open, &not_serving), Err(Denial::EngineNotServing));
        }
    }
}

#[test]
fn repetition_requires_idempotency_at_the_engine() {
    let (writer, first) = (engine(Role::Writer), sent_attempt(NOW, "a", 1));
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
    for (scope, zone, rack, in_scope) in [
        (IdempotencyScope::All, "b", 2, true),
        (IdempotencyScope::Zone, "a", 2, true),
        (IdempotencyScope::Zone, "b", 1, false),
        (IdempotencyScope::Rack, "b", 1, true),
        (IdempotencyScope::Rack, "a", 2, false),
    ] {
        let first = sent_attempt(NOW, zone, rack);
        let keyed = request(Idempotency::WithKey(scope, WINDOW), Some(&first));
        let expected = if in_scope { Ok(()) } else { Err(Denial::OutsideKeyScope) };
        assert_eq!(may_send(NOW + WINDOW - 1, &keyed, &writer), expected);
        let expected = if in_scope { Err(Denial::KeyWindowExpired) } else { expected };
        assert_eq!(may_send(NOW + WINDOW, &keyed, &writer), expected);
        assert_eq!(may_start(NOW + WINDOW, &keyed, &writer), expected);
    }
}

#[test]
fn rejection_requires_that_repetition_is_harmless() {
    let first = sent_attempt(NOW, "a", 1);
    for (idempotency, is_retry_harmless) in [
        (Idempotency::Idempotent, true),
        (Idempotency::WithKey(IdempotencyScope::All, WINDOW), true),
        (Idempotency::WithKey(IdempotencyScope::Zone, WINDOW), false),
        (Idempotency::WithKey(IdempotencyScope::Rack, WINDOW), false),
        (Idempotency::NotIdempotent, false),
    ] {
        assert_eq!(may_reject(&request(idempotency, None)), Ok(()));
        let expected = if is_retry_harmless { Ok(()) } else { Err(Denial::RejectionAfterEffect) };
        assert_eq!(may_reject(&request(idempotency, Some(&first))), expected);
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
    /// A connection with a pending answer is closed only if the answer can no longer be delivered.
    #[test]
    fn node_closes_only_connections_without_pending_data(
        answer_pending: bool,
        unwritten_bytes in 0usize..3,
        has_unread_input: bool,
        reason in 0usize..CloseReason::ALL.len(),
    ) {
        use CloseReason::{ClientLeft, IoError, StreamAborted, WriteTimeout};
        let facts = ConnectionFacts { answer_pending, unwritten_bytes, has_unread_input };
        let reason = CloseReason::ALL[reason];
        let prevents_delivery = [ClientLeft, IoError, WriteTimeout, StreamAborted].contains(&reason);
        let has_nothing_pending = facts == ConnectionFacts::default();
        prop_assert_eq!(may_close(&facts, reason).is_ok(), prevents_delivery || has_nothing_pending);
    }
}

//! Guards of attempts and rejections.
//!
//! They decide whether an attempt may be sent, whether it may still start when its connection is established,
//! and whether a request may be rejected.

use pintally::interface::{EndpointState, Idempotency, IdempotencyScope, Micros, Role};

use crate::Denial;

/// When and where an attempt was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// Time of sending.
    pub sent_at: Micros,
    /// Zone of its engine.
    pub zone: String,
    /// Rack of its engine.
    pub rack: u64,
}

/// The state of a request that the guards depend on.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// Whether running it twice is harmless, and where.
    pub idempotency: Idempotency,
    /// The final answer was given or the client has left.
    pub closed: bool,
    /// An attempt is in flight.
    pub attempt_in_flight: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Limit of attempts.
    pub max_attempts: u32,
    /// Time at which the client gives up.
    pub deadline: Micros,
    /// The first attempt that may have run. Attempts at readers have no side effect and are not recorded here.
    pub may_have_run: Option<&'a SentAttempt>,
}

/// The state of an engine that the guards depend on.
#[derive(Clone, Copy, Debug)]
pub struct EngineFacts<'a> {
    /// Its state in the endpoint list.
    pub listing: EndpointState,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: &'a str,
    /// Its rack.
    pub rack: u64,
}

/// Checks that an attempt of a request may be sent to an engine now.
///
/// # Errors
///
/// The first rule that the attempt would break.
pub fn may_send(now: Micros, request: &RequestFacts<'_>, engine: &EngineFacts<'_>) -> Result<(), Denial> {
    if request.closed {
        return Err(Denial::RequestClosed);
    }
    if request.attempt_in_flight {
        return Err(Denial::AttemptInFlight);
    }
    if request.attempts >= request.max_attempts {
        return Err(Denial::AttemptsExhausted);
    }
    may_start(now, request, engine)
}

/// Checks that an attempt that was allowed earlier may still start now, for example after its connection
/// was established late.
///
/// # Errors
///
/// The first rule that the attempt would break.
pub fn may_start(now: Micros, request: &RequestFacts<'_>, engine: &EngineFacts<'_>) -> Result<(), Denial> {
    if request.closed {
        return Err(Denial::RequestClosed);
    }
    if engine.listing != EndpointState::Serving {
        return Err(Denial::EngineNotServing);
    }
    if now >= request.deadline {
        return Err(Denial::NoTimeLeft);
    }
    // A read has no side effect and may be repeated.
    if engine.role == Role::Reader {
        return Ok(());
    }
    may_repeat(now, request, engine)
}

/// Checks that running the request at this engine is harmless even if its first attempt ran.
fn may_repeat(now: Micros, request: &RequestFacts<'_>, engine: &EngineFacts<'_>) -> Result<(), Denial> {
    let Some(first) = request.may_have_run else { return Ok(()) };
    match request.idempotency {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NotIdempotent => Err(Denial::MayRunTwice),
        Idempotency::WithKey(scope, window) => {
            let in_scope = match scope {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => first.zone == engine.zone,
                IdempotencyScope::Rack => first.rack == engine.rack,
            };
            if !in_scope {
                return Err(Denial::OutsideKeyScope);
            }
            if now >= first.sent_at.saturating_add(window) {
                return Err(Denial::KeyWindowExpired);
            }
            Ok(())
        }
    }
}

/// Checks that a request may be rejected: a rejection promises the client that a retry is harmless.
///
/// # Errors
///
/// [`Denial::RejectionAfterEffect`] if an attempt may have run and a retry could run the request twice.
pub fn may_reject(request: &RequestFacts<'_>) -> Result<(), Denial> {
    let harmless = match request.idempotency {
        Idempotency::Idempotent | Idempotency::WithKey(IdempotencyScope::All, _) => true,
        Idempotency::WithKey(..) | Idempotency::NotIdempotent => request.may_have_run.is_none(),
    };
    if !harmless {
        return Err(Denial::RejectionAfterEffect);
    }
    Ok(())
}

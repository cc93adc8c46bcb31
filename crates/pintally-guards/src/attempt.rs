//! Attempts of a request: whether one may be sent, may still start when its connection is up, and
//! whether the request may be refused.

use pintally::interface::{EndpointState, Idempotency, IdempotencyScope, Micros, Role};

use crate::Denial;

/// An earlier attempt that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MayHaveRun {
    /// When it was sent.
    pub sent: Micros,
    /// Zone of its engine.
    pub zone: String,
    /// Rack of its engine.
    pub rack: u64,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts<'a> {
    /// What running it twice would do.
    pub effect: Idempotency,
    /// Its final answer is given, or its client has left.
    pub over: bool,
    /// An attempt of it is out.
    pub attempt_out: bool,
    /// Attempts that it has had.
    pub attempts: u32,
    /// The most attempts that it may have.
    pub max_attempts: u32,
    /// The client's time is up then.
    pub deadline: Micros,
    /// Its first attempt that may have run; one at a reader has no effect and is none.
    pub may_have_run: Option<&'a MayHaveRun>,
}

/// What is known of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineFacts<'a> {
    /// What the list says of it.
    pub listing: EndpointState,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: &'a str,
    /// Its rack.
    pub rack: u64,
}

/// Whether an attempt of a request may be sent to an engine now.
pub fn may_send(now: Micros, request: &RequestFacts<'_>, engine: &EngineFacts<'_>) -> Result<(), Denial> {
    if request.over {
        return Err(Denial::RequestOver);
    }
    if request.attempt_out {
        return Err(Denial::AttemptOut);
    }
    if request.attempts >= request.max_attempts {
        return Err(Denial::AttemptsSpent);
    }
    may_start(now, request, engine)
}

/// Whether an attempt that was allowed may still start now, as when its connection has come up late.
pub fn may_start(now: Micros, request: &RequestFacts<'_>, engine: &EngineFacts<'_>) -> Result<(), Denial> {
    if request.over {
        return Err(Denial::RequestOver);
    }
    if engine.listing != EndpointState::Serving {
        return Err(Denial::EngineNotServing);
    }
    if now >= request.deadline {
        return Err(Denial::NoTimeLeft);
    }
    // What a reader does has no effect, however often.
    if engine.role == Role::Reader {
        return Ok(());
    }
    may_repeat(now, request, engine)
}

fn may_repeat(now: Micros, request: &RequestFacts<'_>, engine: &EngineFacts<'_>) -> Result<(), Denial> {
    let Some(first) = request.may_have_run else { return Ok(()) };
    match request.effect {
        Idempotency::Idempotent => Ok(()),
        Idempotency::NotIdempotent => Err(Denial::MayRunTwice),
        Idempotency::WithKey(group, window) => {
            let inside = match group {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => first.zone == engine.zone,
                IdempotencyScope::Rack => first.rack == engine.rack,
            };
            if !inside {
                return Err(Denial::OutsideGroup);
            }
            if now >= first.sent.saturating_add(window) {
                return Err(Denial::WindowOver);
            }
            Ok(())
        }
    }
}

/// Whether a request may be refused: a refusal tells the client that trying again is harmless.
pub fn may_refuse(request: &RequestFacts<'_>) -> Result<(), Denial> {
    let harmless = match request.effect {
        Idempotency::Idempotent | Idempotency::WithKey(IdempotencyScope::All, _) => true,
        Idempotency::WithKey(..) | Idempotency::NotIdempotent => request.may_have_run.is_none(),
    };
    match harmless {
        true => Ok(()),
        false => Err(Denial::RefusalAfterEffect),
    }
}

//! The host's use of the guards: attempts that start late, and the counted reasons of rejections.

use std::sync::Arc;

use pintally::interface::*;
use pintally_config::NodeSettings;
use pintally_guards::Denial;
use pintally_host::{
    Command, EngineEndpoint, FinalAnswer, Host, IncomingRequest, Input, RejectionReason, RequestNumber,
};

const SETTINGS: &str = r#"
(pintally
  (node (name "t") (engines "unused"))
  (limits (held 2) (connections 64) (answer-margin-ms 20) (stop-ms 4000))
  (rules (attempts 5) (warm-after-ms 0) (tip-window-ms 1))
  (class "once" (effect unsafe) (aim-ms 500) (patience-ms 1500))
  (kind "r" (role reader)) (kind "w" (role writer) (slots 4)))"#;

const START: Micros = 1_000_000;

fn endpoint(id: &str, kind: &str, listing: EndpointState) -> EngineEndpoint {
    EngineEndpoint {
        endpoint: Endpoint {
            engine: EngineId(id.into()),
            zone: "a".into(),
            kind: kind.into(),
            rack: 0,
            state: listing,
            weight: 1.0,
            started: None,
        },
        address: ([127, 0, 0, 1], 9).into(),
        cell: None,
        started_unix_ms: None,
    }
}

fn host() -> Host {
    let settings = Arc::new(NodeSettings::parse("test", SETTINGS).expect("the settings are valid"));
    let mut host = Host::new(settings, 7);
    let all = vec![endpoint("r0", "r", EndpointState::Serving), endpoint("w0", "w", EndpointState::Serving)];
    host.handle(START, Input::EndpointList(ListUpdate::Full, all), &mut Vec::new());
    host
}

fn arrive(host: &mut Host, number: RequestNumber, client_timeout: Micros) -> Vec<Command> {
    let arrival = IncomingRequest {
        number,
        class: Some(0),
        client_timeout: Some(client_timeout),
        streamed: true,
        ..IncomingRequest::default()
    };
    let mut out = Vec::new();
    host.handle(START, Input::RequestArrived(arrival), &mut out);
    out
}

fn is_sent(out: &[Command]) -> bool {
    out.iter().any(|command| matches!(command, Command::Attempt(_)))
}

/// Guards against an attempt that starts on a connection that was established after the engine began to drain, the
/// client left or the deadline passed.
#[test]
fn late_start_is_denied_when_preconditions_changed() {
    let mut sent = host();
    assert!(is_sent(&arrive(&mut sent, 1, 1_000_000)));
    assert_eq!(sent.may_start(START + 1, 1), Ok(()));
    assert_eq!(sent.may_start(START + 1_000_000, 1), Err(Denial::NoTimeLeft));
    assert_eq!(sent.may_start(START, 2), Err(Denial::RequestClosed), "the request is unknown");
    let drained = vec![endpoint("r0", "r", EndpointState::Draining)];
    sent.handle(START + 2, Input::EndpointList(ListUpdate::Delta, drained), &mut Vec::new());
    assert_eq!(sent.may_start(START + 3, 1), Err(Denial::EngineNotServing));
    assert_eq!((sent.withheld().total(), sent.denials().total()), (2, 0));

    let mut left = host();
    arrive(&mut left, 1, 1_000_000);
    left.handle(START + 1, Input::ClientLeft(1), &mut Vec::new());
    assert_eq!(left.may_start(START + 2, 1), Err(Denial::RequestClosed));
}

/// Ends the attempt in flight of request 1 with this outcome, and returns the commands.
fn end_attempt(host: &mut Host, attempt: u32, outcome: Outcome) -> Vec<Command> {
    let (load, state) = (None, None);
    let ended = Input::AttemptEnded { number: 1, attempt, outcome, cached_tokens: 0, load, state };
    let mut out = Vec::new();
    host.handle(START + 1, ended, &mut out);
    out
}

/// A request whose client may have disconnected gets its final answer at once, and no further attempt.
#[test]
fn request_of_unconfirmed_client_is_rejected() {
    let mut host = host();
    assert!(is_sent(&arrive(&mut host, 1, 1_000_000)));
    let mut out = Vec::new();
    host.handle(START + 1, Input::ClientUnconfirmed(1), &mut out);
    let is_rejected = |c: &Command| matches!(c, Command::Answer(1, FinalAnswer::Rejected(_)));
    assert_eq!(out.iter().filter(|c| is_rejected(c)).count(), 1, "{out:?}");
    let after = end_attempt(&mut host, 0, Outcome::NeverSent);
    assert!(!is_sent(&after) && after.iter().any(|c| matches!(c, Command::RequestComplete(1))), "{after:?}");
    assert_eq!(host.withheld().of(Denial::ClientUnconfirmed), 1);
    assert_eq!(host.denials().total(), 0);
}

/// Guards against a rejection, which promises that a retry is harmless, of a request that may have run.
#[test]
fn request_of_unconfirmed_client_that_may_have_run_fails() {
    let mut host = host();
    arrive(&mut host, 1, 1_000_000);
    assert!(is_sent(&end_attempt(&mut host, 0, Outcome::Read)), "the write");
    let out = end_attempt(&mut host, 1, Outcome::Error);
    assert!(out.iter().any(|c| matches!(c, Command::Answer(1, FinalAnswer::Failed))), "{out:?}");
    let mut later = Vec::new();
    host.handle(START + 2, Input::ClientUnconfirmed(1), &mut later);
    assert!(!later.iter().any(|c| matches!(c, Command::Answer(..))), "a second answer: {later:?}");
}

#[test]
fn rejections_are_counted_by_reason() {
    let mut host = host();
    let is_rejected = |out: &[Command]| {
        out.iter().any(|command| matches!(command, Command::Answer(_, FinalAnswer::Rejected(_))))
    };
    assert!(is_rejected(&arrive(&mut host, 1, 20_000)), "its timeout is the answer margin");
    assert!(is_sent(&arrive(&mut host, 2, 1_000_000)));
    arrive(&mut host, 3, 1_000_000);
    assert!(is_rejected(&arrive(&mut host, 4, 1_000_000)), "two requests are open");
    host.handle(START, Input::Stop, &mut Vec::new());
    assert!(is_rejected(&arrive(&mut host, 5, 1_000_000)));
    let counts: Vec<_> = host.rejections().by_name().collect();
    assert_eq!(counts, [("stopping", 1), ("no_time_left", 1), ("too_many_held", 1)]);
    assert_eq!(host.rejections().of(RejectionReason::Stopping), 1);
}

//! Lines of the replies as the bench spells them, and the actions that they stand for.

use pintally::interface::*;
use pintally_wire::seconds;
use serde::Serialize;

/// The names under which timers are set on the wire, and come back when they fire.
pub const DISPATCH_TIMER: &str = "sweep";
pub const MAINTENANCE_TIMER: &str = "watch";

/// A line of a reply.
#[derive(Serialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Outgoing {
    Ok {
        round: u64,
    },
    Broken {
        node: u64,
        reason_text: String,
    },
    Issue {
        node: u64,
        txn: WireId,
        engine: WireId,
        timeout: f64,
    },
    OverloadReply {
        node: u64,
        txn: WireId,
        #[serde(skip_serializing_if = "Option::is_none")]
        pause: Option<f64>,
    },
    ReportFailure {
        node: u64,
        txn: WireId,
    },
    Abandon {
        node: u64,
        txn: WireId,
        #[serde(rename = "try")]
        attempt: AttemptNumber,
    },
    Release {
        node: u64,
        txn: WireId,
    },
    Ping {
        node: u64,
        engine: WireId,
    },
    Timer {
        node: u64,
        from_now: f64,
        #[serde(rename = "ref")]
        timer: &'static str,
    },
    Follow {
        node: u64,
        enable: bool,
    },
    SayLog {
        node: u64,
        reason_text: String,
    },
}

/// An id as it goes out: the same as it came in.
#[derive(Serialize)]
#[serde(transparent)]
pub struct WireId(String);

impl From<RequestId> for WireId {
    fn from(id: RequestId) -> Self {
        WireId(id.0.to_string())
    }
}

impl From<EngineId> for WireId {
    fn from(id: EngineId) -> Self {
        WireId(id.0.to_string())
    }
}

/// The line for an action of an instance.
pub fn outgoing(node: u64, action: Action) -> Outgoing {
    match action {
        Action::Send(id, engine, timeout) => {
            Outgoing::Issue { node, txn: id.into(), engine: engine.into(), timeout: seconds(timeout) }
        }
        Action::Reject(id, pause) => {
            Outgoing::OverloadReply { node, txn: id.into(), pause: pause.map(seconds) }
        }
        Action::Fail(id) => Outgoing::ReportFailure { node, txn: id.into() },
        Action::Cancel(id, attempt) => Outgoing::Abandon { node, txn: id.into(), attempt },
        Action::Release(id) => Outgoing::Release { node, txn: id.into() },
        Action::HealthCheck(engine) => Outgoing::Ping { node, engine: engine.into() },
        Action::SetTimer(timer, after) => {
            let name = match timer {
                Timer::DispatchPending => DISPATCH_TIMER,
                Timer::Maintenance => MAINTENANCE_TIMER,
            };
            Outgoing::Timer { node, from_now: seconds(after), timer: name }
        }
        Action::Subscribe => Outgoing::Follow { node, enable: true },
        Action::Log(reason_text) => Outgoing::SayLog { node, reason_text },
    }
}

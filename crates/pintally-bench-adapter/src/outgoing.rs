//! Lines of the replies in the bench's protocol, and their encoding from actions.

use pintally::interface::*;
use pintally_wire::micros_to_seconds;
use serde::Serialize;

/// Names of timers in the protocol: sent when a timer is set, and received when it fires.
pub const DISPATCH_TIMER: &str = "sweep";
pub const MAINTENANCE_TIMER: &str = "watch";

/// A line of a reply.
#[derive(Serialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Outgoing {
    Ok {
        round: u64,
    },
    #[serde(rename = "broken")]
    InvalidSettings {
        node: u64,
        #[serde(rename = "reason_text")]
        text: String,
    },
    #[serde(rename = "issue")]
    Send {
        node: u64,
        #[serde(rename = "txn")]
        request_id: OutgoingId,
        engine: OutgoingId,
        #[serde(rename = "timeout")]
        timeout_s: f64,
    },
    #[serde(rename = "overload_reply")]
    Reject {
        node: u64,
        #[serde(rename = "txn")]
        request_id: OutgoingId,
        #[serde(rename = "pause", skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<f64>,
    },
    #[serde(rename = "report_failure")]
    Fail {
        node: u64,
        #[serde(rename = "txn")]
        request_id: OutgoingId,
    },
    #[serde(rename = "abandon")]
    Cancel {
        node: u64,
        #[serde(rename = "txn")]
        request_id: OutgoingId,
        #[serde(rename = "try")]
        attempt: AttemptNumber,
    },
    Release {
        node: u64,
        #[serde(rename = "txn")]
        request_id: OutgoingId,
    },
    #[serde(rename = "ping")]
    HealthCheck {
        node: u64,
        engine: OutgoingId,
    },
    Timer {
        node: u64,
        #[serde(rename = "from_now")]
        after_s: f64,
        #[serde(rename = "ref")]
        timer: &'static str,
    },
    #[serde(rename = "follow")]
    Subscribe {
        node: u64,
        enable: bool,
    },
    #[serde(rename = "say_log")]
    Log {
        node: u64,
        #[serde(rename = "reason_text")]
        text: String,
    },
}

/// An id in a reply, identical to the one that was received.
#[derive(Serialize)]
#[serde(transparent)]
pub struct OutgoingId(String);

impl From<RequestId> for OutgoingId {
    fn from(id: RequestId) -> Self {
        OutgoingId(id.0.to_string())
    }
}

impl From<EngineId> for OutgoingId {
    fn from(id: EngineId) -> Self {
        OutgoingId(id.0.to_string())
    }
}

/// Encodes an action of an instance's router.
pub fn outgoing(node: u64, action: Action) -> Outgoing {
    match action {
        Action::Send(id, engine, timeout) => Outgoing::Send {
            node,
            request_id: id.into(),
            engine: engine.into(),
            timeout_s: micros_to_seconds(timeout),
        },
        Action::Reject(id, retry_after) => Outgoing::Reject {
            node,
            request_id: id.into(),
            retry_after_s: retry_after.map(micros_to_seconds),
        },
        Action::Fail(id) => Outgoing::Fail { node, request_id: id.into() },
        Action::Cancel(id, attempt) => Outgoing::Cancel { node, request_id: id.into(), attempt },
        Action::Release(id) => Outgoing::Release { node, request_id: id.into() },
        Action::HealthCheck(engine) => Outgoing::HealthCheck { node, engine: engine.into() },
        Action::SetTimer(timer, after) => {
            let name = match timer {
                Timer::DispatchPending => DISPATCH_TIMER,
                Timer::Maintenance => MAINTENANCE_TIMER,
            };
            Outgoing::Timer { node, after_s: micros_to_seconds(after), timer: name }
        }
        Action::Subscribe => Outgoing::Subscribe { node, enable: true },
        Action::Log(text) => Outgoing::Log { node, text },
    }
}

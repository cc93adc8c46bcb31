//! The commands of the host, which its driver executes with sockets, files and logs.

use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{AttemptNumber, EngineId, Micros, RequestId};
use pintally_cells::CellName;
use pintally_engine::Step;
use serde_json::Value;

use crate::input::RequestNumber;

/// An attempt to send.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The request.
    pub number: RequestNumber,
    /// The request's name in this node, the same for all attempts.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The cell that routes the request.
    pub cell: CellName,
    /// The engine.
    pub engine: EngineId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The step that the engine executes.
    pub step: Step,
    /// The transfer parameters of the state that was read, for [`Step::Fetch`].
    pub state: Option<Arc<Value>>,
    /// Number of slots of the engine, 0 if unknown.
    pub slots: u64,
    /// Limit of answer tokens.
    pub max_tokens: u64,
    /// Time within which the first token has to arrive.
    pub timeout: Micros,
    /// Time within which the complete answer has to arrive, if it is not streamed.
    pub completion_timeout: Option<Micros>,
}

/// The one final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The complete answer has arrived and is delivered.
    Served,
    /// Rejected; a retry is harmless, after the stated time if there is one.
    Rejected(Option<Micros>),
    /// Failed; it may have run.
    Failed,
    /// The answer had begun and was aborted.
    StreamCut,
}

/// A command of the host.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Attempt(AttemptOrder),
    /// Cancel an attempt; its end is still reported.
    Cancel(RequestNumber, AttemptNumber),
    /// Give the final answer.
    Answer(RequestNumber, FinalAnswer),
    /// The request is complete: its answer is given, its last attempt has ended and no more commands follow for it.
    /// Issued once for each request that arrived.
    RequestComplete(RequestNumber),
    /// Release a reservation, named as the host's [`ReleaseScope`](crate::ReleaseScope) says.
    Release {
        /// The name of the released reservation or request.
        name: RequestId,
        /// The engine that is called.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
        /// Use a new connection. After a partition all pooled connections of a node may be dead, so that calls on
        /// one after the other of them would reach no engine.
        new_connection: bool,
    },
    /// Check whether an attempt in flight has reached its engine: if the attempt's last byte has been written on a
    /// connection that was opened for it, open another connection, and report
    /// [`Input::DeliveryConfirmed`](crate::Input::DeliveryConfirmed) if that is established. A timeout or a refusal
    /// proves nothing, and neither does an attempt that was written on a pooled connection.
    ProbeConnection(RequestNumber, AttemptNumber, EngineId, SocketAddr),
    /// Withdraw the unacknowledged release calls of a request: write nothing more of them. Their results need not be
    /// reported.
    WithdrawReleases(RequestId),
    /// Check the health of an engine with this number of slots.
    HealthCheck(EngineId, SocketAddr, u64),
    /// Read the endpoint list again.
    ReloadEndpointList,
    /// Query the state of the fleet from a peer, identified by its number in
    /// [`pintally_recovery::Input::PeersChanged`].
    QueryPeer(u64),
    /// A stage of the recovery has begun.
    RecoveryStage(pintally_recovery::Stage),
    /// Request quota allocations from the lease granter.
    RequestQuota(Vec<pintally_quota::LeaseRequest>),
    /// Publish this node's observations of engines to the fleet; an empty report withdraws the last one.
    PublishOutlierReport(Vec<u8>),
    /// Publish this node's observations of zones, and the number of serving engines in each zone, to the failover
    /// planner.
    PublishZoneReport(Vec<u8>, Vec<f64>),
    /// Log a message for the operators.
    Log(String),
    /// The shutdown that [`Input::Stop`](crate::Input::Stop) began is complete.
    Stopped,
}

//! The commands of the host: what its driver does with sockets, files and logs.

use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{AttemptNumber, EngineId, Micros, RequestId};
use pintally_cells::CellName;
use pintally_engine::Step;
use serde_json::Value;

use crate::input::RequestNumber;

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The request.
    pub number: RequestNumber,
    /// Its name in this node, the same for all attempts.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The cell that routes the request.
    pub cell: CellName,
    /// The engine.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The step that the engine executes.
    pub step: Step,
    /// What fetches the state that was read, for [`Step::Fetch`].
    pub state: Option<Arc<Value>>,
    /// Slots of the engine, 0 if unknown.
    pub slots: u64,
    /// Limit of answer tokens.
    pub max_tokens: u64,
    /// The first token has to arrive within this time.
    pub timeout: Micros,
    /// The complete answer has to arrive within this time, if it is not streamed.
    pub completion_timeout: Option<Micros>,
}

/// The one final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The complete answer has arrived and is delivered.
    Served,
    /// Rejected; a retry is harmless, after this time if any is stated.
    Rejected(Option<Micros>),
    /// Failed; it may have run.
    Failed,
    /// The answer had begun and was aborted.
    StreamCut,
}

/// A command of the host.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt.
    Attempt(AttemptOrder),
    /// Cancel an attempt; its end is still reported.
    Cancel(RequestNumber, AttemptNumber),
    /// Give the final answer.
    Answer(RequestNumber, FinalAnswer),
    /// No more commands follow for this request: its answer is given and its last attempt has ended. Issued once
    /// for each request that arrived.
    RequestComplete(RequestNumber),
    /// Release a reservation, named as the host's [`ReleaseScope`](crate::ReleaseScope) says.
    Release {
        /// What is released.
        name: RequestId,
        /// The engine that is called.
        engine: EngineId,
        /// Where it listens.
        address: SocketAddr,
        /// Use a new connection. Guards against a node that was partitioned: all its pooled connections are silent
        /// then, and calls on one after the other of them reach nobody.
        new_connection: bool,
    },
    /// Find out whether an attempt in flight has reached its engine: if its last byte has been written on a
    /// connection that was opened for it, open one more. If that comes up, report
    /// [`Input::DeliveryConfirmed`](crate::Input::DeliveryConfirmed); silence and a refusal show nothing, and
    /// neither does a pooled connection.
    ProbeConnection(RequestNumber, AttemptNumber, EngineId, SocketAddr),
    /// Withdraw the release calls of a request that are not acknowledged: nothing of them is written from here on,
    /// and their results are not needed.
    WithdrawReleases(RequestId),
    /// Check the health of an engine with so many slots.
    HealthCheck(EngineId, SocketAddr, u64),
    /// Read the endpoint list again.
    ReloadEndpointList,
    /// Query the state of the fleet from a peer, by the number that the peers' input gave it.
    QueryPeer(u64),
    /// A stage of the recovery has begun.
    RecoveryStage(pintally_recovery::Stage),
    /// Request quota allocations from the lease granter.
    RequestQuota(Vec<pintally_quota::LeaseRequest>),
    /// Publish this node's observations of engines to the fleet; an empty report withdraws the last one.
    PublishOutlierReport(Vec<u8>),
    /// Publish this node's observations of zones, and the number of engines that take work in each zone, to the
    /// planner of failover.
    PublishZoneReport(Vec<u8>, Vec<f64>),
    /// Log a message for the operators.
    Log(String),
    /// Everything has ended after [`Input::Stop`](crate::Input::Stop).
    Stopped,
}

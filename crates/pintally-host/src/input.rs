//! The inputs of the host: events that its driver has received from clients, engines, peers and files.

use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{
    AttemptNumber, Endpoint, EngineId, ListUpdate, LoadReport, Micros, Outcome, RequestId,
};
use pintally_cells::{CellName, CellsFile};
use serde_json::Value;

/// Which reservations one release frees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReleaseScope {
    /// The reservation of one attempt, named by the request and the attempt, joined by a dot. Only the engine
    /// that has the reservation can execute the release.
    #[default]
    Attempt,
    /// All reservations of the request, at all engines. Any engine can execute the release.
    Request,
}

/// A request's number in this node, assigned by the listener and never reused.
pub type RequestNumber = u64;

/// A request that a client has sent.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// The number that the listener has assigned to it.
    pub number: RequestNumber,
    /// The name under which engines know it, if its client supplied one; otherwise the host generates one.
    pub name: Option<RequestId>,
    /// Index of its class, if it names one.
    pub class: Option<usize>,
    /// Index of its tenant, if it names one.
    pub tenant: Option<usize>,
    /// Its session; a request that names none is a session of one request.
    pub session: Option<u64>,
    /// The prefix that it shares with other requests.
    pub prefix: Option<u64>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// How many of these belong to the shared prefix.
    pub prefix_tokens: u64,
    /// Limit of answer tokens.
    pub max_tokens: Option<u64>,
    /// The timeout that the client states.
    pub client_timeout: Option<Micros>,
    /// The answer is streamed; otherwise it is sent when complete, and the deadline covers all of it.
    pub streamed: bool,
    /// The client resumes after a broken stream.
    pub resumed: bool,
    /// Memory that its body occupies while it is open.
    pub bytes: usize,
    /// Unix time of its arrival in milliseconds, on which the progress of migrations between cells depends.
    pub unix_ms: u64,
}

/// An engine of the endpoint list.
#[derive(Clone, Debug)]
pub struct EngineEndpoint {
    /// The endpoint as it is passed to the core.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The cell that it belongs to; a spare engine belongs to none.
    pub cell: Option<CellName>,
    /// Its start time according to the list, which together with name and address identifies the engine's incarnation.
    pub started_unix_ms: Option<u64>,
}

/// An input of the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// An update of the endpoint list.
    EndpointList(ListUpdate, Vec<EngineEndpoint>),
    /// The list in force was read from its source in this incarnation, and is not a cached one.
    EndpointListConfirmed,
    /// A version of the cells file.
    Cells(Box<CellsFile>),
    /// A request has arrived.
    RequestArrived(IncomingRequest),
    /// A connection probe succeeded while the attempt was in flight and completely written: the attempt has reached
    /// its engine.
    DeliveryConfirmed(RequestNumber, AttemptNumber),
    /// The answer of an attempt has begun.
    FirstToken(RequestNumber, AttemptNumber),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        number: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: u64,
        /// The engine's load report.
        load: Option<LoadReport>,
        /// The transfer parameters with which a writer fetches the state that was read, with [`Outcome::Read`].
        state: Option<Arc<Value>>,
    },
    /// The client has left.
    ClientLeft(RequestNumber),
    /// The request must not continue, because it is not known whether its client is still connected.
    ClientUnconfirmed(RequestNumber),
    /// The result of a health check: whether the engine has answered, and its load report.
    HealthChecked(EngineId, bool, Option<LoadReport>),
    /// A release, named and sent as in [`Command::Release`](crate::Command::Release), was acknowledged by that
    /// engine, or has failed.
    Released(RequestId, EngineId, bool),
    /// A release was not sent to that engine because this node has no descriptor for a connection.
    ReleaseNotSent(RequestId, EngineId),
    /// An input of the recovery after a start.
    Recovery(pintally_recovery::Input),
    /// The lease granter has answered a quota request.
    QuotaGranted(Vec<pintally_quota::LeaseGrant>),
    /// A node has published its observations of engines.
    OutlierReport(pintally_outlier_detection::Node, Vec<u8>),
    /// The list of live nodes has changed; it is complete.
    PeersChanged(Vec<pintally_outlier_detection::Node>),
    /// An operator has declared an engine healthy.
    EngineCleared(String),
    /// A failover plan: which zone serves which sessions.
    FailoverPlan(Vec<u8>),
    /// Reservations of a dead peer, to be released.
    ReservationsInherited(Vec<crate::OrphanedReservation>),
    /// Begin a graceful shutdown: take no new requests, complete those that are open.
    Stop,
}

//! What a host takes in and what it commands.

use std::net::SocketAddr;
use std::sync::Arc;

use pintally::interface::{Attempt, Endpoint, EngineId, ListUpdate, LoadReport, Micros, Outcome, RequestId};
use pintally_cells::{CellName, CellsFile};
use pintally_engine::Step;
use serde_json::Value;

/// What one release lets go of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReleaseScope {
    /// The state of one attempt: it is named by the request and the attempt, joined by a dot.
    #[default]
    Attempt,
    /// Everything that is held for the request, at whatever engine; any engine takes it.
    Request,
}

/// A request's number in this node, given by the door and never used again.
pub type RequestNumber = u64;

/// A request at the door.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its number.
    pub ticket: RequestNumber,
    /// The name by which engines know it, if its client gave one; otherwise the host names it.
    pub name: Option<RequestId>,
    /// Index of its class, if it names one.
    pub class: Option<usize>,
    /// Index of its tenant, if it names one.
    pub tenant: Option<usize>,
    /// Its session; without one it has a session of its own.
    pub session: Option<u64>,
    /// The beginning that it shares.
    pub prefix: Option<u64>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// How many of those are the shared beginning.
    pub prefix_tokens: u64,
    /// The most tokens of the answer.
    pub max_tokens: Option<u64>,
    /// How long the client says that it waits.
    pub client_timeout: Option<Micros>,
    /// The answer goes out as it comes; otherwise it goes out whole, and the deadline covers all of it.
    pub streamed: bool,
    /// The client comes back after a broken stream.
    pub resumed: bool,
    /// Bytes that it holds while it is here.
    pub bytes: usize,
    /// Unix time at which it came, in milliseconds: moves between cells go by it.
    pub unix_ms: u64,
}

/// An engine of the list.
#[derive(Clone, Debug)]
pub struct EngineEndpoint {
    /// As the core takes it.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
    /// The cell that it belongs to; spare if none.
    pub cell: Option<CellName>,
    /// When it started, as the list says; with name and address it tells its lives apart.
    pub started_unix_ms: Option<u64>,
}

/// What a host learns.
#[derive(Clone, Debug)]
pub enum Input {
    /// Word of the fleet.
    EndpointList(ListUpdate, Vec<EngineEndpoint>),
    /// The list that holds is the source's own, read in this life, and not one that was kept.
    EndpointListConfirmed,
    /// A version of the cells file.
    Cells(Box<CellsFile>),
    /// A request has come.
    RequestArrived(IncomingRequest),
    /// A connection probe was answered while the attempt was out and written: it has come to its engine.
    DeliveryConfirmed(RequestNumber, Attempt),
    /// The answer of an attempt has begun.
    FirstToken(RequestNumber, Attempt),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        ticket: RequestNumber,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
        /// Prompt tokens found kept.
        cached_tokens: u64,
        /// The engine's load.
        load: Option<LoadReport>,
        /// What fetches the read state, with [`Outcome::Read`].
        state: Option<Arc<Value>>,
    },
    /// The client has left.
    ClientLeft(RequestNumber),
    /// A probe's result.
    HealthChecked(EngineId, bool, Option<LoadReport>),
    /// The release of a state, named and sent as in [`Command::Release`], was heard by that engine, or not.
    Released(RequestId, EngineId, bool),
    /// Something on the way back to service after a start.
    Recovery(pintally_recovery::Input),
    /// The lender of limits has answered.
    QuotaGranted(Vec<pintally_quota::LeaseGrant>),
    /// A node has told what it saw of engines.
    OutlierReport(pintally_outlier_detection::Node, Vec<u8>),
    /// Which nodes are here.
    PeersChanged(Vec<pintally_outlier_detection::Node>),
    /// People say that an engine is well.
    EngineCleared(String),
    /// A plan of which zone serves whom.
    FailoverPlan(Vec<u8>),
    /// Read states of a peer that is dead and does not come back, to be let go of.
    ReservationsInherited(Vec<crate::OrphanedReservation>),
    /// Take nothing new, end what is held.
    Stop,
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The request.
    pub ticket: RequestNumber,
    /// Its name in this node, the same for all attempts.
    pub request: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The cell in which the request lives.
    pub cell: CellName,
    /// The engine.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it is to do.
    pub step: Step,
    /// What fetches the read state, for [`Step::Fetch`].
    pub state: Option<Arc<Value>>,
    /// Slots of the engine, 0 if not told.
    pub slots: u64,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// The first token has to come within this time.
    pub timeout: Micros,
    /// The whole answer has to come within this time, if it goes out whole.
    pub complete_by: Option<Micros>,
}

/// The one final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The whole answer is there and goes out.
    Served,
    /// Turned away; trying again does no harm, after this time if any.
    Rejected(Option<Micros>),
    /// It failed; nothing is promised.
    Failed,
    /// The answer had begun and was cut off.
    StreamCut,
}

/// What a host wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt.
    Attempt(AttemptOrder),
    /// Call an attempt off; it still ends.
    Cancel(RequestNumber, Attempt),
    /// Give the final answer.
    Answer(RequestNumber, FinalAnswer),
    /// Nothing more comes for this request: its answer is given and its last attempt has ended. It
    /// comes once for each request that arrived.
    Over(RequestNumber),
    /// Let go of a read state, named as the host's [`ReleaseScope`] says.
    Release {
        /// What is let go.
        name: RequestId,
        /// Who is called,
        engine: EngineId,
        /// and where it listens.
        address: SocketAddr,
        /// On a connection opened for it. Guards against a node that was cut off: all its kept connections
        /// are silent then, and calls on one after the other of them are heard by nobody.
        anew: bool,
    },
    /// Find out whether an attempt that is out has come to its engine: if its last byte has been written on
    /// a connection that was opened for it, open one more. Where that comes up [`Input::DeliveryConfirmed`] tells;
    /// silence and a refusal tell nothing, and neither does a connection that was kept.
    ProbeConnection(RequestNumber, Attempt, EngineId, SocketAddr),
    /// Calls that let go of a request and have not been heard are taken back: nothing of them is written
    /// from here on, and no word of them is needed.
    WithdrawReleases(RequestId),
    /// Probe an engine with so many slots.
    HealthCheck(EngineId, SocketAddr, u64),
    /// Read the list of engines again.
    ReloadEndpointList,
    /// Ask a peer how the fleet is, by the number that the peers' input gave it.
    QueryPeer(u64),
    /// A stage of recovery has begun.
    RecoveryStage(pintally_recovery::Stage),
    /// Ask the lender of limits for shares.
    RequestQuota(Vec<pintally_quota::LeaseRequest>),
    /// Tell the fleet what this node saw of engines; empty takes it back.
    PublishOutlierReport(Vec<u8>),
    /// Tell whoever plans what this node sees of zones; and engines that take work, by zone.
    PublishZoneReport(Vec<u8>, Vec<f64>),
    /// Say something to the people on call.
    Log(String),
    /// Everything has ended after [`Input::Stop`].
    Stopped,
}

//! Types, events, actions and settings of the decision module, free of any wire.

use std::sync::Arc;

/// A time or a span of time, in whole microseconds.
pub type Micros = u64;

/// The name of an engine, exactly as discovery gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// The name of a request, exactly as the host gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// The number of an attempt of one request, from 0.
pub type Attempt = u32;

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts; the read state waits in its memory.
    #[default]
    Reader,
    /// Fetches a read state and streams the answer.
    Writer,
    /// Does either, or both in one attempt.
    Mixed,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct EngineKind {
    /// The kind's name in discovery.
    pub name: String,
    /// What engines of this kind do.
    pub role: Role,
    /// Memory of one engine in tokens, 0 if not told.
    pub memory_tokens: u64,
}

/// The part of the fleet that drops repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one rack.
    Rack,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated freely.
    Idempotent,
    /// Repeats are dropped inside the group, for the window from the first send that may have run.
    WithKey(IdempotencyScope, Micros),
    /// Harm: it must not run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeat would do.
    pub effect: Idempotency,
    /// The first token is wanted within this time.
    pub latency_objective: Micros,
    /// The aim grows by this much for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Micros,
    /// The wanted gap between tokens, 0 if not told.
    pub token_interval_objective: Micros,
    /// What a request, or a unit of its work, is worth.
    pub priority_weight: f64,
    /// The part of the worth that a late answer earns.
    pub late_weight_fraction: f64,
}

/// A tenant and its share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its share, over all nodes; 0 if not limited.
    pub quota_per_s: f64,
}

/// How word of the fleet reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive unasked.
    Push,
    /// Changes arrive only to a subscriber.
    Subscribe,
}

/// How load reports reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With outcomes and probe results.
    Inline,
    /// With probe results only.
    OnHealthCheck,
    /// Not at all.
    Off,
}

/// All that a node is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's zone.
    pub zone: String,
    /// The node's number among them, from 0.
    pub node: u32,
    /// How many nodes serve this fleet.
    pub nodes: u32,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The kinds of machine.
    pub kinds: Vec<EngineKind>,
    /// How word of the fleet comes.
    pub discovery: DiscoveryMode,
    /// How load reports come.
    pub reports: LoadReporting,
    /// Whether registered weights compare engines.
    pub weights: bool,
    /// Whether a writer reads a prompt itself when there is no state to fetch.
    pub writers_read_prompts: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether engines may be probed.
    pub health_checks_allowed: bool,
    /// Points that one probe for each request costs, 0 if not told.
    pub health_check_price: f64,
    /// Whether refused clients heed advice on when to come back.
    pub clients_honour_retry_after: bool,
    /// The longest advice that a client follows.
    pub max_retry_after: Micros,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// A cold engine has at least this share of its capacity.
    pub slow_start_min_capacity: f64,
    /// An engine is warm after this time at most.
    pub slow_start_duration: Micros,
    /// More than this many times its capacity tips a cold engine over.
    pub overload_factor: f64,
    /// The window over which that is counted.
    pub overload_window: Micros,
    /// A connection to an engine is up within this time, or counts as failed.
    pub connect_timeout: Micros,
    /// What is held must be taken or let go within this time.
    pub release_deadline: Micros,
    /// Where discovery must be asked: the longest time without asking.
    pub max_poll_interval: Micros,
    /// Answers a second that one warm engine of each role gave this node in its life before (reads,
    /// first tokens of fetched states, both), 0 if nothing is remembered.
    pub remembered_service_rates: [f64; 3],
}

/// What discovery says of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    #[default]
    Gone,
}

/// One entry of the list of engines.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its rack.
    pub rack: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its registered weight.
    pub weight: f64,
    /// When it last started, if lately.
    pub started: Option<Micros>,
}

/// How a list of engines is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// All entries; whoever is missing is gone.
    Full,
    /// The list could not be had; the old one holds.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was served.
    Served,
    /// The prompt is read and its state waits at the reader.
    Read,
    /// The engine sent an error back.
    Error,
    /// Turned away: slots and queue are full.
    Overloaded,
    /// Turned away: there was no state to fetch.
    StateNotFound,
    /// No answer came in time.
    TimedOut,
    /// No connection could be had.
    Unreachable,
    /// The connection broke.
    ConnectionBroken,
    /// The attempt was called off.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

/// A load report; what an engine does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of slots in use.
    pub slots: Option<f64>,
    /// Requests that wait.
    pub queue: Option<f64>,
    /// Share of memory held.
    pub memory: Option<f64>,
    /// Thousands of prompt tokens waiting to be read or fetched.
    pub backlog: Option<f64>,
}

/// A request as the client sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index into [`Settings::classes`], if the class is known.
    pub class: Option<usize>,
    /// Index into [`Settings::tenants`], if any.
    pub tenant: Option<usize>,
    /// The session.
    pub session: u64,
    /// The beginning that it shares with other sessions.
    pub prefix: Option<u64>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// How many of those are the shared beginning.
    pub prefix_tokens: u64,
    /// The most tokens that the answer may have.
    pub max_tokens: u64,
    /// Time until the client gives up.
    pub client_timeout: Micros,
    /// The client comes back after a broken or moved stream.
    pub resumed: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer by this outcome or had it before.
    pub is_final: bool,
    /// Prompt tokens found kept.
    pub cached_tokens: u64,
    /// The engine's load.
    pub load: Option<LoadReport>,
}

/// What a node learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// Word of the fleet.
    EndpointList(ListUpdate, Vec<Endpoint>),
    /// A client's request.
    RequestArrived(Request),
    /// The answer of an attempt has begun.
    FirstToken(RequestId, Attempt),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has left.
    ClientLeft(RequestId),
    /// A probe's result: whether the engine answered, and its load.
    HealthChecked(EngineId, bool, Option<LoadReport>),
    /// A timer has come due.
    TimerFired(Timer),
}

/// A timer's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Look at what is held back.
    DispatchPending,
    /// Look at engines and discovery.
    Maintenance,
}

/// What a node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine, with a time-out.
    Send(RequestId, EngineId, Micros),
    /// Turn the request away; trying again does no harm, after the given time if any.
    Reject(RequestId, Option<Micros>),
    /// Tell the client that the request failed.
    Fail(RequestId),
    /// Call an attempt off.
    Cancel(RequestId, Attempt),
    /// Let go of what is held for the request.
    Release(RequestId),
    /// Probe an engine.
    HealthCheck(EngineId),
    /// Wake the router after this time.
    SetTimer(Timer, Micros),
    /// Subscribe to discovery.
    Subscribe,
    /// Say something to the people on call.
    Log(String),
}

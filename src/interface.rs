//! Types, events, actions and settings of the decision module, free of any wire.

use std::sync::Arc;

/// A time or a span of time, in whole microseconds.
pub type Micros = u64;

/// The id of an engine, exactly as discovery gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// The id of a request, exactly as the host gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// The number of an attempt of one request, from 0.
pub type AttemptNumber = u32;

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill); the read state waits in its memory.
    #[default]
    Reader,
    /// Fetches a read state and streams the answer (decode).
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
    /// Memory of one engine in tokens, 0 if unknown.
    pub memory_tokens: u64,
}

/// The part of the fleet that drops repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one rack.
    Rack,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated freely.
    Idempotent,
    /// Repeats are dropped inside the scope, for the window from the first send that may have run.
    WithKey(IdempotencyScope, Micros),
    /// It must not run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether its requests may run twice.
    pub idempotency: Idempotency,
    /// The first token is wanted within this time.
    pub latency_objective: Micros,
    /// The objective grows by this much for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Micros,
    /// The wanted interval between tokens, 0 if unknown.
    pub token_interval_objective: Micros,
    /// The weight of a request, or of a unit of its work, against other classes.
    pub priority_weight: f64,
    /// The part of the weight that a late answer still has.
    pub late_weight_fraction: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its quota, over all nodes; 0 if not limited.
    pub quota_per_s: f64,
}

/// How the endpoint list reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed to every node.
    Push,
    /// Changes reach subscribers only.
    Subscribe,
}

/// How load reports reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With outcomes and the results of health checks.
    Inline,
    /// With the results of health checks only.
    OnHealthCheck,
    /// Not at all.
    Off,
}

/// The settings with which a node starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's zone.
    pub zone: String,
    /// The node's number among the nodes of the fleet, from 0.
    pub node_index: u32,
    /// How many nodes serve the fleet.
    pub node_count: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The kinds of machine.
    pub engine_kinds: Vec<EngineKind>,
    /// How the endpoint list comes.
    pub discovery_mode: DiscoveryMode,
    /// How load reports come.
    pub load_reporting: LoadReporting,
    /// Whether registered weights compare engines.
    pub use_registered_weights: bool,
    /// Whether a writer reads a prompt itself when there is no state to fetch.
    pub writers_read_prompts: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether engines may be health-checked.
    pub health_checks_allowed: bool,
    /// Points that one health check for each request costs, 0 if unknown.
    pub health_check_cost: f64,
    /// Whether rejected clients honour Retry-After.
    pub clients_honour_retry_after: bool,
    /// The longest Retry-After that a client follows.
    pub max_retry_after: Micros,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// An engine in slow start has at least this fraction of its capacity.
    pub slow_start_min_capacity: f64,
    /// Slow start ends after this time at most.
    pub slow_start_duration: Micros,
    /// More than this many times its capacity overloads an engine in slow start.
    pub overload_factor: f64,
    /// The window over which its requests are counted.
    pub overload_window: Micros,
    /// A connection to an engine is up within this time, or counts as failed.
    pub connect_timeout: Micros,
    /// What an engine has reserved must be used or released within this time.
    pub release_deadline: Micros,
    /// Where discovery must be polled: the longest time between two polls.
    pub max_discovery_poll_interval: Micros,
    /// Answers a second that one warm engine of each role gave this node's last incarnation (reads,
    /// first tokens of fetched states, both), 0 if nothing is remembered.
    pub remembered_service_rates: [f64; 3],
}

/// The state of an engine by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Serving,
    /// It finishes the requests that it has and takes no more.
    Draining,
    /// It has left the fleet.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
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
    /// When it last started, if recently.
    pub started: Option<Micros>,
}

/// How an endpoint list is to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// All entries; engines that are missing are gone.
    Full,
    /// No list could be had; the old one stays in force.
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
    /// Rejected: slots and queue are full.
    Overloaded,
    /// Rejected: there was no state to fetch.
    StateNotFound,
    /// No answer came in time.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// The connection broke.
    ConnectionBroken,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

/// A load report; what an engine does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of slots in use.
    pub slots: Option<f64>,
    /// Requests that wait at the engine.
    pub queue: Option<f64>,
    /// Fraction of memory in use.
    pub memory: Option<f64>,
    /// Thousands of prompt tokens waiting to be read or fetched.
    pub backlog: Option<f64>,
}

/// A request as the client sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`], if the class is known.
    pub class: Option<usize>,
    /// Index into [`Settings::tenants`], if any.
    pub tenant: Option<usize>,
    /// The session.
    pub session: u64,
    /// The prefix that it shares with other sessions, if any.
    pub prefix: Option<u64>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// How many of those are the shared prefix.
    pub prefix_tokens: u64,
    /// The most tokens that the answer may have.
    pub max_tokens: u64,
    /// Time until the client gives up.
    pub client_timeout: Micros,
    /// The client comes back after a broken or migrated stream.
    pub resumed: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer by this outcome or had it before.
    pub is_final: bool,
    /// Prompt tokens that the engine had in its cache.
    pub cached_tokens: u64,
    /// The engine's load, if it reported one.
    pub load: Option<LoadReport>,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list has come, or could not be had.
    EndpointList(ListUpdate, Vec<Endpoint>),
    /// A client's request has arrived.
    RequestArrived(Request),
    /// The answer of an attempt has begun.
    FirstToken(RequestId, AttemptNumber),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has closed its request.
    ClientLeft(RequestId),
    /// The result of a health check: whether the engine answered, and its load.
    HealthChecked(EngineId, bool, Option<LoadReport>),
    /// A timer has fired.
    TimerFired(Timer),
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Dispatch pending requests.
    DispatchPending,
    /// Periodic maintenance of engines and discovery.
    Maintenance,
}

/// What a node does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine, with a time-out.
    Send(RequestId, EngineId, Micros),
    /// Reject the request: the client may send it again, after the given time if any.
    Reject(RequestId, Option<Micros>),
    /// Answer the client that the request failed: it may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel(RequestId, AttemptNumber),
    /// Release what engines have reserved for the request.
    Release(RequestId),
    /// Health-check an engine.
    HealthCheck(EngineId),
    /// Fire the timer after this time.
    SetTimer(Timer, Micros),
    /// Subscribe to discovery.
    Subscribe,
    /// Log a message for the engineers on call.
    Log(String),
}

//! Settings, events, actions and the types that they share. None of them depends on a wire format.

use std::sync::Arc;

/// A point in time or a duration, in whole microseconds.
pub type Micros = u64;

/// The id of an engine, exactly as discovery states it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// The id of a request, exactly as the host passes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// The number of an attempt among those of one request, from 0.
pub type AttemptNumber = u32;

/// What an engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts (prefill) and keeps the read state in its memory until a writer fetches it.
    #[default]
    Reader,
    /// Fetches a read state and streams the answer (decode).
    Writer,
    /// Can do either, or both in one attempt.
    Mixed,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct EngineKind {
    /// The kind's name in discovery.
    pub name: String,
    /// What engines of this kind can do.
    pub role: Role,
    /// Memory of one engine in tokens, 0 if unknown.
    pub memory_tokens: u64,
}

/// The engines among which repeats of a request with an idempotency key are detected and dropped.
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
    /// It may be repeated any number of times.
    Idempotent,
    /// Engines in the scope drop repeats within the window, which starts with the first send that may have
    /// run the request.
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
    /// Target time to the first token, without the part for the length of the prompt.
    pub latency_objective: Micros,
    /// Added to the latency objective for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Micros,
    /// Target interval between tokens, 0 if unknown.
    pub token_interval_objective: Micros,
    /// The weight of a request, or of a unit of its work, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the weight that a late answer still has.
    pub late_weight_fraction: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quota in requests per second over all nodes; 0 if unlimited.
    pub quota_per_s: f64,
}

/// How the endpoint list reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed to every node.
    Push,
    /// Changes are sent only to nodes that have subscribed.
    Subscribe,
}

/// How load reports reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With the outcomes of attempts and the results of health checks.
    Inline,
    /// With the results of health checks only.
    OnHealthCheck,
    /// Not at all.
    Off,
}

/// What the registered weights of engines mean. They compare engines of one role and have no unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightKind {
    /// Nothing: they are the same for all engines, or not meant for comparing them.
    Off,
    /// The size of the engine.
    Nominal,
    /// An estimate of the size of the engine.
    Rough,
    /// The size of the engine divided by its load, and so at most its size.
    Live,
}

/// The settings with which a node starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's zone.
    pub zone: String,
    /// The index of this node among the nodes of the fleet, from 0.
    pub node_index: u32,
    /// The number of nodes that route requests to the fleet.
    pub node_count: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The kinds of machine.
    pub engine_kinds: Vec<EngineKind>,
    /// How the endpoint list reaches this node.
    pub discovery_mode: DiscoveryMode,
    /// How load reports reach this node.
    pub load_reporting: LoadReporting,
    /// What the registered weights mean.
    pub weight_kind: WeightKind,
    /// Whether a writer that finds no state to fetch reads the prompt itself.
    pub writers_read_prompts: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether engines may be health-checked.
    pub health_checks_allowed: bool,
    /// Cost of one health check per request, in points; 0 if unknown.
    pub health_check_cost: f64,
    /// Whether rejected clients honour Retry-After.
    pub clients_honour_retry_after: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The least fraction of its capacity that an engine has during slow start.
    pub slow_start_min_capacity: f64,
    /// The longest time that slow start takes.
    pub slow_start_duration: Micros,
    /// An engine in slow start is overloaded by more than this multiple of its capacity.
    pub overload_factor: f64,
    /// The window over which the requests to an engine in slow start are counted.
    pub overload_window: Micros,
    /// A connection to an engine that is not established within this time counts as failed.
    pub connect_timeout: Micros,
    /// What an engine has reserved for a request must be used or released within this time.
    pub release_deadline: Micros,
    /// The longest time between two polls of discovery, where it has to be polled.
    pub max_discovery_poll_interval: Micros,
    /// Answers per second that this node's previous incarnation got from one warm engine of each role
    /// (completed reads of readers, first tokens of writers, either of mixed engines); 0 if unknown.
    pub remembered_service_rates: [f64; 3],
}

/// The state of an engine according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Serving,
    /// It finishes the requests that it has and takes no new ones.
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
    /// Its registered weight; 0 if unknown.
    pub weight: f64,
    /// When it last started, if that was recent.
    pub started: Option<Micros>,
}

/// How an endpoint list is to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// All entries; engines that are missing have left the fleet.
    Full,
    /// No list could be obtained; the previous one stays in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was served completely.
    Served,
    /// The prompt was read and its state is ready to be fetched from the reader.
    Read,
    /// The engine answered with an error.
    Error,
    /// Rejected because slots and queue are full.
    Overloaded,
    /// Rejected because there was no state to fetch.
    StateNotFound,
    /// The engine did not answer in time.
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

/// A load report; a value that the engine does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of slots in use.
    pub slots: Option<f64>,
    /// Requests queued at the engine.
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
    /// The number of prompt tokens that belong to the shared prefix.
    pub prefix_tokens: u64,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// The time after which the client gives up.
    pub client_timeout: Micros,
    /// The client continues a stream that broke or was migrated.
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
    /// The request has its final answer, by this outcome or an earlier one.
    pub is_final: bool,
    /// Prompt tokens that the engine had in its cache.
    pub cached_tokens: u64,
    /// The engine's load, if it reported one.
    pub load: Option<LoadReport>,
}

/// An event that a host passes to its router.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list has been received, or could not be obtained.
    EndpointList(ListUpdate, Vec<Endpoint>),
    /// A client's request has arrived.
    RequestArrived(Request),
    /// The first token of an attempt's answer has arrived.
    FirstToken(RequestId, AttemptNumber),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has closed its request.
    ClientLeft(RequestId),
    /// The host cannot continue the request.
    Shed(RequestId),
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

/// An action that a host carries out for its router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine, with this timeout.
    Send(RequestId, EngineId, Micros),
    /// Reject the request: the client may send it again, after the given time if there is one.
    Reject(RequestId, Option<Micros>),
    /// Answer the client that the request failed and may have run.
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
    /// Log a message for operators.
    Log(String),
}

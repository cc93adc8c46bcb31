//! The decisions of pintally. Types, events, actions and settings are in [`crate::interface`].
//!
//! A prompt goes to the reader that is expected to hold most of it in its cache, an unseen one to
//! its preferred replica on a hash ring, and along the ring past readers over a bounded-load cap.
//! After the read the least-loaded writer fetches the state, near ones first. Every other rule is a
//! departure from this path where it breaks down: `docs/design.md`.
//!
//! Each file holds one concern with its constants:
//!
//! | file | concern |
//! | --- | --- |
//! | `endpoints.rs` | the endpoint list |
//! | `admission.rs`, `quota.rs` | arrivals, the in-flight limit, tenants' quotas |
//! | `dispatch.rs` | pending requests and the next step of each |
//! | `reader_choice.rs`, `prefix_affinity.rs`, `hash_ring.rs`, `spill.rs` | the choice of a reader |
//! | `writer_choice.rs`, `rack_links.rs`, `overload.rs` | the choice of a writer |
//! | `slow_start.rs`, `service_rates.rs` | engines that have just started |
//! | `outlier_ejection.rs`, `slowdown.rs`, `timeouts.rs` | engines that fail or are slow |
//! | `attempt_progress.rs`, `attempt_end.rs` | first tokens and outcomes |
//! | `retries.rs`, `releases.rs` | what may be sent again; the end of a request |
//! | `health_checks.rs`, `maintenance.rs` | health checks and periodic work |
//! | `visibility.rs` | how much of the fleet's traffic this node sees |

mod admission;
mod attempt_end;
mod attempt_progress;
mod dispatch;
mod endpoints;
mod hash_ring;
mod health_checks;
mod maintenance;
mod outlier_ejection;
mod overload;
mod prefix_affinity;
mod quota;
mod rack_links;
mod reader_choice;
mod releases;
mod retries;
mod service_rates;
mod slow_start;
mod slowdown;
mod spill;
mod timeouts;
mod visibility;
mod writer_choice;

use std::collections::{BTreeMap, HashMap};

use crate::interface::*;
use crate::state::*;

/// Decides for one node. Hand it every event with the time at which it came.
pub struct Router {
    settings: Settings,
    random: Random,
    pub(crate) engines: Vec<Engine>,
    engine_indices: HashMap<EngineId, usize>,
    /// Measurements by [`AttemptKind`].
    pools: [Pool; 3],
    pub(crate) racks: BTreeMap<u64, Rack>,
    prefix_affinity: PrefixAffinityTable,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    /// Requests that may wait to be dispatched; those that do have their `pending` set.
    pending: Vec<RequestId>,
    /// Prompts rejected lately and when they first arrived.
    rejected_prompts: HashMap<PromptKey, Micros>,
    /// How often each shared prefix arrived lately.
    prefix_arrivals: HashMap<u64, f64>,
    /// By the index of the tenant.
    quota_buckets: Vec<TokenBucket>,
    pub(crate) measurements: NodeMeasurements,
}

impl Router {
    /// A router that knows its settings and nothing of the fleet.
    pub fn new(settings: Settings, seed: u64) -> Router {
        let full_bucket = TokenBucket { tokens: 1.0, refilled_at: 0 };
        Router {
            quota_buckets: vec![full_bucket; settings.tenants.len()],
            settings,
            random: Random(seed),
            engines: Vec::new(),
            engine_indices: HashMap::new(),
            pools: [Pool::default(); 3],
            racks: BTreeMap::new(),
            prefix_arrivals: HashMap::new(),
            prefix_affinity: PrefixAffinityTable::default(),
            requests: HashMap::new(),
            pending: Vec::new(),
            rejected_prompts: HashMap::new(),
            // A fresh node may meet a burst: the limit starts open and measurements lower it.
            measurements: NodeMeasurements { in_flight_limit: f64::INFINITY, ..NodeMeasurements::default() },
        }
    }

    /// Takes in one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update, endpoints) => self.update_endpoints(now, update, endpoints, actions),
            Event::RequestArrived(request) => self.request_arrived(now, request),
            Event::FirstToken(id, attempt) => self.first_token(now, &id, attempt),
            Event::AttemptEnded(end) => self.attempt_ended(now, end, actions),
            Event::ClientLeft(id) => self.close(&id, None, actions),
            Event::HealthChecked(id, answered, load) => self.health_checked(now, &id, answered, load),
            Event::TimerFired(Timer::DispatchPending) => self.measurements.dispatch_timer_set = false,
            Event::TimerFired(Timer::Maintenance) => self.maintain(now, actions),
        }
        self.dispatch_pending(now, actions);
    }

    fn pool(&self, kind: AttemptKind) -> &Pool {
        &self.pools[kind.index()]
    }
}

//! The decisions of pintally. Types, events, actions and settings are in [`crate::interface`].
//!
//! A prompt is read by the reader that is expected to have most of it in its cache. One that no reader
//! has goes to its preferred replica, the first reader on a hash ring, or to the next one on the ring
//! that is not over a bounded-load cap. After the read the least-loaded writer fetches the state, with
//! near writers preferred. All other rules cover cases that this path does not serve well:
//! `docs/design.md`.
//!
//! Each file covers one concern, with its constants:
//!
//! | file | concern |
//! | --- | --- |
//! | `endpoints.rs` | the endpoint list |
//! | `admission.rs`, `quota.rs` | arrivals, the in-flight limit, tenants' quotas |
//! | `dispatch.rs` | pending requests and the next step of each |
//! | `reader_choice.rs`, `prefix_affinity.rs`, `hash_ring.rs`, `spill.rs` | the choice of a reader |
//! | `writer_choice.rs`, `rack_links.rs`, `overload.rs` | the choice of a writer |
//! | `engine_sizes.rs` | what registered weights tell of the sizes of engines |
//! | `slow_start.rs`, `slow_start_turns.rs`, `service_rates.rs` | engines that have started recently |
//! | `slow_start_log.rs` | what operators are shown of slow starts |
//! | `demand.rs` | whether more arrives than engines have been observed to do |
//! | `outlier_ejection.rs`, `slowdown.rs`, `timeouts.rs` | engines that fail or are slow |
//! | `attempt_progress.rs`, `attempt_end.rs` | first tokens and outcomes |
//! | `retries.rs`, `releases.rs` | what may be sent again; the end of a request |
//! | `health_checks.rs`, `maintenance.rs` | health checks and periodic work |
//! | `visibility.rs` | what this node can see of the fleet's traffic and load |

mod admission;
mod attempt_end;
mod attempt_progress;
mod demand;
mod dispatch;
mod endpoints;
mod engine_sizes;
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
mod slow_start_log;
mod slow_start_turns;
mod slowdown;
mod spill;
mod timeouts;
mod visibility;
mod writer_choice;

use std::collections::{BTreeMap, HashMap};

use crate::interface::*;
use crate::state::*;

/// Makes the routing decisions of one node. It has to be passed every event, with the time at which the
/// event occurred.
pub struct Router {
    settings: Settings,
    random: Random,
    pub(crate) engines: Vec<Engine>,
    engine_indices: HashMap<EngineId, usize>,
    /// Measurements, indexed by [`AttemptKind`].
    pools: [Pool; 3],
    /// Indexed by kind of machine.
    kind_services: Vec<KindService>,
    pub(crate) racks: BTreeMap<u64, Rack>,
    pub(crate) prefix_affinity: PrefixAffinityTable,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    /// Requests that may be waiting to be dispatched; those that are have `pending` set.
    pending_requests: Vec<RequestId>,
    /// Prompts rejected lately, with the time of their first arrival.
    pub(crate) rejected_prompts: HashMap<PromptKey, Micros>,
    /// Arrivals of each shared prefix lately, decayed.
    pub(crate) prefix_arrivals: HashMap<u64, f64>,
    /// Indexed by tenant.
    quota_buckets: Vec<TokenBucket>,
    pub(crate) measurements: NodeMeasurements,
}

impl Router {
    /// Creates a router without any endpoints; the seed is that of its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Router {
        let full_bucket = TokenBucket { tokens: 1.0, refilled_at: 0 };
        Router {
            quota_buckets: vec![full_bucket; settings.tenants.len()],
            kind_services: vec![KindService::default(); settings.engine_kinds.len()],
            settings,
            random: Random(seed),
            engines: Vec::new(),
            engine_indices: HashMap::new(),
            pools: [Pool::default(); 3],
            racks: BTreeMap::new(),
            prefix_arrivals: HashMap::new(),
            prefix_affinity: PrefixAffinityTable::default(),
            requests: HashMap::new(),
            pending_requests: Vec::new(),
            rejected_prompts: HashMap::new(),
            // A node may start during a burst: the limit starts unbounded and measurements lower it.
            measurements: NodeMeasurements { in_flight_limit: f64::INFINITY, ..NodeMeasurements::default() },
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(update, endpoints) => self.update_endpoints(now, update, endpoints, actions),
            Event::RequestArrived(request) => self.request_arrived(now, request),
            Event::FirstToken(id, attempt) => self.first_token(now, &id, attempt),
            Event::AttemptEnded(end) => self.attempt_ended(now, end, actions),
            Event::ClientLeft(id) => self.close(&id, None, actions),
            Event::Shed(id) => self.give_up(&id, actions),
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

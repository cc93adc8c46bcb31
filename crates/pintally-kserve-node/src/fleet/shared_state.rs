//! State shared by the fleet thread and the node's other threads.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;

use pintally_host::OrphanedReservation;
use pintally_quota::{LimitStatus, PoolStatus};
use pintally_recovery::Answer;
use pintally_storage::Store;
use serde::Serialize;

use super::endpoint_list::EndpointListSnapshot;
use super::startup::{LateState, RestoredState};
use super::topics::RecordKey;
use crate::failover_leader::DryRunRequest;
use crate::sync::lock;

/// The status of a store, for the counters document.
#[derive(Serialize)]
pub(crate) struct StoreStatus {
    /// Commits that reached at least one copy.
    commits: u64,
    /// Failed commits, counted per copy.
    failed: u64,
    /// Changes that were dropped.
    dropped: u64,
    /// Age of the oldest change that is not committed.
    uncommitted_ms: u64,
}

impl StoreStatus {
    fn new(store: &Store) -> StoreStatus {
        let health = store.health();
        StoreStatus {
            commits: health.commits,
            failed: health.failed,
            dropped: health.dropped,
            uncommitted_ms: store.uncommitted_age().as_millis() as u64,
        }
    }
}

/// State shared by the fleet thread and the others. Each part has its own lock.
#[derive(Default)]
pub(crate) struct FleetShared {
    /// The answer to a peer's recovery query; set by the decision thread.
    pub(crate) recovery_answer: Mutex<Option<Answer>>,
    /// The recovery status document.
    pub(crate) recovery_status: Mutex<Option<pintally_recovery::Status>>,
    /// The membership status document.
    pub(crate) membership_status: Mutex<Option<pintally_membership::Status>>,
    /// The status document of this node's replica, if it runs one.
    pub(crate) consensus_status: Mutex<Option<pintally_consensus::Status>>,
    /// What this node has granted of each limit; `None` if it is not the lease granter.
    pub(crate) granted_pools: Mutex<Option<Vec<PoolStatus>>>,
    /// This node's allocations of the fleet's limits; set by the decision thread.
    pub(crate) limit_status: Mutex<Option<Vec<LimitStatus>>>,
    /// Health and ejection of engines; set by the decision thread.
    pub(crate) outlier_status: Mutex<Option<pintally_outlier_detection::Status>>,
    /// The failover status document: zones, the plan, and the planner's status at the leader.
    pub(crate) failover_status: Mutex<Option<serde_json::Value>>,
    /// Operators' orders for zones, by zone, from the replicated store.
    pub(crate) zone_orders: Mutex<BTreeMap<String, String>>,
    /// A dry run of the failover plan that an operator has requested.
    pub(crate) pending_dry_run: Mutex<Option<DryRunRequest>>,
    /// Engines that operators have cleared at this node, before peers are notified.
    pub(super) cleared_engines: Mutex<Vec<String>>,
    /// The name of the lease granter, if this node knows one.
    pub(crate) lease_granter: Mutex<Option<String>>,
    /// Answers per second of one warm engine of each role; set by the decision thread.
    pub(crate) service_rates: Mutex<[f64; 3]>,
    /// Reservations that engines would hold if the process ended now; set by the decision thread.
    pub(super) reservations_at_exit: Mutex<Vec<OrphanedReservation>>,
    /// The current endpoint list.
    pub(super) endpoint_list: Mutex<Option<EndpointListSnapshot>>,
    /// An endpoint list fetched from a peer, for the watcher.
    pub(super) offered_list: Mutex<Option<String>>,
    /// Whether a peer's endpoint list is being fetched.
    pub(super) list_fetch_running: AtomicBool,
    store: Mutex<Option<Store>>,
}

impl FleetShared {
    /// Sets the current endpoint list, which is gossiped, served to peers and stored.
    pub(crate) fn set_endpoint_list(&self, version: u64, text: &str) {
        *lock(&self.endpoint_list) = Some(EndpointListSnapshot::new(version, text));
        self.store_record(RecordKey::EndpointList, text.as_bytes().to_vec());
    }

    /// Takes the endpoint list that was fetched from a peer, if there is one.
    pub(crate) fn take_offered_list(&self) -> Option<String> {
        lock(&self.offered_list).take()
    }

    /// Takes the state of the previous process, if the disk returned it after the start.
    pub(super) fn take_late_state(&self) -> Option<LateState> {
        let loaded = lock(&self.store).as_ref()?.late_records()?;
        Some(LateState::new(&loaded))
    }

    /// Moves the store out of the restored state; records are stored there from now on.
    pub(crate) fn attach_store(&self, restored: &mut RestoredState) {
        *lock(&self.store) = restored.store.take();
    }

    /// Stores the reservations that engines would hold if the process ended now, if they have changed.
    pub(crate) fn store_reservations_at_exit(&self, reservations: Vec<OrphanedReservation>) {
        let mut stored = lock(&self.reservations_at_exit);
        if *stored == reservations {
            return;
        }
        let named: Vec<_> = reservations.iter().map(|(engine, name)| (&*engine.0, &*name.0)).collect();
        self.store_record(RecordKey::ReservationsAtExit, serde_json::to_vec(&named).unwrap_or_default());
        *stored = reservations;
    }

    /// The status of the store, if the node has one.
    pub(crate) fn store_status(&self) -> Option<StoreStatus> {
        lock(&self.store).as_ref().map(StoreStatus::new)
    }

    /// Stores a record, if the node has a store.
    pub(super) fn store_record(&self, key: RecordKey, payload: Vec<u8>) {
        if let Some(store) = lock(&self.store).as_ref() {
            store.put(key.as_str(), payload);
        }
    }
}

//! Restores a node's state from its store at startup, and creates the recovery that uses it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pintally::interface::{EngineId, Idempotency, Micros, RequestId};
use pintally_config::{NodeSettings, RecoverySettings};
use pintally_host::{Input, OrphanedReservation};
use pintally_membership::ProcessIncarnation;
use pintally_recovery::{self as recovery, ClassPriority, Recovery, RememberedState};
use pintally_storage::{LoadedRecords, StorageFault, Store, StoreSettings};
use tracing::{info, warn};

use super::topics::RecordKey;
use crate::shared::Shared;

/// Maximum number of reservations stored for the next start.
pub(crate) const MAX_STORED_RESERVATIONS: usize = 4096;
/// Maximum number of stored peer addresses that are used as seeds.
const MAX_RESTORED_PEERS: usize = 16;
/// Delay of a disk with the injected fault `slow`.
const SLOW_DISK_DELAY: Duration = Duration::from_secs(3);

/// State of the previous process, restored at startup.
pub(crate) struct RestoredState {
    pub(super) store: Option<Store>,
    pub(crate) endpoint_list: Option<String>,
    /// Answers per second of one warm engine of each role.
    pub(crate) service_rates: [f64; 3],
    /// Reservations that the previous process may have left at engines.
    pub(crate) orphaned_reservations: Vec<OrphanedReservation>,
    pub(super) remembered: RememberedState,
    pub(super) incarnation: ProcessIncarnation,
    /// Addresses of the peers that the previous process knew as alive.
    pub(super) peer_addresses: Vec<SocketAddr>,
}

/// State of the previous process that the disk returned only after the start.
pub(super) struct LateState {
    pub(super) endpoint_list: Option<String>,
    pub(super) orphaned_reservations: Vec<OrphanedReservation>,
}

impl LateState {
    pub(super) fn new(loaded: &LoadedRecords) -> LateState {
        warn_of_issues(loaded);
        info!(records = loaded.records.len(), "stored records were read after the start");
        let records = StoredRecords(loaded);
        LateState {
            endpoint_list: records.text(RecordKey::EndpointList),
            orphaned_reservations: records.orphaned_reservations(),
        }
    }
}

fn warn_of_issues(loaded: &LoadedRecords) {
    for issue in &loaded.issues {
        warn!(%issue, "stored records are missing or corrupt");
    }
}

/// Opens the store and reads its records, within the timeout of the settings.
pub(crate) fn restore_state(settings: &NodeSettings, seed: u64) -> RestoredState {
    let (store, loaded) = match &settings.recovery {
        Some(recovery) => open_store(recovery),
        None => (None, LoadedRecords::default()),
    };
    warn_of_issues(&loaded);
    let records = StoredRecords(&loaded);
    let mut issues: Vec<String> = loaded.issues.iter().map(ToString::to_string).collect();
    if loaded.is_empty() && store.is_some() {
        issues.push("the store has no records of a previous process".into());
    }
    let boot = loaded.latest().boot.max(records.number(RecordKey::Boot).unwrap_or(0)) + 1;
    if let Some(store) = &store {
        store.put(RecordKey::Boot.as_str(), boot.to_le_bytes().to_vec());
    }
    let fleet_rate = records.number(RecordKey::FleetRate).map_or(0.0, f64::from_bits);
    RestoredState {
        endpoint_list: records.text(RecordKey::EndpointList),
        service_rates: records.service_rates(settings),
        orphaned_reservations: records.orphaned_reservations(),
        remembered: RememberedState { fleet_rate, issues },
        incarnation: ProcessIncarnation { boot, nonce: seed },
        peer_addresses: records.peer_addresses(),
        store,
    }
}

/// Decodes the records of a store.
struct StoredRecords<'a>(&'a LoadedRecords);

impl StoredRecords<'_> {
    fn text(&self, key: RecordKey) -> Option<String> {
        let record = self.0.get(key.as_str())?;
        String::from_utf8(record.payload.clone()).ok()
    }

    fn numbers(&self, key: RecordKey) -> Vec<u64> {
        let bytes = self.0.get(key.as_str()).map_or(&[][..], |record| &record.payload);
        let words = bytes.chunks_exact(size_of::<u64>());
        words.filter_map(|word| word.try_into().ok()).map(u64::from_le_bytes).collect()
    }

    fn number(&self, key: RecordKey) -> Option<u64> {
        self.numbers(key).first().copied()
    }

    /// The stored service rates. Without a record: the rate of one engine in the settings, divided by the
    /// number of nodes.
    fn service_rates(&self, settings: &NodeSettings) -> [f64; 3] {
        let per_engine = settings.recovery.as_ref().map_or(0.0, |r| r.requests_per_second_per_engine);
        let mut rates = [per_engine / f64::from(settings.core.node_count.max(1)); 3];
        let stored = self.numbers(RecordKey::ServiceRates).into_iter().map(f64::from_bits);
        for (rate, stored) in rates.iter_mut().zip(stored) {
            if stored.is_finite() && stored > 0.0 {
                *rate = stored;
            }
        }
        rates
    }

    fn orphaned_reservations(&self) -> Vec<OrphanedReservation> {
        let text = self.text(RecordKey::ReservationsAtExit);
        let named = text.and_then(|text| serde_json::from_str::<Vec<(String, String)>>(&text).ok());
        let named = named.unwrap_or_default().into_iter().take(MAX_STORED_RESERVATIONS);
        named.map(|(engine, name)| (EngineId(engine.into()), RequestId(name.into()))).collect()
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let text = self.text(RecordKey::PeerAddresses).unwrap_or_default();
        text.lines().filter_map(|line| line.parse().ok()).take(MAX_RESTORED_PEERS).collect()
    }
}

fn open_store(settings: &RecoverySettings) -> (Option<Store>, LoadedRecords) {
    let Some(folder) = &settings.store else { return (None, LoadedRecords::default()) };
    let (store, loaded) = Store::open(&StoreSettings {
        directory: PathBuf::from(folder),
        commit_interval: Duration::from_micros(settings.commit_interval),
        load_timeout: Duration::from_micros(settings.disk_read_timeout),
        storage_fault: injected_fault(settings),
    });
    (Some(store), loaded)
}

/// The storage fault that the settings inject, and its seed.
pub(crate) fn injected_fault(settings: &RecoverySettings) -> Option<(StorageFault, u64)> {
    let (name, seed) = settings.storage_fault.as_ref()?;
    Some((storage_fault(name)?, *seed))
}

/// Returns the storage fault of a name in the settings.
fn storage_fault(name: &str) -> Option<StorageFault> {
    Some(match name {
        "lost-syncs" => StorageFault::LostSyncs,
        "torn-write" => StorageFault::TornWrite,
        "flipped-bit" => StorageFault::FlippedBit,
        "older-image" => StorageFault::OlderImage,
        "full" => StorageFault::Full,
        "read-only" => StorageFault::ReadOnly,
        "slow" => StorageFault::Slow(SLOW_DISK_DELAY),
        "read-errors" => StorageFault::ReadErrors,
        _ => return None,
    })
}

/// Creates the recovery that the settings describe; `None` without `(recovery ...)`.
pub(crate) fn new_recovery(settings: &NodeSettings, now: Micros) -> Option<Recovery> {
    let configured = settings.recovery.as_ref()?;
    let core = &settings.core;
    let classes = core.classes.iter().map(|class| ClassPriority {
        priority_weight: class.priority_weight,
        at_most_once: class.idempotency == Idempotency::NotIdempotent,
    });
    let recovery_settings = recovery::Settings {
        expected_nodes: expected_nodes(settings),
        has_peers: settings.membership.is_some(),
        peers_queried: configured.peers_queried,
        answer_timeout: configured.answer_timeout,
        query_rounds: configured.query_rounds,
        max_slow_start: configured.max_slow_start,
        slow_start_min_capacity: core.slow_start_min_capacity,
        slow_start_duration: core.slow_start_duration,
        requests_per_second_per_engine: configured.requests_per_second_per_engine,
        uncached_capacity_fraction: configured.uncached_capacity_fraction,
        max_retry_after: if core.clients_honour_retry_after { core.max_retry_after } else { 0 },
        classes: classes.collect(),
    };
    Some(Recovery::new(recovery_settings, now, configured.disk_read_timeout))
}

/// The number of nodes that send to the same engines. With failover only the nodes of a zone share its
/// engines. A node does not know how many nodes each zone has, and assumes that zones have the same number.
fn expected_nodes(settings: &NodeSettings) -> usize {
    let nodes = settings.core.node_count.max(1) as usize;
    match &settings.failover {
        Some(failover) => nodes.div_ceil(failover.policy.zones.zones.len()),
        None => nodes,
    }
}

/// Restores what the disk returned only after the start, and returns the endpoint list of the previous process.
pub(crate) fn restore_late_state(shared: &Shared) -> Option<String> {
    let late = shared.fleet.take_late_state()?;
    shared.send_input(Input::ReservationsInherited(late.orphaned_reservations));
    late.endpoint_list
}

/// Starts recovery at a node without peers, from the store's records alone.
pub(crate) fn start_without_peers(shared: &Shared, restored: &RestoredState) {
    let loaded = recovery::Input::StateLoaded(restored.remembered.clone());
    shared.send_input(Input::Recovery(loaded));
}

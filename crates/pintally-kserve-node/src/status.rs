//! Status documents and counters as JSON, for operators and tools. Tools read them, so that the names in them
//! must not change.

use std::sync::atomic::Ordering;
use std::sync::Mutex;

use pintally_kserve as kserve;
use serde::Serialize;
use serde_json::{json, Value};

use crate::shared::Shared;
use crate::sync::lock;

/// The response to a status request.
pub(crate) struct StatusResponse {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The body, JSON.
    pub(crate) body: String,
}

impl StatusResponse {
    pub(crate) fn ok(body: impl Into<String>) -> StatusResponse {
        StatusResponse { status: 200, body: body.into() }
    }

    /// An error response for a request that a retry cannot help.
    pub(crate) fn error(status: u16, message: &str) -> StatusResponse {
        StatusResponse { status, body: kserve::error_body(message, false) }
    }
}

/// Whether the node accepts requests.
pub(crate) fn readiness(shared: &Shared) -> StatusResponse {
    if shared.serving_engines.load(Ordering::Relaxed) > 0 && !shared.is_closing() {
        StatusResponse::ok("{\"ready\":true}")
    } else {
        StatusResponse { status: 503, body: "{\"ready\":false}".into() }
    }
}

/// Returns a document that another thread has published. `absent` is the error message if there is none.
pub(crate) fn published<T: Serialize>(document: &Mutex<Option<T>>, absent: &str) -> StatusResponse {
    let document = lock(document);
    match document.as_ref().and_then(|document| serde_json::to_string(document).ok()) {
        Some(body) => StatusResponse::ok(body),
        None => StatusResponse::error(404, absent),
    }
}

/// The status of the fleet's limits: this node's allocations, the lease granter, and this node's grants.
pub(crate) fn limits(shared: &Shared) -> StatusResponse {
    let limits = lock(&shared.fleet.limit_status);
    let Some(limits) = limits.as_ref() else {
        return StatusResponse::error(404, "this node has no shared limits in its settings");
    };
    let document = json!({
        "node": shared.settings.name, "lender": *lock(&shared.fleet.lease_granter),
        "limits": limits, "lends": *lock(&shared.fleet.granted_pools),
    });
    StatusResponse::ok(document.to_string())
}

/// The counters of the node's threads and of its host, and the status of cells and of migrations of tenants.
pub(crate) fn counters(shared: &Shared) -> StatusResponse {
    let c = shared.counters();
    let h = c.host;
    let document = json!({
        "cells": cells(shared), "moves": migrations(shared),
        "at_the_edge": h.rejected_by_cell, "gave_way": h.preempted_while_queued,
        "connections": c.connections, "open_connections": shared.open_connections(),
        "over_limit": c.over_limit, "bad_requests": c.bad_requests, "turned_away": c.turned_away,
        "unwritten": c.unwritten, "lists_refused": c.lists_refused,
        "deciding_us": c.deciding.as_micros() as u64,
        "serving_engines": shared.serving_engines.load(Ordering::Relaxed),
        "taken": h.accepted, "served": h.served, "refused": h.rejected, "failed": h.failed,
        "cut": h.streams_cut, "left": h.clients_left, "kept_out": h.rejected_during_recovery,
        "limited": h.rejected_over_quota, "retries_limited": h.retries_over_quota,
        "no_zone": h.rejected_no_zone, "led_far": h.routed_to_other_zone, "attempts": h.attempts,
        "never_sent": h.never_sent, "overdue": h.overdue,
        "releases": h.releases, "releases_by_host": h.releases_by_host,
        "releases_lost": h.releases_lost, "releases_of_left": h.orphaned_releases,
        "inherited": h.reservations_inherited, "stray": h.unmatched_inputs,
        "store": shared.fleet.store_status(),
    });
    StatusResponse::ok(document.to_string())
}

fn cells(shared: &Shared) -> Vec<Value> {
    let cells = lock(&shared.cells);
    let document = cells.iter().map(|cell| {
        json!({
            "cell": &*cell.cell.0, "level": cell.level.name(), "share": cell.capacity,
            "borrowed": cell.borrowed, "strained": cell.overloaded, "failing": cell.failing,
        })
    });
    document.collect()
}

fn migrations(shared: &Shared) -> Vec<Value> {
    let migrations = lock(&shared.migrations);
    let document = migrations
        .iter()
        .map(|(tenant, share, held_back)| json!({ "tenant": tenant, "share": share, "held": held_back }));
    document.collect()
}

//! Counters of the host.

/// Counters since the start of the host; they only increase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub accepted: u64,
    /// Requests rejected before a core saw them.
    pub rejected_before_dispatch: u64,
    /// Of these, requests rejected by the admission of their cell.
    pub rejected_by_cell: u64,
    /// Of these, requests rejected while the fleet recovers.
    pub rejected_during_recovery: u64,
    /// Of these, requests rejected because a quota of the whole fleet was used up.
    pub rejected_over_quota: u64,
    /// Retries denied because a quota of the whole fleet was used up.
    pub retries_over_quota: u64,
    /// Of those rejected before a core saw them, requests rejected because no zone that they may use had capacity.
    pub rejected_no_zone: u64,
    /// Requests routed to another zone than their node's.
    pub routed_to_other_zone: u64,
    /// Queued requests that were preempted by a request of another tenant.
    pub preempted_while_queued: u64,
    /// Final answers with a complete answer.
    pub served: u64,
    /// Final answers with a rejection, those before dispatch included.
    pub rejected: u64,
    /// Final answers that report a failure.
    pub failed: u64,
    /// Answers aborted after they had begun.
    pub streams_cut: u64,
    /// Clients that left before their final answer.
    pub clients_left: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts that a core requested and that were not sent.
    pub never_sent: u64,
    /// Requests that the host ended because the core gave no final answer by the deadline.
    pub overdue: u64,
    /// Releases, without retries.
    pub releases: u64,
    /// Releases of what the core had not released when the request was complete.
    pub releases_by_host: u64,
    /// Releases at the deadline of reservations, while an attempt was in flight that may never have reached its
    /// engine.
    pub releases_guarded: u64,
    /// Releases of reservations of an earlier incarnation.
    pub orphaned_releases: u64,
    /// Reservations of dead peers that this node took over to release them.
    pub reservations_inherited: u64,
    /// Release calls, including retries.
    pub release_calls: u64,
    /// Releases given up because no engine acknowledged them.
    pub releases_lost: u64,
    /// Inputs that match no open request or attempt, such as late or repeated reports.
    pub unmatched_inputs: u64,
}

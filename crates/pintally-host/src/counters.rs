//! What a host counts.

/// Counts since the host began; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub accepted: u64,
    /// Requests turned away before the core saw them.
    pub rejected_before_dispatch: u64,
    /// Of these, turned away at the edge of their cell.
    pub rejected_by_cell: u64,
    /// Of these, kept out while the fleet recovers.
    pub rejected_during_recovery: u64,
    /// Of these, over a limit of the whole fleet.
    pub rejected_over_quota: u64,
    /// Further attempts that a limit of the whole fleet did not allow.
    pub retries_over_quota: u64,
    /// Of those turned away, for want of room in any zone that they may use.
    pub rejected_no_zone: u64,
    /// Requests led to another zone than their node's.
    pub routed_to_other_zone: u64,
    /// Requests that waited and gave up their place to another's part.
    pub preempted_while_queued: u64,
    /// Final answers.
    pub served: u64,
    /// Final answers that turn away, those at the door included.
    pub rejected: u64,
    /// Final answers that say it failed.
    pub failed: u64,
    /// Answers cut off after they had begun.
    pub streams_cut: u64,
    /// Clients that left before their final answer.
    pub clients_left: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts that the core wanted and that could not be made.
    pub never_sent: u64,
    /// Requests whose final answer the core owed and the host gave in its place.
    pub overdue: u64,
    /// Read states let go, repeats not counted.
    pub releases: u64,
    /// Read states that the host let go in the core's place.
    pub releases_by_host: u64,
    /// Of these, those that no attempt's end let go in time: an attempt was out that may never have arrived.
    pub releases_guarded: u64,
    /// Read states of a life before that were let go.
    pub orphaned_releases: u64,
    /// Read states of peers that stayed dead, taken over to be let go.
    pub reservations_inherited: u64,
    /// Calls of releases, repeats counted.
    pub release_calls: u64,
    /// ReleaseRetries given up because the engine never heard them.
    pub releases_lost: u64,
    /// Inputs that fitted nothing: late or doubled word of what is over.
    pub unmatched_inputs: u64,
}

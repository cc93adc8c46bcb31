//! Why requests are rejected, for status documents and the operators.

use pintally::interface::Micros;
use pintally_guards::{Counted, Counts};

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The node is shutting down.
    Stopping,
    /// The client's timeout leaves no time for an answer.
    NoTimeLeft,
    /// The node has reached its limit of open requests.
    TooManyOpen,
    /// The fleet is recovering and sheds load.
    Recovering,
    /// A quota of the whole fleet is used up.
    OverQuota,
    /// No cell or zone that it may use has capacity.
    NoCapacity,
    /// A request of the same name is open.
    NameInUse,
    /// Rejected by the core before any attempt.
    Unsent,
    /// Rejected by the core after attempts that never ran or that are harmless to repeat.
    AfterAttempts,
}

impl Counted for RejectionReason {
    const KINDS: &'static [RejectionReason] = &[
        RejectionReason::Stopping,
        RejectionReason::NoTimeLeft,
        RejectionReason::TooManyOpen,
        RejectionReason::Recovering,
        RejectionReason::OverQuota,
        RejectionReason::NoCapacity,
        RejectionReason::NameInUse,
        RejectionReason::Unsent,
        RejectionReason::AfterAttempts,
    ];

    /// The names are part of the status documents and stay as they are.
    fn kind_name(self) -> &'static str {
        match self {
            RejectionReason::Stopping => "stopping",
            RejectionReason::NoTimeLeft => "no_time_left",
            RejectionReason::TooManyOpen => "too_many_held",
            RejectionReason::Recovering => "recovering",
            RejectionReason::OverQuota => "over_limit",
            RejectionReason::NoCapacity => "no_place",
            RejectionReason::NameInUse => "name_in_use",
            RejectionReason::Unsent => "unsent",
            RejectionReason::AfterAttempts => "after_attempts",
        }
    }
}

/// Counters of rejections, by reason.
pub type Rejections = Counts<RejectionReason>;

/// A rejection before any core sees the request.
pub(crate) struct Rejection {
    pub(crate) reason: RejectionReason,
    /// Time after which the client may repeat the request, if one is advertised.
    pub(crate) retry_after: Option<Micros>,
}

impl Rejection {
    /// A rejection that advertises no time for a retry.
    pub(crate) fn without_retry_after(reason: RejectionReason) -> Rejection {
        Rejection { reason, retry_after: None }
    }
}

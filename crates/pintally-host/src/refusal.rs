//! Why requests are refused, for status pages and for people on call.

use pintally_guards::{Counted, Counts};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The node ends.
    Stopping,
    /// Its client has next to no time left.
    NoTimeLeft,
    /// The node holds as many requests as it may.
    TooManyHeld,
    /// The fleet recovers and lets few in.
    Recovering,
    /// Over a limit of the whole fleet.
    OverLimit,
    /// At the edge of its cell, or no cell or zone takes it.
    NoPlace,
    /// A request of its name is open here.
    NameInUse,
    /// By the core, before any attempt.
    Unsent,
    /// By the core, after attempts that never ran or do no harm.
    AfterAttempts,
}

impl Counted for RefusalReason {
    const KINDS: &'static [RefusalReason] = &[
        RefusalReason::Stopping,
        RefusalReason::NoTimeLeft,
        RefusalReason::TooManyHeld,
        RefusalReason::Recovering,
        RefusalReason::OverLimit,
        RefusalReason::NoPlace,
        RefusalReason::NameInUse,
        RefusalReason::Unsent,
        RefusalReason::AfterAttempts,
    ];

    fn kind_name(self) -> &'static str {
        match self {
            RefusalReason::Stopping => "stopping",
            RefusalReason::NoTimeLeft => "no_time_left",
            RefusalReason::TooManyHeld => "too_many_held",
            RefusalReason::Recovering => "recovering",
            RefusalReason::OverLimit => "over_limit",
            RefusalReason::NoPlace => "no_place",
            RefusalReason::NameInUse => "name_in_use",
            RefusalReason::Unsent => "unsent",
            RefusalReason::AfterAttempts => "after_attempts",
        }
    }
}

/// How often requests were refused, by reason.
pub type Refusals = Counts<RefusalReason>;

//! A replicated key-value store for the small amount of data on which all nodes of a fleet have to agree.
//! Three or five nodes run a replica of it.
//!
//! Terms, votes and the replicated log follow Raft (Ongaro and Ousterhout 2014); membership changes of
//! one replica at a time and the pre-vote follow Ongaro's thesis (2014); the leader's lease follows Gray
//! and Cheriton (1989). One thing differs: a restarted replica does not trust its disk. It first asks the
//! other replicas how long their logs are, and afterwards votes only for candidates whose log is at least
//! as long as the longest one reported ([`Replica`]).
//!
//! The package performs no input or output. The caller passes in messages, the time and a seed for random
//! numbers, and receives the state to persist and the messages to send, in that order. The proofs and
//! bounds are in `docs/consensus.md`.

#![deny(missing_docs)]

mod log;
mod message;
mod output;
mod persistence;
mod replica;
mod settings;
mod status;
mod store;
mod vote_recovery;

pub use log::{LogCommand, LogEntry, LogPosition};
pub use message::Message;
pub use output::{Output, ProposalError};
pub use pintally_validation::InvalidConfiguration;
pub use replica::Replica;
pub use settings::{Settings, MAX_REPLICAS};
pub use status::{ReplicaState, Status};
pub use store::{KeyValueStore, VersionedValue, Write, MAX_KEYS, MAX_KEY_BYTES, MAX_VALUE_BYTES};

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Microseconds of a monotonic clock.
pub type Micros = u64;

/// The name of a replica: the name of the node on which it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaName(pub Arc<str>);

impl From<&str> for ReplicaName {
    fn from(name: &str) -> ReplicaName {
        ReplicaName(name.into())
    }
}

impl fmt::Display for ReplicaName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

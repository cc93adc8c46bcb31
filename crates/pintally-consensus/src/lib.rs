//! A register in common: little that must be agreed on, among three or five *keepers*.
//!
//! Terms, votes and a replicated log after Raft (Ongaro and Ousterhout 2014; changes of members one at a
//! time and votes asked before they are cast after Ongaro's thesis of 2014); leases of the lead after
//! Gray and Cheriton (1989). What differs: a keeper that was restarted does not believe its disk. It
//! asks the others what they hold and votes only for logs that have as much ([`Replica`]). Bytes, time and
//! randomness are handed in; what is to be saved and sent comes out, in this order. `docs/accord.md` has
//! the proofs and bounds.

mod doubt;
mod keeper;
mod log;
mod message;
mod register;
mod settings;
mod status;

pub use keeper::{Output, ProposalError, Replica};
pub use log::{Entry, LogCommand, Position};
pub use message::Message;
pub use pintally_validation::InvalidConfiguration;
pub use register::{KeyValueStore, Value, Write, MAX_KEYS, MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use settings::{Settings, MAX_REPLICAS};
pub use status::Status;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Microseconds of a clock that never goes back.
pub type Micros = u64;

/// A keeper's name: its node's.
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

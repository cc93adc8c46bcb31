//! What a node keeps over a power loss.
//!
//! Records lie in an embedded store (redb), in two copies in files of their own: a flipped bit costs a
//! copy and not the state. Each record carries a checksum, the boot and the sequence number under which
//! it was written. A thread of its own commits; whoever puts a record never waits for a disk, and what
//! is lost with the power is at most what was put since the last commit began ([`Store::at_risk`]).
//! A disk that cannot be read, written or believed never keeps a node from starting: [`Loaded`] says
//! what is lacking. `docs/recovery.md` weighs the options and gives the bounds.

mod disk;
mod lies;
mod loaded;
mod record;
mod store;

pub use disk::{BufferedFile, Disk};
pub use lies::{FaultyFile, StorageFault};
pub use loaded::{LoadIssue, Loaded};
pub use record::{Record, RecordError, MAX_KEY_BYTES, MAX_PAYLOAD_BYTES};
pub use store::{Health, Store, StoreSettings};

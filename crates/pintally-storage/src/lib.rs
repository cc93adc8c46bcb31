//! Durable storage of the state that a node needs after a power loss.
//!
//! Records are stored in an embedded database (redb), in two copies in separate files, so that a flipped bit
//! damages one copy and does not lose the state. Each record carries a checksum, and the boot number and
//! sequence number under which it was written. A separate thread commits, so that [`Store::put`] never waits
//! for a disk. A power loss loses at most what was put since the last commit began
//! ([`Store::uncommitted_age`]). A disk that cannot be read or written, or that returns corrupt data, never
//! prevents a node from starting: [`LoadedRecords`] lists what is missing. `docs/recovery.md` compares the
//! alternatives and gives the bounds.

#![deny(missing_docs)]

mod commit;
mod disk;
mod loaded_records;
mod open;
mod queue;
mod record;
mod storage_faults;
mod store;

pub use disk::{BufferedFile, Disk};
pub use loaded_records::{LoadIssue, LoadedRecords};
pub use queue::CommitHealth;
pub use record::{Record, RecordError, RecordVersion, MAX_KEY_BYTES, MAX_PAYLOAD_BYTES};
pub use storage_faults::{FaultyFile, StorageFault};
pub use store::{Store, StoreSettings};

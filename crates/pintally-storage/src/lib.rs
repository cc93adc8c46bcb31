//! The state that a node keeps over a power loss.
//!
//! Records are stored in an embedded database (redb), in two copies in files of their own: a flipped bit costs one
//! copy and not the state. Each record carries a checksum, and the start number and sequence number under
//! which it was written. A thread of its own commits; whoever puts a record never waits for a disk, and a
//! power loss costs at most what was put since the last commit began ([`Store::uncommitted_age`]). A disk that
//! cannot be read or written, or that returns corrupt data, never prevents a node from starting: [`LoadedRecords`]
//! lists what is missing. `docs/recovery.md` weighs the options and gives the bounds.

#![deny(missing_docs)]

mod commit;
mod disk;
mod load_report;
mod open;
mod queue;
mod record;
mod storage_faults;
mod store;

pub use disk::{BufferedFile, Disk};
pub use load_report::{LoadIssue, LoadedRecords};
pub use queue::CommitHealth;
pub use record::{Record, RecordError, RecordVersion, MAX_KEY_BYTES, MAX_PAYLOAD_BYTES};
pub use storage_faults::{FaultyFile, StorageFault};
pub use store::{Store, StoreSettings};

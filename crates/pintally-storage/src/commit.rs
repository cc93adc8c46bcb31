//! The commit thread: writes the queued changes to all copies, at most once per interval.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use redb::Database;

use crate::open::TABLE;
use crate::queue::{BatchResult, Changes, CommitQueue};
use crate::record::{Record, RecordVersion};

/// Why a commit to a copy failed. The messages are those of the database.
#[derive(Debug, thiserror::Error)]
enum CommitError {
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    #[error(transparent)]
    Table(#[from] redb::TableError),
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// The database panicked.
    #[error("the database panicked during a commit")]
    Panic,
}

/// Commits batches of changes.
pub(crate) struct Committer {
    queue: Arc<CommitQueue>,
    interval: Duration,
    copies: Vec<Option<Database>>,
    /// The boot number of this process, under which it writes.
    boot: u64,
    /// The sequence number that was used last.
    sequence: u64,
}

impl Committer {
    /// Creates a committer whose boot number and sequence numbers are above the highest ones found.
    pub(crate) fn new(
        queue: Arc<CommitQueue>,
        interval: Duration,
        copies: Vec<Option<Database>>,
        latest: RecordVersion,
    ) -> Committer {
        Committer { queue, interval, copies, boot: latest.boot + 1, sequence: latest.sequence }
    }

    /// Commits until the store is closed. The first commit does not wait for the interval.
    pub(crate) fn run(mut self) {
        let mut not_before = Instant::now();
        loop {
            let batch = self.queue.wait_for_batch(not_before);
            let started = Instant::now();
            not_before = started + self.interval;
            let records = self.records(batch.changes);
            let result = self.commit_to_copies(started, &records);
            self.queue.finish_batch(result);
            if batch.is_last {
                return;
            }
        }
    }

    fn records(&mut self, changes: Changes) -> Vec<Record> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = since_epoch.as_millis() as u64;
        let boot = self.boot;
        changes
            .into_iter()
            .map(|(key, payload)| {
                self.sequence += 1;
                Record { key, boot, sequence: self.sequence, unix_ms, payload }
            })
            .collect()
    }

    fn commit_to_copies(&self, started: Instant, records: &[Record]) -> BatchResult {
        let mut result = BatchResult { started, is_committed: false, failed_copies: 0, last_error: None };
        for database in self.copies.iter().flatten() {
            // A panic of the database on unexpected data fails the commit and does not end the thread.
            let commit_result = catch_unwind(AssertUnwindSafe(|| commit(database, records)));
            match commit_result.unwrap_or(Err(CommitError::Panic)) {
                Ok(()) => result.is_committed = !records.is_empty(),
                Err(error) => {
                    result.failed_copies += 1;
                    result.last_error = Some(error.to_string());
                }
            }
        }
        result
    }
}

fn commit(database: &Database, records: &[Record]) -> Result<(), CommitError> {
    if records.is_empty() {
        return Ok(());
    }
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(TABLE)?;
        for record in records {
            table.insert(record.key.as_str(), record.encode().as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}

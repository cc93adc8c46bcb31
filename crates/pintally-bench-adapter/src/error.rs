//! Errors that end the adapter before the end of its input.

use std::io;

use thiserror::Error;

/// An error of the input or the output, and the line of the input at which it occurred.
#[derive(Debug, Error)]
#[error("pintally-bench-adapter: line {line}: {cause}")]
pub struct StreamError {
    /// The number of the line, from 1.
    pub line: u64,
    /// The cause.
    pub cause: StreamErrorCause,
}

/// The cause of a [`StreamError`].
#[derive(Debug, Error)]
pub enum StreamErrorCause {
    /// The input could not be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// The output could not be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// A line is not a message of the bench's protocol.
    #[error("malformed message: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A message arrived outside a batch.
    #[error("a batch must begin with its `batch` line")]
    OutsideBatch,
    /// The input ended before the batch did.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
    /// A batch began before the previous one had ended.
    #[error("a batch began inside a batch")]
    NestedBatch,
}

//! What ends the adapter before the end of its input.

use std::io;

use thiserror::Error;

/// A fault of the input or the output, and in which line of the input.
#[derive(Debug, Error)]
#[error("pintally-bench-adapter: line {line}: {cause}")]
pub struct StreamError {
    /// The number of the line, from 1.
    pub line: u64,
    /// What is wrong.
    pub cause: StreamErrorCause,
}

/// What is wrong with the input or the output.
#[derive(Debug, Error)]
pub enum StreamErrorCause {
    /// The input could not be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// The output could not be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// A line is no message of the wire.
    #[error("malformed message: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A message came outside a batch.
    #[error("a batch must begin with its `batch` line")]
    OutsideBatch,
    /// The input ended before the batch did.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
    /// A batch began before the last one had ended.
    #[error("a batch began inside a batch")]
    NestedBatch,
}

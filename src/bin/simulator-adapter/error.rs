//! Errors of the adapter.

use std::io;
use thiserror::Error;

/// Why the adapter ended.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("output: {0}")]
    Output(#[source] io::Error),
    /// A message is invalid.
    #[error("line {number}: {source}")]
    Message {
        /// Number of its line, from 1.
        number: u64,
        /// What is wrong with it.
        source: MessageError,
    },
}

/// A message that is invalid. Messages are named as the simulator spells them.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The line is no JSON object with a `cmd`.
    #[error(transparent)]
    Malformed(#[from] simd_json::Error),
    /// The fields of a message do not fit its `cmd`.
    #[error("{command}: {source}")]
    Fields {
        /// The message's `cmd`.
        command: String,
        /// The parser's error.
        source: simd_json::Error,
    },
    /// A batch began before the one before had ended.
    #[error("Clock inside a batch")]
    NestedBatch,
    /// A message stands outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// The input ended within a batch.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
    /// A list of endpoints names no table.
    #[error("Members: no sheet")]
    NoTable,
    /// A list of endpoints names a table that was not sent.
    #[error("Members: unknown sheet {0}")]
    UnknownTable(u64),
    /// An endpoint of a table has an unknown state.
    #[error("Table: unknown lifecycle {0:?}")]
    UnknownState(String),
    /// A request is of an unknown class.
    #[error("JobIn: unknown class {0:?}")]
    UnknownClass(String),
    /// An attempt or a health check ended with an unknown outcome.
    #[error("Settled: unknown status {0:?}")]
    UnknownOutcome(String),
}

/// A request id that is not 16 lower-case hex digits.
#[derive(Debug, Error)]
#[error("request id {0:?} is not 16 hex digits")]
pub struct RequestIdError(pub String);

//! Errors of the adapter.

use std::io;
use thiserror::Error;

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write standard output: {0}")]
    Output(#[source] io::Error),
    /// A message is invalid.
    #[error("line {line_number}: {source}")]
    Message {
        /// The message's line number, from 1.
        line_number: u64,
        /// Why the message is invalid.
        source: MessageError,
    },
}

/// Why a message is invalid. Error texts use the names of the simulator protocol.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The line is not a JSON object with a `cmd`.
    #[error(transparent)]
    Malformed(#[from] simd_json::Error),
    /// The fields of a message are invalid for its `cmd`.
    #[error("{command}: {source}")]
    Fields {
        /// The message's `cmd`.
        command: String,
        /// The parser's error.
        source: simd_json::Error,
    },
    /// A batch started within another batch.
    #[error("Clock inside a batch")]
    NestedBatch,
    /// A message was sent outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// The input ended within a batch.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
    /// An endpoint list does not name a table.
    #[error("Members: no sheet")]
    NoTable,
    /// An endpoint list names a table that was not sent.
    #[error("Members: unknown sheet {0}")]
    UnknownTable(u64),
    /// An endpoint in a table has an unknown state.
    #[error("Table: unknown lifecycle {0:?}")]
    UnknownState(String),
    /// A request has an unknown class.
    #[error("JobIn: unknown class {0:?}")]
    UnknownClass(String),
    /// An attempt or a health check has an unknown outcome.
    #[error("unknown status {0:?}")]
    UnknownOutcome(String),
}

/// A request id is not 16 lower-case hex digits.
#[derive(Debug, Error)]
#[error("request id {0:?} is not 16 lower-case hex digits")]
pub struct RequestIdError(pub String);

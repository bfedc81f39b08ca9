//! Containment of panics: a fault in the handling of one request must not end the handling of others.

use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;

/// An operation panicked. The panic hook has logged its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the operation panicked")]
pub struct Panicked;

/// Runs an operation, and returns an error if it panics. The caller must then repair or drop the state that the
/// operation may have left inconsistent.
///
/// Drop implementations that do more than release memory run that in here: a panic in a drop while another one
/// unwinds aborts the process.
pub fn contain<R>(operation: impl FnOnce() -> R) -> Result<R, Panicked> {
    catch_unwind(AssertUnwindSafe(operation)).map_err(|_| Panicked)
}

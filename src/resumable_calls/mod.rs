//! Calls that outlive the connection of their client: a client whose connection is lost retries under the same call id
//! and gets the response of the one call that was accepted. Shared by the fronts of all transports.
//!
//! | module | responsibility | I/O |
//! | --- | --- | --- |
//! | [`response_store`] | running calls and kept responses, bounded | none |
//! | [`call_registry`] | submits calls to the engine and hands their responses to all waiting clients | tasks |

pub mod call_registry;
pub mod response_store;

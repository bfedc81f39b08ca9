//! The file descriptor budget. Each kind of connection has its own share, so that idle clients cannot exhaust
//! the descriptors of the endpoint watch, the connections to endpoints or the admin address.

use crate::wire::admin::MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS;
use rlimit::Resource;
use thiserror::Error;

/// Descriptors reserved for what the budget does not count: listeners, the endpoint watch and its
/// replacement, the registry watch, a file being read, and one accepted client per listener that waits for a
/// slot.
const RESERVED_DESCRIPTORS: usize = 8;
/// Number of descriptors assumed open at the start, for the standard streams and the runtime, if they cannot
/// be counted.
const DEFAULT_OPEN_DESCRIPTORS: usize = 8;
/// Minimum number of connections, both to clients and to endpoints.
const MIN_CONNECTIONS: usize = 1;
/// The descriptor limit divided by this is the maximum number of clients of the admin address, between 1 and
/// [`MAX_ADMIN_CONNECTIONS`].
const DESCRIPTORS_PER_ADMIN_CLIENT: usize = 16;
/// Linux's list of the open descriptors of this process.
const DESCRIPTOR_DIR: &str = "/proc/self/fd";

/// The file descriptors of a process at startup.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// Maximum number of open descriptors.
    pub max: usize,
    /// Number of descriptors that are open already.
    pub open: usize,
}

impl Descriptors {
    /// The descriptors of this process. The limit is the lower of `configured` and the soft limit of the
    /// system.
    pub fn of_process(configured: usize) -> Self {
        let system = Resource::NOFILE
            .get()
            .map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
        let max = configured.min(system);
        Self { max, open: count_open_below(max).unwrap_or(DEFAULT_OPEN_DESCRIPTORS) }
    }

    /// The descriptors of a hypothetical process with the limit `configured` and the usual number of open
    /// descriptors.
    pub fn estimated(configured: usize) -> Self {
        Self { max: configured, open: DEFAULT_OPEN_DESCRIPTORS }
    }
}

/// Counts the open descriptors below `max`: only those count against the limit of the system.
fn count_open_below(max: usize) -> Option<usize> {
    let entries = std::fs::read_dir(DESCRIPTOR_DIR).ok()?;
    let numbers = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<usize>().ok());
    // Minus the descriptor of the directory listing itself.
    Some(numbers.filter(|number| *number < max).count().saturating_sub(1))
}

/// The descriptors needed besides those for the platform's clients, the endpoints and the admin address.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorDemand {
    /// Clients of signed URLs, over all listeners.
    pub signed_url_clients: usize,
    /// Maximum number of connections of all other enabled subsystems.
    pub other_subsystems: usize,
    /// Whether the listening socket was inherited: a new process may then serve at the same time and share
    /// the limit.
    pub handed_over: bool,
}

impl DescriptorDemand {
    /// The descriptors of all enabled subsystems.
    pub fn subsystems(&self) -> usize {
        self.signed_url_clients + self.other_subsystems
    }
}

/// The descriptor limit is too low for the enabled subsystems.
#[derive(Debug, Error)]
#[error(
    "{max} file descriptors are too few: the enabled subsystems need {needed}, besides clients and endpoints"
)]
pub struct InsufficientDescriptors {
    /// The limit.
    pub max: usize,
    /// The descriptors that the subsystems need.
    pub needed: usize,
}

/// The maximum number of connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// The platform's clients, over all listeners.
    pub clients: usize,
    /// Connections to all endpoints.
    pub endpoints: usize,
    /// Clients of the admin address.
    pub admin_clients: usize,
    /// Whether the limit is too low for the enabled subsystems.
    pub is_insufficient: bool,
}

impl DescriptorBudget {
    /// Divides the descriptors: up to two fifths for clients and as much for endpoints, or a quarter for
    /// endpoints if the listening socket was inherited. Both get less if the subsystems need more.
    pub fn new(descriptors: Descriptors, demand: DescriptorDemand) -> Self {
        let Descriptors { max, open } = descriptors;
        let max_share = max * 2 / 5;
        let admin_clients = MAX_ADMIN_CONNECTIONS.min(max / DESCRIPTORS_PER_ADMIN_CLIENT).max(1);
        let spare = max.saturating_sub(open + RESERVED_DESCRIPTORS + admin_clients + demand.subsystems());
        let endpoint_share = if demand.handed_over { max / 4 } else { max_share };
        let clients = max_share.min(spare / 2);
        let endpoints = endpoint_share.saturating_sub(demand.signed_url_clients / 2).min(spare - clients);
        Self {
            clients: clients.max(MIN_CONNECTIONS),
            endpoints: endpoints.max(MIN_CONNECTIONS),
            admin_clients,
            is_insufficient: clients.min(endpoints) < MIN_CONNECTIONS,
        }
    }
}

#[cfg(test)]
mod tests;

//! The budget of file descriptors: each kind of connection has its own part of those that a process may hold, so that
//! idle clients cannot use up those of the endpoint watch, of connections to endpoints or of the admin address.

use crate::wire::admin::MAX_CLIENTS as MAX_ADMIN_CLIENTS;
use rlimit::Resource;
use thiserror::Error;

/// Descriptors that a serving process opens besides connections that are counted here: listeners, the endpoint watch
/// and the one that replaces it, a registry's watch, a file that is read, and one client a listener that waits for a
/// slot.
const UNCOUNTED: usize = 8;
/// Descriptors that are open before anything is served where they cannot be counted: standard streams, the runtime's.
const OPEN_AT_START: usize = 8;
/// The fewest connections of clients, and of endpoints, with which anything can be served.
const MIN_CONNECTIONS: usize = 1;
/// The admin address has one descriptor in this many, and [`MAX_ADMIN_CLIENTS`] at most.
const DESCRIPTORS_PER_ADMIN_CLIENT: usize = 16;
/// The operating system's list of this process's open descriptors.
const OPEN_DESCRIPTORS: &str = "/proc/self/fd";

/// The descriptors of a process before it serves.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// Those that it may hold.
    pub max: usize,
    /// Those that are open.
    pub open: usize,
}

impl Descriptors {
    /// The descriptors of this process, which may hold `configured` by its configuration and fewer where the operating
    /// system allows fewer.
    pub fn of_process(configured: usize) -> Self {
        let system = Resource::NOFILE
            .get()
            .map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
        let max = configured.min(system);
        Self { max, open: count_open_below(max).unwrap_or(OPEN_AT_START) }
    }

    /// The descriptors of a process that may hold `configured` and has opened what any process does.
    pub fn expected(configured: usize) -> Self {
        Self { max: configured, open: OPEN_AT_START }
    }
}

/// Counts the open descriptors with a number below `max`: only those count against the system's limit.
fn count_open_below(max: usize) -> Option<usize> {
    let entries = std::fs::read_dir(OPEN_DESCRIPTORS).ok()?;
    let numbers = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<usize>().ok());
    // One of them is that of the list.
    Some(numbers.filter(|number| *number < max).count().saturating_sub(1))
}

/// The descriptors that are needed besides those of the platform's clients, the endpoints and the admin address.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorDemand {
    /// Clients of signed URLs, at all listeners.
    pub signed_url_clients: usize,
    /// All other subsystems, each within the bounds of its own file.
    pub other_subsystems: usize,
    /// A new process may serve beside this one: both have their descriptors of one limit.
    pub handed_over: bool,
}

impl DescriptorDemand {
    /// The descriptors of all subsystems that are on.
    pub fn subsystems(&self) -> usize {
        self.signed_url_clients + self.other_subsystems
    }
}

/// The limit of descriptors does not suffice for the subsystems that are on.
#[derive(Debug, Error)]
#[error("{max} are too few: what is on needs {needed} beside clients and endpoints")]
pub struct InsufficientDescriptors {
    /// The limit.
    pub max: usize,
    /// The descriptors that the subsystems need.
    pub needed: usize,
}

/// How many connections of each kind there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// The platform's clients, at all listeners.
    pub clients: usize,
    /// Connections to all endpoints.
    pub endpoints: usize,
    /// Clients of the admin address.
    pub admin_clients: usize,
    /// The descriptors do not suffice for what is on.
    pub is_insufficient: bool,
}

impl DescriptorBudget {
    /// Divides the descriptors: two fifths to clients and two fifths to endpoints, where that leaves enough for the rest.
    pub fn new(descriptors: Descriptors, demand: DescriptorDemand) -> Self {
        let Descriptors { max, open } = descriptors;
        let two_fifths = max * 2 / 5;
        let admin_clients = MAX_ADMIN_CLIENTS.min(max / DESCRIPTORS_PER_ADMIN_CLIENT).max(1);
        let spare = max.saturating_sub(open + UNCOUNTED + admin_clients + demand.subsystems());
        let endpoint_part = if demand.handed_over { max / 4 } else { two_fifths };
        let clients = two_fifths.min(spare / 2);
        let endpoints = endpoint_part.saturating_sub(demand.signed_url_clients / 2).min(spare - clients);
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

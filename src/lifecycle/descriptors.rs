//! How the file descriptors that a process may hold are shared: each kind of connection has its own, so that idle clients
//! can't take those of the membership watch, the dials to members or the second address.

use crate::wire::admin::MAX_CLIENTS;
use rlimit::Resource;

/// Descriptors that a serving process opens besides connections that are counted here: listeners, the endpointship watch
/// and the one that replaces it, a registry's watch, a file that is read, and one newcomer a listener that waits for a
/// place.
const OWN: usize = 8;
/// Descriptors that are open before anything is served where they can't be counted: standard streams, the runtime's.
const HELD_AT_START: usize = 8;
/// The fewest connections of clients, and of endpoints, with which anything can be served.
const MIN_CONNECTIONS: usize = 1;
/// The second address has this part of all descriptors, and [`MAX_CLIENTS`] at most.
const CALLERS_PART: usize = 16;
/// Where the operating system's list of this process's descriptors stands.
const LIST: &str = "/proc/self/fd";

/// The descriptors of a process, as they stand before it serves.
#[derive(Clone, Copy, Debug)]
pub struct Descriptors {
    /// The most that it may hold.
    pub most: usize,
    /// Those that are open by now.
    pub held: usize,
}

impl Descriptors {
    /// Of a process that may hold `sockets` by its configuration: the machine may allow fewer.
    pub fn of_process(sockets: usize) -> Self {
        let machine = Resource::NOFILE
            .get()
            .map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX));
        let most = sockets.min(machine);
        Self { most, held: open_below(most).unwrap_or(HELD_AT_START) }
    }

    /// Of a process that may hold `sockets`, and that has opened what any process does.
    pub fn planned(sockets: usize) -> Self {
        Self { most: sockets, held: HELD_AT_START }
    }
}

/// How many descriptors with a number below `most` are open: only those count against the machine's limit.
fn open_below(most: usize) -> Option<usize> {
    let numbers = std::fs::read_dir(LIST).ok()?;
    let numbers = numbers.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<usize>().ok());
    // One of them is the list's own.
    Some(numbers.filter(|number| *number < most).count().saturating_sub(1))
}

/// What takes descriptors besides the platform's clients, the endpoints and the second address.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorDemand {
    /// Clients of the second front, at all its listeners.
    pub signed: usize,
    /// Everything else that is on, each within the bounds of its own file.
    pub others: usize,
    /// A new process may serve beside this one: both have their descriptors of one limit.
    pub handed_over: bool,
}

/// How many connections of each kind there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// The platform's clients, at all listeners.
    pub clients: usize,
    /// Connections to all endpoints.
    pub endpoints: usize,
    /// Callers at the second address.
    pub callers: usize,
    /// The descriptors do not suffice for what is on.
    pub short: bool,
}

impl DescriptorBudget {
    /// Shares the descriptors: two fifths to clients, two fifths to endpoints, where that leaves enough for all else.
    pub fn of(descriptors: Descriptors, demand: DescriptorDemand) -> Self {
        let Descriptors { most, held } = descriptors;
        let callers = MAX_CLIENTS.min(most / CALLERS_PART).max(1);
        let taken = held + OWN + callers + demand.signed + demand.others;
        let spare = most.saturating_sub(taken);
        let members_part = if demand.handed_over { most / 4 } else { most * 2 / 5 };
        let clients = (most * 2 / 5).min(spare / 2);
        let endpoints = members_part.saturating_sub(demand.signed / 2).min(spare - clients);
        Self {
            clients: clients.max(MIN_CONNECTIONS),
            endpoints: endpoints.max(MIN_CONNECTIONS),
            callers,
            short: clients.min(endpoints) < MIN_CONNECTIONS,
        }
    }
}

#[cfg(test)]
mod tests;

//! The members by id, with their addresses and when this proxy was told that they drain or are gone.

use crate::wire::frames::Target;
use crate::MemberId;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// The list as last told.
#[derive(Debug, Default)]
pub struct Roster {
    /// Members that are listed, as told, whatever their state.
    listed: HashMap<MemberId, Target>,
    live: HashMap<MemberId, SocketAddrV4>,
}

impl Roster {
    /// Notes a list or its changes as told.
    pub fn hear(&mut self, full: bool, targets: &[Target]) {
        if full {
            self.listed.clear();
        }
        for target in targets {
            if target.row.lifecycle == "dead" {
                self.listed.remove(&target.row.cache);
            } else {
                self.listed.insert(target.row.cache, target.clone());
            }
        }
    }

    /// A member's line as last told.
    pub fn listed(&self, id: MemberId) -> Option<&Target> {
        self.listed.get(&id)
    }

    /// All of them.
    pub fn all_listed(&self) -> impl Iterator<Item = &Target> {
        self.listed.values()
    }

    /// Takes a list or its changes; tells which members may get nothing new from now on, or have moved.
    pub fn update(&mut self, full: bool, targets: &[Target]) -> Vec<MemberId> {
        let before: Vec<(MemberId, SocketAddrV4)> = self.live.iter().map(|(id, at)| (*id, *at)).collect();
        if full {
            let listed: HashSet<MemberId> = targets.iter().map(|t| t.row.cache).collect();
            self.live.retain(|id, _| listed.contains(id));
        }
        for target in targets {
            if target.row.lifecycle == "live" {
                self.live.insert(target.row.cache, target.address);
            } else {
                self.live.remove(&target.row.cache);
            }
        }
        let moved = before.into_iter().filter(|(id, at)| self.live.get(id) != Some(at));
        moved.map(|(id, _)| id).collect()
    }

    /// The address of a member that may get new work.
    pub fn address(&self, id: MemberId) -> Option<SocketAddrV4> {
        self.live.get(&id).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Row;

    fn target(cache: u32, lifecycle: &str, port: u16) -> Target {
        let row = Row {
            zone: String::new(),
            model: String::new(),
            lifecycle: lifecycle.into(),
            ready_at_us: 0,
            cache,
            power_hint: None,
            cohort: 0,
        };
        Target { row, address: SocketAddrV4::new([127, 0, 0, 1].into(), port) }
    }

    #[test]
    fn drained_absent_and_moved_members_are_told() {
        let mut roster = Roster::default();
        let start: Vec<_> = [1, 2, 3, 4].map(|id| target(id, "live", 100 + id as u16)).into();
        assert!(roster.update(true, &start).is_empty());
        assert_eq!(roster.update(false, &[target(1, "quiescing", 101)]), [1]);
        let mut gone = roster.update(true, &[target(2, "live", 102), target(3, "live", 99)]);
        gone.sort_unstable();
        assert_eq!(gone, [3, 4]);
        assert_eq!(roster.address(1), None);
        assert_eq!(roster.address(3).map(|a| a.port()), Some(99));
        // A new member at the address of one that has gone.
        assert!(roster.update(false, &[target(9, "live", 101)]).is_empty());
        assert_eq!(roster.address(9).map(|a| a.port()), Some(101));
    }
}

//! A proxy's replica of the purge log: a leader or a follower.

use super::active_purges::ActivePurges;
use super::config::{PurgeConfig, Role};
use super::follower::{Follower, ReceiveError};
use super::leader::{Leader, SubmitError};
use super::log::LogError;
use super::metrics::ReplicaStatus;
use super::selector::Selector;
use super::wire::{Batch, PurgeList, SubmitResponse};

/// A leader or a follower.
#[derive(Debug)]
pub enum Replica {
    /// A leader.
    Leader(Box<Leader>),
    /// A follower.
    Follower(Box<Follower>),
}

impl Replica {
    /// Recovers the replica from its log and activates the logged purges.
    pub fn open(
        config: &PurgeConfig,
        active: &mut ActivePurges,
        now_ms: f64,
        seed: u64,
    ) -> Result<Self, LogError> {
        Ok(match config.role {
            Role::Leader => Self::Leader(Box::new(Leader::open(config, active, now_ms, seed)?)),
            Role::Follower => Self::Follower(Box::new(Follower::open(config, active, now_ms)?)),
        })
    }

    /// The leader, if this is one.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        match self {
            Self::Leader(leader) => Some(leader),
            Self::Follower(_) => None,
        }
    }

    /// Applies the purges that other processes of this proxy have logged.
    pub fn catch_up(&mut self, active: &mut ActivePurges, now_ms: f64) -> Result<(), LogError> {
        match self {
            Self::Leader(leader) => leader.catch_up(active, now_ms),
            Self::Follower(follower) => follower.catch_up(active, now_ms),
        }
    }

    /// Issues a purge; fails at a follower.
    pub fn submit(
        &mut self,
        selector: Selector,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<SubmitResponse, SubmitError> {
        match self {
            Self::Leader(leader) => leader.submit(selector, active, now_ms),
            Self::Follower(_) => Err(SubmitError::NotLeader),
        }
    }

    /// Applies a batch and returns the highest sequence number applied; fails at a leader.
    pub fn receive(
        &mut self,
        batch: &Batch,
        active: &mut ActivePurges,
        now_ms: f64,
    ) -> Result<u64, ReceiveError> {
        match self {
            Self::Leader(_) => Err(ReceiveError::NotFollower),
            Self::Follower(follower) => follower.receive(batch, active, now_ms),
        }
    }

    /// Flushes the log to disk.
    pub fn sync(&mut self) -> Result<(), LogError> {
        match self {
            Self::Leader(leader) => leader.sync(),
            Self::Follower(follower) => follower.sync(),
        }
    }

    /// At most `max` purges from sequence number `from` on: the retained ones at a leader, the active ones at
    /// a follower.
    pub fn list(&self, active: &ActivePurges, from: u64, max: usize) -> PurgeList {
        match self {
            Self::Leader(leader) => leader.list(from, max),
            Self::Follower(follower) => follower.list(active, from, max),
        }
    }

    /// The status of the leader or follower.
    pub fn status(&self, active: &ActivePurges) -> ReplicaStatus {
        match self {
            Self::Leader(leader) => leader.status(active),
            Self::Follower(follower) => follower.status(active),
        }
    }
}

//! A proxy's part in its fleet's purges: the leader numbers purges, writes them down before anybody hears of
//! them, and fans them out; a follower takes them in order and writes down what it applied. Both bind their
//! ledger at once, and both find their place again after a crash from the log.
//!
//! What a restart resumes from: the highest number given out or applied (never given out twice), the purges
//! still held (they bind again before the first request), the fleet's `done` mark, and each target's
//! acknowledgement, so that a target that had all is not told again and one that lacked some is told exactly
//! those. An acknowledgement is written without waiting for the disk; one lost to a power cut costs a repeat,
//! which the target skips by its number.
//!
//! The only I/O here is the log's file; the sockets are the driver's.

use super::active_purges::{Applied, Ledger, Mark, Purge};
use super::config::{PurgeConfig, Role};
use super::fanout::{Backoff, FanOut, Heard, Standing};
use super::log::{LogError, PurgeLog, Record, Snapshot, TailFault, MIN_PURGE_RECORD};
use super::selector::Selector;
use super::wire::{Batch, Listing, Submitted};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a purge was not issued. Nothing changed.
#[derive(Debug, Error)]
pub enum SubmitError {
    /// Only the leader numbers purges.
    #[error("this proxy is a follower: submit to the leader")]
    NotLeader,
    /// The log can't be written.
    #[error("{0}")]
    Log(#[from] LogError),
}

/// Why a batch was not taken. Nothing changed.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// A leader takes no batches: two leaders would number purges twice.
    #[error("this proxy is a leader and takes no batches")]
    NotFollower,
    /// The purges of a batch are not in order.
    #[error("the purges of a batch are not in order")]
    Disordered,
    /// The log can't be written.
    #[error("{0}")]
    Log(#[from] LogError),
}

/// Figures of a proxy's purges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Figures {
    /// Purges issued here.
    pub issued: u64,
    /// Purges taken from the leader.
    pub received: u64,
    /// Purges of a batch that were had already.
    pub repeats: u64,
    /// Batches that came with a gap.
    pub gaps: u64,
    /// Batches sent, and of those, failed.
    pub batches: u64,
    /// Batches that failed.
    pub failures: u64,
    /// Floors sent in place of purges no longer held.
    pub floors: u64,
    /// Times the log was written anew.
    pub compactions: u64,
    /// Targets that said they had lost what they had applied.
    pub lost: u64,
}

/// A batch ready to go.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The target's name.
    pub target: String,
    /// Where it is.
    pub address: SocketAddr,
    /// What it is told.
    pub batch: Batch,
}

/// This proxy's purges. See the module's page.
#[derive(Debug)]
pub struct Book {
    role: Role,
    name: String,
    /// The leader's log from `first` on; a follower holds what binds in its ledger alone.
    entries: BTreeMap<u64, Purge>,
    first: u64,
    last: u64,
    done: u64,
    /// The newest purge no longer held: what a target that lacks it gets as a floor.
    let_go: Option<Mark>,
    /// The issue time of the last purge given out, which the next may not come before.
    last_issued_ms: f64,
    queue_most: usize,
    compact_bytes: u64,
    fanout: FanOut,
    addresses: BTreeMap<String, SocketAddr>,
    fixed: Vec<(String, SocketAddr)>,
    log: Option<PurgeLog>,
    fault: Option<TailFault>,
    /// Its figures.
    pub figures: Figures,
}

/// What [`Book::status`] tells.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// This proxy's role.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// The highest number given out or applied.
    pub last: u64,
    /// The fleet's `done` mark.
    pub done: u64,
    /// The lowest number held.
    pub first: u64,
    /// Purges held in the log.
    pub held: usize,
    /// Purges that bind in the ledger, folded ones, the floor, and the ledger's bytes.
    pub binding: usize,
    /// Purges folded into the ledger's floor.
    pub folded: u64,
    /// The ledger's floor.
    pub floor: Option<Mark>,
    /// The ledger's bytes, estimated.
    pub ledger_bytes: usize,
    /// The targets.
    pub targets: BTreeMap<String, super::fanout::Peer>,
    /// The log file and its size, if there is one.
    pub log: Option<(String, u64)>,
    /// The fault found at the log's tail when it was read.
    pub fault: Option<TailFault>,
    /// The figures.
    pub figures: Figures,
}

impl Book {
    /// Opens the book of an operator file: reads its log, if it has one, and binds `ledger` with what it holds.
    pub fn open(config: &PurgeConfig, ledger: &mut Ledger, now_ms: f64, seed: u64) -> Result<Self, LogError> {
        let backoff: Backoff = config.backoff;
        let mut book = Self {
            role: config.role,
            name: config.name.clone(),
            entries: BTreeMap::new(),
            first: 1,
            last: 0,
            done: 0,
            let_go: None,
            last_issued_ms: 0.0,
            queue_most: config.queue_most,
            compact_bytes: config.compact_bytes,
            fanout: FanOut::new(backoff, config.fanout_bounds(), seed),
            addresses: BTreeMap::new(),
            fixed: config.fixed_targets(),
            log: None,
            fault: None,
            figures: Figures::default(),
        };
        let mut acked = BTreeMap::new();
        if let Some(path) = &config.state {
            let (log, records, fault) = PurgeLog::open(path)?;
            book.log = Some(log);
            book.fault = fault;
            for record in records {
                book.replay(record, ledger, &mut acked);
            }
        }
        ledger.skip_to(book.last);
        if let Some(cut) = book.fault.as_ref().filter(|f| !f.is_torn_write()).map(|f| f.cut) {
            book.after_corruption(cut, ledger, now_ms)?;
        }
        ledger.retire(book.done, now_ms);
        book.fanout.hold(book.first, book.last);
        book.set_targets(now_ms, Vec::new());
        for (target, seq) in &acked {
            book.fanout.restore(target, *seq);
        }
        tracing::info!(
            role = ?book.role, last = book.last, done = book.done, held = book.entries.len(),
            binding = ledger.held(), targets = acked.len(), "purges: resumed from the log"
        );
        Ok(book)
    }

    fn replay(&mut self, record: Record, ledger: &mut Ledger, acked: &mut BTreeMap<String, u64>) {
        match record {
            Record::Snapshot(s) => {
                (self.last, self.done, self.first, self.let_go) = (s.last, s.done, s.first.max(1), s.let_go);
                if let Some(floor) = s.floor {
                    ledger.apply_floor(floor);
                }
                *acked = s.acked;
            }
            Record::Purge(purge) => {
                self.last = self.last.max(purge.seq);
                self.last_issued_ms = self.last_issued_ms.max(purge.issued_ms);
                ledger.restore(&purge);
                if self.role == Role::Leader && purge.seq >= self.first {
                    self.entries.insert(purge.seq, purge);
                }
            }
            Record::Acked { target, seq } => {
                let slot = acked.entry(target).or_insert(seq);
                *slot = (*slot).max(seq);
            }
            Record::Done { through } => self.done = self.done.max(through),
            Record::Floor(mark) => {
                ledger.apply_floor(mark);
                self.last = self.last.max(mark.seq);
                self.first = self.first.max(mark.seq + 1);
                self.let_go = Some(mark);
                self.entries.retain(|seq, _| *seq > mark.seq);
            }
        }
    }

    /// What a log cut back by corruption may have held is unknown: numbers that may have been given out are
    /// skipped (at most one for each `MIN_PURGE_RECORD` bytes that were cut), and every copy given out until now
    /// counts as purged, here and at every target that lacks those numbers.
    fn after_corruption(&mut self, cut: u64, ledger: &mut Ledger, now_ms: f64) -> Result<(), LogError> {
        let skipped = if self.role == Role::Leader { cut / MIN_PURGE_RECORD + 1 } else { 0 };
        let mark = Mark { seq: self.last + skipped, issued_ms: now_ms.max(self.last_issued_ms) };
        tracing::error!(
            cut, skipped, floor_seq = mark.seq,
            "purges: the log was corrupt; every copy older than now counts as purged until the fleet has caught up"
        );
        if let Some(log) = &mut self.log {
            log.append(&Record::Floor(mark), true)?;
        }
        ledger.apply_floor(mark);
        self.last_issued_ms = mark.issued_ms;
        if self.role == Role::Leader {
            (self.last, self.first, self.let_go) = (mark.seq, mark.seq + 1, Some(mark));
            self.entries.clear();
        }
        Ok(())
    }

    /// This proxy's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Takes the targets of the roster, with their addresses; the operator's own are always among them.
    pub fn set_targets(&mut self, now_ms: f64, roster: Vec<(String, SocketAddr, Standing)>) {
        if self.role != Role::Leader {
            return;
        }
        let fixed = self.fixed.iter().map(|(name, at)| (name.clone(), *at, Standing::Listed));
        let all: Vec<_> = fixed.chain(roster).collect();
        self.addresses = all.iter().map(|(name, at, _)| (name.clone(), *at)).collect();
        self.fanout.set_targets(now_ms, all.into_iter().map(|(name, _, standing)| (name, standing)));
    }

    /// Issues a purge: numbers it, writes it down, binds the ledger, and has it fanned out.
    pub fn submit(
        &mut self,
        sel: Selector,
        ledger: &mut Ledger,
        now_ms: f64,
    ) -> Result<Submitted, SubmitError> {
        if self.role != Role::Leader {
            return Err(SubmitError::NotLeader);
        }
        // Issue times follow the numbers, so that the newest purge of a key is also the latest.
        let issued_ms = now_ms.max(self.last_issued_ms);
        let purge = Purge { seq: self.last + 1, issued_ms, sel };
        if let Some(log) = &mut self.log {
            log.append(&Record::Purge(purge.clone()), true)?;
        }
        (self.last, self.last_issued_ms) = (purge.seq, issued_ms);
        let applied = ledger.apply(&purge);
        debug_assert_eq!(applied, Applied::New);
        tracing::info!(seq = purge.seq, sel = %purge.sel, issued_ms, "purge issued");
        self.figures.issued += 1;
        let submitted = Submitted { seq: purge.seq, issued_ms };
        self.entries.insert(purge.seq, purge);
        self.fanout.appended(self.last, now_ms);
        self.bound_queue(ledger)?;
        Ok(submitted)
    }

    /// Lets go of the oldest purges past the queue's bound, and of those that every target has, once the log
    /// has grown past its size: a target that lacks them gets a floor.
    fn bound_queue(&mut self, ledger: &Ledger) -> Result<(), LogError> {
        let over = self.entries.len() > self.queue_most;
        let big = self.log.as_ref().is_some_and(|log| log.bytes() > self.compact_bytes);
        if !over && !big {
            return Ok(());
        }
        let done = self.fanout.done();
        while let Some((&seq, purge)) = self.entries.first_key_value() {
            if seq > done && self.entries.len() <= self.queue_most {
                break;
            }
            let mark = Mark { seq, issued_ms: purge.issued_ms };
            self.let_go = Some(mark);
            self.entries.remove(&seq);
            self.first = seq + 1;
        }
        self.fanout.hold(self.first, self.last);
        self.compact(ledger)
    }

    /// Writes the log anew from the state as it stands: the purges held for the targets and those that still
    /// bind, each once and in order.
    fn compact(&mut self, ledger: &Ledger) -> Result<(), LogError> {
        let Some(log) = &mut self.log else { return Ok(()) };
        let acked = self.fanout.acknowledgements();
        let (last, done, first, let_go, floor) =
            (self.last, self.done, self.first, self.let_go, ledger.floor());
        let snapshot = Snapshot { last, done, first, let_go, floor, acked };
        let mut purges: BTreeMap<u64, Purge> = ledger.iter().map(|p| (p.seq, p)).collect();
        purges.extend(self.entries.iter().map(|(seq, p)| (*seq, p.clone())));
        let records: Vec<Record> =
            [Record::Snapshot(snapshot)].into_iter().chain(purges.into_values().map(Record::Purge)).collect();
        log.rewrite(&records)?;
        self.figures.compactions += 1;
        tracing::info!(bytes = log.bytes(), held = records.len() - 1, first, last, "purge log written anew");
        Ok(())
    }

    /// Takes a batch from the leader: applies what follows what is applied, in order, and writes it down before
    /// answering. Returns the highest number applied.
    pub fn receive(&mut self, batch: &Batch, ledger: &mut Ledger, now_ms: f64) -> Result<u64, ReceiveError> {
        if self.role != Role::Follower {
            return Err(ReceiveError::NotFollower);
        }
        if batch.entries.windows(2).any(|w| w[1].seq != w[0].seq + 1)
            || batch.entries.first().is_some_and(|p| p.seq != batch.from)
        {
            return Err(ReceiveError::Disordered);
        }
        let mut wrote = false;
        if let Some(mark) = batch.floor.filter(|m| m.seq >= ledger.applied() && batch.from == m.seq + 1) {
            if let Some(log) = &mut self.log {
                log.append(&Record::Floor(mark), false)?;
                wrote = true;
            }
            ledger.apply_floor(mark);
            self.let_go = Some(mark);
            self.last = self.last.max(mark.seq);
            tracing::warn!(
                seq = mark.seq,
                issued_ms = mark.issued_ms,
                "purges: took a floor in place of purges missed"
            );
        }
        for purge in &batch.entries {
            if purge.seq <= ledger.applied() {
                self.figures.repeats += 1;
                continue;
            }
            if purge.seq != ledger.applied() + 1 {
                self.figures.gaps += 1;
                break;
            }
            if let Some(log) = &mut self.log {
                log.append(&Record::Purge(purge.clone()), false)?;
                wrote = true;
            }
            ledger.apply(purge);
            self.figures.received += 1;
            self.last = purge.seq;
            tracing::info!(seq = purge.seq, sel = %purge.sel, "purge applied");
        }
        let done = batch.done.min(ledger.applied());
        if done > self.done {
            self.done = done;
            ledger.retire(done, now_ms);
            if let Some(log) = &mut self.log {
                log.append(&Record::Done { through: done }, false)?;
                wrote = true;
            }
        }
        if wrote {
            // What is answered as applied has to outlive a crash.
            if let Some(log) = &mut self.log {
                log.sync()?;
            }
        }
        if self.log.as_ref().is_some_and(|log| log.bytes() > self.compact_bytes) {
            self.first = self.done + 1;
            self.compact(ledger)?;
        }
        Ok(ledger.applied())
    }

    /// The batches to send now.
    pub fn due(&mut self, now_ms: f64) -> Vec<Outgoing> {
        let done = self.fanout.done();
        let sends = self.fanout.due(now_ms);
        let mut out = Vec::with_capacity(sends.len());
        for send in sends {
            let Some(address) = self.addresses.get(&send.target).copied() else { continue };
            let entries = match send.through >= send.from {
                true => self.entries.range(send.from..=send.through).map(|(_, p)| p.clone()).collect(),
                false => Vec::new(),
            };
            let floor = if send.floor { self.let_go } else { None };
            self.figures.batches += 1;
            self.figures.floors += u64::from(floor.is_some());
            let batch = Batch { leader: self.name.clone(), from: send.from, done, floor, entries };
            out.push(Outgoing { target: send.target, address, batch });
        }
        out
    }

    /// A target answered a batch.
    pub fn answered(
        &mut self,
        target: &str,
        applied: u64,
        ledger: &mut Ledger,
        now_ms: f64,
    ) -> Result<(), LogError> {
        match self.fanout.answered(target, applied, now_ms) {
            Heard::Moved { from, to } if to > from => {
                if let Some(log) = &mut self.log {
                    log.append(&Record::Acked { target: target.to_string(), seq: to }, false)?;
                }
                tracing::debug!(target, acked = to, "purges: a target caught up");
            }
            Heard::Lost { had, has } => {
                self.figures.lost += 1;
                tracing::warn!(
                    target,
                    had,
                    has,
                    "purges: a target lost what it had applied, and is told again"
                );
            }
            Heard::Ahead { has } => self.lost_log(has, ledger, now_ms)?,
            _ => {}
        }
        let done = self.fanout.done();
        if done > self.done {
            self.done = done;
            ledger.retire(done, now_ms);
            if let Some(log) = &mut self.log {
                log.append(&Record::Done { through: done }, false)?;
            }
            tracing::info!(done, "purges: the whole fleet has applied all up to here");
        }
        self.bound_queue(ledger)
    }

    /// A target has applied numbers that this log never held: a log that gave them out was lost. Nothing is known
    /// of what they removed, so every copy given out until now goes, everywhere, and numbering goes on after them.
    fn lost_log(&mut self, has: u64, ledger: &mut Ledger, now_ms: f64) -> Result<(), LogError> {
        tracing::error!(
            has,
            last = self.last,
            "purges: a target has applied purges that this log lacks; every older copy is purged fleet-wide"
        );
        let mark = Mark { seq: has, issued_ms: now_ms.max(self.last_issued_ms) };
        if let Some(log) = &mut self.log {
            log.append(&Record::Floor(mark), true)?;
        }
        ledger.apply_floor(mark);
        (self.last, self.first, self.let_go, self.last_issued_ms) =
            (has, has + 1, Some(mark), mark.issued_ms);
        self.entries.clear();
        self.fanout.hold(self.first, self.last);
        Ok(())
    }

    /// A batch to a target failed.
    pub fn failed(&mut self, target: &str, now_ms: f64, reason: &str) {
        self.fanout.failed(target, now_ms);
        self.figures.failures += 1;
        let failures = self.fanout.peers().get(target).map_or(0, |p| p.failures);
        if failures == 1 || failures % 20 == 0 {
            tracing::warn!(
                target,
                failures,
                reason,
                "purges: a target can't be told; it is tried again later"
            );
        }
    }

    /// When the fan-out is due next.
    pub fn next_due(&self) -> Option<f64> {
        self.fanout.next_due()
    }

    /// Writes down what was written without waiting.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.log.as_mut().map_or(Ok(()), PurgeLog::sync)
    }

    /// The purges held from `from` on, at most `most`: the leader's log, or what binds at a follower.
    pub fn list(&self, ledger: &Ledger, from: u64, most: usize) -> Listing {
        let entries = match self.role {
            Role::Leader => self.entries.range(from..).take(most).map(|(_, p)| p.clone()).collect(),
            Role::Follower => ledger.iter().filter(|p| p.seq >= from).take(most).collect(),
        };
        Listing { entries, last: self.last }
    }

    /// All that an operator may want to know.
    pub fn status(&self, ledger: &Ledger) -> Status {
        Status {
            role: self.role,
            name: self.name.clone(),
            last: self.last,
            done: self.done,
            first: self.first,
            held: self.entries.len(),
            binding: ledger.held(),
            folded: ledger.folded(),
            floor: ledger.floor(),
            ledger_bytes: ledger.heap_bytes(),
            targets: self.fanout.peers().clone(),
            log: self.log.as_ref().map(|log| (log.path().display().to_string(), log.bytes())),
            fault: self.fault.clone(),
            figures: self.figures,
        }
    }
}

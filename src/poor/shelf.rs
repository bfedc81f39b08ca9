//! Calls and answers that outlive their connection. No I/O.
//!
//! A call is known by its session and its id. The first claim of it is the call; a later one, from a connection that
//! came after the first was lost, joins it while it runs and gets its answer once it has one. So an ad-post that was
//! taken is never taken again for being asked again. A read whose client is gone runs on for a while only; a write
//! always runs to its end. What is held is bounded in number, by session and in bytes.

use crate::memory::requests::Final;
use std::collections::{BTreeSet, HashMap};

/// A session's number.
pub type SessionId = u128;
/// A call within a session.
pub type Key = (SessionId, u64);

/// What an entry costs beside its body, in bytes.
pub const ENTRY_BYTES: usize = 320;

/// Bounds and times, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ShelfBounds {
    /// Calls held.
    pub calls: usize,
    /// Calls held of one session.
    pub per_session: usize,
    /// Bytes held.
    pub bytes: usize,
    /// How long a read runs on after its last client was lost.
    pub linger_ms: f64,
    /// How long the answer to a read is kept.
    pub keep_read_ms: f64,
    /// How long the answer to a write is kept.
    pub keep_write_ms: f64,
}

/// What a claim of a call comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// It is new: it is to be taken.
    New,
    /// It runs: its answer is to be waited for.
    Joined,
    /// It has its answer.
    Done(Final),
    /// Another request has the id.
    Conflict,
    /// No room: trying again does no harm.
    Full,
}

#[derive(Clone, Debug)]
enum State {
    Running { attached: u32, lost_ms: f64 },
    Done { answer: Final, until_ms: f64, bytes: usize },
}

#[derive(Clone, Debug)]
struct Entry {
    /// What the request was, so that another one under its id is told from it.
    digest: u64,
    write: bool,
    state: State,
}

/// Figures of a shelf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ShelfFigures {
    /// Calls taken.
    pub taken: u64,
    /// Claims that joined a running call.
    pub joined: u64,
    /// Claims answered from the shelf.
    pub answered: u64,
    /// Claims under an id that another request has.
    pub conflicts: u64,
    /// Claims for which there was no room.
    pub full: u64,
    /// Calls whose last client was lost while they ran.
    pub lost: u64,
    /// Of them reads called off after their time.
    pub called_off: u64,
    /// Answers dropped before their time, for want of room: reads, and writes.
    pub evicted: [u64; 2],
}

/// The shelf. See the module's page.
#[derive(Debug)]
pub struct Shelf {
    bounds: ShelfBounds,
    entries: HashMap<Key, Entry>,
    sessions: HashMap<SessionId, usize>,
    /// Done calls: writes last, then by when they are dropped (its bits order as the times do).
    done: BTreeSet<(bool, u64, Key)>,
    /// Running reads without a client, by when they are called off.
    lost: BTreeSet<(u64, Key)>,
    bytes: usize,
    /// Its figures.
    pub figures: ShelfFigures,
}

fn bits(ms: f64) -> u64 {
    ms.max(0.0).to_bits()
}

impl Shelf {
    /// An empty shelf.
    pub fn new(bounds: ShelfBounds) -> Self {
        Self {
            bounds,
            entries: HashMap::new(),
            sessions: HashMap::new(),
            done: BTreeSet::new(),
            lost: BTreeSet::new(),
            bytes: 0,
            figures: ShelfFigures::default(),
        }
    }

    /// A client asks for a call.
    pub fn claim(&mut self, now: f64, key: Key, digest: u64, write: bool) -> Claim {
        self.drop_old(now);
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.digest != digest || entry.write != write {
                self.figures.conflicts += 1;
                return Claim::Conflict;
            }
            return match &mut entry.state {
                State::Running { attached, lost_ms } => {
                    self.lost.remove(&(bits(*lost_ms + self.bounds.linger_ms), key));
                    *attached += 1;
                    self.figures.joined += 1;
                    Claim::Joined
                }
                State::Done { answer, .. } => {
                    self.figures.answered += 1;
                    Claim::Done(answer.clone())
                }
            };
        }
        let mine = self.sessions.get(&key.0).copied().unwrap_or(0);
        let room = mine < self.bounds.per_session || self.evict(|(_, _, held)| held.0 == key.0);
        if !room || !self.make_room(1, ENTRY_BYTES) {
            self.figures.full += 1;
            return Claim::Full;
        }
        self.figures.taken += 1;
        let state = State::Running { attached: 1, lost_ms: f64::INFINITY };
        self.entries.insert(key, Entry { digest, write, state });
        *self.sessions.entry(key.0).or_default() += 1;
        self.bytes += ENTRY_BYTES;
        Claim::New
    }

    /// A call has its answer. Whether the shelf keeps it depends on what it is.
    pub fn finished(&mut self, now: f64, key: Key, answer: &Final) {
        let Some(entry) = self.entries.get(&key) else { return };
        let State::Running { lost_ms, .. } = entry.state else { return };
        self.lost.remove(&(bits(lost_ms + self.bounds.linger_ms), key));
        let write = entry.write;
        let (keep_ms, bytes) = match answer {
            // Nothing ran: asked again it is a new call, as it would be for a client that heard of it.
            Final::Refused { .. } => (0.0, 0),
            Final::Failed { .. } if !write => (0.0, 0),
            Final::Failed { .. } | Final::Same { .. } => (self.kept_ms(write), 0),
            Final::Served { body, .. } => (self.kept_ms(write), body.len()),
        };
        if keep_ms <= 0.0 {
            return self.remove(key);
        }
        let fits = bytes + ENTRY_BYTES <= self.bounds.bytes && self.make_room(0, bytes);
        // A write whose answer has no room stays as one that may have run: it must not be taken for new.
        let failed = Final::Failed { overdue: false };
        let (answer, bytes) = match fits {
            true => (answer, bytes),
            false if write => (&failed, 0),
            false => return self.remove(key),
        };
        let until_ms = now + keep_ms;
        self.bytes += bytes;
        self.done.insert((write, bits(until_ms), key));
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = State::Done { answer: answer.clone(), until_ms, bytes };
        }
    }

    /// A call was not taken after all.
    pub fn not_taken(&mut self, key: Key) {
        self.remove(key);
    }

    fn kept_ms(&self, write: bool) -> f64 {
        if write {
            self.bounds.keep_write_ms
        } else {
            self.bounds.keep_read_ms
        }
    }

    /// A client of a running call was lost: it may come back.
    pub fn lost(&mut self, now: f64, key: Key) {
        let linger = self.bounds.linger_ms;
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let State::Running { attached, lost_ms } = &mut entry.state else { return };
        *attached = attached.saturating_sub(1);
        if *attached > 0 {
            return;
        }
        self.figures.lost += 1;
        *lost_ms = now;
        if !entry.write {
            self.lost.insert((bits(now + linger), key));
        }
    }

    /// A client of a running call said that it wants it no more. Returns whether the call is to be called off: a
    /// write never is, since it may have run, and is not to be taken for new when it is asked again.
    pub fn cancelled(&mut self, now: f64, key: Key) -> bool {
        self.lost(now, key);
        let Some(entry) = self.entries.get(&key) else { return false };
        let idle = matches!(entry.state, State::Running { attached: 0, .. });
        if entry.write || !idle {
            return false;
        }
        self.figures.called_off += 1;
        self.remove(key);
        true
    }

    /// Drops what is past its time; the reads that come back are to be called off.
    pub fn tick(&mut self, now: f64) -> Vec<Key> {
        self.drop_old(now);
        let mut off = Vec::new();
        while let Some((at, key)) = self.lost.first().copied().filter(|(at, _)| f64::from_bits(*at) <= now) {
            self.lost.remove(&(at, key));
            self.remove(key);
            self.figures.called_off += 1;
            off.push(key);
        }
        off
    }

    /// When there is something to do next.
    pub fn next_due(&self) -> f64 {
        let first = |write| self.done.range((write, 0, (0, 0))..).next().filter(|(w, _, _)| *w == write);
        let done = [false, true].into_iter().filter_map(first).map(|(_, at, _)| f64::from_bits(*at));
        let lost = self.lost.first().map(|(at, _)| f64::from_bits(*at));
        done.chain(lost).fold(f64::INFINITY, f64::min)
    }

    /// Calls held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn drop_old(&mut self, now: f64) {
        for write in [false, true] {
            let next = |done: &BTreeSet<(bool, u64, Key)>| {
                let first = done.range((write, 0, (0, 0))..).next().copied();
                first.filter(|(w, at, _)| *w == write && f64::from_bits(*at) <= now)
            };
            while let Some((_, _, key)) = next(&self.done) {
                self.remove(key);
            }
        }
    }

    /// Makes room for so many more entries and bytes by dropping answers, reads before writes, the oldest first.
    fn make_room(&mut self, entries: usize, bytes: usize) -> bool {
        while self.entries.len() + entries > self.bounds.calls || self.bytes + bytes > self.bounds.bytes {
            if !self.evict(|_| true) {
                return false;
            }
        }
        true
    }

    fn evict(&mut self, which: impl Fn(&(bool, u64, Key)) -> bool) -> bool {
        let Some((write, _, key)) = self.done.iter().find(|held| which(held)).copied() else { return false };
        self.figures.evicted[usize::from(write)] += 1;
        self.remove(key);
        true
    }

    fn remove(&mut self, key: Key) {
        let Some(entry) = self.entries.remove(&key) else { return };
        self.bytes -= ENTRY_BYTES;
        match entry.state {
            State::Done { until_ms, bytes, .. } => {
                self.bytes -= bytes;
                self.done.remove(&(entry.write, bits(until_ms), key));
            }
            State::Running { lost_ms, .. } => {
                self.lost.remove(&(bits(lost_ms + self.bounds.linger_ms), key));
            }
        }
        if let Some(n) = self.sessions.get_mut(&key.0) {
            *n -= 1;
            if *n == 0 {
                self.sessions.remove(&key.0);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use proptest::prelude::*;

    fn bounds() -> ShelfBounds {
        ShelfBounds {
            calls: 6,
            per_session: 4,
            bytes: 6_000,
            linger_ms: 1_000.0,
            keep_read_ms: 2_000.0,
            keep_write_ms: 9_000.0,
        }
    }

    fn served(n: usize) -> Final {
        Final::Served { tag: Some("t".into()), body: Bytes::from(vec![1; n]) }
    }

    #[test]
    fn a_write_is_taken_once_however_often_it_is_asked() {
        let mut shelf = Shelf::new(bounds());
        let key = (7, 1);
        assert_eq!(shelf.claim(0.0, key, 5, true), Claim::New);
        shelf.lost(10.0, key);
        assert!(shelf.tick(500_000.0).is_empty(), "a write runs to its end");
        assert_eq!(shelf.claim(20.0, key, 5, true), Claim::Joined);
        assert_eq!(shelf.claim(20.0, key, 6, true), Claim::Conflict, "another request under its id");
        assert!(!shelf.cancelled(25.0, key), "nor is it called off");
        shelf.finished(30.0, key, &served(3));
        assert_eq!(shelf.claim(9_029.0, key, 5, true), Claim::Done(served(3)));
        assert_eq!(shelf.claim(9_030.0, key, 5, true), Claim::New, "past its time");
        // A failed write may have run: asked again, it is the same end.
        shelf.finished(9_040.0, key, &Final::Failed { overdue: false });
        assert_eq!(shelf.claim(9_050.0, key, 5, true), Claim::Done(Final::Failed { overdue: false }));
        // One whose answer is too large for the shelf is not taken for new either.
        shelf.claim(9_045.0, (7, 3), 5, true);
        shelf.finished(9_046.0, (7, 3), &served(7_000));
        assert_eq!(shelf.claim(9_047.0, (7, 3), 5, true), Claim::Done(Final::Failed { overdue: false }));
        // A refused one did not.
        assert_eq!(shelf.claim(9_050.0, (7, 2), 5, true), Claim::New);
        shelf.finished(9_060.0, (7, 2), &Final::Refused { wait_ms: 1.0, overdue: false });
        assert_eq!(shelf.claim(9_070.0, (7, 2), 5, true), Claim::New);
        assert_eq!(shelf.claim(9_070.0, (8, 2), 5, true), Claim::New, "another session's call is another");
    }

    #[test]
    fn a_read_without_a_client_runs_on_for_a_while() {
        let mut shelf = Shelf::new(bounds());
        shelf.claim(0.0, (7, 1), 5, false);
        shelf.lost(100.0, (7, 1));
        assert_eq!((shelf.next_due(), shelf.tick(1_099.0)), (1_100.0, vec![]));
        assert_eq!(shelf.claim(1_099.0, (7, 1), 5, false), Claim::Joined);
        assert_eq!(shelf.tick(5_000.0), vec![], "its client is back");
        shelf.lost(5_000.0, (7, 1));
        assert_eq!(shelf.tick(6_000.0), vec![(7, 1)]);
        assert!(shelf.is_empty());
        shelf.claim(7_000.0, (7, 2), 5, false);
        assert!(
            shelf.cancelled(7_000.0, (7, 2)) && shelf.is_empty(),
            "an explicit word calls it off at once"
        );
        shelf.claim(7_000.0, (7, 3), 5, false);
        shelf.claim(7_000.0, (7, 3), 5, false);
        assert!(!shelf.cancelled(7_000.0, (7, 3)), "another connection still waits for it");
    }

    #[test]
    fn room_is_made_of_answers_reads_first_and_never_of_running_calls() {
        let mut shelf = Shelf::new(bounds());
        for id in 0..3 {
            assert_eq!(shelf.claim(0.0, (1, id), 0, id == 0), Claim::New);
            shelf.finished(f64::from(id as u32), (1, id), &served(1_000));
        }
        for id in 3..6 {
            assert_eq!(shelf.claim(10.0, (2, id), 0, false), Claim::New);
        }
        assert_eq!(shelf.claim(11.0, (3, 9), 0, false), Claim::New, "the oldest read's answer made room");
        assert_eq!(shelf.claim(11.0, (1, 1), 0, false), Claim::New, "it is gone, and made the next one go");
        assert_eq!(shelf.claim(11.0, (4, 9), 0, false), Claim::New, "now the write's");
        assert_eq!(shelf.claim(11.0, (5, 9), 0, false), Claim::Full, "running calls stay");
        assert_eq!(shelf.figures.evicted, [2, 1]);
        for id in 0..4 {
            shelf.claim(12.0, (2, 100 + id), 0, false);
        }
        assert_eq!(shelf.len(), 6);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            ..ProptestConfig::default()
        })]

        /// Whatever comes, the bounds hold, each call is taken once while it is held, and nothing stays behind.
        #[test]
        fn the_bounds_hold(steps in prop::collection::vec((0u8..6, 0u64..12, 0f64..400.0, 0usize..2_500), 1..300)) {
            let bounds = bounds();
            let mut shelf = Shelf::new(bounds);
            let (mut now, mut running) = (0.0, HashMap::<Key, u32>::new());
            for (kind, id, ms, bytes) in steps {
                now += ms;
                let key = (u128::from(id % 3), id);
                let write = id % 2 == 0;
                match kind {
                    0 | 1 => match shelf.claim(now, key, id, write) {
                        Claim::New => prop_assert!(running.insert(key, 1).is_none(), "taken twice"),
                        Claim::Joined => *running.get_mut(&key).unwrap() += 1,
                        Claim::Done(_) => prop_assert!(!running.contains_key(&key)),
                        Claim::Conflict => prop_assert!(false, "the digest is the id's"),
                        Claim::Full => {}
                    },
                    2 => if running.get(&key).is_some_and(|n| *n > 0) {
                        *running.get_mut(&key).unwrap() -= 1;
                        shelf.lost(now, key);
                    },
                    3 => if running.remove(&key).is_some() {
                        shelf.finished(now, key, &served(bytes));
                    },
                    4 => if running.get(&key).is_some_and(|n| *n > 0) {
                        *running.get_mut(&key).unwrap() -= 1;
                        if shelf.cancelled(now, key) {
                            prop_assert!(!write);
                            running.remove(&key);
                        }
                    },
                    _ => for off in shelf.tick(now) {
                        prop_assert_eq!(running.remove(&off), Some(0), "called off with a client");
                        prop_assert!(off.1 % 2 == 1, "a write was called off");
                    },
                }
                prop_assert!(shelf.len() <= bounds.calls && shelf.bytes() <= bounds.bytes);
                prop_assert!(running.keys().all(|k| shelf.entries.contains_key(k)), "a running call was dropped");
            }
            for key in running.into_keys() {
                shelf.finished(now, key, &Final::Refused { wait_ms: 0.0, overdue: false });
            }
            shelf.tick(now + 1e6);
            prop_assert_eq!((shelf.len(), shelf.bytes(), shelf.sessions.len()), (0, 0, 0));
            prop_assert!(shelf.done.is_empty() && shelf.lost.is_empty());
        }
    }
}

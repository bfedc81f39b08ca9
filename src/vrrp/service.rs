//! Which of the virtual addresses' listeners are to be open: all while the router is active, none else. One that
//! can't be opened is tried again, and where that goes on, the router stands aside for a while, since an active one
//! that can't serve is worse than a backup that could. No I/O.

use super::machine::State;

/// The first wait after a listener could not be opened, in milliseconds, and the longest.
const AGAIN_MS: (f64, f64) = (20.0, 500.0);

/// What is to be done with a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open it, and say whether that worked.
    Open(usize),
    /// Take nobody new, and answer all that was taken.
    Close(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Closed,
    /// It could not be opened; when to try again, and the wait after that.
    Waiting {
        again_ms: f64,
        wait_ms: f64,
    },
    /// Told to open; not yet heard of.
    Opening {
        wait_ms: f64,
    },
    Open,
}

/// The listeners of one router.
#[derive(Clone, Debug)]
pub struct Service {
    places: Vec<Place>,
    active: bool,
    /// Since when not all are open though they should be.
    short_ms: Option<f64>,
    /// How long that may last, in milliseconds ...
    patience_ms: f64,
    /// ... and how long the router stands aside then.
    aside_ms: f64,
    aside_until_ms: f64,
    /// How often it stood aside for that.
    pub asides: u64,
}

impl Service {
    /// `listeners` of them, all closed.
    pub fn new(listeners: usize, patience_ms: f64, aside_ms: f64) -> Self {
        Self {
            places: vec![Place::Closed; listeners],
            active: false,
            short_ms: None,
            patience_ms,
            aside_ms,
            aside_until_ms: f64::NEG_INFINITY,
            asides: 0,
        }
    }

    /// Takes the router's state; tells what is to be done.
    pub fn follow(&mut self, now: f64, state: State) -> Vec<Command> {
        self.active = state == State::Active;
        let mut commands = Vec::new();
        for (k, place) in self.places.iter_mut().enumerate() {
            let next = match (*place, self.active) {
                (Place::Closed, true) => Some((Place::Opening { wait_ms: AGAIN_MS.0 }, Command::Open(k))),
                (Place::Waiting { again_ms, wait_ms }, true) if now >= again_ms => {
                    Some((Place::Opening { wait_ms }, Command::Open(k)))
                }
                (Place::Open | Place::Opening { .. }, false) => Some((Place::Closed, Command::Close(k))),
                (Place::Waiting { .. }, false) => {
                    *place = Place::Closed;
                    None
                }
                _ => None,
            };
            if let Some((to, command)) = next {
                *place = to;
                commands.push(command);
            }
        }
        let short = self.active && self.places.iter().any(|p| *p != Place::Open);
        self.short_ms = short.then(|| self.short_ms.unwrap_or(now));
        if self.short_ms.is_some_and(|since| now - since >= self.patience_ms) {
            self.asides += 1;
            self.short_ms = None;
            self.aside_until_ms = now + self.aside_ms;
        }
        commands
    }

    /// A listener was opened, or could not be.
    pub fn opened(&mut self, now: f64, k: usize, ok: bool) {
        let Some(place) = self.places.get_mut(k) else { return };
        let Place::Opening { wait_ms } = *place else { return };
        *place = match ok {
            true => Place::Open,
            false => Place::Waiting { again_ms: now + wait_ms, wait_ms: (wait_ms * 2.0).min(AGAIN_MS.1) },
        };
    }

    /// Whether the router is to stand aside, since it could not serve.
    pub fn stands_aside(&self, now: f64) -> bool {
        now < self.aside_until_ms
    }

    /// Whether a listener is open.
    pub fn is_open(&self, k: usize) -> bool {
        self.places.get(k) == Some(&Place::Open)
    }

    /// When there is something to do next.
    pub fn due_ms(&self) -> f64 {
        let again = self.places.iter().map(|p| match p {
            Place::Waiting { again_ms, .. } if self.active => *again_ms,
            _ => f64::INFINITY,
        });
        let patience = self.short_ms.map_or(f64::INFINITY, |since| since + self.patience_ms);
        again.fold(patience, f64::min)
    }
}

#[cfg(test)]
mod tests;

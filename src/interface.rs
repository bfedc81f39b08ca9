//! What goes into a [`Router`](crate::Router) and what comes out of it.
//!
//! These types know nothing of any wire. A host translates its own messages to [`Event`]s, hands them
//! over with the time, and carries out the [`Action`]s in the order in which they were written.

/// A point in time or a span, in microseconds. Only differences matter; it never runs backwards.
pub type Micros = u64;
/// A cache, a parent or the origin, by the id that the host's list gives it.
pub type MemberId = u32;
/// A client's request, as one try of the client.
pub type RequestId = u64;
/// An object, whatever its part.
pub type ObjectId = u64;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Repeats do no harm.
    Safe,
    /// Carries a key by which the caches of the class's [`KeyScope`] drop repeats for a while.
    Keyed,
    /// May take effect once only.
    Unsafe,
}

/// Which members drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every member.
    All,
    /// Those of the zone of the first member that may have run it.
    Zone,
    /// Those of that member's cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this span earn the full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's own sending time.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Who drops repeats of a keyed request.
    pub key_scope: KeyScope,
    /// For how long repeats are dropped, from the first attempt that may have run.
    pub key_window: Micros,
    /// Worth of one answer in time.
    pub worth: f64,
    /// How long a copy is fresh; 0 is without limit.
    pub fresh_for: Micros,
    /// How long past that a copy may still be served.
    pub stale_for: Micros,
    /// Never kept; it runs at the origin.
    pub uncacheable: bool,
}

/// How a kind of member behaves after its start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Least share of its capacity at the start.
    pub floor: f64,
    /// When it is warm at the latest.
    pub ramp: Micros,
    /// The multiple of its present capacity that pushes it over ...
    pub multiple: f64,
    /// ... if it lasts this long.
    pub window: Micros,
}

impl ColdStart {
    /// Share of its full capacity that it has `since_start` after its start.
    pub fn capacity(&self, since_start: Micros) -> f64 {
        if self.ramp == 0 {
            return 1.0;
        }
        let t = since_start as f64 / self.ramp as f64;
        (self.floor + (1.0 - self.floor) * t).clamp(0.0, 1.0)
    }
}

/// What a router is told once, at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes; requests name them by place.
    pub classes: Vec<Class>,
    /// Routers in all.
    pub routers: u32,
    /// Routers that serve this router's location.
    pub routers_here: u32,
    /// KB a second of one transfer to a client; 0 where unknown.
    pub flow_kb_per_s: f64,
    /// Members' weights say how many transfers fit on their link.
    pub weights_known: bool,
    /// A request may join a fill under way.
    pub joins: bool,
    /// Requests may pass the caches by.
    pub bypass: bool,
    /// Outcomes tell hits from fills.
    pub hit_notes: bool,
    /// When every older copy is gone, from the purge.
    pub purge_done: Micros,
    /// The most attempts for a request.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub cancelling: bool,
    /// Members may be probed.
    pub probing: bool,
    /// The longest wait hint that clients honour; 0 where they get none.
    pub max_wait_hint: Micros,
    /// The list of members must be subscribed to.
    pub subscribe: bool,
    /// Caches after a start.
    pub cache_cold: ColdStart,
    /// Parents after a start.
    pub parent_cold: ColdStart,
}

impl Settings {
    /// How a member of a role behaves after its start; the origin's start is not told of.
    pub fn cold_start(&self, role: Role) -> &ColdStart {
        match role {
            Role::Parent => &self.parent_cold,
            _ => &self.cache_cold,
        }
    }

    /// Time that the sending of `size_kb` to a client takes, us; 0 where the size or the flow is unknown.
    pub fn sending_time(&self, size_kb: f64) -> f64 {
        if size_kb > 0.0 && self.flow_kb_per_s > 0.0 {
            size_kb / self.flow_kb_per_s * 1e6
        } else {
            0.0
        }
    }
}

/// What a member is to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A cache of this router's location.
    Cache,
    /// A cache elsewhere; never used.
    FarCache,
    /// A parent cache.
    Parent,
    /// The origin.
    Origin,
}

/// Where a member stands in its life, as far as the list knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Takes work.
    Live,
    /// Finishes what it has; must get nothing new.
    Draining,
    /// Withdrawn.
    Gone,
}

/// A line of the list of members.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its id.
    pub id: MemberId,
    /// What it is here.
    pub role: Role,
    /// Its state.
    pub life: Life,
    /// When it started; 0 is long ago.
    pub started: Micros,
    /// Its size, comparable across members.
    pub weight: f64,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its cell.
    pub cell: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Answered; the client has it.
    Served,
    /// An error; it may have run.
    Error,
    /// Not taken; it did not run.
    Refused,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it did not run.
    NoConnection,
    /// The connection broke; it may have run.
    Broken,
    /// What came over its connection can't be used; it may have run.
    Spoilt,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Nothing suitable held; it did not run.
    Miss,
}

impl Verdict {
    /// Whether the attempt surely had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Refused | Self::NoConnection | Self::NeverSent | Self::Miss)
    }

    /// Whether the member itself answered, whatever it said.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::Served | Self::Miss | Self::Refused | Self::Error)
    }

    /// Whether the attempt was lost on its way to or from a member, which proves no load and no fault there.
    pub fn is_lost(self) -> bool {
        matches!(self, Self::Broken | Self::Spoilt | Self::NoConnection | Self::NeverSent)
    }
}

/// What an outcome says of the path it took, where the settings promise any such note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Nothing is told.
    Silent,
    /// From the cache's own copy.
    Hit,
    /// Filled from the source, or joined such a fill.
    Filled,
    /// The source refused, was not reached, broke off, was too slow or failed.
    SourceFailed,
    /// The source lacks the object.
    SourceLacks,
    /// The cache has no place for a further fill.
    NoFillPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// What a router is told. All of it is news to this router alone.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of members: all of it, or what changed.
    Members {
        /// Members that are absent have gone.
        full: bool,
        /// The lines.
        entries: Vec<Listing>,
    },
    /// A call to the list failed, or the subscription broke.
    ListLost,
    /// A client's request, now owed one final answer.
    Request {
        /// Its id, new to this router.
        id: RequestId,
        /// Place of its class in the settings.
        class: usize,
        /// The object.
        object: ObjectId,
        /// The object's group.
        group: u32,
        /// Number of the part that is asked for.
        part: u32,
        /// KB of this part; 0 where unknown.
        size_kb: f64,
        /// When the client gives this try up.
        give_up_at: Micros,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order sent.
        attempt: u32,
        /// How it ended.
        verdict: Verdict,
        /// What is told of the path.
        note: Note,
        /// Time since it was sent.
        took: Micros,
        /// The request is concluded; nothing is owed.
        closed: bool,
    },
    /// An attempt's answer has begun to stream; the attempt is the client's now.
    Streaming {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client left; nothing is owed.
    Left {
        /// The request.
        id: RequestId,
    },
    /// A timer came due.
    Timer {
        /// The token of [`Action::Timer`].
        token: u64,
    },
    /// Copies from before a moment are out of date.
    Purged {
        /// The object, or none for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// How long ago the purge was.
        ago: Micros,
    },
    /// A probe came back.
    Probed {
        /// The member.
        member: MemberId,
        /// How the probe ended.
        verdict: Verdict,
    },
}

/// What the host is to do, at the time of the event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The next outcome number of the request belongs to it.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        to: MemberId,
        /// Source of a fill; `None` for an attempt that passes through untouched.
        source: Option<MemberId>,
        /// Join a fill under way.
        join: bool,
        /// The source gives only what it holds, and asks nobody for what it lacks.
        only_held: bool,
        /// Serve an ageing copy and renew it behind.
        renew: bool,
        /// Oldest copy that will do; 0 is the class's fresh time.
        max_age: Micros,
        /// Rank at which a copy is kept; 0 passes it through.
        keep: u8,
        /// Time-out of the attempt.
        timeout: Micros,
        /// When its first byte must be out: later it could run again what has run. The host sends it no later.
        start_by: Micros,
    },
    /// Final answer: refused; trying again does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// Wait hint; 0 for none.
        wait: Micros,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call off an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Probe a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Ask for [`Event::Timer`].
    Timer {
        /// Handed back.
        token: u64,
        /// When.
        at: Micros,
    },
    /// Subscribe to the list of members.
    Subscribe,
}

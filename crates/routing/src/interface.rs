//! What goes into the decision module and what comes out: plain data, no policy.

use std::sync::Arc;

/// A point on the host's clock, nanoseconds. It starts at no special value and only goes forward.
pub type Time = u64;
/// A length of time, nanoseconds.
pub type Span = u64;
/// Identifies a client's request; never given twice to one brain.
pub type RequestId = u64;
/// A member's own name, such as `10.0.0.7:5432`; the same at every proxy, and kept over restarts.
pub type MemberId = Arc<str>;

/// What a class of requests needs of the data that answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Any member may answer.
    Any,
    /// Data no older than this when the request is sent.
    Bounded(Span),
    /// All that the session has written.
    Session,
    /// All that was written before the request came in.
    Fresh,
    /// A write: only the primary takes it.
    Write,
}

/// What may be done with a request that might already have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Safe to repeat.
    Safe,
    /// Carries a key; the members of `scope` drop a repeat for the class's window.
    Keyed(Scope),
    /// Must never run twice.
    Unsafe,
}

/// The members that know a key together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Every member.
    All,
    /// The members of one zone.
    Zone,
    /// The members of one group.
    Group,
}

/// One class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// What data may answer it.
    pub need: Need,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// How long a key is remembered (for [`Repeat::Keyed`]).
    pub window: Span,
    /// An answer within this time earns full worth.
    pub aim: Span,
    /// The aim grows by this multiple of the request's own work (0: not at all).
    pub aim_stretch: f64,
    /// The client's whole patience over all its tries.
    pub deadline: Span,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
}

/// One tenant's share.
#[derive(Debug, Clone, Copy)]
pub struct Tenant {
    /// Requests a second inside its share, over all proxies.
    pub quota: f64,
}

/// Where the members' reports about themselves come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// With every answer and probe result.
    Answers,
    /// With probe results only.
    Probes,
    /// Nowhere.
    Silent,
}

/// What members do with a read for which they are too far behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// They answer from what they have: the proxy alone keeps reads fresh.
    Silent,
    /// They turn it away at once.
    Refuse,
    /// They wait up to this long to catch up, then turn it away.
    Await(Span),
}

/// How far the list's word on the primary can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// It names the primary, some seconds late.
    Late,
    /// It names the primary as it was at the start.
    Start,
    /// It does not name the primary.
    Silent,
}

/// Figures of the rules that bind the proxy.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// New work to a draining or gone member must stop within this time of being told.
    pub drain_grace: Span,
    /// Only an entry that says draining binds; being dropped from the list does not.
    pub only_draining_binds: bool,
    /// A cold member starts with at least this share of its capacity.
    pub cold_from: f64,
    /// And is warm after this time at the latest.
    pub warm_after: Span,
    /// Work beyond this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time pushes a cold member over.
    pub fall: Span,
    /// Without a subscription, the list counts as known after this time.
    pub ask_every: Span,
}

/// A process may be held up for this long between reading its clock and writing.
pub const SCHEDULING_DELAY: Span = 150_000_000;

impl Rules {
    /// How long after a drain was learned of a send may still begin. The scheduling delay is part of the grace, which
    /// counts to the first byte that is written; a grace that is no longer than the delay allows no send at all.
    pub fn drain_cutoff(&self) -> Span {
        self.drain_grace.saturating_sub(SCHEDULING_DELAY)
    }
}

/// What the proxy may do.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub second_copies: bool,
    /// Clients receive retry advice ...
    pub retry_advice: bool,
    /// ... and heed it up to this long.
    pub max_retry_advice: Span,
    /// A connection not made by then has failed.
    pub connect_timeout: Span,
}

/// All that a brain is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of proxies of this tier, this one included.
    pub proxies: u32,
    /// This proxy's zone.
    pub zone: u32,
    /// Shortest time between two rounds of events (0: none).
    pub round: Span,
    /// The classes, in the order that [`Request::class`] counts.
    pub classes: Vec<Class>,
    /// The tenants, in the order that [`Request::tenant`] counts; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Where reports come from.
    pub reports: ReportSource,
    /// Whether answers carry positions.
    pub positions: bool,
    /// Whether session reads carry the age of their session's last write; if not, the brain remembers.
    pub tokens_carried: bool,
    /// What members do with reads for which they are too far behind.
    pub guard: Guard,
    /// What the list says of the primary.
    pub list_role: ListRole,
    /// The list comes only to those that subscribe.
    pub must_subscribe: bool,
    /// The rules' figures.
    pub rules: Rules,
    /// What is allowed.
    pub limits: Limits,
}

/// Why [`Settings`] can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(
    /// The field, and what is wrong with it.
    pub String,
);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Says what contradicts itself in the settings, if anything does.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |text: String| Err(SettingsError(text));
        if self.classes.is_empty() {
            return bad("classes: none given".into());
        }
        for (i, c) in self.classes.iter().enumerate() {
            if c.aim == 0 || c.deadline == 0 {
                return bad(format!("classes[{i}]: aim and deadline must be positive"));
            }
            if c.aim > c.deadline {
                return bad(format!("classes[{i}]: the aim passes the deadline"));
            }
        }
        let r = &self.rules;
        if !(r.cold_from > 0.0 && r.fall_multiple > 0.0) || r.fall == 0 || r.warm_after == 0 {
            return bad(
                "rules: cold_from, fall_multiple, fall and warm_after must be positive".into(),
            );
        }
        if r.cold_from > 1.0 {
            return bad("rules: cold_from is a share of 1 at the most".into());
        }
        if self.limits.max_attempts == 0 {
            return bad("limits: max_attempts must be at least 1".into());
        }
        Ok(())
    }
}

/// What the list says of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In service.
    Serving,
    /// Finishing its work; nothing new.
    Draining,
    /// Removed (in changes only).
    Gone,
}

/// One line of the list of members.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// When it last started (0: long past).
    pub started: Time,
    /// The list takes it for its group's primary.
    pub primary: bool,
    /// Its state.
    pub state: State,
    /// Its size as compared with others.
    pub weight: f64,
    /// Its group.
    pub group: u32,
    /// Its zone.
    pub zone: u32,
}

/// What kind of list has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as this proxy last had it, maybe old.
    Remembered,
    /// A call to the list failed, or the subscription broke; the old list stands.
    Failed,
}

/// A client's request, to be answered once.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, as counted in [`Settings::classes`].
    pub class: u32,
    /// The group whose members may answer it.
    pub group: u32,
    /// Its session, where it has one.
    pub session: Option<Arc<str>>,
    /// How long ago its session's last write was committed, where requests carry this.
    pub since_write: Option<Span>,
    /// Its tenant, as counted in [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// Anticipated work, where told.
    pub work: Option<Span>,
    /// The client marked it as a further try.
    pub is_retry: bool,
    /// Time until the client gives up.
    pub time_left: Span,
}

/// A member's role, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It leads its group.
    Primary,
    /// It follows.
    Replica,
}

/// What a member said of itself: with an answer as of that answer, in a report as of some time earlier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Its role.
    pub role: Option<Role>,
    /// All commits up to this time are applied there; for a served write, the time of its commit.
    pub position: Option<Time>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Answered.
    Served,
    /// The member returned an error; an effect may have occurred.
    Error,
    /// Turned away unseen: the member is full or draining.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
    /// An answer came that can't be read; it has run.
    Spoilt,
    /// The host had no means of sending it in time: it says nothing of the member.
    Unsent,
    /// The member takes the request for none, as any other would.
    Rejected,
}

impl Ending {
    /// Whether this ending proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::Full
                | Ending::ConnectFailed
                | Ending::Moot
                | Ending::Miss
                | Ending::Unsent
                | Ending::Rejected
        )
    }
}

/// How an attempt ended. Every [`Action::Send`] gets exactly one.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The member.
    pub member: MemberId,
    /// The attempt, counted from 0 in the order of the request's sends.
    pub attempt: u32,
    /// How it ended.
    pub ending: Ending,
    /// What the answer said of the member.
    pub standing: Standing,
    /// The report that came along, if any.
    pub report: Standing,
    /// Time since it was sent.
    pub latency: Span,
    /// The request is over, by this outcome or before it.
    pub closed: bool,
}

/// What has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the members.
    List {
        /// What kind of list.
        kind: ListKind,
        /// Its entries; none with [`ListKind::Failed`].
        entries: Vec<Entry>,
    },
    /// A client's request.
    Request(Request),
    /// The end of an attempt.
    Outcome(Outcome),
    /// A streamed answer has begun: the request's deadline ceases to apply.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The member.
        member: MemberId,
    },
    /// The client has left; nothing more is owed.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// As given with [`Action::SetTimer`].
        token: u64,
    },
    /// The result of a probe.
    Probed {
        /// The member.
        member: MemberId,
        /// How the probe ended.
        ending: Ending,
        /// What the member reported.
        report: Standing,
    },
}

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No such class.
    Class,
    /// The list names no member of its group.
    Group,
    /// Too little of its time is left for an answer that is worth something.
    Late,
    /// It has had as many attempts as are allowed.
    Attempts,
    /// No member of its group can take it within half of its time.
    Nobody,
    /// The member in turn is likely to answer too late: overload.
    Crowded,
    /// It may have run, and its class or its key's window does not allow another attempt.
    Unsafe,
    /// An attempt was silent until its time was over.
    Silent,
    /// The reserve of further attempts is spent.
    Reserve,
    /// A member took it for no request.
    Unfit,
}

/// What the proxy is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a member.
    Send {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Give the attempt up after this time; none: when the client gives up.
        limit: Option<Span>,
        /// It must not begin to run later than this: a copy that may have run is then forgotten by its key. Counts
        /// where a host has to wait before it can send; one that comes too late ends as [`Ending::Unsent`].
        by: Option<Time>,
    },
    /// Final answer: not done, and trying again does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        cause: Cause,
        /// How long the client should stay away.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, with no assurance about its effect.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        cause: Cause,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Span,
        /// Handed back with the event.
        token: u64,
    },
    /// Ask a member for its health.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
}

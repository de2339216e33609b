//! The calls that keep a list up to date: how long each may wait at its service, when its silence is a failure, and
//! what follows it. The spans keep every way in which news can be late within the time by which it counts as told;
//! `docs/design/edges.md` has the table.

use reelrill_routing::{Nanos, Timestamp};

const MS: Nanos = 1_000_000;

/// Whatever the service has to tell counts as told by then, from the moment it had it and could be reached, or from
/// the moment a watch fell silent.
pub const TOLD: Nanos = 6000 * MS;
/// For a call that may wait: so long after that wait is over, if that is later.
pub const TOLD_AFTER_WAIT: Nanos = 2000 * MS;
/// The wait of the first call of a watch. Short, since it may also wait for its turn.
pub const OPENING: Nanos = 1000 * MS;
/// The wait of a watch's further calls. A silence is noticed only after it.
pub const WAIT: Nanos = 3000 * MS;
/// The same while the service is busy: it has turned a call away not long ago, and each call is work for it. What is
/// silent then is noticed late, though still in time.
pub const BUSY_WAIT: Nanos = 8000 * MS;
/// How long a service counts as busy after it has turned a call away.
pub const BUSY: Nanos = 20_000 * MS;
/// How long a call may wait for its turn at a busy service, beyond its own wait: a service ends one after 2 s, and one
/// that is repeated while it still waits is served twice, the first time for nobody.
pub const TURN: Nanos = 2000 * MS;
/// What an answer may be late, beyond all waits.
pub const LATE: Nanos = 500 * MS;
/// A connection that is not made by then has failed.
pub const CONNECT: Nanos = 1200 * MS;
/// The pause after a call that was answered early without news; the service takes a call for the same watch's next
/// one within 200 ms.
pub const PAUSE: Nanos = 100 * MS;

/// The wait of a watch's calls at a local agent. Calls cost it nothing, and its silence is noticed only after the wait.
pub const LOCAL_WAIT: Nanos = 250 * MS;
/// The wait of the calls by which a watch of a local agent is opened, also while the agent stays silent: what it holds
/// counts as told from the moment at which it can be called again.
pub const LOCAL_OPENING: Nanos = 40 * MS;
/// What a local agent's answer may be late, beyond the wait; also the longest time for a connection to it.
pub const LOCAL_LATE: Nanos = 60 * MS;
/// The pause before a local agent is called again after a call that failed.
pub const LOCAL_RETRY: Nanos = 50 * MS;
/// How long the rest of a local agent's answer may take, beyond its beginning.
pub const LOCAL_REST: Nanos = 1000 * MS;

// A watch whose call has fallen silent is open again, after one further call, before what it missed counts as told.
const _: () =
    assert!(WAIT + LATE + LATE < TOLD && LATE + LATE < TOLD_AFTER_WAIT && BUSY_WAIT > TOLD);
// So is one whose first call fell silent, also if a connection that does not come up is in between.
const _: () = assert!(OPENING + TURN + LATE + CONNECT + LATE < TOLD);
// A silent local agent is called anew so often that the shortest usual drain grace, 250 ms, is kept at its return, with
// 150 ms for which the process may be held up.
const _: () =
    assert!(LOCAL_OPENING + LOCAL_LATE <= 100 * MS && LOCAL_LATE + LOCAL_RETRY <= 110 * MS);
const _: () = assert!(LOCAL_WAIT + LOCAL_LATE + LOCAL_OPENING + LOCAL_LATE < TOLD);

/// Who serves the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListService {
    /// One service for all routers: each call is work for it, so its caller decides when one that failed is repeated.
    Shared,
    /// An agent on this machine, to which changes are pushed. Whatever it holds counts as told, whether or not it is
    /// being watched: it is called from the start on, and at once after each call that failed.
    LocalAgent,
}

/// One call: for what is newer than a version, or for the whole list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// The version known, and how long the call may wait for a newer one; none: the whole list is asked for.
    pub since: Option<(u64, Nanos)>,
    /// When its silence is a failure, counted from its sending.
    pub patience: Nanos,
    /// When an answer that has begun and is not whole is a failure, counted from the same moment.
    pub whole_within: Nanos,
    /// A connection that is not made by then has failed.
    pub connect: Nanos,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// With a list of this version; `news`: it named anything.
    Answered {
        /// The list's version.
        version: u64,
        /// It had entries.
        news: bool,
    },
    /// The connection stayed open and said nothing.
    Silent,
    /// Turned away: it had waited too long for its turn, or the service is full or down.
    TurnedAway,
    /// Broken, or without a list in it.
    Failed,
}

/// What follows a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// Whoever asked is told how the call ended, unless `quietly`, and this call follows.
    Call {
        /// The next call.
        call: Call,
        /// The pause before it.
        after: Nanos,
        /// Nothing is told of the call that ended: the watch is only opened anew.
        quietly: bool,
    },
    /// Whoever asked is told that it failed, and asks again.
    Rest,
}

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// Changes, from now on.
    Changes,
    /// The whole list, once.
    Whole,
}

/// The calls of one list.
#[derive(Debug)]
pub struct Watch {
    service: ListService,
    version: Option<u64>,
    /// When the call that is out began.
    began: Timestamp,
    /// Its wait.
    wait: Nanos,
    /// The last call was answered.
    is_open: bool,
    /// The service counts as busy until then.
    busy_until: Timestamp,
}

impl Watch {
    /// Of this service, with a list of this version, if there is one.
    pub fn new(service: ListService, version: Option<u64>) -> Watch {
        Watch {
            service,
            version,
            began: 0,
            wait: 0,
            is_open: false,
            busy_until: 0,
        }
    }

    /// The call that is made at the start without being asked for.
    pub fn first_call(&mut self, now: Timestamp) -> Option<Call> {
        (self.service == ListService::LocalAgent).then(|| self.ask(now, Ask::Changes))
    }

    /// Calls follow one another without being asked for.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// The service is another one: versions of the old one mean nothing there.
    pub fn moved(&mut self) {
        (self.version, self.is_open, self.busy_until) = (None, false, 0);
    }

    /// The call for what is asked.
    pub fn ask(&mut self, now: Timestamp, ask: Ask) -> Call {
        self.open(now, ask)
    }

    /// The first call of a watch.
    fn open(&mut self, now: Timestamp, ask: Ask) -> Call {
        match self.service {
            ListService::Shared => self.begin(now, ask, OPENING, TURN),
            ListService::LocalAgent => self.begin_local(now, ask, LOCAL_OPENING),
        }
    }

    /// A further call of an open watch.
    fn continue_watch(&mut self, now: Timestamp) -> Call {
        match self.service {
            ListService::Shared => self.begin(now, Ask::Changes, WAIT, 0),
            ListService::LocalAgent => self.begin_local(now, Ask::Changes, LOCAL_WAIT),
        }
    }

    fn begin(&mut self, now: Timestamp, ask: Ask, wait: Nanos, turn: Nanos) -> Call {
        // One call less for a busy service: the first one is the watch already.
        let (wait, turn) = if now < self.busy_until {
            (BUSY_WAIT, 0)
        } else {
            (wait, turn)
        };
        let since = self.since(now, ask, wait);
        // The whole list waits for nothing but its turn.
        let patience = if since.is_some() { wait + turn } else { TURN };
        let patience = patience + LATE;
        Call {
            since,
            patience,
            whole_within: patience,
            connect: CONNECT,
        }
    }

    fn begin_local(&mut self, now: Timestamp, ask: Ask, wait: Nanos) -> Call {
        let since = self.since(now, ask, wait);
        let patience = since.map_or(LOCAL_OPENING, |(_, wait)| wait) + LOCAL_LATE;
        Call {
            since,
            patience,
            whole_within: patience + LOCAL_REST,
            connect: LOCAL_LATE,
        }
    }

    /// Records the beginning of a call; says what it asks for and how long it may wait.
    fn since(&mut self, now: Timestamp, ask: Ask, wait: Nanos) -> Option<(u64, Nanos)> {
        let since = self
            .version
            .filter(|_| ask == Ask::Changes)
            .map(|version| (version, wait));
        (self.began, self.wait) = (now, since.map_or(0, |s| s.1));
        since
    }

    /// A call has ended at `now`.
    pub fn ended(&mut self, now: Timestamp, ended: Ended) -> Then {
        let was_open = std::mem::replace(&mut self.is_open, false);
        match (ended, self.service) {
            (Ended::Answered { version, news }, _) => self.answered(now, version, news),
            // What has fallen silent is called anew at once, on a new connection: there is no time for a drawn
            // pause, and the routers' calls are out of step. A watch's first silence is no failure yet.
            (Ended::Silent, ListService::Shared) => Then::Call {
                call: self.open(now, Ask::Changes),
                after: 0,
                quietly: was_open,
            },
            (Ended::TurnedAway, ListService::Shared) => {
                self.busy_until = now + BUSY;
                Then::Rest
            }
            (Ended::Failed, ListService::Shared) => Then::Rest,
            // A local agent that can't be reached learns nothing meanwhile: there is nothing to tell of it.
            (Ended::Silent, ListService::LocalAgent) => Then::Call {
                call: self.open(now, Ask::Changes),
                after: 0,
                quietly: true,
            },
            (Ended::TurnedAway | Ended::Failed, ListService::LocalAgent) => {
                let call = self.open(now + LOCAL_RETRY, Ask::Changes);
                Then::Call {
                    call,
                    after: LOCAL_RETRY,
                    quietly: true,
                }
            }
        }
    }

    fn answered(&mut self, now: Timestamp, version: u64, news: bool) -> Then {
        (self.version, self.is_open) = (Some(version), true);
        // Answered early without news: calls that follow at once would keep both sides busy for nothing.
        let is_early = !news && now.saturating_sub(self.began) < self.wait / 2;
        let after = if is_early { PAUSE } else { 0 };
        Then::Call {
            call: self.continue_watch(now + after),
            after,
            quietly: false,
        }
    }
}

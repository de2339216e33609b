//! The long polls that keep one endpoint list up to date, without I/O.
//!
//! [`ListWatch`] decides how long each poll may wait at the discovery service, when the absence of a response is a
//! failure, and what follows each outcome. It owns the known version of the list and whether the watch is open. It
//! never sends anything: its host sends each [`PollRequest`] and reports how it ended.
//!
//! The durations keep every way in which a change can be delayed within the time by which it counts as notified;
//! `docs/design/edges.md` has the table.

use reelrill_routing::{Nanos, Timestamp};

const MILLISECOND: Nanos = 1_000_000;

/// A change counts as notified this long after the service had it and could be reached, or after a watch fell silent.
pub const NOTIFICATION_DEADLINE: Nanos = 6000 * MILLISECOND;
/// A change also counts as notified this long after the wait of the poll in progress has ended, if that is later.
pub const NOTIFICATION_GRACE_AFTER_WAIT: Nanos = 2000 * MILLISECOND;
/// Wait of the first poll of a watch. Short, since the poll may also queue at the service.
pub const INITIAL_WAIT: Nanos = 1000 * MILLISECOND;
/// Wait of the further polls of a watch. A silent service is noticed only after it.
pub const LONG_POLL_WAIT: Nanos = 3000 * MILLISECOND;
/// Wait of a poll while the service is busy, when each poll is work for it. A silent service is then noticed later,
/// though still in time.
pub const BUSY_LONG_POLL_WAIT: Nanos = 8000 * MILLISECOND;
/// How long a service counts as busy after it has rejected a poll.
pub const BUSY_PERIOD: Nanos = 20_000 * MILLISECOND;
/// How long a poll may queue at a busy service, beyond its own wait. The service rejects a poll that has queued for
/// 2 s; one that is repeated while it still queues is served twice, the first time for nobody.
pub const QUEUE_ALLOWANCE: Nanos = 2000 * MILLISECOND;
/// How late a response may be, beyond all waits.
pub const RESPONSE_GRACE: Nanos = 500 * MILLISECOND;
/// A connection that is not established by then has failed.
pub const CONNECT_TIMEOUT: Nanos = 1200 * MILLISECOND;
/// Delay after a poll that was answered early without changes. The service takes a poll that arrives within 200 ms
/// for the same watch's next one.
pub const EMPTY_RESPONSE_DELAY: Nanos = 100 * MILLISECOND;

/// Wait of a poll at a local agent. Polls cost it nothing, and its silence is noticed only after the wait.
pub const LOCAL_LONG_POLL_WAIT: Nanos = 250 * MILLISECOND;
/// Wait of the polls that open a watch of a local agent, also while the agent is silent: what it holds counts as
/// notified from the moment at which it can be reached again.
pub const LOCAL_INITIAL_WAIT: Nanos = 40 * MILLISECOND;
/// How late a local agent's response may be, beyond the wait; also the connect timeout.
pub const LOCAL_RESPONSE_GRACE: Nanos = 60 * MILLISECOND;
/// Delay before a local agent is polled again after a poll that failed.
pub const LOCAL_RETRY_DELAY: Nanos = 50 * MILLISECOND;
/// How long the rest of a local agent's response may take, after its beginning was due.
pub const LOCAL_BODY_TIMEOUT: Nanos = 1000 * MILLISECOND;

// A watch whose poll has fallen silent is open again, after one further poll, before what it missed counts as notified.
const _: () = assert!(LONG_POLL_WAIT + 2 * RESPONSE_GRACE < NOTIFICATION_DEADLINE);
const _: () = assert!(2 * RESPONSE_GRACE < NOTIFICATION_GRACE_AFTER_WAIT);
const _: () = assert!(BUSY_LONG_POLL_WAIT > NOTIFICATION_DEADLINE);
// So is one whose first poll fell silent, also if a connection that is not established is in between.
const _: () = assert!(
    INITIAL_WAIT + QUEUE_ALLOWANCE + RESPONSE_GRACE + CONNECT_TIMEOUT + RESPONSE_GRACE
        < NOTIFICATION_DEADLINE
);
// A silent local agent is polled so often that the shortest usual drain grace, 250 ms, is kept when it returns, with
// 150 ms for which the process may be held up.
const _: () = assert!(LOCAL_INITIAL_WAIT + LOCAL_RESPONSE_GRACE <= 100 * MILLISECOND);
const _: () = assert!(LOCAL_RESPONSE_GRACE + LOCAL_RETRY_DELAY <= 110 * MILLISECOND);
const _: () = assert!(
    LOCAL_LONG_POLL_WAIT + LOCAL_RESPONSE_GRACE + LOCAL_INITIAL_WAIT + LOCAL_RESPONSE_GRACE
        < NOTIFICATION_DEADLINE
);

/// Who serves the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListService {
    /// One service for all routers. Each poll is work for it, so the balancer decides when a failed one is repeated.
    Shared,
    /// An agent on this machine, to which changes are pushed. What it holds counts as notified whether or not it is
    /// watched, so it is polled from the start on, and at once after each poll that failed.
    LocalAgent,
}

/// What the watch's host asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRequest {
    /// Changes, from now on.
    Changes,
    /// The complete list, once.
    Snapshot,
}

/// The part of a long poll that waits: for a list newer than the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPoll {
    /// The known version.
    pub version: u64,
    /// How long the poll may wait for a newer one, in nanoseconds.
    pub wait: Nanos,
}

/// One poll of the service. All timeouts are in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// What the poll waits for; none: it asks for the complete list.
    pub long_poll: Option<LongPoll>,
    /// No response having begun is a failure by then, counted from the sending.
    pub response_timeout: Nanos,
    /// A response that has begun and is incomplete is a failure by then, counted from the sending.
    pub body_timeout: Nanos,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Nanos,
}

/// How a poll ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollOutcome {
    /// With a list.
    Updated {
        /// The list's version.
        version: u64,
        /// The list had entries.
        has_changes: bool,
    },
    /// The connection stayed open without a response in time.
    TimedOut,
    /// Rejected: it queued too long, or the service is full or down.
    Rejected,
    /// The connection broke, or the response held no list.
    Failed,
}

/// What follows a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another poll.
    Poll {
        /// The next poll.
        request: PollRequest,
        /// The delay before it, in nanoseconds.
        delay: Nanos,
        /// The outcome is not reported to the balancer: the watch is only opened anew.
        should_suppress_report: bool,
    },
    /// The failure is reported, and the balancer decides when to ask again.
    Idle,
}

/// The state of the watch of one list.
///
/// Invariant: `is_open` only while the latest poll was answered with a list, whose version is then `version`.
#[derive(Debug)]
pub struct ListWatch {
    service: ListService,
    /// The latest known version of the list.
    version: Option<u64>,
    poll_started_at: Timestamp,
    /// Wait of the poll in progress, in nanoseconds.
    poll_wait: Nanos,
    is_open: bool,
    busy_until: Timestamp,
}

impl ListWatch {
    /// A closed watch of a list at `service`, known in this version, if at all.
    pub fn new(service: ListService, version: Option<u64>) -> ListWatch {
        ListWatch {
            service,
            version,
            poll_started_at: 0,
            poll_wait: 0,
            is_open: false,
            busy_until: 0,
        }
    }

    /// The poll that is made at the start without being requested.
    pub fn initial_poll(&mut self, now: Timestamp) -> Option<PollRequest> {
        match self.service {
            ListService::LocalAgent => Some(self.request(now, ListRequest::Changes)),
            ListService::Shared => None,
        }
    }

    /// Polls follow one another without being requested.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// The service was replaced by another one, where versions of the old one mean nothing.
    pub fn on_service_replaced(&mut self) {
        self.version = None;
        self.is_open = false;
        self.busy_until = 0;
    }

    /// The first poll of a watch, for what is requested.
    pub fn request(&mut self, now: Timestamp, request: ListRequest) -> PollRequest {
        match self.service {
            ListService::Shared => self.poll_shared(now, request, INITIAL_WAIT, QUEUE_ALLOWANCE),
            ListService::LocalAgent => self.poll_local(now, request, LOCAL_INITIAL_WAIT),
        }
    }

    /// Records that a poll ended at `now`, and says what follows.
    pub fn complete_poll(&mut self, now: Timestamp, outcome: PollOutcome) -> NextStep {
        let was_open = std::mem::replace(&mut self.is_open, false);
        match outcome {
            PollOutcome::Updated {
                version,
                has_changes,
            } => self.after_update(now, version, has_changes),
            PollOutcome::TimedOut => self.after_timeout(now, was_open),
            PollOutcome::Rejected | PollOutcome::Failed => self.after_failure(now, outcome),
        }
    }

    fn after_update(&mut self, now: Timestamp, version: u64, has_changes: bool) -> NextStep {
        self.version = Some(version);
        self.is_open = true;
        // Polls that follow an early empty response at once would keep both sides busy for nothing.
        let elapsed = now.saturating_sub(self.poll_started_at);
        let is_early = !has_changes && elapsed < self.poll_wait / 2;
        let delay = if is_early { EMPTY_RESPONSE_DELAY } else { 0 };
        NextStep::Poll {
            request: self.continue_watch(now + delay),
            delay,
            should_suppress_report: false,
        }
    }

    /// A silent service is polled at once, on a new connection: there is no time for a random delay, and the polls of
    /// different routers are out of step anyway.
    fn after_timeout(&mut self, now: Timestamp, was_open: bool) -> NextStep {
        let should_suppress_report = match self.service {
            // The first silence of an open watch is no failure yet.
            ListService::Shared => was_open,
            // An agent that can't be reached learns nothing meanwhile: there is nothing to report.
            ListService::LocalAgent => true,
        };
        NextStep::Poll {
            request: self.request(now, ListRequest::Changes),
            delay: 0,
            should_suppress_report,
        }
    }

    fn after_failure(&mut self, now: Timestamp, outcome: PollOutcome) -> NextStep {
        match self.service {
            ListService::Shared => {
                if outcome == PollOutcome::Rejected {
                    self.busy_until = now + BUSY_PERIOD;
                }
                NextStep::Idle
            }
            ListService::LocalAgent => NextStep::Poll {
                request: self.request(now + LOCAL_RETRY_DELAY, ListRequest::Changes),
                delay: LOCAL_RETRY_DELAY,
                should_suppress_report: true,
            },
        }
    }

    /// A further poll of an open watch.
    fn continue_watch(&mut self, now: Timestamp) -> PollRequest {
        let request = ListRequest::Changes;
        match self.service {
            ListService::Shared => self.poll_shared(now, request, LONG_POLL_WAIT, 0),
            ListService::LocalAgent => self.poll_local(now, request, LOCAL_LONG_POLL_WAIT),
        }
    }

    fn poll_shared(
        &mut self,
        now: Timestamp,
        request: ListRequest,
        wait: Nanos,
        queue_allowance: Nanos,
    ) -> PollRequest {
        // One poll less for a busy service: the first one is the watch already.
        let (wait, queue_allowance) = if now < self.busy_until {
            (BUSY_LONG_POLL_WAIT, 0)
        } else {
            (wait, queue_allowance)
        };
        let since = self.begin_poll(now, request, wait);
        // The complete list waits for nothing but the queue.
        let longest_wait = match since {
            Some(_) => wait + queue_allowance,
            None => QUEUE_ALLOWANCE,
        };
        let response_timeout = longest_wait + RESPONSE_GRACE;
        PollRequest {
            long_poll: since,
            response_timeout,
            body_timeout: response_timeout,
            connect_timeout: CONNECT_TIMEOUT,
        }
    }

    fn poll_local(&mut self, now: Timestamp, request: ListRequest, wait: Nanos) -> PollRequest {
        let since = self.begin_poll(now, request, wait);
        let longest_wait = since.map_or(LOCAL_INITIAL_WAIT, |since| since.wait);
        let response_timeout = longest_wait + LOCAL_RESPONSE_GRACE;
        PollRequest {
            long_poll: since,
            response_timeout,
            body_timeout: response_timeout + LOCAL_BODY_TIMEOUT,
            connect_timeout: LOCAL_RESPONSE_GRACE,
        }
    }

    /// Records the beginning of a poll, and says what it waits for.
    fn begin_poll(
        &mut self,
        now: Timestamp,
        request: ListRequest,
        wait: Nanos,
    ) -> Option<LongPoll> {
        let version = self.version.filter(|_| request == ListRequest::Changes);
        let since = version.map(|version| LongPoll { version, wait });
        self.poll_started_at = now;
        self.poll_wait = since.map_or(0, |since| since.wait);
        since
    }
}

//! Schedules the long polls that keep one endpoint list up to date, without I/O.
//!
//! [`ListWatch`] decides how long each poll may wait at the discovery service, when the absence of a response is a
//! failure, and what follows each outcome. It owns the known version of the list and whether the watch is open. The
//! caller sends each [`PollRequest`] and reports its outcome.
//!
//! The durations are chosen so that a change is received before it counts as notified, however it is delayed;
//! `docs/design/edges.md` has the table.

use reelrill_routing::{Nanos, Timestamp};

const MILLISECOND: Nanos = 1_000_000;

/// The time after which a change counts as notified, measured from when the service had the change and was reachable,
/// or from when a watch stopped receiving responses.
pub const NOTIFICATION_DEADLINE: Nanos = 6000 * MILLISECOND;
/// The time after the end of the wait of the poll in progress at which a change counts as notified, if that is later.
pub const NOTIFICATION_GRACE_AFTER_WAIT: Nanos = 2000 * MILLISECOND;
/// The wait of the first poll of a watch. It is short because the poll may also queue at the service.
pub const INITIAL_WAIT: Nanos = 1000 * MILLISECOND;
/// The wait of the further polls of a watch. An unresponsive service is detected only after this time.
pub const LONG_POLL_WAIT: Nanos = 3000 * MILLISECOND;
/// The wait of a poll while the service is busy, longer because each poll adds to the service's load. An unresponsive
/// service is then detected later, but still in time.
pub const BUSY_LONG_POLL_WAIT: Nanos = 8000 * MILLISECOND;
/// The time for which a service counts as busy after it has rejected a poll.
pub const BUSY_PERIOD: Nanos = 20_000 * MILLISECOND;
/// The time that a poll may queue at a busy service, in addition to its own wait. The service rejects a poll that has
/// queued for 2 s. A poll that is repeated while it is still queued is processed twice, and the first response is
/// wasted.
pub const QUEUE_ALLOWANCE: Nanos = 2000 * MILLISECOND;
/// The time by which a response may be late, in addition to all waits.
pub const RESPONSE_GRACE: Nanos = 500 * MILLISECOND;
/// The time after which a connection attempt to a shared service has failed.
pub const CONNECT_TIMEOUT: Nanos = 1200 * MILLISECOND;
/// The delay before the next poll after an early response without changes. The service treats a poll that arrives
/// within 200 ms as a continuation of the same watch.
pub const EMPTY_RESPONSE_DELAY: Nanos = 100 * MILLISECOND;

/// The wait of a poll at a local agent. It is short because polls cost the agent nothing and an unresponsive agent is
/// detected only after the wait.
pub const LOCAL_LONG_POLL_WAIT: Nanos = 250 * MILLISECOND;
/// The wait of the polls that open a watch of a local agent, also while the agent does not respond. It is short because
/// the agent's changes count as notified from the moment at which the agent is reachable again.
pub const LOCAL_INITIAL_WAIT: Nanos = 40 * MILLISECOND;
/// The time by which a local agent's response may be late, in addition to the wait. Also the connect timeout.
pub const LOCAL_RESPONSE_GRACE: Nanos = 60 * MILLISECOND;
/// The delay before a local agent is polled again after a failed poll.
pub const LOCAL_RETRY_DELAY: Nanos = 50 * MILLISECOND;
/// The time that the rest of a local agent's response may take after its beginning was due.
pub const LOCAL_BODY_TIMEOUT: Nanos = 1000 * MILLISECOND;

// A watch whose poll received no response is open again, after one further poll, before a missed change counts as
// notified.
const _: () = assert!(LONG_POLL_WAIT + 2 * RESPONSE_GRACE < NOTIFICATION_DEADLINE);
const _: () = assert!(2 * RESPONSE_GRACE < NOTIFICATION_GRACE_AFTER_WAIT);
const _: () = assert!(BUSY_LONG_POLL_WAIT > NOTIFICATION_DEADLINE);
// The same holds if the first poll received no response, even if a failed connection attempt follows.
const _: () = assert!(
    INITIAL_WAIT + QUEUE_ALLOWANCE + RESPONSE_GRACE + CONNECT_TIMEOUT + RESPONSE_GRACE
        < NOTIFICATION_DEADLINE
);
// An unresponsive local agent is polled often enough to meet the shortest usual drain grace of 250 ms when it returns,
// with a reserve of 150 ms for delays of this process.
const _: () = assert!(LOCAL_INITIAL_WAIT + LOCAL_RESPONSE_GRACE <= 100 * MILLISECOND);
const _: () = assert!(LOCAL_RESPONSE_GRACE + LOCAL_RETRY_DELAY <= 110 * MILLISECOND);
const _: () = assert!(
    LOCAL_LONG_POLL_WAIT + LOCAL_RESPONSE_GRACE + LOCAL_INITIAL_WAIT + LOCAL_RESPONSE_GRACE
        < NOTIFICATION_DEADLINE
);

/// The kind of service that provides the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListService {
    /// One service for all routers. Each poll adds to its load, so the balancer decides when a failed poll is repeated.
    Shared,
    /// An agent on this machine to which changes are pushed. Its changes count as notified whether or not it is
    /// watched, so it is polled from the start and again shortly after each failed poll.
    LocalAgent,
}

/// The part of the list that the caller requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRequest {
    /// The changes from now on.
    Changes,
    /// The complete list, once.
    Snapshot,
}

/// The parameters of a poll that waits for a newer list version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPoll {
    /// The known list version.
    pub version: u64,
    /// The time for which the service may wait for a newer version before it responds, in nanoseconds.
    pub wait: Nanos,
}

/// One poll of the service. All timeouts are in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// The version to wait for; `None` requests the complete list at once.
    pub long_poll: Option<LongPoll>,
    /// The time from sending by which a response must have begun.
    pub response_timeout: Nanos,
    /// The time from sending by which the response must be complete.
    pub body_timeout: Nanos,
    /// The time within which a connection must be established.
    pub connect_timeout: Nanos,
}

/// The outcome of a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollOutcome {
    /// The service returned a list.
    Updated {
        /// The list's version.
        version: u64,
        /// Whether the list had entries.
        has_changes: bool,
    },
    /// The connection stayed open without a response in time.
    TimedOut,
    /// The service rejected the poll: it queued too long, or the service is overloaded or down.
    Rejected,
    /// The connection failed, or the response contained no list.
    Failed,
}

/// The next step after a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another poll.
    Poll {
        /// The next poll.
        request: PollRequest,
        /// The delay before it, in nanoseconds.
        delay: Nanos,
        /// Whether the outcome is withheld from the balancer because the watch is merely reopened.
        should_suppress_report: bool,
    },
    /// The failure is reported to the balancer, which decides when to request the list again.
    Idle,
}

/// The state of the watch of one endpoint list.
///
/// Invariant: while `is_open` is set, the latest poll returned a list, and `version` is the version of that list.
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
    /// Returns a closed watch of a list at `service`; `version` is the known list version, if any.
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

    /// Returns the poll to send at the start, before the list has been requested; `None` for a shared service.
    pub fn initial_poll(&mut self, now: Timestamp) -> Option<PollRequest> {
        match self.service {
            ListService::LocalAgent => Some(self.request(now, ListRequest::Changes)),
            ListService::Shared => None,
        }
    }

    /// Returns whether the watch is open, that is, whether each poll is followed by another one without a request.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Resets the watch after the service was replaced, since the versions of the old service are meaningless there.
    pub fn on_service_replaced(&mut self) {
        self.version = None;
        self.is_open = false;
        self.busy_until = 0;
    }

    /// Returns the first poll of a watch for the given request.
    pub fn request(&mut self, now: Timestamp, request: ListRequest) -> PollRequest {
        match self.service {
            ListService::Shared => self.poll_shared(now, request, INITIAL_WAIT, QUEUE_ALLOWANCE),
            ListService::LocalAgent => self.poll_local(now, request, LOCAL_INITIAL_WAIT),
        }
    }

    /// Records the outcome of a poll that ended at `now`, and returns the next step.
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
        // Polling again at once after an early empty response would waste work on both sides.
        let elapsed = now.saturating_sub(self.poll_started_at);
        let is_early = !has_changes && elapsed < self.poll_wait / 2;
        let delay = if is_early { EMPTY_RESPONSE_DELAY } else { 0 };
        NextStep::Poll {
            request: self.continue_watch(now + delay),
            delay,
            should_suppress_report: false,
        }
    }

    /// Polls an unresponsive service again at once on a new connection. There is no time for a random delay, and the
    /// polls of different routers are not synchronized anyway.
    fn after_timeout(&mut self, now: Timestamp, was_open: bool) -> NextStep {
        let should_suppress_report = match self.service {
            // The first timeout of an open watch is not a failure yet.
            ListService::Shared => was_open,
            // An agent that cannot be reached receives no changes, so there is nothing to report.
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

    /// Returns the next poll of an open watch.
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
        // At a busy service the first poll already has the full wait, which saves one poll.
        let (wait, queue_allowance) = if now < self.busy_until {
            (BUSY_LONG_POLL_WAIT, 0)
        } else {
            (wait, queue_allowance)
        };
        let long_poll = self.begin_poll(now, request, wait);
        // A poll for the complete list waits only in the queue.
        let longest_wait = match long_poll {
            Some(_) => wait + queue_allowance,
            None => QUEUE_ALLOWANCE,
        };
        let response_timeout = longest_wait + RESPONSE_GRACE;
        PollRequest {
            long_poll,
            response_timeout,
            body_timeout: response_timeout,
            connect_timeout: CONNECT_TIMEOUT,
        }
    }

    fn poll_local(&mut self, now: Timestamp, request: ListRequest, wait: Nanos) -> PollRequest {
        let long_poll = self.begin_poll(now, request, wait);
        let longest_wait = long_poll.map_or(LOCAL_INITIAL_WAIT, |long_poll| long_poll.wait);
        let response_timeout = longest_wait + LOCAL_RESPONSE_GRACE;
        PollRequest {
            long_poll,
            response_timeout,
            body_timeout: response_timeout + LOCAL_BODY_TIMEOUT,
            connect_timeout: LOCAL_RESPONSE_GRACE,
        }
    }

    /// Records the start of a poll, and returns its long-poll parameters if it waits for changes.
    fn begin_poll(
        &mut self,
        now: Timestamp,
        request: ListRequest,
        wait: Nanos,
    ) -> Option<LongPoll> {
        let version = self.version.filter(|_| request == ListRequest::Changes);
        let long_poll = version.map(|version| LongPoll { version, wait });
        self.poll_started_at = now;
        self.poll_wait = long_poll.map_or(0, |long_poll| long_poll.wait);
        long_poll
    }
}

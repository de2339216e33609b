//! Subscription to the endpoint list: the time of the next call to the discovery service, with
//! randomised exponential backoff.
//!
//! A subscription breaks for all routers at the same moment, and the discovery service handles one
//! call at a time. Each router therefore renews it at a random time within a span that grows with
//! the number of routers and with consecutive failures, up to a fixed limit. Owns the time of the
//! next call and the number of failures; it must never change the endpoint list itself.

use crate::random::SplitMix64;
use crate::settings::Settings;
use crate::units::{Nanos, Timestamp};

/// Time that is reserved at the discovery service for each router's call, nanoseconds. If calls
/// arrive at a higher rate, they wait longer than their time limits and none succeeds.
const CALL_SLOT: Nanos = 30_000_000;
/// Longest span of the backoff, nanoseconds, for any number of routers. A router counts as notified
/// of a change 6 s after the discovery service had the change and was reachable; one more failed
/// call must fit into this time.
const MAX_BACKOFF: Nanos = 2_000_000_000;
/// Largest number of times that consecutive failures double the span of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Schedule of the subscription to the endpoint list.
///
/// Invariant: `next_attempt_at` is `None` exactly while no call is scheduled.
pub(crate) struct ListSubscription {
    next_attempt_at: Option<Timestamp>,
    consecutive_failures: u32,
    is_required: bool,
    /// Span over which the first calls of all routers are spread, nanoseconds.
    spread: Nanos,
    /// Time after which a call without a response is repeated, nanoseconds.
    response_timeout: Nanos,
    /// Resolution of the balancer's timer, nanoseconds.
    tick: Nanos,
}

impl ListSubscription {
    pub(crate) fn new(settings: &Settings, tick: Nanos) -> ListSubscription {
        let slots = CALL_SLOT.saturating_mul(Nanos::from(settings.router_count));
        ListSubscription {
            next_attempt_at: None,
            consecutive_failures: 0,
            is_required: settings.is_subscription_required,
            spread: slots.min(MAX_BACKOFF).max(tick),
            response_timeout: (settings.rules.poll_interval / 2).max(tick),
            tick,
        }
    }

    /// Records that a call failed or the subscription broke, and schedules the next call.
    pub(crate) fn record_failure(&mut self, now: Timestamp, rng: &mut SplitMix64) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let span = self
            .spread
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF)
            .max(self.tick);
        self.next_attempt_at = Some(now + rng.next_below(span));
        self.consecutive_failures += 1;
    }

    /// Records that the router starts from a cached list, and schedules the first call if a
    /// subscription is required.
    pub(crate) fn record_cached_list(&mut self, now: Timestamp, rng: &mut SplitMix64) {
        let delay = rng.next_below(self.spread);
        self.next_attempt_at = self.is_required.then_some(now + delay);
    }

    /// Records that the service sent a list or changes: no call is scheduled any more.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.next_attempt_at = None;
    }

    /// Returns whether a call is scheduled or waits for its response.
    pub(crate) fn is_pending(&self) -> bool {
        self.next_attempt_at.is_some()
    }

    /// Returns whether the caller must make a call now. If so, schedules its repetition in case no
    /// response arrives within the time limit.
    pub(crate) fn start_due_call(&mut self, now: Timestamp) -> bool {
        let is_due = self.next_attempt_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_attempt_at = Some(now + self.response_timeout);
        }
        is_due
    }
}

//! Subscription to the endpoint list: when to ask for it, with randomised exponential backoff.
//!
//! A subscription breaks for all routers at the same moment, and the discovery service answers one
//! call at a time. Each router therefore renews it at a random point within a span that grows with
//! the number of routers and with consecutive failures, up to a fixed limit. Owns the time of the
//! next call and the count of failures; it must never change the endpoint list itself.

use crate::random::SplitMix64;
use crate::settings::Settings;
use crate::units::{Nanos, Timestamp};

/// Share of the discovery service's time that one call may take, nanoseconds. In a queue that
/// outlasts the calls' time limits none is served.
const CALL_SLOT: Nanos = 30_000_000;
/// Longest span of the backoff, nanoseconds, at any number of routers: a change counts as notified
/// 6 s after the service had it and could be reached, and one more failure has to fit in.
const MAX_BACKOFF: Nanos = 2_000_000_000;
/// Highest exponent of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// When to subscribe to the endpoint list.
///
/// Invariant: `next_attempt_at` is `None` exactly while no call is planned.
pub(crate) struct ListSubscription {
    next_attempt_at: Option<Timestamp>,
    consecutive_failures: u32,
    is_required: bool,
    /// Span over which all routers' first calls are spread, nanoseconds.
    spread: Nanos,
    /// Time after which an unanswered call is repeated, nanoseconds.
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

    /// A call has failed or the subscription has broken: plans the next one.
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

    /// The router starts from a cached list: plans the first subscription where one is needed.
    pub(crate) fn record_cached_list(&mut self, now: Timestamp, rng: &mut SplitMix64) {
        let delay = rng.next_below(self.spread);
        self.next_attempt_at = self.is_required.then_some(now + delay);
    }

    /// The service has sent a list or changes.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.next_attempt_at = None;
    }

    /// Whether a call is planned or unanswered.
    pub(crate) fn is_pending(&self) -> bool {
        self.next_attempt_at.is_some()
    }

    /// Whether to subscribe now. No response within the time limit counts as a failed call.
    pub(crate) fn poll(&mut self, now: Timestamp) -> bool {
        let is_due = self.next_attempt_at.is_some_and(|at| at <= now);
        if is_due {
            self.next_attempt_at = Some(now + self.response_timeout);
        }
        is_due
    }
}

//! Retries: a budget that keeps them from amplifying an overload, and the rules of idempotency.
//!
//! The budget is a token bucket that follows the router's own requests: each request adds a
//! fraction of a token, each retry that may cost an endpoint work takes one. Outcomes that prove
//! that nothing was executed are free. A request that was possibly executed is sent again only as
//! its class's idempotency allows. Owns the budget; it must never select an endpoint.

use crate::action::{Action, RejectReason};
use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::event::AttemptOutcome;
use crate::pending_request::PendingRequest;
use crate::settings::{Idempotency, KeyScope, Operation};
use crate::units::Timestamp;

/// Retries that may have cost work, as a fraction of requests.
const RETRY_RATIO: f64 = 0.15;
/// Most retries that the budget holds.
const MAX_TOKENS: f64 = 20.0;
/// Least capacity of the budget, so that a router with few requests can retry at all.
const MIN_CAPACITY: f64 = 1.0;

/// Token bucket of retries.
///
/// Invariant: `0 <= tokens <= MAX_TOKENS`.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget {
            tokens: MIN_CAPACITY,
        }
    }

    /// A request has come in. The capacity follows the router's recent requests: a budget that each
    /// of many routers may spend at once would add up to an overload.
    pub(crate) fn deposit(&mut self, recent_requests: f64) {
        let capacity = (RETRY_RATIO * recent_requests).clamp(MIN_CAPACITY, MAX_TOKENS);
        self.tokens = (self.tokens + RETRY_RATIO).min(capacity);
    }

    /// Whether the budget covers `cost` tokens.
    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Takes `cost` tokens, which the budget must cover.
    pub(crate) fn withdraw(&mut self, cost: f64) {
        debug_assert!(self.covers(cost));
        self.tokens -= cost;
    }
}

/// Tokens that a retry after this outcome takes: none where the endpoint certainly did no work.
fn retry_cost(outcome: AttemptOutcome) -> f64 {
    match outcome {
        AttemptOutcome::Misrouted | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => 0.0,
        _ => 1.0,
    }
}

impl Balancer {
    /// The request's last attempt in flight has failed: sends another one, or the final response.
    pub(crate) fn retry_or_finish(
        &mut self,
        now: Timestamp,
        mut pending: PendingRequest,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        if outcome == AttemptOutcome::InvalidRequest {
            return self.fail(pending, RejectReason::InvalidRequest, out);
        }
        let is_write = self.class(&pending).operation == Operation::Write;
        if is_write && !outcome.is_never_executed() {
            pending.tried.clear();
        }
        if let Some(reason) = self.retry_obstacle(now, &pending, outcome) {
            return self.reject_or_fail(now, pending, reason, out);
        }
        self.retry_budget.withdraw(retry_cost(outcome));
        if outcome == AttemptOutcome::Overloaded {
            // An endpoint in slow start has spent capacity on the rejection: half the chance next
            // time, or none.
            pending.admission_draw = 2.0 * pending.admission_draw.max(0.5);
        }
        let replica_set = pending.request.replica_set;
        if let Some(replica_set) = self.endpoints.replica_sets.get_mut(&replica_set) {
            replica_set.primary.record_failed_attempt(now);
        }
        self.dispatch(now, pending, out);
    }

    /// Why the request may not be sent again after this outcome, if so.
    fn retry_obstacle(
        &self,
        now: Timestamp,
        pending: &PendingRequest,
        outcome: AttemptOutcome,
    ) -> Option<RejectReason> {
        if outcome == AttemptOutcome::Abandoned {
            return Some(RejectReason::DeadlineTooClose);
        }
        let has_timed_out = outcome == AttemptOutcome::TimedOut;
        let is_allowed = match self.class(pending).idempotency {
            Idempotency::Idempotent => !has_timed_out || now < pending.objective_end,
            Idempotency::IdempotencyKey(_) => !has_timed_out,
            Idempotency::NonIdempotent => pending.possibly_executed.is_empty(),
        };
        if !is_allowed && has_timed_out {
            Some(RejectReason::AttemptTimedOut)
        } else if !is_allowed {
            Some(RejectReason::NotRetryable)
        } else if !self.retry_budget.covers(retry_cost(outcome)) {
            Some(RejectReason::RetryBudgetExhausted)
        } else {
            None
        }
    }

    /// Whether the request may be sent to the endpoint: one that was possibly executed only as its
    /// class allows, where the endpoint shares the record of keys with all earlier ones and the
    /// deduplication window is open.
    pub(crate) fn is_safe_to_send(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        let class = self.class(pending);
        let target = &self.endpoints[index];
        pending.possibly_executed.iter().all(|sent| {
            let earlier = &self.endpoints[sent.endpoint];
            let shares_keys = match class.idempotency {
                Idempotency::Idempotent => return true,
                Idempotency::IdempotencyKey(KeyScope::All) => true,
                Idempotency::IdempotencyKey(KeyScope::Zone) => earlier.zone == target.zone,
                Idempotency::IdempotencyKey(KeyScope::ReplicaSet) => {
                    earlier.replica_set == target.replica_set
                }
                Idempotency::NonIdempotent => false,
            };
            shares_keys && now.saturating_sub(sent.sent_at) < class.deduplication_window
        })
    }

    /// Until when a further attempt may be written: as long as the deduplication window of the
    /// first, possibly executed one is open.
    pub(crate) fn deduplication_deadline(&self, pending: &PendingRequest) -> Option<Timestamp> {
        let class = self.class(pending);
        if class.idempotency == Idempotency::Idempotent {
            return None;
        }
        let first = pending
            .possibly_executed
            .iter()
            .map(|sent| sent.sent_at)
            .min()?;
        Some(first.saturating_add(class.deduplication_window))
    }

    /// Whether a client that repeats the request after a rejection does no harm. A key that all
    /// endpoints share protects the repetition only while its deduplication window is open.
    pub(crate) fn is_safe_to_reject(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let class = self.class(pending);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey(KeyScope::All) => pending
                .possibly_executed
                .iter()
                .all(|sent| now.saturating_sub(sent.sent_at) < class.deduplication_window),
            Idempotency::IdempotencyKey(KeyScope::Zone | KeyScope::ReplicaSet)
            | Idempotency::NonIdempotent => pending.possibly_executed.is_empty(),
        }
    }
}

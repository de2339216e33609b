//! Retries: a budget that keeps them from amplifying an overload, and the rules of idempotency.
//!
//! The budget is a token bucket filled by the router's own requests: each request adds a fraction
//! of a token, and each retry that may cost an endpoint work takes one. Retries after outcomes that
//! certainly cost no work are free. A request that was possibly executed is sent again only if the
//! idempotency of its class allows it. Owns the budget; it must never select an endpoint.

use crate::action::{Action, RejectReason};
use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::event::AttemptOutcome;
use crate::pending_request::PendingRequest;
use crate::settings::{Idempotency, KeyScope, Operation};
use crate::units::Timestamp;

/// Tokens that each request adds: the fraction of requests that may be retried at a cost.
const RETRY_RATIO: f64 = 0.15;
/// Largest capacity of the budget, tokens.
const MAX_CAPACITY: f64 = 20.0;
/// Smallest capacity of the budget, tokens, so that a router with few requests can retry at all.
const MIN_CAPACITY: f64 = 1.0;

/// Token bucket of retries.
///
/// Invariant: `0 <= tokens <= MAX_CAPACITY`.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget {
            tokens: MIN_CAPACITY,
        }
    }

    /// Adds the tokens for a new request. The capacity is proportional to the router's recent
    /// requests: if each of many routers could spend a large budget at once, the retries would add
    /// up to an overload.
    pub(crate) fn deposit(&mut self, recent_requests: f64) {
        let capacity = (RETRY_RATIO * recent_requests).clamp(MIN_CAPACITY, MAX_CAPACITY);
        self.tokens = (self.tokens + RETRY_RATIO).min(capacity);
    }

    /// Returns whether the budget covers `cost` tokens.
    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    /// Takes `cost` tokens, which the budget must cover.
    pub(crate) fn withdraw(&mut self, cost: f64) {
        debug_assert!(self.covers(cost));
        self.tokens -= cost;
    }
}

/// Returns the tokens that a retry after this outcome takes: none if the endpoint certainly did no
/// work.
fn retry_cost(outcome: AttemptOutcome) -> f64 {
    match outcome {
        AttemptOutcome::Misrouted | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => 0.0,
        _ => 1.0,
    }
}

impl Balancer {
    /// Sends another attempt after the last one in flight has failed, or gives the request its
    /// final response.
    pub(crate) fn retry_or_finish(
        &mut self,
        now: Timestamp,
        mut pending: PendingRequest,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        if outcome == AttemptOutcome::InvalidRequest {
            return self.fail(pending, RejectReason::InvalidRequest, actions);
        }
        let is_write = self.class(&pending).operation == Operation::Write;
        if is_write && !outcome.is_never_executed() {
            pending.tried.clear();
        }
        if let Some(reason) = self.retry_rejection(now, &pending, outcome) {
            return self.reject_or_fail(now, pending, reason, actions);
        }
        self.retry_budget.withdraw(retry_cost(outcome));
        if outcome == AttemptOutcome::Overloaded {
            // A rejection uses capacity, too. If the next endpoint is in slow start, it therefore
            // admits the request with half the probability, or not at all.
            pending.admission_draw = 2.0 * pending.admission_draw.max(0.5);
        }
        let replica_set = pending.request.replica_set;
        if let Some(replica_set) = self.endpoints.replica_sets.get_mut(&replica_set) {
            replica_set.primary.record_failed_attempt(now);
        }
        self.dispatch(now, pending, actions);
    }

    /// Returns the reason why the request may not be sent again after this outcome, if there is
    /// one.
    fn retry_rejection(
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

    /// Returns whether the request may be sent to the endpoint. If it was possibly executed, its
    /// class must be idempotent, or the endpoint must share its record of idempotency keys with all
    /// earlier ones while the deduplication window is open.
    pub(crate) fn is_safe_to_send(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        let class = self.class(pending);
        let endpoint = &self.endpoints[index];
        pending.possibly_executed.iter().all(|sent| {
            let earlier = &self.endpoints[sent.endpoint];
            let shares_keys = match class.idempotency {
                Idempotency::Idempotent => return true,
                Idempotency::IdempotencyKey(KeyScope::All) => true,
                Idempotency::IdempotencyKey(KeyScope::Zone) => earlier.zone == endpoint.zone,
                Idempotency::IdempotencyKey(KeyScope::ReplicaSet) => {
                    earlier.replica_set == endpoint.replica_set
                }
                Idempotency::NonIdempotent => false,
            };
            shares_keys && now.saturating_sub(sent.sent_at) < class.deduplication_window
        })
    }

    /// Returns the latest time for writing a further attempt: the end of the deduplication window
    /// of the first possibly executed one. `None` means no such limit.
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

    /// Returns whether a client may safely repeat the request after a rejection. A key that all
    /// endpoints share makes the repetition safe only while its deduplication window is open.
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

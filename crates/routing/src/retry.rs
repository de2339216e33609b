//! Retries: a budget that keeps them from amplifying an overload, and the rules of idempotency.
//!
//! The budget is a token bucket that follows the router's own requests: each request adds a fraction of a token, each
//! retry that may cost an endpoint work takes one. Outcomes that prove that nothing was executed are free. A request
//! that was possibly executed is sent again only as its class's idempotency allows. Owns the budget; it must never
//! select an endpoint.

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

    /// A request has come in. The capacity follows the router's recent requests: a budget that each of many routers
    /// may spend at once would add up to an overload.
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

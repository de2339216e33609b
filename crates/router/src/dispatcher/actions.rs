//! Executes the balancer's actions.

use super::Dispatcher;
use super::deadlines::DeadlineEntry;
use crate::discovery::messages::EndpointListRequest;
use crate::messages::{AttemptResult, FinalResponse};
use crate::observability::counters::count;
use crate::upstream::PoolCommand;
use reelrill_routing::{
    Action, AttemptOutcome, EndpointId, Event, RejectReason, ReplicationStatus, RequestId,
    Timestamp,
};
use slog::debug;

impl Dispatcher {
    /// Executes one action of the balancer.
    pub(super) fn execute(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                limit,
                write_by,
            } => {
                let write_deadline = write_by.map(|at| self.platform_clock.to_router_time(at));
                self.start_attempt(now, request, endpoint, limit, write_deadline);
            }
            Action::Reject {
                request,
                reason,
                retry_after,
            } => {
                self.count_rejected(request, reason);
                self.complete(request, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request, reason } => {
                self.count_rejected(request, reason);
                self.complete(request, FinalResponse::Failed("not served"));
            }
            Action::Cancel { request, attempt } => {
                let cancelled = AttemptResult::from_outcome(AttemptOutcome::Cancelled);
                self.finish_attempt(request, attempt, cancelled);
            }
            Action::Withdraw { request, attempt } => self.withdraw_attempt(request, attempt),
            Action::SetTimer { after, token } => {
                let at = now.saturating_add(after);
                self.deadlines.add(at, DeadlineEntry::BalancerTimer(token));
            }
            Action::CheckHealth { endpoint } => self.start_health_check(endpoint),
            // If the channel is full, a request for the list that is still queued also covers this one.
            Action::Subscribe => drop(self.list_requests.try_send(EndpointListRequest::Subscribe)),
            Action::FetchList => drop(self.list_requests.try_send(EndpointListRequest::Fetch)),
        }
    }

    /// Starts a health check. If it cannot be started, it counts as failed.
    fn start_health_check(&mut self, endpoint: EndpointId) {
        let is_started = self.pools.get(&endpoint).is_some_and(|pool| {
            let command = PoolCommand::HealthCheck;
            pool.send(&self.shared, &self.executor, &endpoint, command)
                .is_ok()
        });
        if !is_started {
            self.events.push_back(Event::HealthCheckEnded {
                endpoint,
                outcome: AttemptOutcome::ConnectFailed,
                report: ReplicationStatus::default(),
            });
        }
    }

    /// Counts and logs the reason for which the balancer rejects or fails a request.
    fn count_rejected(&self, id: RequestId, reason: RejectReason) {
        let counters = &self.shared.counters;
        count(match reason {
            RejectReason::UnknownClass => &counters.rejected_unknown_class,
            RejectReason::UnknownReplicaSet => &counters.rejected_unknown_replica_set,
            RejectReason::DeadlineTooClose => &counters.rejected_deadline_too_close,
            RejectReason::AttemptLimitReached => &counters.rejected_attempt_limit_reached,
            RejectReason::NoEligibleEndpoint => &counters.rejected_no_eligible_endpoint,
            RejectReason::LoadShed => &counters.rejected_load_shed,
            RejectReason::NotRetryable => &counters.rejected_not_retryable,
            RejectReason::AttemptTimedOut => &counters.rejected_attempt_timed_out,
            RejectReason::RetryBudgetExhausted => &counters.rejected_retry_budget_exhausted,
            RejectReason::InvalidRequest => &counters.rejected_invalid_request,
        });
        if let Some(request) = self.requests.get(id) {
            debug!(self.shared.log, "request rejected or failed";
                   "request" => format_args!("{:016x}", request.client_request_id),
                   "class" => request.class, "sends" => request.attempts_made, "cause" => ?reason);
        }
    }
}

//! Starts attempts, and processes the one result of each.

use super::Dispatcher;
use super::deadlines::DeadlineEntry;
use super::request_table::{InFlightAttempt, PendingRequest};
use crate::messages::{Attempt, AttemptResult, FinalResponse};
use crate::observability::counters::{Counters, count};
use crate::upstream::PoolCommand;
use crate::write_permit::{AttemptControl, Execution};
use reelrill_routing::{
    AttemptEnded, AttemptOutcome, EndpointId, Event, Nanos, Operation, ReplicationStatus,
    RequestId, Timestamp,
};
use slog::{debug, error};
use std::cell::Cell;

impl Dispatcher {
    /// Sends a new attempt to the endpoint's pool. `time_limit` is the endpoint's time to respond in nanoseconds; from
    /// `write_deadline` on the request must not be written any more.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        time_limit: Option<Nanos>,
        write_deadline: Option<Timestamp>,
    ) {
        let max_attempts = self.shared.config.routing.settings.limits.max_attempts;
        let Some(request) = self.requests.get_mut(id) else {
            error!(self.shared.log, "balancer started an attempt for an unknown request"; "request" => id);
            return;
        };
        count(&self.shared.counters.attempts);
        let deadline = request.deadline;
        let is_obsolete =
            request.is_completed() || now >= deadline || request.attempts_made >= max_attempts;
        let attempt_deadline =
            time_limit.map_or(deadline, |limit| deadline.min(now.saturating_add(limit)));
        let attempt = add_attempt(
            request,
            id,
            &endpoint,
            now,
            attempt_deadline,
            write_deadline,
        );
        let number = attempt.number;
        let started = if is_obsolete {
            Err(AttemptOutcome::Abandoned)
        } else {
            self.send_to_pool(&endpoint, attempt)
        };
        if let Err(outcome) = started {
            return self.finish_attempt(id, number, AttemptResult::from_outcome(outcome));
        }
        if time_limit.is_some() {
            let entry = DeadlineEntry::AttemptTimeout(id, number);
            self.deadlines.add(attempt_deadline, entry);
        }
        if let Some(write_deadline) = write_deadline.filter(|at| *at < attempt_deadline) {
            let entry = DeadlineEntry::WriteDeadline(id, number);
            self.deadlines.add(write_deadline, entry);
        }
    }

    /// Ends an attempt that no endpoint can have executed, for example because it waits for a connection, so that another
    /// endpoint can get the request at once. Does nothing if the attempt was possibly executed or has ended.
    pub(super) fn withdraw_attempt(&mut self, id: RequestId, number: u32) {
        let attempts = self.requests.get(id).map_or(&[][..], |r| r.attempts());
        let attempt = attempts.iter().find(|attempt| attempt.number == number);
        if attempt.is_some_and(|attempt| attempt.control.end_if_never_executed()) {
            count(&self.shared.counters.attempts_unwritten);
            let not_sent = AttemptResult::from_outcome(AttemptOutcome::NotSent);
            self.finish_attempt(id, number, not_sent);
        }
    }

    fn send_to_pool(&self, endpoint: &EndpointId, attempt: Attempt) -> Result<(), AttemptOutcome> {
        let pool = self.pools.get(endpoint);
        let pool = pool.ok_or(AttemptOutcome::ConnectFailed)?;
        let command = PoolCommand::Attempt(Box::new(attempt));
        pool.send(&self.shared, &self.executor, endpoint, command)
            .map_err(|_| AttemptOutcome::NotSent)
    }

    /// Processes the result of an attempt. A second result of the same attempt is ignored.
    pub(super) fn finish_attempt(&mut self, id: RequestId, number: u32, result: AttemptResult) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(attempt) = request.take_attempt(number) else {
            return;
        };
        let (client_request_id, class) = (request.client_request_id, request.class);
        let is_cancelled = request.cancelled.is_raised();
        // From here on, nothing of the statement is written any more.
        let execution = attempt.control.end();
        let outcome = self.final_outcome(execution, result.outcome, is_cancelled);
        count(outcome_counter(&self.shared.counters, outcome));
        if !outcome.is_never_executed() {
            self.record_execution(client_request_id, class);
        }
        let latency = self.shared.clock.now().saturating_sub(attempt.sent_at);
        let replication =
            self.attempt_replication_status(&attempt, class, outcome, result.replication);
        let report = self.plausible_status(&attempt.endpoint, outcome, result.report);
        debug!(self.shared.log, "attempt ended"; "request" => format_args!("{client_request_id:016x}"),
               "class" => class, "number" => number, "member" => &*attempt.endpoint,
               "ending" => ?outcome, "ns" => latency, "position" => ?result.replication.applied_position);
        if let Some(query_result) = result.query_result {
            self.complete(id, FinalResponse::Served(query_result));
        }
        let is_request_complete = self
            .requests
            .get(id)
            .is_none_or(PendingRequest::is_completed);
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            endpoint: attempt.endpoint,
            attempt: number,
            outcome,
            replication,
            report,
            latency,
            is_request_complete,
        }));
        self.requests.remove_if_finished(id);
    }

    /// Returns the outcome that the balancer receives. If the router ends an attempt whose statement was not written far
    /// enough, the endpoint cannot have executed it and never will.
    fn final_outcome(
        &self,
        execution: Execution,
        outcome: AttemptOutcome,
        is_cancelled: bool,
    ) -> AttemptOutcome {
        let is_ended_by_router = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Abandoned
        );
        if execution == Execution::Possible || !is_ended_by_router {
            return outcome;
        }
        count(&self.shared.counters.attempts_unwritten);
        if is_cancelled {
            count(&self.shared.counters.attempts_unwritten_client_left);
        }
        if is_cancelled || outcome == AttemptOutcome::Abandoned {
            AttemptOutcome::Abandoned
        } else {
            AttemptOutcome::NotSent
        }
    }

    /// Returns the replication status that came with the response to an attempt, without an implausible position.
    fn attempt_replication_status(
        &mut self,
        attempt: &InFlightAttempt,
        class: u32,
        outcome: AttemptOutcome,
        reported: ReplicationStatus,
    ) -> ReplicationStatus {
        let mut status = self.plausible_status(&attempt.endpoint, outcome, reported);
        let classes = &self.shared.config.routing.settings.classes;
        let class = classes.get(class as usize);
        let is_write = class.is_some_and(|c| c.operation == Operation::Write);
        if is_write && outcome == AttemptOutcome::Served {
            // Later reads of the session must observe the write. Its position is no evidence of how far the endpoint
            // has replicated.
            status.applied_position = reported.applied_position;
        }
        status
    }
}

/// Adds a new attempt to a request, and returns it in the form that the pool receives.
fn add_attempt(
    request: &mut PendingRequest,
    id: RequestId,
    endpoint: &EndpointId,
    now: Timestamp,
    deadline: Timestamp,
    write_deadline: Option<Timestamp>,
) -> Attempt {
    let number = request.attempts_made;
    let (control, permit) = AttemptControl::new();
    request.add_attempt(InFlightAttempt {
        number,
        endpoint: endpoint.clone(),
        sent_at: now,
        control,
    });
    Attempt {
        request: id,
        number,
        statement: request.statement.clone(),
        deadline,
        write_deadline,
        request_cancelled: request.cancelled.clone(),
        permit,
    }
}

fn outcome_counter(counters: &Counters, outcome: AttemptOutcome) -> &Cell<u64> {
    match outcome {
        AttemptOutcome::Served => &counters.attempts_served,
        AttemptOutcome::Error => &counters.attempts_error,
        AttemptOutcome::Overloaded => &counters.attempts_overloaded,
        AttemptOutcome::TimedOut => &counters.attempts_timed_out,
        AttemptOutcome::ConnectFailed => &counters.attempts_connect_failed,
        AttemptOutcome::ConnectionReset => &counters.attempts_connection_reset,
        AttemptOutcome::Cancelled => &counters.attempts_cancelled,
        AttemptOutcome::Abandoned => &counters.attempts_abandoned,
        AttemptOutcome::Misrouted => &counters.attempts_misrouted,
        AttemptOutcome::MalformedResponse => &counters.attempts_malformed_response,
        AttemptOutcome::NotSent => &counters.attempts_not_sent,
        AttemptOutcome::InvalidRequest => &counters.attempts_invalid_request,
    }
}

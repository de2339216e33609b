//! The beginning and the one result of an attempt.

use super::Dispatcher;
use super::deadlines::DeadlineEntry;
use super::request_table::{InFlightAttempt, PendingRequest};
use crate::messages::{Attempt, AttemptProgress, AttemptResult, FinalResponse};
use crate::observability::counters::{Counters, count};
use crate::upstream::PoolCommand;
use reelrill_routing::{
    AttemptEnded, AttemptOutcome, EndpointId, Event, Nanos, Operation, ReplicationStatus,
    RequestId, Timestamp,
};
use slog::{debug, error};
use std::cell::Cell;

impl Dispatcher {
    /// Hands a new attempt to the endpoint's pool. `time_limit` is what the endpoint may take, and after `write_by`
    /// nothing may be written any more.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        time_limit: Option<Nanos>,
        write_by: Option<Timestamp>,
    ) {
        let max_attempts = self.shared.config.site.settings.limits.max_attempts;
        let Some(request) = self.requests.get_mut(id) else {
            error!(self.shared.log, "send for no request"; "request" => id);
            return;
        };
        count(&self.shared.counters.attempts);
        let deadline = request.deadline;
        let is_pointless =
            request.is_answered() || now >= deadline || request.attempts_made >= max_attempts;
        let until = time_limit.map_or(deadline, |limit| deadline.min(now.saturating_add(limit)));
        let attempt = add_attempt(request, id, &endpoint, now, until, write_by);
        let number = attempt.number;
        let started = if is_pointless {
            Err(AttemptOutcome::Abandoned)
        } else {
            self.hand_to_pool(&endpoint, attempt)
        };
        match started {
            Err(outcome) => self.finish_attempt(id, number, AttemptResult::from_outcome(outcome)),
            Ok(()) if time_limit.is_some() => {
                let entry = DeadlineEntry::AttemptTimeout(id, number);
                self.deadlines.add(until, entry);
            }
            Ok(()) => {}
        }
    }

    fn hand_to_pool(&self, endpoint: &EndpointId, attempt: Attempt) -> Result<(), AttemptOutcome> {
        let pool = self.pools.get(endpoint);
        let pool = pool.ok_or(AttemptOutcome::ConnectFailed)?;
        let command = PoolCommand::Attempt(Box::new(attempt));
        pool.send(&self.shared, &self.executor, endpoint, command)
            .map_err(|_| AttemptOutcome::NotSent)
    }

    /// Takes the one result of an attempt. A second one finds no attempt and changes nothing.
    pub(super) fn finish_attempt(&mut self, id: RequestId, number: u32, result: AttemptResult) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(attempt) = request.take_attempt(number) else {
            return;
        };
        let (client_id, class) = (request.client_id, request.class);
        let is_client_left = request.client_left.is_raised();
        let outcome = self.outcome_of(&attempt, result.outcome, is_client_left);
        count(outcome_counter(&self.shared.counters, outcome));
        let latency = self.shared.clock.now().saturating_sub(attempt.sent_at);
        let replication = self.attempt_status(&attempt, class, outcome, result.replication);
        let report = self.plausible_status(&attempt.endpoint, outcome, result.report);
        debug!(self.shared.log, "attempt ended"; "request" => format_args!("{client_id:016x}"),
               "class" => class, "number" => number, "member" => &*attempt.endpoint,
               "ending" => ?outcome, "ns" => latency, "position" => ?result.replication.applied_position);
        if let Some(answer) = result.query_result {
            self.answer(id, FinalResponse::Served(answer));
        }
        let closed = self
            .requests
            .get(id)
            .is_none_or(PendingRequest::is_answered);
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            endpoint: attempt.endpoint,
            attempt: number,
            outcome,
            replication,
            report,
            latency,
            is_request_complete: closed,
        }));
        self.requests.remove_if_finished(id);
    }

    /// The outcome, where the router's own end of an attempt counts by whether it can have run: one that still waited
    /// for a connection, or was on its way into one that is dropped now, has not.
    fn outcome_of(
        &self,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
        is_client_left: bool,
    ) -> AttemptOutcome {
        let is_ended_by_router = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Abandoned
        );
        if attempt.progress.is_written() || !is_ended_by_router {
            return outcome;
        }
        count(&self.shared.counters.attempts_unwritten);
        if is_client_left {
            count(&self.shared.counters.attempts_unwritten_client_left);
        }
        if is_client_left || outcome == AttemptOutcome::Abandoned {
            AttemptOutcome::Abandoned
        } else {
            AttemptOutcome::NotSent
        }
    }

    /// What can be believed of the replication status that came with an attempt's answer.
    fn attempt_status(
        &mut self,
        attempt: &InFlightAttempt,
        class: u32,
        outcome: AttemptOutcome,
        reported: ReplicationStatus,
    ) -> ReplicationStatus {
        let mut status = self.plausible_status(&attempt.endpoint, outcome, reported);
        let classes = &self.shared.config.site.settings.classes;
        let class = classes.get(class as usize);
        let is_write = class.is_some_and(|c| c.operation == Operation::Write);
        if is_write && outcome == AttemptOutcome::Served {
            // Its session's reads must see it. It is no evidence of how far the endpoint is.
            status.applied_position = reported.applied_position;
        }
        status
    }
}

/// Enters a new attempt for a request, and returns what its pool gets.
fn add_attempt(
    request: &mut PendingRequest,
    id: RequestId,
    endpoint: &EndpointId,
    now: Timestamp,
    deadline: Timestamp,
    write_deadline: Option<Timestamp>,
) -> Attempt {
    let number = request.attempts_made;
    let (abandon_on_drop, abandoned) = async_channel::bounded(1);
    let progress = AttemptProgress::default();
    request.add_attempt(InFlightAttempt {
        number,
        endpoint: endpoint.clone(),
        sent_at: now,
        progress: progress.clone(),
        _abandon_on_drop: abandon_on_drop,
    });
    Attempt {
        request: id,
        number,
        statement: request.ask.clone(),
        deadline,
        write_deadline,
        abandoned,
        request_cancelled: request.client_left.clone(),
        progress,
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

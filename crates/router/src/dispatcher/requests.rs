//! Admits and cancels requests, enforces their deadlines and sends their final responses.

use super::Dispatcher;
use super::deadlines::DeadlineEntry;
use super::request_table::PendingRequest;
use crate::messages::{AttemptResult, ClientRequest, FinalResponse, ResponseTarget};
use crate::observability::counters::count;
use reelrill_routing::{AttemptOutcome, Event, Nanos, Request, RequestId, Timestamp};
use slog::{debug, warn};

/// The time in nanoseconds by which the final response is sent before the client's timeout, so that it still arrives.
const RESPONSE_TRAVEL_TIME: Nanos = 8_000_000;

impl Dispatcher {
    /// Admits a request, or responds at once if it must not be admitted.
    pub(super) fn on_request(&mut self, request: ClientRequest, target: ResponseTarget) {
        count(&self.shared.counters.requests);
        if request.cancelled.is_raised() {
            // The request was cancelled while it waited in the mailbox: no response is due.
            count(&self.shared.counters.client_left);
            return count(&self.shared.counters.client_left_before_admission);
        }
        if self.shared.should_reject_new_requests() {
            // The request was received on a connection that is about to be closed, and the process may be killed before
            // an endpoint responds to it.
            count(&self.shared.counters.rejected);
            return respond(target, FinalResponse::Rejected { retry_after: None });
        }
        if self.is_client_request_id_in_use(request.client_request_id) {
            // Endpoints would treat a second request with the same id as a repetition of the first, or execute it again.
            count(&self.shared.counters.invalid_statements);
            return respond(target, FinalResponse::Failed("this id is already in use"));
        }
        self.admit(request, target);
    }

    /// Returns whether a request with this id is pending, or may have been executed and must not be executed again.
    fn is_client_request_id_in_use(&mut self, client_request_id: u64) -> bool {
        let now = self.shared.clock.now();
        self.requests.is_client_request_id_in_use(client_request_id)
            || self.executed_requests.contains(now, client_request_id)
    }

    /// Records that a request of a class may have been executed.
    pub(super) fn record_execution(&mut self, client_request_id: u64, class: u32) {
        let classes = &self.shared.config.routing.settings.classes;
        if let Some(class) = classes.get(class as usize) {
            let now = self.shared.clock.now();
            self.executed_requests.insert(now, client_request_id, class);
        }
    }

    fn admit(&mut self, request: ClientRequest, target: ResponseTarget) {
        let now = self.shared.clock.now();
        debug!(self.shared.log, "request admitted"; "request" => format_args!("{:016x}", request.client_request_id),
               "class" => request.class, "group" => request.replica_set,
               "session" => request.session.as_deref(), "after" => request.required_position);
        let deadline = self.response_deadline(&request);
        let pending = PendingRequest::new(
            request.client_request_id,
            deadline,
            request.statement,
            request.cancelled,
            request.class,
            target,
        );
        self.requests.insert(request.id, pending);
        self.deadlines
            .add(deadline, DeadlineEntry::RequestDeadline(request.id));
        let platform_now = self.platform_clock.to_platform_time(now);
        self.events.push_back(Event::Request(Request {
            id: request.id,
            class: request.class,
            replica_set: request.replica_set,
            session: request.session,
            since_write: request
                .required_position
                .map(|at| platform_now.saturating_sub(at)),
            tenant: None,
            expected_execution_time: None,
            is_retry: request.is_retry,
            time_left: deadline.saturating_sub(now),
        }));
    }

    /// Returns the time by which the final response must be sent, so that it arrives before the client's timeout and
    /// before the process may be killed.
    fn response_deadline(&self, request: &ClientRequest) -> Timestamp {
        let timeout = request.timeout.saturating_sub(RESPONSE_TRAVEL_TIME);
        let deadline = request.received_at.saturating_add(timeout);
        match self.shared.response_deadline() {
            Some(last) => deadline.min(last),
            None => deadline,
        }
    }

    /// Completes a request whose client disconnected or cancelled it. No response is due.
    pub(super) fn on_request_cancelled(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get(request)
            && pending.may_have_executed()
        {
            self.record_execution(pending.client_request_id, pending.class);
        }
        if self.requests.complete(request).is_none() {
            return;
        }
        count(&self.shared.counters.client_left);
        self.events.push_back(Event::ClientDisconnected { request });
        self.process_events();
        self.abandon_unwritten_attempts(request);
    }

    /// Abandons the attempts that no endpoint can have executed, even if the settings do not allow attempts to be
    /// cancelled.
    fn abandon_unwritten_attempts(&mut self, request: RequestId) {
        let attempts = self.requests.get(request).map_or(&[][..], |r| r.attempts());
        let unwritten: Vec<u32> = attempts
            .iter()
            .filter(|attempt| attempt.control.end_if_never_executed())
            .map(|attempt| attempt.number)
            .collect();
        for number in unwritten {
            let abandoned = AttemptResult::from_outcome(AttemptOutcome::Abandoned);
            self.finish_attempt(request, number, abandoned);
        }
    }

    /// Ends all attempts in progress as timed out. If the balancer then does not decide on a final response, the
    /// dispatcher sends one.
    pub(super) fn on_request_deadline(&mut self, request: RequestId) {
        // Attempts are also ended here after the final response: if the settings do not allow attempts to be cancelled,
        // an attempt without a response would otherwise never end.
        let attempts = self.requests.get(request).map_or(&[][..], |r| r.attempts());
        let numbers: Vec<u32> = attempts.iter().map(|attempt| attempt.number).collect();
        for number in numbers {
            let timed_out = AttemptResult::from_outcome(AttemptOutcome::TimedOut);
            self.finish_attempt(request, number, timed_out);
        }
        self.process_events();
        self.respond_to_overdue_request(request);
    }

    /// Responds to a request for which the balancer has not decided on a response by its deadline.
    fn respond_to_overdue_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|r| !r.is_completed()) else {
            return;
        };
        count(&self.shared.counters.deadline_exceeded);
        warn!(self.shared.log, "request deadline exceeded without a decision of the balancer";
              "request" => format_args!("{:016x}", request.client_request_id));
        let response = if request.attempts_made > 0 {
            FinalResponse::Failed("no answer in time")
        } else {
            FinalResponse::Rejected { retry_after: None }
        };
        self.complete(id, response);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
    }

    /// Sends the final response and counts it, if one is still due.
    pub(super) fn complete(&mut self, request: RequestId, response: FinalResponse) {
        let Some(target) = self.requests.complete(request) else {
            return;
        };
        let counters = &self.shared.counters;
        count(match &response {
            FinalResponse::Served(_) => &counters.served,
            FinalResponse::Rejected { .. } => &counters.rejected,
            FinalResponse::Failed(_) | FinalResponse::Cancelled => &counters.failed,
        });
        respond(target, response);
    }
}

/// Sends a final response to the client's task. If its channel is closed, the client has just disconnected, which the
/// client's task reports in a message of its own.
fn respond(target: ResponseTarget, response: FinalResponse) {
    let _ = target.sender.try_send((target.number, response));
}

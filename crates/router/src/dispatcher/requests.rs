//! A request's arrival, its client's departure, its deadline and its final answer.

use super::Dispatcher;
use super::deadlines::DeadlineEntry;
use super::request_table::PendingRequest;
use crate::messages::{AttemptResult, ClientRequest, FinalResponse, ResponseTarget};
use crate::observability::counters::count;
use reelrill_routing::{AttemptOutcome, Event, Nanos, Request, RequestId, Timestamp};
use slog::{debug, warn};

/// The final answer leaves this long before the client stops waiting: it has to travel.
const ANSWER_TRAVEL_TIME: Nanos = 8_000_000;

impl Dispatcher {
    /// Takes a request in, or answers it at once if it may not be taken in.
    pub(super) fn on_request(&mut self, incoming: ClientRequest, reply: ResponseTarget) {
        count(&self.shared.counters.requests);
        if incoming.cancelled.is_raised() {
            // Its client has gone while it waited in the mailbox: nothing is owed, and nothing begins.
            count(&self.shared.counters.client_left);
            return count(&self.shared.counters.client_left_before_admission);
        }
        if self.shared.should_reject_new_requests() {
            // Its client kept a connection open that is about to close: whatever is forwarded now may find the
            // process killed.
            count(&self.shared.counters.rejected);
            return respond(reply, FinalResponse::Rejected { retry_after: None });
        }
        if self
            .requests
            .is_client_id_in_use(incoming.client_request_id)
        {
            // An id names one request: endpoints would take a second one under it for its copy.
            count(&self.shared.counters.invalid_statements);
            return respond(reply, FinalResponse::Failed("this id is already in use"));
        }
        self.admit(incoming, reply);
    }

    fn admit(&mut self, incoming: ClientRequest, reply: ResponseTarget) {
        let now = self.shared.clock.now();
        debug!(self.shared.log, "taken"; "request" => format_args!("{:016x}", incoming.client_request_id),
               "class" => incoming.class, "group" => incoming.replica_set,
               "session" => incoming.session.as_deref(), "after" => incoming.required_position);
        let deadline = self.answer_deadline(&incoming);
        let request = PendingRequest::new(
            incoming.client_request_id,
            deadline,
            incoming.statement,
            incoming.cancelled,
            incoming.class,
            reply,
        );
        self.requests.insert(incoming.id, request);
        self.deadlines
            .add(deadline, DeadlineEntry::RequestDeadline(incoming.id));
        let platform_now = self.platform_clock.to_platform_time(now);
        self.events.push_back(Event::Request(Request {
            id: incoming.id,
            class: incoming.class,
            replica_set: incoming.replica_set,
            session: incoming.session,
            since_write: incoming
                .required_position
                .map(|at| platform_now.saturating_sub(at)),
            tenant: None,
            expected_execution_time: None,
            is_retry: incoming.is_retry,
            time_left: deadline.saturating_sub(now),
        }));
    }

    /// When the final answer has to leave: before the client stops waiting, and before the process may be killed.
    fn answer_deadline(&self, incoming: &ClientRequest) -> Timestamp {
        let wait = incoming.timeout.saturating_sub(ANSWER_TRAVEL_TIME);
        let deadline = incoming.received_at.saturating_add(wait);
        match self.shared.response_deadline() {
            Some(last) => deadline.min(last),
            None => deadline,
        }
    }

    /// The client has gone or called the request off: no answer is owed any more.
    pub(super) fn on_client_left(&mut self, request: RequestId) {
        if self.requests.complete(request).is_none() {
            return;
        }
        count(&self.shared.counters.client_left);
        self.events.push_back(Event::ClientDisconnected { request });
        self.settle();
        self.abandon_unwritten_attempts(request);
    }

    /// Attempts that were never written are abandoned whatever the settings say of cancelling: the endpoint knows
    /// nothing of them.
    fn abandon_unwritten_attempts(&mut self, request: RequestId) {
        let attempts = self.requests.get(request).map_or(&[][..], |r| r.attempts());
        let unwritten: Vec<u32> = attempts
            .iter()
            .filter(|attempt| !attempt.progress.is_written())
            .map(|attempt| attempt.number)
            .collect();
        for number in unwritten {
            let abandoned = AttemptResult::from_outcome(AttemptOutcome::Abandoned);
            self.finish_attempt(request, number, abandoned);
        }
    }

    /// All attempts that are still out have timed out. The balancer then gives the final answer, or else the
    /// dispatcher does.
    pub(super) fn on_request_deadline(&mut self, request: RequestId) {
        // Also after the final answer: where attempts may not be cancelled, a silent one would stay for ever.
        let attempts = self.requests.get(request).map_or(&[][..], |r| r.attempts());
        let numbers: Vec<u32> = attempts.iter().map(|attempt| attempt.number).collect();
        for number in numbers {
            let timed_out = AttemptResult::from_outcome(AttemptOutcome::TimedOut);
            self.finish_attempt(request, number, timed_out);
        }
        self.settle();
        self.answer_overdue(request);
    }

    /// Answers a request that the balancer has left without an answer beyond its deadline.
    fn answer_overdue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id).filter(|r| !r.is_answered()) else {
            return;
        };
        count(&self.shared.counters.deadline_exceeded);
        warn!(self.shared.log, "overdue"; "request" => format_args!("{:016x}", request.client_id));
        let response = if request.attempts_made > 0 {
            FinalResponse::Failed("no answer in time")
        } else {
            FinalResponse::Rejected { retry_after: None }
        };
        self.answer(id, response);
        self.events
            .push_back(Event::ClientDisconnected { request: id });
    }

    /// Gives the final answer, if it is still owed.
    pub(super) fn answer(&mut self, request: RequestId, response: FinalResponse) {
        let Some(reply) = self.requests.complete(request) else {
            return;
        };
        let counters = &self.shared.counters;
        count(match &response {
            FinalResponse::Served(_) => &counters.served,
            FinalResponse::Rejected { .. } => &counters.rejected,
            FinalResponse::Failed(_) | FinalResponse::Cancelled => &counters.failed,
        });
        respond(reply, response);
    }
}

/// Hands a final response to the client's task. A client that has just gone no longer listens; it says so by itself.
fn respond(target: ResponseTarget, response: FinalResponse) {
    let _ = target.sender.try_send((target.part, response));
}

//! The requests that the dispatcher has admitted and not finished.
//!
//! Owns the state of each request and the set of client request ids in use. [`RequestTable::complete`] returns the
//! [`ResponseTarget`] of a request only once, so that a request cannot get two final responses. The table makes no
//! decisions and sends nothing.

use super::deadlines::DeadlineEntry;
use crate::messages::{CancellationFlag, ResponseTarget};
use crate::write_permit::AttemptControl;
use reelrill_pg_session::endpoint_query::EndpointQuery;
use reelrill_routing::{EndpointId, RequestId, Timestamp};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// An attempt without a result. Dropping it ends the attempt.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// The number of the attempt within its request, from 0.
    pub number: u32,
    /// The endpoint that the balancer chose.
    pub endpoint: EndpointId,
    /// The time at which the balancer decided on the attempt.
    pub sent_at: Timestamp,
    /// Ends the attempt, and returns whether the endpoint may have executed it.
    pub control: AttemptControl,
}

/// The state of a request: whether its final response is due, and its attempts in progress.
#[derive(Debug)]
enum RequestState {
    /// The response is due, and no attempt is in progress.
    Queued { response_target: ResponseTarget },
    /// The response is due, and at least one attempt is in progress.
    InFlight {
        response_target: ResponseTarget,
        attempts: Vec<InFlightAttempt>,
    },
    /// The response was sent, or the client disconnected or cancelled the request. Attempts may still be in progress.
    Completed { attempts: Vec<InFlightAttempt> },
}

/// A request that the dispatcher has admitted.
#[derive(Debug)]
pub struct PendingRequest {
    /// The id that the client assigned.
    pub client_request_id: u64,
    /// The time by which the final response must be sent.
    pub deadline: Timestamp,
    /// The statement to execute.
    pub statement: Rc<EndpointQuery>,
    /// Raised when the client disconnects or cancels the request.
    pub cancelled: CancellationFlag,
    /// The index of the request class in the settings.
    pub class: u32,
    /// The number of attempts started.
    pub attempts_made: u32,
    state: RequestState,
}

impl PendingRequest {
    /// Creates a request without attempts.
    pub fn new(
        client_request_id: u64,
        deadline: Timestamp,
        statement: Rc<EndpointQuery>,
        cancelled: CancellationFlag,
        class: u32,
        response_target: ResponseTarget,
    ) -> PendingRequest {
        PendingRequest {
            client_request_id,
            deadline,
            statement,
            cancelled,
            class,
            attempts_made: 0,
            state: RequestState::Queued { response_target },
        }
    }

    /// Returns whether no response is due any more: it was sent, or the client disconnected or cancelled the request.
    pub fn is_completed(&self) -> bool {
        matches!(self.state, RequestState::Completed { .. })
    }

    /// Returns the attempts in progress.
    pub fn attempts(&self) -> &[InFlightAttempt] {
        match &self.state {
            RequestState::Queued { .. } => &[],
            RequestState::InFlight { attempts, .. } => attempts,
            RequestState::Completed { attempts } => attempts,
        }
    }

    /// Returns whether an endpoint may have executed an attempt that is in progress.
    pub fn may_have_executed(&self) -> bool {
        let mut attempts = self.attempts().iter();
        attempts.any(|attempt| attempt.control.may_have_executed())
    }

    /// Adds an attempt that has just been started.
    pub fn add_attempt(&mut self, attempt: InFlightAttempt) {
        self.attempts_made += 1;
        self.change_state(|state| match state {
            RequestState::Queued { response_target } => RequestState::InFlight {
                response_target,
                attempts: vec![attempt],
            },
            RequestState::InFlight {
                response_target,
                mut attempts,
            } => {
                attempts.push(attempt);
                RequestState::InFlight {
                    response_target,
                    attempts,
                }
            }
            RequestState::Completed { mut attempts } => {
                attempts.push(attempt);
                RequestState::Completed { attempts }
            }
        });
    }

    /// Removes and returns the attempt with this number, if it is in progress.
    pub fn take_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        let attempts = match &mut self.state {
            RequestState::Queued { .. } => return None,
            RequestState::InFlight { attempts, .. } => attempts,
            RequestState::Completed { attempts } => attempts,
        };
        let position = attempts.iter().position(|a| a.number == number)?;
        let attempt = attempts.swap_remove(position);
        self.change_state(|state| match state {
            RequestState::InFlight {
                response_target,
                attempts,
            } if attempts.is_empty() => RequestState::Queued { response_target },
            unchanged => unchanged,
        });
        Some(attempt)
    }

    /// Completes the request. Returns the destination of the final response, if one was still due.
    fn take_response_target(&mut self) -> Option<ResponseTarget> {
        let mut target = None;
        self.change_state(|state| match state {
            RequestState::Queued { response_target } => {
                target = Some(response_target);
                RequestState::Completed {
                    attempts: Vec::new(),
                }
            }
            RequestState::InFlight {
                response_target,
                attempts,
            } => {
                target = Some(response_target);
                RequestState::Completed { attempts }
            }
            RequestState::Completed { .. } => state,
        });
        target
    }

    fn change_state(&mut self, change: impl FnOnce(RequestState) -> RequestState) {
        let placeholder = RequestState::Completed {
            attempts: Vec::new(),
        };
        let state = std::mem::replace(&mut self.state, placeholder);
        self.state = change(state);
    }
}

/// Holds all pending requests by the id that the router assigned.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    /// The ids that clients assigned to requests whose response is due.
    client_request_ids: HashSet<u64>,
}

impl RequestTable {
    /// Returns whether a request whose response is due has this client request id.
    pub fn is_client_request_id_in_use(&self, client_request_id: u64) -> bool {
        self.client_request_ids.contains(&client_request_id)
    }

    /// Adds a request whose client request id is not in use.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.client_request_ids.insert(request.client_request_id);
        self.requests.insert(id, request);
    }

    /// Returns whether a timer can still have an effect.
    pub fn needs(&self, entry: &DeadlineEntry) -> bool {
        match entry {
            DeadlineEntry::BalancerTimer(_) => true,
            DeadlineEntry::RequestDeadline(id) => self.requests.contains_key(id),
            DeadlineEntry::AttemptTimeout(id, number)
            | DeadlineEntry::WriteDeadline(id, number) => self
                .get(*id)
                .is_some_and(|request| request.attempts().iter().any(|a| a.number == *number)),
        }
    }

    /// Returns the request with this id.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns the request with this id for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns all pending requests in arbitrary order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut PendingRequest)> {
        self.requests.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Completes a request, and removes it if no attempt is in progress. Returns the destination of the final response,
    /// if one was still due.
    pub fn complete(&mut self, id: RequestId) -> Option<ResponseTarget> {
        let request = self.requests.get_mut(&id)?;
        let response_target = request.take_response_target()?;
        self.client_request_ids.remove(&request.client_request_id);
        self.remove_if_finished(id);
        Some(response_target)
    }

    /// Removes the request if it is completed and no attempt is in progress.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|r| r.is_completed() && r.attempts().is_empty()) {
            self.requests.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;

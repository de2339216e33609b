//! The requests that the dispatcher has taken in and not yet finished with.
//!
//! Owns the state of each request and the set of names under which clients' requests are open. Each request gives
//! out its [`ResponseTarget`] once, so a second final answer is impossible. It decides nothing and sends nothing.

use crate::messages::{AttemptProgress, CancellationFlag, ResponseTarget};
use async_channel::Sender;
use reelrill_pg_session::endpoint_query::EndpointQuery;
use reelrill_routing::{EndpointId, RequestId, Timestamp};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// An attempt that has no result yet. Dropping it tells the endpoint's pool that nobody waits for it any more.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// Counts the attempts of a request from 0 on.
    pub number: u32,
    pub endpoint: EndpointId,
    /// When the balancer sent it.
    pub sent_at: Timestamp,
    pub progress: AttemptProgress,
    /// Its other end is [`crate::messages::Attempt::abandoned`].
    pub _abandon_on_drop: Sender<()>,
}

/// What is owed for a request, and what is out for it.
#[derive(Debug)]
enum RequestState {
    /// Its answer is owed, and no attempt is out.
    Queued { reply: ResponseTarget },
    /// Its answer is owed, and at least one attempt is out.
    InFlight {
        reply: ResponseTarget,
        attempts: Vec<InFlightAttempt>,
    },
    /// It has its answer, or its client has left; these attempts have no result yet.
    Answered { outstanding: Vec<InFlightAttempt> },
}

/// A request in the table.
#[derive(Debug)]
pub struct PendingRequest {
    /// The client's name for the request.
    pub client_id: u64,
    /// When its final answer leaves at the latest.
    pub deadline: Timestamp,
    pub ask: Rc<EndpointQuery>,
    /// Raised once its client has gone.
    pub client_left: CancellationFlag,
    /// The index of its class in the settings.
    pub class: u32,
    /// How many attempts have been made.
    pub attempts_made: u32,
    state: RequestState,
}

impl PendingRequest {
    /// A request that waits for its first attempt.
    pub fn new(
        client_id: u64,
        deadline: Timestamp,
        ask: Rc<EndpointQuery>,
        client_left: CancellationFlag,
        class: u32,
        reply: ResponseTarget,
    ) -> PendingRequest {
        PendingRequest {
            client_id,
            deadline,
            ask,
            client_left,
            class,
            attempts_made: 0,
            state: RequestState::Queued { reply },
        }
    }

    /// Its answer has been given, or its client has left.
    pub fn is_answered(&self) -> bool {
        matches!(self.state, RequestState::Answered { .. })
    }

    /// The attempts that have no result yet.
    pub fn attempts(&self) -> &[InFlightAttempt] {
        match &self.state {
            RequestState::Queued { .. } => &[],
            RequestState::InFlight { attempts, .. } => attempts,
            RequestState::Answered { outstanding } => outstanding,
        }
    }

    /// Adds an attempt that is on its way to an endpoint.
    pub fn add_attempt(&mut self, attempt: InFlightAttempt) {
        self.attempts_made += 1;
        self.change_state(|state| match state {
            RequestState::Queued { reply } => RequestState::InFlight {
                reply,
                attempts: vec![attempt],
            },
            RequestState::InFlight {
                reply,
                mut attempts,
            } => {
                attempts.push(attempt);
                RequestState::InFlight { reply, attempts }
            }
            RequestState::Answered { mut outstanding } => {
                outstanding.push(attempt);
                RequestState::Answered { outstanding }
            }
        });
    }

    /// Takes out the attempt with this number, if it is out.
    pub fn take_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        let attempts = match &mut self.state {
            RequestState::Queued { .. } => return None,
            RequestState::InFlight { attempts, .. } => attempts,
            RequestState::Answered { outstanding } => outstanding,
        };
        let position = attempts.iter().position(|a| a.number == number)?;
        let attempt = attempts.swap_remove(position);
        self.change_state(|state| match state {
            RequestState::InFlight { reply, attempts } if attempts.is_empty() => {
                RequestState::Queued { reply }
            }
            unchanged => unchanged,
        });
        Some(attempt)
    }

    /// Takes out where the final answer goes, if it is still owed.
    fn take_reply(&mut self) -> Option<ResponseTarget> {
        let mut target = None;
        self.change_state(|state| match state {
            RequestState::Queued { reply } => {
                target = Some(reply);
                RequestState::Answered {
                    outstanding: Vec::new(),
                }
            }
            RequestState::InFlight { reply, attempts } => {
                target = Some(reply);
                RequestState::Answered {
                    outstanding: attempts,
                }
            }
            RequestState::Answered { .. } => state,
        });
        target
    }

    fn change_state(&mut self, change: impl FnOnce(RequestState) -> RequestState) {
        let placeholder = RequestState::Answered {
            outstanding: Vec::new(),
        };
        let state = std::mem::replace(&mut self.state, placeholder);
        self.state = change(state);
    }
}

/// All pending requests, by the router's own name for each.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    /// The clients' names of the requests that are owed an answer.
    client_ids: HashSet<u64>,
}

impl RequestTable {
    /// A request that is owed an answer has this name among clients.
    pub fn is_client_id_in_use(&self, client_id: u64) -> bool {
        self.client_ids.contains(&client_id)
    }

    /// Takes in a request whose client's name for it is free.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.client_ids.insert(request.client_id);
        self.requests.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// All pending requests, in no order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut PendingRequest)> {
        self.requests.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Nothing is owed for the request from now on. Returns where its answer goes, if it was still owed. A request for
    /// which no attempt is out leaves the table.
    pub fn complete(&mut self, id: RequestId) -> Option<ResponseTarget> {
        let request = self.requests.get_mut(&id)?;
        let reply = request.take_reply()?;
        self.client_ids.remove(&request.client_id);
        self.remove_if_finished(id);
        Some(reply)
    }

    /// Removes the request if it is answered and no attempt is out for it.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|r| r.is_answered() && r.attempts().is_empty()) {
            self.requests.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;

//! The queue of one client's simple queries that have been received and whose responses have not been sent.
//!
//! Responsible for which queries may start and for the order of responses. Owns the queries, and their responses until
//! they are sent. Must never release a response before an earlier one.
//!
//! A client may send further queries before it receives the first response, and the timeout of each query counts from
//! when the client sent it. So queries start as they are received, and only their responses are kept in order. Two
//! requests of one session run one after the other if either of them writes: a session's read that follows its own
//! write sees that write.

use crate::endpoint_query::EndpointQuery;
use crate::request::ValidatedRequest;
use reelrill_routing::Timestamp;
use std::collections::VecDeque;
use std::rc::Rc;

/// Limits of one client's queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Queries in the queue: those without a response, and those whose response has not been sent.
    pub queries: usize,
    /// Bytes of the messages of these queries, except that a single query may be larger.
    pub bytes: usize,
    /// Requests that run at the same time.
    pub running: usize,
}

impl Default for QueueLimits {
    fn default() -> QueueLimits {
        QueueLimits {
            queries: 128,
            bytes: 32 * 1024,
            running: 32,
        }
    }
}

/// The progress of a request.
enum State<R> {
    Waiting {
        query: Rc<EndpointQuery>,
        received_at: Timestamp,
    },
    Running,
    Done(R),
}

/// An entry of the queue.
enum Item<R, L> {
    Request {
        request: ValidatedRequest,
        state: State<R>,
    },
    /// A response that needs no endpoint.
    LocalResponse(L),
}

/// A request that the caller starts now.
#[derive(Debug)]
pub struct StartedRequest {
    /// The request's number, for [`SimpleQueryQueue::finish`].
    pub number: u64,
    /// The request as passed to the dispatcher.
    pub request: ValidatedRequest,
    /// The query that endpoints receive.
    pub query: Rc<EndpointQuery>,
    /// When the request was received.
    pub received_at: Timestamp,
}

/// The next response for the client.
#[derive(Debug, PartialEq, Eq)]
pub enum Output<R, L> {
    /// The final response to a request.
    Response(R),
    /// A response that was queued with [`SimpleQueryQueue::push_local_response`].
    LocalResponse(L),
}

/// A client's simple queries, in the order received. `R` is the type of final responses, `L` that of responses that
/// need no endpoint.
pub struct SimpleQueryQueue<R, L> {
    limits: QueueLimits,
    items: VecDeque<(usize, Item<R, L>)>,
    /// The number of the first item.
    first_number: u64,
    bytes: usize,
    running: usize,
}

impl<R, L> SimpleQueryQueue<R, L> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> SimpleQueryQueue<R, L> {
        SimpleQueryQueue {
            limits,
            items: VecDeque::new(),
            first_number: 0,
            bytes: 0,
            running: 0,
        }
    }

    /// Returns whether the queue holds neither a query nor a response.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether a limit is reached, so that no further query should be read now.
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.limits.queries || self.bytes >= self.limits.bytes
    }

    /// Appends a request that was received at `received_at` in a message of `bytes` bytes.
    pub fn push_request(
        &mut self,
        request: ValidatedRequest,
        query: Rc<EndpointQuery>,
        received_at: Timestamp,
        bytes: usize,
    ) {
        self.bytes += bytes;
        let state = State::Waiting { query, received_at };
        self.items
            .push_back((bytes, Item::Request { request, state }));
    }

    /// Appends the response to a query that needs no endpoint.
    pub fn push_local_response(&mut self, response: L) {
        self.items.push_back((0, Item::LocalResponse(response)));
    }

    /// Returns the next request that may start, and marks it as running. Each request is returned once.
    pub fn start_next(&mut self) -> Option<StartedRequest> {
        if self.running >= self.limits.running {
            return None;
        }
        let position = (0..self.items.len()).find(|position| self.can_start(*position))?;
        let Item::Request { request, state } = &mut self.items[position].1 else {
            return None;
        };
        let State::Waiting { query, received_at } = std::mem::replace(state, State::Running) else {
            return None;
        };
        self.running += 1;
        Some(StartedRequest {
            number: self.first_number + position as u64,
            request: request.clone(),
            query,
            received_at,
        })
    }

    /// Returns whether a request is waiting and no earlier request of its session must complete first.
    fn can_start(&self, position: usize) -> bool {
        let Item::Request {
            request,
            state: State::Waiting { .. },
        } = &self.items[position].1
        else {
            return false;
        };
        let Some(session) = &request.session else {
            return true;
        };
        let blocks = |(_, item): &(usize, Item<R, L>)| match item {
            Item::Request {
                state: State::Done(_),
                ..
            }
            | Item::LocalResponse(_) => false,
            Item::Request {
                request: earlier, ..
            } => {
                earlier.session.as_ref() == Some(session) && (earlier.is_write || request.is_write)
            }
        };
        !self.items.iter().take(position).any(blocks)
    }

    /// Stores the final response to a request. Does nothing if the number is unknown or the request has a response.
    pub fn finish(&mut self, number: u64, response: R) {
        let position = number
            .checked_sub(self.first_number)
            .and_then(|position| usize::try_from(position).ok());
        let Some((_, Item::Request { state, .. })) =
            position.and_then(|position| self.items.get_mut(position))
        else {
            return;
        };
        match state {
            State::Done(_) => return,
            State::Running => self.running -= 1,
            State::Waiting { .. } => {}
        }
        *state = State::Done(response);
    }

    /// Returns the number of the first request without a response, which a CancelRequest cancels.
    pub fn first_pending(&self) -> Option<u64> {
        let is_pending = |(_, item): &(usize, Item<R, L>)| match item {
            Item::Request { state, .. } => !matches!(state, State::Done(_)),
            Item::LocalResponse(_) => false,
        };
        self.items
            .iter()
            .position(is_pending)
            .map(|position| self.first_number + position as u64)
    }

    /// Removes and returns the first response, if it is available. `can_send` decides whether a response that needs no
    /// endpoint may be sent now.
    pub fn pop_output(&mut self, can_send: impl Fn(&L) -> bool) -> Option<Output<R, L>> {
        match &self.items.front()?.1 {
            Item::Request {
                state: State::Done(_),
                ..
            } => {}
            Item::LocalResponse(response) if can_send(response) => {}
            _ => return None,
        }
        let (bytes, item) = self.items.pop_front()?;
        self.first_number += 1;
        self.bytes -= bytes;
        match item {
            Item::Request {
                state: State::Done(response),
                ..
            } => Some(Output::Response(response)),
            Item::Request { .. } => None,
            Item::LocalResponse(response) => Some(Output::LocalResponse(response)),
        }
    }
}

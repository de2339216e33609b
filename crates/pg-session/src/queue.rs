//! The simple queries of one client that have been read and not answered.
//!
//! Responsible for which may start, and for the order of answers. Owns the queries and their answers until they
//! are taken. Must never release an answer ahead of an earlier one.
//!
//! A client may send further queries before the first is answered, and the time that it waits counts from the sending
//! of each. So they are started as they come, and only their answers keep their order. Two requests of one session keep
//! theirs where one of them writes: a session's read behind its own write sees it.

use crate::endpoint_query::EndpointQuery;
use crate::request::ValidatedRequest;
use reelrill_routing::Timestamp;
use std::collections::VecDeque;
use std::rc::Rc;

/// Bounds of one client's queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Queries that have been read and not answered.
    pub queries: usize,
    /// The bytes of their texts. One query may be larger.
    pub bytes: usize,
    /// Requests that run at once.
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

enum State<A> {
    Waiting {
        query: Rc<EndpointQuery>,
        received_at: Timestamp,
    },
    Running,
    Done(A),
}

enum Item<A, S> {
    Request {
        admitted: ValidatedRequest,
        state: State<A>,
    },
    /// Said without an endpoint.
    Said(S),
}

/// A request that is to start now.
#[derive(Debug)]
pub struct StartedRequest {
    /// Its number, for [`SimpleQueryQueue::finish`].
    pub number: u64,
    /// What the dispatcher is told.
    pub request: ValidatedRequest,
    /// What endpoints are asked.
    pub query: Rc<EndpointQuery>,
    /// When it was read.
    pub received_at: Timestamp,
}

/// What a client gets next.
#[derive(Debug, PartialEq, Eq)]
pub enum Output<A, S> {
    /// The final answer of a request.
    Response(A),
    /// What was put into the queue to be said.
    LocalResponse(S),
}

/// Queries in the order in which they came; `A` is a final answer, `S` what is said without an endpoint.
pub struct SimpleQueryQueue<A, S> {
    limits: QueueLimits,
    items: VecDeque<(usize, Item<A, S>)>,
    /// The number of the first item.
    first: u64,
    bytes: usize,
    running: usize,
}

impl<A, S> SimpleQueryQueue<A, S> {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> SimpleQueryQueue<A, S> {
        SimpleQueryQueue {
            limits,
            items: VecDeque::new(),
            first: 0,
            bytes: 0,
            running: 0,
        }
    }

    /// Nothing waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// No further query is to be read now.
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.limits.queries || self.bytes >= self.limits.bytes
    }

    /// A request was read at `received_at`, in so many bytes.
    pub fn push_request(
        &mut self,
        admitted: ValidatedRequest,
        query: Rc<EndpointQuery>,
        received_at: Timestamp,
        bytes: usize,
    ) {
        self.bytes += bytes;
        let state = State::Waiting { query, received_at };
        self.items
            .push_back((bytes, Item::Request { admitted, state }));
    }

    /// A query was read that needs no endpoint.
    pub fn push_local_response(&mut self, said: S) {
        self.items.push_back((0, Item::Said(said)));
    }

    /// The next request that may start. Each is given once.
    pub fn start_next(&mut self) -> Option<StartedRequest> {
        if self.running >= self.limits.running {
            return None;
        }
        let at = (0..self.items.len()).find(|at| self.may_start(*at))?;
        let Item::Request { admitted, state } = &mut self.items[at].1 else {
            return None;
        };
        let State::Waiting { query, received_at } = std::mem::replace(state, State::Running) else {
            return None;
        };
        self.running += 1;
        Some(StartedRequest {
            number: self.first + at as u64,
            request: admitted.clone(),
            query,
            received_at,
        })
    }

    fn may_start(&self, at: usize) -> bool {
        let Item::Request {
            admitted,
            state: State::Waiting { .. },
        } = &self.items[at].1
        else {
            return false;
        };
        let Some(session) = &admitted.session else {
            return true;
        };
        let bars = |(_, item): &(usize, Item<A, S>)| match item {
            Item::Request {
                state: State::Done(_),
                ..
            }
            | Item::Said(_) => false,
            Item::Request {
                admitted: ahead, ..
            } => ahead.session.as_ref() == Some(session) && (ahead.is_write || admitted.is_write),
        };
        !self.items.iter().take(at).any(bars)
    }

    /// A request has its final answer. One that is not known, or has its answer, keeps what it has.
    pub fn finish(&mut self, number: u64, answer: A) {
        let at = number
            .checked_sub(self.first)
            .and_then(|at| usize::try_from(at).ok());
        let Some((_, Item::Request { state, .. })) = at.and_then(|at| self.items.get_mut(at))
        else {
            return;
        };
        match state {
            State::Done(_) => return,
            State::Running => self.running -= 1,
            State::Waiting { .. } => {}
        }
        *state = State::Done(answer);
    }

    /// The first request without an answer: what a CancelRequest is about.
    pub fn first_pending(&self) -> Option<u64> {
        let is_open = |(_, i): &(usize, Item<A, S>)| match i {
            Item::Request { state, .. } => !matches!(state, State::Done(_)),
            Item::Said(_) => false,
        };
        self.items
            .iter()
            .position(is_open)
            .map(|at| self.first + at as u64)
    }

    /// What is said next, if it is the turn of something that can be; `may_say`: whether that can be said now.
    pub fn pop_output(&mut self, may_say: impl Fn(&S) -> bool) -> Option<Output<A, S>> {
        match &self.items.front()?.1 {
            Item::Request {
                state: State::Done(_),
                ..
            } => {}
            Item::Said(said) if may_say(said) => {}
            _ => return None,
        }
        let (bytes, item) = self.items.pop_front()?;
        self.first += 1;
        self.bytes -= bytes;
        match item {
            Item::Request {
                state: State::Done(answer),
                ..
            } => Some(Output::Response(answer)),
            Item::Request { .. } => None,
            Item::Said(said) => Some(Output::LocalResponse(said)),
        }
    }
}

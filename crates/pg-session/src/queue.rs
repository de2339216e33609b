//! The queue of one client's simple queries that have been received and whose responses have not been sent.
//!
//! Responsible for which queries may start and for the order of responses. Owns the queries, and their responses until
//! they are sent. Must never release a response before an earlier one.
//!
//! A client may send further queries before it receives the first response, and the timeout of each query counts from
//! when the client sent it. So queries start as they are received, and only their responses are kept in order. Two
//! requests of one session run one after the other if either of them writes: a session's read that follows its own
//! write sees that write.
//!
//! Queries and responses take their memory from a budget that all clients share. A request that starts before an
//! earlier one has its response reserves memory for the largest response, because that response may have to be kept.
//! While the budget is exhausted, each client can still queue one small query, and run its first request without a
//! response: that response can be sent at once, so every queue makes progress.

use crate::endpoint_query::EndpointQuery;
use crate::limits::{Budget, RETAINED_CAPACITY, Reservation, release_capacity};
use crate::request::ValidatedRequest;
use reelrill_pg_protocol::frame::MAX_ROW_LENGTH;
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
    /// Bytes reserved for the response of a request that runs before an earlier one has its response.
    pub response_bytes: usize,
    /// Bytes of the largest message that a client may queue while the memory budget is exhausted.
    pub small_bytes: usize,
}

impl Default for QueueLimits {
    fn default() -> QueueLimits {
        QueueLimits {
            queries: 128,
            bytes: 32 * 1024,
            running: 32,
            response_bytes: MAX_ROW_LENGTH,
            small_bytes: 4 * 1024,
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
    /// The rejections of this many queries in a row.
    Rejections(u64),
}

/// A queued query or response, and the memory that it holds.
struct Entry<R, L> {
    /// The bytes that count towards [`QueueLimits::bytes`].
    bytes: usize,
    memory: Reservation,
    item: Item<R, L>,
}

impl<R, L> Entry<R, L> {
    /// Returns the memory of an entry that counts as `bytes` bytes and has a response of `response_bytes` bytes.
    fn memory_bytes(bytes: usize, response_bytes: usize) -> usize {
        size_of::<Entry<R, L>>() + bytes + response_bytes
    }

    fn is_done(&self) -> bool {
        matches!(
            self.item,
            Item::Request {
                state: State::Done(_),
                ..
            }
        )
    }
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
    /// The rejection of a query, queued with [`SimpleQueryQueue::push_rejection`].
    Rejection,
}

/// A client's simple queries, in the order received. `R` is the type of final responses, `L` that of responses that
/// need no endpoint.
pub struct SimpleQueryQueue<R, L> {
    limits: QueueLimits,
    memory: Rc<Budget>,
    entries: VecDeque<Entry<R, L>>,
    /// The number of the first entry.
    first_number: u64,
    bytes: usize,
    running: usize,
    /// The memory of the responses that were returned and may not have been written yet.
    unwritten: Vec<Reservation>,
    is_waiting_for_memory: bool,
}

impl<R, L> SimpleQueryQueue<R, L> {
    /// Creates an empty queue that takes its memory from `memory`, in bytes.
    pub fn new(limits: QueueLimits, memory: Rc<Budget>) -> SimpleQueryQueue<R, L> {
        SimpleQueryQueue {
            limits,
            memory,
            entries: VecDeque::new(),
            first_number: 0,
            bytes: 0,
            running: 0,
            unwritten: Vec::new(),
            is_waiting_for_memory: false,
        }
    }

    /// Returns whether the queue holds neither a query nor a response.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a limit is reached, so that no further query should be read now.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.queries
            || self.bytes >= self.limits.bytes
            || (!self.is_empty() && self.memory.available() == 0)
    }

    /// Returns whether a query in a message of `bytes` bytes may be queued. A large one may not if the memory budget has
    /// too little left: otherwise each client could hold one while no endpoint is available.
    pub fn has_memory_for(&self, bytes: usize) -> bool {
        bytes <= self.limits.small_bytes || bytes <= self.memory.available()
    }

    /// Returns whether the last call of [`start_next`](Self::start_next) left a request waiting because the memory
    /// budget is exhausted.
    pub fn is_waiting_for_memory(&self) -> bool {
        self.is_waiting_for_memory
    }

    fn push(&mut self, bytes: usize, item: Item<R, L>) {
        self.bytes += bytes;
        let memory_bytes = Entry::<R, L>::memory_bytes(bytes, 0);
        let memory = self.memory.reserve_regardless(memory_bytes);
        self.entries.push_back(Entry {
            bytes,
            memory,
            item,
        });
    }

    /// Appends a request that was received at `received_at` in a message of `bytes` bytes.
    pub fn push_request(
        &mut self,
        request: ValidatedRequest,
        query: Rc<EndpointQuery>,
        received_at: Timestamp,
        bytes: usize,
    ) {
        let state = State::Waiting { query, received_at };
        self.push(bytes, Item::Request { request, state });
    }

    /// Appends the response of `bytes` bytes to a query that needs no endpoint.
    pub fn push_local_response(&mut self, response: L, bytes: usize) {
        self.push(bytes, Item::LocalResponse(response));
    }

    /// Appends the rejection of a query. Any number of them in a row takes the memory of one entry, so a rejection may
    /// also be appended to a full queue.
    pub fn push_rejection(&mut self) {
        if let Some(Entry {
            item: Item::Rejections(count),
            ..
        }) = self.entries.back_mut()
        {
            *count += 1;
        } else {
            self.push(0, Item::Rejections(1));
        }
    }

    /// Returns the next request that may start, and marks it as running. Each request is returned once.
    pub fn start_next(&mut self) -> Option<StartedRequest> {
        self.is_waiting_for_memory = false;
        if self.running >= self.limits.running {
            return None;
        }
        let position = (0..self.entries.len()).find(|position| self.can_start(*position))?;
        if !self.reserve_response(position) {
            self.is_waiting_for_memory = true;
            return None;
        }
        let Item::Request { request, state } = &mut self.entries[position].item else {
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

    /// Reserves memory for the response of a request that is about to start, unless it is the next response to be sent.
    /// Returns `false` if too little memory is left.
    fn reserve_response(&mut self, position: usize) -> bool {
        if self.entries.iter().take(position).all(Entry::is_done) {
            return true;
        }
        let entry = &mut self.entries[position];
        let memory_bytes = Entry::<R, L>::memory_bytes(entry.bytes, self.limits.response_bytes);
        entry.memory.try_resize(memory_bytes)
    }

    /// Returns whether a request is waiting and no earlier request of its session must complete first.
    fn can_start(&self, position: usize) -> bool {
        let Item::Request {
            request,
            state: State::Waiting { .. },
        } = &self.entries[position].item
        else {
            return false;
        };
        let Some(session) = &request.session else {
            return true;
        };
        let blocks = |entry: &Entry<R, L>| match &entry.item {
            Item::Request {
                state: State::Done(_),
                ..
            }
            | Item::LocalResponse(_)
            | Item::Rejections(_) => false,
            Item::Request {
                request: earlier, ..
            } => {
                earlier.session.as_ref() == Some(session) && (earlier.is_write || request.is_write)
            }
        };
        !self.entries.iter().take(position).any(blocks)
    }

    /// Stores the final response of `bytes` bytes to a request. Does nothing if the number is unknown or the request
    /// has a response.
    pub fn finish(&mut self, number: u64, response: R, bytes: usize) {
        let position = number
            .checked_sub(self.first_number)
            .and_then(|position| usize::try_from(position).ok());
        let Some(entry) = position.and_then(|position| self.entries.get_mut(position)) else {
            return;
        };
        let Item::Request { state, .. } = &mut entry.item else {
            return;
        };
        match state {
            State::Done(_) => return,
            State::Running => self.running -= 1,
            State::Waiting { .. } => {}
        }
        *state = State::Done(response);
        let memory_bytes = Entry::<R, L>::memory_bytes(entry.bytes, bytes);
        entry.memory.resize_regardless(memory_bytes);
    }

    /// Returns the number of the first request without a response, which a CancelRequest cancels.
    pub fn first_pending(&self) -> Option<u64> {
        let is_pending = |entry: &Entry<R, L>| match &entry.item {
            Item::Request { state, .. } => !matches!(state, State::Done(_)),
            Item::LocalResponse(_) | Item::Rejections(_) => false,
        };
        self.entries
            .iter()
            .position(is_pending)
            .map(|position| self.first_number + position as u64)
    }

    /// Removes and returns the first response, if it is available. `can_send` decides whether a response that needs no
    /// endpoint may be sent now. Its memory stays reserved until [`on_written`](Self::on_written).
    pub fn pop_output(&mut self, can_send: impl Fn(&L) -> bool) -> Option<Output<R, L>> {
        match &mut self.entries.front_mut()?.item {
            Item::Request {
                state: State::Done(_),
                ..
            } => {}
            Item::Rejections(count @ 2..) => {
                *count -= 1;
                return Some(Output::Rejection);
            }
            Item::Rejections(_) => {}
            Item::LocalResponse(response) if can_send(response) => {}
            _ => return None,
        }
        let entry = self.entries.pop_front()?;
        self.first_number += 1;
        self.bytes -= entry.bytes;
        self.unwritten.push(entry.memory);
        match entry.item {
            Item::Request {
                state: State::Done(response),
                ..
            } => Some(Output::Response(response)),
            Item::Request { .. } => None,
            Item::LocalResponse(response) => Some(Output::LocalResponse(response)),
            Item::Rejections(_) => Some(Output::Rejection),
        }
    }

    /// Releases the memory of the responses that were returned by [`pop_output`](Self::pop_output), which have been
    /// written to the client.
    pub fn on_written(&mut self) {
        self.unwritten.clear();
        self.unwritten.shrink_to(RETAINED_CAPACITY);
        release_capacity(&mut self.entries);
    }

    /// Discards all queries and responses, and releases their memory: the client's connection has ended.
    pub fn clear(&mut self) {
        self.first_number += self.entries.len() as u64;
        self.entries.clear();
        self.unwritten.clear();
        self.bytes = 0;
        self.running = 0;
    }
}

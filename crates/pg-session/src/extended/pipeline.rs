//! The queue of a client's pipelined commands: responses that are available, and requests without a response.
//!
//! Determines the order of responses and which request may start. Owns the queued items and the count of running
//! requests. Must never release a response before an earlier one, nor run a write at the same time as another request.
//!
//! Responses take their memory from a budget that all clients share, as those of simple queries do
//! ([`crate::queue`]).

use super::{Output, StartedRequest};
use crate::endpoint_query::EndpointQuery;
use crate::limits::{Budget, RETAINED_CAPACITY, Reservation, release_capacity};
use crate::request::ValidatedRequest;
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frame::MAX_ROW_LENGTH;
use std::collections::VecDeque;
use std::rc::Rc;

/// The bytes reserved for the response of a request that runs before an earlier one has its response. A value in text
/// format has two digits for each byte.
pub const RESERVED_RESPONSE_BYTES: usize = 2 * MAX_ROW_LENGTH;

/// The progress of a request.
enum State<R> {
    Waiting,
    Running,
    Completed(R),
}

/// A request of one Execute.
pub(super) struct PlannedRequest {
    pub query: Rc<EndpointQuery>,
    pub validated: Rc<ValidatedRequest>,
    pub result_format: Format,
    /// Whether the Execute's row limit suspends the portal after the row.
    pub is_suspended: bool,
}

/// An entry of the queue.
enum Item<R> {
    Response(Output<R>),
    /// The responses to rejected segments in a row. They alternate: the rejection of a segment, and the response to its
    /// Sync.
    RejectedSegments {
        /// The number of responses that have been returned.
        sent: u64,
        /// The number of all responses.
        total: u64,
    },
    Request {
        state: State<R>,
        request: PlannedRequest,
    },
}

impl<R> Item<R> {
    /// Returns whether the item is a request without a response.
    fn is_pending(&self) -> bool {
        let Item::Request { state, .. } = self else {
            return false;
        };
        !matches!(state, State::Completed(_))
    }

    fn is_running(&self) -> bool {
        let Item::Request { state, .. } = self else {
            return false;
        };
        matches!(state, State::Running)
    }

    fn is_sync(&self) -> bool {
        matches!(self, Item::Response(Output::ReadyForQuery))
    }
}

/// A queued item, its number, and the memory that its response holds.
struct Entry<R> {
    number: u64,
    memory: Reservation,
    item: Item<R>,
}

/// The items discarded because an earlier request failed.
pub(super) struct Discarded {
    /// The numbers of the requests that were running, which are cancelled.
    pub cancelled: Vec<u64>,
    /// The number of the Sync that ends the segment; `None` if it has not been received yet.
    pub sync: Option<u64>,
}

/// The queued items in order, each with its number. Numbers only increase.
pub(super) struct Pipeline<R> {
    memory: Rc<Budget>,
    entries: VecDeque<Entry<R>>,
    next_number: u64,
    running: usize,
    /// The memory of the responses that were returned and may not have been written yet.
    unwritten: Vec<Reservation>,
    is_waiting_for_memory: bool,
}

impl<R> Pipeline<R> {
    /// Creates an empty queue that takes its memory from `memory`, in bytes.
    pub(super) fn new(memory: Rc<Budget>) -> Pipeline<R> {
        Pipeline {
            memory,
            entries: VecDeque::new(),
            next_number: 0,
            running: 0,
            unwritten: Vec::new(),
            is_waiting_for_memory: false,
        }
    }

    /// Returns whether `limit` items are queued, or no memory is left for another one.
    pub(super) fn is_full(&self, limit: usize) -> bool {
        self.entries.len() >= limit || (!self.is_empty() && self.memory.available() == 0)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the last call of [`start`](Self::start) left a request waiting because the memory budget is
    /// exhausted.
    pub(super) fn is_waiting_for_memory(&self) -> bool {
        self.is_waiting_for_memory
    }

    /// Returns the number of the next item to be queued.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number
    }

    pub(super) fn push_response(&mut self, response: Output<R>) {
        let bytes = response.local_bytes();
        self.push(Item::Response(response), bytes);
    }

    /// Appends the rejection of a segment of which no command was processed. Any number of such segments in a row takes
    /// the memory of one item, so a rejection may also be appended to a full queue.
    pub(super) fn push_rejected_segment(&mut self) {
        if let Some(Item::RejectedSegments { total, .. }) = self.last_item_mut()
            && total.is_multiple_of(2)
        {
            *total += 1;
        } else {
            self.push(Item::RejectedSegments { sent: 0, total: 1 }, 0);
        }
    }

    /// Appends the response to the Sync of a rejected segment.
    pub(super) fn push_rejected_sync(&mut self) {
        match self.last_item_mut() {
            Some(Item::RejectedSegments { total, .. }) => *total += 1,
            // The rejection has been sent already.
            _ => self.push_response(Output::ReadyForQuery),
        }
    }

    fn last_item_mut(&mut self) -> Option<&mut Item<R>> {
        self.entries.back_mut().map(|entry| &mut entry.item)
    }

    pub(super) fn push_request(&mut self, request: PlannedRequest) {
        let item = Item::Request {
            state: State::Waiting,
            request,
        };
        // The values of the request are counted in a budget of their own.
        self.push(item, 0);
    }

    fn push(&mut self, item: Item<R>, bytes: usize) {
        self.entries.push_back(Entry {
            number: self.next_number,
            memory: self
                .memory
                .reserve_regardless(size_of::<Entry<R>>() + bytes),
            item,
        });
        self.next_number += 1;
    }

    /// Returns whether a request has no response yet.
    pub(super) fn has_pending_request(&self) -> bool {
        self.entries.iter().any(|entry| entry.item.is_pending())
    }

    /// Returns whether a request has no response yet, among the items from the number `first` on.
    pub(super) fn has_pending_request_since(&self, first: u64) -> bool {
        self.entries
            .iter()
            .rev()
            .take_while(|entry| entry.number >= first)
            .any(|entry| entry.item.is_pending())
    }

    /// Returns the next request that may start, and marks it as running. At most `max_running` requests run at once.
    pub(super) fn start(&mut self, max_running: usize) -> Option<StartedRequest> {
        self.is_waiting_for_memory = false;
        let entry_size = size_of::<Entry<R>>();
        let mut running_before = 0;
        for entry in &mut self.entries {
            let Item::Request { state, request } = &mut entry.item else {
                continue;
            };
            let is_write = request.validated.is_write;
            match state {
                State::Completed(_) => {}
                State::Running if is_write => return None,
                State::Running => running_before += 1,
                State::Waiting if is_write && running_before > 0 => return None,
                State::Waiting if self.running >= max_running => return None,
                // The first request's response can be sent at once. That of a later one may have to be kept.
                State::Waiting
                    if running_before > 0
                        && !entry
                            .memory
                            .try_resize(entry_size + RESERVED_RESPONSE_BYTES) =>
                {
                    self.is_waiting_for_memory = true;
                    return None;
                }
                State::Waiting => {
                    *state = State::Running;
                    self.running += 1;
                    return Some(StartedRequest {
                        number: entry.number,
                        request: request.validated.clone(),
                        query: request.query.clone(),
                        result_format: request.result_format,
                    });
                }
            }
        }
        None
    }

    /// Stores the response of `bytes` bytes to a request and returns its position; `None` if its number is unknown or
    /// it has a response.
    pub(super) fn complete(&mut self, number: u64, response: R, bytes: usize) -> Option<usize> {
        let position = self
            .entries
            .binary_search_by_key(&number, |entry| entry.number)
            .ok()?;
        let entry = &mut self.entries[position];
        if !entry.item.is_pending() {
            return None;
        }
        if entry.item.is_running() {
            self.running -= 1;
        }
        if let Item::Request { state, .. } = &mut entry.item {
            *state = State::Completed(response);
        }
        entry
            .memory
            .resize_regardless(size_of::<Entry<R>>() + bytes);
        Some(position)
    }

    /// Removes the items between the request at `position` and the Sync of its segment.
    pub(super) fn discard_after(&mut self, position: usize) -> Discarded {
        let sync_position = self
            .entries
            .iter()
            .skip(position)
            .position(|entry| entry.item.is_sync())
            .map(|offset| position + offset);
        let sync = sync_position.map(|index| self.entries[index].number);
        let end = sync_position.unwrap_or(self.entries.len());
        let cancelled: Vec<u64> = self
            .entries
            .drain(position + 1..end)
            .filter(|entry| entry.item.is_running())
            .map(|entry| entry.number)
            .collect();
        self.running -= cancelled.len();
        Discarded { cancelled, sync }
    }

    /// Returns the number of the first request without a response, and whether it is running.
    pub(super) fn first_pending(&self) -> Option<(u64, bool)> {
        let entry = self.entries.iter().find(|entry| entry.item.is_pending())?;
        Some((entry.number, entry.item.is_running()))
    }

    /// Removes and returns the first response, if it is available. Its memory stays reserved until
    /// [`on_written`](Self::on_written).
    pub(super) fn pop_ready(&mut self) -> Option<Output<R>> {
        let first = &mut self.entries.front_mut()?.item;
        if first.is_pending() {
            return None;
        }
        if let Item::RejectedSegments { sent, total } = first {
            let output = rejected_segment_output(*sent);
            *sent += 1;
            if sent < total {
                return Some(output);
            }
        }
        let entry = self.entries.pop_front()?;
        self.unwritten.push(entry.memory);
        match entry.item {
            Item::Response(response) => Some(response),
            Item::RejectedSegments { total, .. } => Some(rejected_segment_output(total - 1)),
            Item::Request {
                state: State::Completed(response),
                request,
            } => Some(Output::Response {
                response,
                is_suspended: request.is_suspended,
            }),
            Item::Request { .. } => None,
        }
    }

    /// Releases the memory of the responses that were returned by [`pop_ready`](Self::pop_ready), which have been
    /// written to the client.
    pub(super) fn on_written(&mut self) {
        self.unwritten.clear();
        self.unwritten.shrink_to(RETAINED_CAPACITY);
        release_capacity(&mut self.entries);
    }

    /// Discards all items, and releases their memory.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.unwritten.clear();
        self.running = 0;
    }
}

/// Returns the output at this position, from 0, among those of rejected segments.
fn rejected_segment_output<R>(position: u64) -> Output<R> {
    if position.is_multiple_of(2) {
        Output::Rejection
    } else {
        Output::ReadyForQuery
    }
}

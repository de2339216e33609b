//! The queue of a client's pipelined commands: responses that are available, and requests without a response.
//!
//! Determines the order of responses and which request may start. Owns the queued items and the count of running
//! requests. Must never release a response before an earlier one, nor run a write at the same time as another request.

use super::{Output, StartedRequest};
use crate::endpoint_query::EndpointQuery;
use crate::request::ValidatedRequest;
use reelrill_pg_protocol::Format;
use std::collections::VecDeque;
use std::rc::Rc;

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

/// The items discarded because an earlier request failed.
pub(super) struct Discarded {
    /// The numbers of the requests that were running, which are cancelled.
    pub cancelled: Vec<u64>,
    /// The number of the Sync that ends the segment; `None` if it has not been received yet.
    pub sync: Option<u64>,
}

/// The queued items in order, each with its number. Numbers only increase.
pub(super) struct Pipeline<R> {
    items: VecDeque<(u64, Item<R>)>,
    next_number: u64,
    running: usize,
}

impl<R> Pipeline<R> {
    pub(super) fn new() -> Pipeline<R> {
        Pipeline {
            items: VecDeque::new(),
            next_number: 0,
            running: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of the next item to be queued.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number
    }

    pub(super) fn push_response(&mut self, response: Output<R>) {
        self.push(Item::Response(response));
    }

    pub(super) fn push_request(&mut self, request: PlannedRequest) {
        self.push(Item::Request {
            state: State::Waiting,
            request,
        });
    }

    fn push(&mut self, item: Item<R>) {
        self.items.push_back((self.next_number, item));
        self.next_number += 1;
    }

    /// Returns whether a request has no response yet.
    pub(super) fn has_pending_request(&self) -> bool {
        self.items.iter().any(|(_, item)| item.is_pending())
    }

    /// Returns whether a request has no response yet, among the items from the number `first` on.
    pub(super) fn has_pending_request_since(&self, first: u64) -> bool {
        self.items
            .iter()
            .rev()
            .take_while(|(number, _)| *number >= first)
            .any(|(_, item)| item.is_pending())
    }

    /// Returns the next request that may start, and marks it as running. At most `max_running` requests run at once.
    pub(super) fn start(&mut self, max_running: usize) -> Option<StartedRequest> {
        let mut running_before = 0;
        for (number, item) in &mut self.items {
            let Item::Request { state, request } = item else {
                continue;
            };
            let is_write = request.validated.is_write;
            match state {
                State::Completed(_) => {}
                State::Running if is_write => return None,
                State::Running => running_before += 1,
                State::Waiting if is_write && running_before > 0 => return None,
                State::Waiting if self.running >= max_running => return None,
                State::Waiting => {
                    *state = State::Running;
                    self.running += 1;
                    return Some(StartedRequest {
                        number: *number,
                        request: request.validated.clone(),
                        query: request.query.clone(),
                        result_format: request.result_format,
                    });
                }
            }
        }
        None
    }

    /// Stores the response to a request and returns its position; `None` if its number is unknown or it has a response.
    pub(super) fn complete(&mut self, number: u64, response: R) -> Option<usize> {
        let position = self
            .items
            .binary_search_by_key(&number, |(item_number, _)| *item_number)
            .ok()?;
        let item = &mut self.items[position].1;
        if !item.is_pending() {
            return None;
        }
        if item.is_running() {
            self.running -= 1;
        }
        if let Item::Request { state, .. } = item {
            *state = State::Completed(response);
        }
        Some(position)
    }

    /// Removes the items between the request at `position` and the Sync of its segment.
    pub(super) fn discard_after(&mut self, position: usize) -> Discarded {
        let sync_position = self
            .items
            .iter()
            .skip(position)
            .position(|(_, item)| item.is_sync())
            .map(|offset| position + offset);
        let sync = sync_position.map(|index| self.items[index].0);
        let end = sync_position.unwrap_or(self.items.len());
        let cancelled: Vec<u64> = self
            .items
            .drain(position + 1..end)
            .filter(|(_, item)| item.is_running())
            .map(|(number, _)| number)
            .collect();
        self.running -= cancelled.len();
        Discarded { cancelled, sync }
    }

    /// Returns the number of the first request without a response, and whether it is running.
    pub(super) fn first_pending(&self) -> Option<(u64, bool)> {
        let (number, item) = self.items.iter().find(|(_, item)| item.is_pending())?;
        Some((*number, item.is_running()))
    }

    /// Removes and returns the first response, if it is available.
    pub(super) fn pop_ready(&mut self) -> Option<Output<R>> {
        let (_, first) = self.items.front()?;
        if first.is_pending() {
            return None;
        }
        let (_, item) = self.items.pop_front()?;
        match item {
            Item::Response(response) => Some(response),
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
}

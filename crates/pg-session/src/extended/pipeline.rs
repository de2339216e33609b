//! The queue of a client's pipelined commands: responses that are ready, and requests that need an answer.
//!
//! Responsible for the order of responses and for which request may start. Owns the queued items and the count of
//! running requests. Must never release a response ahead of an earlier one, nor run a write beside another
//! request.

use super::{Output, StartedRequest};
use crate::endpoint_query::EndpointQuery;
use crate::request::ValidatedRequest;
use reelrill_pg_protocol::Format;
use std::collections::VecDeque;
use std::rc::Rc;

/// How far a request has come.
enum State<A> {
    Waiting,
    Running,
    Answered(A),
}

/// A request that one Execute asks for.
pub(super) struct PlannedRequest {
    pub query: Rc<EndpointQuery>,
    pub admitted: Rc<ValidatedRequest>,
    pub result: Format,
    /// The portal has a row limit and is suspended after the row.
    pub is_suspended: bool,
}

/// One entry of the queue.
enum Item<A> {
    Response(Output<A>),
    Part {
        state: State<A>,
        request: PlannedRequest,
    },
}

impl<A> Item<A> {
    /// Whether it is a request without an answer.
    fn is_open(&self) -> bool {
        let Item::Part { state, .. } = self else {
            return false;
        };
        !matches!(state, State::Answered(_))
    }

    fn is_running(&self) -> bool {
        let Item::Part { state, .. } = self else {
            return false;
        };
        matches!(state, State::Running)
    }

    fn is_sync(&self) -> bool {
        matches!(self, Item::Response(Output::ReadyForQuery))
    }
}

/// What a failed request takes with it.
pub(super) struct Discarded {
    /// The requests that were running; their answers are not wanted any more.
    pub cancelled: Vec<u64>,
    /// The number of the Sync that ends the segment; `None` if the client has not sent it yet.
    pub sync: Option<u64>,
}

/// The items in their order, each with its number; numbers only grow.
pub(super) struct Pipeline<A> {
    items: VecDeque<(u64, Item<A>)>,
    next_number: u64,
    running: usize,
}

impl<A> Pipeline<A> {
    pub(super) fn new() -> Pipeline<A> {
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

    /// The number that the next item will get.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number
    }

    pub(super) fn push_response(&mut self, response: Output<A>) {
        self.push(Item::Response(response));
    }

    pub(super) fn push_request(&mut self, request: PlannedRequest) {
        self.push(Item::Part {
            state: State::Waiting,
            request,
        });
    }

    fn push(&mut self, item: Item<A>) {
        self.items.push_back((self.next_number, item));
        self.next_number += 1;
    }

    /// Whether a request has no answer yet.
    pub(super) fn has_open_part(&self) -> bool {
        self.items.iter().any(|(_, item)| item.is_open())
    }

    /// Whether a request from the item `first` on has no answer yet.
    pub(super) fn has_open_part_since(&self, first: u64) -> bool {
        self.items
            .iter()
            .rev()
            .take_while(|(number, _)| *number >= first)
            .any(|(_, item)| item.is_open())
    }

    /// Starts the next request that may run now, with at most `max_running` at once.
    pub(super) fn start(&mut self, max_running: usize) -> Option<StartedRequest> {
        let mut running_ahead = 0;
        for (number, item) in &mut self.items {
            let Item::Part { state, request } = item else {
                continue;
            };
            let is_write = request.admitted.is_write;
            match state {
                State::Answered(_) => {}
                State::Running if is_write => return None,
                State::Running => running_ahead += 1,
                State::Waiting if is_write && running_ahead > 0 => return None,
                State::Waiting if self.running >= max_running => return None,
                State::Waiting => {
                    *state = State::Running;
                    self.running += 1;
                    return Some(StartedRequest {
                        number: *number,
                        request: request.admitted.clone(),
                        query: request.query.clone(),
                        result_format: request.result,
                    });
                }
            }
        }
        None
    }

    /// Gives a request its answer and returns its position; `None` if it is not known or has one already.
    pub(super) fn answer(&mut self, part: u64, answer: A) -> Option<usize> {
        let position = self
            .items
            .binary_search_by_key(&part, |(number, _)| *number)
            .ok()?;
        let item = &mut self.items[position].1;
        if !item.is_open() {
            return None;
        }
        if item.is_running() {
            self.running -= 1;
        }
        if let Item::Part { state, .. } = item {
            *state = State::Answered(answer);
        }
        Some(position)
    }

    /// Removes what stands between the request at `position` and the Sync of its segment.
    pub(super) fn discard_behind(&mut self, position: usize) -> Discarded {
        let sync_position = self
            .items
            .iter()
            .skip(position)
            .position(|(_, item)| item.is_sync())
            .map(|offset| position + offset);
        let sync = sync_position.map(|at| self.items[at].0);
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

    /// The first request without an answer, and whether it is running.
    pub(super) fn first_pending(&self) -> Option<(u64, bool)> {
        let (number, item) = self.items.iter().find(|(_, item)| item.is_open())?;
        Some((*number, item.is_running()))
    }

    /// Takes the first response, if it is ready.
    pub(super) fn pop_ready(&mut self) -> Option<Output<A>> {
        let (_, first) = self.items.front()?;
        if first.is_open() {
            return None;
        }
        let (_, item) = self.items.pop_front()?;
        match item {
            Item::Response(response) => Some(response),
            Item::Part {
                state: State::Answered(response),
                request,
            } => Some(Output::Response {
                response,
                is_suspended: request.is_suspended,
            }),
            Item::Part { .. } => None,
        }
    }
}

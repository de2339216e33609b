//! Remembers the requests that may have been executed and must not be executed again.
//!
//! An endpoint treats a request whose id it has seen as a repetition, or executes it again. So an id that comes again
//! after its request has ended, for example because its client has left, must not be sent on while the first execution
//! may still count. Owns the ids; their number is bounded, and the oldest are forgotten first.

use crate::settings::{Class, Idempotency};
use crate::units::{Nanos, Timestamp};
use std::collections::{HashSet, VecDeque};

/// Largest number of ids that are remembered.
const MAX_IDS: usize = 16 * 1024;

/// The ids of requests that may have been executed.
#[derive(Debug)]
pub struct ExecutedRequests {
    /// The time for which an id is remembered, nanoseconds.
    retention: Nanos,
    /// The ids in the order in which they are forgotten, each with the time until then.
    order: VecDeque<(Timestamp, u64)>,
    ids: HashSet<u64>,
}

impl ExecutedRequests {
    /// Creates an empty set. Ids are remembered for the longest deadline or deduplication window of these classes: a
    /// client has given up by then, and a repetition no longer counts as one.
    pub fn new(classes: &[Class]) -> ExecutedRequests {
        let retention = classes.iter().map(|class| {
            let window = match class.idempotency {
                Idempotency::IdempotencyKey(_) => class.deduplication_window,
                Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
            };
            class.deadline.max(window)
        });
        ExecutedRequests {
            retention: retention.max().unwrap_or(0),
            order: VecDeque::new(),
            ids: HashSet::new(),
        }
    }

    /// Records at `now` that a request of a class may have been executed. Classes that may be repeated freely have no
    /// effect.
    pub fn insert(&mut self, now: Timestamp, id: u64, class: &Class) {
        if class.idempotency == Idempotency::Idempotent || !self.ids.insert(id) {
            return;
        }
        self.forget_expired(now);
        if self.order.len() >= MAX_IDS {
            self.forget_first();
        }
        self.order
            .push_back((now.saturating_add(self.retention), id));
    }

    /// Returns whether the request with this id may have been executed and must not be executed again.
    pub fn contains(&mut self, now: Timestamp, id: u64) -> bool {
        self.forget_expired(now);
        self.ids.contains(&id)
    }

    fn forget_expired(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.ids.remove(&id);
        }
    }
}

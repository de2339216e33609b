//! The dispatcher's timers in the order in which they expire.
//!
//! Owns the times alone: an entry may refer to a request or an attempt that is gone by then, and whoever takes it out
//! checks that.

use reelrill_routing::{RequestId, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens at a time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineEntry {
    /// The balancer asked for a timer event with this token.
    BalancerTimer(u64),
    /// The time limit of one attempt, by its request and number.
    AttemptTimeout(RequestId, u32),
    /// The time at which a request's final answer has to leave.
    RequestDeadline(RequestId),
}

/// Entries ordered by time, and within one time by kind.
#[derive(Debug, Default)]
pub struct DeadlineQueue {
    entries: BinaryHeap<Reverse<(Timestamp, DeadlineEntry)>>,
}

impl DeadlineQueue {
    /// Adds an entry that expires at a time.
    pub fn add(&mut self, at: Timestamp, entry: DeadlineEntry) {
        self.entries.push(Reverse((at, entry)));
    }

    /// When the first entry expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.entries.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes out the first entry that has expired by now.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<DeadlineEntry> {
        if self.next_expiry()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse((_, entry))| entry)
    }
}

#[cfg(test)]
mod tests;

//! The dispatcher's timers, ordered by expiry.
//!
//! An entry may refer to a request or an attempt that no longer exists when it expires. The caller of
//! [`DeadlineQueue::pop_expired`] checks that.

use reelrill_routing::{RequestId, Timestamp};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The event that a timer triggers.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineEntry {
    /// The balancer requested a timer event with this token.
    BalancerTimer(u64),
    /// The time limit of an attempt, identified by request and attempt number, expires.
    AttemptTimeout(RequestId, u32),
    /// The attempt, identified by request and attempt number, must not be written any more.
    WriteDeadline(RequestId, u32),
    /// The final response to a request must be sent.
    RequestDeadline(RequestId),
}

/// The number of entries below which obsolete ones are not removed before they expire.
const MIN_LENGTH_TO_COMPACT: usize = 1024;

/// Holds entries ordered by expiry time, and entries of equal time by kind.
#[derive(Debug, Default)]
pub struct DeadlineQueue {
    entries: BinaryHeap<Reverse<(Timestamp, DeadlineEntry)>>,
    /// The number of entries that were left after obsolete ones were last removed.
    compacted_length: usize,
}

impl DeadlineQueue {
    /// Adds an entry that expires at `at`.
    pub fn add(&mut self, at: Timestamp, entry: DeadlineEntry) {
        self.entries.push(Reverse((at, entry)));
    }

    /// Removes the entries for which `is_needed` returns `false`, once they may be more than half of all. Otherwise those
    /// of requests that end at once would stay until their deadlines.
    pub fn compact(&mut self, is_needed: impl Fn(&DeadlineEntry) -> bool) {
        if self.entries.len() < MIN_LENGTH_TO_COMPACT.max(2 * self.compacted_length) {
            return;
        }
        self.entries.retain(|Reverse((_, entry))| is_needed(entry));
        self.compacted_length = self.entries.len();
        self.entries.shrink_to(2 * self.compacted_length);
    }

    /// Returns the time at which the first entry expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.entries.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the first entry, if it has expired by `now`.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<DeadlineEntry> {
        if self.next_expiry()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse((_, entry))| entry)
    }
}

#[cfg(test)]
mod tests;

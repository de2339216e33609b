//! Defines the schedule of a graceful shutdown: the time windows after SIGTERM in which the router still forwards
//! requests, responds and reads.
//!
//! The process may be killed once the longest deadline, of which at most 3 s count, and another 0.7 s have passed since
//! SIGTERM. Until then clients continue to send on every connection that stays open. All windows are therefore derived
//! from the longest deadline:
//!
//! | until the end of | the router |
//! | --- | --- |
//! | `forward_window` | forwards requests as usual |
//! | `guarantee_window` | guarantees a response to each request; afterwards it reads little from each connection |
//! | `backlog_window` | reads on from clients that may have written more in time than has arrived |
//! | `response_window` | sends the responses to forwarded requests, and rejects all others as soon as they are read |
//! | `read_window` | reads input; afterwards it only closes connections |

use reelrill_routing::Nanos;

const MILLISECOND: Nanos = 1_000_000;
/// The value to which the longest deadline is limited in the schedule.
const MAX_COUNTED_DEADLINE: Nanos = 3000 * MILLISECOND;
/// The time from the longest deadline to the end of the response window. It leaves 0.2 s before the process may be
/// killed, because a response needs time to arrive and the process may be delayed by 0.15 s.
const RESPONSE_AFTER_DEADLINE: Nanos = 500 * MILLISECOND;
/// The minimum time from the end of the forward window to the end of the response window.
const FORWARD_BEFORE_RESPONSE: Nanos = 200 * MILLISECOND;
/// The maximum length of the forward window.
const MAX_FORWARD_WINDOW: Nanos = 600 * MILLISECOND;
/// The time from the end of the read window to the end of the response window.
const READ_BEFORE_RESPONSE: Nanos = 100 * MILLISECOND;
/// The minimum length of the read window, and the length of the guarantee window: a request that arrives within 0.7 s
/// after the signal must get a response.
const MIN_READ_WINDOW: Nanos = 700 * MILLISECOND;
/// The time from the end of the backlog window to the end of the read window. A client that sends without a pause needs it
/// to read the responses to what was read from it.
const BACKLOG_BEFORE_READ: Nanos = 1000 * MILLISECOND;
/// The shortest duration of a graceful shutdown. New connections arrive for 0.4 s after the signal, so the process runs
/// longer than that, even without a client.
const MIN_DURATION: Nanos = 900 * MILLISECOND;

/// The times of a graceful shutdown, in nanoseconds after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// A request that is read later is rejected.
    pub forward_window: Nanos,
    /// A request that arrives later may get no response, because the router may close the connection.
    pub guarantee_window: Nanos,
    /// Until the end of this window, input is read that its client may have written within the guarantee window.
    pub backlog_window: Nanos,
    /// All responses are sent by the end of this window.
    pub response_window: Nanos,
    /// Nothing is read after this window.
    pub read_window: Nanos,
    /// The process does not exit earlier.
    pub min_duration: Nanos,
}

impl ShutdownSchedule {
    /// Creates the schedule for the longest deadline of all request classes, in nanoseconds.
    pub fn new(longest_deadline: Nanos) -> ShutdownSchedule {
        let response_window = longest_deadline.min(MAX_COUNTED_DEADLINE) + RESPONSE_AFTER_DEADLINE;
        let read_window = MIN_READ_WINDOW.max(response_window - READ_BEFORE_RESPONSE);
        ShutdownSchedule {
            forward_window: MAX_FORWARD_WINDOW.min(response_window - FORWARD_BEFORE_RESPONSE),
            guarantee_window: MIN_READ_WINDOW,
            backlog_window: MIN_READ_WINDOW.max(read_window.saturating_sub(BACKLOG_BEFORE_READ)),
            response_window,
            read_window,
            min_duration: MIN_DURATION.min(response_window),
        }
    }
}

#[cfg(test)]
mod tests;

//! The schedule of a graceful shutdown: what still happens how long after SIGTERM.
//!
//! The process may be killed the longest deadline (of which at most 3 s count) plus 0.7 s after SIGTERM, and clients
//! go on sending on every connection that stays open until then. So all spans follow from the longest deadline:
//!
//! | up to | what happens |
//! | --- | --- |
//! | `last_forward` | a request is forwarded as usual |
//! | `last_owed` | what comes is owed an answer; later on, little more is read of each connection |
//! | `last_answer` | a request that was forwarded gets its answer; a later one is rejected as soon as it is read |
//! | `last_read` | whatever comes is still read; after that connections are only closed |

use reelrill_routing::Nanos;

const MILLISECOND: Nanos = 1_000_000;
/// What counts at most of the longest deadline.
const LONGEST_DEADLINE: Nanos = 3000 * MILLISECOND;
/// From the longest deadline to the last answer: 0.2 s before the process may be killed, since the answer has to
/// travel and the process may be held up for 0.15 s.
const ANSWER_AFTER_DEADLINE: Nanos = 500 * MILLISECOND;
/// How much earlier than the answer a request has to be read to be forwarded, and the most that counts of it.
const FORWARD_BEFORE_ANSWER: Nanos = 200 * MILLISECOND;
const LAST_FORWARD: Nanos = 600 * MILLISECOND;
/// How much earlier than the last answer reading ends, and the least that it goes on: what comes within 0.7 s of the
/// signal is owed an answer.
const READ_BEFORE_ANSWER: Nanos = 100 * MILLISECOND;
const LEAST_READ: Nanos = 700 * MILLISECOND;
/// New connections keep coming for 0.4 s: the process stays for longer, also if nobody is connected.
const MIN_DRAIN: Nanos = 900 * MILLISECOND;

/// Spans from SIGTERM on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// A request that is read later is rejected.
    pub last_forward: Nanos,
    /// What comes later is not owed an answer: the router may close the connection.
    pub last_owed: Nanos,
    /// By then all answers are out.
    pub last_answer: Nanos,
    /// After that nothing more is read.
    pub last_read: Nanos,
    /// The process ends no earlier.
    pub min_drain: Nanos,
}

impl ShutdownSchedule {
    /// The schedule where no client waits for longer than this.
    pub fn new(longest_deadline: Nanos) -> ShutdownSchedule {
        let last_answer = longest_deadline.min(LONGEST_DEADLINE) + ANSWER_AFTER_DEADLINE;
        ShutdownSchedule {
            last_forward: LAST_FORWARD.min(last_answer - FORWARD_BEFORE_ANSWER),
            last_owed: LEAST_READ,
            last_answer,
            last_read: LEAST_READ.max(last_answer - READ_BEFORE_ANSWER),
            min_drain: MIN_DRAIN.min(last_answer),
        }
    }
}

#[cfg(test)]
mod tests;

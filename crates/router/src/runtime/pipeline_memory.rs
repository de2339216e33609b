//! Wakes the clients' tasks that wait for memory for their queued queries and responses.
//!
//! The memory itself is a [`Budget`] of `pg-session`, which has no tasks. One task is woken at a time: it takes what it
//! needs, and then wakes the next one if memory is left.

use event_listener::{Event, IntoNotification as _};
use reelrill_pg_session::extended::RESERVED_RESPONSE_BYTES;
use reelrill_pg_session::limits::Budget;
use std::rc::Rc;

/// Notifies tasks that memory of a budget has been released.
pub struct PipelineMemoryReleased {
    budget: Rc<Budget>,
    released: Event,
}

impl PipelineMemoryReleased {
    /// Creates the notification for `budget`.
    pub fn new(budget: Rc<Budget>) -> PipelineMemoryReleased {
        PipelineMemoryReleased {
            budget,
            released: Event::new(),
        }
    }

    /// Wakes the task that has waited longest, if enough memory is left for any request to start.
    pub fn wake_next(&self) {
        if self.budget.available() >= RESERVED_RESPONSE_BYTES {
            self.released.notify(1.additional());
        }
    }

    /// Waits until memory has been released.
    pub async fn wait(&self) {
        self.released.listen().await;
    }
}

//! Defines a flag that is raised once, and that tasks can wait for.

use event_listener::Event;
use std::cell::Cell;

/// A condition that becomes true once and then stays true.
#[derive(Debug, Default)]
pub struct Flag {
    is_set: Cell<bool>,
    event: Event,
}

impl Flag {
    /// Makes the condition true, and wakes all tasks that wait for it.
    pub fn raise(&self) {
        self.is_set.set(true);
        self.event.notify(usize::MAX);
    }

    /// Returns whether the condition is true.
    pub fn is_raised(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the condition is true. Returns at once if it already is.
    pub async fn wait(&self) {
        while !self.is_set.get() {
            self.event.listen().await;
        }
    }
}

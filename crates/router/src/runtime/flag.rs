//! A condition that comes true once and that any task may wait for.

use event_listener::Event;
use std::cell::Cell;

/// A condition that comes true once.
#[derive(Default)]
pub struct Flag {
    is_set: Cell<bool>,
    event: Event,
}

impl Flag {
    /// Makes the condition true, and wakes all that wait for it.
    pub fn raise(&self) {
        self.is_set.set(true);
        self.event.notify(usize::MAX);
    }

    /// Whether the condition is true.
    pub fn is_raised(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the condition is true; at once if it is.
    pub async fn wait(&self) {
        while !self.is_set.get() {
            self.event.listen().await;
        }
    }
}

//! A condition that comes true once and that any task may wait for.

use event_listener::Event;
use std::cell::Cell;

/// A condition that comes true once.
#[derive(Default)]
pub struct Flag {
    set: Cell<bool>,
    event: Event,
}

impl Flag {
    pub fn raise(&self) {
        self.set.set(true);
        self.event.notify(usize::MAX);
    }

    pub fn is_raised(&self) -> bool {
        self.set.get()
    }

    pub async fn wait(&self) {
        while !self.set.get() {
            self.event.listen().await;
        }
    }
}

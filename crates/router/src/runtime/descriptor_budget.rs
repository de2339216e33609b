//! Limits the file descriptors for connections to one side, clients or endpoints, and requests the eviction of
//! connections when the limit is reached.
//!
//! Owns the number of permits in use and the counts of connections by state. It never closes a connection: it notifies
//! a task that waits in [`DescriptorBudget::eviction_requested`], which then closes its own connection.

use event_listener::{Event, IntoNotification as _};
use std::cell::Cell;
use std::rc::Rc;

/// Unused connections count as many if there are more of them than the permits in use divided by this number.
const MANY_UNUSED_DIVISOR: usize = 4;

/// Limits the number of file descriptors for connections to one side, clients or endpoints. Each [`DescriptorPermit`]
/// represents one descriptor.
pub struct DescriptorBudget {
    used: Cell<usize>,
    capacity: usize,
    /// Notified when a permit is released.
    released: Event,
    /// Tasks whose connections can be evicted listen to the event of their priority.
    expendable: Event,
    idle: Event,
    stateful: Event,
    unfinished: Event,
    /// The number of connections that have not had any part of a request yet, whether or not they can be evicted.
    unused: Cell<usize>,
    /// The number of connections between requests without session state, including those idle for too short a time to
    /// be evicted.
    idle_connections: Cell<usize>,
}

/// Permits its owner to use one descriptor. The permit is released when it is dropped.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

/// Counts a connection in one of the budget's counters until dropped.
pub struct CountGuard {
    budget: Rc<DescriptorBudget>,
    counter: fn(&DescriptorBudget) -> &Cell<usize>,
}

impl CountGuard {
    fn new(
        budget: &Rc<DescriptorBudget>,
        counter: fn(&DescriptorBudget) -> &Cell<usize>,
    ) -> CountGuard {
        let count = counter(budget);
        count.set(count.get() + 1);
        CountGuard {
            budget: budget.clone(),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.budget);
        count.set(count.get().saturating_sub(1));
    }
}

/// The priority with which a connection is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionPriority {
    /// A connection that has not had any part of a request, or is being closed. It is evicted first.
    Expendable,
    /// A connection between requests, without session state.
    Idle,
    /// A connection between requests with prepared statements, which its client would have to prepare again. It is
    /// evicted only when no permit is left.
    Stateful,
    /// A connection in the middle of a request, whose client has paused. It is owed a response, so it is evicted only
    /// when no permit is left and there is no other connection. The one that has paused longest is evicted first.
    Unfinished,
}

impl DescriptorBudget {
    /// Creates a budget of `capacity` descriptors.
    pub fn new(capacity: usize) -> Rc<DescriptorBudget> {
        Rc::new(DescriptorBudget {
            used: Cell::new(0),
            capacity,
            released: Event::new(),
            expendable: Event::new(),
            idle: Event::new(),
            stateful: Event::new(),
            unfinished: Event::new(),
            unused: Cell::new(0),
            idle_connections: Cell::new(0),
        })
    }

    /// Returns a permit, or `None` if the budget is exhausted.
    pub fn try_acquire(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.capacity {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    /// Returns the number of permits in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns whether more than half of the budget is in use. A burst of connections may need the rest.
    pub fn is_running_low(&self) -> bool {
        self.used.get() > self.capacity / 2
    }

    /// Returns whether a task waits for a permit.
    pub fn has_waiters(&self) -> bool {
        self.released.total_listeners() > 0
    }

    /// Counts a connection that has not had any part of a request yet.
    pub fn count_unused(self: &Rc<Self>) -> CountGuard {
        CountGuard::new(self, |budget| &budget.unused)
    }

    /// Counts a connection between requests that has no session state.
    pub fn count_idle(self: &Rc<Self>) -> CountGuard {
        CountGuard::new(self, |budget| &budget.idle_connections)
    }

    /// Requests the eviction of the expendable connection that has waited longest or, if there is none, of the idle one
    /// that has waited longest. If many connections are unused, no idle one is evicted: clients use the idle ones, and
    /// some of the unused ones will soon be expendable. Returns whether a connection was notified or will soon be
    /// available for eviction.
    pub fn request_eviction(&self) -> bool {
        self.expendable.notify(1.additional()) > 0
            || self.unused.get() * MANY_UNUSED_DIVISOR > self.used.get()
            || self.idle.notify(1.additional()) > 0
            || self.idle_connections.get() > 0
    }

    /// Does the same as [`request_eviction`](Self::request_eviction) and, if no other connection is available, requests
    /// the eviction of one with session state or else of one in the middle of a request. For use when no permit is left.
    pub fn request_any_eviction(&self) {
        if !self.request_eviction() && self.stateful.notify(1.additional()) == 0 {
            self.unfinished.notify(1.additional());
        }
    }

    /// Waits until a connection of this priority must be evicted. Each request notifies one waiting task.
    pub async fn eviction_requested(&self, priority: EvictionPriority) {
        match priority {
            EvictionPriority::Expendable => self.expendable.listen().await,
            EvictionPriority::Idle => self.idle.listen().await,
            EvictionPriority::Stateful => self.stateful.listen().await,
            EvictionPriority::Unfinished => self.unfinished.listen().await,
        }
    }

    /// Waits until a permit is released.
    pub async fn permit_released(&self) {
        self.released.listen().await;
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        // The waiting tasks may need more than a permit, so all are notified and each checks its own condition.
        self.0.released.notify(usize::MAX);
    }
}

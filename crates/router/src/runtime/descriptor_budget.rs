//! The file descriptors that connections of one side may hold, and who gives one up when another needs it.
//!
//! Owns the counts of permits and of holders by kind. Must never close a connection itself: a holder that listens is
//! asked, and ends its own connection.

use event_listener::{Event, IntoNotification as _};
use std::cell::Cell;
use std::rc::Rc;

/// Unproven holders are many from this part of the permits in use on: one in so many.
const MANY_UNPROVEN: usize = 4;

/// The descriptors of one side. A [`DescriptorPermit`] stands for one and gives it back when dropped.
pub struct DescriptorBudget {
    used: Cell<usize>,
    capacity: usize,
    released: Event,
    /// Holders that can be evicted, by kind.
    expendable: Event,
    idle: Event,
    stateful: Event,
    /// Holders that have not asked anything yet.
    unproven: Cell<usize>,
    /// Holders between requests that would lose nothing, also those too young to be evicted.
    idle_holders: Cell<usize>,
}

/// The right to hold one descriptor; given back when dropped.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

/// Counts a holder as one of a kind until dropped.
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

/// Kinds of holders that can be evicted, in the order in which they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionPriority {
    /// A connection that has never asked anything, has stalled, or is being closed: it goes first.
    Expendable,
    /// A connection between requests.
    Idle,
    /// The same, with prepared statements that its client would have to prepare again: it goes last.
    Stateful,
}

impl DescriptorBudget {
    /// A budget of `capacity` descriptors.
    pub fn new(capacity: usize) -> Rc<DescriptorBudget> {
        Rc::new(DescriptorBudget {
            used: Cell::new(0),
            capacity,
            released: Event::new(),
            expendable: Event::new(),
            idle: Event::new(),
            stateful: Event::new(),
            unproven: Cell::new(0),
            idle_holders: Cell::new(0),
        })
    }

    /// A permit, if one is left.
    pub fn try_acquire(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.capacity {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    /// How many permits are out.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// More than half are in use: a burst needs the rest.
    pub fn is_running_low(&self) -> bool {
        self.used.get() > self.capacity / 2
    }

    /// Somebody waits for a permit.
    pub fn has_waiters(&self) -> bool {
        self.released.total_listeners() > 0
    }

    /// Counts a holder that has not asked anything yet.
    pub fn count_unused(self: &Rc<Self>) -> CountGuard {
        CountGuard::new(self, |budget| &budget.unproven)
    }

    /// Counts a holder between requests that would lose nothing.
    pub fn count_idle(self: &Rc<Self>) -> CountGuard {
        CountGuard::new(self, |budget| &budget.idle_holders)
    }

    /// Asks the holder that has listened longest to give its descriptor up, the expendable ones first. Where many are
    /// unproven, those that will turn out expendable are waited for: the idle ones are in use. Returns whether
    /// somebody was asked, or will be soon.
    pub fn request_eviction(&self) -> bool {
        self.expendable.notify(1.additional()) > 0
            || self.unproven.get() * MANY_UNPROVEN > self.used.get()
            || self.idle.notify(1.additional()) > 0
            || self.idle_holders.get() > 0
    }

    /// The same where no permit is left: the holders that lose something go, if there is no other.
    pub fn request_eviction_including_stateful(&self) {
        if !self.request_eviction() {
            self.stateful.notify(1.additional());
        }
    }

    /// Waits until a holder of this kind is asked to give its descriptor up.
    pub async fn eviction_requested(&self, kind: EvictionPriority) {
        match kind {
            EvictionPriority::Expendable => self.expendable.listen().await,
            EvictionPriority::Idle => self.idle.listen().await,
            EvictionPriority::Stateful => self.stateful.listen().await,
        }
    }

    /// Waits until a permit is given back.
    pub async fn permit_released(&self) {
        self.released.listen().await;
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        // Those who wait differ in what they wait for: all look.
        self.0.released.notify(usize::MAX);
    }
}

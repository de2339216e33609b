//! The file descriptors that connections of one side may hold, and who gives one up when another needs it.
//!
//! Owns the counts of permits and of holders by kind. Must never close a connection itself: a holder that listens is
//! asked, and ends its own connection.

use event_listener::{Event, IntoNotification as _};
use std::cell::Cell;
use std::rc::Rc;

/// The descriptors of one side. A [`Slot`] holds one and gives it back when dropped.
pub struct DescriptorBudget {
    used: Cell<usize>,
    most: usize,
    freed: Event,
    /// Holders that could go, by what they are.
    useless: Event,
    idle: Event,
    stateful: Event,
    /// Holders of which nothing is known yet.
    fresh: Cell<usize>,
    /// Holders between requests that would lose nothing, also those too young to go.
    resting: Cell<usize>,
}

pub struct DescriptorPermit(Rc<DescriptorBudget>);

/// Counts a holder as one of a kind until dropped.
pub struct HolderCount {
    slots: Rc<DescriptorBudget>,
    kind: fn(&DescriptorBudget) -> &Cell<usize>,
}

impl HolderCount {
    fn new(
        slots: &Rc<DescriptorBudget>,
        kind: fn(&DescriptorBudget) -> &Cell<usize>,
    ) -> HolderCount {
        kind(slots).set(kind(slots).get() + 1);
        HolderCount {
            slots: slots.clone(),
            kind,
        }
    }
}

impl Drop for HolderCount {
    fn drop(&mut self) {
        let count = (self.kind)(&self.slots);
        count.set(count.get().saturating_sub(1));
    }
}

/// What somebody holds a slot for that others want.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A connection that has never asked anything, has stalled, or is being closed: it goes first.
    Useless,
    /// A connection between requests.
    Idle,
    /// The same, with prepared statements that its client would have to prepare again: it goes last.
    Stateful,
}

impl DescriptorBudget {
    /// A budget of `most` descriptors.
    pub fn new(most: usize) -> Rc<DescriptorBudget> {
        let event = Event::new;
        let (freed, useless, idle, stateful) = (event(), event(), event(), event());
        Rc::new(DescriptorBudget {
            used: Cell::new(0),
            most,
            freed,
            useless,
            idle,
            stateful,
            fresh: Cell::new(0),
            resting: Cell::new(0),
        })
    }

    pub fn take(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.most {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Half are in use: a burst needs the rest.
    pub fn is_short(&self) -> bool {
        self.used.get() > self.most / 2
    }

    /// Somebody waits for a slot.
    pub fn is_wanted(&self) -> bool {
        self.freed.total_listeners() > 0
    }

    pub fn fresh(self: &Rc<Self>) -> HolderCount {
        HolderCount::new(self, |s| &s.fresh)
    }

    pub fn resting(self: &Rc<Self>) -> HolderCount {
        HolderCount::new(self, |s| &s.resting)
    }

    /// Asks the holder that has listened longest to give its slot up, the useless ones first. Where many are
    /// fresh, those that will turn out useless are waited for: the idle ones are in use. Says whether somebody was
    /// asked, or will be soon.
    pub fn want(&self) -> bool {
        self.useless.notify(1.additional()) > 0
            || self.fresh.get() * 4 > self.used.get()
            || self.idle.notify(1.additional()) > 0
            || self.resting.get() > 0
    }

    /// The same where there is no slot left: the holders that lose something go, if there is no other.
    pub fn need(&self) {
        if !self.want() {
            self.stateful.notify(1.additional());
        }
    }

    pub async fn wanted(&self, from: Holder) {
        match from {
            Holder::Useless => self.useless.listen().await,
            Holder::Idle => self.idle.listen().await,
            Holder::Stateful => self.stateful.listen().await,
        }
    }

    pub async fn freed(&self) {
        self.freed.listen().await;
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        // Those who wait differ in what they wait for: all look.
        self.0.freed.notify(usize::MAX);
    }
}

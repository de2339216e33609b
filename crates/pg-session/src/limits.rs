//! Limits on the statements, portals, values and commands that clients may hold.
//!
//! Responsible for counting what is in use of the limits that all clients share. Owns the counts; each user owns its
//! reservation, which is released on drop. Must never grant more than a limit, except to
//! [`Budget::reserve_regardless`] and [`Reservation::resize_regardless`].

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Counts how much of a shared limit is in use.
#[derive(Debug)]
pub struct Budget {
    used: Cell<usize>,
    limit: usize,
}

/// An amount reserved from a [`Budget`], released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    amount: usize,
}

impl Budget {
    /// Creates a budget of `limit` units, for example bytes or statements.
    pub fn new(limit: usize) -> Rc<Budget> {
        Rc::new(Budget {
            used: Cell::new(0),
            limit,
        })
    }

    /// Reserves `amount` units; returns `None` if fewer are left.
    pub fn reserve(self: &Rc<Self>, amount: usize) -> Option<Reservation> {
        let used = self
            .used
            .get()
            .checked_add(amount)
            .filter(|used| *used <= self.limit)?;
        self.used.set(used);
        Some(Reservation {
            budget: self.clone(),
            amount,
        })
    }

    /// Reserves `amount` units, even if fewer are left: others then get none until enough are released.
    pub fn reserve_regardless(self: &Rc<Self>, amount: usize) -> Reservation {
        self.used.set(self.used.get().saturating_add(amount));
        Reservation {
            budget: self.clone(),
            amount,
        }
    }

    /// Returns the number of units in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the number of units that can be reserved.
    pub fn available(&self) -> usize {
        self.limit.saturating_sub(self.used.get())
    }

    /// Returns the limit, in units.
    pub fn limit(&self) -> usize {
        self.limit
    }
}

impl Reservation {
    /// Changes the reserved amount to `amount` units. Returns `false`, and changes nothing, if that takes more units
    /// than are left.
    pub fn try_resize(&mut self, amount: usize) -> bool {
        if amount.saturating_sub(self.amount) > self.budget.available() {
            return false;
        }
        self.resize_regardless(amount);
        true
    }

    /// Changes the reserved amount to `amount` units, even if fewer are left.
    pub fn resize_regardless(&mut self, amount: usize) {
        let used_by_others = self.budget.used.get() - self.amount;
        self.budget.used.set(used_by_others.saturating_add(amount));
        self.amount = amount;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.amount);
    }
}

/// Limits on prepared statements, portals and pipelines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Prepared statements of one client.
    pub statements: usize,
    /// Prepared statements of all clients; a statement counts once for each client that has prepared it.
    pub all_statements: usize,
    /// Bytes of distinct statement texts of all clients.
    pub text_bytes: usize,
    /// Portals of one client.
    pub portals: usize,
    /// Bytes of values bound to the portals of all clients.
    pub value_bytes: usize,
    /// Commands of one client that are queued or without a response; at the limit, reading from the client pauses.
    pub commands: usize,
    /// Commands in one segment, which ends with a Sync.
    pub segment: usize,
    /// Read requests of one client that run at the same time.
    pub reads: usize,
    /// Statements prepared on one connection to an endpoint.
    pub prepared: usize,
}

/// The capacity in items that a queue keeps, whatever its length.
pub(crate) const RETAINED_CAPACITY: usize = 8;

/// Releases the memory of a queue that has become much shorter than it was. Otherwise each client would keep the room for
/// its longest queue.
pub(crate) fn release_capacity<T>(queue: &mut VecDeque<T>) {
    if queue.capacity() > RETAINED_CAPACITY.max(4 * queue.len()) {
        queue.shrink_to(2 * queue.len());
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            statements: 256,
            all_statements: 65_536,
            text_bytes: 4 << 20,
            portals: 64,
            value_bytes: 8 << 20,
            commands: 256,
            segment: 1024,
            reads: 16,
            prepared: 128,
        }
    }
}

/// The budgets of the limits that all clients share.
#[derive(Debug, Clone)]
pub struct SharedBudgets {
    /// Budget of [`Limits::all_statements`].
    pub statements: Rc<Budget>,
    /// Budget of [`Limits::value_bytes`].
    pub value_bytes: Rc<Budget>,
    /// Budget of the bytes that the clients' queued queries and their responses hold.
    pub pipeline_bytes: Rc<Budget>,
}

impl SharedBudgets {
    /// Creates budgets with nothing in use. `pipeline_bytes` limits the bytes that the clients' queued queries and
    /// their responses hold.
    pub fn new(limits: &Limits, pipeline_bytes: usize) -> SharedBudgets {
        SharedBudgets {
            statements: Budget::new(limits.all_statements),
            value_bytes: Budget::new(limits.value_bytes),
            pipeline_bytes: Budget::new(pipeline_bytes),
        }
    }
}

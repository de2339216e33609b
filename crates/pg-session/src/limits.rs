//! Bounds on what clients may hold.
//!
//! Responsible for counting what is in use of the bounds that all clients share. Owns the counts; each holder
//! owns its share and gives it back on drop. Must never count above a bound.

use std::cell::Cell;
use std::rc::Rc;

/// A bound, and how much of it is in use.
#[derive(Debug)]
pub struct Budget {
    used: Cell<usize>,
    limit: usize,
}

/// A part of an [`Budget`] in use; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Rc<Budget>,
    amount: usize,
}

impl Budget {
    /// An account of `limit`, in whatever unit its holders count.
    pub fn new(limit: usize) -> Rc<Budget> {
        Rc::new(Budget {
            used: Cell::new(0),
            limit,
        })
    }

    /// Reserves `amount`; `None` if that much is not left.
    pub fn reserve(self: &Rc<Self>, amount: usize) -> Option<Reservation> {
        let used = self
            .used
            .get()
            .checked_add(amount)
            .filter(|used| *used <= self.limit)?;
        self.used.set(used);
        Some(Reservation {
            account: self.clone(),
            amount,
        })
    }

    /// How much is in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// The bound.
    pub fn limit(&self) -> usize {
        self.limit
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.used.set(self.account.used.get() - self.amount);
    }
}

/// The bounds of prepared statements, portals and pipelines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// PreparedStatements statements of one client.
    pub statements: usize,
    /// PreparedStatements statements of all clients, each client's counted.
    pub all_statements: usize,
    /// Bytes of different statement texts, all clients together.
    pub text_bytes: usize,
    /// Portals of one client.
    pub portals: usize,
    /// Bytes of values bound to the portals of all clients.
    pub value_bytes: usize,
    /// Commands of one client that wait for their turn or their answer; beyond it no more are read meanwhile.
    pub commands: usize,
    /// Commands in one segment, up to its Sync.
    pub segment: usize,
    /// Reads of one client that run at once.
    pub reads: usize,
    /// Statements prepared on one connection to an endpoint.
    pub prepared: usize,
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

/// The budgets behind the bounds that all clients share.
#[derive(Debug, Clone)]
pub struct SharedBudgets {
    /// Of [`Limits::all_statements`].
    pub statements: Rc<Budget>,
    /// Of [`Limits::value_bytes`].
    pub value_bytes: Rc<Budget>,
}

impl SharedBudgets {
    /// SharedBudgets with nothing in use.
    pub fn new(limits: &Limits) -> SharedBudgets {
        SharedBudgets {
            statements: Budget::new(limits.all_statements),
            value_bytes: Budget::new(limits.value_bytes),
        }
    }
}

//! A client's prepared statements by name, with the changes that may have to be rolled back.
//!
//! Responsible for the statement of each name. Owns the statements, each with its reservation from the limit of all
//! clients, and a log of the changes made after a request without a response. Must never roll back a change out of
//! order.

use crate::limits::Reservation;
use crate::template::Template;
use std::collections::HashMap;
use std::rc::Rc;

/// A prepared statement of one client.
pub(super) struct PreparedStatement {
    pub template: Rc<Template>,
    /// The reservation from the limit of all clients, released on drop.
    pub _reservation: Reservation,
}

/// A change of a name's statement that may have to be rolled back.
struct Change {
    /// The number of the pipeline item that made the change.
    item: u64,
    name: Box<str>,
    previous: Option<PreparedStatement>,
}

/// The prepared statements of one client.
#[derive(Default)]
pub(super) struct Statements {
    by_name: HashMap<Box<str>, PreparedStatement>,
    changes: Vec<Change>,
}

impl Statements {
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the number of statements in memory: the named ones, and those that a rollback may restore.
    pub(super) fn retained(&self) -> usize {
        self.by_name.len() + self.changes.len()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    pub(super) fn template(&self, name: &str) -> Option<&Rc<Template>> {
        self.by_name.get(name).map(|statement| &statement.template)
    }

    pub(super) fn names(&self) -> Vec<Box<str>> {
        self.by_name.keys().cloned().collect()
    }

    /// Returns whether a change could still be rolled back.
    pub(super) fn has_uncommitted(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Sets or removes the statement of a name. With `rollback_item`, the change is logged under this item's number.
    pub(super) fn set(
        &mut self,
        name: &str,
        statement: Option<PreparedStatement>,
        rollback_item: Option<u64>,
    ) {
        let previous = self.replace(name.into(), statement);
        if let Some(item) = rollback_item {
            self.changes.push(Change {
                item,
                name: name.into(),
                previous,
            });
        }
    }

    /// Commits all changes: they can't be rolled back any more.
    pub(super) fn commit(&mut self) {
        self.changes.clear();
    }

    /// Rolls back the changes of the items after `request` and before `sync`, the last one first.
    pub(super) fn roll_back(&mut self, request: u64, sync: u64) {
        let is_rolled_back = |change: &mut Change| change.item > request && change.item < sync;
        while let Some(change) = self.changes.pop_if(is_rolled_back) {
            self.replace(change.name, change.previous);
        }
    }

    fn replace(
        &mut self,
        name: Box<str>,
        statement: Option<PreparedStatement>,
    ) -> Option<PreparedStatement> {
        match statement {
            Some(statement) => self.by_name.insert(name, statement),
            None => self.by_name.remove(&name),
        }
    }
}

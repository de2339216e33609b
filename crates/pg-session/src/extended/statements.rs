//! A client's names of prepared statements, with the changes that may have to be undone.
//!
//! Responsible for what a name stands for. Owns the names, each with its share of the bound of all clients, and
//! a log of the changes made behind a request without an answer. Must never undo a change out of order.

use crate::limits::Reservation;
use crate::template::Template;
use std::collections::HashMap;
use std::rc::Rc;

/// A prepared statement of one client.
pub(super) struct PreparedStatement {
    pub template: Rc<Template>,
    /// Its share of the bound of all clients, given back on drop.
    pub _share: Reservation,
}

/// A change of a name that may have to be undone.
struct Change {
    /// The number of the pipeline's item that the change belongs to.
    item: u64,
    name: Box<str>,
    before: Option<PreparedStatement>,
}

/// The names of one client.
#[derive(Default)]
pub(super) struct Statements {
    by_name: HashMap<Box<str>, PreparedStatement>,
    changes: Vec<Change>,
}

impl Statements {
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// How many statements are kept: those with a name, and those that a name may get back.
    pub(super) fn kept(&self) -> usize {
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

    /// Whether a change could still be undone.
    pub(super) fn has_uncommitted(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Sets or removes what a name stands for. With `undo_item`, the change is logged under this item's number.
    pub(super) fn set(
        &mut self,
        name: &str,
        statement: Option<PreparedStatement>,
        undo_item: Option<u64>,
    ) {
        let before = self.replace(name.into(), statement);
        if let Some(item) = undo_item {
            self.changes.push(Change {
                item,
                name: name.into(),
                before,
            });
        }
    }

    /// Makes all changes final.
    pub(super) fn commit(&mut self) {
        self.changes.clear();
    }

    /// Undoes the changes of the items behind `part` and ahead of `sync`, the last one first.
    pub(super) fn roll_back(&mut self, part: u64, sync: u64) {
        let is_undone = |change: &mut Change| change.item > part && change.item < sync;
        while let Some(change) = self.changes.pop_if(is_undone) {
            self.replace(change.name, change.before);
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

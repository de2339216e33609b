//! The store of prepared statements, shared by all clients.
//!
//! Responsible for keeping each pair of text and declared parameter types once, and for the limit on their bytes. Owns
//! the index, the byte count and the next id. The statements themselves are owned by the clients that have prepared
//! them, and are removed from the index when the last reference is dropped. Must never reuse an id, nor keep a
//! statement that no client has prepared.

use super::{StatementKind, Template, parse};
use crate::SessionError;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::{Rc, Weak};

/// Bytes counted for a template besides its texts.
pub(super) const TEMPLATE_OVERHEAD_BYTES: usize = 512;

/// The state shared by all clones of a [`TemplateStore`].
#[derive(Debug)]
struct Store {
    /// The templates by the hash of text and declared types.
    buckets: HashMap<u64, Vec<Weak<Template>>>,
    hasher: RandomState,
    used_bytes: usize,
    max_bytes: usize,
    next_id: u64,
    /// The object id of the value column's type.
    value_type: u32,
}

/// Stores each prepared statement of the router once. Clones share one store.
#[derive(Debug, Clone)]
pub struct TemplateStore(Rc<RefCell<Store>>);

/// A template's entry in its store. On drop, it is removed from the index and its bytes are released.
#[derive(Debug)]
pub(super) struct StoreEntry {
    store: Weak<RefCell<Store>>,
    hash: u64,
    cost_bytes: usize,
}

impl TemplateStore {
    /// Creates a store of at most `max_bytes` bytes. `value_type` is the object id of the value column's type.
    pub fn new(max_bytes: usize, value_type: u32) -> TemplateStore {
        TemplateStore(Rc::new(RefCell::new(Store {
            buckets: HashMap::new(),
            hasher: RandomState::new(),
            used_bytes: 0,
            max_bytes,
            next_id: 1,
            value_type,
        })))
    }

    /// Returns the template of a text and the object ids of its declared parameter types (0: unspecified). Parses the
    /// text if there is no such template yet.
    ///
    /// # Errors
    ///
    /// Any [`SessionError`] in the text or its types, or [`SessionError::LimitExceeded`] if the store is full.
    pub fn get_or_insert(
        &self,
        text: &str,
        declared: &[u32],
    ) -> Result<Rc<Template>, SessionError> {
        let hash = self.0.borrow().hasher.hash_one((text, declared));
        if let Some(template) = self.find(hash, text, declared) {
            return Ok(template);
        }
        let kind = parse(text, declared, self.0.borrow().value_type)?;
        let cost_bytes = cost_bytes(text, &kind);
        let id = self.0.borrow_mut().reserve(cost_bytes)?;
        let template = Rc::new(Template {
            id,
            kind,
            source: text.into(),
            declared: declared.into(),
            _entry: StoreEntry {
                store: Rc::downgrade(&self.0),
                hash,
                cost_bytes,
            },
        });
        let mut store = self.0.borrow_mut();
        let bucket = store.buckets.entry(hash).or_default();
        bucket.push(Rc::downgrade(&template));
        Ok(template)
    }

    /// Returns the number of templates and the bytes counted for them.
    pub fn usage(&self) -> (usize, usize) {
        let store = self.0.borrow();
        let count = store.buckets.values().map(Vec::len).sum();
        (count, store.used_bytes)
    }

    fn find(&self, hash: u64, text: &str, declared: &[u32]) -> Option<Rc<Template>> {
        let store = self.0.borrow();
        let bucket = store.buckets.get(&hash)?;
        bucket
            .iter()
            .filter_map(Weak::upgrade)
            .find(|template| *template.source == *text && *template.declared == *declared)
    }
}

impl Store {
    /// Reserves the bytes of a new template and returns its id.
    fn reserve(&mut self, cost_bytes: usize) -> Result<u64, SessionError> {
        if self.used_bytes + cost_bytes > self.max_bytes {
            return Err(SessionError::LimitExceeded {
                what: "bytes of statement texts",
                most: self.max_bytes,
            });
        }
        self.used_bytes += cost_bytes;
        let id = self.next_id;
        self.next_id += 1;
        Ok(id)
    }
}

/// Returns the bytes counted for a template: the client's text, the text sent to endpoints and the overhead.
fn cost_bytes(text: &str, kind: &StatementKind) -> usize {
    let endpoint_text_bytes = match kind {
        StatementKind::Request(request) => request.text.len(),
        StatementKind::Utility(_) | StatementKind::Empty => 0,
    };
    TEMPLATE_OVERHEAD_BYTES + text.len() + endpoint_text_bytes
}

impl Drop for StoreEntry {
    fn drop(&mut self) {
        let Some(store) = self.store.upgrade() else {
            return;
        };
        let mut store = store.borrow_mut();
        store.used_bytes -= self.cost_bytes;
        let Some(bucket) = store.buckets.get_mut(&self.hash) else {
            return;
        };
        bucket.retain(|template| template.strong_count() > 0);
        if bucket.is_empty() {
            store.buckets.remove(&self.hash);
        }
    }
}

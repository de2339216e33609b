//! The store of prepared statements that all clients share.
//!
//! Responsible for keeping each pair of text and declared parameter types once, and for the bound on their
//! bytes. Owns the index, the byte count and the next id; the statements themselves are owned by those that have
//! prepared them, and leave the index when the last of them drops its reference. Must never give an id twice,
//! nor keep a statement alive that nobody has prepared.

use super::{StatementKind, Template, parse};
use crate::SessionError;
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::{Rc, Weak};

/// What a template is counted for besides its texts, in bytes.
pub(super) const TEMPLATE_OVERHEAD_BYTES: usize = 512;

#[derive(Debug)]
struct Store {
    /// By the hash of text and declared types.
    buckets: HashMap<u64, Vec<Weak<Template>>>,
    hasher: RandomState,
    used_bytes: usize,
    max_bytes: usize,
    next_id: u64,
    /// The type of the value column, as an object id.
    value_type: u32,
}

/// All prepared statements of a router, each kept once. Clones share one store.
#[derive(Debug, Clone)]
pub struct TemplateStore(Rc<RefCell<Store>>);

/// A template's entry in its store: gives its bytes back when the template is dropped.
#[derive(Debug)]
pub(super) struct StoreEntry {
    store: Weak<RefCell<Store>>,
    hash: u64,
    cost_bytes: usize,
}

impl TemplateStore {
    /// A store for at most `max_bytes` bytes; `value_type` is the object id of the value column's type.
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

    /// The one template for a text and the parameter types that its Parse declares (0: unspecified).
    ///
    /// # Errors
    ///
    /// What is wrong with the text or its types, or [`SessionError::LimitExceeded`] if the store is full.
    pub fn get_or_insert(
        &self,
        text: &str,
        declared: &[u32],
    ) -> Result<Rc<Template>, SessionError> {
        let hash = self.0.borrow().hasher.hash_one((text, declared));
        if let Some(known) = self.find(hash, text, declared) {
            return Ok(known);
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

    /// How many templates there are, and the bytes that they are counted for.
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
    /// Counts a new template against the bound and gives it an id.
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

/// What a template is counted for, in bytes: the client's text, the endpoints' text and the overhead.
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

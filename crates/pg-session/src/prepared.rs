//! The statements that one connection to an endpoint has prepared.
//!
//! Responsible for what must be prepared or closed before a statement runs there. Owns the ids of the prepared
//! statements, least recently used first out. Must never exceed its bound. Names are never used again for another
//! text, so a Close that is lost with its connection leaves nothing behind that could be mistaken.

use lru::LruCache;
use std::num::NonZeroUsize;

/// What a run of a statement takes on this connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preparation {
    /// It is prepared here.
    NotNeeded,
    /// It must be prepared first, and before it the statement named here must go.
    Needed {
        /// The one not used for longest.
        evict: Option<u64>,
    },
}

/// The statements prepared on one connection, by their templates' numbers.
#[derive(Debug)]
pub struct PreparedStatements(LruCache<u64, ()>);

impl PreparedStatements {
    /// Nothing is prepared; at most `most` will be (one, if that is 0).
    pub fn new(capacity: usize) -> PreparedStatements {
        // The table is made as it is needed: most connections use few statements.
        let mut cache = LruCache::unbounded();
        cache.resize(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN));
        PreparedStatements(cache)
    }

    /// What a run of this template takes. One that must go counts as gone from here on: its Close is written
    /// ahead of all that follows.
    pub fn preparation(&mut self, id: u64) -> Preparation {
        if self.0.get(&id).is_some() {
            return Preparation::NotNeeded;
        }
        let is_full = self.0.len() >= self.0.cap().get();
        Preparation::Needed {
            evict: if is_full {
                self.0.pop_lru().map(|(id, ())| id)
            } else {
                None
            },
        }
    }

    /// The endpoint has confirmed it.
    pub fn insert(&mut self, id: u64) {
        self.0.put(id, ());
    }

    /// The endpoint says that it does not have it.
    pub fn remove(&mut self, id: u64) {
        self.0.pop(&id);
    }

    /// How many are prepared.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests;

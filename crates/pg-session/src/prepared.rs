//! The statements prepared on one connection to an endpoint.
//!
//! Responsible for what must be prepared or closed before a statement runs on the connection. Owns the ids of the
//! prepared statements in the order of their last use. Must never exceed its capacity. A statement name is never reused
//! for another text, so a Close that is lost with its connection can't leave a name with the wrong statement.

use lru::LruCache;
use std::num::NonZeroUsize;

/// The preparation that a statement needs before it runs on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preparation {
    /// The statement is prepared already.
    NotNeeded,
    /// The statement must be prepared first.
    Needed {
        /// The id of the least recently used statement, if it must be closed before.
        evict: Option<u64>,
    },
}

/// The ids of the statements prepared on one connection, in the order of their last use.
#[derive(Debug)]
pub struct PreparedStatements(LruCache<u64, ()>);

impl PreparedStatements {
    /// Creates an empty set of at most `capacity` statements (one, if that is 0).
    pub fn new(capacity: usize) -> PreparedStatements {
        // The table grows on demand: most connections use few statements.
        let mut cache = LruCache::unbounded();
        cache.resize(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN));
        PreparedStatements(cache)
    }

    /// Returns the preparation that a statement needs. A statement to be evicted is removed at once: its Close is
    /// written before everything that follows.
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

    /// Records that the endpoint has confirmed the preparation of a statement.
    pub fn insert(&mut self, id: u64) {
        self.0.put(id, ());
    }

    /// Removes a statement that the endpoint reported as unknown.
    pub fn remove(&mut self, id: u64) {
        self.0.pop(&id);
    }

    /// Returns the number of prepared statements.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no statement is prepared.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests;

//! State shared between test threads, with notification of changes. Tests wait for conditions on it instead of
//! sleeping for fixed times.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The limit of a wait in a test: a wait that reaches it has failed, and no wait of a passing test comes close to it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Holds a value that threads change and tests wait on. Clones share the value.
#[derive(Debug, Default)]
pub struct SharedState<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for SharedState<T> {
    fn clone(&self) -> Self {
        SharedState(self.0.clone())
    }
}

impl<T> SharedState<T> {
    /// Creates a shared state with an initial value.
    pub fn new(value: T) -> Self {
        SharedState(Arc::new((Mutex::new(value), Condvar::new())))
    }

    /// Calls `access` with the locked value, which it may read or change, and wakes all waiting threads. Returns the
    /// result of `access`.
    pub fn with<R>(&self, access: impl FnOnce(&mut T) -> R) -> R {
        let result = access(&mut self.0.0.lock().unwrap_or_else(PoisonError::into_inner));
        self.0.1.notify_all();
        result
    }

    /// Waits until `find` returns a value and returns it; `None` if that takes longer than `timeout`. `find` is called
    /// at once, and again after each access by another thread.
    pub fn wait_for<R>(
        &self,
        timeout: Duration,
        mut find: impl FnMut(&mut T) -> Option<R>,
    ) -> Option<R> {
        let deadline = Instant::now() + timeout;
        let mut value = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(found) = find(&mut value) {
                return Some(found);
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            value = self
                .0
                .1
                .wait_timeout(value, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

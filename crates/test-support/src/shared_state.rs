//! Values that threads change and others wait on: tests wait for conditions, never for time to pass.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Ends a wait that has failed; no passing test waits as long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A value that threads change and tests wait on.
#[derive(Debug, Default)]
pub struct SharedState<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for SharedState<T> {
    fn clone(&self) -> Self {
        SharedState(self.0.clone())
    }
}

impl<T> SharedState<T> {
    /// A value to begin with.
    pub fn new(value: T) -> Self {
        SharedState(Arc::new((Mutex::new(value), Condvar::new())))
    }

    /// Changes or reads the value, and wakes all that wait.
    pub fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(&mut self.0.0.lock().unwrap_or_else(PoisonError::into_inner));
        self.0.1.notify_all();
        result
    }

    /// Waits until `f` finds what it looks for; none: it did not within that time.
    pub fn wait_for<R>(
        &self,
        within: Duration,
        mut f: impl FnMut(&mut T) -> Option<R>,
    ) -> Option<R> {
        let until = Instant::now() + within;
        let mut value = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(found) = f(&mut value) {
                return Some(found);
            }
            let left = until.checked_duration_since(Instant::now())?;
            value = self
                .0
                .1
                .wait_timeout(value, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

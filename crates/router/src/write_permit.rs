//! The permission to write an attempt's statement, and the verdict whether an endpoint may have executed it.
//!
//! The dispatcher holds the [`AttemptControl`] of an attempt, and the connection that writes its statement the
//! [`WritePermit`]. Every write goes through the permit, which checks that the attempt has not ended, writes, and records
//! the result, without an await in between. The verdict is obtained only by ending the attempt. So once a verdict is
//! [`Execution::Never`], no further byte is written, and the verdict stays true.

use crate::runtime::flag::Flag;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Whether an endpoint may have executed an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// Too little of the statement has been written for an endpoint to execute it, and no more will be.
    Never,
    /// Enough of the statement has been written for an endpoint to execute it.
    Possible,
}

#[derive(Debug, Default)]
struct AttemptState {
    /// Whether enough of the statement has been written for an endpoint to execute it.
    is_executable: Cell<bool>,
    /// Raised when the attempt ends. Nothing is written from then on.
    ended: Flag,
}

/// The dispatcher's end of an attempt. Dropping it ends the attempt.
#[derive(Debug)]
pub struct AttemptControl(Rc<AttemptState>);

/// The connection's end of an attempt: the permission to write its statement.
#[derive(Debug)]
pub struct WritePermit(Rc<AttemptState>);

impl AttemptControl {
    /// Creates both ends of an attempt of which nothing has been written.
    pub fn new() -> (AttemptControl, WritePermit) {
        let state = Rc::new(AttemptState::default());
        (AttemptControl(state.clone()), WritePermit(state))
    }

    /// Ends the attempt: nothing of its statement is written from now on. Returns the verdict, which does not change any
    /// more.
    pub fn end(&self) -> Execution {
        self.0.ended.raise();
        if self.0.is_executable.get() {
            Execution::Possible
        } else {
            Execution::Never
        }
    }

    /// Returns whether an endpoint may have executed the attempt by now.
    pub fn may_have_executed(&self) -> bool {
        self.0.is_executable.get()
    }

    /// Ends the attempt if no endpoint can have executed it. Returns whether the attempt has ended.
    pub fn end_if_never_executed(&self) -> bool {
        !self.may_have_executed() && self.end() == Execution::Never
    }
}

impl Drop for AttemptControl {
    fn drop(&mut self) {
        self.0.ended.raise();
    }
}

impl WritePermit {
    /// Creates the permit of a statement that no dispatcher ends, such as a health check.
    pub fn unrestricted() -> WritePermit {
        WritePermit(Rc::default())
    }

    /// Returns whether the attempt has ended.
    pub fn has_ended(&self) -> bool {
        self.0.ended.is_raised()
    }

    /// Waits until the attempt ends.
    pub async fn ended(&self) {
        self.0.ended.wait().await;
    }

    /// Runs `write`, which writes a part of the statement and returns its length, unless the attempt has ended: then
    /// returns `None`. `is_executable_after` returns whether an endpoint may execute the statement after a write of this
    /// length.
    pub fn write(
        &self,
        write: impl FnOnce() -> io::Result<usize>,
        is_executable_after: impl FnOnce(usize) -> bool,
    ) -> io::Result<Option<usize>> {
        if self.has_ended() {
            return Ok(None);
        }
        let length = write()?;
        if is_executable_after(length) {
            self.0.is_executable.set(true);
        }
        Ok(Some(length))
    }
}

//! A segment: the commands between two Sync messages.
//!
//! Responsible for the limit on a segment's commands. Owns the state of the segment that is being received. Must never
//! be kept past its Sync: each segment starts with a new value.

use crate::SessionError;

/// The state of the commands since the last Sync.
pub(super) struct Segment {
    commands: usize,
    /// The number of the segment's first item in the pipeline.
    pub first_item: u64,
    /// Whether no command has been received since the last Sync.
    pub is_closed: bool,
    /// Whether the last command was a Flush: the client may wait for the responses so far before it sends more.
    pub is_flushed: bool,
    /// Whether commands are skipped up to the Sync, after an error.
    pub is_skipping: bool,
    /// Whether all commands of the segment were rejected.
    pub is_rejected: bool,
}

impl Segment {
    /// Creates a segment without commands, whose first item will have this number.
    pub(super) fn new(first_item: u64) -> Segment {
        Segment {
            commands: 0,
            first_item,
            is_closed: true,
            is_flushed: false,
            is_skipping: false,
            is_rejected: false,
        }
    }

    /// Counts a command.
    ///
    /// # Errors
    ///
    /// [`SessionError::LimitExceeded`] for each command after the first `most`.
    pub(super) fn count_command(&mut self, most: usize) -> Result<(), SessionError> {
        self.commands += 1;
        if self.commands > most {
            return Err(SessionError::LimitExceeded {
                what: "commands in a segment",
                most,
            });
        }
        Ok(())
    }
}

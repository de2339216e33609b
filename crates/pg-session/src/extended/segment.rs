//! A segment: the commands between two Sync messages.
//!
//! Responsible for the bound on a segment's commands. Owns the state of the segment that is being read. Must
//! never outlive its Sync: each starts with a new value.

use crate::SessionError;

/// The commands since the last Sync.
pub(super) struct Segment {
    commands: usize,
    /// The number of its first item in the pipeline.
    pub first_item: u64,
    /// No command has come since the last Sync.
    pub is_closed: bool,
    /// An error was answered: commands are skipped up to the Sync.
    pub is_skipping: bool,
}

impl Segment {
    /// A segment without commands, whose first item will have this number.
    pub(super) fn new(first_item: u64) -> Segment {
        Segment {
            commands: 0,
            first_item,
            is_closed: true,
            is_skipping: false,
        }
    }

    /// Counts a command.
    ///
    /// # Errors
    ///
    /// [`SessionError::LimitExceeded`] for the command after the first `most`.
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

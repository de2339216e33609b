//! Read-your-writes and bounded staleness: which position of the log a read needs, and which endpoints have it.
//!
//! Where requests do not carry their session's position, the balancer remembers the commit time of each session's
//! last write. The memory is bounded: when it is full it is cleared, and a floor stands for every forgotten session,
//! so a read may ask for newer data than necessary but never for older. Owns these commit times; it must never
//! weaken the consistency that a class asks for.

use crate::units::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most sessions whose last write is remembered; beyond, all are replaced by the floor.
const MAX_SESSIONS: usize = 200_000;

/// The commit time of each session's last write.
///
/// Invariant: for every session, the larger of its entry and `floor` is no earlier than its last recorded write.
#[derive(Default)]
pub(crate) struct SessionTokens {
    last_commits: BTreeMap<Arc<str>, Timestamp>,
    /// Stands for all sessions that were forgotten.
    floor: Option<Timestamp>,
}

impl SessionTokens {
    /// The position that a read of the session needs, if any.
    pub(crate) fn required_position(&self, session: Option<&Arc<str>>) -> Option<Timestamp> {
        let own = session.and_then(|s| self.last_commits.get(s)).copied();
        own.max(self.floor)
    }

    /// A write of the session was committed, or possibly was, at `commit`.
    pub(crate) fn record_write(&mut self, session: Option<Arc<str>>, commit: Timestamp) {
        if self.last_commits.len() > MAX_SESSIONS {
            self.floor = self.floor.max(self.last_commits.values().copied().max());
            self.last_commits.clear();
        }
        if let Some(session) = session {
            let last = self.last_commits.entry(session).or_insert(commit);
            *last = commit.max(*last);
        }
    }
}

//! Read-your-writes and bounded staleness: which position of the log a read needs, and which
//! endpoints have it.
//!
//! Where requests do not carry their session's position, the balancer remembers the commit time of
//! each session's last write. The memory is bounded: when it is full it is cleared, and a floor
//! stands for every forgotten session, so a read may ask for newer data than necessary but never
//! for older. Owns these commit times; it must never weaken the consistency that a class asks for.

use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::event::Request;
use crate::pending_request::PendingRequest;
use crate::settings::{Consistency, Operation, StaleReadPolicy};
use crate::units::{Nanos, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most sessions whose last write is remembered; beyond, all are replaced by the floor.
const MAX_SESSIONS: usize = 200_000;
/// A response counts as known this long after it was given, whether or not it arrived, nanoseconds
/// (from the protocol).
const RESPONSE_VISIBLE_AFTER: Nanos = 100_000_000;

/// The commit time of each session's last write.
///
/// Invariant: for every session, the larger of its entry and `floor` is no earlier than its last
/// recorded write.
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

impl Balancer {
    /// The position of the log that a read of the request's session needs.
    pub(crate) fn required_position(&self, now: Timestamp, request: &Request) -> Option<Timestamp> {
        if self.settings.has_session_positions {
            return request.since_write.map(|age| now.saturating_sub(age));
        }
        let recorded = self.sessions.required_position(request.session.as_ref());
        let unanswered = self.has_unanswered_write(now, request).then_some(now);
        recorded.max(unanswered)
    }

    /// Whether a write of the request's session is in flight for so long that its response may have
    /// been lost.
    fn has_unanswered_write(&self, now: Timestamp, request: &Request) -> bool {
        self.endpoints
            .replica_set_endpoints(request.replica_set)
            .iter()
            .flat_map(|&index| &self.endpoints[index].in_flight)
            .any(|attempt| {
                attempt.session.is_some()
                    && attempt.session == request.session
                    && attempt.sent_at + RESPONSE_VISIBLE_AFTER <= now
            })
    }

    /// Whether a replica is known to be fresh enough for a read. Where endpoints check reads
    /// themselves, its lag when last observed is taken to hold on: a wrong guess only costs an
    /// attempt. Where they don't, only what is known counts.
    pub(crate) fn is_fresh_enough(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> bool {
        let required = match self.class(pending).operation {
            Operation::Read(Consistency::Eventual) => return true,
            Operation::Read(Consistency::ReadYourWrites) => match pending.required_position {
                Some(position) => position,
                None => return true,
            },
            Operation::Read(Consistency::BoundedStaleness(bound)) => now.saturating_sub(bound),
            Operation::Read(Consistency::Strong) | Operation::Write => return false,
        };
        let endpoint = &self.endpoints[index];
        let is_checked_by_endpoint = self.settings.stale_reads != StaleReadPolicy::Serve;
        match endpoint.applied_position {
            None => is_checked_by_endpoint && endpoint.observed_at == 0,
            Some(position) if is_checked_by_endpoint => {
                let since_observed = now.saturating_sub(endpoint.observed_at);
                position.saturating_add(since_observed) >= required
            }
            Some(position) => position >= required,
        }
    }
}

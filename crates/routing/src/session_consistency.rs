//! Read-your-writes and bounded staleness: the log position that a read needs, and the endpoints
//! that have applied it. Positions are commit times.
//!
//! Where requests do not carry their session's position, the balancer records the commit time of
//! each session's last write. The number of entries is bounded: at the limit all are cleared, and
//! the latest commit time among them becomes the lower bound for every session. Of a session's name,
//! whose length clients choose, only the hash is kept. A read may then require newer data than
//! necessary, but never older. Owns these commit times; it must never weaken the consistency of a
//! class.

use crate::action::Action;
use crate::balancer::Balancer;
use crate::endpoint_list::EndpointIndex;
use crate::event::Request;
use crate::pending_request::PendingRequest;
use crate::settings::{Consistency, Operation, StaleReadPolicy};
use crate::units::{Nanos, Timestamp};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;

/// Largest number of sessions whose last write is recorded; above it, all entries are replaced by
/// the floor.
const MAX_SESSIONS: usize = 200_000;
/// Time after which the protocol counts a response as known to its client, whether or not it
/// arrived, nanoseconds: reads must see a write of their session that has been in flight for this
/// long.
const RESPONSE_VISIBLE_AFTER: Nanos = 100_000_000;

/// Commit time of each session's last write.
///
/// Invariant: for every session, the later of its entry and `floor` is no earlier than its last
/// recorded write.
#[derive(Default)]
pub(crate) struct SessionCommits {
    /// By the hash of the session's name. Sessions with the same hash share the later commit time.
    last_commits: BTreeMap<u64, Timestamp>,
    /// Lower bound for all sessions: no earlier than any entry that was cleared.
    floor: Option<Timestamp>,
}

impl SessionCommits {
    /// Returns the log position that a read of the session needs, if any.
    pub(crate) fn required_position(&self, session: Option<&Arc<str>>) -> Option<Timestamp> {
        let session_commit = session
            .and_then(|s| self.last_commits.get(&session_hash(s)))
            .copied();
        session_commit.max(self.floor)
    }

    /// Records a write of the session that was, or possibly was, committed at `commit`.
    pub(crate) fn record_write(&mut self, session: Option<Arc<str>>, commit: Timestamp) {
        if self.last_commits.len() > MAX_SESSIONS {
            self.floor = self.floor.max(self.last_commits.values().copied().max());
            self.last_commits.clear();
        }
        if let Some(session) = session {
            let last = self
                .last_commits
                .entry(session_hash(&session))
                .or_insert(commit);
            *last = commit.max(*last);
        }
    }
}

/// Returns the hash of a session's name, the same in every run.
fn session_hash(session: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    session.hash(&mut hasher);
    hasher.finish()
}

impl Balancer {
    /// Returns the log position that a read of the request's session needs, if any, including
    /// writes whose responses may be lost.
    pub(crate) fn required_position(&self, now: Timestamp, request: &Request) -> Option<Timestamp> {
        if self.settings.has_session_positions {
            return request.since_write.map(|age| now.saturating_sub(age));
        }
        let recorded = self.sessions.required_position(request.session.as_ref());
        let overdue = self.has_overdue_write(now, request).then_some(now);
        recorded.max(overdue)
    }

    /// Returns whether a write of the request's session has been in flight for so long that its
    /// response may be lost and already counts as known to the client.
    fn has_overdue_write(&self, now: Timestamp, request: &Request) -> bool {
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

    /// Returns whether a replica is fresh enough for a read. Where endpoints check reads
    /// themselves, the lag of its last observation is assumed to be unchanged: a wrong assumption
    /// only costs an attempt. Where they don't, only its last known position counts.
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

    /// Returns the time from which the endpoint is no longer fresh enough for a read that waits for
    /// a connection: its last known position is older than the staleness bound then. `None` if this
    /// can't occur: positions never decrease, the primary has all commits, and where endpoints
    /// check reads themselves, they reject an outdated one.
    pub(crate) fn freshness_deadline(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        pending: &PendingRequest,
    ) -> Option<Timestamp> {
        let Operation::Read(Consistency::BoundedStaleness(bound)) = self.class(pending).operation
        else {
            return None;
        };
        let is_primary = self.current_primary(now, pending.request.replica_set) == Some(index);
        if is_primary || self.settings.stale_reads != StaleReadPolicy::Serve {
            return None;
        }
        let position = self.endpoints[index].applied_position?;
        Some(position.saturating_add(bound))
    }

    /// Withdraws the unwritten reads at an endpoint that has turned out not to be the primary,
    /// unless it is fresh enough for them as a replica. They were sent to it as the primary, and
    /// may still wait for a connection.
    pub(crate) fn withdraw_outdated_reads(
        &self,
        now: Timestamp,
        former_primary: EndpointIndex,
        actions: &mut Vec<Action>,
    ) {
        if self.settings.stale_reads != StaleReadPolicy::Serve {
            return;
        }
        for attempt in &self.endpoints[former_primary].in_flight {
            let is_outdated = |pending: &PendingRequest| {
                self.class(pending).operation != Operation::Write
                    && !self.is_fresh_enough(now, former_primary, pending)
            };
            if self.pending.get(&attempt.request).is_some_and(is_outdated) {
                actions.push(Action::Withdraw {
                    request: attempt.request,
                    attempt: attempt.number,
                });
            }
        }
    }
}

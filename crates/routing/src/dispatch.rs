//! Dispatch: sends a request to an endpoint, queues it until one is available, or rejects it.
//!
//! The order of the checks is: enough time and attempts left, a position refresh, the endpoint that
//! the selection modules choose, load shedding, idempotency. Queued requests are dispatched again
//! in order of arrival, on each timer tick and after the end of each attempt in their replica set.
//! Owns the queues of the replica sets; it must never send an attempt that has not passed these
//! checks.

use crate::action::{Action, RejectReason};
use crate::balancer::Balancer;
use crate::endpoint_list::{Attempt, EndpointIndex};
use crate::pending_request::{PendingRequest, SentAttempt};
use crate::settings::Operation;
use crate::units::{Nanos, RequestId, Timestamp};

/// Highest expected latency, in latency objectives, that the check for enough time assumes.
const MAX_EXPECTED_LATENCY: f64 = 0.5;

impl Balancer {
    /// Sends the request, queues it, or gives it its final response.
    pub(crate) fn dispatch(
        &mut self,
        now: Timestamp,
        pending: PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.dispatch_rejection(now, &pending) {
            return self.reject_or_fail(now, pending, reason, actions);
        }
        if let Some(index) = self.select_position_refresh(now, &pending) {
            return self.send(now, index, pending, actions);
        }
        let selected = if self.needs_primary(&pending) {
            self.select_primary(now, &pending)
        } else {
            self.select_read_endpoint(now, &pending)
        };
        let Some(index) = selected else {
            return self.queue_or_reject(now, pending, actions);
        };
        if self.is_shed(now, index, &pending) {
            self.reject_or_fail(now, pending, RejectReason::LoadShed, actions);
        } else if !self.is_safe_to_send(now, index, &pending) {
            self.reject_or_fail(now, pending, RejectReason::NotRetryable, actions);
        } else {
            self.send(now, index, pending, actions);
        }
    }

    /// Returns the reason why the request can't be served any more, if there is one.
    fn dispatch_rejection(&self, now: Timestamp, pending: &PendingRequest) -> Option<RejectReason> {
        let replica_set = pending.request.replica_set;
        if !self.endpoints.replica_sets.contains_key(&replica_set) {
            return Some(RejectReason::UnknownReplicaSet);
        }
        let has_late_value = self.class(pending).late_weight > 0.0;
        let end = if has_late_value {
            pending.deadline
        } else {
            pending.objective_end
        };
        let factor = self
            .latency_cost
            .replica_set_factor(&self.endpoints, now, replica_set)
            .min(MAX_EXPECTED_LATENCY);
        let expected_latency = (pending.latency_objective as f64 * factor) as Nanos;
        if now + self.tick.max(expected_latency) >= end {
            return Some(RejectReason::DeadlineTooClose);
        }
        let has_attempts = pending.attempts_sent < self.settings.limits.max_attempts;
        (!has_attempts).then_some(RejectReason::AttemptLimitReached)
    }

    /// Queues a request for which no endpoint is available now. A new request is rejected instead
    /// if no endpoint is expected within the first half of the time until its deadline: the client
    /// then still has time to react.
    fn queue_or_reject(
        &mut self,
        now: Timestamp,
        mut pending: PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        if pending.attempts_sent == 0 && !self.may_become_available(now, &pending) {
            return self.reject_or_fail(now, pending, RejectReason::NoEligibleEndpoint, actions);
        }
        let id = pending.request.id;
        let replica_set = pending.request.replica_set;
        pending.is_queued = true;
        pending.tried.clear();
        if let Some(replica_set_state) = self.endpoints.replica_sets.get_mut(&replica_set) {
            replica_set_state.queue.push_back(id);
            self.replica_sets_with_queue.insert(replica_set);
        }
        self.pending.insert(id, pending);
    }

    fn send(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        mut pending: PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = pending.request.id;
        let is_write = self.class(&pending).operation == Operation::Write;
        // The attempt may wait for a connection. When it is written, the deduplication window must
        // still be open, and the endpoint still be fresh enough.
        let write_deadlines = [
            self.deduplication_deadline(&pending),
            self.freshness_deadline(now, index, &pending),
        ];
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight.push(Attempt {
            request: id,
            number: pending.attempts_sent,
            sent_at: now,
            latency_objective: pending.latency_objective as f64,
            is_write,
            session: pending.request.session.clone().filter(|_| is_write),
        });
        actions.push(Action::Send {
            request: id,
            endpoint: endpoint.id.clone(),
            limit: None,
            write_by: write_deadlines.into_iter().flatten().min(),
        });
        pending.possibly_executed.push(SentAttempt {
            number: pending.attempts_sent,
            endpoint: index,
            sent_at: now,
        });
        pending.tried.push(index);
        pending.attempts_sent += 1;
        pending.in_flight += 1;
        pending.is_queued = false;
        self.pending.insert(id, pending);
    }

    /// Dispatches the queued requests of a replica set again, in order of arrival.
    pub(crate) fn retry_queued(
        &mut self,
        now: Timestamp,
        replica_set: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica_set_state) = self.endpoints.replica_sets.get_mut(&replica_set) else {
            return;
        };
        self.replica_sets_with_queue.remove(&replica_set);
        for id in std::mem::take(&mut replica_set_state.queue) {
            if let Some(pending) = self.pending.remove(&id) {
                self.dispatch(now, pending, actions);
            }
        }
    }

    /// Dispatches the queued requests of all replica sets again.
    pub(crate) fn retry_all_queued(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let replica_sets: Vec<u32> = self.replica_sets_with_queue.iter().copied().collect();
        for replica_set in replica_sets {
            self.retry_queued(now, replica_set, actions);
        }
    }

    /// Removes a complete request from the queue of its replica set.
    pub(crate) fn remove_from_queue(&mut self, id: RequestId, replica_set: u32) {
        let Some(replica_set_state) = self.endpoints.replica_sets.get_mut(&replica_set) else {
            return;
        };
        replica_set_state.queue.retain(|queued| *queued != id);
        if replica_set_state.queue.is_empty() {
            self.replica_sets_with_queue.remove(&replica_set);
        }
    }
}

//! The endpoints known to the balancer and their entries in the endpoint list, grouped into replica
//! sets.
//!
//! Endpoints are stored in slots that are reused, and other modules refer to them by slot. An
//! endpoint that is no longer in the list is kept for a while, since the list may omit it for a
//! moment only. It is then forgotten: if removed endpoints were kept for ever, many replacements
//! would fill memory, and averages, whose windows grow with the number of endpoints, would be as
//! slow as if the removed endpoints still shared the traffic. The cost of forgetting is
//! proportional to the number of removed endpoints, not of all endpoints. Owns which endpoints
//! exist, their replica sets, and their entries in the list; it must never assess their health or
//! select one of them.

use crate::event::{EndpointEntry, EndpointState, ListKind, Role};
use crate::latency_cost::LatencySamples;
use crate::outlier_detection::EndpointHealth;
use crate::primary_tracking::PrimaryState;
use crate::settings::{ListRole, Settings};
use crate::units::{EndpointId, Nanos, RequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::{Index, IndexMut};
use std::sync::Arc;

/// Slot of an endpoint in [`EndpointList`]; reused once the endpoint is forgotten.
pub(crate) type EndpointIndex = usize;

/// An attempt that is in flight.
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) number: u32,
    pub(crate) sent_at: Timestamp,
    /// Latency objective of its request, nanoseconds.
    pub(crate) latency_objective: f64,
    /// Stored here, since the request may be complete before the attempt ends.
    pub(crate) is_write: bool,
    /// For a write: its session, whose later reads must see it.
    pub(crate) session: Option<Arc<str>>,
}

/// An endpoint: its entry in the list, the status that it reports, and the observations of this
/// router.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) replica_set: u32,
    pub(crate) zone: u32,
    pub(crate) is_listed: bool,
    pub(crate) unlisted_at: Timestamp,
    pub(crate) draining_since: Option<Timestamp>,
    pub(crate) is_listed_as_primary: bool,
    /// Last start of its process, from the list or inferred from its position (0: long ago).
    pub(crate) started: Timestamp,
    /// Role that it reports for itself.
    pub(crate) role: Option<Role>,
    pub(crate) applied_position: Option<Timestamp>,
    /// Time of the last observation of its position (0: never).
    pub(crate) observed_at: Timestamp,
    /// Time of the last position refresh that was sent to it.
    pub(crate) position_refreshed_at: Timestamp,
    pub(crate) latency: LatencySamples,
    pub(crate) in_flight: Vec<Attempt>,
    pub(crate) health: EndpointHealth,
    /// Position in the rotation: the number of selections at its last turn, so that the lowest is
    /// next.
    pub(crate) rotation_position: f64,
}

impl Endpoint {
    /// Returns whether the list allows new requests for it and no timed ejection is in force.
    pub(crate) fn accepts_new_work(&self, now: Timestamp) -> bool {
        self.is_in_service() && self.health.ejected_until <= now
    }

    /// Returns whether the list allows new requests for it.
    pub(crate) fn is_in_service(&self) -> bool {
        self.is_listed && self.draining_since.is_none()
    }
}

/// A primary and its replicas.
#[derive(Default)]
pub(crate) struct ReplicaSet {
    /// Its endpoints, ordered by name.
    pub(crate) endpoints: Vec<EndpointIndex>,
    pub(crate) primary: PrimaryState,
    /// Queued requests, in order of arrival.
    pub(crate) queue: VecDeque<RequestId>,
}

/// All known endpoints.
///
/// Invariants: `by_id` and the replica sets hold exactly the slots that are not in `free_slots`;
/// `unlisted` holds exactly the known endpoints that are not listed, ordered by the time at which
/// each left the list.
#[derive(Default)]
pub(crate) struct EndpointList {
    endpoints: Vec<Endpoint>,
    free_slots: Vec<EndpointIndex>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
    pub(crate) replica_sets: BTreeMap<u32, ReplicaSet>,
    unlisted: BTreeSet<(Timestamp, EndpointIndex)>,
}

impl Index<EndpointIndex> for EndpointList {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index]
    }
}

impl IndexMut<EndpointIndex> for EndpointList {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[index]
    }
}

impl EndpointList {
    /// Returns the number of known endpoints.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn find(&self, id: &EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns the endpoints of a replica set, ordered by name; none if it is unknown.
    pub(crate) fn replica_set_endpoints(&self, replica_set: u32) -> &[EndpointIndex] {
        match self.replica_sets.get(&replica_set) {
            Some(replica_set) => &replica_set.endpoints,
            None => &[],
        }
    }

    /// Applies a whole list or changes of it. `initial_rotation_position` returns the position of a
    /// new endpoint in the rotation.
    pub(crate) fn apply(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: &[EndpointEntry],
        settings: &Settings,
        mut initial_rotation_position: impl FnMut() -> f64,
    ) {
        let is_removal_enforced = !settings.rules.allows_unlisted_endpoints;
        if kind != ListKind::Changes && is_removal_enforced {
            self.unlist_missing(now, entries);
        }
        for entry in entries {
            let index = match self.find(&entry.endpoint) {
                Some(index) => index,
                None => self.insert(now, entry, initial_rotation_position()),
            };
            match entry.state {
                EndpointState::Serving => self.mark_serving(index),
                EndpointState::Draining => {
                    self.endpoints[index].draining_since.get_or_insert(now);
                }
                EndpointState::Removed if is_removal_enforced => self.unlist(now, index),
                EndpointState::Removed => {}
            }
            if entry.state != EndpointState::Removed {
                let has_listed_roles = settings.list_role != ListRole::None;
                self.update(now, index, entry, has_listed_roles);
            }
        }
    }

    fn unlist_missing(&mut self, now: Timestamp, entries: &[EndpointEntry]) {
        let listed: BTreeSet<&EndpointId> = entries.iter().map(|entry| &entry.endpoint).collect();
        let missing: Vec<EndpointIndex> = self
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains(id))
            .map(|(_, index)| *index)
            .collect();
        for index in missing {
            self.unlist(now, index);
        }
    }

    fn mark_serving(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_listed {
            self.unlisted.remove(&(endpoint.unlisted_at, index));
        }
        endpoint.is_listed = true;
        endpoint.draining_since = None;
    }

    fn unlist(&mut self, now: Timestamp, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.is_listed {
            endpoint.is_listed = false;
            endpoint.unlisted_at = now;
            self.unlisted.insert((now, index));
        }
    }

    fn update(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        entry: &EndpointEntry,
        has_listed_roles: bool,
    ) {
        let endpoint = &mut self.endpoints[index];
        if entry.started > endpoint.started {
            endpoint.started = entry.started;
            // It has restarted, so it is reachable: an ejection after connect failures ends.
            endpoint.health.ejected_until = now;
        }
        endpoint.is_listed_as_primary = entry.is_primary && has_listed_roles;
    }

    fn insert(
        &mut self,
        now: Timestamp,
        entry: &EndpointEntry,
        rotation_position: f64,
    ) -> EndpointIndex {
        let index = self.free_slots.pop().unwrap_or(self.endpoints.len());
        if index == self.endpoints.len() {
            self.endpoints.push(Endpoint::default());
        }
        self.endpoints[index] = Endpoint {
            id: entry.endpoint.clone(),
            replica_set: entry.replica_set,
            zone: entry.zone,
            started: entry.started,
            health: EndpointHealth::new(now),
            rotation_position,
            ..Endpoint::default()
        };
        let unlisted_at = self.endpoints[index].unlisted_at;
        self.unlisted.insert((unlisted_at, index));
        self.by_id.insert(entry.endpoint.clone(), index);
        let endpoints = &self.endpoints;
        let replica_set = self.replica_sets.entry(entry.replica_set).or_default();
        replica_set.endpoints.push(index);
        replica_set
            .endpoints
            .sort_by(|&a, &b| endpoints[a].id.cmp(&endpoints[b].id));
        index
    }

    /// Returns the endpoints that left the list more than `retention` nanoseconds ago and have no
    /// attempt in flight.
    pub(crate) fn expired(&self, now: Timestamp, retention: Nanos) -> Vec<EndpointIndex> {
        self.unlisted
            .iter()
            .take_while(|(unlisted_at, _)| now > *unlisted_at + retention)
            .map(|(_, index)| *index)
            .filter(|index| self.endpoints[*index].in_flight.is_empty())
            .collect()
    }

    /// Forgets an endpoint and frees its slot, to which no pending request may refer any more.
    pub(crate) fn forget(&mut self, index: EndpointIndex) {
        let endpoint = std::mem::take(&mut self.endpoints[index]);
        self.unlisted.remove(&(endpoint.unlisted_at, index));
        self.by_id.remove(&endpoint.id);
        if let Some(replica_set) = self.replica_sets.get_mut(&endpoint.replica_set) {
            replica_set.endpoints.retain(|other| *other != index);
            replica_set.primary.forget(index);
        }
        self.free_slots.push(index);
    }
}

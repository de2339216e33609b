//! Applies changes of the endpoint list: adds, updates and removes endpoint pools.

use super::Dispatcher;
use crate::messages::ListedEndpoint;
use crate::upstream::PoolHandle;
use reelrill_routing::{EndpointId, EndpointState, Event, ListKind, Timestamp};
use std::collections::BTreeSet;

impl Dispatcher {
    /// Applies a complete list, or changes of it, and passes it on to the balancer.
    pub(super) fn on_endpoint_list(&mut self, kind: ListKind, listed: Vec<ListedEndpoint>) {
        let now = self.shared.clock.now();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.remove_unlisted_pools(now, &listed);
        }
        for endpoint in &listed {
            self.update_pool(now, endpoint);
        }
        if !self.pools.is_empty() {
            self.shared.ready.raise();
        }
        let entries = listed.into_iter().map(|l| l.entry).collect();
        self.events.push_back(Event::List { kind, entries });
    }

    /// Returns whether the pool of an endpoint is removed when the endpoint is removed from the list. It is not if the
    /// settings allow attempts at endpoints that are not listed.
    fn should_apply_removals(&self) -> bool {
        !self
            .shared
            .config
            .routing
            .settings
            .rules
            .allows_unlisted_endpoints
    }

    fn remove_unlisted_pools(&mut self, now: Timestamp, listed: &[ListedEndpoint]) {
        if !self.should_apply_removals() {
            return;
        }
        let names: BTreeSet<&EndpointId> = listed.iter().map(|l| &l.entry.endpoint).collect();
        let unlisted = self.pools.extract_if(|name, _| !names.contains(name));
        unlisted.for_each(|(_, pool)| pool.remove(now));
    }

    fn update_pool(&mut self, now: Timestamp, listed: &ListedEndpoint) {
        let ListedEndpoint { entry, address } = listed;
        self.platform_clock.on_start_time(now, entry.started);
        if entry.state == EndpointState::Removed {
            if self.should_apply_removals()
                && let Some(pool) = self.pools.remove(&entry.endpoint)
            {
                pool.remove(now);
            }
            return;
        }
        let pool = self
            .pools
            .entry(entry.endpoint.clone())
            .or_insert_with(|| PoolHandle::new(*address));
        pool.update(*address, entry.state == EndpointState::Draining, now);
    }
}

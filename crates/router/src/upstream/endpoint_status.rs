//! The current state of one endpoint in the endpoint list.
//!
//! The pool's handle updates it, and the pool's tasks read it again before each write to the endpoint.

use crate::runtime::shared::Shared;
use reelrill_routing::Timestamp;
use std::cell::Cell;
use std::net::SocketAddr;

/// Holds the endpoint's address, and the time at which its drain started.
#[derive(Debug)]
pub struct EndpointStatus {
    address: Cell<SocketAddr>,
    draining_since: Cell<Option<Timestamp>>,
}

impl EndpointStatus {
    /// Creates the state of an endpoint that is not draining.
    pub fn new(address: SocketAddr) -> EndpointStatus {
        EndpointStatus {
            address: Cell::new(address),
            draining_since: Cell::new(None),
        }
    }

    /// Returns the endpoint's current address.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Updates the state from the endpoint list, and returns whether the address has changed. If the endpoint is
    /// already draining, the recorded start of the drain is kept.
    pub fn update(&self, address: SocketAddr, is_draining: bool, now: Timestamp) -> bool {
        let draining_since = self.draining_since.get().unwrap_or(now);
        self.draining_since
            .set(is_draining.then_some(draining_since));
        self.address.replace(address) != address
    }

    /// Records that the endpoint was removed from the list. That counts as the start of a drain, if it was not draining.
    pub fn on_removed(&self, now: Timestamp) {
        let draining_since = self.draining_since.get().unwrap_or(now);
        self.draining_since.set(Some(draining_since));
    }

    /// Returns whether the endpoint has been draining for so long that no request may be written to it any more.
    pub fn has_drain_grace_expired(&self, shared: &Shared) -> bool {
        let cutoff = shared.config.routing.settings.rules.drain_cutoff();
        self.draining_since
            .get()
            .is_some_and(|since| shared.clock.now() >= since.saturating_add(cutoff))
    }
}
